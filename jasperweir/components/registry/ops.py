"""Operations on the registry and the records that it keeps."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Request(NamedTuple):
    """One operation as it stands in the log.

    Attributes:
        op_id: Chosen by the operator; the same id is applied once.
        who: Authenticated operator or control VM.
        at: Wall time of the proposal, seconds since the Unix epoch.
        body: Tagged operation, one of the types below.
    """

    op_id: str
    who: str
    at: float
    body: bytes


class Answer(NamedTuple):
    """What an operation came to; resent ones get the same answer."""

    code: int
    version: int
    detail: str


@codec.message("op.sign_off")
class SignOff(NamedTuple):
    """Add a version that changes its parent, by compare-and-set."""

    parent: int
    change: tuple[tuple[str, str | None], ...]
    content_hash: str
    note: str


@codec.message("op.roll")
class Roll(NamedTuple):
    """Bring a signed-off version into force, place after place."""

    version: int


@codec.message("op.roll_step")
class RollStep(NamedTuple):
    """The roll reaches its next place."""

    version: int
    place: str


@codec.message("op.roll_halt")
class RollHalt(NamedTuple):
    """The roll stops where it is."""

    version: int
    reason: str


@codec.message("op.withdraw")
class Withdraw(NamedTuple):
    """Supersede a version by a higher one with its parent's content."""

    version: int
    reason: str


@codec.message("op.set_view")
class SetView(NamedTuple):
    """Replace the entries that own claims; ``epoch`` must be the next."""

    epoch: int
    members: tuple[tuple[str, int, str], ...]


@codec.message("op.appoint")
class Appoint(NamedTuple):
    """Name the agent that coordinates a group; ``term`` must be the next."""

    group: str
    coordinator: str
    incarnation: int
    term: int


@codec.message("op.replace")
class Replace(NamedTuple):
    """Put a whole configuration into force unless a higher one is.

    Attributes:
        version: The operator's number; the highest one is in force.
        data: Compressed content as the operator sent it.
    """

    version: int
    data: bytes


class Declared(NamedTuple):
    """The whole configuration that is in force."""

    version: int
    data: bytes


class Version(NamedTuple):
    """Record of one signed-off version."""

    version: int
    parent: int
    content_hash: str
    who: str
    at: float
    note: str
    withdrawn: str = ""


class RollState(NamedTuple):
    """Progress of the newest roll."""

    version: int
    done: tuple[str, ...]
    pending: tuple[str, ...]
    halted: str = ""


class View(NamedTuple):
    """Entries that own claims, each with its incarnation and place."""

    epoch: int
    members: tuple[tuple[str, int, str], ...]
    previous: tuple[tuple[str, int, str], ...] = ()


class Appointment(NamedTuple):
    """Coordinator of a group and the term of its grants."""

    group: str
    coordinator: str
    incarnation: int
    term: int


class AuditRecord(NamedTuple):
    """Who did what, when, and with which result."""

    idx: int
    at: float
    who: str
    op_id: str
    kind: str
    code: int
    version: int
