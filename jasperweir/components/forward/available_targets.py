"""Targets of a service that accept requests now."""

from jasperweir.components.backpressure import backpressure as backpressure_lib
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records


class AvailableTargets:
    """Announced targets, filtered by backpressure.

    Used for every choice of a target: first attempts, retries, queued requests
    and streams that move.

    Attributes:
        backpressure: Backpressure state of all targets.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        outages: outage_lib.Outages,
        name: str,
    ) -> None:
        """Initialize without backpressure.

        Args:
            directory: Announced targets.
            outages: Services whose targets all refuse requests.
            name: Name of this entry.
        """
        self.backpressure = backpressure_lib.Backpressure(name=name)
        self._directory = directory
        self._outages = outages

    def list_available(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that accept requests."""
        announced = self._directory.list_ready(service, now)
        return self.filter_available(announced, service, now)

    def filter_available(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return the given targets of a service that accept requests.

        During an outage, refusals do not exclude a target. Otherwise targets
        that were not tried yet would appear full, and requests would queue for
        them in vain.
        """
        if self._outages.get(service).is_active(now):
            return self.backpressure.list_unblocked(targets, now)
        return self.backpressure.list_available(targets, now)

    def seconds_until_available(
        self, service: str, tried: set[str], ahead: int, now: float
    ) -> float:
        """Return the seconds until an untried target accepts requests.

        Args:
            service: Service of the targets.
            tried: Ids of targets to exclude.
            ahead: Number of requests that wait for the same targets.
            now: Monotonic seconds.

        Returns:
            Infinity if no untried target is announced.
        """
        announced = self._directory.list_ready(service, now)
        untried = [t for t in announced if t.target_id not in tried]
        return self.backpressure.available_in_s(untried, now, ahead)

    def on_service_recovered(self, service: str, now: float) -> None:
        """Clear the refusals of a service's targets after an outage."""
        self.backpressure.clear_refusals(
            self._directory.list_ready(service, now)
        )

    def tidy(self, now: float) -> None:
        """Drop expired state and state of targets that are gone."""
        self.backpressure.prune(self._directory.get, now)
