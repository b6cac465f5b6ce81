"""Stable hashes for ownership, subsets and content identity."""

from collections.abc import Iterable
import hashlib

import xxhash


def stable(text: str) -> int:
    """Return a 64-bit hash that is equal on every node and in every run."""
    return xxhash.xxh3_64_intdigest(text.encode())


def checksum(data: bytes) -> int:
    """Return the 64-bit checksum that guards records and frames."""
    return xxhash.xxh3_64_intdigest(data)


def content(data: bytes) -> str:
    """Return a cryptographic content hash, for tamper evidence."""
    return hashlib.sha256(data).hexdigest()


def rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the names that own a key, most preferred first.

    Highest-random-weight hashing (Thaler and Ravishankar, 1998): a name that
    joins or leaves moves only the keys that it owns.
    """
    scored = sorted(
        ((stable(f"{key}\x00{name}"), name) for name in names), reverse=True
    )
    return [name for _, name in scored[:count]]
