"""Hashes for the ownership of keys and the identity of content."""

import array
import bisect
from collections.abc import Iterable
import hashlib

import xxhash


def hash64(text: str) -> int:
    """Return a 64-bit hash that is the same on all nodes and in all runs."""
    return xxhash.xxh3_64_intdigest(text.encode())


def checksum(data: bytes) -> int:
    """Return the 64-bit checksum that detects damaged records and frames."""
    return xxhash.xxh3_64_intdigest(data)


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 hash of data, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


class HashRing:
    """Consistent hash ring: the next names on the ring own a key.

    A lookup costs one binary search, whereas ``rendezvous`` hashes each name.
    Each name has several points on the ring, for an even distribution.
    """

    POINTS = 16

    def __init__(self, *, names: Iterable[str]) -> None:
        points = sorted(
            (hash64(f"ring\x00{name}\x00{point}"), name)
            for name in names
            for point in range(self.POINTS)
        )
        # An array of integers keeps rings of thousands of names small.
        self._hashes = array.array("Q", (point for point, _ in points))
        self._names = [name for _, name in points]

    def list_successors(self, key: str, count: int) -> list[str]:
        """Return the next names on the ring after a key, except the key itself.

        Args:
            key: Key to look up; it may be a name of the ring.
            count: Most names to return.
        """
        size = len(self._names)
        at = bisect.bisect_right(self._hashes, hash64(f"ring\x00{key}"))
        found: list[str] = []
        for step in range(size):
            name = self._names[(at + step) % size]
            if name != key and name not in found:
                found.append(name)
            if len(found) == count:
                break
        return found


def rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names that own a key, most preferred first.

    Highest-random-weight hashing (Thaler and Ravishankar, 1998): when a name
    is added or removed, only the keys that it owns move.
    """
    scored = sorted(
        ((hash64(f"{key}\x00{name}"), name) for name in names), reverse=True
    )
    return [name for _, name in scored[:count]]
