"""Large orders go once to each data centre and are passed on there; sans-I/O.

An order to prepare names the experts of all ranks: 13.5 KB packed for 192, so
that one to each is 2.6 MB from the leader's own link, most of it between data
centres. A control VM of each data centre passes them on instead. Agents answer
the leader itself; what is not answered is sent again, by the leader itself.
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
    """What differs between the orders to the agents of a data centre."""

    agent: str
    number: int
    engine: str


@codec.message("mapswitch.order_relay")
class OrderRelay(NamedTuple):
    """The leader has one order for several agents near a control VM.

    Attributes:
        leader: Who gives the order and is to be answered.
        term: Term of the leader.
        epoch: Epoch of the group in which it holds.
        order: The order, tagged and compressed.
        asks: The agents.
    """

    leader: str
    term: int
    epoch: int
    order: bytes
    asks: tuple[RelayedOrder, ...]


class OrderRelays:
    """The control VMs that pass orders on, and who is near them."""

    def __init__(self, *, name: str = "") -> None:
        """Begin with nobody who passes orders on.

        Args:
            name: Name of this control VM.
        """
        self._name = name
        self._by_place: dict[str, str] = {}
        self._places: dict[str, str] = {}

    def update(self, by_place: dict[str, str]) -> None:
        """Take in which control VM passes orders on, by data centre."""
        self._by_place = by_place

    def on_agent(self, name: str, place: str) -> None:
        """Note where an agent is."""
        self._places[name] = place

    def combine(self, sends: list[core.Send]) -> Actions:
        """Return the same orders, bundled where that saves bytes.

        Args:
            sends: Orders that differ in nothing but whom they are for.
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
    """Return the orders that a control VM passes on.

    Raises:
        FrameError: The order cannot be read.
    """
    unpacker = zlib.decompressobj()
    try:
        order = unpacker.decompress(relay.order, codec.MAX_FRAME_BYTES)
    except zlib.error as exc:
        raise exceptions.FrameError(f"relayed order: {exc}") from exc
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
