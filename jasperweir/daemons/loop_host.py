"""Event loop, link, clock, signals and logs of one deployed process."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import math
import os
import random
import signal
from typing import Any

from jasperweir import core
from jasperweir.daemons import deployed
from jasperweir.helpers import clocks
from jasperweir.helpers import http_server
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import logs
from jasperweir.helpers import loop_link
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("host")

# Log lines leave the process this often, seconds.
LOG_FLUSH_SECONDS = 0.25
# An alarm is never sooner than this, so that nothing spins, seconds.
LEAST_PAUSE_SECONDS = 0.005
# A function that failed is called again after this long, seconds.
RETRY_SECONDS = 0.25
# Connections are checked for their age this often, seconds.
AGE_CHECK_SECONDS = 0.5
# What has been sent and received is logged this often, seconds: for a look at
# what a site's own messages cost.
TRAFFIC_LOG_SECONDS = 30.0
# Kinds of message, by bytes, that this line names.
KINDS_LOGGED = 6


class Alarm:
    """Call a function at the next time at which it has something to do."""

    def __init__(self, *, host: "LoopHost", func: Callable[[], None]) -> None:
        """Begin without a time; ``func`` sets the next one itself."""
        self._host = host
        self._func = func
        self._at = math.inf
        self._handle: asyncio.TimerHandle | None = None

    def set(self, at: float) -> None:
        """Call at a time, or sooner if that was set before.

        Args:
            at: Monotonic seconds.
        """
        if at >= self._at:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._at = at
        delay_s = max(at - self._host.now(), LEAST_PAUSE_SECONDS)
        self._handle = self._host.after(delay_s, self._run)

    def _run(self) -> None:
        self._at = math.inf
        self._handle = None
        try:
            self._func()
        except Exception:
            # It did not come to set its next time.
            self.set(self._host.now() + RETRY_SECONDS)
            raise


class LoopHost:
    """What every deployed process needs besides its own decisions.

    Pykka's actors are threads; here one event loop does their part, since
    one thread runs at a time on these VMs and each hand-over costs a wake.

    Attributes:
        clock: Time source.
        rng: Random source.
        link: Frames to and from our other processes.
        metrics: Counters and histograms.
        pages: Further pages at the address of the metrics, by path.
    """

    def __init__(
        self,
        *,
        cfg: deployed.NodeSettings,
        on_frame: Callable[[str, Any], None],
        level: str = "info",
    ) -> None:
        self.cfg = cfg
        self.clock = core.SystemClock()
        seed = int.from_bytes(os.urandom(8), "little")
        self.rng = random.Random(seed)
        self.incarnation = self.rng.getrandbits(31) | 1
        self.pages: dict[str, http_server.Handler] = {}
        self.metrics = metrics_lib.Metrics(labels={"node": cfg.machine})
        self._logs = logs.setup_bounded(level=level, node=cfg.machine)
        self._on_frame = on_frame
        self._loop: asyncio.AbstractEventLoop | None = None
        self._servers: list[http_server.Server] = []
        self._checks_ages = False
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
        """Start the link, the metrics page and the signal handlers."""
        self._loop = asyncio.get_running_loop()
        self._loop.add_signal_handler(signal.SIGTERM, on_stop)
        self._loop.add_signal_handler(signal.SIGINT, on_stop)
        self._loop.add_signal_handler(signal.SIGHUP, on_reload)
        self.link.start()
        self._logs.on_first = self._flush_later
        self._flush_logs()
        self.every(TRAFFIC_LOG_SECONDS, self._log_traffic)
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
        """Listen on an address."""
        server = http_server.Server(address=address, handler=handler)
        server.on_first = self._check_ages_later
        await server.start()
        self._servers.append(server)
        return server

    def every(self, seconds: float, func: Callable[[], None]) -> None:
        """Call a function again and again; its errors are logged."""

        def run() -> None:
            self.after(seconds, run)
            func()

        self.after(seconds, run)

    def after(
        self, seconds: float, func: Callable[[], None]
    ) -> asyncio.TimerHandle:
        """Call a function once; an error of it is logged."""
        assert self._loop is not None

        def run() -> None:
            self._timers_run += 1
            try:
                func()
            except Exception:  # noqa: BLE001
                _log.exception("error in a timed task")
                self.metrics.inc("errors")

        return self._loop.call_later(seconds, run)

    def alarm(self, func: Callable[[], None]) -> "Alarm":
        """Return a timer for a function that is due at changing times."""
        return Alarm(host=self, func=func)

    def send(self, act: core.Send) -> None:
        """Send a message to a node, whose name is its address."""
        self.link.learn(act.dst, act.dst)
        self.link.send(act.dst, act.msg)

    def stop(self) -> None:
        """Close the link and write the last log lines."""
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
        """Return the bytes of the most costly kinds of message."""
        kinds = sorted(
            self.link.by_kind.items(), key=lambda item: -item[1].size
        )
        return {
            f"{way} {kind}": seen.size
            for (way, kind), seen in kinds[:KINDS_LOGGED]
        }

    def _receive(self, received: link_lib.Received) -> None:
        try:
            self._on_frame(received.env.src, received.msg)
        except Exception:  # noqa: BLE001
            _log.exception("error on a frame", kind=received.env.kind)
            self.metrics.inc("errors")

    def _check_ages_later(self) -> None:
        """Look at the age of connections as long as there are any."""
        if self._checks_ages or self._loop is None:
            return
        self._checks_ages = True
        self._loop.call_later(AGE_CHECK_SECONDS, self._check_ages)

    def _check_ages(self) -> None:
        self._checks_ages = False
        for server in self._servers:
            server.check_ages()
        if any(server.connections for server in self._servers):
            self._check_ages_later()

    def _flush_later(self) -> None:
        assert self._loop is not None
        if not self._loop.is_closed():
            self._loop.call_later(LOG_FLUSH_SECONDS, self._flush_logs)

    def _flush_logs(self) -> None:
        if not self._logs.flush():
            self._flush_later()

    def _note_traffic(self) -> None:
        """Copy the link's counters into the metrics."""
        for kind, count in self.link.counters.items():
            self.metrics.gauge("link_frames", float(count), kind=kind)
        for (way, kind), seen in self.link.by_kind.items():
            labels = {"way": way, "kind": kind}
            self.metrics.gauge("link_kind_frames", seen.frames, **labels)
            self.metrics.gauge("link_kind_bytes", seen.size, **labels)

    def _on_metrics(self, answering: http_server.ResponseWriter) -> None:
        page = self.pages.get(answering.request.path)
        if page is not None:
            page(answering)
            return
        self._note_traffic()
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        answering.reply(200, headers, self.metrics.render())


class ElapsedLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers count suspensions of the VM.

    The kernel's own waits do not: a timer that came due meanwhile runs when
    the loop wakes next, which the shortest running timer decides.
    """

    def time(self) -> float:
        """Return the time by which timers are due, in seconds."""
        return clocks.elapsed()


def run(main: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a process's coroutine on a loop that counts suspensions."""
    with asyncio.Runner(loop_factory=ElapsedLoop) as runner:
        return runner.run(main())
