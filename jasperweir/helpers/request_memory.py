"""Memory that connections to a process's servers hold; sans-I/O.

All servers of a process share one account. It counts what a request really
costs: fields and bodies as they are held in memory, for bodies of a stated
length all of it before the first byte. Beyond its limits a body is read later,
and if that isn't enough, unfinished requests are rejected, the largest first.
"""

import collections
from typing import NamedTuple
from typing import Protocol

from jasperweir.helpers import byte_totals

# Memory of one header field beside its bytes: two objects, a pair, and its
# place in a list.
FIELD_BYTES = 160
# A request up to this size may use all of the memory for requests, a larger one
# LARGE_SHARE of it, so that large bodies don't keep ordinary requests waiting.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 0.75
# Complete small requests are accepted up to this multiple of the limit.
ACCEPTED_FACTOR = 1.25
# A body of which nothing has arrived for this long is given up if others wait,
# seconds.
STALL_SECONDS = 0.5
# Share of a process's descriptors that connections to its servers may take.
DESCRIPTOR_SHARE = 0.5

_MEGABYTE = 1_000_000


class Shares(NamedTuple):
    """Shares of a VM's memory.

    Attributes:
        requests: For requests.
        unsent: For responses that callers have not read.
    """

    requests: float
    unsent: float


# Shares of a process that serves callers, and of any other one. A VM has at
# most one of each.
CALLER_SHARES = Shares(requests=0.2, unsent=0.16)
OTHER_SHARES = Shares(requests=0.08, unsent=0.04)


class Limits(NamedTuple):
    """Limits on all connections to a process.

    Attributes:
        requests: Bytes of requests.
        unsent: Bytes of responses that callers have not read.
        connections: Open connections.
    """

    requests: int = 60 * _MEGABYTE
    unsent: int = 48 * _MEGABYTE
    connections: int = 2048


def derive_limits(
    *, memory_mb: float, descriptors: int, shares: Shares
) -> Limits:
    """Return the limits of a process on a VM.

    Args:
        memory_mb: Memory of the VM, megabytes; 0 if unknown.
        descriptors: Descriptors that a process may open, 0 if unknown.
        shares: Shares of the process.
    """
    found = Limits()
    if memory_mb:
        found = found._replace(
            requests=int(memory_mb * _MEGABYTE * shares.requests),
            unsent=int(memory_mb * _MEGABYTE * shares.unsent),
        )
    if descriptors:
        found = found._replace(connections=int(descriptors * DESCRIPTOR_SHARE))
    return found


class Holder(Protocol):
    """A connection.

    Attributes:
        unsent_bytes: Bytes that are written but not sent.
    """

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are written but not sent."""

    def resume_reading(self) -> None:
        """Read from the caller again."""

    def shed(self) -> None:
        """Reject an unfinished request, or close an idle connection."""

    def abort(self) -> None:
        """Close the connection at once."""


class RequestMemory:
    """Account of all connections to a process.

    Attributes:
        limits: The limits.
        unfinished: Bytes of requests that are being received.
        accepted: Bytes of complete requests until they are answered.
        unsent: Bytes of responses that callers have not read.
        closed: Connections closed and requests rejected, by the limit.
    """

    def __init__(self, *, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.unfinished: byte_totals.ByteTotal[Holder] = byte_totals.ByteTotal()
        self.accepted: byte_totals.ByteTotal[Holder] = byte_totals.ByteTotal()
        self.unsent: byte_totals.ByteTotal[Holder] = byte_totals.ByteTotal()
        self.closed: collections.Counter[str] = collections.Counter()
        self._connections: set[Holder] = set()
        # Connections without a complete request, the longest so first.
        self._evictable: collections.OrderedDict[Holder, None] = (
            collections.OrderedDict()
        )
        # Connections that wait to read a body, with the bytes that they need.
        self._waiting_small: collections.OrderedDict[Holder, int] = (
            collections.OrderedDict()
        )
        self._waiting_large: collections.OrderedDict[Holder, int] = (
            collections.OrderedDict()
        )
        # One connection may go beyond the limit, so that bodies that each have
        # a part don't wait for each other.
        self._exempt: Holder | None = None

    # Connections.

    def open(self, holder: Holder) -> None:
        """Count a new connection; close another one beyond the limit."""
        self._connections.add(holder)
        self._evictable[holder] = None
        if len(self._connections) > self.limits.connections:
            oldest, _ = self._evictable.popitem(last=False)
            self._connections.discard(oldest)
            self.closed["connections"] += 1
            oldest.shed()

    def close(self, holder: Holder) -> None:
        """Count a connection no longer."""
        self._connections.discard(holder)
        self._evictable.pop(holder, None)
        self.accepted.set(holder, 0)
        self.unsent.set(holder, 0)
        self.drop_unfinished(holder)

    def note_busy(self, holder: Holder) -> None:
        """Record that a connection has a complete request."""
        self._evictable.pop(holder, None)

    def note_idle(self, holder: Holder) -> None:
        """Record that a connection's request is answered."""
        if holder in self._connections:
            self._evictable[holder] = None
            self._evictable.move_to_end(holder)

    # Requests.

    @property
    def requests(self) -> int:
        """Bytes of all requests."""
        return self.unfinished.total + self.accepted.total

    @property
    def has_waiting(self) -> bool:
        """Whether a body waits until there is room."""
        return bool(self._waiting_small or self._waiting_large)

    def is_waiting(self, holder: Holder) -> bool:
        """Return whether a connection's body waits until there is room."""
        return holder in self._waiting_small or holder in self._waiting_large

    def hold(self, holder: Holder, size: int) -> None:
        """Count what an unfinished request holds, and relieve the memory."""
        self.unfinished.set(holder, size)
        self._relieve()

    def reserve(self, holder: Holder, size: int) -> bool:
        """Reserve memory for a request whose body is to be read.

        Args:
            holder: The connection.
            size: Bytes that the request takes, all of it.

        Returns:
            Whether to read on. Otherwise ``resume_reading`` is called once
            there is room.
        """
        if self._fits(holder, size):
            self.unfinished.set(holder, size)
            return True
        waiting = self._waiting_large
        if size <= SMALL_BYTES:
            waiting = self._waiting_small
        waiting[holder] = size
        return False

    def accept(self, holder: Holder, size: int) -> bool:
        """Count a complete request; return whether there is room for it."""
        self.unfinished.set(holder, 0)
        if self._stop_waiting(holder):
            # What is left of its body had already arrived.
            holder.resume_reading()
        held = self.accepted.get(holder)
        self.accepted.set(holder, held + size)
        self._relieve()
        most = self.limits.requests
        if size <= SMALL_BYTES:
            most = int(most * ACCEPTED_FACTOR)
        if self._exempt is holder or self._count_limited() <= most:
            return True
        self.accepted.set(holder, held)
        self.closed["requests"] += 1
        return False

    def release(self, holder: Holder, size: int) -> None:
        """Count a request that is answered no longer."""
        self.accepted.set(holder, max(self.accepted.get(holder) - size, 0))
        if holder is self._exempt and not self.accepted.get(holder):
            self._exempt = None
        self._resume()

    def drop_unfinished(self, holder: Holder) -> None:
        """Count an unfinished request no longer, because it is given up."""
        self.unfinished.set(holder, 0)
        self._stop_waiting(holder)
        if holder is self._exempt and not self.accepted.get(holder):
            self._exempt = None
        self._resume()

    # Responses.

    def set_unsent(self, holder: Holder, size: int) -> None:
        """Count unsent bytes; reset the largest holders beyond the limit."""
        self.unsent.set(holder, size)
        if self.unsent.total <= self.limits.unsent:
            return
        self.unsent.refresh(lambda found: found.unsent_bytes)
        while self.unsent.total > self.limits.unsent:
            largest = self.unsent.find_largest()
            if largest is None:
                return
            self.unsent.set(largest, 0)
            self.closed["unsent"] += 1
            largest.abort()

    def _stop_waiting(self, holder: Holder) -> bool:
        """Let a connection wait no longer; return whether it did."""
        small = self._waiting_small.pop(holder, None)
        return (small or self._waiting_large.pop(holder, None)) is not None

    def _fits(self, holder: Holder, size: int) -> bool:
        if self._exempt is holder:
            return True
        others = self._count_limited() - self.unfinished.get(holder)
        limit = float(self.limits.requests)
        if size > SMALL_BYTES:
            limit *= LARGE_SHARE
        if others + size <= limit:
            return True
        if self._exempt is None:
            self._exempt = holder
            return True
        return False

    def _relieve(self) -> None:
        """Reject the largest unfinished requests while there are too many."""
        while self._count_limited() > self.limits.requests:
            largest = self.unfinished.find_largest(besides=self._exempt)
            if largest is None:
                return
            self.drop_unfinished(largest)
            self.closed["unfinished"] += 1
            largest.shed()

    def _count_limited(self) -> int:
        """Return the bytes of all requests but of the exempt connection."""
        if self._exempt is None:
            return self.requests
        exempt = self.unfinished.get(self._exempt)
        return self.requests - exempt - self.accepted.get(self._exempt)

    def _resume(self) -> None:
        """Let bodies that wait be read, as far as there is room."""
        for waiting in (self._waiting_small, self._waiting_large):
            while waiting:
                holder, size = next(iter(waiting.items()))
                if not self._fits(holder, size):
                    break
                del waiting[holder]
                self.unfinished.set(holder, size)
                holder.resume_reading()
