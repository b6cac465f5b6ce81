"""Node records and the messages of the membership protocol."""

import enum
from typing import NamedTuple

from jasperweir.components.config import table
from jasperweir.helpers import codec


class Status(enum.IntEnum):
    """Health of a node; the higher wins at the same sequence number."""

    JOINING = 0
    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5


class Offer(NamedTuple):
    """One service that an agent's target provides.

    Attributes:
        service: Name of the service.
        adapters: Names of the loaded adapters.
        role: Role of the target for the service, "both" for any.
        max_in_flight: Number of requests that may run at once.
    """

    service: str
    adapters: tuple[str, ...] = ()
    role: str = "both"
    max_in_flight: int = 64


class Member(NamedTuple):
    """Record of one node.

    Attributes:
        name: Unique name of the node.
        kind: KIND_CONTROL, KIND_ENTRY or KIND_AGENT.
        place: Data centre.
        inc: Incarnation, higher after each restart.
        seq: Sequence number that only the node itself increments, to announce
            a change or to refute its failure.
        status: Health.
        addr: Internal address, ``ip:port``.
        http: HTTP address, ``ip:port``.
        offers: Services that the target provides.
        group: Name of the expert group that the target belongs to.
        ranks: Number of ranks of the group on this target.
    """

    name: str
    kind: str
    place: str
    inc: int
    seq: int
    status: Status
    addr: str
    http: str
    offers: tuple[Offer, ...] = ()
    group: str = ""
    ranks: int = 0


class Stamp(NamedTuple):
    """Version of one record."""

    name: str
    inc: int
    seq: int
    status: Status


@codec.message("member.join")
class Join(NamedTuple):
    """Request of a starting node to a seed for all records."""

    member: Member


@codec.message("member.records")
class Records(NamedTuple):
    """Records that may be newer than the receiver's."""

    members: tuple[Member, ...]


@codec.message("member.probe")
class Probe(NamedTuple):
    """Digest of all records and the configuration revision of the sender."""

    revision: int
    root: int


@codec.message("member.buckets")
class Buckets(NamedTuple):
    """Digest of each bucket, sent when the root digests differ."""

    revision: int
    hashes: tuple[int, ...]


@codec.message("member.stamps")
class Stamps(NamedTuple):
    """Versions of all records in some buckets; requests newer records."""

    buckets: tuple[int, ...]
    stamps: tuple[Stamp, ...]


@codec.message("member.want_config")
class WantConfig(NamedTuple):
    """Request for configuration changes after a revision."""

    revision: int


@codec.message("member.heartbeat")
class Heartbeat(NamedTuple):
    """Heartbeat of a node to one of its watchers.

    Attributes:
        inc: Incarnation of the sender.
        seq: Sequence number of its record.
        status: Health in its record.
        revision: Configuration revision of the sender.
        lists: Digest of the lists in the last answer; 0 requests them.
    """

    inc: int
    seq: int
    status: Status
    revision: int
    lists: int


@codec.message("member.announce")
class Announce(NamedTuple):
    """Full record of an agent, sent to an entry."""

    member: Member
    revision: int


class Peer(NamedTuple):
    """A node and its internal address."""

    name: str
    addr: str


@codec.message("member.watch_ack")
class WatchAck(NamedTuple):
    """A watcher's answer to an agent.

    Attributes:
        known: Whether the watcher holds the agent's record.
        seen_inc: Incarnation under which the agent is known.
        seen_seq: Sequence number under which it is known.
        status: Health under which it is known.
        lists: Digest of the two lists, which are empty if the agent's
            heartbeat had the same digest.
        watchers: Entries to which the agent sends heartbeats.
        group: Agents of the same group, needed by its coordinator.
        delta: Configuration that the agent lacks, or None.
    """

    known: bool
    seen_inc: int
    seen_seq: int
    status: Status
    lists: int
    watchers: tuple[Peer, ...]
    group: tuple[Peer, ...]
    delta: table.Delta | None
