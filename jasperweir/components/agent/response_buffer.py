"""Buffer of one run's response, for concurrent readers at any offset."""

from collections.abc import Iterator
import threading

WAIT_SECONDS = 1.0


class ResponseBuffer:
    """Body chunks of one response, with its status and content type.

    Attributes:
        status: HTTP status of the target's response, 0 until it is known.
        content_type: Content type of the target's response.
        engine_end: Number of the engine crash that broke the response, or 0.
    """

    def __init__(self) -> None:
        self.status = 0
        self.content_type = ""
        self.crash_number = 0
        self._chunks: list[bytes] = []
        self._ended = False
        self._whole = False
        self._cond = threading.Condition()
        self._waiters = 0

    @property
    def is_complete(self) -> bool:
        """Whether the response is finished and complete."""
        return self._whole

    @property
    def is_finished(self) -> bool:
        """Whether the response is finished, complete or not."""
        return self._ended

    def set_head(self, status: int, content_type: str) -> None:
        """Set the status and content type and wake waiting readers."""
        with self._cond:
            self.status = status
            self.content_type = content_type
            self._cond.notify_all()

    def append(self, chunk: bytes) -> None:
        """Append a body chunk and wake waiting readers."""
        self._chunks.append(chunk)
        if self._waiters:
            with self._cond:
                self._cond.notify_all()

    def finish(self, *, whole: bool) -> None:
        """Mark the response as finished and wake waiting readers."""
        with self._cond:
            self._whole = whole
            self._ended = True
            self._cond.notify_all()

    def wait_head(self, timeout: float) -> bool:
        """Wait for the status; return False if none arrived in time."""
        with self._cond:
            self._cond.wait_for(lambda: self.status or self._ended, timeout)
        return bool(self.status)

    def data(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self._chunks)

    def read(self, offset: int) -> Iterator[bytes]:
        """Yield the body from a byte offset on, until it is finished."""
        index = 0
        skip = offset
        while True:
            while index < len(self._chunks):
                chunk = self._chunks[index]
                index += 1
                if skip >= len(chunk):
                    skip -= len(chunk)
                    continue
                yield chunk[skip:]
                skip = 0
            if self._ended and index >= len(self._chunks):
                return
            self._wait_for_more(index)

    def _wait_for_more(self, index: int) -> None:
        with self._cond:
            self._waiters += 1
            try:
                self._cond.wait_for(
                    lambda: len(self._chunks) > index or self._ended,
                    WAIT_SECONDS,
                )
            finally:
                self._waiters -= 1
