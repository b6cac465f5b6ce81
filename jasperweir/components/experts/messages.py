"""Messages between a group's coordinator and its hosts."""

from typing import NamedTuple

from jasperweir.helpers import codec


class Map(NamedTuple):
    """Expert map of a whole group.

    Attributes:
        version: Version, unique and increasing over all terms of the group.
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
    """Request of a new coordinator to ignore all earlier ones."""

    group: str
    term: int


@codec.message("experts.sealed")
class Sealed(NamedTuple):
    """Reply to Seal: the host's promise and its state.

    Attributes:
        group: Name of the group.
        term: Term of the coordinator.
        done: Last step that the host has run.
        loaded: Map versions whose weights the host has loaded.
        current: Map of the newest grant that the host held, or None.
    """

    group: str
    term: int
    done: int
    loaded: tuple[int, ...]
    current: Map | None


@codec.message("experts.prepare")
class Prepare(NamedTuple):
    """Order to load the weights of the next map."""

    group: str
    term: int
    map: Map


@codec.message("experts.prepared")
class Prepared(NamedTuple):
    """Reply to Prepare: whether all weights of a map are loaded."""

    group: str
    term: int
    version: int
    ok: bool


@codec.message("experts.grant")
class Grant(NamedTuple):
    """Permission to run a range of steps under one map.

    Attributes:
        group: Name of the group.
        term: Term of the coordinator.
        version: Version of the map.
        first: First step.
        last: Last step.
    """

    group: str
    term: int
    version: int
    first: int
    last: int


@codec.message("experts.granted")
class Granted(NamedTuple):
    """Reply to Grant: whether the host accepts it, and its last step.

    Attributes:
        group: Name of the group.
        term: Term of the coordinator.
        last: Last step of the grant.
        done: Last step that the host has run.
        ok: Whether the host holds the grant.
    """

    group: str
    term: int
    last: int
    done: int
    ok: bool


@codec.message("experts.release")
class Release(NamedTuple):
    """Notice that no more steps are granted under maps below a version."""

    group: str
    term: int
    version: int


@codec.message("experts.abort")
class Abort(NamedTuple):
    """Notice that no step will be granted under a prepared map."""

    group: str
    term: int
    version: int
