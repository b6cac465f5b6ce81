"""Answers as they arrive at a caller, read without an HTTP library.

http.client takes a body that ends after its last chunk's size line for
complete, and reads nothing past the stated length.
"""

import socket
import time
from typing import NamedTuple

READ_BYTES = 64 * 1024


class RawAnswer(NamedTuple):
    """An answer and whether its framing is complete.

    Attributes:
        status: Status, 0 without a complete head.
        headers: Headers by lower-case name.
        body: Bytes of the body that arrived.
        is_complete: Whether the framing says that this is the whole body.
        extra: Bytes after the end of the framing.
        body_s: Time from the request to the last read of the body, seconds.
    """

    status: int = 0
    headers: dict = {}
    body: bytes = b""
    is_complete: bool = False
    extra: bytes = b""
    body_s: float = 0.0


class AnswerParser:
    """Parser of the bytes of one connection with one answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self._data = b""
        self._in_head = True
        # Bytes left of the body or chunk; None before the size of a chunk.
        self._left = None
        self._framing = "close"
        self._in_trailer = False

    @property
    def extra(self):
        """Bytes after the end of the framing."""
        return self._data if self.is_complete else b""

    def feed(self, data):
        """Parse some bytes."""
        self._data += data
        if self._in_head:
            self._parse_head()
        if self._in_head or self.is_complete:
            return
        if self._framing == "chunks":
            self._parse_chunks()
        elif self._framing == "length":
            self._take_body(self._left)
            self.is_complete = self._left == 0
        else:
            self._take_body(len(self._data))

    def on_close(self):
        """Handle an orderly close, which ends a body without other framing."""
        if not self._in_head and self._framing == "close":
            self.is_complete = True

    def _parse_head(self):
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        line, *fields = head.split(b"\r\n")
        self.status = int(line.split(b" ")[1])
        for field in fields:
            name, _, value = field.partition(b":")
            name = name.decode().lower()
            assert name not in self.headers or name == "set-cookie", name
            self.headers[name] = value.strip().decode()
        self._data, self._in_head = rest, False
        if self.headers.get("transfer-encoding") == "chunked":
            assert "content-length" not in self.headers, self.headers
            self._framing = "chunks"
        elif "content-length" in self.headers:
            self._framing = "length"
            self._left = int(self.headers["content-length"])

    def _take_body(self, size):
        taken, self._data = self._data[:size], self._data[size:]
        self.body += taken
        if self._left is not None:
            self._left -= len(taken)

    def _parse_chunks(self):
        while not self.is_complete:
            if self._left is None:
                line, end, rest = self._data.partition(b"\r\n")
                if not end:
                    return
                self._data = rest
                if self._in_trailer:
                    self.is_complete = not line
                    continue
                self._left = int(line.partition(b";")[0], 16)
                self._in_trailer = not self._left
                if self._in_trailer:
                    self._left = None
                continue
            self._take_body(self._left)
            if self._left or len(self._data) < 2:
                return
            assert self._data.startswith(b"\r\n"), self._data[:20]
            self._data, self._left = self._data[2:], None


def call(address, method, path, headers, *, seconds, body=b""):
    """Send a request on a connection of its own and read until its close.

    Args:
        address: Host and port.
        method: HTTP method.
        path: Path and query.
        headers: Headers by name.
        seconds: Longest wait for more bytes.
        body: Body of the request.
    """
    host, _, port = address.rpartition(":")
    fields = {**headers, "Connection": "close"}
    if method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    parser = AnswerParser()
    began = time.monotonic()
    body_s = 0.0
    with socket.create_connection((host, int(port)), seconds) as sock:
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        try:
            while data := sock.recv(READ_BYTES):
                had = len(parser.body)
                parser.feed(data)
                if len(parser.body) > had:
                    body_s = time.monotonic() - began
            parser.on_close()
        except (ConnectionResetError, TimeoutError):
            # Complete only if the framing was complete before.
            pass
    return RawAnswer(
        parser.status, parser.headers, parser.body, parser.is_complete,
        parser.extra, body_s,
    )  # fmt: skip
