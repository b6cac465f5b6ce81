"""Replies of a leader to the processes that wait for an operation."""

from jasperweir.components.configctl import force_barrier
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import node_tracker
from jasperweir.components.configctl import pending_orders
from jasperweir.components.configctl import version_history
from jasperweir.components.registry import ops
from jasperweir.helpers import hashing

# Most entries that a reply names.
MAX_NAMED = 16


def make_evacuate_reply(
    number: int, answer: ops.Answer
) -> messages.EvacuateReply:
    """Return the reply to an evacuation order that is committed."""
    return messages.EvacuateReply(
        number=number, code=answer.code, orders=answer.version
    )


def make_replace_reply(
    order: pending_orders.PendingOrder,
    *,
    held: ops.Declared,
    history: version_history.VersionHistory,
    reports: dict[str, node_tracker.NodeReport],
    in_force: force_barrier.InForce,
    now: float,
) -> messages.ReplaceReply:
    """Return the reply that a configuration or a higher one is in force.

    Args:
        order: The order.
        held: Newest committed configuration.
        history: Contents that came into force.
        reports: Last reports of the entries by name.
        in_force: How the version, or a higher one, came into force.
        now: Monotonic seconds.
    """
    lacked = [
        messages.EntryVersion(name, report.version)
        for name, report in sorted(reports.items())
        if report.version < order.version
    ]
    return messages.ReplaceReply(
        number=order.number,
        version=held.version,
        content=hashing.checksum(held.data),
        ordered=history.find(order.version),
        is_remembered=history.is_remembered(order.version),
        had=len(reports) - len(lacked),
        lacked=tuple(lacked[:MAX_NAMED]),
        expired=in_force.expired[:MAX_NAMED],
        unheard=in_force.unheard[:MAX_NAMED],
        waited_s=now - order.since,
    )
