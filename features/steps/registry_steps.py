"""Steps on the registry, its deltas, rolls and settings errors."""

import pathlib

from behave import given
from behave import then
from behave import when

from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.bundle import flat_content
from jasperweir.components.config import replica as replica_lib
from jasperweir.components.control import const as control_const
from jasperweir.components.control import messages as control_messages
from jasperweir.components.control import rollout as rollout_lib
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.daemons import config
from jasperweir.helpers import codec
from jasperweir.helpers import settings

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
Code = result_codes.Code
PLACES = ("agadir-hall", "inezgane-hall", "taroudant-hall")


class RegistryClient:
    """Applies operations of operators to a state machine."""

    def __init__(self):
        self.machine = state_machine_lib.StateMachine()
        self.machine.table.log_id = "log"
        self.log_index = 0
        self.op_count = 0

    def apply(self, op, op_id="", who="ana"):
        self.log_index += 1
        self.op_count += 1
        req = ops.Request(
            op_id or f"op-{self.op_count}", who, 1.0, codec.pack_tagged(op)
        )
        return self.machine.apply(self.log_index, codec.pack(req))

    def sign_off(self, content, op_id="", parent=None, digest=""):
        head = self.machine.head if parent is None else parent
        change = flat_content.diff(self.machine.content(head), content)
        op = ops.SignOff(
            head,
            tuple(sorted(change.items())),
            digest or flat_content.content_hash(content),
            "",
        )
        return self.apply(op, op_id)

    def roll(self, version):
        answer = self.apply(ops.Roll(version))
        for place in PLACES:
            self.apply(ops.RollStep(version, place))
        return answer

    def content_with(self, **keys):
        content = dict(self.machine.content(self.machine.head))
        for key, value in keys.items():
            content[f"callers\x1f{key}"] = value
        return content


@given("a registry with the example bundle applied")
def step_registry(context):
    context.registry = RegistryClient()
    context.content = flat_content.read(ROOT / "examples" / "souss.ini")
    assert context.registry.sign_off(context.content).code == Code.ACCEPTED
    assert context.registry.roll(1).code == Code.ACCEPTED


@when("two operators sign off different changes on the same parent")
def step_concurrent_sign_offs(context):
    registry = context.registry
    first = registry.content_with(address_ttl_s="11")
    second = registry.content_with(address_ttl_s="12")
    context.answers = [
        registry.sign_off(first, parent=1),
        registry.sign_off(second, parent=1),
    ]


@then('one is accepted and the other is refused with "{name}"')
def step_one_accepted(context, name):
    codes = [Code(a.code).name for a in context.answers]
    assert codes == ["ACCEPTED", name], codes


@when("an operation is resent after other operations and a compaction")
def step_resend(context):
    registry = context.registry
    content = registry.content_with(address_ttl_s="11")
    context.first = registry.sign_off(content, op_id="same")
    for i in range(20, 30):
        registry.sign_off(registry.content_with(address_ttl_s=str(i)))
    again = state_machine_lib.StateMachine()
    again.load(registry.machine.dump())
    registry.machine = again
    context.head = registry.machine.head
    op = ops.SignOff(
        1,
        tuple(sorted(flat_content.diff(context.content, content).items())),
        flat_content.content_hash(content),
        "",
    )
    context.again = registry.apply(op, "same")


@then("it gets the first answer and is not applied again")
def step_same_answer(context):
    assert context.again == context.first
    assert context.registry.machine.head == context.head == 12


@when("an operation ID is reused for another change")
def step_reuse_op_id(context):
    registry = context.registry
    registry.sign_off(registry.content_with(address_ttl_s="11"), op_id="same")
    context.answer = registry.sign_off(
        registry.content_with(address_ttl_s="12"), op_id="same"
    )


@when("a change does not match its content hash")
def step_tamper(context):
    registry = context.registry
    context.answer = registry.sign_off(
        registry.content_with(address_ttl_s="11"), digest="0" * 64
    )


@when("a bundle names a place that does not exist")
def step_unknown_place(context):
    content = dict(context.content)
    content["service weir-assist\x1fplaces"] = "nowhere"
    context.answer = context.registry.sign_off(content, digest="0" * 64)


@then('the answer is "{name}"')
def step_answer(context, name):
    assert Code(context.answer.code).name == name, context.answer


@when("a second version is rolled and then withdrawn")
def step_withdraw(context):
    registry = context.registry
    registry.sign_off(registry.content_with(address_ttl_s="11"))
    registry.roll(2)
    context.answer = registry.apply(ops.Withdraw(2, "too slow"))


@then("every place is at version 3 with the content of version 1")
def step_withdrawn_content(context):
    machine = context.registry.machine
    assert context.answer.version == 3
    for place in PLACES:
        assert codec.unpack(machine.table.get(f"place/{place}"), int) == 3
    assert machine.content(3) == context.content


@then("the withdrawn version cannot be rolled again")
def step_no_roll(context):
    answer = context.registry.apply(ops.Roll(2))
    assert answer.code == Code.WITHDRAWN


@when("{count:d} changes are made while a node is disconnected")
def step_missed_changes(context, count):
    context.node = make_replica(context.registry.machine)
    for i in range(count):
        content = context.registry.content_with(deadline_s=str(10 + i % 50))
        context.registry.sign_off(content)
        if i == count // 2:
            context.registry.roll(context.registry.machine.head)
    context.registry.roll(context.registry.machine.head)


def make_replica(machine):
    node = replica_lib.Replica(place=PLACES[0])
    node.table.apply(machine.table.delta(0))
    node.min_revision = node.table.revision
    assert node.refresh()
    return node


@then("one delta of at most {count:d} keys brings the node up to date")
def step_one_delta(context, count):
    machine = context.registry.machine
    delta = machine.table.delta(context.node.table.revision)
    moved = [i for i in delta.items if not i.key.startswith("version/")]
    assert len(moved) <= count, [i.key for i in moved]
    assert context.node.table.apply(delta)
    assert context.node.refresh()
    assert context.node.version == machine.head == 501


@given("a node that is up to date")
def step_up_to_date(context):
    registry = context.registry
    context.old = registry.machine.table.delta(0)
    registry.sign_off(registry.content_with(address_ttl_s="11"))
    registry.roll(2)
    context.node = make_replica(registry.machine)


@then("an old delta changes nothing")
def step_old_delta(context):
    assert not context.node.table.apply(context.old)
    assert not context.node.refresh() and context.node.version == 2


@then("a delta of another log changes nothing")
def step_other_log(context):
    delta = context.registry.machine.table.delta(0)
    foreign = delta._replace(log_id="other", upto=10**6)
    assert not context.node.table.apply(foreign)


@then("a corrupt delta does not change the version")
def step_corrupt_delta(context):
    registry = context.registry
    registry.sign_off(registry.content_with(address_ttl_s="13"))
    registry.roll(3)
    delta = registry.machine.table.delta(context.node.table.revision)
    items = tuple(
        i._replace(value=codec.pack(((3, "99"),)))
        if i.key.startswith("bundle/")
        else i
        for i in delta.items
    )
    context.node.table.apply(delta._replace(items=items))
    assert not context.node.refresh()
    assert context.node.version == 2 and context.node.rejected_count == 1


@then("a lower version pointer does not change the version")
def step_lower_pointer(context):
    node = context.node
    pointer = f"place/{PLACES[0]}"
    node.table.put(pointer, codec.pack(1), node.table.revision + 1)
    assert not node.refresh() and node.version == 2
    # Continue from this revision, so that the next pointer is newer.
    context.registry.log_index = node.table.revision


@then("the node serves only after it reaches its minimum revision")
def step_min_revision(context):
    node = context.node
    node.min_revision = None
    assert not node.is_ready
    node.min_revision = node.table.revision + 1
    assert not node.is_ready
    node.min_revision = node.table.revision
    assert node.is_ready


def make_reports(revisions, burn=0.0, now=0.0):
    return {
        name: rollout_lib.HeartbeatReport(
            control_messages.Heartbeat(1, 1, "p", revision, 1, burn), now
        )
        for name, revision in revisions.items()
    }


NODES = {p: [f"n-{p}"] for p in PLACES}


def propose_next_op(context, revision, burn, now):
    table = context.registry.machine.table
    op = context.rollout.next_op(
        state=context.registry.machine.roll(),
        revisions={p: table.revision_of(f"place/{p}") for p in PLACES},
        nodes=NODES,
        reports=make_reports({f"n-{p}": revision for p in PLACES}, burn, now),
        now=now,
    )
    if op is not None:
        context.registry.apply(op)
    return op


def start_roll(context):
    registry = context.registry
    context.rollout = rollout_lib.Rollout()
    registry.sign_off(registry.content_with(address_ttl_s="11"))
    registry.apply(ops.Roll(2))
    assert propose_next_op(context, 0, 0.0, 0.0).place == PLACES[0]


@when("a second version is rolled and the nodes of one place lag")
def step_nodes_lag(context):
    start_roll(context)
    times = [control_const.GATE_TIMEOUT_SECONDS * i / 9 for i in range(1, 9)]
    context.lagging = [propose_next_op(context, 0, 0.0, now) for now in times]


@then("the roll waits there and continues when they have caught up")
def step_roll_waits(context):
    assert context.lagging == [None] * 8
    newest = context.registry.machine.table.revision
    almost_timeout = control_const.GATE_TIMEOUT_SECONDS * 0.95
    assert propose_next_op(context, newest, 0.0, almost_timeout) is None
    soaked = almost_timeout + control_const.SOAK_SECONDS
    assert propose_next_op(context, newest, 0.0, soaked).place == PLACES[1]


@when("a second version is rolled and the first place burns its budget")
def step_budget_burns(context):
    start_roll(context)
    newest = context.registry.machine.table.revision
    context.op = propose_next_op(context, newest, 50.0, 1.0)


@then("the roll halts with the reason and reaches no further place")
def step_roll_halted(context):
    assert isinstance(context.op, ops.RollHalt)
    state = context.registry.machine.roll()
    assert "burn rate 50.0" in state.halted and len(state.pending) == 2
    assert propose_next_op(context, 10**6, 0.0, 60.0) is None


@then("invalid settings are reported with file, section, key, found, allowed")
def step_wrong_settings(context):
    path = context.folder / "entry.ini"
    path.write_text(
        "[node]\nname = a b\nplace = x\ncolour = red\n"
        "[listen]\ninternal = 1.2.3:7\nhttp = 127.0.0.1:80\n"
        "[control]\nvoters = c1@127.0.0.1:1\n[extra]\n"
    )
    try:
        settings.read(path, config.ENTRY_SCHEMA)
    except exceptions.SettingsError as exc:
        found = "\n".join(exc.problems)
        assert len(exc.problems) == 4, found
        for part in ("[node] name: found 'a b'", "[node] colour: unknown",
                     "[listen] internal: found '1.2.3:7'; allowed: IP:PORT",
                     "[extra]: unknown section"):  # fmt: skip
            assert part in found, found
        return
    raise AssertionError("wrong settings were accepted")


@then('the example "{name}" is a valid bundle with {count:d} places')
def step_example(context, name, count):
    content = flat_content.read(ROOT / "examples" / f"{name}.ini")
    assert len(flat_content.typed(content).places) == count
