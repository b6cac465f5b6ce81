"""Run requests on the target, each at most once, and hand answers on."""

from collections.abc import Callable
from collections.abc import Iterator
import threading
from typing import NamedTuple

import urllib3

from jasperweir.components.agent import buffer as buffer_lib
from jasperweir.components.agent import ends as ends_lib
from jasperweir.components.runs import const
from jasperweir.components.runs import run_table as run_table_lib

CONNECT_SECONDS = 1.0
READ_SECONDS = 60.0
HEAD_WAIT_SECONDS = 60.0
PLAIN_CHUNK_BYTES = 64 * 1024
STREAM_TYPE = "text/event-stream"
STREAM_END = b"[DONE]"
TAIL_BYTES = 32
# Going through all runs costs a millisecond at the target size.
TIDY_SECONDS = 1.0


class Call(NamedTuple):
    """What to send to the target."""

    method: str
    path: str
    content_type: str
    body: bytes
    headers: dict[str, str]


class BrokenAnswerError(Exception):
    """The target's answer ended before its completeness mark."""


class Executor:
    """Perform runs that the table has let through.

    The thread that serves the first reader also pulls the answer from the
    target, so that a stream costs one thread and one wake-up a chunk. When
    that reader leaves early, another thread pulls on.
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
        self._ends = ends_lib.EngineEnds(listens=lambda: ends_lib.listens(url))
        self._now = now
        self._table = table
        self._lock = threading.Lock()
        self._tidy_at = 0.0
        self._buffers: dict[str, buffer_lib.Buffer] = {}
        self._cancelled: set[str] = set()
        self._responses: dict[str, urllib3.BaseHTTPResponse] = {}
        self._http = urllib3.PoolManager(
            num_pools=4, maxsize=threads, block=False, retries=False
        )

    def reserve(self, rid: str, service: str) -> run_table_lib.Verdict:
        """Reserve a run id."""
        with self._lock:
            return self._table.reserve(rid, service, self._now())

    def revoke(self, rid: str, service: str) -> run_table_lib.Verdict:
        """Make sure that a run id never starts."""
        with self._lock:
            return self._table.revoke(rid, service, self._now())

    def start(
        self, rid: str, service: str, *, reserved: bool
    ) -> run_table_lib.Verdict:
        """Ask the table whether this run starts now."""
        with self._lock:
            verdict = self._table.start(
                rid, service, self._now(), reserved=reserved
            )
            if isinstance(verdict, run_table_lib.Start):
                self._buffers[rid] = buffer_lib.Buffer()
            return verdict

    def buffer(self, rid: str) -> buffer_lib.Buffer | None:
        """Return the answer of a run that started and is still kept."""
        return self._buffers.get(rid)

    def state(self, rid: str) -> run_table_lib.State | None:
        """Return the state of a run id."""
        run = self._table.get(rid)
        return run.state if run else None

    def active(self) -> int:
        """Return the number of reserved and running requests."""
        return self._table.active()

    def open(self, rid: str, call: Call) -> Iterator[bytes]:
        """Send the request; return the pull of its answer.

        The head has been put into the run's buffer when this returns.

        Raises:
            BrokenAnswerError: The target could not be reached or gave no
                head.
        """
        buf = self._buffers[rid]
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
            # Nothing was sent: whatever the engine does, it is not to blame.
            self._finish(rid, buf, whole=False)
            raise BrokenAnswerError(type(exc).__name__) from exc
        except urllib3.exceptions.HTTPError as exc:
            buf.engine_end = self._ends.after_break()
            self._finish(rid, buf, whole=False)
            raise BrokenAnswerError(type(exc).__name__) from exc
        self._ends.answered()
        self._responses[rid] = resp
        buf.head(resp.status, resp.headers.get("Content-Type", ""))
        return self._pull(rid, buf, resp)

    def read(self, rid: str, offset: int) -> Iterator[bytes]:
        """Yield a run's answer from an offset, as a further reader.

        Raises:
            BrokenAnswerError: The run broke; what was read is not whole.
        """
        buf = self._buffers[rid]
        with self._lock:
            self._table.add_reader(rid)
        try:
            yield from buf.read(offset)
            if not buf.whole:
                raise BrokenAnswerError("run broke")
        finally:
            with self._lock:
                self._table.remove_reader(rid, self._now())

    def lead(self, rid: str, pull: Iterator[bytes]) -> Iterator[bytes]:
        """Yield a run's answer while pulling it, as its first reader."""
        with self._lock:
            self._table.add_reader(rid)
        ended = False
        try:
            # Not "yield from": closing this reader must not close the pull.
            for chunk in pull:
                yield chunk
            ended = True
            if not self._buffers[rid].whole:
                raise BrokenAnswerError("run broke")
        finally:
            with self._lock:
                self._table.remove_reader(rid, self._now())
            if not ended:
                self._pull_on(pull)

    def cancel(self, rid: str) -> None:
        """Stop a run; its target sees the connection close."""
        self._cancelled.add(rid)
        resp = self._responses.get(rid)
        if resp is not None:
            # Wakes the pull if the target has gone silent.
            resp.shutdown()

    def tick(self) -> None:
        """Cancel runs that nobody reads and forget old ones."""
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

    def _pull_on(self, pull: Iterator[bytes]) -> None:
        thread = threading.Thread(
            target=_exhaust, args=(pull,), name="pull", daemon=True
        )
        thread.start()

    def _pull(
        self,
        rid: str,
        buf: buffer_lib.Buffer,
        resp: urllib3.BaseHTTPResponse,
    ) -> Iterator[bytes]:
        streamed = STREAM_TYPE in buf.content_type
        tail = b""
        whole = False
        size = 0
        try:
            for chunk in resp.stream(PLAIN_CHUNK_BYTES):
                if rid in self._cancelled or size > const.MAX_RUN_BYTES:
                    break
                buf.append(chunk)
                size += len(chunk)
                tail = (tail + chunk)[-TAIL_BYTES:]
                yield chunk
            else:
                # A stream that ended without its mark is not whole, even
                # if its connection was closed in good order.
                whole = not streamed or STREAM_END in tail
        except (urllib3.exceptions.HTTPError, OSError):
            whole = False
            if rid not in self._cancelled:
                buf.engine_end = self._ends.after_break()
        finally:
            if not buf.ended:
                self._end_pull(rid, buf, resp, whole=whole, size=size)

    def _end_pull(
        self,
        rid: str,
        buf: buffer_lib.Buffer,
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

    def _finish(self, rid: str, buf: buffer_lib.Buffer, *, whole: bool) -> None:
        buf.end(whole=whole)
        with self._lock:
            self._table.finish(rid, self._now(), whole=whole)


def _exhaust(pull: Iterator[bytes]) -> None:
    for _ in pull:
        continue
