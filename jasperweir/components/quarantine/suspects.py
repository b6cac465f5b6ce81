"""Which requests ran on a target that may have ended; sans-I/O.

A connection that breaks before an answer is whole tells of a target that has
ended, or of a network, or of an answer that was cut. Only the first says
anything about the requests that ran there, and a new connection tells it from
the others: where nothing listens any more it is refused.
"""

from collections.abc import Callable
import dataclasses
from typing import NamedTuple

from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib


class Try(NamedTuple):
    """One run whose connection broke.

    Attributes:
        request_id: Id by which its caller knows it.
        began_at: When it was sent, monotonic seconds.
        broke_at: When its connection broke, monotonic seconds.
    """

    request_id: str
    began_at: float
    broke_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Case:
    """Requests whose connections to one incarnation of a target broke.

    Attributes:
        target: The incarnation.
        suspects: Their fingerprints, each with one try.
    """

    target: records.Target
    suspects: dict[fingerprint_lib.Fingerprint, Try]


class Suspects:
    """Cases that wait for a check of their target."""

    def __init__(self) -> None:
        self._cases: dict[tuple[str, int], Case] = {}
        # Until when each case is kept whose target gave no sign.
        self._unclear: list[tuple[float, Case]] = []

    def on_broken(
        self,
        target: records.Target,
        fingerprint: fingerprint_lib.Fingerprint,
        broken: Try,
    ) -> bool:
        """Note a request whose connection broke.

        Returns:
            Whether the target is to be checked; one check serves all of them.
        """
        key = (target.target_id, target.born)
        case = self._cases.get(key)
        is_first = case is None
        if case is None:
            case = Case(target=target, suspects={})
            self._cases[key] = case
        if len(case.suspects) < const.SUSPECTS_MAX:
            case.suspects.setdefault(fingerprint, broken)
        return is_first

    def keep(self, case: Case, now: float) -> None:
        """Keep a case whose target gave no sign, until it is clear."""
        self._unclear.append((now + const.UNCLEAR_SECONDS, case))

    def cleared(
        self, serving: Callable[[str], list[records.Target]], now: float
    ) -> list[Case]:
        """Return the cases whose targets have been replaced at their address.

        Args:
            serving: Returns the targets that serve a service; of two at one
                address the newer only.
            now: Monotonic seconds.
        """
        ended = []
        kept = []
        for until, case in self._unclear:
            targets = serving(case.target.service)
            if now < until and any(_replaces(t, case.target) for t in targets):
                ended.append(case)
            elif now < until:
                kept.append((until, case))
        self._unclear = kept
        return ended

    def on_checked(self, target: records.Target) -> Case | None:
        """Close the case of a target that has been checked."""
        return self._cases.pop((target.target_id, target.born), None)


def _replaces(new: records.Target, old: records.Target) -> bool:
    if new.address != old.address:
        return False
    if new.target_id != old.target_id:
        return True
    told = incarnation.compare(new.born, old.born)
    return told is incarnation.Start.LATER
