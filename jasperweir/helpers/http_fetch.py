"""Single asynchronous HTTP requests with buffered responses."""

import asyncio

from jasperweir.helpers import http_client
from jasperweir.helpers import http_message

# Largest body that is buffered: state and counts of an engine are some ten KB.
MAX_BODY_BYTES = 4 * 1024 * 1024


class ResponseCollector:
    """Response listener that buffers a whole response.

    Attributes:
        result: Future of status and body; an OSError if the response was cut
            off.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[tuple[int, bytes]] = loop.create_future()
        self._status = 0
        self._body: list[bytes] = []
        self._size = 0

    def on_head(self, head: http_message.Head, length: int | None) -> bool:
        """Store the status."""
        self._status = head.status
        return True

    def on_data(self, data: bytes) -> None:
        """Store a part of the body, or fail if it is too large."""
        self._size += len(data)
        if self._size <= MAX_BODY_BYTES:
            self._body.append(data)
            return
        self._body.clear()
        self.on_broken(f"a body that exceeds {MAX_BODY_BYTES} bytes")

    def on_end(self) -> None:
        """Resolve the future with the complete response."""
        if not self.result.done():
            self.result.set_result((self._status, b"".join(self._body)))

    def on_broken(self, reason: str) -> None:
        """Fail the future of a response that was cut off."""
        if not self.result.done():
            self.result.set_exception(OSError(reason))


async def fetch(
    pool: http_client.ConnectionPool,
    address: str,
    method: bytes,
    target: bytes,
    body: bytes,
    timeout_s: float,
) -> tuple[int, bytes]:
    """Send a request and return the status and body of its response.

    Raises:
        OSError: No complete response arrived within ``timeout_s``.
    """
    conn = pool.acquire(address)
    if conn is None:
        conn = await pool.open(address)
    headers = [(b"host", address.encode())]
    if body:
        headers.append((b"content-type", b"application/json"))
    headers.append((b"content-length", b"%d" % len(body)))
    line = method + b" " + target + b" HTTP/1.1"
    answer = ResponseCollector()
    conn.send(http_message.write_head(line, headers) + body, answer)
    try:
        async with asyncio.timeout(timeout_s):
            found = await answer.result
    except TimeoutError as exc:
        conn.close()
        raise OSError(
            f"no response from {address} within {timeout_s} s"
        ) from exc
    except OSError:
        conn.close()
        raise
    pool.release(address, conn)
    return found
