"""Decide which orders an engine still needs, and let no stale one pass."""

from typing import NamedTuple

from jasperweir.components.bundle import specs

OP_LOAD_ADAPTER = "load_adapter"
OP_UNLOAD_ADAPTER = "unload_adapter"
OP_SET_ROLE = "set_role"
RETRY_SECONDS = 2.0


class Order(NamedTuple):
    """One order, with the revision of the configuration that asks for it."""

    fence: int
    op: str
    name: str


class Reported(NamedTuple):
    """What an engine says of itself."""

    adapters: frozenset[str]
    role: str
    fence: int


class Gate:
    """Only door to an engine that does not check fencing numbers itself.

    Attributes:
        highest: Highest fencing number passed or learnt.
        refused: Orders that carried a lower one.
    """

    def __init__(self) -> None:
        self.highest = 0
        self.refused = 0
        self._known = False

    def learn(self, floor: int) -> None:
        """Learn the floor that a leader with a lease confirmed."""
        self.highest = max(self.highest, floor)
        self._known = True

    def passes(self, order: Order) -> bool:
        """Tell whether an order may go on to the engine.

        An agent that restarted with no memory passes nothing until it has
        learnt how far the others have come.
        """
        if not self._known or order.fence < self.highest:
            self.refused += 1
            return False
        self.highest = order.fence
        return True


class Planner:
    """Bring an engine to what the bundle in force says; sans-I/O.

    Orders are derived from the newest state, never queued: what is
    superseded before it was carried out is not carried out at all.
    """

    def __init__(self, *, service: str, role: str) -> None:
        self._service = service
        self._role = role
        self._sent_at: dict[tuple[str, str], float] = {}

    def orders(
        self,
        bundle: specs.Bundle,
        revision: int,
        reported: Reported,
        now: float,
    ) -> list[Order]:
        """Return the orders that are due."""
        spec = bundle.services.get(self._service)
        wanted = frozenset(spec.adapters) if spec else frozenset()
        due = [
            Order(revision, OP_LOAD_ADAPTER, name)
            for name in sorted(wanted - reported.adapters)
        ]
        due += [
            Order(revision, OP_UNLOAD_ADAPTER, name)
            for name in sorted(reported.adapters - wanted)
        ]
        if reported.role != self._role:
            due.append(Order(revision, OP_SET_ROLE, self._role))
        fresh = [o for o in due if self._may_send(o, now)]
        for order in fresh:
            self._sent_at[(order.op, order.name)] = now
        return fresh

    def _may_send(self, order: Order, now: float) -> bool:
        sent_at = self._sent_at.get((order.op, order.name))
        return sent_at is None or now - sent_at >= RETRY_SECONDS
