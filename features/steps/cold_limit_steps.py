"""Steps on the rate that all entries keep for a cold target."""

from behave import given
from behave import then
from behave import when

from features.harness import cold_entries
from features.harness import site as site_lib
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.components.warmup import shares as shares_lib

# Entries use their shares from here on, seconds.
SETTLED_SECONDS = 8.0


@given(
    "{count:d} entries and a cold target that takes {rate:g} requests a second"
)
def step_world(context, count, rate):
    context.count, context.rate = count, rate
    context.bounds = rate_lib.Bounds()
    context.prepare = lambda world, seconds: None


@given("{count:d} entries and a cold target without a warm-up rate")
def step_unlimited(context, count):
    step_world(context, count, 0.0)


@given("a deployment that allows {overage:g} times the rate and {more:g} more")
def step_bounds(context, overage, more):
    context.bounds = rate_lib.Bounds(overage=overage, tolerance=more)


@given("starts, cuts, freezes and elections at random")
def step_random(context):
    context.prepare = lambda world, seconds: world.draw_disturbances(seconds)


@given("half of them are suspended from {since:g} s to {until:g} s")
def step_half(context, since, until):
    def prepare(world, seconds):
        half = world.rng.sample(world.names, len(world.names) // 2)
        for name in half:
            world.freezes[name].append((since, until))

    context.prepare = prepare


@given("callers that come for {open_s:g} s of every {every_s:g} s")
def step_bursts(context, open_s, every_s):
    def prepare(world, seconds):
        world.every_s, world.open_s = every_s, open_s

    context.prepare = prepare


@given("no entry reaches a control VM")
def step_alone(context):
    def prepare(world, seconds):
        for intervals in world.cuts.values():
            intervals.append((0.0, seconds))

    context.prepare = prepare


@when(
    "callers ask for {times:d} times the rate for {seconds:d} s,"
    " over {seeds:d} seeds"
)
def step_run(context, times, seconds, seeds):
    context.worlds = []
    for seed in range(seeds):
        world = cold_entries.World(
            entries=context.count,
            seed=seed,
            warmup_per_s=context.rate,
            bounds=context.bounds,
        )
        context.prepare(world, seconds)
        world.run(seconds, times)
        context.worlds.append(world)


@then("no second exceeds the bound of the cold target")
def step_bounded(context):
    most = [world.most_in_window() for world in context.worlds]
    assert max(most) <= context.worlds[0].allowed, most


@then("at least {least:g} of its rate is used once the entries have settled")
def step_used(context, least):
    used = [w.used_share(SETTLED_SECONDS, 60.0) for w in context.worlds]
    assert min(used) >= least, used


@then("the cold target gets nothing")
def step_nothing(context):
    assert not any(world.arrivals for world in context.worlds)


@when("{count:d} requests arrive at an entry at once")
def step_burst(context, count):
    world = cold_entries.World(entries=1, seed=0, warmup_per_s=0.0)
    entry = cold_entries.Entry(
        name="e1",
        service=world.service,
        bounds=world.bounds,
        target=world.target,
    )
    entry.update(1.0)
    context.served = []
    for _ in range(count):
        found = entry.warmup.list_available([entry.target], "s", 1.0)
        entry.warmup.on_chosen(entry.target, 1.0)
        context.served.append(found == [entry.target])


@then("all of them may go to the target")
def step_all(context):
    assert all(context.served)


@given("a rate of {per_s:g} requests a second with a burst of {burst:g}")
def step_rate(context, per_s, burst):
    context.rate = rate_lib.Rate(per_s, burst)
    context.bucket = rate_lib.Bucket(updated_at=0.0)


@when("an entry has no share until {at:g} s, and then the whole rate")
def step_takes_over(context, at):
    for number in range(round(at / 0.5)):
        context.bucket.update(rate_lib.Rate(0.0, 0.0), number * 0.5)
    context.bucket.update(context.rate, at)


@when(
    "an entry has the whole rate from 0 s, and nothing is updated from"
    " {since:g} s to {until:g} s"
)
def step_gap(context, since, until):
    for number in range(round(since / 0.5) + 1):
        context.bucket.update(context.rate, number * 0.5)
    assert context.bucket.tokens == context.rate.burst
    context.bucket.update(context.rate, until)


@then(
    "it may send {first:d} requests at 5 s, {second:d} at 5.1 s and {third:d}"
    " at 6 s"
)
def step_tokens(context, first, second, third):
    sent = [context.bucket.tokens]
    for at in (5.1, 5.5, 6.0):
        context.bucket.update(context.rate, at)
        sent.append(round(context.bucket.tokens, 6))
    assert [sent[0], sent[1], sent[3]] == [first, second, third], sent


@given("a site with {count:d} entries")
def step_site(context, count):
    context.site = site_lib.Site(entries=count)
    context.shares = {
        name: shares_lib.ColdShares(name=name)
        for name in context.site.discovery_clients
    }


@when("it runs for {seconds:d} s")
def step_site_runs(context, seconds):
    site = context.site
    context.settled = {name: [] for name in context.shares}
    site.run(2.0)
    site.replace("c1", 1)
    for _ in range(round(seconds / cold_entries.UPDATE_SECONDS)):
        site.run(cold_entries.UPDATE_SECONDS)
        for name, shares in context.shares.items():
            client = site.discovery_clients[name]
            names = [node.name for node in client.open_entries(site.now)]
            shares.on_entries(
                names,
                site.now,
                is_confirmed=client.hears_leader(site.now) and name in names,
            )
            context.settled[name].append(shares.is_settled(site.now))


@then(
    "every entry may use its shares from {since:d} s on, and counts"
    " {count:d} entries"
)
def step_all_settled(context, since, count):
    first = round(since / cold_entries.UPDATE_SECONDS)
    for name, settled in context.settled.items():
        assert all(settled[first:]), (name, settled)
    assert {len(shares) for shares in context.shares.values()} == {count}
