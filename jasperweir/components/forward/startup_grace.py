"""Queueing of requests shortly after the start of an entry; sans-I/O.

After a power loss callers reach entries that have no configuration and know
no targets for another half second. Rejected requests would all return
together a second or two later, on their last attempt. Requests that are kept
waiting are sent as soon as targets are announced.
"""

from jasperweir.components.balance import const


class StartupGrace:
    """Grace period in which an entry queues requests that it would reject."""

    def __init__(self, *, started_at: float) -> None:
        """Initialize the period.

        Args:
            started_at: When the process started, monotonic seconds.
        """
        self._started_at = started_at

    def is_active(self, now: float) -> bool:
        """Return whether the grace period lasts."""
        return now - self._started_at < const.START_SECONDS

    def compute_deadline(self, now: float, patience_s: float | None) -> float:
        """Return until when a request that arrives now may be kept waiting.

        Args:
            now: Monotonic seconds.
            patience_s: How long its caller waits, seconds; None if not stated.

        Returns:
            Monotonic seconds; ``now`` after the grace period, when the
            request is rejected at once.
        """
        if not self.is_active(now):
            return now
        wait_s = const.START_WAIT_SECONDS
        if patience_s is not None:
            share = const.RETRY_WAIT_MAX_SHARE
            wait_s = min(wait_s, share * patience_s)
        return now + wait_s
