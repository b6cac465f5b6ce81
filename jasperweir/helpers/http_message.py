"""HTTP message types and functions shared by the server and the client."""

import enum
import http
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
LAST_CHUNK = b"0\r\n\r\n"


class Request(NamedTuple):
    """HTTP request with its complete body.

    Attributes:
        method: Method in upper case.
        target: Request target as received: path and query.
        headers: Pairs of lower-case name and value, in the order received.
        body: Complete body after transfer decoding; a large one is a
            ``bytearray``, which nobody changes.
        keep_alive: Whether the caller keeps the connection open.
        version: HTTP version, such as ``1.1``.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    keep_alive: bool
    version: str = "1.1"

    @property
    def reads_chunks(self) -> bool:
        """Whether the caller knows the chunked transfer coding."""
        return self.version >= "1.1"

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """Query without the question mark."""
        return self.target.partition(b"?")[2].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header by its lower-case name."""
        return find(self.headers, name)


class Framing(enum.Enum):
    """How the end of a message body is found (RFC 9112, section 6.3)."""

    # The status allows no body.
    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"
    # The body lasts until the connection closes.
    CLOSE = "close"


class Head(NamedTuple):
    """Status, headers and framing of a response."""

    status: int
    headers: Headers
    framing: Framing


def find(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def find_all(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header by its lower-case name."""
    return [value for key, value in headers if key == name]


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that an intermediary forwards (RFC 9110)."""
    named: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP
        and key not in named
        and key != b"content-length"
    ]


def write_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode the head of a message."""
    lines = [first_line]
    lines += [key + b": " + value for key, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def status_line(status: int) -> bytes:
    """Encode the status line of a response."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}".encode("ascii")


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)
