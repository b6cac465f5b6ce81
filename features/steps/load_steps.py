"""Steps on admission, waiting and refusal of requests under load."""

import math
import random

from behave import given
from behave import then
from behave import when

from features.harness import group_simulation
from features.steps import forward_steps
from jasperweir.components.balance import balancer
from jasperweir.components.balance import forecast
from jasperweir.components.balance import messages
from jasperweir.components.balance import passes
from jasperweir.components.balance import wait_queue
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model

FIXED_SECONDS = 0.027
SLOTS = 6


@given(
    "a group of {engines:d} engines whose callers allow pauses of {pause:g} s"
)
def step_group(context, engines, pause):
    bounds = passes.PassBounds(
        pause_s=pause, fixed_s=FIXED_SECONDS, slots=SLOTS
    )
    context.limit = passes.PassLimit(bounds=bounds)
    context.engines = engines
    context.now = 50.0


@when("{streams:d} streams run and passes take {seconds:g} s")
def step_run(context, streams, seconds):
    for _ in range(12):
        context.now += seconds
        context.limit.on_pause(seconds)
        context.limit.update(streams / context.engines, context.now)


@when("a stream pauses for {seconds:g} s")
def step_pause(context, seconds):
    context.limit.on_pause(seconds)
    context.limit.update(3.0, context.now)


@when("{seconds:g} second passes without a pause")
def step_silent(context, seconds):
    context.now += seconds


def allowed_streams(context):
    """Return the limit of streams of the group."""
    return context.limit.streams(context.now) * context.engines


@then("there is no limit")
def step_no_limit(context):
    assert math.isinf(allowed_streams(context)), allowed_streams(context)


@then("at most {most:d} streams may run")
def step_most(context, most):
    assert allowed_streams(context) <= most, allowed_streams(context)


@then("at least {least:d} streams may run")
def step_least(context, least):
    assert allowed_streams(context) >= least, allowed_streams(context)


@then("between {least:d} and {most:d} streams may run")
def step_between(context, least, most):
    assert least <= allowed_streams(context) <= most, allowed_streams(context)


@given("routes to a group that allow pauses of {one:g} s and of {two:g} s")
def step_routes(context, one, two):
    route = forward_steps.make_route("stream")
    backends = (model.Backend("s", 1.0),)
    engine = model.Engine(
        slots=SLOTS,
        kv_tokens=1,
        stride=4,
        step_ms=4.5,
        per_seq_ms=1.0,
        context_ms_per_k=0.0,
        read_tokens_per_s=60000.0,
        chunk=512,
        usual_prompt=800,
        usual_answer=100,
        sets=2,
    )
    routes = tuple(
        route._replace(name=str(gap), prefix=f"/{gap}/", gap_s=gap)
        for gap in (one, two)
    )
    deployment = model.Deployment(
        version=1,
        routes=tuple(r._replace(backends=backends) for r in routes),
        services=(model.Service("s", 10, engine),),
        limits=model.Limits(16384, 65536, 3.0, 15.0),
        customers=(),
    )
    context.bounds = index.DeploymentIndex(
        deployment=deployment
    ).get_pass_bounds()


@then("its passes must stay below {pause:g} s")
def step_below(context, pause):
    assert context.bounds["s"].pause_s == pause, context.bounds
    assert abs(context.bounds["s"].fixed_s - FIXED_SECONDS) < 1e-9, (
        context.bounds
    )


@given("a simulated group of 12 engines")
def step_simulated(context):
    context.seeds = range(4)


@when(
    "{rate:d} requests a second arrive for {seconds:d} seconds and demand "
    "jumps each {gap:g} s"
)
def step_demand_jumps(context, rate, seconds, gap):
    context.shares = {
        limited: sum(
            group_simulation.simulate_load(
                rate, seconds, gap, limited=limited, seed=seed
            )
            for seed in context.seeds
        )
        / len(context.seeds)
        for limited in (True, False)
    }


@then("with the limit the share in time is at least {more:d} points higher")
def step_in_time(context, more):
    shares = context.shares
    assert (shares[True] - shares[False]) * 100 >= more, shares


@given(
    "requests that arrived {one:g}, {two:g} and {three:g} s ago with a target "
    "time of {target:g} s"
)
def step_arrived(context, one, two, three, target):
    context.ages = (one, two, three)
    context.wait_queue = wait_queue.WaitQueue()
    for number, age in enumerate(context.ages):
        arrived = 10.0 - age
        waiting = wait_queue.QueuedRequest(
            1, arrived, number, 99.0, arrived, arrived + target
        )
        context.wait_queue.enqueue(waiting)


@when("one slot after the other becomes free")
def step_one_after(context):
    context.order = []
    while len(context.wait_queue):
        (number,) = context.wait_queue.admit(1, 10.0)
        context.order.append(context.ages[number])


@then("they are sent in the order {order}")
def step_order(context, order):
    expected = [float(part) for part in order.split(",")]
    assert context.order == expected, context.order


@given("requests that run for {whole:g} s")
def step_duration(context, whole):
    context.forecast = forecast.Forecast()
    for _ in range(5):
        context.forecast.on_end(whole, 0.2)


@when("{running:d} of them run and {ahead:d} others wait for a slot")
def step_ahead(context, running, ahead):
    context.wait = context.forecast.wait_s(ahead=ahead, running=running)


@then("the forecast wait for a slot is {wait:g} s")
def step_forecast(context, wait):
    assert abs(context.wait - wait) < 1e-9, context.wait


@given("a first attempt with a target time of {target:g} s and 8 s left")
def step_first_attempt(context, target):
    context.life = forward_steps.make_request_state("resumable", patience_s=8.0)
    route = context.life.match.route._replace(target_s=target)
    context.life.match = context.life.match._replace(route=route)


@when("the forecast wait for a slot is {wait:g} s")
def step_expects(context, wait):
    context.waits = context.life.expect_wait(wait)


@then("it waits for {seconds:g} s")
def step_waits(context, seconds):
    assert context.waits
    wait_s = context.life.wait_deadline - context.life.arrived_at
    assert abs(wait_s - seconds) < 1e-9, wait_s


@then("it is refused at once")
def step_refused(context):
    assert not context.waits


@given(
    "another entry has reported {timely:d} waiting requests in time and "
    "{late:d} late ones"
)
def step_reported(context, timely, late):
    context.balancer = balancer.Balancer(rng=random.Random(1))
    context.now = 10.0
    share = messages.Share(
        sequence=1, loads=(), queues=(messages.Queue("s", timely, late),)
    )
    context.balancer.on_share("e2", share, context.now)


@when("{seconds:g} seconds pass without a report of it")
def step_no_report(context, seconds):
    context.now += seconds


@then("{timely:d} requests in time and {late:d} late ones wait elsewhere")
def step_elsewhere(context, timely, late):
    found = context.balancer.queue_elsewhere("s", context.now)
    assert found == messages.Queue("s", timely, late), found
