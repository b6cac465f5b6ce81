"""Client of the control VMs on an entry or agent."""

import random
from typing import Any

from jasperweir import core
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.confirmation import rounds as rounds_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.control import const
from jasperweir.components.control import messages

Actions = list[Any]
ACK_TIMEOUT_SECONDS = 1.0
MIN_REVISION_REQUEST_SECONDS = 0.5
REPORT_JITTER_SECONDS = 0.1
# Bits of the random number of the first round.
_ROUND_BITS = 48


class ControlClient:
    """Sans-I/O client that sends heartbeats to the control VMs.

    Attributes:
        leader: Name of the leader as of the last answer, or empty.
        leader_addr: Its internal address, or empty.
        min_revision: First revision that a leader has confirmed, or None.
        heard_at: Time of the last answer of a control VM.
        confirmations: What is known of the newest revision.
    """

    def __init__(
        self,
        *,
        voters: tuple[str, ...],
        rng: random.Random,
        interval_s: float = const.HEARTBEAT_SECONDS,
    ) -> None:
        self.leader = ""
        self.leader_addr = ""
        self.min_revision: int | None = None
        self.heard_at = float("-inf")
        self.confirmations = tracker_lib.VersionTracker(
            valid_s=const.HEARTBEATS_UNTIL_STALE * interval_s,
            # Its activity is noted less often than an entry asks.
            stall_s=confirmation_const.SUSPENDED_SECONDS,
        )
        self._rounds = rounds_lib.Rounds(first=rng.getrandbits(_ROUND_BITS) + 1)
        self._voters = voters
        self._rng = rng
        self._interval_s = interval_s
        self._next_heartbeat_at = 0.0
        self._heartbeat_id = 0
        self._sent_at: dict[int, float] = {}
        self._acked_id = 0
        self._reported_state = (-1, -1)
        self._next_min_revision_request_at = 0.0
        self._voter_index = rng.randrange(max(len(voters), 1))

    def request_min_revision(self, now: float) -> Actions:
        """Request the minimum revision until a leader has confirmed it."""
        if (
            self.min_revision is not None
            or now < self._next_min_revision_request_at
        ):
            return []
        self._next_min_revision_request_at = now + MIN_REVISION_REQUEST_SECONDS
        self.confirmations.note_asked(now)
        request = messages.MinRevisionRequest(nonce=self._rounds.start(now))
        return [core.Send(dst=name, msg=request) for name in self._voters]

    def send_heartbeat(
        self,
        *,
        inc: int,
        place: str,
        revision: int,
        ready_epoch: int,
        burn: float,
        now: float,
    ) -> Actions:
        """Return a heartbeat when it is due; a changed state is due soon.

        Args:
            inc: Incarnation of this node.
            place: Data centre of this node.
            revision: Applied configuration revision.
            ready_epoch: Newest claim view for which the node is repaired.
            burn: Burn rate of its error budget.
            now: Monotonic seconds.
        """
        self.confirmations.note_activity(now)
        self.confirmations.hold(revision, now)
        state = (revision, ready_epoch)
        if state != self._reported_state:
            jitter = self._rng.uniform(0, REPORT_JITTER_SECONDS)
            self._next_heartbeat_at = min(self._next_heartbeat_at, now + jitter)
            self._reported_state = state
        sent_at = self._sent_at.get(self._heartbeat_id, now)
        unanswered = self._acked_id < self._heartbeat_id
        if unanswered and now - sent_at >= ACK_TIMEOUT_SECONDS:
            self._next_voter()
            self._next_heartbeat_at = min(self._next_heartbeat_at, now)
        if now < self._next_heartbeat_at:
            return []
        self._next_heartbeat_at = now + self._interval_s
        self._heartbeat_id += 1
        self._sent_at[self._heartbeat_id] = now
        self._sent_at.pop(self._heartbeat_id - 16, None)
        self.confirmations.note_asked(now)
        msg = messages.Heartbeat(
            beat_id=self._heartbeat_id,
            inc=inc,
            place=place,
            revision=revision,
            ready_epoch=ready_epoch,
            burn=burn,
        )
        return [core.Send(dst=self._destination(), msg=msg)]

    def on_ack(
        self, msg: messages.HeartbeatAck, now: float
    ) -> tuple[int, float] | None:
        """Handle the answer to a heartbeat.

        Returns:
            The confirmed claim epoch and the send time of the heartbeat, or
            None if the answer confirms nothing.
        """
        sent_at = self._sent_at.pop(msg.beat_id, None)
        if sent_at is None:
            return None
        self._acked_id = max(self._acked_id, msg.beat_id)
        self.heard_at = now
        if msg.leader and msg.leader != self.leader:
            # Only the leader confirms the epoch, so contact it at once.
            self._next_heartbeat_at = now
        self._interval_s = msg.every_s
        self.leader = msg.leader
        self.leader_addr = msg.leader_addr
        self.confirmations.valid_s = const.HEARTBEATS_UNTIL_STALE * msg.every_s
        if not msg.confirmed:
            self.confirmations.note_announced(msg.revision, now)
            return None
        self._confirm(msg.revision, sent_at, msg.leader, now)
        return (msg.epoch, sent_at)

    def on_min_revision(
        self, msg: messages.MinRevisionReply, now: float
    ) -> None:
        """Handle the minimum revision; only the first confirmed one counts."""
        self.heard_at = now
        sent_at = self._rounds.find_start(msg.nonce)
        if not msg.confirmed or sent_at is None:
            return
        self._confirm(msg.revision, sent_at, msg.leader, now)
        if self.min_revision is None:
            self.min_revision = msg.revision

    def _confirm(
        self, revision: int, as_of: float, leader: str, now: float
    ) -> None:
        self.confirmations.confirm(
            tracker_lib.Confirmation(
                version=revision, as_of=as_of, source=leader
            ),
            now,
        )

    def _destination(self) -> str:
        return (
            self.leader or self._voters[self._voter_index % len(self._voters)]
        )

    def _next_voter(self) -> None:
        self.leader = ""
        self._voter_index += 1
        self._acked_id = self._heartbeat_id
