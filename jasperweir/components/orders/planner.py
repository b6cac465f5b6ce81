"""Planning of orders to engines, and fencing of stale ones."""

from typing import NamedTuple

from jasperweir.components.bundle import specs

OP_LOAD_ADAPTER = "load_adapter"
OP_UNLOAD_ADAPTER = "unload_adapter"
OP_SET_ROLE = "set_role"
RETRY_SECONDS = 2.0


class Order(NamedTuple):
    """Order to an engine.

    Attributes:
        fence: Fencing number, the revision of the configuration.
        op: Operation, one of the `OP_` constants.
        name: Adapter or role that the operation applies to.
    """

    fence: int
    op: str
    name: str


class EngineState(NamedTuple):
    """State that an engine reported."""

    adapters: frozenset[str]
    role: str
    fence: int


class FencingGate:
    """Fencing check for an engine that doesn't check the numbers itself.

    Attributes:
        highest: Highest fencing number admitted or confirmed.
        refused: Number of orders rejected.
    """

    def __init__(self) -> None:
        self.highest_fence = 0
        self.refused_count = 0
        self._known = False

    def raise_fence(self, floor: int) -> None:
        """Raise the fence to a minimum that a leader with a lease confirmed."""
        self.highest_fence = max(self.highest_fence, floor)
        self._known = True

    def admit(self, order: Order) -> bool:
        """Return whether an order may be sent to the engine.

        A restarted agent has lost the highest fencing number, so it rejects
        every order until a leader has confirmed the minimum.
        """
        if not self._known or order.fence < self.highest_fence:
            self.refused_count += 1
            return False
        self.highest_fence = order.fence
        return True


class Planner:
    """Plans the orders that bring an engine to the bundle in force.

    Orders are derived from the newest bundle and never queued, so superseded
    orders are not sent.
    """

    def __init__(self, *, service: str, role: str) -> None:
        self._service = service
        self._role = role
        self._sent_at: dict[tuple[str, str], float] = {}

    def plan(
        self,
        bundle: specs.Bundle,
        revision: int,
        reported: EngineState,
        now: float,
    ) -> list[Order]:
        """Return the orders that are due, with `now` in seconds."""
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
