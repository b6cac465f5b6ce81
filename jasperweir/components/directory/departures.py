"""Order of the records of a target that is leaving or gone; sans-I/O."""

from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records


def merge(old: records.Target, new: records.Target) -> records.Target:
    """Return the later of two records of one target.

    Of one start it is the one that is closer to gone.
    """
    match incarnation.compare_starts(new.born, old.born):
        case incarnation.StartOrder.EARLIER:
            return old
        case incarnation.StartOrder.LATER:
            return new
        case incarnation.StartOrder.SAME:
            kept = new if new.address or not old.address else old
            return kept._replace(
                presence=max(old.presence, new.presence),
                born=old.born or new.born,
            )


def covers(held: records.Target, target: records.Target) -> bool:
    """Return whether a record says all that another one of the target does."""
    order = incarnation.compare_starts(target.born, held.born)
    if order is incarnation.StartOrder.SAME:
        return held.presence >= target.presence
    return order is incarnation.StartOrder.EARLIER
