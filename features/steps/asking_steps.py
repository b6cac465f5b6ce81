"""Steps on targets that ask for something, with real processes."""

import itertools
import json
import threading
import time

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from features.steps import platform_steps

TARGETS = (1, 2, 3, 4)
WINDOW = 4.0
# What may still be on its way when a target asks for rest, seconds.
ON_ITS_WAY = 0.5


@given("three VMs with control and entry, and four targets")
def step_start(context):
    plat = platform_lib.Platform(context.folder)
    context.local = context.plat = plat
    plat.start_all()
    for number in TARGETS:
        plat.start_target(number, "m")
    document = platform_lib.document(7)
    plat.wait("the configuration", lambda: plat.replace(1, document) == 200)
    platform_steps.settle(plat)
    context.known = []


class Caller(threading.Thread):
    """Call one entry after the other, one request at a time."""

    def __init__(self, *, plat, number, until):
        super().__init__()
        self.answers = []
        self._plat = plat
        self._number = number
        self._until = until

    def run(self):
        for count in itertools.count():
            if time.monotonic() >= self._until:
                return
            entry = platform_steps.VMS[(self._number + count) % 3]
            rid = f"{entry}/{self._number}/{count}"
            status, headers, _ = self._plat.request(entry, "/safe/x", rid)
            code = headers.get("jasperweir-code")
            self.answers.append((time.monotonic(), status, code))


def call(context, count, seconds):
    until = time.monotonic() + seconds
    callers = [
        Caller(plat=context.plat, number=number, until=until)
        for number in range(count)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    context.answers = [a for caller in callers for a in caller.answers]


@when(
    "{count:d} callers call for {seconds:g} s"
    " while the first target asks for 3 s of rest"
)
def step_one_rests(context, count, seconds):
    context.plat.tell(1, refuse=True, rest="3")
    call(context, count, seconds)


@when(
    "{count:d} callers call for {seconds:g} s"
    " while all targets ask for 3 s of rest"
)
def step_all_rest(context, count, seconds):
    for number in TARGETS:
        context.plat.tell(number, refuse=True, rest="3")
    call(context, count, seconds)


@when(
    "{count:d} callers call for {seconds:g} s"
    " while the first target says it leaves"
)
def step_leaves(context, count, seconds):
    context.plat.tell(1, leaving="1")
    call(context, count, seconds)


@when(
    "{count:d} callers call for {seconds:g} s"
    " while the first target takes {limit:g} a second"
)
def step_limited(context, count, seconds, limit):
    context.limit = limit
    context.plat.tell(1, limit=str(limit))
    context.began = time.monotonic()
    call(context, count, seconds)
    context.ended = time.monotonic()


def by_entry(rows):
    """Return the times of a target's rows, by the entry that sent them."""
    found = {}
    for at, rid in rows:
        if rid.count("/") == 2:
            found.setdefault(rid[0], []).append(at)
    return found


@then("no entry has sent it more than {most:d} requests within a rest")
def step_rest_kept(context, most):
    worst = 0
    for number in TARGETS:
        told = context.plat.told(number)
        arrivals = by_entry(told["arrivals"])
        for entry, times in by_entry(told["refused"]).items():
            for asked in times:
                within = [
                    at
                    for at in arrivals[entry]
                    if asked + ON_ITS_WAY <= at < asked + 3.0
                ]
                worst = max(worst, len(within))
    assert worst <= most, worst


@then("every caller was answered {status:d}")
def step_all_answered(context, status):
    others = [a for a in context.answers if a[1] != status]
    assert not others, (len(others), len(context.answers), others[:5])


@then("{seconds:g} s after its end every caller is answered {status:d}")
def step_after(context, seconds, status):
    for number in TARGETS:
        context.plat.tell(number, refuse=False)
    time.sleep(seconds)
    call(context, 12, 1.0)
    step_all_answered(context, status)


@then(
    "no entry has sent it a request later than {seconds:g} s"
    " after its first word"
)
def step_left_alone(context, seconds):
    for entry, times in by_entry(context.plat.told(1)["arrivals"]).items():
        assert max(times) <= min(times) + seconds, (entry, times)


@then("from {since:g} s on it gets no more than {most:d} requests in any 4 s")
def step_limit_kept(context, since, most):
    told = by_entry(context.plat.told(1)["arrivals"])
    times = sorted(at for found in told.values() for at in found)
    context.times = [at for at in times if at >= times[0] + since]
    for at in context.times:
        count = sum(at <= other < at + WINDOW for other in context.times)
        assert count <= most, count


@then("at least {share:g} of its limit is used")
def step_limit_used(context, share):
    span = context.ended - context.times[0]
    used = len(context.times) / (context.limit * span)
    assert used >= share, used


@then("an entry shows 1 limited target, and a log line of its limit")
def step_shown(context):
    ip = platform_lib.control_ip(1)
    address = f"{ip}:{platform_lib.ENTRY_METRICS}"
    _, _, page = context.plat.call(address, "GET", "/metrics")
    shown = [
        line
        for line in page.decode().splitlines()
        if line.startswith("jasperweir_targets_asking")
        and 'signal="limited"' in line
    ]
    assert [line.split()[-1] for line in shown] == ["1.0"], shown
    log = (context.plat.folder / "entry-1.log").read_text().splitlines()
    lines = [json.loads(line) for line in log if '"target limited"' in line]
    assert [line["limit_per_s"] for line in lines] == [context.limit], lines


@when("callers of the first entry hear that the first target leaves")
def step_one_hears(context):
    context.plat.tell(1, leaving="1")
    for count in range(20):
        context.plat.request(1, "/safe/x", f"1/0/{count}")
    assert by_entry(context.plat.told(1)["arrivals"]), "it was never asked"


@then("the other entries send it nothing from {seconds:g} s later on")
def step_others_know(context, seconds):
    time.sleep(seconds)
    for count in range(20):
        for entry in (2, 3):
            rid = f"{entry}/0/{count}"
            assert context.plat.request(entry, "/safe/x", rid)[0] == 200
    assert set(by_entry(context.plat.told(1)["arrivals"])) == {"1"}
