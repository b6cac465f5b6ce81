"""One HTTP call with its whole answer, on an event loop."""

import asyncio

from jasperweir.helpers import http_client
from jasperweir.helpers import http_message


class ResponseCollector:
    """Collect one answer.

    Attributes:
        result: Status and body, or an OSError if it broke off.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.result: asyncio.Future[tuple[int, bytes]] = loop.create_future()
        self._status = 0
        self._body: list[bytes] = []

    def on_head(self, head: http_message.Head, length: int | None) -> bool:
        """Note the status."""
        self._status = head.status
        return True

    def on_data(self, data: bytes) -> None:
        """Collect a piece of the body."""
        self._body.append(data)

    def on_end(self) -> None:
        """Give the whole answer."""
        if not self.result.done():
            self.result.set_result((self._status, b"".join(self._body)))

    def on_broken(self, reason: str) -> None:
        """Report an answer that broke off."""
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
    """Return status and body of an answer.

    Raises:
        OSError: No whole answer came in time.
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
        raise OSError("no answer in time") from exc
    pool.release(address, conn)
    return found
