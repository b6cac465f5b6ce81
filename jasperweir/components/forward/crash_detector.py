"""Detection of crashed targets and of the requests that ran there.

A target has crashed if its connections broke and its address no longer
accepts new ones.
"""

import asyncio
from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from jasperweir import core
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import quarantine_enforcer
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.quarantine import suspects as suspects_lib
from jasperweir.helpers import http_client

if TYPE_CHECKING:
    from jasperweir.components.forward import exchange as exchange_lib


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
        quarantine: Marks on the requests under which targets crashed.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        pool: http_client.ConnectionPool,
        directory: directory_lib.Directory,
        recorder: recorder_lib.Recorder,
        quarantine: quarantine_lib.Quarantine,
    ) -> None:
        self.quarantine = quarantine
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._recorder = recorder
        self._suspects = suspects_lib.Suspects()
        self._checks: set[asyncio.Task[None]] = set()
        # What to call once a target was checked, by target and start.
        self._on_checked: dict[tuple[str, int], list[Callable[[], None]]] = {}

    @property
    def ledger(self) -> ledger_lib.Ledger:
        """Fingerprints of requests under which targets crashed."""
        return self.quarantine.ledger

    def on_broken(
        self,
        exchange: "exchange_lib.Exchange",
        target: records.Target,
        sent_at: float,
        on_checked: Callable[[], None] | None,
    ) -> None:
        """Record a request whose connection broke before its response ended.

        Args:
            exchange: The request.
            target: The target.
            sent_at: When the request was sent, monotonic seconds.
            on_checked: Called once it is known whether the target has crashed.
        """
        current = self._directory.get(target.target_id)
        if current is None or current.presence is not records.Presence.READY:
            # A target that is shutting down closes connections by itself.
            if on_checked is not None:
                on_checked()
            return
        if on_checked is not None:
            key = (target.target_id, target.born)
            self._on_checked.setdefault(key, []).append(on_checked)
        request, attempt = self._describe(exchange, sent_at)
        if not self._suspects.on_broken(target, request, attempt):
            return
        task = asyncio.get_running_loop().create_task(
            self._check_target(target)
        )
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def on_abandoned(
        self,
        exchange: "exchange_lib.Exchange",
        target: records.Target,
        sent_at: float,
    ) -> None:
        """Record a request that was cancelled before any response."""
        request, attempt = self._describe(exchange, sent_at)
        self._suspects.on_abandoned(target, request, attempt)

    def _describe(
        self, exchange: "exchange_lib.Exchange", sent_at: float
    ) -> tuple[fingerprint.Fingerprint, suspects_lib.Attempt]:
        """Return what is recorded of an attempt that ends now."""
        subject = quarantine_enforcer.build_subject(exchange)
        caller_headers = exchange.state.caller_headers
        now = self._clock.monotonic()
        attempt = suspects_lib.Attempt(
            request_id=caller_headers.request_id,
            began_at=sent_at,
            broke_at=now,
            parts=fingerprint.compute_parts(subject),
            prompt_tokens=caller_headers.prompt_tokens,
            events=exchange.progress.events,
            is_settled=exchange.progress.is_settled_at(now),
        )
        return fingerprint.compute(subject), attempt

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
        key = (target.target_id, target.born)
        for on_checked in self._on_checked.pop(key, ()):
            on_checked()

    def tick(self, now: float) -> None:
        """Expire old records and add marks for targets found to be gone."""
        self.quarantine.tick(now)
        if len(self.ledger):
            self.quarantine.builds = frozenset(
                quarantine_lib.build_of(target.service, target.build)
                for target in self._directory.targets()
                if target.presence is records.Presence.READY
            )
        cases = self._suspects.pop_replaced(
            lambda service: self._directory.list_ready(service, now), now
        )
        for case in cases:
            self._recorder.record_probe(case, ProbeResult.REPLACED.value)
            self._add_marks(case)

    def _add_marks(self, case: suspects_lib.Case) -> None:
        target = case.target
        build = quarantine_lib.build_of(target.service, target.build)
        self.quarantine.on_crash(case, build, self._clock.monotonic())

    async def _probe(self, target: records.Target) -> ProbeResult:
        try:
            conn = await self._pool.open(target.address)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except OSError:
            return ProbeResult.NO_REPLY
        conn.close()
        return ProbeResult.ACCEPTED
