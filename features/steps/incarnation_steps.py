"""Steps on targets that start again, and on what other writers send."""

import json
import pathlib
import sys

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from features.harness import site as site_lib
from jasperweir.components.configctl import control_calls as calls_lib
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import exchange
from jasperweir.helpers import codec
from jasperweir.helpers import http_message

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The adapter's folder has no package around it.
sys.path.append(str(ROOT / "platform"))

from adapter import control_calls  # noqa: E402
from adapter import engine_calls  # noqa: E402

PRESENCES = {
    "ready": records.Presence.READY,
    "leaving": records.Presence.LEAVING,
    "gone": records.Presence.GONE,
}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "p",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1000,
}
REPORT = {
    "sequence": 2,
    "queued": 1,
    "active": 3,
    "pace": 1.0,
    "step": 812,
    "mapping": 1,
    "preloaded": 2,
    "enabled": {"version": 2, "step": 820},
    "held": 820,
    "size": 192,
    "group": {"name": "g", "epoch": 1, "rank": 7, "state": "open"},
}
COUNTS = {"step": 1, "epoch": 1, "counts": [5, 6, 7]}
PLACEMENT = {"mapping": {"version": 1, "experts": [[0, 2], [1]]}}


def target(born, sequence=1, presence=records.Presence.READY):
    found = site_lib.target("t1", "10.0.0.1:80", sequence, presence)
    return found._replace(born=born)


@given(
    'a target "t1" born at {born:d} with sequence {sequence:d} that is {known}'
)
def step_known(context, born, sequence, known):
    context.now = 10.0
    context.directory = directory_lib.Directory()
    record = target(born, sequence, PRESENCES[known])
    context.directory.merge(record, context.now)


@when(
    "it is told of as born at {born:d} with sequence {sequence:d}, {presence}"
)
def step_told(context, born, sequence, presence):
    record = target(born, sequence, PRESENCES[presence])
    context.directory.merge(record, context.now)


@then("the target is born at {born:d} and {presence}")
def step_is(context, born, presence):
    found = context.directory.get("t1")
    assert found.born == born, found
    assert found.presence is PRESENCES[presence], found


@when("only words of a start before it come for {seconds:d} seconds")
def step_only_late(context, seconds):
    for _ in range(seconds):
        context.now += 1.0
        context.directory.merge(target(500, 99), context.now)
    assert seconds > directory_const.FORGET_SECONDS


@then("it is not named any more")
def step_unnamed(context):
    assert not context.directory.serving("s", context.now)


@given('a site whose entries know a target "t1" born at {born:d}')
def step_site(context, born):
    site = site_lib.Site(entries=4)
    site.run(4.0)
    site.replace("c1", 1)
    site.announce("c1", target(born, 5))
    site.run(2.0)
    context.site = site


@when(
    'it has been deregistered and starts again at {born:d}, heard by "{name}"'
)
def step_again(context, born, name):
    site = context.site
    site.perform(
        "c2", site.nodes["c2"].discovery.deregister("t1", site.now).acts
    )
    site.run(1.0)
    site.announce(name, target(born))
    site.run(0.5)


@when('a heartbeat of its start at {born:d} comes late to "{name}"')
def step_late(context, born, name):
    context.site.announce(name, target(born, 6))
    context.site.run(1.0)


@when(
    "it starts again at {born:d} and then an entry retires the start at {old:d}"
)
def step_retired(context, born, old):
    site = context.site
    site.announce("c1", target(born))
    site.run(1.0)
    acts = site.discovery_clients["e1"].announce_target_gone(
        target(old), site.now
    )
    site.perform("e1", acts)
    site.run(1.0)


@when("it starts again at {born:d} and is then deregistered as born at {old:d}")
def step_late_gone(context, born, old):
    site = context.site
    site.announce("c1", target(born))
    site.run(1.0)
    discovery = site.nodes["c2"].discovery
    site.perform("c2", discovery.deregister("t1", site.now, old).acts)
    site.run(1.0)


@then("every entry names its start at {born:d}")
def step_every(context, born):
    site = context.site
    for name, follower in site.discovery_clients.items():
        found = follower.directory.serving("s", site.now)
        assert [t.born for t in found] == [born], (name, found)


@then("pools keep connections to starts at {one:d} and {two:d} apart")
def step_apart(context, one, two):
    keys = {exchange._pool_key(target(born)) for born in (one, two)}
    assert len(keys) == 2


# What other writers send.


def read(path, body):
    req = http_message.Request(
        method=b"POST",
        target=path.encode(),
        headers=[],
        body=body,
        keep_alive=True,
    )
    return control_calls.ControlDialect().call(req)


def read_heartbeat(body):
    return read("/Instances.Heartbeat/t1", body)


@when("a heartbeat with {field} set to {value} is read")
def step_read(context, field, value):
    fields = {**HEARTBEAT, field: "@"}
    body = json.dumps(fields).replace('"@"', value).encode()
    context.call = read_heartbeat(body)


@then("it is refused")
def step_refused(context):
    assert isinstance(context.call, calls_lib.Invalid), context.call


@then("it names a target born at {born:d}")
def step_born(context, born):
    assert isinstance(context.call, calls_lib.Announce), context.call
    assert context.call.target.born == born


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=True),
    st.text(max_size=12),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=12,
)


def damaged(example):
    """Draw bodies that differ from an example, or bytes cut from one."""
    names = sorted(example)

    def change(draw):
        name, how, value, cut = draw
        fields = dict(example)
        match how:
            case "out":
                del fields[name]
            case "other":
                fields[name] = value
            case "unknown":
                fields["unknown"] = value
        body = json.dumps(fields).encode()
        if how == "cut":
            return body[: cut % len(body)]
        if how == "doubled":
            return body + body
        if how == "wrong bytes":
            at = cut % len(body)
            return body[:at] + b"\xff\xfe" + body[at:]
        return body

    ways = ("out", "other", "unknown", "cut", "doubled", "wrong bytes")
    return st.tuples(
        st.sampled_from(names),
        st.sampled_from(ways),
        VALUES,
        st.integers(0, 10_000),
    ).map(change)


def try_each(count, bodies, check):
    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @drawn(bodies)
    def run(body):
        check(body)

    run()


@when("{count:d} heartbeats and deregistrations drawn from valid ones are read")
def step_drawn(context, count):
    context.calls = []

    def check(body):
        context.calls.append(read_heartbeat(body))
        context.calls.append(read("/Instances.Deregister/t1", body))

    try_each(count, damaged(HEARTBEAT), check)


@then("each is a target, a deregistration or a refusal")
def step_each(context):
    kinds = (
        calls_lib.Announce,
        calls_lib.Deregister,
        calls_lib.Invalid,
    )
    assert all(isinstance(call, kinds) for call in context.calls)
    assert any(isinstance(call, calls_lib.Announce) for call in context.calls)
    assert any(isinstance(call, calls_lib.Invalid) for call in context.calls)


@then("what was read fits our own messages")
def step_fits(context):
    for call in context.calls:
        if not isinstance(call, calls_lib.Announce):
            continue
        packed = codec.pack(records.News(target=call.target))
        assert codec.unpack(packed, records.News).target == call.target


@when("{count:d} answers of engines drawn from valid ones are read")
def step_engines(context, count):
    dialect = engine_calls.EngineDialect()
    context.others = []
    readers = (
        (REPORT, dialect.state),
        (COUNTS, dialect.counts),
        (PLACEMENT, dialect.placement),
    )

    def checker(reader):
        def check(body):
            try:
                codec.pack(reader(body))
            except ValueError:
                return
            except Exception as exc:
                context.others.append((body, repr(exc)))

        return check

    for example, reader in readers:
        try_each(count, damaged(example), checker(reader))


@then("each is read or refused with a ValueError")
def step_value_errors(context):
    assert not context.others, context.others[:3]
