"""Steps on outdated configurations with real processes."""

import http.client
import signal
import threading
import time

from behave import given
from behave import then
from behave import when

from features.harness import configuration_changes
from features.harness import platform as platform_lib

# Longer than the interval at which a control VM saves what is committed.
SAVED_SECONDS = 1.2
# Time for which an entry is asked after its start.
ASKED_SECONDS = 4.0
# Time within which the retry budget of a service without requests allows some.
# A stream that was refused before it moved is a retry.
BURST_SECONDS = 8.0
# Time after which a process no longer hears those that it is deaf to.
CUT_SECONDS = 0.1
DEAF_PROGRAM = [str(platform_lib.ROOT / "features/harness/deaf_role.py")]


@given("three VMs with control and entry, and a target of each of two services")
def step_start(context):
    plat = platform_lib.Platform(context.folder)
    context.local = context.plat = plat
    for number in (1, 2, 3):
        plat.start("control", number)
        plat.start("entry", number, program=DEAF_PROGRAM)
    plat.start_target(1, "m")
    plat.start_target(2, "n")
    doc = configuration_changes.make_document(7)
    plat.wait("the configuration", lambda: plat.replace(1, doc) == 200)
    for number in (1, 2, 3):
        plat.wait(
            "a served request",
            lambda n=number: (
                configuration_changes.ask(plat, n, "moved").service == "m"
            ),
        )
    context.entry = 3


def end(plat, name):
    """Kill a process and wait for its end."""
    plat.signal(name, signal.SIGKILL)
    plat.procs[name].wait(timeout=5)


def find_leader(plat):
    """Return the number of the control VM that leads."""
    leaders = {}
    for number in (1, 2, 3):
        log = (plat.folder / f"control-{number}.log").read_text()
        for line in log.splitlines():
            if '"role changed"' in line and '"is_now":"leader"' in line:
                at = float(line.partition('"at":')[2].partition(",")[0])
                leaders[at] = number
    return leaders[max(leaders)]


@given("the third entry is deaf to {whom}")
def step_deaf(context, whom):
    plat = context.plat
    leader = find_leader(plat)
    others = [number for number in (1, 2, 3) if number != leader]
    numbers = {
        "nobody": [],
        "the leader": [leader],
        "one control VM": others[:1],
        "all but one control VM": [leader, others[0]],
    }[whom]
    names = [
        f"{platform_lib.control_ip(n)}:{platform_lib.INTERNAL_PORT}"
        for n in numbers
    ]
    (plat.folder / "entry-3.deaf").write_text("\n".join(names))
    time.sleep(3.0)


@when("version 8 moves a route while the third control VM is down")
def step_move_route(context):
    plat = context.plat
    time.sleep(SAVED_SECONDS)
    end(plat, "control-3")
    acknowledge(context)


@when(
    "version 8 moves a route, adds one and a key, drops one and revokes a key"
)
def acknowledge(context):
    plat = context.plat
    doc = configuration_changes.make_document(8)
    plat.wait("version 8", lambda: plat.replace(1, doc) == 200)
    context.acked_at = time.monotonic()


@when("only the third control VM and its entry start again")
def step_start_third(context):
    plat = context.plat
    for name in ("control-1", "control-2", "entry-3"):
        end(plat, name)
    plat.start("control", 3, bootstrap=False)
    plat.start("entry", 3, bootstrap=False)


@when("{what} are killed and start again")
def step_restart(context, what):
    plat = context.plat
    names = {
        "the third entry": ["entry-3"],
        "the third entry and control VM": ["entry-3", "control-3"],
        "all entries and control VMs": sorted(
            name for name in plat.procs if not name.startswith("target")
        ),
        "the control VMs": ["control-1", "control-2", "control-3"],
    }[what]
    for name in names:
        plat.signal(name, signal.SIGKILL)
    for name in names:
        plat.procs[name].wait(timeout=5)
    for name in names:
        role, _, number = name.partition("-")
        plat.start(role, int(number), bootstrap=False)


@given("the third entry gets all messages {seconds:g} s late")
def step_slow_link(context, seconds):
    (context.plat.folder / "entry-3.deaf").write_text(f"delay {seconds}")
    time.sleep(3.0)


@given("a connection to each entry on which a request was served")
def step_kept_connections(context):
    context.conns = {
        number: http.client.HTTPConnection(
            platform_lib.control_ip(number), platform_lib.CALLERS, timeout=5.0
        )
        for number in (1, 2, 3)
    }
    for number, conn in context.conns.items():
        seen = configuration_changes.ask(context.plat, number, "moved", conn)
        assert seen.service == "m", seen


@then(
    "requests on these connections are decided as version 8 says {seconds:g} s"
    " after its acknowledgement"
)
def step_decides_on_kept(context, seconds):
    time.sleep(max(context.acked_at + seconds - time.monotonic(), 0.0))
    for number, conn in context.conns.items():
        for name in configuration_changes.NAMES:
            seen = configuration_changes.ask(context.plat, number, name, conn)
            assert seen.versions == {8}, (number, name, seen)


@when(
    "answers to the entries become {seconds:g} s late and version 8 is"
    " acknowledged"
)
def step_late_answers(context, seconds):
    plat = context.plat
    controls = [
        f"{platform_lib.control_ip(n)}:{platform_lib.INTERNAL_PORT}"
        for n in (1, 2, 3)
    ]
    lines = "\n".join(f"late {seconds} {name}" for name in controls)
    for number in (1, 2, 3):
        (plat.folder / f"entry-{number}.deaf").write_text(lines)
    time.sleep(CUT_SECONDS)
    acknowledge(context)


@then(
    "requests on these connections are not decided as only version 7 says later"
    " than {seconds:g} s after that"
)
def step_none_old_on_kept(context, seconds):
    time.sleep(max(context.acked_at + seconds - time.monotonic(), 0.0))
    found = []
    until = time.monotonic() + ASKED_SECONDS
    while time.monotonic() < until:
        for number, conn in context.conns.items():
            for name in ("moved", "revoked key"):
                seen = configuration_changes.ask(
                    context.plat, number, name, conn
                )
                found.append((number, seen))
    old = [item for item in found if item[1].versions == {7}]
    assert not old, (len(old), len(found), old[:3])


@when("the answers are on time again")
def step_on_time(context):
    for number in (1, 2, 3):
        (context.plat.folder / f"entry-{number}.deaf").write_text("")


@when(
    "{count:d} resumed streams wait at each entry while version 8 moves their"
    " route"
)
def step_resumed_wait(context, count):
    plat = context.plat
    time.sleep(BURST_SECONDS)
    plat.tell(1, refuse=True)
    context.found = found = []

    def run(number):
        found.append(
            configuration_changes.ask(
                plat, number, "moved stream", resume_after="2"
            )
        )

    threads = [
        threading.Thread(target=run, args=(number,))
        for number in (1, 2, 3)
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    assert not found, found[:3]
    acknowledge(context)
    for thread in threads:
        thread.join()


@then("all of them are run by the new service")
def step_run_by_new(context):
    assert context.found
    others = [seen for seen in context.found if seen.service != "n"]
    assert not others, others[:5]


@when("the fourth entry starts")
def step_fourth(context):
    context.plat.start("entry", 4, bootstrap=False)
    context.entry = 4


@when("the third entry is suspended while version 8 is acknowledged")
def step_suspend(context):
    context.plat.signal("entry-3", signal.SIGSTOP)
    acknowledge(context)


@when("{count:d} requests wait for it when it wakes {seconds:g} s later")
def step_wake(context, count, seconds):
    plat = context.plat
    time.sleep(seconds - 0.5)
    context.found = found = []

    def run():
        found.append(configuration_changes.ask(plat, 3, "moved", wait_s=6.0))

    threads = [threading.Thread(target=run) for _ in range(count)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    plat.signal("entry-3", signal.SIGCONT)
    for thread in threads:
        thread.join()
    assert len(found) == count


@then("no request there is decided as only version 7 says")
def step_no_old(context):
    plat = context.plat
    found = list(getattr(context, "found", []))
    until = time.monotonic() + ASKED_SECONDS
    while time.monotonic() < until:
        for name in configuration_changes.NAMES:
            try:
                found.append(
                    configuration_changes.ask(plat, context.entry, name)
                )
            except OSError:
                # The process is still loading, or was killed.
                time.sleep(0.05)
    old = [seen for seen in found if seen.versions == {7}]
    assert not old, old[:5]


@then("each entry decides as version 8 says {seconds:g} s later")
def step_later(context, seconds):
    context.acked_at = time.monotonic() + seconds - 2.0
    step_decides(context, 2.0)


@then(
    "each entry decides as version 8 says {seconds:g} s after its"
    " acknowledgement"
)
def step_decides(context, seconds):
    plat = context.plat
    time.sleep(max(context.acked_at + seconds - time.monotonic(), 0.0))
    for number in (1, 2, 3):
        for name in configuration_changes.NAMES:
            seen = configuration_changes.ask(plat, number, name)
            assert seen.versions == {8}, (number, name, seen)


@then("requests there are refused and reach no target for {seconds:g} s")
def step_refused(context, seconds):
    plat = context.plat
    until = time.monotonic() + seconds
    statuses = set()
    while time.monotonic() < until:
        try:
            seen = configuration_changes.ask(plat, 3, "moved")
            statuses.add((seen.status, seen.service))
        except OSError:
            # The process is still loading.
            time.sleep(0.05)
    assert statuses == {(503, "")}, statuses


@when("the other control VMs start again")
def step_start_others(context):
    for number in (1, 2):
        context.plat.start("control", number, bootstrap=False)


@then("requests there are served as version 8 says")
def step_served(context):
    plat = context.plat
    services = set()

    def is_served():
        services.add(configuration_changes.ask(plat, 3, "moved").service)
        return "n" in services

    plat.wait("a served request", is_served)
    assert services <= {"", "n"}, services


def set_deaf(plat, name, numbers):
    """Make a process deaf to the control VMs with these numbers."""
    senders = [
        f"{platform_lib.control_ip(n)}:{platform_lib.INTERNAL_PORT}"
        for n in numbers
    ]
    (plat.folder / f"{name}.deaf").write_text("\n".join(senders))


@given("links between control VMs that can be cut")
def step_cuttable(context):
    plat = context.plat
    for number in (1, 2, 3):
        end(plat, f"control-{number}")
        plat.start("control", number, bootstrap=False, program=DEAF_PROGRAM)
    for number in (1, 2, 3):
        plat.wait("a read", lambda n=number: plat.describe(n)[0] == 200)
    # The entries hear the control VMs that have started again.
    time.sleep(1.0)


@when("the leader acknowledges version 8, falls silent, and nobody is elected")
def step_falls_silent(context):
    plat = context.plat
    context.leader = leader = find_leader(plat)
    others = [number for number in (1, 2, 3) if number != leader]
    for number in others:
        set_deaf(plat, f"control-{number}", [n for n in others if n != number])
    for number in (1, 2, 3):
        set_deaf(plat, f"entry-{number}", [leader])
    time.sleep(CUT_SECONDS)
    doc = configuration_changes.make_document(8)
    plat.wait("version 8", lambda: plat.replace(leader, doc) == 200)
    plat.signal(f"control-{leader}", signal.SIGSTOP)
    context.acked_at = time.monotonic()


@then(
    "no entry decides as only version 7 says later than {seconds:g} s after"
    " that"
)
def step_none_old(context, seconds):
    plat = context.plat
    time.sleep(max(context.acked_at + seconds - time.monotonic(), 0.0))
    until = time.monotonic() + ASKED_SECONDS
    old = []
    while time.monotonic() < until:
        for number in (1, 2, 3):
            for name in configuration_changes.NAMES:
                seen = configuration_changes.ask(plat, number, name)
                if seen.versions == {7}:
                    old.append((number, seen))
    assert not old, (len(old), old[:3])


@when("the leader is heard again")
def step_heard_again(context):
    plat = context.plat
    plat.signal(f"control-{context.leader}", signal.SIGCONT)
    for number in (1, 2, 3):
        set_deaf(plat, f"control-{number}", [])
        set_deaf(plat, f"entry-{number}", [])
