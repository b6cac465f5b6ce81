"""Steps on what makes a target cold."""

import collections
import json
import pathlib
import sys

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.warmup import coldness
from jasperweir.helpers import http_message

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The adapter is not part of an installed package.
sys.path.append(str(ROOT / "platform"))

from adapter import control_calls  # noqa: E402

HEARTBEAT_SECONDS = 0.4


@when("a target's heartbeat states {value} as its cold time")
def step_heartbeat(context, value):
    fields = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "p",
        "slots": 6,
        "sequence": 4,
        "born": 1000,
    }
    body = json.dumps(fields)[:-1] + f', "coldRemainingMs": {value}}}'
    req = http_message.Request(
        method=b"POST",
        target=b"/Instances.Heartbeat/t1",
        headers=[],
        body=body.encode(),
        keep_alive=True,
    )
    context.call = control_calls.ControlDialect().call(req)


@then("the target is announced with a cold time of {seconds:g} s")
def step_announced(context, seconds):
    assert isinstance(context.call, calls_lib.Announce), context.call
    target = context.call.target
    assert target.cold_s == seconds, target
    assert (target.target_id, target.slots, target.born) == ("t1", 6, 1000)


@given("a target that starts at {at:g} s with a cold time of {cold_s:g} s")
def step_start(context, at, cold_s):
    context.directory = directory_lib.Directory()
    context.coldness = coldness.Coldness(directory=context.directory)
    context.sequence = 1
    context.target = site_lib.target()._replace(born=1000, cold_s=cold_s)
    context.directory.merge(context.target, at)


@when("a heartbeat made at {at:g} s states {cold_s:g} s, received at {now:g} s")
def step_late_beat(context, at, cold_s, now):
    context.sequence += 1
    target = context.target._replace(sequence=context.sequence, cold_s=cold_s)
    context.directory.merge(target, now, age=now - at)


@when("a heartbeat made at {at:g} s states {cold_s:g} s")
def step_beat(context, at, cold_s):
    step_late_beat(context, at, cold_s, at)


@when("an answer at {at:g} s states {cold_s:g} s")
def step_answer(context, at, cold_s):
    context.coldness.on_answer(context.target, cold_s, at)


@when("the target starts again at {at:g} s with a cold time of {cold_s:g} s")
def step_again(context, at, cold_s):
    context.target = context.target._replace(born=2000, cold_s=cold_s)
    context.directory.merge(context.target, at)


@when("the evacuation of its data centre ends at {at:g} s")
def step_ended(context, at):
    context.coldness.on_evacuation_ended("p", at)


@when("the evacuation of another data centre ends at {at:g} s")
def step_other_ended(context, at):
    context.coldness.on_evacuation_ended("q", at)


@then(
    "for a service with {cold_start_s:g} s of cold time it is cold at"
    " {at:g} s because of its {reason}"
)
def step_cold(context, cold_start_s, at, reason):
    cold = context.coldness.find(context.target, cold_start_s, at)
    assert cold is not None
    assert cold.reason.value == reason, cold


@then(
    "for a service with {cold_start_s:g} s of cold time it is warm at {at:g} s"
)
def step_warm(context, cold_start_s, at):
    cold = context.coldness.find(context.target, cold_start_s, at)
    assert cold is None, cold


@given("a site with {count:d} entries and a target that has started")
def step_site(context, count):
    site = site_lib.Site(entries=count)
    site.run(4.0)
    site.replace("c1", 1)
    context.target = site_lib.target()._replace(born=1000)
    site.announce("c1", context.target)
    site.run(2.0)
    context.site = site


@when(
    "its heartbeats state {cold_s:g} s, then less at each of {count:d}"
    " heartbeats, then 0 s"
)
def step_heartbeats(context, cold_s, count):
    site = context.site
    updates = collections.Counter()
    for name, client in site.discovery_clients.items():
        client.receive = _count_updates(client.receive, updates, name)
    context.updates = updates
    context.known = []
    values = [cold_s * (1 - n / (count + 1)) for n in range(count + 1)] + [0.0]
    for number, value in enumerate(values):
        stated = context.target._replace(sequence=2 + number, cold_s=value)
        # Any control VM may receive a heartbeat.
        site.announce(f"c{1 + number % 3}", stated)
        site.run(HEARTBEAT_SECONDS if 0 < number <= count else 1.0)
        context.known.append(
            [
                client.directory.get("t1").cold_s
                for client in site.discovery_clients.values()
            ]
        )


def _count_updates(receive, updates, name):
    def counting(src, msg, now):
        updates[name, src] += isinstance(msg, records.TargetUpdate)
        return receive(src, msg, now)

    return counting


@then(
    "every entry knows within 1 s that it is cold, and that it is warm",
)
def step_known(context):
    assert all(cold_s > 0 for cold_s in context.known[0]), context.known
    assert all(cold_s == 0 for cold_s in context.known[-1]), context.known


@then(
    "each entry has received at most {count:d} updates of the target from each"
    " control VM"
)
def step_updates(context, count):
    assert all(
        1 <= received <= count for received in context.updates.values()
    ), context.updates
