"""Steps on malformed heads of responses and requests."""

import asyncio
import contextlib
import socket
import threading

from behave import then
from behave import when
import urllib3

from features.harness import sockets
from jasperweir.helpers import http_client
from jasperweir.helpers import http_pool
from jasperweir.helpers import http_server

BODY = b"ok"
LINE = b"HTTP/1.1 200 OK"
LENGTH = b"Content-Length: 2"
PATIENCE_SECONDS = 3.0


def head(line=LINE, *fields, length=LENGTH):
    lines = [line, *fields, length] if length else [line, *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


HEADS = {
    "with status 000": head(b"HTTP/1.1 000 Zero"),
    "with status 001": head(b"HTTP/1.1 001 One"),
    "with status 099": head(b"HTTP/1.1 099 Low"),
    "with status 600": head(b"HTTP/1.1 600 High"),
    "with status 999": head(b"HTTP/1.1 999 High"),
    "with status 20": head(b"HTTP/1.1 20 Short"),
    "with status 2000": head(b"HTTP/1.1 2000 Long"),
    "with status 2x0": head(b"HTTP/1.1 2x0 OK"),
    "without a status": head(b"HTTP/1.1 OK"),
    "with a signed status": head(b"HTTP/1.1 +20 OK"),
    "of version 0.9": head(b"HTTP/0.9 200 OK"),
    "of version 2.0": head(b"HTTP/2.0 200 OK"),
    "of version 1.2": head(b"HTTP/1.2 200 OK"),
    "without a version": head(b"HTTP 200 OK"),
    "of another protocol": head(b"RTSP/1.0 200 OK"),
    "in lower case": head(b"http/1.1 200 OK"),
    "with two blanks before the status": head(b"HTTP/1.1  200 OK"),
    "with a tab before the status": head(b"HTTP/1.1\t200 OK"),
    "with a NUL in the reason": head(b"HTTP/1.1 200 O\x00K"),
    "with a control byte in the reason": head(b"HTTP/1.1 200 O\x01K"),
    "with a DEL in the reason": head(b"HTTP/1.1 200 O\x7fK"),
    "with a bare CR in the reason": head(b"HTTP/1.1 200 O\rK"),
    "with a blank in a name": head(LINE, b"X Y: 1"),
    "with a blank before the colon": head(LINE, b"X : 1"),
    "with a tab in a name": head(LINE, b"X\tY: 1"),
    "with a tab before the colon": head(LINE, b"X\t: 1"),
    "with a control byte in a name": head(LINE, b"X\x01Y: 1"),
    "with a NUL in a name": head(LINE, b"X\x00Y: 1"),
    "with a DEL in a name": head(LINE, b"X\x7f: 1"),
    "with a byte above 127 in a name": head(LINE, b"X\xe9: 1"),
    "with a quote in a name": head(LINE, b'X"Y: 1'),
    "with a slash in a name": head(LINE, b"X/Y: 1"),
    "without a name": head(LINE, b": 1"),
    "without a colon": head(LINE, b"X"),
    "with a blank before a name": head(LINE, b" X: 1"),
    "with a folded value": head(LINE, b"X: 1\r\n 2"),
    "with a bare CR before a name": head(LINE, b"\rX: 1"),
    "with a NUL in a value": head(LINE, b"X: a\x00b"),
    "with a control byte in a value": head(LINE, b"X: a\x01b"),
    "with a DEL in a value": head(LINE, b"X: a\x7fb"),
    "with a bare CR in a value": head(LINE, b"X: a\rY: b"),
    "with two lengths": head(LINE, b"Content-Length: 1"),
    "with a signed length": head(length=b"Content-Length: +2"),
    "with a length of two numbers": head(length=b"Content-Length: 2, 2"),
    "with a hexadecimal length": head(length=b"Content-Length: 0x2"),
    "with an empty length": head(length=b"Content-Length:"),
    "with a coding other than chunks": head(
        length=b"Transfer-Encoding: gzip"
    ),
    "with chunks and another coding": head(
        length=b"Transfer-Encoding: chunked, gzip"
    ),
    "that is ordinary": head(LINE, b"Server: s"),
    "of version 1.0": head(b"HTTP/1.0 200 OK"),
    "without a reason": head(b"HTTP/1.1 200 "),
    "with a reason in another script": head(b"HTTP/1.1 200 \xd0\x9e\xd0\x9a"),
    "with blanks around a value": head(LINE, b"X: \t a \t"),
    "with a tab in a value": head(LINE, b"X: a\tb"),
    "with a byte above 127 in a value": head(LINE, b"X: \xe9"),
    "with all marks of names": head(LINE, b"!#$%&'*+-.^_`|~09aZ: 1"),
    "with an empty value": head(LINE, b"X:"),
    "after an interim head": b"HTTP/1.1 100 Continue\r\n\r\n" + head(),
    "that is malformed after an interim one": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + head(b"HTTP/1.1 000 Zero")
    ),
}  # fmt: skip


class OneAnswer:
    """Server that answers one request with given bytes, and then closes."""

    def __init__(self, data, *, is_slow):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = threading.Thread(
            target=self._run, args=(data, is_slow), daemon=True
        )
        self._thread.start()

    def _run(self, data, is_slow):
        sock, _ = self._listener.accept()
        with sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.recv(65536)
            step = 1 if is_slow else len(data)
            for begin in range(0, len(data), step):
                sock.sendall(data[begin : begin + step])
            # The body of a malformed head would last until the end.
            sock.shutdown(socket.SHUT_WR)
            sock.recv(65536)

    def close(self):
        self._listener.close()
        self._thread.join(PATIENCE_SECONDS)


class _Listener:
    """Collects one response."""

    def __init__(self):
        self.found = asyncio.get_running_loop().create_future()
        self._status, self._body = 0, b""

    def on_head(self, found, length):
        self._status = found.status
        return True

    def on_data(self, data):
        self._body += data

    def on_end(self):
        self.found.set_result((self._status, self._body))

    def on_broken(self, reason):
        self.found.set_result(reason)


def ask_as_entry(address):
    """Return status and body of the answer, or why there is none."""

    async def main():
        pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
        conn = await pool.open(address)
        listener = _Listener()
        conn.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", listener)
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await listener.found

    return asyncio.run(main())


def ask_as_agent(address):
    """Return status and body of the answer, or why there is none."""
    manager = http_pool.create()
    try:
        resp = manager.request(
            "GET", f"http://{address}/", timeout=PATIENCE_SECONDS
        )
    except urllib3.exceptions.HTTPError as exc:
        return str(exc)
    return resp.status, resp.data


READERS = {"entry": ask_as_entry, "agent": ask_as_agent}


@when("a server answers an {reader}'s connection with a head {what}")
def step_answers(context, reader, what):
    data = HEADS[what]
    if not hasattr(context, "answers"):
        context.answers = []
    for is_slow in (False, True):
        server = OneAnswer(data + BODY, is_slow=is_slow)
        try:
            found = READERS[reader](server.address)
        finally:
            server.close()
        context.answers.append((reader, is_slow, found))


@then("neither has an answer")
def step_neither(context):
    assert len(context.answers) == 4
    answered = [a for a in context.answers if not isinstance(a[2], str)]
    assert not answered, answered


@then("both have the answer")
def step_both(context):
    assert len(context.answers) == 4
    missing = [a for a in context.answers if a[2] != (200, BODY)]
    assert not missing, missing


REQUESTS = {
    "a blank in a name": (b"HTTP/1.1", b"X Y: 1"),
    "a blank before the colon": (b"HTTP/1.1", b"X : 1"),
    "a control byte in a name": (b"HTTP/1.1", b"X\x01Y: 1"),
    "a NUL in a value": (b"HTTP/1.1", b"X: a\x00b"),
    "a control byte in a value": (b"HTTP/1.1", b"X: a\x01b"),
    "a DEL in a value": (b"HTTP/1.1", b"X: a\x7fb"),
    "a bare CR in a value": (b"HTTP/1.1", b"X: a\rY: b"),
    "version 0.9": (b"HTTP/0.9", b"X: 1"),
    "version 2.0": (b"HTTP/2.0", b"X: 1"),
}


@when("a caller sends a malformed request with {what}")
def step_request(context, what):
    version, field = REQUESTS[what]
    context.handled = []

    def handle(answering):
        context.handled.append(answering.request)
        answering.reply(200, [], b"")

    async def main():
        server = http_server.Server(
            address=sockets.free_address(), handler=handle
        )
        await server.start()
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / %b\r\nHost: h\r\n%b\r\n\r\n" % (version, field))
        async with asyncio.timeout(PATIENCE_SECONDS):
            context.answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        server.close_listener()

    asyncio.run(main())


@then("it is answered 400, and nobody has handled it")
def step_refused(context):
    assert context.answer.startswith(b"HTTP/1.1 400 "), context.answer
    assert not context.handled, context.handled
