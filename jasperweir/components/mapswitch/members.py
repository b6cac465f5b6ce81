"""What the leader knows of the ranks of one group."""

import dataclasses
import math
import statistics
from typing import NamedTuple

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages


class PassPace(NamedTuple):
    """How fast passes follow each other.

    Attributes:
        seconds: Time of a pass, 0 while it is not known.
        passes: Pass from which the next measurement runs.
        since: When that one was told, monotonic seconds.
    """

    seconds: float = 0.0
    passes: int = 0
    since: float = float("-inf")

    def updated(self, passes: int, now: float) -> "PassPace":
        """Return the pace after a rank has told of a pass.

        It is measured over some passes: of two beats that follow closely, one
        may show no pass at all.
        """
        if passes < self.passes or self.since == float("-inf"):
            return PassPace(self.seconds, passes, now)
        if (
            now - self.since < const.PACE_WINDOW_SECONDS
            or passes == self.passes
        ):
            return self
        seconds = (now - self.since) / (passes - self.passes)
        return PassPace(seconds, passes, now)


@dataclasses.dataclass(kw_only=True, slots=True)
class Member:
    """One rank, as its agent last told.

    Attributes:
        agent: Name of the agent on its VM.
        beat: Newest beat.
        heard_at: When the beat arrived.
        holds_until: Until when beats do not replace the state.
        passes_at: When its newest pass was told.
        told_held: Pass that it holds by its last beat or answer, also while
            beats do not replace the state.
        pace: How fast its passes follow each other.
    """

    agent: str
    beat: messages.EngineBeat
    heard_at: float
    state_fixed_until: float = 0.0
    pass_reported_at: float = 0.0
    reported_held: int = 0
    pace: PassPace = PassPace()

    @property
    def state(self) -> messages.EngineState:
        """The engine's state."""
        return self.beat.state

    def passes_since(self, now: float, pass_seconds: float) -> int:
        """Return how many passes may have begun since the last beat."""
        if pass_seconds <= 0:
            return 0
        begun = (now - self.pass_reported_at) / pass_seconds
        return math.floor(begun + 1 - const.PASS_BEGUN_SHARE)


class Members:
    """The ranks of one group."""

    def __init__(self) -> None:
        self._by_rank: dict[int, Member] = {}
        self._by_agent: dict[str, Member] = {}
        # All in the order of their ranks, until another one is known.
        self._ordered: list[Member] = []

    def on_beat(self, src: str, beat: messages.EngineBeat, now: float) -> None:
        """Take in a beat."""
        member = self._by_rank.get(beat.state.rank)
        if member is None:
            member = Member(agent=src, beat=beat, heard_at=now)
            self._by_rank[beat.state.rank] = member
            self._rebuild_index()
        elif member.agent != src:
            member.agent = src
            self._rebuild_index()
        self._update_member(member, beat, now)

    def _rebuild_index(self) -> None:
        self._ordered = [self._by_rank[n] for n in sorted(self._by_rank)]
        # Of two ranks at one agent the lower one counts.
        self._by_agent = {m.agent: m for m in reversed(self._ordered)}

    def _update_member(
        self, member: Member, beat: messages.EngineBeat, now: float
    ) -> None:
        member.reported_held = beat.state.held
        member.pace = member.pace.updated(beat.state.passes, now)
        member.heard_at = now
        if now < member.state_fixed_until:
            member.beat = beat._replace(state=member.state)
            return
        member.beat = beat
        member.state_fixed_until = 0.0
        member.pass_reported_at = now

    def on_state(
        self, agent: str, state: messages.EngineState, now: float
    ) -> None:
        """Take in the state that an order left behind."""
        member = self._by_rank.get(state.rank)
        if member is None or member.agent != agent:
            return
        if state.passes > member.state.passes:
            member.pass_reported_at = now
        member.beat = member.beat._replace(state=state)
        member.reported_held = state.held
        member.state_fixed_until = now + const.ORDER_STATE_SECONDS

    def find_by_agent(self, agent: str) -> Member | None:
        """Return the rank at an agent."""
        return self._by_agent.get(agent)

    def all(self) -> list[Member]:
        """Return the known ranks in order."""
        return self._ordered

    def is_complete(self, term: int, now: float) -> bool:
        """Tell whether every rank is known, fresh and in step."""
        members = self.all()
        if not members:
            return False
        first = members[0].state
        if len(members) != first.size:
            return False
        return all(
            now - m.heard_at < const.HEARTBEAT_MAX_AGE_SECONDS
            and m.beat.term == term
            and m.state.is_open
            and m.state.epoch == first.epoch
            and m.state.size == first.size
            for m in members
        )

    def any_held(self) -> bool:
        """Tell whether any rank holds a pass."""
        return any(m.reported_held for m in self._by_rank.values())

    def is_uniformly_armed(self) -> bool:
        """Tell whether every rank is armed for one map and pass."""
        states = [m.state for m in self.all()]
        targets = {(s.armed, s.armed_at) for s in states}
        return len(targets) == 1 and states[0].armed > 0

    def is_in_epoch(self, epoch: int) -> bool:
        """Tell whether the group has not formed anew since an epoch."""
        return all(m.state.epoch == epoch for m in self.all())

    def placement(self) -> messages.Placement:
        """Return the experts in use, by set and rank."""
        ranks = [member.beat.experts for member in self.all()]
        sets = min((len(r) for r in ranks), default=0)
        return tuple(
            tuple(rank[number] for rank in ranks) for number in range(sets)
        )

    def newest_pass(self, now: float) -> int:
        """Return the newest pass that any rank has begun by now.

        What was told is as old as its beat; passes go on meanwhile.
        """
        seconds = self.pass_seconds()
        return max(
            (m.state.passes + m.passes_since(now, seconds) for m in self.all()),
            default=0,
        )

    def pass_seconds(self) -> float:
        """Return the usual time of a pass by what the ranks showed."""
        times = [m.pace.seconds for m in self.all() if m.pace.seconds > 0]
        return statistics.median(times) if times else 0.0


def is_same_step(
    state: messages.EngineState, other: messages.EngineState
) -> bool:
    """Tell whether what the steps of a switch follow from is the same."""
    return _step_state(state) == _step_state(other)


def _step_state(state: messages.EngineState) -> messages.EngineState:
    """Return the part of a state that the steps of a switch follow from."""
    return state._replace(passes=0, sequence=0, pace=0.0, running=0, queued=0)
