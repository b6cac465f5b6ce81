"""Which parts of prompts explain the crashes of targets; sans-I/O.

Each crash is under several requests, and these have several parts. The part
that explains most crashes is blamed first, and what it explains counts against
no other part. Parts that are in the same crashes are blamed together: a request
with only one of them is not held for what it has in common with the others.

A part that was answered before the crashes may have been beside the cause each
time, so it needs more of them. So do customers: one that names another's parts
in its own requests gets them held for itself only.
"""

from collections.abc import Iterable
from typing import NamedTuple

from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib
from jasperweir.components.quarantine import ledger as ledger_lib

Fingerprint = fingerprint_lib.Fingerprint
# Crashes that nothing blamed explains, by part or request.
_Unexplained = dict[Fingerprint, ledger_lib.Observations]


class Blame(NamedTuple):
    """Parts, and at times a request, that explain some crashes together.

    Attributes:
        members: What a request must have to be held.
        crashes: Crashes that count.
        last_at: Last of them, monotonic seconds.
        builds: Services and versions of the targets that crashed.
    """

    members: frozenset[Fingerprint]
    crashes: int
    last_at: float
    builds: frozenset[str]

    def held_s(self, now: float) -> float:
        """Return how long requests remain held, seconds; 0 if not at all."""
        until = self.last_at + ledger_lib.quarantine_s(self.crashes)
        return max(until - now, 0.0)


class Findings(NamedTuple):
    """What the crashes in a ledger point at.

    Attributes:
        blames: What is blamed, by each part in it.
        suspected: Parts that may explain a crash which nothing blamed explains.
    """

    blames: dict[Fingerprint, Blame]
    suspected: frozenset[Fingerprint]


NO_FINDINGS = Findings({}, frozenset())


def of_any_customer(part: Fingerprint) -> Fingerprint:
    """Return a part as that of any customer's prompts."""
    return part._replace(outline=0)


def is_answered(ledger: ledger_lib.Ledger, part: Fingerprint) -> bool:
    """Return whether requests with a part were answered before the crashes."""
    return ledger_lib.ANY_TARGET in ledger.observations(part)


def find(ledger: ledger_lib.Ledger) -> Findings:
    """Return what the crashes in a ledger point at."""
    if not ledger.part_count:
        return NO_FINDINGS
    answered, others = _list_candidates(ledger)
    blames: dict[Fingerprint, Blame] = {}
    requests = _list_crashes(ledger, ledger.requests())
    _blame(others, const.CRASHES_MAX, blames, [others, answered, requests])
    _blame(answered, const.ANSWERED_CRASHES_MAX, blames, [answered])
    suspected = [part for part, crashes in others.items() if crashes]
    suspected += [
        part
        for part, crashes in answered.items()
        if len(crashes) >= const.CRASHES_MAX
        and len(ledger_lib.distinct_crashes(crashes)) >= const.CRASHES_MAX
    ]
    return Findings(blames, frozenset(suspected))


def _list_candidates(
    ledger: ledger_lib.Ledger,
) -> tuple[_Unexplained, _Unexplained]:
    """Return the parts that were answered before, and the others.

    Of the others those of several customers count together as well.
    """
    crashes = _list_crashes(ledger, ledger.parts())
    answered = {p: c for p, c in crashes.items() if is_answered(ledger, p)}
    others = {p: c for p, c in crashes.items() if p not in answered}
    customers: dict[Fingerprint, list[Fingerprint]] = {}
    for part in others:
        customers.setdefault(of_any_customer(part), []).append(part)
    for common, parts in customers.items():
        if len(parts) > 1:
            others[common] = {
                incarnation: crash
                for part in parts
                for incarnation, crash in others[part].items()
            }
    return answered, others


def _list_crashes(
    ledger: ledger_lib.Ledger, found: Iterable[Fingerprint]
) -> _Unexplained:
    """Return the crashes that count of those that have any."""
    out: _Unexplained = {}
    for fingerprint in found:
        crashes = {
            incarnation: crash
            for incarnation, crash in ledger.observations(fingerprint).items()
            if crash.is_crash
        }
        if crashes:
            out[fingerprint] = crashes
    return out


def _blame(
    parts: _Unexplained,
    crashes_max: int,
    blames: dict[Fingerprint, Blame],
    pools: list[_Unexplained],
) -> None:
    """Blame parts until none explains enough crashes.

    Args:
        parts: Parts that may be blamed.
        crashes_max: Crashes from which on one is blamed.
        blames: What is blamed; added to.
        pools: Everything whose crashes are explained by what is blamed; what is
            not a part that was answered before is blamed with a part that has
            the same crashes.
    """
    while True:
        best = max(
            (part for part in parts if len(parts[part]) >= crashes_max),
            key=lambda part: (_count(parts[part]), part),
            default=None,
        )
        if best is None or _count(parts[best]) < crashes_max:
            return
        explained = parts[best]
        members = frozenset(
            found
            for pool in (parts, pools[-1])
            for found, crashes in pool.items()
            if crashes.keys() == explained.keys()
        )
        blame = Blame(
            members=members,
            crashes=_count(explained),
            last_at=max(crash.at for crash in explained.values()),
            builds=frozenset(crash.build for crash in explained.values()),
        )
        blames.update((part, blame) for part in members if part.is_part)
        keys = frozenset(explained)
        for pool in pools:
            _remove_explained(pool, keys)


def _remove_explained(
    pool: _Unexplained, explained: frozenset[ledger_lib.Incarnation]
) -> None:
    for found, crashes in pool.items():
        if not explained.isdisjoint(crashes):
            pool[found] = {
                incarnation: crash
                for incarnation, crash in crashes.items()
                if incarnation not in explained
            }


def _count(crashes: ledger_lib.Observations) -> int:
    return len(ledger_lib.distinct_crashes(crashes))
