"""Steps of entries that have just started."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import hop
from jasperweir import core
from jasperweir.components.balance import const
from jasperweir.components.balance import outage

CALLER_WAITS = 5.0
# An entry ticks this often while anybody waits, seconds.
TICK = 0.02


class Noting(hop.Dialect):
    """Note how much time a target is told to have."""

    def __init__(self):
        self.told_s = None

    def build_target_headers(self, req, sent):
        self.told_s = sent.patience_s
        return super().build_target_headers(req, sent)


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


class Forming(hop.Target):
    """Refuse everything until told that the group has formed."""

    def __init__(self):
        super().__init__(stops_after=hop.EVENTS)
        self.formed = False

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        line = b"503 Unavailable"
        body = b""
        if self.formed:
            line, body = b"200 OK", b"id: 1\ndata: x\n\n"
        writer.write(
            b"HTTP/1.1 %b\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            % (line, len(body))
        )
        writer.write(body)
        writer.close()


class Refusing(hop.Dialect):
    """Read a 503 of a target as its word that it did not run the request."""

    def parse_response_head(self, head):
        not_run = head.status == 503
        return super().parse_response_head(head)._replace(not_run=not_run)


async def form(age_s, count, seconds):
    """Return how many requests were answered, and how many refused."""
    clock = core.ManualClock(start=100.0)
    one = hop.Hop(route=hop.route(), clock=clock)
    one.other = Forming()
    await one.prepare()
    one.forwarder.dialect = Refusing()
    one.announce("other", one.other)
    clock.now += age_s
    answers = [hop.Answering() for _ in range(count)]
    for answering in answers:
        one.forwarder.handle(answering)
        await asyncio.sleep(TICK)
    await ticks(one, clock, seconds)
    one.other.formed = True
    await ticks(one, clock, 0.5)
    one.close()
    whole = sum(answering.whole for answering in answers)
    return whole, sum(answering.done for answering in answers)


async def ticks(one, clock, seconds):
    for _ in range(round(seconds / TICK)):
        clock.now += TICK
        one.forwarder.tick()
        await asyncio.sleep(TICK)


@given("an entry that has run for {age_s:g} s, whose targets refuse everything")
def step_refusing(context, age_s):
    context.age_s = age_s


@when(
    "{count:d} requests come, and {seconds:g} s later the targets accept again"
)
def step_form(context, count, seconds):
    context.became = asyncio.run(form(context.age_s, count, seconds))


@then("{served:d} of them are answered by targets and {refused:d} refused")
def step_served_refused(context, served, refused):
    assert context.became == (served, refused), context.became


@given("3 refusals within 0.1 s, and a request that is sent 0.1 s later")
def step_refusals(context):
    context.outage = outage.Outage()
    for at in (0.0, 0.05, 0.1):
        context.outage.on_sent(at)
        context.outage.on_refusal(at)
    context.outage.on_sent(0.2)


@when("{seconds:g} s pass and it is {refused}")
def step_refused(context, seconds, refused):
    context.now = 0.2 + seconds
    if refused == "refused":
        context.outage.on_refusal(context.now)


@then("the outage {outage}")
def step_outage(context, outage):
    assert context.outage.lasts(context.now)
    over = context.outage.seems_over(context.now)
    assert over == (outage == "seems to be over"), over
