"""Steps on entries that ask a majority of the voters."""

import math
import pathlib
from unittest import mock

from behave import given
from behave import then
from behave import when
import logbook

from features.harness import control_process
from features.harness import site as site_lib
from features.steps import confirmation_steps
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.confirmation import majority
from jasperweir.components.confirmation import messages
from jasperweir.components.confirmation import tracker
from jasperweir.components.discovery import client as discovery_client
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.daemons import site_entry
from jasperweir.daemons import spread_log
from jasperweir.helpers import metrics as metrics_lib

Standing = tracker.Standing
APPLY_SECONDS = 2.0
SILENT_SECONDS = 4.0
AWAKE_SECONDS = 3.0
# Time in which a replaced voter has its seat and the other is forgotten.
REPLACED_SECONDS = 8.0
VOTERS = ("c1", "c2", "c3")


def isolate_leader(site):
    """Let the leader fall silent to entries, and let nobody be elected."""
    leader = site.leader()
    others = [name for name in site.names if name != leader]
    site.cut_pair(*others)
    site.deaf.update((leader, name) for name in site.discovery_clients)
    return leader


def commit(site, leader, version):
    """Let a leader commit a version, which is acknowledged later."""
    site.replace(leader, version)
    for _ in range(4):
        if site.nodes[leader].machine.declared().version == version:
            return
        site.run(site_lib.STEP)
    raise AssertionError(f"version {version} is not committed")


def run_observed(site, seconds):
    """Run and return by which versions entries let requests through."""
    served = []
    site.observe = lambda name: served.append(
        (round(site.now, 2), name, site.serves(name))
    )
    site.run(seconds)
    site.observe = lambda name: None
    return served


@when(
    "version {version:d} is committed by a leader that falls silent, and"
    " nobody is elected"
)
def step_committed(context, version):
    site = context.site
    context.leader = leader = isolate_leader(site)
    commit(site, leader, version)
    site.frozen.add(leader)
    context.committed_at = site.now
    assert all(
        node.machine.declared().version < version
        for name, node in site.nodes.items()
        if name != leader
    )


@when(
    "an evacuation is acknowledged by a leader that falls silent, and nobody is"
    " elected"
)
def step_evacuated(context):
    site = context.site
    context.leader = leader = isolate_leader(site)
    started = site.nodes[leader].evacuate("p", evacuated=True, now=site.now)
    site.perform(leader, started.acts)
    for _ in range(4):
        if (leader, started.number) in site.results:
            break
        site.run(site_lib.STEP)
    found = site.results[leader, started.number]
    assert isinstance(found, evacuations_lib.Evacuated), found
    site.frozen.add(leader)
    context.committed_at = site.now
    assert not any(site.evacuated.values()), site.evacuated


@when(
    "version {version:d} is committed while answers to entries are"
    " {late:g} s late"
)
def step_late(context, version, late):
    site = context.site
    for control in site.names:
        for entry in site.discovery_clients:
            site.delays[control, entry] = late
    commit(site, site.leader(), version)
    context.committed_at = site.now


@when("two of three voters are replaced, one after the other")
def step_replaced(context):
    site = context.site
    for name in ("c7", "c8"):
        leader = site.leader()
        seats = site.nodes[leader].voter.seats.seats
        lost = next(s.name for s in seats if s.name != leader)
        site.wipe(lost)
        site.names = [*(n for n in site.names if n != lost), name]
        site.start(name, seeds=[n for n in site.names if n != name])
        site.run(REPLACED_SECONDS)
        seats = site.nodes[site.leader()].voter.seats.seats
        assert {s.name for s in seats if s.voting} == set(site.names), seats


@when("the entries are cut off from two of three voters for {seconds:g} s")
def step_cut_off(context, seconds):
    site = context.site
    leader = site.leader()
    others = [name for name in site.names if name != leader]
    # The third voter hears no leader either.
    site.frozen.add(leader)
    site.cut_pair(*others)
    for entry in site.discovery_clients:
        site.cut_pair(entry, others[0])
    site.run(seconds)


@then(
    "no entry lets a request through by version {version:d} later than"
    " {within:g} s after that"
)
def step_none_late(context, version, within):
    site = context.site
    served = run_observed(site, within + SILENT_SECONDS)
    late = [
        found
        for found in served
        if found[0] > context.committed_at + within and found[2] == version
    ]
    assert not late, late[:5]


@then(
    "all entries have version {version:d} soon after the leader is heard again"
)
def step_heard_again(context, version):
    site = context.site
    site.frozen.clear()
    site.cut.clear()
    site.deaf.clear()
    site.run(AWAKE_SECONDS)
    served = {name: site.serves(name) for name in site.discovery_clients}
    assert set(served.values()) == {version}, served


@when("the leader falls silent and nobody is elected for {seconds:g} s")
def step_silent(context, seconds):
    site = context.site
    site.frozen.add(isolate_leader(site))
    site.run(seconds)


@when(
    "only the leader records version {version:d}, falls silent, and nobody is"
    " elected for {seconds:g} s"
)
def step_minority(context, version, seconds):
    site = context.site
    leader = isolate_leader(site)
    others = [name for name in site.names if name != leader]
    for name in others:
        site.cut_pair(leader, name)
    site.replace(leader, version)
    site.run(site_lib.STEP)
    site.frozen.add(leader)
    site.run(seconds)
    assert site.acked[0] < version


@when("the entries reach only one of the voters for {seconds:g} s")
def step_one_voter(context, seconds):
    site = context.site
    other = next(n for n in site.names if n != context.leader)
    for name in site.discovery_clients:
        site.cut_pair(other, name)
    site.run(seconds)


@when("one of the other voters does not answer the entries for {seconds:g} s")
def step_mute_voter(context, seconds):
    site = context.site
    other = next(n for n in site.names if n != context.leader)
    site.deaf.update((other, name) for name in site.discovery_clients)
    site.run(seconds)


@then("all entries reject requests by version {version:d}, unanswered")
def step_unanswered(context, version):
    assert_standing(
        context.site, version, standing=Standing.UNANSWERED, denies=False
    )
    for name, client in context.site.discovery_clients.items():
        assert not client.is_ready(context.site.now), name


def assert_standing(site, version, *, standing, denies):
    for name, client in site.discovery_clients.items():
        assert client.version == version, (name, client.version)
        basis = client.describe_version(site.now)
        assert basis.standing is standing, (name, basis)
        assert basis.is_newest is denies, (name, basis)


@then(
    "all entries serve by version {version:d} and deny what it does not allow"
)
def step_serve(context, version):
    assert_standing(
        context.site, version, standing=Standing.CURRENT, denies=True
    )


@then("all entries serve by version {version:d}, unconfirmed")
def step_serve_unconfirmed(context, version):
    assert_standing(
        context.site, version, standing=Standing.UNCONFIRMED, denies=False
    )


@then("the new entry lets requests through by version {version:d}")
def step_new_entry_serves(context, version):
    assert context.site.serves("e9") == version


# Answers of voters, by hand.

SEATS = tuple(
    quorum_messages.Seat(name=n, disk=f"disk-{n}", addr=n, voting=True)
    for n in VOTERS
)
STATE = messages.LogState(
    echo=0,
    disk="",
    may_vote=True,
    last_term=3,
    last_index=20,
    version=9,
    evacuations=0,
    seats=SEATS,
)


class Asker:
    """An entry whose voters are played by hand."""

    def __init__(self):
        self.entry = confirmation_steps.TestEntry(99.0)
        self.client = self.entry.client
        self.client.on_applied(9, 100.0)
        self.at = 100.0
        self.reader = majority.MajorityReader()

    def answer(self, name, at=None, **changes):
        """Record an answer; return nothing if its question is unknown."""
        at = at or self.at
        state = STATE._replace(disk=f"disk-{name}")._replace(**changes)
        self.reader.note(name, state, at)

    def read(self, now=None):
        return self.reader.read(
            version=9, evacuations=0, now=now or self.at + 0.1
        )


@given("an entry with version 9 that asks three voters")
def step_asker(context):
    context.asker = Asker()


CHANGES = {
    "with another disk than its seat has": {"disk": "another"},
    "and may lack entries that it had synced": {"may_vote": False},
    "and it has lost its vote": {"seats": SEATS[:1] + SEATS[2:]},
    "to a question of 1.5 s before": {},
}


@when("two voters answer that their logs hold version 9, the second {what}")
def step_second(context, what):
    asker = context.asker
    if what == "to a question of an earlier process":
        client = asker.client
        state = STATE._replace(disk="disk-c1", echo=1)
        client.receive("c1", state, asker.at)
        client.receive("c2", state._replace(disk="disk-c2"), asker.at)
        asker.reader = client._majority_reader
        return
    earlier_s = 1.5 if what == "to a question of 1.5 s before" else 0.0
    seats = CHANGES[what].get("seats", SEATS)
    asker.answer("c1", seats=seats)
    asker.answer("c2", asker.at - earlier_s, **CHANGES[what])


@when("two voters answer, one by newer seats of which the other has none")
def step_newer_seats(context):
    renewed = tuple(
        seat._replace(name=name, disk=f"disk-{name}")
        for seat, name in zip(SEATS, ("c2", "c4", "c5"), strict=True)
    )
    context.asker.answer("c1")
    context.asker.answer("c2", last_index=21, seats=renewed)


@when(
    "{count} voters answer that their logs hold version 9, one of them"
    " version {version:d} as well"
)
def step_newer_version(context, count, version):
    last = {"two": "c2", "three": "c3"}[count]
    for name in VOTERS[: VOTERS.index(last)]:
        context.asker.answer(name)
    context.asker.answer(last, last_index=21, version=version)


@when(
    "two voters answer that their logs hold version 9, one of them a newer list"
    " of evacuations"
)
def step_newer_list(context):
    context.asker.answer("c1")
    context.asker.answer("c2", last_index=21, evacuations=21)


@when(
    "answers to questions of {first:g} s, {second:g} s and {third:g} s say that"
    " the logs hold version 9"
)
def step_questions(context, first, second, third):
    for name, at in zip(VOTERS, (first, second, third), strict=True):
        context.asker.answer(name, at)
    context.asker.at = third


@then("no majority has answered")
def step_no_majority(context):
    assert context.asker.read() is None, context.asker.read()


@then("a majority has answered and version 9 may be outdated")
def step_contested(context):
    reading = context.asker.read()
    assert reading is not None and not reading.is_newest, reading
    client, now = context.asker.client, 200.0
    # The entry holds requests at first, and then refuses them.
    client.confirmations.confirm(
        tracker.Confirmation(version=9, as_of=now - 1.4, source="c1"), now - 1.4
    )
    seen = []
    for _ in range(12):
        now += 0.1
        client.confirmations.note_asked(now)
        client.confirmations.use_reading(reading, now)
        seen.append(client.confirmations.standing(now))
    assert Standing.UNCONFIRMED not in seen, seen
    assert seen[-1] is Standing.OUTDATED, seen


@then("a majority has answered and version 9 is the newest")
def step_newest(context):
    reading = context.asker.read()
    assert reading is not None and reading.is_newest, reading


@then("version 9 is the newest as of {at:g} s")
def step_as_of(context, at):
    reading = context.asker.read()
    assert reading.is_newest and math.isclose(reading.as_of, at), reading


@when("it asks in vain until {until:g} s and is scheduled again at {at:g} s")
def step_stalled(context, until, at):
    context.entry.ask_until(until)
    context.entry.now = at


# Logs.


@when(
    'an entry that last heard "{one}" {first:g} s and "{other}" {second:g} s'
    " ago becomes unconfirmed"
)
def step_unconfirmed(context, one, first, other, second):
    cfg = control_process.make_settings(pathlib.Path("unused"))
    with control_process.quiet_logs():
        entry = site_entry.SiteEntry(cfg=cfg, dialect=None, engines=None)
    client = entry._discovery
    now = 100.0
    client._controls = {
        one: discovery_client.Control(heard_at=now - first, announced=8),
        other: discovery_client.Control(heard_at=now - second, announced=9),
    }
    with logbook.TestHandler().applicationbound() as handler:
        for standing in (
            Standing.CURRENT,
            Standing.UNCONFIRMED,
            Standing.UNCONFIRMED,
        ):
            with mock.patch.object(
                client.confirmations, "standing", return_value=standing
            ):
                entry._record_standing(now)
    context.records = [r.kwargs | {"event": r.msg} for r in handler.records]


@then("the log says so once, with both")
def step_logged(context):
    found = [r for r in context.records if r["event"] == "standing changed"]
    shown = [record["standing"] for record in found]
    assert shown == ["current", "unconfirmed"], shown
    last = found[-1]
    assert last["before"] == "current", last
    assert last["controls"] == [
        "c1 not connected, silent 2000 ms, version 8",
        "c2 not connected, silent 100 ms, version 9",
    ], last


# Warnings of the leader.


@given("a site of which one entry {state}")
def step_one_entry(context, state):
    context.site = site = site_lib.Site(entries=3)
    site.run(5.0)
    site.replace(site.leader(), 9)
    site.run(2.0)
    match state:
        case "hears nothing from control VMs":
            site.deaf.update((control, "e2") for control in site.names)
        case "ended 4 s before":
            del site.discovery_clients["e2"]
            site.run(4.0)


@when("version {version:d} is committed and {seconds:g} s pass")
def step_committed_for(context, version, seconds):
    site = context.site
    node = site.nodes[site.leader()]
    spread = spread_log.SpreadLog(metrics=metrics_lib.Metrics(labels={}))
    site.replace(site.leader(), version)
    while node.machine.declared().version < version:
        site.run(site_lib.STEP)
    spread.on_version(node, version, site.now)
    with logbook.TestHandler().applicationbound() as handler:
        until = site.now + seconds
        while site.now < until:
            site.run(site_lib.STEP)
            spread.tick(node, site.now)
    context.records = handler.records


@then("the leader's log warns of {whom} entry")
def step_warned(context, whom):
    lines = [r.kwargs for r in context.records if r.level == logbook.WARNING]
    if whom == "no":
        assert not lines, lines
        return
    (line,) = lines
    assert line["version"] == 12 and line["count"] == 1, line
    assert line["entries"][0].startswith("e2 version 9, silent "), line
