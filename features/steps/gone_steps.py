"""Steps for crashed targets, dead connections and disconnected callers."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when
import zmq

from features.harness import hop
from features.harness import site
from jasperweir.components.directory import directory
from jasperweir.helpers import http_client
from jasperweir.helpers import link

ADDRESS = "10.0.0.1:80"
HEARTBEAT_SECONDS = 1.2
RUN_SECONDS = 0.5


@given("a target that sends a heartbeat every 1.2 s")
def step_heartbeats(context):
    context.directory = directory.Directory()
    context.now = 100.0
    context.sequence = 0
    send_heartbeats(context, "successor", 5.0)


def send_heartbeats(context, name, seconds=0.0):
    end = context.now + seconds
    while True:
        context.sequence += 1
        record = site.target(name, ADDRESS, context.sequence)
        context.directory.merge(record, context.now)
        if context.now + HEARTBEAT_SECONDS > end:
            return
        context.now += HEARTBEAT_SECONDS


@when("the first heartbeat of a crashed target at its address arrives late")
def step_crashed_late(context):
    context.now += 0.3
    send_heartbeats(context, "crashed")


@when("the successor sends heartbeats for {seconds:g} seconds")
def step_successor(context, seconds):
    context.now += 0.9
    send_heartbeats(context, "successor", seconds)


@when("another target takes over the address")
def step_takes_over(context):
    context.now += 0.4
    send_heartbeats(context, "new one")


@when("a delayed heartbeat of the first one arrives")
def step_first_delayed(context):
    context.now += 0.8
    send_heartbeats(context, "successor")


@then("requests to the address go to the {name}")
def step_ready(context, name):
    found = context.directory.list_ready("s", context.now)
    assert [t.target_id for t in found] == [name], found


@given("a connection to a target")
def step_connection(context):
    context.options = asyncio.run(connected_options())


async def connected_options():
    """Open a connection and return its keepalive options."""
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
    conn = await pool.open(f"127.0.0.1:{port}")
    sock = conn._transport.get_extra_info("socket")
    options = {
        name: sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_USER_TIMEOUT")
    }
    enabled = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    conn.close()
    server.close()
    return options, enabled


@then("the kernel sends a keepalive after {idle:d} s and closes it after 2 s")
def step_keepalive(context, idle):
    options, enabled = context.options
    assert enabled, "keepalive is not enabled"
    assert options["TCP_KEEPIDLE"] == options["TCP_KEEPINTVL"] == idle, options
    assert options["TCP_USER_TIMEOUT"] == 2000, options


@given("a link to another process")
def step_link(context):
    context.liveness = link.Liveness()
    link_ = link.Link(
        name="127.0.0.1:1",
        address="127.0.0.1:1",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=context.liveness,
    )
    context.zmq = zmq.Context()
    sock = context.zmq.socket(zmq.DEALER)
    link_._set_liveness(sock)
    context.heartbeat_options = (
        sock.getsockopt(zmq.HEARTBEAT_IVL),
        sock.getsockopt(zmq.HEARTBEAT_TIMEOUT),
    )
    sock.close(0)
    context.zmq.term()


@then("it is pinged twice a second and closed after 1.5 s without a reply")
def step_pinged(context):
    assert context.heartbeat_options == (500, 1500), context.heartbeat_options


class SlowAccept(hop.Target):
    """A target that accepts no connection until told to."""

    async def start(self):
        await super().start()
        # Connections stay in the backlog until ``accept`` is called.
        self._server.close()
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        sock.listen(0)
        self._socket = sock
        # These fill the backlog, so that further connections wait.
        self._fillers = [socket.socket() for _ in range(3)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))

    async def accept(self):
        for filler in self._fillers:
            filler.close()
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket
        )


async def run_queued(context, *, disconnects, frees):
    """Queue a request, then disconnect its caller or free the slots."""
    hop_ = context.hop
    hop_.slow = hop.Target(stops_after=hop.EVENTS)
    await hop_.prepare()
    hop_.announce("slow", hop_.slow)
    hop_.fill("slow")
    hop_.forwarder.handle(hop_.answering)
    await asyncio.sleep(0.05)
    assert hop_.slow.requests == 0
    if disconnects:
        hop_.answering.on_gone()
    if frees:
        hop_.empty("slow")
    await run_ticks(hop_)
    hop_.close()


async def run_ticks(hop_):
    for _ in range(25):
        hop_.forwarder.tick()
        await asyncio.sleep(RUN_SECONDS / 25)


@given("a target without free slots, and a queued request")
def step_queued(context):
    context.hop = hop.Hop(route=hop.route())


@when("its caller disconnects and the slots become free")
def step_disconnects(context):
    asyncio.run(run_queued(context, disconnects=True, frees=True))


@when("the slots become free")
def step_slots_free(context):
    asyncio.run(run_queued(context, disconnects=False, frees=True))


@then("the target has received no request half a second later")
def step_not_sent(context):
    assert context.hop.slow.requests == 0, context.hop.slow.requests


@then("the target has received 1 request")
def step_sent(context):
    assert context.hop.slow.requests == 1, context.hop.slow.requests


@given("a request for a target that takes 0.2 s to accept a connection")
def step_slow_accept(context):
    context.hop = hop.Hop(route=hop.route())
    context.hop.slow = SlowAccept(stops_after=hop.EVENTS)


@given("a target that has sent the first event of a response")
def step_first_event(context):
    context.hop = hop.Hop(route=hop.route())
    context.hop.slow = hop.Target(stops_after=1)


async def disconnect_at_once(context):
    """Send a request and disconnect its caller 0.05 s later."""
    hop_ = context.hop
    await hop_.prepare()
    hop_.announce("slow", hop_.slow)
    hop_.forwarder.handle(hop_.answering)
    await asyncio.sleep(0.05)
    hop_.answering.on_gone()
    if isinstance(hop_.slow, SlowAccept):
        await asyncio.sleep(0.15)
        await hop_.slow.accept()
    await run_ticks(hop_)
    hop_.close()


@when("its caller disconnects at once")
def step_disconnects_at_once(context):
    asyncio.run(disconnect_at_once(context))


@then("the target's connection is closed within half a second")
def step_closed(context):
    assert context.hop.slow.requests == 1
    assert context.hop.slow.closed
