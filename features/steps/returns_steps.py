"""Steps for callers that return after a refusal."""

import random

from behave import given
from behave import then
from behave import when

from features.steps import forward_steps
from jasperweir.components.balance import messages
from jasperweir.components.forward import const
from jasperweir.components.forward import return_detector
from jasperweir.components.quarantine import fingerprint

# After the start of the entries, when stated times count as evidence.
NOW = 100.0


def subject(number):
    """Return the identifying parts of a request with its own content."""
    return fingerprint.Subject(
        b"POST", b"h", b"/p/1", "customer", b"prompt %d" % number
    )


class Entry:
    """A detector with the route of the scenario."""

    def __init__(self, context):
        self.route = context.route
        self.detector = return_detector.ReturnDetector(started_at=0.0)

    def arrive(self, stated_s, number, now):
        """Return the time that a caller has used up, seconds."""
        return self.detector.estimate_used_s(
            route=self.route,
            stated_s=stated_s,
            subject=subject(number),
            now=now,
        )

    def refuse(self, stated_s, number, now):
        """Record a refused first attempt."""
        self.detector.on_refused(
            route=self.route,
            subject=subject(number),
            refused=return_detector.RefusedRequest(now, now + stated_s),
            now=now,
        )


@given(
    "callers of a route of {timeout_s:g} s whose time is {low:g} to {high:g} s"
)
def step_varied(context, timeout_s, low, high):
    context.rng = random.Random(3)
    context.route = forward_steps.make_route("resumable", timeout_s)
    context.draw = lambda: context.rng.uniform(low, high)


@given(
    "callers of a route of {timeout_s:g} s that all state {stated:g} s at first"
)
def step_common(context, timeout_s, stated):
    context.rng = random.Random(3)
    context.route = forward_steps.make_route("resumable", timeout_s)
    context.stated_s = stated


@when("{count:d} of them make their first attempt")
def step_first_attempts(context, count):
    entry = Entry(context)
    context.used = [
        entry.arrive(context.draw(), i, NOW + i / 20) for i in range(count)
    ]


@then("at most {most:d} of the first attempts count as retries")
def step_few_retries(context, most):
    retries = sum(used > 0 for used in context.used)
    assert retries <= most, retries


@given("{count:d} of them have made their first attempt at two entries")
def step_two_entries(context, count):
    context.entries = Entry(context), Entry(context)
    for entry in context.entries:
        for i in range(count):
            entry.arrive(context.draw(), i, NOW + i / 20)
    context.now = NOW + count / 20


def report(context):
    """Send what the first entry reports to the second one."""
    first, second = context.entries
    context.reported = first.detector.take_unsent(context.now)
    second.detector.on_peer_refused(context.reported, context.now)


@when("an entry refuses one of them, which returns to the other after {s:g} s")
def step_returns(context, s):
    context.entries[0].refuse(7.5, 9000, context.now)
    report(context)
    context.used = context.entries[1].arrive(7.5 - s, 9000, context.now + s)


@when(
    "an entry refuses one of them, and a second caller sends the same content"
)
def step_same_content(context):
    context.entries[0].refuse(7.5, 9000, context.now)
    report(context)
    context.used = context.entries[1].arrive(7.7, 9000, context.now + 0.6)


@then("the other entry counts {seconds:g} s as used")
def step_counts(context, seconds):
    assert round(context.used, 3) == seconds, context.used


@when("{count:d} requests arrive of which two in three are retries")
def step_storm(context, count):
    context.entry = Entry(context)
    for i in range(count):
        waited_s = context.rng.uniform(0.3, 2.5) if i % 3 else 0.0
        stated_s = context.stated_s - waited_s
        context.entry.arrive(stated_s, i, NOW + i / 20)


@then("a caller that has waited {seconds:g} s counts as a retry")
def step_is_retry(context, seconds):
    used = context.entry.arrive(context.stated_s - seconds, 9000, NOW + 20)
    assert round(used, 3) == seconds, used


@when(
    "an entry reports a refused caller with {used:g} s used and {left:g} s left"
)
def step_malformed(context, used, left):
    number = fingerprint.compute_quick(subject(9000))
    report_ = messages.RefusedCaller(number=number, used_s=used, left_s=left)
    context.entries[1].detector.on_peer_refused((report_,), context.now)


@then("a caller with this content counts as a first attempt")
def step_is_first(context):
    assert context.entries[1].arrive(5.0, 9000, context.now) == 0


@when("an entry refuses {count:d} callers")
def step_many_refused(context, count):
    for i in range(count):
        context.entries[0].refuse(7.5, i, context.now)
    report(context)


@then("it remembers at most {most:d} of them and reports at most {sent:d}")
def step_bounded(context, most, sent):
    assert len(context.entries[0].detector) <= most == const.RETURNS_MAX
    assert len(context.reported) <= sent
