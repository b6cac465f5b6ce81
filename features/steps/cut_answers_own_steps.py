"""Steps for cut_answers_own.feature."""

import collections

from behave import then
from behave import when

from features.harness import cut_answers_own

SHOWN = 12


@when("peers cut their answers to the {reader} off at every place")
def step_cut_off(context, reader):
    cuts = [cut for cut in cut_answers_own.list_cuts() if not cut.is_whole]
    context.outcomes = cut_answers_own.read_all(reader, cuts)


@when("peers answer the {reader} whole")
def step_answer_whole(context, reader):
    cuts = [cut for cut in cut_answers_own.list_cuts() if cut.is_whole]
    assert len(cuts) == 2 * len(cut_answers_own.FRAMINGS) + 2
    context.outcomes = cut_answers_own.read_all(reader, cuts)


@then("no incomplete answer is taken for a complete one")
@then("every answer is complete and unaltered")
def step_no_fault(context):
    faults = [
        (cut, fault)
        for cut, outcome in context.outcomes
        if (fault := cut_answers_own.find_fault(cut, outcome))
    ]
    counts = collections.Counter(fault for _, fault in faults)
    shown = "\n".join(f"{fault}: {cut}" for cut, fault in faults[:SHOWN])
    count = len(context.outcomes)
    assert not faults, f"{len(faults)} of {count}: {counts}\n{shown}"
