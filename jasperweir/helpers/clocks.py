"""The clock by which the product measures time."""

import time

# Linux only; elsewhere a suspended machine is not told from a running one.
_SINCE_BOOT = getattr(time, "CLOCK_BOOTTIME", None)


def elapsed() -> float:
    """Return seconds that never go back and count suspensions of the VM.

    The steady clock stands still while a VM is suspended: by it a leader went
    on confirming reads after 5 s of suspension, and an entry that was
    suspended for 3 s sent a request whose caller waits 1.5 s to a target.
    """
    if _SINCE_BOOT is None:
        return time.monotonic()
    return time.clock_gettime(_SINCE_BOOT)
