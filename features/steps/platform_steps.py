"""Steps on real processes under the platform's settings."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from jasperweir.components.balance import const as balance_const

VMS = (1, 2, 3)


@given("three VMs with control and entry, and two targets")
def step_start(context):
    start(context)


def start(context, control_program=None):
    plat = platform_lib.Platform(context.folder)
    context.local = plat
    context.plat = plat
    plat.start_all(control_program=control_program)
    for number in (1, 2):
        plat.start_target(number, "m")
    context.document = platform_lib.document(7)
    plat.wait(
        "the configuration",
        lambda: plat.replace(1, context.document) == 200,
    )
    settle(plat)


def settle(plat):
    for number in VMS:
        plat.wait("ready", lambda number=number: plat.ready(number))
        plat.wait(
            "three addresses",
            lambda number=number: len(plat.addresses(number)) == 3,
        )
        plat.wait(
            "a served request",
            lambda number=number: (
                plat.request(number, "/safe/x", "w")[0] == 200
            ),
        )


@then("every entry is ready and named to callers")
def step_ready(context):
    want = {f"{platform_lib.control_ip(n)}:{platform_lib.CALLERS}" for n in VMS}
    for number in VMS:
        assert context.plat.ready(number)
        assert set(context.plat.addresses(number)) == want


@then("plain requests and streams are answered whole through every entry")
def step_whole(context):
    plat = context.plat
    for number in VMS:
        status, headers, body = plat.request(
            number, "/book/1", f"b{number}", b"two seats"
        )
        assert (status, body) == (200, b"ran two seats"), status
        assert headers["server-signature"]
        status, _, body = plat.request(number, "/stream/1", f"s{number}", b"")
        assert status == 200
        assert body.count(b"data: piece") == 10, body


@then("the target saw the customer's name and not its key")
def step_customer(context):
    seen = context.plat.told(1)["seen"] + context.plat.told(2)["seen"]
    assert seen
    for headers in seen:
        assert headers["tenant"] == "one"
        assert "authorization" not in headers
        assert headers["target-instance"].startswith("i-")


@then("each control VM returns the configuration as it was sent")
def step_returns(context):
    for number in VMS:
        status, body = context.plat.describe(number)
        assert status == 200
        assert json.loads(body) == context.document


@then("an unknown path is answered 404, and an unknown key 401")
def step_denied(context):
    plat = context.plat
    assert plat.request(1, "/nowhere/", "x")[0] == 404
    assert plat.request(1, "/safe/x", "x", key="wrong")[0] == 401


@then("a request that smuggles a second one is answered 400")
def step_smuggle(context):
    head = (
        b"POST /book/1 HTTP/1.1\r\nHost: caller.example\r\n"
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    got = context.plat.raw(1, head + b"0\r\n\r\nGET /safe/x HTTP/1.1\r\n\r\n")
    assert b" 400 " in got.split(b"\r\n")[0], got
    assert got.count(b"HTTP/1.1") == 1


@then("a body above the limit is answered 413")
def step_body(context):
    big = b"x" * 70_000
    assert context.plat.request(1, "/book/1", "big", big)[0] == 413


@then("a head above the limit is answered 431")
def step_head(context):
    got = context.plat.raw(
        1,
        b"GET /safe/x HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 20_000 + b"\r\n\r\n",
    )
    assert b" 431 " in got.split(b"\r\n")[0], got[:80]


@then("a configuration that is cut short is refused")
def step_cut_short(context):
    raw = json.dumps(platform_lib.document(9)).encode()[:-20]
    assert context.plat.replace(2, raw) == 400


@then("a configuration with {what} is refused")
def step_invalid(context, what):
    doc = platform_lib.document(9)
    match what:
        case "an unknown service":
            doc["routes"][0]["service"] = "nobody"
        case "two routes at one place":
            doc["routes"][1]["pathPrefix"] = "/stream/"
        case "weights of 0":
            doc["routes"][0]["backends"] = [{"service": "m", "weight": 0}]
        case "a timeout of 0":
            doc["routes"][0]["timeoutMs"] = 0
        case "a shared key":
            doc["tenants"].append(
                {"name": "two", "apiKeys": [platform_lib.KEY]}
            )
    assert context.plat.replace(2, doc) == 400, what


@when("both targets break their next stream off after 4 events")
def step_break(context):
    context.plat.tell(1, break_after=4)
    context.plat.tell(2, break_after=4)


@then("a stream through an entry has every event once")
def step_once(context):
    status, _, body = context.plat.request(1, "/stream/1", "resumed", b"")
    ids = [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
    assert status == 200
    assert ids == list(range(1, 11)), ids


@when("both targets refuse")
def step_refuse(context):
    context.plat.tell(1, refuse=True)
    context.plat.tell(2, refuse=True)


@when("both targets serve again")
def step_serve(context):
    context.plat.tell(1, refuse=False)
    context.plat.tell(2, refuse=False)


def runs(plat):
    return plat.told(1)["runs"] + plat.told(2)["runs"]


@then("a booking is answered 503 with a time to come back, and did not run")
def step_refused(context):
    status, headers, _ = context.plat.request(1, "/book/1", "refused", b"x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert "refused" not in runs(context.plat)


@then("a booking is run once")
def step_booked(context):
    status, _, _ = context.plat.request(1, "/book/1", "booked", b"x")
    assert status == 200
    assert runs(context.plat).count("booked") == 1


@given("the entries have run for so long that their start is over")
def step_start_over(context):
    # What comes sooner is kept, since targets may be starting as well.
    time.sleep(balance_const.START_SECONDS)


@when("{count:d} callers are refused that will still wait 5 s")
def step_refused_first(context, count):
    for number in range(count):
        status, _, _ = context.plat.request(1, "/stream/1", f"f{number}", b"")
        assert status == 503


@then("the first of them was sent to both targets, and the last to one")
def step_sent(context):
    # A moment for the last lines to be written.
    time.sleep(0.3)
    log = (context.plat.folder / "entry-1.log").read_text()
    failed = [x for x in log.splitlines() if '"send failed"' in x]
    sent = [sum(f'"{rid}"' in x for x in failed) for rid in ("f0", "f3")]
    assert sent == [2, 1], sent


@when("one comes back with 3 s left, and the targets serve 0.5 s later")
def step_comes_back(context):
    timer = threading.Timer(0.5, step_serve, [context])
    timer.start()
    context.answer = context.plat.request(
        1, "/stream/1", "again", b"", Deadline_Ms="3000"
    )
    timer.join()


@then("it is answered whole, and its request was run once")
def step_answered_whole(context):
    status, _, body = context.answer
    assert status == 200, status
    assert body.count(b"data: piece") == 10, body
    assert runs(context.plat).count("again") == 1


@when("a caller leaves a long stream")
def step_leave(context):
    context.plat.tell(1, events=200)
    context.plat.tell(2, events=200)
    address = (platform_lib.control_ip(1), platform_lib.CALLERS)
    with socket.create_connection(address) as sock:
        sock.sendall(
            b"POST /stream/1 HTTP/1.1\r\nHost: caller.example\r\n"
            b"Attempt-Id: gone\r\nDeadline-Ms: 9000\r\n"
            b"Authorization: Bearer key-of-one\r\nContent-Length: 0\r\n\r\n"
        )
        sock.recv(100)
    time.sleep(1.0)


@then("no event of it is made a second later")
def step_no_event(context):
    log = (context.plat.folder / "entry-1.log").read_text()
    ended = [json.loads(x) for x in log.splitlines() if '"gone"' in x]
    assert any(x.get("outcome") == "caller gone" for x in ended), ended[-3:]


@when("an entry is told to stop in the midst of streams")
def step_stop(context):
    context.answers = []

    def stream(number):
        got = context.plat.request(1, "/stream/1", f"long{number}", b"")
        context.answers.append(got)

    context.plat.tell(1, events=40)
    context.plat.tell(2, events=40)
    threads = [threading.Thread(target=stream, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    context.plat.signal("entry-1", signal.SIGTERM)
    context.stopped_at = time.monotonic()
    for thread in threads:
        thread.join(timeout=10)


@then("the streams end whole")
def step_end_whole(context):
    assert len(context.answers) == 6
    for status, _, body in context.answers:
        assert status == 200
        assert body.count(b"data: piece") == 40


@then("callers are not sent to it any more")
def step_not_sent(context):
    gone = f"{platform_lib.control_ip(1)}:{platform_lib.CALLERS}"
    assert gone not in context.plat.addresses(2)
    assert not context.plat.ready(1)


@then("it ends by itself with code 0")
def step_ends(context):
    code = context.plat.procs["entry-1"].wait(timeout=10)
    assert code == 0, code
    assert time.monotonic() - context.stopped_at < 8.0


@when("version 20 is acknowledged and all processes are killed and started")
def step_kill_all(context):
    plat = context.plat
    context.document = platform_lib.document(20)
    assert plat.replace(2, context.document) == 200
    names = [f"{role}-{n}" for role in ("control", "entry") for n in VMS]
    for name in names:
        plat.signal(name, signal.SIGKILL)
    for name in names:
        plat.procs[name].wait(timeout=5)
    for number in VMS:
        plat.start("control", number, bootstrap=False)
        plat.start("entry", number, bootstrap=False)
    settle(plat)


@then("each control VM returns version 20")
def step_version(context):
    plat = context.plat
    for number in VMS:
        plat.wait(
            "a read", lambda number=number: plat.describe(number)[0] == 200
        )
        assert json.loads(plat.describe(number)[1])["version"] == 20


@then("a role's process imports the standard module named platform")
def step_standard(context):
    code = (
        "import runpy, sys; sys.argv = ['platform/run.py', '--help']\n"
        "try: runpy.run_path('platform/run.py', run_name='__main__')\n"
        "except SystemExit: pass\n"
        "import platform; print(platform.system())"
    )
    env = {**os.environ, "PYTHONPATH": ""}
    out = subprocess.run(
        [sys.executable, "-c", code],
        cwd=platform_lib.ROOT, env=env, capture_output=True, text=True,
        check=True,
    ).stdout  # fmt: skip
    assert out.strip().endswith("Linux"), out


@then("a role that gets SIGHUP while it loads ends only for want of settings")
def step_reload_while_loading(context):
    code = (
        "import builtins, os, runpy, signal, sys\n"
        # Under nohup it would be ignored from the start.
        "signal.signal(signal.SIGHUP, signal.SIG_DFL)\n"
        "real = builtins.__import__\n"
        "def hooked(name, *rest, **more):\n"
        "    if name == 'adapter':\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return real(name, *rest, **more)\n"
        "builtins.__import__ = hooked\n"
        "sys.argv = ['platform/run.py', 'entry']\n"
        "sys.path.insert(0, 'platform')\n"
        "runpy.run_path('platform/run.py', run_name='__main__')"
    )
    env = {**os.environ, "PYTHONPATH": ""}
    env.pop("JASPERWEIR_CONFIG", None)
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=platform_lib.ROOT, env=env, capture_output=True, check=False,
    )  # fmt: skip
    assert done.returncode == 2, done.returncode


@then("a control process that has just started has not loaded it")
def step_no_numeric_library(context):
    code = (
        "import sys, jasperweir.daemons.site_control\n"
        "print('numpy' in sys.modules)"
    )
    out = subprocess.run(
        [sys.executable, "-c", code],
        cwd=platform_lib.ROOT, capture_output=True, text=True, check=True,
    ).stdout  # fmt: skip
    assert out.strip() == "False", out
