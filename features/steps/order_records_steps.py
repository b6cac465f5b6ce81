"""Steps on the records of acknowledged orders at all control VMs."""

import json
import pathlib
import tempfile
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import logbook

from features.harness import control_process
from features.harness import site as site_lib
from jasperweir import core
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import leader_requests
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import node as node_lib
from jasperweir.components.configctl import order_records
from jasperweir.components.directory import records
from jasperweir.daemons import order_log
from jasperweir.helpers import codec
from jasperweir.helpers import hashing
from jasperweir.helpers import logs

Effect = messages.OrderEffect
LINE_LENGTH = 200
DISKLESS = "c4"


@given("a site that holds version 12 with one content")
def step_site(context):
    context.site = site = site_lib.Site(controls=4, diskless=(DISKLESS,))
    context.recorded = {name: [] for name in site.names}
    perform = site.perform

    def perform_and_note(name, acts):
        perform(name, acts)
        if name in context.recorded:
            kinds = order_records.OrderRecorded | node_lib.SoftStateUnreadable
            context.recorded[name] += [a for a in acts if isinstance(a, kinds)]

    site.perform = perform_and_note
    site.run(3.0)
    site.replace(site.leader(), 12, b"one")
    site.run(3.0)
    for found in context.recorded.values():
        found.clear()


@given("an entry that hears nothing any more")
def step_deaf(context):
    site = context.site
    site.deaf |= {(name, "e1") for name in site.names}


@when("an operator sends version {version:d} with {content} content")
def step_order(context, version, content):
    site = context.site
    context.asked = next(
        n for n in site.names if n not in (site.leader(), DISKLESS)
    )
    context.version = version
    context.data = b"one" if content == "the same" else b"two"
    asked = site.replace(context.asked, version, context.data)
    site.run(1.0)
    if isinstance(site.results[asked], discovery_server.Unconfirmed):
        # It was not in force yet; the operator sends the order again.
        site.replace(context.asked, version, context.data)
    site.run(2.0)


@when("versions 13 and 14 reach the leader at once, the higher one first")
def step_race(context):
    site = context.site
    context.asked = site.leader()
    for version in (14, 13):
        site.replace(site.leader(), version, f"content {version}".encode())
    site.run(3.0)


@then(
    "every control VM records that it was acknowledged, by whom, and that it is"
    " {effect}"
)
def step_recorded(context, effect):
    for name, acts in context.recorded.items():
        (act,) = acts
        record = act.record
        assert not act.is_repeated, name
        assert record.version == context.version, (name, record)
        assert record.content == hashing.checksum(context.data), name
        assert record.acknowledged_by == context.asked, (name, record)
        assert record.effect is Effect[effect.upper()], (name, record)
        assert (record.had, record.lacked) == (2, ()), (name, record)
    context.record = record


@then("its line is {level}")
def step_level(context, level):
    (line,) = write_lines(order_records.OrderRecorded(record=context.record))
    assert (line["level"] == "WARNING") == (level == "a warning"), line


@then("every control VM records version 13 as overtaken")
def step_overtaken(context):
    for name, acts in context.recorded.items():
        effects = {a.record.version: a.record.effect for a in acts}
        assert effects == {13: Effect.OVERTAKEN, 14: Effect.IN_FORCE}, (
            name,
            effects,
        )


@then("every control VM records that it lacks version 13")
def step_lacks(context):
    for name, acts in context.recorded.items():
        (act,) = acts
        assert act.record.lacked == (("e1", 12),), (name, act)
        assert act.record.had == 1, (name, act)
        assert act.record.expired == ("e1",), (name, act)
        assert act.record.unheard == (), (name, act)


@when("a control VM {where} ends and starts again")
def step_restart(context, where):
    site = context.site
    context.started = DISKLESS if where == "without a disk" else context.asked
    site.kill(context.started)
    if where == "without a disk":
        site.soft_states.pop(DISKLESS)
    site.run(1.0)
    context.recorded[context.started].clear()
    site.start(context.started)
    site.run(2.0)


@then("it records version 13 again, as acknowledged before its start")
def step_again(context):
    acts = context.recorded[context.started]
    repeated = {a.record.version for a in acts if a.is_repeated}
    assert 13 in repeated, acts
    versions = [a.record.version for a in acts]
    assert len(versions) == len(set(versions)), versions


@when("a control VM starts with the soft state of another release")
def step_other_release(context):
    site = context.site
    context.started = next(
        n for n in site.names if n not in (site.leader(), DISKLESS)
    )
    site.kill(context.started)
    site.soft_states[context.started] = codec.pack(
        records.TargetList(digest=0, targets=(), ages=())
    )
    site.start(context.started)
    site.run(2.0)


@then("it says so and holds version 12")
def step_unreadable(context):
    first = context.recorded[context.started][0]
    assert isinstance(first, node_lib.SoftStateUnreadable), first
    node = context.site.nodes[context.started]
    assert node.machine.declared().version == 12


@given("a record of an order whose version an entry lacks")
def step_record(context):
    context.record = messages.OrderRecord(
        version=45,
        content=0xFFFFFFFFFFFFFFFF,
        acknowledged_by="10.2.0.185:7220",
        number=1 << 47,
        effect=Effect.IN_FORCE,
        held=45,
        had=10,
        lacked=(messages.EntryVersion("10.3.0.185:7221", 44),),
        expired=("10.3.0.185:7221",),
        unheard=("10.3.0.185:7220",),
        waited_s=1.5,
    )


@when(
    "control VMs with names of 20 characters log it, before and after a start"
)
def step_log(context):
    context.lines = [
        json.dumps(line, separators=(",", ":"))
        for is_repeated in (False, True)
        for line in write_lines(
            order_records.OrderRecorded(
                record=context.record, is_repeated=is_repeated
            ),
            node="edge-ljubljana-a-131",
        )
    ]


def write_lines(act, node="c1"):
    """Return the log lines of a record, as a deployed process writes them."""
    handler = logs.BoundedHandler(level="INFO", node=node)
    metrics = types.SimpleNamespace(inc=mock.Mock())
    with logbook.NullHandler().applicationbound(), handler.applicationbound():
        order_log.OrderLog(metrics=metrics).record(act)
    return [json.loads(line) for line in handler._queue]


@then(
    "200 characters of each line have version, content, control VM and entries"
)
def step_cut(context):
    assert len(context.lines) == 2
    for line in context.lines:
        cut = line[:LINE_LENGTH]
        for told in (
            '"v":45',
            "f" * 16,
            '"by":"10.2.0.185"',
            '"had":10',
            '"lacked":["10.3.0.185=44"',
        ):
            assert told in cut, (told, cut)


@then("its control VM records it, tells the others, and then answers")
def step_order_of_actions(context):
    site = context.site
    node = site.nodes[site.leader()]
    asked = node.replace(13, b"two", site.now)
    kinds = [type(act) for act in asked.acts]
    answered = kinds.index(leader_requests.Replaced)
    assert kinds.index(order_records.OrderRecorded) < answered, kinds
    told = [act.dst for act in asked.acts[:answered] if type(act) is core.Send]
    assert sorted(told) == sorted(node.discovery.peers()), told


@then("a deployed control VM writes the line at once")
def step_flushed(context):
    record = context.site.nodes["c1"].orders.records.recent[-1]
    with tempfile.TemporaryDirectory() as folder:
        cfg = control_process.make_settings(pathlib.Path(folder))
        control = control_process.start_control(cfg)
        flush = mock.Mock(return_value=True)
        control._host._logs = types.SimpleNamespace(flush=flush)
        control._perform([order_records.OrderRecorded(record=record)])
        control_process.stop(control)
    flush.assert_called()
