"""Steps on the audit of requests that an older version let through."""

from behave import given
from behave import then
from behave import when

from jasperweir.components.configctl import messages
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
    context.audit.on_sent(
        version_audit.SentRequest(
            sent_at=COMMITTED_AT + late,
            version=9,
            request_id="r-1",
            criteria=matching.Criteria(host=HOST, path=path, key=key),
            route="route of 9",
            service="m",
            customer="one",
            basis=version_basis.VersionBasis(
                version=9,
                newest=9,
                standing=tracker.Standing.CURRENT,
                confirmed_by=CONFIRMED_BY,
                confirmed_age_s=0.25,
            ),
        )
    )


def note(commits, version, at):
    """Record when a version was committed."""
    ages = messages.VersionAges((messages.VersionAge(version, 0.0),))
    commits.note_ages(ages, asked_at=at, now=at)


@when("version 12, which drops the key and moves the route, comes into force")
def step_in_force(context):
    customers = {"one": (KEPT,), "two": (MOVING,)}
    index = make_index(12, "n", customers)
    context.found = context.audit.check(index, context.commits)


@when("version 13 with the same content comes into force")
def step_again(context):
    note(context.commits, 13, COMMITTED_AT + 9.0)
    customers = {"one": (KEPT,), "two": (MOVING,)}
    context.found = context.audit.check(
        make_index(13, "n", customers), context.commits
    )


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
    report = version_audit_log.make_report("e1", 12, context.found)
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
