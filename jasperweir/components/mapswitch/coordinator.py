"""Coordinates the map switches of all groups on the leader; sans-I/O."""

from collections.abc import Callable
import itertools
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.deployment import model
from jasperweir.components.groups import const as groups_const
from jasperweir.components.groups import messages as groups_messages
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import relays as relays_lib

if TYPE_CHECKING:
    from jasperweir.components.mapswitch import group as group_lib

Actions = list[Any]


MakeGroup = Callable[..., "group_lib.Group"]


class Agent(NamedTuple):
    """An agent that sends heartbeats here: its data centre, last contact."""

    place: str
    heard_at: float


class SentRequest(NamedTuple):
    """The last rate request sent to an agent, and its time."""

    request: messages.ReportRateRequest
    sent_at: float


class Coordinator:
    """Coordinates all groups while this control VM is the leader."""

    def __init__(
        self,
        *,
        place: str,
        make_group: MakeGroup,
        name: str = "",
        term_at: Callable[[float], int] | None = None,
    ) -> None:
        """Create a coordinator that is not the leader yet.

        Args:
            place: Data centre of this control VM.
            make_group: Factory of Group; passed in because its module imports
                numpy, which only a leader needs.
            name: Name of this control VM, to which agents answer orders that
                a relay has forwarded.
            term_at: Returns the term in which this VM holds the lease at a
                time, 0 if it doesn't. Called before each input: after a pause
                of the VM, queued frames are read before its timers run, and
                must not cause orders of a term that has ended. If absent,
                only ``set_term`` sets the term.
        """
        self._term_at = term_at
        self._place = place
        self._relays = relays_lib.OrderRelays(name=name)
        self._make_group = make_group
        self._term = 0
        self._groups: dict[str, group_lib.Group] = {}
        self._agents: dict[str, Agent] = {}
        self._numbers = itertools.count(1)
        self._requests_checked_at = float("-inf")
        # Last request to each agent.
        self._sent_requests: dict[str, SentRequest] = {}
        self._hold_senders: tuple[str, ...] = ()

    @property
    def is_leader(self) -> bool:
        """Whether this control VM is the leader."""
        return self._term > 0

    @property
    def is_planning(self) -> bool:
        """Whether a plan is being made."""
        return any(group.is_planning for group in self._groups.values())

    def groups(self) -> list["group_lib.Group"]:
        """Return the groups known in this term."""
        return list(self._groups.values())

    def set_term(self, term: int) -> None:
        """Start a term, or stop with 0; drops the state of the older term."""
        if term == self._term:
            return
        self._term = term
        self._groups = {}
        self._requests_checked_at = float("-inf")
        self._sent_requests = {}

    def _is_leader_at(self, now: float) -> bool:
        if self._term_at is not None:
            self.set_term(self._term_at(now))
        return self.is_leader

    def set_entries(self, names: list[str]) -> None:
        """Set the entries, one of which sends the holds of each group."""
        self._hold_senders = tuple(names)
        for group in self._groups.values():
            group.set_hold_senders(self._hold_senders)

    def on_agent(self, name: str, place: str, now: float) -> None:
        """Record a heartbeat of an agent."""
        self._agents[name] = Agent(place=place, heard_at=now)
        self._relays.on_agent(name, place)

    def set_relays(self, by_place: dict[str, str]) -> None:
        """Set the control VMs that relay orders, by data centre."""
        self._relays.update(by_place)

    def receive(
        self,
        src: str,
        msg: Any,
        engines: dict[str, model.Engine],
        now: float,
    ) -> Actions:
        """Handle a message from an agent."""
        if not self._is_leader_at(now):
            return []
        match msg:
            case messages.EngineHeartbeat():
                return self._on_heartbeat(src, msg, engines, now)
            case messages.OrderResult():
                out: Actions = []
                for group in self._groups.values():
                    out += group.on_order_result(msg, now)
                return out
        return []

    def tick(self, now: float) -> Actions:
        """Advance all groups, and send rate requests that are due."""
        if not self._is_leader_at(now):
            return []
        out: Actions = []
        if now - self._requests_checked_at > const.READ_SECONDS:
            self._requests_checked_at = now
            out += self._send_rate_requests(now)
        for group in self._groups.values():
            was_busy = group.busy
            out += group.tick(now)
            if group.busy and not was_busy:
                out += self._send_rate_requests(now)
        return out

    def slow_targets(self) -> messages.SlowTargets:
        """Return the targets that report to be slower than usual."""
        return messages.SlowTargets(
            targets=tuple(
                messages.SlowTarget(m.heartbeat.address, round(m.state.pace, 2))
                for group in self._groups.values()
                for m in group.members.all()
                if m.state.pace >= const.SLOW_TARGET_SLOWDOWN
            )
        )

    def list_groups(self, now: float) -> tuple[groups_messages.Group, ...]:
        """Return all groups for the entries' directories.

        A group is open while a rank of its newest epoch that was heard from
        recently says so. One whose agents are all silent keeps its last state:
        silence of agents is no evidence against the targets.
        """
        return tuple(
            _describe_group(name, group, now)
            for name, group in sorted(self._groups.items())
            if group.members.all()
        )[: groups_const.GROUPS_MAX]

    def _send_rate_requests(self, now: float) -> Actions:
        busy = any(group.busy for group in self._groups.values())
        counted = self._select_counted_agents()
        out: Actions = []
        for name, agent in self._agents.items():
            if now - agent.heard_at >= const.HEARTBEAT_MAX_AGE_SECONDS * 4:
                continue
            request = messages.ReportRateRequest(
                term=self._term,
                busy=busy,
                counted=name in counted,
                near=agent.place == self._place,
            )
            sent = self._sent_requests.get(name)
            if sent is not None and sent.request == request:
                if now - sent.sent_at < const.RATE_REQUEST_RESEND_SECONDS:
                    continue
            self._sent_requests[name] = SentRequest(
                request=request, sent_at=now
            )
            out.append(core.Send(dst=name, msg=request))
        return out

    def _select_counted_agents(self) -> set[str]:
        """Return the agents that send counts, preferring near ones."""
        if not self._groups:
            # Groups are unknown until their first heartbeat.
            known = sorted(self._agents, key=self._is_far)
            return set(known[: const.COUNTED_RANKS])
        chosen: set[str] = set()
        for group in self._groups.values():
            agents = [member.agent for member in group.members.all()]
            agents.sort(key=self._is_far)
            chosen.update(agents[: const.COUNTED_RANKS])
        return chosen

    def _is_far(self, agent: str) -> bool:
        known = self._agents.get(agent)
        return known is None or known.place != self._place

    def _on_heartbeat(
        self,
        src: str,
        msg: messages.EngineHeartbeat,
        engines: dict[str, model.Engine],
        now: float,
    ) -> Actions:
        engine = engines.get(msg.service)
        if engine is None or not engine.sets or not msg.state.group:
            return []
        name = f"{msg.service}/{msg.state.group}"
        group = self._groups.get(name)
        if group is None:
            group = self._make_group(
                name=name,
                engine=engine,
                term=self._term,
                numbers=self._numbers,
                hold_senders=self._hold_senders,
                relays=self._relays,
            )
            self._groups[name] = group
        group.set_engine(engine)
        return group.on_heartbeat(src, msg, now)


def _describe_group(
    name: str, group: "group_lib.Group", now: float
) -> groups_messages.Group:
    members = group.members.all()
    epoch = max(m.state.epoch for m in members)
    newest = [m for m in members if m.state.epoch == epoch]
    recent = [
        m for m in newest if now - m.heard_at < const.HEARTBEAT_MAX_AGE_SECONDS
    ]
    service = members[0].heartbeat.service
    return groups_messages.Group(
        service=service,
        name=name.removeprefix(f"{service}/"),
        epoch=epoch,
        is_open=any(m.state.is_open for m in recent or newest),
        is_switching=group.busy,
        addresses=tuple(
            m.heartbeat.address for m in members[: groups_const.RANKS_MAX]
        ),
    )
