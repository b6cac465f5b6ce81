"""Orders of a leader that their agents have not answered yet."""

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
    """An order that its agent has not answered yet."""

    agent: str
    ask: messages.OrderRequest
    order: messages.Order
    due_at: float


class OrderBook:
    """At most one open order for each rank of a group."""

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
        # Agents by the numbers of their orders.
        self._agents_by_number: dict[int, str] = {}
        self._packed_order: messages.Order | None = None
        self._packed = b""

    @property
    def has_pending(self) -> bool:
        """Whether any order has not been answered."""
        return bool(self._pending)

    def clear(self) -> None:
        """Wait for no answer any more."""
        self._pending.clear()
        self._agents_by_number.clear()

    def pop(self, number: int) -> PendingOrder | None:
        """Return and close the order of a number."""
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
        giver: str,
    ) -> Actions:
        """Give an order for a rank, through its agent or another node."""
        ask = messages.OrderRequest(
            number=next(self._numbers),
            term=self._term,
            epoch=epoch,
            engine=member.beat.address,
            order=self._pack(order),
        )
        replaced = self._pending.get(member.agent)
        if replaced is not None:
            self._agents_by_number.pop(replaced.ask.number, None)
        self._agents_by_number[ask.number] = member.agent
        self._pending[member.agent] = PendingOrder(
            agent=member.agent,
            ask=ask,
            order=order,
            due_at=now + const.DIRECT_ORDER_DELAY_SECONDS,
        )
        return [core.Send(dst=giver or member.agent, msg=ask)]

    def send_all(
        self,
        members: list[members_lib.Member],
        order: messages.Order,
        epoch: int,
        now: float,
    ) -> Actions:
        """Give one order for several ranks, through their agents."""
        sends: Actions = []
        for member in members:
            sends += self.send(member, order, epoch, now, giver="")
        return self._relays.combine(sends)

    def _pack(self, order: messages.Order) -> bytes:
        """Pack an order, once for all ranks that get the same one."""
        if order is not self._packed_order:
            self._packed_order = order
            self._packed = codec.pack_tagged(order)
        return self._packed

    def resend(self, now: float, *, direct: bool) -> Actions:
        """Send again what is due, and by itself to the engine if allowed."""
        out: Actions = []
        for waiting in self._pending.values():
            if now < waiting.due_at:
                continue
            waiting.due_at = now + const.ORDER_RESEND_SECONDS
            out.append(core.Send(dst=waiting.agent, msg=waiting.ask))
            if direct:
                out.append(actions.SendDirectly(waiting.agent, waiting.ask))
        return out
