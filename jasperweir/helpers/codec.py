"""Typed and versioned frames between processes, encoded as MessagePack."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import TypeVar

import msgspec

from jasperweir import exceptions

FRAME_VERSION = 1
# Larger messages are sent in parts, see transfers.
MAX_FRAME_BYTES = 1 << 20

T = TypeVar("T", bound=type)

_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_KINDS: dict[type, str] = {}
_ENCODER = msgspec.msgpack.Encoder()


class Envelope(NamedTuple):
    """Header and body of every frame.

    Attributes:
        version: Version of the frame layout.
        kind: Registered name of the body's type.
        src: Name of the sending node.
        src_inc: Incarnation of the sender.
        src_addr: Internal address of the sender, ``ip:port``.
        dst: Name of the receiving node.
        dst_inc: Incarnation of the receiver that is addressed, 0 for any.
        body: Encoded message.
    """

    version: int
    kind: str
    src: str
    src_inc: int
    src_addr: str
    dst: str
    dst_inc: int
    body: msgspec.Raw


_ENVELOPE = msgspec.msgpack.Decoder(Envelope)


def message(kind: str) -> Callable[[T], T]:
    """Register a NamedTuple as the body type of a frame kind."""

    def wrap(cls: T) -> T:
        _DECODERS[kind] = msgspec.msgpack.Decoder(cls)
        _KINDS[cls] = kind
        return cls

    return wrap


def list_kinds() -> list[str]:
    """Return every registered frame kind, sorted."""
    return sorted(_DECODERS)


def kind_of(msg: Any) -> str:
    """Return the registered kind of a message."""
    return _KINDS[type(msg)]


def kind_of_type(message_type: type) -> str:
    """Return the kind that a message type is registered for."""
    return _KINDS[message_type]


def pack(value: Any) -> bytes:
    """Encode a value without a header."""
    return _ENCODER.encode(value)


def unpack(data: bytes, kind: type[Any]) -> Any:
    """Decode a value that was encoded without a header.

    Raises:
        FrameError: The bytes do not hold a value of that type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as exc:
        raise exceptions.FrameError(str(exc)) from exc


class Tagged(NamedTuple):
    """A message with its kind, as stored in logs and files."""

    kind: str
    body: msgspec.Raw


def pack_tagged(msg: Any) -> bytes:
    """Encode a registered message together with its kind."""
    body = msgspec.Raw(_ENCODER.encode(msg))
    return _ENCODER.encode(Tagged(kind=_KINDS[type(msg)], body=body))


def unpack_tagged(data: bytes) -> Any:
    """Decode a message that ``pack_tagged`` encoded.

    Raises:
        FrameError: The bytes are malformed or of an unknown kind.
    """
    tagged = unpack(data, Tagged)
    decoder = _DECODERS.get(tagged.kind)
    if decoder is None:
        raise exceptions.FrameError(f"message kind {tagged.kind}")
    try:
        return decoder.decode(tagged.body)
    except msgspec.MsgspecError as exc:
        raise exceptions.FrameError(str(exc)) from exc


class Body(NamedTuple):
    """An encoded message, for the frames to one or several nodes."""

    kind: str
    data: msgspec.Raw


def encode_body(msg: Any) -> Body:
    """Encode a message without the header of a frame."""
    return Body(_KINDS[type(msg)], msgspec.Raw(_ENCODER.encode(msg)))


def encode_frame(
    body: Body,
    *,
    src: str,
    src_inc: int,
    src_addr: str,
    dst: str,
    dst_inc: int = 0,
) -> bytes:
    """Encode a frame; see Envelope for the header fields."""
    env = Envelope(
        version=FRAME_VERSION,
        kind=body.kind,
        src=src,
        src_inc=src_inc,
        src_addr=src_addr,
        dst=dst,
        dst_inc=dst_inc,
        body=body.data,
    )
    return _ENCODER.encode(env)


def encode(
    msg: Any,
    *,
    src: str,
    src_inc: int,
    src_addr: str,
    dst: str,
    dst_inc: int = 0,
) -> bytes:
    """Encode one message as a frame; see Envelope for the header fields."""
    return encode_frame(
        encode_body(msg),
        src=src,
        src_inc=src_inc,
        src_addr=src_addr,
        dst=dst,
        dst_inc=dst_inc,
    )


def decode_body(kind: str, data: bytes | bytearray | msgspec.Raw) -> Any:
    """Decode a message without the header of a frame.

    Raises:
        FrameError: The message is malformed or of an unknown kind.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise exceptions.FrameError(f"frame kind {kind}")
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise exceptions.FrameError(str(exc)) from exc


def decode(data: bytes) -> tuple[Envelope, Any]:
    """Decode one frame into its header and typed message.

    Raises:
        FrameError: The frame is too large, malformed or of an unknown
                version or kind.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise exceptions.FrameError("frame too large")
    try:
        env = _ENVELOPE.decode(data)
        if env.version != FRAME_VERSION:
            raise exceptions.FrameError(f"frame version {env.version}")
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise exceptions.FrameError(str(exc)) from exc
    return env, decode_body(env.kind, env.body)
