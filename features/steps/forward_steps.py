"""Steps on forwarding, balancing and budgets."""

import collections
import random

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import site
from jasperweir import result_codes
from jasperweir.components.balance import advice
from jasperweir.components.balance import balancer
from jasperweir.components.balance import budget
from jasperweir.components.balance import forecast
from jasperweir.components.balance import gate
from jasperweir.components.balance import messages
from jasperweir.components.balance import neighbours
from jasperweir.components.balance import outage
from jasperweir.components.balance import patience
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import records
from jasperweir.components.forward import dialect
from jasperweir.components.forward import events
from jasperweir.components.forward import life as life_lib
from jasperweir.components.forward import refusals

KINDS = {
    "safe": (model.Kind.SAFE, 2, False),
    "unsafe": (model.Kind.UNSAFE, 1, False),
    "stream": (model.Kind.STREAM, 2, False),
    "resumable": (model.Kind.STREAM, 2, True),
}


def route_of(kind, timeout_s=8.0):
    what, attempts, resumable = KINDS[kind]
    return hop.route(
        kind=what, timeout_s=timeout_s, resumable=resumable, attempts=attempts
    )


def life_of(kind, resume_after="", used_s=0.0, patience_s=8.0):
    route = route_of(kind)
    ask = dialect.Ask("id", patience_s, "", 10, 10, resume_after)
    match = index.Match(route=route, customer=None)
    return life_lib.Life(match=match, ask=ask, now=100.0, used_s=used_s)


@given("a {kind} request that one target has received")
def step_request(context, kind):
    context.life = life_of(kind)
    context.life.on_sent("t1")


@when('the target shows "{fault}"')
def step_fault(context, fault):
    what = life_lib.Fault(fault)
    if what is life_lib.Fault.UNSENT:
        context.life.attempts = context.life.deliveries = 0
    context.verdict = context.life.on_fault("t1", what, 100.1)


@when('a second target shows "{fault}"')
def step_second(context, fault):
    context.life.on_sent("t2")
    what = life_lib.Fault(fault)
    context.verdict = context.life.on_fault("t2", what, 100.2)


@then('the verdict is "{name}"')
def step_verdict(context, name):
    match context.verdict:
        case life_lib.Retry():
            assert name == "again", "again"
        case life_lib.Fail(code):
            assert code.name.lower() == name, code
        case other:
            raise AssertionError(other)


@when("a target answers {status:d} that is {marks}")
def step_answers(context, status, marks):
    head = dialect.TargetHead(
        request_id="id",
        signed="unsigned" not in marks and "signed" in marks,
        not_run="not run" in marks,
        other_target="of another" in marks,
        encoded="encoded" in marks,
        load=None,
    )
    context.judged = context.life.classify_response(status, head)


@then('the head is judged "{name}"')
def step_judged(context, name):
    got = context.judged.value if context.judged else "fine"
    assert got == name, got


@then("a resumed request waits 1.8 s for a place and a first one 0.6 s")
def step_waits(context):
    resumed = life_of("resumable", "5")
    first = life_of("resumable")
    assert round(resumed.waits_until - 100.0, 3) == 1.8
    assert round(first.waits_until - 100.0, 3) == 0.6


@when('the stream "{text}" is split')
def step_split(context, text):
    split(context, [text])


@when('a stream comes as "{one}" and then as "{two}"')
def step_split_two(context, one, two):
    split(context, [one, two])


def split(context, parts):
    splitter = events.EventSplitter(last_id="")
    out = [splitter.feed(p.replace("|", "\n").encode()) for p in parts]
    context.events = b"".join(out).count(b"\n\n")
    context.last_id = splitter.last_id


@then('{count:d} events went out and the last id is "{last}"')
def step_events(context, count, last):
    assert (context.events, context.last_id) == (count, last)


@given("{count:d} entries with a budget of {ratio:g} and a burst of {burst:g}")
def step_budget(context, count, ratio, burst):
    bounds = budget.BudgetBounds(ratio=ratio, burst=burst, window_s=10.0)
    context.budgets = [
        budget.RetryBudget(bounds=bounds) for _ in range(count)
    ]  # fmt: skip
    context.most = ratio * 20 * count + burst


@when("each of them gets 20 requests and wants to send all again")
def step_spend(context):
    context.taken = 0
    for one in context.budgets:
        for _ in range(20):
            one.count_first("s", 5.0)
        for _ in range(20):
            entries = len(context.budgets)
            context.taken += one.take("s", entries, 5.5)


@then("the second sends of all stay within the budget")
def step_within(context):
    assert 0 < context.taken <= context.most, context.taken


PLACES = ("north", "south", "east")


@given("{count:d} entries in 3 places")
def step_entries(context, count):
    place_entries(context, [PLACES[n % 3] for n in range(count)])


@given(
    "{first:d} entries in the first place and {other:d} in each of two others"
)
def step_uneven_entries(context, first, other):
    north, south, east = PLACES
    place_entries(context, [north] * first + [south] * other + [east] * other)


def place_entries(context, places):
    nodes = tuple(
        records.Node(
            name=f"10.0.0.{n}:7601",
            kind="entry",
            place=place,
            caller_address="",
            open=True,
            incarnation=1,
            sequence=0,
        )
        for n, place in enumerate(places)
    )
    context.cells = {}
    for node in nodes:
        cell = neighbours.Neighbours(name=node.name, place=node.place)
        cell.on_entries(nodes)
        context.cells[node] = cell


@then("each entry tells {peers} others, all in its own place: {near}")
def step_tells(context, peers, near):
    least, _, most = peers.partition(" to ")
    for node, cell in context.cells.items():
        count = len(cell.peers)
        assert int(least) <= count <= int(most or least), count
        same = all(peer.place == node.place for peer in cell.peers)
        assert same == (near == "yes")
        assert node not in cell.peers


@then("whoever is told by an entry tells it as well")
def step_mutual(context):
    for node, cell in context.cells.items():
        assert all(node in context.cells[peer].peers for peer in cell.peers)


@given("{count:d} targets in 3 places")
def step_placed_targets(context, count):
    context.targets = [
        site.target(target_id=f"t{n}", address=f"10.1.0.{n}:80")._replace(
            place=PLACES[n % 3]
        )
        for n in range(count)
    ]


@then("each entry sends first to {count:d} targets")
def step_first_targets(context, count):
    for node, cell in context.cells.items():
        found = cell.home(context.targets, 0.0)
        assert len(found) == count, len(found)
        if count < len(context.targets):
            assert {target.place for target in found} == {node.place}


@then("each target gets the same share of all requests within 10 percent")
def step_even_shares(context):
    draws = [(n + 0.5) / 400 for n in range(400)]
    load = collections.Counter()
    for cell in context.cells.values():
        for draw in draws:
            found = cell.home(context.targets, draw)
            for target in found:
                load[target.target_id] += 1 / len(found)
    mean = sum(load.values()) / len(context.targets)
    assert max(load.values()) < 1.1 * mean, load.most_common(3)
    assert min(load.values()) > 0.9 * mean, load.most_common()[-3:]


@given('targets "{names}" with {places:d} places each')
def step_targets(context, names, places):
    context.now = 10.0
    context.balancer = balancer.Balancer(rng=random.Random(1))
    context.targets = [
        site.target(target_id=n, address=f"{n}:80")._replace(slots=places)
        for n in names.split(",")
    ]


@when('another entry has {one:d} requests at "{a}" and {two:d} at "{b}"')
def step_other(context, one, a, two, b):
    loads = (messages.OpenLoad(a, one), messages.OpenLoad(b, two))
    share = messages.Share(sequence=1, loads=loads)
    context.balancer.on_share("e2", share, context.now)


@then('every request goes to "{name}" until it has as many as "b"')
def step_goes(context, name):
    chosen = context.balancer.choose(context.targets, set(), context.now)
    assert chosen.target_id == name
    context.balancer.begin(name)
    found = {
        context.balancer.choose(context.targets, set(), context.now).target_id
        for _ in range(30)
    }
    assert found == {"b", name}, found


@when("{seconds:g} seconds pass at the balancer")
def step_later(context, seconds):
    context.now += seconds


@when('"{name}" states {running:d} running and {waiting:d} waiting requests')
def step_states(context, name, running, waiting):
    report = balancer.Report(running, waiting, 2)
    context.balancer.on_report(name, report, context.now)


@then("{count:d} places are free")
def step_free(context, count):
    free = context.balancer.loads(context.targets, context.now).free
    assert free == count, free


@when("all targets fail hard")
def step_fail(context):
    for target in context.targets:
        context.balancer.failed(target.target_id, context.now, hard=True)


@then("some target is still chosen")
def step_chosen(context):
    assert context.balancer.choose(context.targets, set(), context.now)


@when("requests of priority 2, 1 and 2 wait and one place is free")
def step_wait(context):
    waiting = gate.Gate()
    for number, priority in enumerate((2, 1, 2)):
        waiting.wait(
            gate.Waiting(priority, 5.0 + number, number, 9.0, 5.0)
        )  # fmt: skip
    context.admitted = waiting.admit(1, 6.0)


@then("the request of priority 1 gets it")
def step_gets(context):
    assert context.admitted == [1]


@when("20 requests are refused within a second")
def step_refused(context):
    spread = advice.ReturnAdvice(rng=random.Random(2))
    context.waits = [spread.after_refusal(5.0 + i / 20) for i in range(20)]


@then("the last is asked back later than the first")
def step_last(context):
    assert context.waits[-1] > 3 * context.waits[0]


@then("none is asked back after more than {seconds:g} s")
def step_none_later(context, seconds):
    assert max(context.waits) <= seconds


@given("callers of a route of {timeout_s:g} s that stated {stated:g} s before")
def step_patience(context, timeout_s, stated):
    context.patience = patience.UsualPatience()
    context.timeout_s = timeout_s
    context.patience.used(route_of("safe", timeout_s), stated)


@when("its time-out is changed to {timeout_s:g} s")
def step_timeout(context, timeout_s):
    context.timeout_s = timeout_s


@when("20 requests are refused since there is no target")
def step_no_target(context):
    made = refusals.Refusals(dialect=PlainDialect(), rng=random.Random(2))
    context.waits = []
    for _ in range(20):
        answering = KeptAnswer()
        made.refuse(answering, None, result_codes.Code.NO_TARGET, 5.0)
        context.waits.append(float(dict(answering.headers)[b"retry-after"]))


class PlainDialect:
    """A protocol whose own answers need no header."""

    def own_headers(self, ask):
        return []


class KeptAnswer:
    """Keep the headers of the answer that a caller would get."""

    def reply(self, status, headers, body):
        self.headers = headers


@then("a caller that states {stated:g} s has used {used:g} s")
def step_used(context, stated, used):
    got = context.patience.used(route_of("safe", context.timeout_s), stated)
    assert round(got, 3) == used, got


@given("a request of a caller that has used {used:g} s and has {left:g} s left")
def step_returned(context, used, left):
    context.life = life_of("resumable", used_s=used, patience_s=left)


@then("it waits {seconds:g} s for a place")
def step_waits_for(context, seconds):
    got = context.life.waits_until - context.life.arrived
    assert round(got, 3) == seconds, got


@when("a request waits whose caller has used 2 s, and an older first try")
def step_two_wait(context):
    waiting = gate.Gate()
    for number, used_s in enumerate((0.0, 2.0)):
        asked_at = life_of("safe", used_s=used_s).asked_at + 0.05 * number
        waiting.wait(gate.Waiting(1, asked_at, number, 109.0, 100.0))
    context.admitted = waiting.admit(1, 101.0)


@then("the request of the caller that came back gets the free place")
def step_returned_gets(context):
    assert context.admitted == [1]


@when("a service refuses {count:d} requests in a row")
def step_refuses(context, count):
    context.now = 50.0
    context.outage = outage.Outage()
    for _ in range(count):
        assert not context.outage.on_refusal(context.now)


@when("it refuses one more")
def step_one_more(context):
    context.now += 0.1
    assert context.outage.on_refusal(context.now)


@when("a target takes a request")
def step_takes(context):
    assert context.outage.on_answer(context.now)


@when("a service refuses a request every {pause:g} s, {count:d} times")
def step_single(context, pause, count):
    context.outage = outage.Outage()
    for n in range(count):
        context.now = 50.0 + n * pause
        context.outage.on_refusal(context.now)


@then("it has no outage")
def step_no_outage(context):
    assert not context.outage.lasts(context.now)


@then("it has an outage, in which waiting requests try it once in {pause:g} s")
def step_outage(context, pause):
    taken = 0
    for n in range(100):
        at = context.now + n * 0.01
        assert context.outage.lasts(at)
        taken += context.outage.take_probe(at)
    assert taken == round(1.0 / pause), taken


@when("{count:d} requests are refused in an outage")
def step_refused_in_outage(context, count):
    spread = advice.ReturnAdvice(rng=random.Random(2))
    context.waits = [spread.during_outage() for _ in range(count)]


@then("each is asked back after {least:g} to {most:g} s")
def step_asked_back(context, least, most):
    assert least <= min(context.waits) < max(context.waits) <= most
    assert max(context.waits) - min(context.waits) > (most - least) / 2


@given("{entries:d} entries where {waiting:d} requests wait each")
def step_waiting(context, entries, waiting):
    context.entries = entries
    context.own = messages.Queue("s", timely=waiting, late=0)


@when("all of them see {places:d} free places")
def step_same_places(context, places):
    rng = random.Random(5)
    others = messages.Queue("s", context.own.timely * (context.entries - 1), 0)
    context.given = [
        sum(
            forecast.part(places, context.own, others, rng).total
            for _ in range(context.entries)
        )
        for _ in range(400)
    ]


@then("they give away {least:d} to {most:d} in all, and {mean:d} on average")
def step_give_away(context, least, most, mean):
    given = context.given
    assert least <= min(given) <= max(given) <= most, (min(given), max(given))
    assert abs(sum(given) / len(given) - mean) < 0.2, sum(given) / len(given)


@given("an entry where 3 requests wait that are late, and one with 3 in time")
def step_late_and_timely(context):
    context.late = messages.Queue("s", timely=0, late=3)
    context.timely = messages.Queue("s", timely=3, late=0)


@when("both see 3 free places")
def step_both_see(context):
    rng = random.Random(5)
    context.given = (
        forecast.part(3, context.late, context.timely, rng).total,
        forecast.part(3, context.timely, context.late, rng).total,
    )


@then("the first gives away none and the second 3")
def step_first_none(context):
    assert context.given == (0, 3), context.given
