"""Backpressure of all targets towards one entry; sans-I/O.

A target that refuses requests has none open, so that the choice by load alone
would prefer it. A target that asks for a back-off gets no request until it
ends, and then a single one; others follow once that one has been accepted. A
draining target gets no further requests, and one with a rate limit no more than
this entry's share of it. State is kept for each incarnation.
"""

import collections
from collections.abc import Callable
import enum
import math

from jasperweir.components.backpressure import const
from jasperweir.components.backpressure import limit_shares
from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.backpressure import state as state_lib
from jasperweir.components.balance import messages
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records


class Change(enum.Enum):
    """Change of a target's backpressure by an answer."""

    BACKS_OFF = "rests"
    LEAVES = "leaves"
    LIMITED = "limited"
    UNLIMITED = "limited no more"
    UNREADABLE = "unreadable"


class Backpressure:
    """Tracks the backpressure of targets and tells which are available.

    Attributes:
        shares: This entry's shares of rate limits.
    """

    def __init__(self, *, name: str = "") -> None:
        """Initialize without any backpressure.

        Args:
            name: Name of this entry.
        """
        self.shares = limit_shares.LimitShares(name=name)
        self._states: collections.OrderedDict[
            str, state_lib.BackpressureState
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._states)

    # Answers and refusals of targets.

    def on_answer(
        self,
        target: records.Target,
        signals: signals_lib.Signals,
        now: float,
        sent_at: float,
    ) -> list[Change]:
        """Record the signals of an answer; return the changes.

        Args:
            target: The target.
            signals: Its signals.
            now: Monotonic seconds.
            sent_at: When the request was sent, monotonic seconds.
        """
        state = self._get(target.target_id, target.born)
        if state is None:
            if signals.is_empty:
                return []
            state = self._add(target.target_id, target.born)
        changes = []
        if signals.unreadable and not state.sent_unreadable:
            state.sent_unreadable = True
            changes.append(Change.UNREADABLE)
        if signals.draining and not state.draining:
            state.draining = True
            changes.append(Change.LEAVES)
        if signals.backoff_s is not None and state.back_off(
            signals.backoff_s, now
        ):
            changes.append(Change.BACKS_OFF)
        if signals.limit_per_s is not None:
            if state.set_limit(signals.limit_per_s, now):
                changes.append(Change.LIMITED)
        elif state.clear_limit(sent_at):
            changes.append(Change.UNLIMITED)
        return changes

    def on_refused(self, target: records.Target, now: float) -> None:
        """Record a refusal without any signal."""
        state = self._get(target.target_id, target.born)
        state = state or self._add(target.target_id, target.born)
        state.refuse(now)

    def on_chosen(self, target: records.Target, now: float) -> None:
        """Record that a target is chosen for a request."""
        state = self._get(target.target_id, target.born)
        if state is not None:
            state.chosen(now)

    def on_taken(self, target: records.Target, now: float) -> bool:
        """Record an accepted request; return whether a back-off is over."""
        state = self._get(target.target_id, target.born)
        if state is None or state.is_blocked(now) or not state.has_refused:
            return False
        backed_off = state.has_backed_off
        state.reset()
        return backed_off

    def clear_refusals(self, targets: list[records.Target]) -> None:
        """Clear the refusals of targets after an outage."""
        for target in targets:
            state = self._states.get(target.target_id)
            if state is not None:
                state.clear_refusals()

    # Other entries.

    def refusing(self, now: float) -> tuple[messages.Refusing, ...]:
        """Return the targets to report to other entries as refusing."""
        return tuple(
            messages.Refusing(target_id, state.born, until - now)
            for target_id, state in self._states.items()
            if (until := state.refuses_until) > now
        )

    def on_peer_refusals(
        self, refusing: tuple[messages.Refusing, ...], now: float
    ) -> None:
        """Record the targets that refuse the requests of another entry.

        They may accept this entry's requests, so they are avoided but not
        excluded.
        """
        for refusal in refusing[: const.PEER_REFUSALS_MAX]:
            if not refusal.for_s > 0:
                continue
            state = self._get(refusal.target_id, refusal.born)
            state = state or self._add(refusal.target_id, refusal.born)
            until = now + min(refusal.for_s, const.PEER_REFUSAL_TTL_SECONDS)
            state.peer_avoided_until = max(state.peer_avoided_until, until)

    # Queries.

    def is_blocked(self, target: records.Target, now: float) -> bool:
        """Return whether a target accepts no requests now."""
        state = self._get(target.target_id, target.born)
        return state is not None and state.is_blocked(now)

    def list_available(
        self, targets: list[records.Target], now: float
    ) -> list[records.Target]:
        """Return the targets that may get a request now.

        Targets that refuse without asking for a back-off are included only if
        there is no other. Like ``list_unblocked`` it returns the same list
        object if it leaves none out, since callers cache what they derive.
        """
        if not self._states:
            return targets
        available = self.list_unblocked(targets, now)
        preferred = [
            t
            for t in available
            if t.target_id not in self._states or not self._is_avoided(t, now)
        ]
        if len(preferred) == len(available):
            return available
        return preferred or available

    def list_unblocked(
        self, targets: list[records.Target], now: float
    ) -> list[records.Target]:
        """Return the targets without back-off, draining or a used-up limit."""
        unblocked = [
            t
            for t in targets
            if t.target_id not in self._states or self._wait_s(t, now) <= 0
        ]
        return targets if len(unblocked) == len(targets) else unblocked

    def available_in_s(
        self, targets: list[records.Target], now: float, ahead: int = 0
    ) -> float:
        """Return the time until the first of the targets is available, seconds.

        Args:
            targets: The targets.
            now: Monotonic seconds.
            ahead: Requests that wait for the same targets. They count only if
                all targets have a rate limit.

        Returns:
            Seconds, infinite if all targets are draining.
        """
        waits = (self._wait_s(target, now) for target in targets)
        wait_s = min(waits, default=math.inf)
        limiters = [self._get_limiter(target) for target in targets]
        per_s = sum(
            limiter.per_s for limiter in limiters if limiter is not None
        )
        if None in limiters or per_s <= 0:
            return wait_s
        return wait_s + ahead / per_s

    def counts(self, now: float) -> dict[str, int]:
        """Return the number of targets by signal."""
        states = self._states.values()
        return {
            "rests": sum(now < state.backoff_until for state in states),
            "leaves": sum(state.draining for state in states),
            "limited": sum(state.limiter is not None for state in states),
        }

    def backoff_left_s(self, target: records.Target, now: float) -> float:
        """Return the remaining back-off of a target, seconds."""
        state = self._get(target.target_id, target.born)
        return max(state.backoff_until - now, 0.0) if state is not None else 0.0

    # Upkeep.

    def prune(
        self, known: Callable[[str], records.Target | None], now: float
    ) -> None:
        """Drop refusals that are long over, and the state of gone targets.

        Args:
            known: Returns the target with an id, None if there is none.
            now: Monotonic seconds.
        """
        gone = [
            target_id
            for target_id, state in self._states.items()
            if state.is_expired(now)
            and not (state.is_permanent and known(target_id) is not None)
        ]
        for target_id in gone:
            del self._states[target_id]

    def _wait_s(self, target: records.Target, now: float) -> float:
        """Return the time until a target is available, seconds."""
        state = self._get(target.target_id, target.born)
        if state is None:
            return 0.0
        if state.draining:
            return math.inf
        limiter = state.limiter
        limiter_s = 0.0
        if limiter is not None:
            per_s = limiter.limit_per_s
            limiter.set_share(
                self.shares.share_per_s(target.target_id, per_s),
                self.shares.burst(per_s),
                now,
            )
            probe_interval_s = self.shares.probe_interval_s(limiter.limit_per_s)
            limiter_s = limiter.wait_s(now, probe_interval_s)
        return max(state.backoff_until - now, limiter_s, 0.0)

    def _get_limiter(
        self, target: records.Target
    ) -> state_lib.RateLimiter | None:
        state = self._get(target.target_id, target.born)
        return state.limiter if state is not None else None

    def _is_avoided(self, target: records.Target, now: float) -> bool:
        state = self._get(target.target_id, target.born)
        return state is not None and state.is_avoided(now)

    def _add(self, target_id: str, born: int) -> state_lib.BackpressureState:
        state = state_lib.BackpressureState(born=born)
        self._states[target_id] = state
        if len(self._states) > const.TARGETS_MAX:
            self._states.popitem(last=False)
        return state

    def _get(
        self, target_id: str, born: int
    ) -> state_lib.BackpressureState | None:
        """Return the state of an incarnation; drop that of an earlier one."""
        state = self._states.get(target_id)
        if state is None:
            return None
        order = incarnation.compare_starts(born, state.born)
        if order is incarnation.StartOrder.LATER:
            del self._states[target_id]
            return None
        return state
