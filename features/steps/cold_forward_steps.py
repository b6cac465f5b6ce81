"""Steps on cold targets of one entry."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import scripted_targets
from features.harness import site
from jasperweir.components.deployment import model
from jasperweir.components.directory import records

ENTRY = records.Node("e1", "entry", "p", "127.0.0.1:1", True, 1, 1)
STEPS_PER_UPDATE = 10


class ColdEntry(scripted_targets.Entry):
    """An entry whose first target states a cold time.

    Attributes:
        hears_leader: Whether a leader lists the entry.
    """

    def __init__(self, *, count, warmup_per_s, cold_s):
        super().__init__(count=count)
        self.hears_leader = True
        self._warmup_per_s = warmup_per_s
        self._cold_s = cold_s
        self._cold_until = 0.0
        self._sequence = 0
        self._steps = 0

    async def start(self):
        await self.one.prepare()
        forwarder = self.one.forwarder
        forwarder.dialect = scripted_targets.Dialect()
        service = model.Service("s", 0, None, 3.0, self._warmup_per_s)
        forwarder.targets.warmup.on_services({"s": service})
        for target in self.targets:
            await target.start()
        # Past the start, and until the entry has been listed for long.
        for _ in range(20):
            self.clock.now += 0.5
            self.update()
        self._cold_until = self.clock.now + self._cold_s
        self.announce()

    async def settle(self, seconds=0.2):
        for _ in range(
            round(seconds / scripted_targets.REQUEST_INTERVAL_SECONDS)
        ):
            await super().settle(scripted_targets.REQUEST_INTERVAL_SECONDS)
            self.announce()

    def update(self):
        self.one.forwarder.on_entries((ENTRY,), hears_leader=self.hears_leader)
        self.one.forwarder.tidy()

    def turn_cold(self, seconds):
        self._cold_until = self.clock.now + seconds
        self.announce()

    def announce(self):
        self._sequence += 1
        for number, target in enumerate(self.targets):
            left_s = max(self._cold_until - self.clock.now, 0.0)
            record = site.target(
                target_id=target.name,
                address=target.address,
                sequence=self._sequence,
            )
            record = record._replace(
                born=1000, cold_s=left_s if number == 0 else 0.0
            )
            self.one.directory.merge(record, self.clock.now)
        self._steps += 1
        if self._steps % STEPS_PER_UPDATE == 0:
            self.update()


@given("an entry whose service takes {rate:g} requests a second while cold")
def step_rate(context, rate):
    context.rate = rate


@given("{count:d} targets, the first of which is cold for {cold_s:g} s")
def step_targets(context, count, cold_s):
    context.count, context.cold_s = count, cold_s
    context.entry = ColdEntry(
        count=count, warmup_per_s=context.rate, cold_s=cold_s
    )


@given("the entry hears from no leader")
def step_no_leader(context):
    context.entry.hears_leader = False


@when("requests arrive for {seconds:g} s")
def step_arrive(context, seconds):
    async def run(entry):
        await entry.start()
        await entry.run(seconds)
        entry.close()

    context.seconds = seconds
    asyncio.run(run(context.entry))


@then("the first target gets between {least:d} and {most:d} requests")
def step_gets(context, least, most):
    received = len(context.entry.targets[0].arrivals)
    assert least <= received <= most, received


@then("the choice among the targets is the same as with no cold target")
def step_same(context):
    async def run(entry):
        await entry.start()
        await entry.run(context.seconds)
        entry.close()

    warm = ColdEntry(count=context.count, warmup_per_s=0.0, cold_s=0.0)
    asyncio.run(run(warm))
    received = [len(t.arrivals) for t in context.entry.targets]
    assert received == [len(t.arrivals) for t in warm.targets], received


@then("the metrics page names no cold targets")
def step_no_metric(context):
    recorder = context.entry.one.forwarder._recorder
    assert b"targets_cold" not in recorder._metrics.render()


@when("{count:d} requests arrive at once after a pause")
def step_at_once(context, count):
    async def run(entry):
        await entry.start()
        await entry.settle(2.0)
        entry.announce()
        await entry.call(count)
        await entry.settle(2.0)
        entry.close()

    asyncio.run(run(context.entry))


@then("some callers are answered 200, the others refused with a Retry-After")
def step_some(context):
    answers = [a.replied for a in context.entry.answers]
    served = [replied for replied in answers if replied[0] == 200]
    refused = [replied for replied in answers if replied[0] == 503]
    assert served, answers
    assert refused, answers
    assert len(served) + len(refused) == len(answers), answers
    assert all(b"retry-after" in dict(headers) for _, headers in refused)


@when("the first target turns cold after it was chosen for {count:d} requests")
def step_turns(context, count):
    async def run(entry):
        await entry.start()
        for _ in range(count):
            entry.one.forwarder.handle(entry.answering())
        # The connections are opened once this coroutine waits.
        entry.turn_cold(20.0)
        await entry.settle(0.5)
        entry.close()

    asyncio.run(run(context.entry))


@when("the evacuation of the targets' data centre ends")
def step_ended(context):
    async def run(entry):
        await entry.start()
        entry.one.forwarder.on_evacuation_ended("p", entry.clock.now)

    asyncio.run(run(context.entry))


@when("the targets send heartbeats {seconds:g} s later")
def step_heartbeats(context, seconds):
    context.entry.clock.now += seconds
    context.entry.announce()


@then("the entry may send to {count:d} targets")
def step_may_send(context, count):
    entry = context.entry
    found = entry.one.forwarder.targets.list_available("s", entry.clock.now)
    assert len(found) == count, found


@when("{count:d} requests have been sent to the warm target")
def step_fill(context, count):
    async def run(entry):
        await entry.start()
        for _ in range(count):
            entry.one.forwarder.balancer.begin(entry.targets[1].name)
        # Long enough for a few requests of the rate, fewer than the slots.
        await entry.settle(1.2)

    asyncio.run(run(context.entry))


@then("the free slots are at most the requests that the cold target may get")
def step_free(context):
    forwarder = context.entry.one.forwarder
    now = context.entry.clock.now
    targets = forwarder.targets.list_available("s", now)
    candidates = forwarder.capacity.find_candidates(targets, None, now)
    cold = next(t for t in targets if t.target_id == "t0")
    most = forwarder.targets.warmup.max_requests([cold], now)["t0"]
    assert 1 <= candidates.free_slots <= most < cold.slots, (candidates, most)
