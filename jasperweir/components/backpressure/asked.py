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
from jasperweir.components.backpressure import shares as shares_lib
from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.backpressure import state as state_lib
from jasperweir.components.balance import messages
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records


class Change(enum.Enum):
    """Change of a target's backpressure by an answer."""

    RESTS = "rests"
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
        self.shares = shares_lib.Shares(name=name)
        self._asked: collections.OrderedDict[str, state_lib.Asked] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._asked)

    # Answers and refusals of targets.

    def on_answer(
        self,
        target: records.Target,
        told: signals_lib.Signals,
        now: float,
        sent_at: float,
    ) -> list[Change]:
        """Record the signals of an answer; return the changes.

        Args:
            target: The target.
            told: Its signals.
            now: Monotonic seconds.
            sent_at: When the request was sent, monotonic seconds.
        """
        asked = self._of(target.target_id, target.born)
        if asked is None:
            if told.asks_nothing:
                return []
            asked = self._add(target.target_id, target.born)
        changes = []
        if told.unreadable and not asked.puzzles:
            asked.puzzles = True
            changes.append(Change.UNREADABLE)
        if told.leaves and not asked.leaves:
            asked.leaves = True
            changes.append(Change.LEAVES)
        if told.rest_s is not None and asked.rest(told.rest_s, now):
            changes.append(Change.RESTS)
        if told.limit_per_s is not None:
            if asked.limit(told.limit_per_s, now):
                changes.append(Change.LIMITED)
        elif asked.unlimit(sent_at):
            changes.append(Change.UNLIMITED)
        return changes

    def on_refused(self, target: records.Target, now: float) -> None:
        """Record a refusal without any signal."""
        asked = self._of(target.target_id, target.born)
        asked = asked or self._add(target.target_id, target.born)
        asked.refuse(now)

    def on_chosen(self, target: records.Target, now: float) -> None:
        """Record that a target is chosen for a request."""
        asked = self._of(target.target_id, target.born)
        if asked is not None:
            asked.chosen(now)

    def on_taken(self, target: records.Target, now: float) -> bool:
        """Record an accepted request; return whether a back-off is over."""
        asked = self._of(target.target_id, target.born)
        if asked is None or asked.bars(now) or not asked.has_refused:
            return False
        rested = asked.has_rested
        asked.forgive()
        return rested

    def forgive(self, targets: list[records.Target]) -> None:
        """Clear the refusals of targets after an outage."""
        for target in targets:
            asked = self._asked.get(target.target_id)
            if asked is not None:
                asked.forgive_refusals()

    # Other entries.

    def refusing(self, now: float) -> tuple[messages.Refusing, ...]:
        """Return the targets to report to other entries as refusing."""
        return tuple(
            messages.Refusing(target_id, asked.born, until - now)
            for target_id, asked in self._asked.items()
            if (until := asked.refuses_until) > now
        )

    def on_told(
        self, refusing: tuple[messages.Refusing, ...], now: float
    ) -> None:
        """Record the targets that refuse the requests of another entry.

        They may accept this entry's requests, so they are avoided but not
        excluded.
        """
        for told in refusing[: const.TOLD_MAX]:
            if not told.for_s > 0:
                continue
            asked = self._of(told.target_id, told.born)
            asked = asked or self._add(told.target_id, told.born)
            until = now + min(told.for_s, const.TOLD_SECONDS)
            asked.told_until = max(asked.told_until, until)

    # Queries.

    def bars(self, target: records.Target, now: float) -> bool:
        """Return whether a target accepts no requests now."""
        asked = self._of(target.target_id, target.born)
        return asked is not None and asked.bars(now)

    def open_to(
        self, targets: list[records.Target], now: float
    ) -> list[records.Target]:
        """Return the targets that may get a request now.

        Targets that refuse without asking for a back-off are included only if
        there is no other.
        """
        if not self._asked:
            return targets
        found = self.unbarred(targets, now)
        fit = [t for t in found if not self._is_avoided(t, now)]
        return fit or found

    def unbarred(
        self, targets: list[records.Target], now: float
    ) -> list[records.Target]:
        """Return the targets without back-off, draining or a used-up limit."""
        return [t for t in targets if self._opens_in_s(t, now) <= 0]

    def opens_in_s(
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
        found = (self._opens_in_s(target, now) for target in targets)
        first_s = min(found, default=math.inf)
        flows = [self._flow_of(target) for target in targets]
        per_s = sum(flow.per_s for flow in flows if flow is not None)
        if None in flows or per_s <= 0:
            return first_s
        return first_s + ahead / per_s

    def counts(self, now: float) -> dict[str, int]:
        """Return the number of targets by signal."""
        asked = self._asked.values()
        return {
            "rests": sum(now < one.rest_until for one in asked),
            "leaves": sum(one.leaves for one in asked),
            "limited": sum(one.flow is not None for one in asked),
        }

    def rest_left_s(self, target: records.Target, now: float) -> float:
        """Return the remaining back-off of a target, seconds."""
        asked = self._of(target.target_id, target.born)
        return max(asked.rest_until - now, 0.0) if asked is not None else 0.0

    # Upkeep.

    def tidy(
        self, known: Callable[[str], records.Target | None], now: float
    ) -> None:
        """Drop refusals that are long over, and the state of gone targets.

        Args:
            known: Returns the target with an id, None if there is none.
            now: Monotonic seconds.
        """
        gone = [
            target_id
            for target_id, asked in self._asked.items()
            if asked.is_over(now)
            and not (asked.holds_on and known(target_id) is not None)
        ]
        for target_id in gone:
            del self._asked[target_id]

    def _opens_in_s(self, target: records.Target, now: float) -> float:
        """Return the time until a target is available, seconds."""
        asked = self._of(target.target_id, target.born)
        if asked is None:
            return 0.0
        if asked.leaves:
            return math.inf
        flow = asked.flow
        flow_s = 0.0
        if flow is not None:
            flow.per_s = self.shares.part(target.target_id, flow.limit_per_s)
            look_s = self.shares.look_s(flow.limit_per_s)
            flow_s = flow.opens_in_s(now, look_s)
        return max(asked.rest_until - now, flow_s, 0.0)

    def _flow_of(self, target: records.Target) -> state_lib.Flow | None:
        asked = self._of(target.target_id, target.born)
        return asked.flow if asked is not None else None

    def _is_avoided(self, target: records.Target, now: float) -> bool:
        asked = self._of(target.target_id, target.born)
        return asked is not None and asked.is_avoided(now)

    def _add(self, target_id: str, born: int) -> state_lib.Asked:
        asked = state_lib.Asked(born=born)
        self._asked[target_id] = asked
        if len(self._asked) > const.TARGETS_MAX:
            self._asked.popitem(last=False)
        return asked

    def _of(self, target_id: str, born: int) -> state_lib.Asked | None:
        """Return the state of an incarnation; drop that of an earlier one."""
        asked = self._asked.get(target_id)
        if asked is None:
            return None
        told = incarnation.compare(born, asked.born)
        if told is incarnation.Start.LATER:
            del self._asked[target_id]
            return None
        return asked
