"""Steps on the retry budget that all entries keep together."""

from behave import given
from behave import then
from behave import when

from features.harness import retry_budgets
from features.harness import site as site_lib
from jasperweir.components.limits import retry

# Until all requests of a test lie within past windows, seconds.
SETTLE_SECONDS = 12.0
# Few enough that the burst is most of the limit.
FEW_REQUESTS_PER_S = 0.2


@given(
    "{count:d} entries that retry whatever they may, with a burst of {burst:g}"
)
def step_entries(context, count, burst):
    context.retrying = retry_budgets.RetryingSite(
        entries=count, burst=burst, controls=6 if count > 24 else 3
    )


@when("all {what} restart at once, {times:d} times within {seconds:g} s")
def step_restart(context, what, times, seconds):
    for _ in range(times):
        context.retrying.restart_all(
            controls="control" in what, entries="entries" in what
        )
        context.retrying.run(seconds / times)
    context.retrying.run(SETTLE_SECONDS)


@when("the system is cut into {parts:d} parts, and all entries restart in them")
def step_cut(context, parts):
    retrying = context.retrying
    retrying.cut_into(parts)
    retrying.run(5.0)
    retrying.restart_all(controls=False)
    retrying.run(25.0)


@when(
    "the system is cut into {parts:d} parts, and all entries restart and save "
    "up for {seconds:g} s"
)
def step_cut_and_save_up(context, parts, seconds):
    retrying = context.retrying
    retrying.requests_per_s = FEW_REQUESTS_PER_S
    retrying.cut_into(parts)
    retrying.restart_all(controls=False)
    retrying.retries_per_step = 0
    retrying.run(seconds)
    retrying.retries_per_step = retry_budgets.RETRIES_WITHOUT_LIMIT
    retrying.run(2.0)


@when("they make no retry for {seconds:g} s, then all they may, and restart")
def step_save_up(context, seconds):
    retrying = context.retrying
    retrying.retries_per_step = 0
    retrying.run(seconds)
    retrying.retries_per_step = retry_budgets.RETRIES_WITHOUT_LIMIT
    retrying.run(site_lib.STEP)
    retrying.restart_all(controls=False)
    retrying.run(SETTLE_SECONDS)


@when("each of them drains for {seconds:g} s and restarts, one every {gap:g} s")
def step_drain(context, seconds, gap):
    retrying = context.retrying
    for name in retrying.entry_names:
        retrying.drain_entry(name, seconds)
        retrying.run(gap)
    retrying.run(SETTLE_SECONDS)


@when("the entries run for {seconds:g} s")
def step_pass(context, seconds):
    context.retrying.run(seconds)


@then("no window has more retries than the limit of all entries together")
def step_within_limit(context):
    limit = context.retrying.limit
    assert limit.retry_times, "no retry was made"
    assert limit.excess() <= 0, f"{limit.excess():.0f} more than allowed"


@given("{count:d} drawn schedules of faults, from seed {first:d}")
def step_schedules(context, count, first):
    context.excesses = {
        seed: retry_budgets.run_schedule(seed)
        for seed in range(first, first + count)
    }


@then(
    "none has more retries in a window than the limit of all entries together"
)
def step_none_above(context):
    above = {seed: more for seed, more in context.excesses.items() if more > 0}
    assert not above, above


@then("at least {share:g} of the limit is used in the last window")
def step_used(context, share):
    limit = context.retrying.limit
    end = context.retrying.now
    made = retry_budgets.count(limit.retry_times, end - limit.window_s, end)
    assert made >= share * limit.allowed(end), made


@given(
    "one of {count:d} entries with a request every {gap:g} s and a burst of "
    "{burst:g}"
)
def step_few_requests(context, count, gap, burst):
    context.retrying = retry_budgets.QuietEntry(
        entries=count, burst=burst, gap_s=gap
    )


@given(
    "an entry whose budget has a window of {window_s:g} s and a burst of "
    "{burst:g}"
)
def step_odd_bounds(context, window_s, burst):
    context.retrying = retry_budgets.QuietEntry(
        entries=1, burst=burst, gap_s=3.0, window_s=window_s
    )


@given(
    "an entry that has just started, the whole system for the first time: "
    "{first}"
)
def step_first_start(context, first):
    context.retrying = retry_budgets.QuietEntry(
        entries=3, burst=96.0, gap_s=3.0, is_first_start=first == "yes"
    )


@when("its list of entries is short for {seconds:g} s, with {count:d} of them")
def step_short_list(context, seconds, count):
    context.retrying.entries = count
    context.retrying.run(seconds)


@then("it may make {retries:d} retries at once")
def step_may_make(context, retries):
    assert context.retrying.take_all() == retries


@given("an entry of the own interface that retries whatever it may")
def step_own_interface(context):
    context.made = 0


@when("it restarts {times:d} times within {seconds:g} s without requests")
def step_own_restarts(context, times, seconds):
    for _ in range(times + 1):
        own_budget = retry.RetryBudget()
        for step in range(101):
            own_budget.tick(step / 100 * seconds / (times + 1))
            while own_budget.try_spend():
                context.made += 1


@then("it has made at most {most:d} retries")
def step_own_made(context, most):
    assert context.made <= most, context.made
