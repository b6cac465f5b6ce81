"""Orders of a leader that have not been answered yet."""

import dataclasses
import itertools
from typing import Any

from jasperweir import core
from jasperweir.components.mapswitch import actions
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import members as members_lib
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import relays as relays_lib
from jasperweir.helpers import codec

Actions = list[Any]


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingOrder:
    """An order that has not been answered yet.

    Attributes:
        agent: Agent of the ordered rank.
        request: The request as it was sent.
        order: The order.
        due_at: When it is sent again, monotonic seconds.
    """

    agent: str
    request: messages.OrderRequest
    order: messages.Order
    due_at: float


class OrderBook:
    """Sends orders and keeps at most one pending order for each rank."""

    def __init__(
        self,
        *,
        term: int,
        numbers: "itertools.count[int]",
        relays: relays_lib.OrderRelays,
    ) -> None:
        self._term = term
        self._relays = relays
        self._numbers = numbers
        self._pending: dict[str, PendingOrder] = {}
        self._agents_by_number: dict[int, str] = {}
        self._packed_order: messages.Order | None = None
        self._packed = b""

    @property
    def has_pending(self) -> bool:
        """Whether any order has not been answered."""
        return bool(self._pending)

    def clear(self) -> None:
        """Drop all pending orders."""
        self._pending.clear()
        self._agents_by_number.clear()

    def pop(self, number: int) -> PendingOrder | None:
        """Remove and return the pending order with a number."""
        agent = self._agents_by_number.pop(number, None)
        if agent is None:
            return None
        return self._pending.pop(agent, None)

    def send(
        self,
        member: members_lib.Member,
        order: messages.Order,
        epoch: int,
        now: float,
        *,
        sender: str,
    ) -> Actions:
        """Send an order for a rank to its agent, or to another sender."""
        request = messages.OrderRequest(
            number=next(self._numbers),
            term=self._term,
            epoch=epoch,
            engine=member.heartbeat.address,
            order=self._pack(order),
        )
        replaced = self._pending.get(member.agent)
        if replaced is not None:
            self._agents_by_number.pop(replaced.request.number, None)
        self._agents_by_number[request.number] = member.agent
        self._pending[member.agent] = PendingOrder(
            agent=member.agent,
            request=request,
            order=order,
            due_at=now + const.DIRECT_ORDER_DELAY_SECONDS,
        )
        return [core.Send(dst=sender or member.agent, msg=request)]

    def send_all(
        self,
        members: list[members_lib.Member],
        order: messages.Order,
        epoch: int,
        now: float,
    ) -> Actions:
        """Send one order for several ranks, through agents or relays."""
        sends: Actions = []
        for member in members:
            sends += self.send(member, order, epoch, now, sender="")
        return self._relays.combine(sends)

    def _pack(self, order: messages.Order) -> bytes:
        """Encode an order, once for all ranks that get the same one."""
        if order is not self._packed_order:
            self._packed_order = order
            self._packed = codec.pack_tagged(order)
        return self._packed

    def resend(self, now: float, *, direct: bool) -> Actions:
        """Send due orders again.

        Args:
            now: Current time, monotonic seconds.
            direct: Whether to send them straight to the engines as well.
        """
        out: Actions = []
        for pending in self._pending.values():
            if now < pending.due_at:
                continue
            pending.due_at = now + const.ORDER_RESEND_SECONDS
            out.append(core.Send(dst=pending.agent, msg=pending.request))
            if direct:
                out.append(actions.SendDirectly(pending.agent, pending.request))
        return out
