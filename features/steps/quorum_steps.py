"""Steps on elections, replication and seats of the replicated log."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import draws
from features.harness import quorum
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.helpers import codec

NAMES = ["a", "b", "c", "d", "e"]


@given("{count:d} voters")
def step_voters(context, count):
    context.cluster = quorum.Cluster(NAMES[:count])
    context.cluster.bootstrap("a")
    context.cluster.wait_for_leader()
    context.old = ""
    context.killed = ""


@when('"{one}" and "{two}" are proposed')
def step_propose_two(context, one, two):
    for text in (one, two):
        assert context.cluster.wait_for_leader()
        assert context.cluster.propose(text.encode())
        context.cluster.run(0.5)


@when("the leader is cut off")
def step_cut_leader(context):
    context.old = context.cluster.wait_for_leader()
    context.cluster.cut_off(context.old)


@when("the leader is cut off from one follower")
def step_cut_leader_from_follower(context):
    leader = context.cluster.wait_for_leader()
    out = sorted(set(context.cluster.voters) - {leader})[0]
    context.cut_one = out
    context.cluster.cut |= {(leader, out), (out, leader)}


@when("the other follower restarts with a damaged tail")
def step_restart_damaged_tail(context):
    cluster = context.cluster
    leader = cluster.wait_for_leader()
    name = next(n for n in cluster.voters if n not in (leader, context.cut_one))
    disk = cluster.disks[name]
    del disk.entries[max(disk.entries)]
    disk.tail_uncertain = True
    cluster.kill(name)
    cluster.cut_off(leader)
    cluster.start(name)


@when("all partitions heal")
def step_heal(context):
    context.cluster.cut.clear()


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.cluster.run(seconds)


@when("the leader is frozen")
def step_freeze_leader(context):
    context.old = context.cluster.wait_for_leader()
    context.cluster.frozen.add(context.old)


@when("{seconds:d} seconds pass in long steps")
def step_jump_clock(context, seconds):
    context.cluster.run(10)
    context.cluster.now += seconds


@when("the frozen voter thaws")
def step_thaw(context):
    context.cluster.frozen.discard(context.old)


@when("a follower loses its disk")
def step_wipe_follower(context):
    cluster = context.cluster
    leader = cluster.wait_for_leader()
    name = sorted(set(cluster.voters) - {leader})[0]
    cluster.kill(name)
    cluster.disks[name].wipe()
    cluster.start(name)
    context.lost = name


@when("all voters lose their disks")
def step_wipe_all(context):
    for name in list(context.cluster.voters):
        context.cluster.kill(name)
        context.cluster.disks[name].wipe()
        context.cluster.start(name)


@when("the lost voter gets a new seat")
def step_replace_seat(context):
    cluster = context.cluster
    leader = cluster.voters[cluster.wait_for_leader()]
    held = leader.seats
    kept = tuple(s for s in held.seats if s.name != context.lost)
    idx, out = leader.change_seats(held._replace(seats=kept), cluster.now)
    assert idx
    cluster.perform(leader.name, out)
    cluster.run(1)
    cluster.add_voter(context.lost)


@when("the leader is killed")
def step_kill_leader(context):
    context.killed = context.cluster.leader() or next(
        n
        for n, v in context.cluster.voters.items()
        if v.role == voter_lib.LEADER
    )
    context.cluster.kill(context.killed)


@when("a follower is killed")
def step_kill_follower(context):
    cluster = context.cluster
    leader = cluster.wait_for_leader()
    context.killed = sorted(set(cluster.voters) - {leader})[0]
    cluster.kill(context.killed)


@when("the killed voter restarts")
def step_restart(context):
    context.cluster.start(context.killed)


@when("the leader transfers its leadership")
def step_transfer(context):
    cluster = context.cluster
    cluster.run(1)
    context.old = cluster.wait_for_leader()
    cluster.perform(
        context.old,
        cluster.voters[context.old].transfer_leadership(cluster.now),
    )


@when("{count:d} entries are proposed and compacted")
def step_compact(context, count):
    cluster = context.cluster
    for i in range(count):
        assert cluster.propose(b"%d" % i), i
        cluster.run(0.05)
    for name, voter in cluster.voters.items():
        cluster.perform(name, voter.compact(voter.commit, b"state" * 100_000))


@then("another voter leads")
def step_other_leads(context):
    assert context.cluster.leader() not in ("", context.old)


@then("the old leader accepts no proposal")
@then("the thawed voter accepts no proposal")
def step_proposal_refused(context):
    assert context.cluster.propose(b"x", context.old) == 0


@then("there is no leader")
def step_no_leader(context):
    assert context.cluster.leader() == ""


@then('every voter has applied "{one}" and "{two}"')
def step_applied(context, one, two):
    context.cluster.run(2)
    for name in context.cluster.voters:
        data = [e.data for e in context.cluster.applied[name]]
        assert one.encode() in data and two.encode() in data, (name, data)


@then("every voter is at the same commit")
def step_same_commit(context):
    commits = {n: v.commit for n, v in context.cluster.voters.items()}
    assert len(commits) == 3 and len(set(commits.values())) == 1, commits


# Functions that inject a fault into a voter, for "kill" after some actions.
FAULTS = {
    "kill": lambda cluster, name, action: cluster.actions_until_crash.update(
        {name: action}
    ),
    "kill and disk loss": lambda cluster, name, action: (
        cluster.actions_until_crash.update({name: action})
    ),
    "freeze": lambda cluster, name, action: cluster.frozen.add(name),
    "cut": lambda cluster, name, action: cluster.cut_off(name),
    "one-way cut": lambda cluster, name, action: cluster.cut.update(
        {(name, other) for other in cluster.disks if other != name}
    ),
    "duplicates": lambda cluster, name, action: setattr(
        cluster, "duplicate_rate", 0.5
    ),
    "reordering": lambda cluster, name, action: setattr(
        cluster, "shuffle", True
    ),
    "loss": lambda cluster, name, action: setattr(cluster, "drop_rate", 0.3),
}


def run_change_with_fault(fault, voter_number, action):
    """Inject a fault at one action of one voter during a change.

    Returns:
        Entries that were lost or applied twice.
    """
    cluster = quorum.Cluster(NAMES[:3], seed=action)
    cluster.bootstrap("a")
    leader = cluster.wait_for_leader()
    accepted = []
    if cluster.propose(b"before"):
        cluster.run(1)
        accepted.append(b"before")
    name = (
        leader
        if voter_number == 0
        else sorted(set(cluster.voters) - {leader})[voter_number - 1]
    )
    FAULTS[fault](cluster, name, action)
    idx = cluster.propose(b"during")
    cluster.run(1.5)
    if (
        idx
        and cluster.committed.get(idx, None)
        and (cluster.committed[idx].data == b"during")
    ):
        accepted.append(b"during")
    cluster.run(6)
    cluster.actions_until_crash.clear()
    cluster.frozen.clear()
    cluster.cut.clear()
    cluster.drop_rate = 0
    if name not in cluster.voters:
        if fault == "kill and disk loss":
            cluster.disks[name].wipe()
        cluster.start(name)
    cluster.wait_for_leader()
    assert cluster.propose(b"after")
    cluster.run(2)
    lost = [
        d for d in [*accepted, b"after"] if d not in cluster.committed_ops()
    ]
    duplicated = [
        d
        for d in cluster.committed_ops()
        if cluster.committed_ops().count(d) > 1
    ]
    return lost + duplicated


@when("each action of a change is interrupted by {fault}")
def step_fault_at_every_action(context, fault):
    context.lost = []
    for voter_number in range(3):
        for action in range(8):
            context.lost += run_change_with_fault(fault, voter_number, action)


@then("no accepted entry was lost")
def step_none_lost(context):
    assert not context.lost, context.lost


EVENTS = (
    "propose", "propose", "propose", "run", "run", "kill", "start", "wipe",
    "cut", "heal", "freeze", "thaw", "drop", "clean", "compact", "transfer",
)  # fmt: skip


def run_schedule(seed, events):
    """Run one schedule of events; the harness checks after each action."""
    cluster = quorum.Cluster(NAMES[:5], seed=seed)
    cluster.bootstrap("a")
    rng = random.Random(seed)
    wiped = set()
    for event in events:
        name = rng.choice(NAMES[:5])
        alive = name in cluster.voters
        match event:
            case "propose":
                cluster.propose(b"%d" % cluster.action_count)
            case "run":
                cluster.run(rng.uniform(0.1, 3.0))
            case "kill":
                cluster.kill(name)
            case "start" if not alive:
                cluster.start(name)
            case "wipe" if not alive and len(wiped | {name}) <= 2:
                wiped.add(name)
                cluster.disks[name].wipe()
            case "cut":
                cluster.cut_off(name)
            case "heal":
                cluster.cut.clear()
            case "freeze" if alive:
                cluster.frozen.add(name)
            case "thaw":
                cluster.frozen.clear()
            case "drop":
                cluster.drop_rate, cluster.duplicate_rate, cluster.shuffle = (
                    0.2,
                    0.2,
                    True,
                )
            case "clean":
                cluster.drop_rate, cluster.duplicate_rate, cluster.shuffle = (
                    0.0,
                    0.0,
                    False,
                )
            case "compact" if alive:
                voter = cluster.voters[name]
                cluster.perform(name, voter.compact(voter.commit, b"s"))
            case "transfer" if alive:
                cluster.perform(
                    name, cluster.voters[name].transfer_leadership(cluster.now)
                )
    return cluster.action_count


@then("{count:d} random schedules of {length:d} events keep every invariant")
def step_random_schedules(context, count, length):
    draws.schedules(count, length, EVENTS, run_schedule)


def voter_without_peers(entries=(), meta=None, disk="a-disk"):
    """Return one of three voters, long after its start and without a leader."""
    seats = messages.Seats(
        tuple(messages.Seat(n, f"{n}-disk", "x", True) for n in "abc"), "log"
    )
    first = messages.Entry(1, 1, "seats", codec.pack(seats))
    recovered = messages.Recovered(
        disk=disk,
        meta=meta or messages.Meta(1, ""),
        snapshot=messages.Snapshot(),
        entries=(first, *entries),
        tail_uncertain=False,
    )
    return voter_lib.Voter(
        name="a", recovered=recovered, rng=random.Random(1), now=-100.0
    )


def make_candidate(voter):
    """Let the election timeout expire and the pre-vote succeed."""
    voter.tick(0.0)
    yes = messages.PreVoteReply(voter.term + 1, True, "b-disk")
    voter.receive("b", yes, 0.0)
    assert voter.role == voter_lib.CANDIDATE
    return voter


def messages_of_type(acts, kind):
    return [a.msg for a in acts if isinstance(getattr(a, "msg", 0), kind)]


def check_wiped_disk_vote_ignored():
    voter = make_candidate(voter_without_peers())
    reply = messages.VoteReply(voter.term, True, "b-new-disk")
    voter.receive("b", reply, 0.0)
    assert voter.role == voter_lib.CANDIDATE


def check_live_leader_not_deposed():
    voter = voter_without_peers()
    heartbeat = messages.Append(1, 1, 1, (), 1, 1, 1)
    voter.receive("b", heartbeat, 0.0)
    request = messages.Vote(9, 99, 9, "c-disk")
    assert voter.receive("c", request, 0.5) == []
    assert voter.term == 1


def check_stale_log_gets_no_vote():
    voter = voter_without_peers((messages.Entry(2, 1, "op", b"x"),))
    out = voter.receive("c", messages.Vote(2, 1, 1, "c-disk"), 0.0)
    assert not messages_of_type(out, messages.VoteReply)[0].granted


def check_one_vote_per_term():
    voter = voter_without_peers()
    first = voter.receive("b", messages.Vote(2, 9, 1, "b-disk"), 0.0)
    second = voter.receive("c", messages.Vote(2, 9, 1, "c-disk"), 0.0)
    assert messages_of_type(first, messages.VoteReply)[0].granted
    assert not messages_of_type(second, messages.VoteReply)[0].granted


def check_own_term_before_commit():
    voter = make_candidate(
        voter_without_peers((messages.Entry(2, 1, "op", b"x"),))
    )
    yes = messages.VoteReply(voter.term, True, "b-disk")
    voter.receive("b", yes, 0.0)
    assert voter.role == voter_lib.LEADER
    ack = messages.AppendReply(voter.term, True, 2, 1, "b-disk")
    voter.receive("b", ack, 0.0)
    assert voter.commit == 0, voter.commit


def check_transfer_ends_lease():
    cluster = quorum.Cluster(NAMES[:3])
    cluster.bootstrap("a")
    cluster.run(1)
    leader = cluster.voters[cluster.wait_for_leader()]
    assert leader.transfer_leadership(cluster.now)
    assert not leader.has_lease(cluster.now)


SAFETY_RULES = {
    "a wiped disk's vote does not count": check_wiped_disk_vote_ignored,
    "a live leader is not deposed": check_live_leader_not_deposed,
    "a stale log gets no vote": check_stale_log_gets_no_vote,
    "one vote per term": check_one_vote_per_term,
    "only entries of the own term commit": check_own_term_before_commit,
    "transferring leadership ends the lease": check_transfer_ends_lease,
}


@then("the safety rule holds: {rule}")
def step_safety_rule(context, rule):
    SAFETY_RULES[rule]()
