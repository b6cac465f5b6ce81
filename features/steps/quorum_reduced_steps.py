"""Steps on logs with fewer voters than wanted."""

import collections
import random

from behave import given
from behave import then
from behave import when

from features.harness import site as site_lib
from features.steps import final_loss_steps
from jasperweir import core
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import lost_disks
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.helpers import codec

# Time in which all control VMs start, join and decide on the reduced state.
JOIN_SECONDS = 8.0
PLACES = ("p1", "p2", "p3")
SEAT = messages.Seat(name="b", disk="b-1", addr="b", voting=True)


@given("{count:d} control VMs with a disk, and {wanted:d} voters wanted")
def step_controls(context, count, wanted):
    context.site = site_lib.Site(controls=count, entries=3, wanted=wanted)
    context.site.run(JOIN_SECONDS)
    final_loss_steps.acknowledge(context.site, 1)
    context.site.run(2.0)
    context.version = 1


def acknowledge_next(context):
    context.version += 1
    final_loss_steps.acknowledge(context.site, context.version)


def lose_power(context, *wiped):
    final_loss_steps.lose_power(context.site, wiped)


@when("a follower's answers are lost, and a version is sent")
def step_answers_lost(context):
    site = context.site
    follower = next(n for n in site.names if n != site.leader())
    site.tap = lambda _, src, dst, msg: (
        src == follower and isinstance(msg, messages.AppendReply)
    )
    context.version += 1
    context.sent_at = site.now


@then("it is not acknowledged within {seconds:g} s")
def step_not_acknowledged(context, seconds):
    assert not is_acknowledged(context, seconds)


@then("it is acknowledged within {seconds:g} s")
def step_acknowledged(context, seconds):
    assert is_acknowledged(context, seconds)


def is_acknowledged(context, seconds):
    site = context.site
    while site.now < context.sent_at + seconds:
        site.replace(site.leader() or "c1", context.version)
        site.run(0.25)
    return site.acked[0] >= context.version


@then("the log has never been reduced")
def step_never_reduced(context):
    for node in context.site.nodes.values():
        assert not node.voter.seats.reduced
        log = node.voter.log
        for entry in log.entries_between(1, log.last_index):
            if entry.kind == quorum_const.KIND_SEATS:
                assert not codec.unpack(entry.data, messages.Seats).reduced


@when(
    "a version is acknowledged, all lose power, and c1 and c2 lose their disks"
)
def step_lose_two(context):
    acknowledge_next(context)
    lose_power(context, "c1", "c2")


@when("a version is acknowledged, all lose power, and c1 loses its disk")
def step_lose_one(context):
    acknowledge_next(context)
    lose_power(context, "c1")


@when("a version is acknowledged, and all lose power")
def step_lose_none(context):
    acknowledge_next(context)
    lose_power(context)


@when("{name:w} is cut off from {others}")
def step_cut(context, name, others):
    for other in others.split(" and "):
        context.site.cut_pair(name, other)


@when("{name:w} stays down")
def step_stays_down(context, name):
    context.site.kill(name)


@when("c3 is down, a version is acknowledged, and c1 and c2 lose their disks")
def step_stale(context):
    site = context.site
    site.kill("c3")
    site.run(3.0)
    acknowledge_next(context)
    site.run(1.0)
    for name in ("c1", "c2"):
        site.wipe(name)
        site.start(name)


@when("{name:w} starts")
def step_starts(context, name):
    context.site.start(name)


@when("c3 is down, and c4 with a disk starts")
def step_joins(context):
    context.site.kill("c3")
    context.site.run(3.0)
    context.site.names.append("c4")
    context.site.start("c4")


@then("c4 is no voter after {seconds:g} s")
def step_no_voter(context, seconds):
    context.site.run(seconds)
    seat = context.site.nodes[context.site.leader()].voter.find_seat("c4")
    assert seat is not None and not seat.voting, seat


@then("c4 is a voter {seconds:g} s after c3 starts")
def step_voter(context, seconds):
    context.site.start("c3")
    context.site.run(seconds)
    assert context.site.nodes["c4"].voter.is_voting


@then("{name:w} leads within {seconds:g} s")
def step_leads(context, name, seconds):
    context.site.run(seconds)
    assert context.site.leader() == name, context.site.leader()


@then("{name:w} does not lead within {seconds:g} s")
def step_leads_not(context, name, seconds):
    for _ in range(round(seconds / site_lib.STEP)):
        context.site.run(site_lib.STEP)
        assert context.site.nodes[name].voter.role != voter_lib.LEADER


@then("the version is read everywhere")
def step_read(context):
    read = final_loss_steps.read_everywhere(context.site)
    assert read and set(read) == {context.version}, read


@then("the version is read everywhere after {event}")
def step_read_after(context, event):
    if event == "the partition":
        context.site.cut.clear()
    else:
        context.site.start(event.split()[0])
    context.site.run(10.0)
    step_read(context)


# Proofs.


def hello(disk="b-2", *, echo=0, blank=True):
    return messages.Hello(disk=disk, addr="b", blank=blank, echo=echo)


def claim(lost, times, disk="b-2", *, blank=True, repeat=True, until=None):
    """Send requests at the given times; return whether the loss is proved."""
    echo = 0
    for at in times:
        request = hello(disk, echo=echo, blank=blank)
        nonce = lost.on_hello(SEAT, request, at)
        echo = nonce if repeat else 0
    seats = messages.Seats(seats=(SEAT,))
    return "b" in lost.proved(seats, until if until is not None else times[-1])


def prove_with_same_number(lost):
    nonce = lost.on_hello(SEAT, hello(), 0.0)
    for at in (1.0, 2.0, 3.0):
        lost.on_hello(SEAT, hello(echo=nonce), at)
    return "b" in lost.proved(messages.Seats(seats=(SEAT,)), 3.0)


def prove_before_own_disk(lost):
    assert claim(lost, (0.0, 1.0, 2.0, 3.0))
    lost.on_seat_heard("b")
    return "b" in lost.proved(messages.Seats(seats=(SEAT,)), 3.0)


def prove_with_other_disks(lost):
    echo = 0
    for at in range(5):
        echo = lost.on_hello(SEAT, hello(f"b-{at + 2}", echo=echo), float(at))
    return "b" in lost.proved(messages.Seats(seats=(SEAT,)), 4.0)


NO_PROOFS = {
    "requests that repeat no number": lambda lost: claim(
        lost, (0.0, 1.0, 2.0, 3.0), repeat=False
    ),
    "requests that repeat the same number": prove_with_same_number,
    "requests within less than a second": lambda lost: claim(
        lost, (0.0, 0.2, 0.4, 0.6, 0.8, 1.0)
    ),
    "requests of a disk that has met a leader": lambda lost: claim(
        lost, (0.0, 1.0, 2.0, 3.0), blank=False
    ),
    "requests of the seat's own disk": lambda lost: claim(
        lost, (0.0, 1.0, 2.0, 3.0), "b-1"
    ),
    "requests that ended some seconds ago": lambda lost: claim(
        lost, (0.0, 1.0, 2.0, 3.0), until=6.0
    ),
    "requests of ever other disks": prove_with_other_disks,
    "requests before a message of the seat's own disk": prove_before_own_disk,
}


@then("it is no proof: {what}")
def step_no_proof(context, what):
    assert not NO_PROOFS[what](lost_disks.LostDisks(rng=random.Random(1)))
    # The same requests are a proof without that fault.
    lost = lost_disks.LostDisks(rng=random.Random(1))
    assert claim(lost, (0.0, 1.0, 2.0, 3.0))


def reduced_voter():
    """Return voter a of a reduced log: voters a, b and c, learner d."""
    seats = messages.Seats(
        tuple(messages.Seat(n, f"{n}-1", n, n != "d") for n in "abcd"),
        "log",
        reduced=True,
    )
    entry = messages.Entry(1, 3, "seats", codec.pack(seats))
    voter = voter_lib.Voter(
        name="a",
        recovered=messages.Recovered(
            disk="a-1",
            meta=messages.Meta(3, ""),
            snapshot=messages.Snapshot(),
            entries=(entry,),
            tail_uncertain=False,
        ),
        rng=random.Random(1),
        now=-100.0,
    )
    voter.wanted_voters = 5
    echoes = {"b": 0, "c": 0}
    for at in range(4):
        for name in "bc":
            request = messages.Hello(f"{name}-2", name, True, echoes[name])
            out = voter.receive(name, request, float(at))
            echoes[name] = out[0].msg.nonce
    return voter


def sent_to(acts, kind):
    return {
        a.dst
        for a in acts
        if isinstance(a, core.Send) and isinstance(a.msg, kind)
    }


def run_recovery(voter):
    """Let the learner grant the votes; return the term of the election."""
    asked = sent_to(voter.tick(3.0), messages.PreVote)
    assert "d" in asked and voter.role == voter_lib.FOLLOWER
    granted = messages.PreVoteReply(voter.term + 1, True, "d-1")
    out = voter.receive("d", granted, 3.0)
    assert "d" in sent_to(out, messages.Vote)
    assert voter.role == voter_lib.CANDIDATE
    term = voter.term
    voter.receive("d", messages.VoteReply(term, True, "d-1"), 3.0)
    assert voter.role == voter_lib.LEADER
    assert {s.name for s in voter.seats.seats} == {"a", "d"}
    return term


@then("a voter leads only with the vote of a learner whose disk is not lost")
def step_learner_votes(context):
    run_recovery(reduced_voter())


@then("a recovering voter skips the terms that lost disks may have used")
def step_skips_terms(context):
    term = run_recovery(reduced_voter())
    assert term >= 3 + quorum_const.RECOVERY_TERM_STEP, term


# Data centres.


def site_of(disks, wanted, seed=0):
    """Return a site with some control VMs with a disk in each data centre."""
    count = sum(disks)
    names = [f"c{i}" for i in range(1, max(count, 3) + 1)]
    assigned = [
        p for p, n in zip(PLACES, disks, strict=False) for _ in range(n)
    ]
    places = dict(zip(names, assigned, strict=False))
    return site_lib.Site(
        controls=len(names),
        entries=2,
        seed=seed,
        wanted=wanted,
        diskless=names[count:],
        places=places,
    )


@given(
    "control VMs with {disks} disks in three data centres,"
    " and {wanted:d} voters wanted"
)
def step_places(context, disks, wanted):
    context.disks = [int(n) for n in disks.split("+")]
    context.wanted = wanted
    context.site = site_of(context.disks, wanted)
    context.site.run(JOIN_SECONDS)


@then("{count:d} of them vote, and no data centre has a majority")
def step_spread(context, count):
    site = context.site
    seats = site.nodes[site.leader()].voter.seats.seats
    voters = [s.name for s in seats if s.voting]
    by_place = collections.Counter(site.places[n] for n in voters)
    assert len(voters) == count, voters
    context.has_spread = max(by_place.values()) <= count // 2
    # Without disks elsewhere one data centre must hold a majority.
    others = sum(context.disks) - max(context.disks)
    assert context.has_spread or others <= count // 2, by_place


@then("there is a leader after the loss of any data centre")
def step_leader_left(context):
    if not context.has_spread:
        return
    for lost in PLACES:
        site = site_of(context.disks, context.wanted)
        site.run(JOIN_SECONDS)
        for name in [n for n in site.names if site.places.get(n) == lost]:
            site.kill(name)
        site.run(5.0)
        assert site.leader(), lost


# Drawn schedules.


@then("{count:d} drawn schedules of losses within the tolerance lose nothing")
def step_schedules(context, count):
    acked = [run_schedule(seed) for seed in range(count)]
    assert sum(n > 0 for n in acked) >= count // 4, acked


def run_schedule(seed):
    """Run one schedule of losses.

    In each round some control VMs are down while versions are acknowledged,
    then others lose their disks, together as many as tolerated. All lose power,
    and everything starts again.

    Returns:
        The number of acknowledged versions.
    """
    rng = random.Random(seed)
    tolerated = rng.choice((1, 2))
    disks = [rng.randint(0, 3) for _ in range(rng.randint(1, 3))]
    site = site_of(disks, 2 * tolerated + 1, seed)
    site.run(JOIN_SECONDS)
    with_disk = [n for n in site.names if n not in site.diskless]
    sender = site.names[-1]
    version = 0
    for _ in range(3):
        version = send(site, sender, version)
        affected = rng.sample(with_disk, min(tolerated, len(with_disk)))
        downs = rng.randint(0, len(affected))
        for name in affected[:downs]:
            site.kill(name)
        site.run(rng.choice((0.0, 0.3, 3.0)))
        version = send(site, rng.choice(list(site.nodes)), version)
        wiped = affected[downs:] if len(with_disk) > len(affected) else []
        acked = site.acked[0]
        final_loss_steps.lose_power(site, wiped)
        site.run(15.0)
        read = final_loss_steps.read_everywhere(site)
        assert not acked or min(read) >= acked, (seed, disks, acked, read)
    return site.acked[0]


def send(site, name, version):
    """Send one version as an operator does for 8 s; return its number."""
    for _ in range(8):
        if name in site.nodes:
            site.replace(name, version + 1)
        site.run(1.0)
        if site.acked[0] > version:
            break
    return version + 1


@when("both followers lose their disks and start again within {down:g} s")
def step_quick_restart(context, down):
    site = context.site
    followers = [name for name in site.names if name != site.leader()]
    for name in followers:
        site.wipe(name)
    site.run(down)
    for name in followers:
        site.start(name)


@then("the next version is acknowledged within {seconds:g} s")
def step_next_acknowledged(context, seconds):
    context.version += 1
    wait_for_version(context, seconds)


@given(
    "9 control VMs of which {disks} have a disk, and {wanted:d} voters wanted"
)
def step_few_disks(context, disks, wanted):
    names = [f"c{number}" for number in range(1, 10)]
    context.site = site_lib.Site(
        controls=9,
        entries=1,
        wanted=wanted,
        diskless=set(names) - set(disks.split(",")),
    )
    context.version = 1


@then("the first version is acknowledged within {seconds:g} s")
def step_first_acknowledged(context, seconds):
    wait_for_version(context, seconds)


@then("the next version is committed within {seconds:g} s")
def step_next_committed(context, seconds):
    site = context.site
    context.version += 1
    until = site.now + seconds
    while not is_committed(context):
        assert site.now < until, site.now
        send_everywhere(context)


def is_committed(context):
    """Return whether the leader has committed the newest version."""
    leader = context.site.leader()
    if not leader:
        return False
    node = context.site.nodes[leader]
    return node.machine.declared().version >= context.version


@then(
    "it is acknowledged once the confirmations of earlier leaders have expired"
)
def step_acknowledged_after_expiry(context):
    site = context.site
    since = site.nodes[site.leader()].voter.leader_since
    until = since + confirmation_const.VALID_SECONDS
    # An order is sent again each 0.25 s.
    wait_for_version(context, until - site.now + 0.25)


def send_everywhere(context):
    """Send the newest version to all live control VMs."""
    site = context.site
    for name in site.names:
        if name in site.nodes:
            site.replace(name, context.version)
    site.run(0.25)


def wait_for_version(context, seconds):
    """Send a version at any live control VM until it is acknowledged."""
    site = context.site
    until = site.now + seconds
    while site.now < until and site.acked[0] < context.version:
        send_everywhere(context)
    assert site.acked[0] >= context.version, (site.now, site.acked)
