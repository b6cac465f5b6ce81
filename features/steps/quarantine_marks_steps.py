"""Steps on the ledger of one process."""

from behave import given
from behave import then
from behave import when

from features.harness import quarantine
from jasperweir.components.quarantine import ledger as ledger_lib

REQUEST = "bad"


@given("a ledger with {count:d} crashes under a request {ago:g} s ago")
def step_ledger(context, count, ago):
    context.now = 1000.0
    context.ledger = ledger_lib.Ledger()
    context.fingerprint = quarantine.content(REQUEST)
    for number in range(count):
        context.ledger.add(
            context.fingerprint, quarantine.target(number), context.now - ago
        )


@when("one of the targets answers a request sent {ago:g} s ago")
def step_alive(context, ago):
    context.ledger.record_alive(
        quarantine.target(0), context.now - ago, context.now
    )


@when("a further target crashes under it")
def step_further_crash(context):
    context.ledger.add(context.fingerprint, quarantine.target(77), context.now)


@when(
    "{count:d} more targets crash under it, each followed by a complete answer"
)
def step_cleared(context, count):
    for number in range(count):
        context.now += 1.0
        context.ledger.add(
            context.fingerprint, quarantine.target(200 + number), context.now
        )
        context.ledger.clear_marks(context.fingerprint, context.now)


@when("{count:d} further targets crash under it")
def step_more_crashes(context, count):
    for number in range(count):
        context.now += 1.0
        context.ledger.add(
            context.fingerprint, quarantine.target(300 + number), context.now
        )


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.now += seconds
    context.ledger.tick(context.now)


@when("{count:d} other requests crash a target each")
def step_other_requests(context, count):
    for number in range(count):
        other = quarantine.content(f"other-{number}")
        context.ledger.add(other, quarantine.target(number + 100), context.now)


@then("the request is quarantined")
def step_quarantined(context):
    assert context.ledger.verdict(context.fingerprint, context.now).held_s > 0


@then("the request is not quarantined")
def step_not_quarantined(context):
    assert context.ledger.verdict(context.fingerprint, context.now).held_s == 0


@then("the request is quarantined for {seconds:g} s")
def step_quarantined_for(context, seconds):
    verdict = context.ledger.verdict(context.fingerprint, context.now)
    assert verdict.held_s == seconds, verdict


@then("the ledger is empty")
def step_empty(context):
    assert len(context.ledger) == 0
    assert context.ledger.digest == 0
    assert not context.ledger.has_outline(context.fingerprint.outline)


@then("the ledger holds {count:d} requests")
def step_size(context, count):
    assert len(context.ledger) == count, len(context.ledger)


@given("runs of a request that began {begun:g} s ago on {count:d} targets")
def step_runs(context, begun, count):
    context.now = 100.0
    context.ledger = ledger_lib.Ledger()
    context.fingerprint = quarantine.content(REQUEST)
    context.begun = begun
    context.count = count


@when("these crash within {spread:g} s of each other {ago:g} s ago")
def step_runs_crash(context, spread, ago):
    for number in range(context.count):
        after = spread * number / context.count
        crash_run(context, number, ended_ago_s=ago - after, begun=context.begun)


def crash_run(context, number, *, ended_ago_s, begun):
    """Record a crash of a target under a run."""
    run = ledger_lib.Run(ended_s=ended_ago_s, took_s=begun - ended_ago_s)
    context.ledger.add(
        context.fingerprint, quarantine.target(number), context.now, run
    )


@when(
    "a further target crashes under a run that began {begun:g} s ago,"
    " {ago:g} s ago"
)
def step_earlier_run(context, begun, ago):
    crash_run(context, 400, ended_ago_s=ago, begun=begun)


@when("a further target crashes under a run that began {begun:g} s ago")
def step_further_run(context, begun):
    crash_run(context, 500, ended_ago_s=0.0, begun=begun)
