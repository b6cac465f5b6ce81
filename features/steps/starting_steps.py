"""Steps on entries that have just started."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import hop
from jasperweir import core
from jasperweir.components.balance import const
from jasperweir.components.balance import outage

CALLER_WAIT_SECONDS = 5.0
# Interval between two ticks of an entry while requests wait.
TICK_SECONDS = 0.02


class RecordingDialect(hop.Dialect):
    """Records the remaining time that is sent to a target."""

    def __init__(self):
        self.patience_s = None

    def build_target_headers(self, req, sent):
        self.patience_s = sent.patience_s
        return super().build_target_headers(req, sent)


class StartingEntry:
    """An entry on a manual clock that lacks its configuration or targets."""

    def __init__(self, *, age_s, lacks):
        self.clock = core.ManualClock(start=100.0)
        self.lacks = lacks
        self.age_s = age_s
        self.one = hop.Hop(route=hop.route(), clock=self.clock)
        self.dialect = RecordingDialect()

    async def prepare(self):
        await self.one.prepare()
        entry = self.one.forwarder
        entry.dialect = self.dialect
        self.index, entry.index = entry.index, None
        if self.lacks == "knows no targets":
            entry.index = self.index
        self.clock.now += self.age_s

    def provide(self):
        """Provide the configuration and a target."""
        self.one.forwarder.index = self.index
        self.one.announce("other", self.one.other)

    async def advance(self, seconds):
        """Advance the clock and tick."""
        self.clock.now += seconds
        self.one.forwarder.tick()
        await asyncio.sleep(hop.SETTLE_SECONDS)


@given("an entry that has run for {age_s:g} s and {lacks}")
def step_entry(context, age_s, lacks):
    context.start = StartingEntry(age_s=age_s, lacks=lacks)


async def send_requests(start, *, count=1, provides, seconds):
    """Send requests, advance the clock and return the outcome.

    Returns:
        Requests answered at once, sent to the target, and answered later.
    """
    await start.prepare()
    answers = [hop.Answering() for _ in range(count)]
    for answering in answers:
        start.one.forwarder.handle(answering)
    at_once = sum(answering.done for answering in answers)
    start.clock.now += seconds
    if provides:
        start.provide()
    await start.advance(0.0)
    sent = start.one.other.requests
    later = sum(answering.done for answering in answers) - at_once
    start.one.close()
    return at_once, sent, later


@when("a request arrives, and {seconds:g} s later {what}")
def step_request_then(context, seconds, what):
    context.outcome = asyncio.run(
        send_requests(context.start, provides=True, seconds=seconds)
    )


@when("a request arrives, and nothing else for {seconds:g} s")
def step_nothing_else(context, seconds):
    context.outcome = asyncio.run(
        send_requests(context.start, provides=False, seconds=seconds)
    )


@when("{count:d} requests arrive at once")
def step_many(context, count):
    context.count = count
    context.outcome = asyncio.run(
        send_requests(context.start, count=count, provides=False, seconds=0.0)
    )


@then("the request is {outcome}")
def step_outcome(context, outcome):
    at_once, sent, later = context.outcome
    seen = {
        "sent": (at_once, sent) == (0, 1),
        "refused at once": (at_once, sent) == (1, 0),
        "still held": (at_once, sent, later) == (0, 0, 0),
        "refused late": (at_once, sent, later) == (0, 0, 1),
    }
    assert seen[outcome], context.outcome


@then("its target receives a remaining time {seconds:g} s shorter")
def step_remaining_time(context, seconds):
    patience_s = context.start.dialect.patience_s
    assert patience_s is not None, "nothing was sent"
    assert (
        CALLER_WAIT_SECONDS - seconds - 0.1
        < patience_s
        <= CALLER_WAIT_SECONDS - seconds
    )


@then("{held:d} of them are held and the others are refused at once")
def step_held(context, held):
    at_once, _, _ = context.outcome
    assert at_once == context.count - held, at_once
    assert held == const.START_BUFFERED_MAX


class FormingTarget(hop.Target):
    """Refuses every request until its group has formed."""

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


class NotRunDialect(hop.Dialect):
    """Reads a 503 of a target as proof that the request was not run."""

    def parse_response_head(self, head):
        not_run = head.status == 503
        return super().parse_response_head(head)._replace(not_run=not_run)


async def send_until_formed(age_s, count, seconds):
    """Return how many requests were answered whole, and how many ended."""
    clock = core.ManualClock(start=100.0)
    one = hop.Hop(route=hop.route(), clock=clock)
    one.other = FormingTarget()
    await one.prepare()
    one.forwarder.dialect = NotRunDialect()
    one.announce("other", one.other)
    clock.now += age_s
    answers = [hop.Answering() for _ in range(count)]
    for answering in answers:
        one.forwarder.handle(answering)
        await asyncio.sleep(TICK_SECONDS)
    await run_ticks(one, clock, seconds)
    one.other.formed = True
    await run_ticks(one, clock, 0.5)
    one.close()
    whole = sum(answering.whole for answering in answers)
    return whole, sum(answering.done for answering in answers)


async def count_denials(age_s, count, seconds):
    """Return how many retries the budget denied after the group has formed.

    Args:
        age_s: Age of the entry, seconds.
        count: Requests that the targets refuse before that.
        seconds: Time that passes after it.
    """
    clock = core.ManualClock(start=100.0)
    one = hop.Hop(route=hop.route(), retries=0.0, clock=clock)
    one.other = FormingTarget()
    await one.prepare()
    one.forwarder.dialect = NotRunDialect()
    one.announce("other", one.other)
    clock.now += age_s
    for _ in range(count):
        one.forwarder.handle(hop.Answering())
        await asyncio.sleep(TICK_SECONDS)
    one.other.formed = True
    one.forwarder.handle(hop.Answering())
    decisions = record_decisions(one.forwarder)
    await run_ticks(one, clock, seconds)
    one.close()
    return sum(not decision.allowed for decision in decisions)


def record_decisions(entry):
    """Return a list that collects the entry's decisions on retries."""
    decisions = []
    take = entry._budget.take

    def recorded(service, now):
        decisions.append(take(service, now))
        return decisions[-1]

    entry._budget.take = recorded
    return decisions


async def run_ticks(one, clock, seconds):
    """Advance the clock in steps of one tick."""
    for _ in range(round(seconds / TICK_SECONDS)):
        clock.now += TICK_SECONDS
        one.forwarder.tick()
        await asyncio.sleep(TICK_SECONDS)


@given("an entry that has run for {age_s:g} s, whose targets refuse requests")
def step_refusing(context, age_s):
    context.age_s = age_s


@when("{count:d} requests arrive, and {seconds:g} s later the targets accept")
def step_until_formed(context, count, seconds):
    context.outcome = asyncio.run(
        send_until_formed(context.age_s, count, seconds)
    )


@when("{count:d} requests are refused, and {seconds:g} s pass without retries")
def step_without_retries(context, count, seconds):
    context.denials = asyncio.run(count_denials(context.age_s, count, seconds))


@then("between {least:d} and {most:d} retries have been denied")
def step_denials(context, least, most):
    assert least <= context.denials <= most, context.denials


@then("{served:d} of them are answered by targets and {refused:d} refused")
def step_served_refused(context, served, refused):
    assert context.outcome == (served, refused), context.outcome


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
    assert context.outage.is_active(context.now)
    over = context.outage.seems_over(context.now)
    assert over == (outage == "seems over"), over
