"""Steps on answers that real targets cut off."""

import collections

from behave import given
from behave import then
from behave import when

from features.harness import cut_answers_table as table
from features.harness import platform as platform_lib
from features.steps import platform_steps
from standins import cut_answers

SHOWN = 12
# Most that the last event of a stream may take longer than with chunks.
MAX_RATIO = 2.0


@given("three VMs with control and entry, and targets that cut off answers")
def step_start(context):
    plat = platform_lib.Platform(
        context.folder,
        retry_ratio=table.RETRY_RATIO,
        retry_burst=table.RETRY_BURST,
    )
    context.local = context.plat = plat
    attempts = context.folder / "attempts"
    attempts.mkdir()
    plat.start_all()
    for number in table.TARGETS:
        extra = (
            "--slots", str(table.SLOTS), "--attempts-folder", str(attempts),
        )  # fmt: skip
        plat.start_target(number, "m", extra=extra)
    plat.wait(
        "the configuration",
        lambda: plat.replace(1, table.document()) == 200,
    )
    platform_steps.settle(plat)


@when("targets cut off answers in every framing, at every place and end")
def step_cut(context):
    context.played = table.play(context.plat, table.list_cases())


@then("every caller's answer is whole, visibly cut off or not to be told apart")
def step_no_fault(context):
    faults = [
        (case, fault, answer)
        for case, answer, runs in context.played
        if (fault := table.find_fault(case, answer, runs))
    ]
    kinds = collections.Counter(
        (case.route, tuple((c.framing, c.end) for c in case.script.cuts), fault)
        for case, fault, _ in faults
    )
    shown = [f"{count}: {kind}" for kind, count in kinds.most_common(SHOWN)]
    shown += [
        f"{fault}: {case}, {answer.status}, {answer.headers}, "
        f"complete {answer.is_complete}, {answer.body[-80:]!r}"
        for case, fault, answer in faults[:SHOWN]
    ]
    count = len(context.played)
    assert not faults, "\n".join([f"{len(faults)} of {count}", *shown])


@when("targets answer whole in every framing on every route")
def step_whole(context):
    cases = [
        table.Case(route, cut_answers.Script(framing, huge))
        for route in table.ROUTES
        for framing in cut_answers.FRAMINGS
        for huge in (0, table.CUT_EVENT)
    ]
    context.played = table.play(context.plat, cases)


@then("every caller's answer is whole")
def step_all_whole(context):
    for case, answer, runs in context.played:
        fault = table.find_fault(case, answer, runs)
        assert fault is None, (case, fault, answer)
        assert runs == 1, (case, runs)


@then("no framing delays the last event of a stream")
def step_not_slower(context):
    times = table.compare_framings()
    for framing, took_s in times.items():
        ratio = took_s / times["chunks"]
        assert ratio <= MAX_RATIO, (framing, ratio, times)
