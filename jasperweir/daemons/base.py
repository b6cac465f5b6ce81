"""Parts shared by all daemons: link, actor, clock, metrics, signals."""

from collections.abc import Callable
import random
import signal
import threading
import time
from typing import Any
from typing import Protocol

from jasperweir import core
from jasperweir.components.membership import roster as roster_lib
from jasperweir.daemons import config
from jasperweir.helpers import actors
from jasperweir.helpers import link as link_lib
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib
from jasperweir.helpers import web

LINK_METRICS_SECONDS = 1.0
TICK_SECONDS = 0.2


class Stoppable(Protocol):
    """Daemon that supports a graceful stop."""

    def drain(self) -> None:
        """Start a graceful stop; further calls have no effect."""

    def wait(self) -> int:
        """Block until the daemon has stopped and return its exit code."""


class Host:
    """Sockets, actor and metrics of one node.

    Attributes:
        cfg: Settings common to all daemons.
        clock: Time source.
        log: Logger of the node.
        metrics: Counters and gauges served at /metrics.
        incarnation: Start time in Unix milliseconds, higher after each
            restart.
        rng: Random source, seeded from the settings if they name a seed.
        runner: Actor that processes all messages and ticks.
        link: Connections to other processes.
    """

    def __init__(
        self,
        *,
        cfg: config.CommonSettings,
        clock: core.Clock,
        tick_seconds: float = TICK_SECONDS,
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.log = logs.logger(cfg.name)
        self.metrics = metrics_lib.Metrics(labels={"node": cfg.name})
        self.incarnation = time.time_ns() // 1_000_000
        self.rng = random.Random(cfg.seed or self.incarnation)
        self.runner = actors.Runner(tick_seconds=tick_seconds)
        self.link = link_lib.Link(
            name=cfg.name,
            address=cfg.internal,
            incarnation=lambda: self.incarnation,
            deliver=self.runner.tell,
            keys=cfg.keys,
        )
        for peer in cfg.seeds:
            self.link.learn(peer.name, peer.addr)
        self._next_export_at = 0.0

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.monotonic()

    def send_all(
        self, acts: list[Any], roster: roster_lib.Roster | None = None
    ) -> None:
        """Send the messages among some actions.

        Args:
            acts: Actions; those other than Send are ignored.
            roster: Source of the recipients' addresses, if any.
        """
        for act in acts:
            if not isinstance(act, core.Send):
                continue
            if roster is not None:
                member = roster.get(act.dst)
                if member is not None:
                    self.link.learn(member.name, member.addr)
            self.link.send(act.dst, act.msg)

    def count_error(self, exc: Exception) -> None:
        """Count and log an unhandled exception."""
        self.metrics.inc("errors", kind=type(exc).__name__)
        self.log.error(f"unexpected {type(exc).__name__}: {exc}")

    def export_link_metrics(self, now: float) -> None:
        """Copy the link's counters into the metrics, at most once a second."""
        if now < self._next_export_at:
            return
        self._next_export_at = now + LINK_METRICS_SECONDS
        for name, value in self.link.counters.items():
            self.metrics.gauge("link_total", value, kind=name)

    def metrics_route(self) -> web.Route:
        """Return the route of /metrics."""
        return web.Route("GET", "/metrics", self._serve_metrics)

    def _serve_metrics(self, req: web.Req) -> web.Resp:
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return web.Resp(200, headers, self.metrics.render())


def run(daemon: Stoppable, ready: Callable[[], None]) -> int:
    """Run a daemon until SIGTERM or SIGINT and return its exit code.

    The first signal starts a graceful stop. Later ones are ignored, so that
    they do not cut off open requests.

    Args:
        daemon: The daemon.
        ready: Called once the signal handlers are installed.
    """
    stop_requested = threading.Event()

    def request_stop(signum: int, frame: object) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    ready()
    while not stop_requested.wait(0.2):
        continue
    daemon.drain()
    return daemon.wait()
