"""An entry with a real socket for callers, and targets with large answers."""

import asyncio
import contextlib
import socket

from features.harness import hop
from features.harness import site
from jasperweir.components.forward import dialect
from jasperweir.helpers import http_server

EVENT_BYTES = 8 * 1024
PATIENCE_SECONDS = 20.0
# Buffers of callers and targets in the kernel, so that little fits into them.
SOCKET_BYTES = 16 * 1024
# On a busy machine it takes longer to connect all callers than an entry keeps
# one that doesn't read.
DEAD_PEER_SECONDS = 60.0


class Dialect(hop.Dialect):
    """Callers wait for long."""

    def parse_caller_headers(self, req):
        return dialect.CallerHeaders("id", PATIENCE_SECONDS, "", 10, 10, "")


class Target:
    """Sends an answer of many events, or reads a body after a pause.

    Attributes:
        events: Events of an answer.
        cut_s: It cuts off an answer that stays unread for so long, seconds.
        read_after_s: Pause before it reads the body of a request, seconds.
        sent: Bytes sent by request.
        bodies: Sizes of the bodies that it has read.
        cuts: Number of answers that it cut off.
    """

    def __init__(self, *, events, cut_s=60.0, read_after_s=0.0):
        self.events = events
        self.cut_s = cut_s
        self.read_after_s = read_after_s
        self.sent = []
        self.bodies = []
        self.cuts = 0
        self.gap_s = 0.0

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, backlog=512, limit=SOCKET_BYTES
        )
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                length = int(length.partition(b"\r\n")[0] or 0)
                if length:
                    await asyncio.sleep(self.read_after_s)
                self.bodies.append(len(await reader.readexactly(length)))
                await self._answer(writer)
        writer.close()

    async def _answer(self, writer):
        number = len(self.sent)
        self.sent.append(0)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for event_id in range(1, self.events + 1):
            event = b"id: %d\ndata: %b\n\n" % (event_id, b"x" * EVENT_BYTES)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            try:
                async with asyncio.timeout(self.cut_s):
                    await writer.drain()
            except TimeoutError:
                self.cuts += 1
                writer.transport.abort()
                raise ConnectionError("unread") from None
            self.sent[number] += len(event)
            if self.gap_s:
                await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")

    def close(self):
        self._server.close()


class Entry:
    """A forwarder behind its HTTP server."""

    def __init__(self, *, target, attempts=1, resumable=False):
        route = hop.route(
            timeout_s=PATIENCE_SECONDS, resumable=resumable, attempts=attempts
        )
        self.one = hop.Hop(route=route)
        self.target = target
        self.pauses = []
        self.callers = []

    async def start(self):
        await self.one.prepare()
        forwarder = self.one.forwarder
        forwarder.dialect = Dialect()
        forwarder.record_pause = lambda service, target, s: self.pauses.append(
            s
        )
        await self.target.start()
        record = site.target(target_id="t0", address=self.target.address)
        self.one.directory.merge(record._replace(slots=2000), forwarder.now())
        self.server = http_server.Server(
            address="127.0.0.1:0",
            handler=forwarder.handle,
            dead_peer_s=DEAD_PEER_SECONDS,
        )
        await self.server.start()
        listening = self.server._server.sockets[0]
        self.port = listening.getsockname()[1]

    async def call(self, body=b""):
        """Open a connection, send a request, and return its streams."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=SOCKET_BYTES
        )
        writer.write(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body)
        )
        self.callers.append(writer)
        return reader

    def unsent(self):
        """Return the bytes that the entry holds for all callers."""
        return sum(conn.unsent_bytes for conn in self.server.connections)

    def close(self):
        for writer in self.callers:
            writer.transport.abort()
        self.server.close_listener()
        self.target.close()
        self.one.close()


async def read_answer(reader):
    """Return the bytes of a chunked answer, and whether it is whole."""
    body = b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(1 << 16):
            body += data
            if body.endswith(b"\r\n0\r\n\r\n"):
                return body, True
    return body, False
