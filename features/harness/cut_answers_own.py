"""Peers of the own interface that cut their answers off, on real sockets."""

import concurrent.futures
import contextlib
import itertools
import socket
import struct
import threading
import time
from typing import NamedTuple
from unittest import mock

from jasperweir import client as client_lib
from jasperweir.components.agent import run_executor
from jasperweir.components.entry import agent_client as agent_client_lib
from jasperweir.components.entry import driver_context
from jasperweir.components.entry import request_driver
from jasperweir.components.limits import admission
from jasperweir.components.limits import retry
from jasperweir.components.runs import run_table as run_table_lib
from jasperweir.helpers import clocks

SERVICE = "chat"
STREAM_TYPE = "text/event-stream"
PLAIN_TYPE = "application/json"
# The second event contains the terminator's text.
EVENTS = (
    b'data: {"text": "one"}\n\n',
    b'data: {"text": "two [DONE]"}\n\n',
    b"data: [DONE]\n\n",
)
STREAM = b"".join(EVENTS)
PLAIN = b'{"text": "one two three"}'
FRAMINGS = ("length", "chunks", "padded chunks", "close", "http/1.0")
ENDS = ("close", "reset", "complete")
HEAD_ENDS = ("inside a line", "after a line")
UNFRAMED = ("close", "http/1.0")
WORKERS = 16
SOCKET_SECONDS = 5.0
DEADLINE_SECONDS = 10.0


class Cut(NamedTuple):
    """How a peer answers.

    Attributes:
        kind: Stream or plain.
        framing: One of FRAMINGS.
        size: Bytes of the body that are sent.
        end: One of ENDS; "complete" closes the framing around what was sent.
        status: HTTP status.
        head_end: Where the head is cut off, one of HEAD_ENDS, or empty.
        text: Body of the whole answer if it is not STREAM or PLAIN.
    """

    kind: str
    framing: str
    size: int
    end: str
    status: int = 200
    head_end: str = ""
    text: bytes = b""

    @property
    def full(self):
        """Body of the whole answer."""
        return self.text or (STREAM if self.kind == "stream" else PLAIN)

    @property
    def body(self):
        """Part of the body that is sent."""
        return self.full[: self.size]

    @property
    def is_whole(self):
        """Whether the whole answer is sent and ended as its framing asks."""
        is_ended = self.end == "complete" or (
            self.end == "close" and self.framing in (*UNFRAMED, "length")
        )
        is_sent = self.size == len(self.full) and not self.head_end
        return is_sent and is_ended

    @property
    def may_look_complete(self):
        """Whether no reader can tell the answer from a whole one."""
        if self.head_end:
            return False
        if self.size == len(self.full):
            return True
        if self.kind == "stream":
            return False
        is_orderly = self.framing in UNFRAMED and self.end == "close"
        return self.end == "complete" or is_orderly


def list_cuts():
    """Return every combination; no framing has "complete" without a mark."""
    cuts = []
    for kind, full in (("stream", STREAM), ("plain", PLAIN)):
        first, second = len(EVENTS[0]), len(EVENTS[0] + EVENTS[1])
        sizes = {0, first, second - 4, len(full) - 1, len(full)}
        orderly_sizes = sizes | {3, second}
        if kind == "stream":
            # Right after the terminator's text inside an event, and every
            # byte of the terminator.
            orderly_sizes.add(STREAM.index(b"[DONE]") + len(b"[DONE]"))
            orderly_sizes.update(range(second, len(full) + 1))
        for framing, end in itertools.product(FRAMINGS, ENDS):
            if framing in UNFRAMED and end == "complete":
                continue
            is_orderly = framing in UNFRAMED or end == "complete"
            listed = orderly_sizes if is_orderly and end != "reset" else sizes
            cuts += [
                Cut(kind, framing, size, end)
                for size in sorted(listed)
                if size <= len(full)
            ]
        cuts += [
            Cut(kind, framing, 0, end, head_end=head_end)
            for framing, end, head_end in itertools.product(
                FRAMINGS, ("close", "reset"), HEAD_ENDS
            )
        ]
    return cuts


NO_ADDRESSES = Cut("plain", "length", 0, "complete", status=503)
UNKNOWN_RUN = NO_ADDRESSES._replace(status=404)


class Peer:
    """Server that answers as a script says.

    Attributes:
        address: ``ip:port``.
        requests: First lines of the requests received.
    """

    def __init__(self, *, script):
        """Start listening.

        Args:
            script: Returns the Cut for a request's first line.
        """
        self.requests = []
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        # A close alone does not end the thread that waits in accept.
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
            conn.settimeout(SOCKET_SECONDS)
            line = _read_request(conn)
            if not line:
                return
            self.requests.append(line)
            cut = self._script(line)
            conn.sendall(_write_head(cut))
            for part in _write_body(cut) if not cut.head_end else ():
                conn.sendall(part)
            if cut.end == "reset":
                # What was sent has to arrive before the reset.
                time.sleep(0.02)
                _reset_on_close(conn)
            else:
                conn.shutdown(socket.SHUT_WR)
                conn.recv(1)


def _reset_on_close(conn):
    linger = struct.pack("ii", 1, 0)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _read_request(conn):
    received = b""
    while b"\r\n\r\n" not in received:
        data = conn.recv(65536)
        if not data:
            return b""
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for field in head.lower().split(b"\r\n"):
        if field.startswith(b"content-length:"):
            length = int(field.partition(b":")[2])
    while len(body) < length:
        body += conn.recv(65536)
    return head.partition(b"\r\n")[0]


def _write_head(cut):
    version = b"HTTP/1.0" if cut.framing == "http/1.0" else b"HTTP/1.1"
    media_type = STREAM_TYPE if cut.kind == "stream" else PLAIN_TYPE
    fields = b"Jasperweir-Engine-Status: 200\r\nJasperweir-Run: a/1/r\r\n"
    fields += b"Content-Type: " + media_type.encode() + b"\r\n"
    if cut.framing == "length":
        size = cut.size if cut.end == "complete" else len(cut.full)
        fields += b"Content-Length: %d\r\n" % size
    elif "chunks" in cut.framing:
        fields += b"Transfer-Encoding: chunked\r\n"
    line = version + b" %d Status\r\n" % cut.status
    head = line + b"Connection: close\r\n" + fields
    match cut.head_end:
        case "inside a line":
            return head[:-5]
        case "after a line":
            return head
    return head + b"\r\n"


def _write_body(cut):
    """Return the parts to send; the last chunk is cut like the body."""
    if "chunks" not in cut.framing:
        return [cut.body] if cut.body else []
    size_line = b"%06x\r\n" if cut.framing == "padded chunks" else b"%x\r\n"
    full, parts, start = cut.full, [], 0
    pieces = EVENTS if cut.kind == "stream" else (full[:9], full[9:])
    for piece in pieces:
        end = start + len(piece)
        if cut.size >= end:
            parts.append(size_line % len(piece) + piece + b"\r\n")
        elif cut.size > start and cut.end == "complete":
            part = full[start : cut.size]
            parts.append(size_line % len(part) + part + b"\r\n")
        elif cut.size > start:
            parts.append(size_line % len(piece) + full[start : cut.size])
        elif cut.size == start and cut.end != "complete":
            # A cut within the size of a chunk.
            parts.append((size_line % len(piece))[:1])
        start = end
    if cut.end == "complete":
        parts.append(b"0\r\n\r\n")
    return parts


class Outcome(NamedTuple):
    """What a reader took an answer for."""

    body: bytes
    is_complete: bool


def read_as_agent(cut):
    """Return what an agent takes an engine's answer for."""
    peer = Peer(script=lambda line: cut)
    try:
        executor, rid = start_run(peer.address)
        return run_to_end(executor, rid)
    finally:
        peer.stop()


def start_run(address):
    """Return an executor with a started run, and its id."""
    table = run_table_lib.RunTable(capacity={SERVICE: 1})
    table.ready = True
    executor = run_executor.RunExecutor(
        url=f"http://{address}", table=table, now=clocks.elapsed, threads=1
    )
    executor.start("r", SERVICE, reserved=False)
    return executor, "r"


def run_to_end(executor, rid):
    """Return the outcome of a started run."""
    call = run_executor.Call(
        method="POST", path="/", content_type="", body=b"{}", headers={}
    )
    received = b""
    try:
        pull = executor.send(rid, call)
        for chunk in executor.read_while_pulling(rid, pull):
            received += chunk
    except run_executor.BrokenAnswerError:
        assert not executor.get_buffer(rid).is_complete
        return Outcome(received, is_complete=False)
    assert executor.get_buffer(rid).is_complete
    return Outcome(received, is_complete=True)


def read_as_entry(cut):
    """Return what an entry passes on of an agent's answer."""
    peer = Peer(script=lambda line: cut)
    try:
        resp = make_driver(peer.address, cut.kind == "stream").serve()
        if isinstance(resp.body, bytes):
            return Outcome(resp.body, is_complete=resp.status == 200)
        received = b""
        try:
            for chunk in resp.body:
                received += chunk
        except request_driver.AnswerBrokenError:
            return Outcome(received, is_complete=False)
        return Outcome(received, is_complete=True)
    finally:
        peer.stop()


def make_driver(address, streamed):
    """Return the driver of a request whose only target is at an address."""
    entry = mock.MagicMock()
    entry.budget = retry.RetryBudget()
    entry.quarantine.ledger = ()
    entry.admit.side_effect = lambda service, req, on_verdict, now: on_verdict(
        admission.Admit(rid=req.rid)
    )
    member = mock.MagicMock(inc=1, http=address)
    member.name = "a"
    entry.router.choose.side_effect = lambda query, exclude, now: (
        None if "a" in exclude else member
    )
    context = driver_context.DriverContext(
        entry=entry,
        agent_client=agent_client_lib.AgentClient(
            connections=1, on_load=lambda name, load: None
        ),
        call=lambda func: func(),
        tell=lambda func: func(),
        perform=lambda acts: None,
        now=clocks.elapsed,
        increment=lambda name, by=1, **labels: None,
    )
    request = mock.MagicMock(
        rid="r",
        keyed=False,
        streamed=streamed,
        is_first_try=False,
        deadline_s=DEADLINE_SECONDS,
        priority=5,
        method="POST",
        path="/",
        content_type=PLAIN_TYPE,
        body=b"{}",
    )
    request.spec.name = SERVICE
    request.spec.first_token_s = DEADLINE_SECONDS
    request.spec.token_gap_s = DEADLINE_SECONDS
    request.spec.objective = 0.99
    request.customer.name = "c"
    return request_driver.RequestDriver(context=context, request=request)


def read_as_client(cut):
    """Return what the Python client takes an entry's answer for."""
    answer = call_client(lambda line: UNKNOWN_RUN if b"/runs/" in line else cut)
    is_complete = answer.status == 200 and not answer.error
    return Outcome(answer.body, is_complete=is_complete)


def call_client(script):
    """Return the Python client's answer to a request.

    Args:
        script: Returns the Cut for the first line of a request.
    """
    peer = Peer(
        script=lambda line: (
            NO_ADDRESSES if b"/v1/addresses" in line else script(line)
        )
    )
    try:
        client = client_lib.Client(seeds=[peer.address], customer="c")
        return client.call("POST", "/v1/chat/completions", b"{}")
    finally:
        peer.stop()


class SlowPeer(Peer):
    """Server that sends the head of a body without a length, and waits."""

    def __init__(self):
        super().__init__(script=lambda line: None)
        self.is_released = threading.Event()

    def _serve(self, conn):
        with conn, contextlib.suppress(OSError):
            _read_request(conn)
            conn.sendall(_write_head(Cut("plain", "close", 0, "close")))
            self.is_released.wait(SOCKET_SECONDS)


def cancel_during_answer():
    """Return the buffer of a run that was cancelled while it was read."""
    peer = SlowPeer()
    try:
        executor, rid = start_run(peer.address)
        reader = threading.Thread(target=run_to_end, args=(executor, rid))
        reader.start()
        deadline = clocks.elapsed() + SOCKET_SECONDS
        buf = executor.get_buffer(rid)
        while not buf.status and clocks.elapsed() < deadline:
            time.sleep(0.01)
        executor.cancel(rid)
        reader.join(SOCKET_SECONDS)
        assert buf.is_finished
        return buf
    finally:
        peer.is_released.set()
        peer.stop()


READERS = {
    "agent": read_as_agent,
    "entry": read_as_entry,
    "client": read_as_client,
}


def read_all(reader, cuts):
    """Return the outcome of each cut at a reader."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        return list(zip(cuts, pool.map(READERS[reader], cuts), strict=True))


def find_fault(cut, outcome):
    """Return what is wrong with an outcome, None if nothing is."""
    if outcome.is_complete and outcome.body != cut.full:
        return None if cut.may_look_complete else "looks complete"
    if cut.is_whole and not outcome.is_complete:
        return "a whole answer is taken for a broken one"
    if cut.is_whole and outcome.body != cut.full:
        return "a whole answer is altered"
    return None
