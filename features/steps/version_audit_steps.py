"""Steps on the audit of requests that an older version let through."""

import collections

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.configctl import entry_check
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import order_records
from jasperweir.components.confirmation import tracker
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.deployment import model
from jasperweir.components.discovery import commit_times
from jasperweir.components.discovery import version_basis
from jasperweir.components.forward import matching
from jasperweir.components.forward import version_audit
from jasperweir.daemons import version_audit_log
from jasperweir.helpers import hashing

COMMITTED_AT = 100.0
HOST = "caller.example"
DROPPED, KEPT, MOVING = "dropped key", "kept key", "moving key"
CONFIRMED_BY = "c1 c2"


def make_index(version, service, customers):
    """Return a configuration with one service a route."""
    routes = tuple(
        model.Route(
            name=f"route {prefix}",
            host=HOST,
            prefix=prefix,
            kind=model.RouteKind.SAFE,
            timeout_s=1.0,
            target_s=0.1,
            gap_s=0.0,
            priority=1,
            backends=(model.Backend(backend, 1.0),),
            max_attempts=1,
            public=False,
            resumable=False,
        )
        for prefix, backend in (("/kept/", "m"), ("/moved/", service))
    )
    return index_lib.DeploymentIndex(
        deployment=model.Deployment(
            version=version,
            routes=routes,
            services=(),
            limits=model.Limits(
                header_bytes=1,
                body_bytes=1,
                header_timeout_s=1.0,
                idle_timeout_s=1.0,
            ),
            customers=tuple(
                model.Customer(name, keys, None)
                for name, keys in customers.items()
            ),
        )
    )


CASES = {
    "a dropped key": ("/kept/x", DROPPED),
    "a kept key": ("/kept/x", KEPT),
    "a key of another customer": ("/kept/x", MOVING),
    "a moved route": ("/moved/x", KEPT),
}


@given(
    "a request by {what} that version 9 let through {late:g} s after version"
    " {newer:d} was committed"
)
def step_sent(context, what, late, newer):
    path, key = CASES[what]
    context.audit = version_audit.VersionAudit()
    context.commits = commit_times.CommitTimes()
    note(context.commits, newer, COMMITTED_AT)
    if newer != 12:
        note(context.commits, 12, COMMITTED_AT + late + 0.1)
    context.audit.on_sent(make_sent(COMMITTED_AT + late, path=path, key=key))


def make_sent(at, *, path, key, version=9, held=None, service="m"):
    """Return a request that an entry sends to a target.

    Args:
        at: When, monotonic seconds.
        path: Its path.
        key: Key of its caller.
        version: Version of the index that decided on it.
        held: Version that counted as held, the same if not given.
        service: Service of the target.
    """
    held = version if held is None else held
    prefix = f"/{path.split('/')[1]}/"
    return version_audit.SentRequest(
        sent_at=at,
        version=version,
        request_id="r-1",
        criteria=matching.Criteria(host=HOST, path=path, key=key),
        route="route of 9" if version == 9 else f"route {prefix}",
        service=service,
        customer="one",
        basis=version_basis.VersionBasis(
            version=held,
            newest=held,
            standing=tracker.Standing.CURRENT,
            confirmed_by=CONFIRMED_BY,
            confirmed_age_s=0.25,
        ),
    )


@given("nobody has stated when version 12 was committed")
def step_undated(context):
    context.commits = commit_times.CommitTimes()


@given("only a control VM that has just started states the age of version 12")
def step_new_voter(context):
    context.commits = commit_times.CommitTimes()
    age = messages.VersionAge(12, 0.1, messages.AGE_UNBOUNDED)
    now = COMMITTED_AT + 2.7
    context.commits.note_ages(
        messages.VersionAges((age,)), asked_at=now, now=now
    )


@then("the audit counts one request that it can't date")
def step_counts_undated(context):
    assert context.result == ([], 1), context.result


@given("an entry that has put version 12 into force")
def step_entry(context):
    context.audit = version_audit.VersionAudit()
    context.calls = []
    context.audit.on_found = lambda: context.calls.append(True)
    context.commits = commit_times.CommitTimes()
    note(context.commits, 12, COMMITTED_AT)
    context.index = make_index(12, "n", {"one": (KEPT,), "two": (MOVING,)})
    context.audit.on_in_force(context.index.deployment)
    context.audit.check(context.index, context.commits)
    # What it sends otherwise is not reported.
    context.audit.on_sent(
        make_sent(COMMITTED_AT, path="/kept/x", key=KEPT, version=12)
    )
    assert not context.calls


SENT = {
    "by the index of version 9 while 12 counts as held": {
        "key": DROPPED, "held": 12,
    },
    "by a key that version 12 does not have": {"key": DROPPED, "version": 12},
    "to a service that version 12 does not give the route": {
        "key": KEPT, "version": 12, "service": "n",
    },
    "that version 9 let through long ago": {"key": DROPPED},
}  # fmt: skip


@when("it sends a request {how}")
def step_sends(context, how):
    context.audit.on_sent(
        make_sent(COMMITTED_AT + 9.0, path="/kept/x", **SENT[how])
    )


@then("the audit is called at once and reports it as {finding}")
def step_finding(context, finding):
    assert context.calls
    result = context.audit.check(context.index, context.commits)
    found = [request.finding.name for request in result.requests]
    assert finding in found, found
    assert result.undated == 0
    again = context.audit.check(context.index, context.commits)
    assert again == ([], 0), again


@given("a site of three control VMs that holds version 12")
def step_site(context):
    context.site = site = site_lib.Site()
    context.actions = collections.defaultdict(list)
    perform = site.perform

    def perform_and_note(name, acts):
        perform(name, acts)
        context.actions[name] += acts

    site.perform = perform_and_note
    site.run(3.0)
    site.replace(site.leader(), 12, b"one")
    site.run(3.0)


def follower(site):
    """Return a control VM that does not lead."""
    return next(name for name in site.names if name != site.leader())


@when("version 13 is committed while a control VM {where}")
def step_commit_13(context, where):
    site = context.site
    context.name = name = follower(site)
    match where:
        case "is cut off":
            site.cut |= {(name, o) for o in site.names if o != name}
        case "has an empty disk":
            site.wipe(name)
    site.run(0.5)
    site.replace(site.leader(), 13, b"two")
    site.run(1.0)
    if where == "has an empty disk":
        site.start(name)
    site.cut.clear()
    site.run(4.0)


@then("the age that it states of version 13 is {known}")
def step_known(context, known):
    node = context.site.nodes[context.name]
    site = context.site
    acts = node.receive("e1", messages.ContentRequest(held=12), site.now)
    (age,) = acts[0].msg.ages
    assert age.version == 13
    match known:
        case "known":
            assert 0 <= age.uncertain_s <= 0.3, age
        case "uncertain":
            assert age.uncertain_s >= 1.0, age
        case "unbounded":
            assert age.uncertain_s == messages.AGE_UNBOUNDED, age


@when("an entry reports version 12 with other content")
def step_other(context):
    client = context.site.discovery_clients["e1"]
    site = context.site
    site.perform("e1", client.on_applied(12, site.now, content=1))
    site.run(0.2)


def find_actions(context, kind):
    """Return the actions of a kind that control VMs have returned."""
    return [
        act
        for acts in context.actions.values()
        for act in acts
        if isinstance(act, kind)
    ]


@then("its control VM says that the entry has other content")
def step_says_other(context):
    found = find_actions(context, entry_check.OtherContent)
    assert {(f.entry, f.version, f.content) for f in found} == {("e1", 12, 1)}
    assert found[0].committed == hashing.checksum(b"one")


@when("an entry ends, version 13 is committed, and the entry starts again")
def step_entry_restarts(context):
    site = context.site
    site.kill("e1")
    site.replace(site.leader(), 13, b"two")
    site.run(1.0)
    site.start_entry("e1")
    site.run(1.0)


@then("a control VM records that the entry had version 12 and that 13 is newer")
def step_restarted(context):
    found = find_actions(context, entry_check.EntryRestarted)
    assert {(f.entry, f.version, f.superseded_by) for f in found} == {
        ("e1", 12, 13)
    }, found


@when("an entry keeps version 12 for 3 s after version 13 was committed")
def step_keeps(context):
    site = context.site
    # Messages with content are lost, others arrive.
    site.tap = lambda site, src, dst, msg: (
        dst == "e1" and isinstance(msg, messages.Content)
    )
    site.replace(site.leader(), 13, b"two")
    site.run(5.0)


@then("a control VM records that the entry holds version 12")
def step_late_entry(context):
    found = find_actions(context, entry_check.LateEntry)
    assert {(f.entry, f.version, f.superseded_by) for f in found} == {
        ("e1", 12, 13)
    }, found


@given("an operator was told that version 99 is in force")
def step_told(context):
    site = context.site
    record = messages.OrderRecord(
        version=99,
        content=1,
        acknowledged_by="c9",
        number=1,
        effect=messages.OrderEffect.IN_FORCE,
        held=99,
        had=2,
        lacked=(),
        expired=(),
        unheard=(),
        waited_s=0.0,
    )
    for name, node in site.nodes.items():
        site.perform(name, node.receive("c9", record, site.now))


@when("the leader has run for a second")
def step_run(context):
    context.site.run(1.0)


@then("every control VM records that version 99 is lost")
def step_lost(context):
    for name in context.site.names:
        found = [
            act.record
            for act in context.actions[name]
            if isinstance(act, order_records.OrderRecorded)
            and act.record.effect is messages.OrderEffect.LOST
        ]
        assert [record.version for record in found] == [99], (name, found)


def note(commits, version, at):
    """Record when a version was committed."""
    ages = messages.VersionAges((messages.VersionAge(version, 0.0),))
    commits.note_ages(ages, asked_at=at, now=at)


@when("version 12, which drops the key and moves the route, comes into force")
def step_in_force(context):
    customers = {"one": (KEPT,), "two": (MOVING,)}
    index = make_index(12, "n", customers)
    context.result = context.audit.check(index, context.commits)
    context.found = context.result.requests


@when("version 13 with the same content comes into force")
def step_again(context):
    note(context.commits, 13, COMMITTED_AT + 9.0)
    customers = {"one": (KEPT,), "two": (MOVING,)}
    index = make_index(13, "n", customers)
    context.found = context.audit.check(index, context.commits).requests


@then("the audit reports the request")
def step_reported(context):
    assert [found.request_id for found in context.found] == ["r-1"]


@then("the audit does not report the request")
@then("the audit does not report the request again")
def step_not_reported(context):
    assert not context.found, context.found


@then(
    "the report names versions 9 and 12, the route, a label of the key, its"
    " standing and who confirmed version 9"
)
def step_names(context):
    (found,) = context.found
    assert (found.version, found.superseded_by) == (9, 12), found
    assert found.route == "route of 9", found
    assert found.key == f"{hashing.hash64(DROPPED):016x}", found
    assert (found.standing, found.confirmed_by) == ("current", CONFIRMED_BY)
    assert found.confirmed_ms == 250, found
    assert found.late_s == 2.5, found


@then("the key itself is in no report")
def step_no_key(context):
    report = version_audit_log.make_report("e1", 12, context.result)
    assert DROPPED not in repr(report), report


@when(
    "the content of version 12 is requested at {asked:g} s and its age of"
    " {age:g} s arrives at {now:g} s"
)
def step_age(context, asked, age, now):
    context.commits = commit_times.CommitTimes()
    ages = messages.VersionAges((messages.VersionAge(12, age),))
    context.commits.note_ages(ages, asked_at=asked, now=now)


@when(
    "control VMs state ages of {first:g} s and {second:g} s of version 12 at"
    " {now:g} s"
)
def step_ages(context, first, second, now):
    context.commits = commit_times.CommitTimes()
    for age in (first, second):
        ages = messages.VersionAges((messages.VersionAge(12, age),))
        context.commits.note_ages(ages, asked_at=now, now=now)


@then("version 12 was committed between {earliest:g} s and {latest:g} s")
def step_committed(context, earliest, latest):
    assert context.commits.find(12) == (earliest, latest)
