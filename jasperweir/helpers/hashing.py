"""Stable hashes for ownership, subsets and content identity."""

import array
import bisect
from collections.abc import Iterable
import hashlib

import xxhash


def hash64(text: str) -> int:
    """Return a 64-bit hash that is equal on every node and in every run."""
    return xxhash.xxh3_64_intdigest(text.encode())


def checksum(data: bytes) -> int:
    """Return the 64-bit checksum that guards records and frames."""
    return xxhash.xxh3_64_intdigest(data)


def sha256_hex(data: bytes) -> str:
    """Return a cryptographic content hash, for tamper evidence."""
    return hashlib.sha256(data).hexdigest()


class HashRing:
    """Hash ring: the owners of a key are the next names clockwise.

    A look-up costs one binary search, where ``rendezvous`` costs a hash for
    each name. Each name stands at several points, to spread more evenly.
    """

    POINTS = 16

    def __init__(self, *, names: Iterable[str]) -> None:
        points = sorted(
            (hash64(f"ring\x00{name}\x00{point}"), name)
            for name in names
            for point in range(self.POINTS)
        )
        # Plain numbers: thousands of names stand at sixteen points each.
        self._hashes = array.array("Q", (point for point, _ in points))
        self._names = [name for _, name in points]

    def list_successors(self, key: str, count: int) -> list[str]:
        """Return the names that follow a key, without the key itself."""
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

    Highest-random-weight hashing (Thaler and Ravishankar, 1998): a name that
    joins or leaves moves only the keys that it owns.
    """
    scored = sorted(
        ((hash64(f"{key}\x00{name}"), name) for name in names), reverse=True
    )
    return [name for _, name in scored[:count]]
