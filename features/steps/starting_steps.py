"""Steps of entries that have just started."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import hop
from jasperweir import core
from jasperweir.components.balance import const

CALLER_WAITS = 5.0


class Noting(hop.Dialect):
    """Note how much time a target is told to have."""

    def __init__(self):
        self.told_s = None

    def dispatch(self, req, sent):
        self.told_s = sent.patience_s
        return super().dispatch(req, sent)


class Start:
    """An entry on a clock of its own, without what it needs."""

    def __init__(self, *, age_s, lacks):
        self.clock = core.ManualClock(start=100.0)
        self.lacks = lacks
        self.age_s = age_s
        self.one = hop.Hop(route=hop.route(), clock=self.clock)
        self.dialect = Noting()

    async def prepare(self):
        await self.one.prepare()
        entry = self.one.forwarder
        entry.dialect = self.dialect
        self.index, entry.index = entry.index, None
        if self.lacks == "knows no targets":
            entry.index = self.index
        self.clock.now += self.age_s

    def bring(self):
        """Bring what is missing."""
        self.one.forwarder.index = self.index
        self.one.announce("other", self.one.other)

    async def passes(self, seconds):
        """Let time pass with a tick at its end."""
        self.clock.now += seconds
        self.one.forwarder.tick()
        await asyncio.sleep(hop.SETTLE_SECONDS)


@given("an entry that has run for {age_s:g} s and {lacks}")
def step_entry(context, age_s, lacks):
    context.start = Start(age_s=age_s, lacks=lacks)


async def come(start, *, count=1, brings, seconds):
    """Let requests come, and time pass; return what became of them."""
    await start.prepare()
    answers = [hop.Answering() for _ in range(count)]
    for answering in answers:
        start.one.forwarder.handle(answering)
    at_once = sum(answering.done for answering in answers)
    start.clock.now += seconds
    if brings:
        start.bring()
    await start.passes(0.0)
    sent = start.one.other.requests
    later = sum(answering.done for answering in answers) - at_once
    start.one.close()
    return at_once, sent, later


@when("a request comes, and {seconds:g} s later {what}")
def step_comes(context, seconds, what):
    context.became = asyncio.run(
        come(context.start, brings=True, seconds=seconds)
    )


@when("a request comes, and nothing else for {seconds:g} s")
def step_nothing_else(context, seconds):
    context.became = asyncio.run(
        come(context.start, brings=False, seconds=seconds)
    )


@when("{count:d} requests come")
def step_many(context, count):
    context.count = count
    context.became = asyncio.run(
        come(context.start, count=count, brings=False, seconds=0.0)
    )


@then("the request is {outcome}")
def step_outcome(context, outcome):
    at_once, sent, later = context.became
    seen = {
        "sent": (at_once, sent) == (0, 1),
        "refused at once": (at_once, sent) == (1, 0),
        "still kept": (at_once, sent, later) == (0, 0, 0),
        "refused late": (at_once, sent, later) == (0, 0, 1),
    }
    assert seen[outcome], context.became


@then("its target is told of {seconds:g} s less than its caller waits")
def step_told(context, seconds):
    told_s = context.start.dialect.told_s
    assert told_s is not None, "nothing was sent"
    assert CALLER_WAITS - seconds - 0.1 < told_s <= CALLER_WAITS - seconds


@then("{kept:d} of them are kept and the others are refused at once")
def step_kept(context, kept):
    at_once, _, _ = context.became
    assert at_once == context.count - kept, at_once
    assert kept == const.START_KEPT_MOST
