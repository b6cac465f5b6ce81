"""When versions were committed, by the clock of this process; sans-I/O."""

import bisect
from typing import NamedTuple

from jasperweir.components.configctl import messages

# Versions whose commit times are remembered.
MAX_VERSIONS = 64


class CommitTime(NamedTuple):
    """Span in which a version was committed, monotonic seconds.

    Attributes:
        earliest: Minus infinity if nobody who was asked knows.
        latest: When it was committed at the latest.
    """

    earliest: float
    latest: float


class CommitTimes:
    """Commit times of the recent versions.

    An age that a control VM states was true at some moment between the request
    and its answer, so a commit is known to lie in a span.
    """

    def __init__(self) -> None:
        self._times: dict[int, CommitTime] = {}
        self._versions: list[int] = []

    def note_ages(
        self, msg: messages.VersionAges, *, asked_at: float, now: float
    ) -> None:
        """Record the ages that a control VM states.

        Args:
            msg: The ages.
            asked_at: When they were requested, monotonic seconds.
            now: Monotonic seconds.
        """
        for age in msg.ages:
            earliest = asked_at - age.committed_s - age.uncertain_s
            if age.uncertain_s < 0:
                earliest = float("-inf")
            time = CommitTime(earliest, now - age.committed_s)
            self._note(age.version, time)

    def _note(self, version: int, time: CommitTime) -> None:
        known = self._times.get(version)
        if known is None:
            bisect.insort(self._versions, version)
            known = time
        # A control VM may have learned of the commit later than another.
        latest = min(known.latest, time.latest)
        earliest = max(known.earliest, time.earliest)
        self._times[version] = CommitTime(min(earliest, latest), latest)
        if len(self._versions) > MAX_VERSIONS:
            del self._times[self._versions.pop(0)]

    def find(self, version: int) -> CommitTime | None:
        """Return when a version was committed, None if unknown."""
        return self._times.get(version)

    def find_successor(self, version: int) -> tuple[int, CommitTime] | None:
        """Return the first version above one and its commit time.

        Returns:
            None if none is known.
        """
        at = bisect.bisect_right(self._versions, version)
        if at == len(self._versions):
            return None
        successor = self._versions[at]
        return successor, self._times[successor]
