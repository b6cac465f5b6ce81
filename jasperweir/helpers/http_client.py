"""Asynchronous HTTP/1.1 client connections and their pool."""

import asyncio
from collections.abc import Callable
import math
import socket
from typing import NamedTuple
from typing import Protocol

import httptools

from jasperweir.helpers import clocks
from jasperweir.helpers import http_head
from jasperweir.helpers import http_message
from jasperweir.helpers import logs
from jasperweir.helpers import response_bounds

_log = logs.logger("http.client")

# Statuses whose responses never have a body (RFC 9110).
BODILESS_STATUSES = (204, 304)
# Part of a request that is handed to the kernel at once; the rest follows when
# the server has read most of it, so that a large body is not copied as a whole.
WRITE_PART_BYTES = 64 * 1024
# Most bytes that are read at once, so that little arrives after a pause has
# been asked for.
READ_BYTES = 32 * 1024
# Receive buffer of a connection in the kernel, which would grow to several MB
# while reading pauses.
RECEIVE_BUFFER_BYTES = 64 * 1024


class ResponseListener(Protocol):
    """Callbacks for the response to one request."""

    def on_head(self, head: http_message.Head, length: int | None) -> bool:
        """Handle a response's head; False discards the response.

        Args:
            head: Status and headers.
            length: Bytes of the body, None if unknown.
        """

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_broken(self, reason: str) -> None:
        """Handle a response that was cut off.

        Args:
            reason: Why the response cannot be completed.
        """


class ClientTimeouts(NamedTuple):
    """Timeouts of connections, seconds.

    Attributes:
        connect: Longest wait until a connection is established.
        dead_peer: A connection with bytes unacknowledged for this long is
            closed.
        silent: Interval of TCP keep-alive probes on a silent connection, whole
            seconds; without a reply for ``dead_peer`` it is closed. One second
            is the shortest that the kernel allows; callers close a stream that
            pauses for 2 s.
        idle: Time for which an idle connection may be reused if its server
            sends no ``Keep-Alive`` header.
    """

    connect: float = 0.6
    dead_peer: float = 2.0
    silent: int = 1
    idle: float = 3.0


class ClientConnection(asyncio.Protocol):
    """Connection to a server that carries one request at a time.

    Attributes:
        usable_until: Time after which the connection must not be reused.
        idle_since: Time at which the connection was opened or its last
            response completed.
        received: Whether any byte of the current response has arrived.
        closed: Whether the connection is closed.
    """

    def __init__(
        self,
        *,
        times: ClientTimeouts,
        on_exceeded: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialize an unconnected connection.

        Args:
            times: Timeouts.
            on_exceeded: Called when a response exceeds a bound.
        """
        self._times = times
        self._on_exceeded = on_exceeded
        self._bounds = response_bounds.ResponseBounds()
        self._head_check = http_head.HeadCheck()
        self._transport: asyncio.Transport | None = None
        self._listener: ResponseListener | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: http_message.Headers = []
        self._skipping = False
        # Whether the response has no body, whatever its headers state.
        self._is_head_only = False
        self._until_close = False
        self._complete = False
        self._unsent = memoryview(b"")
        self._is_writable = True
        self._is_paused = False
        self._keep_alive_s = times.idle
        self._keep_alive = True
        self.usable_until = 0.0
        self.idle_since = 0.0
        self.received = False
        self.closed = False

    # Requests.

    @property
    def idle(self) -> bool:
        """Whether the connection is free and may still be reused."""
        if self.closed or self._listener is not None:
            return False
        return clocks.elapsed() < self.usable_until

    def send(
        self,
        data: bytes,
        listener: ResponseListener,
        body: bytes | bytearray = b"",
    ) -> None:
        """Send one request; the listener receives the response.

        Args:
            data: The head, or the whole request.
            listener: Receives the response.
            body: Body that follows; it is sent as fast as the server reads.
        """
        assert self._transport is not None
        self._listener = listener
        self._complete = False
        self._bounds = response_bounds.ResponseBounds()
        self._head_check = http_head.HeadCheck()
        self._is_head_only = data.startswith(b"HEAD ")
        self.received = False
        self._unsent = memoryview(body)
        self._transport.write(data)
        self._send_more()

    def _send_more(self) -> None:
        assert self._transport is not None
        while self._unsent and self._is_writable and not self.closed:
            part = self._unsent[:WRITE_PART_BYTES]
            self._unsent = self._unsent[WRITE_PART_BYTES:]
            self._transport.write(part)
        if not self._unsent:
            # An empty view would keep the whole body while the connection is
            # idle.
            self._unsent = memoryview(b"")

    def pause_reading(self) -> None:
        """Stop reading the response, so that the server has to wait."""
        if self.closed or self._is_paused or self._transport is None:
            return
        self._is_paused = True
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read the response again."""
        if not self._is_paused or self._transport is None:
            return
        self._is_paused = False
        if not self.closed and not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection at once, without a call to the listener."""
        self._listener = None
        self.closed = True
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    # Transport callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(WRITE_PART_BYTES)
        if hasattr(transport, "max_size"):
            # asyncio's transports read up to 256 KiB at once otherwise.
            transport.max_size = READ_BYTES
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        timeout_ms = int(self._times.dead_peer * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        # Keep-alive probes close a connection whose peer is unreachable before
        # a request is sent on it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            sock.setsockopt(socket.IPPROTO_TCP, option, self._times.silent)
        self._mark_idle(self._times.idle)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the server."""
        if self.closed:
            return
        if self._listener is None:
            # The server sent bytes without a request.
            self.close()
            return
        self.received = True
        self._bounds.on_bytes(len(data))
        try:
            self._head_check.feed(data)
            self._parser.feed_data(data)
        except http_head.MalformedHeadError as exc:
            self._fail(f"malformed response: {exc}")
            return
        except httptools.HttpParserCallbackError:
            _log.exception("error while a response was handled")
            self._fail("error while the response was handled")
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._complete:
                self._fail(f"malformed response: {type(exc).__name__}")
                return
            # Bytes after a complete response belong to no request.
            self._keep_alive = False
        exceeded = self._bounds.find_exceeded()
        if exceeded and not self.closed:
            self._on_bound(exceeded)
            return
        if self._complete:
            if self._is_head_only:
                # The parser waits for the body that the head describes.
                self._parser = httptools.HttpResponseParser(self)
            self._finish_response()

    def _on_bound(self, exceeded: str) -> None:
        """Close the connection of a response that exceeds a bound."""
        peer = None
        if self._transport is not None:
            peer = self._transport.get_extra_info("peername")
        _log.warning("response exceeds a bound", kind=exceeded, peer=str(peer))
        self._on_exceeded()
        self._fail(exceeded)

    def pause_writing(self) -> None:
        """Hold the rest of the request until the server reads."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Send the next parts of the request."""
        self._is_writable = True
        self._send_more()

    def eof_received(self) -> bool:
        """Complete a response that the close delimits, or report it cut off.

        The transport would first write the rest of a long request.
        """
        listener = self._listener
        if listener is None:
            return False
        if self._until_close:
            self.close()
            listener.on_end()
        else:
            self._fail("closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a response that is cut off."""
        self.closed = True
        if self._listener is None:
            return
        self._fail(f"closed: {exc}" if exc else "closed")

    # Parser callbacks.

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers = []
        self._until_close = False
        if self._complete:
            # A second response to one request is discarded, and the connection
            # is not reused.
            self._skipping = True
            self._keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._bounds.on_line()
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the head of a response to the listener."""
        status = self._parser.get_status_code()
        if self._complete or self._listener is None:
            return
        if 100 <= status < 200:
            self._skipping = True
            return
        self._bounds.on_head_end()
        length_text = http_message.find(self._headers, b"content-length")
        coding = http_message.find(self._headers, b"transfer-encoding")
        length = int(length_text) if length_text is not None else None
        bodiless = self._is_head_only or status in BODILESS_STATUSES
        framing = http_message.Framing.CLOSE
        if bodiless:
            framing = http_message.Framing.NONE
        elif length is not None:
            framing = http_message.Framing.LENGTH
        elif coding is not None:
            framing = http_message.Framing.CHUNKS
        self._until_close = framing is http_message.Framing.CLOSE
        self._keep_alive = self._parser.should_keep_alive()
        self._keep_alive_s = self._read_keep_alive()
        head = http_message.Head(
            status=status, headers=self._headers, framing=framing
        )
        wanted = self._listener.on_head(head, 0 if bodiless else length)
        self._skipping = not wanted
        if self._skipping and self._until_close:
            self._fail("a response to another request, of unknown length")
        elif self._is_head_only:
            self._skipping = True
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the listener."""
        self._bounds.on_body(len(body), is_discarded=self._skipping)
        if self._is_head_only:
            # The server sends a body that belongs to no response.
            self._keep_alive = False
        if not self._skipping and self._listener is not None:
            self._listener.on_data(body)

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        if self._skipping:
            self._skipping = self._complete
            return
        self._complete = True

    def _read_keep_alive(self) -> float:
        stated = http_message.find(self._headers, b"keep-alive") or b""
        for part in stated.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                # The margin covers the transit time and servers that close
                # early under load.
                return min(float(value) * 0.6, self._times.idle * 4)
        return self._times.idle

    def _finish_response(self) -> None:
        listener = self._listener
        self._listener = None
        assert self._transport is not None
        unsent = len(self._unsent) + self._transport.get_write_buffer_size()
        self.resume_reading()
        if not self._keep_alive or unsent:
            self.close()
        else:
            self._mark_idle(self._keep_alive_s)
        if listener is not None:
            listener.on_end()

    def _mark_idle(self, seconds: float) -> None:
        self.idle_since = clocks.elapsed()
        self.usable_until = self.idle_since + seconds

    def _fail(self, reason: str) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.on_broken(reason)


class ConnectionPool:
    """Pool of idle connections by server.

    Attributes:
        opened: Number of connections opened so far.
        on_exceeded: Called when a response exceeds a bound.
    """

    def __init__(self, *, times: ClientTimeouts) -> None:
        self._times = times
        self._idle: dict[str, list[ClientConnection]] = {}
        self.opened = 0
        self.on_exceeded: Callable[[], None] = lambda: None

    def acquire(
        self, key: str, max_idle_s: float = math.inf
    ) -> ClientConnection | None:
        """Return the idle connection that was used last, None without one.

        Args:
            key: Server and incarnation.
            max_idle_s: Longest time since its last use, seconds; a
                connection that has been idle for longer stays in the pool.
        """
        conns = self._idle.get(key, [])
        while conns:
            conn = conns.pop()
            if not conn.idle:
                conn.close()
                continue
            if clocks.elapsed() - conn.idle_since <= max_idle_s:
                return conn
            conns.append(conn)
            return None
        return None

    def release(self, key: str, conn: ClientConnection) -> None:
        """Return a connection to the pool if it may be reused."""
        if conn.idle:
            self._idle.setdefault(key, []).append(conn)

    def close_idle(self, key: str) -> None:
        """Close the idle connections to a server."""
        for conn in self._idle.pop(key, []):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that must not be reused any more."""
        for key, conns in list(self._idle.items()):
            kept = []
            for conn in conns:
                if conn.idle:
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    async def open(self, address: str) -> ClientConnection:
        """Open a connection.

        Raises:
            OSError: The connection was refused or not established in time.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self._times.connect):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(
                        times=self._times,
                        on_exceeded=lambda: self.on_exceeded(),
                    ),
                    host=host,
                    port=int(port),
                )
        except TimeoutError as exc:
            raise OSError(f"timeout while connecting to {address}") from exc
        return conn
