"""Which streams should leave a target that has become slow.

The ranks of a group make each pass together, so what one slow rank still runs
holds up the streams of all others until it has ended.
"""

from collections.abc import Iterable

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.forward import exchange as exchange_lib


def find_streams_to_move(
    exchanges: Iterable[exchange_lib.Exchange],
    balancer: balancer_lib.Balancer,
    directory: directory_lib.Directory,
    now: float,
) -> list[exchange_lib.Exchange]:
    """Return the open requests that are to go on at another target."""
    out = []
    for exchange in exchanges:
        target = directory.get(exchange.target_id)
        if target is None or not exchange.can_move:
            continue
        if balancer.pace_of(target, now) >= const.MOVE_PACE:
            out.append(exchange)
    return out
