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
    context.net = quorum.Cluster(NAMES[:count])
    context.net.bootstrap("a")
    context.net.wait_for_leader()
    context.old = ""
    context.killed = ""


@when('"{one}" and "{two}" are proposed')
def step_propose_two(context, one, two):
    for text in (one, two):
        assert context.net.wait_for_leader()
        assert context.net.propose(text.encode())
        context.net.run(0.5)


@when("the leader is cut off")
def step_cut_leader(context):
    context.old = context.net.wait_for_leader()
    context.net.cut_off(context.old)


@when("the leader is cut off from one follower")
def step_cut_leader_from_follower(context):
    lead = context.net.wait_for_leader()
    out = sorted(set(context.net.voters) - {lead})[0]
    context.cut_one = out
    context.net.cut |= {(lead, out), (out, lead)}


@when("the other follower restarts with a damaged tail")
def step_restart_damaged_tail(context):
    net = context.net
    lead = net.wait_for_leader()
    name = next(n for n in net.voters if n not in (lead, context.cut_one))
    disk = net.disks[name]
    del disk.entries[max(disk.entries)]
    disk.tail_uncertain = True
    net.kill(name)
    net.cut_off(lead)
    net.start(name)


@when("all partitions heal")
def step_heal(context):
    context.net.cut.clear()


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    context.net.run(seconds)


@when("the leader is frozen")
def step_freeze_leader(context):
    context.old = context.net.wait_for_leader()
    context.net.frozen.add(context.old)


@when("{seconds:d} seconds pass in long steps")
def step_jump_clock(context, seconds):
    context.net.run(10)
    context.net.now += seconds


@when("the frozen voter thaws")
def step_thaw(context):
    context.net.frozen.discard(context.old)


@when("a follower loses its disk")
def step_wipe_follower(context):
    net = context.net
    lead = net.wait_for_leader()
    name = sorted(set(net.voters) - {lead})[0]
    net.kill(name)
    net.disks[name].wipe()
    net.start(name)
    context.lost = name


@when("all voters lose their disks")
def step_wipe_all(context):
    for name in list(context.net.voters):
        context.net.kill(name)
        context.net.disks[name].wipe()
        context.net.start(name)


@when("the lost voter gets a new seat")
def step_replace_seat(context):
    net = context.net
    lead = net.voters[net.wait_for_leader()]
    held = lead.seats
    kept = tuple(s for s in held.seats if s.name != context.lost)
    idx, out = lead.change_seats(held._replace(seats=kept), net.now)
    assert idx
    net.perform(lead.name, out)
    net.run(1)
    net.add_voter(context.lost)


@when("the leader is killed")
def step_kill_leader(context):
    context.killed = context.net.leader() or next(
        n for n, v in context.net.voters.items() if v.role == voter_lib.LEADER
    )
    context.net.kill(context.killed)


@when("a follower is killed")
def step_kill_follower(context):
    net = context.net
    lead = net.wait_for_leader()
    context.killed = sorted(set(net.voters) - {lead})[0]
    net.kill(context.killed)


@when("the killed voter restarts")
def step_restart(context):
    context.net.start(context.killed)


@when("the leader transfers its leadership")
def step_transfer(context):
    net = context.net
    net.run(1)
    context.old = net.wait_for_leader()
    net.perform(
        context.old, net.voters[context.old].transfer_leadership(net.now)
    )


@when("{count:d} entries are proposed and compacted")
def step_compact(context, count):
    net = context.net
    for i in range(count):
        assert net.propose(b"%d" % i), i
        net.run(0.05)
    for name, voter in net.voters.items():
        net.perform(name, voter.compact(voter.commit, b"state" * 100_000))


@then("another voter leads")
def step_other_leads(context):
    assert context.net.leader() not in ("", context.old)


@then("the old leader accepts no proposal")
@then("the thawed voter accepts no proposal")
def step_proposal_refused(context):
    assert context.net.propose(b"x", context.old) == 0


@then("there is no leader")
def step_no_leader(context):
    assert context.net.leader() == ""


@then('every voter has applied "{one}" and "{two}"')
def step_applied(context, one, two):
    context.net.run(2)
    for name in context.net.voters:
        data = [e.data for e in context.net.applied[name]]
        assert one.encode() in data and two.encode() in data, (name, data)


@then("every voter is at the same commit")
def step_same_commit(context):
    commits = {n: v.commit for n, v in context.net.voters.items()}
    assert len(commits) == 3 and len(set(commits.values())) == 1, commits


# Functions that inject a fault into a voter, for "kill" after some actions.
FAULTS = {
    "kill": lambda net, name, action: net.actions_until_crash.update(
        {name: action}
    ),
    "kill and disk loss": lambda net, name, action: (
        net.actions_until_crash.update({name: action})
    ),
    "freeze": lambda net, name, action: net.frozen.add(name),
    "cut": lambda net, name, action: net.cut_off(name),
    "one-way cut": lambda net, name, action: net.cut.update(
        {(name, other) for other in net.disks if other != name}
    ),
    "duplicates": lambda net, name, action: setattr(net, "duplicate_rate", 0.5),
    "reordering": lambda net, name, action: setattr(net, "shuffle", True),
    "loss": lambda net, name, action: setattr(net, "drop_rate", 0.3),
}


def run_change_with_fault(fault, voter_number, action):
    """Inject a fault at one action of one voter during a change.

    Returns:
        Entries that were lost or applied twice.
    """
    net = quorum.Cluster(NAMES[:3], seed=action)
    net.bootstrap("a")
    lead = net.wait_for_leader()
    accepted = []
    if net.propose(b"before"):
        net.run(1)
        accepted.append(b"before")
    name = (
        lead
        if voter_number == 0
        else sorted(set(net.voters) - {lead})[voter_number - 1]
    )
    FAULTS[fault](net, name, action)
    idx = net.propose(b"during")
    net.run(1.5)
    if (
        idx
        and net.committed.get(idx, None)
        and (net.committed[idx].data == b"during")
    ):
        accepted.append(b"during")
    net.run(6)
    net.actions_until_crash.clear()
    net.frozen.clear()
    net.cut.clear()
    net.drop_rate = 0
    if name not in net.voters:
        if fault == "kill and disk loss":
            net.disks[name].wipe()
        net.start(name)
    net.wait_for_leader()
    assert net.propose(b"after")
    net.run(2)
    lost = [d for d in [*accepted, b"after"] if d not in net.committed_ops()]
    duplicated = [
        d for d in net.committed_ops() if net.committed_ops().count(d) > 1
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
    "cut", "heal", "freeze", "thaw", "drop", "clean", "compact", "hand over",
)  # fmt: skip


def run_schedule(seed, events):
    """Run one schedule of events; the harness checks after each action."""
    net = quorum.Cluster(NAMES[:5], seed=seed)
    net.bootstrap("a")
    rng = random.Random(seed)
    wiped = set()
    for event in events:
        name = rng.choice(NAMES[:5])
        alive = name in net.voters
        match event:
            case "propose":
                net.propose(b"%d" % net.action_count)
            case "run":
                net.run(rng.uniform(0.1, 3.0))
            case "kill":
                net.kill(name)
            case "start" if not alive:
                net.start(name)
            case "wipe" if not alive and len(wiped | {name}) <= 2:
                wiped.add(name)
                net.disks[name].wipe()
            case "cut":
                net.cut_off(name)
            case "heal":
                net.cut.clear()
            case "freeze" if alive:
                net.frozen.add(name)
            case "thaw":
                net.frozen.clear()
            case "drop":
                net.drop_rate, net.duplicate_rate, net.shuffle = 0.2, 0.2, True
            case "clean":
                net.drop_rate, net.duplicate_rate, net.shuffle = 0.0, 0.0, False
            case "compact" if alive:
                voter = net.voters[name]
                net.perform(name, voter.compact(voter.commit, b"s"))
            case "hand over" if alive:
                net.perform(name, net.voters[name].transfer_leadership(net.now))
    return net.action_count


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
    beat = messages.Append(1, 1, 1, (), 1, 1, 1)
    voter.receive("b", beat, 0.0)
    ask = messages.Vote(9, 99, 9, "c-disk")
    assert voter.receive("c", ask, 0.5) == []
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
    net = quorum.Cluster(NAMES[:3])
    net.bootstrap("a")
    net.run(1)
    lead = net.voters[net.wait_for_leader()]
    assert lead.transfer_leadership(net.now)
    assert not lead.has_lease(net.now)


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
