"""Set up each scenario, and end what it started."""

import fcntl
import pathlib
import sys
import tempfile
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))


# Tests with real processes use the same loopback addresses.
REAL_PROCESSES = "real-processes"
LOCK = pathlib.Path(tempfile.gettempdir()) / "jasperweir-loopback.lock"


def before_feature(context, feature):
    context.lock = None
    if REAL_PROCESSES in feature.tags:
        context.lock = LOCK.open("w")
        fcntl.flock(context.lock, fcntl.LOCK_EX)


def after_feature(context, feature):
    if context.lock is not None:
        context.lock.close()


def before_scenario(context, scenario):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-test-"))
    context.local = None
    context.respawner = None


def after_scenario(context, scenario):
    # It would start processes again that are stopped below.
    if context.respawner is not None:
        context.respawner.stop()
    if context.local is not None:
        context.local.stop_all()


def after_step(context, step):
    # The report of a run has no text for steps that end with an error.
    if step.exception is not None:
        print(f"-- {step.name}", file=sys.__stderr__)
        traceback.print_exception(step.exception, file=sys.__stderr__)
