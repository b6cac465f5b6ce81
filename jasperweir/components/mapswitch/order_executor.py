"""Executes orders at one engine; sans-I/O.

Used by the agent on the engine's VM, by the entry that sends holds, and by the
leader for engines whose agents do not answer. An order without an answer may
have been accepted or may take effect seconds later: it is posted again until
the engine is in the ordered state. The group's state machine handles the
effects of delayed orders.
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
    """Action: post an order to the engine; ``on_answer`` follows."""

    order: messages.Order
    epoch: int
    sequence: int | None


@dataclasses.dataclass(kw_only=True, slots=True)
class OrderJob:
    """The order that is being executed.

    Attributes:
        src: Leader that sent it.
        request: The request as received.
        order: The order.
        attempts: Number of posts and of failed reads.
        refused: Whether the engine has refused it.
    """

    src: str
    request: messages.OrderRequest
    order: messages.Order
    attempts: int = 0
    refused: bool = False


class OrderExecutor:
    """Executes one order at a time; a newer one replaces it.

    Attributes:
        term: Highest term seen; orders of lower ones are refused.
    """

    def __init__(self, *, reads_are_fresh: bool = True) -> None:
        """Create an executor without an order.

        Args:
            reads_are_fresh: Whether the engine's reports show its current
                state, as they do on its own VM. On other VMs they lag, and
                only the answers to orders are used.
        """
        self.term = 0
        self._reads_are_fresh = reads_are_fresh
        self._job: OrderJob | None = None
        self._last_result: messages.OrderResult | None = None
        # Whether the result of a read or a post is awaited.
        self._is_action_pending = False

    # Inputs.

    def on_term(self, term: int) -> None:
        """Adopt a higher term; an order of an older one is dropped."""
        if term > self.term:
            self.term = term
            self._job = None
            self._last_result = None

    def on_order(self, src: str, request: messages.OrderRequest) -> Actions:
        """Handle an order."""
        self.on_term(request.term)
        if request.term < self.term:
            result = messages.OrderResult(
                request.number, self.term, False, None
            )
            return [core.Send(dst=src, msg=result)]
        if (
            self._last_result is not None
            and self._last_result.number == request.number
        ):
            return [core.Send(dst=src, msg=self._last_result)]
        if self._job is not None and self._job.request.number >= request.number:
            return []
        if (
            self._last_result is not None
            and self._last_result.number > request.number
        ):
            return []
        order = codec.unpack_tagged(request.order)
        self._job = OrderJob(src=src, request=request, order=order)
        return self._continue(self._job)

    def on_read(self, state: messages.EngineState | None) -> Actions:
        """Handle the engine's state, None if it could not be read."""
        self._is_action_pending = False
        job = self._job
        if job is None:
            return []
        if state is None:
            job.attempts += 1
            if job.attempts >= const.MAX_ORDER_ATTEMPTS:
                return self._finish(job, None, ok=False)
            return self._continue(job)
        if is_satisfied(job.order, state):
            return self._finish(job, state, ok=True)
        is_exhausted = job.attempts >= const.MAX_ORDER_ATTEMPTS
        if job.refused or is_exhausted or state.epoch != job.request.epoch:
            return self._finish(job, state, ok=False)
        return self._post(job, state.epoch, state.sequence)

    def on_answer(self, order: messages.Order, status: int | None) -> Actions:
        """Handle the status of a posted order, None for no answer."""
        self._is_action_pending = False
        job = self._job
        if job is None:
            return []
        if job.order is order and status is not None:
            accepted = status in (200, 202)
            job.refused = not accepted
            if accepted or not self._reads_are_fresh:
                # Reported without another read, since this VM may fail first.
                return self._finish(job, None, ok=accepted)
        return self._continue(job)

    def _continue(self, job: OrderJob) -> Actions:
        if self._is_action_pending:
            return []
        if self._reads_are_fresh:
            self._is_action_pending = True
            return [ReadState()]
        if job.attempts >= const.MAX_ORDER_ATTEMPTS:
            return self._finish(job, None, ok=False)
        return self._post(job, job.request.epoch, None)

    def _post(self, job: OrderJob, epoch: int, sequence: int | None) -> Actions:
        job.attempts += 1
        self._is_action_pending = True
        return [PostOrder(order=job.order, epoch=epoch, sequence=sequence)]

    def _finish(
        self, job: OrderJob, state: messages.EngineState | None, *, ok: bool
    ) -> Actions:
        result = messages.OrderResult(job.request.number, self.term, ok, state)
        self._job = None
        self._last_result = result
        return [core.Send(dst=job.src, msg=result)]


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
            # Copying may still be in progress.
            return state


def is_satisfied(order: messages.Order, state: messages.EngineState) -> bool:
    """Return whether an engine is in the state that an order requires."""
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
