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
        target_id: Identity of the incarnation, new at each start.
        service: Service that it serves.
        address: ``ip:port`` for requests.
        place: Data centre.
        slots: Requests that it runs at once.
        presence: Whether it takes new requests.
        sequence: Number of the announcement, to tell late ones.
        cold_s: Seconds for which it stays slow after its start.
    """

    target_id: str
    service: str
    address: str
    place: str
    slots: int
    presence: Presence
    sequence: int
    cold_s: float = 0.0


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
    """

    node: Node
    version: int
    digest: int
    nodes_digest: int


@codec.message("directory.control_beat")
class ControlBeat(NamedTuple):
    """A control VM tells what it knows, in short.

    Attributes:
        place: Its data centre.
        version: Newest committed configuration version.
        certain: Whether no newer one can be committed anywhere.
        digest: Digest of its target records.
        controls: Names of all control VMs that it knows.
        nodes_digest: Digest of the entries that callers may use.
        leader: Name of the control VM that leads, or empty.
        term: Term of that lead.
    """

    place: str
    version: int
    certain: bool
    digest: int
    controls: tuple[str, ...]
    nodes_digest: int
    leader: str
    term: int


@codec.message("directory.nodes")
class Nodes(NamedTuple):
    """The entries that a control VM hears and that callers may use."""

    digest: int
    nodes: tuple[Node, ...]


@codec.message("directory.targets")
class Targets(NamedTuple):
    """All target records of a control VM, with seconds since heard."""

    digest: int
    targets: tuple[Target, ...]
    ages: tuple[float, ...]


@codec.message("directory.news")
class News(NamedTuple):
    """A record that has just changed; ``number`` asks for a NewsAck."""

    target: Target
    number: int = 0


@codec.message("directory.news_ack")
class NewsAck(NamedTuple):
    """A control VM holds the record of a numbered News."""

    number: int
