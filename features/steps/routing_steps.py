"""Steps for routing, admission and address answers."""

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
QUERY = router_lib.TargetQuery(service="s")


def create_router(count=6, place="p"):
    roster = roster_lib.Roster(own=nodes.member("e1", "entry"))
    for i in range(1, count + 1):
        roster.merge(nodes.member(f"a{i}", "agent", place=place), 0.0)
    router = router_lib.Router(
        roster=roster, rng=random.Random(3), regions={"p": "r", "q": "r"}
    )
    return roster, router


def count_choices(router, now=100.0, count=300, query=QUERY):
    found = [router.choose(query, (), now) for _ in range(count)]
    return collections.Counter(m.name for m in found if m)


def check_matching_targets():
    roster, router = create_router(2)
    other = nodes.member("a9", "agent")
    other = other._replace(offers=(messages.Offer("other"),))
    roster.merge(other, 0.0)
    assert set(count_choices(router)) == {"a1", "a2"}
    assert router.choose(QUERY, ("a1", "a2"), 0.0) is None


def check_leaving_and_dead_targets():
    roster, router = create_router(3)
    roster.set_status("a1", Status.LEAVING, 0.0)
    roster.set_status("a2", Status.DEAD, 0.0)
    assert set(count_choices(router)) == {"a3"}


def check_idle_target():
    _, router = create_router(3)
    for _ in range(20):
        router.record_start("a1", QUERY, 100.0)
        router.record_start("a2", QUERY, 100.0)
    assert count_choices(router).most_common(1)[0] == ("a3", 300)


def check_stale_report():
    _, router = create_router(2)
    for name in ("a1", "a2"):
        router.update_load(name, active=0, skew=0.0, switching=False, now=100.0)
    sent = collections.Counter()
    for _ in range(40):
        name = router.choose(QUERY, (), 101.0).name
        router.record_start(name, QUERY, 101.0)
        sent[name] += 1
    assert abs(sent["a1"] - sent["a2"]) <= 2, sent


def check_refusal():
    _, router = create_router(3)
    router.record_refusal("a1", 100.0)
    assert "a1" not in count_choices(router, 100.1)
    assert "a1" in count_choices(router, 100.5)
    router.record_start("a1", QUERY, 100.5)
    router.record_refusal("a1", 100.5)
    router.record_end("a1", 100.5)
    assert "a1" not in count_choices(router, 100.9)
    router.record_start("a1", QUERY, 102.0)
    router.record_end("a1", 102.0)
    # Only one trial request is sent first.
    assert "a1" not in count_choices(router, 102.1)
    router.record_success("a1", 0.1, 102.2)
    assert "a1" in count_choices(router, 102.2)


def check_refusal_by_all():
    _, router = create_router(3)
    for name in ("a1", "a2", "a3"):
        router.record_refusal(name, 100.0)
    assert len(count_choices(router, 100.1)) == 3


def check_old_refusals():
    roster, router = create_router(3)
    router.record_refusal("a1", 100.0)
    roster.merge(nodes.member("a1", "agent", inc=2), 100.0)
    assert not router.target_state("a1", 100.1).refusals.is_avoided(100.1)


def record_successes(router, slow, now):
    for _ in range(10):
        for i in range(1, 7):
            name = f"a{i}"
            router.record_success(name, 1.0 if name in slow else 0.1, now)


def check_straggler():
    _, router = create_router()
    record_successes(router, {"a1"}, 100.0)
    assert "a1" not in count_choices(router, 101.0)
    ejection_end = 100.0 + const.EJECT_SECONDS
    assert (
        router.target_state("a1", ejection_end).capacity_share(
            ejection_end + 0.1
        )
        < 0.3
    )
    assert "a1" in count_choices(
        router, ejection_end + const.SLOW_START_SECONDS, 2000
    )


def check_ejection_limit():
    _, router = create_router()
    for i in range(1, 7):
        for _ in range(const.EJECT_FAILURES):
            router.record_failure(f"a{i}", 100.0)
    assert len(count_choices(router, 100.1, 2000)) >= 4


def check_slow_start():
    roster, router = create_router()
    router.target_state("a1", 0.0)
    roster.merge(nodes.member("a1", "agent", inc=2), 100.0)
    state = router.target_state("a1", 100.0)
    assert (
        state.capacity_share(100.0) < 0.3 and state.capacity_share(200.0) == 1.0
    )


def check_prefix_affinity():
    _, router = create_router()
    query = QUERY._replace(prefix=77)
    router.update_cached_prefixes("a4", (77,))
    assert count_choices(router, query=query).most_common(1)[0][0] == "a4"
    for _ in range(40):
        router.record_start("a4", QUERY, 100.0)
    assert "a4" not in count_choices(router, query=query)


def check_subset():
    _, router = create_router(100)
    assert len(router.candidates(QUERY)) == const.MAX_CANDIDATES
    assert router.total_slots(QUERY) == 100 * 64
    _, remote = create_router(100, place="q")
    assert len(remote.candidates(QUERY)) == const.MAX_CANDIDATES


def check_local_preference():
    roster, router = create_router(4)
    for i in range(5, 9):
        roster.merge(nodes.member(f"a{i}", "agent", place="q"), 0.0)
    choices = count_choices(router, count=2000)
    local = sum(choices[f"a{i}"] for i in range(1, 5))
    assert local > 0.8 * 2000, choices


ROUTING_RULES = {
    "only live targets with the service are chosen": check_matching_targets,
    "a leaving or dead target gets no requests": check_leaving_and_dead_targets,
    "an idle target is preferred": check_idle_target,
    "own requests correct a stale report": check_stale_report,
    "a target that refuses is avoided for a while": check_refusal,
    "all targets are tried if all refuse": check_refusal_by_all,
    "refusals of an old incarnation are dropped": check_old_refusals,
    "a straggler is ejected and returns slowly": check_straggler,
    "a fault of all targets ejects at most a third": check_ejection_limit,
    "a new incarnation starts slowly": check_slow_start,
    "a cached prefix attracts requests up to a load": check_prefix_affinity,
    "state is kept for a subset only": check_subset,
    "the local data centre is preferred": check_local_preference,
}


@then("this rule of routing holds: {rule}")
def check_routing_rule(context, rule):
    ROUTING_RULES[rule]()


def create_queue(limit=2):
    return admission_lib.AdmissionQueue(limit=limit, rng=random.Random(1))


def create_request(rid, customer="c", weight=1.0, deadline=60.0, priority=5):
    return admission_lib.AdmissionRequest(
        rid, customer, weight, priority, deadline, 0.1
    )


def check_free_limit():
    queue = create_queue()
    assert queue.submit(create_request("a"), 0.0) == admission_lib.Admit("a")
    queue.submit(create_request("b"), 0.0)
    assert queue.submit(create_request("c"), 0.0) == admission_lib.Queued("c")
    assert queue.release("a", 1.0) == [admission_lib.Admit("c")]


def check_near_deadline():
    queue = create_queue()
    verdict = queue.submit(create_request("a", deadline=0.05), 0.0)
    assert verdict.code == Code.DEADLINE_TOO_NEAR and verdict.retry_after > 0


def fill_queue(queue, count=2):
    for i in range(count):
        queue.submit(create_request(f"f{i}"), 0.0)


def check_late_request():
    queue = create_queue()
    fill_queue(queue)
    assert queue.submit(create_request("q", deadline=5.0), 0.0) == (
        admission_lib.Queued("q")
    )
    assert queue.poll(4.0) == []
    out = queue.poll(4.95)
    assert [v.code for v in out] == [Code.DEADLINE_TOO_NEAR], out
    assert queue.waiting == 0


def check_full_queue():
    queue = create_queue(4)
    verdicts = [
        queue.submit(create_request(f"r{i}", customer=f"c{i % 3}"), 0.0)
        for i in range(40)
    ]
    refused = [v for v in verdicts if isinstance(v, admission_lib.Refuse)]
    assert refused and all(v.retry_after > 0 for v in refused)
    assert queue.waiting <= 16


def check_flood():
    queue = create_queue(2)
    fill_queue(queue)
    for i in range(200):
        queue.submit(create_request(f"big{i}", "big"), 0.0)
    small = queue.submit(create_request("small", "small"), 0.0)
    assert small == admission_lib.Queued("small"), small
    first = queue.release("f0", 1.0) + queue.release("f1", 1.0)
    assert admission_lib.Admit("small") in first, first


def check_weights():
    queue = create_queue(4)
    fill_queue(queue, 4)
    served = collections.Counter()
    active = collections.deque(f"f{i}" for i in range(4))
    for i in range(400):
        queue.submit(create_request(f"x{i}", "heavy", 3.0, 1e6), 0.0)
        queue.submit(create_request(f"y{i}", "light", 1.0, 1e6), 0.0)
        for verdict in queue.release(active.popleft(), 0.0):
            active.append(verdict.rid)
            served[verdict.rid[0]] += 1
    ratio = served["x"] / served["y"]
    assert 2.5 < ratio < 3.5, served


def check_priority():
    queue = create_queue(1)
    fill_queue(queue, 1)
    queue.submit(create_request("later", "a", priority=9), 0.0)
    queue.submit(create_request("now", "b", priority=0), 0.0)
    assert queue.release("f0", 1.0) == [admission_lib.Admit("now")]


def check_cancel():
    queue = create_queue(1)
    fill_queue(queue, 1)
    queue.submit(create_request("q"), 0.0)
    queue.cancel("q")
    assert queue.release("f0", 1.0) == []


def check_retry_budget():
    retries = retry.RetryBudget()
    for _ in range(50):
        retries.try_spend()
    for _ in range(100):
        retries.record_first_attempt()
    allowed = sum(retries.try_spend() for _ in range(50))
    assert 9 <= allowed <= 10, allowed


ADMISSION_RULES = {
    "a request is admitted at once below the limit": check_free_limit,
    "a deadline that is too near is refused at once": check_near_deadline,
    "a queued request is refused once it is late": check_late_request,
    "a full queue refuses with a retry time": check_full_queue,
    "a flood does not starve other customers": check_flood,
    "shares follow weights": check_weights,
    "urgent requests are served first": check_priority,
    "a cancelled request frees its place": check_cancel,
    "retries are a tenth of first attempts": check_retry_budget,
}


@then("this rule of admission holds: {rule}")
def check_admission_rule(context, rule):
    ADMISSION_RULES[rule]()


def build_answer(roster, salt="x", place="p", service=""):
    return answer_lib.build(
        roster=roster,
        service=service,
        place=place,
        regions={"p": "r", "q": "r", "z": "other"},
        ttl_s=10.0,
        salt=salt,
    )


def create_entries(count, places=("p",)):
    roster = roster_lib.Roster(own=nodes.member("e0", "entry"))
    for i in range(1, count):
        place = places[i % len(places)]
        roster.merge(nodes.member(f"e{i}", "entry", place=place), 0.0)
    return roster


def check_unavailable_entries():
    roster = create_entries(4)
    roster.set_status("e2", Status.LEAVING, 0.0)
    roster.set_status("e3", Status.SUSPECT, 0.0)
    names = {a.name for a in build_answer(roster).addresses}
    assert names == {"e0", "e1"}


def check_local_weight():
    found = build_answer(create_entries(30, ("p", "q", "z")))
    weights_by_place = {a.place: a.weight for a in found.addresses}
    assert weights_by_place["p"] > max(
        w for p, w in weights_by_place.items() if p != "p"
    )
    assert len(found.addresses) == answer_lib.MAX_ANSWER_ENTRIES


def check_spread():
    roster = create_entries(12)
    count = collections.Counter(
        a.name
        for i in range(600)
        for a in build_answer(roster, salt=str(i)).addresses
    )
    assert len(count) == 12
    assert max(count.values()) < 1.4 * min(count.values()), count


def check_shard():
    roster = create_entries(200, ("p", "q"))
    names = {
        a.name
        for i in range(200)
        for a in build_answer(roster, salt=str(i), service="s").addresses
    }
    assert len(names) <= answer_lib.SHARD_ENTRIES, len(names)


ADDRESS_RULES = {
    "leaving and suspect entries are not listed": check_unavailable_entries,
    "local entries weigh more, others are included": check_local_weight,
    "callers are spread over entries": check_spread,
    "a service keeps to its shard": check_shard,
}


@then("this rule of address answers holds: {rule}")
def check_address_rule(context, rule):
    ADDRESS_RULES[rule]()
