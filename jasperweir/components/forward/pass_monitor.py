"""Limits on the streams of engine groups, derived from their pass times."""

from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.forward import available_targets
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import recorder as recorder_lib


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
    ) -> None:
        self.limits = passes_lib.PassLimits()
        self._capacity = capacity
        self._directory = directory
        self._recorder = recorder
        # Services whose pass time leaves no room for another stream.
        self._saturated_services: set[str] = set()

    def tick(self, now: float) -> None:
        """Update the limits from the stream pauses since the last call."""
        for service, limit in self.limits.due():
            self._update_limit(service, limit, now)

    def _update_limit(
        self, service: str, limit: passes_lib.PassLimit, now: float
    ) -> None:
        targets = self._directory.list_ready(service, now)
        streams = self._capacity.update_limit(targets, limit, now)
        self._recorder.record_pass(service, limit.pass_s, streams)
        max_streams = limit.streams(now)
        is_saturated = streams >= max_streams
        if is_saturated == (service in self._saturated_services):
            return
        self._saturated_services.symmetric_difference_update({service})
        self._recorder.record_saturation(
            service,
            begins=is_saturated,
            pass_s=limit.pass_s,
            streams=streams,
            max_streams=max_streams,
        )
