"""What targets have asked of this entry, by incarnation; sans-I/O.

Whoever turns requests away has none open, and by load alone would be chosen
first. A target that has asked for rest gets nothing until its end, and one
request then: another follows once that one has been taken.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import math

from jasperweir.components.backpressure import const
from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.balance import messages
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records

_NEVER = float("-inf")


class Change(enum.Enum):
    """What an answer has changed."""

    RESTS = "rests"
    LEAVES = "leaves"


@dataclasses.dataclass(kw_only=True, slots=True)
class Asked:
    """What one incarnation of a target has asked.

    Attributes:
        born: Start that asked, Unix milliseconds, 0 if it does not say.
        rest_until: Until when it wants no request, monotonic seconds.
        trial_at: When the first request after its rest was chosen for it,
            monotonic seconds; before all times if none was.
        leaves: Whether it wants none any more.
        refusals: How many requests in a row it has refused without saying for
            how long; those that were on their way together count as one.
        avoided_until: Until when it gets requests only if no other target
            wants them, monotonic seconds.
        told_until: The same, as other entries have told.
    """

    born: int
    rest_until: float = _NEVER
    trial_at: float = _NEVER
    leaves: bool = False
    refusals: int = 0
    avoided_until: float = _NEVER
    told_until: float = _NEVER

    def bars(self, now: float) -> bool:
        """Tell whether no request may reach it."""
        return self.leaves or now < self.rest_until

    def is_over(self, now: float) -> bool:
        """Tell whether it is long ago that it turned requests away."""
        last = max(self.rest_until, self.avoided_until, self.told_until)
        return now > last + const.KEPT_SECONDS

    def is_avoided(self, now: float) -> bool:
        """Tell whether requests go elsewhere if they can."""
        until = max(self.avoided_until, self.told_until)
        return now < until or self.is_tried(now)

    def is_tried(self, now: float) -> bool:
        """Tell whether a first request after a refusal is on its way."""
        return now - self.trial_at < const.TRIAL_SECONDS


class Backpressure:
    """Rest that targets ask for, and which of them leave."""

    def __init__(self) -> None:
        self._asked: collections.OrderedDict[str, Asked] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._asked)

    # What targets say and do.

    def on_answer(
        self, target: records.Target, told: signals_lib.Signals, now: float
    ) -> list[Change]:
        """Take in what a target asks with an answer; return what is new."""
        if told.rest_s is None and not told.leaves:
            return []
        asked = self._of(target.target_id, target.born) or self._add(
            target.target_id, target.born
        )
        changes = []
        if told.leaves and not asked.leaves:
            asked.leaves = True
            changes.append(Change.LEAVES)
        if told.rest_s is not None:
            if now >= asked.rest_until:
                changes.append(Change.RESTS)
            # A later answer does not take back what an earlier one has asked.
            asked.rest_until = max(asked.rest_until, now + told.rest_s)
            asked.trial_at = _NEVER
        return changes

    def on_refused(self, target: records.Target, now: float) -> None:
        """Note that a target refuses a request and asks for nothing."""
        asked = self._of(target.target_id, target.born) or self._add(
            target.target_id, target.born
        )
        asked.trial_at = _NEVER
        if asked.bars(now) or now < asked.avoided_until:
            return
        pause_s = const.AVOID_SECONDS * 2**asked.refusals
        asked.refusals += 1
        asked.avoided_until = now + min(pause_s, const.AVOID_MOST_SECONDS)

    def forgive(self, targets: list[records.Target]) -> None:
        """Drop what is held against targets that all refused for a while."""
        for target in targets:
            asked = self._asked.get(target.target_id)
            if asked is None:
                continue
            asked.refusals = 0
            asked.avoided_until = _NEVER
            asked.told_until = _NEVER

    def on_chosen(self, target: records.Target, now: float) -> None:
        """Note that a target is chosen for a request."""
        asked = self._of(target.target_id, target.born)
        if asked is not None:
            asked.trial_at = now

    def on_taken(self, target: records.Target, now: float) -> bool:
        """Note that a target takes a request; return whether a rest is over."""
        asked = self._of(target.target_id, target.born)
        if asked is None or asked.bars(now):
            return False
        del self._asked[target.target_id]
        return True

    # Other entries.

    def refusing(self, now: float) -> tuple[messages.Refusing, ...]:
        """Return what to tell the other entries."""
        return tuple(
            messages.Refusing(target_id, asked.born, until - now)
            for target_id, asked in self._asked.items()
            if (until := max(asked.rest_until, asked.avoided_until)) > now
        )

    def on_told(
        self, refusing: tuple[messages.Refusing, ...], now: float
    ) -> None:
        """Take in which targets refuse the requests of another entry.

        They may well take this one's, so that nothing is barred by it.
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
        """Tell whether no request may reach a target now."""
        asked = self._of(target.target_id, target.born)
        return asked is not None and asked.bars(now)

    def open_to(
        self, targets: list[records.Target], now: float
    ) -> list[records.Target]:
        """Return those of some targets that may get a request now.

        Those that refuse without a word on how long are among them only if
        there is no other.
        """
        if not self._asked:
            return targets
        known = [
            (target, self._of(target.target_id, target.born))
            for target in targets
        ]
        found = [item for item in known if not item[1] or not item[1].bars(now)]
        fit = [
            t for t, asked in found if not asked or not asked.is_avoided(now)
        ]
        return fit or [target for target, _ in found]

    def opens_in_s(self, targets: list[records.Target], now: float) -> float:
        """Return the seconds until the first of some targets wants requests.

        Returns:
            Infinity if none of them will.
        """
        found = [self._of(target.target_id, target.born) for target in targets]
        return min(
            (
                max(asked.rest_until - now, 0.0) if asked else 0.0
                for asked in found
                if asked is None or not asked.leaves
            ),
            default=math.inf,
        )

    def resting(self, now: float) -> int:
        """Return how many targets want no requests now."""
        return sum(asked.bars(now) for asked in self._asked.values())

    def rest_left_s(self, target: records.Target, now: float) -> float:
        """Return for how long a target still wants no request, seconds."""
        asked = self._of(target.target_id, target.born)
        return max(asked.rest_until - now, 0.0) if asked is not None else 0.0

    # Keeping.

    def tidy(
        self, known: Callable[[str], records.Target | None], now: float
    ) -> None:
        """Forget targets that nobody knows any more, and rests long over."""
        gone = [
            target_id
            for target_id, asked in self._asked.items()
            if asked.is_over(now)
            and not (asked.leaves and known(target_id) is not None)
        ]
        for target_id in gone:
            del self._asked[target_id]

    def _add(self, target_id: str, born: int) -> Asked:
        asked = Asked(born=born)
        self._asked[target_id] = asked
        if len(self._asked) > const.TARGETS_MAX:
            self._asked.popitem(last=False)
        return asked

    def _of(self, target_id: str, born: int) -> Asked | None:
        """Return what this incarnation has asked; forget an earlier one's."""
        asked = self._asked.get(target_id)
        if asked is None:
            return None
        told = incarnation.compare(born, asked.born)
        if told is incarnation.Start.LATER:
            del self._asked[target_id]
            return None
        return asked
