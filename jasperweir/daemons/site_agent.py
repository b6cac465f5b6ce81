"""Deployed agent of an engine: state reports, expert counts and orders."""

import asyncio
from typing import Any

from jasperweir import core
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import expert_counts
from jasperweir.components.mapswitch import messages
from jasperweir.components.mapswitch import order_executor
from jasperweir.components.mapswitch import report_schedule
from jasperweir.daemons import engine_client
from jasperweir.daemons import loop_host
from jasperweir.daemons import node_settings
from jasperweir.helpers import logs

_log = logs.logger("agent")

# Interval of an agent's heartbeats, seconds; agents serve no requests.
HEARTBEAT_SECONDS = 1.0


class SiteAgent:
    """Connects an OrderExecutor to the engine's HTTP API and the link."""

    def __init__(
        self,
        *,
        cfg: node_settings.NodeSettings,
        dialect: engine_client.EngineDialect,
    ) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._host = loop_host.LoopHost(cfg=cfg, on_frame=self._on_frame)
        node = records.Node(
            name=cfg.internal,
            kind=directory_const.KIND_AGENT,
            place=cfg.place,
            caller_address="",
            open=False,
            incarnation=self._host.incarnation,
            sequence=0,
        )
        self._discovery = discovery_client.DiscoveryClient(
            node=node,
            seeds=cfg.seeds,
            now=self._host.now(),
            heartbeat_s=HEARTBEAT_SECONDS,
            wants_content=False,
        )
        self._engine = engine_client.EngineClient(
            address=cfg.engine,
            dialect=dialect,
            timeout_s=const.ORDER_TIMEOUT_SECONDS,
        )
        self._order_executor = order_executor.OrderExecutor()
        self._report_schedule = report_schedule.ReportSchedule()
        self._count_differ = expert_counts.CountDiffer()
        self._is_reading = False
        self._leader = ""
        self._experts: tuple[tuple[int, ...], ...] = ()
        self._experts_version = (-1, -1)
        self._stop_requested = asyncio.Event()
        self._discovery_timer = self._host.make_timer(self._tick_discovery)
        self._read_timer = self._host.make_timer(self._start_read)

    async def run(self) -> None:
        """Serve until a stop signal."""
        await self._host.start(
            on_stop=self._stop_requested.set, on_reload=_no_reload
        )
        self._tick_discovery()
        await self._stop_requested.wait()
        self._host.stop()

    # Inputs.

    def _tick_discovery(self) -> None:
        now = self._host.now()
        self._perform(self._discovery.tick(now))
        self._discovery_timer.schedule(self._discovery.next_tick(now))

    def _on_frame(self, src: str, msg: Any) -> None:
        match msg:
            case messages.OrderRequest():
                leader = msg.leader or src
                if msg.term >= self._order_executor.term:
                    self._leader = leader
                    self._read_timer.schedule(
                        self._report_schedule.next_read_at
                    )
                self._perform(self._order_executor.on_order(leader, msg))
            case messages.ReportRateRequest():
                if msg.term >= self._order_executor.term:
                    self._leader = src
                    self._report_schedule.on_rate_request(src, msg)
                    self._read_timer.schedule(
                        self._report_schedule.next_read_at
                    )
                self._order_executor.on_term(msg.term)
            case _:
                now = self._host.now()
                self._perform(self._discovery.receive(src, msg, now))
                self._discovery_timer.schedule(self._discovery.next_tick(now))

    def _start_read(self) -> None:
        if self._is_reading:
            return
        if self._report_schedule.is_read_due(self._host.now()):
            self._is_reading = True
            self._engine.spawn(self._read_and_report())
        self._read_timer.schedule(self._report_schedule.next_read_at)

    # Actions.

    def _perform(self, acts: order_executor.Actions) -> None:
        for act in acts:
            match act:
                case core.Send():
                    self._host.send(act)
                case order_executor.ReadState() | order_executor.PostOrder():
                    self._engine.spawn(self._execute(act))

    async def _execute(
        self, act: order_executor.ReadState | order_executor.PostOrder
    ) -> None:
        self._perform(await self._engine.execute(self._order_executor, act))

    async def _read_and_report(self) -> None:
        try:
            await self._send_heartbeat()
        finally:
            self._is_reading = False
            self._read_timer.schedule(self._report_schedule.next_read_at)

    async def _send_heartbeat(self) -> None:
        term = self._order_executor.term
        state = await self._engine.fetch_state()
        if state is None or not state.group:
            return
        if not self._report_schedule.is_report_due(state, self._host.now()):
            return
        if self._experts_version != (state.epoch, state.map_version):
            raw = await self._engine.fetch(self._dialect.PLACEMENT_TARGET)
            if raw is None:
                return
            try:
                self._experts = self._dialect.placement(raw)
            except ValueError as exc:
                _log.warning("placement cannot be read", reason=str(exc))
                return
            self._experts_version = (state.epoch, state.map_version)
        heartbeat = messages.EngineHeartbeat(
            service=self._cfg.service,
            address=self._cfg.engine,
            term=term,
            state=state,
            choices=await self._read_choices(),
            experts=self._experts,
        )
        self._host.send(core.Send(dst=self._leader, msg=heartbeat))

    async def _read_choices(self) -> expert_counts.ExpertCounts:
        """Return how often experts were selected since the last heartbeat."""
        if not self._report_schedule.counted:
            return expert_counts.NO_COUNTS
        raw = await self._engine.fetch(self._dialect.COUNTS_TARGET)
        if raw is None:
            return expert_counts.NO_COUNTS
        try:
            counts = self._dialect.counts(raw)
        except ValueError as exc:
            _log.warning("counts cannot be read", reason=str(exc))
            return expert_counts.NO_COUNTS
        dropped_before = self._count_differ.dropped
        choices = self._count_differ.update(counts, self._host.now())
        if self._count_differ.dropped > dropped_before:
            self._host.metrics.inc("counts_dropped")
            _log.warning(
                "counts make no sense", dropped=self._count_differ.dropped
            )
        return choices


def _no_reload() -> None:
    _log.info("reload ignored: seeds are read only at startup")


def run(
    *, cfg: node_settings.NodeSettings, dialect: engine_client.EngineDialect
) -> None:
    """Run an agent until a stop signal."""

    async def main() -> None:
        await SiteAgent(cfg=cfg, dialect=dialect).run()

    loop_host.run(main)
