"""Owner side of claims: grants, replication and repair after view changes."""

import dataclasses
from typing import Any

from jasperweir import core
from jasperweir.components.claims import const
from jasperweir.components.claims import messages
from jasperweir.components.claims import partitions
from jasperweir.components.claims import store as store_lib
from jasperweir.components.registry import ops

Actions = list[Any]
Member = partitions.Member


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingReplication:
    """A change that waits for acknowledgements of other owners."""

    src: str
    ask_id: str
    record: messages.Record
    needed: int
    sent_at: float
    acks: set[str] = dataclasses.field(default_factory=set)


class ClaimOwner:
    """Sans-I/O owner of claim partitions; views come from the replicated log.

    A claim is granted only when a majority of the partition's owners stores
    the record. After a view change a partition is repaired from a majority of
    its previous owners, each of which stops granting in the previous view
    before it answers. If a majority is lost, unknown keys are refused with
    BLIND until every claim that may have been lost has expired.

    Attributes:
        epoch: Number of the view in force.
        window: Lifetime of a claim record, seconds.
    """

    def __init__(self, *, name: str, inc: int, window: float) -> None:
        self.epoch = 0
        self.window = window
        self._own_member: Member = (name, inc)
        self._view = ops.View(epoch=0, members=())
        self._store = store_lib.Store()
        self._owned_partitions: set[int] = set()
        self._unrepaired_partitions: set[int] = set()
        self._pending: dict[str, PendingReplication] = {}
        self._confirmed_at = float("-inf")
        self._view_entered_at = 0.0
        self._next_sync_at = 0.0

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self._store)

    @property
    def ready_epoch(self) -> int:
        """Newest view for which every owned partition is repaired."""
        return self.epoch - 1 if self._unrepaired_partitions else self.epoch

    def primary(self, key: str) -> Member | None:
        """Return the primary owner of a key, or None without a view."""
        if not self._view.members:
            return None
        return partitions.assign_owners(self._view.members)[
            partitions.partition_index(key)
        ][0]

    def on_view(self, view: ops.View, now: float) -> Actions:
        """Enter a newer view and start to repair the partitions owned in it."""
        if view.epoch <= self.epoch:
            return []
        skipped = view.epoch > self.epoch + 1
        self.epoch = view.epoch
        self._view = view
        self._view_entered_at = now
        self._next_sync_at = now
        self._pending.clear()
        # A newer view may exist already; wait for the leader to confirm.
        self._confirmed_at = float("-inf")
        owners = partitions.assign_owners(view.members)
        self._owned_partitions = {
            p for p, names in enumerate(owners) if self._own_member in names
        }
        self._unrepaired_partitions = set()
        for partition in self._owned_partitions:
            self._start_repair(partition, skipped, now)
        return self._request_records(now)

    def confirm(self, epoch: int, asked_at: float) -> None:
        """Record that a leader with a lease confirmed the newest view.

        Args:
            epoch: View that the leader confirmed.
            asked_at: When the confirmation was requested, monotonic seconds.
        """
        if epoch == self.epoch:
            self._confirmed_at = max(self._confirmed_at, asked_at)

    def has_authority(self, now: float) -> bool:
        """Return whether the view was confirmed recently enough to grant."""
        return now < self._confirmed_at + const.AUTHORITY_TIMEOUT_SECONDS

    def tick(self, now: float) -> Actions:
        """Repeat unanswered messages and delete expired records."""
        out: Actions = []
        if self._unrepaired_partitions and now >= self._next_sync_at:
            out += self._request_records(now)
        for pending in self._pending.values():
            if now - pending.sent_at >= const.RESEND_SECONDS:
                pending.sent_at = now
                out += self._replicate(pending.record)
        self._store.expire(now)
        return out

    def receive(self, src: str, src_inc: int, msg: Any, now: float) -> Actions:
        """Handle a message from an entry."""
        match msg:
            case messages.ClaimRequest():
                return self._on_claim_request(src, msg, now)
            case messages.Replicate():
                return self._on_replicate(src, msg, now)
            case messages.Replicated():
                return self._on_replicated(src, msg)
            case messages.SyncRequest():
                return self._on_sync_request(src, msg, now)
            case messages.SyncReply():
                self._on_sync_reply((src, src_inc), msg, now)
        return []

    # Grants.

    def _on_claim_request(
        self, src: str, msg: messages.ClaimRequest, now: float
    ) -> Actions:
        partition = partitions.partition_index(msg.record.key)
        state = self._store.partitions.get(partition)
        if (
            msg.epoch != self.epoch
            or state is None
            or not self.has_authority(now)
            or self.primary(msg.record.key) != self._own_member
        ):
            return self._reply(src, msg, const.RETRY, None)
        known = state.records.get(msg.record.key)
        if known is not None:
            return self._on_known_key(src, msg, known, partition, now)
        if partition in self._unrepaired_partitions:
            blind = now < state.blind_until
            verdict = const.BLIND if blind else const.RETRY
            return self._reply(src, msg, verdict, None)
        if msg.expect:
            # A missing record is never recreated by a change.
            return self._reply(src, msg, const.BLIND, None)
        if len(self._store) >= const.MAX_RECORDS:
            return self._reply(src, msg, const.FULL, None)
        record = msg.record._replace(version=1)
        return self._store_and_replicate(src, msg, record, now)

    def _on_known_key(
        self,
        src: str,
        msg: messages.ClaimRequest,
        known: messages.Record,
        partition: int,
        now: float,
    ) -> Actions:
        if known.digest != msg.record.digest:
            return self._reply(src, msg, const.REUSED, None)
        if partition in self._unrepaired_partitions:
            # The record may be stale; only a repaired partition changes it.
            if known.state == const.STATE_FINISHED:
                return self._reply(src, msg, const.HELD, known)
            return self._reply(src, msg, const.RETRY, None)
        if msg.expect == 0 and known.rid != msg.record.rid:
            return self._reply(src, msg, const.HELD, known)
        if msg.expect == 0:
            # The grant was lost and the same request repeats its claim.
            return self._store_and_replicate(src, msg, known, now)
        if msg.expect != known.version:
            repeated = (
                msg.expect == known.version - 1
                and msg.record.rid == known.rid
                and msg.record.state == known.state
                and msg.record.target_inc == known.target_inc
            )
            if repeated:
                return self._store_and_replicate(src, msg, known, now)
            return self._reply(src, msg, const.HELD, known)
        record = msg.record._replace(version=known.version + 1)
        return self._store_and_replicate(src, msg, record, now)

    def _store_and_replicate(
        self,
        src: str,
        msg: messages.ClaimRequest,
        record: messages.Record,
        now: float,
    ) -> Actions:
        self._store.put(record._replace(remaining=self.window), now)
        owners = self._owners(record.key)
        needed = partitions.majority(len(owners)) - 1
        if needed == 0:
            return self._reply(src, msg, const.GRANTED, record)
        self._pending[record.key] = PendingReplication(
            src=src,
            ask_id=msg.ask_id,
            record=record._replace(remaining=self.window),
            needed=needed,
            sent_at=now,
        )
        return self._replicate(record._replace(remaining=self.window))

    def _replicate(self, record: messages.Record) -> Actions:
        msg = messages.Replicate(epoch=self.epoch, record=record)
        return [
            core.Send(dst=name, msg=msg)
            for name, inc in self._owners(record.key)
            if (name, inc) != self._own_member
        ]

    def _on_replicate(
        self, src: str, msg: messages.Replicate, now: float
    ) -> Actions:
        partition = partitions.partition_index(msg.record.key)
        if msg.epoch != self.epoch or partition not in self._owned_partitions:
            return []
        if not self.has_authority(now):
            return []
        if partition in self._unrepaired_partitions:
            # An owner that is not repaired must not count.
            return []
        known = self._store.partitions[partition].records.get(msg.record.key)
        if known is None or known.version <= msg.record.version:
            self._store.put(msg.record, now)
        ack = messages.Replicated(
            epoch=self.epoch, key=msg.record.key, version=msg.record.version
        )
        return [core.Send(dst=src, msg=ack)]

    def _on_replicated(self, src: str, msg: messages.Replicated) -> Actions:
        pending = self._pending.get(msg.key)
        if pending is None or msg.epoch != self.epoch:
            return []
        if msg.version != pending.record.version:
            return []
        pending.acks.add(src)
        if len(pending.acks) < pending.needed:
            return []
        del self._pending[msg.key]
        reply = messages.ClaimReply(
            epoch=self.epoch,
            ask_id=pending.ask_id,
            verdict=const.GRANTED,
            record=pending.record,
        )
        return [core.Send(dst=pending.src, msg=reply)]

    def _reply(
        self,
        src: str,
        msg: messages.ClaimRequest,
        verdict: str,
        record: messages.Record | None,
    ) -> Actions:
        reply = messages.ClaimReply(
            epoch=self.epoch,
            ask_id=msg.ask_id,
            verdict=verdict,
            record=record,
        )
        return [core.Send(dst=src, msg=reply)]

    # Repair after a view change.

    def _start_repair(self, partition: int, skipped: bool, now: float) -> None:
        state = self._store.partitions.setdefault(
            partition, store_lib.PartitionState()
        )
        state.synced_owners = set()
        state.unready_owners = set()
        if not self._view.previous and self.epoch == 1:
            # No claim can be older than the first view.
            state.ready_epoch = self.epoch
            return
        if now < state.blind_until:
            # Claims that were lost stay lost after another view change.
            state.ready_epoch = 0
        self._unrepaired_partitions.add(partition)
        if self._own_member not in self._previous_owners(partition):
            return
        was_ready = state.ready_epoch >= self.epoch - 1 and not skipped
        if was_ready:
            state.synced_owners.add(self._own_member)
        else:
            state.unready_owners.add(self._own_member)
        self._check_repair(partition, now)

    def _request_records(self, now: float) -> Actions:
        self._next_sync_at = now + const.SYNC_RESEND_SECONDS
        wanted: dict[Member, list[int]] = {}
        for partition in sorted(self._unrepaired_partitions):
            self._check_repair(partition, now)
            state = self._store.partitions[partition]
            known_owners = state.synced_owners | state.unready_owners
            for member in self._previous_owners(partition):
                if (
                    member not in known_owners
                    and partition in self._unrepaired_partitions
                ):
                    wanted.setdefault(member, []).append(partition)
        return [
            core.Send(
                dst=name,
                msg=messages.SyncRequest(
                    epoch=self.epoch, partitions=tuple(indices)
                ),
            )
            for (name, _), indices in wanted.items()
        ]

    def _on_sync_request(
        self, src: str, msg: messages.SyncRequest, now: float
    ) -> Actions:
        if msg.epoch != self.epoch:
            # Answering before entering the view would allow this owner to
            # grant in the previous one afterwards.
            return []
        ready, unready, records = [], [], []
        for partition in msg.partitions:
            state = self._store.partitions.get(partition)
            if state is None or not self._was_ready(partition):
                unready.append(partition)
                continue
            ready.append(partition)
            records += [
                record._replace(remaining=max(state.expires[key] - now, 0.0))
                for key, record in state.records.items()
            ]
        return _sync_replies(src, self.epoch, ready, unready, records)

    def _was_ready(self, partition: int) -> bool:
        """Return whether this owner was repaired in the previous view."""
        state = self._store.partitions[partition]
        return (
            state.ready_epoch >= self.epoch - 1
            and self._own_member in self._previous_owners(partition)
        )

    def _on_sync_reply(
        self, member: Member, msg: messages.SyncReply, now: float
    ) -> None:
        if msg.epoch != self.epoch:
            return
        for record in msg.records:
            partition = partitions.partition_index(record.key)
            if partition not in self._unrepaired_partitions:
                continue
            known = self._store.partitions[partition].records.get(record.key)
            if known is None or known.version < record.version:
                self._store.put(record, now)
        if not msg.last:
            return
        for partition in msg.ready:
            if partition in self._unrepaired_partitions:
                self._store.partitions[partition].synced_owners.add(member)
                self._check_repair(partition, now)
        for partition in msg.unready:
            if partition in self._unrepaired_partitions:
                self._store.partitions[partition].unready_owners.add(member)
                self._check_repair(partition, now)

    def _check_repair(self, partition: int, now: float) -> None:
        """Finish the repair, or refuse unknown keys if claims may be lost."""
        if partition not in self._unrepaired_partitions:
            return
        state = self._store.partitions[partition]
        previous = set(self._previous_owners(partition))
        needed = partitions.majority(len(previous))
        if len(state.synced_owners & previous) >= needed:
            self._mark_repaired(partition)
            return
        lost = state.unready_owners & previous
        if now - self._view_entered_at >= const.SYNC_TIMEOUT_SECONDS:
            lost = previous - state.synced_owners
        if len(previous) - len(lost) >= needed:
            return
        if state.blind_until == float("-inf"):
            # Unreachable owners may grant until their authority times out,
            # and such a claim is valid for a window after that.
            state.blind_until = (
                now + const.AUTHORITY_TIMEOUT_SECONDS + self.window
            )
        if now >= state.blind_until:
            self._mark_repaired(partition)

    def _mark_repaired(self, partition: int) -> None:
        self._unrepaired_partitions.discard(partition)
        state = self._store.partitions[partition]
        state.ready_epoch = self.epoch
        state.blind_until = float("-inf")

    def _previous_owners(self, partition: int) -> tuple[Member, ...]:
        if not self._view.previous:
            return ()
        return partitions.assign_owners(self._view.previous)[partition]

    def _owners(self, key: str) -> tuple[Member, ...]:
        return partitions.assign_owners(self._view.members)[
            partitions.partition_index(key)
        ]


def _sync_replies(
    dst: str,
    epoch: int,
    ready: list[int],
    unready: list[int],
    records: list[messages.Record],
) -> Actions:
    size = const.SYNC_RECORDS_PER_FRAME
    starts = list(range(0, len(records), size)) or [0]
    return [
        core.Send(
            dst=dst,
            msg=messages.SyncReply(
                epoch=epoch,
                ready=tuple(ready),
                unready=tuple(unready),
                records=tuple(records[start : start + size]),
                last=start == starts[-1],
            ),
        )
        for start in starts
    ]
