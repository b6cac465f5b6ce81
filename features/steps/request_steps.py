"""Steps for the state machine of a request."""

import os
import pathlib

from behave import given
from behave import then
from behave import when

from features.harness import world

GOLDEN = pathlib.Path(__file__).parent.parent / "golden"
STEPS = 12
ALL_FAULTS = sorted({f for faults in world.FAULTS.values() for f in faults})

# Faults by the number of the affected action, and requests (rid, keyed, first)
# of each golden session.
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


def run_requests(faults, requests):
    """Run requests one after the other in one simulated world."""
    simulation = world.World(faults)
    for rid, keyed, first in requests:
        simulation.request(rid, keyed=keyed, first=first)
    return simulation


def keyed_with_resends():
    return [("a", True, True), ("b", True, False), ("c", True, False)]


@when("a keyed request meets every fault at each of its steps")
def run_single_faults(context):
    context.occurred = set()
    for at in range(STEPS):
        for fault in ALL_FAULTS:
            simulation = run_requests({at: fault}, keyed_with_resends())
            context.occurred.update(simulation.injected)
    # Attach and Revoke need an earlier fault.
    for at in range(4, STEPS):
        for fault in ALL_FAULTS:
            for earlier in ("lost answer", "lost request", "entry dies"):
                simulation = run_requests(
                    {3: earlier, at: fault}, keyed_with_resends()
                )
                context.occurred.update(simulation.injected)


@when("a keyed request meets every pair of faults")
def run_keyed_fault_pairs(context):
    run_fault_pairs(keyed_with_resends())


@when("a request without a key meets every pair of faults")
def run_unkeyed_fault_pairs(context):
    run_fault_pairs([("a", False, True)])


def run_fault_pairs(requests):
    """Run each fault that occurs, followed by each other fault."""
    for one in range(STEPS):
        for first in ALL_FAULTS:
            if not run_requests({one: first}, requests).injected:
                continue
            for two in range(one + 1, STEPS + 4):
                for second in ALL_FAULTS:
                    run_requests({one: first, two: second}, requests)


@then("every answer was correct and no request ran twice")
def answers_correct(context):
    """Nothing to check: the simulated world asserts on each answer."""


@then("all faults of the table have occurred")
def all_faults_occurred(context):
    assert context.occurred == set(ALL_FAULTS), (
        set(ALL_FAULTS) - context.occurred
    )


@given("the first try ran and its entry died")
def first_try_ran(context):
    context.simulation = world.World({4: "entry dies"})
    assert (
        context.simulation.request("a", keyed=True, first=True) == "entry died"
    )
    assert len(context.simulation.runs) == 1


@when("the request is resent and finds no target")
def resend_without_target(context):
    context.simulation.faults = {context.simulation.action_count: "no target"}
    context.outcome = context.simulation.request("b", keyed=True, first=False)


@when("a first try finds no target")
def first_try_without_target(context):
    simulation = world.World({0: "no target"})
    context.outcome = simulation.request("a", keyed=True, first=True)


@then('the resent request gets "{outcome}"')
@then('it gets "{outcome}"')
def outcome_is(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('the session "{name}" is as recorded')
def session_as_recorded(context, name):
    simulation = run_requests(*SESSIONS[name])
    text = "\n".join([*simulation.log, f"runs: {simulation.runs}"]) + "\n"
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(text, encoding="utf-8")
    assert path.read_text(encoding="utf-8") == text, text
