"""Selection of streams to move away from slow targets.

The ranks of a group make each pass together, so the streams of one slow rank
delay those of all other ranks.
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
    """Return the open requests that should continue at another target."""
    moving = []
    for exchange in exchanges:
        target = directory.get(exchange.target_id)
        if target is None or not exchange.can_move:
            continue
        if balancer.get_slowdown(target, now) >= const.MOVE_SLOWDOWN:
            moving.append(exchange)
    return moving
