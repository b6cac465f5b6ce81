"""Limit of slots for late requests; sans-I/O.

After an outage the callers that it affected retry at once, and all of them are
late. If they took every slot of a group that has just restarted, its passes
would exceed the allowed pause and new requests would be late as well.
"""

import math

from jasperweir.components.balance import const
from jasperweir.components.balance import passes as passes_lib


def max_open_requests(
    *,
    slots: int,
    targets: int,
    limit: passes_lib.PassLimit | None,
    now: float,
) -> int:
    """Return the number of open requests below which a late one is admitted.

    Args:
        slots: Total slots of the targets.
        targets: Number of targets.
        limit: Stream limit of their group, None if it has none.
        now: Monotonic seconds.
    """
    capacity = float(slots)
    if limit is not None:
        if limit.is_stale(now):
            capacity *= const.LATE_STALE_SHARE
        capacity = min(capacity, limit.streams(now) * targets)
    return math.floor(const.LATE_SHARE * capacity)
