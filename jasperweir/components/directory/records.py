"""Records of targets and nodes, and the messages that carry them."""

import enum
from typing import NamedTuple

from jasperweir.components.confirmation import lease_book
from jasperweir.helpers import codec

# Remaining cold time of a target that states none.
COLD_UNSTATED = -1.0


class Presence(enum.IntEnum):
    """Lifecycle state of a target; it only increases."""

    READY = 0
    LEAVING = 1
    GONE = 2


class Target(NamedTuple):
    """One incarnation of a target.

    Attributes:
        target_id: Id of the target; a restarted target may reuse it.
        service: Service that it serves.
        address: ``ip:port`` for requests.
        place: Data centre.
        slots: Number of requests that it runs at once.
        presence: Whether it accepts new requests.
        sequence: Number of the announcement, to detect delayed ones.
        cold_s: Remaining time for which it is cold, seconds, at its heartbeat;
            0 if it is warm, COLD_UNSTATED if it states nothing readable.
        born: Start time by its own clock, Unix milliseconds; 0 if not stated.
            Together with the id this identifies its incarnation.
        build: Versions of its software and weights, empty if not stated.
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
    build: str = ""


class Node(NamedTuple):
    """An entry or an agent.

    Attributes:
        name: Internal address ``ip:port``, which is also its identity.
        kind: ``entry`` or ``agent``.
        place: Data centre.
        caller_address: ``ip:port`` for callers, empty for an agent.
        open: Whether callers may be sent to it.
        incarnation: Random number drawn at each start of the process.
        sequence: Number of the record; of one incarnation the record with the
            highest number is the newest.
    """

    name: str
    kind: str
    place: str
    caller_address: str
    open: bool
    incarnation: int
    sequence: int


@codec.message("directory.beat")
class NodeHeartbeat(NamedTuple):
    """Heartbeat of an entry or agent to a control VM.

    Attributes:
        node: Record of the sender.
        version: Configuration version in force at the sender.
        digest: Digest of the target records last received from this control VM.
        nodes_digest: Digest of the node list last received from it.
        controls_digest: Digest of the list of control VMs last received from
            it.
        round: Number of the round of heartbeats, echoed by the reply.
        lent: Entries to which the sender has lately passed a confirmation on.
    """

    node: Node
    version: int
    digest: int
    nodes_digest: int
    controls_digest: int
    round: int = 0
    lent: tuple[lease_book.Holder, ...] = ()


@codec.message("directory.control_beat")
class ControlHeartbeat(NamedTuple):
    """Heartbeat of a control VM with a summary of its state.

    Attributes:
        place: Data centre of the sender.
        version: Newest committed configuration version.
        keeps_log: Whether the sender stores the replicated log. Nodes send
            requests to such control VMs; the others forward them.
        digest: Digest of its target records.
        controls: Names of the control VMs that nodes connect to; empty if the
            receiver has reported that it knows them.
        controls_digest: Digest of these names.
        nodes_digest: Digest of the entries that callers may use.
        leader: Name of the leader, or empty.
        term: Term of that leader.
        evacuations_revision: Revision of the newest list of evacuated data
            centres that the sender knows, 0 if there never was one.
        evacuated: Evacuated data centres.
        confirmed_version: Newest committed version, as the leader confirmed.
        confirmed_evacuations: Newest revision of the list of evacuated data
            centres, as the leader confirmed.
        confirmed_age_s: Time since then, seconds; 0 from the leader itself,
            negative if there is no valid confirmation.
        echo: Round of the receiver's heartbeat that was last received, or 0.
        round: Number of the sender's round, to be echoed by a control VM.
        voters: Number of voters of the log; 0 without the log.
    """

    place: str
    version: int
    keeps_log: bool
    digest: int
    controls: tuple[str, ...]
    controls_digest: int
    nodes_digest: int
    leader: str
    term: int
    evacuations_revision: int = 0
    evacuated: tuple[str, ...] = ()
    confirmed_version: int = 0
    confirmed_evacuations: int = 0
    confirmed_age_s: float = -1.0
    echo: int = 0
    round: int = 0
    voters: int = 0


@codec.message("directory.nodes")
class NodeList(NamedTuple):
    """All live entries that callers may use."""

    digest: int
    nodes: tuple[Node, ...]


@codec.message("directory.node_news")
class NodeListUpdate(NamedTuple):
    """Change of the list of entries that callers may use.

    Attributes:
        before: Digest of the list before the change.
        after: Digest of the list after the change.
        nodes: Changed entries; one that is not open is removed from the list.
    """

    before: int
    after: int
    nodes: tuple[Node, ...]


@codec.message("directory.targets")
class TargetList(NamedTuple):
    """Target records of a control VM.

    Attributes:
        digest: Digest of all its records, 0 if the message holds only some.
        targets: The records.
        ages: Time since the last heartbeat of each target, seconds.
    """

    digest: int
    targets: tuple[Target, ...]
    ages: tuple[float, ...]


@codec.message("directory.news")
class TargetUpdate(NamedTuple):
    """A changed target record.

    Attributes:
        target: The record.
        number: Number to acknowledge with a TargetUpdateAck, 0 for none.
        before: Digest of the sender's records before the change, 0 if the
            receiver must not compare digests.
        after: Digest of the sender's records after the change.
    """

    target: Target
    number: int = 0
    before: int = 0
    after: int = 0


@codec.message("directory.news_ack")
class TargetUpdateAck(NamedTuple):
    """Acknowledgement of a numbered TargetUpdate by a control VM."""

    number: int
