"""Steps on targets, connections and callers that have gone."""

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
BEAT_SECONDS = 1.2
HALF_SECOND = 0.5


@given("a target at an address that beats every 1.2 s")
def step_beats(context):
    context.directory = directory.Directory()
    context.now = 100.0
    context.sequence = 0
    beat(context, "successor", 5.0)


def beat(context, name, seconds=0.0):
    end = context.now + seconds
    while True:
        context.sequence += 1
        found = site.target(name, ADDRESS, context.sequence)
        context.directory.merge(found, context.now)
        if context.now + BEAT_SECONDS > end:
            return
        context.now += BEAT_SECONDS


@when(
    "a heartbeat of an incarnation that crashed there comes for the first time"
)
def step_late(context):
    context.now += 0.3
    beat(context, "crashed")


@when("the successor beats on for {seconds:g} seconds")
def step_beats_on(context, seconds):
    context.now += 0.9
    beat(context, "successor", seconds)


@when("another incarnation takes over the address")
def step_takes_over(context):
    context.now += 0.4
    beat(context, "new one")


@when("a late heartbeat of the first one comes")
def step_first_again(context):
    context.now += 0.8
    beat(context, "successor")


@then("requests for the address name the {name}")
def step_named(context, name):
    found = context.directory.serving("s", context.now)
    assert [t.target_id for t in found] == [name], found


@given("a connection to a target")
def step_connection(context):
    context.options = asyncio.run(connected_options())


async def connected_options():
    """Open a connection and read what the kernel was told of it."""
    server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
    conn = await pool.open(f"127.0.0.1:{port}")
    sock = conn._transport.get_extra_info("socket")
    options = {
        name: sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_USER_TIMEOUT")
    }
    on = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    conn.close()
    server.close()
    return options, on


@then(
    "the kernel asks for a sign of life after {idle:d} s and gives up after 2 s"
)
def step_asks(context, idle):
    options, on = context.options
    assert on, "no sign of life is asked for"
    assert options["TCP_KEEPIDLE"] == options["TCP_KEEPINTVL"] == idle, options
    assert options["TCP_USER_TIMEOUT"] == 2000, options


@given("a link to another process")
def step_link(context):
    context.liveness = link.Liveness()
    made = link.Link(
        name="127.0.0.1:1",
        address="127.0.0.1:1",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=context.liveness,
    )
    context.zmq = zmq.Context()
    sock = context.zmq.socket(zmq.DEALER)
    made._set_liveness(sock)
    context.pinged = (
        sock.getsockopt(zmq.HEARTBEAT_IVL),
        sock.getsockopt(zmq.HEARTBEAT_TIMEOUT),
    )
    sock.close(0)
    context.zmq.term()


@then("it is pinged twice a second and closed after 1.5 s of silence")
def step_pinged(context):
    assert context.pinged == (500, 1500), context.pinged


class SlowAccept(hop.Target):
    """Let callers wait for a connection."""

    async def start(self):
        await super().start()
        # Nothing is accepted until the queue of new connections is read.
        self._server.close()
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        sock.listen(0)
        self._socket = sock
        # Fills the queue, so that further connections wait.
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


async def wait_and_leave(context, *, leaves, frees):
    one = context.hop
    one.slow = hop.Target(stops_after=hop.EVENTS)
    await one.prepare()
    one.announce("slow", one.slow)
    one.fill("slow")
    one.forwarder.handle(one.answering)
    await asyncio.sleep(0.05)
    assert one.slow.requests == 0
    if leaves:
        one.answering.on_gone()
    if frees:
        one.empty("slow")
    await ticks(one)
    one.close()


async def ticks(one):
    for _ in range(25):
        one.forwarder.tick()
        await asyncio.sleep(HALF_SECOND / 25)


@given("a target whose places are all taken, and a request that waits")
def step_waits(context):
    context.hop = hop.Hop(route=hop.route())


@when("its caller leaves and the places become free")
def step_leaves(context):
    asyncio.run(wait_and_leave(context, leaves=True, frees=True))


@when("the places become free")
def step_frees(context):
    asyncio.run(wait_and_leave(context, leaves=False, frees=True))


@then("the target has received no request half a second later")
def step_nothing(context):
    assert context.hop.slow.requests == 0, context.hop.slow.requests


@then("the target has received 1 request")
def step_one(context):
    assert context.hop.slow.requests == 1, context.hop.slow.requests


@given("a request for a target that takes 0.2 s to accept a connection")
def step_slow_accept(context):
    context.hop = hop.Hop(route=hop.route())
    context.hop.slow = SlowAccept(stops_after=hop.EVENTS)


@given("a target that has sent a first event of an answer")
def step_first_event(context):
    context.hop = hop.Hop(route=hop.route())
    context.hop.slow = hop.Target(stops_after=1)


async def leave_at_once(context):
    one = context.hop
    await one.prepare()
    one.announce("slow", one.slow)
    one.forwarder.handle(one.answering)
    await asyncio.sleep(0.05)
    one.answering.on_gone()
    if isinstance(one.slow, SlowAccept):
        await asyncio.sleep(0.15)
        await one.slow.accept()
    await ticks(one)
    one.close()


@when("its caller leaves at once")
def step_leaves_at_once(context):
    asyncio.run(leave_at_once(context))


@then("the target's connection is closed within half a second")
def step_closed(context):
    assert context.hop.slow.requests == 1
    assert context.hop.slow.closed
