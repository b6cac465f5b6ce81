"""Quarantine of requests under which engines crashed."""

from jasperweir import result_codes
from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import driver_context as context_lib
from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger
from jasperweir.components.request import events


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

    def check(self) -> events.Denied | None:
        """Return a denial if the request is quarantined, else None."""
        entry = self._context.entry
        request_fingerprint = self._find_fingerprint()
        if request_fingerprint is None:
            return None
        now = self._context.now()
        verdict: ledger.Verdict = self._context.call(
            lambda: entry.ledger.verdict(request_fingerprint, now)
        )
        if not verdict.held_s:
            return None
        self._context.increment("held_back")
        return events.Denied(
            code=result_codes.Code.ENDS_TARGETS, retry_after=verdict.held_s
        )

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
        self._context.increment("engine_ends")
        request_fingerprint = fingerprint.compute(self._request.subject)
        target = ledger.Incarnation(f"{name}/{inc}", result.engine_end)
        entry, now = self._context.entry, self._context.now()
        self._context.tell(
            lambda: self._context.perform(
                entry.record_crash(request_fingerprint, target, now)
            )
        )

    def record_complete_answer(self) -> None:
        """Record that the request was answered completely."""
        request_fingerprint = self._find_fingerprint()
        if request_fingerprint is None:
            return
        entry, now = self._context.entry, self._context.now()
        self._context.tell(
            lambda: self._context.perform(
                entry.record_complete_answer(request_fingerprint, now)
            )
        )

    def _find_fingerprint(self) -> fingerprint.Fingerprint | None:
        return self._context.entry.ledger.find(self._request.subject)
