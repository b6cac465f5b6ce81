"""Steps on answers that are cut off."""

import collections

from behave import then
from behave import when

from features.harness import cut_answers

SHOWN = 12


@when("targets cut off answers in every way that the table lists")
def step_cut(context):
    context.faults = []
    context.count = 0
    for route, cut in cut_answers.list_cases():
        context.count += 1
        outcome = cut_answers.play(route, cut)
        fault = cut_answers.find_fault(route, cut, outcome)
        if fault is not None:
            context.faults.append((route, cut, fault))


@then("no caller is told that a broken answer is complete")
def step_none_told(context):
    by_case = collections.Counter(
        (route, cut.framing, cut.end, fault.partition(" ")[2])
        for route, cut, fault in context.faults
    )
    shown = [f"{n}: {case}" for case, n in by_case.most_common(SHOWN)]
    shown += [str(found) for found in context.faults[:SHOWN]]
    assert not context.faults, "\n".join(
        [f"{len(context.faults)} of {context.count}", *shown]
    )


@when("targets answer whole in every framing")
def step_whole(context):
    context.outcomes = [
        (route, cut, cut_answers.play(route, cut))
        for route in cut_answers.ROUTES
        for is_huge in (False, True)
        for cut in [
            cut_answers.Cut(framing, is_huge=is_huge, tries=0)
            for framing in ("length", "chunks", "close", "http/1.0")
        ]
    ]


@then("every caller gets the whole answer")
def step_all_whole(context):
    for route, cut, outcome in context.outcomes:
        assert outcome.is_whole, (route, cut)
        assert outcome.status == 200, (route, cut, outcome.status)
        assert outcome.body == cut_answers.full_body(cut), (route, cut)
        assert outcome.attempts == 1, (route, cut, outcome.attempts)
