"""Calls to one engine, for an agent or for a leader from afar."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Protocol

from jasperweir import core
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import order_executor
from jasperweir.helpers import http_client
from jasperweir.helpers import http_fetch
from jasperweir.helpers import logs

_log = logs.logger("engine")

ENGINE_TIMES = http_client.ClientTimeouts(connect=0.15, dead_peer=1.0, idle=1.0)


class EngineDialect(Protocol):
    """Translate between the engine's calls and types; decides nothing."""

    STATE_TARGET: bytes
    COUNTS_TARGET: bytes
    PLACEMENT_TARGET: bytes
    ORDER_TARGET: bytes

    def state(self, body: bytes) -> messages.EngineState:
        """Read a report.

        Raises:
            ValueError: It cannot be read.
        """

    def counts(self, body: bytes) -> tuple[int, ...]:
        """Read how often each expert was chosen.

        Raises:
            ValueError: It cannot be read.
        """

    def placement(self, body: bytes) -> tuple[tuple[int, ...], ...]:
        """Read the experts that the engine holds, by set.

        Raises:
            ValueError: It cannot be read.
        """

    def order(self, post: order_executor.PostOrder) -> bytes:
        """Return the body of an order."""


class EngineClient:
    """Read the state of an engine and give it orders."""

    def __init__(
        self, *, address: str, dialect: EngineDialect, timeout_s: float
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._timeout_s = timeout_s
        self._pool = http_client.ConnectionPool(times=ENGINE_TIMES)
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def carry_out(
        self,
        runner: order_executor.OrderExecutor,
        act: order_executor.ReadState | order_executor.PostOrder,
    ) -> order_executor.Actions:
        """Carry out a runner's action; return what it wants next."""
        match act:
            case order_executor.ReadState():
                state = await self.state()
                if state is None:
                    # An engine that is down or starting is asked again soon.
                    await asyncio.sleep(const.BUSY_READ_SECONDS)
                return runner.on_read(state)
            case order_executor.PostOrder():
                status = await self.post(act)
                return runner.on_answer(act.order, status)

    async def post(self, act: order_executor.PostOrder) -> int | None:
        """Give an order; return the answer's status, None without one."""
        status: int | None = None
        reason = ""
        try:
            status, _ = await http_fetch.fetch(
                self._pool,
                self._address,
                b"POST",
                self._dialect.ORDER_TARGET,
                self._dialect.order(act),
                self._timeout_s,
            )
        except OSError as exc:
            reason = str(exc)
        _log.info(
            "order given",
            order=type(act.order).__name__,
            engine=self._address,
            epoch=act.epoch,
            sequence=act.sequence,
            status=status,
            reason=reason,
        )
        return status

    async def state(self) -> messages.EngineState | None:
        """Return what the engine reports, None if it cannot be read."""
        raw = await self.get(self._dialect.STATE_TARGET)
        if raw is None:
            return None
        try:
            return self._dialect.state(raw)
        except ValueError as exc:
            _log.warning("report cannot be read", reason=str(exc))
            return None

    async def get(self, target: bytes) -> bytes | None:
        """Return the body of an answer, None without a good one."""
        try:
            status, body = await http_fetch.fetch(
                self._pool,
                self._address,
                b"GET",
                target,
                b"",
                self._timeout_s,
            )
        except OSError as exc:
            _log.info("engine not read", engine=self._address, reason=str(exc))
            return None
        return body if status == 200 else None


class RemoteEngine:
    """Give orders to an engine on another VM; answers alone tell."""

    def __init__(
        self,
        *,
        address: str,
        dialect: EngineDialect,
        send: Callable[[core.Send], None],
    ) -> None:
        self._runner = order_executor.OrderExecutor(reads_are_fresh=False)
        self._send = send
        self._client = EngineClient(
            address=address,
            dialect=dialect,
            timeout_s=const.ORDER_TIMEOUT_SECONDS,
        )

    def give(self, src: str, ask: messages.OrderRequest) -> None:
        """Give an order; its result is sent to who asked for it."""
        self._run(self._runner.on_order(src, ask))

    def _run(self, acts: order_executor.Actions) -> None:
        for act in acts:
            match act:
                case core.Send():
                    self._send(act)
                case order_executor.ReadState() | order_executor.PostOrder():
                    self._client.spawn(self._carry_out(act))

    async def _carry_out(
        self, act: order_executor.ReadState | order_executor.PostOrder
    ) -> None:
        self._run(await self._client.carry_out(self._runner, act))


class RemoteEngines:
    """Engines on other VMs, by address, each from its first order on."""

    def __init__(
        self, *, dialect: EngineDialect, send: Callable[[core.Send], None]
    ) -> None:
        self._dialect = dialect
        self._send = send
        self._engines: dict[str, RemoteEngine] = {}

    def give(self, src: str, ask: messages.OrderRequest) -> None:
        """Give an order; its result is sent to who asked for it."""
        engine = self._engines.get(ask.engine)
        if engine is None:
            engine = RemoteEngine(
                address=ask.engine, dialect=self._dialect, send=self._send
            )
            self._engines[ask.engine] = engine
        engine.give(src, ask)
