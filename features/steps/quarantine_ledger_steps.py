"""Steps on the quarantine of requests that crash targets."""

import contextlib
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from features.harness import quarantine
from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.agent import crash_counter
from jasperweir.components.limits import retry
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.components.request import actions
from jasperweir.components.request import events
from jasperweir.components.request import state_machine as state_machine_lib
from jasperweir.helpers import codec

REQUEST = "bad"


@given(
    "{entries:d} entries in {data_centres:d} data centres "
    "with {controls:d} control VMs"
)
def step_entries(context, entries, data_centres, controls):
    context.scene = quarantine.Scene(
        entries=entries,
        controls=controls,
        data_centres=data_centres,
        cell=15,
        seed=1,
    )
    context.scene.run(0.5)


@given("{lost:d} of 10 messages are lost")
def step_lost(context, lost):
    context.scene.loss = lost / 10


@given("the first entry reaches one control VM and no entry")
def step_cut(context):
    scene = context.scene
    scene.isolate("e0")
    scene.cuts.discard(frozenset(("e0", "c1")))


@when("two targets crash under a request at two entries")
def step_two_crashes(context):
    scene = context.scene
    scene.bytes = 0
    for name in ("e0", "e1"):
        assert scene.send_request(name, REQUEST)
    scene.run(const.CHECK_SECONDS + quarantine.STEP_SECONDS)


@when("two targets crash under a request at the first entry")
def step_two_crashes_first(context):
    for _ in range(2):
        assert context.scene.send_request("e0", REQUEST)


@when("a target crashes under a request at two entries, and the second dies")
def step_dies(context):
    scene = context.scene
    assert scene.send_request("e0", REQUEST)
    assert scene.send_request("e1", REQUEST)
    scene.run(const.CHECK_SECONDS / 2)
    scene.kill("e1")


@when("a target crashes under it at a third entry")
def step_third_crash(context):
    assert context.scene.send_request("e2", REQUEST)


@when("an entry restarts")
def step_restart(context):
    context.scene.run(0.5)
    context.scene.kill("e3")


@when("all control VMs restart, and then an entry")
def step_controls(context):
    scene = context.scene
    scene.run(0.5)
    for name in scene.controls:
        scene.kill(name)
    scene.run(3.0)
    scene.kill("e3")


@when("a request crashes targets with {count:d} others beside it each time")
def step_beside(context, count):
    scene = context.scene
    context.others = []
    for round_number in range(2):
        name = f"e{round_number}"
        assert scene.send_request(name, REQUEST)
        _, _, target = scene.entries[name].checks[-1]
        for number in range(count):
            other = f"harmless-{round_number}-{number}"
            context.others.append(other)
            at = scene.now + const.CHECK_SECONDS
            scene.entries[name].checks.append((at, other, target))
        scene.run(1.0)


@then("none of the others is quarantined")
def step_others(context):
    for other in context.others:
        assert not context.scene.quarantining_entries(other), other


@when("{count:d} requests crash targets at random entries for {seconds:g} s")
def step_several(context, count, seconds):
    scene = context.scene
    context.requests = [f"bad{number}" for number in range(count)]
    rng = random.Random(5)
    until = scene.now + seconds
    while scene.now < until:
        scene.send_request(
            rng.choice([*scene.entries]), rng.choice(context.requests)
        )
        scene.run(0.05)


@then("each of them has crashed at most {count:d} targets")
def step_each(context, count):
    counts = [len(context.scene.crashes[name]) for name in context.requests]
    assert all(0 < found <= count for found in counts), counts


@when("a third entry receives a complete answer to it that was under way")
def step_complete_answer(context):
    scene = context.scene
    scene.run(0.2)
    ledger = scene.entries["e2"].ledger
    marks = ledger.clear_marks(quarantine.content(REQUEST), scene.now)
    scene.send_marks("e2", marks)


@when("an operator lifts its quarantine at one entry")
def step_lift(context):
    scene = context.scene
    scene.run(0.2)
    ledger = scene.entries["e2"].ledger
    quarantined = list(ledger.list_quarantined(scene.now))
    scene.send_marks("e2", ledger.lift(quarantined, scene.now))


@then("every entry quarantines it within {seconds:g} s")
def step_all_quarantine(context, seconds):
    context.scene.run(seconds)
    missing = set(context.scene.entries) - context.scene.quarantining_entries(
        REQUEST
    )
    assert not missing, missing


@then("every entry quarantines it {seconds:g} s after the second check")
def step_all_quarantine_after_check(context, seconds):
    step_all_quarantine(context, seconds)


@then("no entry quarantines it after {seconds:g} s")
def step_none_quarantines(context, seconds):
    context.scene.run(seconds)
    assert not context.scene.quarantining_entries(REQUEST), (
        context.scene.quarantining_entries(REQUEST)
    )


@then("the processes exchange less than {most:d} KB in all")
def step_bytes(context, most):
    assert 0 < context.scene.bytes < most * 1000, context.scene.bytes


# Fingerprints.


@then("a request that differs in its {part} is {same}")
def step_differs(context, part, same):
    customer = "two" if part == "customer" else "one"
    other = {
        "path": {"path": b"/safe/y"},
        "query": {"path": b"/safe/x?a=1"},
        "body": {"body": b"y"},
        "method": {"method": b"GET"},
        "header": {"headers": [(b"x-any", b"1")]},
        "customer": {},
    }[part]
    first = quarantine.compute(quarantine.request(), "one")
    second = quarantine.compute(quarantine.request(**other), customer)
    assert (first == second) == (same == "the same")


@then(
    "in {count:d} random schedules no request is sent more than {most:d} times "
    "after its quarantine"
)
def step_schedules(context, count, most):
    for seed in range(count):
        scene, bad = quarantine.run_schedule(seed)
        for name in bad:
            found = quarantine.count_late_sends(scene, name)
            assert found <= most, (seed, name, found)


# An agent and the native interface.


@given("an agent whose engine crashes, restarts and crashes again")
def step_agent(context):
    context.listening = True
    context.crash_counter = crash_counter.CrashCounter(
        is_listening=lambda: context.listening
    )


@then("two runs broken by the first crash are reported with number 1")
def step_first_end(context):
    context.listening = False
    numbers = [context.crash_counter.detect_crash() for _ in range(2)]
    assert numbers == [1, 1], numbers


@then("a run broken by the second crash is reported with number 2")
def step_second_end(context):
    context.listening = True
    context.crash_counter.record_answer()
    context.listening = False
    assert context.crash_counter.detect_crash() == 2


@then(
    "a run whose answer was cut while the engine listens is reported with"
    " number 0"
)
def step_listens(context):
    context.listening = True
    assert context.crash_counter.detect_crash() == 0


@then(
    "runs broken by {count:d} crashes without an answer in between have numbers"
    " 1 to {last:d}"
)
def step_numbers(context, count, last):
    numbers = []
    for _ in range(count):
        context.listening = True
        context.crash_counter.check_restart()
        context.listening = False
        numbers.append(context.crash_counter.detect_crash())
    assert numbers == [*range(1, last + 1)], numbers


def native_life():
    """Return the state of a request of the native interface."""
    return state_machine_lib.RequestStateMachine(
        rid="r", keyed=False, first=True, budget=retry.RetryBudget(tokens=10.0)
    )


DENIED = events.Denied(code=result_codes.Code.ENDS_TARGETS, retry_after=600.0)


@given("a request of the native interface that an engine may have begun")
def step_begun(context):
    context.life = native_life()
    context.life.handle(events.Admitted())
    context.life.handle(events.Picked(name="t", inc=1, http="t:1"))
    broke = events.Broke(relayed=0, ended=True, engine_end=1)
    action = context.life.handle(broke)
    assert isinstance(action, actions.Pick), action


@when("it is denied before its retry because engines crashed under it")
def step_denied(context):
    context.action = context.life.handle(DENIED)


@then("its caller receives code 3001")
def step_code_3001(context):
    assert context.action.code == 3001, context.action


@then("one that is denied before its first attempt receives code 2009")
def step_code_2009(context):
    action = native_life().handle(DENIED)
    assert (action.code, action.retry_after) == (2009, 600.0), action


# Arbitrary marks and frames.

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=20,
)
MARKS = st.builds(
    messages.Mark,
    outline=st.integers(0, 3),
    content=st.binary(max_size=1),
    target_id=st.text(max_size=1),
    born=st.integers(0, 2),
    void=st.booleans(),
    age_s=st.floats(),
)


def check_examples(count, strategy, check):
    """Run a check on generated values, the same ones every time."""

    @hypothesis.settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(strategy)
    def run(value):
        check(value)

    run()


@then(
    "{count:d} random lists of marks leave ledgers that agree, are bounded"
    " and expire"
)
def step_any_marks(context, count):
    def check(marks):
        first, second = ledger_lib.Ledger(), ledger_lib.Ledger()
        first.merge(tuple(marks), 1000.0)
        second.merge(first.marks(1000.0), 1000.0)
        assert first.digest == second.digest
        assert len(first) <= const.RECORDS_MAX
        later = 1000.0 + 3 * const.QUARANTINE_MAX_SECONDS
        first.tick(later)
        assert len(first) == 0, first.marks(later)
        assert first.digest == 0

    check_examples(count, st.lists(MARKS, max_size=30), check)


@then("{count:d} random frames of every kind are decoded or rejected")
def step_any_frames(context, count):
    def check(value):
        kind, body, version = value
        raw = msgspec.msgpack.encode(body)
        env = codec.Envelope(
            version=version,
            kind=kind,
            src="a",
            src_inc=1,
            src_addr="a",
            dst="b",
            dst_inc=0,
            body=msgspec.Raw(raw),
        )
        data = msgspec.msgpack.encode(env)
        for end in (len(data), len(data) // 2):
            with contextlib.suppress(exceptions.FrameError):
                codec.decode(data[:end])

    kinds = st.sampled_from([*codec.list_kinds(), "no.such"])
    versions = st.sampled_from([codec.FRAME_VERSION, 0, 2])
    check_examples(count, st.tuples(kinds, VALUES, versions), check)
