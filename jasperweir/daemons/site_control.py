"""Deployed control VM: voter, discovery and expert map coordination."""

import asyncio
import pathlib
from typing import Any
import zlib

from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.configctl import const
from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import entry_check
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import log_view
from jasperweir.components.configctl import node as node_lib
from jasperweir.components.configctl import order_records
from jasperweir.components.configctl import seat_manager
from jasperweir.components.configctl import version_reports
from jasperweir.components.deployment import model
from jasperweir.components.directory import const as directory_const
from jasperweir.components.groups import const as groups_const
from jasperweir.components.groups import notifier as group_notifier
from jasperweir.components.mapswitch import actions as mapswitch_actions
from jasperweir.components.mapswitch import const as mapswitch_const
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.mapswitch import relays as relays_lib
from jasperweir.components.mapswitch import slow_target_notifier
from jasperweir.components.quarantine import messages as quarantine_messages
from jasperweir.components.quarantine import replication as replication_lib
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import null_storage
from jasperweir.components.quorum import storage as storage_lib
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import ops
from jasperweir.daemons import control_calls
from jasperweir.daemons import engine_client
from jasperweir.daemons import evacuation_page
from jasperweir.daemons import group_loader
from jasperweir.daemons import loop_host
from jasperweir.daemons import node_settings
from jasperweir.daemons import order_log
from jasperweir.daemons import spread_log
from jasperweir.daemons import version_audit_log
from jasperweir.helpers import hashing
from jasperweir.helpers import http_server
from jasperweir.helpers import logs

_log = logs.logger("control")

# Delay until storage is opened again after an error, seconds.
DISK_RETRY_SECONDS = 0.5
# Bits of the first request number after a start.
REQUEST_NUMBER_BITS = 48
# Interval at which changed soft state is saved, seconds.
SAVE_SOFT_STATE_SECONDS = 0.5
# Interval at which the leader updates the coordinator's agents and entries,
# seconds.
NODE_UPDATE_SECONDS = 0.1
# Interval of the check whether to send entries the slow targets, seconds.
SLOW_TARGET_CHECK_SECONDS = 0.1
# Delay between the transfer of leadership and the end of a stop, so that open
# calls are answered, seconds.
STOP_DELAY_SECONDS = 1.5
# Delay after the start until the planner is loaded, when entries have their
# configuration and before an election ends, seconds.
LOAD_GROUPS_DELAY_SECONDS = 0.3


class SiteControl:
    """Connects a ConfigNode and a Coordinator to a disk, a link and HTTP."""

    def __init__(
        self,
        *,
        cfg: node_settings.NodeSettings,
        dialect: calls_lib.ControlDialect,
        engines: engine_client.EngineDialect,
    ) -> None:
        self._cfg = cfg
        self._dialect = dialect
        self._host = loop_host.LoopHost(cfg=cfg, on_frame=self._on_frame)
        self._storage = _make_storage(cfg.data_folder)
        self._calls = control_calls.ControlCalls(
            dialect=dialect, data_centres=cfg.data_centres
        )
        page = evacuation_page.EvacuationPage(
            current=self._get_evacuations, start=self._start_call
        )
        self._host.pages[evacuation_page.PATH] = page.handle
        self._stopping = asyncio.Event()
        self._storage_retry_at = 0.0
        self._node: node_lib.ConfigNode | None = None
        self._group_loader = group_loader.GroupLoader()
        self._coordinator = coordinator_lib.Coordinator(
            place=cfg.place,
            name=cfg.internal,
            make_group=self._group_loader.create_group,
            term_at=self._get_leader_term,
        )
        self._mark_replication = replication_lib.ControlSpread()
        self._order_log = order_log.OrderLog(metrics=self._host.metrics)
        self._spread_log = spread_log.SpreadLog(metrics=self._host.metrics)
        self._version_audit_log = version_audit_log.VersionAuditLog(
            channel="control", metrics=self._host.metrics
        )
        self._engines: dict[str, model.Engine] = {}
        # Version that the engines are from.
        self._applied_version = 0
        # Sends orders directly to engines whose agents do not respond.
        self._remote_engines = engine_client.RemoteEngines(
            dialect=engines, send=self._on_direct_result
        )
        # Monotonic time of the coordinator's next update of agents and entries.
        self._next_node_update_at = 0.0
        # Whether planning continues before the next tick.
        self._plan_scheduled = False
        self._slow_target_notifier = slow_target_notifier.SlowTargetNotifier()
        self._group_notifier = group_notifier.GroupNotifier()
        # Commit index, directory digest and orders that were saved last.
        self._saved_state: tuple[int, int, tuple[Any, ...]] = (0, 0, ())

    async def run(self) -> None:
        """Serve until a stop signal."""
        await self._host.start(on_stop=self._on_stop, on_reload=self._on_reload)
        self._start_node()
        await self._host.serve(self._cfg.control, self._handle_call)
        if self._cfg.data_folder:
            # A VM without a disk never leads and needs no planner in memory.
            self._host.call_later(
                LOAD_GROUPS_DELAY_SECONDS, self._group_loader.load
            )
        self._host.call_every(const.TICK_SECONDS, self._tick)
        self._host.call_every(SAVE_SOFT_STATE_SECONDS, self._save_soft_state)
        self._host.call_every(
            SLOW_TARGET_CHECK_SECONDS, self._send_slow_targets
        )
        self._host.call_every(groups_const.CHECK_SECONDS, self._send_groups)
        await self._stopping.wait()
        await asyncio.sleep(STOP_DELAY_SECONDS)
        self._host.stop()
        self._storage.close()

    # Lifecycle.

    def _start_node(self) -> None:
        """Read the storage and start the node from the recovered state."""
        try:
            recovered = self._storage.open()
        except exceptions.StorageError as exc:
            self._on_storage_error(exc)
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
            first_number=self._host.rng.getrandbits(REQUEST_NUMBER_BITS),
            wall=self._host.clock.wall,
        )
        soft_state = self._storage.load_soft_state()
        self._perform(
            self._node.restore(recovered.commit_hint, soft_state, now)
        )
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

    def _on_storage_error(self, exc: exceptions.StorageError) -> None:
        """Discard the node and schedule a restart from the stored state."""
        _log.error("disk refuses", reason=str(exc))
        self._host.metrics.inc("disk_failures")
        self._node = None
        self._storage.close()
        self._storage_retry_at = self._host.now() + DISK_RETRY_SECONDS
        self._calls.reject_pending()

    def _on_stop(self) -> None:
        _log.info("stop asked for")
        if self._node is not None:
            self._perform(self._node.transfer_leadership(self._host.now()))
        self._stopping.set()

    def _on_reload(self) -> None:
        _log.info("reload ignored: seeds are read only at startup")

    def _tick(self) -> None:
        now = self._host.now()
        if self._node is None:
            if now >= self._storage_retry_at:
                self._start_node()
            return
        self._perform(self._node.tick(now))
        if self._node is not None:
            self._spread_log.tick(self._node, now)
            self._tick_coordinator(self._node, now)

    def _save_soft_state(self) -> None:
        """Save the soft state if it changed, for a faster restart."""
        self._mark_replication.tick(self._host.now())
        node = self._node
        if node is None:
            return
        state = (
            node.voter.commit,
            node.discovery.directory.digest,
            node.orders.records.recent,
        )
        if state == self._saved_state:
            return
        try:
            self._storage.save_commit_hint(node.voter.commit)
            self._storage.save_soft_state(node.soft_state(self._host.now()))
        except exceptions.StorageError as exc:
            # Without soft state only the next restart is slower.
            _log.warning("soft state not written", reason=str(exc))
            return
        self._saved_state = state

    def _tick_coordinator(self, node: node_lib.ConfigNode, now: float) -> None:
        """Update and tick the coordinator of expert map switches."""
        if self._get_leader_term(now) and now >= self._next_node_update_at:
            self._next_node_update_at = now + NODE_UPDATE_SECONDS
            for agent in node.discovery.nodes.live_nodes(
                directory_const.KIND_AGENT, now
            ):
                self._coordinator.on_agent(agent.name, agent.place, now)
            self._coordinator.set_entries(self._list_hold_senders(node, now))
            fresh_s = mapswitch_const.RELAY_FRESH_SECONDS
            relays = node.discovery.log_holders_by_place(now, fresh_s)
            self._coordinator.set_relays(relays)
        self._perform(self._coordinator.tick(now))
        self._schedule_plan()

    def _get_leader_term(self, now: float) -> int:
        """Return the term if this VM is the confirmed leader, otherwise 0."""
        if self._node is None or not self._group_loader.is_loaded:
            return 0
        is_leader = self._node.voter.read_index(now) is not None
        return self._node.voter.term if is_leader else 0

    def _schedule_plan(self) -> None:
        """Schedule the next part of a plan before the next tick."""
        if not self._coordinator.is_planning or self._plan_scheduled:
            return
        self._plan_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(mapswitch_const.PLAN_PAUSE_SECONDS, self._continue_plan)

    def _continue_plan(self) -> None:
        self._plan_scheduled = False
        if self._node is None:
            return
        self._perform(self._coordinator.tick(self._host.now()))
        self._schedule_plan()

    def _list_hold_senders(
        self, node: node_lib.ConfigNode, now: float
    ) -> list[str]:
        """Return the entries that may send holds of requests.

        Entries that are open and on a VM without control are preferred.
        """
        entries = node.discovery.nodes.live_nodes(
            directory_const.KIND_ENTRY, now
        )
        entries = [entry for entry in entries if entry.open] or entries
        control_addresses = {
            name.rpartition(":")[0] for name in node.discovery.controls
        }
        control_addresses.add(self._cfg.address)
        separate = [
            entry.name
            for entry in entries
            if entry.name.rpartition(":")[0] not in control_addresses
        ]
        return separate or [entry.name for entry in entries]

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
                    self._mark_replication.receive(
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
        self._schedule_plan()

    # Actions.

    def _perform(self, acts: node_lib.Actions) -> None:
        """Perform actions in order; saves are synced before later sends."""
        try:
            for act in acts:
                self._perform_one(act)
        except exceptions.StorageError as exc:
            self._on_storage_error(exc)
        self._follow_configuration()

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
            case seat_manager.SeatsChanged():
                self._record_seats(act)
            case node_lib.SoftStateUnreadable():
                _log.warning("soft state not read", reason=act.reason)
            case order_records.OrderRecorded():
                self._order_log.record(act)
                # Written before the operator is answered.
                self._host.flush_logs()
            case (
                entry_check.OtherContent()
                | entry_check.LateEntry()
                | entry_check.EntryRestarted()
            ):
                self._version_audit_log.record_check(act)
            case version_reports.Reported():
                self._version_audit_log.record(act.report)
            case mapswitch_actions.SendDirectly():
                self._host.metrics.inc("orders_given_directly")
                self._remote_engines.submit(act.agent, act.request)
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
                self._record_switch(act)
            case evacuations_lib.EvacuationsChanged():
                _log.info("evacuations committed", **act.evacuations._asdict())
            case (
                requests_lib.Replaced()
                | evacuations_lib.Evacuated()
                | requests_lib.Described()
                | discovery_server.Acknowledged()
                | discovery_server.Unconfirmed()
            ):
                self._calls.send_result(act)

    def _record_switch(self, act: mapswitch_actions.SwitchCompleted) -> None:
        """Record the durations of a switch's phases."""
        metrics = self._host.metrics
        metrics.observe("map_copying_seconds", act.copying_s)
        metrics.observe("map_ordering_seconds", act.ordering_s)
        metrics.observe("map_settling_seconds", act.settling_s)
        _log.info("expert map switched", **act._asdict())

    def _record_seats(self, act: seat_manager.SeatsChanged) -> None:
        """Record the voters and whether fewer than wanted are accepted."""
        voting = len(act.voters)
        self._host.metrics.gauge("voting_seats", float(voting))
        self._host.metrics.gauge("wanted_seats", float(act.wanted))
        self._host.metrics.gauge("seats_reduced", float(act.reduced))
        _log.info(
            "voters changed",
            seats=voting,
            wanted=act.wanted,
            reduced=act.reduced,
            voters=list(act.voters),
        )

    def _on_direct_result(self, act: core.Send) -> None:
        """Handle a direct order's result like one from the engine's agent."""
        now = self._host.now()
        self._perform(
            self._coordinator.receive(act.dst, act.msg, self._engines, now)
        )

    def _send_slow_targets(self) -> None:
        """Send the list of slow targets to the entries if an update is due."""
        node = self._node
        if node is None or not self._coordinator.is_leader:
            return
        slow = self._coordinator.slow_targets()
        now = self._host.now()
        if not self._slow_target_notifier.is_due(slow, now):
            return
        for entry in node.discovery.nodes.live_nodes(
            directory_const.KIND_ENTRY, now
        ):
            self._host.send(core.Send(dst=entry.name, msg=slow))

    def _send_groups(self) -> None:
        """Send the list of groups to the entries for which it is due."""
        node = self._node
        if node is None:
            return
        now = self._host.now()
        due = self._group_notifier.tick(
            term=self._get_leader_term(now),
            groups=self._coordinator.list_groups(now),
            entries=node.discovery.nodes.live_nodes(
                directory_const.KIND_ENTRY, now
            ),
            now=now,
        )
        for act in due:
            self._host.send(act)
        if due:
            _log.info(
                "groups sent",
                entries=len(due),
                sequence=due[0].msg.sequence,
                groups={
                    f"{g.service}/{g.name}": [
                        g.epoch,
                        len(g.addresses),
                        "open" if g.is_open else "closed",
                    ]
                    for g in due[0].msg.groups
                },
            )

    def _follow_configuration(self) -> None:
        """Apply the version that the state machine holds, if it is newer.

        It may come from an entry, a snapshot on the disk or one of the leader.
        """
        if self._node is None:
            return
        declared = self._node.machine.declared()
        if declared.version <= self._applied_version:
            return
        orders = self._node.orders.records.recent
        # Lines may be cut, so what is known from before a start comes first.
        before_start = (
            {}
            if self._applied_version
            else {"orders": order_log.summarize(orders)}
        )
        self._applied_version = declared.version
        self._spread_log.on_version(
            self._node, declared.version, self._host.now()
        )
        _log.info(
            "version in force",
            version=declared.version,
            **before_start,
            content=f"{hashing.checksum(declared.data):x}",
            synced_by=log_view.list_synced(self._node.voter),
            term=self._node.voter.term,
            leader=self._node.voter.leader,
        )
        raw = zlib.decompress(declared.data)
        deployment = self._dialect.deployment(raw)
        self._engines = {
            service.name: service.engine
            for service in deployment.services
            if service.engine is not None
        }

    def _handle_call(self, answering: http_server.ResponseWriter) -> None:
        acts = self._calls.handle(answering, self._node, self._host.now())
        self._perform(acts)

    def _start_call(
        self, answering: http_server.ResponseWriter, call: calls_lib.Evacuate
    ) -> None:
        self._perform(
            self._calls.start(answering, call, self._node, self._host.now())
        )

    def _get_evacuations(self) -> ops.EvacuationList | None:
        return self._node.machine.evacuations() if self._node else None


def _make_storage(
    folder: str,
) -> storage_lib.DiskStorage | null_storage.NullStorage:
    if not folder:
        return null_storage.NullStorage()
    return storage_lib.DiskStorage(
        folder=pathlib.Path(folder), synced_is_intact=True
    )


def run(
    *,
    cfg: node_settings.NodeSettings,
    dialect: calls_lib.ControlDialect,
    engines: engine_client.EngineDialect,
) -> None:
    """Run a control VM until a stop signal."""

    async def main() -> None:
        await SiteControl(cfg=cfg, dialect=dialect, engines=engines).run()

    loop_host.run(main)
