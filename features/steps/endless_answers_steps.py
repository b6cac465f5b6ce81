"""Steps on servers that send bytes without end."""

import asyncio
import itertools
import socket
import time
import tracemalloc

from behave import then
from behave import when

from features.harness import sockets
from jasperweir.helpers import http_client
from jasperweir.helpers import http_fetch
from jasperweir.helpers import http_server
from jasperweir.helpers import web

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
PART = 16 * 1024
REQUEST = b"GET / HTTP/1.1\r\nhost: s\r\n\r\n"
# Longest time for which a server sends, seconds.
SEND_SECONDS = 2.0
# Send buffer of the server, so that few bytes are sent and never read.
SEND_BUFFER_BYTES = 16 * 1024
KIB, MIB = 1024, 1024 * 1024
FILL = b"a" * PART
LINES = b"x-name: value\r\n" * (PART // 15)

ENDLESS = {
    "a reason phrase": (b"HTTP/1.1 200 ", FILL),
    "one header's name": (HEAD, FILL),
    "one header's value": (HEAD + b"x-name: ", FILL),
    "header lines": (HEAD, LINES),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    "empty lines": (b"", b"\r\n" * (PART // 2)),
    "a chunk's size": (CHUNKED, b"0" * PART),
    "a chunk's extension": (CHUNKED + b"5;name=", FILL),
    "trailer lines": (CHUNKED + b"1\r\na\r\n0\r\n", LINES),
    "one trailer": (CHUNKED + b"1\r\na\r\n0\r\nx-name: ", FILL),
    "a discarded body": (HEAD + b"content-length: 999999999\r\n\r\n", FILL),
    "a body to the close": (HEAD + b"\r\n", FILL),
    "a body in chunks": (CHUNKED, b"4000\r\n" + FILL + b"\r\n"),
}

BOUNDED = {
    "200 header lines": HEAD
    + b"x-n: v\r\n" * 200 + b"content-length: 0\r\n\r\n",
    "a head of 300 short lines": HEAD
    + b"a: b\r\n" * 300 + b"content-length: 0\r\n\r\n",
    "a header of 60 KiB": HEAD
    + b"x-n: " + b"v" * 60 * KIB + b"\r\ncontent-length: 0\r\n\r\n",
    "ten interim responses": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * 10
    + HEAD + b"content-length: 0\r\n\r\n",
    "a chunk extension of 8 KiB": CHUNKED
    + b"1;n=" + b"v" * 8 * KIB + b"\r\na\r\n0\r\n\r\n",
}  # fmt: skip


class Listener:
    """Counts what a connection passes on.

    Attributes:
        ended: Future of the reason for which the response was cut off, empty
            if it is complete.
    """

    def __init__(self, *, is_wanted=True):
        self.ended = asyncio.get_running_loop().create_future()
        self.size = 0
        self._is_wanted = is_wanted

    def on_head(self, head, length):
        return self._is_wanted

    def on_data(self, data):
        self.size += len(data)

    def on_end(self):
        self.ended.set_result("")

    def on_broken(self, reason):
        self.ended.set_result(reason)


class Sender:
    """A server that sends parts until its peer closes.

    Attributes:
        sent: Bytes that were handed over until the close.
        closed_s: Time until the close, seconds; None without one.
    """

    def __init__(self, first, parts):
        self.sent = 0
        self.closed_s = None
        self.done = asyncio.get_running_loop().create_future()
        self._first = first
        self._parts = parts

    async def serve(self, reader, writer):
        """Send to one peer."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(PART)
        try:
            await reader.readuntil(b"\r\n\r\n")
            began = time.monotonic()
            for part in itertools.chain((self._first,), self._parts):
                writer.write(part)
                await writer.drain()
                self.sent += len(part)
                if time.monotonic() - began > SEND_SECONDS:
                    return
        except OSError:
            self.closed_s = time.monotonic() - began
        finally:
            writer.close()
            if not self.done.done():
                self.done.set_result(None)


async def run_connection(address, *, is_wanted=True):
    """Read a response on a connection; return the reason of a cut."""
    pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
    conn = await pool.open(address)
    listener = Listener(is_wanted=is_wanted)
    conn.send(REQUEST, listener)
    try:
        async with asyncio.timeout(2 * SEND_SECONDS):
            return await listener.ended, listener.size
    finally:
        conn.close()


async def run_probe(address):
    """Read a response as probes do; return the reason of a cut."""
    pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
    try:
        await http_fetch.fetch(pool, address, b"GET", b"/", b"", SEND_SECONDS)
    except OSError as exc:
        return str(exc), 0
    return "", 0


async def run(context, first, parts, read):
    """Let a server send and a reader read."""
    sender = Sender(first, parts)
    server = await asyncio.start_server(sender.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    tracemalloc.start()
    try:
        context.reason, context.size = await read(f"{host}:{port}")
        _, context.peak = tracemalloc.get_traced_memory()
        await sender.done
    finally:
        tracemalloc.stop()
        server.close()
    context.sender = sender


@when("a server sends {kind} without end to a {reader}")
def step_endless(context, kind, reader):
    first, part = ENDLESS[kind]
    is_wanted = kind != "a discarded body"

    async def read(address):
        if reader == "probe":
            return await run_probe(address)
        return await run_connection(address, is_wanted=is_wanted)

    asyncio.run(run(context, first, itertools.repeat(part), read))


@then("the connection is closed within 1 s, after less than {size:d} KiB")
def step_closed(context, size):
    sender = context.sender
    assert sender.closed_s is not None, f"{sender.sent} bytes, no close"
    assert sender.closed_s < 1.0, sender.closed_s
    assert sender.sent < size * KIB, sender.sent


@then("the reader grows by less than {size:d} MiB")
def step_grows(context, size):
    assert context.peak < size * MIB, context.peak


@then("the request fails for a reason that names the bound")
def step_reason(context):
    assert "exceed" in context.reason, context.reason


@when("a server sends {count:d} chunks of one byte to a connection")
def step_chunks(context, count):
    context.count = count
    parts = [b"1\r\na\r\n" * 1000] * (count // 1000) + [b"0\r\n\r\n"]
    asyncio.run(run(context, CHUNKED, parts, run_connection))


@then("all of them arrive")
def step_arrive(context):
    assert (context.reason, context.size) == ("", context.count)


@when("a server sends {what} to a connection")
def step_bounded(context, what):
    asyncio.run(run(context, BOUNDED[what], (), run_connection))


@then("the response is complete")
def step_complete(context):
    assert context.reason == "", context.reason


POST = b"POST / HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\n"
REQUESTS = {
    "a target": (b"GET /", FILL),
    "one header's value": (b"GET / HTTP/1.1\r\nx-name: ", FILL),
    "header lines": (b"GET / HTTP/1.1\r\n", LINES),
    "empty lines": (b"", b"\r\n" * (PART // 2)),
    "a chunk's size": (POST, b"0" * PART),
    "a chunk's extension": (POST + b"5;name=", FILL),
    "trailer lines": (POST + b"1\r\na\r\n0\r\n", LINES),
    "one trailer": (POST + b"1\r\na\r\n0\r\nx-name: ", FILL),
}


@when("a caller sends {kind} without end to a server")
def step_caller(context, kind):
    first, part = REQUESTS[kind]

    async def run_caller():
        with socket.socket() as found:
            found.bind(("127.0.0.1", 0))
            address = "{}:{}".format(*found.getsockname())
        server = http_server.Server(
            address=address, handler=lambda answering: None
        )
        await server.start()
        host, _, port = address.rpartition(":")
        # Read nothing: the reader below is the server.
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        context.sent, context.closed_s = 0, None
        began = time.monotonic()
        tracemalloc.start()
        try:
            for data in itertools.chain((first,), itertools.repeat(part)):
                if time.monotonic() - began > SEND_SECONDS:
                    break
                await loop.sock_sendall(sock, data)
                context.sent += len(data)
        except OSError:
            context.closed_s = time.monotonic() - began
        finally:
            _, context.peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            sock.close()
            server.close_listener()

    asyncio.run(run_caller())


@when("a caller sends {kind} without end to a threaded server")
def step_threaded(context, kind):
    first, part = REQUESTS[kind]
    address = sockets.free_address()
    server = web.Server(
        address=address,
        threads=2,
        routes=[web.Route("*", "/", lambda req: web.Resp(200, [], b""))],
    )
    server.start()
    host, _, port = address.rpartition(":")
    context.sent, context.closed_s = 0, None
    tracemalloc.start()
    with socket.create_connection((host, int(port))) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.settimeout(SEND_SECONDS)
        began = time.monotonic()
        try:
            for data in itertools.chain((first,), itertools.repeat(part)):
                if time.monotonic() - began > SEND_SECONDS:
                    break
                sock.sendall(data)
                context.sent += len(data)
        except OSError:
            context.closed_s = time.monotonic() - began
    _, context.peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    server.stop()


@then(
    "the server closes the connection within 1 s, after less than {size:d} KiB"
)
def step_server_closed(context, size):
    assert context.closed_s is not None, f"{context.sent} bytes, no close"
    assert context.closed_s < 1.0, context.closed_s
    assert context.sent < size * KIB, context.sent
