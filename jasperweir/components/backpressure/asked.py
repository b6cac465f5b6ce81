"""What targets have asked of this entry, by incarnation; sans-I/O."""

import collections
import dataclasses
import enum

from jasperweir.components.backpressure import const
from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records


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
        leaves: Whether it wants none any more.
    """

    born: int
    rest_until: float = float("-inf")
    leaves: bool = False


class Backpressure:
    """Rest that targets ask for, and which of them leave."""

    def __init__(self) -> None:
        self._asked: collections.OrderedDict[str, Asked] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._asked)

    def on_answer(
        self, target: records.Target, told: signals_lib.Signals, now: float
    ) -> list[Change]:
        """Take in what a target asks with an answer; return what is new."""
        if told.rest_s is None and not told.leaves:
            return []
        asked = self._of(target)
        if asked is None:
            asked = Asked(born=target.born)
            self._asked[target.target_id] = asked
            if len(self._asked) > const.TARGETS_MAX:
                self._asked.popitem(last=False)
        changes = []
        if told.leaves and not asked.leaves:
            asked.leaves = True
            changes.append(Change.LEAVES)
        if told.rest_s is not None:
            if now >= asked.rest_until:
                changes.append(Change.RESTS)
            # A later answer does not take back what an earlier one has asked.
            asked.rest_until = max(asked.rest_until, now + told.rest_s)
        return changes

    def rest_left_s(self, target: records.Target, now: float) -> float:
        """Return for how long a target still wants no request, seconds."""
        asked = self._of(target)
        return max(asked.rest_until - now, 0.0) if asked is not None else 0.0

    def _of(self, target: records.Target) -> Asked | None:
        """Return what this incarnation has asked; forget an earlier one's."""
        asked = self._asked.get(target.target_id)
        if asked is None:
            return None
        told = incarnation.compare(target.born, asked.born)
        if told is incarnation.Start.LATER:
            del self._asked[target.target_id]
            return None
        return asked
