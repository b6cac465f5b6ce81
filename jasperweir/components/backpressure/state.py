"""Backpressure of one incarnation of a target; sans-I/O."""

import dataclasses
import math

from jasperweir.components.backpressure import const

_NEVER = float("-inf")
# Part of a request that may be missing because of rounding.
_ROUNDING = 1e-9


@dataclasses.dataclass(kw_only=True, slots=True)
class RateLimiter:
    """Token bucket of one entry's requests to a target with a rate limit.

    Attributes:
        limit_per_s: Limit of the target for all entries, requests per second.
        stated_at: Time of the last answer that stated it, monotonic seconds.
        per_s: This entry's share of it, requests per second.
        burst: Requests that this entry may send at once after a pause.
        tokens: Requests that it may send now; less than 0 after requests that
            were not waited for.
        updated_at: Time of ``tokens``, monotonic seconds.
        probed_at: Time of the last probe, monotonic seconds.
    """

    limit_per_s: float
    stated_at: float
    per_s: float = 0.0
    burst: float = const.OWNER_BURST
    tokens: float = const.OWNER_BURST
    updated_at: float = _NEVER
    probed_at: float = _NEVER

    def set_share(self, per_s: float, burst: float, now: float) -> None:
        """Set this entry's rate and burst; what has accrued is kept.

        Args:
            per_s: Requests per second.
            burst: Requests after a pause.
            now: Monotonic seconds.
        """
        # Accrues at the rate that applied until now.
        self._accrue(now)
        self.per_s = per_s
        self.burst = burst

    def wait_s(self, now: float, probe_interval_s: float) -> float:
        """Return the time until a request may be sent, seconds.

        Args:
            now: Monotonic seconds.
            probe_interval_s: Interval of the probes of an entry without a share
                in the limit, seconds.
        """
        if self.per_s <= 0:
            due = max(self.stated_at, self.probed_at) + probe_interval_s
            return max(due - now, 0.0)
        self._accrue(now)
        missing = 1 - self.tokens
        return missing / self.per_s if missing > _ROUNDING else 0.0

    def on_sent(self, now: float) -> None:
        """Record that a request is sent."""
        if self.per_s <= 0:
            self.probed_at = now
        else:
            self._accrue(now)
            self.tokens -= 1

    def _accrue(self, now: float) -> None:
        elapsed_s = max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + elapsed_s * self.per_s, self.burst)
        self.updated_at = max(now, self.updated_at)


@dataclasses.dataclass(kw_only=True, slots=True)
class BackpressureState:
    """Signals and refusals of one incarnation of a target.

    Attributes:
        born: Start time of the incarnation, Unix milliseconds; 0 if unknown.
        backoff_until: End of the back-off that it asked for, monotonic seconds.
        draining: Whether it is draining and accepts no further requests.
        limiter: Limiter of its requests; None without a rate limit.
        refusals: Refusals in a row without a back-off. Those that arrive while
            it is avoided don't count, nor do any once it is avoided for the
            longest time.
        avoided_until: Until then it gets requests only if no other target
            accepts any, monotonic seconds.
        peer_avoided_until: The same, reported by other entries.
        trial_at: Time of the first request after a refusal, monotonic seconds.
        sent_unreadable: Whether it has sent an unreadable value.
    """

    born: int
    backoff_until: float = _NEVER
    draining: bool = False
    limiter: RateLimiter | None = None
    refusals: int = 0
    avoided_until: float = _NEVER
    peer_avoided_until: float = _NEVER
    trial_at: float = _NEVER
    sent_unreadable: bool = False

    # Queries.

    def is_blocked(self, now: float) -> bool:
        """Return whether it accepts no requests now."""
        return self.draining or now < self.backoff_until

    def is_avoided(self, now: float) -> bool:
        """Return whether requests should go to other targets."""
        if now < max(self.avoided_until, self.peer_avoided_until):
            return True
        return now - self.trial_at < const.TRIAL_SECONDS

    def is_expired(self, now: float) -> bool:
        """Return whether its last refusal is long over."""
        last = max(self.refuses_until, self.peer_avoided_until)
        return now > last + const.STATE_TTL_SECONDS

    @property
    def is_permanent(self) -> bool:
        """Whether its state is kept as long as the target runs."""
        return self.draining or self.sent_unreadable or self.limiter is not None

    @property
    def has_backed_off(self) -> bool:
        """Whether it has asked for a back-off."""
        return math.isfinite(self.backoff_until)

    @property
    def has_refused(self) -> bool:
        """Whether it has refused a request of this entry."""
        return self.has_backed_off or self.refusals > 0

    @property
    def refuses_until(self) -> float:
        """Until when this entry avoids it, monotonic seconds."""
        return max(self.backoff_until, self.avoided_until)

    # Answers and refusals.

    def back_off(self, seconds: float, now: float) -> bool:
        """Start or extend a back-off; return whether it starts."""
        starts = now >= self.backoff_until
        # A later answer doesn't shorten a back-off.
        self.backoff_until = max(self.backoff_until, now + seconds)
        self.trial_at = _NEVER
        return starts

    def set_limit(self, per_s: float, now: float) -> bool:
        """Set its rate limit; return whether it has changed."""
        if self.limiter is None:
            self.limiter = RateLimiter(
                limit_per_s=per_s, stated_at=now, updated_at=now
            )
            return True
        has_changed = self.limiter.limit_per_s != per_s
        self.limiter.limit_per_s = per_s
        self.limiter.stated_at = now
        return has_changed

    def clear_limit(self, sent_at: float) -> bool:
        """Clear the limit unless it is newer than the answer's request.

        Args:
            sent_at: When the request was sent whose answer states no limit,
                monotonic seconds.

        Returns:
            Whether there was a limit.
        """
        if self.limiter is None or sent_at < self.limiter.stated_at:
            return False
        self.limiter = None
        return True

    def refuse(self, now: float) -> None:
        """Record a refusal without a back-off."""
        self.trial_at = _NEVER
        if self.is_blocked(now) or now < self.avoided_until:
            return
        pause_s = const.AVOID_SECONDS * 2**self.refusals
        if pause_s < const.AVOID_MAX_SECONDS:
            self.refusals += 1
        self.avoided_until = now + min(pause_s, const.AVOID_MAX_SECONDS)

    def chosen(self, now: float) -> None:
        """Record that it is chosen for a request."""
        if self.has_refused:
            self.trial_at = now
        if self.limiter is not None:
            self.limiter.on_sent(now)

    def reset(self) -> None:
        """Clear its back-off and its refusals."""
        self.backoff_until = _NEVER
        self.clear_refusals()

    def clear_refusals(self) -> None:
        """Clear its refusals, but not its back-off."""
        self.refusals = 0
        self.avoided_until = _NEVER
        self.peer_avoided_until = _NEVER
        self.trial_at = _NEVER
