"""Answers of a test double that are framed and cut off as a test asks.

A request asks for them in its query, where they reach every target that the
request is sent to::

    ?framing=close&huge=3&cuts=length:3:17:reset,chunks:4:0:close

``cuts`` lists the cuts of successive attempts; later attempts get the whole
answer.
"""

import fcntl
import http.server
import os
import socket
import struct
import termios
import time
from typing import NamedTuple
import urllib.parse

from jasperweir.helpers import event_stream

# Content-Length, chunks, neither of them, neither under an HTTP/1.0 status.
FRAMINGS = ("length", "chunks", "close", "http/1.0")
# Chunks of which the last one states more bytes than it has.
TORN_CHUNK = "torn chunk"
CUT_FRAMINGS = (*FRAMINGS, TORN_CHUNK)
# Framings whose end is the close of the connection.
UNSTATED_FRAMINGS = ("close", "http/1.0")
# Orderly close, reset, nothing until the peer closes, complete framing.
ENDS = ("close", "reset", "silence", "complete")

EVENTS = 5
# Size of an event that no buffer of an entry holds, bytes.
HUGE_BYTES = event_stream.MAX_EVENT_BYTES + 100_000
# Pause after each event and before a cut, seconds.
PAUSE_SECONDS = 0.003
# Longest silence, seconds.
SILENCE_SECONDS = 15.0
# Longest wait until the peer has received what precedes a reset, seconds.
DRAIN_SECONDS = 3.0
# SO_LINGER value with which a close resets the connection.
_RESET = struct.pack("ii", 1, 0)


class Cut(NamedTuple):
    """Place and manner in which an answer is cut off.

    Attributes:
        framing: One of CUT_FRAMINGS.
        event: Number of the event that is cut; 0 for no byte of the body. In a
            resumed stream that is past it, the first one is cut.
        offset: Bytes of that event that are sent.
        end: One of ENDS.
    """

    framing: str
    event: int
    offset: int
    end: str

    @property
    def is_possible(self) -> bool:
        """Whether the framing can end in this way."""
        has_end = self.framing in ("length", "chunks")
        return has_end or self.end != "complete"


class Script(NamedTuple):
    """What a request asks for.

    Attributes:
        framing: Framing of the whole answer, one of FRAMINGS.
        huge: Number of an event that is larger than any buffer, 0 for none.
        cuts: Cuts of the first attempts.
    """

    framing: str = "chunks"
    huge: int = 0
    cuts: tuple[Cut, ...] = ()

    def write_query(self) -> str:
        """Return the query of a request for these answers."""
        cuts = (":".join(map(str, cut)) for cut in self.cuts)
        fields = {
            "framing": self.framing,
            "huge": self.huge,
            "cuts": ",".join(cuts),
        }
        return urllib.parse.urlencode(fields)


def parse_script(path: str) -> Script | None:
    """Return what a request with a path asks for, None if nothing.

    Raises:
        ValueError: The query is malformed.
    """
    fields = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(path).query))
    if "framing" not in fields:
        return None
    cuts = []
    for text in filter(None, fields.get("cuts", "").split(",")):
        framing, event, offset, end = text.split(":")
        cuts.append(Cut(framing, int(event), int(offset), end))
    return Script(fields["framing"], int(fields.get("huge", 0)), tuple(cuts))


def write_event(number: int, *, is_huge: bool = False) -> bytes:
    """Return an event of a scripted answer."""
    data = b"x" * HUGE_BYTES if is_huge else b"piece %d" % number
    return b"id: %d\nevent: e\ndata: %b\n\n" % (number, data)


def list_events(script: Script) -> list[bytes]:
    """Return the events of the whole answer that a script asks for."""
    return [
        write_event(number, is_huge=number == script.huge)
        for number in range(1, EVENTS + 1)
    ]


def cut_pieces(pieces: list[bytes], cut: Cut, after: int) -> list[bytes]:
    """Return the beginning of an answer that is sent before its cut.

    Args:
        pieces: Events of the answer, or its body as one piece.
        cut: Where it is cut.
        after: Number of events before these pieces.
    """
    if not cut.event:
        return []
    whole = max(cut.event - after - 1, 0)
    if whole >= len(pieces):
        return list(pieces)
    begun = pieces[whole][: cut.offset]
    return [*pieces[:whole], *([begun] if begun else [])]


def count_attempt(folder: str, request_id: str) -> int:
    """Return how many attempts of a request targets have begun before.

    Targets agree on it by files that are created exclusively in their common
    folder.

    Raises:
        ValueError: No folder is given.
    """
    if not folder:
        raise ValueError("a request with a script needs an attempts folder")
    number = 0
    while True:
        path = os.path.join(folder, f"{request_id}.{number}")
        try:
            os.close(os.open(path, os.O_CREAT | os.O_EXCL))
        except FileExistsError:
            number += 1
            continue
        return number


def send(
    handler: http.server.BaseHTTPRequestHandler,
    headers: list[tuple[str, str]],
    pieces: list[bytes],
    *,
    framing: str,
    cut: Cut | None = None,
    after: int = 0,
    pause_s: float = PAUSE_SECONDS,
) -> None:
    """Send an answer, or its beginning.

    Args:
        handler: Handler of the request.
        headers: Headers other than those that frame the body.
        pieces: Events of the whole answer, or its body as one piece.
        framing: Framing of an answer that isn't cut, one of FRAMINGS.
        cut: Where and how it is cut off; None to send it whole.
        after: Number of events before these pieces.
        pause_s: Pause after each piece, seconds.
    """
    sent = pieces
    if cut is not None:
        framing, sent = cut.framing, cut_pieces(pieces, cut, after)
    is_complete = cut is None or cut.end == "complete"
    is_chunked = framing in ("chunks", TORN_CHUNK)
    fields = list(headers)
    if framing == "length":
        size = sum(map(len, sent if is_complete else pieces))
        fields.append(("Content-Length", str(size)))
    elif is_chunked:
        fields.append(("Transfer-Encoding", "chunked"))
    version = "HTTP/1.0" if framing == "http/1.0" else "HTTP/1.1"
    lines = [f"{version} 200 OK", *(f"{k}: {v}" for k, v in fields)]
    handler.wfile.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
    for number, piece in enumerate(sent, 1):
        is_torn = framing == TORN_CHUNK and number == len(sent)
        if is_chunked:
            size = len(piece) + (7 if is_torn else 0)
            piece = b"%x\r\n%b" % (size, piece) + (b"" if is_torn else b"\r\n")
        handler.wfile.write(piece)
        time.sleep(pause_s)
    if is_complete:
        if is_chunked:
            handler.wfile.write(b"0\r\n\r\n")
        handler.close_connection = framing in UNSTATED_FRAMINGS
        return
    assert cut is not None
    time.sleep(PAUSE_SECONDS)
    _end(handler, cut.end)


def _end(handler: http.server.BaseHTTPRequestHandler, end: str) -> None:
    """End the connection of an answer that is cut off."""
    handler.close_connection = True
    conn = handler.connection
    if end == "silence":
        conn.settimeout(SILENCE_SECONDS)
        try:
            conn.recv(1)
        except OSError:
            # Reset by the peer, or still open after the longest silence.
            return
    elif end == "reset":
        _wait_until_received(conn)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        # A shutdown by the server would precede the reset with a FIN.
        handler.rfile.close()
        conn.close()


def _wait_until_received(conn: socket.socket) -> None:
    """Wait until the peer has all bytes, as a reset discards the others."""
    until = time.monotonic() + DRAIN_SECONDS
    while time.monotonic() < until:
        unsent = fcntl.ioctl(conn, termios.TIOCOUTQ, bytes(4))
        if not any(unsent):
            return
        time.sleep(PAUSE_SECONDS)
