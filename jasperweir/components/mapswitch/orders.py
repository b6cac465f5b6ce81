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
class Outstanding:
    """An order that its agent has not answered yet."""

    agent: str
    ask: messages.OrderAsk
    order: messages.Order
    due_at: float


class OrderBook:
    """At most one open order for each rank of a group."""

    def __init__(
        self,
        *,
        term: int,
        numbers: "itertools.count[int]",
        relays: relays_lib.Relays,
    ) -> None:
        self._term = term
        self._relays = relays
        self._numbers = numbers
        self._outstanding: dict[str, Outstanding] = {}
        # Agents by the numbers of their orders.
        self._agents: dict[int, str] = {}
        self._packed_order: messages.Order | None = None
        self._packed = b""

    @property
    def open(self) -> bool:
        """Whether any order has not been answered."""
        return bool(self._outstanding)

    def clear(self) -> None:
        """Wait for no answer any more."""
        self._outstanding.clear()
        self._agents.clear()

    def take(self, number: int) -> Outstanding | None:
        """Return and close the order of a number."""
        agent = self._agents.pop(number, None)
        if agent is None:
            return None
        return self._outstanding.pop(agent, None)

    def give(
        self,
        member: members_lib.Member,
        order: messages.Order,
        epoch: int,
        now: float,
        *,
        giver: str,
    ) -> Actions:
        """Give an order for a rank, through its agent or another node."""
        ask = messages.OrderAsk(
            number=next(self._numbers),
            term=self._term,
            epoch=epoch,
            engine=member.beat.address,
            order=self._pack(order),
        )
        replaced = self._outstanding.get(member.agent)
        if replaced is not None:
            self._agents.pop(replaced.ask.number, None)
        self._agents[ask.number] = member.agent
        self._outstanding[member.agent] = Outstanding(
            agent=member.agent,
            ask=ask,
            order=order,
            due_at=now + const.DIRECT_SECONDS,
        )
        return [core.Send(dst=giver or member.agent, msg=ask)]

    def give_all(
        self,
        members: list[members_lib.Member],
        order: messages.Order,
        epoch: int,
        now: float,
    ) -> Actions:
        """Give one order for several ranks, through their agents."""
        sends: Actions = []
        for member in members:
            sends += self.give(member, order, epoch, now, giver="")
        return self._relays.bundle(sends)

    def _pack(self, order: messages.Order) -> bytes:
        """Pack an order, once for all ranks that get the same one."""
        if order is not self._packed_order:
            self._packed_order = order
            self._packed = codec.pack_tagged(order)
        return self._packed

    def resend(self, now: float, *, direct: bool) -> Actions:
        """Send again what is due, and by itself to the engine if allowed."""
        out: Actions = []
        for waiting in self._outstanding.values():
            if now < waiting.due_at:
                continue
            waiting.due_at = now + const.RESEND_SECONDS
            out.append(core.Send(dst=waiting.agent, msg=waiting.ask))
            if direct:
                out.append(actions.Direct(waiting.agent, waiting.ask))
        return out
