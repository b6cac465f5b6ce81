"""Decisions of one process on requests that may crash targets; sans-I/O.

A request is held if targets have crashed under it, or under others that have a
part of their prompts in common with it. While crashes only point at a part, or
once targets may have been repaired, one request with it is sent at a time: its
result decides.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import NamedTuple

from jasperweir.components.quarantine import blame as blame_lib
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint as fingerprint_lib
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.components.quarantine import suspects as suspects_lib

Fingerprint = fingerprint_lib.Fingerprint
Marks = tuple[messages.Mark, ...]


class Standing(enum.Enum):
    """What may be done with a request."""

    # It may be sent.
    CLEAR = "clear"
    # It may be sent as a trial, which ``begin_trial`` records.
    TRIAL = "trial"
    # Another request is on trial; it is rejected for a moment.
    AFTER_TRIAL = "after_trial"
    # It is rejected.
    HELD = "held"


class Decision(NamedTuple):
    """Decision on one request.

    Attributes:
        standing: What may be done with it.
        crashes: Crashes that count, 0 if it is not held.
        retry_after_s: When it may come again, seconds; 0 if it may be sent.
        fingerprints: What it is held for or on trial for.
    """

    standing: Standing
    crashes: int = 0
    retry_after_s: float = 0.0
    fingerprints: tuple[Fingerprint, ...] = ()

    @property
    def is_rejected(self) -> bool:
        """Whether the request must not be sent."""
        return self.standing in (Standing.HELD, Standing.AFTER_TRIAL)

    @property
    def is_for_part(self) -> bool:
        """Whether a part of its prompt is the reason."""
        return any(found.is_part for found in self.fingerprints)

    def after_trial(self) -> "Decision":
        """Return the decision while another request is on trial."""
        return self._replace(
            standing=Standing.AFTER_TRIAL,
            retry_after_s=const.TRIAL_RETRY_SECONDS,
        )


CLEAR = Decision(Standing.CLEAR)


class Held(NamedTuple):
    """What requests are held for.

    Attributes:
        fingerprints: The request, or the parts that a request must have.
        crashes: Crashes that count.
        held_s: Remaining time, seconds.
    """

    fingerprints: tuple[Fingerprint, ...]
    crashes: int
    held_s: float

    @property
    def is_part(self) -> bool:
        """Whether it is about parts of prompts."""
        return any(found.is_part for found in self.fingerprints)


class _AnsweredParts:
    """Parts with which requests were answered, those used last."""

    def __init__(self) -> None:
        self._began_at: collections.OrderedDict[Fingerprint, float] = (
            collections.OrderedDict()
        )

    def add(self, part: Fingerprint, began_at: float) -> None:
        self._began_at[part] = max(self._began_at.get(part, 0.0), began_at)
        self._began_at.move_to_end(part)
        if len(self._began_at) > const.ANSWERED_PARTS_MAX:
            self._began_at.popitem(last=False)

    def find(self, part: Fingerprint, now: float) -> float | None:
        """Return when the last answer began, None if none is remembered."""
        began_at = self._began_at.get(part)
        if began_at is None or now - began_at > const.ANSWERED_SECONDS:
            return None
        return began_at


class Quarantine:
    """Marks of one process, and the decisions that follow from them.

    Attributes:
        ledger: Marks on requests and parts.
        on_marks: Called with marks on crashes and trials, which all other
            processes need at once.
        on_vouched: Called with marks that relieve parts; several processes may
            send the same ones at the same time.
        builds: Services and versions of all targets that are ready.
    """

    def __init__(self, *, trial_prefix: str = "") -> None:
        """Initialize without marks.

        Args:
            trial_prefix: Start of the ids of this process's trials, different
                for each process and each of its starts.
        """
        self.ledger = ledger_lib.Ledger()
        self.on_marks: Callable[[Marks], None] = lambda _: None
        self.on_vouched: Callable[[Marks], None] = lambda _: None
        self.builds: frozenset[str] = frozenset()
        self._trial_prefix = trial_prefix
        self._trial_count = 0
        self._answered = _AnsweredParts()
        self._findings = blame_lib.NO_FINDINGS
        self._findings_revision = 0

    # Decisions.

    def decide(self, subject: fingerprint_lib.Subject, now: float) -> Decision:
        """Return the decision on a request."""
        if not len(self.ledger):
            return CLEAR
        trials: list[Fingerprint] = []
        request = self.ledger.find(subject)
        if request is not None:
            verdict = self.ledger.verdict(request, now)
            if verdict.held_s:
                if not self._is_repaired(_list_builds(self.ledger, request)):
                    return Decision(
                        Standing.HELD, verdict.ends, verdict.held_s, (request,)
                    )
                trials.append(request)
        if subject.prompt_parts and self.ledger.part_count:
            held = self._check_parts(subject, trials, now)
            if held is not None:
                return held
        if not trials:
            return CLEAR
        decision = Decision(Standing.TRIAL, 0, 0.0, tuple(trials))
        if any(self._is_on_trial(found, now) for found in trials):
            return decision.after_trial()
        return decision

    def _check_parts(
        self,
        subject: fingerprint_lib.Subject,
        trials: list[Fingerprint],
        now: float,
    ) -> Decision | None:
        """Return the decision on a request that is held for its parts.

        Args:
            subject: The request.
            trials: What it is on trial for; added to.
            now: Monotonic seconds.
        """
        findings = self._find()
        if not findings.blames and not findings.suspected:
            return None
        parts = fingerprint_lib.compute_parts(subject)
        trials += [part for part in parts if part in findings.suspected]
        for part in self._list_features(parts, now):
            blame = findings.blames.get(part)
            if blame is None:
                continue
            held_s = blame.held_s(now)
            if (
                held_s
                and self._has_all(blame, subject, parts)
                and not self._is_repaired(blame.builds)
            ):
                return Decision(
                    Standing.HELD,
                    blame.crashes,
                    held_s,
                    _list_parts(blame.members),
                )
            trials.append(part)
        return None

    def _list_features(
        self, parts: tuple[Fingerprint, ...], now: float
    ) -> list[Fingerprint]:
        """Return parts as of their customer and, unless answered, of any."""
        return [
            *parts,
            *(
                blame_lib.of_any_customer(part)
                for part in parts
                if not self._was_answered(part, now)
            ),
        ]

    def _was_answered(self, part: Fingerprint, now: float) -> bool:
        return (
            blame_lib.is_answered(self.ledger, part)
            or self._answered.find(part, now) is not None
        )

    def _has_all(
        self,
        blame: blame_lib.Blame,
        subject: fingerprint_lib.Subject,
        parts: tuple[Fingerprint, ...],
    ) -> bool:
        """Return whether a request has all that is blamed together."""
        found = {*parts, *map(blame_lib.of_any_customer, parts)}
        missing = blame.members - found
        if not missing:
            return True
        return missing == {fingerprint_lib.compute(subject)}

    def _is_repaired(self, builds: frozenset[str]) -> bool:
        """Return whether all targets that crashed have been replaced.

        Args:
            builds: Services and versions of these targets.
        """
        if not builds or "" in builds or builds & self.builds:
            return False
        services = {service_of(build) for build in builds}
        return services <= {service_of(build) for build in self.builds}

    def _is_on_trial(self, fingerprint: Fingerprint, now: float) -> bool:
        return any(
            found.kind is messages.MarkKind.TRIAL
            and not found.void
            and not ledger_lib.is_trial_over(found, now)
            for found in self.ledger.observations(fingerprint).values()
        )

    def _find(self) -> blame_lib.Findings:
        if self._findings_revision != self.ledger.revision:
            self._findings = blame_lib.find(self.ledger)
            self._findings_revision = self.ledger.revision
        return self._findings

    def list_held(self, now: float) -> list[Held]:
        """Return what requests are held for."""
        held = [
            Held((found,), verdict.ends, verdict.held_s)
            for found, verdict in self.ledger.list_quarantined(now).items()
        ]
        blames = set(self._find().blames.values())
        held += [
            Held(_list_parts(blame.members), blame.crashes, held_s)
            for blame in blames
            if (held_s := blame.held_s(now))
        ]
        return held

    # Events; the marks that follow from them are published.

    def begin_trial(self, decision: Decision, now: float) -> str:
        """Record that a request is sent as a trial; return the trial's id."""
        self._trial_count += 1
        trial_id = f"{self._trial_prefix}/{self._trial_count}"
        marks: Marks = ()
        for found in decision.fingerprints:
            marks += self.ledger.add_trial(found, trial_id, now)
        self._publish(marks)
        return trial_id

    def end_trial(
        self, trial_id: str, fingerprints: tuple[Fingerprint, ...], now: float
    ) -> None:
        """Record that a trial is over, whatever its result."""
        marks: Marks = ()
        for found in fingerprints:
            marks += self.ledger.end_trial(found, trial_id, now)
        self._publish(marks)

    def pass_trial(
        self, fingerprints: tuple[Fingerprint, ...], now: float
    ) -> None:
        """Release what a request was on trial for: no target crashed on it."""
        blames = self._find().blames
        for found in fingerprints:
            blame = blames.get(found)
            if blame is not None:
                self._lift(blame.members, now)

    def on_answered(
        self,
        parts: tuple[Fingerprint, ...],
        began_at: float,
        now: float,
    ) -> None:
        """Record an answer to a request with some parts that doesn't crash.

        Args:
            parts: The parts.
            began_at: When the answer began, monotonic seconds.
            now: Monotonic seconds.
        """
        for part in parts:
            self._answered.add(part, began_at)
        if self.ledger.part_count:
            self._vouch(parts, now)

    def on_completed(
        self, subject: fingerprint_lib.Subject, now: float
    ) -> None:
        """Record a complete answer to a request."""
        request = self.ledger.find(subject)
        if request is not None:
            self._publish(self.ledger.clear_marks(request, now))

    def on_crash(
        self,
        case: suspects_lib.Case,
        build: str,
        now: float,
    ) -> None:
        """Record that a target has crashed.

        Args:
            case: The target, and the requests that ran there.
            build: Its service and version.
            now: Monotonic seconds.
        """
        incarnation = ledger_lib.Incarnation(
            case.target.target_id, case.target.born
        )
        parts = case.list_parts()
        runs = {
            found: ledger_lib.Run(
                ended_s=now - case.crashed_at,
                took_s=max(case.crashed_at - attempt.began_at, 0.0),
                build=build,
            )
            for found, attempt in (*case.suspects.items(), *parts.items())
        }
        self.record_crash(incarnation, runs, now)

    def record_crash(
        self,
        incarnation: ledger_lib.Incarnation,
        runs: Mapping[Fingerprint, ledger_lib.Run | None],
        now: float,
    ) -> None:
        """Record a crash under requests, and under parts of their prompts.

        Args:
            incarnation: The target.
            runs: The runs of each request and part; None if their times are
                unknown.
            now: Monotonic seconds.
        """
        marks: Marks = ()
        for found, run in runs.items():
            marks += self.ledger.add(found, incarnation, now, run)
        self._publish(marks)
        self._vouch((found for found in runs if found.is_part), now)

    def on_alive(
        self, incarnation: ledger_lib.Incarnation, since: float, now: float
    ) -> None:
        """Record that a target has answered a request sent at a given time."""
        self._publish(self.ledger.record_alive(incarnation, since, now))

    def merge(self, received: Marks, now: float) -> Marks:
        """Merge the marks of another process; return those that were new."""
        new = self.ledger.merge(received, now)
        self._vouch(
            {
                ledger_lib.fingerprint_of(mark)
                for mark in new
                if mark.is_part and not mark.void
            },
            now,
        )
        return new

    def lift(self, held: list[Held], now: float) -> None:
        """Release requests for an operator."""
        for found in held:
            self._lift(found.fingerprints, now)

    def tick(self, now: float) -> None:
        """Drop expired marks."""
        self.ledger.tick(now)

    def _lift(
        self,
        fingerprints: frozenset[Fingerprint] | tuple[Fingerprint, ...],
        now: float,
    ) -> None:
        """Make the marks on requests void, and those on parts of any customer.

        Only the customer whose request shows it is relieved of the others'.
        """
        contents = {f.content for f in fingerprints if f.is_part}
        found = {
            part for part in self.ledger.parts() if part.content in contents
        }
        marks: Marks = ()
        for fingerprint in found.union(fingerprints):
            marks += self.ledger.clear_marks(fingerprint, now)
        self._publish(marks)

    def _vouch(self, parts: Iterable[Fingerprint], now: float) -> None:
        """Publish what this process knows of answers to requests with parts.

        An answer that began after a crash shows that a part is not its cause.
        """
        marks: Marks = ()
        for part in parts:
            began_at = self._answered.find(part, now)
            if began_at is None or part not in self.ledger:
                continue
            marks += self.ledger.clear_marks(part, now, before=began_at)
            if not blame_lib.is_answered(self.ledger, part):
                marks += self.ledger.add_answered(part, began_at, now)
        if marks:
            self.on_vouched(marks)

    def _publish(self, marks: Marks) -> None:
        if marks:
            self.on_marks(marks)


def build_of(service: str, version: str) -> str:
    """Return the name of a service's version in marks, empty if unknown."""
    return f"{service}\n{version}" if version else ""


def service_of(build: str) -> str:
    """Return the service of a build."""
    return build.partition("\n")[0]


def _list_parts(
    members: frozenset[Fingerprint],
) -> tuple[Fingerprint, ...]:
    return tuple(sorted(found for found in members if found.is_part))


def _list_builds(
    ledger: ledger_lib.Ledger, request: Fingerprint
) -> frozenset[str]:
    return frozenset(
        crash.build
        for crash in ledger.observations(request).values()
        if crash.is_crash
    )
