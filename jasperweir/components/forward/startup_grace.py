"""How long an entry that has just started keeps requests; sans-I/O.

After a loss of all power callers come to entries that have no configuration
and know no targets for another half a second. Who is refused comes back a
second or two later, has no further try, and meets everybody else who was
refused. Who is kept is served as soon as targets are there.
"""

from jasperweir.components.balance import const


class StartupGrace:
    """What an entry may expect of itself soon after its start."""

    def __init__(self, *, started_at: float) -> None:
        """Begin.

        Args:
            started_at: When the process started, monotonic seconds.
        """
        self._started_at = started_at

    def is_active(self, now: float) -> bool:
        """Tell whether what the entry lacks is about to come."""
        return now - self._started_at < const.START_SECONDS

    def compute_deadline(self, now: float, patience_s: float | None) -> float:
        """Return until when a request that arrives now may be kept.

        Args:
            now: Monotonic seconds.
            patience_s: How long its caller waits, None if it does not state
                it.

        Returns:
            Monotonic seconds; ``now`` if it is to be refused at once, since
            what is missing is not about to come.
        """
        if not self.is_active(now):
            return now
        wait_s = const.START_WAIT_SECONDS
        if patience_s is not None:
            share = const.RETURNED_WAIT_MOST_SHARE
            wait_s = min(wait_s, share * patience_s)
        return now + wait_s
