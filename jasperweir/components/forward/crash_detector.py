"""Detection of crashed targets and of the requests that ran there.

A target has crashed if its connections broke and its address no longer
accepts new ones.
"""

import asyncio
from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.components.quarantine import suspects as suspects_lib
from jasperweir.helpers import http_client

if TYPE_CHECKING:
    from jasperweir.components.forward import exchange as exchange_lib


Marks = tuple[messages.Mark, ...]


class ProbeResult(enum.Enum):
    """Result of a new connection to a target whose connections broke."""

    # The connection was refused: the process has ended.
    REFUSED = "ended"
    # The connection was accepted.
    ACCEPTED = "listens"
    # No reply in time: a network partition or a lost VM.
    NO_REPLY = "none"
    # No reply, and another target has since taken over the address.
    REPLACED = "replaced"


class CrashDetector:
    """Probes targets whose connections break and records the affected requests.

    Attributes:
        ledger: Fingerprints of requests under which targets crashed.
        on_marks: Called with the marks to send to other processes.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        pool: http_client.ConnectionPool,
        directory: directory_lib.Directory,
        recorder: recorder_lib.Recorder,
    ) -> None:
        self.ledger = ledger_lib.Ledger()
        self.on_marks: Callable[[Marks], None] = lambda _: None
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._recorder = recorder
        self._suspects = suspects_lib.Suspects()
        self._checks: set[asyncio.Task[None]] = set()

    def find_verdict(
        self, exchange: "exchange_lib.Exchange", now: float
    ) -> ledger_lib.Verdict:
        """Return the crashes under a request and its quarantine time."""
        request_fingerprint = self._find_fingerprint(exchange)
        if request_fingerprint is None:
            return ledger_lib.Verdict(0, 0.0)
        return self.ledger.verdict(request_fingerprint, now)

    def reject_if_quarantined(
        self, exchange: "exchange_lib.Exchange", now: float
    ) -> bool:
        """Reject a request under which several targets have crashed.

        This keeps a request that is retried every few seconds from crashing one
        target after another, each of which stops its group of ranks.

        Returns:
            Whether the request was rejected.
        """
        verdict = self.find_verdict(exchange, now)
        if not verdict.held_s:
            return False
        self._recorder.record_quarantined(exchange, verdict)
        exchange.fail(result_codes.Code.ENDS_TARGETS)
        return True

    def on_broken(
        self,
        exchange: "exchange_lib.Exchange",
        target: records.Target,
        sent_at: float,
    ) -> None:
        """Record a request whose connection broke before its response ended."""
        current = self._directory.get(target.target_id)
        if current is None or current.presence is not records.Presence.READY:
            # A target that is shutting down closes connections by itself.
            return
        subject = _build_subject(exchange)
        request_fingerprint = fingerprint.compute(subject)
        caller_headers = exchange.state.caller_headers
        attempt = suspects_lib.Attempt(
            request_id=caller_headers.request_id,
            began_at=sent_at,
            broke_at=self._clock.monotonic(),
            parts=fingerprint.compute_parts(subject),
            prompt_tokens=caller_headers.prompt_tokens,
            events=exchange.progress.events,
        )
        if not self._suspects.on_broken(target, request_fingerprint, attempt):
            return
        task = asyncio.get_running_loop().create_task(
            self._check_target(target)
        )
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def on_response(self, target: records.Target, sent_at: float) -> None:
        """Record that a target responded to a request sent at a given time."""
        if len(self.ledger):
            now = self._clock.monotonic()
            marks = self.ledger.record_alive(
                _build_incarnation(target), sent_at, now
            )
            self._publish(marks)

    def on_completed(self, exchange: "exchange_lib.Exchange") -> None:
        """Record that a request got a complete, successful response."""
        request_fingerprint = self._find_fingerprint(exchange)
        if request_fingerprint is not None:
            self._publish(
                self.ledger.clear_marks(
                    request_fingerprint, self._clock.monotonic()
                )
            )

    def _find_fingerprint(
        self, exchange: "exchange_lib.Exchange"
    ) -> fingerprint.Fingerprint | None:
        """Return a request's fingerprint if the ledger may contain it."""
        return self.ledger.find(_build_subject(exchange))

    async def _check_target(self, target: records.Target) -> None:
        await asyncio.sleep(const.CHECK_SECONDS)
        result = await self._probe(target)
        case = self._suspects.on_checked(target)
        if case is None:
            return
        self._recorder.record_probe(case, result.value)
        if result is ProbeResult.REFUSED:
            self._add_marks(case)
        elif result is ProbeResult.NO_REPLY:
            self._suspects.defer(case, self._clock.monotonic())

    def tick(self, now: float) -> None:
        """Expire old records and add marks for targets found to be gone."""
        self.ledger.tick(now)
        cases = self._suspects.pop_replaced(
            lambda service: self._directory.list_ready(service, now), now
        )
        for case in cases:
            self._recorder.record_probe(case, ProbeResult.REPLACED.value)
            self._add_marks(case)

    def _add_marks(self, case: suspects_lib.Case) -> None:
        now = self._clock.monotonic()
        incarnation = _build_incarnation(case.target)
        for request_fingerprint, attempt in case.suspects.items():
            run = ledger_lib.Run(
                ended_s=now - attempt.broke_at,
                took_s=attempt.broke_at - attempt.began_at,
            )
            self._publish(
                self.ledger.add(request_fingerprint, incarnation, now, run)
            )

    def _publish(self, marks: Marks) -> None:
        if marks:
            self.on_marks(marks)

    async def _probe(self, target: records.Target) -> ProbeResult:
        try:
            conn = await self._pool.open(target.address)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except OSError:
            return ProbeResult.NO_REPLY
        conn.close()
        return ProbeResult.ACCEPTED


def _build_subject(exchange: "exchange_lib.Exchange") -> fingerprint.Subject:
    return fingerprint.subject(
        exchange.request,
        exchange.state.customer_name,
        exchange.service,
        exchange.state.caller_headers.prompt_parts,
    )


def _build_incarnation(target: records.Target) -> ledger_lib.Incarnation:
    return ledger_lib.Incarnation(target.target_id, target.born)
