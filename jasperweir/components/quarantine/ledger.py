"""Marks on requests under which targets crashed; sans-I/O.

The ledger is a set of marks, one for each request or part of prompts and each
incarnation of a target that crashed while it ran the request or one with that
part. A mark is only ever added or made void, so that replicas converge whatever
the order and number of exchanges.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math
from typing import Any
from typing import NamedTuple

from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib
from jasperweir.components.quarantine import messages
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Fingerprint = fingerprint_lib.Fingerprint
MarkKind = messages.MarkKind
_UNKNOWN = -1.0
_KINDS = frozenset(MarkKind)


class Incarnation(NamedTuple):
    """One incarnation of a target.

    Attributes:
        target_id: Id of the target; of a trial its own id.
        born: Start time, Unix milliseconds.
    """

    target_id: str
    born: int


# Stands for all targets in marks on parts that were answered.
ANY_TARGET = Incarnation("", 0)


@dataclasses.dataclass(kw_only=True, slots=True)
class Observation:
    """What a mark says: a crash of a target, unless its kind is another.

    Attributes:
        at: Time of the crash, monotonic seconds.
        void: Whether it doesn't count any more.
        ran_s: Time from the start of the request to the crash, seconds;
            negative if unknown.
        kind: What was observed.
        build: Service and version of the target, empty if unknown.
    """

    at: float
    void: bool
    ran_s: float = _UNKNOWN
    kind: messages.MarkKind = MarkKind.CRASH
    build: str = ""

    @property
    def is_crash(self) -> bool:
        """Whether it is a crash that counts."""
        return not self.void and self.kind is MarkKind.CRASH


Observations = Mapping[Incarnation, Observation]


class Run(NamedTuple):
    """A run of a request during which its target crashed.

    Attributes:
        ended_s: Time since its end, seconds.
        took_s: Its duration, seconds.
        build: Service and version of the target, empty if unknown.
    """

    ended_s: float
    took_s: float
    build: str = ""


class Verdict(NamedTuple):
    """Quarantine status of a request.

    Attributes:
        ends: Crashes that count; those with a common cause count as one.
        held_s: Remaining time of its quarantine, seconds; 0 if it isn't
            quarantined.
    """

    ends: int
    held_s: float


class Ledger:
    """The marks that one process keeps.

    Attributes:
        digest: Digest of all marks, 0 if there are none.
        revision: Number of changes.
        part_count: Number of parts of prompts.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.revision = 0
        self.part_count = 0
        self._crashes: dict[Fingerprint, dict[Incarnation, Observation]] = {}
        # Number of requests by outline, and of valid marks by incarnation.
        self._outlines: collections.Counter[int] = collections.Counter()
        self._mark_counts: collections.Counter[Incarnation] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._crashes)

    # Queries.

    def has_outline(self, outline: int) -> bool:
        """Return whether a request with that outline is in the ledger."""
        return outline in self._outlines

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._crashes

    def observations(self, fingerprint: Fingerprint) -> Observations:
        """Return what was observed of a request or a part."""
        return self._crashes.get(fingerprint, {})

    def parts(self) -> list[Fingerprint]:
        """Return the parts of prompts in the ledger."""
        return [found for found in self._crashes if found.is_part]

    def requests(self) -> list[Fingerprint]:
        """Return the requests in the ledger."""
        return [found for found in self._crashes if not found.is_part]

    def find(self, subject: fingerprint_lib.Subject) -> Fingerprint | None:
        """Return a request's fingerprint, None if it isn't in the ledger.

        The body is hashed only if the outline matches, so that other requests
        cost the hash of a few hundred bytes at most.
        """
        if not self._crashes or not self.has_outline(
            fingerprint_lib.outline(subject)
        ):
            return None
        return fingerprint_lib.compute(subject)

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return the quarantine status of a request."""
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return Verdict(0, 0.0)
        distinct = distinct_crashes(crashes)
        if len(distinct) < const.CRASHES_MAX:
            return Verdict(len(distinct), 0.0)
        last = max(crash.at for crash in crashes.values() if crash.is_crash)
        until = last + quarantine_s(len(distinct))
        return Verdict(len(distinct), max(until - now, 0.0))

    def list_quarantined(self, now: float) -> dict[Fingerprint, Verdict]:
        """Return the quarantined requests."""
        found = {f: self.verdict(f, now) for f in self.requests()}
        return {f: verdict for f, verdict in found.items() if verdict.held_s}

    def marks(self, now: float) -> tuple[messages.Mark, ...]:
        """Return all marks."""
        return tuple(
            _to_mark(fingerprint, incarnation, crash, now)
            for fingerprint, crashes in self._crashes.items()
            for incarnation, crash in crashes.items()
        )

    def missing_marks(
        self, received: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Return the marks that are missing in all marks of a process."""
        known = {_mark_key(mark): mark.void for mark in received}
        return tuple(
            mark
            for mark in self.marks(now)
            if _mark_key(mark) not in known
            or (mark.void and not known[_mark_key(mark)])
        )

    # Changes; each returns the marks to send to other processes.

    def add(
        self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        now: float,
        run: Run | None = None,
    ) -> tuple[messages.Mark, ...]:
        """Record that a target crashed while it ran a request.

        Args:
            fingerprint: The request.
            incarnation: The target.
            now: Monotonic seconds.
            run: The run of the request; None if its times are unknown.
        """
        crash = Observation(at=now, void=False)
        if run is not None:
            crash = Observation(
                at=now - run.ended_s,
                void=False,
                ran_s=run.took_s,
                build=run.build,
            )
        return self._insert(fingerprint, incarnation, crash, now)

    def add_answered(
        self, part: Fingerprint, at: float, now: float
    ) -> tuple[messages.Mark, ...]:
        """Record that a request with a part was answered.

        Args:
            part: The part.
            at: When the answer began, monotonic seconds.
            now: Monotonic seconds.
        """
        answered = Observation(at=at, void=True, kind=MarkKind.ANSWERED)
        return self._insert(part, ANY_TARGET, answered, now)

    def add_trial(
        self, fingerprint: Fingerprint, trial_id: str, now: float
    ) -> tuple[messages.Mark, ...]:
        """Record that a request is sent to learn whether it crashes targets."""
        trial = Observation(at=now, void=False, kind=MarkKind.TRIAL)
        return self._insert(fingerprint, Incarnation(trial_id, 0), trial, now)

    def end_trial(
        self, fingerprint: Fingerprint, trial_id: str, now: float
    ) -> tuple[messages.Mark, ...]:
        """Record that a trial is over, whatever its result."""
        incarnation = Incarnation(trial_id, 0)
        trial = self.observations(fingerprint).get(incarnation)
        if trial is None or trial.void:
            return ()
        ended = dataclasses.replace(trial, void=True)
        return self._insert(fingerprint, incarnation, ended, now)

    def clear_marks(
        self, fingerprint: Fingerprint, now: float, before: float = math.inf
    ) -> tuple[messages.Mark, ...]:
        """Make the marks of a request void after a complete answer.

        Args:
            fingerprint: The request, or a part of prompts.
            now: Monotonic seconds.
            before: Later marks are left, monotonic seconds.
        """
        out: tuple[messages.Mark, ...] = ()
        for incarnation, crash in list(
            self._crashes.get(fingerprint, {}).items()
        ):
            if not crash.void and crash.at < before:
                new = dataclasses.replace(crash, void=True)
                out += self._insert(fingerprint, incarnation, new, now)
        return out

    def record_alive(
        self, incarnation: Incarnation, since: float, now: float
    ) -> tuple[messages.Mark, ...]:
        """Make the marks of a target void that has answered a request.

        Args:
            incarnation: The target.
            since: When that request was sent, monotonic seconds. An answer
                begun before the presumed crash doesn't disprove it.
            now: Monotonic seconds.
        """
        out: tuple[messages.Mark, ...] = ()
        if incarnation not in self._mark_counts:
            return out
        for fingerprint, crashes in list(self._crashes.items()):
            crash = crashes.get(incarnation)
            if crash is not None and not crash.void and crash.at < since:
                new = dataclasses.replace(crash, void=True)
                out += self._insert(fingerprint, incarnation, new, now)
        return out

    def lift(
        self, fingerprints: list[Fingerprint], now: float
    ) -> tuple[messages.Mark, ...]:
        """Lift the quarantine of requests for an operator."""
        out: tuple[messages.Mark, ...] = ()
        for fingerprint in fingerprints:
            out += self.clear_marks(fingerprint, now)
        return out

    def merge(
        self, received: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Merge the marks of another process; return those that were new."""
        out: tuple[messages.Mark, ...] = ()
        for mark in received:
            if mark.kind not in _KINDS:
                continue
            fingerprint = fingerprint_of(mark)
            incarnation = Incarnation(mark.target_id, mark.born)
            # This order maps NaN to 0; otherwise the mark would never expire.
            at = now - max(0.0, mark.age_s)
            ran_s = mark.ran_s if mark.ran_s >= 0 else _UNKNOWN
            observed = Observation(
                at=at,
                void=mark.void,
                ran_s=ran_s,
                kind=MarkKind(mark.kind),
                build=mark.build,
            )
            out += self._insert(fingerprint, incarnation, observed, now)
        self.tick(now)
        return tuple(
            mark for mark in out if fingerprint_of(mark) in self._crashes
        )

    def tick(self, now: float) -> None:
        """Drop expired trials and requests."""
        for fingerprint, crashes in list(self._crashes.items()):
            for incarnation, trial in list(crashes.items()):
                if trial.kind is MarkKind.TRIAL and is_trial_over(trial, now):
                    self._unindex(fingerprint, incarnation, trial)
                    del crashes[incarnation]
            last = max(
                (crash.at for crash in crashes.values()), default=-math.inf
            )
            if now - last > _ttl_s(_count_valid(crashes)):
                self._drop(fingerprint)

    # Upkeep.

    def _insert(
        self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        crash: Observation,
        now: float,
    ) -> tuple[messages.Mark, ...]:
        crashes = self._crashes.get(fingerprint)
        known = crashes.get(incarnation) if crashes else None
        if known is not None:
            if known.kind is MarkKind.ANSWERED:
                known.at = max(known.at, crash.at)
            else:
                # The earlier time is right: a message adds its transit time.
                known.at = min(known.at, crash.at)
            if known.void or not crash.void:
                return ()
            self._unindex(fingerprint, incarnation, known)
            known.void = True
            self._index(fingerprint, incarnation, known)
            return (_to_mark(fingerprint, incarnation, known, now),)
        if crashes is None:
            crashes = self._add_request(fingerprint)
        if len(crashes) >= const.MARKS_MAX and not self._make_room(
            fingerprint, crashes, crash
        ):
            return ()
        crashes[incarnation] = crash
        self._index(fingerprint, incarnation, crash)
        if len(self._crashes) > const.RECORDS_MAX:
            self._evict()
        if fingerprint not in self._crashes:
            return ()
        return (_to_mark(fingerprint, incarnation, crash, now),)

    def _add_request(
        self, fingerprint: Fingerprint
    ) -> dict[Incarnation, Observation]:
        crashes: dict[Incarnation, Observation] = {}
        self._crashes[fingerprint] = crashes
        self._outlines[fingerprint.outline] += 1
        self.part_count += fingerprint.is_part
        return crashes

    def _make_room(
        self,
        fingerprint: Fingerprint,
        crashes: dict[Incarnation, Observation],
        new: Observation,
    ) -> bool:
        """Drop the oldest mark that doesn't count in favour of a new one.

        Otherwise marks that are void, or of targets that crashed together,
        could fill the limit and prevent a quarantine.
        """
        counted_ids = {id(crash) for crash in distinct_crashes(crashes)}
        uncounted = [
            inc
            for inc, crash in crashes.items()
            if id(crash) not in counted_ids
            and crash.kind is not MarkKind.ANSWERED
        ]
        if new.void or not uncounted:
            return False
        oldest = min(uncounted, key=lambda incarnation: crashes[incarnation].at)
        self._unindex(fingerprint, oldest, crashes.pop(oldest))
        return True

    def _evict(self) -> None:
        """Drop the request with the fewest crashes, the oldest first."""
        self._drop(min(self._crashes, key=self._eviction_rank))

    def _eviction_rank(self, fingerprint: Fingerprint) -> tuple[int, float]:
        crashes = self._crashes[fingerprint]
        return _count_valid(crashes), max(
            crash.at for crash in crashes.values()
        )

    def _drop(self, fingerprint: Fingerprint) -> None:
        for incarnation, crash in self._crashes.pop(fingerprint).items():
            self._unindex(fingerprint, incarnation, crash)
        _count_down(self._outlines, fingerprint.outline)
        self.part_count -= fingerprint.is_part

    def _index(
        self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        crash: Observation,
    ) -> None:
        self.revision += 1
        self.digest ^= _checksum(fingerprint, incarnation, crash)
        if not crash.void:
            self._mark_counts[incarnation] += 1

    def _unindex(
        self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        crash: Observation,
    ) -> None:
        self.revision += 1
        self.digest ^= _checksum(fingerprint, incarnation, crash)
        if not crash.void:
            _count_down(self._mark_counts, incarnation)


def _checksum(
    fingerprint: Fingerprint, incarnation: Incarnation, crash: Observation
) -> int:
    row = (*fingerprint, *incarnation, crash.void)
    return hashing.checksum(codec.pack(row)) >> 1


def _count_down(counter: collections.Counter[Any], key: Any) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]


def distinct_crashes(crashes: Observations) -> list[Observation]:
    """Return the crashes that count, only the first of each common cause.

    Targets that lose power together crash under harmless requests. A run that
    began after another one had crashed has another cause, unless it was retried
    on a target that was about to crash together with the first.
    """
    found: list[Observation] = []
    times = [crash.at for crash in crashes.values() if _has_run_time(crash)]
    for crash in sorted(crashes.values(), key=lambda crash: crash.at):
        if not crash.is_crash:
            continue
        if not found or not _has_run_time(crash):
            found.append(crash)
            continue
        last_at = found[-1].at
        is_close = crash.at - last_at <= const.COMMON_CAUSE_SECONDS
        close_count = sum(
            0 <= at - last_at <= const.COMMON_CAUSE_SECONDS for at in times
        )
        if is_close and close_count >= const.COMMON_CAUSE_MIN:
            continue
        if crash.at - crash.ran_s + const.AGE_TOLERANCE_SECONDS >= last_at:
            found.append(crash)
    return found


def _has_run_time(crash: Observation) -> bool:
    return crash.is_crash and crash.ran_s >= 0


def _count_valid(crashes: Observations) -> int:
    return sum(crash.is_crash for crash in crashes.values())


def is_trial_over(trial: Observation, now: float) -> bool:
    """Return whether a trial is not awaited any more."""
    return now - trial.at > const.TRIAL_SECONDS


def quarantine_s(crashes: int) -> float:
    """Return the duration of a quarantine after the last crash, seconds."""
    doubled = const.QUARANTINE_SECONDS * 2.0 ** (crashes - const.CRASHES_MAX)
    return min(doubled, const.QUARANTINE_MAX_SECONDS)


def _ttl_s(crashes: int) -> float:
    """Return how long a request is kept after its last crash, seconds.

    Twice its quarantine, so that the next one is longer if it crashes a target
    again.
    """
    if crashes < const.CRASHES_MAX:
        return const.SINGLE_CRASH_TTL_SECONDS
    return 2 * quarantine_s(crashes)


def fingerprint_of(mark: messages.Mark) -> Fingerprint:
    """Return what a mark is about."""
    return Fingerprint(mark.outline, mark.content, mark.is_part)


def _mark_key(mark: messages.Mark) -> tuple[Fingerprint, str, int]:
    return fingerprint_of(mark), mark.target_id, mark.born


def _to_mark(
    fingerprint: Fingerprint,
    incarnation: Incarnation,
    crash: Observation,
    now: float,
) -> messages.Mark:
    return messages.Mark(
        outline=fingerprint.outline,
        content=fingerprint.content,
        target_id=incarnation.target_id,
        born=incarnation.born,
        void=crash.void,
        age_s=round(now - crash.at, 3),
        ran_s=round(crash.ran_s, 3),
        is_part=fingerprint.is_part,
        kind=int(crash.kind),
        build=crash.build,
    )
