"""Find out which targets end, and which requests ran there when they did."""

import asyncio
from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import record as record_lib
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.components.quarantine import suspects as suspects_lib
from jasperweir.helpers import http_client

if TYPE_CHECKING:
    from jasperweir.components.forward import exchange as exchange_lib


Marks = tuple[messages.Mark, ...]


class Sign(enum.Enum):
    """What a new connection to a target showed."""

    # Nothing listens there any more.
    ENDED = "ended"
    # It was accepted.
    LISTENS = "listens"
    # There was no answer in time: a cut, or a lost machine.
    NONE = "none"
    # There was none, and then another incarnation came to its address.
    REPLACED = "replaced"


class EndWatch:
    """Check targets whose connections break, and remember who ran there.

    Attributes:
        ledger: Requests under which targets ended.
        on_marks: Called with what other processes are to be told.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        pool: http_client.ConnectionPool,
        directory: directory_lib.Directory,
        record: record_lib.Recorder,
    ) -> None:
        self.ledger = ledger_lib.Ledger()
        self.on_marks: Callable[[Marks], None] = lambda _: None
        self._clock = clock
        self._pool = pool
        self._directory = directory
        self._record = record
        self._suspects = suspects_lib.Suspects()
        self._checks: set[asyncio.Task[None]] = set()

    def verdict(
        self, exchange: "exchange_lib.Exchange", now: float
    ) -> ledger_lib.Verdict:
        """Tell whether a request is kept from targets."""
        found = self._known(exchange)
        if found is None:
            return ledger_lib.Verdict(0, 0.0)
        return self.ledger.verdict(found, now)

    def hold_back(self, exchange: "exchange_lib.Exchange", now: float) -> bool:
        """Refuse a request under which targets have ended.

        Without it one request that comes back every few seconds ends one target
        each time, which is away for seconds and stops its group of ranks.
        """
        verdict = self.verdict(exchange, now)
        if not verdict.held_s:
            return False
        self._record.held_back(exchange, verdict)
        exchange.give_up(result_codes.Code.ENDS_TARGETS)
        return True

    def on_broken(
        self,
        exchange: "exchange_lib.Exchange",
        target: records.Target,
        sent_at: float,
    ) -> None:
        """Note a request whose connection broke before its answer was whole."""
        known = self._directory.get(target.target_id)
        if known is None or known.presence is not records.Presence.READY:
            # It leaves, which is no request's doing.
            return
        found = fingerprint.of(_subject(exchange))
        now = self._clock.monotonic()
        broken = suspects_lib.Try(exchange.life.ask.request_id, sent_at, now)
        if not self._suspects.on_broken(target, found, broken):
            return
        check = asyncio.get_running_loop().create_task(self._check(target))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def on_answer(self, target: records.Target, sent_at: float) -> None:
        """Note that a target answers what it was sent at a time."""
        if len(self.ledger):
            now = self._clock.monotonic()
            marks = self.ledger.lives(_incarnation(target), sent_at, now)
            self._tell(marks)

    def on_whole(self, exchange: "exchange_lib.Exchange") -> None:
        """Note that a request was answered whole, and well."""
        found = self._known(exchange)
        if found is not None:
            self._tell(self.ledger.absolve(found, self._clock.monotonic()))

    def _known(
        self, exchange: "exchange_lib.Exchange"
    ) -> fingerprint.Fingerprint | None:
        """Return a request's fingerprint if it may be remembered."""
        return self.ledger.find(_subject(exchange))

    async def _check(self, target: records.Target) -> None:
        await asyncio.sleep(const.CHECK_SECONDS)
        sign = await self._sign(target)
        case = self._suspects.on_checked(target)
        if case is None:
            return
        self._record.checked(case, sign.value)
        if sign is Sign.ENDED:
            self._mark(case)
        elif sign is Sign.NONE:
            self._suspects.keep(case, self._clock.monotonic())

    def tick(self, now: float) -> None:
        """Forget what is old; mark what has become clear since."""
        self.ledger.tick(now)
        cases = self._suspects.cleared(
            lambda service: self._directory.serving(service, now), now
        )
        for case in cases:
            self._record.checked(case, Sign.REPLACED.value)
            self._mark(case)

    def _mark(self, case: suspects_lib.Case) -> None:
        now = self._clock.monotonic()
        incarnation = _incarnation(case.target)
        for found, broken in case.suspects.items():
            run = ledger_lib.Run(
                ended_s=now - broken.broke_at,
                took_s=broken.broke_at - broken.began_at,
            )
            self._tell(self.ledger.add(found, incarnation, now, run))

    def _tell(self, marks: Marks) -> None:
        if marks:
            self.on_marks(marks)

    async def _sign(self, target: records.Target) -> Sign:
        try:
            conn = await self._pool.open(target.address)
        except ConnectionRefusedError:
            return Sign.ENDED
        except OSError:
            return Sign.NONE
        conn.close()
        return Sign.LISTENS


def _subject(exchange: "exchange_lib.Exchange") -> fingerprint.Subject:
    return fingerprint.subject(exchange.request, exchange.life.customer_name)


def _incarnation(target: records.Target) -> ledger_lib.Incarnation:
    return ledger_lib.Incarnation(target.target_id, target.born)
