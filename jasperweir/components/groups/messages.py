"""List of groups, sent by the leader of the control VMs to the entries."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Group(NamedTuple):
    """One group of ranks.

    Attributes:
        service: Service of its targets.
        name: Name of the group within the service.
        epoch: Number of times that the group has formed.
        is_open: Whether the group runs passes.
        is_switching: Whether a switch of its expert map is in progress.
        addresses: Addresses of its ranks, ``ip:port``.
    """

    service: str
    name: str
    epoch: int
    is_open: bool = True
    is_switching: bool = False
    addresses: tuple[str, ...] = ()


@codec.message("groups.list")
class GroupList(NamedTuple):
    """All groups that the leader knows; the newest (term, sequence) counts.

    Attributes:
        term: Term of the leader.
        sequence: Number of the list within the term.
        groups: The groups.
    """

    term: int
    sequence: int
    groups: tuple[Group, ...] = ()
