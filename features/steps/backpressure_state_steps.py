"""Steps on the backpressure state that is kept of targets."""

import itertools

from behave import given
from behave import then
from behave import when

from features.harness import site
from jasperweir.components.backpressure import backpressure
from jasperweir.components.backpressure import signals
from jasperweir.components.balance import messages

BACKOFF_SECONDS = 3.0


@when('a target sends back-off "{backoff}" and leaving "{leaving}"')
@when('a target sends back-off "{backoff}" and leaving ""')
@when('a target sends back-off "" and leaving "{leaving}"')
def step_sends(context, backoff="", leaving=""):
    context.signals = signals.read(
        rest=[v.encode() for v in backoff.split(",") if v],
        limit=[],
        leaving=[leaving.encode()] if leaving else [],
    )


@then('the back-off is "{seconds}" s, and it is draining: {draining}')
def step_signals(context, seconds, draining):
    backoff_s = None if seconds == "none" else float(seconds)
    seen = (context.signals.backoff_s, context.signals.draining)
    assert seen == (backoff_s, draining == "yes"), seen


@then("{count:d} values are unreadable")
def step_unreadable(context, count):
    assert len(context.signals.unreadable) == count, context.signals


def send_signals(context, sent):
    """Answer with signals as a new target."""
    context.now = 100.0
    context.backpressure = backpressure.Backpressure()
    context.target = site.target(target_id="t", address="10.1.0.1:80")
    context.target = context.target._replace(born=1000)
    context.backpressure.on_answer(
        context.target, sent, context.now, context.now
    )


@given("a target that has asked for a back-off of 3 s")
def step_backs_off(context):
    send_signals(context, signals.Signals(backoff_s=BACKOFF_SECONDS))


@given("a target that is draining")
def step_draining(context):
    send_signals(context, signals.Signals(draining=True))


@when("it restarts with the same id")
def step_restarts(context):
    context.target = context.target._replace(born=2000)


@when("its next heartbeat arrives")
def step_heartbeat(context):
    sequence = context.target.sequence + 1
    context.target = context.target._replace(sequence=sequence)


@when("it asks for a back-off of {seconds:g} s")
def step_shorter_backoff(context, seconds):
    sent = signals.Signals(backoff_s=seconds)
    context.backpressure.on_answer(
        context.target, sent, context.now, context.now
    )


@when("{seconds:g} s pass for that target")
def step_pass(context, seconds):
    context.now += seconds
    context.backpressure.prune(lambda _: context.target, context.now)


@then("it may get {count} requests")
@then("it may get requests")
def step_may_get(context, count=""):
    found = context.backpressure.list_available([context.target], context.now)
    assert bool(found) == (count != "no"), found


@when("{count:d} targets back off, and other entries report {more:d} more")
def step_many(context, count, more):
    context.backpressure = backpressure.Backpressure()
    sent = signals.Signals(backoff_s=BACKOFF_SECONDS)
    for number in range(count):
        target = site.target(target_id=f"t{number}", address="10.1.0.1:80")
        context.backpressure.on_answer(target, sent, 100.0, 100.0)
    refusing = tuple(
        messages.Refusing(f"o{number}", 0, 1.0) for number in range(more)
    )
    for first in range(0, more, 500):
        context.backpressure.on_peer_refusals(
            refusing[first : first + 500], 100.0
        )


@then("the state of at most {most:d} is kept")
def step_bounded(context, most):
    assert 0 < len(context.backpressure) <= most, len(context.backpressure)


@then("none is kept once they are gone and their back-offs are over")
def step_dropped(context):
    context.backpressure.prune(lambda _: None, 200.0)
    assert len(context.backpressure) == 0, len(context.backpressure)


@given("a target that refuses each request for {seconds:d} s")
def step_refuses_long(context, seconds):
    send_signals(context, signals.NONE)
    context.tried = []
    other = context.target._replace(target_id="other")
    for quarter in range(seconds * 4):
        now = 100.0 + quarter / 4
        found = context.backpressure.list_available(
            [context.target, other], now
        )
        if context.target in found:
            context.tried.append(now)
            context.backpressure.on_chosen(context.target, now)
            context.backpressure.on_refused(context.target, now)


@then(
    "it was tried at least every {most:g} s, and later never twice within 7 s"
)
def step_tried(context, most):
    intervals = [b - a for a, b in itertools.pairwise(context.tried)]
    assert max(intervals) <= most, max(intervals)
    assert min(intervals[10:]) >= 7.0, min(intervals[10:])


@given('a target that sends back-off "{value}" with {count:d} answers')
def step_unreadable_backoff(context, value, count):
    sent = signals.read(rest=[value.encode()], limit=[], leaving=[])
    send_signals(context, sent)
    context.changes = [backpressure.Change.UNREADABLE]
    for _ in range(count - 1):
        context.changes += context.backpressure.on_answer(
            context.target, sent, context.now, context.now
        )


@then("this is reported once, and it may get requests")
def step_reported_once(context):
    assert context.changes == [backpressure.Change.UNREADABLE], context.changes
    assert context.backpressure.list_available([context.target], context.now)
