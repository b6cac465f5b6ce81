"""Steps on VMs that are suspended."""

import asyncio
import json
import pathlib
import re
import signal
import threading
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.harness import platform as platform_lib
from features.harness import quorum as quorum_lib
from features.harness import suspend
from features.steps import platform_steps
from jasperweir import core
from jasperweir.daemons import loop_host
from jasperweir.helpers import clocks

ROOT = pathlib.Path(__file__).resolve().parents[2]
STEADY = re.compile(r"\btime\.(monotonic|perf_counter)(_ns)?\b|asyncio\.run\(")
# The one place that turns the system's clocks into the product's.
CLOCKS = "jasperweir/helpers/clocks.py"


class SystemClocks:
    """The system's clocks, moved by hand."""

    def __init__(self):
        self.steady = 100.0
        self.boot = 100.0
        self._patches = [
            mock.patch.object(time, "monotonic", lambda: self.steady),
            mock.patch.object(time, "clock_gettime", self._read),
        ]

    def _read(self, which):
        return self.boot if which == time.CLOCK_BOOTTIME else self.steady

    def start(self):
        for patch in self._patches:
            patch.start()

    def stop(self):
        for patch in self._patches:
            patch.stop()

    def advance(self, seconds):
        self.steady += seconds
        self.boot += seconds

    def suspend(self, seconds):
        self.boot += seconds


@given("a voter that leads with a lease, by the clock of the system")
def step_lease(context):
    context.clocks = SystemClocks()
    context.clocks.start()
    context.add_cleanup(context.clocks.stop)
    context.clock = core.SystemClock()
    net = quorum_lib.Cluster(["a", "b", "c"])
    net.now = context.clock.monotonic()
    net.bootstrap("a")
    net.run(5.0)
    context.clocks.advance(net.now - context.clock.monotonic())
    context.voter = net.voters[net.leader()]
    assert context.voter.read_index(context.clock.monotonic()) is not None


@when("its VM is suspended for {seconds:g} s")
def step_suspend(context, seconds):
    context.clocks.suspend(seconds)


@then("it confirms no read")
def step_no_read(context):
    assert context.voter.read_index(context.clock.monotonic()) is None


@given("the event loop of a role")
def step_loop(context):
    pass


@when("its VM is suspended for {seconds:g} s while a timer of {timer:g} s runs")
def step_timer(context, seconds, timer):
    clocks = SystemClocks()

    async def play():
        fired = []
        asyncio.get_running_loop().call_later(timer, fired.append, True)
        await asyncio.sleep(0)
        clocks.suspend(seconds)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return fired

    clocks.start()
    try:
        context.fired = loop_host.run(play)
    finally:
        clocks.stop()


@then("the timer is due at once")
def step_due(context):
    assert context.fired


@then("no module of the product reads it")
def step_no_module(context):
    wrong = []
    for folder in ("jasperweir", "platform"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            name = str(path.relative_to(ROOT))
            if name == CLOCKS:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if STEADY.search(line):
                    wrong.append(f"{name}:{number}")
    assert not wrong, wrong


# A real entry.


@given("the first entry runs on a VM that can be suspended")
def step_suspendable(context):
    plat = context.plat
    plat.signal("entry-1", signal.SIGKILL)
    plat.procs["entry-1"].wait(timeout=5)
    plat.start("entry", 1, program=["-m", suspend.__name__])
    platform_steps.settle(plat)


@when("a caller that waits {seconds:g} s resumes a stream there")
def step_resumes(context, seconds):
    context.got = []

    def call():
        address = f"{platform_lib.control_ip(1)}:{platform_lib.CALLERS}"
        fields = {
            "Host": platform_lib.HOST,
            "Attempt-Id": "suspended",
            "Deadline-Ms": str(int(seconds * 1000)),
            "Last-Event-Id": "2",
            "Authorization": f"Bearer {platform_lib.KEY}",
        }
        context.got.append(
            context.plat.call(address, "POST", "/stream/1", b"", fields, t=10)
        )

    context.caller = threading.Thread(target=call)
    context.caller.start()
    time.sleep(0.3)
    assert not context.got, context.got


@when("the VM is suspended for {seconds:g} s, while both targets serve again")
def step_suspend_process(context, seconds):
    assert seconds == suspend.SUSPEND_SECONDS
    context.plat.signal("entry-1", signal.SIGUSR1)
    time.sleep(0.5)
    for number in (1, 2):
        context.plat.tell(number, refuse=False)


@then("the caller is refused, and no target has run its request")
def step_refused(context):
    context.caller.join(timeout=10)
    status = context.got[0][0]
    runs = sum((context.plat.told(n)["runs"] for n in (1, 2)), [])
    assert "suspended" not in runs, (status, runs)
    assert status in (503, 504), status


# A real control VM.


@given("three VMs whose control VMs can be suspended, and two targets")
def step_controls(context):
    platform_steps.start(context, control_program=["-m", suspend.__name__])


def leader(plat):
    """Return the number of the control VM that became leader last."""
    terms = {}
    for number in platform_steps.VMS:
        log = plat.folder / f"control-{number}.log"
        for line in log.read_text().splitlines():
            if '"is_now":"leader"' in line:
                terms[json.loads(line)["term"]] = number
    return terms[max(terms)]


@when("the leading one is suspended for {seconds:g} s")
def step_suspend_leader(context, seconds):
    assert seconds == suspend.SUSPEND_SECONDS
    context.leader = leader(context.plat)
    context.plat.signal(f"control-{context.leader}", signal.SIGUSR1)


@when("version {version:d} is acknowledged elsewhere meanwhile")
def step_elsewhere(context, version):
    began = clocks.elapsed()
    document = platform_lib.document(version)
    others = [n for n in platform_steps.VMS if n != context.leader]
    context.plat.wait(
        "an acknowledgement",
        lambda: any(
            context.plat.replace(n, document, t=1.0) == 200 for n in others
        ),
        seconds=2.5,
    )
    assert clocks.elapsed() - began < suspend.SUSPEND_SECONDS


@when("{count:d} reads wait for it when it wakes")
def step_reads(context, count):
    def read():
        address = f"{platform_lib.control_ip(context.leader)}"
        status, _, body = context.plat.call(
            f"{address}:{platform_lib.CONTROL}",
            "GET",
            "/Configuration.Describe",
            t=10,
        )
        context.read.append((status, body))

    context.read = []
    threads = [threading.Thread(target=read) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("none of them is answered with version {version:d}")
def step_none_older(context, version):
    found = [json.loads(b)["version"] for s, b in context.read if s == 200]
    assert len(context.read) == 20, len(context.read)
    assert version not in found, found
