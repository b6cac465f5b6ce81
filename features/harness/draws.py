"""Random schedules with fixed seeds."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st


def schedules(count, length, events, run) -> None:
    """Run a number of drawn schedules; the same ones every time.

    Args:
        count: Number of schedules.
        length: Events in each.
        events: Names of events, drawn alike.
        run: Called with a seed and a list of events; raises on a breach.
    """

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @given(
        st.integers(0, 10**6),
        st.lists(st.sampled_from(events), min_size=length, max_size=length),
    )
    def check(seed, drawn):
        run(seed, drawn)

    check()
