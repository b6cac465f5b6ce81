"""Plans of one group's placement, made some moves at a time; sans-I/O.

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
        lasts_s: How long the demand is expected to stay as it is, seconds.
        switch_s: How long a switch takes besides its copies, seconds.
    """

    epoch: int
    map_version: int
    current: messages.Placement
    shares: plan_lib.Floats
    paces: plan_lib.Floats
    lasts_s: float = const.CALM_SECONDS
    switch_s: float = const.SWITCH_SECONDS


class Better(NamedTuple):
    """Outcome: a placement that is worth its copies.

    Attributes:
        question: What it answers.
        placement: The placement.
        before: Peak of the placement in use, as a mean of the sets.
        after: The same of this one.
        copies: Copies of the rank that makes the most.
    """

    question: Question
    placement: messages.Placement
    before: float
    after: float
    copies: int


class GoodEnough(NamedTuple):
    """Outcome: the placement in use stays."""


class Unfinished(NamedTuple):
    """Outcome: the search has not ended yet."""


Outcome = Better | GoodEnough | Unfinished


class Planner:
    """Work on one question at a time."""

    def __init__(self, *, engine: model.Engine) -> None:
        self._engine = engine
        self._question: Question | None = None
        self._search: plan_lib.Search | None = None

    @property
    def active(self) -> bool:
        """Whether a question is being worked on."""
        return self._question is not None

    def begin(self, question: Question) -> None:
        """Take up a question; an older one is dropped."""
        experts = self._engine.experts
        self._question = question
        self._search = plan_lib.Search(
            start=tuple(
                plan_lib.table(ranks, experts) for ranks in question.current
            ),
            shares=question.shares,
            pace=question.paces,
            places=self._engine.places,
            spare=self._engine.spare,
        )

    def drop(self) -> None:
        """Give up the question."""
        self._question = None
        self._search = None

    def go_on(self) -> Outcome:
        """Search a little further."""
        question, search = self._question, self._search
        if question is None or search is None:
            return GoodEnough()
        if not search.go_on(const.PLAN_MOVES):
            return Unfinished()
        self.drop()
        stage = choose(
            search.before,
            search.stages,
            copy_s=self._engine.copy_s,
            switch_s=question.switch_s,
            lasts_s=question.lasts_s,
        )
        if stage is None:
            return GoodEnough()
        return Better(
            question=question,
            placement=tuple(plan_lib.rows(held) for held in stage.held),
            before=search.before,
            after=stage.peak,
            copies=stage.copies,
        )


def choose(
    before: float,
    stages: list[plan_lib.Stage],
    *,
    copy_s: float,
    switch_s: float,
    lasts_s: float,
) -> plan_lib.Stage | None:
    """Return the change that saves most time until the demand moves on.

    A change with few copies helps sooner; the rest can follow with a second
    one. Compared is the peak summed over time.

    Args:
        before: Peak of the placement in use.
        stages: Changes with more and more copies a rank.
        copy_s: Time in which a rank copies one expert, seconds.
        switch_s: Time that a switch takes besides, seconds.
        lasts_s: How long the demand is expected to stay as it is, seconds.

    Returns:
        The best change, None if none is worth its copies.
    """
    if not stages:
        return None
    final = stages[-1]
    best: plan_lib.Stage | None = None
    least = before * lasts_s
    for stage in stages:
        gain = before - stage.peak
        if gain < const.LEAST_GAIN * before:
            continue
        first_s = switch_s + stage.copies * copy_s
        rest = final.copies - stage.copies
        second_s = switch_s + rest * copy_s if rest > 0 else 0.0
        left_s = max(0.0, lasts_s - first_s - second_s)
        cost = before * first_s + stage.peak * second_s + final.peak * left_s
        cost += const.COPY_COST * final.copies * copy_s
        if cost < least:
            least, best = cost, stage
    return best
