"""What one incarnation of a target has asked of one entry; sans-I/O."""

import dataclasses
import math

from jasperweir.components.backpressure import const

_NEVER = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class Flow:
    """Requests of one entry to a target with a limit, spaced evenly.

    Attributes:
        limit_per_s: What the target takes of all entries, requests a second.
        named_at: When an answer has named that last, monotonic seconds.
        per_s: This entry's part of it, requests a second.
        next_at: When the next request is due at an even pace, monotonic
            seconds.
        looked_at: When one was sent to see whether the limit still stands.
    """

    limit_per_s: float
    named_at: float
    per_s: float = 0.0
    next_at: float = _NEVER
    looked_at: float = _NEVER

    def opens_in_s(self, now: float, look_s: float) -> float:
        """Return the seconds until a request may go.

        Args:
            now: Monotonic seconds.
            look_s: An entry without a part in the limit looks after this long
                whether it still stands, seconds.
        """
        if self.per_s <= 0:
            due = max(self.named_at, self.looked_at) + look_s
        else:
            due = self.next_at - (const.OWNER_BURST - 1) / self.per_s
        return max(due - now, 0.0)

    def on_sent(self, now: float) -> None:
        """Note that a request goes."""
        if self.per_s <= 0:
            self.looked_at = now
        else:
            self.next_at = max(self.next_at, now) + 1 / self.per_s


@dataclasses.dataclass(kw_only=True, slots=True)
class Asked:
    """What one incarnation of a target has asked, and how it refuses.

    Attributes:
        born: Start that asked, Unix milliseconds, 0 if it does not say.
        rest_until: Until when it wants no request, monotonic seconds.
        leaves: Whether it wants none any more.
        flow: Requests to it if it has a limit.
        refusals: How many requests in a row it has refused without saying for
            how long; those that were on their way together count as one, and
            none once it is avoided for the longest time.
        avoided_until: Until when it gets requests only if no other target
            wants them, monotonic seconds.
        told_until: The same, as other entries have told.
        trial_at: When the first request after a refusal was chosen for it.
        puzzles: Whether it has said what cannot be read.
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
        """Tell whether no request may reach it."""
        return self.leaves or now < self.rest_until

    def is_avoided(self, now: float) -> bool:
        """Tell whether requests go elsewhere if they can."""
        if now < max(self.avoided_until, self.told_until):
            return True
        return now - self.trial_at < const.TRIAL_SECONDS

    def is_over(self, now: float) -> bool:
        """Tell whether it is long ago that it turned requests away."""
        last = max(self.refuses_until, self.told_until)
        return now > last + const.KEPT_SECONDS

    @property
    def holds_on(self) -> bool:
        """Whether what it has said is kept as long as it runs."""
        return self.leaves or self.puzzles or self.flow is not None

    @property
    def has_rested(self) -> bool:
        """Whether it has asked for rest."""
        return math.isfinite(self.rest_until)

    @property
    def has_refused(self) -> bool:
        """Whether it has refused a request of this entry."""
        return self.has_rested or self.refusals > 0

    @property
    def refuses_until(self) -> float:
        """Until when this entry sends it nothing if it can help it."""
        return max(self.rest_until, self.avoided_until)

    # What it says and does.

    def rest(self, seconds: float, now: float) -> bool:
        """Note that it asks for rest; return whether it did not rest before."""
        begins = now >= self.rest_until
        # A later answer does not take back what an earlier one has asked.
        self.rest_until = max(self.rest_until, now + seconds)
        self.trial_at = _NEVER
        return begins

    def limit(self, per_s: float, now: float) -> bool:
        """Note that it names a limit; return whether that is a new one."""
        if self.flow is None:
            self.flow = Flow(limit_per_s=per_s, named_at=now, next_at=now)
            return True
        changes = self.flow.limit_per_s != per_s
        self.flow.limit_per_s = per_s
        self.flow.named_at = now
        return changes

    def unlimit(self, sent_at: float) -> bool:
        """Note an answer that names none; return whether a limit is over."""
        if self.flow is None or sent_at < self.flow.named_at:
            return False
        self.flow = None
        return True

    def refuse(self, now: float) -> None:
        """Note that it refuses a request without a word on how long."""
        self.trial_at = _NEVER
        if self.bars(now) or now < self.avoided_until:
            return
        pause_s = const.AVOID_SECONDS * 2**self.refusals
        if pause_s < const.AVOID_MOST_SECONDS:
            self.refusals += 1
        self.avoided_until = now + min(pause_s, const.AVOID_MOST_SECONDS)

    def chosen(self, now: float) -> None:
        """Note that it is chosen for a request."""
        if self.has_refused:
            self.trial_at = now
        if self.flow is not None:
            self.flow.on_sent(now)

    def forgive(self) -> None:
        """Note that it takes requests again."""
        self.rest_until = _NEVER
        self.forgive_refusals()

    def forgive_refusals(self) -> None:
        """Drop its refusals; a rest that it has asked for stands."""
        self.refusals = 0
        self.avoided_until = _NEVER
        self.told_until = _NEVER
        self.trial_at = _NEVER
