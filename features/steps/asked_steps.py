"""Steps on what is kept of what targets ask."""

import itertools

from behave import given
from behave import then
from behave import when

from features.harness import site
from jasperweir.components.backpressure import asked
from jasperweir.components.backpressure import signals
from jasperweir.components.balance import messages

REST = 3.0


@when('a target says "{said}" of rest and "{leaving}" of leaving')
@when('a target says "{said}" of rest and "" of leaving')
@when('a target says "" of rest and "{leaving}" of leaving')
def step_says(context, said="", leaving=""):
    context.told = signals.read(
        rest=[v.encode() for v in said.split(",") if v],
        limit=[],
        leaving=[leaving.encode()] if leaving else [],
    )


@then('it wants rest for "{seconds}" s, and it leaves: {leaves}')
def step_wants(context, seconds, leaves):
    wanted = None if seconds == "none" else float(seconds)
    seen = (context.told.rest_s, context.told.draining)
    assert seen == (wanted, leaves == "yes"), seen


@then("{count:d} values are shown as unreadable")
def step_unreadable(context, count):
    assert len(context.told.unreadable) == count, context.told


def asks(context, told):
    context.now = 100.0
    context.asked = asked.Backpressure()
    context.target = site.target(target_id="t", address="10.1.0.1:80")
    context.target = context.target._replace(born=1000)
    context.asked.on_answer(context.target, told, context.now, context.now)


@given("a target that has asked for 3 s of rest")
def step_asked(context):
    asks(context, signals.Signals(rest_s=REST))


@given("a target that has said that it leaves")
def step_said_leaves(context):
    asks(context, signals.Signals(draining=True))


@when("it starts again under its id")
def step_starts_again(context):
    context.target = context.target._replace(born=2000)


@when("its next heartbeat comes")
def step_heartbeat(context):
    sequence = context.target.sequence + 1
    context.target = context.target._replace(sequence=sequence)


@when("it asks for {seconds:g} s of rest")
def step_asks_less(context, seconds):
    told = signals.Signals(rest_s=seconds)
    context.asked.on_answer(context.target, told, context.now, context.now)


@when("{seconds:g} s pass for that target")
def step_pass(context, seconds):
    context.now += seconds
    context.asked.tidy(lambda _: context.target, context.now)


@then("it may get {count} requests")
@then("it may get requests")
def step_may_get(context, count=""):
    found = context.asked.open_to([context.target], context.now)
    assert bool(found) == (count != "no"), found


@when("{count:d} targets ask for rest, and other entries tell of {more:d} more")
def step_many(context, count, more):
    context.asked = asked.Backpressure()
    told = signals.Signals(rest_s=REST)
    for number in range(count):
        target = site.target(target_id=f"t{number}", address="10.1.0.1:80")
        context.asked.on_answer(target, told, 100.0, 100.0)
    refusing = tuple(
        messages.Refusing(f"o{number}", 0, 1.0) for number in range(more)
    )
    for first in range(0, more, 500):
        context.asked.on_told(refusing[first : first + 500], 100.0)


@then("no more than {most:d} are remembered")
def step_remembered(context, most):
    assert 0 < len(context.asked) <= most, len(context.asked)


@then("none is once they are gone and their rests are over")
def step_forgotten(context):
    context.asked.tidy(lambda _: None, 200.0)
    assert len(context.asked) == 0, len(context.asked)


@given("a target that refuses each request for {seconds:d} s")
def step_refuses_long(context, seconds):
    asks(context, signals.NONE)
    context.tried = []
    other = context.target._replace(target_id="other")
    for step in range(seconds * 4):
        now = 100.0 + step / 4
        found = context.asked.open_to([context.target, other], now)
        if context.target in found:
            context.tried.append(now)
            context.asked.on_chosen(context.target, now)
            context.asked.on_refused(context.target, now)


@then(
    "it was tried at least each {most:g} s, and never twice within 7 s later on"
)
def step_tried(context, most):
    apart = [b - a for a, b in itertools.pairwise(context.tried)]
    assert max(apart) <= most, max(apart)
    assert min(apart[10:]) >= 7.0, min(apart[10:])


@given('a target that says "{value}" of rest with {count:d} answers')
def step_puzzles(context, value, count):
    told = signals.read(rest=[value.encode()], limit=[], leaving=[])
    asks(context, told)
    context.changes = [asked.Change.UNREADABLE]
    for _ in range(count - 1):
        context.changes += context.asked.on_answer(
            context.target, told, context.now, context.now
        )


@then("this is told once, and it may get requests")
def step_told_once(context):
    assert context.changes == [asked.Change.UNREADABLE], context.changes
    assert context.asked.open_to([context.target], context.now)
