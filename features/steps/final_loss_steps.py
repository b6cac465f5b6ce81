"""Steps on the loss of disks while all other VMs lose power."""

import itertools
import random

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from jasperweir.components.configctl import leader_requests as requests_lib

# Times from the acknowledgement of a version to the loss, seconds.
LOSS_DELAYS = (0.0, 0.05, 0.4)
# Longest difference between the restarts of two VMs, seconds.
RESTART_SPREAD_SECONDS = 0.3
RECOVERY_SECONDS = 8.0
ACKNOWLEDGED = 2
ACKNOWLEDGE_ATTEMPTS = 10
OPERATOR_TIMEOUT_SECONDS = 1.0


@given(
    "{controls:d} control VMs, {diskless:d} of them without a disk, and a log "
    "with {wanted:d} voters"
)
def step_controls(context, controls, diskless, wanted):
    context.names = [f"c{i}" for i in range(1, controls + 1)]
    context.diskless = context.names[controls - diskless :]
    context.wanted = wanted


@when(
    "{lost:d} disks are lost and all other VMs lose power after an "
    "acknowledgement"
)
def step_lose(context, lost):
    with_disk = [n for n in context.names if n not in context.diskless]
    context.not_survived = [
        (wiped, delay)
        for wiped in itertools.combinations(with_disk, lost)
        for delay in LOSS_DELAYS
        if not survives(context, wiped, delay)
    ]


@then("the acknowledged version is in force everywhere, whichever disks")
def step_in_force(context):
    assert not context.not_survived, context.not_survived


def survives(context, wiped, delay):
    """Return whether the version is in force after one combination of losses.

    Args:
        context: Names of the control VMs and the number of voters.
        wiped: Control VMs whose disks are lost.
        delay: Time from the acknowledgement to the loss, seconds.
    """
    site = site_lib.Site(
        controls=len(context.names),
        entries=4,
        seed=round(delay * 100),
        wanted=context.wanted,
        diskless=context.diskless,
    )
    site.run(5.0)
    acknowledge(site, 1)
    site.run(2.0)
    acknowledge(site, ACKNOWLEDGED)
    site.run(delay)
    lose_power(site, wiped)
    site.run(RECOVERY_SECONDS)
    return all(version == ACKNOWLEDGED for version in read_everywhere(site))


def acknowledge(site, version):
    """Send a version until it is acknowledged, as an operator does."""
    for _ in range(ACKNOWLEDGE_ATTEMPTS):
        site.replace("c1", version)
        ends_at = site.now + OPERATOR_TIMEOUT_SECONDS
        while site.acked[0] < version and site.now < ends_at:
            site.run(site_lib.STEP)
        if site.acked[0] >= version:
            return
    raise AssertionError(f"version {version} was not acknowledged")


def lose_power(site, wiped):
    """End all processes at once and start them again in a drawn order."""
    entries = list(site.discovery_clients)
    for name in [*site.names, *entries]:
        site.kill(name)
    site.queue.clear()
    for name in wiped:
        site.wipe(name)
    rng = random.Random(site.rng.random())
    starting = [*site.names, *entries]
    rng.shuffle(starting)
    for name in starting:
        start = site.start if name in site.names else site.start_entry
        start(name)
        site.run(RESTART_SPREAD_SECONDS / len(starting))


def read_everywhere(site):
    """Return the versions that control VMs read and entries have in force."""
    requests = [site.describe(name) for name in site.nodes]
    site.run(1.0)
    answers = [site.results.get(request) for request in requests]
    read = [
        answer.declared.version
        if isinstance(answer, requests_lib.Described)
        else 0
        for answer in answers
    ]
    return read + list(site.versions.values())
