"""Steps for a control cluster that is partitioned into halves."""

import itertools
import random

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib

BOOTSTRAP_SECONDS = 12.0


def make_site(controls, losses):
    """Start a site that tolerates this number of lost control VMs."""
    site = site_lib.Site(controls=controls, wanted=2 * losses + 1)
    site.run(BOOTSTRAP_SECONDS)
    return site


def find_leader(site):
    """Return a control VM that holds the leader lease, or an empty name."""
    for name, node in site.nodes.items():
        if node.voter.read_index(site.now) is not None:
            return name
    return ""


def find_voters(site):
    """Return the names of the voters, as known to the leader."""
    node = site.nodes[find_leader(site)]
    return {seat.name for seat in node.voter.seats.seats if seat.voting}


@given("a site with {controls:d} control VMs of which {losses:d} may be lost")
def step_site(context, controls, losses):
    context.controls, context.losses = controls, losses
    context.site = make_site(controls, losses)


def partition(context, half):
    """Partition a site for 6 s.

    Returns:
        The leader, whether it accepted a configuration, and the versions that
        the control VMs have after the partition has healed.
    """
    site = make_site(context.controls, context.losses)
    other = [name for name in site.names if name not in half]
    for one, two in itertools.product(half, other):
        site.cut_pair(one, two)
    # After 3 s a leader on the smaller side has lost its lease.
    site.run(3.0)
    leader = find_leader(site)
    call = None
    if leader:
        call = site.replace(leader, 9)
        site.run(3.0)
    site.cut.clear()
    # Time for partitioned and new control VMs of large sites to catch up.
    site.run(6.0)
    versions = {node.machine.declared().version for node in site.nodes.values()}
    return leader, call in site.results or site.acked[0] == 9, versions


@when(
    "the control VMs are partitioned into halves for 6 s, in each of {count:d} "
    "ways"
)
def step_partition(context, count):
    names = context.site.names
    halves = list(itertools.combinations(names, len(names) // 2))
    random.Random(1).shuffle(halves)
    context.outcomes = [partition(context, half) for half in halves[:count]]


@then(
    "each time one half elects a leader within 3 s and accepts a configuration"
)
def step_elected(context):
    for leader, accepted, _ in context.outcomes:
        assert leader, "no leader was elected"
        assert accepted, "the configuration was not accepted"


@then("each time all of them have it 6 s after the partition")
def step_replicated(context):
    for _, _, versions in context.outcomes:
        assert versions == {9}, versions


@when("a voter is lost for good and {seconds:d} seconds pass")
def step_lost(context, seconds):
    site = context.site
    context.lost = sorted(find_voters(site) - {find_leader(site)})[0]
    site.kill(context.lost)
    site.run(seconds)


@then("there are {count:d} voters again without it")
def step_replaced(context, count):
    found = find_voters(context.site)
    assert len(found) == count and context.lost not in found, found


@when("as many more voters are lost as may be")
def step_more_losses(context):
    site = context.site
    for name in sorted(find_voters(site) - {find_leader(site)})[
        : context.losses
    ]:
        site.kill(name)
    site.run(4.0)


@then("a configuration is accepted")
def step_accepted(context):
    site = context.site
    site.replace(find_leader(site), 5)
    site.run(2.0)
    assert site.acked[0] == 5, site.acked


@then("there are {count:d} voters")
def step_voters(context, count):
    assert len(find_voters(context.site)) == count, find_voters(context.site)
