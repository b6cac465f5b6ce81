"""Steps for the list of known failures and for files left by tests."""

import pathlib
import sys

from behave import given
from behave import then
from behave import when

from standins import cut_answers

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "script"))

import known_red  # noqa: E402


@given("a list of known failures")
def step_list(context):
    context.red_text = context.text


@given("a list of {scenarios:d} scenarios and {scripts:d} scripts")
def step_counts(context, scenarios, scripts):
    lines = [f"scenario s{n}; seed 1; x" for n in range(scenarios)]
    lines += [f"script review/{n}/run.sh; x" for n in range(scripts)]
    context.red_text = "\n".join(lines)


@given(
    "a list of {scenarios:d} scenarios, {count:d} crowds and {scripts:d}"
    " scripts"
)
def step_crowds(context, scenarios, count, scripts):
    step_counts(context, scenarios, scripts)
    lines = [f"crowd c{n}; no seed; x" for n in range(count)]
    context.red_text = "\n".join([context.red_text, *lines])


@then("{count:d} scenarios may fail")
def step_may_fail(context, count):
    found = known_red.parse(context.red_text)
    assert len(found.scenarios) == count, found


@given("a list with the lines {lines}")
def step_lines(context, lines):
    context.red_text = "\n".join(lines.split(" / "))


@then('the scenarios that may fail are "{names}"')
def step_scenarios(context, names):
    found = known_red.parse(context.red_text)
    assert found.scenarios == tuple(names.split(", ")), found


@then('the scripts that are not run are "{names}"')
def step_scripts(context, names):
    found = known_red.parse(context.red_text)
    assert found.scripts == tuple(names.split(", ")), found


@then("the list is accepted")
def step_accepted(context):
    known_red.parse(context.red_text)


@then("the list is refused")
def step_refused(context):
    try:
        found = known_red.parse(context.red_text)
    except ValueError:
        return
    raise AssertionError(found)


@when("a target without an attempts folder counts an attempt")
def step_count_attempt(context):
    context.files_before = set(pathlib.Path.cwd().iterdir())
    try:
        cut_answers.count_attempt("", "c1")
    except ValueError as exc:
        context.refusal = exc


@then("it is refused and the work tree has no new file")
def step_no_files(context):
    assert context.refusal
    assert set(pathlib.Path.cwd().iterdir()) == context.files_before
