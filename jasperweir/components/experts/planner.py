"""Improves placements by moves whose gain in skew exceeds their cost."""

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from jasperweir.components.experts import const
from jasperweir.components.experts import placement

Ints = npt.NDArray[np.int64]
Floats = npt.NDArray[np.float64]


class Plan(NamedTuple):
    """Result of one planning round.

    Attributes:
        layers: New placement of every layer.
        moves: Layer and move, in an order in which each expert keeps a copy
            after every move.
        before: Expected skew of each layer without the plan.
        after: Expected skew of each layer under the plan.
    """

    layers: tuple[placement.Layer, ...]
    moves: tuple[tuple[int, placement.Move], ...]
    before: tuple[float, ...]
    after: tuple[float, ...]


def min_gain_per_move(skew_weight: float) -> float:
    """Return the gain in skew that one move must bring.

    Args:
        skew_weight: 1 weighs only skew, 0 only the cost of moves.
    """
    ratio = const.MAX_GAIN_PER_MOVE / const.MIN_GAIN_PER_MOVE
    price: float = const.MIN_GAIN_PER_MOVE * ratio ** (1 - skew_weight)
    return price


def plan(
    layers: tuple[placement.Layer, ...],
    shares: Floats,
    speeds: Floats,
    *,
    skew_weight: float,
    budget: int,
) -> Plan:
    """Return a plan for the estimated popularity.

    Args:
        layers: Current placements.
        shares: Estimated shares, shape (layers, experts).
        speeds: Relative speed of each rank; a straggler has less than 1.
        skew_weight: The bundle's weight of skew against moves, 0 to 1.
        budget: Limit of moves in all layers.
    """
    price = min_gain_per_move(skew_weight)
    before = [
        placement.skew(placement.rank_loads(layer, shares[i], speeds))
        for i, layer in enumerate(layers)
    ]
    new = list(layers)
    after = list(before)
    moves: list[tuple[int, placement.Move]] = []
    # The layers with the highest skew are improved first.
    for i in np.argsort(-np.array(before), kind="stable"):
        left = min(budget - len(moves), const.MAX_MOVES_PER_LAYER)
        layer, made, value = _improve_layer(
            layers[i], shares[i], speeds, price, left
        )
        if not made and before[i] - value < const.MIN_SPLIT_GAIN:
            continue
        new[i] = layer
        after[i] = value
        moves += [(int(i), move) for move in made]
    return Plan(
        layers=tuple(new),
        moves=tuple(moves),
        before=tuple(before),
        after=tuple(after),
    )


def _improve_layer(
    layer: placement.Layer,
    shares: Floats,
    speeds: Floats,
    price: float,
    budget: int,
) -> tuple[placement.Layer, list[placement.Move], float]:
    """Balance the split, then move while the gain exceeds the price.

    A move without a gain of its own may enable the next one, so a few moves are
    tried in advance and kept only if their joint gain exceeds their price.
    """
    slots = layer.slots.copy()
    split = placement.balanced_split(slots, shares, speeds, layer.split)
    best = placement.Layer(slots.copy(), split)
    value = _skew(best, shares, speeds)
    made: list[placement.Move] = []
    trial = list(made)
    current = best
    while (
        len(trial) < budget
        and len(trial) - len(made) < const.MAX_LOOK_AHEAD_MOVES
    ):
        move = _best_move(current, shares, speeds)
        if move is None:
            break
        trial.append(move)
        current = _apply_move(current, move, shares, speeds)
        reached = _skew(current, shares, speeds)
        gain = value - reached
        if gain >= price * (len(trial) - len(made)):
            made, best, value = list(trial), current, reached
    return best, made, value


def _skew(layer: placement.Layer, shares: Floats, speeds: Floats) -> float:
    return placement.skew(placement.rank_loads(layer, shares, speeds))


def _apply_move(
    layer: placement.Layer,
    move: placement.Move,
    shares: Floats,
    speeds: Floats,
) -> placement.Layer:
    slots = layer.slots.copy()
    slots[move.rank, move.slot] = move.expert
    even = placement.even_split(slots, len(shares))
    changed = (slots == move.expert) | (slots == move.replaces)
    start = np.where(changed, even, layer.split)
    split = placement.balanced_split(slots, shares, speeds, start)
    return placement.Layer(slots, split)


def _best_move(
    layer: placement.Layer, shares: Floats, speeds: Floats
) -> placement.Move | None:
    """Return the move with the lowest estimated peak, None if there is none."""
    loads = placement.rank_loads(layer, shares, speeds)
    count = placement.count_copies(layer.slots, len(shares))
    slowest = int(loads.argmax())
    # A rank that holds the only copy of each of its experts can add none.
    open_to_more = (count[layer.slots] > 1).any(axis=1)
    order = np.argsort(np.where(open_to_more, loads, np.inf), kind="stable")
    lightest = order[: const.CANDIDATE_RANKS]
    found: placement.Move | None = None
    best = np.inf
    for expert in np.unique(layer.slots[slowest]):
        for rank in lightest:
            if rank == slowest or (layer.slots[rank] == expert).any():
                continue
            move = _find_move(layer, shares, count, int(rank), int(expert))
            if move is None:
                continue
            peak = _estimate_peak(layer, shares, speeds, loads, slowest, move)
            if peak < best:
                best, found = peak, move
    return found


def _find_move(
    layer: placement.Layer,
    shares: Floats,
    count: Ints,
    rank: int,
    expert: int,
) -> placement.Move | None:
    """Return the move into a rank's least used slot with other copies."""
    experts = layer.slots[rank]
    use = shares[experts] * layer.split[rank]
    use = np.where(count[experts] > 1, use, np.inf)
    slot = int(use.argmin())
    if not np.isfinite(use[slot]):
        return None
    return placement.Move(rank, slot, expert, int(experts[slot]))


def _estimate_peak(
    layer: placement.Layer,
    shares: Floats,
    speeds: Floats,
    loads: Floats,
    slowest: int,
    move: placement.Move,
) -> float:
    """Return the peak after a move, before the split is balanced again.

    The load of the replaced copy goes to its other copies in proportion to
    their load; the new copy then takes load from the slowest rank until both
    ranks are equally loaded.
    """
    work = loads * speeds
    use = shares[move.replaces] * layer.split[move.rank, move.slot]
    others = np.where(layer.slots == move.replaces, layer.split, 0.0)
    others[move.rank, move.slot] = 0.0
    per_rank = others.sum(axis=1)
    total = per_rank.sum()
    if total <= 0:
        per_rank = (layer.slots == move.replaces).sum(axis=1).astype(float)
        per_rank[move.rank] -= 1
        total = per_rank.sum()
    work = work + use * per_rank / total
    work[move.rank] -= use
    held = layer.split[slowest][layer.slots[slowest] == move.expert].sum()
    available = shares[move.expert] * held
    pace = speeds[slowest] + speeds[move.rank]
    level = (work[slowest] + work[move.rank]) / pace
    taken = np.clip(work[slowest] - level * speeds[slowest], 0.0, available)
    work[slowest] -= taken
    work[move.rank] += taken
    return float((work / speeds).max())
