"""Steps on the list of groups: leader, message and directory of an entry."""

import itertools

from behave import given
from behave import then
from behave import when

from features.harness import engines
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import records
from jasperweir.components.groups import directory as directory_lib
from jasperweir.components.groups import messages
from jasperweir.components.groups import notifier as notifier_lib
from jasperweir.components.mapswitch import coordinator as coordinator_lib
from jasperweir.components.mapswitch import expert_counts
from jasperweir.components.mapswitch import group as group_lib
from jasperweir.components.mapswitch import messages as mapswitch_messages
from jasperweir.components.mapswitch import placement_search
from jasperweir.helpers import codec

RANKS = 4


def make_group(name, *, is_open=True, epoch=1, ranks=RANKS, service="s"):
    """Return a listed group; its ranks are at ``name:rank``."""
    addresses = tuple(f"{name}:{rank}" for rank in range(ranks))
    return messages.Group(service, name, epoch, is_open, False, addresses)


def make_list(term, sequence, **is_open):
    groups = tuple(
        make_group(name, is_open=found) for name, found in is_open.items()
    )
    return messages.GroupList(term, sequence, groups)


def heartbeat(group, rank, *, is_open=True):
    state = mapswitch_messages.EngineState(
        group, 1, rank, RANKS, is_open, 1, 1, 1, 0, 0, 0, 0, 1.0, 0, 0
    )
    experts = placement_search.initial_placement(RANKS, engines.ENGINE.experts)
    return mapswitch_messages.EngineHeartbeat(
        service="s",
        address=f"{group}:{rank}",
        term=1,
        state=state,
        choices=expert_counts.ExpertCounts(seconds=0.0, counts=()),
        experts=(experts[rank],) * engines.ENGINE.sets,
    )


def report(context, group, **kwargs):
    for rank in range(RANKS):
        context.leader.receive(
            f"agent-{group}-{rank}",
            heartbeat(group, rank, **kwargs),
            {"s": engines.ENGINE},
            context.now,
        )


@given("a leader that hears from groups g0 and g1 of 4 ranks each")
def step_leader(context):
    context.leader = coordinator_lib.Coordinator(
        place="p", make_group=group_lib.Group
    )
    context.leader.set_term(1)
    context.now = 10.0
    report(context, "g0")
    report(context, "g1")


@when("the ranks of g1 report that it is not open")
def step_not_open(context):
    context.now += 0.3
    report(context, "g0")
    report(context, "g1", is_open=False)


@when("30 seconds pass without a heartbeat")
def step_silent(context):
    context.now += 30.0


@when("an entry gets the leader's list")
def step_entry(context):
    context.groups = directory_lib.GroupDirectory()
    found = messages.GroupList(1, 1, context.leader.list_groups(context.now))
    _, received = codec.decode(
        codec.encode(found, src="c", src_inc=1, src_addr="c:1", dst="e")
    )
    assert context.groups.on_list(received) is not None


@then("the entry finds the ranks of g0 and g1 in their groups")
def step_finds(context):
    for group, rank in itertools.product(("g0", "g1"), range(RANKS)):
        unit = context.groups.find_unit("s", f"{group}:{rank}")
        assert unit == f"s/{group}", unit


@then("a target at an unlisted address is in neither")
def step_unlisted(context):
    assert context.groups.find_unit("s", "elsewhere:1") == "s/"
    assert context.groups.find_unit("other", "g0:1") == "other"


@then("for the entry g0 is {first} and g1 is {second}")
def step_states(context, first, second):
    found = [context.groups.is_open(f"s/{name}") for name in ("g0", "g1")]
    assert found == [first == "open", second == "open"], found


@given("an entry with the list 3 of term 5, in which g1 is closed")
def step_newest(context):
    context.groups = directory_lib.GroupDirectory()
    context.groups.on_list(make_list(5, 3, g0=True, g1=False))


@when("lists 9 of term 4, 2 of term 5 and 3 of term 5 with g1 open arrive")
def step_outdated(context):
    for version in ((4, 9), (5, 2), (5, 3)):
        msg = make_list(*version, g0=True, g1=True)
        assert context.groups.on_list(msg) is None


@when("list 1 of term 6 with g1 open arrives")
def step_newer(context):
    (change,) = context.groups.on_list(make_list(6, 1, g0=True, g1=True))
    assert (change.unit, change.was_open) == ("s/g1", False), change


def entry(name, incarnation=1):
    return records.Node(
        name, directory_const.KIND_ENTRY, "p", "", True, incarnation, 0
    )


def tick(context, now, groups, term=2, entries=(("e1", 1), ("e2", 1))):
    return context.notifier.tick(
        term=term,
        groups=groups,
        entries=[entry(*found) for found in entries],
        now=now,
    )


@given("a notifier of a leader that begins term 2 at 10 s")
def step_notifier(context):
    context.notifier = notifier_lib.GroupNotifier()
    context.sent = tick(context, 10.0, ())


@when("it hears of g0 at 10.2 s and of g1 at 11.0 s, with entries e1 and e2")
def step_hears(context):
    both = (make_group("g0"), make_group("g1"))
    for tenth in range(1, 34):
        count = (tenth >= 2) + (tenth >= 10)
        context.sent += tick(context, 10.0 + tenth / 10, both[:count])


@then("the first list has both groups and is sent once to e1 and e2")
def step_first(context):
    assert [act.dst for act in context.sent] == ["e1", "e2"], context.sent
    assert all(len(act.msg.groups) == 2 for act in context.sent)


@given("a notifier that has sent a list to entries e1 and e2")
def step_has_sent(context):
    step_notifier(context)
    context.listed = (make_group("g0"), make_group("g1"))
    context.sent = tick(context, 12.0, context.listed)
    assert len(context.sent) == 2
    context.first = context.sent[0].msg


@when("nothing changes for {seconds:g} s")
def step_no_change(context, seconds):
    context.sent = []
    for tenth in range(1, round(seconds * 10) + 1):
        context.sent += tick(context, 12.0 + tenth / 10, context.listed)


@then("the same list is sent {count:d} times to e1 and e2")
def step_repeated(context, count):
    sent = [(act.dst, act.msg) for act in context.sent]
    assert sent == [("e1", context.first), ("e2", context.first)] * count, sent


@then("nothing is sent")
def step_nothing(context):
    assert not context.sent, context.sent


@when("e2 starts again")
def step_starts(context):
    entries = (("e1", 1), ("e2", 2))
    context.sent = tick(context, 13.92, context.listed, entries=entries)
    context.sent += tick(context, 13.95, context.listed, entries=entries)


@then("the same list is sent to e2 only")
def step_to_e2(context):
    (act,) = context.sent
    assert (act.dst, act.msg) == ("e2", context.first), act


@when("g1 closes")
def step_closes(context):
    listed = (context.listed[0], make_group("g1", is_open=False))
    context.sent = tick(context, 13.97, listed)


@then("a list with a higher sequence is sent to e1 and e2")
def step_higher(context):
    assert [act.dst for act in context.sent] == ["e1", "e2"], context.sent
    assert context.sent[0].msg.sequence > context.first.sequence


@when("an entry gets a list of 100 groups of 300 ranks")
def step_large(context):
    groups = tuple(make_group(f"g{n}", ranks=300) for n in range(100))
    context.groups = directory_lib.GroupDirectory()
    context.groups.on_list(messages.GroupList(1, 1, groups))


@then("it holds 64 groups of 256 ranks")
def step_bounded(context):
    assert len(context.groups.list_units("s")) == 64
    held = [
        context.groups.find_unit("s", f"g{group}:{rank}")
        for group in range(100)
        for rank in range(300)
    ]
    assert sum(unit != "s/" for unit in held) == 64 * 256


@when("an entry gets a list that states only service, name and epoch")
def step_short(context):
    raw = codec.pack((1, 1, (("s", "g0", 4), ("s", "g1", 2))))
    context.groups = directory_lib.GroupDirectory()
    context.groups.on_list(codec.unpack(raw, messages.GroupList))


@then("the list is read, and its groups are open and without ranks")
def step_read(context):
    assert len(context.groups.list_units("s")) == 2
    assert context.groups.is_open("s/g0")
    assert context.groups.find_unit("s", "g0:1") == "s/"


@when("an entry gets a list with one group of 4 ranks")
def step_one(context):
    context.groups = directory_lib.GroupDirectory()
    context.groups.on_list(make_list(1, 1, g0=True))


@then("its ranks stand for the service")
def step_stand(context):
    assert context.groups.find_unit("s", "g0:1") == "s"
    assert not context.groups.list_units("s")


@given("lists of groups in which {closed} are closed, and targets of {present}")
def step_closed_present(context, closed, present):
    closed = closed.split(",")
    groups = directory_lib.GroupDirectory()
    listed = tuple(
        make_group(name, is_open=name not in closed) for name in ("g0", "g1")
    )
    groups.on_list(messages.GroupList(1, 1, listed))
    context.outages = outage_lib.Outages(groups=groups)
    units = [
        directory_lib.make_unit("s", "" if name == "unlisted" else name)
        for name in present.split(",")
    ]
    context.outages.list_present_units = lambda service, now: units


@then("the service is {state}")
def step_service_state(context, state):
    assert context.outages.get("s").is_active(0.0) == (state == "out")
