"""Steps on what targets ask of their callers."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import asking
from features.harness import hop
from jasperweir.components.backpressure import signals
from jasperweir.components.balance import messages

REST = 3.0
# An entry tells the others what it knows at least this often, seconds.
TELL_EACH = 0.5


@given("an entry with {count:d} target")
@given("an entry with {count:d} targets")
def step_entry(context, count):
    context.entry = asking.Entry(count=count)


async def play(entry, prepare, seconds, at_once):
    await entry.start()
    prepare(entry)
    await entry.run(seconds, at_once)
    entry.close()


def rest(context, count, seconds, at_once=1):
    def prepare(entry):
        for target in entry.targets[:count]:
            target.rest = b"%g" % REST

    asyncio.run(play(context.entry, prepare, seconds, at_once))


@when("one of them asks for 3 s of rest, and requests come for {seconds:g} s")
def step_one_rests(context, seconds):
    rest(context, 1, seconds)


@when("one of them says that it leaves, and requests come for {seconds:g} s")
def step_one_leaves(context, seconds):
    def prepare(entry):
        entry.targets[0].leaves = True

    asyncio.run(play(context.entry, prepare, seconds, 1))


@then(
    "no more than {most:d} requests reach a target within a rest it asked for"
)
def step_most(context, most):
    seen = {t.name: t.most_within(REST) for t in context.entry.targets}
    assert any(t.refused_at for t in context.entry.targets)
    assert max(seen.values()) <= most, seen


@then("every caller is answered {status:d}")
def step_all_answered(context, status):
    found = context.entry.statuses()
    wrong = sum(s != status for s in found)
    assert not wrong, f"{wrong} of {len(found)} were not"


@then("it gets no request that came after its first such answer")
def step_none_after(context):
    arrivals = context.entry.targets[0].arrivals
    assert len(arrivals) == 1, len(arrivals)


async def refuse(entry, count, refusing_s, seconds):
    await entry.start()
    for target in entry.targets[:count]:
        target.rest = b""
    await entry.run(refusing_s)
    if seconds > refusing_s:
        for target in entry.targets[:count]:
            target.rest = None
        await entry.run(seconds - refusing_s)
    entry.close()


@when("one of them refuses, and requests come for {seconds:g} s")
def step_one_refuses(context, seconds):
    asyncio.run(refuse(context.entry, 1, seconds, seconds))


@when(
    "one of them refuses for {refusing:g} s,"
    " and requests come for {seconds:g} s"
)
def step_refuses_for(context, refusing, seconds):
    asyncio.run(refuse(context.entry, 1, refusing, seconds))


@when(
    "all of them refuse for {refusing:g} s, and requests come for {seconds:g} s"
)
def step_all_refuse(context, refusing, seconds):
    count = len(context.entry.targets)
    asyncio.run(refuse(context.entry, count, refusing, seconds))


@then("no more than {most:d} requests reach it")
def step_reach(context, most):
    assert len(context.entry.targets[0].arrivals) <= most, len(
        context.entry.targets[0].arrivals
    )


@then("it gets at least {least:d} requests in the last {seconds:g} s")
def step_part(context, least, seconds):
    since = context.entry.clock.now - seconds
    got = sum(t >= since for t in context.entry.targets[0].arrivals)
    assert got >= least, got


@then("every caller of the last {seconds:g} s is answered {status:d}")
def step_last_answered(context, seconds, status):
    last = context.entry.statuses()[-round(seconds / asking.APART) :]
    assert set(last) == {status}, last


def tell(entry, for_s):
    """Let another entry tell that the first target refuses its requests."""
    refusing = (messages.Refusing("t0", 0, for_s),)
    share = messages.Share(len(entry.answers) + 1, (), (), refusing)
    entry.one.forwarder.on_share("other", share)


@when(
    "another entry tells for {seconds:g} s that one of them refuses,"
    " and requests come"
)
def step_told(context, seconds):
    async def told(entry):
        await entry.start()
        for _ in range(round(seconds / TELL_EACH)):
            tell(entry, for_s=4.0)
            await entry.run(TELL_EACH)

    context.entry.keeps_loop = asyncio.new_event_loop()
    context.add_cleanup(context.entry.keeps_loop.close)
    context.entry.keeps_loop.run_until_complete(told(context.entry))


@when("requests come for {seconds:g} s without a word of the other entry")
def step_untold(context, seconds):
    loop = context.entry.keeps_loop
    loop.run_until_complete(context.entry.run(seconds))


@when("all of them ask for 3 s of rest, and requests come for {seconds:g} s")
def step_all_rest(context, seconds):
    rest(context, len(context.entry.targets), seconds)


@then("whoever is refused for that is told to come back after its end")
def step_come_back(context):
    entry = context.entry
    seen = [(a.replied_at, *a.replied) for a in entry.answers]
    told = [
        (at, float(dict(headers)[b"retry-after"]))
        for at, _, headers in seen
        if dict(headers).get(b"jasperweir-code") == b"2010"
    ]
    ends = min(t.refused_at[0] for t in entry.targets) + REST
    first = [(at, s) for at, s in told if at < ends]
    assert len(first) > 10, len(first)
    early = [(at, back_s) for at, back_s in first if at + back_s < ends]
    assert not early, (ends, early)


@when("all of them ask for {rest_s:g} s of rest, and accept again after it")
def step_short_rest(context, rest_s):
    async def short(entry):
        await entry.start()
        entry.targets[0].rest = b"%g" % rest_s
        await entry.call()
        entry.targets[0].rest = None
        entry.clock.now += rest_s - 0.2
        await entry.call()
        entry.before = len(entry.targets[0].arrivals)
        entry.clock.now += 0.25
        entry.keep()
        entry.one.forwarder.tick()
        await asyncio.sleep(asking.ANSWER_SECONDS)
        entry.close()

    asyncio.run(short(context.entry))


@then("a request that comes 0.2 s before the end is answered {status:d}")
def step_waited(context, status):
    entry = context.entry
    assert entry.before == 1, entry.before
    assert entry.answers[-1].replied[0] == status, entry.statuses()


@when(
    "one of them asks for 3 s of rest,"
    " and {count:d} requests come at once after it"
)
def step_at_once(context, count):
    async def come(entry):
        await entry.start()
        entry.targets[0].rest = b"%g" % REST
        while not entry.targets[0].arrivals:
            await entry.call()
        entry.clock.now += REST
        entry.keep()
        entry.before = len(entry.targets[0].arrivals)
        await entry.call(count)
        await entry.settle()
        entry.close()

    asyncio.run(come(context.entry))


@then("it gets {count:d} of them")
def step_gets(context, count):
    got = len(context.entry.targets[0].arrivals) - context.entry.before
    assert got == count, got


@when("a connection opens while it asks another request for 3 s of rest")
def step_slow_connection(context):
    async def come(entry):
        await entry.start()
        forwarder = entry.one.forwarder
        opened = asyncio.Event()
        opens = forwarder.pool.open

        async def slow(address):
            await opened.wait()
            return await opens(address)

        entry.targets[0].rest = b"%g" % REST
        forwarder.handle(entry.answering())
        await asyncio.sleep(0)
        forwarder.pool.open = slow
        forwarder.handle(entry.answering())
        await asyncio.sleep(asking.ANSWER_SECONDS)
        forwarder.pool.open = opens
        other = asking.Target(name="later", clock=entry.clock)
        entry.targets.append(other)
        await other.start()
        entry.keep()
        opened.set()
        await asyncio.sleep(2 * asking.ANSWER_SECONDS)
        entry.close()

    asyncio.run(come(context.entry))


@then("the request goes to a target that came meanwhile")
def step_goes_elsewhere(context):
    first, later = context.entry.targets
    assert (len(first.arrivals), len(later.arrivals)) == (1, 1)


@when(
    "one of them rests, the other is full, and requests come for {seconds:g} s"
)
def step_full(context, seconds):
    async def come(entry):
        await entry.start()
        entry.targets[0].rest = b"%g" % REST
        entry.one.fill("t1")
        await entry.run(seconds)
        entry.close()

    asyncio.run(come(context.entry))


@then("nobody but the one that it refused has been sent to the other")
def step_none_waited(context):
    assert len(context.entry.targets[1].arrivals) == 1


@given("a stream at a target that turns slow, and another one that rests")
def step_slow_stream(context):
    async def come():
        one = hop.Hop(route=hop.route())
        await one.start()
        other = one.directory.get("other")
        now = one.forwarder.now()
        asked = signals.Signals(rest_s=REST)
        one.forwarder.targets.backpressure.on_answer(other, asked, now, now)
        await one.turn_slow(5.0)
        one.close()
        return one

    context.one = asyncio.run(come())


@then("the stream stays where it is")
def step_stays(context):
    assert not context.one.slow.closed
    assert context.one.other.requests == 0


@when("another one at the first address says it leaves, and requests come")
def step_other_says(context):
    async def come(entry):
        await entry.start()
        entry.targets[0].is_other = True
        await entry.run(0.5)
        entry.close()

    asyncio.run(come(context.entry))


@then("the first target may still get requests")
def step_still(context):
    entry = context.entry
    assert entry.targets[0].arrivals
    target = entry.one.directory.get("t0")
    asked = entry.one.forwarder.targets.backpressure
    assert asked.open_to([target], entry.clock.now) == [target]


@when(
    "one of them rests, the other is full,"
    " and {count:d} requests wait for its end"
)
def step_wait_for_end(context, count):
    async def come(entry):
        await entry.start()
        entry.targets[0].rest = b"0.4"
        while not entry.targets[0].arrivals:
            await entry.call()
        entry.one.fill("t1")
        entry.clock.now += 0.2
        await entry.call(count)
        entry.before = len(entry.targets[0].arrivals)
        entry.clock.now += 0.25
        entry.keep()
        entry.one.forwarder.tick()
        await asyncio.sleep(asking.ANSWER_SECONDS)
        entry.close()

    asyncio.run(come(context.entry))


@given(
    "an entry with {count:d} targets,"
    " which may send a request to {attempts:d} of them"
)
def step_entry_attempts(context, count, attempts):
    context.entry = asking.Entry(count=count, attempts=attempts)


@when("three of them ask for 3 s of rest, and the fourth is the most loaded")
def step_three_rest(context):
    async def come(entry):
        await entry.start()
        for target in entry.targets[:3]:
            target.rest = b"%g" % REST
        entry.one.forwarder.balancer.begin("t3")
        for _ in range(5):
            await entry.call()
            await entry.settle(0.1)
        entry.close()

    asyncio.run(come(context.entry))


@when("all of them refuse, and {count:d} requests come")
def step_outage(context, count):
    async def come(entry):
        await entry.start()
        for target in entry.targets:
            target.rest = b""
        for _ in range(count):
            await entry.call()
        entry.close()

    asyncio.run(come(context.entry))


@then("the entry may still send to {count:d} targets")
def step_sees(context, count):
    entry = context.entry
    found = entry.one.forwarder.targets.list_available("s", entry.clock.now)
    assert len(found) == count, found
