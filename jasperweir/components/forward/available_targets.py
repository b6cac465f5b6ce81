"""Which targets of a service want requests now."""

from jasperweir.components.backpressure import asked as asked_lib
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records


class AvailableTargets:
    """Targets that are announced, less those that want nothing.

    Each choice begins here: of first requests, second ones, waiting ones and
    streams that leave a slow target.

    Attributes:
        asked: What targets have asked of this entry.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        outages: outage_lib.Outages,
        name: str,
    ) -> None:
        """Begin with nothing asked.

        Args:
            directory: Targets that are announced.
            outages: Services that refuse everything at present.
            name: Name of this entry.
        """
        self.asked = asked_lib.Backpressure(name=name)
        self._directory = directory
        self._outages = outages

    def list_available(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that want requests."""
        announced = self._directory.serving(service, now)
        return self.filter_available(announced, service, now)

    def filter_available(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return those of some targets of a service that want requests.

        In an outage all refuse, and none is avoided for it: those that were not
        asked yet would seem full, and requests wait for them in vain.
        """
        if self._outages.of(service).lasts(now):
            return self.asked.unbarred(targets, now)
        return self.asked.open_to(targets, now)

    def seconds_until_available(
        self, service: str, tried: set[str], ahead: int, now: float
    ) -> float:
        """Return the seconds until one that was not tried wants requests.

        Args:
            service: Their service.
            tried: Targets that are out of question.
            ahead: Requests that wait for the same.
            now: Monotonic seconds.

        Returns:
            Infinity if none of them is announced.
        """
        announced = self._directory.serving(service, now)
        untried = [t for t in announced if t.target_id not in tried]
        return self.asked.opens_in_s(untried, now, ahead)

    def on_service_recovered(self, service: str, now: float) -> None:
        """Note that a service that refused everything takes requests again."""
        self.asked.forgive(self._directory.serving(service, now))

    def tidy(self, now: float) -> None:
        """Forget what nobody needs any more."""
        self.asked.tidy(self._directory.get, now)
