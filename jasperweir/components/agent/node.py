"""Sans-I/O core of an agent: membership, configuration and groups."""

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
    """Announces the target and follows the configuration.

    Attributes:
        announcer: Announces the target and sends its heartbeats.
        replica: Replica of the configuration in force.
        control: Client of the control VMs.
        group: Membership in an expert group, or None.
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
        self.control = control_client.ControlClient(voters=voters, rng=rng)
        self.group = group

    @property
    def is_ready(self) -> bool:
        """Whether the agent may accept new requests."""
        return self.replica.is_ready

    def tick(self, now: float) -> Actions:
        """Return the messages and actions that are due."""
        out = self.announcer.tick(now)
        out += self.control.request_min_revision(now)
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
            case control_messages.MinRevisionReply():
                self.control.on_min_revision(msg, now)
                self.replica.min_revision = self.control.min_revision
                return []
            case table_lib.Delta():
                self.replica.table.apply(msg)
                return []
        if type(msg).__module__ == experts_messages.__name__:
            if self.group is None:
                return []
            return self.group.receive(src, msg, now)
        return self.announcer.receive(src, msg, now)
