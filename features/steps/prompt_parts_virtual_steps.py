"""Steps on parts of prompts that crash targets, on a virtual clock."""

import itertools

from behave import given
from behave import then
from behave import when

from features.harness import part_simulation
from features.harness import site as site_lib
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.quarantine import suspects as suspects_lib

Standing = quarantine_lib.Standing

WHAT = (
    "nothing",
    "entries restart",
    "a release",
    "a rack loses power",
    "targets are killed",
    "links are cut",
    "messages are lost",
    "a VM is suspended",
    "control VMs are lost",
)
EVERY_SECONDS = (0.05, 5.0)
# Unless run with ``-D whole=true``, one in so many rows is run.
PART_OF_TABLE = 5
PART = "c0ffee"


def check(cases):
    """Run cases; fail with those that break a rule."""
    wrong = {}
    for case in cases:
        found = part_simulation.find_violations(case)
        if found:
            wrong[tuple(case.values())] = found
    assert not wrong, wrong


@then(
    "with {entries:d} entries and {parts:d} crashing part(s) these are held"
    " whatever else happens"
)
def step_all(context, entries, parts):
    rows = itertools.product(
        part_simulation.POSITIONS, EVERY_SECONDS, WHAT, (False, True)
    )
    is_whole = context.config.userdata.getbool("whole", False)
    check(
        {
            "entries": entries,
            "position": position,
            "parts": parts,
            "every_s": every_s,
            "what": what,
            "early": early,
            "seed": seed,
        }
        for seed, (position, every_s, what, early) in enumerate(rows)
        if is_whole or seed % PART_OF_TABLE == parts
    )


@then("with {entries:d} entries 1 crashing part is held when {what}")
def step_large(context, entries, what):
    check(
        {
            "entries": entries,
            "position": "midway",
            "parts": 1,
            "every_s": every_s,
            "what": what,
            "early": True,
            "seed": 1,
        }
        for every_s in EVERY_SECONDS
    )


# Callers and targets.


@then(
    "in {count:d} schedules of kills and lost racks no part is held and"
    " harmless requests are served"
)
def step_kills(context, count):
    for seed in range(count):
        scene = part_simulation.PartScene(entries=5, seed=seed)
        for _ in range(8):
            scene.play(scene.rng.uniform(0.1, 2.5))
            what = scene.rng.choice(
                ("targets are killed", "a rack loses power", "entries restart")
            )
            part_simulation.disturb(scene, what)
            for entry in scene.entries.values():
                held = entry.quarantine.list_held(scene.now)
                assert not any(found.is_part for found in held), (seed, held)
        rejected = scene.held[False] / len(scene.outcomes)
        assert rejected <= 1 - part_simulation.SERVED_SHARE, (seed, rejected)


@given('{entries:d} entries with requests of customer "{customer}"')
def step_scene(context, entries, customer):
    context.scene = part_simulation.PartScene(entries=entries, seed=1)
    context.scene.customers = (customer,)
    context.scene.play(4.0)


@given("{entries:d} entries with requests of {count:d} customers")
def step_customers(context, entries, count):
    context.scene = part_simulation.PartScene(entries=entries, seed=1)
    context.scene.customers = tuple(f"c{number}" for number in range(count))
    context.scene.play(4.0)


@when(
    'customer "{customer}" names parts of "{other}" in {count:d} requests that'
    " crash targets"
)
def step_names(context, customer, other, count):
    scene = context.scene
    context.began_at = scene.now
    context.named = scene.parts_of(0, False)
    for number in range(count):
        scene.arrive(
            10_000_000 + number,
            is_crashing=True,
            parts=context.named,
            customer=customer,
        )
        scene.play(0.25)


def decide(context, parts, customer="one", number=77):
    """Return the decisions of all entries on a request."""
    scene = context.scene
    subject = scene_subject(parts, customer, number)
    return {
        entry.quarantine.decide(subject, scene.now).standing
        for entry in scene.entries.values()
    }


def scene_subject(parts, customer="one", number=77):
    return fingerprint.Subject(
        method=b"POST",
        host=b"h",
        target=b"/stream/x",
        customer=customer,
        body=b"%d" % number,
        service=part_simulation.SERVICE,
        prompt_parts=tuple(parts),
    )


@then('requests of customer "{customer}" with these parts are held')
def step_held_for(context, customer):
    assert decide(context, context.named, customer) == {Standing.HELD}


@then('requests of customer "{customer}" with these parts are served')
def step_served_for(context, customer):
    scene = context.scene
    assert decide(context, context.named, customer) == {Standing.CLEAR}
    assert scene.served(context.began_at + 3.0, scene.now) >= 0.95
    # Also for a customer that was not there before.
    assert decide(context, context.named, "new") == {Standing.CLEAR}


@when(
    "requests with a crashing part arrive every {every_s:g} s for {seconds:g} s"
)
def step_crashing(context, every_s, seconds):
    context.every_s = every_s
    context.served_before = context.scene.crashing_served
    context.scene.play(seconds, every_s=every_s)


@then("targets have crashed at most {count:d} times on it")
def step_crashed(context, count):
    found = context.scene.part_crashes
    assert 0 < len(found) <= count, found


@then("a request of an eleventh customer with it is held")
def step_eleventh(context):
    parts = context.scene.parts_of(0, True)
    assert decide(context, parts, "another") == {Standing.HELD}


@then("a request of an eleventh customer with it is sent")
def step_eleventh_sent(context):
    parts = context.scene.parts_of(0, True)
    assert decide(context, parts, "another") == {Standing.CLEAR}


@when("all targets are replaced by a version that {runs} it")
def step_replaced(context, runs):
    scene = context.scene
    scene.is_repaired = runs == "runs"
    scene.release()
    context.reached_before = len(scene.reached)


@when("the time of its quarantine passes")
def step_expired(context):
    scene = context.scene
    context.reached_before = len(scene.reached)
    held = scene.entries["e1"].quarantine.list_held(scene.now)
    # The processes have nothing to do meanwhile.
    scene.now += max(found.held_s for found in held if found.is_part) + 1.0


@then("at most {count:d} requests with it reach targets within {seconds:g} s")
def step_trials(context, count, seconds):
    scene = context.scene
    scene.play(seconds, every_s=context.every_s)
    found = len(scene.reached) - context.reached_before
    assert 0 < found <= count, found


@when("targets run it again and an operator lifts its quarantine at one entry")
def step_lift(context):
    scene = context.scene
    scene.is_repaired = True
    quarantine = scene.entries["e1"].quarantine
    held = quarantine.list_held(scene.now)
    assert any(found.is_part for found in held), held
    quarantine.lift(held, scene.now)
    scene.play(0.5)


@then("the last requests with it are served")
def step_last_served(context):
    assert context.scene.crashing_served - context.served_before >= 5


@then("no part is held")
def step_none_held(context):
    for entry in context.scene.entries.values():
        held = entry.quarantine.list_held(context.scene.now)
        assert not any(found.is_part for found in held), held


# One quarantine.


def attempt(parts, *, began_at, broke_at, is_settled=False, number=1):
    subject = scene_subject(parts, number=number)
    return fingerprint.compute(subject), suspects_lib.Attempt(
        request_id=str(number),
        began_at=began_at,
        broke_at=broke_at,
        parts=fingerprint.compute_parts(subject),
        is_settled=is_settled,
    )


def crash(context, *requests, is_settled=False):
    """Crash a target under requests, each with parts and a number."""
    context.now += 5.0
    context.targets += 1
    suspects = dict(
        attempt(
            parts,
            began_at=context.now - 0.2,
            broke_at=context.now,
            is_settled=is_settled,
            number=number,
        )
        for parts, number in requests
    )
    case = suspects_lib.Case(
        target=site_lib.target(target_id=f"t{context.targets}"),
        suspects=suspects,
        crashed_at=context.now,
    )
    context.quarantine.on_crash(case, "", context.now)


@given("a quarantine without marks")
def step_quarantine(context):
    context.now = 1000.0
    context.targets = 0
    context.quarantine = quarantine_lib.Quarantine(trial_prefix="e")


def standing(context, parts, number=99):
    subject = scene_subject(parts, number=number)
    return context.quarantine.decide(subject, context.now).standing


@given("a quarantine whose targets crashed twice under one request")
def step_same_request(context):
    step_quarantine(context)
    for _ in range(2):
        crash(context, (("r1", PART), 1))


@then("this request is held, and another one with its parts is not")
def step_request_held(context):
    assert standing(context, ("r1", PART), 1) is Standing.HELD
    assert standing(context, ("r1", PART), 2) is not Standing.HELD


@when("a third target crashes under another request with one of its parts")
def step_other_request(context):
    crash(context, (("r2", PART), 3))


@then("a request with that part is held")
def step_part_held(context):
    assert standing(context, ("r3", PART)) is Standing.HELD


@then("one with the other parts of the first request is not")
def step_other_parts(context):
    assert standing(context, ("r1", "r4")) is Standing.CLEAR


@given("a quarantine that has answered requests with a part")
def step_answered(context):
    step_quarantine(context)
    parts = fingerprint.compute_parts(scene_subject((PART,)))
    context.quarantine.on_answered(parts, context.now, context.now + 1.0)


@when("{count:d} targets crash under different requests with it")
def step_different(context, count):
    for _ in range(count):
        crash(context, ((f"r{context.targets}", PART), context.targets))


@then("a request with that part may be sent, one at a time")
def step_one_at_a_time(context):
    quarantine = context.quarantine
    subject = scene_subject((PART,))
    decision = quarantine.decide(subject, context.now)
    assert decision.standing is Standing.TRIAL, decision
    trial_id = quarantine.begin_trial(decision, context.now)
    assert standing(context, (PART,)) is Standing.AFTER_TRIAL
    quarantine.end_trial(trial_id, decision.fingerprints, context.now)
    assert standing(context, (PART,)) is Standing.TRIAL


@when("{count:d} targets crash beside long responses to requests with a part")
def step_settled(context, count):
    for number in range(count):
        crash(context, ((PART,), number), is_settled=True)


@then("a request with that part is sent")
def step_part_sent(context):
    assert standing(context, (PART,)) is Standing.CLEAR


@given(
    "a target that crashes {seconds:g} s after a request to it was cancelled"
)
def step_cancelled(context, seconds):
    suspects = suspects_lib.Suspects()
    target = site_lib.target()
    for number, ago_s in ((1, seconds), (2, seconds + 2.0)):
        request, found = attempt(
            (PART,),
            began_at=900.0,
            broke_at=1000.0 - ago_s,
            number=number,
        )
        suspects.on_abandoned(target, request, found)
    request, found = attempt(("r1",), began_at=999.0, broke_at=1000.0, number=3)
    suspects.on_broken(target, request, found)
    context.case = suspects.on_checked(target)


@given("a target that crashes after {count:d} requests to it were cancelled")
def step_many_cancelled(context, count):
    suspects = suspects_lib.Suspects()
    target = site_lib.target()
    for number in range(count):
        request, found = attempt(
            (PART,), began_at=998.0, broke_at=999.0, number=100 + number
        )
        suspects.on_abandoned(target, request, found)
    request, found = attempt(("r1",), began_at=999.0, broke_at=1000.0, number=3)
    suspects.on_broken(target, request, found)
    context.case = suspects.on_checked(target)


@then(
    "the case of the target names {count:d} requests, and that whose connection"
    " broke"
)
def step_not_hidden(context, count):
    ids = {found.request_id for found in context.case.suspects.values()}
    assert len(ids) == count and "3" in ids, ids


@then("the case of the target names that request")
def step_named(context):
    ids = {found.request_id for found in context.case.suspects.values()}
    assert {"1", "3"} <= ids, ids
    (part,) = fingerprint.compute_parts(scene_subject((PART,)))
    assert part in context.case.list_parts()


@then("one that was cancelled {seconds:g} s before is not named")
def step_not_named(context, seconds):
    ids = {found.request_id for found in context.case.suspects.values()}
    assert "2" not in ids, ids


@given("a quarantine whose targets crashed on a part")
def step_crashed_on_part(context):
    step_quarantine(context)
    step_different(context, 3)


@when("targets crash under {count:d} requests with other parts")
def step_flood(context, count):
    for number in range(count):
        crash(context, ((f"x{number}",), 1000 + number))
        context.now -= 5.0


@then("the ledger holds {count:d} requests and parts")
def step_bounded(context, count):
    assert len(context.quarantine.ledger) == count
