"""Places for requests that are late already; sans-I/O.

After an outage everybody whom it hit comes back at once. All of them are late,
whatever is done. If they take every place of a group that has just begun
anew, its passes exceed the pause that callers allow, and for seconds those who
come are late as well.
"""

import math

from jasperweir.components.balance import const
from jasperweir.components.balance import passes as passes_lib


def most_open(
    *,
    slots: int,
    targets: int,
    limit: passes_lib.PassLimit | None,
    now: float,
) -> int:
    """Return up to how many open requests one that is late gets a place.

    Args:
        slots: Slots of the targets together.
        targets: Number of the targets.
        limit: Limit of streams of their group, if there is one.
        now: Monotonic seconds.
    """
    most = float(slots)
    if limit is not None:
        if limit.is_cold(now):
            most *= const.COLD_SHARE
        most = min(most, limit.streams(now) * targets)
    return math.floor(const.LATE_SHARE * most)
