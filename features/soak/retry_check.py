"""Checks that all entries together keep the retry budget of their service."""

from features.harness import retry_budgets

# Bounds in the settings of the processes.
RATIO = 0.2
BURST = 96.0
WINDOW_SECONDS = 10.0


def find_violations(records):
    """Return a violation if targets received too many retries in a window.

    Args:
        records: What each target of the service recorded.
    """
    limit = retry_budgets.Limit(
        ratio=RATIO, burst=BURST, window_s=WINDOW_SECONDS
    )
    received = set()
    for at, rid in sorted(
        (at, rid) for told in records for at, rid in told["arrivals"]
    ):
        times = limit.retry_times if rid in received else limit.first_times
        times.append(at)
        received.add(rid)
    excess = limit.excess()
    return [f"{excess:.0f} retries above the budget"] if excess > 0 else []
