"""One proxied request: its connections, attempts and response."""

import asyncio
import math
from typing import TYPE_CHECKING

from jasperweir import result_codes
from jasperweir.components.directory import records
from jasperweir.components.forward import const
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import read_pauses
from jasperweir.components.forward import request_state
from jasperweir.components.forward import response_body
from jasperweir.components.forward import response_progress
from jasperweir.components.forward import version_audit
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import http_server

if TYPE_CHECKING:
    from jasperweir.components.forward import forwarder as forwarder_lib

Code = result_codes.Code
Fault = request_state.Fault


# Results that may change within seconds, so that waiting is worthwhile.
_WAITABLE_CODES = (Code.TARGETS_REFUSED, Code.NO_TARGET)


class Exchange:
    """A caller's request, its attempts at targets and its response.

    Attributes:
        number: Number of the request, unique in this process.
        answering: Response channel to the caller.
        service: Service that the request is routed to.
        state: State of the request and its retry rules.
        done: Whether the caller has its final response or has disconnected.
        first_byte_at: When the first byte of a response arrived, monotonic
            seconds; 0 before.
        longest_gap_s: Longest pause between two events, seconds.
        progress: Latest attempt: what has arrived and what ended it.
    """

    def __init__(
        self,
        *,
        number: int,
        forwarder: "forwarder_lib.Forwarder",
        answering: http_server.ResponseWriter,
        state: request_state.RequestState,
        service: str,
    ) -> None:
        self.number = number
        self.service = service
        self.state = state
        self.done = False
        self._forwarder = forwarder
        self.answering = answering
        self._target: records.Target | None = None
        self._conn: http_client.ClientConnection | None = None
        self._holds_slot = False
        self._is_counted_cold = False
        self._pauses = read_pauses.ReadPauses()
        self._connect_task: asyncio.Task[None] | None = None
        self._head: http_message.Head | None = None
        self._length: int | None = None
        self._body: response_body.ResponseBody | None = None
        # Whether an earlier attempt began an event that it didn't complete.
        self._expects_event = False
        self.progress = response_progress.ResponseProgress()
        self._sent_at = 0.0
        self._last_event_at = 0.0
        self.first_byte_at = 0.0
        self.longest_gap_s = 0.0
        loop = asyncio.get_running_loop()
        left_s = state.remaining_s(forwarder.now())
        self._timer = loop.call_later(left_s, self._on_timeout)
        answering.on_gone = self._on_caller_disconnected
        answering.on_paused = self._on_caller_slow
        answering.on_writable = self._on_caller_ready

    @property
    def request(self) -> http_message.Request:
        """The caller's request."""
        return self.answering.request

    @property
    def target_id(self) -> str:
        """Id of the target that has the request or had it last."""
        return self._target.target_id if self._target else ""

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for a target."""
        return not self.done and not self._holds_slot

    # Sending to a target.

    def send_to(
        self, target: records.Target, *, is_counted_cold: bool = False
    ) -> None:
        """Send the request to a target, over an idle or a new connection.

        Args:
            target: The target.
            is_counted_cold: Whether the request counts against the rate of a
                cold target.
        """
        self._target = target
        self.progress = response_progress.ResponseProgress(
            end=response_progress.End.UNSENT
        )
        self._is_counted_cold = is_counted_cold
        self._forwarder.balancer.begin(target.target_id)
        self._holds_slot = True
        max_idle_s = math.inf
        if not self.state.match.route.is_idempotent:
            max_idle_s = const.MAX_IDLE_SECONDS
        conn = self._forwarder.pool.acquire(_pool_key(target), max_idle_s)
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
            self._forwarder.pool.release(_pool_key(target), conn)
            return
        self._send_request(conn)

    def _send_request(self, conn: http_client.ClientConnection) -> None:
        assert self._target is not None
        now = self._forwarder.now()
        state = self.state
        if not self._forwarder.rematcher.is_settled(self):
            # Another version came into force while it was connecting.
            self._forwarder.pool.release(_pool_key(self._target), conn)
            self._release_slot()
            self._forwarder.outcomes.on_not_sent(self, "version changed")
            self._forwarder.retry(self)
            return
        targets = self._forwarder.targets
        if targets.is_closed(self._target, now) or not (
            self._is_counted_cold or targets.warmup.try_count(self._target, now)
        ):
            # Backpressure or an evacuation began, or the target turned cold,
            # while it was connecting.
            self._forwarder.pool.release(_pool_key(self._target), conn)
            self._release_slot()
            self._forwarder.outcomes.on_not_sent(self, "target closed or cold")
            self._apply(state.on_target_unavailable(self._target.target_id))
            return
        patience_s = state.remaining_s(now) - const.RESPONSE_MARGIN_SECONDS
        if patience_s < const.MIN_ATTEMPT_SECONDS:
            self._forwarder.pool.release(_pool_key(self._target), conn)
            self._release_slot()
            self._forwarder.outcomes.on_not_sent(self, "too little time left")
            self._apply(state.on_timeout(at_target=False))
            return
        dispatch = dialect_lib.TargetRequest(
            target_id=self._target.target_id,
            patience_s=patience_s,
            priority=min(state.match.priority, 9),
            customer=state.customer_name,
            resume_after=state.last_event_id,
        )
        req = self.request
        headers = self._forwarder.dialect.build_target_headers(req, dispatch)
        if req.body or req.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(req.body)))
        line = req.method + b" " + req.target + b" HTTP/1.1"
        state.on_sent(self._target.target_id)
        self._forwarder.version_audit.on_sent(
            version_audit.describe(self.request, state, self.service, now)
        )
        self.progress.on_sent()
        self._conn = conn
        self._sent_at = now
        conn.send(http_message.write_head(line, headers), self, req.body)
        if self._pauses.is_paused:
            conn.pause_reading()

    # Handling of the response.

    def on_head(self, head: http_message.Head, length: int | None) -> bool:
        """Handle the head of a target's response.

        Returns:
            False if the response belongs to another request.
        """
        target_head = self._forwarder.dialect.parse_response_head(head)
        if (
            target_head.request_id
            and target_head.request_id != self.state.caller_headers.request_id
        ):
            return False
        self.progress.framing = head.framing
        now = self._forwarder.now()
        if target_head.load is not None:
            self._forwarder.balancer.on_report(
                self.target_id, target_head.load, now
            )
        if self._target is not None and not target_head.other_target:
            self._forwarder.targets.warmup.on_answer(
                self._target, target_head.cold_s, now
            )
            self._forwarder.outcomes.on_signals(
                self._target, target_head.signals, self._sent_at
            )
        fault = self.state.classify_response(head.status, target_head)
        if fault is not None:
            hard = fault is Fault.REPLACED
            self._on_fault(fault, f"status {head.status}", hard=hard)
            return True
        if self._target is not None:
            self._forwarder.outcomes.on_accepted(self, self._target)
            self._forwarder.quarantine.on_response(self._target, self._sent_at)
        if head.status < 500:
            self._forwarder.balancer.succeeded(
                self.target_id, now - self._sent_at
            )
        else:
            self._forwarder.balancer.failed(self.target_id, now, hard=False)
        is_event_stream = (
            self.state.is_stream
            and 200 <= head.status < 300
            and response_body.is_event_stream(head.headers)
        )
        if self.state.response_started and not is_event_stream:
            self._on_fault(Fault.UNKNOWN, "no event stream", hard=False)
            return True
        self._body = self._create_body(head, is_event_stream)
        if not self.state.response_started:
            # A resumed stream keeps the first target's response head.
            self._head = head
            self._length = length
        return True

    def _create_body(
        self, head: http_message.Head, is_event_stream: bool
    ) -> response_body.ResponseBody:
        state = self.state
        if not state.response_started:
            has_body = head.framing is not http_message.Framing.NONE
            is_event_stream = is_event_stream and has_body
        return response_body.ResponseBody(
            progress=self.progress,
            is_event_stream=is_event_stream,
            last_event_id=state.last_event_id,
            expects_event=self._expects_event,
            continues_after=state.last_event_id
            if state.response_started
            else "",
        )

    def on_data(self, data: bytes) -> None:
        """Pass on complete events, or buffer a body until it is complete."""
        if self.done or self._conn is None or self._body is None:
            return
        now = self._forwarder.now()
        if not self.first_byte_at:
            self.first_byte_at = now
        ready = self._body.feed(data)
        if not ready:
            return
        if self.progress.on_data(now):
            self._report_answering()
        if self._body.repeats_events:
            self.progress.on_cut(response_progress.Cut.REPEATS_EVENTS)
            self._on_cut_off(response_progress.Cut.REPEATS_EVENTS.value)
            return
        if self._body.is_event_stream:
            self._record_gap()
        self.state.on_passed_on(
            self._body.last_event_id,
            has_resume_point=self._body.has_resume_point,
        )
        # Another run that continues a stream has a length of its own.
        self._pass_on(
            ready, None if self._body.is_event_stream else self._length
        )

    def _report_answering(self) -> None:
        if self.state.caller_headers.prompt_parts:
            self._forwarder.quarantine.on_answering(self)

    def _pass_on(self, data: bytes, length: int | None) -> None:
        """Send a part of the body to the caller, after the head.

        Args:
            data: The part.
            length: Bytes of the whole body, None if unknown.
        """
        if not self.state.response_started:
            assert self._head is not None
            self.state.response_started = True
            headers = http_message.end_to_end(self._head.headers)
            self.answering.start(self._head.status, headers, length)
        self.answering.send(data)

    def _record_gap(self) -> None:
        if self._pauses.is_paused:
            return
        now = self._forwarder.now()
        if self._last_event_at:
            gap_s = now - self._last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            self._forwarder.record_pause(self.service, self._target, gap_s)
        self._last_event_at = now

    def on_end(self) -> None:
        """Complete the caller's response, unless the target's is cut off."""
        conn, body = self._conn, self._body
        if self.done or conn is None or body is None or self._target is None:
            return
        self.progress.on_end()
        cut = body.find_cut()
        if cut is not None:
            self.progress.on_cut(cut)
            self._on_cut_off(cut.value)
            return
        self._forwarder.pool.release(_pool_key(self._target), conn)
        self._forwarder.outcomes.on_completed(self, self._sent_at)
        assert self._head is not None
        if self._head.status < 300:
            if not self.progress.is_settled:
                self.progress.began_at = (
                    self.progress.began_at or self._forwarder.now()
                )
                self._report_answering()
            self._forwarder.quarantine.on_completed(self)
        self._conn = None
        self._release_slot()
        rest = body.take_rest()
        if body.is_event_stream or self.state.response_started:
            self._pass_on(rest, None)
            self.answering.end()
        else:
            headers = http_message.end_to_end(self._head.headers)
            self.answering.reply(self._head.status, headers, rest)
        self._finish(f"answered {self._head.status}")

    def on_broken(self, reason: str) -> None:
        """Handle a connection that closed before the response was complete."""
        self.progress.on_broken(reason)
        self._on_cut_off(reason)

    def _on_cut_off(self, reason: str) -> None:
        """Handle a response that ended before it was complete."""
        if not self.done and self._pauses.was_held_up(self._forwarder.now()):
            # The target cut off an answer that was not read; it has no fault.
            self.progress.on_cut(response_progress.Cut.UNREAD)
            self._forwarder.responses.record_unread(self)
            self._release_target()
            self.state.may_have_run = True
            self._apply(self.state.fail(Code.BROKEN_OFF))
            return
        if not self.done and self._target is not None:
            self._forwarder.crash_detector.on_broken(
                self,
                self._target,
                self._sent_at,
                self._forwarder.quarantine.take_trial(self),
            )
        self._on_fault(Fault.UNKNOWN, reason, hard=False)

    # Backpressure of the caller.

    def _on_caller_slow(self) -> None:
        self._pauses.begin(self._forwarder.now())
        if self._conn is not None:
            self._conn.pause_reading()

    def _on_caller_ready(self) -> None:
        self._pauses.end(self._forwarder.now())
        # The pause was the caller's and says nothing about the target's passes.
        self._last_event_at = 0.0
        if self._conn is not None:
            self._conn.resume_reading()

    # Handling of faults.

    def _on_connect_failed(self, reason: str) -> None:
        self._on_fault(Fault.UNSENT, reason, hard=True)

    def _on_fault(self, fault: Fault, reason: str, *, hard: bool) -> None:
        if self.done or self._target is None:
            return
        now = self._forwarder.now()
        target = self._target
        self.progress.stop(response_progress.End.FAULT, reason)
        if hard:
            self._forwarder.pool.close_idle(_pool_key(target))
        if fault in (Fault.UNSENT, Fault.UNKNOWN):
            self._forwarder.balancer.failed(target.target_id, now, hard=hard)
        self._release_target()
        self._forwarder.outcomes.on_fault(self, target, fault)
        self._apply(self.state.on_fault(target.target_id, fault, now))

    def _release_target(self) -> None:
        """Disconnect from the target and drop its unfinished data."""
        self._close_connection()
        self._release_slot()
        self._head = self._head if self.state.response_started else None
        if self._body is not None:
            self._expects_event = self._body.has_open_event
            self._body = None

    @property
    def can_move(self) -> bool:
        """Whether a target has the request and another one may continue it."""
        return self._conn is not None and self.state.can_move

    @property
    def awaits_answer(self) -> bool:
        """Whether a target has the request and has not begun to answer it."""
        return self._conn is not None and not self.progress.began_at

    def leave_target(
        self, end: response_progress.End = response_progress.End.MOVED
    ) -> None:
        """Cancel the request at its target.

        Args:
            end: Why; by default it continues at another one.
        """
        self.progress.stop(end)
        self._report_abandoned()
        self._release_target()
        self.state.on_moved()

    def _report_abandoned(self) -> None:
        """Report an attempt that is cancelled before its response began."""
        if self.awaits_answer and self._target is not None:
            self._forwarder.crash_detector.on_abandoned(
                self, self._target, self._sent_at
            )

    def _apply(self, decision: request_state.Decision) -> None:
        match decision:
            case request_state.Retry():
                self._forwarder.retry(self)
            case request_state.Fail():
                if not self._try_wait(decision.code):
                    self.reject(decision.code)
            case request_state.Abort():
                self.answering.abort()
                self._finish(f"broken off: {decision.reason}")

    def fail(self, code: Code) -> None:
        """End the request without trying another target."""
        self._apply(self.state.fail(code))

    def _try_wait(self, code: Code) -> bool:
        if self.state.response_started or code not in _WAITABLE_CODES:
            return False
        return self._forwarder.admission.wait_for_targets(self)

    def reject(self, code: Code) -> None:
        """Send the caller a response with the entry's own result code."""
        if self.done:
            return
        self._close_connection()
        self._release_slot()
        self._forwarder.reject(self, code)
        self._finish(code.name.lower())

    def _on_timeout(self) -> None:
        if self.done:
            return
        waits_since = max(
            self._sent_at, self._last_event_at, self._pauses.resumed_at
        )
        self.progress.on_timeout(
            self._forwarder.now() - waits_since,
            is_caller_slow=self._pauses.is_paused,
        )
        self._forwarder.outcomes.on_timeout(self)
        at_target = self._conn is not None
        self._report_abandoned()
        self._close_connection()
        self._release_slot()
        self._apply(self.state.on_timeout(at_target=at_target))

    def _on_caller_disconnected(self) -> None:
        if self.done:
            return
        self.progress.stop(
            response_progress.End.CALLER,
            response_progress.CALLER_SLOW if self._pauses.is_paused else "",
        )
        self._report_abandoned()
        self._close_connection()
        self._release_slot()
        self._finish("caller gone")

    # Cleanup.

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _release_slot(self) -> None:
        """Release the request's slot at the target, at most once."""
        if self._target is not None and self._holds_slot:
            self._forwarder.balancer.finish(self.target_id)
            self._holds_slot = False
            self._forwarder.quarantine.on_attempt_ended(self)

    def _finish(self, outcome: str) -> None:
        self.done = True
        self._timer.cancel()
        self._forwarder.on_finished(self, outcome)


def _pool_key(target: records.Target) -> str:
    """Return the connection pool key of a target.

    It includes the start of the target because addresses are reused.
    """
    return f"{target.address}/{target.target_id}/{target.born}"
