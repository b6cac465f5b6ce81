"""Plans the placement of one group in short calls; sans-I/O.

The plan of a large group takes longer than a leader may delay its heartbeats,
so it is split into calls of a few moves each.
"""

from typing import NamedTuple

from jasperweir.components.deployment import model
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import placement_search


class PlanRequest(NamedTuple):
    """Input of a plan.

    Attributes:
        epoch: Epoch of the group.
        map_version: Version of the map in use.
        current: Placement in use.
        shares: Share of each expert in its set, rows that sum to 1.
        slowdowns: Slowdown factor of each rank, shape (ranks,).
        lasts_s: Time for which demand is expected to last, seconds.
        switch_s: Time of a switch without its copies, seconds.
    """

    epoch: int
    map_version: int
    current: messages.Placement
    shares: placement_search.Floats
    slowdowns: placement_search.Floats
    lasts_s: float = const.MAX_DEMAND_DURATION_SECONDS
    switch_s: float = const.INITIAL_SWITCH_SECONDS


class PlanFound(NamedTuple):
    """Outcome: a placement whose gain exceeds the cost of its copies.

    Attributes:
        request: Input of the plan.
        placement: The placement.
        before: Peak load of the placement in use, mean of sets.
        after: Peak load of the new placement, mean of sets.
        copies: Highest number of experts that one rank copies.
    """

    request: PlanRequest
    placement: messages.Placement
    before: float
    after: float
    copies: int


class NoBetterPlan(NamedTuple):
    """Outcome: no placement is worth its copies."""


class PlanUnfinished(NamedTuple):
    """Outcome: the search has not ended yet."""


Outcome = PlanFound | NoBetterPlan | PlanUnfinished


class Planner:
    """Works on one plan at a time."""

    def __init__(self, *, engine: model.Engine) -> None:
        self._engine = engine
        self._request: PlanRequest | None = None
        self._search: placement_search.PlacementSearch | None = None

    @property
    def active(self) -> bool:
        """Whether a plan is in progress."""
        return self._request is not None

    def start(self, request: PlanRequest) -> None:
        """Start a plan; one in progress is cancelled."""
        experts = self._engine.experts
        self._request = request
        self._search = placement_search.PlacementSearch(
            start=tuple(
                placement_search.to_matrix(ranks, experts)
                for ranks in request.current
            ),
            shares=request.shares,
            slowdown=request.slowdowns,
            places=self._engine.places,
            spare=self._engine.spare,
        )

    def cancel(self) -> None:
        """Cancel the plan."""
        self._request = None
        self._search = None

    def advance(self) -> Outcome:
        """Search a few moves further."""
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
    """Return the stage with the lowest cost while demand lasts.

    A stage with few copies takes effect sooner; the other copies can follow in
    a second switch. The cost is the peak load summed over time.

    Args:
        before: Peak load of the placement in use.
        stages: Stages of a search, ordered by copies per rank.
        copy_s: Time to copy one expert, seconds.
        switch_s: Time of a switch without its copies, seconds.
        lasts_s: Time for which demand is expected to last, seconds.

    Returns:
        The best stage, None if none is worth its copies.
    """
    if not stages:
        return None
    final = stages[-1]
    best: placement_search.Stage | None = None
    lowest_cost = before * lasts_s
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
        if cost < lowest_cost:
            lowest_cost, best = cost, stage
    return best
