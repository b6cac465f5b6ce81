"""Steps on drawn schedules; script/configuration_cases.py runs more."""

from behave import then
from behave import when

from features.harness import configuration_schedules


@when("{count:d} schedules are drawn from seed {first:d} on")
def step_schedules(context, count, first):
    found = configuration_schedules.run_schedules(first, count)
    context.findings = list(found)


@then("no schedule has broken the rule")
def step_none_broken(context):
    assert not context.findings, context.findings[:5]
