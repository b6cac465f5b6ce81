"""Learn the limits of groups from passes, and record when they bind."""

from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.forward import places as places_lib
from jasperweir.components.forward import record as record_lib


class PassWatch:
    """Passes of all services, as this entry sees them.

    Attributes:
        limits: How many streams the groups of engines may run.
    """

    def __init__(
        self,
        *,
        places: places_lib.Places,
        directory: directory_lib.Directory,
        record: record_lib.Recorder,
    ) -> None:
        self.limits = passes_lib.PassLimits()
        self._places = places
        self._directory = directory
        self._record = record
        # Services whose passes let nothing new in.
        self._full: set[str] = set()

    def tick(self, now: float) -> None:
        """Learn from the pauses of streams since the last call."""
        for service, limit in self.limits.due():
            self._learn(service, limit, now)

    def _learn(
        self, service: str, limit: passes_lib.PassLimit, now: float
    ) -> None:
        targets = self._directory.serving(service, now)
        streams = self._places.learn(targets, limit, now)
        self._record.passes(service, limit.pass_s, streams)
        most = limit.streams(now)
        is_full = streams >= most
        if is_full == (service in self._full):
            return
        self._full.symmetric_difference_update({service})
        self._record.full(
            service,
            begins=is_full,
            pass_s=limit.pass_s,
            streams=streams,
            most=most,
        )
