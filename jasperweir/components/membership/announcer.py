"""An agent's side of membership: announce, heartbeat, refute, leave."""

from typing import Any

from jasperweir import core
from jasperweir.components.config import table as table_lib
from jasperweir.components.membership import const
from jasperweir.components.membership import messages

Status = messages.Status
Actions = list[Any]


class Announcer:
    """Sans-I/O announcement of one target through its agent.

    Attributes:
        member: The agent's own record.
        table: Configuration in its newest known revision.
        group: Agents of the same group, by name and address.
        watchers: Entries that watch this agent.
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
        self._heartbeat_at = 0.0
        self._lists = 0
        self._acked: dict[str, float] = {}
        self._turn = 0

    @property
    def settled(self) -> bool:
        """Whether an entry has acknowledged this agent."""
        return bool(self._acked)

    def change(self, **changes: Any) -> Actions:
        """Change the own record and announce it to all watchers."""
        self.member = self.member._replace(seq=self.member.seq + 1, **changes)
        return self._announce_all()

    def ready(self, ready: bool) -> Actions:
        """Announce that the target takes new work, or for now does not."""
        wanted = Status.ALIVE if ready else Status.JOINING
        if self.member.status in (wanted, Status.LEAVING, Status.LEFT):
            return []
        return self.change(status=wanted)

    def leave(self) -> Actions:
        """Announce that the target takes no new work."""
        if self.member.status >= Status.LEAVING:
            return []
        return self.change(status=Status.LEAVING)

    def left(self) -> Actions:
        """Announce that the target has gone by its own will."""
        return self.change(status=Status.LEFT)

    def tick(self, now: float) -> Actions:
        """Send the heartbeat that is due."""
        if now < self._heartbeat_at:
            return []
        self._heartbeat_at = now + const.HEARTBEAT_SECONDS
        fresh = [
            peer
            for peer in self.watchers
            if now - self._acked.get(peer.name, now) < const.SUSPECT_SECONDS
        ]
        if len(fresh) < len(self.watchers) or not self.watchers:
            # Some watcher is silent: any other entry knows its successor.
            return self._beat(fresh) + self._announce_to(self._next_seed())
        return self._beat(fresh)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a watcher's answer."""
        if not isinstance(msg, messages.WatchAck):
            return []
        self._acked[src] = now
        if msg.delta is not None:
            self.table.apply(msg.delta)
        # A late answer to an earlier heartbeat may name its lists as known.
        if msg.watchers and msg.lists != self._lists:
            self._lists = msg.lists
            self.watchers = msg.watchers
            self.group = msg.group
            names = {peer.name for peer in msg.watchers}
            self._acked = {
                name: at for name, at in self._acked.items() if name in names
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

    def _beat(self, peers: list[messages.Peer]) -> Actions:
        own = self.member
        msg = messages.Heartbeat(
            inc=own.inc,
            seq=own.seq,
            status=own.status,
            revision=self.table.revision,
            lists=self._lists,
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
        self._turn += 1
        return self._seeds[self._turn % len(self._seeds)].name
