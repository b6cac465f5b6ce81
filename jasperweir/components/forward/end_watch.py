"""Find out which targets end, and which requests ran there when they did."""

import asyncio
import enum
from typing import TYPE_CHECKING

from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import record as record_lib
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import suspects as suspects_lib
from jasperweir.helpers import http_client

if TYPE_CHECKING:
    from jasperweir.components.forward import exchange as exchange_lib


class Sign(enum.Enum):
    """What a new connection to a target showed."""

    # Nothing listens there any more.
    ENDED = "ended"
    # It was accepted.
    LISTENS = "listens"
    # There was no answer in time: a cut, or a lost machine.
    NONE = "none"


class EndWatch:
    """Check targets whose connections break."""

    def __init__(
        self,
        *,
        pool: http_client.Pool,
        directory: directory_lib.Directory,
        record: record_lib.Recorder,
    ) -> None:
        self._pool = pool
        self._directory = directory
        self._record = record
        self._suspects = suspects_lib.Suspects()
        self._checks: set[asyncio.Task[None]] = set()

    def on_broken(
        self, exchange: "exchange_lib.Exchange", target: records.Target
    ) -> None:
        """Note a request whose connection broke before its answer was whole."""
        known = self._directory.get(target.target_id)
        if known is None or known.presence is not records.Presence.READY:
            # It leaves, which is no request's doing.
            return
        customer = exchange.life.match.customer
        found = fingerprint.of(
            exchange.request, customer.name if customer else ""
        )
        request_id = exchange.life.ask.request_id
        if not self._suspects.on_broken(target, found, request_id):
            return
        check = asyncio.get_running_loop().create_task(self._check(target))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, target: records.Target) -> None:
        await asyncio.sleep(const.CHECK_SECONDS)
        sign = await self._sign(target)
        case = self._suspects.on_checked(target)
        if case is not None:
            self._record.checked(case, sign.value)

    async def _sign(self, target: records.Target) -> Sign:
        try:
            conn = await self._pool.open(target.address)
        except ConnectionRefusedError:
            return Sign.ENDED
        except OSError:
            return Sign.NONE
        conn.close()
        return Sign.LISTENS
