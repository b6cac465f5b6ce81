"""Anti-entropy and rumour spreading of node records and configuration."""

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

    Digests are exchanged with one random peer per gossip interval, and records
    only where digests differ; changes are also spread at once as rumours.

    Attributes:
        roster: Records of all nodes.
        table: Configuration at its newest known revision.
        detector: Failure detector of the nodes that this entry monitors.
        seen_revision: Highest configuration revision reported by any node.
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
        self.detector = detector_lib.FailureDetector(roster=self.roster)
        self._seeds = [s for s in seeds if s.name != own.name]
        self._rng = rng
        self._next_gossip_at = 0.0
        self._next_heartbeat_at = 0.0
        self._rumors: dict[str, messages.Member] = {}
        self._rumored_revision = table.revision
        self.seen_revision = 0

    def join(self) -> Actions:
        """Announce this node to the seeds."""
        msg = messages.Join(member=self.roster.own)
        return [core.Send(dst=seed.name, msg=msg) for seed in self._seeds]

    def announce_leaving(self) -> Actions:
        """Announce to several nodes at once that this node is leaving."""
        return self._announce_own(Status.LEAVING)

    def announce_left(self) -> Actions:
        """Announce that this node has stopped in an orderly way."""
        return self._announce_own(Status.LEFT)

    def update_own(self, **changes: Any) -> None:
        """Update the own record and spread it."""
        self._queue_rumor(self.roster.update_own(**changes))

    def tick(self, now: float) -> Actions:
        """Run heartbeats, failure detection, anti-entropy and rumours."""
        out: Actions = []
        if self.roster.own.kind == const.KIND_ENTRY:
            for member in self.detector.tick(now):
                self._queue_rumor(member)
            if now >= self._next_heartbeat_at:
                self._next_heartbeat_at = now + const.HEARTBEAT_INTERVAL_SECONDS
                out += self._heartbeats()
        if now >= self._next_gossip_at:
            jitter = self._rng.uniform(0.8, 1.2)
            self._next_gossip_at = now + const.GOSSIP_INTERVAL_SECONDS * jitter
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
        peer = self._choose_peer()
        if peer is None:
            return self.join()
        msg = messages.Probe(
            revision=self.table.revision, root=self.roster.root_digest()
        )
        return [core.Send(dst=peer, msg=msg)]

    def _choose_peer(self) -> str | None:
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
        follows_gossip = self.roster.own.kind != const.KIND_CONTROL
        if follows_gossip and msg.revision > self.table.revision:
            request = messages.WantConfig(revision=self.table.revision)
            out.append(core.Send(dst=src, msg=request))
        if msg.root != self.roster.root_digest():
            reply = messages.Buckets(
                revision=self.table.revision,
                hashes=self.roster.bucket_digests(),
            )
            out.append(core.Send(dst=src, msg=reply))
        return out

    def _on_buckets(self, src: str, msg: messages.Buckets) -> Actions:
        own_digests = self.roster.bucket_digests()
        differing = tuple(
            index
            for index, (a, b) in enumerate(
                zip(own_digests, msg.hashes, strict=False)
            )
            if a != b
        )
        if not differing:
            return []
        stamps = messages.Stamps(
            buckets=differing, stamps=self.roster.stamps(differing)
        )
        return [core.Send(dst=src, msg=stamps)]

    def _on_stamps(self, src: str, msg: messages.Stamps) -> Actions:
        out: Actions = _build_records(src, self.roster.missing_records(msg))
        if self.roster.is_behind(msg):
            own_stamps = messages.Stamps(
                buckets=msg.buckets, stamps=self.roster.stamps(msg.buckets)
            )
            out.append(core.Send(dst=src, msg=own_stamps))
        return out

    def _on_join(self, src: str, msg: messages.Join, now: float) -> Actions:
        self._merge((msg.member,), now)
        return _build_records(src, tuple(self.roster.members()))

    def _on_delta(self, src: str, msg: table_lib.Delta) -> Actions:
        if self.roster.own.kind == const.KIND_CONTROL:
            # Control VMs get configuration from the replicated log only.
            return []
        if msg.since > self.table.revision:
            request = messages.WantConfig(revision=self.table.revision)
            return [core.Send(dst=src, msg=request)]
        self.table.apply(msg)
        return []

    def _send_delta(self, dst: str, since: int) -> Actions:
        peer = self.roster.get(dst)
        if peer is not None and peer.kind == const.KIND_CONTROL:
            return []
        if since >= self.table.revision:
            return []
        return [core.Send(dst=dst, msg=self.table.delta(since))]

    # Monitored nodes.

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
            for watcher in self.roster.watchers(own.name)
        ]

    def _on_heartbeat(
        self, src: str, msg: messages.Heartbeat, now: float
    ) -> Actions:
        member = self.roster.get(src)
        known = member is not None and member.inc >= msg.inc
        if member is not None and member.inc == msg.inc:
            self.detector.record_heartbeat(src, now)
        if member is not None and member.kind == const.KIND_AGENT:
            ack = self._build_watch_ack(
                src, known, member, msg.revision, msg.lists
            )
            return [ack]
        if member is None:
            return [self._build_watch_ack(src, known, None, msg.revision, 0)]
        if member.inc != msg.inc or member.status in (
            Status.SUSPECT,
            Status.DEAD,
        ):
            # The sender can refute the record that is held of it.
            return _build_records(src, (member,))
        return []

    def _on_announce(
        self, src: str, msg: messages.Announce, now: float
    ) -> Actions:
        self._merge((msg.member,), now)
        member = self.roster.get(src)
        if member is not None and member.inc == msg.member.inc:
            self.detector.record_heartbeat(src, now)
        known = member is not None
        return [self._build_watch_ack(src, known, member, msg.revision, 0)]

    def _build_watch_ack(
        self,
        src: str,
        known: bool,
        member: messages.Member | None,
        revision: int,
        held_lists: int,
    ) -> core.Send:
        watchers = tuple(
            messages.Peer(m.name, m.addr) for m in self.roster.watchers(src)
        )
        group = self._group_peers(member)
        # The lists rarely change and are most of the size of the answer.
        lists = hashing.checksum(codec.pack((watchers, group)))
        unchanged = lists == held_lists
        delta = None
        if revision < self.table.revision:
            delta = self.table.delta(revision)
        ack = messages.WatchAck(
            known=known,
            seen_inc=member.inc if member else 0,
            seen_seq=member.seq if member else 0,
            status=member.status if member else Status.ALIVE,
            lists=lists,
            watchers=() if unchanged else watchers,
            group=() if unchanged else group,
            delta=delta,
        )
        return core.Send(dst=src, msg=ack)

    def _group_peers(
        self, member: messages.Member | None
    ) -> tuple[messages.Peer, ...]:
        if member is None or not member.group:
            return ()
        return tuple(
            messages.Peer(m.name, m.addr)
            for m in self.roster.live_members(const.KIND_AGENT)
            if m.group == member.group
        )

    # Rumours.

    def _merge(self, members: tuple[messages.Member, ...], now: float) -> None:
        for member in members:
            if self.roster.merge(member, now):
                current = self.roster.get(member.name)
                if current is not None:
                    self._queue_rumor(current)

    def _queue_rumor(self, member: messages.Member) -> None:
        self._rumors[member.name] = member

    def _flush_rumors(self) -> Actions:
        out: Actions = []
        if self._rumors:
            members = tuple(self._rumors.values())
            batch = members[: const.RUMOR_RECORDS_PER_FRAME]
            for member in batch:
                del self._rumors[member.name]
            for name in self._sample_peers():
                out += _build_records(name, batch)
        if self.table.revision > self._rumored_revision:
            # A delta states the sender's newest revision, so a receiver that
            # lacks an earlier part requests it after its next probe.
            delta = self.table.delta(self._rumored_revision)
            self._rumored_revision = delta.upto
            out += [core.Send(dst=n, msg=delta) for n in self._sample_peers()]
        return out

    def _sample_peers(self) -> list[str]:
        own = self.roster.own.name
        names = [
            m.name
            for m in self.roster.live_members()
            if m.kind != const.KIND_AGENT and m.name != own
        ]
        return self._rng.sample(names, min(const.RUMOR_FANOUT, len(names)))

    def _announce_own(self, status: Status) -> Actions:
        member = self.roster.update_own(status=status)
        names = [
            m.name
            for m in self.roster.live_members()
            if m.kind != const.KIND_AGENT and m.name != member.name
        ]
        chosen = self._rng.sample(
            names, min(4 * const.RUMOR_FANOUT, len(names))
        )
        return [
            core.Send(dst=name, msg=messages.Records(members=(member,)))
            for name in chosen
        ]


def _build_records(dst: str, members: tuple[messages.Member, ...]) -> Actions:
    size = const.RECORDS_PER_FRAME
    return [
        core.Send(
            dst=dst, msg=messages.Records(members=members[start : start + size])
        )
        for start in range(0, len(members), size)
    ]
