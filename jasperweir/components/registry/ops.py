"""Operations on the registry and the records that it stores."""

from typing import NamedTuple

from jasperweir.components.directory import records
from jasperweir.helpers import codec


class Request(NamedTuple):
    """Operation as stored in the log.

    Attributes:
        op_id: ID chosen by the operator; an ID is applied only once.
        who: Authenticated operator or control VM.
        at: Wall time of the proposal, seconds since the Unix epoch.
        body: Tagged operation, one of the types below.
    """

    op_id: str
    who: str
    at: float
    body: bytes


class Answer(NamedTuple):
    """Result of an operation; a resent operation gets the same answer.

    Attributes:
        code: Result code.
        version: Version, epoch or term that the code refers to.
        detail: Explanation for the operator.
    """

    code: int
    version: int
    detail: str


@codec.message("op.sign_off")
class SignOff(NamedTuple):
    """Adds a version with changes to its parent, by compare-and-set.

    Attributes:
        parent: Newest version that the operator knows.
        change: Pairs of a key and its new value, None to remove the key.
        content_hash: Hash of the resulting content.
        note: Free text of the operator.
    """

    parent: int
    change: tuple[tuple[str, str | None], ...]
    content_hash: str
    note: str


@codec.message("op.roll")
class Roll(NamedTuple):
    """Applies a signed-off version to one data centre after another."""

    version: int


@codec.message("op.roll_step")
class RollStep(NamedTuple):
    """Applies the version of a roll to its next data centre."""

    version: int
    place: str


@codec.message("op.roll_halt")
class RollHalt(NamedTuple):
    """Halts a roll."""

    version: int
    reason: str


@codec.message("op.withdraw")
class Withdraw(NamedTuple):
    """Replaces a version by a higher one with the content of its parent."""

    version: int
    reason: str


@codec.message("op.set_view")
class SetView(NamedTuple):
    """Replaces the claim view; ``epoch`` must be the next one."""

    epoch: int
    members: tuple[tuple[str, int, str], ...]


@codec.message("op.appoint")
class Appoint(NamedTuple):
    """Appoints the coordinator of a group; ``term`` must be the next one."""

    group: str
    coordinator: str
    incarnation: int
    term: int


@codec.message("op.replace")
class Replace(NamedTuple):
    """Applies a configuration unless a higher version is applied.

    Attributes:
        version: Version chosen by the operator.
        data: Compressed configuration as received.
    """

    version: int
    data: bytes


@codec.message("op.evacuate")
class Evacuate(NamedTuple):
    """Evacuates a data centre or withdraws its evacuation.

    Attributes:
        place: The data centre.
        evacuated: Wanted state.
        expected: Number of orders of this data centre that the accepting
            control VM knew. An order with another number is refused unless
            the wanted state holds, so a delayed copy changes nothing.
    """

    place: str
    evacuated: bool
    expected: int


@codec.message("op.depart")
class Depart(NamedTuple):
    """Records targets that are leaving or gone.

    Attributes:
        targets: Their records.
    """

    targets: tuple[records.Target, ...]


class Departed(NamedTuple):
    """Record of a target that is leaving or gone.

    Attributes:
        idx: Log index of the entry that it is from.
        at: Wall time of the proposal, seconds since the Unix epoch.
        target: The target.
    """

    idx: int
    at: float
    target: records.Target


class Evacuation(NamedTuple):
    """State of one data centre.

    Attributes:
        evacuated: Whether its targets get no requests.
        orders: Number of accepted orders.
    """

    evacuated: bool = False
    orders: int = 0


class EvacuationList(NamedTuple):
    """Evacuated data centres.

    Attributes:
        revision: Log index of the last accepted order, 0 before the first.
        places: The data centres, sorted.
    """

    revision: int = 0
    places: tuple[str, ...] = ()


class Declared(NamedTuple):
    """Applied configuration, compressed."""

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
    """Progress of the newest roll.

    Attributes:
        version: Version that is rolled.
        done: Data centres that have it.
        pending: Data centres that follow, in order.
        halted: Reason of a halt, or empty.
    """

    version: int
    done: tuple[str, ...]
    pending: tuple[str, ...]
    halted: str = ""


class View(NamedTuple):
    """Claim view: the entries that own claims.

    Attributes:
        epoch: Number of the view.
        members: Name, incarnation and data centre of each entry.
        previous: Members of the view before.
    """

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
    """Audit record of one operation and its result."""

    idx: int
    at: float
    who: str
    op_id: str
    kind: str
    code: int
    version: int
