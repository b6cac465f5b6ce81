"""What forwarding must know of the protocol of callers and targets."""

from typing import NamedTuple
from typing import Protocol

from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.helpers import http_message


class Ask(NamedTuple):
    """What a caller's request says of itself.

    Attributes:
        request_id: Id of this try, chosen by the caller.
        patience_s: How long the caller waits, seconds; None if not stated.
        key: Customer's key, empty if there is none.
        prompt_tokens: Stated size of the prompt.
        answer_tokens: Most tokens that may be generated.
        resume_after: Id of the last event that the caller holds, or empty.
    """

    request_id: str
    patience_s: float | None
    key: str
    prompt_tokens: int
    answer_tokens: int
    resume_after: str


class Dispatch(NamedTuple):
    """What we say to a target about a request.

    Attributes:
        target_id: Incarnation that alone may run it.
        patience_s: Time left, seconds.
        priority: 0 is served first.
        customer: Name of the key's holder, empty without keys.
        resume_after: Id of the last event that the caller holds, or empty.
    """

    target_id: str
    patience_s: float
    priority: int
    customer: str
    resume_after: str


class TargetHead(NamedTuple):
    """What the head of a target's answer says.

    Attributes:
        request_id: Id of the request that it answers.
        signed: Whether it bears the target's signature.
        not_run: Whether it states that the request was not run.
        other_target: Whether another incarnation answered at the address.
        encoded: Whether the body is not the target's own bytes.
        load: Load that the target states, if any.
        signals: What the target asks of its callers.
    """

    request_id: str
    signed: bool
    not_run: bool
    other_target: bool
    encoded: bool
    load: balancer_lib.Report | None
    signals: signals_lib.Signals = signals_lib.NONE


class Dialect(Protocol):
    """Translate between wire and types; decides nothing."""

    def ask(self, req: http_message.Request) -> Ask:
        """Read a caller's headers.

        Raises:
            ValueError: A header has no readable value.
        """

    def dispatch(
        self, req: http_message.Request, sent: Dispatch
    ) -> http_message.Headers:
        """Return the headers of the request to a target."""

    def target_head(self, head: http_message.Head) -> TargetHead:
        """Read the headers of a target's answer."""

    def own_headers(self, ask: Ask | None) -> http_message.Headers:
        """Return the headers that an answer of our own bears."""
