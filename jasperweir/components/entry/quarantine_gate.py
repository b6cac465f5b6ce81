"""Quarantine of requests under which engines crash."""

from collections.abc import Callable

from jasperweir import result_codes
from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import driver_context as context_lib
from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.request import events

Code = result_codes.Code
Standing = quarantine_lib.Standing


class QuarantineGate:
    """Keeps a quarantined request from targets and records its results."""

    def __init__(
        self,
        *,
        context: context_lib.DriverContext,
        request: request_lib.ParsedRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._trial: tuple[str, tuple[fingerprint.Fingerprint, ...]] | None = (
            None
        )
        self._has_crashed = False

    def check(self, *, is_sending: bool) -> events.Denied | None:
        """Return a denial if the request is quarantined, else None.

        Args:
            is_sending: Whether it is sent otherwise, perhaps as a trial.
        """
        quarantine = self._context.entry.quarantine
        if not len(quarantine.ledger):
            return None
        now = self._context.now()
        decision: quarantine_lib.Decision = self._context.call(
            lambda: self._decide(now, is_sending=is_sending)
        )
        if not decision.is_rejected:
            return None
        self._context.increment("held_back")
        return events.Denied(
            code=Code.PART_CRASHES_TARGETS
            if decision.is_for_part
            else Code.ENDS_TARGETS,
            retry_after=decision.retry_after_s,
        )

    def _decide(
        self, now: float, *, is_sending: bool
    ) -> quarantine_lib.Decision:
        if self._trial is not None:
            return quarantine_lib.CLEAR
        quarantine = self._context.entry.quarantine
        decision = quarantine.decide(self._request.subject, now)
        if decision.standing is Standing.TRIAL:
            if self._has_crashed:
                # Another request with the part learns whether it is the cause.
                return decision.after_trial()
            if is_sending:
                trial_id = quarantine.begin_trial(decision, now)
                self._trial = (trial_id, decision.fingerprints)
                self._send_marks()
        return decision

    def record_result(
        self, result: agent_client_lib.Result, name: str, inc: int
    ) -> None:
        """Record a result that reports an engine crash.

        Args:
            result: Result of a run, or of reading its answer.
            name: Name of the agent that reported it.
            inc: Incarnation of that agent.
        """
        if not isinstance(result, events.Broke) or not result.engine_end:
            return
        self._has_crashed = True
        self._context.increment("engine_ends")
        subject = self._request.subject
        found = [fingerprint.compute(subject)]
        if not result.relayed:
            found += fingerprint.compute_parts(subject)
        target = ledger.Incarnation(f"{name}/{inc}", result.engine_end)
        now = self._context.now()
        self._tell(
            lambda quarantine: quarantine.record_crash(
                target, dict.fromkeys(found), now
            )
        )
        self.end()

    def record_complete_answer(self, began_at: float) -> None:
        """Record that the request was answered completely.

        Args:
            began_at: When the answer began, monotonic seconds.
        """
        subject = self._request.subject
        parts = fingerprint.compute_parts(subject)
        trial = self._trial
        if not parts and not len(self._context.entry.quarantine.ledger):
            return
        now = self._context.now()

        def record(quarantine: quarantine_lib.Quarantine) -> None:
            quarantine.on_answered(parts, began_at, now)
            quarantine.on_completed(subject, now)
            if trial is not None:
                quarantine.pass_trial(trial[1], now)

        self._tell(record)

    def end(self) -> None:
        """End the trial that the request was sent as, if any."""
        trial, self._trial = self._trial, None
        if trial is not None:
            now = self._context.now()
            self._tell(lambda quarantine: quarantine.end_trial(*trial, now))

    def _tell(self, func: Callable[[quarantine_lib.Quarantine], None]) -> None:
        def run() -> None:
            func(self._context.entry.quarantine)
            self._send_marks()

        self._context.tell(run)

    def _send_marks(self) -> None:
        self._context.perform(self._context.entry.take_marks())
