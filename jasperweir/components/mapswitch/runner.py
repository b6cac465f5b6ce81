"""An agent's way of carrying out orders at its engine; sans-I/O.

An order that gets no answer may have been accepted, or may be carried out
seconds later. Each order names the engine's sequence for which it was meant,
so at most one of its copies takes effect. An order that is given up is made
void: other orders, which change nothing, move the sequence on.
"""

import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.helpers import codec

Actions = list[Any]


class Read(NamedTuple):
    """Action: read the engine's state; ``on_read`` follows."""


class Post(NamedTuple):
    """Action: send an order to the engine; ``on_answer`` follows."""

    order: messages.Order
    epoch: int
    sequence: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """The order that is being carried out.

    Attributes:
        src: Leader that sent it.
        ask: The order as it came.
        order: The order.
        tries: How often it was posted.
        accepted: Whether the engine has accepted it.
        unknown: Whether a post got no answer.
    """

    src: str
    ask: messages.OrderAsk
    order: messages.Order
    tries: int = 0
    accepted: bool = False
    unknown: bool = False


class Runner:
    """Carry out one order at a time.

    Attributes:
        term: Highest term seen; orders of lower ones are refused.
        settled: Whether no order of unknown outcome is left.
    """

    def __init__(self) -> None:
        self.term = 0
        # Orders of an earlier process at this VM may still be under way.
        self.settled = False
        self._job: Job | None = None
        self._done: messages.OrderDone | None = None
        # Whether a read or a post is under way.
        self._waiting = False
        # Whether the far hold that settles has been seen.
        self._void_held = False

    @property
    def idle(self) -> bool:
        """Whether nothing is under way and nothing is left to settle."""
        return self.settled and self._job is None

    # Inputs.

    def on_term(self, term: int) -> Actions:
        """Take note of a leader's term."""
        if term <= self.term:
            return []
        self.term = term
        self._done = None
        self._drop_job()
        return self._go_on()

    def on_ask(self, src: str, ask: messages.OrderAsk) -> Actions:
        """Take in an order."""
        out = self.on_term(ask.term)
        if ask.term < self.term:
            done = messages.OrderDone(ask.number, self.term, False, None)
            return [core.Send(dst=src, msg=done)]
        if self._done is not None and self._done.number == ask.number:
            return [core.Send(dst=src, msg=self._done)]
        if self._job is not None and self._job.ask.number >= ask.number:
            return out
        self._drop_job()
        order = codec.unpack_tagged(ask.order)
        self._job = Job(src=src, ask=ask, order=order)
        return out + self._go_on()

    def start(self) -> Actions:
        """Begin to settle what an earlier process may have left."""
        return self._go_on()

    def on_read(self, state: messages.EngineState | None) -> Actions:
        """Take in the engine's state, None if it could not be read."""
        self._waiting = False
        if state is None:
            return self._go_on()
        if not self.settled:
            return self._settle(state)
        if self._job is None:
            return []
        return self._drive(self._job, state)

    def on_answer(self, status: int | None) -> Actions:
        """Take in the status of a posted order, None for no answer."""
        self._waiting = False
        job = self._job
        if self.settled and job is not None:
            job.accepted = status in (200, 202)
            job.unknown = job.unknown or status is None
        return self._go_on()

    # Steps.

    def _go_on(self) -> Actions:
        if self._waiting or self.idle:
            return []
        self._waiting = True
        return [Read()]

    def _post(
        self, order: messages.Order, epoch: int, sequence: int
    ) -> Actions:
        self._waiting = True
        return [Post(order=order, epoch=epoch, sequence=sequence)]

    def _drive(self, job: Job, state: messages.EngineState) -> Actions:
        if job.accepted or is_met(job.order, state):
            return self._finish(job, state, ok=True)
        meant = (job.ask.epoch, job.ask.sequence)
        if (
            (state.epoch, state.sequence) != meant
            or job.tries
            and not (job.unknown)
        ):
            return self._finish(job, state, ok=False)
        if job.tries >= const.ORDER_TRIES:
            self.settled = False
            return self._settle(state)
        job.tries += 1
        job.unknown = False
        return self._post(job.order, *meant)

    def _settle(self, state: messages.EngineState) -> Actions:
        """Move the sequence on by a far hold and its release."""
        far = state.passes + const.FAR_PASSES // 2
        if not state.group or 0 < state.held < far:
            # A hold of a switch: its release moves the sequence on.
            return self._settled(state)
        if state.held:
            release = messages.Release(at_pass=state.held)
            self._void_held = True
            return self._post(release, state.epoch, state.sequence)
        if self._void_held:
            return self._settled(state)
        hold = messages.Hold(at_pass=state.passes + const.FAR_PASSES)
        return self._post(hold, state.epoch, state.sequence)

    def _settled(self, state: messages.EngineState) -> Actions:
        self.settled = True
        self._void_held = False
        job = self._job
        if job is None:
            return []
        if job.tries:
            return self._finish(job, state, ok=is_met(job.order, state))
        return self._go_on()

    def _finish(
        self, job: Job, state: messages.EngineState, *, ok: bool
    ) -> Actions:
        done = messages.OrderDone(job.ask.number, self.term, ok, state)
        self._job = None
        self._done = done
        return [core.Send(dst=job.src, msg=done)]

    def _drop_job(self) -> None:
        if self._job is not None and self._job.tries:
            self.settled = False
        self._job = None


def is_met(order: messages.Order, state: messages.EngineState) -> bool:
    """Tell whether an engine is in the state that an order asks for."""
    match order:
        case messages.Prepare():
            return state.prepared == order.version
        case messages.Arm():
            armed = state.armed == order.version
            return armed and state.armed_at == order.at_pass
        case messages.Disarm():
            return state.armed != order.version
        case messages.Hold():
            return state.held == order.at_pass
        case messages.Release():
            return state.held != order.at_pass
