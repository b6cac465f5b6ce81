"""Messages between a group's coordinator and its hosts."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Map(NamedTuple):
    """Expert map of a whole group.

    Attributes:
        version: Unique over all terms of the group; grows.
        shape: Layers, ranks, slots per rank.
        slots: Expert in each slot, two bytes each, little-endian.
        split: Share of its expert's load that each slot takes, in 255ths.
    """

    version: int
    shape: tuple[int, int, int]
    slots: bytes
    split: bytes


@codec.message("experts.seal")
class Seal(NamedTuple):
    """A new coordinator asks for the promise to heed no earlier one."""

    group: str
    term: int


@codec.message("experts.sealed")
class Sealed(NamedTuple):
    """The promise, with all that a new coordinator must know.

    Attributes:
        done: Last step that the host has run.
        loaded: Map versions whose weights the host holds.
        current: Map of the newest grant that the host held, or None.
    """

    group: str
    term: int
    done: int
    loaded: tuple[int, ...]
    current: Map | None


@codec.message("experts.prepare")
class Prepare(NamedTuple):
    """Load the weights of a coming map."""

    group: str
    term: int
    map: Map


@codec.message("experts.prepared")
class Prepared(NamedTuple):
    """All weights of a map are loaded here, or cannot be."""

    group: str
    term: int
    version: int
    ok: bool


@codec.message("experts.grant")
class Grant(NamedTuple):
    """Leave to run some steps, under one map."""

    group: str
    term: int
    version: int
    first: int
    last: int


@codec.message("experts.granted")
class Granted(NamedTuple):
    """A host holds a grant, or could not take it, and how far it has run."""

    group: str
    term: int
    last: int
    done: int
    ok: bool


@codec.message("experts.release")
class Release(NamedTuple):
    """No step will be granted under maps below this version any more."""

    group: str
    term: int
    version: int


@codec.message("experts.abort")
class Abort(NamedTuple):
    """A prepared map will never be granted."""

    group: str
    term: int
    version: int
