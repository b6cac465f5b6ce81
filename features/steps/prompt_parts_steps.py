"""Steps on parts of prompts that crash targets, with real processes."""

import json
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from features.harness import prompt_parts
from features.harness import respawn
from features.steps import platform_steps
from jasperweir.components.quarantine import fingerprint

BACK_SECONDS = 2.0
# Harmless requests alone, and then beside the others.
BEFORE_SECONDS = 3.0
BESIDE_SECONDS = 12.0
CALLERS = 12
# Time within which the check of a target is in the log.
LOGGED_SECONDS = 3.0


@given(
    "three VMs with control and entry, and eight targets that crash on a part"
)
def step_start(context):
    plat = platform_lib.Platform(context.folder)
    context.local = plat
    context.plat = plat
    plat.start_all()
    context.targets = respawn.Respawner(
        plat,
        range(1, 9),
        back_s=BACK_SECONDS,
        crash_parts=(prompt_parts.CRASHING, prompt_parts.OTHER_CRASHING),
    )
    context.respawner = context.targets
    document = platform_lib.document(7)
    plat.wait("the configuration", lambda: plat.replace(1, document) == 200)
    platform_steps.settle(plat)


@when(
    "a {kind} with that part arrives every {every_s:g} s beside harmless ones"
)
def step_beside(context, kind, every_s):
    load = prompt_parts.Load(context.plat, kind=kind)
    context.add_cleanup(load.stop)
    context.load = load
    load.start_harmless(CALLERS)
    context.began_at = time.monotonic()
    time.sleep(BEFORE_SECONDS)
    context.crashing_at = time.monotonic()
    shared = prompt_parts.SHARED
    load.start_crashing(
        lambda number: (
            prompt_parts.FIRST,
            shared[number % len(shared)],
            prompt_parts.CRASHING,
        ),
        every_s,
    )
    time.sleep(BESIDE_SECONDS)
    context.ended_at = time.monotonic()
    load.stop()


@then(
    "{seconds:g} s after the third crash at most {count:d} requests with it"
    " reach targets"
)
def step_reach(context, seconds, count):
    arrived = [row["at"] for row in context.targets.records("arrived")]
    crashed = [row["at"] for row in context.targets.records("crashed")]
    assert crashed, "no target crashed"
    context.known_at = crashed[min(len(crashed), 3) - 1] + seconds
    late = [at for at in arrived if at > context.known_at]
    assert len(late) <= count, (len(late), len(arrived), len(crashed))


@then("requests with it are rejected as not run, with code {code}")
def step_rejected(context, code):
    replies = [
        reply
        for reply in context.load.crashing_replies
        if reply.at > context.known_at
    ]
    found = [(reply.status, reply.code) for reply in replies]
    assert len(found) >= 10, found
    others = [reply for reply in found if reply != (503, code)]
    assert len(others) <= 3, others


@then("{share:g} of the harmless requests are served as before")
def step_served(context, share):
    before = context.load.served(context.began_at, context.crashing_at)
    since = context.known_at + BACK_SECONDS
    after = context.load.served(since, context.ended_at)
    assert after >= share * before, (before, after)


def list_logged_parts(folder):
    """Return the parts that logs name for each target that crashed."""
    found = {}
    for path in folder.glob("entry-*.log"):
        for line in path.read_text().splitlines():
            if '"target checked"' not in line or not line.endswith("}"):
                continue
            row = json.loads(line)
            if row["sign"] == "ended":
                parts = found.setdefault(row["target"], set())
                parts |= {part for run in row["runs"] for part in run["parts"]}
    return found


@then("the log of the entries names that part for each crashed target")
def step_logged(context):
    crashed = {row["target"] for row in context.targets.records("crashed")}
    assert len(crashed) >= 2, crashed
    context.plat.wait(
        "the lines of all crashed targets",
        lambda: crashed <= set(list_logged_parts(context.plat.folder)),
        LOGGED_SECONDS,
    )
    found = list_logged_parts(context.plat.folder)
    common = set.intersection(*(found[target] for target in crashed))
    assert fingerprint_of(prompt_parts.CRASHING).label in common, found


def fingerprint_of(part):
    """Return the fingerprint of a part of the prompts of the customer."""
    subject = fingerprint.Subject(
        method=b"",
        host=b"",
        target=b"",
        customer="one",
        body=b"",
        service="m",
        prompt_parts=(part,),
    )
    (found,) = fingerprint.compute_parts(subject)
    return found
