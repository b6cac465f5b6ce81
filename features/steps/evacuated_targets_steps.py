"""Steps on entries whose targets are evacuated."""

import asyncio

from behave import given
from behave import then
from behave import when

from features.harness import evacuated_targets
from features.harness import hop
from features.harness import site
from features.steps import forward_steps
from jasperweir import result_codes
from jasperweir.components.balance import passes
from jasperweir.components.forward import request_state
from jasperweir.components.registry import ops

Code = result_codes.Code
# Longest delay that a refused caller is told, seconds.
MAX_RETURN_SECONDS = 2.6


@given("an entry with {count:d} target in each of two data centres")
@given("an entry with {count:d} targets in each of two data centres")
def step_entry(context, count):
    context.entry = evacuated_targets.Entry(count_each=count)
    start_loop(context)
    context.loop.run_until_complete(context.entry.start())
    context.add_cleanup(context.entry.close)


def start_loop(context):
    """Create an event loop that ends its tasks after the scenario."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(end_loop, context.loop)


def end_loop(loop):
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()


def run(context, seconds):
    context.loop.run_until_complete(context.entry.run(seconds))


def call(context, count):
    context.loop.run_until_complete(context.entry.call(count))


@when(
    'requests arrive for {before:g} s, "{place}" is evacuated, and requests '
    "arrive for {after:g} s"
)
def step_evacuated_midway(context, before, place, after):
    run(context, before)
    context.before = context.entry.count_arrivals(place)
    assert context.before, "it had no requests to lose"
    context.entry.evacuate(place)
    run(context, after)


@then('"{place}" gets no request after that')
def step_no_request(context, place):
    found = context.entry.count_arrivals(place)
    assert found == context.before, (context.before, found)


@then("every request is answered {status:d}")
def step_all_answered(context, status):
    found = context.entry.statuses()
    assert found and set(found) == {status}, found


@when("the evacuation ends and requests arrive for {seconds:g} s")
def step_ends(context, seconds):
    context.entry.evacuate()
    run(context, seconds)


@then('"{place}" gets requests again')
def step_requests_again(context, place):
    assert context.entry.count_arrivals(place) > context.before


@when('"{place}" is evacuated while connections to it are opened')
def step_while_connecting(context, place):
    entry = context.entry
    pool = entry.one.forwarder.pool
    open_connection = pool.open
    addresses = {
        target.address
        for target in entry.targets
        if entry.place_of(target) == place
    }
    opened = []

    async def open_and_evacuate(address):
        conn = await open_connection(address)
        if address in addresses:
            opened.append(address)
            entry.evacuate(place)
        return conn

    pool.open = open_and_evacuate
    context.before = 0
    call(context, 6)
    assert opened, "no connection was opened"


@when(
    '"{place}" is evacuated and the targets of "{other}" refuse requests '
    "for 1 s"
)
def step_others_refuse(context, place, other):
    entry = context.entry
    context.before = 0
    entry.evacuate(place)
    for target in entry.targets:
        if entry.place_of(target) == other:
            target.backoff = b""
    run(context, 1.0)
    assert entry.count_arrivals(other)


@when('"{place}" is evacuated while requests wait for slots in both')
def step_wait_in_both(context, place):
    entry = context.entry
    context.before = 0
    for name in evacuated_targets.PLACES:
        entry.fill(name)
    call(context, 3)
    entry.evacuate(place)


@when('only the slots of "{place}" come free')
def step_slots_free(context, place):
    entry = context.entry
    for target in entry.targets:
        if entry.place_of(target) == place:
            entry.one.empty(target.name)
    context.loop.run_until_complete(entry.settle(1.0))


@given('a stream that runs in "{first}" and a target in "{second}"')
def step_stream(context, first, second):
    start_loop(context)
    context.hop = hop.Hop(route=hop.route())
    context.add_cleanup(context.hop.close)
    places = {"slow": first, "other": second}

    def announce(name, target):
        found = site.target(target_id=name, address=target.address)
        context.hop.directory.merge(
            found._replace(place=places[name]), context.hop.forwarder.now()
        )

    context.hop.announce = announce
    context.loop.run_until_complete(context.hop.start())
    assert context.hop.slow.requests == 1
    context.entry = None


@when('"{places}" is evacuated')
def step_evacuated(context, places):
    names = tuple(places.split(","))
    if context.entry is not None:
        context.entry.evacuate(*names)
        return

    async def evacuate():
        context.hop.forwarder.on_evacuations(ops.EvacuationList(1, names))
        await asyncio.sleep(hop.SETTLE_SECONDS)

    context.loop.run_until_complete(evacuate())


@when('the target in "z1" turns slow')
def step_turns_slow(context):
    context.loop.run_until_complete(context.hop.turn_slow(8.0))


@then("the stream runs on at its target")
def step_runs_on(context):
    one = context.hop
    assert not one.answering.done and not one.slow.closed
    assert (one.slow.requests, one.other.requests) == (1, 0)


@then('the stream is continued in "z2"')
def step_continued(context):
    assert context.hop.other.requests == 1
    assert context.hop.answering.ids() == list(range(1, hop.EVENTS + 1))


@when("all data centres are evacuated and {count:d} requests arrive")
def step_all_evacuated(context, count):
    context.entry.evacuate(*evacuated_targets.PLACES)
    call(context, count)


@when(
    "it has just started, all data centres are evacuated and "
    "{count:d} requests arrive"
)
def step_just_started(context, count):
    entry = context.entry
    # The harness moves the clock past the start.
    entry.clock.now -= 10.0
    entry.evacuate(*evacuated_targets.PLACES)
    call(context, count)


@when("requests wait for slots and all data centres are evacuated")
def step_waiting_evacuated(context):
    entry = context.entry
    for name in evacuated_targets.PLACES:
        entry.fill(name)
    entry.answers = []
    call(context, 3)
    waiting = [a for a in entry.answers if not a.replied[0]]
    assert waiting, "no request waits"
    entry.answers = waiting
    entry.evacuate(*evacuated_targets.PLACES)
    entry.one.forwarder.tick()


@then('each is refused at once with the code "{name}" and a return time')
def step_refused(context, name):
    code = b"%d" % Code[name.upper()]
    found = context.entry.find_answers()
    assert found
    for status, headers in found:
        assert (status, headers.get(b"jasperweir-code")) == (503, code), found
        assert 0 < float(headers[b"retry-after"]) <= MAX_RETURN_SECONDS


@then("no target gets a request")
def step_no_target(context):
    assert not any(target.arrivals for target in context.entry.targets)


@then(
    "a request that may have run is not told that it has not when all "
    "targets are evacuated"
)
def step_may_have_run(context):
    state = forward_steps.make_request_state("safe")
    assert state.fail(Code.EVACUATED) == request_state.Fail(Code.EVACUATED)
    state.on_sent("t1")
    state.on_fault("t1", request_state.Fault.UNKNOWN, 100.1)
    assert state.fail(Code.EVACUATED) == request_state.Fail(Code.BROKEN_OFF)


@then("its free slots are those of {count:d} targets")
def step_free_slots(context, count):
    forwarder = context.entry.one.forwarder
    targets = forwarder.targets.list_available("s", forwarder.now())
    found = forwarder.capacity.find_candidates(targets, None, forwarder.now())
    assert len(targets) == count
    assert found.free_slots == sum(target.slots for target in targets)


@then('the limit on streams is updated with the {count:d} targets of "{place}"')
def step_limit_updated(context, count, place):
    forwarder = context.entry.one.forwarder
    seen = []
    update_limit = forwarder.capacity.update_limit

    def record(targets, limit, now):
        seen.append({target.place for target in targets})
        assert len(targets) == count, targets
        return update_limit(targets, limit, now)

    forwarder.capacity.update_limit = record
    forwarder.pass_monitor.limits.on_bounds(
        {"s": passes.PassBounds(pause_s=0.12, fixed_s=0.02, slots=6)}
    )
    for _ in range(1000):
        forwarder.record_pause("s", None, 0.05)
    forwarder.pass_monitor.tick(forwarder.now())
    assert seen == [{place}], seen


@then('the hook was called once, with "{place}" and the time')
def step_hook(context, place):
    entry = context.entry
    assert entry.ended == [(place, entry.clock.now)], entry.ended


@then("the gauge of evacuated data centres is {count:d}")
def step_gauge(context, count):
    page = context.entry.one.metrics.render().decode()
    lines = [x for x in page.splitlines() if "data_centres_evacuated" in x]
    assert any(x.endswith(f" {count}.0") for x in lines), lines


@then("its list of targets is that of the directory")
def step_same_list(context):
    forwarder = context.entry.one.forwarder
    now = forwarder.now()
    announced = context.entry.one.directory.list_ready("s", now)
    assert forwarder.targets.list_available("s", now) is announced


@then("its list of targets stays the same object")
def step_same_object(context):
    forwarder = context.entry.one.forwarder
    now = forwarder.now()
    first = forwarder.targets.list_available("s", now)
    assert forwarder.targets.list_available("s", now) is first
    assert len(first) == len(context.entry.targets)


@then("its shorter list of targets stays the same object")
def step_shorter_list(context):
    forwarder = context.entry.one.forwarder
    now = forwarder.now()
    first = forwarder.targets.list_available("s", now)
    assert forwarder.targets.list_available("s", now) is first
    assert {target.place for target in first} == {"z1"}
