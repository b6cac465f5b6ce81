"""Messages between entries, agents and control VMs."""

from typing import NamedTuple

from jasperweir.helpers import codec


@codec.message("control.beat")
class Heartbeat(NamedTuple):
    """Heartbeat of a node with its state.

    Attributes:
        beat_id: Number of the heartbeat, echoed by the answer.
        inc: Incarnation of the node.
        place: Data centre of the node.
        revision: Applied configuration revision.
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
class HeartbeatAck(NamedTuple):
    """Answer of a control VM to a heartbeat.

    Attributes:
        beat_id: Number of the heartbeat.
        confirmed: Whether the sender is a leader with a lease, so that
            ``epoch`` is the newest claim view.
        every_s: Heartbeat interval in seconds.
        epoch: Epoch of the claim view.
        leader: Name of the leader, which gets the next heartbeat.
        leader_addr: Its internal address.
        revision: Newest configuration revision of the sender.
    """

    beat_id: int
    confirmed: bool
    every_s: float
    epoch: int
    leader: str
    leader_addr: str
    revision: int


@codec.message("control.floor_ask")
class MinRevisionRequest(NamedTuple):
    """Request of a restarted node for the minimum revision to serve."""

    nonce: int


@codec.message("control.floor_reply")
class MinRevisionReply(NamedTuple):
    """Answer of a voter.

    Attributes:
        nonce: Number of the request.
        confirmed: Whether the sender is a leader with a lease.
        revision: Minimum revision, 0 if not confirmed.
        leader: Name of the leader, or empty.
        leader_addr: Its internal address, or empty.
    """

    nonce: int
    confirmed: bool
    revision: int
    leader: str
    leader_addr: str
