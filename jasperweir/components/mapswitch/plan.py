"""Search for a placement whose most loaded rank has less to do.

Ranks that hold an expert share its tokens evenly. A pass lasts, set by set,
as long as the most loaded rank's part.
"""

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from jasperweir.components.mapswitch import const

Floats = npt.NDArray[np.float64]
Bools = npt.NDArray[np.bool_]


class SetPlan(NamedTuple):
    """Result for one set of layers.

    Attributes:
        held: Which rank holds which expert, shape (ranks, experts).
        before: Load of the most loaded rank, as a multiple of the mean.
        after: The same under the plan.
        copies: Experts that ranks must copy.
    """

    held: Bools
    before: float
    after: float
    copies: int


def table(ranks: tuple[tuple[int, ...], ...], experts: int) -> Bools:
    """Return a set's placement as a table of ranks and experts."""
    held = np.zeros((len(ranks), experts), dtype=bool)
    for rank, row in enumerate(ranks):
        held[rank, list(row)] = True
    return held


def rows(held: Bools) -> tuple[tuple[int, ...], ...]:
    """Return a table as the expert numbers of each rank."""
    return tuple(tuple(int(e) for e in np.flatnonzero(row)) for row in held)


def initial(ranks: int, experts: int) -> tuple[tuple[int, ...], ...]:
    """Return the map of a new group, which assigns experts in turn."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def paces(reported: list[float]) -> Floats:
    """Return how much longer each rank takes for the same work."""
    return np.maximum(np.array(reported, dtype=np.float64), 0.1)


def peak(held: Bools, shares: Floats, pace: Floats) -> float:
    """Return the slowest rank's time as a multiple of the mean load."""
    loads = _loads(held, shares) * pace
    return float(loads.max() * len(loads))


def improve(
    start: Bools,
    shares: Floats,
    pace: Floats,
    *,
    places: int,
    spare: int,
) -> SetPlan:
    """Return a better placement of one set.

    Args:
        start: Placement in use.
        shares: Share of each expert; they sum to 1.
        pace: How much longer each rank takes for the same work.
        places: Experts that a rank may hold.
        spare: Experts that a rank may add in one change.
    """
    held = start.copy()
    before = peak(held, shares, pace)
    best, best_peak = held.copy(), before
    for _ in range(const.MOVES_PER_RANK * len(start)):
        if best_peak <= const.GOOD_PEAK:
            break
        move = _best_move(held, start, shares, pace, places, spare)
        if move is None:
            break
        if move.add >= 0:
            held[move.rank, move.add] = True
        if move.drop >= 0:
            held[move.rank, move.drop] = False
        reached = peak(held, shares, pace)
        if reached < best_peak - 1e-9:
            best, best_peak = held.copy(), reached
    copies = int((best & ~start).sum())
    return SetPlan(best, before, best_peak, copies)


class _Move(NamedTuple):
    """Experts that a rank adds and drops; below 0 for none."""

    rank: int
    add: int
    drop: int


def _loads(held: Bools, shares: Floats) -> Floats:
    copies = np.maximum(held.sum(axis=0), 1)
    loads: Floats = held @ (shares / copies)
    return loads


def _best_move(
    held: Bools,
    start: Bools,
    shares: Floats,
    pace: Floats,
    places: int,
    spare: int,
) -> _Move | None:
    """Return the move that helps most.

    A copy of one of the slowest rank's experts goes to another rank, in a
    free place or in that of an expert with further copies; or the slowest
    rank drops an expert that others hold. The measure is the sum of a high
    power of the times: it falls when any rank near the peak is relieved, so
    plateaus of the peak alone do not end the search.
    """
    loads = _loads(held, shares)
    copies = held.sum(axis=0)
    added = (held & ~start).sum(axis=1)
    free = held.sum(axis=1) < places
    slowest = int((loads * pace).argmax())
    moves = [
        _Move(slowest, -1, int(e))
        for e in np.flatnonzero(held[slowest])
        if copies[e] > 1
    ]
    order = np.argsort(loads * pace)
    candidates = min(len(order) // 2 + 1, const.CANDIDATE_RANKS)
    for add in np.flatnonzero(held[slowest]):
        for rank in order[:candidates]:
            if held[rank, add]:
                continue
            grows = 0 if start[rank, add] else 1
            if added[rank] + grows > spare:
                continue
            drops = _drops(held, copies, shares, int(rank), bool(free[rank]))
            moves += [_Move(int(rank), int(add), drop) for drop in drops]
    best: _Move | None = None
    best_value = _measure(loads * pace) * (1 - 1e-6)
    for move in moves:
        after = _after(held, shares, copies, loads, move)
        value = _measure(after * pace)
        if value < best_value:
            best_value, best = value, move
    return best


def _drops(
    held: Bools,
    copies: npt.NDArray[np.int64],
    shares: Floats,
    rank: int,
    has_room: bool,
) -> list[int]:
    if has_room:
        return [-1]
    others = [int(e) for e in np.flatnonzero(held[rank]) if copies[e] > 1]
    return sorted(others, key=lambda e: float(shares[e] / copies[e]))[:2]


def _after(
    held: Bools,
    shares: Floats,
    copies: npt.NDArray[np.int64],
    loads: Floats,
    move: _Move,
) -> Floats:
    after = loads.copy()
    rank, add, drop = move
    if add >= 0:
        share, count = shares[add], copies[add]
        after[held[:, add]] -= share / count - share / (count + 1)
        after[rank] += share / (count + 1)
    if drop >= 0:
        share, count = shares[drop], copies[drop]
        after[rank] -= share / count
        others = held[:, drop].copy()
        others[rank] = False
        after[others] += share / (count - 1) - share / count
    return after


def _measure(loads: Floats) -> float:
    return float((loads**8).sum())
