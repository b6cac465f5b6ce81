"""Steps on the soak; script/soak.py runs more seeds by hand."""

from behave import then
from behave import when

from features.soak import world as world_lib


@when("the soak runs seed {seed:d} for {seconds:g} seconds")
def step_soak(context, seed, seconds):
    context.world = world_lib.World(seed=seed, folder=context.folder)
    context.broken = context.world.run(seconds)


@when(
    "the soak in which targets ask runs seed {seed:d} for {seconds:g} seconds"
)
def step_soak_asks(context, seed, seconds):
    context.world = world_lib.World(seed=seed, folder=context.folder, asks=True)
    context.broken = context.world.run(seconds)


@then("no promise was broken")
def step_none_broken(context):
    assert not context.broken, [*context.broken[:5], *context.world.faults.log]


@then("requests of each kind were served")
def step_each_kind(context):
    served = context.world.ledger.served()
    assert all(served[kind] for kind in ("safe", "book", "stream")), served
