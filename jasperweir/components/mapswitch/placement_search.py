"""Local search for a placement with a lower peak load; sans-I/O.

The ranks that hold an expert share its tokens evenly, and each set of a pass
lasts as long as its most loaded rank needs. Ranks copy experts in parallel,
but each rank one at a time, so a change takes as long as the rank with the most
copies. The search therefore proceeds in stages of more and more copies per
rank.
"""

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from jasperweir.components.mapswitch import const

Floats = npt.NDArray[np.float64]
Bools = npt.NDArray[np.bool_]
Ints = npt.NDArray[np.int64]
# Exponent of the rank times whose sum is minimized.
_TIME_EXPONENT = 8


class Stage(NamedTuple):
    """Result of a search with a limit of copies per rank.

    Attributes:
        copies: Highest number of experts that one rank copies.
        peak: Peak load over mean load, mean of sets.
        held: Whether a rank holds an expert, by set, shape (ranks, experts).
    """

    copies: int
    peak: float
    held: tuple[Bools, ...]


def to_matrix(ranks: tuple[tuple[int, ...], ...], experts: int) -> Bools:
    """Return a set's placement as a matrix, shape (ranks, experts)."""
    held = np.zeros((len(ranks), experts), dtype=bool)
    for rank, row in enumerate(ranks):
        held[rank, list(row)] = True
    return held


def to_expert_lists(held: Bools) -> tuple[tuple[int, ...], ...]:
    """Return the expert numbers of each rank of a matrix."""
    return tuple(tuple(int(e) for e in np.flatnonzero(row)) for row in held)


def initial_placement(ranks: int, experts: int) -> tuple[tuple[int, ...], ...]:
    """Return the round-robin placement of a new group."""
    return tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))


def clip_slowdowns(reported: list[float]) -> Floats:
    """Return the slowdown factor of each rank, with a lower bound."""
    return np.maximum(np.array(reported, dtype=np.float64), 0.1)


def peak(held: Bools, shares: Floats, slowdown: Floats) -> float:
    """Return the slowest rank's time as a multiple of the mean load."""
    loads = _loads(held, shares) * slowdown
    return float(loads.max() * len(loads))


class _Move(NamedTuple):
    """Experts that a rank adds and drops; -1 for none."""

    rank: int
    add: int
    drop: int


class _SetSearch:
    """Search in one set of layers.

    Attributes:
        best: Best placement found, shape (ranks, experts).
        best_peak: Its peak load over mean load.
    """

    def __init__(
        self,
        *,
        start: Bools,
        shares: Floats,
        slowdown: Floats,
        places: int,
        spare: int,
    ) -> None:
        self.best = start.copy()
        self.best_peak = peak(start, shares, slowdown)
        self._start = start
        self._held = start.copy()
        self._shares = shares
        self._slowdown = slowdown
        self._places = places
        self._spare = spare
        self._added = np.zeros(len(start), dtype=np.int64)

    @property
    def copies(self) -> Ints:
        """Number of experts that each rank copies, shape (ranks,)."""
        made: Ints = (self.best & ~self._start).sum(axis=1)
        return made

    def improve(self, copies_made: Ints, max_copies: int) -> bool:
        """Make the best move; return False if no move is an improvement.

        Args:
            copies_made: Copies of each rank in all sets; updated in place.
            max_copies: Limit of copies per rank.
        """
        move = self._best_move(
            (copies_made < max_copies) & (self._added < self._spare)
        )
        if move is None:
            return False
        for expert, holds in ((move.add, True), (move.drop, False)):
            if expert < 0:
                continue
            self._held[move.rank, expert] = holds
            if not self._start[move.rank, expert]:
                self._added[move.rank] += 1 if holds else -1
                copies_made[move.rank] += 1 if holds else -1
        reached = peak(self._held, self._shares, self._slowdown)
        if reached < self.best_peak - 1e-9:
            self.best, self.best_peak = self._held.copy(), reached
        return True

    def _best_move(self, may_copy: Bools) -> _Move | None:
        """Return the best move, None if no move is an improvement.

        Either another rank copies one of the slowest rank's experts, into free
        space or in place of an expert with further copies, or the slowest rank
        drops an expert that other ranks hold. The objective is the sum of a
        high power of the times: it also falls if a rank near the peak is
        relieved, so the search does not stop at a plateau of the peak.
        """
        loads = _loads(self._held, self._shares)
        times = loads * self._slowdown
        slowest = int(times.argmax())
        copies = self._held.sum(axis=0)
        parts = self._shares / np.maximum(copies, 1)
        order = np.argsort(times)
        order = order[: min(len(order) // 2 + 1, const.CANDIDATE_RANKS)]
        best: _Move | None = None
        best_value = _power_sum(times) * (1 - 1e-6)
        for drop in np.flatnonzero(self._held[slowest] & (copies > 1)):
            after = loads + self._held[:, drop] * (
                self._shares[drop] / (copies[drop] - 1) - parts[drop]
            )
            after[slowest] = loads[slowest] - parts[drop]
            value = _power_sum(after * self._slowdown)
            if value < best_value:
                best_value, best = value, _Move(slowest, -1, int(drop))
        swaps = [
            (int(rank), drop)
            for rank in order
            for drop in self._drop_candidates(int(rank), copies, parts)
        ]
        adds = np.flatnonzero(self._held[slowest])
        adds = adds[np.argsort(-parts[adds])][: const.CANDIDATE_EXPERTS]
        for add in adds:
            found = self._best_swap(
                int(add), swaps, loads, copies, parts, may_copy
            )
            if found is not None and found[0] < best_value:
                best_value, best = found
        return best

    def _best_swap(
        self,
        add: int,
        swaps: list[tuple[int, int]],
        loads: Floats,
        copies: Ints,
        parts: Floats,
        may_copy: Bools,
    ) -> tuple[float, _Move] | None:
        """Return the best rank for a copy of an expert, with its objective."""
        allowed = ~self._held[:, add] & (may_copy | self._start[:, add])
        fit = [s for s in swaps if allowed[s[0]] and s[1] != add]
        if not fit:
            return None
        ranks = np.array([rank for rank, _ in fit])
        drops = np.array([drop for _, drop in fit])
        part = self._shares[add] / (copies[add] + 1)
        base = loads - self._held[:, add] * (parts[add] - part)
        dropping = drops >= 0
        # Load that the other holders gain and that the rank itself loses.
        shared = np.where(
            dropping,
            self._shares[drops] / np.maximum(copies[drops] - 1, 1)
            - parts[drops],
            0.0,
        )
        lost = np.where(dropping, parts[drops], 0.0)
        after = base + self._held[:, drops].T * shared[:, None]
        after[np.arange(len(fit)), ranks] = base[ranks] + part - lost
        values = ((after * self._slowdown) ** _TIME_EXPONENT).sum(axis=1)
        least = int(values.argmin())
        rank, drop = fit[least]
        return float(values[least]), _Move(rank, add, drop)

    def _drop_candidates(
        self, rank: int, copies: Ints, parts: Floats
    ) -> list[int]:
        """Return the experts that a rank may drop; -1 if it has free space."""
        row = self._held[rank]
        if row.sum() < self._places:
            return [-1]
        others = np.flatnonzero(row & (copies > 1))
        others = others[np.argsort(parts[others])]
        return [int(expert) for expert in others[:2]]


class PlacementSearch:
    """Search in all sets of a group, a few moves at a time.

    Attributes:
        before: Peak load of the placement in use, mean of sets.
        stages: Improvements found, ordered by copies per rank.
    """

    def __init__(
        self,
        *,
        start: tuple[Bools, ...],
        shares: Floats,
        slowdown: Floats,
        places: int,
        spare: int,
    ) -> None:
        """Create a search.

        Args:
            start: Placement in use, by set, shape (ranks, experts).
            shares: Share of each expert, shape (sets, experts); rows sum to 1.
            slowdown: Slowdown factor of each rank, shape (ranks,).
            places: Experts that a rank may hold in a set.
            spare: Experts that a rank may add to a set in one change.
        """
        self._sets = [
            _SetSearch(
                start=held,
                shares=row,
                slowdown=slowdown,
                places=places,
                spare=spare,
            )
            for held, row in zip(start, shares, strict=True)
        ]
        self.before = self._peak()
        self.stages: list[Stage] = []
        self._copies_made = np.zeros(len(slowdown), dtype=np.int64)
        self._max_copies = 1
        self._copies_limit = spare * len(self._sets)
        self._exhausted_sets: set[int] = set()

    def advance(self, moves: int) -> bool:
        """Make at most ``moves`` moves; return whether the search has ended."""
        for _ in range(moves):
            number = self._next_set()
            if number is None:
                if self._end_stage():
                    return True
                continue
            if not self._sets[number].improve(
                self._copies_made, self._max_copies
            ):
                self._exhausted_sets.add(number)
        return False

    def _next_set(self) -> int | None:
        """Return the set with the highest peak, None if no move is left."""
        left = [
            (found.best_peak, number)
            for number, found in enumerate(self._sets)
            if number not in self._exhausted_sets
            and found.best_peak > const.SUFFICIENT_PEAK
        ]
        return max(left)[1] if left else None

    def _end_stage(self) -> bool:
        """Record the stage and raise the limit; return True at the end."""
        copies = sum(found.copies for found in self._sets)
        stage = Stage(
            copies=int(np.max(copies)),
            peak=self._peak(),
            held=tuple(found.best for found in self._sets),
        )
        if not self.stages or stage.peak < self.stages[-1].peak:
            self.stages.append(stage)
        if not self._exhausted_sets or self._max_copies >= self._copies_limit:
            return True
        self._exhausted_sets.clear()
        self._max_copies += max(1, self._max_copies // 2)
        return False

    def _peak(self) -> float:
        return sum(found.best_peak for found in self._sets) / len(self._sets)


def _loads(held: Bools, shares: Floats) -> Floats:
    copies = np.maximum(held.sum(axis=0), 1)
    loads: Floats = held @ (shares / copies)
    return loads


def _power_sum(times: Floats) -> float:
    return float((times**_TIME_EXPONENT).sum())
