"""Messages by which entries exchange their open requests."""

from typing import Any
from typing import NamedTuple

from jasperweir.helpers import codec


class OpenLoad(NamedTuple):
    """Open requests of one entry at one target."""

    target_id: str
    requests: int


class Queue(NamedTuple):
    """Number of requests of one service that wait at one entry.

    Attributes:
        service: Name of the service.
        timely: Requests that can still be answered within their target time.
        late: Requests that can't.
    """

    service: str
    timely: int
    late: int


class Refusing(NamedTuple):
    """A target that refuses the requests of one entry.

    Attributes:
        target_id: Id of the target.
        born: Start time of its incarnation, Unix milliseconds; 0 if unknown.
        for_s: Time for which the entry sends it nothing, seconds.
    """

    target_id: str
    born: int
    for_s: float


class RefusedCaller(NamedTuple):
    """A request that an entry has refused and whose caller may return.

    Attributes:
        number: Hash of the request's content.
        used_s: Time since its caller's first attempt, seconds.
        left_s: Time that its caller has left, seconds.
    """

    number: int
    used_s: float
    left_s: float


@codec.message("balance.share")
class Share(NamedTuple):
    """Open and waiting requests of an entry.

    Attributes:
        sequence: Sequence number of the entry's messages.
        loads: Open requests by target.
        queues: Requests that wait for a free slot by service; none is empty.
        refusing: Targets that refuse this entry's requests.
        refused: Requests that this entry has refused since its last message.
        demand: Requests by service and priority band, each a
            ``scheduling.demand.BandDemand``; empty from an older version. Not
            typed, so that a field that a newer peer adds or an odd count
            doesn't invalidate the whole message.
    """

    sequence: int
    loads: tuple[OpenLoad, ...]
    queues: tuple[Queue, ...] = ()
    refusing: tuple[Refusing, ...] = ()
    refused: tuple[RefusedCaller, ...] = ()
    demand: tuple[Any, ...] = ()
