"""Steps on evacuated data centres with real processes."""

import contextlib
import io
import json
import signal
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from features.steps import platform_steps
from jasperweir import result_codes
from jasperweir.cli import main as cli

VMS = platform_steps.VMS
CONTROL_METRICS = 9102
PLACES = {"p": 1, "q": 2}
CALLS = 20
CONTROLS = ",".join(
    f"{platform_lib.control_ip(n)}:{CONTROL_METRICS}" for n in VMS
)


@given("three VMs with control and entry, and a target each in {_}")
def step_start(context, _):
    plat = platform_lib.Platform(context.folder)
    context.local = context.plat = plat
    plat.start_all()
    for place, number in PLACES.items():
        plat.start_target(number, "m", extra=("--zone", place))
    document = platform_lib.document(7)
    plat.wait("the configuration", lambda: plat.replace(1, document) == 200)
    platform_steps.settle(plat)
    plat.wait("a request to q", lambda: count_new(plat, "q", VMS) > 0)


def order(plat, number, call):
    address = f"{platform_lib.control_ip(number)}:{platform_lib.CONTROL}"
    return plat.call(address, "POST", call, b"")


def count_new(plat, place, entries):
    """Send requests through entries; return how many reached a target."""
    number = PLACES[place]
    before = len(plat.told(number)["seen"])
    for count in range(CALLS):
        for entry in entries:
            status, _, _ = plat.request(entry, "/safe/x", f"{entry}-{count}")
            assert status == 200, status
    return len(plat.told(number)["seen"]) - before


@when('the operator evacuates "{place}" at VM {number:d}')
def step_evacuate(context, place, number):
    status = order(context.plat, number, f"/Drain.Create/{place}")[0]
    assert status == 200, status


@when('the operator withdraws the evacuation of "{place}" at VM {number:d}')
def step_withdraw(context, place, number):
    status = order(context.plat, number, f"/Drain.Terminate/{place}")[0]
    assert status == 200, status


@then('no entry sends a request to the target in "{place}" {seconds:g} s later')
def step_none_sent(context, place, seconds):
    time.sleep(seconds)
    found = count_new(context.plat, place, VMS)
    assert not found, found


@then('each entry sends requests to the target in "{place}"')
def step_sent(context, place):
    for entry in VMS:
        context.plat.wait(
            "a request",
            lambda entry=entry: count_new(context.plat, place, [entry]) > 0,
        )


@then("the evacuation of a data centre that doesn't exist is answered 404")
def step_unknown(context):
    status, _, body = order(context.plat, 1, "/Drain.Create/nowhere")
    assert status == 404, status
    assert json.loads(body)["name"] == "UNKNOWN_DATA_CENTRE", body


@when("all processes are killed and started")
def step_kill_all(context):
    plat = context.plat
    names = [f"{role}-{n}" for role in ("control", "entry") for n in VMS]
    for name in names:
        plat.signal(name, signal.SIGKILL)
    for name in names:
        plat.procs[name].wait(timeout=5)
    for number in VMS:
        plat.start("control", number, bootstrap=False)
        plat.start("entry", number, bootstrap=False)
    platform_steps.settle(plat)


@then("each entry's page shows {count:d} evacuated data centre")
def step_page(context, count):
    for number in VMS:
        ip = platform_lib.control_ip(number)
        address = f"{ip}:{platform_lib.ENTRY_METRICS}"
        page = context.plat.call(address, "GET", "/metrics")[2].decode()
        lines = [
            line
            for line in page.splitlines()
            if line.startswith("jasperweir_data_centres_evacuated")
        ]
        assert [float(x.split()[-1]) for x in lines] == [count], lines


def run_command(*words):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = cli.main(["evacuate", *words, "--control", CONTROLS])
    assert code == 0, (code, out.getvalue())
    return out.getvalue()


@when('the operator evacuates "{place}" by command')
def step_command(context, place):
    run_command("create", place)


@when('the operator withdraws the evacuation of "{place}" by command')
def step_withdraw_command(context, place):
    run_command("withdraw", place)


@then('the command lists "{places}"')
def step_lists(context, places):
    found = json.loads(run_command("list"))
    assert found["evacuated"] == places.split(","), found


@then(
    'each entry answers 503 with the code "{name}" and a return time'
    " {seconds:g} s later"
)
def step_refused(context, name, seconds):
    time.sleep(seconds)
    code = str(int(result_codes.Code[name.upper()]))
    for entry in VMS:
        status, headers, _ = context.plat.request(entry, "/safe/x", "r")
        found = (status, headers.get("jasperweir-code"))
        assert found == (503, code), found
        assert float(headers["retry-after"]) > 0
