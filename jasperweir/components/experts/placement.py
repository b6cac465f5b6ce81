"""Placement of experts in slots, and the split of their load."""

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from jasperweir import exceptions
from jasperweir.components.experts import const

Ints = npt.NDArray[np.int64]
Floats = npt.NDArray[np.float64]


class Layer(NamedTuple):
    """Placement of one layer's experts.

    Attributes:
        slots: Expert in each slot, shape (ranks, slots per rank).
        split: Share of its expert's load that each slot takes, same shape;
            the shares of one expert's slots sum to 1.
    """

    slots: Ints
    split: Floats


class Move(NamedTuple):
    """One expert loaded into one slot, in place of another's copy."""

    rank: int
    slot: int
    expert: int
    replaces: int


def count_copies(slots: Ints, experts: int) -> Ints:
    """Return the number of copies of each expert."""
    return np.bincount(slots.ravel(), minlength=experts)


def even_split(slots: Ints, experts: int) -> Floats:
    """Return the split that shares each expert's load evenly.

    Args:
        slots: Shape (ranks, slots per rank).
        experts: Number of experts.
    """
    count = count_copies(slots, experts)
    split: Floats = 1.0 / count[slots]
    return split


def rank_loads(layer: Layer, shares: Floats, speeds: Floats) -> Floats:
    """Return each rank's load, in the time of a rank of speed 1.

    Args:
        layer: Placement of the layer.
        shares: Load of each expert, shape (experts,).
        speeds: Relative speed of each rank, shape (ranks,).
    """
    loads: Floats = (shares[layer.slots] * layer.split).sum(axis=1) / speeds
    return loads


def skew(loads: Floats) -> float:
    """Return the load of the slowest rank over the mean, minus 1."""
    mean = float(loads.mean())
    return float(loads.max()) / mean - 1.0 if mean > 0 else 0.0


def balanced_split(
    slots: Ints,
    shares: Floats,
    speeds: Floats,
    start: Floats | None = None,
) -> Floats:
    """Return a split of each expert's load that balances the ranks.

    Shifting load between loaded copies needs no move. Each round shifts every
    expert's load towards the copies on less loaded ranks, in proportion to the
    inverse of the rank's load.

    Args:
        slots: Shape (ranks, slots per rank).
        shares: Load of each expert, shape (experts,).
        speeds: Relative speed of each rank, shape (ranks,).
        start: Initial split; even if absent.

    Returns:
        The best split found, shape (ranks, slots per rank).
    """
    experts = len(shares)
    flat = slots.ravel()
    split = even_split(slots, experts)
    if start is not None:
        # A share of zero could not grow, so some of the even split is mixed in.
        split = start + const.EVEN_SPLIT_SHARE * (split - start)
    best, best_peak = split, np.inf
    for _ in range(const.SPLIT_ROUNDS):
        loads = (shares[slots] * split).sum(axis=1) / speeds
        peak = float(loads.max())
        if peak < best_peak:
            best, best_peak = split, peak
        pull = 1.0 / np.maximum(loads, 1e-12)
        weight = split * pull[:, None]
        total = np.bincount(flat, weights=weight.ravel(), minlength=experts)
        split = weight / np.maximum(total, 1e-300)[slots]
    loads = (shares[slots] * split).sum(axis=1) / speeds
    return split if float(loads.max()) < best_peak else best


def initial_slots(ranks: int, per_rank: int, experts: int) -> Ints:
    """Return a round-robin placement with every expert at least once.

    Raises:
        PlanError: There are fewer slots than experts.
    """
    total = ranks * per_rank
    if total < experts:
        raise exceptions.PlanError(f"{total} slots for {experts} experts")
    order = np.arange(total) % experts
    slots: Ints = order.reshape(per_rank, ranks).T.copy()
    return slots


def greedy(shares: Floats, ranks: int, per_rank: int, speeds: Floats) -> Ints:
    """Return a placement from scratch, the usual greedy baseline.

    Extra slots go to the expert with the largest load per copy. Copies are then
    assigned by descending load to the least loaded rank without a copy.
    """
    experts = len(shares)
    count = np.ones(experts, dtype=np.int64)
    for _ in range(ranks * per_rank - experts):
        open_for_more = count < ranks
        per_copy = np.where(open_for_more, shares / count, -1.0)
        count[int(per_copy.argmax())] += 1
    items = np.repeat(np.arange(experts), count)
    sizes = (shares / count)[items]
    slots = np.full((ranks, per_rank), -1, dtype=np.int64)
    used = np.zeros(ranks, dtype=np.int64)
    loads = np.zeros(ranks)
    for item in np.argsort(-sizes, kind="stable"):
        expert = items[item]
        _assign(slots, used, loads, int(expert), float(sizes[item]), speeds)
    return slots


def _assign(
    slots: Ints,
    used: Ints,
    loads: Floats,
    expert: int,
    size: float,
    speeds: Floats,
) -> None:
    per_rank = slots.shape[1]
    free = used < per_rank
    without_copy = free & ~(slots == expert).any(axis=1)
    allowed = without_copy if without_copy.any() else free
    after = np.where(allowed, loads + size / speeds, np.inf)
    rank = int(after.argmin())
    slots[rank, used[rank]] = expert
    used[rank] += 1
    loads[rank] += size / speeds[rank]


def moves_between(old: Ints, new: Ints) -> list[Move]:
    """Return the moves that turn one placement into another.

    The order of slots within a rank does not matter: only experts that the rank
    did not hold count as moves.
    """
    found = []
    for rank in range(old.shape[0]):
        removed = list(old[rank])
        added = list(new[rank])
        for expert in list(added):
            if expert in removed:
                removed.remove(expert)
                added.remove(expert)
        for expert, replaced in zip(added, removed, strict=True):
            slot = int(np.flatnonzero(old[rank] == replaced)[0])
            found.append(Move(rank, slot, int(expert), int(replaced)))
    return found
