"""State of one request and the rules for its retries; sans-I/O."""

import enum
from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.balance import const as balance_const
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.discovery import version_basis
from jasperweir.components.forward import const
from jasperweir.components.forward import dialect as dialect_lib

Code = result_codes.Code


class Fault(enum.Enum):
    """Why an attempt brought no usable response."""

    # No connection to the target could be opened.
    UNSENT = "unsent"
    # The target stated that it did not run the request.
    NOT_RUN = "not_run"
    # Another target has the address now and did not run the request.
    REPLACED = "replaced"
    # The target may have run it, or failed while running it.
    UNKNOWN = "unknown"


class Retry(NamedTuple):
    """Decision: try another target if the retry budget allows."""

    resume_after: str


class Fail(NamedTuple):
    """Decision: send this result code to the caller."""

    code: Code


class Abort(NamedTuple):
    """Decision: close the connection, the response cannot be completed."""

    reason: str


Decision = Retry | Fail | Abort


class RequestState:
    """State of one request and the decisions that follow from it.

    Attributes:
        match: Route and customer.
        caller_headers: Metadata from the caller's headers.
        arrived_at: When the request arrived, monotonic seconds.
        first_attempt_at: When the caller made its first attempt, estimated
            from the deadline it states, monotonic seconds.
        caller_deadline: When the caller stops waiting, monotonic seconds.
        deadline: When the response must be final, monotonic seconds.
        attempts: Number of targets that have received the request.
        deliveries: Number of times that the request was written to an address,
            as counted by the retry budget.
        undelivered: Number of attempts that did not reach the intended target.
        tried_target_ids: Targets that are not tried again.
        may_have_run: Whether a target may have run the request.
        response_started: Whether the caller has received part of the response.
        last_event_id: Id of the last event that the caller has received, or
            empty.
        has_resume_point: Whether that event is the end of what the caller has
            received.
        expected_wait_s: Expected time from arrival to a free slot, seconds.
        has_waited: Whether the request has waited for a slot or a target.
        startup_deadline: Until when the request stays queued because the entry
            has just started, monotonic seconds.
        basis: What was known of the configuration when ``match`` was decided.
        config_version: Version of the configuration of ``match``.
        admitted_version: Version that let the request through at first.
    """

    def __init__(
        self,
        *,
        match: index.RouteMatch,
        caller_headers: dialect_lib.CallerHeaders,
        now: float,
        used_s: float = 0.0,
    ) -> None:
        """Initialize the state of a request.

        Args:
            match: Route and customer.
            caller_headers: Metadata from the caller's headers.
            now: Arrival of the request, monotonic seconds.
            used_s: Time that the caller spent on earlier attempts, seconds.
        """
        self.match = match
        self.caller_headers = caller_headers
        self.arrived_at = now
        self.first_attempt_at = now - used_s
        patience_s = caller_headers.patience_s
        if patience_s is None:
            patience_s = const.DEFAULT_DEADLINE_SECONDS
        self.caller_deadline = now + patience_s
        self.deadline = now + min(patience_s, match.route.timeout_s)
        self.attempts = 0
        self.deliveries = 0
        self.undelivered = 0
        self.tried_target_ids: set[str] = set()
        self.may_have_run = False
        self.response_started = False
        self.last_event_id = caller_headers.resume_after
        self.has_resume_point = True
        self.expected_wait_s = 0.0
        self.has_waited = False
        self.startup_deadline = float("-inf")
        self.basis = version_basis.VersionBasis()
        self.config_version = 0
        self.admitted_version = 0

    @property
    def is_stream(self) -> bool:
        """Whether the response is passed on event by event."""
        return self.match.route.kind is model.RouteKind.STREAM

    @property
    def customer_name(self) -> str:
        """Name of the customer that holds the key, or empty."""
        customer = self.match.customer
        return customer.name if customer else ""

    @property
    def is_resumed(self) -> bool:
        """Whether the caller resumes a response that broke off."""
        return (
            bool(self.caller_headers.resume_after)
            and self.match.route.resumable
        )

    @property
    def is_last_attempt(self) -> bool:
        """Whether the caller is unlikely to try again after a rejection."""
        return self.is_resumed or self.first_attempt_at < self.arrived_at

    @property
    def can_move(self) -> bool:
        """Whether the request may be cancelled and sent to another target."""
        route = self.match.route
        if not self.is_stream or not route.resumable:
            return False
        if not self.can_continue:
            return False
        return 0 < self.attempts < route.max_attempts

    @property
    def can_continue(self) -> bool:
        """Whether another target's response may follow what was passed on."""
        if not self.response_started:
            return True
        return (
            self.is_stream
            and self.match.route.resumable
            and self.has_resume_point
        )

    @property
    def can_change_service(self) -> bool:
        """Whether targets of another service may answer the request."""
        return not self.response_started

    @property
    def max_wait_s(self) -> float:
        """Longest wait for a slot on a caller's first attempt, seconds."""
        return min(
            balance_const.WAIT_SHARE * self.match.route.target_s,
            balance_const.WAIT_MAX_SHARE * self.remaining_s(self.arrived_at),
        )

    def expect_wait(self, seconds: float) -> bool:
        """Set the expected wait for a slot.

        Args:
            seconds: Expected wait.

        Returns:
            Whether the request should wait that long.
        """
        self.expected_wait_s = seconds
        return self.is_last_attempt or seconds <= self.max_wait_s

    @property
    def wait_deadline(self) -> float:
        """When the request is rejected without a slot, monotonic seconds."""
        target_s = self.match.route.target_s
        min_wait_s = balance_const.WAIT_MIN_SECONDS
        if self.is_resumed:
            wait_s = balance_const.RESUMED_WAIT_SECONDS
        elif self.is_last_attempt:
            remaining_s = self.remaining_s(self.arrived_at)
            wait_s = min(
                balance_const.RETRY_WAIT_SHARE * target_s,
                balance_const.RETRY_WAIT_MAX_SHARE * remaining_s,
            )
        else:
            usual_s = balance_const.FORECAST_FACTOR * self.expected_wait_s
            wait_s = min(self.max_wait_s, max(usual_s, min_wait_s))
        return max(self.arrived_at + wait_s, self.startup_deadline)

    def remaining_s(self, now: float) -> float:
        """Return the time left for the response, seconds."""
        return self.deadline - now

    def on_sent(self, target_id: str) -> None:
        """Record that the request is written to a target."""
        self.attempts += 1
        self.deliveries += 1
        self.tried_target_ids.add(target_id)

    def on_passed_on(
        self, last_event_id: str, *, has_resume_point: bool
    ) -> None:
        """Record a part of the response that was passed on to the caller.

        Args:
            last_event_id: Id of the last complete event.
            has_resume_point: Whether nothing was passed on after it.
        """
        self.last_event_id = last_event_id
        self.has_resume_point = has_resume_point

    def on_moved(self) -> None:
        """Record that the request was cancelled at its target."""
        self.may_have_run = True

    def on_target_unavailable(self, target_id: str) -> Decision:
        """Decide on a request whose target closed before it was sent."""
        self.tried_target_ids.add(target_id)
        return Retry(resume_after=self.last_event_id)

    def on_fault(self, target_id: str, fault: Fault, now: float) -> Decision:
        """Decide on a request whose attempt brought no complete response."""
        self.tried_target_ids.add(target_id)
        match fault:
            case Fault.UNSENT:
                self.undelivered += 1
            case Fault.REPLACED:
                # The intended target did not receive the request.
                self.attempts -= 1
                self.undelivered += 1
            case Fault.UNKNOWN:
                self.may_have_run = True
                if not self.match.route.is_idempotent:
                    return self.fail(Code.BROKEN_OFF)
        if self.undelivered >= const.MAX_UNDELIVERED:
            return self.fail(Code.NO_TARGET)
        if self.attempts >= self.match.route.max_attempts:
            return self.fail(Code.TARGETS_REFUSED)
        if self.remaining_s(now) < const.MIN_ATTEMPT_SECONDS:
            return self.fail(Code.DEADLINE_PASSED)
        if not self.can_continue:
            return self.fail(Code.BROKEN_OFF)
        return Retry(resume_after=self.last_event_id)

    def fail(self, code: Code) -> Decision:
        """Return the final decision on a request that is not tried again.

        A result code that promises "not run" is replaced by BROKEN_OFF if a
        target may have run the request.
        """
        if self.response_started:
            return Abort(reason=code.name.lower())
        outcome = result_codes.TABLE[code].outcome
        if self.may_have_run and outcome is result_codes.Outcome.NOT_RUN:
            return Fail(code=Code.BROKEN_OFF)
        return Fail(code=code)

    def on_timeout(self, at_target: bool) -> Decision:
        """Decide on a request whose deadline has passed."""
        if at_target:
            self.may_have_run = True
        if self.may_have_run:
            return self.fail(Code.DEADLINE_PASSED)
        return self.fail(Code.OVERLOADED)

    def classify_response(
        self, status: int, head: dialect_lib.ResponseHead
    ) -> Fault | None:
        """Return the fault that the head of a response shows.

        Returns:
            None if the response is passed on to the caller, errors included.
        """
        if head.other_target:
            return Fault.REPLACED
        if head.not_run:
            return Fault.NOT_RUN
        is_success = 200 <= status < 300
        if self.response_started and not is_success:
            # An error is no continuation of the stream.
            return Fault.UNKNOWN
        if is_success:
            if not head.signed or head.encoded:
                return Fault.UNKNOWN
            return None
        if status >= 500 and self.match.route.is_idempotent:
            if self.attempts < self.match.route.max_attempts:
                return Fault.UNKNOWN
        if status in _NOT_RUN_STATUSES:
            # Without the target's own statement the request may have run.
            return Fault.UNKNOWN
        return None


# Statuses that tell a caller that its request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
