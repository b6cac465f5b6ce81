"""Steps on what targets ask of their callers."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import asking

REST = 3.0


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
    "one of them refuses for {refusing:g} s, and requests come for {seconds:g} s"
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
