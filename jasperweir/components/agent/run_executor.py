"""Execution of requests on the target, each at most once."""

from collections.abc import Callable
from collections.abc import Iterator
import threading
from typing import NamedTuple

import urllib3

from jasperweir.components.agent import crash_counter
from jasperweir.components.agent import response_buffer
from jasperweir.components.runs import const
from jasperweir.components.runs import run_table as run_table_lib
from jasperweir.helpers import event_stream
from jasperweir.helpers import http_pool

CONNECT_SECONDS = 1.0
READ_SECONDS = 60.0
HEAD_WAIT_SECONDS = 60.0
PLAIN_CHUNK_BYTES = 64 * 1024
# Interval of the scan of all runs, which takes about a millisecond.
TIDY_SECONDS = 1.0


class Call(NamedTuple):
    """HTTP request to send to the target."""

    method: str
    path: str
    content_type: str
    body: bytes
    headers: dict[str, str]


class BrokenAnswerError(Exception):
    """The target's response is missing or incomplete."""


class RunExecutor:
    """Executes the runs that the run table admits.

    The thread that serves the first reader also reads the target's response,
    so a stream needs one thread and one wake-up per chunk. If that reader
    disconnects early, a background thread reads the rest.
    """

    def __init__(
        self,
        *,
        url: str,
        table: run_table_lib.RunTable,
        now: Callable[[], float],
        threads: int,
    ) -> None:
        self._url = url
        self._crashes = crash_counter.CrashCounter(
            is_listening=lambda: crash_counter.is_listening(url)
        )
        self._now = now
        self._table = table
        self._lock = threading.Lock()
        self._tidy_at = 0.0
        self._buffers: dict[str, response_buffer.ResponseBuffer] = {}
        self._cancelled: set[str] = set()
        self._responses: dict[str, urllib3.BaseHTTPResponse] = {}
        self._http = http_pool.create(num_pools=4, maxsize=threads, block=False)

    def reserve(self, rid: str, service: str) -> run_table_lib.Verdict:
        """Reserve a run id."""
        with self._lock:
            return self._table.reserve(rid, service, self._now())

    def revoke(self, rid: str, service: str) -> run_table_lib.Verdict:
        """Prevent a run id from ever starting."""
        with self._lock:
            return self._table.revoke(rid, service, self._now())

    def start(
        self, rid: str, service: str, *, reserved: bool
    ) -> run_table_lib.Verdict:
        """Start a run if the run table admits it."""
        with self._lock:
            verdict = self._table.start(
                rid, service, self._now(), reserved=reserved
            )
            if isinstance(verdict, run_table_lib.Start):
                self._buffers[rid] = response_buffer.ResponseBuffer()
            return verdict

    def get_buffer(self, rid: str) -> response_buffer.ResponseBuffer | None:
        """Return the response buffer of a started run, None if expired."""
        return self._buffers.get(rid)

    def get_state(self, rid: str) -> run_table_lib.State | None:
        """Return the state of a run id, None if it is unknown."""
        run = self._table.get(rid)
        return run.state if run else None

    def count_active(self) -> int:
        """Return the number of reserved and running requests."""
        return self._table.active()

    def send(self, rid: str, call: Call) -> Iterator[bytes]:
        """Send the request and return an iterator that reads the response.

        The run's buffer has the status and content type when this returns.

        Raises:
            BrokenAnswerError: The target could not be reached or sent no
                response head.
        """
        buf = self._buffers[rid]
        self._crashes.check_restart()
        try:
            resp = self._http.request(
                call.method,
                self._url + call.path,
                body=call.body or None,
                headers={"Content-Type": call.content_type, **call.headers},
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_SECONDS, read=READ_SECONDS
                ),
            )
        except urllib3.exceptions.NewConnectionError as exc:
            # Nothing was sent, so this run can't have crashed the engine.
            self._finish(rid, buf, whole=False)
            raise BrokenAnswerError(type(exc).__name__) from exc
        except urllib3.exceptions.HTTPError as exc:
            buf.crash_number = self._crashes.detect_crash()
            self._finish(rid, buf, whole=False)
            raise BrokenAnswerError(type(exc).__name__) from exc
        self._crashes.record_answer()
        self._responses[rid] = resp
        buf.set_head(resp.status, resp.headers.get("Content-Type", ""))
        return self._pull(rid, buf, resp)

    def read(self, rid: str, offset: int) -> Iterator[bytes]:
        """Yield a run's response from a byte offset, as an extra reader.

        Raises:
            BrokenAnswerError: The run broke and its response is incomplete.
        """
        buf = self._buffers[rid]
        with self._lock:
            self._table.add_reader(rid)
        try:
            yield from buf.read(offset)
            if not buf.is_complete:
                raise BrokenAnswerError("target sent an incomplete response")
        finally:
            with self._lock:
                self._table.remove_reader(rid, self._now())

    def read_while_pulling(
        self, rid: str, pull: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield a run's response while reading it from the target.

        Raises:
            BrokenAnswerError: The run broke and its response is incomplete.
        """
        with self._lock:
            self._table.add_reader(rid)
        ended = False
        try:
            # Not "yield from": closing this reader must not close `pull`.
            for chunk in pull:
                yield chunk
            ended = True
            if not self._buffers[rid].is_complete:
                raise BrokenAnswerError("target sent an incomplete response")
        finally:
            with self._lock:
                self._table.remove_reader(rid, self._now())
            if not ended:
                self._drain_in_background(pull)

    def cancel(self, rid: str) -> None:
        """Cancel a run by closing its connection to the target."""
        self._cancelled.add(rid)
        resp = self._responses.get(rid)
        if resp is not None:
            # Unblocks a read that waits for a silent target.
            resp.shutdown()

    def tick(self) -> None:
        """Cancel runs without readers and remove expired ones."""
        now = self._now()
        if now < self._tidy_at:
            return
        self._tidy_at = now + TIDY_SECONDS
        with self._lock:
            orphans = self._table.orphaned_runs(now)
            gone = self._table.expire(now)
        for rid in orphans:
            self.cancel(rid)
        for rid in gone:
            self._buffers.pop(rid, None)

    def _drain_in_background(self, pull: Iterator[bytes]) -> None:
        thread = threading.Thread(
            target=_drain, args=(pull,), name="pull", daemon=True
        )
        thread.start()

    def _pull(
        self,
        rid: str,
        buf: response_buffer.ResponseBuffer,
        resp: urllib3.BaseHTTPResponse,
    ) -> Iterator[bytes]:
        stream: event_stream.TerminatedStream | None = None
        if event_stream.is_event_stream(buf.content_type):
            stream = event_stream.TerminatedStream()
        whole = False
        size = 0
        try:
            for chunk in resp.stream(PLAIN_CHUNK_BYTES):
                if rid in self._cancelled or size > const.MAX_RUN_BYTES:
                    break
                buf.append(chunk)
                size += len(chunk)
                if stream is not None:
                    stream.feed(chunk)
                yield chunk
            else:
                # A stream without its terminator is incomplete, even if the
                # connection was closed cleanly. Cancelling ends a body without
                # a length like a clean close.
                is_ended = stream is None or stream.is_complete
                whole = is_ended and rid not in self._cancelled
        except (urllib3.exceptions.HTTPError, OSError):
            whole = False
            if rid not in self._cancelled:
                buf.crash_number = self._crashes.detect_crash()
        finally:
            if not buf.is_finished:
                self._end_pull(rid, buf, resp, whole=whole, size=size)

    def _end_pull(
        self,
        rid: str,
        buf: response_buffer.ResponseBuffer,
        resp: urllib3.BaseHTTPResponse,
        *,
        whole: bool,
        size: int,
    ) -> None:
        self._cancelled.discard(rid)
        self._responses.pop(rid, None)
        if whole:
            resp.release_conn()
        else:
            resp.close()
        with self._lock:
            if self._table.get(rid) is not None:
                self._table.add_bytes(rid, size)
        self._finish(rid, buf, whole=whole)

    def _finish(
        self, rid: str, buf: response_buffer.ResponseBuffer, *, whole: bool
    ) -> None:
        buf.finish(whole=whole)
        with self._lock:
            self._table.finish(rid, self._now(), whole=whole)


def _drain(pull: Iterator[bytes]) -> None:
    for _ in pull:
        continue
