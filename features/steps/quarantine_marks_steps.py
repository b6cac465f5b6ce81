"""Steps on marks that one process remembers."""

from behave import given
from behave import then
from behave import when

from features.harness import quarantine
from jasperweir.components.quarantine import ledger as ledger_lib

WHAT = "bad"


@given("a ledger with {count:d} ends of a request {ago:g} s ago")
def step_ledger(context, count, ago):
    context.now = 1000.0
    context.ledger = ledger_lib.Ledger()
    context.what = quarantine.content(WHAT)
    for number in range(count):
        context.ledger.add(
            context.what, quarantine.target(number), context.now - ago
        )


@when("one of the targets answers what it was sent {ago:g} s ago")
def step_lives(context, ago):
    context.ledger.lives(quarantine.target(0), context.now - ago, context.now)


@when("a further target ends under it")
def step_further(context):
    context.ledger.add(context.what, quarantine.target(77), context.now)


@when("{count:d} more targets end under it, with a whole answer after each")
def step_absolved(context, count):
    for number in range(count):
        context.now += 1.0
        context.ledger.add(
            context.what, quarantine.target(200 + number), context.now
        )
        context.ledger.absolve(context.what, context.now)


@when("{count:d} further targets end under it")
def step_more(context, count):
    for number in range(count):
        context.now += 1.0
        context.ledger.add(
            context.what, quarantine.target(300 + number), context.now
        )


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds
    context.ledger.tick(context.now)


@when("{count:d} other requests each have a target end under them")
def step_many(context, count):
    for number in range(count):
        what = quarantine.content(f"other-{number}")
        context.ledger.add(what, quarantine.target(number + 100), context.now)


@then("the request is kept from targets")
def step_kept(context):
    assert context.ledger.verdict(context.what, context.now).held_s > 0


@then("the request is not kept from targets")
def step_not_kept(context):
    assert context.ledger.verdict(context.what, context.now).held_s == 0


@then("the request is held for {seconds:g} s")
def step_held_for(context, seconds):
    verdict = context.ledger.verdict(context.what, context.now)
    assert verdict.held_s == seconds, verdict


@then("nothing is remembered")
def step_nothing(context):
    assert len(context.ledger) == 0
    assert context.ledger.digest == 0
    assert not context.ledger.has_outline(context.what.outline)


@then("{count:d} requests are remembered")
def step_remembered(context, count):
    assert len(context.ledger) == count, len(context.ledger)


@given("runs of a request that began {begun:g} s ago on {count:d} targets")
def step_runs(context, begun, count):
    context.now = 100.0
    context.ledger = ledger_lib.Ledger()
    context.what = quarantine.content(WHAT)
    context.begun = begun
    context.count = count


@when("these end within {spread:g} s of each other {ago:g} s ago")
def step_runs_end(context, spread, ago):
    for number in range(context.count):
        after = spread * number / context.count
        end_run(context, number, ended_ago_s=ago - after, begun=context.begun)


def end_run(context, number, *, ended_ago_s, begun):
    run = ledger_lib.Run(ended_s=ended_ago_s, took_s=begun - ended_ago_s)
    context.ledger.add(
        context.what, quarantine.target(number), context.now, run
    )


@when(
    "a further target ends under a run that began {begun:g} s ago,"
    " {ago:g} s ago"
)
def step_earlier_run(context, begun, ago):
    end_run(context, 400, ended_ago_s=ago, begun=begun)


@when("a further target ends under a run that began {begun:g} s ago")
def step_further_run(context, begun):
    end_run(context, 500, ended_ago_s=0.0, begun=begun)
