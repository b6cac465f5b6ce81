"""Backpressure of one incarnation of a target; sans-I/O."""

import dataclasses
import math

from jasperweir.components.backpressure import const

_NEVER = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class Flow:
    """Evenly spaced requests of one entry to a target with a rate limit.

    Attributes:
        limit_per_s: Limit of the target for all entries, requests per second.
        named_at: Time of the last answer that stated it, monotonic seconds.
        per_s: This entry's share of it, requests per second.
        next_at: Time at which the next request is due, monotonic seconds.
        looked_at: Time of the last probe, monotonic seconds.
    """

    limit_per_s: float
    named_at: float
    per_s: float = 0.0
    next_at: float = _NEVER
    looked_at: float = _NEVER

    def opens_in_s(self, now: float, look_s: float) -> float:
        """Return the time until a request may be sent, seconds.

        Args:
            now: Monotonic seconds.
            look_s: Interval at which an entry without a share in the limit
                probes whether it still applies, seconds.
        """
        if self.per_s <= 0:
            due = max(self.named_at, self.looked_at) + look_s
        else:
            due = self.next_at - (const.OWNER_BURST - 1) / self.per_s
        return max(due - now, 0.0)

    def on_sent(self, now: float) -> None:
        """Record that a request is sent."""
        if self.per_s <= 0:
            self.looked_at = now
        else:
            self.next_at = max(self.next_at, now) + 1 / self.per_s


@dataclasses.dataclass(kw_only=True, slots=True)
class Asked:
    """Signals and refusals of one incarnation of a target.

    Attributes:
        born: Start time of the incarnation, Unix milliseconds; 0 if unknown.
        rest_until: End of the back-off that it asked for, monotonic seconds.
        leaves: Whether it is draining and accepts no further requests.
        flow: Requests to it if it has a rate limit, else None.
        refusals: Refusals in a row without a back-off. Those that arrive while
            it is avoided don't count, nor do any once it is avoided for the
            longest time.
        avoided_until: Until then it gets requests only if no other target
            accepts any, monotonic seconds.
        told_until: The same, reported by other entries.
        trial_at: Time of the first request after a refusal, monotonic seconds.
        puzzles: Whether it has sent an unreadable value.
    """

    born: int
    rest_until: float = _NEVER
    leaves: bool = False
    flow: Flow | None = None
    refusals: int = 0
    avoided_until: float = _NEVER
    told_until: float = _NEVER
    trial_at: float = _NEVER
    puzzles: bool = False

    # Queries.

    def bars(self, now: float) -> bool:
        """Return whether it accepts no requests now."""
        return self.leaves or now < self.rest_until

    def is_avoided(self, now: float) -> bool:
        """Return whether requests should go to other targets."""
        if now < max(self.avoided_until, self.told_until):
            return True
        return now - self.trial_at < const.TRIAL_SECONDS

    def is_over(self, now: float) -> bool:
        """Return whether its last refusal is long over."""
        last = max(self.refuses_until, self.told_until)
        return now > last + const.KEPT_SECONDS

    @property
    def holds_on(self) -> bool:
        """Whether its state is kept as long as the target runs."""
        return self.leaves or self.puzzles or self.flow is not None

    @property
    def has_rested(self) -> bool:
        """Whether it has asked for a back-off."""
        return math.isfinite(self.rest_until)

    @property
    def has_refused(self) -> bool:
        """Whether it has refused a request of this entry."""
        return self.has_rested or self.refusals > 0

    @property
    def refuses_until(self) -> float:
        """Until when this entry avoids it, monotonic seconds."""
        return max(self.rest_until, self.avoided_until)

    # Answers and refusals.

    def rest(self, seconds: float, now: float) -> bool:
        """Start or extend a back-off; return whether it starts."""
        begins = now >= self.rest_until
        # A later answer doesn't shorten a back-off.
        self.rest_until = max(self.rest_until, now + seconds)
        self.trial_at = _NEVER
        return begins

    def limit(self, per_s: float, now: float) -> bool:
        """Set its rate limit; return whether it has changed."""
        if self.flow is None:
            self.flow = Flow(limit_per_s=per_s, named_at=now, next_at=now)
            return True
        changes = self.flow.limit_per_s != per_s
        self.flow.limit_per_s = per_s
        self.flow.named_at = now
        return changes

    def unlimit(self, sent_at: float) -> bool:
        """Clear the limit unless it is newer than the answer's request.

        Args:
            sent_at: When the request was sent whose answer states no limit,
                monotonic seconds.

        Returns:
            Whether there was a limit.
        """
        if self.flow is None or sent_at < self.flow.named_at:
            return False
        self.flow = None
        return True

    def refuse(self, now: float) -> None:
        """Record a refusal without a back-off."""
        self.trial_at = _NEVER
        if self.bars(now) or now < self.avoided_until:
            return
        pause_s = const.AVOID_SECONDS * 2**self.refusals
        if pause_s < const.AVOID_MOST_SECONDS:
            self.refusals += 1
        self.avoided_until = now + min(pause_s, const.AVOID_MOST_SECONDS)

    def chosen(self, now: float) -> None:
        """Record that it is chosen for a request."""
        if self.has_refused:
            self.trial_at = now
        if self.flow is not None:
            self.flow.on_sent(now)

    def forgive(self) -> None:
        """Clear its back-off and its refusals."""
        self.rest_until = _NEVER
        self.forgive_refusals()

    def forgive_refusals(self) -> None:
        """Clear its refusals, but not its back-off."""
        self.refusals = 0
        self.avoided_until = _NEVER
        self.told_until = _NEVER
        self.trial_at = _NEVER
