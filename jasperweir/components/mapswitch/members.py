"""What the leader knows of the ranks of one group."""

import dataclasses
import statistics

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages


@dataclasses.dataclass(kw_only=True, slots=True)
class Member:
    """One rank, as its agent last told.

    Attributes:
        agent: Name of the agent on its VM.
        beat: Newest beat.
        heard_at: When the beat arrived.
        holds_until: Until when beats do not replace the state.
        pass_seconds: Smoothed time of a pass, 0 while it is not known.
    """

    agent: str
    beat: messages.EngineBeat
    heard_at: float
    holds_until: float = 0.0
    pass_seconds: float = 0.0

    @property
    def state(self) -> messages.EngineState:
        """The engine's state."""
        return self.beat.state


class Members:
    """The ranks of one group."""

    def __init__(self) -> None:
        self._by_rank: dict[int, Member] = {}

    def on_beat(self, src: str, beat: messages.EngineBeat, now: float) -> None:
        """Take in a beat."""
        rank = beat.state.rank
        old = self._by_rank.get(rank)
        pass_seconds = _pass_seconds(old, beat, now)
        holds_until = 0.0
        if old is not None and now < old.holds_until:
            holds_until = old.holds_until
            beat = beat._replace(state=old.state)
        self._by_rank[rank] = Member(
            agent=src,
            beat=beat,
            heard_at=now,
            holds_until=holds_until,
            pass_seconds=pass_seconds,
        )

    def on_state(
        self, agent: str, state: messages.EngineState, now: float
    ) -> None:
        """Take in the state that an order left behind."""
        for member in self._by_rank.values():
            if member.agent == agent and state.rank == member.state.rank:
                member.beat = member.beat._replace(state=state)
                member.holds_until = now + const.STATE_HOLDS_SECONDS

    def of(self, agent: str) -> Member | None:
        """Return the rank at an agent."""
        for member in self._by_rank.values():
            if member.agent == agent:
                return member
        return None

    def all(self) -> list[Member]:
        """Return the known ranks in order."""
        return [self._by_rank[rank] for rank in sorted(self._by_rank)]

    def complete(self, term: int, now: float) -> bool:
        """Tell whether every rank is known, fresh and in step."""
        members = self.all()
        if not members:
            return False
        first = members[0].state
        if len(members) != first.size:
            return False
        return all(
            now - m.heard_at < const.FRESH_SECONDS
            and m.beat.term == term
            and m.state.is_open
            and m.state.epoch == first.epoch
            and m.state.size == first.size
            for m in members
        )

    def any_held(self) -> bool:
        """Tell whether any rank holds a pass."""
        return any(m.state.held for m in self._by_rank.values())

    def uniform(self) -> bool:
        """Tell whether every rank is armed for one map and pass."""
        states = [m.state for m in self.all()]
        targets = {(s.armed, s.armed_at) for s in states}
        return len(targets) == 1 and states[0].armed > 0

    def in_epoch(self, epoch: int) -> bool:
        """Tell whether the group has not formed anew since an epoch."""
        return all(m.state.epoch == epoch for m in self.all())

    def placement(self) -> messages.Placement:
        """Return the experts in use, by set and rank."""
        ranks = [member.beat.experts for member in self.all()]
        sets = min((len(r) for r in ranks), default=0)
        return tuple(
            tuple(rank[number] for rank in ranks) for number in range(sets)
        )

    def newest_pass(self) -> int:
        """Return the newest pass that any rank has begun."""
        return max((m.state.passes for m in self.all()), default=0)

    def pass_seconds(self) -> float:
        """Return the usual time of a pass by what the ranks showed."""
        times = [m.pass_seconds for m in self.all() if m.pass_seconds > 0]
        return statistics.median(times) if times else 0.0


def _pass_seconds(
    old: Member | None, beat: messages.EngineBeat, now: float
) -> float:
    if old is None:
        return 0.0
    passed = beat.state.passes - old.state.passes
    if passed <= 0 or now <= old.heard_at:
        return old.pass_seconds
    return (now - old.heard_at) / passed
