"""Steps for forwarding, load balancing and retry budgets."""

import collections
import random

from behave import given
from behave import then
from behave import when

from features.harness import hop
from features.harness import site
from jasperweir import result_codes
from jasperweir.components.balance import balancer
from jasperweir.components.balance import budget
from jasperweir.components.balance import entry_cell
from jasperweir.components.balance import forecast
from jasperweir.components.balance import messages
from jasperweir.components.balance import outage
from jasperweir.components.balance import retry_advice
from jasperweir.components.balance import wait_estimate
from jasperweir.components.balance import wait_queue
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import records
from jasperweir.components.forward import dialect
from jasperweir.components.forward import rejections
from jasperweir.components.forward import request_state
from jasperweir.helpers import event_stream

KINDS = {
    "safe": (model.RouteKind.SAFE, 2, False),
    "unsafe": (model.RouteKind.UNSAFE, 1, False),
    "stream": (model.RouteKind.STREAM, 2, False),
    "resumable": (model.RouteKind.STREAM, 2, True),
}


def make_route(kind, timeout_s=8.0):
    what, attempts, resumable = KINDS[kind]
    return hop.route(
        kind=what, timeout_s=timeout_s, resumable=resumable, attempts=attempts
    )


def make_request_state(kind, resume_after="", used_s=0.0, patience_s=8.0):
    route = make_route(kind)
    caller_headers = dialect.CallerHeaders(
        "id", patience_s, "", 10, 10, resume_after
    )
    match = index.RouteMatch(route=route, customer=None)
    return request_state.RequestState(
        match=match, caller_headers=caller_headers, now=100.0, used_s=used_s
    )


@given("a {kind} request that one target has received")
def step_request(context, kind):
    context.state = make_request_state(kind)
    context.state.on_sent("t1")


@when('the attempt fails with "{fault}"')
def step_fault(context, fault):
    what = request_state.Fault(fault)
    if what is request_state.Fault.UNSENT:
        context.state.attempts = context.state.deliveries = 0
    context.decision = context.state.on_fault("t1", what, 100.1)


@when('a second attempt fails with "{fault}"')
def step_second(context, fault):
    context.state.on_sent("t2")
    what = request_state.Fault(fault)
    context.decision = context.state.on_fault("t2", what, 100.2)


@then('the decision is "{name}"')
def step_decision(context, name):
    match context.decision:
        case request_state.Retry():
            assert name == "retry", "retry"
        case request_state.Fail(code):
            assert code.name.lower() == name, code
        case other:
            raise AssertionError(other)


@when("a target responds with {status:d} that is {marks}")
def step_responds(context, status, marks):
    head = dialect.ResponseHead(
        request_id="id",
        signed="unsigned" not in marks and "signed" in marks,
        not_run="not run" in marks,
        other_target="of another" in marks,
        encoded="encoded" in marks,
        load=None,
    )
    context.response_class = context.state.classify_response(status, head)


@then('the response is classified as "{name}"')
def step_response_class(context, name):
    got = context.response_class.value if context.response_class else "valid"
    assert got == name, got


@then("a resumed request waits 1.8 s for a slot and a first attempt 0.6 s")
def step_waits(context):
    resumed = make_request_state("resumable", "5")
    first = make_request_state("resumable")
    assert round(resumed.wait_deadline - 100.0, 3) == 1.8
    assert round(first.wait_deadline - 100.0, 3) == 0.6


@when('the stream "{text}" is split')
def step_split(context, text):
    split(context, [text])


@when('a stream arrives as "{first}" and then "{second}"')
def step_split_two(context, first, second):
    split(context, [first, second])


def split(context, parts):
    splitter = event_stream.EventSplitter(last_id="")
    out = [splitter.feed(p.replace("|", "\n").encode()) for p in parts]
    context.events = b"".join(out).count(b"\n\n")
    context.last_id = splitter.last_id


@then('{count:d} events are passed on and the last id is "{last}"')
def step_events(context, count, last):
    assert (context.events, context.last_id) == (count, last)


@given("{count:d} entries with a budget of {ratio:g} and a burst of {burst:g}")
def step_budget(context, count, ratio, burst):
    bounds = budget.BudgetBounds(ratio=ratio, burst=burst, window_s=10.0)
    context.budgets = [
        budget.RetryBudget(bounds=bounds, now=0.0) for _ in range(count)
    ]  # fmt: skip
    context.most = ratio * 20 * count + burst


@when("each of them gets 20 requests and retries all of them")
def step_retry_all(context):
    context.taken = 0
    for retry_budget in context.budgets:
        retry_budget.on_entries(len(context.budgets), 0.0)
        for _ in range(20):
            retry_budget.count_first("s", 5.0)
        for _ in range(20):
            context.taken += retry_budget.take("s", 5.5).allowed


@then("the retries of all entries stay within the budget")
def step_within_budget(context):
    assert 0 < context.taken <= context.most, context.taken


DATA_CENTRES = ("north", "south", "east")


@given("{count:d} entries in 3 data centres")
def step_entries(context, count):
    create_cells(context, [DATA_CENTRES[n % 3] for n in range(count)])


@given(
    "{first:d} entries in the first data centre "
    "and {other:d} in each of two others"
)
def step_uneven_entries(context, first, other):
    north, south, east = DATA_CENTRES
    create_cells(context, [north] * first + [south] * other + [east] * other)


def create_cells(context, places):
    """Create the neighbour lists of entries in these data centres."""
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
        cell = entry_cell.EntryCell(name=node.name, place=node.place)
        cell.on_entries(nodes)
        context.cells[node] = cell


@then("each entry reports to {peers} others, all in its data centre: {local}")
def step_reports_to(context, peers, local):
    least, _, most = peers.partition(" to ")
    for node, cell in context.cells.items():
        count = len(cell.peers)
        assert int(least) <= count <= int(most or least), count
        same = all(peer.place == node.place for peer in cell.peers)
        assert same == (local == "yes")
        assert node not in cell.peers


@then("two entries report to each other or not at all")
def step_mutual(context):
    for node, cell in context.cells.items():
        assert all(node in context.cells[peer].peers for peer in cell.peers)


@given("{count:d} targets in 3 data centres")
def step_located_targets(context, count):
    context.targets = [
        site.target(target_id=f"t{n}", address=f"10.1.0.{n}:80")._replace(
            place=DATA_CENTRES[n % 3]
        )
        for n in range(count)
    ]


@then("each entry prefers {count:d} targets")
def step_preferred_targets(context, count):
    for node, cell in context.cells.items():
        found = cell.preferred_targets(context.targets, 0.0)
        assert len(found) == count, len(found)
        if count < len(context.targets):
            assert {target.place for target in found} == {node.place}


@then("each target gets the same share of all requests within 10 percent")
def step_even_shares(context):
    draws = [(n + 0.5) / 400 for n in range(400)]
    load = collections.Counter()
    for cell in context.cells.values():
        for draw in draws:
            found = cell.preferred_targets(context.targets, draw)
            for target in found:
                load[target.target_id] += 1 / len(found)
    mean = sum(load.values()) / len(context.targets)
    assert max(load.values()) < 1.1 * mean, load.most_common(3)
    assert min(load.values()) > 0.9 * mean, load.most_common()[-3:]


@given('targets "{names}" with {slots:d} slots each')
def step_targets(context, names, slots):
    context.now = 10.0
    context.balancer = balancer.Balancer(rng=random.Random(1))
    context.targets = [
        site.target(target_id=n, address=f"{n}:80")._replace(slots=slots)
        for n in names.split(",")
    ]


@when('another entry has {one:d} requests at "{a}" and {two:d} at "{b}"')
def step_other_entry(context, one, a, two, b):
    loads = (messages.OpenLoad(a, one), messages.OpenLoad(b, two))
    share = messages.Share(sequence=1, loads=loads)
    context.balancer.on_share("e2", share, context.now)


@then('every request goes to "{name}" until it has as many as "b"')
def step_least_loaded(context, name):
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


@when('"{name}" reports {running:d} running and {waiting:d} waiting requests')
def step_load_report(context, name, running, waiting):
    report = balancer.Report(running, waiting, 2)
    context.balancer.on_report(name, report, context.now)


@then("{count:d} slots are free")
def step_free(context, count):
    free = context.balancer.loads(context.targets, context.now).free
    assert free == count, free


@when("all targets fail hard")
def step_fail(context):
    for target in context.targets:
        context.balancer.failed(target.target_id, context.now, hard=True)


@then("a target is still chosen")
def step_chosen(context):
    assert context.balancer.choose(context.targets, set(), context.now)


@when("requests of priority 2, 1 and 2 wait and one slot is free")
def step_wait(context):
    waiting = wait_queue.WaitQueue()
    for number, priority in enumerate((2, 1, 2)):
        waiting.enqueue(
            wait_queue.QueuedRequest(priority, 5.0 + number, number, 9.0, 5.0)
        )  # fmt: skip
    context.admitted = waiting.admit(1, 6.0)


@then("the request of priority 1 gets the slot")
def step_gets_slot(context):
    assert context.admitted == [1]


@when("20 requests are rejected within a second")
def step_rejected(context):
    return_advice = retry_advice.RetryAdvice(rng=random.Random(2))
    context.delays = [
        return_advice.after_refusal(5.0 + i / 20) for i in range(20)
    ]


@then("the last has a longer retry delay than the first")
def step_last(context):
    assert context.delays[-1] > 3 * context.delays[0]


@then("no retry delay is above {seconds:g} s")
def step_max_delay(context, seconds):
    assert max(context.delays) <= seconds


@given("callers of a route of {timeout_s:g} s that stated {stated:g} s before")
def step_patience(context, timeout_s, stated):
    context.patience = wait_estimate.WaitEstimator()
    context.timeout_s = timeout_s
    context.patience.estimate_waited_s(make_route("safe", timeout_s), stated)


@when("the timeout is changed to {timeout_s:g} s")
def step_timeout(context, timeout_s):
    context.timeout_s = timeout_s


@when("20 requests are rejected because there is no target")
def step_no_target(context):
    responder = rejections.RejectionResponder(
        dialect=PlainDialect(), rng=random.Random(2)
    )
    context.delays = []
    for _ in range(20):
        answering = RecordingAnswering()
        responder.reject(answering, None, result_codes.Code.NO_TARGET, 5.0)
        context.delays.append(float(dict(answering.headers)[b"retry-after"]))


class PlainDialect:
    """A protocol without headers in the entry's own responses."""

    def build_own_headers(self, caller_headers):
        return []


class RecordingAnswering:
    """Records the headers of the response to a caller."""

    def reply(self, status, headers, body):
        self.headers = headers


@then("a caller that states {stated:g} s has used {used:g} s")
def step_used(context, stated, used):
    got = context.patience.estimate_waited_s(
        make_route("safe", context.timeout_s), stated
    )
    assert round(got, 3) == used, got


@given("a request of a caller that has used {used:g} s and has {left:g} s left")
def step_retried_request(context, used, left):
    context.state = make_request_state(
        "resumable", used_s=used, patience_s=left
    )


@then("it waits {seconds:g} s for a slot")
def step_waits_for(context, seconds):
    got = context.state.wait_deadline - context.state.arrived_at
    assert round(got, 3) == seconds, got


@when("a retry waits whose caller has used 2 s, and an older first attempt")
def step_two_wait(context):
    waiting = wait_queue.WaitQueue()
    for number, used_s in enumerate((0.0, 2.0)):
        first_attempt_at = (
            make_request_state("safe", used_s=used_s).first_attempt_at
            + 0.05 * number
        )
        waiting.enqueue(
            wait_queue.QueuedRequest(1, first_attempt_at, number, 109.0, 100.0)
        )
    context.admitted = waiting.admit(1, 101.0)


@then("the retry gets the free slot")
def step_retry_gets_slot(context):
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


@when("a target accepts a request")
def step_accepts(context):
    assert context.outage.on_answer(context.now)


@when("a service refuses a request every {pause:g} s, {count:d} times")
def step_isolated_refusals(context, pause, count):
    context.outage = outage.Outage()
    for n in range(count):
        context.now = 50.0 + n * pause
        context.outage.on_refusal(context.now)


@then("it has no outage")
def step_no_outage(context):
    assert not context.outage.is_active(context.now)


@then("it has an outage, with one probe by a waiting request every {pause:g} s")
def step_outage(context, pause):
    taken = 0
    for n in range(100):
        at = context.now + n * 0.01
        assert context.outage.is_active(at)
        taken += context.outage.take_probe(at)
    assert taken == round(1.0 / pause), taken


@when("{count:d} requests are rejected during an outage")
def step_rejected_in_outage(context, count):
    return_advice = retry_advice.RetryAdvice(rng=random.Random(2))
    context.delays = [return_advice.during_outage() for _ in range(count)]


@then("each retry delay is {least:g} to {most:g} s")
def step_delays(context, least, most):
    assert least <= min(context.delays) < max(context.delays) <= most
    assert max(context.delays) - min(context.delays) > (most - least) / 2


@given("{entries:d} entries where {waiting:d} requests wait each")
def step_waiting(context, entries, waiting):
    context.entries = entries
    context.own = messages.Queue("s", timely=waiting, late=0)


@when("all of them see {slots:d} free slots")
def step_same_slots(context, slots):
    rng = random.Random(5)
    others = messages.Queue("s", context.own.timely * (context.entries - 1), 0)
    context.admitted = [
        sum(
            forecast.allocate_slots(slots, context.own, others, rng).total
            for _ in range(context.entries)
        )
        for _ in range(400)
    ]


@then("they fill {least:d} to {most:d} in total, and {mean:d} on average")
def step_fill(context, least, most, mean):
    counts = context.admitted
    assert least <= min(counts) <= max(counts) <= most, (
        min(counts),
        max(counts),
    )
    assert abs(sum(counts) / len(counts) - mean) < 0.2, sum(counts) / len(
        counts
    )


@given("an entry with 3 late waiting requests, and one with 3 timely ones")
def step_late_and_timely(context):
    context.late = messages.Queue("s", timely=0, late=3)
    context.timely = messages.Queue("s", timely=3, late=0)


@when("both see 3 free slots")
def step_both_see(context):
    rng = random.Random(5)
    context.admitted = (
        forecast.allocate_slots(3, context.late, context.timely, rng).total,
        forecast.allocate_slots(3, context.timely, context.late, rng).total,
    )


@then("the first fills none and the second 3")
def step_first_none(context):
    assert context.admitted == (0, 3), context.admitted
