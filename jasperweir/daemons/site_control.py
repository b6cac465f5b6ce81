"""Deployed control VM: one voter with a disk, operators and targets."""

import asyncio
import pathlib
from typing import Any
import zlib

from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.configctl import const
from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import node as node_lib
from jasperweir.components.deployment import model
from jasperweir.components.directory import const as directory_const
from jasperweir.components.mapswitch import actions as mapswitch_actions
from jasperweir.components.mapswitch import const as mapswitch_const
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.mapswitch import relays as relays_lib
from jasperweir.components.mapswitch import slow_target_notifier
from jasperweir.components.quarantine import messages as quarantine_messages
from jasperweir.components.quarantine import spread as spread_lib
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import null_storage
from jasperweir.components.quorum import storage as storage_lib
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.daemons import control_calls
from jasperweir.daemons import deployed
from jasperweir.daemons import engine_client
from jasperweir.daemons import group_loader
from jasperweir.daemons import loop_host
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

_log = logs.logger("control")

# A disk that refused a write is tried again after this long, seconds.
DISK_RETRY_SECONDS = 0.5
# Soft state is written down this often if it has changed, seconds.
NOTE_SECONDS = 0.5
# Which agents and entries there are is looked at this often by a leader; they
# beat no more often. Seconds.
NODES_SECONDS = 0.1
# Entries are told at once which targets are slow, as far as a look this often
# shows it, seconds.
LOOK_SLOW_SECONDS = 0.1
# A stopping control VM stays this long after it has handed over the lead, so
# that calls under way get their answers, seconds.
LINGER_SECONDS = 1.5


# The planner is loaded this long after the start, when entries have their
# configuration and before an election ends, seconds.
LOAD_GROUPS_SECONDS = 0.3


class SiteControl:
    """Drive a ConfigNode with a disk, a link and HTTP."""

    def __init__(
        self,
        *,
        cfg: deployed.NodeSettings,
        dialect: calls_lib.ControlDialect,
        engines: engine_client.EngineDialect,
    ) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._host = loop_host.LoopHost(cfg=cfg, on_frame=self._on_frame)
        self._storage = _storage(cfg.data_folder)
        self._calls = control_calls.ControlCalls(dialect=dialect)
        self._stopping = asyncio.Event()
        self._broken_until = 0.0
        self._node: node_lib.ConfigNode | None = None
        self._groups = group_loader.GroupLoader()
        self._coordinator = coordinator_lib.Coordinator(
            place=cfg.place,
            name=cfg.internal,
            make_group=self._groups.make,
            term_at=self._term_at,
        )
        self._spread = spread_lib.ControlSpread()
        self._engines: dict[str, model.Engine] = {}
        # Engines whose agents do not answer.
        self._direct = engine_client.RemoteEngines(
            dialect=engines, send=self._on_direct_result
        )
        # When the groups are told again which agents and entries there are.
        self._nodes_at = 0.0
        # Whether a plan is to be gone on with before the next tick.
        self._plan_due = False
        self._slow_news = slow_target_notifier.SlowTargetNotifier()
        # Commit index and directory digest that are written down.
        self._noted = (0, 0)

    async def run(self) -> None:
        """Serve until told to stop."""
        await self._host.start(on_stop=self._on_stop, on_reload=self._on_reload)
        self._open()
        await self._host.serve(self._cfg.control, self._handle)
        if self._cfg.data_folder:
            # One without a disk never leads, and saves the memory.
            self._host.after(LOAD_GROUPS_SECONDS, self._groups.load)
        self._host.every(const.TICK_SECONDS, self._tick)
        self._host.every(NOTE_SECONDS, self._note)
        self._host.every(LOOK_SLOW_SECONDS, self._tell_slow)
        await self._stopping.wait()
        await asyncio.sleep(LINGER_SECONDS)
        self._host.stop()
        self._storage.close()

    # Lifecycle.

    def _open(self) -> None:
        """Read the disk and begin anew from what it holds."""
        try:
            recovered = self._storage.open()
        except exceptions.StorageError as exc:
            self._disk_failed(exc)
            return
        now = self._host.now()
        voter = voter_lib.Voter(
            name=self._cfg.internal,
            recovered=recovered,
            rng=self._host.rng,
            now=now,
        )
        self._node = node_lib.ConfigNode(
            name=self._cfg.internal,
            place=self._cfg.place,
            voter=voter,
            seeds=self._cfg.seeds,
            wanted_seats=self._cfg.wanted_seats,
            has_disk=bool(self._cfg.data_folder),
        )
        side = self._storage.load_soft_state()
        self._perform(self._node.restore(recovered.commit_hint, side, now))
        _log.info(
            "data folder read",
            disk=voter.disk,
            term=voter.term,
            last_index=voter.log.last_index,
            snapshot=voter.snapshot.idx,
            bootstrap=self._cfg.bootstrap,
        )
        if self._cfg.bootstrap:
            lowest = min(self._cfg.seeds, default=self._cfg.internal)
            decides = lowest == self._cfg.internal
            self._node.start_bootstrap(decides=decides, now=now)
            self._perform(self._node.tick(now))

    def _disk_failed(self, exc: exceptions.StorageError) -> None:
        """Forget what is not on disk, and try again a little later."""
        _log.error("disk refuses", reason=str(exc))
        self._host.metrics.inc("disk_failures")
        self._node = None
        self._storage.close()
        self._broken_until = self._host.now() + DISK_RETRY_SECONDS
        self._calls.drop()

    def _on_stop(self) -> None:
        _log.info("stop asked for")
        if self._node is not None:
            self._perform(self._node.transfer_leadership(self._host.now()))
        self._stopping.set()

    def _on_reload(self) -> None:
        _log.info("reload asked for: seeds are read at the start only")

    def _tick(self) -> None:
        now = self._host.now()
        if self._node is None:
            if now >= self._broken_until:
                self._open()
            return
        self._perform(self._node.tick(now))
        if self._node is not None:
            self._coordinate(self._node, now)

    def _note(self) -> None:
        """Write down soft state, for a quicker restart."""
        self._spread.tick(self._host.now())
        node = self._node
        if node is None:
            return
        noted = (node.voter.commit, node.discovery.directory.digest)
        if noted == self._noted:
            return
        try:
            self._storage.save_commit_hint(node.voter.commit)
            self._storage.save_soft_state(
                node.discovery.soft_state(self._host.now())
            )
        except exceptions.StorageError as exc:
            # Only a restart would take longer without it.
            _log.warning("soft state not written", reason=str(exc))
            return
        self._noted = noted

    def _coordinate(self, node: node_lib.ConfigNode, now: float) -> None:
        """Drive the switch of expert maps while this VM surely leads."""
        if self._term_at(now) and now >= self._nodes_at:
            self._nodes_at = now + NODES_SECONDS
            for agent in node.discovery.nodes.live_nodes(
                directory_const.KIND_AGENT, now
            ):
                self._coordinator.on_agent(agent.name, agent.place, now)
            self._coordinator.set_entries(self._hold_givers(node, now))
            fresh_s = mapswitch_const.RELAY_FRESH_SECONDS
            relays = node.discovery.log_holders_by_place(now, fresh_s)
            self._coordinator.set_relays(relays)
        self._perform(self._coordinator.tick(now))
        self._plan_soon()

    def _term_at(self, now: float) -> int:
        """Return the term in which this VM surely leads, 0 if it doesn't."""
        if self._node is None or not self._groups.loaded:
            return 0
        leads = self._node.voter.read_index(now) is not None
        return self._node.voter.term if leads else 0

    def _plan_soon(self) -> None:
        """Go on with a plan before the next tick."""
        if not self._coordinator.is_planning or self._plan_due:
            return
        self._plan_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(mapswitch_const.PLAN_PAUSE_SECONDS, self._plan)

    def _plan(self) -> None:
        self._plan_due = False
        if self._node is None:
            return
        self._perform(self._coordinator.tick(self._host.now()))
        self._plan_soon()

    def _hold_givers(self, node: node_lib.ConfigNode, now: float) -> list[str]:
        """Return the entries that may give holds.

        None that is stopping, and none on a VM of control, where there are
        others.
        """
        entries = node.discovery.nodes.live_nodes(
            directory_const.KIND_ENTRY, now
        )
        entries = [entry for entry in entries if entry.open] or entries
        controls = {name.rpartition(":")[0] for name in node.discovery.controls}
        controls.add(self._cfg.address)
        apart = [
            entry.name
            for entry in entries
            if entry.name.rpartition(":")[0] not in controls
        ]
        return apart or [entry.name for entry in entries]

    def _on_frame(self, src: str, msg: Any) -> None:
        if self._node is None:
            return
        now = self._host.now()
        match msg:
            case mapswitch_messages.EngineHeartbeat():
                acts = self._coordinator.receive(src, msg, self._engines, now)
            case mapswitch_messages.OrderResult():
                acts = self._coordinator.receive(src, msg, self._engines, now)
            case relays_lib.OrderRelay():
                acts = list(relays_lib.expand(msg))
            case quarantine_messages.Marks() | quarantine_messages.Compare():
                discovery = self._node.discovery
                acts = list(
                    self._spread.receive(
                        src,
                        msg,
                        entries=discovery.entries_to_refresh(now),
                        controls=discovery.peers(),
                        now=now,
                    )
                )
            case _:
                acts = self._node.receive(src, msg, now)
        self._perform(acts)
        self._plan_soon()

    # Actions.

    def _perform(self, acts: node_lib.Actions) -> None:
        """Carry out actions in order; what is saved is synced first."""
        try:
            for act in acts:
                self._perform_one(act)
        except exceptions.StorageError as exc:
            self._disk_failed(exc)

    def _perform_one(self, act: Any) -> None:
        match act:
            case core.Send():
                self._host.send(act)
            case actions.SaveMeta():
                self._storage.save_meta(act.meta)
            case actions.SaveEntries():
                self._storage.save_entries(act.first, act.entries)
            case actions.SaveSnapshot():
                self._storage.save_snapshot(act.snapshot, act.kept)
            case actions.RoleChanged():
                _log.info(
                    "role changed",
                    is_now=act.role,
                    term=act.term,
                    leader=act.leader,
                )
            case node_lib.NewVersion():
                self._on_version(act.version)
            case mapswitch_actions.SendDirectly():
                self._host.metrics.inc("orders_given_directly")
                self._direct.give(act.agent, act.request)
            case mapswitch_actions.PhaseChanged():
                _log.info("expert map", **act._asdict())
            case mapswitch_actions.DemandJumped():
                self._host.metrics.inc("demand_jumps", group=act.group)
                _log.info("demand jumped", **act._asdict())
            case mapswitch_actions.PlanAccepted():
                self._host.metrics.observe(
                    "plan_after_jump_seconds", act.since_jump_s
                )
                _log.info("expert map planned", **act._asdict())
            case mapswitch_actions.SwitchCompleted():
                self._note_switch(act)
            case (
                node_lib.Replaced()
                | node_lib.Described()
                | discovery_server.Acknowledged()
                | discovery_server.Unconfirmed()
            ):
                self._calls.answer(act)

    def _note_switch(self, act: mapswitch_actions.SwitchCompleted) -> None:
        """Record how long the parts of a switch took."""
        metrics = self._host.metrics
        metrics.observe("map_copying_seconds", act.copying_s)
        metrics.observe("map_ordering_seconds", act.ordering_s)
        metrics.observe("map_settling_seconds", act.settling_s)
        _log.info("expert map switched", **act._asdict())

    def _on_direct_result(self, act: core.Send) -> None:
        """Take in a result as if the engine's agent had told it."""
        now = self._host.now()
        self._perform(
            self._coordinator.receive(act.dst, act.msg, self._engines, now)
        )

    def _tell_slow(self) -> None:
        """Tell the entries which targets are slow, while any is."""
        node = self._node
        if node is None or not self._coordinator.is_leader:
            return
        slow = self._coordinator.slow_targets()
        now = self._host.now()
        if not self._slow_news.is_due(slow, now):
            return
        for entry in node.discovery.nodes.live_nodes(
            directory_const.KIND_ENTRY, now
        ):
            self._host.send(core.Send(dst=entry.name, msg=slow))

    def _on_version(self, version: int) -> None:
        _log.info("version in force", version=version)
        assert self._node is not None
        declared = self._node.machine.declared()
        raw = zlib.decompress(declared.data)
        deployment = self._dialect.deployment(raw)
        self._engines = {
            service.name: service.engine
            for service in deployment.services
            if service.engine is not None
        }

    def _handle(self, answering: http_server.ResponseWriter) -> None:
        acts = self._calls.take(answering, self._node, self._host.now())
        self._perform(acts)


def _storage(
    folder: str,
) -> storage_lib.DiskStorage | null_storage.NullStorage:
    if not folder:
        return null_storage.NullStorage()
    return storage_lib.DiskStorage(
        folder=pathlib.Path(folder), synced_is_intact=True
    )


def run(
    *,
    cfg: deployed.NodeSettings,
    dialect: calls_lib.ControlDialect,
    engines: engine_client.EngineDialect,
) -> None:
    """Run a control VM until it is stopped."""

    async def main() -> None:
        await SiteControl(cfg=cfg, dialect=dialect, engines=engines).run()

    loop_host.run(main)
