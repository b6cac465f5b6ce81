"""Answer of one run, readable by several readers from any offset."""

from collections.abc import Iterator
import threading

WAIT_SECONDS = 1.0


class Buffer:
    """Chunks of one answer, with its head and how it ended.

    Attributes:
        status: HTTP status of the target's answer.
        content_type: Content type of the target's answer.
        engine_end: Number of the engine's end that broke it, or 0.
    """

    def __init__(self) -> None:
        self.status = 0
        self.content_type = ""
        self.engine_end = 0
        self._chunks: list[bytes] = []
        self._ended = False
        self._whole = False
        self._cond = threading.Condition()
        self._waiters = 0

    @property
    def whole(self) -> bool:
        """Whether the answer ended with its completeness mark."""
        return self._whole

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self._ended

    def head(self, status: int, content_type: str) -> None:
        """Set the head; readers may begin."""
        with self._cond:
            self.status = status
            self.content_type = content_type
            self._cond.notify_all()

    def append(self, chunk: bytes) -> None:
        """Add a chunk."""
        self._chunks.append(chunk)
        if self._waiters:
            with self._cond:
                self._cond.notify_all()

    def end(self, *, whole: bool) -> None:
        """Note the end."""
        with self._cond:
            self._whole = whole
            self._ended = True
            self._cond.notify_all()

    def wait_head(self, timeout: float) -> bool:
        """Wait for the head; False if none came."""
        with self._cond:
            self._cond.wait_for(lambda: self.status or self._ended, timeout)
        return bool(self.status)

    def data(self) -> bytes:
        """Return what has come so far."""
        return b"".join(self._chunks)

    def read(self, offset: int) -> Iterator[bytes]:
        """Yield the answer from an offset on, waiting for more."""
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
