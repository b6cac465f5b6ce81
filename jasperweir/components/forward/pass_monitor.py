"""Learn the limits of groups from passes, and record when they bind."""

from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import recorder as recorder_lib


class PassMonitor:
    """Passes of all services, as this entry sees them.

    Attributes:
        limits: How many streams the groups of engines may run.
    """

    def __init__(
        self,
        *,
        capacity: capacity_lib.CapacityFinder,
        directory: directory_lib.Directory,
        recorder: recorder_lib.Recorder,
    ) -> None:
        self.limits = passes_lib.PassLimits()
        self._capacity = capacity
        self._directory = directory
        self._recorder = recorder
        # Services whose passes let nothing new in.
        self._saturated_services: set[str] = set()

    def tick(self, now: float) -> None:
        """Learn from the pauses of streams since the last call."""
        for service, limit in self.limits.due():
            self._update_limit(service, limit, now)

    def _update_limit(
        self, service: str, limit: passes_lib.PassLimit, now: float
    ) -> None:
        targets = self._directory.serving(service, now)
        streams = self._capacity.update_limit(targets, limit, now)
        self._recorder.record_pass(service, limit.pass_s, streams)
        most = limit.streams(now)
        is_full = streams >= most
        if is_full == (service in self._saturated_services):
            return
        self._saturated_services.symmetric_difference_update({service})
        self._recorder.record_saturation(
            service,
            begins=is_full,
            pass_s=limit.pass_s,
            streams=streams,
            most=most,
        )
