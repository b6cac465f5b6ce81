"""Steps on what processes remember of requests under which targets end."""

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
from jasperweir.components.agent import ends as ends_lib
from jasperweir.components.limits import retry
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.components.request import actions
from jasperweir.components.request import events
from jasperweir.components.request import state_machine as state_machine_lib
from jasperweir.helpers import codec

WHAT = "bad"


@given(
    "{entries:d} entries in {places:d} data centres "
    "with {controls:d} control VMs"
)
def step_entries(context, entries, places, controls):
    context.scene = quarantine.Scene(
        entries=entries, controls=controls, places=places, cell=15, seed=1
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


@when("two targets end under a request at two entries")
def step_two_ends(context):
    scene = context.scene
    scene.bytes = 0
    for name in ("e0", "e1"):
        assert scene.comes(name, WHAT)
    scene.run(const.CHECK_SECONDS + quarantine.STEP)


@when("two targets end under a request at the first entry")
def step_two_ends_first(context):
    for _ in range(2):
        assert context.scene.comes("e0", WHAT)


@when("a target ends under a request at two entries, and the second dies")
def step_dies(context):
    scene = context.scene
    assert scene.comes("e0", WHAT)
    assert scene.comes("e1", WHAT)
    scene.run(const.CHECK_SECONDS / 2)
    scene.kill("e1")


@when("a target ends under it at a third entry")
def step_third(context):
    assert context.scene.comes("e2", WHAT)


@when("an entry starts again")
def step_restart(context):
    context.scene.run(0.5)
    context.scene.kill("e3")


@when("all control VMs start again, and then an entry")
def step_controls(context):
    scene = context.scene
    scene.run(0.5)
    for name in scene.controls:
        scene.kill(name)
    scene.run(3.0)
    scene.kill("e3")


@when("a request ends targets with {count:d} others beside it each time")
def step_beside(context, count):
    scene = context.scene
    context.others = []
    for round_ in range(2):
        name = f"e{round_}"
        assert scene.comes(name, WHAT)
        _, _, target = scene.entries[name].checks[-1]
        for number in range(count):
            other = f"well-{round_}-{number}"
            context.others.append(other)
            at = scene.now + const.CHECK_SECONDS
            scene.entries[name].checks.append((at, other, target))
        scene.run(1.0)


@then("none of the others is kept from targets")
def step_others(context):
    for other in context.others:
        assert not context.scene.holders(other), other


@when("{count:d} requests end targets at random entries for {seconds:g} s")
def step_several(context, count, seconds):
    scene = context.scene
    context.several = [f"bad{number}" for number in range(count)]
    rng = random.Random(5)
    until = scene.now + seconds
    while scene.now < until:
        scene.comes(rng.choice([*scene.entries]), rng.choice(context.several))
        scene.run(0.05)


@then("each of them has ended no more than {count:d} targets")
def step_each(context, count):
    ended = [len(context.scene.ends[what]) for what in context.several]
    assert all(0 < found <= count for found in ended), ended


@when("a third entry gets a whole answer to it that was under way")
def step_whole(context):
    scene = context.scene
    scene.run(0.2)
    ledger = scene.entries["e2"].ledger
    marks = ledger.absolve(quarantine.content(WHAT), scene.now)
    scene.tell("e2", marks)


@when("an operator lifts it at one entry")
def step_lift(context):
    scene = context.scene
    scene.run(0.2)
    ledger = scene.entries["e2"].ledger
    held = list(ledger.held(scene.now))
    scene.tell("e2", ledger.lift(held, scene.now))


@then("every entry keeps it from targets {seconds:g} s later")
def step_all_hold(context, seconds):
    context.scene.run(seconds)
    missing = set(context.scene.entries) - context.scene.holders(WHAT)
    assert not missing, missing


@then("every entry keeps it from targets {seconds:g} s after the second check")
def step_all_hold_soon(context, seconds):
    step_all_hold(context, seconds)


@then("no entry keeps it from targets {seconds:g} s later")
def step_none_holds(context, seconds):
    context.scene.run(seconds)
    assert not context.scene.holders(WHAT), context.scene.holders(WHAT)


@then("that took less than {most:d} KB between all of them")
def step_bytes(context, most):
    assert 0 < context.scene.bytes < most * 1000, context.scene.bytes


# One ledger.


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
    first = quarantine.of(quarantine.request(), "one")
    second = quarantine.of(quarantine.request(**other), customer)
    assert (first == second) == (same == "the same")


@then(
    "in {count:d} drawn schedules no request goes to targets more than "
    "{most:d} times late"
)
def step_schedules(context, count, most):
    for seed in range(count):
        scene, bad = quarantine.schedule(seed)
        for what in bad:
            found = quarantine.late_retries(scene, what)
            assert found <= most, (seed, what, found)


# A forwarder with sockets.


@given("an agent whose engine ends, comes back and ends again")
def step_agent(context):
    context.listening = True
    context.agent_ends = ends_lib.EngineEnds(listens=lambda: context.listening)


@then("two runs that the first end broke are told number 1")
def step_first_end(context):
    context.listening = False
    numbers = [context.agent_ends.after_break() for _ in range(2)]
    assert numbers == [1, 1], numbers


@then("a run that the second end broke is told number 2")
def step_second_end(context):
    context.listening = True
    context.agent_ends.answered()
    context.listening = False
    assert context.agent_ends.after_break() == 2


@then("a run whose answer was cut while the engine listens is told number 0")
def step_listens(context):
    context.listening = True
    assert context.agent_ends.after_break() == 0


def own_life():
    return state_machine_lib.RequestStateMachine(
        rid="r", keyed=False, first=True, budget=retry.RetryBudget()
    )


DENIED = events.Denied(code=result_codes.Code.ENDS_TARGETS, retry_after=600.0)


@given("a request of the own interface that an engine may have begun")
def step_begun(context):
    context.life = own_life()
    context.life.handle(events.Admitted())
    context.life.handle(events.Picked(name="t", inc=1, http="t:1"))
    broke = events.Broke(relayed=0, ended=True, engine_end=1)
    action = context.life.handle(broke)
    assert isinstance(action, actions.Pick), action


@when("it is denied before its second send, since engines ended under it")
def step_denied(context):
    context.action = context.life.handle(DENIED)


@then("its caller is told 3001")
def step_unknown(context):
    assert context.action.code == 3001, context.action


@then("one that is denied before its first send is told 2009")
def step_not_run(context):
    action = own_life().handle(DENIED)
    assert (action.code, action.retry_after) == (2009, 600.0), action


# What others write.

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


def drawn(count, strategy, check):
    """Run a check on drawn values; the same ones every time."""

    @hypothesis.settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(strategy)
    def run(value):
        check(value)

    run()


@then(
    "{count:d} drawn marks leave a ledger that forgets, agrees and is bounded"
)
def step_any_marks(context, count):
    def check(marks):
        first, second = ledger_lib.Ledger(), ledger_lib.Ledger()
        first.merge(tuple(marks), 1000.0)
        second.merge(first.marks(1000.0), 1000.0)
        assert first.digest == second.digest
        assert len(first) <= const.RECORDS_MAX
        later = 1000.0 + 3 * const.HOLD_MAX_SECONDS
        first.tick(later)
        assert len(first) == 0, first.marks(later)
        assert first.digest == 0

    drawn(count, st.lists(MARKS, max_size=30), check)


@then("{count:d} drawn frames of every kind are read or refused as frames")
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
    drawn(count, st.tuples(kinds, VALUES, versions), check)
