"""Driver of one request, with HTTP and the entry's actor."""

from collections.abc import Iterator
import threading
import time

import urllib3

from jasperweir import result_codes
from jasperweir.components.claims import const as claim_const
from jasperweir.components.claims import messages as claim_messages
from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import dispatcher
from jasperweir.components.entry import driver_context as context_lib
from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.entry import quarantine_gate
from jasperweir.components.entry import timing
from jasperweir.components.limits import admission as admission_lib
from jasperweir.components.request import actions
from jasperweir.components.request import const
from jasperweir.components.request import events
from jasperweir.components.request import state_machine as state_machine_lib
from jasperweir.components.runs import const as run_const
from jasperweir.helpers import event_stream
from jasperweir.helpers import web

Code = result_codes.Code
H_REQUEST_ID = "Jasperweir-Request-Id"
H_RUN = "Jasperweir-Run"
# Content types of an answer whose target stated none.
UNSTATED_TYPES = ("", "application/octet-stream")


class AnswerBrokenError(Exception):
    """Aborts the caller's connection, to mark an answer as incomplete."""


class RequestDriver:
    """Performs the actions of a request in the thread of its caller."""

    def __init__(
        self,
        *,
        context: context_lib.DriverContext,
        request: request_lib.ParsedRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._started = context.now()
        self._deadline = self._started + request.deadline_s
        self._state_machine = state_machine_lib.RequestStateMachine(
            rid=request.rid,
            keyed=request.keyed,
            first=request.is_first_try,
            budget=context.entry.budget,
        )
        self._stream: agent_client_lib.Stream | None = None
        self._relayed_bytes = 0
        self._timing = timing.AnswerTiming(
            started=self._started, spec=request.spec
        )
        self._dispatcher = dispatcher.Dispatcher(
            context=context,
            request=request,
            deadline=self._deadline,
            timing=self._timing,
            on_hedged=self._state_machine.switch_to_hedge,
        )
        self._quarantine = quarantine_gate.QuarantineGate(
            context=context, request=request
        )
        # What the caller received, over all attempts.
        self._relayed_stream = event_stream.TerminatedStream()
        self._stored_chunks: list[bytes] = []
        self._has_ended = False

    def serve(self) -> web.Resp:
        """Return the response; the body of a stream is generated later."""
        action = self._state_machine.handle(self._admit())
        while True:
            match action:
                case actions.Relay() if self._request.streamed:
                    return self._stream_response()
                case actions.Relay():
                    action = self._state_machine.handle(self._read_answer())
                case actions.Finish():
                    return self._complete_response()
                case actions.Replay():
                    return self._replay_response(action.record)
                case actions.Answer():
                    return self._error_response(action)
                case _:
                    action = self._state_machine.handle(self._perform(action))

    # Actions before the answer.

    def _admit(self) -> events.Event:
        denied = self._quarantine.check(is_sending=False)
        if denied is not None:
            return denied
        done = threading.Event()
        verdicts: list[admission_lib.Verdict] = []

        def on_verdict(verdict: admission_lib.Verdict) -> None:
            verdicts.append(verdict)
            done.set()

        admission_request = admission_lib.AdmissionRequest(
            rid=self._request.rid,
            customer=self._request.customer.name,
            weight=self._request.customer.weight,
            priority=self._request.priority,
            deadline=self._deadline,
            min_service_s=const.MIN_SERVICE_SECONDS,
        )
        entry = self._context.entry
        service = self._request.spec.name
        self._context.call(
            lambda: entry.admit(
                service, admission_request, on_verdict, self._context.now()
            )
        )
        done.wait(max(self._deadline - self._context.now(), 0) + 1.0)
        match verdicts:
            case [admission_lib.Admit()]:
                return events.Admitted()
            case [admission_lib.Refuse() as refuse]:
                return events.Denied(
                    code=refuse.code, retry_after=refuse.retry_after
                )
        return events.Expired()

    def _perform(self, action: actions.Action) -> events.Event:
        remaining = self._deadline - self._context.now()
        if remaining <= 0:
            return events.Expired()
        match action:
            case actions.Pick():
                denied = self._quarantine.check(is_sending=True)
                return denied or self._dispatcher.choose_target(action.exclude)
            case actions.Reserve():
                assert self._dispatcher.target is not None
                return self._to_event(
                    self._context.agent_client.reserve(
                        action.rid,
                        self._request.spec.name,
                        self._dispatcher.target,
                    )
                )
            case actions.Claim():
                return self._claim(action, remaining)
            case actions.Run():
                result = self._dispatcher.run(action.rid, remaining)
                target = self._dispatcher.target
                if target is not None:
                    self._quarantine.record_result(
                        result, target.name, target.inc
                    )
                return self._to_event(result)
            case actions.Attach():
                return self._attach(action, remaining)
            case actions.Revoke():
                target = agent_client_lib.Target(
                    action.target, action.target_inc, action.http
                )
                return self._to_event(
                    self._context.agent_client.revoke(
                        action.rid, self._request.spec.name, target
                    )
                )
        raise AssertionError(f"unhandled action {action}")

    def _claim(self, action: actions.Claim, remaining: float) -> events.Event:
        assert self._dispatcher.target is not None
        record = claim_messages.Record(
            key=self._request.key,
            digest=self._request.digest,
            rid=action.rid,
            target=self._dispatcher.target.name,
            target_inc=self._dispatcher.target.inc,
            http=self._dispatcher.target.http,
        )
        done = threading.Event()
        replies: list[claim_messages.ClaimReply] = []

        def on_reply(reply: claim_messages.ClaimReply) -> None:
            replies.append(reply)
            done.set()

        now = self._context.now()
        timeout_s = min(remaining, const.CLAIM_TIMEOUT_SECONDS)
        entry = self._context.entry
        self._context.call(
            lambda: self._context.perform(
                entry.claim(
                    record=record,
                    expect=action.expect,
                    done=on_reply,
                    deadline=now + timeout_s,
                    now=now,
                )
            )
        )
        done.wait(timeout_s + 1.0)
        blind_reply = claim_messages.ClaimReply(
            epoch=0, ask_id="", verdict=claim_const.BLIND, record=None
        )
        reply = replies[0] if replies else blind_reply
        self._context.increment("claims", verdict=reply.verdict)
        if reply.verdict != claim_const.GRANTED:
            self._release_reservation(action.rid, self._dispatcher.target)
        return events.Claimed(verdict=reply.verdict, record=reply.record)

    def _release_reservation(
        self, rid: str, target: agent_client_lib.Target
    ) -> None:
        """Free a reserved slot in the background."""
        service = self._request.spec.name
        threading.Thread(
            target=self._context.agent_client.revoke,
            args=(rid, service, target),
            name="release-reservation",
            daemon=True,
        ).start()

    def _attach(self, action: actions.Attach, remaining: float) -> events.Event:
        target = agent_client_lib.Target(
            action.target, action.target_inc, action.http
        )
        self._context.increment("resumes")
        time.sleep(min(action.pause, remaining))
        result = self._context.agent_client.attach(
            action.rid, action.offset, target, remaining
        )
        self._quarantine.record_result(result, target.name, target.inc)
        return self._to_event(result)

    def _to_event(self, result: agent_client_lib.Result) -> events.Event:
        if isinstance(result, agent_client_lib.Stream):
            self._stream = result
            return events.Head()
        if isinstance(result, events.Refused):
            self._record_refusal(result)
        failed = isinstance(
            result, events.Unsent | events.Broke | events.OtherIncarnation
        )
        if failed and self._dispatcher.target is not None:
            name = self._dispatcher.target.name
            now = self._context.now()
            self._context.tell(
                lambda: self._context.entry.router.record_failure(name, now)
            )
            if isinstance(result, events.Broke) and self._context.now() >= (
                self._deadline
            ):
                return events.Expired()
        return result

    def _record_refusal(self, refused: events.Refused) -> None:
        """Report to router and admission that a target refused."""
        entry, now = self._context.entry, self._context.now()
        if refused.reason == run_const.REFUSED_FULL:
            service = self._request.spec.name
            self._context.tell(lambda: entry.record_congestion(service, now))
        if self._dispatcher.target is not None:
            name = self._dispatcher.target.name
            self._context.tell(lambda: entry.router.record_refusal(name, now))

    # The answer.

    def _read_answer(self) -> events.Event:
        """Read a complete answer that is not streamed."""
        assert self._stream is not None
        self._stored_chunks = []
        try:
            for chunk in self._stream.chunks:
                self._timing.record_chunk(self._context.now())
                self._stored_chunks.append(chunk)
        except (urllib3.exceptions.HTTPError, OSError):
            self._stream.close()
            if self._context.now() >= self._deadline:
                return events.Expired()
            return events.Broke(relayed=0)
        if event_stream.is_event_stream(self._stream.content_type):
            stream = event_stream.TerminatedStream()
            stream.feed(b"".join(self._stored_chunks))
            if not stream.is_complete:
                return events.Broke(relayed=0, ended=True)
        return events.Whole()

    def _stream_response(self) -> web.Resp:
        assert self._stream is not None
        headers = self._headers(Code.OK)
        headers.append(("Content-Type", self._stream.content_type))
        headers.append(("Cache-Control", "no-store"))
        return web.Resp(self._stream.status, headers, self._relay())

    def _relay(self) -> Iterator[bytes]:
        """Yield the chunks of a stream, resuming it after failures."""
        action: actions.Action = actions.Relay()
        try:
            while not self._state_machine.ended:
                if isinstance(action, actions.Relay):
                    yield from self._relay_stream()
                    action = self._state_machine.handle(self._relay_end)
                else:
                    action = self._state_machine.handle(self._perform(action))
            match action:
                case actions.Finish():
                    self._record_end(Code.OK)
                case actions.Replay():
                    yield action.record.answer
                    self._record_end(Code.REPLAYED)
                case actions.Answer():
                    if self._relayed_stream.is_between_events:
                        # It would complete an event that was cut off.
                        yield _error_event(action)
                    self._record_end(action.code)
                    raise AnswerBrokenError(action.code.name)
        finally:
            if not self._has_ended:
                self._state_machine.handle(events.CallerLeft())
                self._record_end(Code.CANCELLED)

    def _relay_stream(self) -> Iterator[bytes]:
        assert self._stream is not None
        self._relay_end: events.Event = events.Broke(
            relayed=self._relayed_bytes
        )
        stream = self._stream
        try:
            for chunk in stream.chunks:
                self._timing.record_chunk(self._context.now())
                self._relayed_bytes += len(chunk)
                self._relayed_stream.feed(chunk)
                if self._request.keyed:
                    self._store_chunk(chunk)
                yield chunk
                if self._timing.last_chunk_at >= self._deadline:
                    stream.close()
                    self._relay_end = events.Expired()
                    return
        except (urllib3.exceptions.HTTPError, OSError):
            stream.close()
            self._relay_end = events.Broke(relayed=self._relayed_bytes)
            if self._context.now() >= self._deadline:
                self._relay_end = events.Expired()
            return
        except GeneratorExit:
            stream.close()
            raise
        if self._relayed_stream.is_complete or not _has_terminator(stream):
            self._relay_end = events.Whole()
        else:
            self._relay_end = events.Broke(
                relayed=self._relayed_bytes, ended=True
            )

    def _store_chunk(self, chunk: bytes) -> None:
        if self._relayed_bytes <= claim_const.MAX_ANSWER_BYTES:
            self._stored_chunks.append(chunk)
        else:
            self._stored_chunks = []

    def _complete_response(self) -> web.Resp:
        assert self._stream is not None
        body = b"".join(self._stored_chunks)
        headers = self._headers(Code.OK)
        headers.append(("Content-Type", self._stream.content_type))
        self._record_end(Code.OK)
        return web.Resp(self._stream.status, headers, body)

    def _replay_response(self, record: claim_messages.Record) -> web.Resp:
        headers = self._headers(Code.REPLAYED)
        headers.append(("Content-Type", record.content_type))
        self._record_end(Code.REPLAYED)
        return web.Resp(record.code, headers, record.answer)

    def _error_response(self, action: actions.Answer) -> web.Resp:
        self._record_end(action.code)
        resp = web.code_resp(
            action.code,
            retry_after=action.retry_after,
            vouched=action.vouched,
            extra={"request_id": self._request.rid},
        )
        resp.headers.append((H_REQUEST_ID, self._request.rid))
        return resp

    def _headers(self, code: Code) -> list[tuple[str, str]]:
        headers = [
            (web.CODE_HEADER, str(int(code))),
            (web.OUTCOME_HEADER, result_codes.Outcome.COMPLETED.value),
            (H_REQUEST_ID, self._request.rid),
        ]
        if self._dispatcher.target is not None:
            target = self._dispatcher.target
            run = f"{target.name}/{target.inc}/{self._state_machine.run_rid}"
            headers.append((H_RUN, run))
        return headers

    # The end.

    def _record_end(self, code: Code) -> None:
        """Release the resources of the request and record its result."""
        self._has_ended = True
        if self._stream is not None and code not in (Code.OK, Code.REPLAYED):
            self._stream.close()
        self._dispatcher.release_target()
        entry = self._context.entry
        request = self._request
        now = self._context.now()
        verdict = self._timing.verdict(code, streamed=request.streamed)
        finished_record = self._finished_record() if code == Code.OK else None
        if code == Code.OK:
            self._quarantine.record_complete_answer(self._started)
        self._quarantine.end()

        def end() -> None:
            entry.release(request.spec.name, request.rid, now)
            entry.burn.add(
                request.spec.name, request.customer.name, verdict, now
            )
            if finished_record is not None:
                self._context.perform(
                    entry.claim(
                        record=finished_record,
                        expect=finished_record.version,
                        done=lambda reply: None,
                        deadline=now + const.CLAIM_TIMEOUT_SECONDS,
                        now=now,
                    )
                )

        self._context.tell(end)
        self._context.increment(
            "requests", service=request.spec.name, code=str(int(code))
        )
        if self._timing.chunk_count:
            self._context.increment("token_chunks", self._timing.chunk_count)

    def _finished_record(self) -> claim_messages.Record | None:
        record = self._state_machine.record
        if record is None or record.rid != self._state_machine.rid:
            return None
        if self._stream is None:
            return None
        answer = b"".join(self._stored_chunks)
        if len(answer) > claim_const.MAX_ANSWER_BYTES:
            answer = b""
        return record._replace(
            state=claim_const.STATE_FINISHED,
            code=self._stream.status,
            answer=answer,
            content_type=self._stream.content_type,
        )


def _has_terminator(stream: agent_client_lib.Stream) -> bool:
    """Return whether an answer to a request for a stream ends with an event.

    An error or another media type may answer it, too.
    """
    if event_stream.is_event_stream(stream.content_type):
        return True
    return stream.status == 200 and stream.content_type in UNSTATED_TYPES


def _error_event(action: actions.Answer) -> bytes:
    """Return the event that reports an error at the end of a stream."""
    resp = web.code_resp(action.code, retry_after=action.retry_after)
    assert isinstance(resp.body, bytes)
    return b"data: " + resp.body.strip() + b"\n\n"
