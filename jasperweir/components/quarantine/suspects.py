"""Requests that ran on a target that may have crashed; sans-I/O.

A connection that breaks before an answer is complete may have been cut by the
network or by the target, or the target has crashed. Only a crash is evidence
against the requests that ran there. A new connection shows it: it is refused if
no process listens any more.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import NamedTuple

from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib


class Attempt(NamedTuple):
    """An attempt whose connection broke.

    Attributes:
        request_id: Id of the request as known to its caller.
        began_at: When it was sent, monotonic seconds.
        broke_at: When its connection broke, monotonic seconds.
        parts: Fingerprints of the parts of its prompt.
        prompt_tokens: Stated size of its prompt.
        events: Complete events of its response.
        is_settled: Whether its response had gone on for some time.
    """

    request_id: str
    began_at: float
    broke_at: float
    parts: tuple[fingerprint_lib.Fingerprint, ...] = ()
    prompt_tokens: int = 0
    events: int = 0
    is_settled: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Case:
    """Requests whose connections to an incarnation of a target broke.

    Attributes:
        target: The target.
        suspects: One attempt of each request by its fingerprint.
        crashed_at: When the first of their connections broke, monotonic
            seconds.
    """

    target: records.Target
    suspects: dict[fingerprint_lib.Fingerprint, Attempt]
    crashed_at: float

    def list_parts(self) -> dict[fingerprint_lib.Fingerprint, Attempt]:
        """Return the parts that may have crashed the target.

        Each comes with its attempt that began last. A request whose response
        had gone on is not the cause, nor is one sent after the crash.
        """
        crashed_at = self.crashed_at
        found: dict[fingerprint_lib.Fingerprint, Attempt] = {}
        for attempt in self.suspects.values():
            if attempt.is_settled or attempt.began_at >= crashed_at:
                continue
            for part in attempt.parts:
                known = found.get(part)
                if known is None or known.began_at < attempt.began_at:
                    found[part] = attempt
        return found


class Suspects:
    """Cases whose targets have to be checked."""

    def __init__(self) -> None:
        self._cases: dict[tuple[str, int], Case] = {}
        # Attempts that the entry itself ended before any response, with their
        # targets, the oldest first. Some targets go on with such a request.
        self._abandoned: collections.deque[
            tuple[records.Target, fingerprint_lib.Fingerprint, Attempt]
        ] = collections.deque(maxlen=const.ABANDONED_MAX)
        # Cases whose targets didn't answer the check, with their expiry.
        self._unconfirmed: list[tuple[float, Case]] = []

    def on_broken(
        self,
        target: records.Target,
        fingerprint: fingerprint_lib.Fingerprint,
        broken: Attempt,
    ) -> bool:
        """Record a request whose connection broke.

        Returns:
            Whether to check the target: one check serves all its requests.
        """
        key = (target.target_id, target.born)
        case = self._cases.get(key)
        is_first = case is None
        if case is None:
            case = Case(target=target, suspects={}, crashed_at=broken.broke_at)
            self._cases[key] = case
            self._add_abandoned(case, broken.broke_at)
        if len(case.suspects) < const.SUSPECTS_MAX:
            case.suspects.setdefault(fingerprint, broken)
        return is_first

    def on_abandoned(
        self,
        target: records.Target,
        fingerprint: fingerprint_lib.Fingerprint,
        attempt: Attempt,
    ) -> None:
        """Record a request that the entry cancelled before any response."""
        self._abandoned.append((target, fingerprint, attempt))

    def _add_abandoned(self, case: Case, now: float) -> None:
        key = (case.target.target_id, case.target.born)
        for target, fingerprint, attempt in reversed(self._abandoned):
            if len(case.suspects) >= const.ABANDONED_SUSPECTS_MAX:
                return
            is_recent = now - attempt.broke_at <= const.ABANDONED_SECONDS
            if is_recent and (target.target_id, target.born) == key:
                case.suspects.setdefault(fingerprint, attempt)

    def defer(self, case: Case, now: float) -> None:
        """Keep a case whose target didn't answer the check for a time."""
        self._unconfirmed.append((now + const.REPLACEMENT_SECONDS, case))

    def pop_replaced(
        self, serving: Callable[[str], list[records.Target]], now: float
    ) -> list[Case]:
        """Remove and return the cases whose targets have been replaced.

        Args:
            serving: Returns the targets of a service; of two at one address
                only the newer.
            now: Monotonic seconds.
        """
        ended = []
        kept = []
        for until, case in self._unconfirmed:
            targets = serving(case.target.service)
            if now < until and any(_replaces(t, case.target) for t in targets):
                ended.append(case)
            elif now < until:
                kept.append((until, case))
        self._unconfirmed = kept
        return ended

    def on_checked(self, target: records.Target) -> Case | None:
        """Remove and return the case of a target that has been checked."""
        return self._cases.pop((target.target_id, target.born), None)


def _replaces(new: records.Target, old: records.Target) -> bool:
    if new.address != old.address:
        return False
    if new.target_id != old.target_id:
        return True
    order = incarnation.compare_starts(new.born, old.born)
    return order is incarnation.StartOrder.LATER
