"""Records of targets and nodes, and the messages that carry them."""

import enum
from typing import NamedTuple

from jasperweir.helpers import codec


class Presence(enum.IntEnum):
    """How far a target is from leaving; it never goes back."""

    READY = 0
    LEAVING = 1
    GONE = 2


class Target(NamedTuple):
    """One incarnation of a target.

    Attributes:
        target_id: Its id; a start may use the one of the start before.
        service: Service that it serves.
        address: ``ip:port`` for requests.
        place: Data centre.
        slots: Requests that it runs at once.
        presence: Whether it takes new requests.
        sequence: Number of the announcement, to tell late ones.
        cold_s: Seconds for which it stays slow after its start.
        born: When it started by its own clock, Unix milliseconds, 0 if it does
            not say. With the id this is its incarnation.
    """

    target_id: str
    service: str
    address: str
    place: str
    slots: int
    presence: Presence
    sequence: int
    cold_s: float = 0.0
    born: int = 0


class Node(NamedTuple):
    """One process of ours that callers connect to, or an agent.

    Attributes:
        name: Internal address ``ip:port``, which is also its identity.
        kind: ``entry`` or ``agent``.
        place: Data centre.
        caller_address: ``ip:port`` for callers, empty for an agent.
        open: Whether callers may be sent there.
        incarnation: Drawn anew at each start of the process.
        sequence: Number of the record; the higher one of an incarnation is
            newer.
    """

    name: str
    kind: str
    place: str
    caller_address: str
    open: bool
    incarnation: int
    sequence: int


@codec.message("directory.beat")
class NodeBeat(NamedTuple):
    """An entry or agent tells a control VM that it is there.

    Attributes:
        node: Its record.
        version: Configuration version that it acts on.
        digest: Digest of the target records that this control VM sent last.
        nodes_digest: Digest of the node list that it sent last.
        controls_digest: Digest of the control VMs that it named last.
    """

    node: Node
    version: int
    digest: int
    nodes_digest: int
    controls_digest: int


@codec.message("directory.control_beat")
class ControlBeat(NamedTuple):
    """A control VM tells what it knows, in short.

    Attributes:
        place: Its data centre.
        version: Newest committed configuration version.
        certain: Whether no newer one can be committed anywhere.
        keeps_log: Whether it keeps the log on a disk. Nodes talk to those that
            do; the others pass questions on.
        digest: Digest of its target records.
        controls: Names of the control VMs that nodes talk to; empty to a node
            that states that it knows them.
        controls_digest: Digest of these names.
        nodes_digest: Digest of the entries that callers may use.
        leader: Name of the control VM that leads, or empty.
        term: Term of that lead.
    """

    place: str
    version: int
    certain: bool
    keeps_log: bool
    digest: int
    controls: tuple[str, ...]
    controls_digest: int
    nodes_digest: int
    leader: str
    term: int


@codec.message("directory.nodes")
class Nodes(NamedTuple):
    """The entries that a control VM hears and that callers may use."""

    digest: int
    nodes: tuple[Node, ...]


@codec.message("directory.node_news")
class NodeNews(NamedTuple):
    """Entries that callers may use now, or no more.

    Attributes:
        before: Digest of the list that this changes.
        after: Digest of the list after it.
        nodes: What has changed; one that is not open has left the list.
    """

    before: int
    after: int
    nodes: tuple[Node, ...]


@codec.message("directory.targets")
class Targets(NamedTuple):
    """Target records of a control VM, with seconds since heard.

    Attributes:
        digest: Digest of all its records, 0 if these are not all.
        targets: The records.
        ages: Seconds since each of them was heard.
    """

    digest: int
    targets: tuple[Target, ...]
    ages: tuple[float, ...]


@codec.message("directory.news")
class News(NamedTuple):
    """A record that has just changed.

    Attributes:
        target: The record.
        number: Asks for a NewsAck if it is not 0.
        before: Digest of the sender's records before the change, 0 if a
            receiver is not to conclude anything from it.
        after: Digest of the sender's records after the change.
    """

    target: Target
    number: int = 0
    before: int = 0
    after: int = 0


@codec.message("directory.news_ack")
class NewsAck(NamedTuple):
    """A control VM holds the record of a numbered News."""

    number: int
