"""Carry out orders at one engine; sans-I/O.

Used by the agent on the engine's VM, and by the leader itself for engines
whose agents do not answer. An order that gets no answer may have been
accepted, or may be carried out seconds later: it is posted again until the
engine's state is the one asked for. What a late copy may still do is the
coordinator's care.
"""

import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages
from jasperweir.helpers import codec

Actions = list[Any]


class ReadState(NamedTuple):
    """Action: read the engine's state; ``on_read`` follows."""


class PostOrder(NamedTuple):
    """Action: send an order to the engine; ``on_answer`` follows."""

    order: messages.Order
    epoch: int
    sequence: int | None


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """The order that is being carried out.

    Attributes:
        src: Leader that sent it.
        ask: The order as it came.
        order: The order.
        tries: How often it was posted or the engine could not be read.
        refused: Whether the engine has refused it.
    """

    src: str
    ask: messages.OrderRequest
    order: messages.Order
    tries: int = 0
    refused: bool = False


class OrderExecutor:
    """Carry out one order at a time; a newer one takes its place.

    Attributes:
        term: Highest term seen; orders of lower ones are refused.
    """

    def __init__(self, *, reads_are_fresh: bool = True) -> None:
        """Begin without an order.

        Args:
            reads_are_fresh: Whether the engine's reports show its present
                state, as they do on its own VM. From elsewhere they lag, and
                only the answers to orders tell.
        """
        self.term = 0
        self._reads_are_fresh = reads_are_fresh
        self._job: Job | None = None
        self._done: messages.OrderResult | None = None
        # Whether a read or a post is under way.
        self._is_action_pending = False

    # Inputs.

    def on_term(self, term: int) -> None:
        """Take note of a leader's term; orders of older ones end."""
        if term > self.term:
            self.term = term
            self._job = None
            self._done = None

    def on_order(self, src: str, ask: messages.OrderRequest) -> Actions:
        """Take in an order."""
        self.on_term(ask.term)
        if ask.term < self.term:
            done = messages.OrderResult(ask.number, self.term, False, None)
            return [core.Send(dst=src, msg=done)]
        if self._done is not None and self._done.number == ask.number:
            return [core.Send(dst=src, msg=self._done)]
        if self._job is not None and self._job.ask.number >= ask.number:
            return []
        if self._done is not None and self._done.number > ask.number:
            return []
        order = codec.unpack_tagged(ask.order)
        self._job = Job(src=src, ask=ask, order=order)
        return self._continue(self._job)

    def on_read(self, state: messages.EngineState | None) -> Actions:
        """Take in the engine's state, None if it could not be read."""
        self._is_action_pending = False
        job = self._job
        if job is None:
            return []
        if state is None:
            job.tries += 1
            if job.tries >= const.MAX_ORDER_ATTEMPTS:
                return self._finish(job, None, ok=False)
            return self._continue(job)
        if is_satisfied(job.order, state):
            return self._finish(job, state, ok=True)
        spent = job.tries >= const.MAX_ORDER_ATTEMPTS
        if job.refused or spent or state.epoch != job.ask.epoch:
            return self._finish(job, state, ok=False)
        return self._post(job, state.epoch, state.sequence)

    def on_answer(self, order: messages.Order, status: int | None) -> Actions:
        """Take in the status of a posted order, None for no answer."""
        self._is_action_pending = False
        job = self._job
        if job is None:
            return []
        if job.order is order and status is not None:
            accepted = status in (200, 202)
            job.refused = not accepted
            if accepted or not self._reads_are_fresh:
                # At once: this VM may be gone a moment later.
                return self._finish(job, None, ok=accepted)
        return self._continue(job)

    def _continue(self, job: Job) -> Actions:
        if self._is_action_pending:
            return []
        if self._reads_are_fresh:
            self._is_action_pending = True
            return [ReadState()]
        if job.tries >= const.MAX_ORDER_ATTEMPTS:
            return self._finish(job, None, ok=False)
        return self._post(job, job.ask.epoch, None)

    def _post(self, job: Job, epoch: int, sequence: int | None) -> Actions:
        job.tries += 1
        self._is_action_pending = True
        return [PostOrder(order=job.order, epoch=epoch, sequence=sequence)]

    def _finish(
        self, job: Job, state: messages.EngineState | None, *, ok: bool
    ) -> Actions:
        done = messages.OrderResult(job.ask.number, self.term, ok, state)
        self._job = None
        self._done = done
        return [core.Send(dst=job.src, msg=done)]


def state_after(
    order: messages.Order, state: messages.EngineState
) -> messages.EngineState:
    """Return an engine's state after it has accepted an order."""
    match order:
        case messages.Arm():
            return state._replace(armed=order.version, armed_at=order.at_pass)
        case messages.Disarm():
            return state._replace(armed=0, armed_at=0)
        case messages.Hold():
            return state._replace(held=order.at_pass)
        case messages.Release():
            return state._replace(held=0)
        case messages.Prepare():
            # The copies may still be under way.
            return state


def is_satisfied(order: messages.Order, state: messages.EngineState) -> bool:
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
