"""Deployed entry: callers' requests, address lookups and readiness."""

import asyncio
from typing import Any
from typing import NamedTuple
from typing import Protocol
import zlib

from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.address import entry_selection
from jasperweir.components.balance import budget as budget_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import entry_cell as entry_cell_lib
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.deployment import model
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.discovery import version_basis
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import forwarder as forwarder_lib
from jasperweir.components.forward import planned_stop
from jasperweir.components.groups import messages as groups_messages
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.quarantine import const as quarantine_const
from jasperweir.components.quarantine import messages as quarantine_messages
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.quarantine import replication as replication_lib
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.daemons import engine_client
from jasperweir.daemons import loop_host
from jasperweir.daemons import node_settings
from jasperweir.daemons import quarantine_page
from jasperweir.daemons import standing_log
from jasperweir.daemons import version_audit_log
from jasperweir.helpers import clocks
from jasperweir.helpers import hashing
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import http_server
from jasperweir.helpers import logs
from jasperweir.helpers import request_memory

_log = logs.logger("entry")

# Interval of ticks while the forwarder has work, seconds.
TICK_SECONDS = 0.02
# Interval of the check for open requests during a stop, seconds.
STOP_TICK_SECONDS = 0.1
# Interval at which the forwarder removes unused state, seconds.
CLEANUP_SECONDS = 0.5
# Delay of an audit after a request that has to be reported, so that one report
# names several, seconds.
AUDIT_DELAY_SECONDS = 0.1
# Time to live of an address lookup, seconds; some callers cache it three times
# as long.
ADDRESS_TTL_SECONDS = 0.5


class Lookup(NamedTuple):
    """A caller's query for addresses of entries.

    Attributes:
        host: Name that the caller looks up.
        place: Data centre of the caller.
    """

    host: str
    place: str


class EntryDialect(dialect_lib.Dialect, Protocol):
    """Translates the HTTP API of callers and of the platform."""

    def lookup(self, req: http_message.Request) -> Lookup | None:
        """Decode an address lookup, None if the request is not one."""

    def addresses(self, addresses: list[str], ttl_s: float) -> bytes:
        """Return the body of the response to an address lookup.

        Args:
            addresses: Addresses of entries.
            ttl_s: Time for which the caller may cache them, seconds.
        """

    def deployment(self, raw: bytes) -> model.Deployment:
        """Decode a configuration that a control VM accepted."""


class SiteEntry:
    """Connects a Forwarder and a DiscoveryClient to sockets and timers."""

    def __init__(
        self,
        *,
        cfg: node_settings.NodeSettings,
        dialect: EntryDialect,
        engines: engine_client.EngineDialect,
    ) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._host = loop_host.LoopHost(
            cfg=cfg,
            on_frame=self._on_frame,
            shares=request_memory.CALLER_SHARES,
        )
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
            node=node,
            seeds=cfg.seeds,
            now=self._host.now(),
            is_receiving=lambda: self._host.link.is_receiving(
                config_messages.Content
            ),
            is_connected=self._host.link.is_connected,
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
            cell=entry_cell_lib.EntryCell(name=cfg.internal, place=cfg.place),
            bounds=bounds,
            times=http_client.ClientTimeouts(),
            metrics=self._host.metrics,
            is_first_start=cfg.bootstrap,
            cold_bounds=rate_lib.Bounds(
                overage=cfg.bounds.cold_overage,
                tolerance=cfg.bounds.cold_tolerance,
            ),
        )
        self._standing_log = standing_log.StandingLog(
            metrics=self._host.metrics
        )
        self._version_audit_log = version_audit_log.VersionAuditLog(
            channel="entry", metrics=self._host.metrics
        )
        self._forwarder.version_audit.on_found = self._schedule_audit
        self._audit_scheduled = False
        self._clocks = clocks.ClockComparison()
        self._version_announced_at = self._host.now()
        self._share_scheduled = False
        self._forwarder.balancer.on_change = self._schedule_share
        self._forwarder.intake.describe_version = self._describe_version
        self._forwarder.outcomes.on_replaced = self._on_target_replaced
        self._forwarder.outcomes.on_draining = self._on_target_draining
        self._forwarder.on_work = self._schedule_tick
        quarantine = self._forwarder.quarantine.quarantine
        quarantine.on_marks = self._broadcast_marks
        quarantine.on_vouched = self._send_vouched
        self._mark_replication = replication_lib.EntrySpread(
            ledger=quarantine.ledger, merge=quarantine.merge
        )
        page = quarantine_page.QuarantinePage(
            quarantine=quarantine, now=self._host.now
        )
        self._host.pages[quarantine_page.PATH] = page.handle
        self._tick_scheduled = False
        self._discovery_timer = self._host.make_timer(self._tick_discovery)
        self._server: http_server.Server | None = None
        self._stop: planned_stop.PlannedStop | None = None
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until a stop signal."""
        await self._host.start(on_stop=self._on_stop, on_reload=self._on_reload)
        self._server = await self._host.serve(
            self._cfg.callers, self._forwarder.handle
        )
        # A version may have been applied before.
        self._apply_limits()
        await self._host.serve(self._cfg.ready, self._on_ready_check)
        await self._host.serve(self._cfg.lookup, self._on_lookup)
        self._tick_discovery()
        self._host.call_every(balance_const.SHARE_SECONDS, self._update_entries)
        self._host.call_every(
            quarantine_const.COMPARE_SECONDS, self._compare_marks
        )
        self._host.call_every(CLEANUP_SECONDS, self._forwarder.tidy)
        await self._stopped.wait()
        await asyncio.sleep(0.05)
        self._host.stop()

    def _schedule_tick(self) -> None:
        """Schedule a tick unless one is scheduled.

        Ticks run only while there is work, since constant ticks would be most
        of the wake-ups of an entry with few streams.
        """
        if self._tick_scheduled:
            return
        self._tick_scheduled = True
        self._host.call_later(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        self._forwarder.tick()
        if self._forwarder.has_work:
            self._schedule_tick()

    # Discovery.

    def _check_clocks(self) -> None:
        """Void confirmations if the steady clocks have parted."""
        step_s = self._clocks.find_step()
        if abs(step_s) < confirmation_const.CLOCK_STEP_SECONDS:
            return
        self._host.metrics.inc("clock_steps")
        _log.warning("steady clocks have parted", step_ms=round(step_s * 1000))
        self._discovery.on_clock_step()

    def _tick_discovery(self) -> None:
        self._check_clocks()
        now = self._host.now()
        self._perform(self._discovery.tick(now))
        self._record_standing(now)
        self._discovery_timer.schedule(self._discovery.next_tick(now))
        if self._stop is not None:
            self._discovery_timer.schedule(now + STOP_TICK_SECONDS)
            self._advance_stop(self._stop, now)
            return
        if not self._discovery.node.open:
            # Quarantine marks are fetched before the entry accepts callers.
            self._compare_marks()
        is_open = self._forwarder.index is not None
        is_open = is_open and self._discovery.is_ready(now)
        if is_open and not self._discovery.node.open:
            _log.info(
                "ready",
                **self._discovery.describe_version(now).log_fields(),
                announced=self._discovery.announced_versions,
            )
            self._update_entries()
        self._perform(self._discovery.set_open(is_open=is_open, now=now))

    def _on_frame(self, src: str, msg: Any) -> None:
        self._check_clocks()
        now = self._host.now()
        match msg:
            case balance_messages.Share():
                self._forwarder.on_share(src, msg)
                return
            case mapswitch_messages.OrderRequest():
                self._engines.submit(src, msg)
                return
            case quarantine_messages.Marks() | quarantine_messages.Compare():
                self._send_all(self._mark_replication.receive(src, msg, now))
                self._forwarder.quarantine.reject_held(now)
                return
            case mapswitch_messages.SlowTargets():
                slowdowns = {t.address: t.pace for t in msg.targets}
                self._forwarder.update_slowdowns(slowdowns, now)
                return
            case groups_messages.GroupList():
                self._forwarder.on_groups(msg)
                return
        confirmations = self._discovery.confirmations
        newest = confirmations.newest_known
        acts = self._discovery.receive(src, msg, now)
        if confirmations.newest_known > newest:
            self._version_announced_at = now
            _log.info(
                "version announced",
                announced=confirmations.newest_known,
                source=src,
                held=confirmations.held,
            )
        self._perform(acts)
        self._record_standing(now)
        if not self._discovery.node.open and self._stop is None:
            # The message may complete what the entry needs to open.
            self._tick_discovery()
        self._discovery_timer.schedule(self._discovery.next_tick(now))

    def _broadcast_marks(self, marks: quarantine_lib.Marks) -> None:
        """Send marks of crash-related requests to entries and control VMs."""
        now = self._host.now()
        names = [node.name for node in self._forwarder.cell.peers]
        names += self._discovery.reachable_controls(now)
        self._send_all(replication_lib.send_marks(marks, names))
        self._forwarder.quarantine.reject_held(now)

    def _send_vouched(self, marks: quarantine_lib.Marks) -> None:
        """Send marks that several entries may send to one control VM.

        It forwards to entries only what is new to it.
        """
        controls = self._discovery.reachable_controls(self._host.now())
        if not controls:
            self._broadcast_marks(marks)
            return
        self._send_all(replication_lib.send_marks(marks, controls[:1]))

    def _compare_marks(self) -> None:
        now = self._host.now()
        self._forwarder.crash_detector.tick(now)
        held = self._forwarder.quarantine.quarantine.list_held(now)
        parts = sum(found.is_part for found in held)
        self._host.metrics.gauge("requests_held", float(len(held) - parts))
        self._host.metrics.gauge("prompt_parts_held", float(parts))
        self._send_all(
            self._mark_replication.compare(
                self._discovery.reachable_controls(now)
            )
        )

    def _send_all(self, sends: list[core.Send]) -> None:
        for act in sends:
            self._host.send(act)

    def _perform(self, acts: discovery_client.Actions) -> None:
        for act in acts:
            match act:
                case core.Send():
                    if isinstance(act.msg, config_messages.ContentRequest):
                        _log.info(
                            "configuration requested",
                            source=act.dst,
                            held=act.msg.held,
                            announced=(
                                self._discovery.confirmations.newest_known
                            ),
                        )
                    self._host.send(act)
                case discovery_client.ApplyConfiguration():
                    self._apply_configuration(act)
                case discovery_client.ApplyEvacuations():
                    self._forwarder.on_evacuations(act.evacuations)

    def _apply_configuration(
        self, act: discovery_client.ApplyConfiguration
    ) -> None:
        """Put a version into force; one that can't be read is not held."""
        try:
            deployment = self._dialect.deployment(zlib.decompress(act.data))
            index = index_lib.DeploymentIndex(deployment=deployment)
            pass_bounds = index.get_pass_bounds()
        except (ValueError, zlib.error, exceptions.JasperweirError) as exc:
            self._host.metrics.inc("configurations_not_applied")
            _log.error(
                "version not applied", version=act.version, reason=str(exc)
            )
            return
        self._forwarder.targets.warmup.on_services(index.services)
        self._forwarder.pass_monitor.limits.on_bounds(pass_bounds)
        self._forwarder.index = index
        self._apply_limits()
        # Last: from here on confirmations cover the version.
        self._send_all(
            self._discovery.on_applied(
                act.version, self._host.now(), hashing.checksum(act.data)
            )
        )
        self._record_applied(act)
        self._forwarder.version_audit.on_in_force(deployment)
        self._audit_requests()

    def _record_applied(self, act: discovery_client.ApplyConfiguration) -> None:
        """Record when a version came into force here."""
        now = self._host.now()
        since_s = now - self._version_announced_at
        self._host.metrics.observe("configuration_delay_seconds", since_s)
        commit = self._discovery.commit_times.find(act.version)
        if commit is not None:
            self._host.metrics.observe(
                "commit_to_force_seconds", now - commit.latest
            )
        _log.info(
            "version in force",
            version=act.version,
            since_announced_ms=round(since_s * 1000),
            since_commit_ms=round((now - commit.latest) * 1000)
            if commit is not None
            else -1,
            content=f"{hashing.checksum(act.data):x}",
        )

    def _schedule_audit(self) -> None:
        if self._audit_scheduled:
            return
        self._audit_scheduled = True
        self._host.call_later(AUDIT_DELAY_SECONDS, self._audit_requests)

    def _audit_requests(self) -> None:
        """Report requests that the version in force does not allow."""
        self._audit_scheduled = False
        index = self._forwarder.index
        if index is None:
            return
        found = self._forwarder.version_audit.check(
            index, self._discovery.commit_times
        )
        if not found.requests and not found.undated:
            return
        report = version_audit_log.make_report(
            self._cfg.internal, index.deployment.version, found
        )
        self._version_audit_log.record(report)
        self._host.send_all(self._discovery.control_names, report)

    def _apply_limits(self) -> None:
        """Set the limits on callers of the configuration in force."""
        index = self._forwarder.index
        if self._server is not None and index is not None:
            limits = http_server.ServerLimits(*index.deployment.limits)
            self._server.limits = limits

    def _record_standing(self, now: float) -> None:
        standing = self._discovery.confirmations.standing(now)
        if standing is self._standing_log.standing:
            return
        self._standing_log.record(
            self._discovery.describe_version(now),
            self._discovery.describe_contacts(now),
            self._discovery.count_peers(now),
        )

    def _describe_version(self) -> version_basis.VersionBasis:
        self._check_clocks()
        return self._discovery.describe_version(self._host.now())

    def _on_target_replaced(self, target: records.Target) -> None:
        _log.info("target replaced", target=target.target_id)
        now = self._host.now()
        self._perform(self._discovery.announce_target_gone(target, now))

    def _on_target_draining(self, target: records.Target) -> None:
        """Announce a draining target to the control VMs."""
        self._perform(
            self._discovery.announce_target_leaving(target, self._host.now())
        )

    def _schedule_share(self) -> None:
        if self._share_scheduled:
            return
        self._share_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(balance_const.SHARE_DELAY_SECONDS, self._send_share)

    def _update_entries(self) -> None:
        """Update the list of entries and send them this entry's load."""
        now = self._host.now()
        self._forwarder.on_entries(
            self._discovery.open_entries(now),
            hears_leader=self._discovery.hears_leader(now),
        )
        self._send_share()

    def _send_share(self) -> None:
        self._share_scheduled = False
        names = [node.name for node in self._forwarder.cell.peers]
        self._host.send_all(names, self._forwarder.share())

    # Graceful stop.

    def _on_stop(self) -> None:
        if self._stop is not None:
            return
        now = self._host.now()
        self._stop = planned_stop.PlannedStop(
            now=now, grace_s=self._cfg.bounds.grace_s
        )
        _log.info(
            "stop asked for",
            open=self._forwarder.open_count,
            ends_in_ms=round((self._stop.ends_at - now) * 1000),
        )
        self._forwarder.begin_stop(self._stop.ends_at)
        if self._server is not None:
            self._server.stopping = True
        self._perform(self._discovery.set_open(is_open=False, now=now))
        self._discovery_timer.schedule(now + STOP_TICK_SECONDS)

    def _on_reload(self) -> None:
        _log.info("reload ignored: seeds are read only at startup")

    def _advance_stop(self, stop: planned_stop.PlannedStop, now: float) -> None:
        open_count = self._forwarder.open_count
        unsent = self._server.unsent_bytes if self._server else 0
        stage = stop.find_stage(
            open_requests=open_count, unsent_bytes=unsent, now=now
        )
        if stage is planned_stop.Stage.ACCEPTING:
            return
        self._forwarder.stop()
        if stage is planned_stop.Stage.REJECTING:
            return
        if open_count or unsent:
            _log.warning("stop cuts off", open=open_count, unsent=unsent)
        if self._server is not None:
            self._server.close_listener()
            self._server.close_idle()
        self._stopped.set()

    # Readiness checks and address lookups.

    def _on_ready_check(self, answering: http_server.ResponseWriter) -> None:
        ready = self._discovery.node.open and self._stop is None
        answering.reply(200 if ready else 503, [], b"")

    def _on_lookup(self, answering: http_server.ResponseWriter) -> None:
        lookup = self._dialect.lookup(answering.request)
        if lookup is None:
            answering.reply(404, [], b"")
            return
        entries = self._discovery.open_entries(self._host.now())
        addresses = entry_selection.choose_addresses(
            entries, lookup.place, self._host.rng
        )
        if not addresses:
            self._host.metrics.inc("lookups", outcome="none")
            answering.reply(503, [(b"retry-after", b"1")], b"")
            return
        self._host.metrics.inc("lookups", outcome="answered")
        body = self._dialect.addresses(addresses, ADDRESS_TTL_SECONDS)
        headers = [(b"content-type", b"application/json")]
        answering.reply(200, headers, body)


def run(
    *,
    cfg: node_settings.NodeSettings,
    dialect: EntryDialect,
    engines: engine_client.EngineDialect,
) -> None:
    """Run an entry until a stop signal."""

    async def main() -> None:
        await SiteEntry(cfg=cfg, dialect=dialect, engines=engines).run()

    loop_host.run(main)
