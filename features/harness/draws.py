"""Random but reproducible schedules of events."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st


def schedules(count, length, events, run) -> None:
    """Run random schedules, which are the same in each run.

    Args:
        count: Number of schedules.
        length: Number of events of a schedule.
        events: Names of events, drawn with equal probability.
        run: Called with a seed and a list of events; raises if an invariant
            is violated.
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
