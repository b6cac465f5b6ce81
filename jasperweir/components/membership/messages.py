"""Records of nodes and the messages that spread them."""

import enum
from typing import NamedTuple

from jasperweir.components.config import table
from jasperweir.helpers import codec


class Status(enum.IntEnum):
    """Health of a node; a higher one wins at the same sequence number."""

    JOINING = 0
    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4
    LEFT = 5


class Offer(NamedTuple):
    """One service that an agent's target provides."""

    service: str
    adapters: tuple[str, ...] = ()
    role: str = "both"
    max_in_flight: int = 64


class Member(NamedTuple):
    """What is known of one node.

    Attributes:
        inc: Incarnation; a restart takes a higher one.
        seq: Raised by the node itself to refute or to announce a change.
        addr: Internal address, ``ip:port``.
        http: HTTP address, ``ip:port``.
        group: Name of the expert group that the target is part of.
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
    """Freshness of one record."""

    name: str
    inc: int
    seq: int
    status: Status


@codec.message("member.join")
class Join(NamedTuple):
    """A node starts and asks a seed for all records."""

    member: Member


@codec.message("member.records")
class Records(NamedTuple):
    """Records that may be newer than the receiver's."""

    members: tuple[Member, ...]


@codec.message("member.probe")
class Probe(NamedTuple):
    """Root digest of the sender's records and its configuration."""

    revision: int
    root: int


@codec.message("member.buckets")
class Buckets(NamedTuple):
    """Digest of each bucket, sent when roots differ."""

    revision: int
    hashes: tuple[int, ...]


@codec.message("member.stamps")
class Stamps(NamedTuple):
    """Freshness of all records in some buckets; asks for newer ones."""

    buckets: tuple[int, ...]
    stamps: tuple[Stamp, ...]


@codec.message("member.want_config")
class WantConfig(NamedTuple):
    """Ask for configuration changes after a revision."""

    revision: int


@codec.message("member.heartbeat")
class Heartbeat(NamedTuple):
    """A watched node tells a watcher that it lives.

    Attributes:
        lists: Digest of the lists of the last answer; 0 asks for them.
    """

    inc: int
    seq: int
    status: Status
    revision: int
    lists: int


@codec.message("member.announce")
class Announce(NamedTuple):
    """An agent announces its whole record to an entry."""

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
        lists: Digest of the two lists; they are empty if the agent's
            heartbeat named the same digest.
        watchers: Entries to which the agent should send heartbeats.
        group: Agents of the same group, for its coordinator.
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
