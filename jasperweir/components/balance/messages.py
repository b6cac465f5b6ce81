"""Messages between entries about their open requests."""

from typing import NamedTuple

from jasperweir.helpers import codec


class OpenLoad(NamedTuple):
    """Open requests of one entry at one target."""

    target_id: str
    requests: int


@codec.message("balance.share")
class Share(NamedTuple):
    """All open requests of an entry, by target."""

    sequence: int
    loads: tuple[OpenLoad, ...]
