"""Steps of recovery from the loss of everything."""

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

# Frames are sent this often until one arrives, seconds.
SEND_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 5.0


def start_link(liveness, port):
    made = link.Link(
        name="looking",
        address="127.0.0.1:0",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=liveness,
    )
    made.learn("late", f"127.0.0.1:{port}")
    made.start()
    return made


class UnreachableListener:
    """A port at which opening packets are lost until ``begin``."""

    def __init__(self, context):
        self.full_socket = socket.socket()
        self.full_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.full_socket.bind(("127.0.0.1", 0))
        self.port = self.full_socket.getsockname()[1]
        # Nobody accepts, so that a full queue drops what comes.
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


@given("{count:d} VMs that are dark for {dark_s:g} s when others look for them")
def step_unreachable(context, count, dark_s):
    context.count = count
    context.dark_s = dark_s


@when("they are looked for as by default, and without opening anew")
def step_connect(context):
    patient = link.Liveness(start_s=0.0)
    with zmq.Context() as sockets:
        looked = [
            (way, UnreachableListener(sockets))
            for way in (link.Liveness(), patient)
            for _ in range(context.count)
        ]
        measure_connect_times(looked, context.dark_s)
        times = [one.connected_after_s for _, one in looked]
        for _, one in looked:
            one.sock.close(0)
    context.usual_s = statistics.median(times[: context.count])
    context.patient_s = statistics.median(times[context.count :])


def measure_connect_times(looked, dark_s):
    """Let each link send until its listener, which begins late, is found."""
    links = [start_link(way, one.port) for way, one in looked]
    start = time.monotonic()
    begun_at = None
    while any(one.connected_after_s is None for _, one in looked):
        now = time.monotonic()
        assert now - start < CONNECT_TIMEOUT_SECONDS, "not found at all"
        if begun_at is None and now - start >= dark_s:
            begun_at = now
            for _, one in looked:
                one.start()
        for made in links:
            made.send("late", config_messages.Pull(held=0))
        time.sleep(SEND_SECONDS)
        if begun_at is not None:
            for _, one in looked:
                one.poll_connection(time.monotonic() - begun_at)
    for made in links:
        made.stop()


@then("by default they are found in less than {share:g} of the time")
def step_sooner(context, share):
    seen = (context.usual_s, context.patient_s)
    assert context.usual_s < share * context.patient_s, seen


async def send_one_frame_to_each(listeners, away_s):
    """Send each listener one frame; return how many have got theirs."""
    made = loop_link.LoopLink(
        name="talking",
        address="127.0.0.1:0",
        incarnation=lambda: 1,
        deliver=lambda received: None,
        liveness=link.Liveness(),
    )
    made.start()
    if not away_s:
        for listener in listeners:
            listener.start()
    for number, listener in enumerate(listeners):
        made.learn(f"n{number}", f"127.0.0.1:{listener.port}")
        made.send(f"n{number}", config_messages.Pull(held=0))
    await asyncio.sleep(away_s)
    if away_s:
        for listener in listeners:
            listener.start()
    await asyncio.sleep(0.5)
    made.stop()
    return sum(bool(listener.sock.poll(0)) for listener in listeners)


@given("{count:d} nodes that have not been talked to yet")
def step_nodes(context, count):
    context.count = count


def run_send_one_frame(context, away_s):
    with zmq.Context() as sockets:
        listeners = [UnreachableListener(sockets) for _ in range(context.count)]
        context.got = asyncio.run(send_one_frame_to_each(listeners, away_s))
        for listener in listeners:
            listener.sock.close(0)


@when("each of them is sent one frame")
def step_one_frame(context):
    run_send_one_frame(context, 0.0)


@when("each of them is sent one frame {seconds:g} s before it comes up")
def step_one_frame_early(context, seconds):
    run_send_one_frame(context, seconds)


@then("each of them has got it")
def step_each_got(context):
    assert context.got == context.count, context.got


@then("none of them has got it")
def step_none_got(context):
    assert context.got == 0, context.got
