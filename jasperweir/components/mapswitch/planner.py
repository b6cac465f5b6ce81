"""Plans of one group's placement, made a few sets at a time; sans-I/O.

A leader has a fraction of a core and must answer heartbeats within tenths of
a second: a large group's plan takes longer than that as a whole.
"""

from typing import NamedTuple

from jasperweir.components.deployment import model
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import plan as plan_lib


class Question(NamedTuple):
    """What a plan is made for.

    Attributes:
        epoch: Epoch of the group.
        map_version: Map in use.
        current: Placement in use.
        shares: Share of each expert in its set, rows that sum to 1.
        paces: How much longer each rank takes for the same work.
    """

    epoch: int
    map_version: int
    current: messages.Placement
    shares: plan_lib.Floats
    paces: plan_lib.Floats


class Better(NamedTuple):
    """Outcome: a placement that is worth its copies."""

    question: Question
    placement: messages.Placement


class GoodEnough(NamedTuple):
    """Outcome: the placement in use stays."""


class Unfinished(NamedTuple):
    """Outcome: some sets have not been looked at yet."""


Outcome = Better | GoodEnough | Unfinished


class Planner:
    """Work on one question at a time."""

    def __init__(self, *, engine: model.Engine) -> None:
        self._engine = engine
        self._question: Question | None = None
        self._done: list[plan_lib.SetPlan] = []

    @property
    def active(self) -> bool:
        """Whether a question is being worked on."""
        return self._question is not None

    def begin(self, question: Question) -> None:
        """Take up a question; an older one is dropped."""
        self._question = question
        self._done = []

    def drop(self) -> None:
        """Give up the question."""
        self._question = None

    def go_on(self) -> Outcome:
        """Look at a few more sets."""
        question = self._question
        if question is None:
            return GoodEnough()
        first = len(self._done)
        last = min(first + self._sets_at_once(question), len(question.shares))
        for number in range(first, last):
            self._done.append(self._improve(question, number))
        if last < len(question.shares):
            return Unfinished()
        self._question = None
        before = sum(found.before for found in self._done)
        after = sum(found.after for found in self._done)
        if after > before * (1 - const.LEAST_GAIN):
            return GoodEnough()
        placement = tuple(plan_lib.rows(found.held) for found in self._done)
        return Better(question=question, placement=placement)

    def _sets_at_once(self, question: Question) -> int:
        cells = len(question.current[0]) * self._engine.experts
        return max(1, const.CELLS_PER_TICK // cells)

    def _improve(self, question: Question, number: int) -> plan_lib.SetPlan:
        start = plan_lib.table(question.current[number], self._engine.experts)
        return plan_lib.improve(
            start,
            question.shares[number],
            question.paces,
            places=self._engine.places,
            spare=self._engine.spare,
        )
