"""Runtime of a deployed process: event loop, link, signals and logs."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import math
import os
import random
import signal
from typing import Any

from jasperweir import core
from jasperweir.daemons import node_settings
from jasperweir.helpers import clocks
from jasperweir.helpers import http_server
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import logs
from jasperweir.helpers import loop_link
from jasperweir.helpers import metrics as metrics_lib
from jasperweir.helpers import request_memory

_log = logs.logger("host")

# Interval at which buffered log lines are written, seconds.
LOG_FLUSH_SECONDS = 0.25
# Shortest delay of a timer, which prevents busy loops, seconds.
MIN_DELAY_SECONDS = 0.005
# Delay until a timer's function is called again after an error, seconds.
RETRY_SECONDS = 0.25
# Interval of the check for timed-out connections, seconds.
AGE_CHECK_SECONDS = 0.5
# Interval at which the traffic between processes is logged, seconds.
TRAFFIC_LOG_SECONDS = 30.0
# Number of message kinds with the most bytes in the traffic log line.
MAX_LOGGED_KINDS = 6


class WakeupTimer:
    """One-shot timer that can be moved to an earlier time.

    The function schedules its next call itself. If it raises an exception, it
    is called again after RETRY_SECONDS.
    """

    def __init__(self, *, host: "LoopHost", func: Callable[[], None]) -> None:
        """Create an unscheduled timer.

        Args:
            host: Source of time and delayed calls.
            func: Function to call when the timer is due.
        """
        self._host = host
        self._func = func
        self._due_at = math.inf
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self, at: float) -> None:
        """Schedule the call; an earlier scheduled time stays.

        Args:
            at: Due time in monotonic seconds.
        """
        if at >= self._due_at:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._due_at = at
        delay_s = max(at - self._host.now(), MIN_DELAY_SECONDS)
        self._handle = self._host.call_later(delay_s, self._run)

    def _run(self) -> None:
        self._due_at = math.inf
        self._handle = None
        try:
            self._func()
        except Exception:
            # The function may have failed before it scheduled its next call.
            self.schedule(self._host.now() + RETRY_SECONDS)
            raise


class LoopHost:
    """Runtime of a deployed process on one event loop.

    An event loop replaces the actor threads of base.Host, because threads do
    not run in parallel on these VMs and each switch costs a wake-up.

    Attributes:
        clock: Time source.
        rng: Random source.
        cfg: Settings of the process.
        incarnation: Random odd number that identifies this start.
        link: Connections to other Jasperweir processes.
        metrics: Counters, gauges and histograms.
        pages: Additional handlers on the metrics address, by path.
        memory: Account of the connections to all servers of the process.
    """

    def __init__(
        self,
        *,
        cfg: node_settings.NodeSettings,
        on_frame: Callable[[str, Any], None],
        level: str = "info",
        shares: request_memory.Shares = request_memory.OTHER_SHARES,
    ) -> None:
        """Initialize a process that is not started.

        Args:
            cfg: Settings of the process.
            on_frame: Called with the sender and each message.
            level: Lowest level of log lines.
            shares: Shares of the VM's memory for connections.
        """
        self.cfg = cfg
        self.memory = request_memory.RequestMemory(
            limits=request_memory.derive_limits(
                memory_mb=cfg.limits.memory_mb,
                descriptors=cfg.limits.descriptors,
                shares=shares,
            )
        )
        self.clock = core.SystemClock()
        seed = int.from_bytes(os.urandom(8), "little")
        self.rng = random.Random(seed)
        self.incarnation = self.rng.getrandbits(31) | 1
        self.pages: dict[str, http_server.Handler] = {}
        self.metrics = metrics_lib.Metrics(labels={"node": cfg.machine})
        self._logs = logs.setup_bounded(level=level, node=cfg.machine)
        self._on_frame = on_frame
        # Limits that were met, as last logged.
        self._closed_logged: collections.Counter[str] = collections.Counter()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._servers: list[http_server.Server] = []
        self._age_check_scheduled = False
        self._timers_run = 0
        self.link = loop_link.LoopLink(
            name=cfg.internal,
            address=cfg.internal,
            incarnation=lambda: self.incarnation,
            deliver=self._receive,
            liveness=link_lib.Liveness(),
        )
        for seed_name in cfg.seeds:
            self.link.learn(seed_name, seed_name)

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.monotonic()

    async def start(
        self, *, on_stop: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Start the link, the metrics page and the signal handlers.

        Args:
            on_stop: Called on SIGTERM and SIGINT.
            on_reload: Called on SIGHUP.
        """
        self._loop = asyncio.get_running_loop()
        self._loop.add_signal_handler(signal.SIGTERM, on_stop)
        self._loop.add_signal_handler(signal.SIGINT, on_stop)
        self._loop.add_signal_handler(signal.SIGHUP, on_reload)
        self.link.start()
        self._logs.on_first = self._schedule_flush
        self.flush_logs()
        self.call_every(TRAFFIC_LOG_SECONDS, self._log_traffic)
        await self.serve(self.cfg.metrics, self._on_metrics)
        _log.info(
            "started",
            role=type(self).__name__,
            internal=self.cfg.internal,
            incarnation=self.incarnation,
            seeds=list(self.cfg.seeds),
        )

    async def serve(
        self, address: str, handler: http_server.Handler
    ) -> http_server.Server:
        """Start an HTTP server on an address."""
        server = http_server.Server(
            address=address, handler=handler, memory=self.memory
        )
        server.on_first = self._schedule_age_check
        await server.start()
        self._servers.append(server)
        return server

    def call_every(self, seconds: float, func: Callable[[], None]) -> None:
        """Call a function periodically; exceptions are logged."""

        def run() -> None:
            self.call_later(seconds, run)
            func()

        self.call_later(seconds, run)

    def call_later(
        self, seconds: float, func: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Call a function once after a delay; an exception is logged."""
        assert self._loop is not None

        def run() -> None:
            self._timers_run += 1
            try:
                func()
            except Exception:  # noqa: BLE001
                _log.exception("error in a timer callback")
                self.metrics.inc("errors")

        return self._loop.call_later(seconds, run)

    def make_timer(self, func: Callable[[], None]) -> "WakeupTimer":
        """Return a timer whose function schedules its own next call."""
        return WakeupTimer(host=self, func=func)

    def send(self, act: core.Send) -> None:
        """Send a message to a node; the node's name is its address."""
        self.link.learn(act.dst, act.dst)
        self.link.send(act.dst, act.msg)

    def send_all(self, names: list[str], msg: Any) -> None:
        """Send a message to several nodes."""
        for name in names:
            self.link.learn(name, name)
        self.link.send_all(names, msg)

    def stop(self) -> None:
        """Log the traffic, flush the log and stop the link."""
        self._log_traffic()
        _log.info("stopped")
        self._logs.flush()
        self.link.stop()

    def _log_traffic(self) -> None:
        _log.info(
            "traffic so far",
            timers_run=self._timers_run,
            frames_in=self.link.counters["frames_in"],
            frames_out=self.link.counters["frames_out"],
            bytes=self._bytes_by_kind(),
        )

    def _bytes_by_kind(self) -> dict[str, int]:
        """Return bytes by direction and kind, for the kinds with the most."""
        kinds = sorted(
            self.link.by_kind.items(), key=lambda item: -item[1].size
        )
        return {
            f"{direction} {kind}": traffic.size
            for (direction, kind), traffic in kinds[:MAX_LOGGED_KINDS]
        }

    def _receive(self, received: link_lib.Received) -> None:
        try:
            self._on_frame(received.env.src, received.msg)
        except Exception:  # noqa: BLE001
            _log.exception(
                "error while a message was handled", kind=received.env.kind
            )
            self.metrics.inc("errors")

    def _schedule_age_check(self) -> None:
        """Schedule the next check of connections for timeouts."""
        if self._age_check_scheduled or self._loop is None:
            return
        self._age_check_scheduled = True
        self._loop.call_later(AGE_CHECK_SECONDS, self._check_ages)

    def _check_ages(self) -> None:
        self._age_check_scheduled = False
        for server in self._servers:
            server.check_ages()
        self._log_closed()
        if any(server.connections for server in self._servers):
            self._schedule_age_check()

    def _log_closed(self) -> None:
        """Log which limits on connections were met since the last call."""
        closed = self.memory.closed
        if closed == self._closed_logged:
            return
        self._closed_logged = closed.copy()
        _log.warning(
            "connections closed by a limit",
            **closed,
            request_bytes=self.memory.requests,
            unsent_bytes=self.memory.unsent.total,
            open=sum(len(server.connections) for server in self._servers),
        )

    def _schedule_flush(self) -> None:
        assert self._loop is not None
        if not self._loop.is_closed():
            self._loop.call_later(LOG_FLUSH_SECONDS, self.flush_logs)

    def flush_logs(self) -> None:
        """Write what is logged, or later if the reader is slow."""
        if not self._logs.flush():
            self._schedule_flush()

    def _export_link_metrics(self) -> None:
        """Copy the link's counters into the metrics."""
        for kind, count in self.link.counters.items():
            self.metrics.gauge("link_frames", float(count), kind=kind)
        for (direction, kind), traffic in self.link.by_kind.items():
            labels = {"way": direction, "kind": kind}
            self.metrics.gauge("link_kind_frames", traffic.frames, **labels)
            self.metrics.gauge("link_kind_bytes", traffic.size, **labels)

    def _export_memory_metrics(self) -> None:
        """Copy the account of connections into the metrics."""
        self.metrics.gauge("request_bytes", float(self.memory.requests))
        self.metrics.gauge("unsent_bytes", float(self.memory.unsent.total))
        for limit, count in self.memory.closed.items():
            self.metrics.gauge("closed_by_limit", float(count), limit=limit)

    def _on_metrics(self, answering: http_server.ResponseWriter) -> None:
        page = self.pages.get(answering.request.path)
        if page is not None:
            page(answering)
            return
        self._export_link_metrics()
        self._export_memory_metrics()
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        answering.reply(200, headers, self.metrics.render())


class SuspendAwareEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers include the time for which the VM is suspended.

    The kernel's wait excludes it, so a timer that becomes due during a
    suspension runs at the loop's next wake-up.
    """

    def time(self) -> float:
        """Return seconds, including suspensions of the VM."""
        return clocks.elapsed()


def run(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine on a SuspendAwareEventLoop and return its result."""
    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        return runner.run(main())
