"""What the life of a request asks of its driver."""

import dataclasses

from jasperweir import result_codes
from jasperweir.components.claims import messages as claim_messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pick:
    """Choose a target other than these."""

    exclude: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserve:
    """Reserve the run id at the picked target."""

    rid: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Claim the key for this run, or take the claim over at a version."""

    rid: str
    expect: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Send the request to the picked target.

    Attributes:
        rid: Run id.
        reserved: Whether only a live reservation may start it.
    """

    rid: str
    reserved: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Hand the answer through to the caller."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attach:
    """Read the answer of a run that exists, from an offset.

    Attributes:
        rid: Run id.
        target: Agent that holds the run.
        target_inc: Incarnation that holds it.
        http: HTTP address of the agent.
        offset: Bytes that the caller has already.
        pause: Seconds to wait first.
    """

    rid: str
    target: str
    target_inc: int
    http: str
    offset: int
    pause: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Revoke:
    """Make sure that a run id never starts at its target."""

    rid: str
    target: str
    target_inc: int
    http: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """The answer is whole and has been handed on."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """Give the caller the recorded answer."""

    record: claim_messages.Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Give the caller its final answer, now.

    Attributes:
        code: Result code.
        retry_after: When to come back, or None.
        broken: Bytes of an answer were given already, so that all that can
            be done is to break it off so that nobody takes it for whole.
        vouched: Whether "not run" is known of all earlier tries as well; if
            not, the outcome told is "unknown".
    """

    code: result_codes.Code
    retry_after: float | None = None
    broken: bool = False
    vouched: bool = True


Action = (
    Pick
    | Reserve
    | Claim
    | Run
    | Relay
    | Attach
    | Revoke
    | Finish
    | Replay
    | Answer
)
