"""Transfer of messages that are larger than one frame; sans-I/O.

A large message is sent in parts, of which only a window is unacknowledged.
Small frames to the same node, such as heartbeats, therefore wait for one window
at most, and a slow connection queues no copies.
"""

import dataclasses
from typing import NamedTuple

from jasperweir import exceptions
from jasperweir.helpers import codec

# Encoded messages above this size are sent in parts.
WHOLE_BYTES = 384 * 1024
PART_BYTES = 64 * 1024
WINDOW_BYTES = 4 * PART_BYTES
# Largest message: a configuration of the largest accepted body, in a log entry,
# fits several times.
MAX_MESSAGE_BYTES = 16 << 20
# Interval of the timer while a transfer is in progress, seconds.
TICK_SECONDS = 0.1
# Time without an acknowledgement after which the window is sent again, seconds.
RESEND_SECONDS = 0.5
# Time without progress after which a transfer is given up, seconds.
ABANDON_SECONDS = 3.0


@codec.message("link.part")
class Part(NamedTuple):
    """Part of an encoded message.

    Attributes:
        number: Number of the transfer, unique to an incarnation of the sender.
        kind: Kind of the message.
        offset: Position of the part in the encoded message.
        total: Size of the encoded message, bytes.
        data: Content of the part.
    """

    number: int
    kind: str
    offset: int
    total: int
    data: bytes


@codec.message("link.part_ack")
class PartAck(NamedTuple):
    """Acknowledges the parts of a transfer up to a position.

    Attributes:
        number: Number of the transfer.
        held: Bytes that the receiver holds, without gaps from the start.
    """

    number: int
    held: int


class LargeMessage(NamedTuple):
    """Encoded message for a node that is sent in parts.

    Attributes:
        dst: Name of the node.
        dst_inc: Incarnation that is addressed, 0 for any.
        body: The message.
        request: Number of the request that it belongs to, 0 for none. Messages
            of a kind that differ in it are sent side by side.
    """

    dst: str
    dst_inc: int
    body: codec.Body
    request: int = 0


class _Key(NamedTuple):
    """What is in progress at most once."""

    dst: str
    kind: str
    request: int


class Post(NamedTuple):
    """Message of a transfer that is to be sent to a node.

    Attributes:
        dst: Name of the node.
        dst_inc: Incarnation that is addressed, 0 for any.
        msg: The message.
    """

    dst: str
    dst_inc: int
    msg: Part | PartAck


class Complete(NamedTuple):
    """Message that has arrived in full."""

    kind: str
    data: bytearray


class Receipt(NamedTuple):
    """Result of a part: its acknowledgement and the message, if complete."""

    ack: Post
    complete: Complete | None


@dataclasses.dataclass(kw_only=True, slots=True)
class _Outgoing:
    """Message that is being sent; times are monotonic seconds."""

    number: int
    dst: str
    dst_inc: int
    body: codec.Body
    acked: int = 0
    sent: int = 0
    progress_at: float
    sent_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class _Incoming:
    """Message that is being received from one incarnation of a node."""

    src_inc: int
    kind: str
    total: int
    buffer: bytearray
    heard_at: float
    # Whether it was delivered; its parts may still be repeated.
    is_done: bool = False

    @property
    def held(self) -> int:
        return self.total if self.is_done else len(self.buffer)


class Transfers:
    """Messages that are sent and received in parts.

    To each node one message of a kind and request is in progress at a time.
    Another one is dropped meanwhile, as its sender repeats whatever is not
    answered.
    """

    def __init__(self) -> None:
        self._number = 0
        self._outgoing: dict[_Key, _Outgoing] = {}
        # By the sender's name and the number of its transfer.
        self._incoming: dict[tuple[str, int], _Incoming] = {}

    @property
    def is_active(self) -> bool:
        """Whether ``tick`` must be called."""
        return bool(self._outgoing or self._incoming)

    def is_receiving(self, kind: str, now: float) -> bool:
        """Return whether a message of a kind is arriving from any node."""
        return any(
            held.kind == kind
            and not held.is_done
            and now - held.heard_at < RESEND_SECONDS
            for held in self._incoming.values()
        )

    def start(self, large: LargeMessage, now: float) -> list[Post]:
        """Start to send a message; return its first parts.

        The result is empty if a message of the kind is in progress.

        Raises:
            FrameError: The message is too large for any node.
        """
        body = large.body
        size = len(memoryview(body.data))
        if size > MAX_MESSAGE_BYTES:
            raise exceptions.FrameError(
                f"message {body.kind} of {size} bytes exceeds the limit of"
                f" {MAX_MESSAGE_BYTES} bytes"
            )
        key = _Key(large.dst, body.kind, large.request)
        if key in self._outgoing:
            return []
        self._number += 1
        out = _Outgoing(
            number=self._number,
            dst=large.dst,
            dst_inc=large.dst_inc,
            body=body,
            progress_at=now,
            sent_at=now,
        )
        self._outgoing[key] = out
        return _fill_window(out, now)

    def on_ack(self, src: str, ack: PartAck, now: float) -> list[Post]:
        """Return the next parts of an acknowledged transfer."""
        for key, out in self._outgoing.items():
            if key.dst == src and out.number == ack.number:
                break
        else:
            return []
        if ack.held >= len(memoryview(out.body.data)):
            del self._outgoing[key]
            return []
        if ack.held < out.acked:
            # The receiver has restarted or has dropped the message.
            out.sent = ack.held
        if ack.held != out.acked:
            out.progress_at = now
        out.acked = ack.held
        return _fill_window(out, now)

    def on_part(
        self, src: str, src_inc: int, part: Part, now: float
    ) -> Receipt:
        """Store a part.

        Raises:
            FrameError: The message is larger than any node sends.
        """
        if not 0 < part.total <= MAX_MESSAGE_BYTES:
            raise exceptions.FrameError(
                f"message {part.kind} of {part.total} bytes"
            )
        key = (src, part.number)
        held = self._incoming.get(key)
        if held is None or held.src_inc != src_inc:
            held = _Incoming(
                src_inc=src_inc,
                kind=part.kind,
                total=part.total,
                buffer=bytearray(),
                heard_at=now,
            )
            if part.offset == 0:
                self._incoming[key] = held
        held.heard_at = now
        complete = None
        is_next = part.offset == held.held and part.total == held.total
        if is_next and not held.is_done:
            held.buffer += part.data[: held.total - part.offset]
            if len(held.buffer) == held.total:
                complete = Complete(part.kind, held.buffer)
                held.buffer, held.is_done = bytearray(), True
        ack = PartAck(number=part.number, held=held.held)
        return Receipt(Post(src, src_inc, ack), complete)

    def tick(self, now: float) -> list[Post]:
        """Send unacknowledged parts again and give up what has stalled."""
        posts: list[Post] = []
        for key, out in list(self._outgoing.items()):
            if now - out.progress_at >= ABANDON_SECONDS:
                del self._outgoing[key]
            elif now - out.sent_at >= RESEND_SECONDS:
                out.sent = out.acked
                posts += _fill_window(out, now)
        for received, held in list(self._incoming.items()):
            if now - held.heard_at >= ABANDON_SECONDS:
                del self._incoming[received]
        return posts


def _fill_window(out: _Outgoing, now: float) -> list[Post]:
    """Return the parts that fit into the window after those already sent."""
    view = memoryview(out.body.data)
    posts = []
    while out.sent < min(len(view), out.acked + WINDOW_BYTES):
        data = bytes(view[out.sent : out.sent + PART_BYTES])
        part = Part(
            number=out.number,
            kind=out.body.kind,
            offset=out.sent,
            total=len(view),
            data=data,
        )
        posts.append(Post(out.dst, out.dst_inc, part))
        out.sent += len(data)
        out.sent_at = now
    return posts
