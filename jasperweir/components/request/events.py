"""Events of a request."""

import dataclasses

from jasperweir import result_codes
from jasperweir.components.claims import messages as claim_messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Admitted:
    """Admission admitted the request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Denied:
    """Admission refused the request."""

    code: result_codes.Code
    retry_after: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Picked:
    """Routing chose a target."""

    name: str
    inc: int
    http: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoTarget:
    """Routing found no target."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reserved:
    """The agent reserved a slot, in the expected incarnation."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Claimed:
    """The primary of the key's partition answered."""

    verdict: str
    record: claim_messages.Record | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """The agent, in the expected incarnation, will not run this request."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unsent:
    """No connection was established, so nothing was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OtherIncarnation:
    """Another incarnation of the agent answered; it has no such run."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The head of the answer was received."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Whole:
    """The answer was received completely."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Broke:
    """The connection broke, or the answer ended before it was complete.

    Attributes:
        relayed: Number of bytes relayed to the caller.
        ended: Whether the agent reported that the run broke.
        engine_end: Number of the engine crash that broke the run, 0 if the
            engine still listens or this is unknown.
    """

    relayed: int
    ended: bool = False
    engine_end: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The agent, in the expected incarnation, has no such run."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exists:
    """The run to be revoked has started already."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Expired:
    """The deadline passed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLeft:
    """The caller closed its connection."""


Event = (
    Admitted
    | Denied
    | Picked
    | NoTarget
    | Reserved
    | Claimed
    | Refused
    | Unsent
    | OtherIncarnation
    | Head
    | Whole
    | Broke
    | Unknown
    | Exists
    | Expired
    | CallerLeft
)
