"""Messages between entries about their open requests."""

from typing import NamedTuple

from jasperweir.helpers import codec


class OpenLoad(NamedTuple):
    """Open requests of one entry at one target."""

    target_id: str
    requests: int


class Queue(NamedTuple):
    """Requests of one service that wait at one entry.

    Attributes:
        service: Their service.
        timely: How many can still be answered within their target time.
        late: How many cannot.
    """

    service: str
    timely: int
    late: int


@codec.message("balance.share")
class Share(NamedTuple):
    """All open requests of an entry, by target, and those that wait.

    Attributes:
        sequence: Counts the messages of this entry.
        loads: Requests at targets.
        queues: Requests that wait for a place, by service; none that is empty.
    """

    sequence: int
    loads: tuple[OpenLoad, ...]
    queues: tuple[Queue, ...] = ()
