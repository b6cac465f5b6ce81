"""Order of two starts of a target; sans-I/O.

A target may restart under the same id, so its id and the time of its start
together identify its incarnation. Start times come from the clock of the
target's VM and are only compared with each other.
"""

import enum


class StartOrder(enum.Enum):
    """Order of a reported start relative to the known start."""

    EARLIER = "earlier"
    SAME = "same"
    LATER = "later"


def compare_starts(reported: int, known: int) -> StartOrder:
    """Compare two starts of one target.

    Args:
        reported: Start time in a record, Unix milliseconds; 0 if not stated.
        known: Start time that is known, Unix milliseconds; 0 if not stated.

    Returns:
        The order; SAME if either time is not stated, because only targets that
        state their start may reuse an id.
    """
    if not reported or not known or reported == known:
        return StartOrder.SAME
    return StartOrder.LATER if reported > known else StartOrder.EARLIER
