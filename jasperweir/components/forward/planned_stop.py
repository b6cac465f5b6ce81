"""Stages of an entry's planned stop; sans-I/O."""

import enum

# Time for which a stopping entry accepts requests that end before it does,
# longer than callers cache a lookup that names it, seconds.
ACCEPTING_SECONDS = 3.0
# Time for which it answers callers at least, seconds.
SERVING_SECONDS = 4.5
# Time by which a stop ends before the forced termination, seconds.
MARGIN_SECONDS = 0.6


class Stage(enum.Enum):
    """What a stopping entry does."""

    # Requests that end before the process does are taken.
    ACCEPTING = "accepting"
    # New requests are rejected.
    REJECTING = "rejecting"
    # The process ends.
    ENDED = "ended"


class PlannedStop:
    """Decides when a stopping entry rejects requests and when it ends.

    Attributes:
        ends_at: When the process ends at the latest, monotonic seconds.
    """

    def __init__(self, *, now: float, grace_s: float) -> None:
        """Begin a stop.

        Args:
            now: Time of the signal, monotonic seconds.
            grace_s: Time from the signal to the forced termination, seconds.
        """
        self.ends_at = now + grace_s - MARGIN_SECONDS
        self._began_at = now

    def find_stage(
        self, *, open_requests: int, unsent_bytes: int, now: float
    ) -> Stage:
        """Return the stage of the stop.

        Args:
            open_requests: Requests without a final response.
            unsent_bytes: Bytes of responses that callers have not read yet.
            now: Monotonic seconds.
        """
        elapsed_s = now - self._began_at
        if elapsed_s < ACCEPTING_SECONDS:
            return Stage.ACCEPTING
        has_work = bool(open_requests or unsent_bytes)
        if elapsed_s < SERVING_SECONDS or (has_work and now < self.ends_at):
            return Stage.REJECTING
        return Stage.ENDED
