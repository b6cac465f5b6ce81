"""Steps for what a process does by a version, however it came to hold it."""

import asyncio
import pathlib
import tempfile
import types
import zlib

from behave import given
from behave import then
from behave import when
import logbook

from features.harness import control_process
from features.harness import engines
from jasperweir import exceptions
from jasperweir.components.deployment import model
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import expert_counts
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine
from jasperweir.daemons import site_entry
from jasperweir.helpers import codec

DATA = zlib.compress(b"{}")


def replace(control, version):
    node = control._node
    started = node.replace(version, DATA, control._host.now())
    with logbook.NullHandler().applicationbound():
        control._perform(started.acts)
    control_process.run_until(
        control, lambda: node.machine.declared().version == version
    )


def start_leader(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    cfg = control_process.make_settings(folder)
    control = control_process.start_control(cfg)
    context.control = control
    context.add_cleanup(lambda: control_process.stop(context.control))
    lead(control)
    return cfg, control


def lead(control):
    control_process.run_until(
        control,
        lambda: (
            control._node is not None
            and control._node.voter.read_index(control._host.now()) is not None
        ),
    )


def compact(control):
    node = control._node
    acts = node.voter.compact(node.machine.table.revision, node.machine.dump())
    assert acts
    control._perform(acts)


def restart(cfg, control):
    control_process.stop(control)
    return control_process.start_control(cfg, bootstrap=False)


def hold_by_change(context):
    _, context.control = start_leader(context)
    replace(context.control, 9)


def hold_by_records(context):
    cfg, control = start_leader(context)
    replace(control, 9)
    context.control = restart(cfg, control)


def hold_by_snapshot(context):
    cfg, control = start_leader(context)
    replace(control, 9)
    compact(control)
    context.control = restart(cfg, control)
    assert not len(context.control._node.voter.log)


def hold_by_snapshot_and_entries(context):
    cfg, control = start_leader(context)
    replace(control, 8)
    compact(control)
    replace(control, 9)
    context.control = restart(cfg, control)
    assert len(context.control._node.voter.log)


def hold_by_installed_snapshot(context):
    cfg, control = start_leader(context)
    replace(control, 8)
    machine = state_machine.StateMachine()
    machine.load(control._node.machine.dump())
    op = ops.Replace(version=9, data=DATA)
    req = ops.Request("other", "c2", 0.0, codec.pack_tagged(op))
    machine.apply(50, codec.pack(req))
    data = machine.dump()
    voter = control._node.voter
    install = quorum_messages.Install(
        term=voter.term + 1,
        idx=50,
        entry_term=voter.term + 1,
        seats=voter.seats,
        offset=0,
        data=data,
        total=len(data),
        round=1,
    )
    with logbook.NullHandler().applicationbound():
        control._on_frame("c2", install)
    context.control = control


def hold_after_disk_error(context):
    cfg, control = start_leader(context)
    replace(control, 9)
    compact(control)
    with logbook.NullHandler().applicationbound():
        control._on_storage_error(exceptions.StorageError("disk is full"))
    control_process.run_until(control, lambda: control._node is not None)
    context.control = control


SOURCES = {
    "a change": hold_by_change,
    "the records on its disk": hold_by_records,
    "a snapshot on its disk": hold_by_snapshot,
    "a snapshot and later entries on its disk": hold_by_snapshot_and_entries,
    "a snapshot of the leader": hold_by_installed_snapshot,
    "a disk that failed for a moment": hold_after_disk_error,
}


@given("a control VM that holds version 9 from {source}")
def step_held_from(context, source):
    SOURCES[source](context)
    lead(context.control)
    assert context.control._node.machine.declared().version == 9


def heartbeat():
    state = engines.Group(ranks=1).state(engines.Rank(0, 1))
    return mapswitch_messages.EngineHeartbeat(
        service=control_process.SERVICE,
        address="10.0.0.1:80",
        term=0,
        state=state,
        choices=expert_counts.NO_COUNTS,
        experts=(),
    )


@when("an engine of a service in version 9 sends a heartbeat to it as leader")
def step_engine_heartbeat(context):
    with logbook.NullHandler().applicationbound():
        context.control._on_frame("agent", heartbeat())


@then("its planner tracks the group of that engine")
def step_tracks_group(context):
    groups = context.control._coordinator.groups()
    assert [group.name for group in groups] == [
        f"{control_process.SERVICE}/{heartbeat().state.group}"
    ], groups


@given("a group of engines that is planned by version 9")
def step_planned_group(context):
    context.coordinator = coordinator_lib.Coordinator(
        place="p", make_group=group_lib.Group
    )
    context.coordinator.set_term(1)
    context.old = engines.ENGINE
    context.new = engines.ENGINE._replace(spare=1)
    beat(context, context.old, 1.0)
    context.group = context.coordinator.groups()[0]


def beat(context, engine, now):
    context.coordinator.receive(
        "agent", heartbeat(), {control_process.SERVICE: engine}, now
    )


def planned_engine(context):
    assert context.coordinator.groups() == [context.group]
    return context.group._planner._engine


@when("version 12 allows fewer experts per change")
def step_change(context):
    assert planned_engine(context) == context.old
    beat(context, context.new, 1.2)


@then("the group plans by version 12 at its next heartbeat")
def step_plans_by_new(context):
    assert planned_engine(context) == context.new


@when("version 12 allows fewer experts per change during a switch")
def step_change_in_switch(context):
    context.group.phase = group_lib.Phase.PREPARING
    beat(context, context.new, 1.2)


@then(
    "the group plans by version 9 until the switch has ended, then by "
    "version 12"
)
def step_plans_by_old(context):
    assert planned_engine(context) == context.old
    context.group.phase = group_lib.Phase.IDLE
    beat(context, context.new, 1.4)
    assert planned_engine(context) == context.new


@given(
    "an entry that applies a version with a body limit of {limit:d} bytes "
    "before it listens"
)
def step_entry(context, limit):
    deployment = model.Deployment(
        version=9,
        routes=(),
        services=(),
        limits=model.Limits(body_bytes=limit),
        customers=(),
    )
    dialect = types.SimpleNamespace(deployment=lambda raw: deployment)
    cfg = control_process.make_settings(pathlib.Path(tempfile.mkdtemp()))
    with control_process.quiet_logs(), logbook.NullHandler().applicationbound():
        context.entry = site_entry.SiteEntry(
            cfg=cfg, dialect=dialect, engines=None
        )
        context.entry._apply_configuration(
            discovery_client.ApplyConfiguration(version=9, data=DATA)
        )


@when("it starts to listen for callers")
def step_listen(context):
    entry = context.entry

    async def run():
        task = asyncio.create_task(entry.run())
        for _ in range(200):
            await asyncio.sleep(0.01)
            if entry._server is not None:
                break
        context.limits = entry._server.limits
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        entry._host.link.stop()

    with logbook.NullHandler().applicationbound():
        asyncio.run(run())


@then("its body limit is {limit:d} bytes")
def step_body_limit(context, limit):
    assert context.limits.body_bytes == limit, context.limits
