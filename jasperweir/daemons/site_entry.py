"""Deployed entry: callers' requests, address answers, readiness."""

import asyncio
from typing import Any
from typing import NamedTuple
from typing import Protocol
import zlib

from jasperweir import core
from jasperweir.components.address import entry_selection as near_lib
from jasperweir.components.balance import budget as budget_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.balance import neighbours as neighbours_lib
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.deployment import model
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import end_watch
from jasperweir.components.forward import forwarder as forwarder_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.quarantine import const as quarantine_const
from jasperweir.components.quarantine import messages as quarantine_messages
from jasperweir.components.quarantine import spread as spread_lib
from jasperweir.daemons import deployed
from jasperweir.daemons import engine_client
from jasperweir.daemons import held_page
from jasperweir.daemons import loop_host
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

_log = logs.logger("entry")

TICK_SECONDS = 0.02
# While it stops, what is still open is looked at this often, seconds.
STOP_TICK_SECONDS = 0.1
TIDY_SECONDS = 0.5
# Callers keep an address answer for this long, and some three times as long.
ANSWER_KEPT_SECONDS = 0.5
# An entry that stops serves those who still come for longer than any caller
# keeps an answer that names it, seconds.
STOP_SERVING_SECONDS = 4.5
# It ends this long before it would be ended, seconds.
STOP_MARGIN_SECONDS = 0.6


class Lookup(NamedTuple):
    """A caller asks which addresses to use."""

    host: str
    place: str


class EntryDialect(dialect_lib.Dialect, Protocol):
    """Translate what callers and the platform say to an entry."""

    def lookup(self, req: http_message.Request) -> Lookup | None:
        """Read a question for addresses; None if it is something else."""

    def addresses(self, found: list[str], kept_s: float) -> bytes:
        """Return the body of an address answer."""

    def deployment(self, raw: bytes) -> model.Deployment:
        """Read a configuration that a control VM has accepted."""


class SiteEntry:
    """Drive a Forwarder and a Follower with sockets."""

    def __init__(
        self,
        *,
        cfg: deployed.NodeSettings,
        dialect: EntryDialect,
        engines: engine_client.EngineDialect,
    ) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._host = loop_host.LoopHost(cfg=cfg, on_frame=self._on_frame)
        self._engines = engine_client.RemoteEngines(
            dialect=engines, send=self._host.send
        )
        node = records.Node(
            name=cfg.internal,
            kind=directory_const.KIND_ENTRY,
            place=cfg.place,
            caller_address=cfg.callers,
            open=False,
            incarnation=self._host.incarnation,
            sequence=0,
        )
        self._discovery = discovery_client.DiscoveryClient(
            node=node, seeds=cfg.seeds, now=self._host.now()
        )
        bounds = budget_lib.BudgetBounds(
            ratio=cfg.bounds.retry_ratio,
            burst=cfg.bounds.retry_burst,
            window_s=cfg.bounds.retry_window_s,
        )
        self._forwarder = forwarder_lib.Forwarder(
            clock=self._host.clock,
            rng=self._host.rng,
            dialect=dialect,
            directory=self._discovery.directory,
            neighbours=neighbours_lib.Neighbours(
                name=cfg.internal, place=cfg.place
            ),
            bounds=bounds,
            times=http_client.ClientTimeouts(),
            metrics=self._host.metrics,
        )
        self._share_due = False
        self._forwarder.balancer.on_change = self._on_load_change
        self._forwarder.is_certain = self._is_certain
        self._forwarder.notes.on_replaced = self._on_replaced
        self._forwarder.notes.on_leaving = self._on_leaving
        self._forwarder.on_work = self._tick_soon
        self._forwarder.ends.on_marks = self._on_marks
        ledger = self._forwarder.ends.ledger
        self._spread = spread_lib.EntrySpread(ledger=ledger)
        page = held_page.HeldPage(
            ledger=ledger, now=self._host.now, on_lifted=self._on_marks
        )
        self._host.pages[held_page.PATH] = page.handle
        self._tick_due = False
        self._follow_alarm = self._host.alarm(self._follow)
        self._server: http_server.Server | None = None
        self._stopping_at = 0.0
        self._ended = asyncio.Event()

    async def run(self) -> None:
        """Serve until told to stop."""
        await self._host.start(on_stop=self._on_stop, on_reload=self._on_reload)
        self._server = await self._host.serve(
            self._cfg.callers, self._forwarder.handle
        )
        await self._host.serve(self._cfg.ready, self._on_ready_check)
        await self._host.serve(self._cfg.lookup, self._on_lookup)
        self._follow()
        self._host.every(balance_const.SHARE_SECONDS, self._share_all)
        self._host.every(quarantine_const.COMPARE_SECONDS, self._compare_marks)
        self._host.every(TIDY_SECONDS, self._forwarder.tidy)
        await self._ended.wait()
        await asyncio.sleep(0.05)
        self._host.stop()

    def _tick_soon(self) -> None:
        """Tick as long as there is something to do.

        An entry of a large site carries two or three streams: ticking all the
        time would be most of its wake-ups.
        """
        if self._tick_due:
            return
        self._tick_due = True
        self._host.after(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._tick_due = False
        self._forwarder.tick()
        if self._forwarder.has_work:
            self._tick_soon()

    # Following control.

    def _follow(self) -> None:
        now = self._host.now()
        self._perform(self._discovery.tick(now))
        self._follow_alarm.set(self._discovery.next_tick(now))
        if self._stopping_at:
            self._follow_alarm.set(now + STOP_TICK_SECONDS)
            self._drive_stop(now)
            return
        if not self._discovery.node.open:
            # What targets must be kept from is known before callers come.
            self._compare_marks()
        is_open = self._forwarder.index is not None
        is_open = is_open and self._discovery.is_ready(now)
        if is_open and not self._discovery.node.open:
            _log.info("ready", version=self._discovery.version)
            self._share_all()
        self._perform(self._discovery.set_open(is_open=is_open, now=now))

    def _on_frame(self, src: str, msg: Any) -> None:
        now = self._host.now()
        match msg:
            case balance_messages.Share():
                self._forwarder.on_share(src, msg)
                return
            case mapswitch_messages.OrderRequest():
                self._engines.give(src, msg)
                return
            case quarantine_messages.Marks() | quarantine_messages.Compare():
                self._send_all(self._spread.receive(src, msg, now))
                self._forwarder.on_marks(now)
                return
            case mapswitch_messages.SlowTargets():
                paces = {t.address: t.pace for t in msg.targets}
                self._forwarder.on_paces(paces, now)
                return
        self._perform(self._discovery.receive(src, msg, now))
        if not self._discovery.node.open and not self._stopping_at:
            # What has come may be what it waited for.
            self._follow()
        self._follow_alarm.set(self._discovery.next_tick(now))

    def _on_marks(self, marks: end_watch.Marks) -> None:
        """Tell the other processes under which requests targets ended."""
        now = self._host.now()
        names = [node.name for node in self._forwarder.neighbours.peers]
        names += self._discovery.reachable_controls(now)
        self._send_all(spread_lib.tell(marks, names))
        self._forwarder.on_marks(now)

    def _compare_marks(self) -> None:
        now = self._host.now()
        self._forwarder.ends.tick(now)
        ledger = self._forwarder.ends.ledger
        self._host.metrics.gauge("requests_held", float(len(ledger.held(now))))
        self._send_all(
            self._spread.compare(self._discovery.reachable_controls(now))
        )

    def _send_all(self, sends: list[core.Send]) -> None:
        for act in sends:
            self._host.send(act)

    def _perform(self, acts: discovery_client.Actions) -> None:
        for act in acts:
            match act:
                case core.Send():
                    self._host.send(act)
                case discovery_client.ApplyConfiguration():
                    self._put_in_force(act)

    def _put_in_force(self, act: discovery_client.ApplyConfiguration) -> None:
        deployment = self._dialect.deployment(zlib.decompress(act.data))
        index = index_lib.Index(deployment=deployment)
        self._forwarder.index = index
        self._forwarder.passes.limits.on_bounds(index.passes())
        limits = deployment.limits
        if self._server is not None:
            self._server.limits = http_server.ServerLimits(*limits)
        _log.info("version in force", version=act.version)

    def _is_certain(self) -> bool:
        return self._discovery.is_version_confirmed(self._host.now())

    def _on_replaced(self, target: records.Target) -> None:
        _log.info("target replaced", target=target.target_id)
        now = self._host.now()
        self._perform(self._discovery.announce_target_gone(target, now))

    def _on_leaving(self, target: records.Target) -> None:
        """Tell the other entries of a target that says it leaves."""
        self._perform(
            self._discovery.announce_target_leaving(target, self._host.now())
        )

    def _on_load_change(self) -> None:
        if self._share_due:
            return
        self._share_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(balance_const.SHARE_DELAY_SECONDS, self._share)

    def _share_all(self) -> None:
        """Look who the other entries are, and tell them in any case."""
        entries = self._discovery.open_entries(self._host.now())
        self._forwarder.on_entries(entries)
        self._share()

    def _share(self) -> None:
        self._share_due = False
        share = self._forwarder.share()
        for node in self._forwarder.neighbours.peers:
            self._host.send(core.Send(dst=node.name, msg=share))

    # Planned stop.

    def _on_stop(self) -> None:
        if self._stopping_at:
            return
        self._stopping_at = self._host.now()
        _log.info("stop asked for", open=self._forwarder.open_count)
        if self._server is not None:
            self._server.stopping = True
        self._perform(
            self._discovery.set_open(is_open=False, now=self._stopping_at)
        )
        self._follow_alarm.set(self._stopping_at + STOP_TICK_SECONDS)

    def _on_reload(self) -> None:
        _log.info("reload asked for: seeds are read at the start only")

    def _drive_stop(self, now: float) -> None:
        since = now - self._stopping_at
        if since < STOP_SERVING_SECONDS:
            return
        self._forwarder.stop()
        last = self._cfg.bounds.grace_s - STOP_MARGIN_SECONDS
        if self._forwarder.open_count and since < last:
            return
        if self._server is not None:
            self._server.close_listener()
            self._server.close_idle()
        self._ended.set()

    # Questions of the platform and of callers.

    def _on_ready_check(self, answering: http_server.ResponseWriter) -> None:
        ready = self._discovery.node.open and not self._stopping_at
        answering.reply(200 if ready else 503, [], b"")

    def _on_lookup(self, answering: http_server.ResponseWriter) -> None:
        asked = self._dialect.lookup(answering.request)
        if asked is None:
            answering.reply(404, [], b"")
            return
        entries = self._discovery.open_entries(self._host.now())
        found = near_lib.choose_addresses(entries, asked.place, self._host.rng)
        if not found:
            self._host.metrics.inc("lookups", outcome="none")
            answering.reply(503, [(b"retry-after", b"1")], b"")
            return
        self._host.metrics.inc("lookups", outcome="answered")
        body = self._dialect.addresses(found, ANSWER_KEPT_SECONDS)
        headers = [(b"content-type", b"application/json")]
        answering.reply(200, headers, body)


def run(
    *,
    cfg: deployed.NodeSettings,
    dialect: EntryDialect,
    engines: engine_client.EngineDialect,
) -> None:
    """Run an entry until it is stopped."""

    async def main() -> None:
        await SiteEntry(cfg=cfg, dialect=dialect, engines=engines).run()

    loop_host.run(main)
