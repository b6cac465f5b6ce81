"""Steps on requests under which targets end."""

import contextlib
import http.client
import json
import signal
import subprocess
import sys
import threading
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from features.harness import respawn
from features.steps import platform_steps
from features.steps import process_steps
from standins import deployment
from standins import local as local_lib

BACK_SECONDS = 1.5
# Between two tries of a request that ends targets.
AGAIN_SECONDS = 0.8
BODY = b"x ends what runs it"


@given(
    "three VMs with control and entry, and six targets that end under {text}"
)
def step_start(context, text):
    plat = platform_lib.Platform(context.folder)
    context.local = plat
    context.plat = plat
    plat.start_all()
    context.targets = respawn.Respawner(
        plat, range(1, 7), ends_on=text.strip('"'), back_s=BACK_SECONDS
    )
    context.respawner = context.targets
    context.document = platform_lib.document(7)
    plat.wait(
        "the configuration",
        lambda: plat.replace(1, context.document) == 200,
    )
    platform_steps.settle(plat)


@when("a {kind} request that ends targets comes {count:d} times, in turn")
def step_comes(context, kind, count):
    context.answers = []
    for number in range(count):
        entry = platform_steps.VMS[number % 3]
        path = f"/{kind}/x"
        try:
            answer = context.plat.request(entry, path, f"try-{number}", BODY)
        except (OSError, http.client.HTTPException) as exc:
            # Its answer was broken off.
            answer = (0, {}, str(exc).encode())
        context.answers.append(answer)
        time.sleep(AGAIN_SECONDS)


@then("it has ended no more than {count:d} targets")
def step_few(context, count):
    ended = context.targets.bodies()
    assert set(ended) <= {BODY}, ended
    answers = [(a[0], a[1].get("jasperweir-code")) for a in context.answers]
    assert len(ended) <= count, (len(ended), answers)


@then("other requests are answered whole through every entry")
def step_others(context):
    time.sleep(BACK_SECONDS)
    for number in platform_steps.VMS:
        status, _, body = context.plat.request(
            number, "/safe/y", f"other-{number}", b"well"
        )
        assert (status, body) == (200, b"ran well"), (status, body)


@then("the log of the entries names one content for each target that ended")
def step_named(context):
    ended = len(context.targets.bodies())
    lines = []
    for path in context.plat.folder.glob("entry-*.log"):
        for line in path.read_text().splitlines():
            if '"target checked"' in line:
                lines.append(json.loads(line))
    assert 0 < len(lines) == ended, (ended, lines)
    assert {line["sign"] for line in lines} == {"ended"}, lines
    contents = {label for line in lines for label in line["requests"]}
    assert len(contents) == 1, contents


@given("they end after some events")
def step_midway(context):
    context.targets.events = 3
    for number in range(1, 7):
        # The next start has it.
        context.plat.signal(f"target-{number}", signal.SIGKILL)
    time.sleep(BACK_SECONDS + 1.0)
    platform_steps.settle(context.plat)


@when("the third entry is killed and starts again")
def step_restart(context):
    plat = context.plat
    time.sleep(0.5)
    plat.signal("entry-3", signal.SIGKILL)
    plat.procs["entry-3"].wait(timeout=5)
    plat.start("entry", 3)
    platform_steps.settle(plat)


@then("a {kind} request that ends targets is refused there")
def step_refused_there(context, kind):
    status, headers, _ = context.plat.request(3, f"/{kind}/x", "there", BODY)
    assert (status, headers["jasperweir-code"]) == (503, "2009"), status
    assert float(headers["retry-after"]) > 500


def command(*args):
    done = subprocess.run(
        [sys.executable, "-m", "jasperweir", "held", *args],
        capture_output=True,
        timeout=20,
        check=True,
    )
    return [json.loads(line) for line in done.stdout.splitlines()]


def metrics_of(number):
    ip = platform_lib.control_ip(number)
    return f"{ip}:{platform_lib.ENTRY_METRICS}"


@then("the command line lists it at each entry")
def step_listed(context):
    for number in platform_steps.VMS:
        (row,) = command("list", "--entry", metrics_of(number))
        assert row["ends"] == 2 and row["held_s"] > 500, row


@when("an operator lifts it by the command line at the first entry")
def step_lifted(context):
    (row,) = command("list", "--entry", metrics_of(1))
    lifted = command(
        "lift", "--entry", metrics_of(1), "--content", row["content"]
    )
    assert lifted == [row["content"]], lifted
    time.sleep(0.5)


@then("a {kind} request that ends targets ends more targets at the third")
def step_ends_more(context, kind):
    before = len(context.targets.bodies())
    with contextlib.suppress(OSError, http.client.HTTPException):
        context.plat.request(3, f"/{kind}/x", "after", BODY)
    assert len(context.targets.bodies()) > before


# The own interface.


@given('a running deployment whose engines end under "{text}" and come back')
def step_own(context, text):
    context.local = local_lib.LocalDeployment(folder=context.folder)
    process_steps.write_bundle(context, 60)
    context.engines = respawn.Engines(context.local, ends_on=text)
    context.respawner = context.engines
    deployment.bring_up_nodes(context.local, context.bundle, group=False)
    for address in context.local.entry_http():
        context.local.wait_for(
            "an answer", lambda address=address: ask(context, address) == 200
        )


def ask(context, address, *texts):
    body = {
        "model": "m",
        "max_tokens": 5,
        "messages": [
            {"role": "user", "content": text} for text in texts or ("hello",)
        ],
    }
    resp = context.local.http.request(
        "POST",
        f"http://{address}/v1/chat/completions",
        body=json.dumps(body),
        headers={"Jasperweir-Deadline": "5"},
        timeout=10.0,
    )
    context.code = resp.headers.get("Jasperweir-Code")
    return resp.status


@when("a request that ends engines comes {count:d} times, at entries in turn")
def step_own_comes(context, count):
    context.answers = []
    addresses = context.local.entry_http()
    for number in range(count):
        status = ask(context, addresses[number % 3], "x ends what runs it")
        context.answers.append((status, context.code))
        time.sleep(AGAIN_SECONDS)


@when(
    "requests with a message that ends engines and others of their own come"
    " {count:d} times, at entries in turn"
)
def step_own_parts_come(context, count):
    context.answers = []
    addresses = context.local.entry_http()
    for number in range(count):
        texts = ("you are a clerk", "x ends what runs it", f"own {number}")
        status = ask(context, addresses[number % 3], *texts)
        context.answers.append((status, context.code))
        time.sleep(AGAIN_SECONDS)


@then(
    "the last try was told by code {code} that it has not run, and others with"
    " the same first message are answered"
)
def step_own_parts_told(context, code):
    assert context.answers[-1] == (503, code), context.answers
    for address in context.local.entry_http():
        context.local.wait_for(
            "an answer",
            lambda address=address: (
                ask(context, address, "you are a clerk", "own") == 200
            ),
        )


@then("it has ended no more than {count:d} engines")
def step_own_few(context, count):
    ended = len(context.engines.ended)
    assert 0 < ended <= count, (ended, context.answers)


@then("the last try was told that it has not run, and another is answered")
def step_own_told(context):
    assert context.answers[-1] == (503, "2009"), context.answers
    for address in context.local.entry_http():
        context.local.wait_for(
            "an answer", lambda address=address: ask(context, address) == 200
        )


@when("six streams of one content run and all targets are killed at once")
def step_power(context):
    plat = context.plat

    def stream(number):
        entry = platform_steps.VMS[number % 3]
        with contextlib.suppress(OSError, http.client.HTTPException):
            plat.request(entry, "/stream/x", f"power-{number}", b"well")

    threads = [
        threading.Thread(target=stream, args=(number,)) for number in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.15)
    for number in range(1, 7):
        plat.signal(f"target-{number}", signal.SIGKILL)
    for thread in threads:
        thread.join()


@then(
    "that content is answered whole at every entry"
    " within {seconds:g} s of their return"
)
def step_served_again(context, seconds):
    plat = context.plat

    def announced():
        return len(context.targets.ended) == 6 and all(
            plat.procs[f"target-{number}"].poll() is None
            for number in range(1, 7)
        )

    plat.wait("the targets' return", announced, 10.0)
    time.sleep(seconds)
    seen = []
    for number in platform_steps.VMS:
        status, headers, _ = plat.request(
            number, "/stream/x", f"again-{number}", b"well"
        )
        seen.append((status, headers.get("jasperweir-code")))
    assert seen == [(200, None)] * 3, seen
