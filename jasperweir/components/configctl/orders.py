"""Orders of operators: when they are answered, what is known of them; sans-I/O.

The leader answers an order once its version, or a higher one, is in force. All
control VMs keep whom they have given confirmations, and what was acknowledged.
"""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import force_barrier
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import log_view
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import order_records
from jasperweir.components.configctl import pending_orders
from jasperweir.components.configctl import replies
from jasperweir.components.configctl import version_history
from jasperweir.components.confirmation import lease_book
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class OrderReply(NamedTuple):
    """Reply to a control VM that has passed an order on.

    Attributes:
        dst: The control VM.
        reply: The reply.
    """

    dst: str
    reply: messages.ReplaceReply


class Orders:
    """Orders at one control VM.

    Attributes:
        history: Contents that came into force.
        records: Orders that were acknowledged last.
    """

    def __init__(
        self,
        *,
        name: str,
        voter: voter_lib.Voter,
        machine: state_machine_lib.StateMachine,
        discovery: discovery_server.DiscoveryServer,
        leases: lease_book.LeaseBook,
    ) -> None:
        """Initialize without orders.

        Args:
            name: Name of this control VM.
            voter: Member of the replicated log.
            machine: State machine with the committed operations.
            discovery: Entries and other control VMs.
            leases: Processes that were given confirmations.
        """
        self.history = version_history.VersionHistory()
        self.records = order_records.OrderRecords(name=name)
        self._voter = voter
        self._machine = machine
        self._discovery = discovery
        self._leases = leases
        self._pending = pending_orders.PendingOrders()
        self._barrier = force_barrier.ForceBarrier(name=name)

    # The leader's part.

    def add(
        self, src: str, msg: messages.ReplaceRequest, now: float
    ) -> ops.Request | None:
        """Add an order; return the operation to propose, if there is one."""
        self._pending.add(src, msg, now)
        if msg.version <= self._machine.declared().version:
            return None
        op_id = pending_orders.make_op_id(msg)
        if not self._pending.start_proposal(op_id):
            return None
        op = ops.Replace(version=msg.version, data=msg.data)
        return ops.Request(
            op_id=op_id, who=src, at=0.0, body=codec.pack_tagged(op)
        )

    def end_proposal(self, op_id: str) -> None:
        """Forget an operation that is committed, or could not be proposed."""
        self._pending.end_proposal(op_id)

    def take_replies(self, now: float) -> list[OrderReply]:
        """Return the replies to the orders up to the version in force."""
        in_force = self._barrier.find_in_force(now)
        return [
            OrderReply(
                order.src,
                replies.make_replace_reply(
                    order,
                    held=self._machine.declared(),
                    in_force=self._barrier.latest,
                    history=self.history,
                    reports=self._discovery.nodes.entry_reports(),
                    now=now,
                ),
            )
            for order in self._pending.take(in_force)
        ]

    def start_lead(self, now: float) -> None:
        """Begin to lead the log."""
        version = self._machine.declared().version
        state = log_view.describe(
            self._voter, echo=0, version=version, evacuations=0
        )
        # A log without versions has never let an entry decide.
        self._barrier.start_lead(
            version, has_leases=bool(state.version), now=now
        )

    def stop_lead(self) -> None:
        """Forget all orders, because this control VM does not lead."""
        self._pending.clear()
        self._barrier.clear()

    def tick(self, now: float) -> Actions:
        """Ask who may act on older versions, and look for lost ones."""
        out = self._barrier.tick(now)
        if self._voter.read_index(now) is None:
            return out
        return out + self.records.find_lost(
            self._machine.declared().version,
            self.history,
            self._discovery.peers(),
        )

    # Committed versions.

    def on_committed(self, version: int, now: float) -> Actions:
        """Handle that a version is committed here."""
        self._discovery.confirmations.note_announced(version, now)
        if self._voter.role != voter_lib.LEADER:
            return []
        return self._barrier.on_committed(
            version,
            holders=self._leases.list_holders(now),
            voters=log_view.list_synced(self._voter),
            now=now,
        )

    def on_applied(self, before: int) -> None:
        """Remember the content that an operation has put into force.

        Args:
            before: Version before the operation.
        """
        declared = self._machine.declared()
        if declared.version > before:
            self.history.on_in_force(
                declared.version, hashing.checksum(declared.data)
            )

    def on_restored(self) -> None:
        """Remember the content that a snapshot has put into force."""
        declared = self._machine.declared()
        if declared.version:
            self.history.on_restored(
                declared.version, hashing.checksum(declared.data)
            )

    # Every control VM's part.

    def acknowledge(self, replaced: requests_lib.Replaced) -> Actions:
        """Record an order that is acknowledged here, and tell the others."""
        return self.records.acknowledge(replaced, self._discovery.peers())

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message; others than those on orders are ignored."""
        match msg:
            case messages.ReleaseRequest():
                return self._on_release_request(src, msg, now)
            case messages.Release():
                return self._barrier.on_release(src, msg)
            case messages.OrderRecord():
                return self.records.receive(msg)
            case messages.RecentOrders():
                return self.records.restore(msg.orders)
            case messages.OrderRecordsRequest():
                return self.records.send_recent(src)
            case records.ControlHeartbeat():
                return self.records.on_peer(src)
            case records.NodeHeartbeat():
                if msg.node.kind == directory_const.KIND_ENTRY:
                    holder = lease_book.Holder(src, msg.node.incarnation)
                    self._barrier.on_held(holder, msg.version, msg.lent)
            case messages.VersionHeld():
                holder = lease_book.Holder(src, msg.incarnation)
                self._barrier.on_held(holder, msg.version, msg.lent)
        return []

    def _on_release_request(
        self, src: str, msg: messages.ReleaseRequest, now: float
    ) -> Actions:
        """Confirm no older version any more, and say who may hold one.

        After a start it can't say whom it gave one before; the leader asks
        again.
        """
        self._discovery.confirmations.note_announced(msg.version, now)
        if not self._leases.may_pass_on(now):
            return []
        release = messages.Release(
            version=msg.version, holders=self._leases.list_holders(now)
        )
        return [core.Send(dst=src, msg=release)]
