"""Steps on what processes remember of requests under which targets end."""

import asyncio
import contextlib
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies as st
import msgspec

from features.harness import hop
from features.harness import quarantine
from features.harness import site as site_lib
from jasperweir import core
from jasperweir import exceptions
from jasperweir import result_codes
from jasperweir.components.agent import ends as ends_lib
from jasperweir.components.limits import retry
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages
from jasperweir.components.request import actions
from jasperweir.components.request import events
from jasperweir.components.request import life as request_life
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


def target(number):
    return ledger_lib.Incarnation(f"t{number}", 0)


@given("a ledger with {count:d} ends of a request {ago:g} s ago")
def step_ledger(context, count, ago):
    context.now = 1000.0
    context.ledger = ledger_lib.Ledger()
    context.what = quarantine.content(WHAT)
    for number in range(count):
        context.ledger.add(context.what, target(number), context.now - ago)


@when("one of the targets answers what it was sent {ago:g} s ago")
def step_lives(context, ago):
    context.ledger.lives(target(0), context.now - ago, context.now)


@when("a further target ends under it")
def step_further(context):
    context.ledger.add(context.what, target(77), context.now)


@when("{count:d} more targets end under it, with a whole answer after each")
def step_absolved(context, count):
    for number in range(count):
        context.now += 1.0
        context.ledger.add(context.what, target(200 + number), context.now)
        context.ledger.absolve(context.what, context.now)


@when("{count:d} further targets end under it")
def step_more(context, count):
    for number in range(count):
        context.now += 1.0
        context.ledger.add(context.what, target(300 + number), context.now)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds
    context.ledger.tick(context.now)


@when("{count:d} other requests each have a target end under them")
def step_many(context, count):
    for number in range(count):
        what = quarantine.content(f"other-{number}")
        context.ledger.add(what, target(number + 100), context.now)


@then("the request is kept from targets")
def step_kept(context):
    assert context.ledger.verdict(context.what, context.now).held_s > 0


@then("the request is not kept from targets")
def step_not_kept(context):
    assert context.ledger.verdict(context.what, context.now).held_s == 0


@then("the request is held for {seconds:g} s")
def step_held_for(context, seconds):
    verdict = context.ledger.verdict(context.what, context.now)
    assert verdict.held_s == seconds, verdict


@then("nothing is remembered")
def step_nothing(context):
    assert len(context.ledger) == 0
    assert context.ledger.digest == 0
    assert not context.ledger.knows(context.what.outline)


@then("{count:d} requests are remembered")
def step_remembered(context, count):
    assert len(context.ledger) == count, len(context.ledger)


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


def remember(forwarder, req, count=const.ENDS_MAX):
    what = quarantine.of(req, "")
    for number in range(count):
        forwarder.ends.ledger.add(what, target(number), forwarder.now())


async def answer(hop_, answering):
    hop_.forwarder.handle(answering)
    await asyncio.sleep(hop.SETTLE_SECONDS)


def run(coro):
    asyncio.run(coro)


@given("a forwarder that remembers a request with a body of {size:d} bytes")
def step_remembers(context, size):
    context.size = size


@when("{count:d} requests with other paths or sizes come")
def step_unlike(context, count):
    context.count = count


@then("no body was hashed")
def step_no_hash(context):
    async def play():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        known = quarantine.request(body=b"a" * context.size, path=b"/p")
        remember(hop_.forwarder, known)
        with mock.patch.object(
            fingerprint, "of", side_effect=fingerprint.of
        ) as hashed:
            for number in range(context.count):
                size = context.size + number % 2
                path = b"/q" if size == context.size else b"/p"
                asked = hop.Answering()
                asked.request = quarantine.request(body=b"a" * size, path=path)
                hop_.forwarder.handle(asked)
            context.unlike = hashed.call_count
            asked = hop.Answering()
            asked.request = quarantine.request(
                body=b"b" * context.size, path=b"/p"
            )
            before = hop_.other.requests
            await answer(hop_, asked)
            context.like = hashed.call_count
            context.sent = hop_.other.requests - before
        hop_.close()

    run(play())
    assert context.unlike == 0, context.unlike


@when("one with the same path and size and another body comes")
def step_alike(context):
    assert context.like > 0


@then("one body was hashed, and it was sent")
def step_one_hash(context):
    assert context.sent > 0


@given("a forwarder that keeps a request from targets")
def step_keeps(context):
    context.waits = False


@given("a forwarder with a request that waits for a place")
def step_waits(context):
    context.waits = True


@when("it comes")
def step_it_comes(context):
    async def play():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        remember(hop_.forwarder, hop_.answering.request)
        await answer(hop_, hop_.answering)
        context.hop = hop_
        hop_.close()

    run(play())


@when("others tell that two targets ended under it")
def step_told(context):
    async def play():
        hop_ = hop.Hop(route=hop.route())
        await hop_.prepare()
        hop_.announce("other", hop_.other)
        hop_.fill("other")
        # It has come back after a refusal, so that it waits.
        with mock.patch.object(
            hop_.forwarder._patience, "used", return_value=1.0
        ):
            hop_.forwarder.handle(hop_.answering)
        assert not hop_.answering.done
        remember(hop_.forwarder, hop_.answering.request)
        hop_.forwarder.on_marks(hop_.forwarder.now())
        context.hop = hop_
        hop_.close()

    run(play())


@then("it is answered 503 with code 2009 and when to come back")
def step_told_truth(context):
    status, headers = context.hop.answering.replied
    found = dict(headers)
    assert status == 503, status
    assert found[b"jasperweir-code"] == b"2009", found
    assert 590 < float(found[b"retry-after"]) <= 600, found


@then("no target has received it")
def step_not_received(context):
    assert context.hop.other.requests == 0


@given("a target that {does} when it gets a request")
def step_target(context, does):
    async def play():
        hop_ = hop.Hop(route=hop.route(resumable=False))
        await hop_.prepare()
        target_ = hop.Ending(listens=does == "breaks off and listens")
        await target_.start()
        hop_.announce("ending", target_)
        if does == "leaves and ends":
            target_.on_request = lambda: hop_.directory.leave(
                "ending", hop_.forwarder.now()
            )
        await answer(hop_, hop_.answering)
        await asyncio.sleep(const.CHECK_SECONDS + hop.SETTLE_SECONDS)
        context.marks = hop_.forwarder.ends.ledger.marks(hop_.forwarder.now())
        target_.close()
        hop_.close()

    run(play())


@given("a target that gives no sign after a request broke")
def step_no_sign(context):
    clock = core.ManualClock(start=1000.0)

    async def play():
        hop_ = hop.Hop(route=hop.route(resumable=False), clock=clock)
        await hop_.prepare()
        target_ = hop.Ending(listens=True)
        await target_.start()
        hop_.announce("ending", target_)
        hop_.forwarder.handle(hop_.answering)
        await asyncio.sleep(hop.SETTLE_SECONDS / 2)
        silent = mock.patch.object(
            hop_.forwarder.pool, "open", side_effect=OSError("no answer")
        )
        with silent:
            await asyncio.sleep(const.CHECK_SECONDS + hop.SETTLE_SECONDS)
        context.address = target_.address
        target_.close()
        hop_.close()
        return hop_

    context.clock = clock
    context.hop = asyncio.run(play())


@when("{what} {seconds:g} s later")
def step_later(context, what, seconds):
    forwarder = context.hop.forwarder
    context.clock.advance(seconds)
    now = context.clock.monotonic()
    if what != "nothing has come":
        service = "other" if "service" in what else "s"
        new = site_lib.target(target_id="new", address=context.address)
        context.hop.directory.merge(new._replace(service=service), now)
    forwarder.ends.tick(now)
    context.marks = forwarder.ends.ledger.marks(now)


@then("{count:d} ends are remembered after the check")
def step_ends(context, count):
    assert len(context.marks) == count, context.marks


# The own interface.


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
    return request_life.Life(
        rid="r", keyed=False, first=True, budget=retry.Budget()
    )


DENIED = events.Denied(code=result_codes.Code.ENDS_TARGETS, retry_after=600.0)


@given("a request of the own interface that an engine may have begun")
def step_begun(context):
    context.life = own_life()
    context.life.on(events.Admitted())
    context.life.on(events.Picked(name="t", inc=1, http="t:1"))
    broke = events.Broke(relayed=0, ended=True, engine_end=1)
    action = context.life.on(broke)
    assert isinstance(action, actions.Pick), action


@when("it is denied before its second send, since engines ended under it")
def step_denied(context):
    context.action = context.life.on(DENIED)


@then("its caller is told 3001")
def step_unknown(context):
    assert context.action.code == 3001, context.action


@then("one that is denied before its first send is told 2009")
def step_not_run(context):
    action = own_life().on(DENIED)
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

    kinds = st.sampled_from([*codec.kinds(), "no.such"])
    versions = st.sampled_from([codec.FRAME_VERSION, 0, 2])
    drawn(count, st.tuples(kinds, VALUES, versions), check)


@given("runs of a request that began {begun:g} s ago on {count:d} targets")
def step_runs(context, begun, count):
    context.now = 100.0
    context.ledger = ledger_lib.Ledger()
    context.what = quarantine.content(WHAT)
    context.begun = begun
    context.count = count


@when("these end within {spread:g} s of each other {ago:g} s ago")
def step_runs_end(context, spread, ago):
    for number in range(context.count):
        after = spread * number / context.count
        end_run(context, number, ended_ago_s=ago - after, begun=context.begun)


def end_run(context, number, *, ended_ago_s, begun):
    run = ledger_lib.Run(ended_s=ended_ago_s, took_s=begun - ended_ago_s)
    context.ledger.add(context.what, target(number), context.now, run)


@when(
    "a further target ends under a run that began {begun:g} s ago,"
    " {ago:g} s ago"
)
def step_earlier_run(context, begun, ago):
    end_run(context, 400, ended_ago_s=ago, begun=begun)


@when("a further target ends under a run that began {begun:g} s ago")
def step_further_run(context, begun):
    end_run(context, 500, ended_ago_s=0.0, begun=begun)
