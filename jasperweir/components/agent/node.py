"""Sans-I/O core of an agent, apart from its runs."""

import random
from typing import Any

from jasperweir.components.config import replica as replica_lib
from jasperweir.components.config import table as table_lib
from jasperweir.components.control import client as control_client
from jasperweir.components.control import messages as control_messages
from jasperweir.components.experts import group as group_lib
from jasperweir.components.experts import messages as experts_messages
from jasperweir.components.membership import announcer as announcer_lib
from jasperweir.components.membership import messages as member_messages

Actions = list[Any]


class Agent:
    """Announce the target, follow the configuration, know the floor.

    Attributes:
        announcer: Announcement and heartbeats of the target.
        replica: Configuration in force here.
        control: Conversation with the control VMs.
        group: Part in an expert group, or None.
    """

    def __init__(
        self,
        *,
        member: member_messages.Member,
        seeds: tuple[member_messages.Peer, ...],
        voters: tuple[str, ...],
        rng: random.Random,
        group: group_lib.Group | None = None,
    ) -> None:
        self.replica = replica_lib.Replica(place=member.place)
        entries = tuple(s for s in seeds if s.name not in voters)
        self.announcer = announcer_lib.Announcer(
            member=member, table=self.replica.table, seeds=entries or seeds
        )
        self.control = control_client.Client(voters=voters, rng=rng)
        self.group = group

    @property
    def ready(self) -> bool:
        """Whether new work may be taken."""
        return self.replica.ready

    def tick(self, now: float) -> Actions:
        """Let time pass."""
        out = self.announcer.tick(now)
        out += self.control.ask_floor(now)
        self.replica.refresh()
        return out + self._tick_group(now)

    def _tick_group(self, now: float) -> Actions:
        bundle = self.replica.bundle
        if self.group is None or bundle is None:
            return []
        weights = group_lib.ExpertSettings(*bundle.experts)
        out = self.group.apply_appointment(
            self.replica.appointment(self.group.name),
            self.announcer.member.inc,
            tuple(peer.name for peer in self.announcer.group),
            weights,
            now,
        )
        return out + self.group.tick(weights, now)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another process."""
        match msg:
            case control_messages.FloorReply():
                self.control.on_floor(msg, now)
                self.replica.floor = self.control.floor
                return []
            case table_lib.Delta():
                self.replica.table.apply(msg)
                return []
        if type(msg).__module__ == experts_messages.__name__:
            if self.group is None:
                return []
            return self.group.receive(src, msg, now)
        return self.announcer.receive(src, msg, now)
