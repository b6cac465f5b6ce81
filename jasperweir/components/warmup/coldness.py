"""Which targets are cold, from heartbeats, answers and evacuations; sans-I/O.

Load: requests that arrive while targets have just started or return from an
evacuation. A cold target crashes at a rate that a warm one serves.
"""

import collections
import enum
import math
from typing import NamedTuple

from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records
from jasperweir.components.warmup import const


class Reason(enum.Enum):
    """Why a target counts as cold."""

    HEARTBEAT = "heartbeat"
    START = "start"
    ANSWER = "answer"
    EVACUATION = "evacuation"


class Cold(NamedTuple):
    """A cold target.

    Attributes:
        until: End of its cold time, monotonic seconds; infinite until a later
            heartbeat.
        reason: What says so.
        stated_at: Time of the heartbeat or the answer, monotonic seconds.
    """

    until: float
    reason: Reason
    stated_at: float


class _Answer(NamedTuple):
    born: int
    at: float
    cold_s: float


class Coldness:
    """Derives the cold time of targets."""

    def __init__(self, *, directory: directory_lib.Directory) -> None:
        """Initialize without answers and evacuations.

        Args:
            directory: Announced targets.
        """
        self._directory = directory
        self._answers: collections.OrderedDict[str, _Answer] = (
            collections.OrderedDict()
        )
        # End of the last evacuation by data centre, monotonic seconds.
        self._evacuation_ends: dict[str, float] = {}

    def on_answer(
        self, target: records.Target, cold_s: float, now: float
    ) -> None:
        """Record that an answer states a cold time.

        An answer without one says nothing, since warm targets and older ones
        send none.

        Args:
            target: The target.
            cold_s: Stated time, seconds.
            now: Monotonic seconds.
        """
        if not 0 < cold_s <= const.COLD_MAX_SECONDS:
            return
        answer = _Answer(born=target.born, at=now, cold_s=cold_s)
        self._answers[target.target_id] = answer
        self._answers.move_to_end(target.target_id)
        if len(self._answers) > const.TARGETS_MAX:
            self._answers.popitem(last=False)

    def on_evacuation_ended(self, place: str, now: float) -> None:
        """Record that a data centre's targets get requests again."""
        self._evacuation_ends.pop(place, None)
        self._evacuation_ends[place] = now
        if len(self._evacuation_ends) > const.PLACES_MAX:
            del self._evacuation_ends[next(iter(self._evacuation_ends))]

    def find(
        self, target: records.Target, cold_start_s: float, now: float
    ) -> Cold | None:
        """Return the cold time of a target, None if it is warm.

        The longest of the statements that no later heartbeat contradicts
        applies.

        Args:
            target: The target.
            cold_start_s: Time for which a target is cold after a start whose
                heartbeats state nothing, seconds.
            now: Monotonic seconds.
        """
        tracked = self._directory.get_tracked(target.target_id)
        if tracked is None:
            return None
        stated = tracked.target
        if (
            stated.target_id not in self._answers
            and stated.place not in self._evacuation_ends
            and 0 <= stated.cold_s <= const.COLD_MAX_SECONDS
            and tracked.stated_at + stated.cold_s <= now
        ):
            # True of nearly all targets, and all are looked at together.
            return None
        found = [
            self._by_heartbeat(tracked, cold_start_s),
            self._by_answer(tracked, cold_start_s),
            self._by_evacuation(tracked, cold_start_s),
        ]
        colds = [cold for cold in found if cold is not None]
        cold = max(colds, key=lambda cold: cold.until, default=None)
        return cold if cold is not None and now < cold.until else None

    def prune(self) -> None:
        """Drop the answers of targets that are gone."""
        for target_id in list(self._answers):
            if self._directory.get(target_id) is None:
                del self._answers[target_id]

    def _by_heartbeat(
        self, tracked: directory_lib.TrackedTarget, cold_start_s: float
    ) -> Cold | None:
        cold_s = tracked.target.cold_s
        if 0 <= cold_s <= const.COLD_MAX_SECONDS:
            at = tracked.stated_at
            return Cold(at + cold_s, Reason.HEARTBEAT, at)
        at = tracked.first_received_at
        return Cold(at + cold_start_s, Reason.START, at)

    def _by_answer(
        self, tracked: directory_lib.TrackedTarget, cold_start_s: float
    ) -> Cold | None:
        answer = self._answers.get(tracked.target.target_id)
        if answer is None or answer.at < tracked.stated_at:
            return None
        order = incarnation.compare_starts(tracked.target.born, answer.born)
        if order is not incarnation.StartOrder.SAME:
            return None
        # A target is cold for at most the configured time after its start.
        cold_s = min(answer.cold_s, cold_start_s or answer.cold_s)
        return Cold(answer.at + cold_s, Reason.ANSWER, answer.at)

    def _by_evacuation(
        self, tracked: directory_lib.TrackedTarget, cold_start_s: float
    ) -> Cold | None:
        ended_at = self._evacuation_ends.get(tracked.target.place)
        if ended_at is None:
            return None
        if tracked.stated_at <= ended_at + const.AGE_TOLERANCE_SECONDS:
            return Cold(math.inf, Reason.EVACUATION, ended_at)
        if tracked.target.cold_s >= 0:
            return None
        # Its heartbeats never say that it is warm.
        return Cold(ended_at + cold_start_s, Reason.EVACUATION, ended_at)
