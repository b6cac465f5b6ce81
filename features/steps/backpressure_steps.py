"""Steps on entries whose targets apply backpressure."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import scripted_targets
from jasperweir.components.backpressure import signals
from jasperweir.components.balance import messages

BACKOFF_SECONDS = 3.0
# Interval at which an entry reports refusals to the others.
REPORT_SECONDS = 0.5


@given("an entry with {count:d} target")
@given("an entry with {count:d} targets")
def step_entry(context, count):
    context.entry = scripted_targets.Entry(count=count)


async def run_entry(entry, prepare, seconds, at_once):
    """Run an entry whose targets have been prepared."""
    await entry.start()
    prepare(entry)
    await entry.run(seconds, at_once)
    entry.close()


def run_with_backoff(context, count, seconds, at_once=1):
    """Let some targets ask for a back-off while requests arrive."""

    def prepare(entry):
        for target in entry.targets[:count]:
            target.backoff = b"%g" % BACKOFF_SECONDS

    asyncio.run(run_entry(context.entry, prepare, seconds, at_once))


@when(
    "one of them asks for a back-off of 3 s,"
    " and requests arrive for {seconds:g} s"
)
def step_one_backs_off(context, seconds):
    run_with_backoff(context, 1, seconds)


@when("one of them is draining, and requests arrive for {seconds:g} s")
def step_one_drains(context, seconds):
    def prepare(entry):
        entry.targets[0].draining = True

    asyncio.run(run_entry(context.entry, prepare, seconds, 1))


@then("at most {most:d} requests reach a target within its back-off")
def step_most(context, most):
    seen = {
        t.name: t.count_within(BACKOFF_SECONDS) for t in context.entry.targets
    }
    assert any(t.refused_at for t in context.entry.targets)
    assert max(seen.values()) <= most, seen


@then("every caller is answered {status:d}")
def step_all_answered(context, status):
    found = context.entry.statuses()
    wrong = sum(s != status for s in found)
    assert not wrong, f"{wrong} of {len(found)} were not"


@then("it gets no request after its first such answer")
def step_none_after(context):
    arrivals = context.entry.targets[0].arrivals
    assert len(arrivals) == 1, len(arrivals)


async def run_refusing(entry, count, refusing_s, seconds):
    """Let some targets refuse for a time while requests arrive."""
    await entry.start()
    for target in entry.targets[:count]:
        target.backoff = b""
    await entry.run(refusing_s)
    if seconds > refusing_s:
        for target in entry.targets[:count]:
            target.backoff = None
        await entry.run(seconds - refusing_s)
    entry.close()


@when("one of them refuses, and requests arrive for {seconds:g} s")
def step_one_refuses(context, seconds):
    asyncio.run(run_refusing(context.entry, 1, seconds, seconds))


@when(
    "one of them refuses for {refusing:g} s,"
    " and requests arrive for {seconds:g} s"
)
def step_refuses_for(context, refusing, seconds):
    asyncio.run(run_refusing(context.entry, 1, refusing, seconds))


@when(
    "all of them refuse for {refusing:g} s,"
    " and requests arrive for {seconds:g} s"
)
def step_all_refuse(context, refusing, seconds):
    count = len(context.entry.targets)
    asyncio.run(run_refusing(context.entry, count, refusing, seconds))


@then("at most {most:d} requests reach it")
def step_reach(context, most):
    assert len(context.entry.targets[0].arrivals) <= most, len(
        context.entry.targets[0].arrivals
    )


@then("it gets at least {least:d} requests in the last {seconds:g} s")
def step_share(context, least, seconds):
    since = context.entry.clock.now - seconds
    count = sum(t >= since for t in context.entry.targets[0].arrivals)
    assert count >= least, count


@then("every caller of the last {seconds:g} s is answered {status:d}")
def step_last_answered(context, seconds, status):
    last = context.entry.statuses()[
        -round(seconds / scripted_targets.REQUEST_INTERVAL_SECONDS) :
    ]
    assert set(last) == {status}, last


def report_refusal(entry, for_s):
    """Receive a report of another entry that the first target refuses."""
    refusing = (messages.Refusing("t0", 0, for_s),)
    share = messages.Share(len(entry.answers) + 1, (), (), refusing)
    entry.one.forwarder.on_share("other", share)


@when(
    "another entry reports for {seconds:g} s that one of them refuses,"
    " and requests arrive"
)
def step_reported(context, seconds):
    async def run_reports(entry):
        await entry.start()
        for _ in range(round(seconds / REPORT_SECONDS)):
            report_refusal(entry, for_s=4.0)
            await entry.run(REPORT_SECONDS)

    context.entry.loop = asyncio.new_event_loop()
    context.add_cleanup(context.entry.loop.close)
    context.entry.loop.run_until_complete(run_reports(context.entry))


@when("requests arrive for {seconds:g} s without a report of the other entry")
def step_no_report(context, seconds):
    loop = context.entry.loop
    loop.run_until_complete(context.entry.run(seconds))


@when(
    "all of them ask for a back-off of 3 s,"
    " and requests arrive for {seconds:g} s"
)
def step_all_back_off(context, seconds):
    run_with_backoff(context, len(context.entry.targets), seconds)


@then("the Retry-After of refused callers is after its end")
def step_retry_after(context):
    entry = context.entry
    seen = [(a.replied_at, *a.replied) for a in entry.answers]
    delays = [
        (at, float(dict(headers)[b"retry-after"]))
        for at, _, headers in seen
        if dict(headers).get(b"jasperweir-code") == b"2010"
    ]
    ends = min(t.refused_at[0] for t in entry.targets) + BACKOFF_SECONDS
    first = [(at, s) for at, s in delays if at < ends]
    assert len(first) > 10, len(first)
    early = [(at, delay_s) for at, delay_s in first if at + delay_s < ends]
    assert not early, (ends, early)


@when(
    "all of them ask for a back-off of {backoff_s:g} s,"
    " and accept again after it"
)
def step_short_backoff(context, backoff_s):
    async def run_short(entry):
        await entry.start()
        entry.targets[0].backoff = b"%g" % backoff_s
        await entry.call()
        entry.targets[0].backoff = None
        entry.clock.now += backoff_s - 0.2
        await entry.call()
        entry.before = len(entry.targets[0].arrivals)
        entry.clock.now += 0.25
        entry.announce()
        entry.one.forwarder.tick()
        await entry.wait_until(lambda: entry.answers[-1].replied[0])
        entry.close()

    asyncio.run(run_short(context.entry))


@then("a request that arrives 0.2 s before the end is answered {status:d}")
def step_waited(context, status):
    entry = context.entry
    assert entry.before == 1, entry.before
    assert entry.answers[-1].replied[0] == status, entry.statuses()


@when(
    "one of them asks for a back-off of 3 s,"
    " and {count:d} requests arrive at once after it"
)
def step_at_once(context, count):
    async def run(entry):
        await entry.start()
        entry.targets[0].backoff = b"%g" % BACKOFF_SECONDS
        while not entry.targets[0].arrivals:
            await entry.call()
        entry.clock.now += BACKOFF_SECONDS
        entry.announce()
        entry.before = len(entry.targets[0].arrivals)
        await entry.call(count)
        await entry.settle()
        entry.close()

    asyncio.run(run(context.entry))


@then("it gets {count:d} of them")
def step_gets(context, count):
    received = len(context.entry.targets[0].arrivals) - context.entry.before
    assert received == count, received


@when(
    "a connection opens while it answers another request with a back-off of 3 s"
)
def step_slow_connection(context):
    async def run(entry):
        await entry.start()
        forwarder = entry.one.forwarder
        opened = asyncio.Event()
        open_now = forwarder.pool.open

        async def open_later(address):
            await opened.wait()
            return await open_now(address)

        entry.targets[0].backoff = b"%g" % BACKOFF_SECONDS
        forwarder.handle(entry.answering())
        await asyncio.sleep(0)
        forwarder.pool.open = open_later
        forwarder.handle(entry.answering())
        await entry.wait_until(lambda: entry.targets[0].refused_at)
        await entry.wait_until(lambda: not entry.has_connection())
        forwarder.pool.open = open_now
        other = scripted_targets.Target(name="later", clock=entry.clock)
        entry.targets.append(other)
        await other.start()
        entry.announce()
        opened.set()
        await entry.wait_until(lambda: other.arrivals)
        await asyncio.sleep(2 * scripted_targets.ANSWER_SECONDS)
        entry.close()

    asyncio.run(run(context.entry))


@then("the request goes to a target announced meanwhile")
def step_goes_elsewhere(context):
    first, later = context.entry.targets
    assert (len(first.arrivals), len(later.arrivals)) == (1, 1)


@when(
    "one of them backs off, the other is full,"
    " and requests arrive for {seconds:g} s"
)
def step_full(context, seconds):
    async def run(entry):
        await entry.start()
        entry.targets[0].backoff = b"%g" % BACKOFF_SECONDS
        entry.one.fill("t1")
        await entry.run(seconds)
        entry.close()

    asyncio.run(run(context.entry))


@then("only the request that it refused has been sent to the other")
def step_none_waited(context):
    assert len(context.entry.targets[1].arrivals) == 1


@given("a stream at a target that becomes slow, and another one that backs off")
def step_slow_stream(context):
    async def run():
        one = hop.Hop(route=hop.route())
        await one.start()
        other = one.directory.get("other")
        now = one.forwarder.now()
        backoff = signals.Signals(backoff_s=BACKOFF_SECONDS)
        one.forwarder.targets.backpressure.on_answer(other, backoff, now, now)
        await one.turn_slow(5.0)
        one.close()
        return one

    context.one = asyncio.run(run())


@then("the stream stays where it is")
def step_stays(context):
    assert not context.one.slow.closed
    assert context.one.other.requests == 0


@when("another one at the first address is draining, and requests arrive")
def step_other_says(context):
    async def run(entry):
        await entry.start()
        entry.targets[0].is_other = True
        await entry.run(0.5)
        entry.close()

    asyncio.run(run(context.entry))


@then("the first target may still get requests")
def step_still(context):
    entry = context.entry
    assert entry.targets[0].arrivals
    target = entry.one.directory.get("t0")
    asked = entry.one.forwarder.targets.backpressure
    assert asked.list_available([target], entry.clock.now) == [target]


@when(
    "one of them backs off, the other is full,"
    " and {count:d} requests wait for its end"
)
def step_wait_for_end(context, count):
    async def run(entry):
        await entry.start()
        entry.targets[0].backoff = b"0.4"
        while not entry.targets[0].arrivals:
            await entry.call()
        entry.one.fill("t1")
        entry.clock.now += 0.2
        await entry.call(count)
        entry.before = len(entry.targets[0].arrivals)
        entry.clock.now += 0.25
        entry.announce()
        entry.one.forwarder.tick()
        first = entry.targets[0]
        await entry.wait_until(lambda: len(first.arrivals) > entry.before)
        await asyncio.sleep(scripted_targets.ANSWER_SECONDS)
        entry.close()

    asyncio.run(run(context.entry))


@given(
    "an entry with {count:d} targets,"
    " which may send a request to {attempts:d} of them"
)
def step_entry_attempts(context, count, attempts):
    context.entry = scripted_targets.Entry(count=count, attempts=attempts)


@when(
    "three of them ask for a back-off of 3 s, and the fourth is the most loaded"
)
def step_three_back_off(context):
    async def run(entry):
        await entry.start()
        for target in entry.targets[:3]:
            target.backoff = b"%g" % BACKOFF_SECONDS
        entry.one.forwarder.balancer.begin("t3")
        for _ in range(5):
            await entry.call()
            await entry.settle(0.1)
        entry.close()

    asyncio.run(run(context.entry))


@when("all of them refuse, and {count:d} requests arrive")
def step_outage(context, count):
    async def run(entry):
        await entry.start()
        for target in entry.targets:
            target.backoff = b""
        for _ in range(count):
            await entry.call()
        entry.close()

    asyncio.run(run(context.entry))


@then("the entry may still send to {count:d} targets")
def step_sees(context, count):
    entry = context.entry
    found = entry.one.forwarder.targets.list_available("s", entry.clock.now)
    assert len(found) == count, found
