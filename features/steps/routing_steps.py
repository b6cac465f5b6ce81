"""Steps on routing, admission and address answers."""

import collections
import random

from behave import then

from features.harness import nodes
from jasperweir import result_codes
from jasperweir.components.address import answer as answer_lib
from jasperweir.components.limits import admission as admission_lib
from jasperweir.components.limits import retry
from jasperweir.components.membership import messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.components.routing import const
from jasperweir.components.routing import router as router_lib

Status = messages.Status
Code = result_codes.Code
QUERY = router_lib.Query(service="s")


def scene(count=6, place="p"):
    roster = roster_lib.Roster(own=nodes.member("e1", "entry"))
    for i in range(1, count + 1):
        roster.merge(nodes.member(f"a{i}", "agent", place=place), 0.0)
    router = router_lib.Router(
        roster=roster, rng=random.Random(3), regions={"p": "r", "q": "r"}
    )
    return roster, router


def picks(router, now=100.0, count=300, query=QUERY):
    found = [router.choose(query, (), now) for _ in range(count)]
    return collections.Counter(m.name for m in found if m)


def only_fitting():
    roster, router = scene(2)
    other = nodes.member("a9", "agent")
    other = other._replace(offers=(messages.Offer("other"),))
    roster.merge(other, 0.0)
    assert set(picks(router)) == {"a1", "a2"}
    assert router.choose(QUERY, ("a1", "a2"), 0.0) is None


def no_leaving():
    roster, router = scene(3)
    roster.set_status("a1", Status.LEAVING, 0.0)
    roster.set_status("a2", Status.DEAD, 0.0)
    assert set(picks(router)) == {"a3"}


def idle_preferred():
    _, router = scene(3)
    for _ in range(20):
        router.started("a1", QUERY, 100.0)
        router.started("a2", QUERY, 100.0)
    assert picks(router).most_common(1)[0] == ("a3", 300)


def stale_report():
    _, router = scene(2)
    for name in ("a1", "a2"):
        router.reported(name, active=0, skew=0.0, switching=False, now=100.0)
    sent = collections.Counter()
    for _ in range(40):
        name = router.choose(QUERY, (), 101.0).name
        router.started(name, QUERY, 101.0)
        sent[name] += 1
    assert abs(sent["a1"] - sent["a2"]) <= 2, sent


def refusal():
    _, router = scene(3)
    router.refused("a1", 100.0)
    assert "a1" not in picks(router, 100.1)
    assert "a1" in picks(router, 100.5)
    router.started("a1", QUERY, 100.5)
    router.refused("a1", 100.5)
    router.ended("a1", 100.5)
    assert "a1" not in picks(router, 100.9)
    router.started("a1", QUERY, 102.0)
    router.ended("a1", 102.0)
    # One request goes first.
    assert "a1" not in picks(router, 102.1)
    router.succeeded("a1", 0.1, 102.2)
    assert "a1" in picks(router, 102.2)


def refusal_of_all():
    _, router = scene(3)
    for name in ("a1", "a2", "a3"):
        router.refused(name, 100.0)
    assert len(picks(router, 100.1)) == 3


def refusal_of_before():
    roster, router = scene(3)
    router.refused("a1", 100.0)
    roster.merge(nodes.member("a1", "agent", inc=2), 100.0)
    assert not router.state("a1", 100.1).asked.is_avoided(100.1)


def feed(router, slow, now):
    for _ in range(10):
        for i in range(1, 7):
            name = f"a{i}"
            router.succeeded(name, 1.0 if name in slow else 0.1, now)


def straggler():
    _, router = scene()
    feed(router, {"a1"}, 100.0)
    assert "a1" not in picks(router, 101.0)
    back = 100.0 + const.EJECT_SECONDS
    assert router.state("a1", back).ramp(back + 0.1) < 0.3
    assert "a1" in picks(router, back + const.SLOW_START_SECONDS, 2000)


def ejection_floor():
    _, router = scene()
    for i in range(1, 7):
        for _ in range(const.EJECT_FAILURES):
            router.failed(f"a{i}", 100.0)
    assert len(picks(router, 100.1, 2000)) >= 4


def slow_start():
    roster, router = scene()
    router.state("a1", 0.0)
    roster.merge(nodes.member("a1", "agent", inc=2), 100.0)
    state = router.state("a1", 100.0)
    assert state.ramp(100.0) < 0.3 and state.ramp(200.0) == 1.0


def affinity():
    _, router = scene()
    query = QUERY._replace(prefix=77)
    router.cached("a4", (77,))
    assert picks(router, query=query).most_common(1)[0][0] == "a4"
    for _ in range(40):
        router.started("a4", QUERY, 100.0)
    assert "a4" not in picks(router, query=query)


def subset():
    _, router = scene(100)
    assert len(router.candidates(QUERY)) == const.SUBSET
    assert router.slots(QUERY) == 100 * 64
    _, far = scene(100, place="q")
    assert len(far.candidates(QUERY)) == const.SUBSET


def own_place():
    roster, router = scene(4)
    for i in range(5, 9):
        roster.merge(nodes.member(f"a{i}", "agent", place="q"), 0.0)
    count = picks(router, count=2000)
    near = sum(count[f"a{i}"] for i in range(1, 5))
    assert near > 0.8 * 2000, count


ROUTING = {
    "only living targets that offer the service": only_fitting,
    "a leaving or dead target gets nothing": no_leaving,
    "an idle target is preferred": idle_preferred,
    "own requests correct a stale report": stale_report,
    "a target that refuses is avoided for a while": refusal,
    "all are tried if all refuse": refusal_of_all,
    "a new incarnation has refused nothing": refusal_of_before,
    "a straggler is ejected and comes back slowly": straggler,
    "a fault of all ejects at most a third": ejection_floor,
    "a new incarnation starts slowly": slow_start,
    "a prefix goes home until home is full": affinity,
    "state is kept for a subset only": subset,
    "the own place is preferred": own_place,
}


@then("routing holds: {rule}")
def routing(context, rule):
    ROUTING[rule]()


def admission(limit=2):
    return admission_lib.Admission(limit=limit, rng=random.Random(1))


def ticket(rid, customer="c", weight=1.0, deadline=60.0, priority=5):
    return admission_lib.Ticket(rid, customer, weight, priority, deadline, 0.1)


def room():
    gate = admission()
    assert gate.offer(ticket("a"), 0.0) == admission_lib.Admit("a")
    gate.offer(ticket("b"), 0.0)
    assert gate.offer(ticket("c"), 0.0) == admission_lib.Queued("c")
    assert gate.release("a", 1.0) == [admission_lib.Admit("c")]


def too_near():
    gate = admission()
    verdict = gate.offer(ticket("a", deadline=0.05), 0.0)
    assert verdict.code == Code.DEADLINE_TOO_NEAR and verdict.retry_after > 0


def fill(gate, count=2):
    for i in range(count):
        gate.offer(ticket(f"f{i}"), 0.0)


def hopeless():
    gate = admission()
    fill(gate)
    assert gate.offer(ticket("q", deadline=5.0), 0.0) == (
        admission_lib.Queued("q")
    )
    assert gate.poll(4.0) == []
    out = gate.poll(4.95)
    assert [v.code for v in out] == [Code.DEADLINE_TOO_NEAR], out
    assert gate.waiting == 0


def full_queue():
    gate = admission(4)
    verdicts = [
        gate.offer(ticket(f"r{i}", customer=f"c{i % 3}"), 0.0)
        for i in range(40)
    ]
    refused = [v for v in verdicts if isinstance(v, admission_lib.Refuse)]
    assert refused and all(v.retry_after > 0 for v in refused)
    assert gate.waiting <= 16


def flood():
    gate = admission(2)
    fill(gate)
    for i in range(200):
        gate.offer(ticket(f"big{i}", "big"), 0.0)
    small = gate.offer(ticket("small", "small"), 0.0)
    assert small == admission_lib.Queued("small"), small
    first = gate.release("f0", 1.0) + gate.release("f1", 1.0)
    assert admission_lib.Admit("small") in first, first


def weights():
    gate = admission(4)
    fill(gate, 4)
    served = collections.Counter()
    active = collections.deque(f"f{i}" for i in range(4))
    for i in range(400):
        gate.offer(ticket(f"x{i}", "heavy", 3.0, 1e6), 0.0)
        gate.offer(ticket(f"y{i}", "light", 1.0, 1e6), 0.0)
        for verdict in gate.release(active.popleft(), 0.0):
            active.append(verdict.rid)
            served[verdict.rid[0]] += 1
    ratio = served["x"] / served["y"]
    assert 2.5 < ratio < 3.5, served


def urgent():
    gate = admission(1)
    fill(gate, 1)
    gate.offer(ticket("later", "a", priority=9), 0.0)
    gate.offer(ticket("now", "b", priority=0), 0.0)
    assert gate.release("f0", 1.0) == [admission_lib.Admit("now")]


def left():
    gate = admission(1)
    fill(gate, 1)
    gate.offer(ticket("q"), 0.0)
    gate.withdraw("q")
    assert gate.release("f0", 1.0) == []


def budget():
    tokens = retry.Budget()
    for _ in range(50):
        tokens.spend()
    for _ in range(100):
        tokens.first_try()
    spent = sum(tokens.spend() for _ in range(50))
    assert 9 <= spent <= 10, spent


ADMISSION = {
    "room means at once": room,
    "a deadline too near is refused at once": too_near,
    "a queued request is refused when hopeless": hopeless,
    "a full queue refuses with a time": full_queue,
    "a flood does not starve the small": flood,
    "shares follow weights": weights,
    "urgent ones go first": urgent,
    "a caller that left frees its place": left,
    "retries are a tenth of first tries": budget,
}


@then("admission holds: {rule}")
def admission_rule(context, rule):
    ADMISSION[rule]()


def answer(roster, salt="x", place="p", service=""):
    return answer_lib.build(
        roster=roster,
        service=service,
        place=place,
        regions={"p": "r", "q": "r", "z": "other"},
        ttl_s=10.0,
        salt=salt,
    )


def entries(count, places=("p",)):
    roster = roster_lib.Roster(own=nodes.member("e0", "entry"))
    for i in range(1, count):
        place = places[i % len(places)]
        roster.merge(nodes.member(f"e{i}", "entry", place=place), 0.0)
    return roster


def leaving_out():
    roster = entries(4)
    roster.set_status("e2", Status.LEAVING, 0.0)
    roster.set_status("e3", Status.SUSPECT, 0.0)
    names = {a.name for a in answer(roster).addresses}
    assert names == {"e0", "e1"}


def near():
    found = answer(entries(30, ("p", "q", "z")))
    weights_by_place = {a.place: a.weight for a in found.addresses}
    assert weights_by_place["p"] > max(
        w for p, w in weights_by_place.items() if p != "p"
    )
    assert len(found.addresses) == answer_lib.ANSWER_ENTRIES


def spread():
    roster = entries(12)
    count = collections.Counter(
        a.name
        for i in range(600)
        for a in answer(roster, salt=str(i)).addresses
    )
    assert len(count) == 12
    assert max(count.values()) < 1.4 * min(count.values()), count


def shard():
    roster = entries(200, ("p", "q"))
    names = {
        a.name
        for i in range(200)
        for a in answer(roster, salt=str(i), service="s").addresses
    }
    assert len(names) <= answer_lib.SHARD_ENTRIES, len(names)


ADDRESSES = {
    "a leaving entry is left out": leaving_out,
    "near entries weigh more, far ones stay in": near,
    "callers spread": spread,
    "a service keeps to its shard": shard,
}


@then("the address answer holds: {rule}")
def address_rule(context, rule):
    ADDRESSES[rule]()
