"""Anti-entropy and rumours for node records and configuration."""

import random
from typing import Any

from jasperweir import core
from jasperweir.components.config import table as table_lib
from jasperweir.components.membership import const
from jasperweir.components.membership import detector as detector_lib
from jasperweir.components.membership import messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Status = messages.Status
Actions = list[Any]


class Gossip:
    """Sans-I/O membership of an entry or a control VM.

    Digests of a few bytes are exchanged with one random peer a second and
    full records only where they differ; changes travel at once as rumours.

    Attributes:
        roster: Records of all nodes.
        table: Configuration in its newest known revision.
        seen_revision: Highest revision that any node has shown.
    """

    def __init__(
        self,
        *,
        own: messages.Member,
        table: table_lib.Table,
        seeds: tuple[messages.Peer, ...],
        rng: random.Random,
    ) -> None:
        self.roster = roster_lib.Roster(own=own)
        self.table = table
        self.detector = detector_lib.Detector(roster=self.roster)
        self._seeds = [s for s in seeds if s.name != own.name]
        self._rng = rng
        self._gossip_at = 0.0
        self._heartbeat_at = 0.0
        self._rumors: dict[str, messages.Member] = {}
        self._rumored_revision = table.revision
        self.seen_revision = 0

    def join(self) -> Actions:
        """Announce this node to the seeds."""
        msg = messages.Join(member=self.roster.own)
        return [core.Send(dst=seed.name, msg=msg) for seed in self._seeds]

    def leave(self) -> Actions:
        """Announce that this node is leaving, to many at once."""
        return self._announce_own(Status.LEAVING)

    def left(self) -> Actions:
        """Announce that this node has gone by its own will."""
        return self._announce_own(Status.LEFT)

    def touch(self, **changes: Any) -> None:
        """Change the own record and spread it."""
        self._spread(self.roster.update_own(**changes))

    def tick(self, now: float) -> Actions:
        """Let time pass: heartbeats, detection, digests and rumours."""
        out: Actions = []
        if self.roster.own.kind == const.KIND_ENTRY:
            for member in self.detector.tick(now):
                self._spread(member)
            if now >= self._heartbeat_at:
                self._heartbeat_at = now + const.HEARTBEAT_SECONDS
                out += self._heartbeats()
        if now >= self._gossip_at:
            jitter = self._rng.uniform(0.8, 1.2)
            self._gossip_at = now + const.GOSSIP_SECONDS * jitter
            self.roster.expire(now)
            out += self._probe()
        return out + self._flush_rumors()

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a membership message."""
        match msg:
            case messages.Join():
                return self._on_join(src, msg, now)
            case messages.Records():
                self._merge(msg.members, now)
                return []
            case messages.Probe():
                return self._on_probe(src, msg)
            case messages.Buckets():
                return self._on_buckets(src, msg)
            case messages.Stamps():
                return self._on_stamps(src, msg)
            case messages.WantConfig():
                return self._send_delta(src, msg.revision)
            case table_lib.Delta():
                return self._on_delta(src, msg)
            case messages.Heartbeat():
                return self._on_heartbeat(src, msg, now)
            case messages.Announce():
                return self._on_announce(src, msg, now)
        return []

    # Exchange of digests.

    def _probe(self) -> Actions:
        peer = self._pick()
        if peer is None:
            return self.join()
        msg = messages.Probe(
            revision=self.table.revision, root=self.roster.root()
        )
        return [core.Send(dst=peer, msg=msg)]

    def _pick(self) -> str | None:
        own = self.roster.own.name
        gossipers = [
            m
            for m in self.roster.members()
            if m.kind != const.KIND_AGENT and m.name != own
        ]
        alive = [m.name for m in gossipers if m.status < Status.DEAD]
        dead = [m.name for m in gossipers if m.status == Status.DEAD]
        if dead and self._rng.random() < const.DEAD_GOSSIP_SHARE:
            return self._rng.choice(dead)
        if not alive:
            return None
        return self._rng.choice(alive)

    def _on_probe(self, src: str, msg: messages.Probe) -> Actions:
        out: Actions = []
        self.seen_revision = max(self.seen_revision, msg.revision)
        if msg.revision < self.table.revision:
            out += self._send_delta(src, msg.revision)
        learns = self.roster.own.kind != const.KIND_CONTROL
        if learns and msg.revision > self.table.revision:
            want = messages.WantConfig(revision=self.table.revision)
            out.append(core.Send(dst=src, msg=want))
        if msg.root != self.roster.root():
            reply = messages.Buckets(
                revision=self.table.revision, hashes=self.roster.buckets()
            )
            out.append(core.Send(dst=src, msg=reply))
        return out

    def _on_buckets(self, src: str, msg: messages.Buckets) -> Actions:
        mine = self.roster.buckets()
        differing = tuple(
            index
            for index, (a, b) in enumerate(zip(mine, msg.hashes, strict=False))
            if a != b
        )
        if not differing:
            return []
        stamps = messages.Stamps(
            buckets=differing, stamps=self.roster.stamps(differing)
        )
        return [core.Send(dst=src, msg=stamps)]

    def _on_stamps(self, src: str, msg: messages.Stamps) -> Actions:
        out: Actions = _records(src, self.roster.newer_than(msg))
        if self.roster.lacks(msg):
            mine = messages.Stamps(
                buckets=msg.buckets, stamps=self.roster.stamps(msg.buckets)
            )
            out.append(core.Send(dst=src, msg=mine))
        return out

    def _on_join(self, src: str, msg: messages.Join, now: float) -> Actions:
        self._merge((msg.member,), now)
        return _records(src, tuple(self.roster.members()))

    def _on_delta(self, src: str, msg: table_lib.Delta) -> Actions:
        if self.roster.own.kind == const.KIND_CONTROL:
            # Control VMs learn from the replicated log only.
            return []
        if msg.since > self.table.revision:
            want = messages.WantConfig(revision=self.table.revision)
            return [core.Send(dst=src, msg=want)]
        self.table.apply(msg)
        return []

    def _send_delta(self, dst: str, since: int) -> Actions:
        peer = self.roster.get(dst)
        if peer is not None and peer.kind == const.KIND_CONTROL:
            return []
        if since >= self.table.revision:
            return []
        return [core.Send(dst=dst, msg=self.table.delta(since))]

    # Watched nodes.

    def _heartbeats(self) -> Actions:
        own = self.roster.own
        msg = messages.Heartbeat(
            inc=own.inc,
            seq=own.seq,
            status=own.status,
            revision=self.table.revision,
            lists=0,
        )
        return [
            core.Send(dst=watcher.name, msg=msg)
            for watcher in self.roster.watchers_of(own.name)
        ]

    def _on_heartbeat(
        self, src: str, msg: messages.Heartbeat, now: float
    ) -> Actions:
        member = self.roster.get(src)
        known = member is not None and member.inc >= msg.inc
        if member is not None and member.inc == msg.inc:
            self.detector.heard(src, now)
        if member is not None and member.kind == const.KIND_AGENT:
            ack = self._watch_ack(src, known, member, msg.revision, msg.lists)
            return [ack]
        if member is None:
            return [self._watch_ack(src, known, None, msg.revision, 0)]
        if member.inc != msg.inc or member.status in (
            Status.SUSPECT,
            Status.DEAD,
        ):
            # Show the sender what is believed of it, so that it can refute.
            return _records(src, (member,))
        return []

    def _on_announce(
        self, src: str, msg: messages.Announce, now: float
    ) -> Actions:
        self._merge((msg.member,), now)
        member = self.roster.get(src)
        if member is not None and member.inc == msg.member.inc:
            self.detector.heard(src, now)
        known = member is not None
        return [self._watch_ack(src, known, member, msg.revision, 0)]

    def _watch_ack(
        self,
        src: str,
        known: bool,
        member: messages.Member | None,
        revision: int,
        held_lists: int,
    ) -> core.Send:
        watchers = tuple(
            messages.Peer(m.name, m.addr) for m in self.roster.watchers_of(src)
        )
        group = self._group(member)
        # The lists change rarely and are most of the answer's bytes.
        lists = hashing.checksum(codec.pack((watchers, group)))
        same = lists == held_lists
        delta = None
        if revision < self.table.revision:
            delta = self.table.delta(revision)
        ack = messages.WatchAck(
            known=known,
            seen_inc=member.inc if member else 0,
            seen_seq=member.seq if member else 0,
            status=member.status if member else Status.ALIVE,
            lists=lists,
            watchers=() if same else watchers,
            group=() if same else group,
            delta=delta,
        )
        return core.Send(dst=src, msg=ack)

    def _group(
        self, member: messages.Member | None
    ) -> tuple[messages.Peer, ...]:
        if member is None or not member.group:
            return ()
        return tuple(
            messages.Peer(m.name, m.addr)
            for m in self.roster.present(const.KIND_AGENT)
            if m.group == member.group
        )

    # Rumours.

    def _merge(self, members: tuple[messages.Member, ...], now: float) -> None:
        for member in members:
            if self.roster.merge(member, now):
                current = self.roster.get(member.name)
                if current is not None:
                    self._spread(current)

    def _spread(self, member: messages.Member) -> None:
        self._rumors[member.name] = member

    def _flush_rumors(self) -> Actions:
        out: Actions = []
        if self._rumors:
            members = tuple(self._rumors.values())
            batch = members[: const.RUMOR_RECORDS_PER_FRAME]
            for member in batch:
                del self._rumors[member.name]
            for name in self._sample():
                out += _records(name, batch)
        if self.table.revision > self._rumored_revision:
            # Every frame of a rumour holds the sender's newest revision, so
            # a receiver that lacks more asks for it by its next probe.
            delta = self.table.delta(self._rumored_revision)
            self._rumored_revision = delta.upto
            out += [core.Send(dst=n, msg=delta) for n in self._sample()]
        return out

    def _sample(self) -> list[str]:
        own = self.roster.own.name
        names = [
            m.name
            for m in self.roster.present()
            if m.kind != const.KIND_AGENT and m.name != own
        ]
        return self._rng.sample(names, min(const.RUMOR_FANOUT, len(names)))

    def _announce_own(self, status: Status) -> Actions:
        member = self.roster.update_own(status=status)
        names = [
            m.name
            for m in self.roster.present()
            if m.kind != const.KIND_AGENT and m.name != member.name
        ]
        picked = self._rng.sample(
            names, min(4 * const.RUMOR_FANOUT, len(names))
        )
        return [
            core.Send(dst=name, msg=messages.Records(members=(member,)))
            for name in picked
        ]


def _records(dst: str, members: tuple[messages.Member, ...]) -> Actions:
    size = const.RECORDS_PER_FRAME
    return [
        core.Send(
            dst=dst, msg=messages.Records(members=members[start : start + size])
        )
        for start in range(0, len(members), size)
    ]
