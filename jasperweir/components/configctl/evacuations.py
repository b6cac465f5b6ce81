"""Evacuation of data centres at a control VM; sans-I/O.

Load: during an evacuation all requests go to the targets of the remaining data
centres. The list is part of the replicated log, so that all entries use the
same one; an order costs one log entry and one message to each entry.
"""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import messages
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.helpers import codec

Actions = list[Any]

_OP_PREFIX = "evacuate/"


class Evacuated(NamedTuple):
    """Action: confirm to an operator that an order is committed."""

    number: int
    place: str
    orders: int


class EvacuationsChanged(NamedTuple):
    """Action: another list of evacuated data centres has been applied here."""

    evacuations: ops.EvacuationList


class Evacuations:
    """Orders that the leader has proposed and the list that is in force.

    Attributes:
        current: Evacuated data centres as committed here.
    """

    def __init__(self, *, machine: state_machine_lib.StateMachine) -> None:
        self.current = ops.EvacuationList()
        self._machine = machine
        # Orders in the log whose commit is awaited, by sender and number.
        self._started: dict[tuple[str, int], messages.EvacuateRequest] = {}

    def start(self, src: str, request: messages.EvacuateRequest) -> bool:
        """Record an order; return False if it is in the log already."""
        key = (src, request.number)
        if self._started.get(key) == request:
            return False
        self._started[key] = request
        return True

    def finish(self, src: str, number: int) -> None:
        """Forget an order that is committed."""
        self._started.pop((src, number), None)

    def clear_started(self) -> None:
        """Forget all orders, because this control VM no longer leads."""
        self._started.clear()

    def refresh(self) -> None:
        """Read the list from the state machine."""
        self.current = self._machine.evacuations()

    def announce(self, entries: list[str]) -> Actions:
        """Return the notices to entries if the list has changed."""
        before = self.current
        self.refresh()
        if self.current.revision <= before.revision:
            return []
        notice = messages.EvacuationNotice(*self.current)
        out: Actions = [EvacuationsChanged(evacuations=self.current)]
        out += [core.Send(dst=name, msg=notice) for name in entries]
        return out


def make_op_id(term: int, index: int) -> str:
    """Return the id of the order proposed at a log index in a term."""
    return f"{_OP_PREFIX}{term}/{index}"


def make_body(request: messages.EvacuateRequest) -> bytes:
    """Return the encoded operation of an order."""
    return codec.pack_tagged(
        ops.Evacuate(
            place=request.place,
            evacuated=request.evacuated,
            expected=request.expected,
        )
    )


def is_order(op_id: str) -> bool:
    """Return whether an operation is an evacuation order, by its id."""
    return op_id.startswith(_OP_PREFIX)


def is_known(
    place: str,
    *,
    configured: tuple[str, ...],
    evacuated: tuple[str, ...],
    discovery: discovery_server.DiscoveryServer,
) -> bool:
    """Return whether a data centre exists, as far as this control VM knows.

    Args:
        place: Its name.
        configured: Data centres that the settings list.
        evacuated: Data centres that are evacuated.
        discovery: Targets, nodes and control VMs.
    """
    if not place:
        return False
    if place in configured or place in evacuated:
        return True
    return discovery.knows_place(place)
