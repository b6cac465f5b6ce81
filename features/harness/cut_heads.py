"""Peers that cut the heads of their responses off, and readers of these."""

import asyncio
import contextlib
import socket
import threading
import time
from unittest import mock

import urllib3

from features.harness import cut_answers_own as own
from features.harness import raw_answers
from jasperweir.daemons import solo as solo_lib
from jasperweir.helpers import http_client
from jasperweir.helpers import http_fetch
from jasperweir.helpers import http_pool

FIELDS = b"Jasperweir-Engine-Status: 200\r\nJasperweir-Run: a/1/r\r\n"
JSON = b"Content-Type: application/json\r\n"
HEADS = (
    b"HTTP/1.1 200 OK\r\n" + FIELDS + JSON + b"Content-Length: 25\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + JSON + b"Transfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n"
    + FIELDS
    + b"Content-Type: text/event-stream\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n" + JSON + b"\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
)
ENDS = ("close", "reset")
SOLO_HOST = "127.0.0.77"
SOLO_PORT = 18700


def list_cuts(step=1):
    """Return the beginnings of all heads with the way in which they end."""
    return [
        (head[:size], end)
        for head in HEADS
        for size in range(1, len(head), step)
        for end in ENDS
    ]


class CutPeer(own.Peer):
    """Server that sends the beginning of a head and ends the connection."""

    def __init__(self, cut, end):
        self._cut, self._end = cut, end
        super().__init__(script=None)

    def _serve(self, conn):
        with conn, contextlib.suppress(OSError):
            conn.settimeout(own.SOCKET_SECONDS)
            if own._read_request(conn):
                send_cut(conn, self._cut, self._end)


def send_cut(conn, cut, end):
    """Send the beginning of a head and end the connection."""
    conn.sendall(cut)
    if end == "reset":
        # What was sent has to arrive before the reset.
        time.sleep(0.005)
        own._reset_on_close(conn)
    else:
        conn.shutdown(socket.SHUT_WR)
        conn.recv(1)


def read_as_probe(address):
    """Return whether the client of probes and polls gets a response."""

    async def fetch():
        pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
        try:
            await http_fetch.fetch(pool, address, b"GET", b"/", b"", 5.0)
        except OSError:
            return False
        return True

    return asyncio.run(fetch())


def read_as_pool(address):
    """Return whether a pool of blocking connections gets a response."""
    pool = http_pool.create(timeout=5.0)
    try:
        pool.request("GET", f"http://{address}/")
    except (urllib3.exceptions.HTTPError, ValueError):
        return False
    finally:
        pool.clear()
    return True


def read_as_agent(address):
    """Return whether an agent takes an engine's answer for complete."""
    executor, rid = own.start_run(address)
    return own.run_to_end(executor, rid).is_complete


def read_as_entry(address):
    """Return whether an entry takes an agent's answer for complete."""
    resp = own.make_driver(address, streamed=False).serve()
    if isinstance(resp.body, bytes):
        return resp.status == 200
    with contextlib.suppress(own.request_driver.AnswerBrokenError):
        for _ in resp.body:
            continue
        return True
    return False


def read_as_client(address):
    """Return whether the Python client takes an answer for complete."""
    client = own.client_lib.Client(seeds=[address], customer="c")
    answer = client.call("POST", "/v1/chat/completions", b"{}")
    return answer.status == 200 and not answer.error


READERS = {
    "client of probes and polls": read_as_probe,
    "pool of connections": read_as_pool,
    "agent": read_as_agent,
    "entry": read_as_entry,
    "client": read_as_client,
}


def read(reader, cut, end):
    """Return whether a reader takes the beginning of a head for a response."""
    peer = CutPeer(cut, end)
    try:
        return READERS[reader](peer.address)
    finally:
        peer.stop()


class CutEngine:
    """Engine of a whole system that cuts off the heads of its answers.

    Attributes:
        cut: Beginning of the head to send, None to answer whole.
        end: How the connection ends.
        attempts: Number of completions that were requested.
    """

    def __init__(self, *, address):
        self.cut, self.end = None, "close"
        self.attempts = 0
        host, _, port = address.partition(":")
        self._listener = socket.create_server((host, int(port)), backlog=64)

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(conn,), daemon=True
                ).start()

    def _serve(self, conn):
        with conn, contextlib.suppress(OSError):
            conn.settimeout(own.SOCKET_SECONDS)
            line = own._read_request(conn)
            if b"completions" in line:
                self.attempts += 1
                if self.cut is not None:
                    send_cut(conn, self.cut, self.end)
                    return
            body = b'{"active": 0, "prefixes": [], "choices": []}'
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Connection: close\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )


class System:
    """Control, agent and entry in one process, with a CutEngine.

    Attributes:
        engine: The engine.
    """

    def __init__(self):
        with mock.patch.object(solo_lib, "EchoTarget", CutEngine):
            self._solo = solo_lib.Solo(host=SOLO_HOST, port=SOLO_PORT)
        self.engine = self._solo._kernel.get("target", CutEngine)
        self._solo.start()

    def stop(self):
        self.engine.stop()
        for name in ("entry", "agent", "control"):
            daemon = self._solo._kernel.get(name, object)
            daemon.drain()
            daemon.wait()

    def call(self):
        """Return what a caller reads from the entry."""
        return raw_answers.call(
            f"{SOLO_HOST}:{SOLO_PORT}",
            "POST",
            "/v1/chat/completions",
            {"Content-Type": "application/json", "Host": "h"},
            seconds=20.0,
            body=b'{"model": "echo", "messages": []}',
        )
