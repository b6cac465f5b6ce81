"""Steps on the retry budget that all entries keep together."""

from behave import given
from behave import then
from behave import when

from features.harness import retry_budgets

# Until all requests of a test lie within past windows, seconds.
SETTLE_SECONDS = 12.0


@given(
    "{count:d} entries that retry whatever they may, with a burst of {burst:g}"
)
def step_entries(context, count, burst):
    context.retrying = retry_budgets.RetryingSite(
        entries=count, burst=burst, controls=6 if count > 24 else 3
    )


@when(
    "all entries and control VMs restart at once, {times:d} times within "
    "{seconds:g} s"
)
def step_restart_with_controls(context, times, seconds):
    restart_all(context.retrying, times, seconds, controls=True)


def restart_all(retrying, times, seconds, *, controls):
    """Restart all entries several times within some seconds."""
    for _ in range(times):
        retrying.restart_all(controls=controls)
        retrying.run(seconds / times)
    retrying.run(SETTLE_SECONDS)


@then("no window has more retries than the limit of all entries together")
def step_within_limit(context):
    limit = context.retrying.limit
    assert limit.retry_times[-1] > limit.start_at, "no retry was made"
    assert limit.excess() <= 0, f"{limit.excess():.0f} more than allowed"
