"""Protocol-specific headers of callers and targets, as typed values."""

from typing import NamedTuple
from typing import Protocol

from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.helpers import http_message


class CallerHeaders(NamedTuple):
    """Metadata that a caller states in its request's headers.

    Attributes:
        request_id: Id of this attempt, chosen by the caller.
        patience_s: How long the caller waits for the response, seconds; None if
            not stated.
        key: Customer's API key, empty if there is none.
        prompt_tokens: Stated size of the prompt.
        answer_tokens: Maximum number of tokens to generate.
        resume_after: Id of the last event that the caller has received, or
            empty.
        prompt_parts: Ids of the parts of the prompt that other requests may
            have in common with it, in their order.
    """

    request_id: str
    patience_s: float | None
    key: str
    prompt_tokens: int
    answer_tokens: int
    resume_after: str
    prompt_parts: tuple[str, ...] = ()


class TargetRequest(NamedTuple):
    """Metadata that is sent to a target with a request.

    Attributes:
        target_id: Id of the only target that may run the request.
        patience_s: Time left for the response, seconds.
        priority: 0 is served first.
        customer: Name of the customer that holds the key, empty without keys.
        resume_after: Id of the last event that the caller has received, or
            empty.
    """

    target_id: str
    patience_s: float
    priority: int
    customer: str
    resume_after: str


class ResponseHead(NamedTuple):
    """Metadata from the status line and headers of a target's response.

    Attributes:
        request_id: Id of the request that is answered.
        signed: Whether the target's signature is present.
        not_run: Whether the target states that it did not run the request.
        other_target: Whether another target responded at the address.
        encoded: Whether the body has a content encoding, so that its bytes are
            not the target's own.
        load: Load that the target reports, if any.
        signals: Backpressure signals of the target.
        cold_s: Time for which the target states that it is cold, seconds; 0 if
            not stated.
    """

    request_id: str
    signed: bool
    not_run: bool
    other_target: bool
    encoded: bool
    load: balancer_lib.Report | None
    signals: signals_lib.Signals = signals_lib.NONE
    cold_s: float = 0.0


class Dialect(Protocol):
    """Translates between HTTP headers and typed values.

    An implementation makes no forwarding decisions.
    """

    def parse_caller_headers(self, req: http_message.Request) -> CallerHeaders:
        """Parse the headers of a caller's request.

        Raises:
            ValueError: A header value is malformed.
        """

    def build_target_headers(
        self, req: http_message.Request, target_request: TargetRequest
    ) -> http_message.Headers:
        """Build the headers of the request to a target."""

    def parse_response_head(self, head: http_message.Head) -> ResponseHead:
        """Parse the head of a target's response."""

    def build_own_headers(
        self, caller_headers: CallerHeaders | None
    ) -> http_message.Headers:
        """Build the headers of a response that the entry generates."""
