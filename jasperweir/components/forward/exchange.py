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
_WAITABLE = (Code.TARGETS_REFUSED, Code.NO_TARGET)


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
        answering: http_server.ResponseWriter,
        life: life_lib.Life,
        service: str,
    ) -> None:
        self.number = number
        self.service = service
        self.life = life
        self.done = False
        self._owner = owner
        self.answering = answering
        self._target: records.Target | None = None
        self._conn: http_client.ClientConnection | None = None
        self._holds_place = False
        self._opening: asyncio.Task[None] | None = None
        self._head: http_message.Head | None = None
        self._length: int | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._splitter = events_lib.EventSplitter(last_id=life.last_event)
        self._sent_at = 0.0
        self._event_at = 0.0
        self.first_byte_at = 0.0
        self.longest_gap = 0.0
        loop = asyncio.get_running_loop()
        left_s = life.remaining(owner.now())
        self._timer = loop.call_later(left_s, self._on_time_up)
        answering.on_gone = self._on_gone

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
        self._owner.balancer.begin(target.target_id)
        self._holds_place = True
        longest_rest = math.inf
        if not self.life.match.route.idempotent:
            longest_rest = const.REST_SECONDS
        conn = self._owner.pool.acquire(_pool_key(target), longest_rest)
        if conn is not None:
            self._write(conn)
            return
        self._opening = asyncio.get_running_loop().create_task(
            self._open(target)
        )

    async def _open(self, target: records.Target) -> None:
        try:
            conn = await self._owner.pool.open(target.address)
        except OSError as exc:
            self._opening = None
            if not self.done:
                self._on_unsent(str(exc))
            return
        self._opening = None
        if self.done:
            self._owner.pool.release(_pool_key(target), conn)
            return
        self._write(conn)

    def _write(self, conn: http_client.ClientConnection) -> None:
        assert self._target is not None
        now = self._owner.now()
        life = self.life
        if self._owner.targets.asked.bars(self._target, now):
            # It has asked for rest while the connection was opened.
            self._owner.pool.release(_pool_key(self._target), conn)
            self._release()
            self._act(life.on_barred(self._target.target_id))
            return
        patience = life.remaining(now) - const.ANSWER_MARGIN_SECONDS
        if patience < const.RETRY_LEAST_SECONDS:
            self._owner.pool.release(_pool_key(self._target), conn)
            self._release()
            self._act(life.on_time_up(at_target=False))
            return
        sent = dialect_lib.Dispatch(
            target_id=self._target.target_id,
            patience_s=patience,
            priority=min(life.match.priority, 9),
            customer=life.customer_name,
            resume_after=life.last_event,
        )
        req = self.request
        headers = self._owner.dialect.dispatch(req, sent)
        if req.body or req.method not in (b"GET", b"HEAD"):
            headers.append((b"content-length", b"%d" % len(req.body)))
        line = req.method + b" " + req.target + b" HTTP/1.1"
        life.sent(self._target.target_id)
        self._conn = conn
        self._sent_at = now
        conn.send(http_message.write_head(line, headers) + req.body, self)

    # What a target answers.

    def on_head(self, head: http_message.Head, length: int | None) -> bool:
        """Judge the head of an answer; False if it is to another request."""
        found = self._owner.dialect.target_head(head)
        if found.request_id and found.request_id != self.life.ask.request_id:
            return False
        now = self._owner.now()
        if found.load is not None:
            self._owner.balancer.on_report(self.target_id, found.load, now)
        if self._target is not None and not found.other_target:
            self._owner.notes.signals(
                self._target, found.signals, self._sent_at
            )
        fault = self.life.judge_head(head.status, found)
        if fault is not None:
            hard = fault is Fault.REPLACED
            self._on_fault(fault, f"status {head.status}", hard=hard)
            return True
        if self._target is not None:
            self._owner.notes.taken(self, self._target)
            self._owner.ends.on_answer(self._target, self._sent_at)
        if head.status < 500:
            self._owner.balancer.succeeded(self.target_id, now - self._sent_at)
        else:
            self._owner.balancer.failed(self.target_id, now, hard=False)
        if self.life.started:
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
            self.first_byte_at = self._owner.now()
        if self._passes_events:
            whole = self._splitter.feed(data)
            if whole:
                self._note_gap()
                self.life.last_event = self._splitter.last_id
                self._begin_answer(None)
                self.answering.send(whole)
            return
        if self.life.started:
            self.answering.send(data)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > const.HOLD_BYTES:
            self._begin_answer(self._length)
            self.answering.send(b"".join(self._held))
            self._held = []

    def _note_gap(self) -> None:
        now = self._owner.now()
        if self._event_at:
            gap_s = now - self._event_at
            self.longest_gap = max(self.longest_gap, gap_s)
            self._owner.note_pause(self.service, gap_s)
        self._event_at = now

    def on_end(self) -> None:
        """Complete the caller's answer."""
        conn = self._conn
        if self.done or conn is None or self._target is None:
            return
        self._owner.pool.release(_pool_key(self._target), conn)
        self._owner.notes.whole(self, self._sent_at)
        if self._head is not None and self._head.status < 300:
            self._owner.ends.on_whole(self)
        self._conn = None
        self._release()
        if self._passes_events:
            self._begin_answer(None)
            self.answering.send(self._splitter.rest())
            self.answering.end()
        elif self.life.started:
            self.answering.end()
        else:
            assert self._head is not None
            self.answering.reply(
                self._head.status,
                http_message.end_to_end(self._head.headers),
                b"".join(self._held),
            )
        assert self._head is not None
        self._close(f"answered {self._head.status}")

    def on_broken(self, reason: str) -> None:
        """Judge a connection that ended before the answer was whole."""
        if not self.done and self._target is not None:
            self._owner.ends.on_broken(self, self._target, self._sent_at)
        self._on_fault(Fault.UNKNOWN, reason, hard=False)

    @property
    def _passes_events(self) -> bool:
        if not self.life.is_stream:
            return False
        return self.life.started or (
            self._head is not None and 200 <= self._head.status < 300
        )

    def _begin_answer(self, length: int | None) -> None:
        if self.life.started:
            return
        assert self._head is not None
        self.life.started = True
        headers = http_message.end_to_end(self._head.headers)
        self.answering.start(self._head.status, headers, length)

    # What goes wrong.

    def _on_unsent(self, reason: str) -> None:
        self._on_fault(Fault.UNSENT, reason, hard=True)

    def _on_fault(self, fault: Fault, reason: str, *, hard: bool) -> None:
        if self.done or self._target is None:
            return
        now = self._owner.now()
        target = self._target
        if hard:
            self._owner.pool.close_idle(_pool_key(target))
        if fault in (Fault.UNSENT, Fault.UNKNOWN):
            self._owner.balancer.failed(target.target_id, now, hard=hard)
        self._detach()
        self._owner.notes.fault(self, target, fault, reason)
        self._act(self.life.on_fault(target.target_id, fault, now))

    def _detach(self) -> None:
        """Let go of the target; whole events that came from it stay."""
        self._drop_conn()
        self._release()
        self._head = self._head if self.life.started else None
        self._held, self._held_bytes = [], 0
        self._splitter = events_lib.EventSplitter(last_id=self.life.last_event)

    @property
    def may_move(self) -> bool:
        """Whether it is at a target now and may go on at another."""
        return self._conn is not None and self.life.may_move

    def leave_target(self) -> None:
        """Stop the work at the target, to go on with it at another."""
        self._detach()
        self.life.moved()

    def _act(self, verdict: life_lib.Verdict) -> None:
        match verdict:
            case life_lib.SendAgain():
                self._owner.send_again(self)
            case life_lib.GiveUp():
                if not self._may_wait(verdict.code):
                    self.refuse(verdict.code)
            case life_lib.BreakOff():
                self.answering.abort()
                self._close(f"broken off: {verdict.reason}")

    def give_up(self, code: Code) -> None:
        """End a request for which no other target is to be tried."""
        self._act(self.life.give_up(code))

    def _may_wait(self, code: Code) -> bool:
        if self.life.started or code not in _WAITABLE:
            return False
        return self._owner.waiting.for_targets(self)

    def refuse(self, code: Code) -> None:
        """Give the caller a numbered answer of our own."""
        if self.done:
            return
        self._drop_conn()
        self._release()
        self._owner.refuse(self, code)
        self._close(code.name.lower())

    def _on_time_up(self) -> None:
        if self.done:
            return
        self._owner.notes.time_up(self)
        at_target = self._conn is not None
        self._drop_conn()
        self._release()
        self._act(self.life.on_time_up(at_target=at_target))

    def _on_gone(self) -> None:
        if self.done:
            return
        self._drop_conn()
        self._release()
        self._close("caller gone")

    # Ends.

    def _drop_conn(self) -> None:
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _release(self) -> None:
        """Give the place at the target back, once."""
        if self._target is not None and self._holds_place:
            self._owner.balancer.finish(self.target_id)
            self._holds_place = False

    def _close(self, outcome: str) -> None:
        self.done = True
        self._timer.cancel()
        self._owner.closed(self, outcome)


def _pool_key(target: records.Target) -> str:
    """Connections belong to an incarnation: addresses are used again."""
    return f"{target.address}/{target.target_id}/{target.born}"
