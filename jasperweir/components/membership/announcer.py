"""Agent side of membership: announcements and heartbeats of one agent."""

from typing import Any

from jasperweir import core
from jasperweir.components.config import table as table_lib
from jasperweir.components.membership import const
from jasperweir.components.membership import messages

Status = messages.Status
Actions = list[Any]


class Announcer:
    """Sans-I/O announcement of one target by its agent.

    Attributes:
        member: Record of the agent itself.
        table: Configuration at its newest known revision.
        group: Agents of the same group.
        watchers: Entries that monitor this agent.
    """

    def __init__(
        self,
        *,
        member: messages.Member,
        table: table_lib.Table,
        seeds: tuple[messages.Peer, ...],
    ) -> None:
        self.member = member
        self.table = table
        self.group: tuple[messages.Peer, ...] = ()
        self.watchers: tuple[messages.Peer, ...] = ()
        self._seeds = seeds
        self._next_heartbeat_at = 0.0
        self._lists_digest = 0
        self._acked_at: dict[str, float] = {}
        self._seed_index = 0

    @property
    def is_acknowledged(self) -> bool:
        """Whether an entry has acknowledged this agent."""
        return bool(self._acked_at)

    def update(self, **changes: Any) -> Actions:
        """Update the own record and announce it to all watchers."""
        self.member = self.member._replace(seq=self.member.seq + 1, **changes)
        return self._announce_all()

    def set_ready(self, ready: bool) -> Actions:
        """Announce whether the target accepts new requests."""
        wanted = Status.ALIVE if ready else Status.JOINING
        if self.member.status in (wanted, Status.LEAVING, Status.LEFT):
            return []
        return self.update(status=wanted)

    def announce_leaving(self) -> Actions:
        """Announce that the target is leaving and accepts no new requests."""
        if self.member.status >= Status.LEAVING:
            return []
        return self.update(status=Status.LEAVING)

    def announce_left(self) -> Actions:
        """Announce that the target has stopped in an orderly way."""
        return self.update(status=Status.LEFT)

    def tick(self, now: float) -> Actions:
        """Send heartbeats when they are due."""
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = now + const.HEARTBEAT_INTERVAL_SECONDS
        responsive = [
            peer
            for peer in self.watchers
            if now - self._acked_at.get(peer.name, now)
            < const.SUSPECT_TIMEOUT_SECONDS
        ]
        if len(responsive) < len(self.watchers) or not self.watchers:
            # Any entry can name the successor of a silent watcher.
            return self._build_heartbeats(responsive) + self._announce_to(
                self._next_seed()
            )
        return self._build_heartbeats(responsive)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a watcher's answer."""
        if not isinstance(msg, messages.WatchAck):
            return []
        self._acked_at[src] = now
        if msg.delta is not None:
            self.table.apply(msg.delta)
        # A late answer to an earlier heartbeat may carry the known lists.
        if msg.watchers and msg.lists != self._lists_digest:
            self._lists_digest = msg.lists
            self.watchers = msg.watchers
            self.group = msg.group
            names = {peer.name for peer in msg.watchers}
            self._acked_at = {
                name: at for name, at in self._acked_at.items() if name in names
            } or {src: now}
        if not msg.known:
            return self._announce_to(src)
        return self._refute(msg)

    def _refute(self, msg: messages.WatchAck) -> Actions:
        own = self.member
        if msg.seen_inc > own.inc:
            self.member = own._replace(inc=msg.seen_inc + 1)
            return self._announce_all()
        if msg.seen_inc == own.inc and (
            (msg.seen_seq, msg.status) > (own.seq, own.status)
        ):
            self.member = own._replace(seq=msg.seen_seq + 1)
            return self._announce_all()
        if (msg.seen_inc, msg.seen_seq) < (own.inc, own.seq):
            return self._announce_all()
        return []

    def _build_heartbeats(self, peers: list[messages.Peer]) -> Actions:
        own = self.member
        msg = messages.Heartbeat(
            inc=own.inc,
            seq=own.seq,
            status=own.status,
            revision=self.table.revision,
            lists=self._lists_digest,
        )
        return [core.Send(dst=peer.name, msg=msg) for peer in peers]

    def _announce_all(self) -> Actions:
        names = [peer.name for peer in self.watchers]
        if not names:
            return self._announce_to(self._next_seed())
        return [out for name in names for out in self._announce_to(name)]

    def _announce_to(self, name: str) -> Actions:
        msg = messages.Announce(
            member=self.member, revision=self.table.revision
        )
        return [core.Send(dst=name, msg=msg)]

    def _next_seed(self) -> str:
        self._seed_index += 1
        return self._seeds[self._seed_index % len(self._seeds)].name
