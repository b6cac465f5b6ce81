"""Steps for the soak; script/soak.py runs other seeds."""

from behave import then
from behave import when

from features.soak import configuration_day
from features.soak import configuration_plan
from features.soak import configuration_world
from features.soak import parts_world
from features.soak import world as world_lib


@when("the soak runs seed {seed:d} for {seconds:g} seconds")
def step_soak(context, seed, seconds):
    context.world = world_lib.World(seed=seed, folder=context.folder)
    context.violations = context.world.run(seconds)


@when("the soak with target signals runs seed {seed:d} for {seconds:g} seconds")
def step_soak_signals(context, seed, seconds):
    context.world = world_lib.World(seed=seed, folder=context.folder, asks=True)
    context.violations = context.world.run(seconds)


@when("the soak with such targets runs seed {seed:d} for {seconds:g} seconds")
def step_soak_parts(context, seed, seconds):
    context.world = parts_world.PartsWorld(seed=seed, folder=context.folder)
    context.violations = context.world.run(seconds)


@when(
    "the soak with changing configurations runs seed {seed:d} for {seconds:g}"
    " seconds"
)
def step_soak_configurations(context, seed, seconds):
    context.world = configuration_world.ConfigurationWorld(
        seed=seed, folder=context.folder
    )
    context.violations = context.world.run(seconds)


@when(
    "the soak with changing configurations and cut links runs seed {seed:d} for"
    " {seconds:g} seconds"
)
def step_soak_links(context, seed, seconds):
    context.world = configuration_world.ConfigurationWorld(
        seed=seed, folder=context.folder, links=True
    )
    context.violations = context.world.run(seconds)


@when(
    "the soak with changing configurations of all kinds runs seed {seed:d} for"
    " {seconds:g} seconds"
)
def step_soak_all_kinds(context, seed, seconds):
    context.world = configuration_world.ConfigurationWorld(
        seed=seed, folder=context.folder, links=True, all_kinds=True
    )
    context.violations = context.world.run(seconds)


@when("the soak of a day runs seed {seed:d} for {seconds:g} seconds")
def step_soak_day(context, seed, seconds):
    context.world = configuration_day.DayWorld(seed=seed, folder=context.folder)
    context.violations = context.world.run(seconds)


@when(
    'the soak of a day with "{fault}" planted in one entry runs seed {seed:d}'
    " for {seconds:g} seconds"
)
def step_soak_planted(context, fault, seed, seconds):
    context.world = configuration_day.DayWorld(
        seed=seed, folder=context.folder, plant=fault
    )
    context.violations = context.world.run(seconds)


@when("the soak of a planned day runs seed {seed:d} for {seconds:g} seconds")
def step_soak_plan(context, seed, seconds):
    context.world = configuration_plan.PlanWorld(
        seed=seed, folder=context.folder
    )
    context.violations = context.world.run(seconds)


@when(
    'the soak of a planned day with "{fault}" planted in one entry runs seed'
    " {seed:d} for {seconds:g} seconds"
)
def step_soak_plan_planted(context, fault, seed, seconds):
    context.world = configuration_plan.PlanWorld(
        seed=seed, folder=context.folder, plant=fault
    )
    context.violations = context.world.run(seconds)


@then("the logs of several control VMs name its requests")
def step_named(context):
    world = context.world
    reports = [r for r in world.reports if r.vm == world.planted_vm]
    assert reports
    for report in reports:
        # One may have stopped or restarted at that moment.
        assert len(report.logged_by) >= len(world.control_vms) - 2, report


@then("the fault is found at that entry and nowhere else")
def step_found(context):
    number = context.world.planted_vm
    found = {line.split()[0].rstrip(":") for line in context.violations}
    assert found == {f"vm-{number}"}, (number, context.violations[:5])


@then("no invariant was violated")
def step_no_violation(context):
    assert not context.violations, [
        *context.violations[:5],
        *context.world.faults.log,
    ]


@then("requests of each kind were served")
def step_each_kind(context):
    served = context.world.ledger.served()
    assert all(served[kind] for kind in ("safe", "book", "stream")), served
