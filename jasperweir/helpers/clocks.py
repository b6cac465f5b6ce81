"""Monotonic clock that includes the time a VM was suspended."""

import time

# Linux only; other systems fall back to a clock without suspensions.
_SINCE_BOOT = getattr(time, "CLOCK_BOOTTIME", None)


def elapsed() -> float:
    """Return monotonic seconds, including suspensions of the VM.

    ``time.monotonic`` stops during a suspension, so leases and deadlines that
    expired meanwhile would still count as valid.
    """
    if _SINCE_BOOT is None:
        return time.monotonic()
    return time.clock_gettime(_SINCE_BOOT)
