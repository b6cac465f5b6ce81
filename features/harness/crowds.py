"""Crowds of clients that send more than they may, or never finish."""

import contextlib
import pathlib
import selectors
import socket
import time
from typing import NamedTuple

from features.harness import platform as platform_lib

HOST_FIELD = f"Host: {platform_lib.HOST}\r\n".encode()
KEY_FIELD = f"Authorization: Bearer {platform_lib.KEY}\r\n".encode()
LINE = b"POST /book/x HTTP/1.1\r\n"
HEAD = LINE + HOST_FIELD + KEY_FIELD
CHUNKED = HEAD + b"Attempt-Id: crowd\r\nTransfer-Encoding: chunked\r\n\r\n"
HEADER_BYTES = 16384
BODY_BYTES = 4 * 1024 * 1024
WRITE_BYTES = 32 * 1024
# A crowd that neither gets rid of bytes nor is closed for this long has done
# what it can.
STILL_SECONDS = 1.0
MOST_SECONDS = 12.0


class Crowd(NamedTuple):
    """Clients that all send the same.

    Attributes:
        clients: Number of clients.
        first: What each sends first.
        again: What each sends again and again after it.
        most: Most bytes that each sends; it keeps the connection open.
    """

    clients: int
    first: bytes
    again: bytes = b""
    most: int = 0


def _tiny_fields(size):
    return b"a:\r\n" * (size // 4)


def _sized(size):
    return HEAD + b"Attempt-Id: crowd\r\nContent-Length: %d\r\n\r\n" % size


CROWDS = {
    "heads of legal size without an end": Crowd(
        200, HEAD + _tiny_fields(HEADER_BYTES - 256)
    ),
    "heads over the limit": Crowd(60, HEAD, _tiny_fields(WRITE_BYTES), 1 << 20),
    "one field without an end": Crowd(
        60, HEAD + b"a: ", b"x" * WRITE_BYTES, 1 << 20
    ),
    "trailers without an end": Crowd(
        60, CHUNKED + b"1\r\nx\r\n0\r\n", _tiny_fields(WRITE_BYTES), 1 << 20
    ),
    "empty lines before a request": Crowd(
        60, b"\r\n" * 100, b"\r\n" * (WRITE_BYTES // 2), 1 << 20
    ),
    "chunk extensions without an end": Crowd(
        60, CHUNKED + b"1;", b"x" * WRITE_BYTES, 1 << 20
    ),
    "bodies in chunks of 2 bytes": Crowd(
        10, CHUNKED, b"2\r\nxx\r\n" * 4096, BODY_BYTES // 2 * 7
    ),
    "bodies in chunks of 16 bytes": Crowd(
        40, CHUNKED, b"10\r\n" + b"x" * 16 + b"\r\n", BODY_BYTES // 16 * 22
    ),
    "bodies that are not ended": Crowd(
        300, _sized(BODY_BYTES), b"x" * WRITE_BYTES, 256 * 1024
    ),
    "bodies one byte short": Crowd(
        40, _sized(BODY_BYTES), b"x" * WRITE_BYTES, BODY_BYTES - 1
    ),
    "whole bodies at once": Crowd(
        40, _sized(BODY_BYTES), b"x" * WRITE_BYTES, BODY_BYTES
    ),
    "complete heads of tiny fields": Crowd(
        200,
        HEAD + b"Attempt-Id: crowd\r\n" + _tiny_fields(HEADER_BYTES - 512)
        + b"Content-Length: 1\r\n\r\n",
    ),
    "connections without a request": Crowd(700, b""),
}  # fmt: skip
# Small chunks are sent many at a time.
CROWDS["bodies in chunks of 16 bytes"] = CROWDS[
    "bodies in chunks of 16 bytes"
]._replace(again=(b"10\r\n" + b"x" * 16 + b"\r\n") * 1024)


def _greet():
    """Return a ZMTP 3.0 greeting and handshake without security."""
    greeting = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0")
    kind = b"DEALER"
    ready = b"\x05READY\x0bSocket-Type" + len(kind).to_bytes(4, "big") + kind
    return greeting.ljust(64, b"\0") + b"\x04" + bytes([len(ready)]) + ready


# Parts of a message of which there are always more.
_MORE = b"\x01\x01x"
CROWDS |= {
    "parts of one message without an end": Crowd(
        5, _greet(), _MORE * 8192, 3 * 1000 * 1000
    ),
    "connections without a handshake": Crowd(700, b""),
}


class _Client:
    """One client of a crowd."""

    def __init__(self, address, crowd):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(address)
        self._crowd = crowd
        self._unsent = memoryview(crowd.first)
        self._left = crowd.most

    def send(self):
        """Send what the kernel takes; return the number of bytes."""
        if not self._unsent and self._left > 0:
            size = min(self._left, len(self._crowd.again))
            self._unsent = memoryview(self._crowd.again)[:size]
            self._left -= size
        if not self._unsent:
            return 0
        sent = self.sock.send(self._unsent)
        self._unsent = self._unsent[sent:]
        return sent

    @property
    def wants_to_send(self):
        return bool(self._unsent) or self._left > 0


def run(address, crowd):
    """Let a crowd do its worst; return its clients, which stay connected.

    Args:
        address: Host and port.
        crowd: The crowd.
    """
    clients = [_Client(address, crowd) for _ in range(crowd.clients)]
    open_clients = set(clients)
    ends_at = time.monotonic() + MOST_SECONDS
    moved_at = time.monotonic()
    while open_clients and time.monotonic() < ends_at:
        if time.monotonic() - moved_at > STILL_SECONDS:
            break
        with selectors.DefaultSelector() as selector:
            for client in open_clients:
                events = selectors.EVENT_READ
                if client.wants_to_send:
                    events |= selectors.EVENT_WRITE
                selector.register(client.sock, events, client)
            ready = selector.select(0.1)
        for key, events in ready:
            client = key.data
            try:
                if events & selectors.EVENT_READ and not client.sock.recv(4096):
                    raise ConnectionResetError
                if events & selectors.EVENT_WRITE and client.send():
                    moved_at = time.monotonic()
            except BlockingIOError:
                continue
            except OSError:
                open_clients.discard(client)
                moved_at = time.monotonic()
    return clients


def close(clients):
    """Close the connections of a crowd."""
    for client in clients:
        client.sock.close()


def read_memory(pid, field="VmRSS"):
    """Return the memory of a process in bytes.

    Args:
        pid: Id of the process.
        field: ``VmRSS`` for what it has now, ``VmHWM`` for its most.
    """
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(found for found in text.splitlines() if field in found)
    return int(line.split()[1]) * 1024


def count_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
