"""Messages between entries, agents and control VMs."""

from typing import NamedTuple

from jasperweir.helpers import codec


@codec.message("control.beat")
class Beat(NamedTuple):
    """A node reports what it has in force.

    Attributes:
        beat_id: Echoed by the answer.
        revision: Configuration revision in force.
        ready_epoch: Newest claim view for which the node is repaired.
        burn: Burn rate of its error budget over the shortest window.
    """

    beat_id: int
    inc: int
    place: str
    revision: int
    ready_epoch: int
    burn: float


@codec.message("control.beat_ack")
class BeatAck(NamedTuple):
    """A control VM answers a beat; the leader is where to send the next.

    Attributes:
        confirmed: Whether the sender leads with a lease, so that ``epoch``
            is the newest claim view of all.
        every_s: Seconds after which the next beat is wanted.
    """

    beat_id: int
    confirmed: bool
    every_s: float
    epoch: int
    leader: str
    leader_addr: str
    revision: int


@codec.message("control.floor_ask")
class FloorAsk(NamedTuple):
    """A restarted node asks below which revision it must not serve."""

    nonce: int


@codec.message("control.floor_reply")
class FloorReply(NamedTuple):
    """Answer of a voter; ``confirmed`` only from a leader with a lease."""

    nonce: int
    confirmed: bool
    revision: int
    leader: str
    leader_addr: str
