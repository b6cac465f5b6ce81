"""Choose a target from own counts, lagging reports, caches and places."""

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


class Query(NamedTuple):
    """What a request needs of its target."""

    service: str
    adapter: str = ""
    role: str = ROLE_BOTH
    prefix: int = 0


class Candidate(NamedTuple):
    """A target that could serve a query."""

    member: member_messages.Member
    slots: int


class Router:
    """Pick targets for one entry; sans-I/O.

    Three candidates are sampled and the best is taken (Mitzenmacher, 2001):
    several entries that read the same stale report do not all go to the one
    target that it shows as idle.
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
        self._hints: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._cache: dict[Query, list[Candidate]] = {}
        self._cache_version = -1

    def set_regions(self, regions: dict[str, str]) -> None:
        """Set the region of each place."""
        self._regions = regions

    def state(self, name: str, now: float) -> state_lib.TargetState:
        """Return the state of a target, fresh for a new incarnation."""
        member = self._roster.get(name)
        inc = member.inc if member else 0
        state = self._states.get(name)
        if state is None:
            # Targets known from the start are not new to the system.
            state = state_lib.TargetState(inc=inc, since=float("-inf"))
            self._states[name] = state
        elif state.inc != inc:
            kept = state.in_flight
            state = state_lib.TargetState(inc=inc, since=now)
            state.in_flight = kept
            self._states[name] = state
        return state

    def candidates(self, query: Query) -> list[Candidate]:
        """Return this entry's subset of the targets that fit a query."""
        if self._roster.version != self._cache_version:
            self._cache.clear()
            self._cache_version = self._roster.version
        key = query._replace(prefix=0)
        if key not in self._cache:
            self._cache[key] = self._subset(key, self._fitting(key))
        return self._cache[key]

    def slots(self, query: Query) -> int:
        """Return the slots of all targets that fit, not of the subset."""
        return sum(c.slots for c in self._fitting(query))

    def choose(
        self, query: Query, exclude: Iterable[str], now: float
    ) -> member_messages.Member | None:
        """Return the target for a request, or None if none is left."""
        excluded = set(exclude)
        pool = [
            c for c in self.candidates(query) if c.member.name not in excluded
        ]
        pool = self._not_ejected(pool, now)
        pool = self._not_avoided(pool, now)
        if not pool:
            return None
        typical = statistics.fmean(
            self.state(c.member.name, now).others() for c in pool
        )
        home = self._home(query, pool, typical, now)
        sample = self._rng.sample(pool, min(const.CHOICES, len(pool)))
        if home is not None and home not in sample:
            sample.append(home)
        median = self._median_latency(pool, now)
        best = min(
            sample,
            key=lambda c: (
                self._score(c, median, typical, now)
                - (const.AFFINITY_GAIN if c is home else 0.0),
                self._rng.random(),
            ),
        )
        return best.member

    def started(self, name: str, query: Query, now: float) -> None:
        """Count a request sent to a target."""
        state = self.state(name, now)
        state.in_flight += 1
        state.asked.chosen(now)
        if query.prefix:
            self._hint(query.prefix, name)

    def ended(self, name: str, now: float) -> None:
        """Count a request that has left a target."""
        state = self.state(name, now)
        state.in_flight = max(0, state.in_flight - 1)

    def succeeded(self, name: str, first_token: float, now: float) -> None:
        """Take in the time to the first token."""
        state = self.state(name, now)
        state.succeeded(first_token)
        self._eject_straggler(name, state, now)

    def refused(self, name: str, now: float) -> None:
        """Take in that a target refused a request and did not run it."""
        self.state(name, now).asked.refuse(now)

    def failed(self, name: str, now: float) -> None:
        """Take in a broken or unreachable target."""
        state = self.state(name, now)
        state.failures += 1
        if state.failures >= const.EJECT_FAILURES:
            self._eject(state, now)

    def reported(
        self,
        name: str,
        *,
        active: int,
        skew: float,
        switching: bool,
        now: float,
    ) -> None:
        """Take in a target's load report."""
        self.state(name, now).report(
            active=active, skew=skew, switching=switching, now=now
        )

    def cached(self, name: str, prefixes: Iterable[int]) -> None:
        """Take in late and gappy news of a target's prefix cache."""
        for prefix in prefixes:
            self._hint(prefix, name)

    def in_flight(self) -> dict[str, int]:
        """Return this entry's requests by target."""
        return {
            name: state.in_flight
            for name, state in self._states.items()
            if state.in_flight
        }

    def forget_gone(self) -> None:
        """Drop the state of targets that left the roster."""
        for name in list(self._states):
            if self._roster.get(name) is None:
                del self._states[name]

    # Candidates.

    def _fitting(self, query: Query) -> list[Candidate]:
        found = []
        for member in self._roster.members(member_const.KIND_AGENT):
            if member.status not in (Status.ALIVE, Status.SUSPECT):
                continue
            for offer in member.offers:
                if _fits(offer, query):
                    found.append(Candidate(member, offer.max_in_flight))
        found.sort(key=lambda c: c.member.name)
        return found

    def _subset(
        self, query: Query, fitting: list[Candidate]
    ) -> list[Candidate]:
        if len(fitting) <= const.SUBSET:
            return fitting
        own = self._roster.own
        by_name = {c.member.name: c for c in fitting}
        near = [n for n, c in by_name.items() if c.member.place == own.place]
        far = [n for n in by_name if n not in set(near)]
        key = f"{own.name}/{query.service}"
        # Some far targets stay in the subset, for the day the place is lost.
        far_count = min(len(far), const.SUBSET // 4)
        names = hashing.rendezvous(key, near, const.SUBSET - far_count)
        names += hashing.rendezvous(key, far, const.SUBSET - len(names))
        return [by_name[name] for name in names]

    def _not_ejected(
        self, pool: list[Candidate], now: float
    ) -> list[Candidate]:
        kept = [
            c
            for c in pool
            if self.state(c.member.name, now).ejected_until <= now
        ]
        floor = len(pool) - int(len(pool) * const.EJECT_SHARE)
        if len(kept) >= floor:
            return kept
        # A fault of the whole group must not eject everyone: those whose
        # ejection ends first come back.
        out = sorted(
            (c for c in pool if c not in kept),
            key=lambda c: self.state(c.member.name, now).ejected_until,
        )
        return kept + out[: floor - len(kept)]

    def _not_avoided(
        self, pool: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return those that do not refuse, or all if all do.

        Whoever refuses at once has nothing open, and would be chosen next.
        """
        kept = [
            c
            for c in pool
            if not self.state(c.member.name, now).asked.is_avoided(now)
        ]
        return kept or pool

    # Scores.

    def _score(
        self,
        candidate: Candidate,
        median: float,
        typical: float,
        now: float,
    ) -> float:
        member = candidate.member
        state = self.state(member.name, now)
        slots = max(candidate.slots * state.ramp(now), 1.0)
        score = (state.load(now, typical) + 1) / slots
        score += self._distance(member.place)
        if member.status == Status.SUSPECT:
            score += const.SUSPECT_COST
        score += const.SKEW_COST * state.skew
        if state.switching:
            score += const.SWITCHING_COST
        if median > 0 and state.samples >= const.STRAGGLER_SAMPLES:
            excess = max(0.0, state.latency / median - 1)
            score += const.LATENCY_COST * min(excess, const.STRAGGLER_FACTOR)
        return score

    def _distance(self, place: str) -> float:
        own = self._roster.own.place
        if place == own:
            return 0.0
        if self._regions.get(place, "") == self._regions.get(own, ""):
            return const.OTHER_PLACE_COST
        return const.OTHER_REGION_COST

    def _median_latency(self, pool: list[Candidate], now: float) -> float:
        values = [
            state.latency
            for state in (self.state(c.member.name, now) for c in pool)
            if state.samples >= const.STRAGGLER_SAMPLES
        ]
        return statistics.median(values) if values else 0.0

    # Prefix caches.

    def _home(
        self,
        query: Query,
        pool: list[Candidate],
        typical: float,
        now: float,
    ) -> Candidate | None:
        if not query.prefix:
            return None
        by_name = {c.member.name: c for c in pool}
        names = []
        hinted = self._hints.get(query.prefix)
        if hinted in by_name:
            names.append(hinted)
        names += hashing.rendezvous(
            str(query.prefix), by_name, const.AFFINITY_HOMES
        )
        mean = statistics.fmean(self._usage(c, typical, now) for c in pool)
        for name in names:
            usage = self._usage(by_name[name], typical, now)
            if usage <= const.AFFINITY_LOAD_BOUND * mean + 0.05:
                return by_name[name]
        return None

    def _usage(self, candidate: Candidate, typical: float, now: float) -> float:
        state = self.state(candidate.member.name, now)
        slots = max(candidate.slots * state.ramp(now), 1.0)
        return state.load(now, typical) / slots

    def _hint(self, prefix: int, name: str) -> None:
        self._hints[prefix] = name
        self._hints.move_to_end(prefix)
        if len(self._hints) > const.PREFIX_HINTS_MAX:
            self._hints.popitem(last=False)

    # Ejection.

    def _eject_straggler(
        self, name: str, state: state_lib.TargetState, now: float
    ) -> None:
        if state.samples < const.STRAGGLER_SAMPLES:
            return
        others = [
            other.latency
            for key, other in self._states.items()
            if key != name and other.samples >= const.STRAGGLER_SAMPLES
        ]
        if len(others) < 2:
            return
        if state.latency > const.STRAGGLER_FACTOR * statistics.median(others):
            self._eject(state, now)
            state.samples = 0

    def _eject(self, state: state_lib.TargetState, now: float) -> None:
        seconds = min(
            const.EJECT_SECONDS * 2**state.ejections, const.EJECT_MAX_SECONDS
        )
        state.ejections += 1
        state.failures = 0
        state.ejected_until = now + seconds
        # It comes back slowly.
        state.since = state.ejected_until


def _fits(offer: member_messages.Offer, query: Query) -> bool:
    if offer.service != query.service:
        return False
    if query.adapter and query.adapter not in offer.adapters:
        return False
    return query.role == ROLE_BOTH or offer.role in (ROLE_BOTH, query.role)


def prefix_hash(data: bytes) -> int:
    """Return the hash by which equal prompt beginnings are known."""
    return hashing.checksum(data[: const.PREFIX_BYTES])
