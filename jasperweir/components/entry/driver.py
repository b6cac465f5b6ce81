"""Carry out the life of one request with HTTP and the entry's actor."""

from collections.abc import Iterator
import threading
import time

import urllib3

from jasperweir import result_codes
from jasperweir.components.claims import const as claim_const
from jasperweir.components.claims import messages as claim_messages
from jasperweir.components.entry import dispatch
from jasperweir.components.entry import held
from jasperweir.components.entry import hop as hop_lib
from jasperweir.components.entry import job as job_lib
from jasperweir.components.entry import port as port_lib
from jasperweir.components.entry import timing
from jasperweir.components.limits import admission as admission_lib
from jasperweir.components.request import actions
from jasperweir.components.request import const
from jasperweir.components.request import events
from jasperweir.components.request import state_machine as state_machine_lib
from jasperweir.components.runs import const as run_const
from jasperweir.helpers import web

Code = result_codes.Code
H_REQUEST_ID = "Jasperweir-Request-Id"
H_OFFSET_HINT = "Jasperweir-Run"


class AnswerBrokenError(Exception):
    """Closes the caller's connection so that no half answer looks whole."""


class Driver:
    """One request, driven by the thread that serves its caller."""

    def __init__(self, *, port: port_lib.Port, job: job_lib.Job) -> None:
        self._port = port
        self._job = job
        self._started = port.now()
        self._deadline = self._started + job.deadline_s
        self._life = state_machine_lib.RequestStateMachine(
            rid=job.rid,
            keyed=job.keyed,
            first=job.first,
            budget=port.entry.budget,
        )
        self._stream: hop_lib.Stream | None = None
        self._relayed = 0
        self._timing = timing.Timing(started=self._started, spec=job.spec)
        self._dispatch = dispatch.Dispatcher(
            port=port,
            job=job,
            deadline=self._deadline,
            timing=self._timing,
            on_hedged=self._life.switch_to_hedge,
        )
        self._held = held.Holder(port=port, job=job)
        self._tail = b""
        self._kept: list[bytes] = []
        self._closed = False

    def serve(self) -> web.Resp:
        """Return the caller's response; a stream goes on inside its body."""
        action = self._life.handle(self._admit())
        while True:
            match action:
                case actions.Relay() if self._job.streamed:
                    return self._streaming()
                case actions.Relay():
                    action = self._life.handle(self._read_whole())
                case actions.Finish():
                    return self._finished()
                case actions.Replay():
                    return self._replayed(action.record)
                case actions.Answer():
                    return self._answer(action)
                case _:
                    action = self._life.handle(self._perform(action))

    # Steps before the answer.

    def _admit(self) -> events.Event:
        denied = self._held.denied()
        if denied is not None:
            return denied
        done = threading.Event()
        verdicts: list[admission_lib.Verdict] = []

        def on_verdict(verdict: admission_lib.Verdict) -> None:
            verdicts.append(verdict)
            done.set()

        ticket = admission_lib.AdmissionRequest(
            rid=self._job.rid,
            customer=self._job.customer.name,
            weight=self._job.customer.weight,
            priority=self._job.priority,
            deadline=self._deadline,
            min_service_s=const.MIN_SERVICE_SECONDS,
        )
        entry = self._port.entry
        service = self._job.spec.name
        self._port.call(
            lambda: entry.admit(service, ticket, on_verdict, self._port.now())
        )
        done.wait(max(self._deadline - self._port.now(), 0) + 1.0)
        match verdicts:
            case [admission_lib.Admit()]:
                return events.Admitted()
            case [admission_lib.Refuse() as refuse]:
                return events.Denied(
                    code=refuse.code, retry_after=refuse.retry_after
                )
        return events.Expired()

    def _perform(self, action: actions.Action) -> events.Event:
        remaining = self._deadline - self._port.now()
        if remaining <= 0:
            return events.Expired()
        match action:
            case actions.Pick():
                denied = self._held.denied()
                return denied or self._dispatch.pick(action.exclude)
            case actions.Reserve():
                assert self._dispatch.target is not None
                return self._event(
                    self._port.hop.reserve(
                        action.rid, self._job.spec.name, self._dispatch.target
                    )
                )
            case actions.Claim():
                return self._claim(action, remaining)
            case actions.Run():
                result = self._dispatch.run(action.rid, remaining)
                target = self._dispatch.target
                if target is not None:
                    self._held.note(result, target.name, target.inc)
                return self._event(result)
            case actions.Attach():
                return self._attach(action, remaining)
            case actions.Revoke():
                target = hop_lib.Target(
                    action.target, action.target_inc, action.http
                )
                return self._event(
                    self._port.hop.revoke(
                        action.rid, self._job.spec.name, target
                    )
                )
        raise AssertionError(f"unhandled action {action}")

    def _claim(self, action: actions.Claim, remaining: float) -> events.Event:
        assert self._dispatch.target is not None
        record = claim_messages.Record(
            key=self._job.key,
            digest=self._job.digest,
            rid=action.rid,
            target=self._dispatch.target.name,
            target_inc=self._dispatch.target.inc,
            http=self._dispatch.target.http,
        )
        done = threading.Event()
        replies: list[claim_messages.ClaimReply] = []

        def on_reply(reply: claim_messages.ClaimReply) -> None:
            replies.append(reply)
            done.set()

        now = self._port.now()
        patience = min(remaining, const.CLAIM_TIMEOUT_SECONDS)
        entry = self._port.entry
        self._port.call(
            lambda: self._port.perform(
                entry.claim(
                    record=record,
                    expect=action.expect,
                    done=on_reply,
                    deadline=now + patience,
                    now=now,
                )
            )
        )
        done.wait(patience + 1.0)
        blind = claim_messages.ClaimReply(
            epoch=0, ask_id="", verdict=claim_const.BLIND, record=None
        )
        reply = replies[0] if replies else blind
        self._port.tally("claims", verdict=reply.verdict)
        if reply.verdict != claim_const.GRANTED:
            self._give_back(action.rid, self._dispatch.target)
        return events.Claimed(verdict=reply.verdict, record=reply.record)

    def _give_back(self, rid: str, target: hop_lib.Target) -> None:
        """Free a reserved slot that never starts, without keeping anyone."""
        service = self._job.spec.name
        threading.Thread(
            target=self._port.hop.revoke,
            args=(rid, service, target),
            name="give-back",
            daemon=True,
        ).start()

    def _attach(self, action: actions.Attach, remaining: float) -> events.Event:
        target = hop_lib.Target(action.target, action.target_inc, action.http)
        self._port.tally("resumes")
        time.sleep(min(action.pause, remaining))
        result = self._port.hop.attach(
            action.rid, action.offset, target, remaining
        )
        self._held.note(result, target.name, target.inc)
        return self._event(result)

    def _event(self, result: hop_lib.Result) -> events.Event:
        if isinstance(result, hop_lib.Stream):
            self._stream = result
            return events.Head()
        if isinstance(result, events.Refused):
            self._note_refusal(result)
        failed = isinstance(
            result, events.Unsent | events.Broke | events.OtherIncarnation
        )
        if failed and self._dispatch.target is not None:
            name = self._dispatch.target.name
            now = self._port.now()
            self._port.tell(
                lambda: self._port.entry.router.record_failure(name, now)
            )
            if isinstance(result, events.Broke) and self._port.now() >= (
                self._deadline
            ):
                return events.Expired()
        return result

    def _note_refusal(self, refused: events.Refused) -> None:
        """Tell routing and admission that a target did not run a request."""
        entry, now = self._port.entry, self._port.now()
        if refused.reason == run_const.REFUSED_FULL:
            service = self._job.spec.name
            self._port.tell(lambda: entry.congested(service, now))
        if self._dispatch.target is not None:
            name = self._dispatch.target.name
            self._port.tell(lambda: entry.router.record_refusal(name, now))

    # The answer.

    def _read_whole(self) -> events.Event:
        """Read an answer that is not streamed; nothing is relayed yet."""
        assert self._stream is not None
        self._kept = []
        try:
            for chunk in self._stream.chunks:
                self._timing.note(self._port.now())
                self._kept.append(chunk)
        except (urllib3.exceptions.HTTPError, OSError):
            self._stream.close()
            if self._port.now() >= self._deadline:
                return events.Expired()
            return events.Broke(relayed=0)
        return events.Whole()

    def _streaming(self) -> web.Resp:
        assert self._stream is not None
        headers = self._headers(Code.OK)
        headers.append(("Content-Type", self._stream.content_type))
        headers.append(("Cache-Control", "no-store"))
        return web.Resp(self._stream.status, headers, self._relay())

    def _relay(self) -> Iterator[bytes]:
        """Yield the answer, going on where it breaks, until its end."""
        action: actions.Action = actions.Relay()
        try:
            while not self._life.ended:
                if isinstance(action, actions.Relay):
                    yield from self._relay_stream()
                    action = self._life.handle(self._relay_end)
                else:
                    action = self._life.handle(self._perform(action))
            match action:
                case actions.Finish():
                    self._settle(Code.OK)
                case actions.Replay():
                    yield action.record.answer
                    self._settle(Code.REPLAYED)
                case actions.Answer():
                    yield _error_event(action)
                    self._settle(action.code)
                    raise AnswerBrokenError(action.code.name)
        finally:
            if not self._closed:
                self._life.handle(events.CallerLeft())
                self._settle(Code.CANCELLED)

    def _relay_stream(self) -> Iterator[bytes]:
        assert self._stream is not None
        self._relay_end: events.Event = events.Broke(relayed=self._relayed)
        stream = self._stream
        try:
            for chunk in stream.chunks:
                self._timing.note(self._port.now())
                self._relayed += len(chunk)
                self._tail = (self._tail + chunk)[-32:]
                if self._job.keyed:
                    self._keep(chunk)
                yield chunk
                if self._timing.last_at >= self._deadline:
                    stream.close()
                    self._relay_end = events.Expired()
                    return
        except (urllib3.exceptions.HTTPError, OSError):
            stream.close()
            self._relay_end = events.Broke(relayed=self._relayed)
            if self._port.now() >= self._deadline:
                self._relay_end = events.Expired()
            return
        except GeneratorExit:
            stream.close()
            raise
        whole = stream.status != 200 or b"[DONE]" in self._tail
        if whole:
            self._relay_end = events.Whole()
        else:
            self._relay_end = events.Broke(relayed=self._relayed, ended=True)

    def _keep(self, chunk: bytes) -> None:
        if self._relayed <= claim_const.MAX_ANSWER_BYTES:
            self._kept.append(chunk)
        else:
            self._kept = []

    def _finished(self) -> web.Resp:
        assert self._stream is not None
        body = b"".join(self._kept)
        headers = self._headers(Code.OK)
        headers.append(("Content-Type", self._stream.content_type))
        self._settle(Code.OK)
        return web.Resp(self._stream.status, headers, body)

    def _replayed(self, record: claim_messages.Record) -> web.Resp:
        headers = self._headers(Code.REPLAYED)
        headers.append(("Content-Type", record.content_type))
        self._settle(Code.REPLAYED)
        return web.Resp(record.code, headers, record.answer)

    def _answer(self, action: actions.Answer) -> web.Resp:
        self._settle(action.code)
        resp = web.code_resp(
            action.code,
            retry_after=action.retry_after,
            vouched=action.vouched,
            extra={"request_id": self._job.rid},
        )
        resp.headers.append((H_REQUEST_ID, self._job.rid))
        return resp

    def _headers(self, code: Code) -> list[tuple[str, str]]:
        headers = [
            (web.CODE_HEADER, str(int(code))),
            (web.OUTCOME_HEADER, result_codes.Outcome.COMPLETED.value),
            (H_REQUEST_ID, self._job.rid),
        ]
        if self._dispatch.target is not None:
            target = self._dispatch.target
            run = f"{target.name}/{target.inc}/{self._life.run_rid}"
            headers.append((H_OFFSET_HINT, run))
        return headers

    # The end.

    def _settle(self, code: Code) -> None:
        """Release what the request held and record how it went."""
        self._closed = True
        if self._stream is not None and code not in (Code.OK, Code.REPLAYED):
            self._stream.close()
        self._dispatch.leave()
        entry = self._port.entry
        job = self._job
        now = self._port.now()
        verdict = self._timing.verdict(code, streamed=job.streamed)
        finish = self._finish_record() if code == Code.OK else None
        if code == Code.OK:
            self._held.note_whole()

        def end() -> None:
            entry.release(job.spec.name, job.rid, now)
            entry.burn.add(job.spec.name, job.customer.name, verdict, now)
            if finish is not None:
                self._port.perform(
                    entry.claim(
                        record=finish,
                        expect=finish.version,
                        done=lambda reply: None,
                        deadline=now + const.CLAIM_TIMEOUT_SECONDS,
                        now=now,
                    )
                )

        self._port.tell(end)
        self._port.tally("requests", service=job.spec.name, code=str(int(code)))
        if self._timing.pieces:
            self._port.tally("token_chunks", self._timing.pieces)

    def _finish_record(self) -> claim_messages.Record | None:
        record = self._life.record
        if record is None or record.rid != self._life.rid:
            return None
        if self._stream is None:
            return None
        answer = b"".join(self._kept)
        if len(answer) > claim_const.MAX_ANSWER_BYTES:
            answer = b""
        return record._replace(
            state=claim_const.STATE_FINISHED,
            code=self._stream.status,
            answer=answer,
            content_type=self._stream.content_type,
        )


def _error_event(action: actions.Answer) -> bytes:
    """Return the event that tells a stream's reader why it ends."""
    resp = web.code_resp(action.code, retry_after=action.retry_after)
    assert isinstance(resp.body, bytes)
    return b"data: " + resp.body.strip() + b"\n\n"
