"""Steps on callers and targets that read slowly."""

import asyncio
import pathlib
import time

from behave import given
from behave import then
from behave import when

from features.harness import slow_readers
from jasperweir.helpers import http_server

MB = 1_000_000


def resident_bytes():
    """Return the resident memory of this process."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * 4096


@given("an entry and a target whose answers have {count:d} events of 8 KiB")
def step_entry(context, count):
    context.target = slow_readers.Target(events=count)
    context.options = {}
    context.limits = {}


@given("the target cuts off answers that stay unread for {seconds:g} s")
def step_cuts(context, seconds):
    context.target.cut_s = seconds


@given("streams that are {kind}")
def step_kind(context, kind):
    if kind == "resumable":
        context.options = {"resumable": True, "attempts": 3}


@given("the target reads bodies after {seconds:g} s")
def step_reads(context, seconds):
    context.target.read_after_s = seconds


@given("an entry that keeps request bodies of {size:g} MB in all")
def step_bodies(context, size):
    context.limits["requests"] = int(size * MB)


@given("an entry that holds {size:g} MB of answers in all")
def step_unsent(context, size):
    context.limits["unsent"] = int(size * MB)


def run(context, body):
    """Run a coroutine with a started entry, and stop the entry."""

    async def main():
        entry = slow_readers.Entry(target=context.target, **context.options)
        await entry.start()
        memory = entry.server.memory
        memory.limits = memory.limits._replace(**context.limits)
        context.entry = entry
        try:
            await body(entry)
        finally:
            entry.close()
            await asyncio.sleep(0.05)

    asyncio.run(main())


@when("{count:d} callers don't read their answers for {seconds:g} s")
def step_unread(context, count, seconds):
    async def body(entry):
        before = resident_bytes()
        for _ in range(count):
            await entry.call()
        context.held = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(0.05)
            context.held = max(context.held, entry.unsent())
        context.grown = resident_bytes() - before
        context.sent = list(context.target.sent)
        context.connected = len(entry.server.connections)
        began = time.monotonic()
        reader = await entry.call()
        answer, is_whole = await slow_readers.read_answer(reader)
        context.other = (is_whole, time.monotonic() - began, len(answer))

    run(context, body)


@then("the entry holds at most {most:g} MB for them")
def step_holds(context, most):
    assert 0 < context.held <= most * MB, context.held


@then("the target has had to wait with every answer")
def step_waits(context):
    whole = context.target.events * slow_readers.EVENT_BYTES
    assert len(context.sent) == 500, len(context.sent)
    assert max(context.sent) < whole, max(context.sent)


@then("the entry's process has grown by at most {most:g} MB")
def step_grown(context, most):
    assert context.grown <= most * MB, context.grown


@then("another caller gets its whole answer within {seconds:g} s")
def step_other(context, seconds):
    is_whole, took_s, _ = context.other
    assert is_whole, context.other
    assert took_s <= seconds, context.other


@then("all {count:d} of them are still connected")
def step_all_connected(context, count):
    assert context.connected == count, context.connected


@then("at least {least:d} of them are still connected")
def step_connected(context, least):
    assert least <= context.connected < 40, context.connected


@when("a caller doesn't read for {seconds:g} s, and then reads")
def step_late(context, seconds):
    async def body(entry):
        reader = await entry.call()
        await asyncio.sleep(seconds)
        context.answer = await slow_readers.read_answer(reader)
        balancer = entry.one.forwarder.balancer
        context.ejected = balancer.ejected("t0", entry.one.forwarder.now())
        context.failures = {
            name: health.failures for name, health in balancer._health.items()
        }

    run(context, body)


@then("it gets {count:d} events in order, and the end of the answer")
def step_events(context, count):
    answer, is_whole = context.answer
    assert is_whole
    lines = answer.split(b"\n")
    ids = [int(line[4:]) for line in lines if line.startswith(b"id: ")]
    assert ids == list(range(1, count + 1)), ids


@then("pauses between events were recorded, none longer than {most:g} s")
def step_pauses(context, most):
    pauses = context.entry.pauses
    assert pauses
    assert max(pauses) <= most, max(pauses)


@then("its answer breaks off, without an end")
def step_broken(context):
    answer, is_whole = context.answer
    assert answer
    assert not is_whole
    assert context.target.cuts == 1, context.target.cuts


@then("the target counts as healthy, with {count:d} request")
def step_healthy(context, count):
    assert not context.ejected
    assert not any(context.failures.values()), context.failures
    assert len(context.target.sent) == count, context.target.sent


@when("a caller sends a body of {size:g} MB")
def step_sends(context, size):
    context.size = int(size * MB)

    async def body(entry):
        reader = await entry.call(b"x" * context.size)
        answer = asyncio.create_task(slow_readers.read_answer(reader))
        context.held = 0
        while not answer.done():
            await asyncio.sleep(0.02)
            for exchange in entry.one.forwarder._open_exchanges.values():
                if exchange._conn is not None:
                    transport = exchange._conn._transport
                    size = transport.get_write_buffer_size()
                    context.held = max(context.held, size)
        context.answer = answer.result()

    run(context, body)


@then(
    "the entry's connection to the target holds at most {most:d} kB meanwhile"
)
def step_little(context, most):
    assert 0 < context.held <= most * 1000, context.held


@then("the target gets the whole body, and the caller its answer")
def step_whole(context):
    assert context.target.bodies == [context.size], context.target.bodies
    assert context.answer[1], context.answer


@when("{count:d} callers send a body of {size:g} MB each")
def step_send_each(context, count, size):
    async def body(entry):
        readers = [
            await entry.call(b"x" * int(size * MB)) for _ in range(count)
        ]
        tasks = [
            asyncio.create_task(slow_readers.read_answer(reader))
            for reader in readers
        ]
        context.held = 0
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0.01)
            context.held = max(context.held, entry.server.memory.requests)
        context.answers = [task.result() for task in tasks]
        context.left = entry.server.memory.requests

    run(context, body)


@then("the entry held at most {most:g} MB of bodies")
def step_held(context, most):
    assert 0 < context.held <= most * MB, context.held
    assert context.left == 0, context.left


@then("every caller gets its answer")
def step_answers(context):
    assert all(is_whole for _, is_whole in context.answers), context.answers


@given("a server that replies with {size:g} MB")
def step_server(context, size):
    context.size = int(size * MB)


@when("a caller asks for it and starts to read after {seconds:g} s")
def step_asks(context, seconds):
    async def main():
        server = http_server.Server(
            address="127.0.0.1:0",
            handler=lambda answering: answering.reply(
                200, [], b"x" * context.size
            ),
        )
        await server.start()
        port = server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(seconds)
        context.body = await reader.readexactly(context.size)
        writer.transport.abort()
        server.close_listener()

    asyncio.run(main())


@then("it gets {size:g} MB")
def step_gets(context, size):
    assert len(context.body) == int(size * MB)
