"""Verdicts on one request: what may be sent again, what is answered."""

import enum
from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.balance import const as balance_const
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.forward import const
from jasperweir.components.forward import dialect as dialect_lib

Code = result_codes.Code


class Fault(enum.Enum):
    """What became of a send that brought no usable answer."""

    # No byte reached a target.
    UNSENT = "unsent"
    # The target states that it did not run the request.
    NOT_RUN = "not_run"
    # Another incarnation has the address now; the request was not run.
    REPLACED = "replaced"
    # The target may have run it, or failed while running it.
    UNKNOWN = "unknown"


class Retry(NamedTuple):
    """Verdict: choose another target, if the retry budget allows."""

    resume_after: str


class Fail(NamedTuple):
    """Verdict: the caller gets this result code as its answer."""

    code: Code


class Abort(NamedTuple):
    """Verdict: the answer that has begun cannot be completed."""

    reason: str


Decision = Retry | Fail | Abort


class Life:
    """Facts of one request and the rules that follow from them.

    Attributes:
        match: Route and customer.
        ask: What the caller stated.
        arrived: When it arrived, monotonic seconds.
        asked_at: When its caller first asked, as far as is known, monotonic
            seconds.
        ends: When its answer must be final, monotonic seconds.
        sends: How many targets have received it.
        arrivals: How many times it has arrived at an address, which is what
            the retry budget counts.
        misses: How many sends did not reach the target that was meant.
        tried: Targets that are not to be tried again.
        may_have_run: Whether a target may have run it.
        started: Whether the caller has received a part of the answer.
        last_event: Id of the last event that the caller holds, or empty.
        foreseen_s: Seconds after its arrival when a place was foreseen.
        kept_until: Until when it waits in any case, since its entry has just
            started, monotonic seconds.
    """

    def __init__(
        self,
        *,
        match: index.Match,
        ask: dialect_lib.Ask,
        now: float,
        used_s: float = 0.0,
    ) -> None:
        """Begin a request.

        Args:
            match: Route and customer.
            ask: What the caller stated.
            now: Monotonic seconds.
            used_s: Seconds that its caller has spent on earlier tries.
        """
        self.match = match
        self.ask = ask
        self.arrived = now
        self.asked_at = now - used_s
        patience = ask.patience_s
        if patience is None:
            patience = const.DEFAULT_DEADLINE_SECONDS
        self.caller_deadline = now + patience
        self.deadline = now + min(patience, match.route.timeout_s)
        self.attempts = 0
        self.deliveries = 0
        self.undelivered = 0
        self.tried_target_ids: set[str] = set()
        self.may_have_run = False
        self.response_started = False
        self.last_event_id = ask.resume_after
        self.expected_wait_s = 0.0
        self.startup_deadline = float("-inf")

    @property
    def is_stream(self) -> bool:
        """Whether the answer is passed on event by event."""
        return self.match.route.kind is model.Kind.STREAM

    @property
    def customer_name(self) -> str:
        """Name of the customer whose key it bears, or empty."""
        customer = self.match.customer
        return customer.name if customer else ""

    @property
    def is_resumed(self) -> bool:
        """Whether the caller goes on with an answer that broke off."""
        return bool(self.ask.resume_after) and self.match.route.resumable

    @property
    def is_last_try(self) -> bool:
        """Whether its caller is not likely to ask once more if refused."""
        return self.is_resumed or self.asked_at < self.arrived

    @property
    def can_move(self) -> bool:
        """Whether it may be stopped and go on at another target."""
        route = self.match.route
        if not self.is_stream or not route.resumable:
            return False
        return 0 < self.attempts < route.max_attempts

    @property
    def max_wait_s(self) -> float:
        """Longest time that a first try waits for a place, seconds."""
        return min(
            balance_const.WAIT_SHARE * self.match.route.target_s,
            balance_const.WAIT_MOST_SHARE * self.remaining_s(self.arrived),
        )

    def expect_wait(self, seconds: float) -> bool:
        """Note when a place is expected; False if that is too late to wait."""
        self.expected_wait_s = seconds
        return self.is_last_try or seconds <= self.max_wait_s

    @property
    def waits_until(self) -> float:
        """When a request without a place is refused, monotonic seconds."""
        target_s = self.match.route.target_s
        least_s = balance_const.WAIT_LEAST_SECONDS
        if self.is_resumed:
            wait = balance_const.RESUMED_WAIT_SECONDS
        elif self.is_last_try:
            left = self.remaining_s(self.arrived)
            wait = min(
                balance_const.RETURNED_WAIT_SHARE * target_s,
                balance_const.RETURNED_WAIT_MOST_SHARE * left,
            )
        else:
            usual_s = balance_const.FORECAST_FACTOR * self.expected_wait_s
            wait = min(self.max_wait_s, max(usual_s, least_s))
        return max(self.arrived + wait, self.startup_deadline)

    def remaining_s(self, now: float) -> float:
        """Return the seconds that are left for an answer."""
        return self.deadline - now

    def on_sent(self, target_id: str) -> None:
        """Note that bytes of the request go to a target."""
        self.attempts += 1
        self.deliveries += 1
        self.tried_target_ids.add(target_id)

    def on_moved(self) -> None:
        """Note that its target was told to stop."""
        self.may_have_run = True

    def on_target_unavailable(self, target_id: str) -> Decision:
        """Judge a request whose target wants no more before it was sent."""
        self.tried_target_ids.add(target_id)
        return Retry(resume_after=self.last_event_id)

    def on_fault(self, target_id: str, fault: Fault, now: float) -> Decision:
        """Judge a send that brought no whole answer."""
        self.tried_target_ids.add(target_id)
        match fault:
            case Fault.UNSENT:
                self.undelivered += 1
            case Fault.REPLACED:
                # It has not reached the target that was meant.
                self.attempts -= 1
                self.undelivered += 1
            case Fault.UNKNOWN:
                self.may_have_run = True
                if not self.match.route.idempotent:
                    return self.fail(Code.BROKEN_OFF)
        if self.undelivered >= const.MAX_UNDELIVERED:
            return self.fail(Code.NO_TARGET)
        if self.attempts >= self.match.route.max_attempts:
            return self.fail(Code.TARGETS_REFUSED)
        if self.remaining_s(now) < const.MIN_ATTEMPT_SECONDS:
            return self.fail(Code.DEADLINE_PASSED)
        if self.response_started and not self.match.route.resumable:
            return self.fail(Code.BROKEN_OFF)
        return Retry(resume_after=self.last_event_id)

    def fail(self, code: Code) -> Decision:
        """Return the final answer of a request that is given up.

        A code that says "not run" turns into one that leaves it open as soon
        as a target may have run the request.
        """
        if self.response_started:
            return Abort(reason=code.name.lower())
        outcome = result_codes.TABLE[code].outcome
        if self.may_have_run and outcome is result_codes.Outcome.NOT_RUN:
            return Fail(code=Code.BROKEN_OFF)
        return Fail(code=code)

    def on_timeout(self, at_target: bool) -> Decision:
        """Judge a request whose time is up."""
        if at_target:
            self.may_have_run = True
        if self.may_have_run:
            return self.fail(Code.DEADLINE_PASSED)
        return self.fail(Code.OVERLOADED)

    def classify_response(
        self, status: int, head: dialect_lib.TargetHead
    ) -> Fault | None:
        """Return the fault that an answer's head shows, or None.

        None means that the answer is the caller's, a failure included.
        """
        if head.other_target:
            return Fault.REPLACED
        if head.not_run:
            return Fault.NOT_RUN
        if 200 <= status < 300:
            if not head.signed or head.encoded:
                return Fault.UNKNOWN
            return None
        if status >= 500 and self.match.route.idempotent:
            if self.attempts < self.match.route.max_attempts:
                return Fault.UNKNOWN
        if status in _NOT_RUN_STATUSES:
            # Only the target's own statement makes "not run" true.
            return Fault.UNKNOWN
        return None


# Statuses by which a caller is told that its request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
