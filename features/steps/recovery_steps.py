"""Steps on connections to nodes that start late."""

import asyncio
import socket
import statistics
import time

from behave import given
from behave import then
from behave import when
import zmq

from jasperweir.components.configctl import messages as config_messages
from jasperweir.helpers import link
from jasperweir.helpers import loop_link

# Longest time until frames arrive on a busy machine, seconds.
BUSY_SECONDS = 5.0
# Interval at which frames are sent until one arrives.
SEND_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 5.0


def start_link(liveness, port):
    sender = link.Link(
        name="looking",
        address="127.0.0.1:0",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=liveness,
    )
    sender.learn("late", f"127.0.0.1:{port}")
    sender.start()
    return sender


class UnreachableListener:
    """Port that drops connection requests until ``start`` is called."""

    def __init__(self, context):
        self.full_socket = socket.socket()
        self.full_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.full_socket.bind(("127.0.0.1", 0))
        self.port = self.full_socket.getsockname()[1]
        # Connections are never accepted, so a full backlog drops new ones.
        self.full_socket.listen(0)
        self.fillers = [socket.socket() for _ in range(3)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
        self.sock = context.socket(zmq.ROUTER)
        self.connected_after_s = None

    def start(self):
        for sock in (*self.fillers, self.full_socket):
            sock.close()
        self.sock.bind(f"tcp://127.0.0.1:{self.port}")

    def poll_connection(self, since_s):
        if self.connected_after_s is None and self.sock.poll(0):
            self.connected_after_s = since_s


@given(
    "{count:d} VMs that are unreachable for {unreachable_s:g} s when others"
    " connect"
)
def step_unreachable(context, count, unreachable_s):
    context.count = count
    context.unreachable_s = unreachable_s


@when("links connect with the default settings and without early reconnects")
def step_connect(context):
    no_reconnect = link.Liveness(start_s=0.0)
    with zmq.Context() as sockets:
        attempts = [
            (liveness, UnreachableListener(sockets))
            for liveness in (link.Liveness(), no_reconnect)
            for _ in range(context.count)
        ]
        measure_connect_times(attempts, context.unreachable_s)
        times = [listener.connected_after_s for _, listener in attempts]
        for _, listener in attempts:
            listener.sock.close(0)
    context.default_s = statistics.median(times[: context.count])
    context.no_reconnect_s = statistics.median(times[context.count :])


def measure_connect_times(attempts, unreachable_s):
    """Send over each link until its listener, started late, is connected."""
    links = [
        start_link(liveness, listener.port) for liveness, listener in attempts
    ]
    start = time.monotonic()
    listening_at = None
    while any(listener.connected_after_s is None for _, listener in attempts):
        now = time.monotonic()
        assert now - start < CONNECT_TIMEOUT_SECONDS, "no connection"
        if listening_at is None and now - start >= unreachable_s:
            listening_at = now
            for _, listener in attempts:
                listener.start()
        for sender in links:
            sender.send("late", config_messages.ContentRequest(held=0))
        time.sleep(SEND_SECONDS)
        if listening_at is not None:
            for _, listener in attempts:
                listener.poll_connection(time.monotonic() - listening_at)
    for sender in links:
        sender.stop()


@then("the default takes less than {share:g} of the time")
def step_sooner(context, share):
    times_s = (context.default_s, context.no_reconnect_s)
    assert context.default_s < share * context.no_reconnect_s, times_s


async def send_one_frame_to_each(listeners, listen_after_s):
    """Send each listener one frame; return how many received it."""
    sender = loop_link.LoopLink(
        name="talking",
        address="127.0.0.1:0",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=link.Liveness(),
    )
    sender.start()
    if not listen_after_s:
        for listener in listeners:
            listener.start()
    for number, listener in enumerate(listeners):
        sender.learn(f"n{number}", f"127.0.0.1:{listener.port}")
        sender.send(f"n{number}", config_messages.ContentRequest(held=0))
    await asyncio.sleep(listen_after_s)
    if listen_after_s:
        for listener in listeners:
            listener.start()
    await asyncio.sleep(0.5)
    until = time.monotonic() + BUSY_SECONDS
    while not listen_after_s and time.monotonic() < until:
        if all(listener.sock.poll(0) for listener in listeners):
            break
        await asyncio.sleep(0.05)
    sender.stop()
    return sum(bool(listener.sock.poll(0)) for listener in listeners)


@given("{count:d} nodes without a connection to them")
def step_nodes(context, count):
    context.count = count


def run_send_one_frame(context, listen_after_s):
    with zmq.Context() as sockets:
        listeners = [UnreachableListener(sockets) for _ in range(context.count)]
        context.got = asyncio.run(
            send_one_frame_to_each(listeners, listen_after_s)
        )
        for listener in listeners:
            listener.sock.close(0)


@when("each of them is sent one frame")
def step_one_frame(context):
    run_send_one_frame(context, 0.0)


@when("each of them is sent one frame {seconds:g} s before it listens")
def step_one_frame_early(context, seconds):
    run_send_one_frame(context, seconds)


@then("each of them receives it")
def step_each_got(context):
    assert context.got == context.count, context.got


@then("none of them receives it")
def step_none_got(context):
    assert context.got == 0, context.got
