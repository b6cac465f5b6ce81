"""A node's side of control: beats, the leader's address, the floor."""

import random
from typing import Any

from jasperweir import core
from jasperweir.components.control import const
from jasperweir.components.control import messages

Actions = list[Any]
UNANSWERED_SECONDS = 1.0
FLOOR_ASK_SECONDS = 0.5
REPORT_JITTER_SECONDS = 0.1


class Client:
    """Sans-I/O conversation of an entry or agent with the control VMs.

    Attributes:
        leader: Name of the control VM that answered as or for the leader.
        floor: Revision learnt from a leader with a lease, or None.
        heard_at: When a control VM last answered.
    """

    def __init__(
        self,
        *,
        voters: tuple[str, ...],
        rng: random.Random,
        every: float = const.BEAT_SECONDS,
    ) -> None:
        self.leader = ""
        self.leader_addr = ""
        self.floor: int | None = None
        self.heard_at = float("-inf")
        self._voters = voters
        self._rng = rng
        self._every = every
        self._beat_at = 0.0
        self._beat_id = 0
        self._sent: dict[int, float] = {}
        self._answered_id = 0
        self._reported = (-1, -1)
        self._floor_at = 0.0
        self._turn = rng.randrange(max(len(voters), 1))

    def ask_floor(self, now: float) -> Actions:
        """Ask every voter for the floor until a leader has confirmed it."""
        if self.floor is not None or now < self._floor_at:
            return []
        self._floor_at = now + FLOOR_ASK_SECONDS
        ask = messages.FloorAsk(nonce=self._beat_id)
        return [core.Send(dst=name, msg=ask) for name in self._voters]

    def beat(
        self,
        *,
        inc: int,
        place: str,
        revision: int,
        ready_epoch: int,
        burn: float,
        now: float,
    ) -> Actions:
        """Report what is in force, at once when it has changed."""
        state = (revision, ready_epoch)
        if state != self._reported:
            jitter = self._rng.uniform(0, REPORT_JITTER_SECONDS)
            self._beat_at = min(self._beat_at, now + jitter)
            self._reported = state
        sent_at = self._sent.get(self._beat_id, now)
        unanswered = self._answered_id < self._beat_id
        if unanswered and now - sent_at >= UNANSWERED_SECONDS:
            self._next_voter()
            self._beat_at = min(self._beat_at, now)
        if now < self._beat_at:
            return []
        self._beat_at = now + self._every
        self._beat_id += 1
        self._sent[self._beat_id] = now
        self._sent.pop(self._beat_id - 16, None)
        msg = messages.Beat(
            beat_id=self._beat_id,
            inc=inc,
            place=place,
            revision=revision,
            ready_epoch=ready_epoch,
            burn=burn,
        )
        return [core.Send(dst=self._destination(), msg=msg)]

    def on_ack(
        self, msg: messages.BeatAck, now: float
    ) -> tuple[int, float] | None:
        """Take in an answer.

        Returns:
            The confirmed claim epoch and when its question left, or None.
        """
        sent_at = self._sent.pop(msg.beat_id, None)
        if sent_at is None:
            return None
        self._answered_id = max(self._answered_id, msg.beat_id)
        self.heard_at = now
        if msg.leader and msg.leader != self.leader:
            # Only the leader's answers confirm anything: ask it at once.
            self._beat_at = now
        self._every = msg.every_s
        self.leader = msg.leader
        self.leader_addr = msg.leader_addr
        return (msg.epoch, sent_at) if msg.confirmed else None

    def on_floor(self, msg: messages.FloorReply, now: float) -> None:
        """Take in the floor, once."""
        self.heard_at = now
        if msg.confirmed and self.floor is None:
            self.floor = msg.revision

    def _destination(self) -> str:
        return self.leader or self._voters[self._turn % len(self._voters)]

    def _next_voter(self) -> None:
        self.leader = ""
        self._turn += 1
        self._answered_id = self._beat_id
