"""Steps on entries that may not know the newest evacuated data centres."""

from behave import given
from behave import then
from behave import when

from features.harness import evacuations
from features.harness import site as site_lib
from jasperweir.components.quorum import messages as quorum_messages

SUSPENDED_SECONDS = 6.0
# Time from an acknowledgement within which a list must be in force.
APPLY_SECONDS = 2.0


def is_outdated(site, name):
    """Return whether an entry lets requests through without the evacuation."""
    known = site.evacuated[name] == (evacuations.PLACE,)
    return bool(site.serves(name)) and not known


def watch(context, name, acked_at):
    """Record each moment at which an entry serves by an outdated list."""
    site = context.site
    context.name = name
    context.outdated = []

    def observe(seen):
        if seen != name or seen in site.frozen:
            return
        is_due = site.now - acked_at >= APPLY_SECONDS
        if is_due and is_outdated(site, seen):
            context.outdated.append((round(site.now, 2), seen))

    site.observe = observe


def hear_only(site, name, control):
    """Make an entry deaf to all control VMs but one."""
    site.deaf.update((n, name) for n in site.names if n != control)


@given('a site whose control VM "{control}" has no disk')
def step_diskless(context, control):
    context.site = site_lib.Site(controls=4, diskless=(control,))
    context.site.run(5.0)
    context.site.replace(context.site.leader(), 9)
    context.site.run(1.5)


@given("a control VM that gets heartbeats but no log entries")
def step_lagging(context):
    site = context.site
    context.lagging = lagging = next(
        name for name in site.names if name != site.leader()
    )

    def tap(scene, src, dst, msg):
        return dst == lagging and isinstance(
            msg, quorum_messages.Append | quorum_messages.Install
        )

    site.tap = tap
    evacuations.carry_out(site, True, [site.leader()])


@when("an entry starts that hears only this control VM")
def step_start_beside_lagging(context):
    site = context.site
    hear_only(site, "e9", context.lagging)
    watch(context, "e9", site.now)
    site.run(APPLY_SECONDS)
    site.start_entry("e9")
    site.run(4.0)


@when('an entry hears only "{control}" while a data centre is evacuated')
def step_hear_only(context, control):
    site = context.site
    hear_only(site, "e1", control)
    site.run(2.0)
    order = evacuations.carry_out(site, True, [site.leader()])
    watch(context, "e1", order.acked_at)
    site.run(6.0)


@when("the log entries arrive there")
def step_entries_arrive(context):
    context.site.tap = None
    context.site.run(2.0)


@when("an entry is suspended while a data centre is evacuated")
def step_suspend(context):
    site = context.site
    # Answers are under way when it is suspended.
    for control in site.names:
        site.delays[control, "e1"] = 0.15
    site.run(0.5)
    site.frozen.add("e1")
    order = evacuations.carry_out(site, True, [site.leader()])
    watch(context, "e1", order.acked_at)
    site.run(SUSPENDED_SECONDS)
    site.frozen.discard("e1")
    site.observe("e1")
    site.run(4.0)


@then("no entry has let a request through without the newest list")
def step_none_outdated(context):
    assert not context.outdated, context.outdated[:5]


@then("the entry lets requests through with the newest list")
def step_serves(context):
    site, name = context.site, context.name
    assert site.serves(name), site.versions
    assert site.evacuated[name] == (evacuations.PLACE,), site.evacuated


@then("the new entry serves nothing yet")
def step_serves_nothing(context):
    assert not context.site.serves("e9")
