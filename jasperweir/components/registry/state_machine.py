"""State machine that applies committed operations."""

import collections
from typing import Any
from typing import NamedTuple

from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.bundle import contents
from jasperweir.components.bundle import flat_content
from jasperweir.components.config import const as config_const
from jasperweir.components.config import table as table_lib
from jasperweir.components.directory import departures
from jasperweir.components.registry import const
from jasperweir.components.registry import history
from jasperweir.components.registry import ops
from jasperweir.components.registry import view_cache
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Code = result_codes.Code


class RecordedAnswer(NamedTuple):
    """Answer kept for resent operations, with the digest of the operation."""

    op_id: str
    digest: int
    answer: ops.Answer


class StateDump(NamedTuple):
    """Full state of the machine, for snapshots."""

    revision: int
    items: tuple[table_lib.Item, ...]
    answers: tuple[RecordedAnswer, ...]
    audit: tuple[ops.AuditRecord, ...]


class StateMachine:
    """Registry of bundles, configurations, claim views and appointments.

    It is deterministic: all voters compute the same state from the same log.

    Attributes:
        table: Key table that nodes replicate.
        audit: Records of the newest operations, oldest first.
    """

    def __init__(self) -> None:
        self.table = table_lib.Table()
        self.audit: collections.deque[ops.AuditRecord] = collections.deque(
            maxlen=const.MAX_AUDIT_RECORDS
        )
        self._view_cache = view_cache.ViewCache(table=self.table)
        self._answers: collections.OrderedDict[str, RecordedAnswer] = (
            collections.OrderedDict()
        )
        # Cached current configuration, which may have several MB.
        self._declared: ops.Declared | None = None
        self._departed: dict[str, ops.Departed] | None = None
        # Cached content of the newest version, patched by each change.
        self._head_contents: contents.Contents | None = None

    # Queries.

    @property
    def head(self) -> int:
        """Newest signed-off version, 0 before the first."""
        data = self.table.get(config_const.KEY_HEAD)
        return codec.unpack(data, int) if data else 0

    def version(self, number: int) -> ops.Version | None:
        """Return the record of a version."""
        data = self.table.get(f"{config_const.PREFIX_VERSION}{number}")
        return codec.unpack(data, ops.Version) if data else None

    def roll(self) -> ops.RollState | None:
        """Return the newest roll."""
        data = self.table.get(config_const.KEY_ROLL)
        return codec.unpack(data, ops.RollState) if data else None

    def view(self) -> ops.View:
        """Return the current claim view."""
        return self._view_cache.get()

    def appointment(self, group: str) -> ops.Appointment | None:
        """Return the appointed coordinator of a group, or None."""
        data = self.table.get(f"{config_const.PREFIX_GROUP}{group}")
        return codec.unpack(data, ops.Appointment) if data else None

    def declared(self) -> ops.Declared:
        """Return the current configuration, version 0 if there is none."""
        if self._declared is None:
            data = self.table.get(config_const.KEY_DECLARED)
            self._declared = (
                codec.unpack(data, ops.Declared)
                if data is not None
                else ops.Declared(version=0, data=b"")
            )
        return self._declared

    def evacuation(self, place: str) -> ops.Evacuation:
        """Return the evacuation state of a data centre."""
        data = self.table.get(f"{config_const.PREFIX_EVACUATION}{place}")
        return codec.unpack(data, ops.Evacuation) if data else ops.Evacuation()

    def evacuations(self) -> ops.EvacuationList:
        """Return the evacuated data centres."""
        prefix = config_const.PREFIX_EVACUATION
        keys = self.table.keys(prefix)
        places = [key[len(prefix) :] for key in keys]
        return ops.EvacuationList(
            revision=max(map(self.table.revision_of, keys), default=0),
            places=tuple(p for p in places if self.evacuation(p).evacuated),
        )

    def departed(self) -> dict[str, ops.Departed]:
        """Return the targets that are leaving or gone by id, oldest first."""
        if self._departed is None:
            data = self.table.get(config_const.KEY_DEPARTED)
            found = codec.unpack(data, tuple[ops.Departed, ...]) if data else ()
            self._departed = {d.target.target_id: d for d in found}
        return self._departed

    def content(self, version: int) -> flat_content.Content:
        """Return the flat content of a version that has not been pruned."""
        return history.content_at(self.table, version)

    def find_answer(self, req: ops.Request) -> ops.Answer | None:
        """Return the recorded answer to an operation, or None.

        The answer is OP_ID_REUSED if the ID belongs to another operation.
        """
        recorded = self._answers.get(req.op_id)
        if recorded is None:
            return None
        if recorded.digest == hashing.checksum(req.body):
            return recorded.answer
        return ops.Answer(Code.OP_ID_REUSED, 0, req.op_id)

    # Application.

    def apply(self, index: int, data: bytes) -> ops.Answer:
        """Apply a committed operation, at most once per operation ID."""
        req = codec.unpack(data, ops.Request)
        digest = hashing.checksum(req.body)
        known = self.find_answer(req)
        if known is not None:
            self.table.advance(index)
            return known
        try:
            op = codec.unpack_tagged(req.body)
            answer = self._apply_op(index, req, op)
            kind = type(op).__name__
        except exceptions.FrameError as exc:
            answer = ops.Answer(Code.BAD_REQUEST, 0, str(exc))
            kind = "malformed"
        self.table.advance(index)
        self._record_answer(index, req, kind, digest, answer)
        return answer

    def skip(self, index: int) -> None:
        """Advance the revision past an entry that is no operation."""
        self.table.advance(index)

    def dump(self) -> bytes:
        """Return the encoded state."""
        revision, items = self.table.dump()
        return codec.pack(
            StateDump(
                revision=revision,
                items=items,
                answers=tuple(self._answers.values()),
                audit=tuple(self.audit),
            )
        )

    def load(self, data: bytes) -> None:
        """Replace the state by a decoded dump."""
        dump = codec.unpack(data, StateDump)
        self.table.load(dump.revision, dump.items)
        self._head_contents = None
        self._declared = None
        self._departed = None
        self._answers.clear()
        self._answers.update({r.op_id: r for r in dump.answers})
        self.audit.clear()
        self.audit.extend(dump.audit)

    def _record_answer(
        self,
        index: int,
        req: ops.Request,
        kind: str,
        digest: int,
        answer: ops.Answer,
    ) -> None:
        self._answers[req.op_id] = RecordedAnswer(req.op_id, digest, answer)
        while len(self._answers) > const.MAX_ANSWERS:
            self._answers.popitem(last=False)
        self.audit.append(
            ops.AuditRecord(
                idx=index,
                at=req.at,
                who=req.who,
                op_id=req.op_id,
                kind=kind,
                code=answer.code,
                version=answer.version,
            )
        )

    def _apply_op(self, index: int, req: ops.Request, op: Any) -> ops.Answer:
        match op:
            case ops.SignOff():
                return self._sign_off(index, req, op)
            case ops.Roll():
                return self._roll(index, op)
            case ops.RollStep():
                return self._roll_step(index, op)
            case ops.RollHalt():
                return self._roll_halt(index, op)
            case ops.Withdraw():
                return self._withdraw(index, req, op)
            case ops.SetView():
                return self._set_view(index, op)
            case ops.Appoint():
                return self._appoint(index, op)
            case ops.Replace():
                return self._replace(index, op)
            case ops.Evacuate():
                return self._evacuate(index, op)
            case ops.Depart():
                return self._depart(index, req, op)
        return ops.Answer(Code.BAD_REQUEST, 0, type(op).__name__)

    def _sign_off(
        self, index: int, req: ops.Request, op: ops.SignOff
    ) -> ops.Answer:
        head = self.head
        if op.parent != head:
            return ops.Answer(Code.STALE_PARENT, head, f"head is {head}")
        try:
            new = self._apply_change(dict(op.change))
        except exceptions.SettingsError as exc:
            return ops.Answer(Code.BAD_BUNDLE, head, exc.problems[0])
        if new.content_hash != op.content_hash:
            return ops.Answer(Code.HASH_MISMATCH, head, "content differs")
        self._head_contents = new
        number = self._add_version(
            index, req, dict(op.change), op.content_hash, op.note
        )
        return ops.Answer(Code.ACCEPTED, number, op.content_hash)

    def _apply_change(self, change: flat_content.Change) -> contents.Contents:
        """Return the newest content with a change applied."""
        if self._head_contents is None and self.head:
            self._head_contents = contents.Contents.from_flat(
                self.content(self.head)
            )
        if self._head_contents is not None:
            return self._head_contents.patch(change)
        first = {k: v for k, v in change.items() if v is not None}
        return contents.Contents.from_flat(first)

    def _add_version(
        self,
        index: int,
        req: ops.Request,
        change: flat_content.Change,
        content_hash: str,
        note: str,
    ) -> int:
        number = self.head + 1
        oldest_version = self._oldest_needed_version()
        for key, value in change.items():
            name = f"{config_const.PREFIX_BUNDLE}{key}"
            kept = history.prune(
                history.history_of(self.table.get(name)), oldest_version
            )
            kept = (*kept, (number, value))
            self.table.put(name, codec.pack(kept), index)
        record = ops.Version(
            version=number,
            parent=number - 1,
            content_hash=content_hash,
            who=req.who,
            at=req.at,
            note=note,
        )
        self._put_version(index, record)
        self.table.put(config_const.KEY_HEAD, codec.pack(number), index)
        return number

    def _oldest_needed_version(self) -> int:
        """Return the oldest version that a node or a withdrawal may need."""
        needed = [max(self.head - 1, 0)]
        for key in self.table.keys(config_const.PREFIX_PLACE):
            needed.append(codec.unpack(self.table.get(key) or b"", int))
        return min(needed)

    def _roll(self, index: int, op: ops.Roll) -> ops.Answer:
        record = self.version(op.version)
        if record is None:
            return ops.Answer(Code.UNKNOWN_VERSION, self.head, "")
        if record.withdrawn or op.version < self._max_applied_version():
            return ops.Answer(Code.WITHDRAWN, self.head, record.withdrawn)
        current = self.roll()
        if current and current.pending and not current.halted:
            if current.version != op.version:
                return ops.Answer(
                    Code.ROLL_IN_PROGRESS, current.version, "roll under way"
                )
            return ops.Answer(Code.ACCEPTED, op.version, "already rolling")
        pending = self._places_by_order(op.version)
        # A resumed roll continues where it was halted.
        done = tuple(
            place
            for place in pending
            if self._applied_version(place) == op.version
        )
        state = ops.RollState(
            version=op.version,
            done=done,
            pending=tuple(p for p in pending if p not in done),
        )
        self.table.put(config_const.KEY_ROLL, codec.pack(state), index)
        return ops.Answer(Code.ACCEPTED, op.version, ",".join(pending))

    def _roll_step(self, index: int, op: ops.RollStep) -> ops.Answer:
        state = self.roll()
        if state is None or state.version != op.version or state.halted:
            return ops.Answer(Code.WITHDRAWN, op.version, "no such roll")
        if op.place not in state.pending:
            return ops.Answer(Code.WITHDRAWN, op.version, "place not pending")
        self._set_place(index, op.place, op.version)
        state = state._replace(
            done=(*state.done, op.place),
            pending=tuple(p for p in state.pending if p != op.place),
        )
        self.table.put(config_const.KEY_ROLL, codec.pack(state), index)
        return ops.Answer(Code.ACCEPTED, op.version, op.place)

    def _roll_halt(self, index: int, op: ops.RollHalt) -> ops.Answer:
        state = self.roll()
        if state is None or state.version != op.version:
            return ops.Answer(Code.WITHDRAWN, op.version, "no such roll")
        state = state._replace(halted=op.reason)
        self.table.put(config_const.KEY_ROLL, codec.pack(state), index)
        return ops.Answer(Code.ACCEPTED, op.version, op.reason)

    def _withdraw(
        self, index: int, req: ops.Request, op: ops.Withdraw
    ) -> ops.Answer:
        head = self.head
        record = self.version(op.version)
        if record is None:
            return ops.Answer(Code.UNKNOWN_VERSION, head, "")
        if op.version != head or record.withdrawn:
            return ops.Answer(Code.WITHDRAWN, head, f"head is {head}")
        if record.parent == 0:
            return ops.Answer(Code.UNKNOWN_VERSION, head, "no earlier version")
        before = self.content(record.parent)
        change = flat_content.diff(self.content(head), before)
        self._head_contents = self._apply_change(change)
        self._put_version(index, record._replace(withdrawn=op.reason or "yes"))
        number = self._add_version(
            index,
            req,
            change,
            self._head_contents.content_hash,
            f"withdraws {op.version}: {op.reason}",
        )
        # A withdrawal applies to all data centres at once, without gates.
        places = self._places_by_order(number)
        for place in places:
            self._set_place(index, place, number)
        state = ops.RollState(version=number, done=places, pending=())
        self.table.put(config_const.KEY_ROLL, codec.pack(state), index)
        return ops.Answer(Code.ACCEPTED, number, op.reason)

    def _set_view(self, index: int, op: ops.SetView) -> ops.Answer:
        view = self.view()
        if op.epoch != view.epoch + 1:
            return ops.Answer(Code.STALE_PARENT, view.epoch, "epoch passed")
        new = ops.View(
            epoch=op.epoch, members=op.members, previous=view.members
        )
        self.table.put(config_const.KEY_VIEW, codec.pack(new), index)
        return ops.Answer(Code.ACCEPTED, op.epoch, "")

    def _appoint(self, index: int, op: ops.Appoint) -> ops.Answer:
        current = self.appointment(op.group)
        term = current.term if current else 0
        if op.term != term + 1:
            return ops.Answer(Code.STALE_PARENT, term, "term passed")
        record = ops.Appointment(*op)
        key = f"{config_const.PREFIX_GROUP}{op.group}"
        self.table.put(key, codec.pack(record), index)
        return ops.Answer(Code.ACCEPTED, op.term, op.coordinator)

    def _replace(self, index: int, op: ops.Replace) -> ops.Answer:
        held = self.declared().version
        if op.version <= held:
            # An outdated or resent version changes nothing.
            return ops.Answer(Code.ACCEPTED, held, "not above the one held")
        record = ops.Declared(version=op.version, data=op.data)
        self.table.put(config_const.KEY_DECLARED, codec.pack(record), index)
        self._declared = record
        return ops.Answer(Code.ACCEPTED, op.version, "")

    def _evacuate(self, index: int, op: ops.Evacuate) -> ops.Answer:
        held = self.evacuation(op.place)
        holds = op.evacuated == held.evacuated
        if not holds and op.expected != held.orders:
            return ops.Answer(Code.STALE_PARENT, held.orders, "order passed")
        key = f"{config_const.PREFIX_EVACUATION}{op.place}"
        if not held.orders and (
            len(self.table.keys(config_const.PREFIX_EVACUATION))
            >= const.MAX_EVACUATION_RECORDS
        ):
            return ops.Answer(Code.BAD_REQUEST, 0, "too many data centres")
        # An order whose state already holds is counted as well: it makes
        # copies of earlier opposite orders stale.
        new = ops.Evacuation(evacuated=op.evacuated, orders=held.orders + 1)
        self.table.put(key, codec.pack(new), index)
        return ops.Answer(Code.ACCEPTED, new.orders, "")

    def _depart(
        self, index: int, req: ops.Request, op: ops.Depart
    ) -> ops.Answer:
        held = dict(self.departed())
        for target in op.targets:
            old = held.pop(target.target_id, None)
            kept = departures.merge(old.target, target) if old else target
            held[target.target_id] = ops.Departed(index, req.at, kept)
        newest = max((departed.at for departed in held.values()), default=0.0)
        recent = [
            departed
            for departed in held.values()
            if newest - departed.at < const.DEPARTURE_SECONDS
        ][-const.MAX_DEPARTURES :]
        self.table.put(
            config_const.KEY_DEPARTED, codec.pack(tuple(recent)), index
        )
        self._departed = {d.target.target_id: d for d in recent}
        return ops.Answer(Code.ACCEPTED, len(op.targets), "")

    def _put_version(self, index: int, record: ops.Version) -> None:
        key = f"{config_const.PREFIX_VERSION}{record.version}"
        self.table.put(key, codec.pack(record), index)

    def _set_place(self, index: int, place: str, version: int) -> None:
        if self._applied_version(place) >= version:
            return
        key = f"{config_const.PREFIX_PLACE}{place}"
        self.table.put(key, codec.pack(version), index)

    def _applied_version(self, place: str) -> int:
        data = self.table.get(f"{config_const.PREFIX_PLACE}{place}")
        return codec.unpack(data, int) if data else 0

    def _max_applied_version(self) -> int:
        places = self.table.keys(config_const.PREFIX_PLACE)
        prefix = len(config_const.PREFIX_PLACE)
        return max(
            (self._applied_version(key[prefix:]) for key in places), default=0
        )

    def _places_by_order(self, version: int) -> tuple[str, ...]:
        if version == self.head:
            bundle = self._apply_change({}).bundle
        else:
            bundle = flat_content.typed(self.content(version))
        places = sorted(bundle.places.values(), key=lambda p: (p.order, p.name))
        return tuple(place.name for place in places)
