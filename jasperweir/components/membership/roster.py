"""Table of node records with merge rules and digests."""

from collections.abc import Iterable
from typing import Any

from jasperweir.components.membership import const
from jasperweir.components.membership import messages
from jasperweir.helpers import hashing

Status = messages.Status


def supersedes(a: messages.Member, b: messages.Member) -> bool:
    """Return whether record ``a`` replaces record ``b`` of the same node."""
    return (a.inc, a.seq, a.status) > (b.inc, b.seq, b.status)


class Roster:
    """All node records known to a node, including its own.

    Attributes:
        version: Incremented by every change, for cache invalidation.
    """

    def __init__(self, *, own: messages.Member) -> None:
        self.version = 0
        self._members: dict[str, messages.Member] = {}
        self._bucket_digests = [0] * const.BUCKETS
        self._dead_since: dict[str, float] = {}
        self._own_name = own.name
        self._ring = hashing.HashRing(names=())
        self._ring_version = -1
        self._entries_version = 0
        self._store(own)

    @property
    def own(self) -> messages.Member:
        """Record of this node itself."""
        return self._members[self._own_name]

    def get(self, name: str) -> messages.Member | None:
        """Return a node's record, or None if it is unknown."""
        return self._members.get(name)

    def members(self, kind: str = "") -> list[messages.Member]:
        """Return all records, or those of one kind."""
        return [m for m in self._members.values() if not kind or m.kind == kind]

    def watchers(self, name: str) -> list[messages.Member]:
        """Return the entries that monitor a node."""
        if self._ring_version != self._entries_version:
            self._ring_version = self._entries_version
            entries = [m.name for m in self.live_members(const.KIND_ENTRY)]
            self._ring = hashing.HashRing(names=entries)
        names = self._ring.list_successors(name, const.WATCHERS_PER_NODE)
        return [self._members[watcher] for watcher in names]

    def live_members(self, kind: str = "") -> list[messages.Member]:
        """Return records of nodes that are neither dead nor stopped."""
        return [m for m in self.members(kind) if m.status < Status.DEAD]

    def update_own(self, **changes: Any) -> messages.Member:
        """Update the own record and increment its sequence number."""
        own = self.own
        member = own._replace(seq=own.seq + 1, **changes)
        self._store(member)
        return member

    def merge(self, member: messages.Member, now: float) -> bool:
        """Store a record if it is newer; return whether anything changed."""
        if member.name == self._own_name:
            return self._refute(member)
        known = self._members.get(member.name)
        if known is not None and not supersedes(member, known):
            return False
        self._store(member)
        if member.status >= Status.DEAD:
            self._dead_since[member.name] = now
        else:
            self._dead_since.pop(member.name, None)
        return True

    def set_status(self, name: str, status: Status, now: float) -> bool:
        """Set another node's health at its current sequence number."""
        known = self._members.get(name)
        if known is None:
            return False
        return self.merge(known._replace(status=status), now)

    def expire(self, now: float) -> None:
        """Delete records of nodes that have been gone for a long time."""
        for name, since in list(self._dead_since.items()):
            if now - since >= const.DEAD_RETENTION_SECONDS:
                self._toggle_digest(self._members.pop(name))
                del self._dead_since[name]
                self.version += 1

    def root_digest(self) -> int:
        """Return the digest of all records."""
        return hashing.checksum(
            b"".join(h.to_bytes(8, "little") for h in self._bucket_digests)
        )

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket, 32 bits each."""
        return tuple(h & 0xFFFFFFFF for h in self._bucket_digests)

    def stamps(self, buckets: Iterable[int]) -> tuple[messages.Stamp, ...]:
        """Return the versions of the records in some buckets."""
        wanted = set(buckets)
        return tuple(
            messages.Stamp(m.name, m.inc, m.seq, m.status)
            for m in self._members.values()
            if _bucket_index(m.name) in wanted
        )

    def missing_records(
        self, stamps: messages.Stamps
    ) -> tuple[messages.Member, ...]:
        """Return records that the sender of the stamps lacks."""
        sender_versions = {
            s.name: (s.inc, s.seq, s.status) for s in stamps.stamps
        }
        wanted = set(stamps.buckets)
        return tuple(
            m
            for m in self._members.values()
            if _bucket_index(m.name) in wanted
            and (m.inc, m.seq, m.status)
            > sender_versions.get(m.name, (-1, 0, 0))
        )

    def is_behind(self, stamps: messages.Stamps) -> bool:
        """Return whether the sender of the stamps has newer records."""
        for s in stamps.stamps:
            own = self._members.get(s.name)
            if own is None and s.status >= Status.DEAD:
                continue
            if own is None:
                return True
            if (s.inc, s.seq, s.status) > (own.inc, own.seq, own.status):
                return True
        return False

    def _refute(self, member: messages.Member) -> bool:
        own = self.own
        if not supersedes(member, own):
            return False
        # Another process used this name, or peers consider this node failed;
        # a higher incarnation or sequence number overrides that record.
        inc = own.inc if member.inc == own.inc else member.inc + 1
        seq = max(member.seq, own.seq) + 1
        self._store(own._replace(inc=inc, seq=seq))
        return True

    def _store(self, member: messages.Member) -> None:
        old = self._members.get(member.name)
        if member.kind == const.KIND_ENTRY and _presence_differs(old, member):
            self._entries_version += 1
        if old is not None:
            self._toggle_digest(old)
        self._members[member.name] = member
        self._toggle_digest(member)
        self.version += 1

    def _toggle_digest(self, member: messages.Member) -> None:
        """Add a record to its bucket's digest, or remove it by XOR."""
        stamp = f"{member.name}\x00{member.inc}\x00{member.seq}"
        digest = hashing.hash64(f"{stamp}\x00{int(member.status)}")
        self._bucket_digests[_bucket_index(member.name)] ^= digest


def _presence_differs(
    old: messages.Member | None, new: messages.Member
) -> bool:
    before = old is not None and old.status < Status.DEAD
    return before != (new.status < Status.DEAD)


def _bucket_index(name: str) -> int:
    return hashing.hash64(name) % const.BUCKETS
