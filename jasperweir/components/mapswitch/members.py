"""Reported state of the ranks of one group."""

import dataclasses
import math
import statistics
from typing import NamedTuple

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages


class PassTime(NamedTuple):
    """Measures the time of a pass.

    Attributes:
        seconds: Time of a pass, 0 if unknown.
        passes: Pass at which the next measurement starts.
        since: When that pass was reported, monotonic seconds.
    """

    seconds: float = 0.0
    passes: int = 0
    since: float = float("-inf")

    def updated(self, passes: int, now: float) -> "PassTime":
        """Return the pass time after a rank has reported a pass.

        The measurement spans a minimum time, since two heartbeats in quick
        succession may report the same pass.
        """
        if passes < self.passes or self.since == float("-inf"):
            return PassTime(self.seconds, passes, now)
        if (
            now - self.since < const.PASS_TIME_WINDOW_SECONDS
            or passes == self.passes
        ):
            return self
        seconds = (now - self.since) / (passes - self.passes)
        return PassTime(seconds, passes, now)


@dataclasses.dataclass(kw_only=True, slots=True)
class Member:
    """One rank as its agent last reported it; times are monotonic seconds.

    Attributes:
        agent: Name of the agent on its VM.
        heartbeat: Newest heartbeat.
        heard_at: When the heartbeat arrived.
        state_fixed_until: Time until which heartbeats keep the state that an
            order left.
        pass_reported_at: When its newest pass was reported.
        reported_held: Pass that it holds by its last heartbeat or order result,
            also while heartbeats keep the state.
        pass_time: Time of its passes.
    """

    agent: str
    heartbeat: messages.EngineHeartbeat
    heard_at: float
    state_fixed_until: float = 0.0
    pass_reported_at: float = 0.0
    reported_held: int = 0
    pass_time: PassTime = PassTime()

    @property
    def state(self) -> messages.EngineState:
        """State of the engine."""
        return self.heartbeat.state

    def passes_since(self, now: float, pass_seconds: float) -> int:
        """Return how many passes may have begun since the last heartbeat."""
        if pass_seconds <= 0:
            return 0
        begun = (now - self.pass_reported_at) / pass_seconds
        return math.floor(begun + 1 - const.PASS_BEGUN_SHARE)


class Members:
    """The ranks of one group."""

    def __init__(self) -> None:
        self._by_rank: dict[int, Member] = {}
        self._by_agent: dict[str, Member] = {}
        # All members by rank; rebuilt when one is added or moves.
        self._ordered: list[Member] = []

    def on_heartbeat(
        self, src: str, heartbeat: messages.EngineHeartbeat, now: float
    ) -> None:
        """Handle a heartbeat."""
        member = self._by_rank.get(heartbeat.state.rank)
        if member is None:
            member = Member(agent=src, heartbeat=heartbeat, heard_at=now)
            self._by_rank[heartbeat.state.rank] = member
            self._rebuild_index()
        elif member.agent != src:
            member.agent = src
            self._rebuild_index()
        self._update_member(member, heartbeat, now)

    def _rebuild_index(self) -> None:
        self._ordered = [self._by_rank[n] for n in sorted(self._by_rank)]
        # If two ranks share an agent, the lower one is used.
        self._by_agent = {m.agent: m for m in reversed(self._ordered)}

    def _update_member(
        self, member: Member, heartbeat: messages.EngineHeartbeat, now: float
    ) -> None:
        member.reported_held = heartbeat.state.held
        member.pass_time = member.pass_time.updated(heartbeat.state.passes, now)
        member.heard_at = now
        if now < member.state_fixed_until:
            member.heartbeat = heartbeat._replace(state=member.state)
            return
        member.heartbeat = heartbeat
        member.state_fixed_until = 0.0
        member.pass_reported_at = now

    def on_state(
        self, agent: str, state: messages.EngineState, now: float
    ) -> None:
        """Set the state that an order has left."""
        member = self._by_rank.get(state.rank)
        if member is None or member.agent != agent:
            return
        if state.passes > member.state.passes:
            member.pass_reported_at = now
        member.heartbeat = member.heartbeat._replace(state=state)
        member.reported_held = state.held
        member.state_fixed_until = now + const.ORDER_STATE_SECONDS

    def find_by_agent(self, agent: str) -> Member | None:
        """Return the rank of an agent."""
        return self._by_agent.get(agent)

    def all(self) -> list[Member]:
        """Return the known ranks, ordered by number."""
        return self._ordered

    def is_complete(self, term: int, now: float) -> bool:
        """Return whether all ranks are known, recent and in one epoch."""
        members = self.all()
        if not members:
            return False
        first = members[0].state
        if len(members) != first.size:
            return False
        return all(
            now - m.heard_at < const.HEARTBEAT_MAX_AGE_SECONDS
            and m.heartbeat.term == term
            and m.state.is_open
            and m.state.epoch == first.epoch
            and m.state.size == first.size
            for m in members
        )

    def any_held(self) -> bool:
        """Return whether any rank holds a pass."""
        return any(m.reported_held for m in self._by_rank.values())

    def is_uniformly_armed(self) -> bool:
        """Return whether all ranks are armed for the same map and pass."""
        states = [m.state for m in self.all()]
        switches = {(s.armed, s.armed_at) for s in states}
        return len(switches) == 1 and states[0].armed > 0

    def is_in_epoch(self, epoch: int) -> bool:
        """Return whether the group has not re-formed since an epoch."""
        return all(m.state.epoch == epoch for m in self.all())

    def placement(self) -> messages.Placement:
        """Return the experts in use, by set and rank."""
        ranks = [member.heartbeat.experts for member in self.all()]
        sets = min((len(r) for r in ranks), default=0)
        return tuple(
            tuple(rank[number] for rank in ranks) for number in range(sets)
        )

    def newest_pass(self, now: float) -> int:
        """Return the newest pass that any rank may have begun by now.

        Adds the passes that have probably begun since each heartbeat.
        """
        seconds = self.pass_seconds()
        return max(
            (m.state.passes + m.passes_since(now, seconds) for m in self.all()),
            default=0,
        )

    def pass_seconds(self) -> float:
        """Return the median time of a pass, 0 if unknown."""
        times = [
            m.pass_time.seconds for m in self.all() if m.pass_time.seconds > 0
        ]
        return statistics.median(times) if times else 0.0


def is_same_step(
    state: messages.EngineState, other: messages.EngineState
) -> bool:
    """Return whether two states call for the same step of a switch."""
    return _step_state(state) == _step_state(other)


def _step_state(state: messages.EngineState) -> messages.EngineState:
    """Return a state without the fields that no step of a switch reads."""
    return state._replace(passes=0, sequence=0, pace=0.0, running=0, queued=0)
