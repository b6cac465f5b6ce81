"""Plans of one group's placement, made some moves at a time; sans-I/O.

A leader has a fraction of a core and must answer heartbeats within tenths of
a second: a large group's plan takes longer than that as a whole.
"""

from typing import NamedTuple

from jasperweir.components.deployment import model
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import placement_search


class PlanRequest(NamedTuple):
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
    shares: placement_search.Floats
    paces: placement_search.Floats
    lasts_s: float = const.MAX_DEMAND_DURATION_SECONDS
    switch_s: float = const.INITIAL_SWITCH_SECONDS


class PlanFound(NamedTuple):
    """Outcome: a placement that is worth its copies.

    Attributes:
        question: What it answers.
        placement: The placement.
        before: Peak of the placement in use, as a mean of the sets.
        after: The same of this one.
        copies: Copies of the rank that makes the most.
    """

    request: PlanRequest
    placement: messages.Placement
    before: float
    after: float
    copies: int


class NoBetterPlan(NamedTuple):
    """Outcome: the placement in use stays."""


class PlanUnfinished(NamedTuple):
    """Outcome: the search has not ended yet."""


Outcome = PlanFound | NoBetterPlan | PlanUnfinished


class Planner:
    """Work on one question at a time."""

    def __init__(self, *, engine: model.Engine) -> None:
        self._engine = engine
        self._request: PlanRequest | None = None
        self._search: placement_search.Search | None = None

    @property
    def active(self) -> bool:
        """Whether a question is being worked on."""
        return self._request is not None

    def start(self, request: PlanRequest) -> None:
        """Take up a question; an older one is dropped."""
        experts = self._engine.experts
        self._request = request
        self._search = placement_search.Search(
            start=tuple(
                placement_search.to_matrix(ranks, experts)
                for ranks in request.current
            ),
            shares=request.shares,
            pace=request.paces,
            places=self._engine.places,
            spare=self._engine.spare,
        )

    def cancel(self) -> None:
        """Give up the question."""
        self._request = None
        self._search = None

    def advance(self) -> Outcome:
        """Search a little further."""
        request, search = self._request, self._search
        if request is None or search is None:
            return NoBetterPlan()
        if not search.advance(const.MOVES_PER_PLAN_CALL):
            return PlanUnfinished()
        self.cancel()
        stage = choose_stage(
            search.before,
            search.stages,
            copy_s=self._engine.copy_s,
            switch_s=request.switch_s,
            lasts_s=request.lasts_s,
        )
        if stage is None:
            return NoBetterPlan()
        return PlanFound(
            request=request,
            placement=tuple(
                placement_search.to_expert_lists(held) for held in stage.held
            ),
            before=search.before,
            after=stage.peak,
            copies=stage.copies,
        )


def choose_stage(
    before: float,
    stages: list[placement_search.Stage],
    *,
    copy_s: float,
    switch_s: float,
    lasts_s: float,
) -> placement_search.Stage | None:
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
    best: placement_search.Stage | None = None
    least = before * lasts_s
    for stage in stages:
        gain = before - stage.peak
        if gain < const.MIN_GAIN * before:
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
