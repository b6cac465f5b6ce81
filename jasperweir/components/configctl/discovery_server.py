"""Targets, entries, agents and control VMs, as one control VM hears them.

Sans-I/O. Entries are told of changes at once and of everything now and then;
a target that leaves has its acknowledgement when another control VM knows.
"""

import itertools
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import const
from jasperweir.components.configctl import digest_tracker
from jasperweir.components.configctl import node_tracker
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class Unconfirmed(NamedTuple):
    """Action: tell a caller of control that nobody can confirm it now."""

    number: int


class Acknowledged(NamedTuple):
    """Action: tell a target that its leaving is known."""

    number: int


class StartedRequest(NamedTuple):
    """A question's number and what is to be done for it now."""

    number: int
    acts: Actions


class Leader(NamedTuple):
    """Name of a leading control VM, or empty, and the term of its lead."""

    name: str
    term: int


class LogStatus(NamedTuple):
    """What a control VM's log says, for its beats.

    Attributes:
        version: Newest committed configuration version.
        certain: Whether no newer one can be committed anywhere.
        leader: Name of the control VM that leads, or empty.
        term: Term of that lead.
        seats: Members of the log.
    """

    version: int
    certain: bool
    leader: str
    term: int
    seats: quorum_messages.Seats


class DiscoveryServer:
    """Who is there, and what is told to whom.

    Attributes:
        directory: Targets, as announced here and at other control VMs.
        controls: Names of all control VMs known, with when they were heard.
        nodes: Entries and agents that beat here.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        seeds: tuple[str, ...],
        numbers: "itertools.count[int]",
        keeps_log: bool = True,
    ) -> None:
        """Begin with nobody known but the seeds.

        Args:
            name: Name of this control VM.
            place: Its data centre.
            seeds: Other control VMs.
            numbers: Where the numbers of questions come from.
            keeps_log: Whether it keeps the log on a disk.
        """
        self.directory = directory_lib.Directory()
        self.controls: dict[str, float] = {}
        self.nodes = node_tracker.NodeTracker()
        self._name = name
        self._place = place
        self._seeds = seeds
        self._request_numbers = numbers
        self._keeps_log = keeps_log
        self._seats = quorum_messages.Seats()
        # What each other control VM told last.
        self._control_heartbeats: dict[str, records.ControlBeat] = {}
        self._unacked_updates: dict[int, float] = {}
        self._digest_tracker = digest_tracker.DigestTracker()
        # Targets that announced themselves here since the last refresh.
        self._announced_targets: set[str] = set()
        self._next_heartbeat_at = 0.0
        self._next_refresh_at = 0.0

    # Targets.

    def announce(self, target: records.Target, now: float) -> StartedRequest:
        """Take in a target's heartbeat; Acknowledged follows."""
        before = self.directory.get(target.target_id)
        digest = self.directory.digest
        changed = self.directory.merge(target, now)
        self._announced_targets.add(target.target_id)
        after = self.directory.get(target.target_id)
        number = next(self._request_numbers)
        if after is None or not changed:
            return StartedRequest(number, [Acknowledged(number=number)])
        known = before is not None and before.presence is after.presence
        return self._broadcast_target(after, digest, now, wait=not known)

    def deregister(
        self, target_id: str, now: float, born: int = 0
    ) -> StartedRequest:
        """Note that a target has gone; Acknowledged follows."""
        digest = self.directory.digest
        gone = self.directory.leave(target_id, now, born)
        return self._broadcast_target(gone, digest, now, wait=True)

    # Inputs.

    def tick(self, facts: LogStatus, now: float) -> Actions:
        """Let time pass."""
        self._seats = facts.seats
        self.directory.tick(now)
        out = self._expire_unacked_updates(now)
        if self.nodes.has_changes:
            out += self.nodes.publish_changes(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + const.HEARTBEAT_SECONDS
            out += self._send_heartbeats(facts, now)
        return out

    def receive(
        self, src: str, msg: Any, facts: LogStatus, now: float
    ) -> Actions:
        """Handle a message of another control VM, an entry or an agent."""
        match msg:
            case records.ControlBeat():
                return self._on_control_heartbeat(src, msg, facts, now)
            case records.NodeBeat():
                return self._on_node_heartbeat(src, msg, facts, now)
            case records.Targets():
                return self._on_targets(msg, now)
            case records.News():
                return self._on_target_update(src, msg, now)
            case records.NewsAck():
                if self._unacked_updates.pop(msg.number, None) is not None:
                    return [Acknowledged(number=msg.number)]
        return []

    def restore(self, soft_state: bytes, now: float) -> None:
        """Take up what was announced before a restart."""
        known = codec.unpack(soft_state, records.Targets)
        for target in known.targets:
            self.directory.merge(target, now)

    # Queries.

    def soft_state(self, now: float) -> bytes:
        """Return what may be lost, but makes a restart quicker."""
        return codec.pack(self._all_targets(now))

    def peers(self) -> list[str]:
        """Return the names of the other control VMs."""
        names = dict.fromkeys(self._seeds)
        names.update(dict.fromkeys(self.controls))
        names.update({s.name: None for s in self._seats.seats})
        names.pop(self._name, None)
        return list(names)

    def _advertised_controls(
        self, facts: LogStatus, now: float
    ) -> tuple[str, ...]:
        """Return the control VMs that nodes are to talk to."""
        names = {self._name: None} if self._keeps_log else {}
        names.update({seat.name: None for seat in facts.seats.seats})
        for name, beat in self._control_heartbeats.items():
            if beat.keeps_log and self._is_live(name, now):
                names[name] = None
        return tuple(names)

    def log_holders_by_place(
        self, now: float, fresh_s: float
    ) -> dict[str, str]:
        """Return a control VM that keeps the log for each other data centre.

        Args:
            now: Monotonic seconds.
            fresh_s: Those that have been silent for longer are left out.
        """
        return {
            beat.place: name
            for name, beat in sorted(self._control_heartbeats.items())
            if beat.keeps_log
            and beat.place != self._place
            and now - self.controls[name] < fresh_s
        }

    def _is_live(self, name: str, now: float) -> bool:
        return now - self.controls[name] < const.CONTROL_SILENT_SECONDS

    def reported_leader(self, now: float) -> Leader:
        """Return the newest leader that other control VMs tell of."""
        told = [
            Leader(beat.leader, beat.term)
            for name, beat in self._control_heartbeats.items()
            if beat.leader and self._is_live(name, now)
        ]
        return max(told, key=lambda leader: leader.term, default=Leader("", 0))

    # Other control VMs and nodes.

    def _send_heartbeats(self, facts: LogStatus, now: float) -> Actions:
        self.nodes.remove_silent(now)
        out = self.nodes.publish_changes(now)
        peers = self.peers()
        beat = self._make_heartbeat(facts, now)
        out += [core.Send(dst=name, msg=beat) for name in peers]
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + const.REFRESH_SECONDS
            out += self._send_refresh(peers, now)
        return out

    def _send_refresh(self, peers: list[str], now: float) -> Actions:
        """Tell how long ago targets were heard, though nothing has changed.

        Others are told by whoever a target announces itself to; an entry is
        told by a control VM of its own data centre, if there is one, since
        bytes between data centres are priced.
        """
        heard = self._announced_targets
        self._announced_targets = set()
        fresh = self._all_targets(now, heard)
        out: Actions = []
        if fresh.targets:
            out += [core.Send(dst=name, msg=fresh) for name in peers]
        every = self._all_targets(now)
        out += [
            core.Send(dst=name, msg=every)
            for name in self.entries_to_refresh(now)
        ]
        return out

    def entries_to_refresh(self, now: float) -> list[str]:
        """Return the entries that no control VM of their own place serves.

        Or that this one serves, being of their data centre.
        """
        covered = {
            beat.place
            for name, beat in self._control_heartbeats.items()
            if beat.keeps_log and self._is_live(name, now)
        }
        covered.discard(self._place)
        return [
            name
            for name in self.nodes.entry_names()
            if self.nodes.get_place(name) not in covered
        ]

    def _make_heartbeat(
        self, facts: LogStatus, now: float
    ) -> records.ControlBeat:
        controls = self._advertised_controls(facts, now)
        return records.ControlBeat(
            place=self._place,
            version=facts.version,
            certain=facts.certain,
            keeps_log=self._keeps_log,
            digest=self.directory.digest,
            controls=controls,
            controls_digest=hashing.checksum(codec.pack(controls)) >> 1,
            nodes_digest=self.nodes.digest,
            leader=facts.leader,
            term=facts.term,
        )

    def _on_control_heartbeat(
        self, src: str, msg: records.ControlBeat, facts: LogStatus, now: float
    ) -> Actions:
        is_new = src not in self._control_heartbeats
        self.controls[src] = now
        self._control_heartbeats[src] = msg
        for name in msg.controls:
            self.controls.setdefault(name, float("-inf"))
        out: Actions = []
        if is_new:
            # It learns of this one at once, not with the next beat.
            out.append(core.Send(dst=src, msg=self._make_heartbeat(facts, now)))
        self._digest_tracker.set_current(self.directory.digest, now)
        if self._digest_tracker.needs_full_list(src, msg.digest, now):
            out.append(core.Send(dst=src, msg=self._all_targets(now)))
        return out

    def _on_node_heartbeat(
        self, src: str, msg: records.NodeBeat, facts: LogStatus, now: float
    ) -> Actions:
        if not self.nodes.on_heartbeat(src, msg.node, now):
            return []
        beat = self._make_heartbeat(facts, now)
        if msg.controls_digest == beat.controls_digest:
            # The names are a third of a beat: 75 of 211 bytes for five.
            beat = beat._replace(controls=())
        out: Actions = [core.Send(dst=src, msg=beat)]
        if msg.node.kind != directory_const.KIND_ENTRY:
            return out
        self._digest_tracker.set_current(self.directory.digest, now)
        if self._digest_tracker.needs_full_list(src, msg.digest, now):
            out.append(core.Send(dst=src, msg=self._all_targets(now)))
        if msg.node.open:
            out += self.nodes.resend_list(src, msg.nodes_digest, now)
        return out

    def _all_targets(
        self, now: float, only: set[str] | None = None
    ) -> records.Targets:
        """Return all target records, or some of them."""
        rows = [
            (target, round(age, 1))
            for target, age in zip(
                self.directory.targets(), self.directory.ages(now), strict=True
            )
            if only is None or target.target_id in only
        ]
        return records.Targets(
            digest=self.directory.digest if only is None else 0,
            targets=tuple(target for target, _ in rows),
            ages=tuple(age for _, age in rows),
        )

    def _on_targets(self, msg: records.Targets, now: float) -> Actions:
        out: Actions = []
        for target, age in zip(msg.targets, msg.ages, strict=False):
            before = self.directory.digest
            if self.directory.merge(target, now, age):
                out += self._notify_entries(target.target_id, before, now)
        return out

    def _on_target_update(
        self, src: str, msg: records.News, now: float
    ) -> Actions:
        out: Actions = []
        before = self.directory.digest
        if self.directory.merge(msg.target, now):
            out += self._notify_entries(msg.target.target_id, before, now)
        if msg.number:
            ack = records.NewsAck(number=msg.number)
            out.append(core.Send(dst=src, msg=ack))
        return out

    def _notify_entries(
        self, target_id: str, before: int, now: float
    ) -> Actions:
        """Tell the entries of a record that has changed.

        Args:
            target_id: The target.
            before: Digest of all records before the change.
            now: Monotonic seconds.
        """
        target = self.directory.get(target_id)
        if target is None:
            return []
        after = self.directory.digest
        self._digest_tracker.set_current(after, now)
        news = records.News(target=target, before=before, after=after)
        return [
            core.Send(dst=name, msg=news) for name in self.nodes.entry_names()
        ]

    def _broadcast_target(
        self, target: records.Target, before: int, now: float, *, wait: bool
    ) -> StartedRequest:
        number = next(self._request_numbers)
        out = self._notify_entries(target.target_id, before, now)
        news = records.News(target=target, number=number if wait else 0)
        peers = self.peers()
        out += [core.Send(dst=name, msg=news) for name in peers]
        if wait and peers:
            self._unacked_updates[number] = (
                now + const.UPDATE_ACK_TIMEOUT_SECONDS
            )
        else:
            out.append(Acknowledged(number=number))
        return StartedRequest(number, out)

    def _expire_unacked_updates(self, now: float) -> Actions:
        late = [n for n, until in self._unacked_updates.items() if now >= until]
        for number in late:
            del self._unacked_updates[number]
        return [Unconfirmed(number=number) for number in late]
