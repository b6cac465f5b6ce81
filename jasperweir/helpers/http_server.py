"""Asynchronous HTTP/1.1 server.

Unlike waitress, which ``web`` uses, it reports when a caller disconnects and
writes bytes without delay, see docs/design/platform.md.
"""

import asyncio
import collections
from collections.abc import Callable
import socket
import struct
from typing import NamedTuple

import httptools

from jasperweir.helpers import clocks
from jasperweir.helpers import http_head
from jasperweir.helpers import http_message
from jasperweir.helpers import request_memory

# Most pipelined requests of a connection that wait for an earlier response.
MAX_PIPELINED = 16
# Most unsent bytes of a streamed response; above it the connection is reset.
# Handlers that heed ``on_paused`` stay below it.
WRITE_BUFFER_BYTES = 1 << 20
# A handler is asked to pause above so many unsent bytes of a connection, and to
# go on below so many.
HIGH_WATER_BYTES = 32 * 1024
LOW_WATER_BYTES = 8 * 1024
# Send buffer of a connection in the kernel, which would grow to several MB for
# a caller that doesn't read.
SEND_BUFFER_BYTES = 64 * 1024
# Most bytes that are read at once; what they grow to as header fields is known
# only after they are parsed.
READ_BYTES = 16 * 1024
# An unfinished head is counted above this size.
COUNTED_HEAD_BYTES = 4 * 1024
# Size at which a part of a body is complete.
BODY_PART_BYTES = 64 * 1024
# Memory for a body of unknown length is reserved in steps of this size.
RESERVED_STEP_BYTES = 64 * 1024
# Most bytes in a row of a request that belong to no head and no body: empty
# lines, the size and the extension of a chunk, or a trailer.
FRAMING_BYTES = 64 * 1024
BACKLOG = 512
# Time after which a caller may return whose request found no memory, seconds.
RETRY_AFTER_SECONDS = 1
_VERSIONS = ("1.0", "1.1")


class ServerLimits(NamedTuple):
    """Limits on callers; see the limits of a deployment."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class ResponseWriter:
    """Writes the response to one request of a connection.

    Attributes:
        request: Request to respond to.
        on_gone: Called when the caller disconnects before the response is
            complete.
        on_paused: Called when the caller reads more slowly than the response is
            written.
        on_writable: Called when the caller has read most of it.
        started: Whether the head has been written.
        done: Whether the response is complete or was aborted.
        is_until_close: Whether the end of the connection ends the body.
    """

    def __init__(
        self, *, conn: "Connection", req: http_message.Request
    ) -> None:
        self.request = req
        self.on_gone: Callable[[], None] | None = None
        self.on_paused: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.started = False
        self.done = False
        self.is_until_close = False
        self._conn = conn
        self._chunked = False
        self._has_body = req.method != b"HEAD"

    def reply(
        self, status: int, headers: http_message.Headers, body: bytes
    ) -> None:
        """Send a complete response."""
        if self.done:
            return
        fields = list(headers)
        if body or self._has_body:
            fields.append((b"content-length", b"%d" % len(body)))
        head = self._head(status, fields)
        self._conn.write(head + body if self._has_body else head)
        self._finish()

    def start(
        self,
        status: int,
        headers: http_message.Headers,
        length: int | None,
    ) -> None:
        """Send the head of a response whose body is streamed.

        Args:
            status: HTTP status.
            headers: Headers without those that frame the body.
            length: Bytes of the body; None if unknown. Its end is marked by
                the chunked transfer coding, or by the end of the connection
                for a caller that doesn't know that coding.
        """
        if self.done:
            return
        fields = list(headers)
        if length is not None:
            fields.append((b"content-length", b"%d" % length))
        elif self.request.reads_chunks:
            fields.append((b"transfer-encoding", b"chunked"))
            self._chunked = self._has_body
        elif self._has_body:
            self.is_until_close = True
            self._conn.reset_on_close(True)
        self.started = True
        self._conn.write(self._head(status, fields))

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.done or not data or not self._has_body:
            return
        self._conn.write(http_message.chunk(data) if self._chunked else data)
        self._conn.check_unsent()

    def end(self) -> None:
        """Complete a streamed response."""
        if self.done:
            return
        if self._chunked:
            self._conn.write(http_message.LAST_CHUNK)
        if self.is_until_close:
            self._conn.reset_on_close(False)
        self._finish()

    def abort(self) -> None:
        """End the connection so that the response is seen as incomplete.

        It is reset if its end would complete the body.
        """
        if self.done:
            return
        self.detach()
        self._conn.abort()

    def detach(self) -> None:
        """End the response, and call nobody any more.

        The handler's callbacks refer to the request, and would keep it in
        memory until the garbage collector runs.
        """
        self.done = True
        self.on_gone = self.on_paused = self.on_writable = None

    def _head(self, status: int, headers: http_message.Headers) -> bytes:
        self.started = True
        if self.is_until_close or not self._conn.keeps_alive(self.request):
            headers = [*headers, (b"connection", b"close")]
        elif not self.request.reads_chunks:
            # Such a caller otherwise waits for the end of the connection.
            headers = [*headers, (b"connection", b"keep-alive")]
        return http_message.write_head(
            http_message.status_line(status), headers
        )

    def _finish(self) -> None:
        self.detach()
        self._conn.on_response_done(self)


Handler = Callable[[ResponseWriter], None]


class Connection(asyncio.Protocol):
    """Connection of a caller; responses follow the order of requests."""

    def __init__(self, *, server: "Server") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[http_message.Request] = (
            collections.deque()
        )
        self._current: ResponseWriter | None = None
        self._closing = False
        self._is_writable = True
        self._idle_since = clocks.elapsed()
        self._reading_since = 0.0
        self._head_bytes = 0
        # Bytes of a read that begins with a request, until its head begins.
        self._fresh_bytes = 0
        self._body_bytes = 0
        # Bytes in a row that belong to no head and no body.
        self._framing_bytes = 0
        self._in_head = False
        self._target = b""
        # Fields of an unfinished head, each ``name:value`` and a line feed; as
        # objects they would take many times as much.
        self._fields = bytearray()
        self._headers: http_message.Headers = []
        self._head_cost = 0
        # Stated length of a body, 0 if it has none.
        self._length = 0
        # A body of a large stated length; reading it copies nothing.
        self._body: bytearray | None = None
        # Parts of any other one, so that small chunks take no more memory than
        # their bytes.
        self._parts: list[bytearray] = []
        self._reserved = 0
        self._received_at = 0.0
        # Whether a request waits for the response to the one before it.
        self._is_behind = False
        # What each accepted request is counted with.
        self._costs: collections.deque[int] = collections.deque()

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(HIGH_WATER_BYTES, LOW_WATER_BYTES)
        if hasattr(transport, "max_size"):
            # asyncio's transports read up to 256 KiB at once otherwise.
            transport.max_size = READ_BYTES
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        user_timeout_ms = int(self._server.dead_peer_s * 1000)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms
        )
        is_first = not self._server.connections
        self._server.connections.add(self)
        if is_first:
            self._server.on_first()
        self._memory.open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the disconnect to the handler of the current request."""
        self._server.connections.discard(self)
        self._closing = True
        current = self._current
        self._current = None
        self._queue.clear()
        self._costs.clear()
        self._forget_unfinished()
        self._memory.close(self)
        if current is not None and not current.done:
            on_gone = current.on_gone
            current.detach()
            if on_gone is not None:
                on_gone()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        if self._closing:
            return
        self._received_at = clocks.elapsed()
        self._fresh_bytes = 0
        if not self._reading_since:
            self._reading_since = self._received_at
            self._fresh_bytes = len(data)
        if self._in_head or not self._body_bytes:
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        self._count_unfinished()
        # A complete head is checked field by field.
        most = self._limits.header_bytes + READ_BYTES
        if self._in_head and self._head_bytes > most:
            self._reject(431)
        elif self._framing_bytes > max(
            self._limits.header_bytes, FRAMING_BYTES
        ):
            self._reject(400)

    def pause_writing(self) -> None:
        """Ask the handler of the current request to pause."""
        self._is_writable = False
        current = self._current
        if current is not None and current.on_paused is not None:
            current.on_paused()

    def resume_writing(self) -> None:
        """Tell the handler of the current request to go on."""
        self._is_writable = True
        self._memory.set_unsent(self, self.unsent_bytes)
        current = self._current
        if current is not None and current.on_writable is not None:
            current.on_writable()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._in_head = True
        self._head_bytes, self._fresh_bytes = self._fresh_bytes, 0
        self._body_bytes = 0
        self._target = b""
        self._fields = bytearray()
        self._headers = []
        self._body = None
        self._parts = []
        self._length = 0
        self._reserved = 0

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; a trailer is discarded.

        Fields of a trailer must not be taken for those of the head (RFC 9110,
        section 6.5.1).
        """
        if self._in_head and not self._closing:
            self._fields += b"%b:%b\n" % (name.lower(), value)

    def on_headers_complete(self) -> None:
        """Check the limits and confirm ``Expect: 100-continue``."""
        self._in_head = False
        self._framing_bytes = 0
        if self._closing:
            return
        if (
            not http_head.are_fields(self._fields)
            or self._parser.get_http_version() not in _VERSIONS
        ):
            self._reject(400)
            return
        lines = self._fields.split(b"\n")[:-1]
        # Each field has two more bytes on the wire.
        size = len(self._fields) + 2 * len(lines)
        if size + len(self._target) > self._limits.header_bytes:
            self._reject(431)
            return
        self._headers = _split_fields(lines)
        self._head_cost = size + request_memory.FIELD_BYTES * len(lines)
        self._fields = bytearray()
        length = http_message.find(self._headers, b"content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            self._reject_body(int(length))
            return
        self._length = int(length or 0)
        if self._length:
            self._reserve(self._length)
        if http_message.find(self._headers, b"expect") is not None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._closing:
            return
        self._body_bytes += len(body)
        self._framing_bytes = 0
        if self._body_bytes > self._limits.body_bytes:
            self._reject_body(self._body_bytes)
            return
        self._store(body)
        if self._body_bytes > self._reserved and not self._is_held_back:
            self._reserve(self._body_bytes + RESERVED_STEP_BYTES)
        is_pipelined = self._current is not None or bool(self._queue)
        accepted = self._memory.accepted.get(self)
        if (
            is_pipelined
            and accepted + self._body_bytes > self._limits.body_bytes
        ):
            self._is_behind = True
            self.pause_reading()

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        self._reading_since = 0.0
        self._head_bytes = 0
        self._framing_bytes = 0
        if self._closing:
            return
        cost = self._head_cost + self._body_bytes
        if not self._memory.accept(self, cost):
            self._reject(503)
            return
        req = http_message.Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._parts) if self._body is None else self._body,
            keep_alive=self._parser.should_keep_alive(),
            version=self._parser.get_http_version(),
        )
        self._body = None
        self._parts = []
        if len(self._queue) >= MAX_PIPELINED:
            self.abort()
            return
        self._memory.note_busy(self)
        self._queue.append(req)
        self._costs.append(cost)
        # The parser would hide the errors of a handler called from here.
        asyncio.get_running_loop().call_soon(self._handle_next)

    # Called by response writers and by the server.

    def write(self, data: bytes) -> None:
        """Write bytes."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        unsent = self._transport.get_write_buffer_size()
        if unsent:
            self._memory.set_unsent(self, unsent)

    def check_unsent(self) -> None:
        """Abort the connection if a response outruns its caller too far."""
        if self.unsent_bytes > WRITE_BUFFER_BYTES:
            self.abort()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are written but not sent."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def pause_reading(self) -> None:
        """Stop reading from the caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the caller again."""
        if self._is_held_back:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def keeps_alive(self, req: http_message.Request) -> bool:
        """Return whether the connection stays open after a response."""
        return req.keep_alive and not self._server.stopping

    def on_response_done(self, answering: ResponseWriter) -> None:
        """Start the next request or close the connection."""
        if self._current is not answering:
            return
        self._current = None
        if self._costs:
            self._memory.release(self, self._costs.popleft())
        if self._is_behind:
            self._is_behind = False
            self.resume_reading()
        if not self._queue:
            self._memory.note_idle(self)
        self._idle_since = clocks.elapsed()
        is_last = answering.is_until_close
        if is_last or not self.keeps_alive(answering.request):
            self.close()
            return
        if self._queue:
            asyncio.get_running_loop().call_soon(self._handle_next)

    def close(self) -> None:
        """Close the connection once all written bytes are sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def reset_on_close(self, is_reset: bool) -> None:
        """Set whether any end of the connection is a reset.

        It holds for the end of the process, too.
        """
        if self._transport is None or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        linger = struct.pack("ii", is_reset, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def abort(self) -> None:
        """Close the connection at once, without what is not yet sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def busy(self) -> bool:
        """Whether a request is being received, queued or handled."""
        return bool(
            self._current is not None or self._queue or self._reading_since
        )

    def check_age(self, now: float) -> None:
        """Close the connection if it exceeds the idle or header timeout."""
        if self._current is not None or self._queue:
            return
        if self._reading_since:
            if now - self._reading_since > self._limits.header_timeout_s:
                self._reject(503 if self._is_held_back else 408)
            return
        if now - self._idle_since > self._limits.idle_timeout_s:
            self.close()

    def check_stall(self, now: float) -> None:
        """Give up a body of which nothing arrives, because others wait."""
        if (
            self._reading_since
            and self._reserved
            and not self._is_held_back
            and now - self._received_at > request_memory.STALL_SECONDS
        ):
            self._memory.closed["stalled"] += 1
            self._reject(408)

    def shed(self) -> None:
        """Reject an unfinished request, or close an idle connection."""
        if self._reading_since:
            self._reject(503)
        else:
            self.close()

    @property
    def _limits(self) -> ServerLimits:
        return self._server.limits

    @property
    def _memory(self) -> request_memory.RequestMemory:
        return self._server.memory

    @property
    def _is_held_back(self) -> bool:
        """Whether the rest of a body is read later."""
        return self._is_behind or self._memory.is_waiting(self)

    def _store(self, data: bytes) -> None:
        """Store a part of a body; its size is already counted."""
        is_large = self._length > BODY_PART_BYTES
        if is_large and self._body is None and not self._is_held_back:
            self._body = bytearray(self._length)
            held = b"".join(self._parts)
            self._body[: len(held)] = held
            self._parts = []
        if self._body is not None:
            end = self._body_bytes
            self._body[end - len(data) : end] = data
            return
        if not self._parts or len(self._parts[-1]) >= BODY_PART_BYTES:
            self._parts.append(bytearray())
        self._parts[-1] += data

    def _reserve(self, size: int) -> None:
        """Reserve memory for a body; read on later if there is none now."""
        self._reserved = size
        if not self._memory.reserve(self, self._head_cost + size):
            self.pause_reading()

    def _count_unfinished(self) -> None:
        """Count an unfinished head, and a body that waits to be read."""
        if self._closing or not self._reading_since:
            return
        if self._in_head:
            if self._head_bytes > COUNTED_HEAD_BYTES:
                self._memory.hold(self, self._head_bytes)
        elif self._memory.is_waiting(self):
            self._memory.hold(self, self._head_cost + self._body_bytes)

    def _forget_unfinished(self) -> None:
        """Release what an unfinished request holds."""
        self._fields = bytearray()
        self._body = None
        self._parts = []
        self._memory.drop_unfinished(self)

    def _handle_next(self) -> None:
        if self._current is not None or not self._queue or self._closing:
            return
        req = self._queue.popleft()
        self._current = ResponseWriter(conn=self, req=req)
        self._server.handler(self._current)
        if not self._is_writable:
            # The caller hasn't read the previous response.
            self.pause_writing()

    def _reject_body(self, size: int) -> None:
        """Reject a request whose body has at least ``size`` bytes."""
        limit = self._limits.body_bytes
        self._reject(
            413, b"body of %d bytes exceeds the limit of %d\n" % (size, limit)
        )

    def _reject(self, status: int, reason: bytes = b"") -> None:
        """Reject a request with a status and close the connection.

        The status is left out while an earlier request is being handled, whose
        response it would precede.

        Args:
            status: HTTP status.
            reason: Explanation for the caller.
        """
        if self._closing:
            return
        if self._current is None:
            headers = [
                (b"content-length", b"%d" % len(reason)),
                (b"connection", b"close"),
            ]
            if status == 503:
                headers.append((b"retry-after", b"%d" % RETRY_AFTER_SECONDS))
            head = http_message.write_head(
                http_message.status_line(status), headers
            )
            self.write(head + reason)
        self.close()
        self._forget_unfinished()


def _split_fields(lines: list[bytearray]) -> http_message.Headers:
    """Return the name and the value of each ``name:value``."""
    headers = []
    for line in lines:
        name, _, value = bytes(line).partition(b":")
        headers.append((name, value))
    return headers


class Server:
    """Listen on an address and pass each request to a handler.

    Attributes:
        address: Address to listen on, ``ip:port``.
        handler: Called with the response writer of each request.
        limits: Limits on callers; may be replaced at any time.
        stopping: Whether connections close after their next response.
        connections: Open connections.
        memory: Account of what connections hold.
        dead_peer_s: A connection with bytes unacknowledged for so many seconds
            is closed.
        on_first: Called when a connection opens while no other is open.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: Handler,
        dead_peer_s: float = 8.0,
        memory: request_memory.RequestMemory | None = None,
    ) -> None:
        """Initialize a server that doesn't listen yet.

        Args:
            address: Address to listen on, ``ip:port``.
            handler: Called with the response writer of each request.
            dead_peer_s: Time after which a connection with unacknowledged
                bytes is closed, seconds.
            memory: Account that servers of a process share.
        """
        self.address = address
        self.handler = handler
        self.limits = ServerLimits()
        self.stopping = False
        self.connections: set[Connection] = set()
        self.memory = memory or request_memory.RequestMemory()
        self.on_first: Callable[[], None] = lambda: None
        self.dead_peer_s = dead_peer_s
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The address cannot be bound.
        """
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(server=self),
            host=host,
            port=int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )

    def check_ages(self) -> None:
        """Close connections that exceed the idle or header timeout."""
        now = clocks.elapsed()
        for conn in list(self.connections):
            conn.check_age(now)
            if self.memory.has_waiting:
                conn.check_stall(now)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that callers have not read yet."""
        return sum(conn.unsent_bytes for conn in self.connections)

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for conn in list(self.connections):
            if not conn.busy:
                conn.close()
