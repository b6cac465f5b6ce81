"""Orders that were acknowledged last, known at all control VMs; sans-I/O."""

import collections
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import version_history

Actions = list[Any]

# Records that are remembered, so that copies are not recorded again.
MAX_RECORDS = 64
# Records that are stored, and sent to a control VM that has started.
MAX_REPEATED = 8
# Control VMs that are asked for their records after a start.
MAX_ASKED = 2


class OrderRecorded(NamedTuple):
    """Action: log an acknowledged order that is new here.

    Attributes:
        record: The order.
        is_repeated: Whether it was acknowledged before this start.
    """

    record: messages.OrderRecord
    is_repeated: bool = False


class OrderRecords:
    """Records what this and other control VMs have acknowledged."""

    def __init__(self, *, name: str) -> None:
        """Initialize without records.

        Args:
            name: Name of this control VM.
        """
        self._name = name
        # By the control VM that acknowledged, its number, version, effect.
        self._known: collections.OrderedDict[
            tuple[str, int, int, messages.OrderEffect], messages.OrderRecord
        ] = collections.OrderedDict()
        self._asked: set[str] = set()

    @property
    def recent(self) -> tuple[messages.OrderRecord, ...]:
        """The last records, oldest first."""
        return tuple(self._known.values())[-MAX_REPEATED:]

    def acknowledge(
        self, replaced: requests_lib.Replaced, peers: list[str]
    ) -> Actions:
        """Record an order that is acknowledged here, and tell the others.

        Args:
            replaced: The acknowledgement.
            peers: The other control VMs.
        """
        record = messages.OrderRecord(
            version=replaced.order.version,
            content=replaced.ordered_content,
            acknowledged_by=self._name,
            number=replaced.number,
            effect=replaced.effect,
            held=replaced.version,
            had=replaced.reply.had,
            lacked=replaced.reply.lacked,
            expired=replaced.reply.expired,
            unheard=replaced.reply.unheard,
            waited_s=replaced.reply.waited_s,
        )
        out = self.receive(record)
        return out + [core.Send(dst=name, msg=record) for name in peers]

    def receive(self, record: messages.OrderRecord) -> Actions:
        """Handle a record of another control VM."""
        if not self._add(record):
            return []
        return [OrderRecorded(record=record)]

    def find_lost(
        self,
        held: int,
        history: version_history.VersionHistory,
        peers: list[str],
    ) -> Actions:
        """Report orders that came into force and that the log lacks.

        Args:
            held: Newest version, as the leader holds it.
            history: Contents that came into force there.
            peers: The other control VMs.
        """
        lost = [
            record._replace(effect=messages.OrderEffect.LOST, held=held)
            for record in self._known.values()
            if record.effect is messages.OrderEffect.IN_FORCE
            and _is_lost(record, held, history)
        ]
        out: Actions = []
        for record in lost:
            found = self.receive(record)
            if found:
                out += found
                out += [core.Send(dst=name, msg=record) for name in peers]
        return out

    def restore(self, records: tuple[messages.OrderRecord, ...]) -> Actions:
        """Handle records from before a start, stored here or elsewhere."""
        return [
            OrderRecorded(record=record, is_repeated=True)
            for record in records
            if self._add(record)
        ]

    def on_peer(self, name: str) -> Actions:
        """Ask a control VM that is heard for its records after a start."""
        if name in self._asked or len(self._asked) >= MAX_ASKED:
            return []
        self._asked.add(name)
        return [core.Send(dst=name, msg=messages.OrderRecordsRequest())]

    def send_recent(self, dst: str) -> Actions:
        """Send the last records to a control VM that asks."""
        return [core.Send(dst=dst, msg=messages.RecentOrders(self.recent))]

    def _add(self, record: messages.OrderRecord) -> bool:
        key = (
            record.acknowledged_by,
            record.number,
            record.version,
            record.effect,
        )
        if key in self._known:
            return False
        self._known[key] = record
        if len(self._known) > MAX_RECORDS:
            self._known.popitem(last=False)
        return True


def _is_lost(
    record: messages.OrderRecord,
    held: int,
    history: version_history.VersionHistory,
) -> bool:
    if record.version > held:
        return True
    if not history.is_remembered(record.version):
        return False
    return history.find(record.version) != record.content
