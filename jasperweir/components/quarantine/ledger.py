"""Which requests targets ended under, and which are kept from targets.

A set of marks, one for each request and each incarnation of a target that
ended while it had it. A mark is added, or turns void, and never turns back, so
that processes may tell each other theirs in any order and as often as they
like and agree in the end. Sans-I/O.
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
    """One start of a target."""

    target_id: str
    born: int


@dataclasses.dataclass(kw_only=True, slots=True)
class End:
    """A target ended under a request.

    Attributes:
        at: When, monotonic seconds.
        void: Whether it counts no more.
        ran_s: For how long it had the request by then, seconds; less than none
            if that is not known.
    """

    at: float
    void: bool
    ran_s: float = _UNKNOWN


class Run(NamedTuple):
    """A run that ended with its target.

    Attributes:
        ended_s: Seconds since its end.
        took_s: Seconds from its begin to its end.
    """

    ended_s: float
    took_s: float


class Verdict(NamedTuple):
    """What is known of a request.

    Attributes:
        ends: Ends of targets under it that count; those that one cause may
            have brought about together count as one.
        held_s: Seconds for which it is still kept from targets, 0 if it isn't.
    """

    ends: int
    held_s: float


class Ledger:
    """Marks of one process.

    Attributes:
        digest: Digest of all marks, 0 if there are none.
    """

    def __init__(self) -> None:
        self.digest = 0
        self._ends: dict[Fingerprint, dict[Incarnation, End]] = {}
        # Requests by outline, and counted marks by incarnation.
        self._outlines: collections.Counter[int] = collections.Counter()
        self._suspected: collections.Counter[Incarnation] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._ends)

    # Queries.

    def knows(self, outline: int) -> bool:
        """Tell whether any request of that outline is remembered."""
        return outline in self._outlines

    def find(self, what: fingerprint_lib.Subject) -> Fingerprint | None:
        """Return a request's fingerprint if it may be remembered.

        Bodies are hashed of those only that look like a remembered one, so
        that calm times cost nothing and others the hash of a few hundred
        bytes, however large the bodies are.
        """
        if not self._ends or not self.knows(fingerprint_lib.outline(what)):
            return None
        return fingerprint_lib.of(what)

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Tell whether a request is kept from targets."""
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
        """Return the requests that are kept from targets."""
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
        """Return the marks that are news to whoever has told all its marks."""
        known = {_key(mark): mark.void for mark in told}
        return tuple(
            mark
            for mark in self.marks(now)
            if _key(mark) not in known or (mark.void and not known[_key(mark)])
        )

    # Changes; each returns the marks that others are to be told.

    def add(
        self,
        fingerprint: Fingerprint,
        incarnation: Incarnation,
        now: float,
        run: Run | None = None,
    ) -> tuple[messages.Mark, ...]:
        """Note that a target ended while it had a request.

        Args:
            fingerprint: The request.
            incarnation: The target.
            now: Monotonic seconds.
            run: Its run there, None if it is not known when it was.
        """
        end = End(at=now, void=False)
        if run is not None:
            end = End(at=now - run.ended_s, void=False, ran_s=run.took_s)
        return self._put(fingerprint, incarnation, end, now)

    def absolve(
        self, fingerprint: Fingerprint, now: float
    ) -> tuple[messages.Mark, ...]:
        """Note that a request was answered whole."""
        out: tuple[messages.Mark, ...] = ()
        for incarnation, end in list(self._ends.get(fingerprint, {}).items()):
            if not end.void:
                new = End(at=end.at, void=True)
                out += self._put(fingerprint, incarnation, new, now)
        return out

    def lives(
        self, incarnation: Incarnation, since: float, now: float
    ) -> tuple[messages.Mark, ...]:
        """Note that a target has answered a request.

        Args:
            incarnation: The target.
            since: When it was sent that request, monotonic seconds. What it
                had begun to answer before its presumed end proves nothing.
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
        """Let requests go to targets again, as an operator says."""
        out: tuple[messages.Mark, ...] = ()
        for fingerprint in fingerprints:
            out += self.absolve(fingerprint, now)
        return out

    def merge(
        self, told: tuple[messages.Mark, ...], now: float
    ) -> tuple[messages.Mark, ...]:
        """Take in marks of another process; return those that were news."""
        out: tuple[messages.Mark, ...] = ()
        for mark in told:
            fingerprint = _of(mark)
            incarnation = Incarnation(mark.target_id, mark.born)
            # In this order a NaN counts as 0: it would never be forgotten.
            at = now - max(0.0, mark.age_s)
            ran_s = mark.ran_s if mark.ran_s >= 0 else _UNKNOWN
            end = End(at=at, void=mark.void, ran_s=ran_s)
            out += self._put(fingerprint, incarnation, end, now)
        self.tick(now)
        return tuple(mark for mark in out if _of(mark) in self._ends)

    def tick(self, now: float) -> None:
        """Forget what is old."""
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
            # The way of a message takes time: the earlier reading is right.
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
        """Forget the oldest mark that does not count for one that may.

        Without it a request that was blamed wrongly often enough, or ran on
        many targets that ended together, could never be held.
        """
        counted = {id(end) for end in _apart(ends)}
        idle = [inc for inc, end in ends.items() if id(end) not in counted]
        if new.void or not idle:
            return False
        oldest = min(idle, key=lambda incarnation: ends[incarnation].at)
        self._take_out(fingerprint, oldest, ends.pop(oldest))
        return True

    def _evict(self) -> None:
        """Forget the request with the fewest ends, the oldest of them."""
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
    """Return the ends that count, of those with one cause only the first.

    Targets that lose power together end under requests that are well. A run
    that began after another one had ended has not ended by the same, but for
    one that was sent on to the next target that was just about to end.
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
    """Return for how long a request is held after the last of its ends."""
    doubled = const.HOLD_SECONDS * 2.0 ** (ends - const.ENDS_MAX)
    return min(doubled, const.HOLD_MAX_SECONDS)


def _kept_s(ends: int) -> float:
    """Return for how long a request is remembered after its last end.

    Twice its hold, so that one that comes back after it is held for longer.
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
