"""Steps for configurations and other messages larger than a frame."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from features.harness import linked_site
from features.harness import site as site_lib
from features.harness import sockets
from jasperweir.components.configctl import messages as config_messages
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.registry import ops
from jasperweir.helpers import clocks
from jasperweir.helpers import codec
from jasperweir.helpers import http_server


def run(context, coro):
    return context.loop.run_until_complete(coro)


def make_content(version, size):
    return random.Random(version).randbytes(size)


def order(context, size, version=0):
    """Return the next version and its content."""
    context.version = version or context.version + 1
    context.content = make_content(context.version, size)
    return context.version, context.content


def find_follower(site):
    return next(name for name in site.nodes if name != site.leader())


@given("{count:d} linked control VMs and an entry")
def step_linked(context, count):
    context.loop = asyncio.new_event_loop()
    site = context.site = linked_site.LinkedSite(controls=count)

    def stop():
        site.stop()
        context.loop.run_until_complete(asyncio.sleep(0))
        context.loop.close()

    context.add_cleanup(stop)
    context.version = 0

    async def prepare():
        await site.start()
        site.start_entry()
        version, content = order(context, 100)
        first = await site.call(
            lambda: site.replace(site.names[0], version, content), 15
        )
        assert first is not None
        assert await site.wait(site.leader, 3)

    run(context, prepare())


@when("an order of {size:d} bytes is sent to a control VM that does not lead")
def step_order(context, size):
    context.size = size
    order(context, size)


@then("it is acknowledged within {seconds:d} seconds")
def step_acknowledged(context, seconds):
    site = context.site
    name = find_follower(site)
    found = run(
        context,
        site.call(
            lambda: site.replace(name, context.version, context.content),
            seconds,
        ),
    )
    assert found is not None, "not acknowledged"
    assert found.version >= context.version, found


@then("a later order is acknowledged within {seconds:d} seconds")
def step_later(context, seconds):
    order(context, 300)
    step_acknowledged(context, seconds)


@then("the entry puts it into force within {seconds:d} seconds")
def step_in_force(context, seconds):
    site = context.site
    run(context, site.wait(lambda: context.version in site.applied, seconds))
    assert site.applied.get(context.version) == context.content


@then("every control VM returns it to a read")
def step_reads(context):
    site = context.site
    for name in site.names:
        found = run(
            context, site.call(lambda name=name: site.describe(name), 6)
        )
        assert found is not None, f"{name} returns nothing"
        assert found.declared.version == context.version, found.number
        assert found.declared.data == context.content


@when(
    "all control VMs are killed and the leader's disk holds an order of "
    "{size:d} bytes that no other has"
)
def step_stuck(context, size):
    site = context.site
    leader = site.leader()
    disk = site.disks[leader]
    for name in list(site.nodes):
        site.kill(name)
    version, content = order(context, size)
    body = codec.pack_tagged(ops.Replace(version=version, data=content))
    req = ops.Request(op_id="stuck", who=leader, at=0.0, body=body)
    last = disk.entries[max(disk.entries)]
    entry = quorum_messages.Entry(
        last.idx + 1, disk.meta.term, quorum_const.KIND_OP, codec.pack(req)
    )
    disk.entries[entry.idx] = entry
    # Two of three elect the one whose log is longer.
    other, last_started = (name for name in site.names if name != leader)
    run(context, site.start([leader, other], bootstrap=False))

    def read():
        return site.describe(leader)

    async def wait():
        assert await site.wait(site.leader, 8)
        until = clocks.elapsed() + 8
        while clocks.elapsed() < until:
            found = await site.call(read, 2)
            if found is not None and found.declared.version == version:
                break
        await site.start([last_started], bootstrap=False)

    run(context, wait())


@when(
    "{count:d} orders of {size:d} bytes are acknowledged while a control VM is "
    "down"
)
def step_orders_without(context, count, size):
    site = context.site
    context.down = find_follower(site)
    site.kill(context.down)
    for _ in range(count):
        version, content = order(context, size)
        leader = site.leader()
        found = run(
            context,
            site.call(
                lambda leader=leader, version=version, content=content: (
                    site.replace(leader, version, content)
                ),
                6,
            ),
        )
        assert found is not None, f"version {version} is not acknowledged"


@when("its disk is emptied and it starts again")
def step_start_empty(context):
    context.site.disks[context.down].wipe()
    run(context, context.site.start([context.down], bootstrap=False))


@then(
    "it gets a voting seat within {seconds:d} seconds and holds the newest "
    "version"
)
def step_joined(context, seconds):
    site, name = context.site, context.down
    node = site.nodes[name]

    def has_joined():
        declared = node.machine.declared()
        return node.voter.is_voting and declared.version == context.version

    assert run(context, site.wait(has_joined, seconds)), node.voter.seats
    assert node.machine.declared().data == context.content


@then("the log of every control VM holds at most {size:d} MiB")
def step_log_bytes(context, size):
    for name, disk in context.site.disks.items():
        held = sum(len(entry.data) for entry in disk.entries.values())
        assert held <= size << 20, (name, held)


@when("a control VM sends a message of {size:d} MiB")
def step_too_large(context, size):
    site = context.site
    one, two = site.names[:2]
    context.link = site.links[one]

    async def send():
        content = config_messages.Content(version=1, data=bytes(size << 20))
        context.link.send(two, content)

    run(context, send())


@then("its link counts a message that is too large")
def step_counts_too_large(context):
    counted = context.link.counters["dropped_too_large"]
    assert counted == 1, context.link.counters


@when("a control VM knows {count:d} targets with long names")
def step_targets(context, count):
    site = context.site
    node = site.nodes[site.names[0]]
    now = clocks.elapsed()
    for number in range(count):
        target = site_lib.target(f"t{number:06d}" + "x" * 300)
        node.discovery.directory.merge(target, now)
    context.count = count


@then("another control VM knows as many within {seconds:d} seconds")
def step_targets_known(context, seconds):
    site = context.site
    other = site.nodes[site.names[1]].discovery.directory

    def knows_all():
        return len(other.targets()) >= context.count

    assert run(context, site.wait(knows_all, seconds)), len(other.targets())


@when(
    "a body of {size:d} bytes is announced to a server with a limit of "
    "{limit:d}"
)
def step_announce_body(context, size, limit):
    context.size, context.limit = size, limit

    async def send():
        address = sockets.free_address()
        server = http_server.Server(
            address=address,
            handler=lambda answering: answering.reply(200, [], b""),
        )
        server.limits = http_server.ServerLimits(body_bytes=limit)
        await server.start()
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
        writer.write(head.encode())
        response = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        server.close_listener()
        return response

    context.response = asyncio.run(send())


@then("the status is 413 and the text names both")
def step_names_both(context):
    head, _, text = context.response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 413 "), head
    assert str(context.size).encode() in text, context.response
    assert str(context.limit).encode() in text, context.response
