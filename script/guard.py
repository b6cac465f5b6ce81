"""What one guard is; see guards.py."""

from typing import NamedTuple


class Guard(NamedTuple):
    """One guard: what it guards, where, its text and what replaces it."""

    name: str
    file: str
    text: str
    without: str
    feature: str
