"""Steps for claims of idempotency keys."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import claims
from features.harness import draws
from jasperweir.components.claims import const
from jasperweir.components.claims import messages
from jasperweir.components.claims import owner as owner_lib
from jasperweir.components.registry import ops


@given("{count:d} entries that own claims")
def start_owners(context, count):
    context.cluster = claims.ClaimCluster(
        [f"e{i}" for i in range(1, count + 1)]
    )
    context.claim_count = 0


def claim(context, key, name=""):
    context.claim_count += 1
    cluster = context.cluster
    alive = sorted(set(cluster.claim_owners) - cluster.frozen)
    context.rid = f"r{context.claim_count}"
    cluster.claim(name or alive[-1], key, context.rid)


@when('"{one}" and "{two}" claim "{key}" at once')
def claim_at_once(context, one, two, key):
    claim(context, key, one)
    claim(context, key, two)
    context.cluster.run(2)


@then('exactly one of them is granted and the other gets "held"')
def one_granted(context):
    verdicts = sorted(context.cluster.verdicts.values())
    assert verdicts == [const.GRANTED, const.HELD], verdicts


@when('"{key}" is claimed')
def first_claim(context, key):
    claim(context, key)
    context.cluster.run(2)
    assert context.cluster.verdicts[context.rid] == const.GRANTED


@when('"{key}" is claimed again')
def second_claim(context, key):
    claim(context, key)
    context.cluster.run(2)


@when("a whole data centre is lost at once and the view changes")
def lose_data_centre(context):
    cluster = context.cluster
    for name in [
        n for n in cluster.claim_owners if int(n[1:]) % cluster.places == 1
    ]:
        cluster.kill(name)
    cluster.change_view()
    cluster.run(8)


@then("every partition is repaired and no key is refused")
def nothing_refused(context):
    assert context.cluster.repaired()
    for i in range(30):
        claim(context, f"fresh{i}")
    context.cluster.run(3)
    verdicts = {context.cluster.verdicts[f"r{i}"] for i in range(2, 32)}
    assert verdicts == {const.GRANTED}, verdicts


def lose_owner(cluster, name):
    cluster.kill(name)
    cluster.change_view()
    cluster.run(8)
    assert cluster.repaired()


@when('the primary of "{key}" is lost and the view changes')
def lose_primary(context, key):
    lose_owner(context.cluster, context.cluster.owners(key)[0])


@when('two owners of "{key}" are lost at once')
def lose_two_owners(context, key):
    cluster = context.cluster
    for name in cluster.owners(key)[:2]:
        cluster.kill(name)
    cluster.change_view()
    cluster.run(8)


@when("the claim window and the authority of the lost owners expire")
def claims_expire(context):
    context.cluster.run(claims.WINDOW + const.AUTHORITY_TIMEOUT_SECONDS + 1)


@when(
    'one owner of "{key}" restarts empty and another is lost before the repair'
)
def restart_and_lose(context, key):
    cluster = context.cluster
    first, second = cluster.owners(key)[:2]
    cluster.kill(first)
    cluster.start(first)
    cluster.change_view()
    cluster.kill(second)
    cluster.change_view()
    cluster.run(8)


@when("every entry has been cut off from control for {seconds:d} seconds")
def cut_off_from_control(context, seconds):
    context.cluster.no_control = set(context.cluster.claim_owners)
    context.cluster.run(seconds)


@when('the primary of "{key}" is frozen and the view changes')
def freeze_primary(context, key):
    cluster = context.cluster
    context.old_primary = cluster.owners(key)[0]
    cluster.frozen.add(context.old_primary)
    cluster.change_view()
    cluster.run(8)


@when('the frozen entry resumes and claims "{key}" itself')
def resume_and_claim(context, key):
    cluster = context.cluster
    cluster.frozen.clear()
    cluster.no_control.add(context.old_primary)
    claim(context, key, context.old_primary)
    cluster.run(3)


@when('"{key}" is claimed with another body')
def claim_with_other_body(context, key):
    cluster = context.cluster
    context.replies = []
    record = messages.Record(
        key=key, digest=2, rid="other", target="t", target_inc=1, http="t"
    )
    cluster.perform(
        "e1",
        cluster.clients["e1"].send_request(
            record=record,
            expect=0,
            done=context.replies.append,
            deadline=cluster.now + 2,
            now=cluster.now,
        ),
    )
    cluster.run(2)


@then('the answer is "{verdict}" and contains no record')
def answer_without_record(context, verdict):
    assert [r.verdict for r in context.replies] == [verdict]
    assert context.replies[0].record is None


@then('the second claim gets "{verdict}"')
def second_claim_gets(context, verdict):
    assert context.cluster.verdicts[context.rid] == verdict, (
        context.cluster.verdicts
    )


@then("the second claim is not granted")
def second_claim_not_granted(context):
    assert context.cluster.verdicts[context.rid] != const.GRANTED


@then("no key is granted twice")
def no_double_grant(context):
    assert all(len(g) <= 1 for g in context.cluster.granted.values())


EVENTS = ("claim", "claim", "claim", "claim", "run", "run", "kill", "start",
          "view", "view", "cut", "heal", "isolate", "rejoin", "freeze",
          "thaw", "lossy", "clean", "long")  # fmt: skip


def schedule(seed, events):
    """Run one random schedule; the harness checks every grant."""
    cluster = claims.ClaimCluster([f"e{i}" for i in range(1, 6)], seed=seed)
    rng = random.Random(seed)
    for number, event in enumerate(events):
        name = f"e{rng.randint(1, 5)}"
        alive = name in cluster.claim_owners
        match event:
            case "claim" if alive and name not in cluster.frozen:
                cluster.claim(name, f"k{rng.randint(1, 3)}", f"r{number}")
            case "run":
                cluster.run(rng.uniform(0.1, 4))
            case "long":
                cluster.run(rng.choice((20, 70, 190)))
            case "kill":
                cluster.kill(name)
            case "start" if not alive:
                cluster.start(name)
            case "view":
                cluster.change_view()
            case "cut":
                other = f"e{rng.randint(1, 5)}"
                cluster.cut.add(frozenset((name, other)))
            case "heal":
                cluster.cut.clear()
            case "isolate":
                cluster.no_control.add(name)
            case "rejoin":
                cluster.no_control.discard(name)
            case "freeze" if alive:
                cluster.frozen.add(name)
            case "thaw":
                cluster.frozen.clear()
            case "lossy":
                cluster.loss = 0.3
            case "clean":
                cluster.loss = 0.0


@then("{count:d} random schedules of {length:d} events grant no key twice")
def random_schedules(context, count, length):
    draws.schedules(count, length, EVENTS, schedule)


def create_unrepaired_primary():
    """Return a primary in view 2 that is not repaired, and a record."""
    members = (("e1", 1, "p"), ("e2", 1, "p"), ("e3", 1, "p"))
    owner = owner_lib.ClaimOwner(name="e1", inc=1, window=60)
    owner.on_view(ops.View(1, members), 0.0)
    moved = (("e1", 1, "p"), ("e2", 1, "p"), ("e4", 1, "p"))
    owner.on_view(ops.View(2, moved, members), 0.0)
    owner.confirm(2, 0.0)
    key = next(
        f"k{i}" for i in range(999) if owner.primary(f"k{i}") == ("e1", 1)
    )
    record = messages.Record(
        key=key, digest=1, rid="r", target="t", target_inc=1, http="t"
    )
    return owner, record


def check_unrepaired_owner():
    owner, record = create_unrepaired_primary()
    ask = messages.Replicate(2, record._replace(version=1, remaining=60.0))
    assert owner.receive("e2", 1, ask, 0.0) == []


def check_unrepaired_primary():
    owner, record = create_unrepaired_primary()
    ask = messages.ClaimRequest(2, "a", record, 0)
    out = owner.receive("e2", 1, ask, 0.0)
    assert [a.msg.verdict for a in out] == [const.RETRY]


def check_repair_in_new_view():
    owner, _ = create_unrepaired_primary()
    ask = messages.SyncRequest(3, tuple(range(256)))
    assert owner.receive("e4", 1, ask, 0.0) == []


CLAIM_RULES = {
    "an unrepaired owner does not count": check_unrepaired_owner,
    "an unrepaired primary grants nothing": check_unrepaired_primary,
    "repairs are answered in the new view only": check_repair_in_new_view,
}


@then("this rule of claims holds: {rule}")
def check_claim_rule(context, rule):
    CLAIM_RULES[rule]()
