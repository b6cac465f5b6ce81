"""The owner's side of claims: grant, replicate, repair, fail closed."""

import dataclasses
from typing import Any

from jasperweir import core
from jasperweir.components.claims import const
from jasperweir.components.claims import messages
from jasperweir.components.claims import ranges
from jasperweir.components.claims import store as store_lib
from jasperweir.components.registry import ops

Actions = list[Any]
Member = ranges.Member


@dataclasses.dataclass(kw_only=True, slots=True)
class Pending:
    """A change that waits for another owner to hold it."""

    src: str
    ask_id: str
    record: messages.Record
    needed: int
    sent_at: float
    acks: set[str] = dataclasses.field(default_factory=set)


class Keeper:
    """Sans-I/O claim owner; views come from the replicated log.

    A grant is given only when a majority of the range's owners holds the
    record. A new view first collects a majority of the old owners, each of
    which stops granting in the old view before it answers. If that many are
    gone, unknown keys are refused as unknown for a whole claim window.

    Attributes:
        epoch: View in force here.
    """

    def __init__(self, *, name: str, inc: int, window: float) -> None:
        self.epoch = 0
        self.window = window
        self._own: Member = (name, inc)
        self._view = ops.View(epoch=0, members=())
        self._store = store_lib.Store()
        self._owned: set[int] = set()
        self._unrepaired: set[int] = set()
        self._pending: dict[str, Pending] = {}
        self._confirmed_at = float("-inf")
        self._view_at = 0.0
        self._sync_at = 0.0

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self._store)

    @property
    def ready_epoch(self) -> int:
        """Newest view for which every owned range is repaired."""
        return self.epoch - 1 if self._unrepaired else self.epoch

    def primary(self, key: str) -> Member | None:
        """Return the member that decides on a key."""
        if not self._view.members:
            return None
        return ranges.layout(self._view.members)[ranges.partition_of(key)][0]

    def on_view(self, view: ops.View, now: float) -> Actions:
        """Enter a newer view and start to repair the ranges owned in it."""
        if view.epoch <= self.epoch:
            return []
        skipped = view.epoch > self.epoch + 1
        self.epoch = view.epoch
        self._view = view
        self._view_at = now
        self._sync_at = now
        self._pending.clear()
        # Entering a view is no proof that it is still the newest one.
        self._confirmed_at = float("-inf")
        owners = ranges.layout(view.members)
        self._owned = {
            p for p, names in enumerate(owners) if self._own in names
        }
        self._unrepaired = set()
        for partition in self._owned:
            self._enter(partition, skipped, now)
        return self._ask_for_records(now)

    def confirm(self, epoch: int, asked_at: float) -> None:
        """Note that a leader with a lease called a view the newest.

        Args:
            epoch: The view that the leader named.
            asked_at: When the question to which this is the answer left.
        """
        if epoch == self.epoch:
            self._confirmed_at = max(self._confirmed_at, asked_at)

    def has_authority(self, now: float) -> bool:
        """Tell whether no later view can have outlived this one's claims."""
        return now < self._confirmed_at + const.AUTHORITY_SECONDS

    def tick(self, now: float) -> Actions:
        """Let time pass: repeat what was not answered, forget the old."""
        out: Actions = []
        if self._unrepaired and now >= self._sync_at:
            out += self._ask_for_records(now)
        for pending in self._pending.values():
            if now - pending.sent_at >= const.RESEND_SECONDS:
                pending.sent_at = now
                out += self._replicate(pending.record)
        self._store.expire(now)
        return out

    def receive(self, src: str, src_inc: int, msg: Any, now: float) -> Actions:
        """Handle a message from an entry."""
        match msg:
            case messages.Ask():
                return self._on_ask(src, msg, now)
            case messages.Replicate():
                return self._on_replicate(src, msg, now)
            case messages.Replicated():
                return self._on_replicated(src, msg)
            case messages.SyncAsk():
                return self._on_sync_ask(src, msg, now)
            case messages.SyncReply():
                self._on_sync_reply((src, src_inc), msg, now)
        return []

    # Grants.

    def _on_ask(self, src: str, msg: messages.Ask, now: float) -> Actions:
        partition = ranges.partition_of(msg.record.key)
        own_range = self._store.ranges.get(partition)
        if (
            msg.epoch != self.epoch
            or own_range is None
            or not self.has_authority(now)
            or self.primary(msg.record.key) != self._own
        ):
            return self._reply(src, msg, const.RETRY, None)
        known = own_range.records.get(msg.record.key)
        if known is not None:
            return self._on_known(src, msg, known, partition, now)
        if partition in self._unrepaired:
            blind = now < own_range.blind_until
            verdict = const.BLIND if blind else const.RETRY
            return self._reply(src, msg, verdict, None)
        if msg.expect:
            # The record to be changed is not here: never recreate it.
            return self._reply(src, msg, const.BLIND, None)
        if len(self._store) >= const.RECORDS_MAX:
            return self._reply(src, msg, const.FULL, None)
        record = msg.record._replace(version=1)
        return self._store_and_replicate(src, msg, record, now)

    def _on_known(
        self,
        src: str,
        msg: messages.Ask,
        known: messages.Record,
        partition: int,
        now: float,
    ) -> Actions:
        if known.digest != msg.record.digest:
            return self._reply(src, msg, const.REUSED, None)
        if partition in self._unrepaired:
            # What is held may be old; only a repaired range may change it.
            if known.state == const.STATE_FINISHED:
                return self._reply(src, msg, const.HELD, known)
            return self._reply(src, msg, const.RETRY, None)
        if msg.expect == 0 and known.rid != msg.record.rid:
            return self._reply(src, msg, const.HELD, known)
        if msg.expect == 0:
            # The same request asks again, its first grant was lost.
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
        msg: messages.Ask,
        record: messages.Record,
        now: float,
    ) -> Actions:
        self._store.put(record._replace(remaining=self.window), now)
        owners = self._owners(record.key)
        needed = ranges.majority(len(owners)) - 1
        if needed == 0:
            return self._reply(src, msg, const.GRANTED, record)
        self._pending[record.key] = Pending(
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
            if (name, inc) != self._own
        ]

    def _on_replicate(
        self, src: str, msg: messages.Replicate, now: float
    ) -> Actions:
        partition = ranges.partition_of(msg.record.key)
        if msg.epoch != self.epoch or partition not in self._owned:
            return []
        if not self.has_authority(now):
            return []
        if partition in self._unrepaired:
            # An owner that is not repaired must not count.
            return []
        known = self._store.ranges[partition].records.get(msg.record.key)
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
        reply = messages.Reply(
            epoch=self.epoch,
            ask_id=pending.ask_id,
            verdict=const.GRANTED,
            record=pending.record,
        )
        return [core.Send(dst=pending.src, msg=reply)]

    def _reply(
        self,
        src: str,
        msg: messages.Ask,
        verdict: str,
        record: messages.Record | None,
    ) -> Actions:
        reply = messages.Reply(
            epoch=self.epoch,
            ask_id=msg.ask_id,
            verdict=verdict,
            record=record,
        )
        return [core.Send(dst=src, msg=reply)]

    # Repair after a change of view.

    def _enter(self, partition: int, skipped: bool, now: float) -> None:
        own_range = self._store.ranges.setdefault(partition, store_lib.Range())
        own_range.answered = set()
        own_range.refused = set()
        if not self._view.previous and self.epoch == 1:
            # The first view of all: no claim can be older.
            own_range.ready_epoch = self.epoch
            return
        if now < own_range.blind_until:
            # Lost claims are not found again by a change of view.
            own_range.ready_epoch = 0
        self._unrepaired.add(partition)
        if self._own not in self._old_owners(partition):
            return
        was_ready = own_range.ready_epoch >= self.epoch - 1 and not skipped
        if was_ready:
            own_range.answered.add(self._own)
        else:
            own_range.refused.add(self._own)
        self._judge(partition, now)

    def _ask_for_records(self, now: float) -> Actions:
        self._sync_at = now + const.SYNC_RESEND_SECONDS
        wanted: dict[Member, list[int]] = {}
        for partition in sorted(self._unrepaired):
            self._judge(partition, now)
            own_range = self._store.ranges[partition]
            heard = own_range.answered | own_range.refused
            for member in self._old_owners(partition):
                if member not in heard and partition in self._unrepaired:
                    wanted.setdefault(member, []).append(partition)
        return [
            core.Send(
                dst=name,
                msg=messages.SyncAsk(
                    epoch=self.epoch, partitions=tuple(partitions)
                ),
            )
            for (name, _), partitions in wanted.items()
        ]

    def _on_sync_ask(
        self, src: str, msg: messages.SyncAsk, now: float
    ) -> Actions:
        if msg.epoch != self.epoch:
            # Answering before entering the view would let this owner grant
            # in the old one afterwards.
            return []
        ready, unready, records = [], [], []
        for partition in msg.partitions:
            own_range = self._store.ranges.get(partition)
            if own_range is None or not self._was_ready(partition):
                unready.append(partition)
                continue
            ready.append(partition)
            records += [
                record._replace(
                    remaining=max(own_range.expires[key] - now, 0.0)
                )
                for key, record in own_range.records.items()
            ]
        return _sync_replies(src, self.epoch, ready, unready, records)

    def _was_ready(self, partition: int) -> bool:
        """Tell whether this owner was repaired in the view before."""
        own_range = self._store.ranges[partition]
        return (
            own_range.ready_epoch >= self.epoch - 1
            and self._own in self._old_owners(partition)
        )

    def _on_sync_reply(
        self, member: Member, msg: messages.SyncReply, now: float
    ) -> None:
        if msg.epoch != self.epoch:
            return
        for record in msg.records:
            partition = ranges.partition_of(record.key)
            if partition not in self._unrepaired:
                continue
            known = self._store.ranges[partition].records.get(record.key)
            if known is None or known.version < record.version:
                self._store.put(record, now)
        if not msg.last:
            return
        for partition in msg.ready:
            if partition in self._unrepaired:
                self._store.ranges[partition].answered.add(member)
                self._judge(partition, now)
        for partition in msg.unready:
            if partition in self._unrepaired:
                self._store.ranges[partition].refused.add(member)
                self._judge(partition, now)

    def _judge(self, partition: int, now: float) -> None:
        """Decide whether a range is repaired, or its claims may be lost."""
        if partition not in self._unrepaired:
            return
        own_range = self._store.ranges[partition]
        old = set(self._old_owners(partition))
        needed = ranges.majority(len(old))
        if len(own_range.answered & old) >= needed:
            self._repaired(partition)
            return
        lost = own_range.refused & old
        if now - self._view_at >= const.SYNC_PATIENCE_SECONDS:
            lost = old - own_range.answered
        if len(old) - len(lost) >= needed:
            return
        if own_range.blind_until == float("-inf"):
            # Owners that are cut off may grant until their authority ends,
            # and such a claim holds for a window after that.
            own_range.blind_until = now + const.AUTHORITY_SECONDS + self.window
        if now >= own_range.blind_until:
            self._repaired(partition)

    def _repaired(self, partition: int) -> None:
        self._unrepaired.discard(partition)
        own_range = self._store.ranges[partition]
        own_range.ready_epoch = self.epoch
        own_range.blind_until = float("-inf")

    def _old_owners(self, partition: int) -> tuple[Member, ...]:
        if not self._view.previous:
            return ()
        return ranges.layout(self._view.previous)[partition]

    # Records.

    def _owners(self, key: str) -> tuple[Member, ...]:
        return ranges.layout(self._view.members)[ranges.partition_of(key)]


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
