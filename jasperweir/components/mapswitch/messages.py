"""Engine state, orders to engines, messages between leader and agents."""

from typing import NamedTuple

from jasperweir.components.mapswitch import expert_counts
from jasperweir.helpers import codec

# Experts by set and rank: ``placement[set][rank]`` holds expert numbers.
Placement = tuple[tuple[tuple[int, ...], ...], ...]


class EngineState(NamedTuple):
    """State that an engine reports.

    Attributes:
        group: Name of its group.
        epoch: Number of times that the group has formed.
        rank: Its rank in the group.
        size: Number of ranks of the group.
        is_open: Whether the group runs passes.
        sequence: Number of orders that have had an effect.
        passes: Number of the newest pass that has begun.
        map_version: Version of the map in use.
        prepared: Version whose experts are all copied, 0 if none.
        armed: Version to which it will switch, 0 if none.
        armed_at: Pass at which it will switch.
        held: Pass that waits for a release, 0 if none.
        pace: Slowdown factor, above 1 if it is slow.
        running: Number of running requests.
        queued: Number of queued requests.
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
    """Order: copy the experts that a map adds."""

    version: int
    placement: Placement


@codec.message("order.arm")
class Arm(NamedTuple):
    """Order: use a prepared map from a pass on."""

    version: int
    at_pass: int


@codec.message("order.disarm")
class Disarm(NamedTuple):
    """Order: revoke an Arm."""

    version: int


@codec.message("order.hold")
class Hold(NamedTuple):
    """Order: do not begin a pass before its Release."""

    at_pass: int


@codec.message("order.release")
class Release(NamedTuple):
    """Order: begin a held pass."""

    at_pass: int


Order = Prepare | Arm | Disarm | Hold | Release


@codec.message("mapswitch.order_ask")
class OrderRequest(NamedTuple):
    """Order of a leader for one engine, sent to an agent or an entry.

    Attributes:
        number: Number of the order, increasing within a term.
        term: Term of the leader.
        epoch: Epoch of the group in which it is valid.
        engine: Address of the engine, which may be on another VM.
        order: The order, encoded with its tag.
        leader: Name of the leader to answer, if a relay sends the order.
    """

    number: int
    term: int
    epoch: int
    engine: str
    order: bytes
    leader: str = ""


@codec.message("mapswitch.order_done")
class OrderResult(NamedTuple):
    """Result of an order.

    Attributes:
        number: Number of the order.
        term: Highest term that the agent has seen.
        ok: Whether the engine is now in the ordered state.
        state: State after the order, None if it could not be read.
    """

    number: int
    term: int
    ok: bool
    state: EngineState | None


@codec.message("mapswitch.beat")
class EngineHeartbeat(NamedTuple):
    """Heartbeat of an agent with the state of its engine.

    Attributes:
        service: Service of the engine.
        address: Address of the engine.
        term: Highest term that the agent has seen; it refuses orders of a
            lower one.
        state: State that the engine reports.
        choices: Expert selections since the counts were last sent; empty if
            the leader did not request them.
        experts: Experts that the engine holds, by set.
    """

    service: str
    address: str
    term: int
    state: EngineState
    choices: expert_counts.ExpertCounts
    experts: tuple[tuple[int, ...], ...]


class SlowTarget(NamedTuple):
    """A target that is slower than usual, and its slowdown factor."""

    address: str
    pace: float


@codec.message("balance.slow")
class SlowTargets(NamedTuple):
    """List of the currently slow targets, from the leader to the entries."""

    targets: tuple[SlowTarget, ...]


@codec.message("mapswitch.pace")
class ReportRateRequest(NamedTuple):
    """Request of a leader that sets the rate and content of heartbeats.

    Attributes:
        term: Term of the leader.
        busy: Whether a switch is running.
        counted: Whether heartbeats contain expert selections.
        near: Whether agent and leader share a data centre, so that more
            frequent heartbeats are cheap.
    """

    term: int
    busy: bool
    counted: bool
    near: bool = False
