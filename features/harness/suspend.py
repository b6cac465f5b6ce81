"""Run a role's process that can be suspended as a VM is.

On SIGUSR1 everything in the process stands still for SUSPEND_SECONDS, and the
steady clock does not count that time; the time since boot does.
"""

import pathlib
import runpy
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
SUSPEND_SECONDS = 3.0

_steady = time.monotonic
_slept = 0.0


def monotonic():
    """Return the steady clock without the time of suspensions."""
    return _steady() - _slept


def on_signal(number, frame):
    """Stand still."""
    global _slept
    began = _steady()
    while (left := began + SUSPEND_SECONDS - _steady()) > 0:
        time.sleep(left)
    _slept += _steady() - began


def main():
    time.monotonic = monotonic
    signal.signal(signal.SIGUSR1, on_signal)
    sys.path.insert(0, str(ROOT / "platform"))
    script = str(ROOT / "platform" / "run.py")
    sys.argv = [script, *sys.argv[1:]]
    runpy.run_path(script, run_name="__main__")


if __name__ == "__main__":
    main()
