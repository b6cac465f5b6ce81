"""Steps on what connections hold in memory."""

import asyncio
import contextlib
import gc
import weakref

from behave import given
from behave import then
from behave import when

from features.harness import sockets
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import http_server
from jasperweir.helpers import request_memory

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
# Time in which a server on the loopback interface has read what was sent.
SETTLE_SECONDS = 0.3
PATIENCE_SECONDS = 8.0
AGE_SECONDS = 0.1
PART_BYTES = 50_000


class Rig:
    """A server whose handler answers at once, or later."""

    def __init__(self, limits):
        self.memory = request_memory.RequestMemory(limits=limits)
        self.server = http_server.Server(
            address=sockets.free_address(),
            handler=self._handle,
            memory=self.memory,
        )
        self.server.limits = http_server.ServerLimits(header_timeout_s=6.0)
        self.requests = []
        self.held = []
        self.answers_later = False
        # Whether bodies that stall are given up.
        self.gives_up = True

    def _handle(self, answering):
        self.requests.append(answering.request)
        # As a handler does that follows the caller.
        answering.on_gone = lambda: answering
        if self.answers_later:
            self.held.append(answering)
            return
        answering.reply(200, [], b"")

    async def check_ages(self):
        while True:
            await asyncio.sleep(AGE_SECONDS)
            if self.gives_up:
                self.server.check_ages()

    async def open(self):
        host, _, port = self.server.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def run(context, body):
    """Run a coroutine with a started server."""

    async def main():
        rig = context.rig
        await rig.server.start()
        ages = asyncio.create_task(rig.check_ages())
        try:
            await body(rig)
        finally:
            ages.cancel()
            rig.server.close_listener()
            for conn in list(rig.server.connections):
                conn.abort()
            await asyncio.sleep(0)

    asyncio.run(main())


async def read_status(reader):
    """Return the status of the answer, 0 if the connection ends first."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(PATIENCE_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ")[1])
    return 0


@given("a server with {size:d} bytes for requests")
def step_server(context, size):
    context.rig = Rig(request_memory.Limits()._replace(requests=size))


@given("a server with {count:d} connections")
def step_connections(context, count):
    context.rig = Rig(request_memory.Limits()._replace(connections=count))


@when('a caller sends a chunked body with the trailer "{name}"')
def step_trailer(context, name):
    async def body(rig):
        reader, writer = await rig.open()
        writer.write(
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
            + name.encode()
            + b": stolen\r\n\r\n"
        )
        context.status = await read_status(reader)

    run(context, body)


@then('the request has its body and no field "{name}"')
def step_no_field(context, name):
    (req,) = context.rig.requests
    assert context.status == 200 and bytes(req.body) == b"ab", req
    assert req.header(name.encode()) is None, req.headers


@when("a caller sends {size:d} bytes of a head and stops")
def step_unfinished(context, size):
    async def body(rig):
        _, writer = await rig.open()
        writer.write((HEAD + b"a: " + b"x" * size)[:size])
        await asyncio.sleep(SETTLE_SECONDS)
        context.counted = rig.memory.requests

    run(context, body)


@then("{size:d} bytes are counted")
def step_counted(context, size):
    assert context.counted == size, context.counted


@when("a caller sends a request with {count:d} fields of 4 bytes")
def step_fields(context, count):
    async def body(rig):
        rig.answers_later = True
        reader, writer = await rig.open()
        writer.write(HEAD + b"a:\r\n" * count + b"Content-Length: 0\r\n\r\n")
        await asyncio.sleep(SETTLE_SECONDS)
        context.counted = rig.memory.requests
        rig.held.pop().reply(200, [], b"")
        assert await read_status(reader) == 200
        context.left = rig.memory.requests

    run(context, body)


@then("at least {size:d} bytes are counted until it is answered")
def step_at_least(context, size):
    assert context.counted >= size, context.counted


@then("nothing is counted after it")
def step_nothing(context):
    assert context.left == 0, context.left


@when(
    "callers send {first:d}, {second:d}, {third:d} and {last:d} bytes of a"
    " head and stop"
)
def step_heads(context, first, second, third, last):
    async def body(rig):
        readers = []
        for size in (first, second, third, last):
            reader, writer = await rig.open()
            writer.write((HEAD + b"a: " + b"x" * size)[:size])
            await asyncio.sleep(SETTLE_SECONDS)
            readers.append((reader, writer))
        context.head = await readers[1][0].readuntil(b"\r\n\r\n")
        context.status = int(context.head.split(b" ")[1])
        await asyncio.sleep(SETTLE_SECONDS)
        context.open = [not r.at_eof() for r, _ in readers]

    run(context, body)


@then("the second one is answered 503 and closed, and the others are open")
def step_second(context):
    assert context.status == 503, context.status
    assert context.open == [True, False, True, True], context.open


@then("the rejection has a Retry-After")
def step_retry_after(context):
    assert b"retry-after: 1\r\n" in context.head, context.head


@when(
    "{count:d} callers send all of a body of {size:d} bytes but its end, and"
    " one all"
)
def step_stall(context, count, size):
    async def body(rig):
        readers = []
        head = HEAD + b"Content-Length: %d\r\n\r\n" % size
        for number in range(count + 1):
            reader, writer = await rig.open()
            sent = size if number == count else size - 1
            writer.write(head + b"x" * sent)
            readers.append((reader, writer))
        context.last = await read_status(readers[-1][0])
        context.first = await read_status(readers[0][0])

    run(context, body)


@then("the last one is answered {status:d}")
def step_last(context, status):
    assert context.last == status, context.last


@then("a caller that stalled is answered {status:d}")
def step_stalled(context, status):
    assert context.first == status, context.first


@when("{count:d} callers send a body of {size:d} bytes each, a part at a time")
def step_parts(context, count, size):
    async def body(rig):
        pairs = [await rig.open() for _ in range(count)]
        for _, writer in pairs:
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
        for begin in range(0, size, PART_BYTES):
            for _, writer in pairs:
                writer.write(b"x" * min(PART_BYTES, size - begin))
            await asyncio.sleep(0.01)
        context.statuses = [await read_status(r) for r, _ in pairs]
        await asyncio.sleep(SETTLE_SECONDS)
        context.left = rig.memory.requests
        rig.requests.clear()
        context.bodies = count_bodies(size)

    gc.collect()
    gc.disable()
    try:
        run(context, body)
    finally:
        gc.enable()


@when(
    "two bodies are unfinished, and a caller sends a whole one of {size:d}"
    " bytes"
)
def step_whole(context, size):
    async def body(rig):
        rig.gives_up = False
        pairs = [await rig.open() for _ in range(3)]
        for (_, writer), length in zip(
            pairs[:2], (40_000, 30_000), strict=True
        ):
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % length)
            writer.write(b"x" * (length // 2))
            await asyncio.sleep(SETTLE_SECONDS / 3)
        reader, writer = pairs[2]
        head = HEAD + b"Content-Length: %d\r\n\r\n" % size
        writer.write(head + b"x" * size)
        context.last = await read_status(reader)
        context.counted = rig.memory.requests
        for _, writer in pairs:
            writer.close()
        await asyncio.sleep(SETTLE_SECONDS)
        context.left = rig.memory.requests

    run(context, body)


@then("it is answered 200 and counts no longer")
def step_counts_no_longer(context):
    assert context.last == 200, context.last
    # One unfinished body is left; the larger one had to go.
    assert context.counted <= 31_000, context.counted


def count_bodies(size):
    """Return the number of requests in memory with a body of some size."""
    return sum(
        isinstance(found, http_message.Request) and len(found.body) == size
        for found in gc.get_objects()
    )


@then("all of them are answered 200")
def step_all(context):
    assert set(context.statuses) == {200}, context.statuses


@then("no body of theirs is in memory")
def step_no_body(context):
    assert context.bodies == 0, context.bodies


@when("large bodies wait, and a caller sends a body of {size:d} bytes")
def step_large_wait(context, size):
    async def body(rig):
        large, pairs = 300_000, []
        for _ in range(3):
            pairs.append(await rig.open())
            writer = pairs[-1][1]
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % large)
            writer.write(b"x" * (large // 2))
            await asyncio.sleep(SETTLE_SECONDS / 10)
        reader, writer = await rig.open()
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size)
        context.last = await read_status(reader)
        context.waited = rig.memory.has_waiting

    run(context, body)


@then("the last one is answered 200 while the large ones wait")
def step_small(context):
    assert context.last == 200 and context.waited, context.last


@when("callers open {count:d} connections, the first of which has a request")
def step_open(context, count):
    context.count = count


@when("another connection is opened")
def step_another(context):
    async def body(rig):
        rig.answers_later = True
        pairs = []
        for number in range(context.count + 1):
            reader, writer = await rig.open()
            pairs.append((reader, writer))
            if not number:
                writer.write(HEAD + b"Content-Length: 0\r\n\r\n")
            await asyncio.sleep(SETTLE_SECONDS / 3)
        context.open = [not reader.at_eof() for reader, _ in pairs]

    run(context, body)


@then("the second connection is closed, and the others are open")
def step_evicted(context):
    assert context.open == [True, False, True, True], context.open


@then("a VM of {memory:d} MB and {descriptors:d} descriptors gives")
def step_derived(context, memory, descriptors):
    shares = {
        "caller": request_memory.CALLER_SHARES,
        "other": request_memory.OTHER_SHARES,
    }
    for row in context.table:
        found = request_memory.derive_limits(
            memory_mb=memory,
            descriptors=descriptors,
            shares=shares[row["process"]],
        )
        wanted = [int(row[n]) for n in ("requests", "unsent", "connections")]
        assert list(found) == wanted, found


class _Body(bytearray):
    """A body whose end can be observed."""


class _Listener:
    def __init__(self):
        self.ended = asyncio.Event()

    def on_head(self, head, length):
        return True

    def on_data(self, data):
        pass

    def on_end(self):
        self.ended.set()

    def on_broken(self, reason):
        raise AssertionError(reason)


@when("a body of {size:d} bytes is sent over a connection that is then idle")
def step_idle(context, size):
    context.rig = Rig(request_memory.Limits())

    async def body(rig):
        pool = http_client.ConnectionPool(times=http_client.ClientTimeouts())
        conn = await pool.open(rig.server.address)
        listener = _Listener()
        sent = _Body(size)
        alive = weakref.ref(sent)
        head = HEAD + b"Content-Length: %d\r\n\r\n" % size
        conn.send(head, listener, sent)
        del sent
        async with asyncio.timeout(PATIENCE_SECONDS):
            await listener.ended.wait()
        await asyncio.sleep(SETTLE_SECONDS)
        assert conn.idle
        context.bodies = int(alive() is not None)

    run(context, body)
