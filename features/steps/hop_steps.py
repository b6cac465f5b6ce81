"""Steps on the client half of the hop, and on torn logs."""

import asyncio
import socket
import struct
import time

from behave import given
from behave import then
from behave import when
import zmq

from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import storage
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import link

TIMES = http_client.ClientTimeouts(connect=1.0, dead_peer=2.0, idle=5.0)
SETTLE_SECONDS = 0.15


class Listener:
    """Note what is told of one answer."""

    def __init__(self, wanted=None):
        self.wanted = wanted
        self.told = ""
        self.body = b""

    def on_head(self, head, length):
        if self.wanted is None:
            return True
        return http_message.find(head.headers, b"id") == self.wanted

    def on_data(self, data):
        self.body += data

    def on_end(self):
        self.told = "end"

    def on_broken(self, reason):
        self.told = "broken"


async def exchange(pieces, end, listener, asks=True):
    """Let a scripted target answer one request; return the connection."""

    async def serve(reader, writer):
        if asks:
            await reader.readuntil(b"\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.02)
        if end == "closes":
            writer.close()
        elif end == "resets":
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = http_client.ConnectionPool(times=TIMES)
    conn = await pool.open(f"127.0.0.1:{port}")
    if asks:
        conn.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", listener)
    await asyncio.sleep(SETTLE_SECONDS)
    kept = conn.idle
    conn.close()
    server.close()
    return kept


@when('a target answers a request with "{data}" and then "{end}"')
def step_answers(context, data, end):
    context.listener = Listener()
    raw = data.replace("~", "\r\n").encode()
    context.kept = asyncio.run(exchange([raw], end, context.listener))


@then('the listener is told "{told}" with body "{body}"')
def step_told(context, told, body):
    assert context.listener.told == told, context.listener.told
    assert context.listener.body.decode() == body, context.listener.body


@then('the listener is told "{told}" with body ""')
def step_told_empty(context, told):
    step_told(context, told, "")


@then("the connection is kept")
def step_kept(context):
    assert context.kept


@then("the connection is not kept")
def step_not_kept(context):
    assert not context.kept


@when("a target answers a request with one of another id and then its own")
def step_other(context):
    context.listener = Listener(wanted=b"2")
    pieces = [
        b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nothers",
        b"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nmine",
    ]
    asyncio.run(exchange(pieces, "waits", context.listener))


@when("a target sends an answer that nobody asked for")
def step_unasked(context):
    context.kept = asyncio.run(
        exchange(
            [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"],
            "waits",
            Listener(),
            asks=False,
        )
    )


@then("the idle connection is not used any more")
def step_unused(context):
    assert not context.kept


@given("a synced log of 3 records and a write that was torn in its middle")
def step_torn(context):
    disk = storage.DiskStorage(folder=context.folder, synced_is_intact=True)
    disk.open()
    entries = tuple(
        messages.Entry(idx=i, term=1, kind="op", data=b"x" * 50)
        for i in range(1, 7)
    )
    disk.save_entries(1, entries[:3])
    size = (context.folder / storage.LOG_FILE).stat().st_size
    disk.save_entries(4, entries[3:])
    disk.close()
    # Of the last write only the first record's bytes are spoilt: later ones
    # of the same write reached the disk whole.
    path = context.folder / storage.LOG_FILE
    raw = bytearray(path.read_bytes())
    raw[size + 20] ^= 0xFF
    path.write_bytes(bytes(raw))


@then("the disk recovers 3 records, and may vote")
def step_recovers(context):
    disk = storage.DiskStorage(folder=context.folder, synced_is_intact=True)
    found = disk.open()
    disk.close()
    assert len(found.entries) == 3, len(found.entries)
    assert not found.tail_uncertain


@given("a pool with a connection that has rested for {seconds:g} s")
def step_rested(context, seconds):
    times = http_client.ClientTimeouts()
    conn = http_client.ClientConnection(times=times)
    conn.idle_since = time.monotonic() - seconds
    conn.usable_until = time.monotonic() + 60.0
    context.pool = http_client.ConnectionPool(times=times)
    context.pool.release("t", conn)
    context.conn = conn


@then("a request that may rest {seconds:g} s gets no connection")
def step_no_connection(context, seconds):
    assert context.pool.acquire("t", seconds) is None


@then("any other request gets that one")
def step_gets_it(context):
    assert context.pool.acquire("t") is context.conn


@given("a link that sends to {count:d} nodes")
def step_link(context, count):
    context.zmq = zmq.Context()
    context.nodes = {}
    for _number in range(count):
        sock = context.zmq.socket(zmq.ROUTER)
        port = sock.bind_to_random_port("tcp://127.0.0.1")
        context.nodes[f"127.0.0.1:{port}"] = sock
    context.link = link.Link(
        name="c1",
        address="127.0.0.1:0",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=link.Liveness(),
    )
    for name in context.nodes:
        context.link.learn(name, name)


@when("it sends each of them {count:d} frames, one node after the other")
def step_sends(context, count):
    context.frames = count
    context.link.start()
    try:
        for number in range(count):
            for name in context.nodes:
                context.link.send(
                    name, config_messages.ContentRequest(held=number)
                )
            # A frame for a node that is not connected yet is dropped.
            time.sleep(1.0)
        context.opened = context.link.counters["opened"]
    finally:
        context.link.stop()


@then("each link was opened once and every later frame arrived")
def step_arrived(context):
    counts = set()
    for sock in context.nodes.values():
        found = 0
        while sock.poll(0):
            sock.recv_multipart()
            found += 1
        counts.add(found >= context.frames - 1)
        sock.close(linger=0)
    context.zmq.term()
    assert context.opened == len(context.nodes), context.opened
    assert counts == {True}, counts
