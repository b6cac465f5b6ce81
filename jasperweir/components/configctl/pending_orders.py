"""Orders of operators that the leader has not answered yet; sans-I/O."""

from typing import NamedTuple

from jasperweir.components.configctl import messages
from jasperweir.helpers import hashing


class PendingOrder(NamedTuple):
    """An order whose sender awaits the reply.

    Attributes:
        src: Control VM that has it from an operator.
        number: Number of its request.
        version: Version of the configuration.
        since: When it arrived, monotonic seconds.
    """

    src: str
    number: int
    version: int
    since: float


class PendingOrders:
    """Orders by their sender, and those of them that are in the log."""

    def __init__(self) -> None:
        self._pending: dict[tuple[str, int], PendingOrder] = {}
        # Operations that are proposed and not yet committed.
        self._proposed: set[str] = set()

    def add(self, src: str, msg: messages.ReplaceRequest, now: float) -> None:
        """Add an order; one that is sent again is known already."""
        self._pending.setdefault(
            (src, msg.number),
            PendingOrder(
                src=src, number=msg.number, version=msg.version, since=now
            ),
        )

    def start_proposal(self, op_id: str) -> bool:
        """Return whether an operation is to be proposed."""
        if op_id in self._proposed:
            return False
        self._proposed.add(op_id)
        return True

    def end_proposal(self, op_id: str) -> None:
        """Forget an operation that is committed, or could not be proposed."""
        self._proposed.discard(op_id)

    def take(self, version: int) -> list[PendingOrder]:
        """Remove and return the orders up to a version."""
        taken = [p for p in self._pending.values() if p.version <= version]
        for order in taken:
            del self._pending[order.src, order.number]
        return taken

    def clear(self) -> None:
        """Forget all orders, because this control VM no longer leads."""
        self._pending.clear()
        self._proposed.clear()


def make_op_id(msg: messages.ReplaceRequest) -> str:
    """Return the id of an order's operation, the same for equal orders."""
    return f"replace/{msg.version}/{hashing.checksum(msg.data):x}"
