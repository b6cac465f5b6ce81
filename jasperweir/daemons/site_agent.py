"""Deployed agent beside an engine: its state, counts and orders."""

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
from jasperweir.daemons import deployed
from jasperweir.daemons import engine_client
from jasperweir.daemons import loop_host
from jasperweir.helpers import logs

_log = logs.logger("agent")

# An agent beats this often; nobody is routed to it.
BEAT_SECONDS = 1.0


class SiteAgent:
    """Drive a Runner with the engine's own calls."""

    def __init__(
        self,
        *,
        cfg: deployed.NodeSettings,
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
            heartbeat_s=BEAT_SECONDS,
            wants_content=False,
        )
        self._engine = engine_client.EngineClient(
            address=cfg.engine,
            dialect=dialect,
            timeout_s=const.ORDER_TIMEOUT_SECONDS,
        )
        self._runner = order_executor.OrderExecutor()
        self._pacer = report_schedule.ReportSchedule()
        self._counter = expert_counts.CountDiffer()
        self._reading = False
        self._leader = ""
        self._experts: tuple[tuple[int, ...], ...] = ()
        self._experts_of = (-1, -1)
        self._ended = asyncio.Event()
        self._follow_alarm = self._host.alarm(self._follow)
        self._read_alarm = self._host.alarm(self._read)

    async def run(self) -> None:
        """Serve until told to stop."""
        await self._host.start(on_stop=self._ended.set, on_reload=_no_reload)
        self._follow()
        await self._ended.wait()
        self._host.stop()

    # Inputs.

    def _follow(self) -> None:
        now = self._host.now()
        self._perform(self._discovery.tick(now))
        self._follow_alarm.set(self._discovery.next_tick(now))

    def _on_frame(self, src: str, msg: Any) -> None:
        match msg:
            case messages.OrderRequest():
                leader = msg.leader or src
                if msg.term >= self._runner.term:
                    self._leader = leader
                    self._read_alarm.set(self._pacer.next_read_at)
                self._perform(self._runner.on_order(leader, msg))
            case messages.ReportRateRequest():
                if msg.term >= self._runner.term:
                    self._leader = src
                    self._pacer.on_rate_request(src, msg)
                    self._read_alarm.set(self._pacer.next_read_at)
                self._runner.on_term(msg.term)
            case _:
                now = self._host.now()
                self._perform(self._discovery.receive(src, msg, now))
                self._follow_alarm.set(self._discovery.next_tick(now))

    def _read(self) -> None:
        if self._reading:
            return
        if self._pacer.is_read_due(self._host.now()):
            self._reading = True
            self._engine.spawn(self._beat())
        self._read_alarm.set(self._pacer.next_read_at)

    # Actions.

    def _perform(self, acts: order_executor.Actions) -> None:
        for act in acts:
            match act:
                case core.Send():
                    self._host.send(act)
                case order_executor.ReadState() | order_executor.PostOrder():
                    self._engine.spawn(self._carry_out(act))

    async def _carry_out(
        self, act: order_executor.ReadState | order_executor.PostOrder
    ) -> None:
        self._perform(await self._engine.execute(self._runner, act))

    async def _beat(self) -> None:
        try:
            await self._send_beat()
        finally:
            self._reading = False
            self._read_alarm.set(self._pacer.next_read_at)

    async def _send_beat(self) -> None:
        term = self._runner.term
        state = await self._engine.fetch_state()
        if state is None or not state.group:
            return
        if not self._pacer.is_report_due(state, self._host.now()):
            return
        if self._experts_of != (state.epoch, state.map_version):
            raw = await self._engine.fetch(self._dialect.PLACEMENT_TARGET)
            if raw is None:
                return
            self._experts = self._dialect.placement(raw)
            self._experts_of = (state.epoch, state.map_version)
        beat = messages.EngineHeartbeat(
            service=self._cfg.service,
            address=self._cfg.engine,
            term=term,
            state=state,
            choices=await self._choices(),
            experts=self._experts,
        )
        self._host.send(core.Send(dst=self._leader, msg=beat))

    async def _choices(self) -> expert_counts.ExpertCounts:
        """Return what the engine's requests chose since the last beat."""
        if not self._pacer.counted:
            return expert_counts.NO_CHOICES
        raw = await self._engine.fetch(self._dialect.COUNTS_TARGET)
        if raw is None:
            return expert_counts.NO_CHOICES
        try:
            counts = self._dialect.counts(raw)
        except ValueError as exc:
            _log.warning("counts cannot be read", reason=str(exc))
            return expert_counts.NO_CHOICES
        before = self._counter.dropped
        choices = self._counter.update(counts, self._host.now())
        if self._counter.dropped > before:
            self._host.metrics.inc("counts_dropped")
            _log.warning("counts make no sense", dropped=self._counter.dropped)
        return choices


def _no_reload() -> None:
    _log.info("reload asked for: seeds are read at the start only")


def run(
    *, cfg: deployed.NodeSettings, dialect: engine_client.EngineDialect
) -> None:
    """Run an agent until it is stopped."""

    async def main() -> None:
        await SiteAgent(cfg=cfg, dialect=dialect).run()

    loop_host.run(main)
