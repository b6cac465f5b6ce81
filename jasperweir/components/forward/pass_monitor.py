"""Limits on the streams of engine groups, derived from their pass times."""

from jasperweir.components.balance import const
from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import available_targets
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.groups import directory as group_directory


class PassMonitor:
    """Pass times of the engines of all services, as seen by this entry.

    Attributes:
        limits: Maximum number of streams of each group of engines.
    """

    def __init__(
        self,
        *,
        capacity: capacity_lib.CapacityFinder,
        directory: available_targets.AvailableTargets,
        recorder: recorder_lib.Recorder,
        groups: group_directory.GroupDirectory,
    ) -> None:
        self.limits = passes_lib.PassLimits()
        self._capacity = capacity
        self._directory = directory
        self._recorder = recorder
        self._groups = groups
        # Units whose pass time leaves no room for another stream.
        self._saturated_units: set[str] = set()
        # When each group's limit was updated last, monotonic seconds.
        self._updated_at: dict[str, float] = {}

    def tick(self, now: float) -> None:
        """Update the limits from the stream pauses since the last call."""
        for service, unit, limit in self.limits.due():
            # A pass takes longer than the interval, and each update counts the
            # streams of all ranks.
            since_s = now - self._updated_at.get(unit, float("-inf"))
            if unit != service and since_s < const.GROUP_UPDATE_SECONDS:
                continue
            self._updated_at[unit] = now
            self._update_limit(service, unit, limit, now)

    def on_pause(
        self, service: str, target: records.Target | None, seconds: float
    ) -> bool:
        """Record the pause between two events of a stream.

        Args:
            service: Service of the stream.
            target: Target that sends it.
            seconds: The pause, seconds.

        Returns:
            Whether the service has a stream limit.
        """
        unit = service
        if target is not None:
            unit = self._groups.find_unit(service, target.address)
        return self.limits.on_pause(service, seconds, unit)

    def on_formed_anew(self, service: str, unit: str, now: float) -> None:
        """Admit streams slowly to a group that has formed anew."""
        limit = self.limits.get(service, unit)
        if limit is not None:
            limit.begin_ramp(now)

    def keep_units(self, units: set[str]) -> None:
        """Drop the limits of groups that are no longer listed."""
        self.limits.keep_units(units)
        self._updated_at = {
            unit: at for unit, at in self._updated_at.items() if unit in units
        }
        self._saturated_units = {
            unit
            for unit in self._saturated_units
            if unit in units or not self._groups.list_units(unit)
        }

    def _update_limit(
        self, service: str, unit: str, limit: passes_lib.PassLimit, now: float
    ) -> None:
        targets = self._directory.list_ready(service, now)
        if unit == service:
            streams = self._capacity.update_limit(targets, limit, now)
        else:
            streams = self._capacity.by_group.streams_per_rank(
                service, unit, targets, now
            )
            limit.update(streams, now)
        group = unit[len(service) + 1 :]
        self._recorder.record_pass(service, limit.pass_s, streams, group)
        max_streams = limit.streams(now)
        is_saturated = streams >= max_streams
        self._recorder.record_limit(service, group, max_streams)
        if is_saturated == (unit in self._saturated_units):
            return
        self._saturated_units.symmetric_difference_update({unit})
        self._recorder.record_saturation(
            service,
            begins=is_saturated,
            pass_s=limit.pass_s,
            streams=streams,
            max_streams=max_streams,
            group=group,
        )
