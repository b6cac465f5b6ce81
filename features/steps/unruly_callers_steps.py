"""Steps on crowds of clients that don't behave."""

from behave import given
from behave import then
from behave import when

from features.harness import crowds
from features.harness import platform as platform_lib

VM = 3
MB = 1024 * 1024


@given("a site whose VMs have {memory:d} MB and {descriptors:d} descriptors")
def step_site(context, memory, descriptors):
    context.local = plat = platform_lib.Platform(context.folder)
    plat.limits = {"memoryMb": memory, "maxFds": descriptors}
    plat.start_all()
    plat.start_target(1, "m")
    limits = platform_lib.document(1)["limits"]
    limits["maxBodyBytes"] = crowds.BODY_BYTES
    doc = platform_lib.document(1, limits=limits)
    plat.wait("a configuration", lambda: plat.replace(VM, doc) == 200)
    for number in (1, 2, 3):
        plat.wait("ready", lambda n=number: plat.ready(n))
    plat.wait("an answer", lambda: ask(plat, "first") == 200)


def ask(plat, rid):
    """Return the status of one ordinary request."""
    return plat.request(VM, "/safe/x", rid)[0]


@when('a crowd sends "{crowd}" to an entry')
def step_entry(context, crowd):
    address = platform_lib.control_ip(VM), platform_lib.CALLERS
    send(context, f"entry-{VM}", address, crowd)


@when('a crowd sends "{crowd}" to an entry\'s port for other processes')
def step_internal(context, crowd):
    # The entry's port follows that of the VM's control process.
    address = platform_lib.control_ip(VM), platform_lib.INTERNAL_PORT + 1
    send(context, f"entry-{VM}", address, crowd)


@when('a crowd sends "{crowd}" to a control VM\'s calls')
def step_control(context, crowd):
    address = platform_lib.control_ip(VM), platform_lib.CONTROL
    send(context, f"control-{VM}", address, crowd)


def send(context, name, address, crowd):
    """Let a crowd do its worst, and read the process's memory after it."""
    context.proc = proc = context.local.procs[name]
    before = crowds.read_memory(proc.pid)
    context.clients = crowds.run(address, crowds.CROWDS[crowd])
    context.descriptors = crowds.count_descriptors(proc.pid)
    context.grown = crowds.read_memory(proc.pid, "VmHWM") - before
    crowds.close(context.clients)


@then("the entry's process runs and has grown by at most {most:d} MB")
@then("the control VM's process runs and has grown by at most {most:d} MB")
def step_grown(context, most):
    assert context.proc.poll() is None, context.proc.returncode
    assert context.grown <= most * MB, f"{context.grown / MB:.0f} MB"


@then("it has at most {most:d} open descriptors")
def step_descriptors(context, most):
    assert context.descriptors <= most, context.descriptors


@then("an ordinary request to that entry is answered")
def step_answered(context):
    plat = context.local
    plat.wait("an answer", lambda: ask(plat, "last") == 200)


@then("the configuration can be read at that control VM")
def step_read(context):
    plat = context.local
    plat.wait("a read", lambda: plat.describe(VM)[0] == 200)
