"""Relays large orders through one control VM of each data centre; sans-I/O.

A prepare order lists the experts of all ranks, some 13 KB for 192 ranks, which
the leader would have to send to each agent. Instead it sends one copy to each
data centre, where a control VM forwards it. Agents answer the leader, which
sends unanswered orders again to the agents themselves.
"""

from typing import Any
from typing import NamedTuple
import zlib

from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.helpers import codec

Actions = list[Any]


class RelayedOrder(NamedTuple):
    """The part of a relayed order that differs between agents."""

    agent: str
    number: int
    engine: str


@codec.message("mapswitch.order_relay")
class OrderRelay(NamedTuple):
    """One order for several agents in the data centre of a control VM.

    Attributes:
        leader: Name of the leader, which agents answer.
        term: Term of the leader.
        epoch: Epoch of the group in which it is valid.
        order: The order, encoded with its tag and compressed.
        asks: Agent, number and engine of each order.
    """

    leader: str
    term: int
    epoch: int
    order: bytes
    asks: tuple[RelayedOrder, ...]


class OrderRelays:
    """Combines equal orders to agents in the same data centre."""

    def __init__(self, *, name: str = "") -> None:
        """Create a combiner without relays.

        Args:
            name: Name of this control VM.
        """
        self._name = name
        self._by_place: dict[str, str] = {}
        self._places: dict[str, str] = {}

    def update(self, by_place: dict[str, str]) -> None:
        """Set the relays, by data centre."""
        self._by_place = by_place

    def on_agent(self, name: str, place: str) -> None:
        """Record the data centre of an agent."""
        self._places[name] = place

    def combine(self, sends: list[core.Send]) -> Actions:
        """Return the orders, combined for each relay if that saves bytes.

        Args:
            sends: Orders that differ only in agent, number and engine.
        """
        order = sends[0].msg.order if sends else b""
        if len(order) < const.MIN_RELAY_BYTES:
            return list(sends)
        out: Actions = []
        by_relay: dict[str, list[core.Send]] = {}
        for send in sends:
            relay = self._by_place.get(self._places.get(send.dst, ""))
            if relay is None:
                out.append(send)
            else:
                by_relay.setdefault(relay, []).append(send)
        packed = zlib.compress(order, const.RELAY_COMPRESS_LEVEL)
        for relay, group in by_relay.items():
            if len(group) < const.MIN_RELAY_AGENTS:
                out += group
                continue
            out.append(core.Send(dst=relay, msg=self._relay(group, packed)))
        return out

    def _relay(self, group: list[core.Send], packed: bytes) -> OrderRelay:
        first = group[0].msg
        return OrderRelay(
            leader=self._name,
            term=first.term,
            epoch=first.epoch,
            order=packed,
            asks=tuple(
                RelayedOrder(send.dst, send.msg.number, send.msg.engine)
                for send in group
            ),
        )


def expand(relay: OrderRelay) -> list[core.Send]:
    """Return the orders that a control VM forwards.

    Raises:
        FrameError: The order cannot be decompressed.
    """
    unpacker = zlib.decompressobj()
    try:
        order = unpacker.decompress(relay.order, codec.MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise exceptions.FrameError(
            f"relayed order cannot be decompressed: {exc}"
        ) from exc
    return [
        core.Send(
            dst=ask.agent,
            msg=messages.OrderRequest(
                number=ask.number,
                term=relay.term,
                epoch=relay.epoch,
                engine=ask.engine,
                order=order,
                leader=relay.leader,
            ),
        )
        for ask in relay.asks
    ]
