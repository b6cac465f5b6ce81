"""Actions that the state machine of a request returns to its driver."""

import dataclasses

from jasperweir import result_codes
from jasperweir.components.claims import messages as claim_messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pick:
    """Choose a target that is not excluded."""

    exclude: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserve:
    """Reserve a slot for the run id at the chosen target."""

    rid: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Claim the key for this run.

    Attributes:
        rid: Run id.
        expect: Version of the claim to take over, 0 for a new claim.
    """

    rid: str
    expect: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """Send the request to the chosen target.

    Attributes:
        rid: Run id.
        reserved: Whether the run needs a valid reservation to start.
    """

    rid: str
    reserved: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Relay the answer to the caller."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attach:
    """Read the answer of an existing run from an offset.

    Attributes:
        rid: Run id.
        target: Agent of the run.
        target_inc: Incarnation of the agent.
        http: HTTP address of the agent.
        offset: Number of bytes that the caller already has.
        pause: Seconds to wait before reading.
    """

    rid: str
    target: str
    target_inc: int
    http: str
    offset: int
    pause: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Revoke:
    """Prevent a run id from ever starting at its target."""

    rid: str
    target: str
    target_inc: int
    http: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """The complete answer has been relayed; finish the request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replay:
    """Send the recorded answer to the caller."""

    record: claim_messages.Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """End the request with a result code.

    Attributes:
        code: Result code.
        retry_after: Seconds after which to retry, or None.
        broken: Whether a part of an answer has been relayed, so that the
            connection must be aborted to mark the answer as incomplete.
        vouched: Whether "not run" holds for all earlier tries of the request
            as well; otherwise the reported outcome is "unknown".
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
