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


class Refusing(NamedTuple):
    """A target that turns the requests of one entry away.

    Attributes:
        target_id: The target.
        born: Which of its starts, Unix milliseconds, 0 if it does not say.
        for_s: For how long the entry sends it nothing, seconds.
    """

    target_id: str
    born: int
    for_s: float


@codec.message("balance.share")
class Share(NamedTuple):
    """All open requests of an entry, by target, and those that wait.

    Attributes:
        sequence: Counts the messages of this entry.
        loads: Requests at targets.
        queues: Requests that wait for a place, by service; none that is empty.
        refusing: Targets that turn this entry's requests away.
    """

    sequence: int
    loads: tuple[OpenLoad, ...]
    queues: tuple[Queue, ...] = ()
    refusing: tuple[Refusing, ...] = ()
