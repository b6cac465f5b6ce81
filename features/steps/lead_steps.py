"""Steps on elections after a restart of voters."""

import random
import statistics

from behave import given
from behave import then

from features.harness import quorum


def restart_all_voters(count, seed, *, wiped):
    """Return the seconds from the last restart to the election of a leader."""
    rng = random.Random(seed)
    cluster = quorum.Cluster([f"v{number}" for number in range(count)], seed)
    cluster.bootstrap("v0")
    leader = cluster.wait_for_leader()
    names = list(cluster.voters)
    for name in names:
        cluster.kill(name)
    cluster.queue.clear()
    cluster.now += 1.2
    if wiped:
        cluster.disks[leader].wipe()
    starts = [(rng.choice((0.0, 0.05, 0.1, 0.15)), name) for name in names]
    began = cluster.now
    for after_s, name in sorted(starts):
        while cluster.now < began + after_s:
            cluster.run(quorum.STEP)
        cluster.start(name)
    started = cluster.now
    while not cluster.leader():
        cluster.run(quorum.STEP)
        assert cluster.now - started < 10, "no leader within 10 s"
    return cluster.now - started


@given(
    "{count:d} voters that lose power and start again within 0.15 s,"
    " {times:d} times"
)
def step_restart(context, count, times):
    context.waits = [
        restart_all_voters(count, seed, wiped=False) for seed in range(times)
    ]


@given(
    "{count:d} voters that lose power and start again, the leader with a wiped"
    " disk, {times:d} times"
)
def step_restart_wiped(context, count, times):
    context.waits = [
        restart_all_voters(count, seed, wiped=True) for seed in range(times)
    ]


@then(
    "the median time from the last start to a leader is at most {seconds:g} s"
)
def step_median(context, seconds):
    assert statistics.median(context.waits) <= seconds, context.waits


@then("the longest is at most {seconds:g} s")
def step_never(context, seconds):
    assert max(context.waits) <= seconds, sorted(context.waits)


def restart_voter_beside_partition(seed):
    """Restart the only voter that hears the leader ten times in a row."""
    cluster = quorum.Cluster(["v0", "v1", "v2"], seed)
    cluster.bootstrap("v0")
    leader = cluster.wait_for_leader()
    deaf, hearing = (name for name in cluster.voters if name != leader)
    cluster.cut_pair(leader, deaf)
    cluster.run(2.0)
    for _ in range(10):
        cluster.kill(hearing)
        cluster.start(hearing)
        # The harness checks at each step that only one lease is held.
        cluster.run(quorum.STEP * random.Random(seed).choice((2, 5, 9)))


@given(
    "3 voters of which one is cut off from the leader and the other restarts"
    " repeatedly, for {times:d} seeds"
)
def step_restart_repeatedly(context, times):
    context.overlaps = []
    for seed in range(times):
        try:
            restart_voter_beside_partition(seed)
        except AssertionError as exc:
            context.overlaps.append((seed, str(exc)))


@then("no two of them held a lease at the same time")
def step_one_lease(context):
    assert not context.overlaps, context.overlaps[:3]
