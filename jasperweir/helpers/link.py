"""Typed messages between processes over ZeroMQ, with optional CURVE keys."""

import collections
from collections.abc import Callable
import dataclasses
import math
import queue
import threading
from typing import Any
from typing import NamedTuple

import zmq
import zmq.auth.thread

from jasperweir import exceptions
from jasperweir.helpers import clocks
from jasperweir.helpers import codec
from jasperweir.helpers import logs
from jasperweir.helpers import transfers

_log = logs.logger("link")

POLL_MILLISECONDS = 200
# Most open connections; the least recently used is closed above it. A control
# VM sends to all nodes of a site in turn, so the limit must be above their
# number.
# Each connection takes two file descriptors.
MAX_OPEN_PEERS = 600
LINGER_MILLISECONDS = 500
SEND_QUEUE_FRAMES = 512
# Directions of frames in metrics and log lines.
IN = "in"
OUT = "out"
_WAKE = b"w"
_MAX_READS_PER_POLL = 256


class Keys(NamedTuple):
    """CURVE key pair shared by all processes of a deployment."""

    public: bytes
    secret: bytes


class Liveness(NamedTuple):
    """Timeouts by which a link detects unreachable peers and reconnects.

    Attributes:
        ping_ms: Interval of ZeroMQ heartbeats on an open connection.
        silent_ms: An open connection that receives nothing for this long is
            closed.
        connect_ms: Longest wait until a connection is established.
        retry_ms: Wait before a reconnect; it doubles up to ``retry_max_ms``.
        retry_max_ms: Longest wait before a reconnect.
        start_s: For so many seconds after the start of the link, the next frame
            for a peer replaces a connection that is not established. When a
            whole site starts, the first packet may be lost at a VM that starts
            later, and ``connect_ms`` would have to pass.
        reopen_s: Shortest time between two such attempts, seconds.
    """

    ping_ms: int = 500
    silent_ms: int = 1500
    connect_ms: int = 700
    retry_ms: int = 50
    retry_max_ms: int = 400
    start_s: float = 3.0
    reopen_s: float = 0.08


class Received(NamedTuple):
    """Frame that passed all checks, with its message."""

    env: codec.Envelope
    msg: Any


@dataclasses.dataclass(kw_only=True, slots=True)
class TrafficCounter:
    """Counts frames of one kind in one direction, and their bytes."""

    frames: int = 0
    size: int = 0

    def count(self, data: bytes) -> None:
        """Count a frame."""
        self.frames += 1
        self.size += len(data)


class _SharedKeyProvider:
    """Credentials provider that accepts only the key of the deployment."""

    def __init__(self, *, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's key is accepted."""
        return key == self._public


class Link:
    """Sends and receives typed messages by node name.

    One thread owns all sockets; ``send`` may be called from any thread.

    Attributes:
        counters: Frames and bytes by direction, and drops by reason.
        by_kind: Frames and bytes by direction and kind of message.
        blocked_peers: Names of nodes from and to which frames are dropped, in
            failure tests.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        incarnation: Callable[[], int],
        deliver: Callable[[Received], None],
        keys: Keys | None = None,
        liveness: Liveness | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.counters: collections.Counter[str] = collections.Counter()
        self.by_kind: collections.defaultdict[
            tuple[str, str], TrafficCounter
        ] = collections.defaultdict(TrafficCounter)
        self.blocked_peers: set[str] = set()
        self._incarnation = incarnation
        self._deliver = deliver
        self._keys = keys
        self._liveness = liveness
        self._context = zmq.Context()
        self._addresses: dict[str, str] = {}
        self._peers: collections.OrderedDict[str, zmq.Socket] = (
            collections.OrderedDict()
        )
        # When each connection was opened, as time of clocks.elapsed().
        self._opened_at: dict[str, float] = {}
        self._started_at = 0.0
        self._outgoing: queue.SimpleQueue[
            tuple[str, bytes] | transfers.LargeMessage
        ] = queue.SimpleQueue()
        self._transfers = transfers.Transfers()
        # Encoded form of the large message that was sent last. Many nodes
        # request the same content.
        self._last_large: tuple[Any, codec.Body] | None = None
        self._stopping = threading.Event()
        self._wake_lock = threading.Lock()
        self._thread = threading.Thread(
            target=self._run, name="link", daemon=True
        )

    def start(self) -> None:
        """Bind and start delivering frames.

        Raises:
            zmq.ZMQError: The address cannot be bound.
        """
        self._bind()
        self._wake_in = self._context.socket(zmq.PAIR)
        self._wake_in.bind("inproc://wake")
        self._wake_out = self._context.socket(zmq.PAIR)
        self._wake_out.connect("inproc://wake")
        self._thread.start()

    def _bind(self) -> None:
        self._started_at = clocks.elapsed()
        self._auth: zmq.auth.thread.ThreadAuthenticator | None = None
        if self._keys is not None:
            self._auth = zmq.auth.thread.ThreadAuthenticator(self._context)
            self._auth.start()
            self._auth.configure_curve_callback(
                domain="*",
                credentials_provider=_SharedKeyProvider(
                    public=self._keys.public
                ),
            )
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.MAXMSGSIZE, codec.MAX_FRAME_BYTES)
        self._router.setsockopt(zmq.LINGER, 0)
        # Heartbeats are set on the connecting side only; this side replies.
        if self._keys is not None:
            self._router.curve_server = True
            self._router.curve_secretkey = self._keys.secret
            self._router.curve_publickey = self._keys.public
        self._router.bind(f"tcp://{self.address}")

    def stop(self) -> None:
        """Flush the send queue and close all sockets."""
        self._stopping.set()
        self._wake()
        self._thread.join(timeout=5)
        if self._auth is not None:
            self._auth.stop()
        self._context.destroy(linger=LINGER_MILLISECONDS)

    def learn(self, name: str, address: str) -> None:
        """Store the address of a node."""
        if name and address and name != self.name:
            self._addresses[name] = address

    def forget(self, name: str) -> None:
        """Remove the address of a node."""
        self._addresses.pop(name, None)

    def is_connected(self, name: str) -> bool:
        """Return whether a connection to a node is established.

        Its process has answered the last ZeroMQ heartbeats, however busy it is;
        a connection that receives nothing for ``silent_ms`` is closed.
        """
        sock = self._peers.get(self._addresses.get(name, ""))
        if sock is None:
            return False
        return bool(int(sock.getsockopt(zmq.EVENTS)) & zmq.POLLOUT)

    def is_receiving(self, message_type: type) -> bool:
        """Return whether a message of a type is arriving in parts."""
        return self._transfers.is_receiving(
            codec.kind_of_type(message_type), clocks.elapsed()
        )

    def send(self, dst: str, msg: Any, *, dst_inc: int = 0) -> None:
        """Queue a message; it may be lost, delayed or duplicated."""
        body = self._encode(msg)
        if is_large(body):
            # The link thread owns the transfers.
            self._outgoing.put(make_large(dst, dst_inc, body, msg))
        else:
            self._outgoing.put((dst, self._frame(dst, body, dst_inc)))
        self._wake()

    def _encode(self, msg: Any) -> codec.Body:
        # The link thread may clear it at any moment.
        last = self._last_large
        if last is not None and last[0] is msg:
            return last[1]
        body = codec.encode_body(msg)
        if is_large(body):
            self._last_large = (msg, body)
        return body

    def _frame(self, dst: str, body: codec.Body, dst_inc: int) -> bytes:
        data = codec.encode_frame(
            body,
            src=self.name,
            src_inc=self._incarnation(),
            src_addr=self.address,
            dst=dst,
            dst_inc=dst_inc,
        )
        self.by_kind[OUT, body.kind].count(data)
        return data

    def _wake(self) -> None:
        with self._wake_lock:
            try:
                self._wake_out.send(_WAKE, zmq.NOBLOCK)
            except zmq.ZMQError:
                # The queue is full, so the link thread will wake up anyway.
                return

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._wake_in, zmq.POLLIN)
        while not self._stopping.is_set():
            ready = dict(poller.poll(POLL_MILLISECONDS))
            if self._wake_in in ready:
                self._drain_wakes()
            self._flush()
            if self._router in ready:
                self._read()
            self._post(self._transfers.tick(clocks.elapsed()))
        self._flush()
        for sock in self._peers.values():
            sock.close(linger=LINGER_MILLISECONDS)

    def _drain_wakes(self) -> None:
        while True:
            try:
                self._wake_in.recv(zmq.NOBLOCK)
            except zmq.Again:
                return

    def _flush(self) -> None:
        while True:
            try:
                out = self._outgoing.get_nowait()
            except queue.Empty:
                return
            if isinstance(out, transfers.LargeMessage):
                self._start_transfer(out)
            else:
                self._transmit(*out)

    def _start_transfer(self, large: transfers.LargeMessage) -> None:
        """Send the first parts of a message."""
        try:
            posts = self._transfers.start(large, clocks.elapsed())
        except exceptions.FrameError as exc:
            self.counters["dropped_too_large"] += 1
            _log.error("message not sent", dst=large.dst, reason=str(exc))
            return
        self.counters["transfers" if posts else "transfers_busy"] += 1
        self._post(posts)

    def _post(self, posts: list[transfers.Post]) -> None:
        """Send messages of transfers."""
        for post in posts:
            body = codec.encode_body(post.msg)
            frame = self._frame(post.dst, body, post.dst_inc)
            self._transmit_soon(post.dst, frame)
        if not self._transfers.is_active:
            self._last_large = None

    def _transmit_soon(self, dst: str, data: bytes) -> None:
        """Send a frame of a transfer, which is repeated if it is lost."""
        self._transmit(dst, data)

    def _transmit(self, dst: str, data: bytes) -> bool:
        """Send a frame; return whether a connection accepted it."""
        if dst in self.blocked_peers:
            self.counters["cut"] += 1
            return False
        address = self._addresses.get(dst)
        if address is None:
            self.counters["no_address"] += 1
            return False
        try:
            self._peer(address).send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.counters["send_failed"] += 1
            self._reopen(address)
            return False
        self.counters["frames_out"] += 1
        self.counters["bytes_out"] += len(data)
        return True

    def _peer(self, address: str) -> zmq.Socket:
        sock = self._peers.get(address)
        if sock is not None:
            self._peers.move_to_end(address)
            return sock
        sock = self._context.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, LINGER_MILLISECONDS)
        sock.setsockopt(zmq.SNDHWM, SEND_QUEUE_FRAMES)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, 2000)
        self._set_liveness(sock)
        if self._keys is not None:
            sock.curve_serverkey = self._keys.public
            sock.curve_publickey = self._keys.public
            sock.curve_secretkey = self._keys.secret
        sock.connect(f"tcp://{address}")
        self.counters["opened"] += 1
        self._peers[address] = sock
        self._opened_at[address] = clocks.elapsed()
        if len(self._peers) > MAX_OPEN_PEERS:
            name, oldest = self._peers.popitem(last=False)
            del self._opened_at[name]
            oldest.close(linger=LINGER_MILLISECONDS)
        return sock

    def _opened_since(self, dst: str) -> float:
        """Return the seconds since a node's connection was opened."""
        opened_at = self._opened_at.get(self._addresses.get(dst, ""))
        if opened_at is None:
            return math.inf
        return clocks.elapsed() - opened_at

    def _reopen(self, address: str) -> None:
        """Replace a connection that isn't established, soon after the start."""
        if self._liveness is None:
            return
        now = clocks.elapsed()
        if now - self._started_at > self._liveness.start_s:
            return
        if now - self._opened_at[address] < self._liveness.reopen_s:
            return
        self._peers.pop(address).close(linger=0)
        self._peer(address)

    def _set_liveness(self, sock: zmq.Socket) -> None:
        if self._liveness is None:
            return
        sock.setsockopt(zmq.HEARTBEAT_IVL, self._liveness.ping_ms)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, self._liveness.silent_ms)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, self._liveness.connect_ms)
        sock.setsockopt(zmq.RECONNECT_IVL, self._liveness.retry_ms)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, self._liveness.retry_max_ms)
        # Don't queue frames for a peer that is not connected: they would be
        # outdated on arrival.
        sock.setsockopt(zmq.IMMEDIATE, 1)

    def _read(self) -> bool:
        """Deliver a batch of frames; return whether more may be waiting."""
        for _ in range(_MAX_READS_PER_POLL):
            try:
                parts = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return False
            self.counters["frames_in"] += 1
            self.counters["bytes_in"] += len(parts[-1])
            self._accept(parts[-1])
        return True

    def _accept(self, data: bytes) -> None:
        try:
            env, msg = codec.decode(data)
        except exceptions.FrameError:
            self.counters["dropped_malformed"] += 1
            return
        if env.dst != self.name:
            self.counters["dropped_other_node"] += 1
            return
        if env.dst_inc not in (0, self._incarnation()):
            self.counters["dropped_other_incarnation"] += 1
            return
        if env.src in self.blocked_peers:
            self.counters["cut"] += 1
            return
        self.by_kind[IN, env.kind].count(data)
        self.learn(env.src, env.src_addr)
        match msg:
            case transfers.Part():
                self._on_part(env, msg)
            case transfers.PartAck():
                now = clocks.elapsed()
                self._post(self._transfers.on_ack(env.src, msg, now))
            case _:
                self._deliver(Received(env=env, msg=msg))

    def _on_part(self, env: codec.Envelope, part: transfers.Part) -> None:
        try:
            receipt = self._transfers.on_part(
                env.src, env.src_inc, part, clocks.elapsed()
            )
            self._post([receipt.ack])
            if receipt.complete is None:
                return
            kind, data = receipt.complete
            msg = codec.decode_body(kind, data)
        except exceptions.FrameError as exc:
            self.counters["dropped_malformed"] += 1
            _log.error("message not accepted", src=env.src, reason=str(exc))
            return
        self._deliver(Received(env=env._replace(kind=kind), msg=msg))


def is_large(body: codec.Body) -> bool:
    """Return whether a message is sent in parts."""
    return len(memoryview(body.data)) > transfers.WHOLE_BYTES


def make_large(
    dst: str, dst_inc: int, body: codec.Body, msg: Any
) -> transfers.LargeMessage:
    """Return an encoded message as one to send in parts."""
    return transfers.LargeMessage(
        dst=dst,
        dst_inc=dst_inc,
        body=body,
        request=getattr(msg, "number", 0),
    )


def generate_keys() -> Keys:
    """Generate a CURVE key pair."""
    public, secret = zmq.curve_keypair()
    return Keys(public=public, secret=secret)
