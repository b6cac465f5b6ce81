"""One request on its way: drives sockets as the verdicts say."""

import asyncio
import math
from typing import TYPE_CHECKING

from jasperweir import result_codes
from jasperweir.components.directory import records
from jasperweir.components.forward import const
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import events as events_lib
from jasperweir.components.forward import life as life_lib
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import http_server

if TYPE_CHECKING:
    from jasperweir.components.forward import forwarder as forwarder_lib

Code = result_codes.Code
Fault = life_lib.Fault


# Refusals by targets that may end within a second or two.
_WAITABLE_CODES = (Code.TARGETS_REFUSED, Code.NO_TARGET)


class Exchange:
    """A caller's request, its sends to targets, and its answer.

    Attributes:
        number: Own number of the request.
        answering: Way back to the caller.
        service: Service that it goes to.
        life: Facts and rules of the request.
        done: Whether the caller has its final answer or has gone.
        first_byte_at: When the first byte of an answer arrived.
        longest_gap: Longest pause between two events, seconds.
    """

    def __init__(
        self,
        *,
        number: int,
        owner: "forwarder_lib.Forwarder",
        answering: http_server.Answering,
        life: life_lib.Life,
        service: str,
    ) -> None:
        self.number = number
        self.service = service
        self.life = life
        self.done = False
        self._forwarder = owner
        self.answering = answering
        self._target: records.Target | None = None
        self._conn: http_client.ClientConnection | None = None
        self._holds_slot = False
        self._connect_task: asyncio.Task[None] | None = None
        self._head: http_message.Head | None = None
        self._length: int | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._splitter = events_lib.EventSplitter(last_id=life.last_event_id)
        self._sent_at = 0.0
        self._last_event_at = 0.0
        self.first_byte_at = 0.0
        self.longest_gap_s = 0.0
        loop = asyncio.get_running_loop()
        left_s = life.remaining_s(owner.now())
        self._timer = loop.call_later(left_s, self._on_timeout)
        answering.on_gone = self._on_caller_disconnected

    @property
    def request(self) -> http_message.Request:
        """The caller's request."""
        return self.answering.request

    @property
    def target_id(self) -> str:
        """Incarnation that has the request, or had it last."""
        return self._target.target_id if self._target else ""

    # Sending.

    def send_to(self, target: records.Target) -> None:
        """Send the request to a target, over an idle connection or a new."""
        self._target = target
        self._forwarder.balancer.begin(target.target_id)
        self._holds_slot = True
        longest_rest = math.inf
        if not self.life.match.route.idempotent:
            longest_rest = const.MAX_IDLE_SECONDS
        conn = self._forwarder.pool.take(_pool_key(target), longest_rest)
        if conn is not None:
            self._send_request(conn)
            return
        self._connect_task = asyncio.get_running_loop().create_task(
            self._connect(target)
        )

    async def _connect(self, target: records.Target) -> None:
        try:
            conn = await self._forwarder.pool.open(target.address)
        except OSError as exc:
            self._connect_task = None
            if not self.done:
                self._on_connect_failed(str(exc))
            return
        self._connect_task = None
        if self.done:
            self._forwarder.pool.give(_pool_key(target), conn)
            return
        self._send_request(conn)

    def _send_request(self, conn: http_client.ClientConnection) -> None:
        assert self._target is not None
        now = self._forwarder.now()
        life = self.life
        if self._forwarder.targets.asked.bars(self._target, now):
            # It has asked for rest while the connection was opened.
            self._forwarder.pool.give(_pool_key(self._target), conn)
            self._release_slot()
            self._apply(life.on_target_unavailable(self._target.target_id))
            return
        patience = life.remaining_s(now) - const.RESPONSE_MARGIN_SECONDS
        if patience < const.MIN_ATTEMPT_SECONDS:
            self._forwarder.pool.give(_pool_key(self._target), conn)
            self._release_slot()
            self._apply(life.on_timeout(at_target=False))
            return
        sent = dialect_lib.Dispatch(
            target_id=self._target.target_id,
            patience_s=patience,
            priority=min(life.match.priority, 9),
            customer=life.customer_name,
            resume_after=life.last_event_id,
        )
        req = self.request
        headers = self._forwarder.dialect.dispatch(req, sent)
        if req.body or req.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(req.body)))
        line = req.method + b" " + req.target + b" HTTP/1.1"
        life.on_sent(self._target.target_id)
        self._conn = conn
        self._sent_at = now
        conn.send(http_message.write_head(line, headers) + req.body, self)

    # What a target answers.

    def on_head(self, head: http_message.Head, length: int | None) -> bool:
        """Judge the head of an answer; False if it is to another request."""
        found = self._forwarder.dialect.target_head(head)
        if found.request_id and found.request_id != self.life.ask.request_id:
            return False
        now = self._forwarder.now()
        if found.load is not None:
            self._forwarder.balancer.on_report(self.target_id, found.load, now)
        if self._target is not None and not found.other_target:
            self._forwarder.notes.on_signals(
                self._target, found.signals, self._sent_at
            )
        fault = self.life.classify_response(head.status, found)
        if fault is not None:
            hard = fault is Fault.REPLACED
            self._on_fault(fault, f"status {head.status}", hard=hard)
            return True
        if self._target is not None:
            self._forwarder.notes.on_accepted(self, self._target)
            self._forwarder.ends.on_response(self._target, self._sent_at)
        if head.status < 500:
            self._forwarder.balancer.succeeded(
                self.target_id, now - self._sent_at
            )
        else:
            self._forwarder.balancer.failed(self.target_id, now, hard=False)
        if self.life.response_started:
            # A resumed stream keeps the head of its first target.
            return True
        self._head = head
        self._length = length
        return True

    def on_data(self, data: bytes) -> None:
        """Pass on whole events, or hold a body until it is whole."""
        if self.done or self._conn is None:
            return
        if not self.first_byte_at:
            self.first_byte_at = self._forwarder.now()
        if self._is_event_stream:
            whole = self._splitter.feed(data)
            if whole:
                self._record_gap()
                self.life.last_event_id = self._splitter.last_id
                self._start_response(None)
                self.answering.send(whole)
            return
        if self.life.response_started:
            self.answering.send(data)
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > const.MAX_BUFFERED_BYTES:
            self._start_response(self._length)
            self.answering.send(b"".join(self._buffered))
            self._buffered = []

    def _record_gap(self) -> None:
        now = self._forwarder.now()
        if self._last_event_at:
            gap_s = now - self._last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            self._forwarder.record_pause(self.service, gap_s)
        self._last_event_at = now

    def on_end(self) -> None:
        """Complete the caller's answer."""
        conn = self._conn
        if self.done or conn is None or self._target is None:
            return
        self._forwarder.pool.give(_pool_key(self._target), conn)
        self._forwarder.notes.on_completed(self, self._sent_at)
        if self._head is not None and self._head.status < 300:
            self._forwarder.ends.on_completed(self)
        self._conn = None
        self._release_slot()
        if self._is_event_stream:
            self._start_response(None)
            self.answering.send(self._splitter.flush())
            self.answering.end()
        elif self.life.response_started:
            self.answering.end()
        else:
            assert self._head is not None
            self.answering.reply(
                self._head.status,
                http_message.end_to_end(self._head.headers),
                b"".join(self._buffered),
            )
        assert self._head is not None
        self._finish(f"answered {self._head.status}")

    def on_broken(self, reason: str) -> None:
        """Judge a connection that ended before the answer was whole."""
        if not self.done and self._target is not None:
            self._forwarder.ends.on_broken(self, self._target, self._sent_at)
        self._on_fault(Fault.UNKNOWN, reason, hard=False)

    @property
    def _is_event_stream(self) -> bool:
        if not self.life.is_stream:
            return False
        return self.life.response_started or (
            self._head is not None and 200 <= self._head.status < 300
        )

    def _start_response(self, length: int | None) -> None:
        if self.life.response_started:
            return
        assert self._head is not None
        self.life.response_started = True
        headers = http_message.end_to_end(self._head.headers)
        self.answering.start(self._head.status, headers, length)

    # What goes wrong.

    def _on_connect_failed(self, reason: str) -> None:
        self._on_fault(Fault.UNSENT, reason, hard=True)

    def _on_fault(self, fault: Fault, reason: str, *, hard: bool) -> None:
        if self.done or self._target is None:
            return
        now = self._forwarder.now()
        target = self._target
        if hard:
            self._forwarder.pool.drop(_pool_key(target))
        if fault in (Fault.UNSENT, Fault.UNKNOWN):
            self._forwarder.balancer.failed(target.target_id, now, hard=hard)
        self._release_target()
        self._forwarder.notes.on_fault(self, target, fault, reason)
        self._apply(self.life.on_fault(target.target_id, fault, now))

    def _release_target(self) -> None:
        """Let go of the target; whole events that came from it stay."""
        self._close_connection()
        self._release_slot()
        self._head = self._head if self.life.response_started else None
        self._buffered, self._buffered_bytes = [], 0
        self._splitter = events_lib.EventSplitter(
            last_id=self.life.last_event_id
        )

    @property
    def can_move(self) -> bool:
        """Whether it is at a target now and may go on at another."""
        return self._conn is not None and self.life.can_move

    def leave_target(self) -> None:
        """Stop the work at the target, to go on with it at another."""
        self._release_target()
        self.life.on_moved()

    def _apply(self, verdict: life_lib.Decision) -> None:
        match verdict:
            case life_lib.Retry():
                self._forwarder.retry(self)
            case life_lib.Fail():
                if not self._try_wait(verdict.code):
                    self.reject(verdict.code)
            case life_lib.Abort():
                self.answering.abort()
                self._finish(f"broken off: {verdict.reason}")

    def fail(self, code: Code) -> None:
        """End a request for which no other target is to be tried."""
        self._apply(self.life.fail(code))

    def _try_wait(self, code: Code) -> bool:
        if self.life.response_started or code not in _WAITABLE_CODES:
            return False
        return self._forwarder.admission.wait_for_targets(self)

    def reject(self, code: Code) -> None:
        """Give the caller a numbered answer of our own."""
        if self.done:
            return
        self._close_connection()
        self._release_slot()
        self._forwarder.reject(self, code)
        self._finish(code.name.lower())

    def _on_timeout(self) -> None:
        if self.done:
            return
        self._forwarder.notes.on_timeout(self)
        at_target = self._conn is not None
        self._close_connection()
        self._release_slot()
        self._apply(self.life.on_timeout(at_target=at_target))

    def _on_caller_disconnected(self) -> None:
        if self.done:
            return
        self._close_connection()
        self._release_slot()
        self._finish("caller gone")

    # Ends.

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _release_slot(self) -> None:
        """Give the place at the target back, once."""
        if self._target is not None and self._holds_slot:
            self._forwarder.balancer.finish(self.target_id)
            self._holds_slot = False

    def _finish(self, outcome: str) -> None:
        self.done = True
        self._timer.cancel()
        self._forwarder.on_finished(self, outcome)


def _pool_key(target: records.Target) -> str:
    """Connections belong to an incarnation: addresses are used again."""
    return f"{target.address}/{target.target_id}/{target.born}"
