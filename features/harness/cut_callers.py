"""Callers of the HTTP servers, and responses that are broken off."""

import asyncio
import contextlib
import itertools
import pathlib
import socket
import subprocess
import sys
import threading
from typing import NamedTuple

from jasperweir.helpers import http_server
from jasperweir.helpers import web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PARTS = (b"first part, ", b"second part")
BODY = b"".join(PARTS)
SOCKET_SECONDS = 3.0
PROTOCOLS = (
    "HTTP/1.0",
    "HTTP/1.0 keep-alive",
    "HTTP/1.1",
    "HTTP/1.1 close",
)
FRAMINGS = ("reply", "length", "unknown length")
# "half-close" and "bad request" come from the caller while the response is
# being sent.
ENDS = ("whole", "abort", "half-close", "bad request")


class Case(NamedTuple):
    """A response to a caller.

    Attributes:
        protocol: One of PROTOCOLS.
        framing: One of FRAMINGS.
        end: One of ENDS.
        method: HTTP method.
    """

    protocol: str
    framing: str
    end: str
    method: str = "GET"

    @property
    def request(self):
        """Bytes of the request."""
        version, _, connection = self.protocol.partition(" ")
        head = f"{self.method} / {version}\r\nHost: h\r\n"
        if connection:
            head += f"Connection: {connection}\r\n"
        return head.encode() + b"\r\n"


class Received(NamedTuple):
    """What a caller received.

    Attributes:
        head: Head of the response, lower case.
        body: What followed the head.
        is_reset: Whether the connection was reset.
    """

    head: bytes
    body: bytes
    is_reset: bool

    @property
    def is_complete(self):
        """Whether a reader of HTTP takes the response for complete."""
        if b"transfer-encoding: chunked" in self.head:
            return self.body.endswith(b"0\r\n\r\n")
        for line in self.head.split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(self.body) >= int(line.partition(b":")[2])
        return not self.is_reset

    @property
    def decoded(self):
        """Body without the chunked transfer coding."""
        if b"transfer-encoding: chunked" not in self.head:
            return self.body
        rest, out = self.body, b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            out += rest[: int(size, 16)]
            rest = rest[int(size, 16) + 2 :]
        return out


def list_cases(framings, ends):
    """Return the cases of some framings and ends, for all protocols."""
    return [
        Case(protocol, framing, end)
        for protocol, framing, end in itertools.product(
            PROTOCOLS, framings, ends
        )
    ]


class LoopServer:
    """A ``http_server.Server`` on a loop of its own.

    Attributes:
        address: Its address, host and port.
        bodies: Bodies of the requests that its handler received.
    """

    def __init__(self):
        self.address = ("", 0)
        self.bodies = []
        self._case = None
        self._loop = asyncio.new_event_loop()
        self._server = http_server.Server(
            address="127.0.0.1:0", handler=self._handle
        )
        started = threading.Event()
        self._thread = threading.Thread(
            target=self._run, args=(started,), daemon=True
        )
        self._thread.start()
        assert started.wait(SOCKET_SECONDS)

    def stop(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(SOCKET_SECONDS)

    def _run(self, started):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._server.start())
        listener = self._server._server.sockets[0]
        self.address = listener.getsockname()
        started.set()
        self._loop.run_forever()

    def play(self, case):
        """Return what a caller receives in a case."""
        self._case = case
        return exchange(self.address, case)

    def play_bytes(self, request):
        """Send a request whose connection stays open; wait for a response."""
        send_and_wait(self.address, request)

    def serve_part(self):
        """Send a part of each response from now on, and no end."""
        self._case = Case("HTTP/1.1", "unknown length", "none")

    def _handle(self, answering):
        self.bodies.append(answering.request.body)
        case = self._case or Case("HTTP/1.1", "reply", "whole")
        if case.framing == "reply":
            answering.reply(200, [], BODY)
            return
        length = len(BODY) if case.framing == "length" else None
        answering.start(200, [], length)
        answering.send(PARTS[0])
        match case.end:
            case "whole":
                answering.send(PARTS[1])
                answering.end()
            case "abort":
                # What was sent has to arrive before the reset.
                self._loop.call_later(0.05, answering.abort)


def exchange(address, case):
    """Send a case's request and return what comes back."""
    with socket.create_connection(address, SOCKET_SECONDS) as sock:
        sock.sendall(case.request)
        received = b""
        is_reset = False
        is_broken = False
        with contextlib.suppress(TimeoutError):
            while True:
                try:
                    data = sock.recv(65536)
                except ConnectionResetError:
                    is_reset = True
                    break
                if not data:
                    break
                received += data
                if case.method == "HEAD":
                    sock.settimeout(0.1)
                if is_broken or PARTS[0] not in received:
                    continue
                is_broken = True
                match case.end:
                    case "half-close":
                        sock.shutdown(socket.SHUT_WR)
                    case "bad request":
                        sock.sendall(b"\x00\r\n\r\n")
                    case "whole" if "keep-alive" in received.lower().decode():
                        sock.settimeout(0.1)
                    case "whole" if case.protocol == "HTTP/1.1":
                        sock.settimeout(0.1)
    head, _, body = received.partition(b"\r\n\r\n")
    return Received(head.lower(), body, is_reset)


def send_and_wait(address, request):
    """Send a request and wait for the first bytes of its response."""
    with socket.create_connection(address, SOCKET_SECONDS) as sock:
        sock.sendall(request)
        assert sock.recv(1)


class ThreadServer:
    """A ``web.Server`` whose responses are broken off.

    Attributes:
        address: Its address, host and port.
        bodies: Bodies of the requests that its handler received.
    """

    def __init__(self):
        self.bodies = []
        route = web.Route("*", "/", self._handle)
        self._server = web.Server(
            address="127.0.0.1:0", threads=2, routes=[route]
        )
        self._case = None
        listener = self._server._server
        self.address = (listener.effective_host, listener.effective_port)
        self._server.start()

    def stop(self):
        self._server.stop()

    def play(self, case):
        """Return what a caller receives in a case."""
        self._case = case
        return exchange(self.address, case)

    def play_bytes(self, request):
        """Send a request whose connection stays open; wait for a response."""
        send_and_wait(self.address, request)

    def serve_part(self):
        """Send a part of each response from now on, and no end."""
        self._case = Case("HTTP/1.1", "unknown length", "none")

    def _handle(self, req):
        self.bodies.append(req.body)
        case = self._case or Case("HTTP/1.1", "reply", "whole")
        if case.framing == "reply":
            return web.Resp(200, [], BODY)
        return web.Resp(200, [], self._body(case.end))

    def _body(self, end):
        yield PARTS[0]
        if end == "abort":
            # What was sent has to arrive before the reset.
            threading.Event().wait(0.05)
            raise BrokenError
        if end == "none":
            threading.Event().wait(SOCKET_SECONDS)
        yield PARTS[1]


class BrokenError(Exception):
    """Ends a response before it is complete."""


SERVERS = {"platform's path": LoopServer, "own interface": ThreadServer}
SERVE_CODE = (
    "import sys, time\n"
    "from features.harness import cut_callers\n"
    "server = cut_callers.SERVERS[sys.argv[1]]()\n"
    "server.serve_part()\n"
    "print(*server.address, flush=True)\n"
    "time.sleep(60)\n"
)


class ServerProcess:
    """A server in a process that is killed while it responds."""

    def __init__(self, *, path):
        """Start the process.

        Args:
            path: Key of SERVERS.
        """
        self._process = subprocess.Popen(
            [sys.executable, "-c", SERVE_CODE, path],
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        host, port = self._process.stdout.readline().decode().split()
        self._address = (host, int(port))

    def play(self, case):
        """Return what a caller receives while the process is killed."""
        with socket.create_connection(self._address, SOCKET_SECONDS) as sock:
            sock.sendall(case.request)
            received = b""
            while PARTS[0] not in received:
                received += sock.recv(65536)
            self._process.kill()
            self._process.wait()
            is_reset = False
            try:
                while data := sock.recv(65536):
                    received += data
            except ConnectionResetError:
                is_reset = True
        head, _, body = received.partition(b"\r\n\r\n")
        return Received(head.lower(), body, is_reset)

    def stop(self):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()
