"""Targets of a service that accept requests now."""

import math

from jasperweir.components.backpressure import backpressure as backpressure_lib
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.components.warmup import warmup as warmup_lib


class AvailableTargets:
    """Announced targets, filtered by backpressure.

    Used for every choice of a target: first attempts, retries, queued requests
    and streams that move.

    Attributes:
        backpressure: Backpressure state of all targets.
        warmup: Limits of requests to cold targets.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        outages: outage_lib.Outages,
        name: str,
        cold_bounds: rate_lib.Bounds = rate_lib.DEFAULT_BOUNDS,
    ) -> None:
        """Initialize without backpressure and limited services.

        Args:
            directory: Announced targets.
            outages: Services whose targets all refuse requests.
            name: Name of this entry.
            cold_bounds: Bounds on requests to cold targets.
        """
        self.warmup = warmup_lib.WarmUp(
            directory=directory, name=name, bounds=cold_bounds
        )
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
        targets = self.warmup.list_available(targets, service, now)
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
        if not self.warmup.has_cold(service, now):
            return self.backpressure.available_in_s(untried, now, ahead)
        waits = [(self.warmup.wait_s(t, now), t) for t in untried]
        ready = [t for wait_s, t in waits if wait_s <= 0]
        return min(
            self.backpressure.available_in_s(ready, now, ahead),
            min(
                max(wait_s, self.backpressure.available_in_s([t], now))
                for wait_s, t in waits
            )
            if waits
            else math.inf,
        )

    def on_chosen(self, target: records.Target, now: float) -> bool:
        """Count a request to a target against its limits.

        Returns:
            Whether it counts against the rate of a cold target.
        """
        self.backpressure.on_chosen(target, now)
        return self.warmup.on_chosen(target, now)

    def on_service_recovered(self, service: str, now: float) -> None:
        """Clear the refusals of a service's targets after an outage."""
        self.backpressure.clear_refusals(
            self._directory.list_ready(service, now)
        )

    def tidy(self, now: float) -> None:
        """Drop expired state and state of targets that are gone."""
        self.backpressure.prune(self._directory.get, now)
