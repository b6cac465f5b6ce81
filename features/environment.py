"""Set up each scenario, and end what it started."""

import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))


def before_scenario(context, scenario):
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-test-"))
    context.local = None


def after_scenario(context, scenario):
    if context.local is not None:
        context.local.stop_all()
