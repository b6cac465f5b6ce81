"""Target choice by load, cached prefixes, data centre and failures."""

import collections
from collections.abc import Iterable
import random
import statistics
from typing import NamedTuple

from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.components.routing import const
from jasperweir.components.routing import state as state_lib
from jasperweir.helpers import hashing

Status = member_messages.Status
ROLE_BOTH = "both"


class TargetQuery(NamedTuple):
    """Requirements of a request on its target.

    Attributes:
        service: Name of the service.
        adapter: Name of the adapter, empty for none.
        role: Required role, or ROLE_BOTH for any.
        prefix: Hash of the prompt prefix, 0 for none.
    """

    service: str
    adapter: str = ""
    role: str = ROLE_BOTH
    prefix: int = 0


class Candidate(NamedTuple):
    """A target that matches a query, with its number of slots."""

    member: member_messages.Member
    slots: int


class Router:
    """Sans-I/O target choice of one entry.

    The best of a few random candidates is chosen (Mitzenmacher, 2001), so that
    entries with the same stale load report do not all choose the same target.
    """

    def __init__(
        self,
        *,
        roster: roster_lib.Roster,
        rng: random.Random,
        regions: dict[str, str],
    ) -> None:
        self._roster = roster
        self._rng = rng
        self._regions = regions
        self._states: dict[str, state_lib.TargetState] = {}
        self._target_by_prefix: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._candidates_by_query: dict[TargetQuery, list[Candidate]] = {}
        self._candidates_version = -1

    def set_regions(self, regions: dict[str, str]) -> None:
        """Set the region of each place."""
        self._regions = regions

    def target_state(self, name: str, now: float) -> state_lib.TargetState:
        """Return a target's state, which is reset for a new incarnation."""
        member = self._roster.get(name)
        inc = member.inc if member else 0
        state = self._states.get(name)
        if state is None:
            # A target that is first seen now may have served for long.
            state = state_lib.TargetState(
                inc=inc, ramp_started_at=float("-inf")
            )
            self._states[name] = state
        elif state.inc != inc:
            in_flight = state.in_flight
            state = state_lib.TargetState(inc=inc, ramp_started_at=now)
            state.in_flight = in_flight
            self._states[name] = state
        return state

    def candidates(self, query: TargetQuery) -> list[Candidate]:
        """Return this entry's subset of the targets that match a query."""
        if self._roster.version != self._candidates_version:
            self._candidates_by_query.clear()
            self._candidates_version = self._roster.version
        key = query._replace(prefix=0)
        if key not in self._candidates_by_query:
            self._candidates_by_query[key] = self._subset(
                key, self._matching_candidates(key)
            )
        return self._candidates_by_query[key]

    def total_slots(self, query: TargetQuery) -> int:
        """Return the slots of all matching targets, not only the subset."""
        return sum(c.slots for c in self._matching_candidates(query))

    def choose(
        self, query: TargetQuery, exclude: Iterable[str], now: float
    ) -> member_messages.Member | None:
        """Return the target for a request, or None if there is none."""
        excluded = set(exclude)
        pool = [
            c for c in self.candidates(query) if c.member.name not in excluded
        ]
        pool = self._exclude_ejected(pool, now)
        pool = self._exclude_refusing(pool, now)
        if not pool:
            return None
        typical_others = statistics.fmean(
            self.target_state(c.member.name, now).other_requests() for c in pool
        )
        preferred = self._affinity_candidate(query, pool, typical_others, now)
        sample = self._rng.sample(
            pool, min(const.SAMPLED_CANDIDATES, len(pool))
        )
        if preferred is not None and preferred not in sample:
            sample.append(preferred)
        median = self._median_first_token_s(pool, now)
        best = min(
            sample,
            key=lambda c: (
                self._score(c, median, typical_others, now)
                - (const.AFFINITY_BONUS if c is preferred else 0.0),
                self._rng.random(),
            ),
        )
        return best.member

    def record_start(self, name: str, query: TargetQuery, now: float) -> None:
        """Count a request sent to a target."""
        state = self.target_state(name, now)
        state.in_flight += 1
        state.refusals.chosen(now)
        if query.prefix:
            self._record_prefix(query.prefix, name)

    def record_end(self, name: str, now: float) -> None:
        """Count a request that has left a target."""
        state = self.target_state(name, now)
        state.in_flight = max(0, state.in_flight - 1)

    def record_success(self, name: str, first_token: float, now: float) -> None:
        """Record a success and its seconds to the first token."""
        state = self.target_state(name, now)
        state.record_success(first_token)
        self._eject_straggler(name, state, now)

    def record_refusal(self, name: str, now: float) -> None:
        """Record that a target refused a request without running it."""
        self.target_state(name, now).refusals.refuse(now)

    def record_failure(self, name: str, now: float) -> None:
        """Record that a target failed or was unreachable."""
        state = self.target_state(name, now)
        state.failures += 1
        if state.failures >= const.EJECT_FAILURES:
            self._eject(state, now)

    def update_load(
        self,
        name: str,
        *,
        active: int,
        skew: float,
        switching: bool,
        now: float,
    ) -> None:
        """Update a target's load from its report."""
        self.target_state(name, now).update_load(
            active=active, skew=skew, switching=switching, now=now
        )

    def update_cached_prefixes(
        self, name: str, prefixes: Iterable[int]
    ) -> None:
        """Record prefixes that a target reports to have cached.

        Reports may be late and incomplete.
        """
        for prefix in prefixes:
            self._record_prefix(prefix, name)

    def in_flight(self) -> dict[str, int]:
        """Return the number of this entry's requests in flight by target."""
        return {
            name: state.in_flight
            for name, state in self._states.items()
            if state.in_flight
        }

    def remove_departed_targets(self) -> None:
        """Delete the state of targets that are no longer in the roster."""
        for name in list(self._states):
            if self._roster.get(name) is None:
                del self._states[name]

    # Candidates.

    def _matching_candidates(self, query: TargetQuery) -> list[Candidate]:
        found = []
        for member in self._roster.members(member_const.KIND_AGENT):
            if member.status not in (Status.ALIVE, Status.SUSPECT):
                continue
            for offer in member.offers:
                if _matches(offer, query):
                    found.append(Candidate(member, offer.max_in_flight))
        found.sort(key=lambda c: c.member.name)
        return found

    def _subset(
        self, query: TargetQuery, fitting: list[Candidate]
    ) -> list[Candidate]:
        if len(fitting) <= const.MAX_CANDIDATES:
            return fitting
        own = self._roster.own
        by_name = {c.member.name: c for c in fitting}
        local = [n for n, c in by_name.items() if c.member.place == own.place]
        remote = [n for n in by_name if n not in set(local)]
        key = f"{own.name}/{query.service}"
        # Keep some remote targets in case the local data centre fails.
        remote_count = min(len(remote), const.MAX_CANDIDATES // 4)
        names = hashing.rendezvous(
            key, local, const.MAX_CANDIDATES - remote_count
        )
        names += hashing.rendezvous(
            key, remote, const.MAX_CANDIDATES - len(names)
        )
        return [by_name[name] for name in names]

    def _exclude_ejected(
        self, pool: list[Candidate], now: float
    ) -> list[Candidate]:
        available = [
            c
            for c in pool
            if self.target_state(c.member.name, now).ejected_until <= now
        ]
        min_count = len(pool) - int(len(pool) * const.MAX_EJECTED_SHARE)
        if len(available) >= min_count:
            return available
        # A common fault must not eject too many targets; those whose
        # ejection ends first are used again.
        ejected = sorted(
            (c for c in pool if c not in available),
            key=lambda c: self.target_state(c.member.name, now).ejected_until,
        )
        return available + ejected[: min_count - len(available)]

    def _exclude_refusing(
        self, pool: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the targets that do not refuse, or all if all do.

        A target that refuses at once has no load and would be chosen next.
        """
        accepting = [
            c
            for c in pool
            if not self.target_state(c.member.name, now).refusals.is_avoided(
                now
            )
        ]
        return accepting or pool

    # Scores.

    def _score(
        self,
        candidate: Candidate,
        median: float,
        typical_others: float,
        now: float,
    ) -> float:
        member = candidate.member
        state = self.target_state(member.name, now)
        slots = max(candidate.slots * state.capacity_share(now), 1.0)
        score = (state.estimated_load(now, typical_others) + 1) / slots
        score += self._distance_cost(member.place)
        if member.status == Status.SUSPECT:
            score += const.SUSPECT_COST
        score += const.SKEW_COST * state.skew
        if state.switching:
            score += const.SWITCHING_COST
        if median > 0 and state.samples >= const.STRAGGLER_SAMPLES:
            excess = max(0.0, state.first_token_s / median - 1)
            score += const.LATENCY_COST * min(excess, const.STRAGGLER_FACTOR)
        return score

    def _distance_cost(self, place: str) -> float:
        own = self._roster.own.place
        if place == own:
            return 0.0
        if self._regions.get(place, "") == self._regions.get(own, ""):
            return const.OTHER_DATA_CENTRE_COST
        return const.OTHER_REGION_COST

    def _median_first_token_s(self, pool: list[Candidate], now: float) -> float:
        values = [
            state.first_token_s
            for state in (self.target_state(c.member.name, now) for c in pool)
            if state.samples >= const.STRAGGLER_SAMPLES
        ]
        return statistics.median(values) if values else 0.0

    # Prefix caches.

    def _affinity_candidate(
        self,
        query: TargetQuery,
        pool: list[Candidate],
        typical_others: float,
        now: float,
    ) -> Candidate | None:
        if not query.prefix:
            return None
        by_name = {c.member.name: c for c in pool}
        names = []
        cached_at = self._target_by_prefix.get(query.prefix)
        if cached_at in by_name:
            names.append(cached_at)
        names += hashing.rendezvous(
            str(query.prefix), by_name, const.AFFINITY_CANDIDATES
        )
        mean = statistics.fmean(
            self._utilization(c, typical_others, now) for c in pool
        )
        for name in names:
            usage = self._utilization(by_name[name], typical_others, now)
            if usage <= const.AFFINITY_LOAD_BOUND * mean + 0.05:
                return by_name[name]
        return None

    def _utilization(
        self, candidate: Candidate, typical_others: float, now: float
    ) -> float:
        state = self.target_state(candidate.member.name, now)
        slots = max(candidate.slots * state.capacity_share(now), 1.0)
        return state.estimated_load(now, typical_others) / slots

    def _record_prefix(self, prefix: int, name: str) -> None:
        self._target_by_prefix[prefix] = name
        self._target_by_prefix.move_to_end(prefix)
        if len(self._target_by_prefix) > const.MAX_KNOWN_PREFIXES:
            self._target_by_prefix.popitem(last=False)

    # Ejection.

    def _eject_straggler(
        self, name: str, state: state_lib.TargetState, now: float
    ) -> None:
        if state.samples < const.STRAGGLER_SAMPLES:
            return
        others = [
            other.first_token_s
            for key, other in self._states.items()
            if key != name and other.samples >= const.STRAGGLER_SAMPLES
        ]
        if len(others) < 2:
            return
        if state.first_token_s > const.STRAGGLER_FACTOR * statistics.median(
            others
        ):
            self._eject(state, now)
            state.samples = 0

    def _eject(self, state: state_lib.TargetState, now: float) -> None:
        seconds = min(
            const.EJECT_SECONDS * 2**state.ejections, const.EJECT_MAX_SECONDS
        )
        state.ejections += 1
        state.failures = 0
        state.ejected_until = now + seconds
        # Slow start after the ejection.
        state.ramp_started_at = state.ejected_until


def _matches(offer: member_messages.Offer, query: TargetQuery) -> bool:
    if offer.service != query.service:
        return False
    if query.adapter and query.adapter not in offer.adapters:
        return False
    return query.role == ROLE_BOTH or offer.role in (ROLE_BOTH, query.role)


def prefix_hash(data: bytes) -> int:
    """Return the hash that identifies equal prompt prefixes."""
    return hashing.checksum(data[: const.PREFIX_BYTES])
