"""Requests under which targets crashed, and their quarantine; sans-I/O.

The ledger is a set of marks, one for each request and each incarnation of a
target that crashed while it ran the request. A mark is only ever added or made
void, so that replicas converge whatever the order and number of exchanges.
"""

import collections
import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib
from jasperweir.components.quarantine import messages
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Fingerprint = fingerprint_lib.Fingerprint
_UNKNOWN = -1.0


class Incarnation(NamedTuple):
    """One incarnation of a target.

    Attributes:
        target_id: Id of the target.
        born: Start time, Unix milliseconds.
    """

    target_id: str
    born: int


@dataclasses.dataclass(kw_only=True, slots=True)
class End:
    """A crash of a target under a request.

    Attributes:
        at: Time of the crash, monotonic seconds.
        void: Whether it doesn't count any more.
        ran_s: Time from the start of the request to the crash, seconds;
            negative if unknown.
    """

    at: float
    void: bool
    ran_s: float = _UNKNOWN


class Run(NamedTuple):
    """A run of a request during which its target crashed.

    Attributes:
        ended_s: Time since its end, seconds.
        took_s: Its duration, seconds.
    """

    ended_s: float
    took_s: float


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
    """

    def __init__(self) -> None:
        self.digest = 0
        self._ends: dict[Fingerprint, dict[Incarnation, End]] = {}
        # Number of requests by outline, and of valid marks by incarnation.
        self._outlines: collections.Counter[int] = collections.Counter()
        self._suspected: collections.Counter[Incarnation] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._ends)

    # Queries.

    def knows(self, outline: int) -> bool:
        """Return whether a request with that outline is in the ledger."""
        return outline in self._outlines

    def find(self, what: fingerprint_lib.Subject) -> Fingerprint | None:
        """Return a request's fingerprint, None if it isn't in the ledger.

        The body is hashed only if the outline matches, so that other requests
        cost the hash of a few hundred bytes at most.
        """
        if not self._ends or not self.knows(fingerprint_lib.outline(what)):
            return None
        return fingerprint_lib.of(what)

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return the quarantine status of a request."""
        ends = self._ends.get(fingerprint)
        if not ends:
            return Verdict(0, 0.0)
        apart = _apart(ends)
        if len(apart) < const.ENDS_MAX:
            return Verdict(len(apart), 0.0)
        last = max(end.at for end in ends.values() if not end.void)
        until = last + _hold_s(len(apart))
        return Verdict(len(apart), max(until - now, 0.0))

    def held(self, now: float) -> dict[Fingerprint, Verdict]:
        """Return the quarantined requests."""
        found = {f: self.verdict(f, now) for f in self._ends}
        return {f: verdict for f, verdict in found.items() if verdict.held_s}

    def marks(self, now: float) -> tuple[messages.Mark, ...]:
        """Return all marks."""
        return tuple(
            _mark(fingerprint, incarnation, end, now)
            for fingerprint, ends in self._ends.items()
            for incarnation, end in ends.items()
        )

    def lacking(
        self, told: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Return the marks that are missing in all marks of a process."""
        known = {_key(mark): mark.void for mark in told}
        return tuple(
            mark
            for mark in self.marks(now)
            if _key(mark) not in known or (mark.void and not known[_key(mark)])
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
        end = End(at=now, void=False)
        if run is not None:
            end = End(at=now - run.ended_s, void=False, ran_s=run.took_s)
        return self._put(fingerprint, incarnation, end, now)

    def absolve(
        self, fingerprint: Fingerprint, now: float
    ) -> tuple[messages.Mark, ...]:
        """Make the marks of a request void after a complete answer."""
        out: tuple[messages.Mark, ...] = ()
        for incarnation, end in list(self._ends.get(fingerprint, {}).items()):
            if not end.void:
                new = End(at=end.at, void=True)
                out += self._put(fingerprint, incarnation, new, now)
        return out

    def lives(
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
        if incarnation not in self._suspected:
            return out
        for fingerprint, ends in list(self._ends.items()):
            end = ends.get(incarnation)
            if end is not None and not end.void and end.at < since:
                new = End(at=end.at, void=True)
                out += self._put(fingerprint, incarnation, new, now)
        return out

    def lift(
        self, fingerprints: list[Fingerprint], now: float
    ) -> tuple[messages.Mark, ...]:
        """Lift the quarantine of requests for an operator."""
        out: tuple[messages.Mark, ...] = ()
        for fingerprint in fingerprints:
            out += self.absolve(fingerprint, now)
        return out

    def merge(
        self, told: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Merge the marks of another process; return those that were new."""
        out: tuple[messages.Mark, ...] = ()
        for mark in told:
            fingerprint = _of(mark)
            incarnation = Incarnation(mark.target_id, mark.born)
            # This order maps NaN to 0; otherwise the mark would never expire.
            at = now - max(0.0, mark.age_s)
            ran_s = mark.ran_s if mark.ran_s >= 0 else _UNKNOWN
            end = End(at=at, void=mark.void, ran_s=ran_s)
            out += self._put(fingerprint, incarnation, end, now)
        self.tick(now)
        return tuple(mark for mark in out if _of(mark) in self._ends)

    def tick(self, now: float) -> None:
        """Drop expired requests."""
        for fingerprint, ends in list(self._ends.items()):
            last = max(end.at for end in ends.values())
            if now - last > _kept_s(_counted(ends)):
                self._drop(fingerprint)

    # Upkeep.

    def _put(
        self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        end: End,
        now: float,
    ) -> tuple[messages.Mark, ...]:
        ends = self._ends.get(fingerprint)
        known = ends.get(incarnation) if ends else None
        if known is not None:
            # The earlier time is right: a message adds its transit time.
            known.at = min(known.at, end.at)
            if known.void or not end.void:
                return ()
            self._take_out(fingerprint, incarnation, known)
            known.void = True
            self._put_in(fingerprint, incarnation, known)
            return (_mark(fingerprint, incarnation, known, now),)
        if ends is None:
            ends = self._begin(fingerprint)
        if len(ends) >= const.MARKS_MAX and not self._make_room(
            fingerprint, ends, end
        ):
            return ()
        ends[incarnation] = end
        self._put_in(fingerprint, incarnation, end)
        if len(self._ends) > const.RECORDS_MAX:
            self._evict()
        if fingerprint not in self._ends:
            return ()
        return (_mark(fingerprint, incarnation, end, now),)

    def _begin(self, fingerprint: Fingerprint) -> dict[Incarnation, End]:
        ends: dict[Incarnation, End] = {}
        self._ends[fingerprint] = ends
        self._outlines[fingerprint.outline] += 1
        return ends

    def _make_room(
        self,
        fingerprint: Fingerprint,
        ends: dict[Incarnation, End],
        new: End,
    ) -> bool:
        """Drop the oldest mark that doesn't count in favour of a new one.

        Otherwise marks that are void, or of targets that crashed together,
        could fill the limit and prevent a quarantine.
        """
        counted = {id(end) for end in _apart(ends)}
        idle = [inc for inc, end in ends.items() if id(end) not in counted]
        if new.void or not idle:
            return False
        oldest = min(idle, key=lambda incarnation: ends[incarnation].at)
        self._take_out(fingerprint, oldest, ends.pop(oldest))
        return True

    def _evict(self) -> None:
        """Drop the request with the fewest crashes, the oldest first."""
        self._drop(min(self._ends, key=self._rank))

    def _rank(self, fingerprint: Fingerprint) -> tuple[int, float]:
        ends = self._ends[fingerprint]
        return _counted(ends), max(end.at for end in ends.values())

    def _drop(self, fingerprint: Fingerprint) -> None:
        for incarnation, end in self._ends.pop(fingerprint).items():
            self._take_out(fingerprint, incarnation, end)
        _count_down(self._outlines, fingerprint.outline)

    def _put_in(
        self, fingerprint: Fingerprint, incarnation: Incarnation, end: End
    ) -> None:
        self.digest ^= _checksum(fingerprint, incarnation, end)
        if not end.void:
            self._suspected[incarnation] += 1

    def _take_out(
        self, fingerprint: Fingerprint, incarnation: Incarnation, end: End
    ) -> None:
        self.digest ^= _checksum(fingerprint, incarnation, end)
        if not end.void:
            _count_down(self._suspected, incarnation)


def _checksum(
    fingerprint: Fingerprint, incarnation: Incarnation, end: End
) -> int:
    row = (*fingerprint, *incarnation, end.void)
    return hashing.checksum(codec.pack(row)) >> 1


def _count_down(counter: collections.Counter[Any], key: Any) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]


def _apart(ends: dict[Incarnation, End]) -> list[End]:
    """Return the crashes that count, only the first of each common cause.

    Targets that lose power together crash under harmless requests. A run that
    began after another one had crashed has another cause, unless it was retried
    on a target that was about to crash together with the first.
    """
    found: list[End] = []
    times = [end.at for end in ends.values() if _has_run(end)]
    for end in sorted(ends.values(), key=lambda end: end.at):
        if end.void:
            continue
        if not found or not _has_run(end):
            found.append(end)
            continue
        last_at = found[-1].at
        together = end.at - last_at <= const.TOGETHER_SECONDS
        many = sum(0 <= at - last_at <= const.TOGETHER_SECONDS for at in times)
        if together and many >= const.TOGETHER_LEAST:
            continue
        if end.at - end.ran_s + const.APART_SECONDS >= last_at:
            found.append(end)
    return found


def _has_run(end: End) -> bool:
    return not end.void and end.ran_s >= 0


def _counted(ends: dict[Incarnation, End]) -> int:
    return sum(not end.void for end in ends.values())


def _hold_s(ends: int) -> float:
    """Return the duration of a quarantine after the last crash, seconds."""
    doubled = const.HOLD_SECONDS * 2.0 ** (ends - const.ENDS_MAX)
    return min(doubled, const.HOLD_MAX_SECONDS)


def _kept_s(ends: int) -> float:
    """Return how long a request is kept after its last crash, seconds.

    Twice its quarantine, so that the next one is longer if it crashes a target
    again.
    """
    if ends < const.ENDS_MAX:
        return const.FORGET_SECONDS
    return 2 * _hold_s(ends)


def _of(mark: messages.Mark) -> Fingerprint:
    return Fingerprint(mark.outline, mark.content)


def _key(mark: messages.Mark) -> tuple[bytes, str, int]:
    return mark.content, mark.target_id, mark.born


def _mark(
    fingerprint: Fingerprint, incarnation: Incarnation, end: End, now: float
) -> messages.Mark:
    return messages.Mark(
        outline=fingerprint.outline,
        content=fingerprint.content,
        target_id=incarnation.target_id,
        born=incarnation.born,
        void=end.void,
        age_s=round(now - end.at, 3),
        ran_s=round(end.ran_s, 3),
    )
