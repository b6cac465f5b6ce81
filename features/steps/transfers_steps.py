"""Steps for messages that are transferred in parts, without sockets."""

import random

from behave import then
from behave import when

from jasperweir.components.configctl import messages
from jasperweir.helpers import codec
from jasperweir.helpers import transfers

STEP = 0.01
LATENCY_STEPS = 2


class Pair:
    """Two ends of a connection that loses, repeats and delays frames."""

    def __init__(self, seed=0, loss=0.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.one = transfers.Transfers()
        self.two = transfers.Transfers()
        self.two_inc = 1
        self.arrived = []
        self.most_in_flight = 0
        self._on_way = []

    def send(self, data, request=0):
        msg = messages.Content(version=1, data=data)
        large = transfers.LargeMessage(
            "two", 0, codec.encode_body(msg), request
        )
        posts = self.one.start(large, self.now)
        self.carry(posts)
        return posts

    def carry(self, posts):
        for post in posts:
            if self.rng.random() < self.loss:
                continue
            copies = 2 if self.rng.random() < self.loss else 1
            due = self.now + LATENCY_STEPS * STEP
            self._on_way += [(due, post)] * copies

    def step(self):
        self.now += STEP
        due = [post for at, post in self._on_way if at <= self.now]
        self._on_way = [item for item in self._on_way if item[0] > self.now]
        for post in due:
            if post.dst == "one":
                self.carry(self.one.on_ack("two", post.msg, self.now))
                continue
            receipt = self.two.on_part("one", 1, post.msg, self.now)
            if receipt.complete is not None:
                kind, data = receipt.complete
                self.arrived.append(codec.decode_body(kind, data).data)
            self.carry([receipt.ack._replace(dst="one")])
        self.carry(self.one.tick(self.now))
        self.two.tick(self.now)
        for out in self.one._outgoing.values():
            in_flight = out.sent - out.acked
            self.most_in_flight = max(self.most_in_flight, in_flight)

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.step()


def content(size):
    return random.Random(size).randbytes(size)


@when(
    "a message of {size:d} bytes is transferred while {loss:g} of the frames "
    "are lost, for {seeds:d} seeds"
)
def step_transfer(context, size, loss, seeds):
    context.sent = content(size)
    context.pairs = []
    for seed in range(seeds):
        pair = Pair(seed, loss)
        pair.send(context.sent)
        for _ in range(round(120 / STEP)):
            pair.step()
            if pair.arrived:
                break
            if not pair.one.is_active:
                # Given up: the process that sends repeats it.
                pair.send(context.sent)
        context.pairs.append(pair)


@then("every one of them arrives unchanged")
def step_unchanged(context):
    for pair in context.pairs:
        assert pair.arrived, "nothing arrived"
        assert all(data == context.sent for data in pair.arrived)


@then("at most {size:d} KiB of it were unacknowledged at any time")
def step_window(context, size):
    most = max(pair.most_in_flight for pair in context.pairs)
    assert 0 < most <= size * 1024, most


@when(
    "the receiver of a message of {size:d} bytes is replaced after a third "
    "of it"
)
def step_replace_receiver(context, size):
    context.sent = content(size)
    pair = context.pair = Pair()
    pair.send(context.sent)
    while next(iter(pair.one._outgoing.values())).acked < size / 3:
        pair.step()
    pair.two = transfers.Transfers()
    pair.run(0.2)
    # Before a timeout of the sender.
    context.began = bool(pair.two._incoming)
    pair.run(10)


@then("the new receiver gets the whole message")
def step_new_receiver(context):
    assert context.began
    assert context.pair.arrived == [context.sent]


@when(
    "a message of {size:d} bytes is sent {count:d} times while it is on its way"
)
def step_repeat(context, size, count):
    pair = context.pair = Pair()
    context.started = [bool(pair.send(content(size))) for _ in range(count)]
    pair.run(10)


@then("it is transferred once")
def step_once(context):
    assert sum(context.started) == 1, context.started
    assert len(context.pair.arrived) == 1


@when("{count:d} requests of {size:d} bytes are sent to one node")
def step_requests(context, count, size):
    pair = context.pair = Pair()
    data = content(size)
    context.started = [
        bool(pair.send(data, request=number + 1)) for number in range(count)
    ]
    pair.run(20)


@then("all {count:d} are in progress at once")
def step_side_by_side(context, count):
    assert sum(context.started) == count, context.started
    assert len(context.pair.arrived) == count, len(context.pair.arrived)


@when("a message of {size:d} bytes is cut off midway for {seconds:g} seconds")
def step_cut_off(context, size, seconds):
    pair = context.pair = Pair()
    pair.send(content(size))
    pair.run(0.1)
    pair.loss = 1.0
    pair.run(seconds)


@then("neither end keeps any of it")
def step_given_up(context):
    pair = context.pair
    assert not pair.arrived
    assert not pair.one.is_active and not pair.two.is_active
