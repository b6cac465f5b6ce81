"""State of an engine, orders to it, and messages between leader and agent."""

from typing import NamedTuple

from jasperweir.components.mapswitch import counter
from jasperweir.helpers import codec

# Experts by set and rank: ``placement[set][rank]`` holds expert numbers.
Placement = tuple[tuple[tuple[int, ...], ...], ...]


class EngineState(NamedTuple):
    """What an engine reports of itself.

    Attributes:
        group: Name of its group.
        epoch: Counts how often the group has formed.
        rank: Its place in the group.
        size: Ranks of the group.
        is_open: Whether the group runs passes.
        sequence: Number of orders that have begun something.
        passes: Number of the last pass that was begun.
        map_version: Map in use.
        prepared: Version whose experts are all copied, 0 if none.
        armed: Version to which it switches, 0 if none.
        armed_at: Pass at which it switches.
        held: Pass that does not begin without a release, 0 if none.
        pace: Above 1 if it is slow.
        running: Requests that it runs.
        queued: Requests that wait.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    sequence: int
    passes: int
    map_version: int
    prepared: int
    armed: int
    armed_at: int
    held: int
    pace: float
    running: int
    queued: int


@codec.message("order.prepare")
class Prepare(NamedTuple):
    """Copy the experts that are new in a map."""

    version: int
    placement: Placement


@codec.message("order.arm")
class Arm(NamedTuple):
    """Use a prepared map from a pass on."""

    version: int
    at_pass: int


@codec.message("order.disarm")
class Disarm(NamedTuple):
    """Take an Arm back."""

    version: int


@codec.message("order.hold")
class Hold(NamedTuple):
    """Do not begin a pass before its Release."""

    at_pass: int


@codec.message("order.release")
class Release(NamedTuple):
    """Let a held pass begin."""

    at_pass: int


Order = Prepare | Arm | Disarm | Hold | Release


@codec.message("mapswitch.order_ask")
class OrderRequest(NamedTuple):
    """The leader of a term has an order for the engine at an agent.

    Attributes:
        number: Number of the order, which rises within a term.
        term: Term of the leader.
        epoch: Epoch of the group in which it holds.
        engine: Address of the engine, which may be on another VM.
        order: The order, tagged.
        leader: Who is to be answered, if another node passes the order on.
    """

    number: int
    term: int
    epoch: int
    engine: str
    order: bytes
    leader: str = ""


@codec.message("mapswitch.order_done")
class OrderResult(NamedTuple):
    """What became of an order.

    Attributes:
        number: Number of the order.
        term: Term that the agent holds.
        ok: Whether the engine's state is now the one that was asked for.
        state: State after it, if it could be read.
    """

    number: int
    term: int
    ok: bool
    state: EngineState | None


@codec.message("mapswitch.beat")
class EngineBeat(NamedTuple):
    """An agent tells the leader of its engine.

    Attributes:
        service: Service of the engine.
        address: Address of the engine.
        term: Highest term that the agent has seen; it takes no order of a
            lower one.
        state: What the engine reports.
        choices: What its requests chose since its counts were told last; empty
            if the leader did not ask for them.
        experts: Experts that the engine holds, by set.
    """

    service: str
    address: str
    term: int
    state: EngineState
    choices: counter.Choices
    experts: tuple[tuple[int, ...], ...]


class SlowTarget(NamedTuple):
    """A target that is slower than usual, by a factor."""

    address: str
    pace: float


@codec.message("balance.slow")
class SlowTargets(NamedTuple):
    """The leader tells the entries which targets are slow at present."""

    targets: tuple[SlowTarget, ...]


@codec.message("mapswitch.pace")
class ReportRateRequest(NamedTuple):
    """The leader of a term wants beats at a faster or slower pace.

    Attributes:
        term: Term of the leader.
        busy: Whether a switch is under way.
        counted: Whether the beats are to hold what requests choose.
        near: Whether beats cost little, so that there may be more of them.
    """

    term: int
    busy: bool
    counted: bool
    near: bool = False
