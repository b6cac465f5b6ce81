"""Steps on the life of a request."""

import os
import pathlib

from behave import given
from behave import then
from behave import when

from features.harness import world

GOLDEN = pathlib.Path(__file__).parent.parent / "golden"
STEPS = 12
ALL_FAULTS = sorted({f for faults in world.FAULTS.values() for f in faults})

# Name of a golden session: faults by the number of the action they hit,
# then the requests: rid, keyed, first.
SESSIONS = {
    "keyed-first-try": ({}, [("a", True, True)]),
    "keyed-lost-answer": ({3: "lost answer"}, [("a", True, True)]),
    "keyed-entry-dies-before-dispatch": (
        {3: "entry dies"},
        [("a", True, True), ("b", True, False)],
    ),
    "keyed-agent-restarts": (
        {3: "restart after"},
        [("a", True, True), ("b", True, False)],
    ),
    "plain-broken-stream-resumes": ({2: "break"}, [("a", False, True)]),
    "plain-target-unreachable": ({1: "unsent"}, [("a", False, True)]),
    "keyed-resend-replays": ({}, [("a", True, True), ("b", True, False)]),
}


def play(faults, requests):
    """Run requests one after the other in one world."""
    scene = world.World(faults)
    for rid, keyed, first in requests:
        scene.request(rid, keyed=keyed, first=first)
    return scene


def keyed_with_resends():
    return [("a", True, True), ("b", True, False), ("c", True, False)]


@when("a keyed request meets every fault at each of its steps")
def single_faults(context):
    context.met = set()
    for at in range(STEPS):
        for fault in ALL_FAULTS:
            scene = play({at: fault}, keyed_with_resends())
            context.met.update(scene.met)
    # Attach and Revoke are only reached after another fault.
    for at in range(4, STEPS):
        for fault in ALL_FAULTS:
            for opener in ("lost answer", "lost request", "entry dies"):
                scene = play({3: opener, at: fault}, keyed_with_resends())
                context.met.update(scene.met)


@when("a keyed request meets every pair of faults")
def keyed_pairs(context):
    pairs(keyed_with_resends())


@when("a request without a key meets every pair of faults")
def plain_pairs(context):
    pairs([("a", False, True)])


def pairs(requests):
    """Play each fault that is met, followed by each other one."""
    for one in range(STEPS):
        for first in ALL_FAULTS:
            if not play({one: first}, requests).met:
                continue
            for two in range(one + 1, STEPS + 4):
                for second in ALL_FAULTS:
                    play({one: first, two: second}, requests)


@then("every answer was true and nothing ran twice")
def truth(context):
    """The world asserts on each answer; getting here is the proof."""


@then("all faults of the table were met")
def all_met(context):
    assert context.met == set(ALL_FAULTS), set(ALL_FAULTS) - context.met


@given("the first try ran and its entry died")
def first_ran(context):
    context.scene = world.World({4: "entry dies"})
    assert context.scene.request("a", keyed=True, first=True) == "entry died"
    assert len(context.scene.runs) == 1


@when("a resend finds no target")
def resend_no_target(context):
    context.scene.faults = {context.scene.count: "no target"}
    context.told = context.scene.request("b", keyed=True, first=False)


@when("a first try finds no target")
def first_no_target(context):
    scene = world.World({0: "no target"})
    context.told = scene.request("a", keyed=True, first=True)


@then('the resend is told "{outcome}"')
@then('it is told "{outcome}"')
def told(context, outcome):
    assert context.told == outcome, context.told


@then('the session of "{name}" is as recorded')
def golden(context, name):
    scene = play(*SESSIONS[name])
    text = "\n".join([*scene.log, f"runs: {scene.runs}"]) + "\n"
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(text, encoding="utf-8")
    assert path.read_text(encoding="utf-8") == text, text
