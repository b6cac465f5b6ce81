"""Steps on outdated configurations with real processes."""

import signal
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib

# Longer than the interval at which a control VM saves what is committed.
SAVED_SECONDS = 1.2


def make_document(version, service):
    """Return a configuration whose plain route leads to a service."""
    doc = platform_lib.document(version)
    doc["services"] = [
        {"name": name, "healthPath": "/healthz"} for name in ("m", "n")
    ]
    for route in doc["routes"]:
        if route["pathPrefix"] == "/safe/":
            route["service"] = service
    return doc


@given("three VMs with control and entry, and a target of each of two services")
def step_start(context):
    plat = platform_lib.Platform(context.folder)
    context.local = context.plat = plat
    plat.start_all()
    plat.start_target(1, "m")
    plat.start_target(2, "n")
    doc = make_document(7, "m")
    plat.wait("the configuration", lambda: plat.replace(1, doc) == 200)
    for number in (1, 2, 3):
        plat.wait(
            "a served request",
            lambda n=number: plat.request(n, "/safe/x", f"w{n}")[0] == 200,
        )


def end(plat, name):
    """Kill a process and wait for its end."""
    plat.signal(name, signal.SIGKILL)
    plat.procs[name].wait(timeout=5)


@when("version 8 moves a route while the third control VM is down")
def step_move_route(context):
    plat = context.plat
    time.sleep(SAVED_SECONDS)
    end(plat, "control-3")
    doc = make_document(8, "n")
    plat.wait("version 8", lambda: plat.replace(1, doc) == 200)


@when("only the third control VM and its entry start again")
def step_start_third(context):
    plat = context.plat
    for name in ("control-1", "control-2", "entry-3"):
        end(plat, name)
    plat.start("control", 3, bootstrap=False)
    plat.start("entry", 3, bootstrap=False)
    context.ran_before = len(plat.told(1)["seen"])


@then("requests there are refused and reach no target for {seconds:g} s")
def step_refused(context, seconds):
    plat = context.plat
    until = time.monotonic() + seconds
    statuses = set()
    while time.monotonic() < until:
        try:
            rid = f"r{time.monotonic()}"
            statuses.add(plat.request(3, "/safe/x", rid)[0])
        except OSError:
            # The process is still loading.
            time.sleep(0.05)
    assert statuses == {503}, statuses
    assert len(plat.told(1)["seen"]) == context.ran_before


@when("the other control VMs start again")
def step_start_others(context):
    for number in (1, 2):
        context.plat.start("control", number, bootstrap=False)


@then("requests there are served as version 8 says")
def step_served(context):
    plat = context.plat
    before = len(plat.told(1)["seen"])
    plat.wait(
        "a served request",
        lambda: plat.request(3, "/safe/x", f"s{time.monotonic()}")[0] == 200,
    )
    assert len(plat.told(1)["seen"]) == before
