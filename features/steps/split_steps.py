"""Steps of a core that is cut into halves."""

import itertools
import random

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib

FOUND_SECONDS = 12.0


def make(controls, losses):
    site = site_lib.Site(controls=controls, wanted=2 * losses + 1)
    site.run(FOUND_SECONDS)
    return site


def leader(site):
    """Return a control VM that surely leads, or an empty name."""
    for name, node in site.nodes.items():
        if node.voter.read_index(site.now) is not None:
            return name
    return ""


def voters(site):
    node = site.nodes[leader(site)]
    return {seat.name for seat in node.voter.seats.seats if seat.voting}


@given("a site with {controls:d} control VMs of which {losses:d} may be lost")
def step_site(context, controls, losses):
    context.controls, context.losses = controls, losses
    context.site = make(controls, losses)


def cut(context, half):
    """Cut one half off the other; return what became of it."""
    site = make(context.controls, context.losses)
    other = [name for name in site.names if name not in half]
    for one, two in itertools.product(half, other):
        site.cut_pair(one, two)
    # A leader on the smaller side has lost its lease by then.
    site.run(3.0)
    led = leader(site)
    taken = None
    if led:
        taken = site.replace(led, 9)
        site.run(3.0)
    site.cut.clear()
    # A machine that was cut off or is new has so long on the larger sites.
    site.run(6.0)
    held = {node.machine.declared().version for node in site.nodes.values()}
    return led, taken in site.results or site.acked[0] == 9, held


@when("the control VMs are cut into halves for 6 s, in each of {count:d} ways")
def step_cut(context, count):
    names = context.site.names
    halves = list(itertools.combinations(names, len(names) // 2))
    random.Random(1).shuffle(halves)
    context.became = [cut(context, half) for half in halves[:count]]


@then("each time one half has led within 3 s and taken in a configuration")
def step_led(context):
    for led, taken, _ in context.became:
        assert led, "nobody led"
        assert taken, "it was not taken in"


@then("each time all of them have it 6 s after the cut")
def step_held(context):
    for _, _, held in context.became:
        assert held == {9}, held


@when("a voter is lost for good and {seconds:d} seconds pass")
def step_lost(context, seconds):
    site = context.site
    context.lost = sorted(voters(site) - {leader(site)})[0]
    site.kill(context.lost)
    site.run(seconds)


@then("there are {count:d} voters again without it")
def step_again(context, count):
    found = voters(context.site)
    assert len(found) == count and context.lost not in found, found


@when("as many more are lost as may be")
def step_more(context):
    site = context.site
    for name in sorted(voters(site) - {leader(site)})[: context.losses]:
        site.kill(name)
    site.run(4.0)


@then("a configuration is taken in")
def step_taken(context):
    site = context.site
    site.replace(leader(site), 5)
    site.run(2.0)
    assert site.acked[0] == 5, site.acked


@then("there are {count:d} voters")
def step_voters(context, count):
    assert len(voters(context.site)) == count, voters(context.site)
