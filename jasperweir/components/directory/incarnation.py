"""Which of two starts of a target a record is about; sans-I/O.

A target may start again under the id that it had. Its id and the time of its
start together are its incarnation. The times are read from the target's own
clock and compared with each other only: clocks of VMs differ and jump.
"""

import enum


class Start(enum.Enum):
    """How the start that a record tells of relates to the one that is known."""

    EARLIER = "earlier"
    SAME = "same"
    LATER = "later"


def compare(told: int, known: int) -> Start:
    """Compare two starts of one target.

    Args:
        told: When the start that a record tells of was, Unix milliseconds, 0
            if it does not say.
        known: The same of the start that is known.

    Returns:
        How they relate; the same if either does not say, since only a target
        that states its starts may use its id again.
    """
    if not told or not known or told == known:
        return Start.SAME
    return Start.LATER if told > known else Start.EARLIER
