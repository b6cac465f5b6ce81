"""Steps on the order of service over all entries."""

import collections
import functools
import hashlib
import json
import random
import statistics

from behave import given
from behave import then
from behave import when

from features.harness import order_simulation
from features.harness import site
from jasperweir.components.balance import balancer
from jasperweir.components.balance import wait_queue
from jasperweir.components.forward import service_queue
from jasperweir.components.scheduling import const
from jasperweir.components.scheduling import demand
from jasperweir.components.scheduling import fairness
from jasperweir.components.scheduling import order
from jasperweir.components.scheduling import own_demand
from jasperweir.components.scheduling import returns
from jasperweir.components.scheduling import view

NOW = 100.0


def make_streams(factor):
    """Return a third of the load of three routes with priorities."""
    return [
        order_simulation.Stream(
            priority=0, per_s=15.3, target_s=0.406, in_time=3.1
        ),
        order_simulation.Stream(
            priority=1, per_s=20.3, target_s=0.407, in_time=1.6, late=0.41
        ),
        order_simulation.Stream(
            priority=2,
            per_s=6.7,
            target_s=0.807,
            in_time=0.8,
            factor=factor,
        ),
    ]


@functools.cache
def replay(seed, factor, *, has_demand):
    return order_simulation.Simulation(
        streams=make_streams(factor), seed=seed, has_demand=has_demand
    ).run()


@given(
    "12 entries that serve three priorities with 120 slots, seeds {first:d} to"
    " {last:d}"
)
def step_entries(context, first, last):
    context.seeds = range(first, last + 1)


@when(
    "the least urgent requests arrive at {factor:g} times their rate for 10 s"
)
def step_burst(context, factor):
    context.quiet, context.ordered, context.today = (
        [replay(seed, rate, has_demand=has_demand) for seed in context.seeds]
        for rate, has_demand in ((1.0, True), (factor, True), (factor, False))
    )


def share_of_urgent(simulations):
    return statistics.mean(s.share("in time", priority=0) for s in simulations)


@then(
    "the most urgent are in time as without the burst, within {points:d} points"
)
def step_as_without(context, points):
    quiet = share_of_urgent(context.quiet)
    ordered = share_of_urgent(context.ordered)
    assert ordered >= quiet - points / 100, (quiet, ordered)


@then("by the entry's own order they are at least {points:d} points worse")
def step_today_worse(context, points):
    ordered = share_of_urgent(context.ordered)
    today = share_of_urgent(context.today)
    assert today <= ordered - points / 100, (today, ordered)


@then(
    "with each seed no fewer requests are served than by the entry's own order"
)
def step_served(context):
    ordered = [s.served for s in context.ordered]
    today = [s.served for s in context.today]
    assert all(
        one >= other for one, other in zip(ordered, today, strict=True)
    ), (ordered, today)


@given("12 entries that serve a single priority of {customers}, seed {seed:d}")
def step_single(context, customers, seed):
    context.seed = seed
    context.names = ("",) if customers == "one customer" else ("a", "b")


@when("the requests arrive at {factor:g} times their rate for 10 s")
def step_single_burst(context, factor):
    per_s = 42.3 if len(context.names) == 1 else 21.1
    streams = [
        order_simulation.Stream(
            priority=1, per_s=per_s, factor=factor, customer=name
        )
        for name in context.names
    ]
    context.simulation = order_simulation.Simulation(
        streams=streams, seed=context.seed
    ).run()


@then("the decisions are those of the code before the order, digest {digest}")
def step_digest(context, digest):
    decisions = repr(context.simulation.decisions).encode()
    found = hashlib.sha256(decisions).hexdigest()[:16]
    assert found == digest, found


def make_bands(**bands):
    """Return bands from totals named ``p0`` to ``p9``."""
    return tuple(
        bands.get(f"p{number}", demand.BandTotal()) for number in range(10)
    )


@given(
    "{urgent:d} running requests of priority 0 and {other:d} of priority 2"
    " that take {whole_s:g} s"
)
def step_running(context, urgent, other, whole_s):
    context.running = (urgent, other)
    context.whole_s = whole_s
    context.elsewhere = demand.NO_DEMAND


def make_order(context, *, free, arrivals=(0, 0), waiting=(0, 0)):
    urgent, other = context.running
    own = make_bands(
        p0=demand.BandTotal(waiting[0], 0, urgent, arrivals[0]),
        p2=demand.BandTotal(waiting[1], 0, other, arrivals[1]),
    )
    return order.Order(
        own=own,
        elsewhere=context.elsewhere,
        supply=order.Supply(free=free, whole_s=context.whole_s),
    )


@when(
    "{per_s:d} requests of each priority arrive a second and {free:d} slots"
    " are free"
)
def step_arrivals(context, per_s, free):
    context.order = make_order(context, free=free, arrivals=(per_s, per_s))


@when(
    "{urgent:d} requests of priority 0 and {other:d} of priority 2 arrive a"
    " second"
)
def step_arrivals_apart(context, urgent, other):
    context.order = make_order(context, free=1, arrivals=(urgent, other))


@then("a request of priority {band:d} leaves {slots:d} slots")
def step_reserve(context, band, slots):
    assert context.order.compute_reserve(band) == slots


@then(
    "a request of priority {band:d} leaves between {least:g} and {most:g} slots"
)
def step_reserve_between(context, band, least, most):
    found = context.order.compute_reserve(band)
    assert least <= found <= most, found


@given(
    "another entry where {count:d} requests of priority {band:d} wait in time"
)
def step_elsewhere(context, count, band):
    context.running = (50, 50)
    context.whole_s = 2.0
    context.view = view.DemandView()
    item = demand.BandDemand("s", band, count, 0, 0)
    context.view.on_share("e2", 5, (item,), (), NOW)
    context.elsewhere = context.view.sum_elsewhere("s", NOW).bands
    context.asked_at = NOW


@when("{free:d} slots are free and a request of priority {band:d} arrives")
def step_arrives(context, free, band):
    context.band = band
    context.order = make_order(context, free=free)


@then("it is not sent before the waiting ones")
def step_not_overtaking(context):
    assert not context.order.may_overtake(context.band)


@then("with {free:d} free slots it is")
def step_overtaking(context, free):
    assert make_order(context, free=free).may_overtake(context.band)


@when("{free:d} slots are free and {count:d} requests of priority 2 wait here")
def step_wait_here(context, free, count):
    context.order = make_order(context, free=free, waiting=(0, count))


@then("this entry may fill {slots:d} slots")
def step_may_fill(context, slots):
    granted = context.order.allocate([0.1] * 10, random.Random(1))
    assert sum(each.total for each in granted) == slots, granted


@when(
    "{count:d} requests of each priority wait here and {free:d} slots are free"
)
def step_both_wait(context, count, free):
    context.waiting, context.free = (count, count), free
    context.order = make_order(context, free=free, waiting=context.waiting)


@then("priority 2 gets {slots:d} slots")
def step_gets(context, slots):
    granted = context.order.allocate([0.1] * 10, random.Random(1))
    assert granted[2].total == slots, granted


@then("with {count:d} running requests of priority 2 it gets {slots:d} slots")
def step_gets_no_more(context, count, slots):
    context.running = (context.running[0] - count, count)
    context.order = make_order(
        context, free=context.free, waiting=context.waiting
    )
    step_gets(context, slots)


@when("{count:d} requests run for {whole_s:g} s and all slots are used")
def step_all_used(context, count, whole_s):
    context.running = (count // 2, count // 2)
    context.whole_s = whole_s
    context.order = make_order(context, free=0, arrivals=(10, 10))


def forecast(context, band):
    ahead = context.order.count_ahead(band)
    return context.order.forecast_wait_s(band, ahead=ahead)


@then("the forecast of a request of priority {band:d} is below {wait_s:g} s")
def step_forecast_below(context, band, wait_s):
    assert forecast(context, band) < wait_s, forecast(context, band)


@then("that of a request of priority {band:d} is above {wait_s:g} s")
def step_forecast_above(context, band, wait_s):
    assert forecast(context, band) > wait_s, forecast(context, band)


@given("another entry of an older version where {count:d} requests wait")
def step_older(context, count):
    context.view = view.DemandView()
    context.view.on_share("e2", 5, (), (("s", count, 0),), NOW)
    context.asked_at = NOW


@when("nothing is heard from it for {age_s:g} s")
def step_silent(context, age_s):
    context.asked_at = NOW + age_s


@given("another entry that sends the demand {raw}")
def step_raw(context, raw):
    context.view = view.DemandView()
    context.view.on_share("e2", 5, (json.loads(raw),), (), NOW)
    context.asked_at = NOW


@when("an earlier message of it arrives that names {count:d}")
def step_earlier(context, count):
    item = demand.BandDemand("s", 0, count, 0, 0)
    context.view.on_share("e2", 4, (item,), (), NOW + 0.01)
    context.asked_at = NOW + 0.02


@then("its requests count as {count:d} of priority {band:d}")
def step_counted_as(context, count, band):
    bands = context.view.sum_elsewhere("s", context.asked_at).bands
    assert round(bands[band].timely, 6) == count, bands
    others = sum(b.timely for n, b in enumerate(bands) if n != band)
    assert not others, bands


@when("requests of priority {one:d}, {two:d} and {three:d} arrive")
def step_priorities(context, one, two, three):
    context.own = own_demand.OwnDemand()
    context.found = [
        context.own.on_arrival(priority, NOW) for priority in (one, two, three)
    ]


@then(
    "they count in the bands {one:d}, {two:d} and {three:d} and {count:d} are"
    " clamped"
)
def step_bands(context, one, two, three, count):
    assert context.found == [one, two, three], context.found
    assert context.own.clamped == count


@given(
    "refused callers of priorities 2, 2, 0 and 2 while {per_s:g} slots a second"
    " come free"
)
def step_refused(context, per_s):
    schedule = returns.ReturnSchedule(rng=random.Random(1))
    context.delays = [
        schedule.plan(band, NOW, wait_s=0.5, slots_per_s=per_s, left_s=8.0)
        for band in (2, 2, 0, 2)
    ]


@then("they return after {a:g}, {b:g}, {c:g} and {d:g} s")
def step_return_after(context, a, b, c, d):
    delays = [round(delay, 6) for delay in context.delays]
    assert delays == [a, b, c, d], delays


@given(
    "{count:d} refused callers with {left_s:g} s left while {per_s:g} slots a"
    " second come free"
)
def step_many_refused(context, count, left_s, per_s):
    schedule = returns.ReturnSchedule(rng=random.Random(1))
    context.delays = [
        schedule.plan(1, NOW, wait_s=5.0, slots_per_s=per_s, left_s=left_s)
        for _ in range(count)
    ]


@then("all return between {least:g} and {most:g} s")
def step_return_between(context, least, most):
    assert least <= min(context.delays), context.delays
    assert max(context.delays) <= most + 1e-9, context.delays


@then("no two of them return at the same time")
def step_spread(context):
    delays = context.delays
    assert len(set(delays)) == len(delays), delays


def make_waiting(number, *, since=NOW, until=NOW + 0.5, timely_until=NOW + 0.4):
    return wait_queue.QueuedRequest(
        priority=1,
        since=since,
        number=number,
        until=until,
        not_before=NOW,
        timely_until=timely_until,
    )


@given(
    "{count:d} waiting requests that end after {left_s:g} s while {per_s:g}"
    " slots a second come free"
)
def step_waiting(context, count, left_s, per_s):
    context.queue = wait_queue.WaitQueue()
    for number in range(count):
        context.queue.enqueue(make_waiting(number, until=NOW + left_s))
    resumed = make_waiting(
        99, since=NOW + 1, until=NOW + left_s, timely_until=float("inf")
    )
    context.queue.enqueue(resumed)
    context.hopeless = context.queue.find_hopeless(
        1, NOW, {}, ahead=0, spacing=1, per_s=per_s
    )


@then("{count:d} of them are refused at once")
def step_hopeless(context, count):
    assert len(context.hopeless) == count, context.hopeless


@then("a request among them that resumes an answer still waits")
def step_resumed_waits(context):
    assert 99 not in context.hopeless


@given("a late new request that is older than a late returning one")
def step_late_pair(context):
    context.queue = wait_queue.WaitQueue()
    late = make_waiting(1, since=NOW - 2, timely_until=NOW - 1)
    context.queue.enqueue(late)
    context.queue.enqueue(
        late._replace(number=2, since=NOW - 1, is_return=True)
    )


@when("the order gives one slot to their priority")
def step_one_slot(context):
    slots = [order.BandSlots(0, int(band == 1)) for band in range(10)]
    context.sent = context.queue.admit_bands(slots, NOW, {})


@then("the returning one gets it")
def step_returning_first(context):
    assert [w.number for w in context.sent] == [2], context.sent


@then("no request takes over a slot of this entry")
def step_no_hand_over(context):
    assert not any(slots.total for slots in context.order.hand_over())


@then("one request takes over a slot of this entry")
def step_hand_over(context):
    assert sum(slots.total for slots in context.order.hand_over()) == 1


@given("{count:d} targets with one free slot each")
def step_targets(context, count):
    context.targets = [
        site.target(target_id=f"t{n}", address=f"10.0.0.{n}:80")
        for n in range(count)
    ]


@when("an urgent and another request are sent {times:d} times at the same time")
def step_choose(context, times):
    context.pairs = []
    for seed in range(times):
        pair = []
        for is_urgent in (True, False):
            one = balancer.Balancer(rng=random.Random(seed * 2 + is_urgent))
            chosen = one.choose(
                context.targets[::-1] if is_urgent else context.targets,
                set(),
                NOW,
                is_urgent=is_urgent,
            )
            pair.append(chosen.target_id)
        context.pairs.append(pair)


@then("they never choose the same target")
def step_apart(context):
    assert all(one != other for one, other in context.pairs), context.pairs


@given("six small customers and a large one that sends at {reach}")
def step_customers(context, reach):
    context.entries = None if reach == "all entries" else 4


@when("the large one sends three times its rate for 8 s")
def step_flood(context):
    def make():
        small = [
            order_simulation.Stream(priority=1, per_s=2.0, customer=f"s{n}")
            for n in range(1, 6)
        ]
        return [
            order_simulation.Stream(priority=0, per_s=10.0, customer="s0"),
            order_simulation.Stream(
                priority=1,
                per_s=20.0,
                factor=3.0,
                customer="large",
                entries=context.entries,
            ),
            *small,
        ]

    context.today, context.ordered = (
        order_simulation.Simulation(
            streams=make(),
            seed=1,
            has_demand=has_demand,
            seconds=14.0,
            burst=(3.0, 11.0),
        ).run()
        for has_demand in (False, True)
    )


def share_of_small(simulation):
    found = [
        call
        for call in simulation.calls
        if call.stream.priority == 1 and call.stream.customer != "large"
    ]
    return sum(call.outcome == "in time" for call in found) / len(found)


@then(
    "the small ones are in time at least {points:d} points more than by the"
    " entry's own order"
)
def step_small(context, points):
    ordered = share_of_small(context.ordered)
    today = share_of_small(context.today)
    assert ordered >= today + points / 100, (ordered, today)


@then("no fewer requests are served")
def step_flood_served(context):
    ordered, today = context.ordered.served, context.today.served
    assert ordered >= today, (ordered, today)


@given("customers with {counts} running requests")
def step_running_customers(context, counts):
    found = counts.replace(" and", ",").split(", ")
    context.over = fairness.find_over_share({n: int(n) for n in found})


@then("only the one with {count:d} is over its share")
def step_over(context, count):
    assert context.over == {str(count)}, context.over


@then("none is over its share")
def step_none_over(context):
    assert not context.over, context.over


@given("a queue where only a customer over its share waits")
def step_over_waits(context):
    context.queue = wait_queue.WaitQueue()
    context.queue.enqueue(make_waiting(1)._replace(customer="large"))


@then("it gets the slot")
def step_over_served(context):
    assert [w.number for w in context.sent] == [1], context.sent


@given("{count:d} waiting requests of one customer and a later one of another")
def step_two_customers(context, count):
    context.queue = wait_queue.WaitQueue()
    for number in range(count):
        one = make_waiting(number, since=NOW - 0.2)._replace(customer="one")
        context.queue.enqueue(one)
    context.queue.enqueue(make_waiting(9)._replace(customer="other"))


def serve(context, slots, running):
    granted = [order.BandSlots(slots * (band == 1), 0) for band in range(10)]
    sent = context.queue.admit_bands(granted, NOW, running)
    context.served = [w.customer for w in sent]


@when("the order gives {slots:d} slots and neither runs anything")
def step_serve(context, slots):
    serve(context, slots, {})


@when(
    "the order gives {slots:d} slots and the first runs {count:d} at other"
    " entries"
)
def step_serve_running(context, slots, count):
    serve(context, slots, {"one": count})


@then("each of the two customers gets one")
def step_each(context):
    assert sorted(context.served) == ["one", "other"], context.served


@then("the other customer gets it")
def step_other(context):
    assert context.served == ["other"], context.served


@when("{count:d} customers send one request each")
def step_many_customers(context, count):
    context.virtual_time = fairness.VirtualTime()
    for number in range(count):
        context.virtual_time.tag(f"c{number}", ())


@then("at most {count:d} of them are remembered")
def step_remembered(context, count):
    assert count == const.CUSTOMERS_MAX
    assert len(context.virtual_time) <= count, len(context.virtual_time)


@given("entries that have all just started, seed {seed:d}")
def step_started(context, seed):
    context.seed = seed


@when("the least urgent requests arrive at {factor:g} times their rate at once")
def step_started_burst(context, factor):
    context.today, context.ordered = (
        order_simulation.Simulation(
            streams=make_streams(factor),
            seed=context.seed,
            has_demand=has_demand,
            seconds=4.0,
            burst=(0.0, 4.0),
            settle_s=0.0,
        ).run()
        for has_demand in (False, True)
    )


@then("for {seconds:g} s the decisions are those of the entry's own order")
def step_started_today(context, seconds):
    today, ordered = (
        [d for d in s.decisions if d[2] < order_simulation.START + seconds]
        for s in (context.today, context.ordered)
    )
    assert today, "no decision was made"
    assert today == ordered


def order_after(heard, known, age_s, free_slots=1):
    """Return the order of an entry that heard some others a while ago."""
    simulation = order_simulation.Simulation(
        streams=[], seed=1, entries=known + 1
    )
    entry = simulation.entries[0]
    now = entry.now()
    items = tuple(demand.BandDemand("s", band, 1, 0, 9) for band in (0, 2))
    for number in range(1, heard + 1):
        share = entry.share()._replace(demand=items)
        entry.on_share(f"e{number}", share)
    simulation.advance(age_s)
    now += age_s
    targets = entry.targets.list_available("s", now)
    candidates = entry.capacity.find_candidates(targets, None, now)
    candidates = candidates._replace(free_slots=free_slots)
    return entry.queues.find_order("s", candidates, now)


@given("an entry that hears none of {known:d} others")
def step_hears_none(context, known):
    context.found = order_after(0, known, 0.0)


@given("an entry that hears {heard:d} of {known:d} others")
def step_hears(context, heard, known):
    context.found = order_after(heard, known, 0.0)


@given("an entry with {free:d} free slots that hears {heard:d} others")
def step_hears_all(context, free, heard):
    context.found = order_after(heard, heard, 0.0, free)


@given("an entry that heard {heard:d} of {known:d} others {age_s:g} s ago")
def step_heard(context, heard, known, age_s):
    context.found = order_after(heard, known, age_s)


@then("the entry's own order applies to it")
def step_today_applies(context):
    assert context.found is None


@then("the order over all entries applies to it")
def step_order_applies(context):
    assert context.found is not None


@when("refused callers retry at once during the burst")
def step_retry_at_once(context):
    found = []
    for has_demand in (True, False):
        simulation = order_simulation.Simulation(
            streams=make_streams(2.5),
            seed=context.seeds[0],
            has_demand=has_demand,
        )
        simulation.flood_returns = True
        found.append([simulation.run()])
    context.ordered, context.today = found


@then(
    "the most urgent are in time {points:d} points more than by the entry's"
    " own order"
)
def step_retry_share(context, points):
    step_today_worse(context, points)


@when("{count:d} requests of priority 1 wait without a free slot")
def step_wait_without_slot(context, count):
    context.queue = service_queue.Queue(rng=random.Random(1))
    for number in range(count):
        context.queue.wait_queue.enqueue(make_waiting(number))
    own = make_bands(
        p0=demand.BandTotal(0, 0, context.running[0], 0),
        p1=demand.BandTotal(count, 0, 0, 0),
    )
    context.queue.order = order.Order(
        own=own,
        elsewhere=make_bands(),
        supply=order.Supply(free=0, whole_s=context.whole_s),
    )
    context.queue.order_at = NOW


@then("{count:d} of the waiting requests count as hopeless")
def step_count_hopeless(context, count):
    found = context.queue.find_hopeless(NOW, collections.Counter())
    assert len(found) == count, found
