"""Clients that read engines and post orders to them over HTTP.

The agent on an engine's VM uses one; entries and the leader use them for
engines on other VMs.
"""

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

CLIENT_TIMES = http_client.ClientTimeouts(connect=0.15, dead_peer=1.0, idle=1.0)


class EngineDialect(Protocol):
    """Encodes orders for an engine and parses its responses.

    Attributes:
        STATE_TARGET: Request target of the engine's state.
        COUNTS_TARGET: Request target of the expert counts.
        PLACEMENT_TARGET: Request target of the placement of experts.
        ORDER_TARGET: Request target to which orders are posted.
    """

    STATE_TARGET: bytes
    COUNTS_TARGET: bytes
    PLACEMENT_TARGET: bytes
    ORDER_TARGET: bytes

    def state(self, body: bytes) -> messages.EngineState:
        """Parse the engine's state.

        Raises:
            ValueError: The body is malformed.
        """

    def counts(self, body: bytes) -> tuple[int, ...]:
        """Parse how often each expert was chosen.

        Raises:
            ValueError: The body is malformed.
        """

    def placement(self, body: bytes) -> tuple[tuple[int, ...], ...]:
        """Parse the experts that the engine holds, by expert set.

        Raises:
            ValueError: The body is malformed.
        """

    def order(self, post: order_executor.PostOrder) -> bytes:
        """Return the request body of an order."""


class EngineClient:
    """Reads the state of one engine and posts orders to it."""

    def __init__(
        self, *, address: str, dialect: EngineDialect, timeout_s: float
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._timeout_s = timeout_s
        self._pool = http_client.ConnectionPool(times=CLIENT_TIMES)
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background, referenced until it ends."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def execute(
        self,
        executor: order_executor.OrderExecutor,
        act: order_executor.ReadState | order_executor.PostOrder,
    ) -> order_executor.Actions:
        """Execute an action and return the executor's next actions."""
        match act:
            case order_executor.ReadState():
                state = await self.fetch_state()
                if state is None:
                    # Delays the next read if the engine is down or starting.
                    await asyncio.sleep(const.BUSY_READ_SECONDS)
                return executor.on_read(state)
            case order_executor.PostOrder():
                status = await self.post_order(act)
                return executor.on_answer(act.order, status)

    async def post_order(self, act: order_executor.PostOrder) -> int | None:
        """Post an order; return the HTTP status, None without a response."""
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

    async def fetch_state(self) -> messages.EngineState | None:
        """Return the engine's state, None if it cannot be read."""
        raw = await self.fetch(self._dialect.STATE_TARGET)
        if raw is None:
            return None
        try:
            return self._dialect.state(raw)
        except ValueError as exc:
            _log.warning("report cannot be read", reason=str(exc))
            return None

    async def fetch(self, target: bytes) -> bytes | None:
        """Return the body of a 200 response, None for any other outcome."""
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
    """Executes orders at an engine on another VM.

    Its executor takes no read as fresh: only the responses to orders confirm
    them.
    """

    def __init__(
        self,
        *,
        address: str,
        dialect: EngineDialect,
        send: Callable[[core.Send], None],
    ) -> None:
        self._executor = order_executor.OrderExecutor(reads_are_fresh=False)
        self._send = send
        self._client = EngineClient(
            address=address,
            dialect=dialect,
            timeout_s=const.ORDER_TIMEOUT_SECONDS,
        )

    def submit(self, src: str, request: messages.OrderRequest) -> None:
        """Execute an order; its result is sent to the node ``src``."""
        self._perform(self._executor.on_order(src, request))

    def _perform(self, acts: order_executor.Actions) -> None:
        for act in acts:
            match act:
                case core.Send():
                    self._send(act)
                case order_executor.ReadState() | order_executor.PostOrder():
                    self._client.spawn(self._execute(act))

    async def _execute(
        self, act: order_executor.ReadState | order_executor.PostOrder
    ) -> None:
        self._perform(await self._client.execute(self._executor, act))


class RemoteEngines:
    """Engines on other VMs by address, created on their first order."""

    def __init__(
        self, *, dialect: EngineDialect, send: Callable[[core.Send], None]
    ) -> None:
        self._dialect = dialect
        self._send = send
        self._engines: dict[str, RemoteEngine] = {}

    def submit(self, src: str, request: messages.OrderRequest) -> None:
        """Execute an order; its result is sent to the node ``src``."""
        engine = self._engines.get(request.engine)
        if engine is None:
            engine = RemoteEngine(
                address=request.engine, dialect=self._dialect, send=self._send
            )
            self._engines[request.engine] = engine
        engine.submit(src, request)
