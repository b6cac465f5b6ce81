"""Steps on claims."""

import random

from behave import given
from behave import then
from behave import when

from features.harness import claims
from features.harness import draws
from jasperweir.components.claims import const
from jasperweir.components.claims import keeper as keeper_lib
from jasperweir.components.claims import messages
from jasperweir.components.registry import ops


@given("{count:d} entries that own claims")
def entries(context, count):
    context.own = claims.Owners([f"e{i}" for i in range(1, count + 1)])
    context.tries = 0


def claim(context, key, name=""):
    context.tries += 1
    own = context.own
    alive = sorted(set(own.keepers) - own.frozen)
    context.rid = f"r{context.tries}"
    own.claim(name or alive[-1], key, context.rid)


@when('"{one}" and "{two}" claim "{key}" at once')
def both(context, one, two, key):
    claim(context, key, one)
    claim(context, key, two)
    context.own.run(2)


@then("exactly one of them is granted and the other is told held")
def one_granted(context):
    verdicts = sorted(context.own.verdicts.values())
    assert verdicts == [const.GRANTED, const.HELD], verdicts


@when('"{key}" is claimed')
def first_claim(context, key):
    claim(context, key)
    context.own.run(2)
    assert context.own.verdicts[context.rid] == const.GRANTED


@when('"{key}" is claimed again')
def second_claim(context, key):
    claim(context, key)
    context.own.run(2)


@when("a whole place is lost at once and the view follows")
def lose_place(context):
    own = context.own
    for name in [n for n in own.keepers if int(n[1:]) % own.places == 1]:
        own.kill(name)
    own.change_view()
    own.run(8)


@then("every range is repaired and no key is refused")
def nothing_refused(context):
    assert context.own.repaired()
    for i in range(30):
        claim(context, f"fresh{i}")
    context.own.run(3)
    told = {context.own.verdicts[f"r{i}"] for i in range(2, 32)}
    assert told == {const.GRANTED}, told


def lose(own, name):
    own.kill(name)
    own.change_view()
    own.run(8)
    assert own.repaired()


@when('the primary of "{key}" is lost and the view follows')
def lose_primary(context, key):
    lose(context.own, context.own.owners(key)[0])


@when('two owners of "{key}" are lost at once')
def lose_two(context, key):
    own = context.own
    for name in own.owners(key)[:2]:
        own.kill(name)
    own.change_view()
    own.run(8)


@when("the window and the authority of lost owners pass")
def window_passes(context):
    context.own.run(claims.WINDOW + const.AUTHORITY_SECONDS + 1)


@when(
    'one owner of "{key}" restarts empty and another is lost before the repair'
)
def restart_and_lose(context, key):
    own = context.own
    first, second = own.owners(key)[:2]
    own.kill(first)
    own.start(first)
    own.change_view()
    own.kill(second)
    own.change_view()
    own.run(8)


@when("every entry has been without control for {seconds:d} seconds")
def without_control(context, seconds):
    context.own.no_control = set(context.own.keepers)
    context.own.run(seconds)


@when('the primary of "{key}" is frozen and the view follows')
def freeze_primary(context, key):
    own = context.own
    context.old = own.owners(key)[0]
    own.frozen.add(context.old)
    own.change_view()
    own.run(8)


@when('the frozen entry thaws and claims "{key}" itself')
def thaw_and_claim(context, key):
    own = context.own
    own.frozen.clear()
    own.no_control.add(context.old)
    claim(context, key, context.old)
    own.run(3)


@when('"{key}" is claimed with another body')
def other_body(context, key):
    own = context.own
    context.replies = []
    record = messages.Record(
        key=key, digest=2, rid="other", target="t", target_inc=1, http="t"
    )
    own.perform(
        "e1",
        own.clients["e1"].ask(
            record=record,
            expect=0,
            done=context.replies.append,
            deadline=own.now + 2,
            now=own.now,
        ),
    )
    own.run(2)


@then('the answer is "{verdict}" and holds no record')
def answer_is(context, verdict):
    assert [r.verdict for r in context.replies] == [verdict]
    assert context.replies[0].record is None


@then('the second claim is told "{verdict}"')
def told(context, verdict):
    assert context.own.verdicts[context.rid] == verdict, context.own.verdicts


@then("the second claim is not granted")
def not_granted(context):
    assert context.own.verdicts[context.rid] != const.GRANTED


@then("nobody is granted twice")
def no_double(context):
    assert all(len(g) <= 1 for g in context.own.granted.values())


EVENTS = ("claim", "claim", "claim", "claim", "run", "run", "kill", "start",
          "view", "view", "cut", "heal", "isolate", "rejoin", "freeze",
          "thaw", "lossy", "clean", "long")  # fmt: skip


def schedule(seed, events):
    """Run one schedule; the harness asserts on every grant."""
    own = claims.Owners([f"e{i}" for i in range(1, 6)], seed=seed)
    rng = random.Random(seed)
    for number, event in enumerate(events):
        name = f"e{rng.randint(1, 5)}"
        alive = name in own.keepers
        match event:
            case "claim" if alive and name not in own.frozen:
                own.claim(name, f"k{rng.randint(1, 3)}", f"r{number}")
            case "run":
                own.run(rng.uniform(0.1, 4))
            case "long":
                own.run(rng.choice((20, 70, 190)))
            case "kill":
                own.kill(name)
            case "start" if not alive:
                own.start(name)
            case "view":
                own.change_view()
            case "cut":
                other = f"e{rng.randint(1, 5)}"
                own.cut.add(frozenset((name, other)))
            case "heal":
                own.cut.clear()
            case "isolate":
                own.no_control.add(name)
            case "rejoin":
                own.no_control.discard(name)
            case "freeze" if alive:
                own.frozen.add(name)
            case "thaw":
                own.frozen.clear()
            case "lossy":
                own.loss = 0.3
            case "clean":
                own.loss = 0.0


@then("{count:d} random schedules of {length:d} events grant no key twice")
def random_claims(context, count, length):
    draws.schedules(count, length, EVENTS, schedule)


def unrepaired():
    """Return a primary that entered view 2 and has heard no old owner."""
    members = (("e1", 1, "p"), ("e2", 1, "p"), ("e3", 1, "p"))
    keeper = keeper_lib.Keeper(name="e1", inc=1, window=60)
    keeper.on_view(ops.View(1, members), 0.0)
    moved = (("e1", 1, "p"), ("e2", 1, "p"), ("e4", 1, "p"))
    keeper.on_view(ops.View(2, moved, members), 0.0)
    keeper.confirm(2, 0.0)
    key = next(
        f"k{i}" for i in range(999) if keeper.primary(f"k{i}") == ("e1", 1)
    )
    record = messages.Record(
        key=key, digest=1, rid="r", target="t", target_inc=1, http="t"
    )
    return keeper, record


def unrepaired_owner():
    keeper, record = unrepaired()
    ask = messages.Replicate(2, record._replace(version=1, remaining=60.0))
    assert keeper.receive("e2", 1, ask, 0.0) == []


def unrepaired_primary():
    keeper, record = unrepaired()
    ask = messages.Ask(2, "a", record, 0)
    out = keeper.receive("e2", 1, ask, 0.0)
    assert [a.msg.verdict for a in out] == [const.RETRY]


def repairs_in_new_view():
    keeper, _ = unrepaired()
    ask = messages.SyncAsk(3, tuple(range(256)))
    assert keeper.receive("e4", 1, ask, 0.0) == []


CLAIM_GUARDS = {
    "an unrepaired owner does not count": unrepaired_owner,
    "an unrepaired primary grants nothing": unrepaired_primary,
    "repairs are answered in the new view only": repairs_in_new_view,
}


@then("the claims' guard holds: {guard}")
def claim_guard(context, guard):
    CLAIM_GUARDS[guard]()
