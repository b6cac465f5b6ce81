"""Steps for restarted targets and for malformed input."""

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
# The adapter is not part of an installed package.
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
    "it is announced as born at {born:d} with sequence {sequence:d}, {presence}"
)
def step_announced(context, born, sequence, presence):
    record = target(born, sequence, PRESENCES[presence])
    context.directory.merge(record, context.now)


@then("the target is born at {born:d} and {presence}")
def step_is(context, born, presence):
    found = context.directory.get("t1")
    assert found.born == born, found
    assert found.presence is PRESENCES[presence], found


@when("only announcements of an earlier start arrive for {seconds:d} seconds")
def step_only_earlier(context, seconds):
    for _ in range(seconds):
        context.now += 1.0
        context.directory.merge(target(500, 99), context.now)
    assert seconds > directory_const.FORGET_SECONDS


@then("the target is not listed any more")
def step_unlisted(context):
    assert not context.directory.list_ready("s", context.now)


@given('a site whose entries know a target "t1" born at {born:d}')
def step_site(context, born):
    site = site_lib.Site(entries=4)
    site.run(4.0)
    site.replace("c1", 1)
    site.announce("c1", target(born, 5))
    site.run(2.0)
    context.site = site


@when(
    'it has been deregistered and restarts at {born:d}, announced to "{name}"'
)
def step_restarted(context, born, name):
    site = context.site
    site.perform("c2", site.nodes["c2"].deregister("t1", site.now).acts)
    site.run(1.0)
    site.announce(name, target(born))
    site.run(0.5)


@when('a delayed heartbeat of its start at {born:d} arrives at "{name}"')
def step_delayed(context, born, name):
    context.site.announce(name, target(born, 6))
    context.site.run(1.0)


@when("it restarts at {born:d} and then an entry retires the start at {old:d}")
def step_retired(context, born, old):
    site = context.site
    site.announce("c1", target(born))
    site.run(1.0)
    acts = site.discovery_clients["e1"].announce_target_gone(
        target(old), site.now
    )
    site.perform("e1", acts)
    site.run(1.0)


@when("it restarts at {born:d} and is then deregistered as born at {old:d}")
def step_deregistered_late(context, born, old):
    site = context.site
    site.announce("c1", target(born))
    site.run(1.0)
    site.perform("c2", site.nodes["c2"].deregister("t1", site.now, old).acts)
    site.run(1.0)


@then("every entry lists its start at {born:d}")
def step_every_entry(context, born):
    site = context.site
    for name, follower in site.discovery_clients.items():
        found = follower.directory.list_ready("s", site.now)
        assert [t.born for t in found] == [born], (name, found)


@then(
    "connections to starts at {first:d} and {second:d} have different pool keys"
)
def step_pool_keys(context, first, second):
    keys = {exchange._pool_key(target(born)) for born in (first, second)}
    assert len(keys) == 2


# Malformed input.


def parse_call(path, body):
    """Parse a call to a control VM."""
    req = http_message.Request(
        method=b"POST",
        target=path.encode(),
        headers=[],
        body=body,
        keep_alive=True,
    )
    return control_calls.ControlDialect().call(req)


def parse_heartbeat(body):
    return parse_call("/Instances.Heartbeat/t1", body)


@when("a heartbeat with {field} set to {value} is read")
def step_read(context, field, value):
    fields = {**HEARTBEAT, field: "@"}
    body = json.dumps(fields).replace('"@"', value).encode()
    context.call = parse_heartbeat(body)


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
    """Return a strategy for damaged variants of a valid JSON body."""
    names = sorted(example)

    def damage(draw):
        name, how, value, offset = draw
        fields = dict(example)
        match how:
            case "missing":
                del fields[name]
            case "replaced":
                fields[name] = value
            case "unknown":
                fields["unknown"] = value
        body = json.dumps(fields).encode()
        if how == "truncated":
            return body[: offset % len(body)]
        if how == "doubled":
            return body + body
        if how == "invalid bytes":
            at = offset % len(body)
            return body[:at] + b"\xff\xfe" + body[at:]
        return body

    kinds = (
        "missing", "replaced", "unknown", "truncated", "doubled",
        "invalid bytes",
    )  # fmt: skip
    return st.tuples(
        st.sampled_from(names),
        st.sampled_from(kinds),
        VALUES,
        st.integers(0, 10_000),
    ).map(damage)


def check_examples(count, bodies, check):
    """Call a check with this number of bodies, the same ones in each run."""

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @drawn(bodies)
    def run(body):
        check(body)

    run()


@when("{count:d} damaged heartbeats and deregistrations are read")
def step_damaged_calls(context, count):
    context.calls = []

    def check(body):
        context.calls.append(parse_heartbeat(body))
        context.calls.append(parse_call("/Instances.Deregister/t1", body))

    check_examples(count, damaged(HEARTBEAT), check)


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


@then("every target survives encoding and decoding")
def step_round_trip(context):
    for call in context.calls:
        if not isinstance(call, calls_lib.Announce):
            continue
        packed = codec.pack(records.TargetUpdate(target=call.target))
        assert codec.unpack(packed, records.TargetUpdate).target == call.target


@when("{count:d} damaged responses of engines are read")
def step_damaged_responses(context, count):
    dialect = engine_calls.EngineDialect()
    context.unexpected = []
    parsers = (
        (REPORT, dialect.state),
        (COUNTS, dialect.counts),
        (PLACEMENT, dialect.placement),
    )

    def make_check(parser):
        def check(body):
            try:
                codec.pack(parser(body))
            except ValueError:
                return
            except Exception as exc:
                context.unexpected.append((body, repr(exc)))

        return check

    for example, parser in parsers:
        check_examples(count, damaged(example), make_check(parser))


@then("each is parsed or rejected with a ValueError")
def step_value_errors(context):
    assert not context.unexpected, context.unexpected[:3]
