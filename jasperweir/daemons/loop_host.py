"""Event loop, link, clock, signals and logs of one deployed process."""

import asyncio
from collections.abc import Callable
import os
import random
import signal
from typing import Any

from jasperweir import core
from jasperweir.daemons import deployed
from jasperweir.helpers import http_server
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("host")

# Log lines leave the process this often, seconds.
LOG_FLUSH_SECONDS = 0.25
# Connections are checked for their age this often, seconds.
AGE_CHECK_SECONDS = 0.5


class LoopHost:
    """What every deployed process needs besides its own decisions.

    Pykka's actors are threads; here one event loop does their part, since
    one thread runs at a time on these VMs and each hand-over costs a wake.

    Attributes:
        clock: Time source.
        rng: Random source.
        link: Frames to and from our other processes.
        metrics: Counters and histograms.
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
        self.metrics = metrics_lib.Metrics(labels={"node": cfg.machine})
        self._logs = logs.setup_bounded(level=level, node=cfg.machine)
        self._on_frame = on_frame
        self._loop: asyncio.AbstractEventLoop | None = None
        self._servers: list[http_server.Server] = []
        self.link = link_lib.Link(
            name=cfg.internal,
            address=cfg.internal,
            incarnation=lambda: self.incarnation,
            deliver=self._deliver,
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
        self.every(LOG_FLUSH_SECONDS, self._logs.flush)
        self.every(AGE_CHECK_SECONDS, self._check_ages)
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
        await server.start()
        self._servers.append(server)
        return server

    def every(self, seconds: float, func: Callable[[], None]) -> None:
        """Call a function again and again; its errors are logged."""
        assert self._loop is not None
        loop = self._loop

        def run() -> None:
            loop.call_later(seconds, run)
            try:
                func()
            except Exception:  # noqa: BLE001
                _log.exception("error in a periodic task")
                self.metrics.inc("errors")

        loop.call_later(seconds, run)

    def send(self, act: core.Send) -> None:
        """Send a message to a node, whose name is its address."""
        self.link.learn(act.dst, act.dst)
        self.link.send(act.dst, act.msg)

    def stop(self) -> None:
        """Close the link and write the last log lines."""
        _log.info("stopped")
        self._logs.flush()
        self.link.stop()

    def _deliver(self, received: link_lib.Received) -> None:
        assert self._loop is not None
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(self._receive, received)

    def _receive(self, received: link_lib.Received) -> None:
        try:
            self._on_frame(received.env.src, received.msg)
        except Exception:  # noqa: BLE001
            _log.exception("error on a frame", kind=received.env.kind)
            self.metrics.inc("errors")

    def _check_ages(self) -> None:
        for server in self._servers:
            server.check_ages()
        for kind, count in self.link.counters.items():
            self.metrics.gauge("link_frames", float(count), kind=kind)

    def _on_metrics(self, answering: http_server.Answering) -> None:
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        answering.reply(200, headers, self.metrics.render())
