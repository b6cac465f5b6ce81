"""Detection and numbering of crashes of the engine on this VM."""

from collections.abc import Callable
import socket
import threading
import time
import urllib.parse

# Delays before each check, in seconds. A crashing process may close its
# connections before its listener, so a single check could miss the crash.
CHECK_PAUSES_SECONDS = (0.0, 0.05)
CONNECT_SECONDS = 0.5


def is_listening(url: str) -> bool:
    """Return False only if the engine's address refuses connections.

    A timeout or another network error doesn't prove that the engine is down.
    """
    parts = urllib.parse.urlsplit(url)
    address = (parts.hostname or "", parts.port or 80)
    try:
        socket.create_connection(address, CONNECT_SECONDS).close()
    except ConnectionRefusedError:
        return False
    except OSError:
        return True
    return True


class CrashCounter:
    """Thread-safe counter of the crashes of one engine."""

    def __init__(self, *, is_listening: Callable[[], bool]) -> None:
        self._is_listening = is_listening
        self._count = 0
        self._down = False
        self._lock = threading.Lock()

    def record_answer(self) -> None:
        """Record that the engine responds, so it is up again."""
        self._down = False

    def check_restart(self) -> None:
        """Check before a run whether an engine that crashed is up again.

        One that crashes on each request answers none in between.
        """
        if self._down and self._is_listening():
            self._down = False

    def detect_crash(self) -> int:
        """Return the number of the crash that broke a run.

        All runs broken by one crash get the same number; 0 means that the
        engine still listens.
        """
        for pause_s in CHECK_PAUSES_SECONDS:
            time.sleep(pause_s)
            if not self._is_listening():
                return self._record_crash()
        return 0

    def _record_crash(self) -> int:
        with self._lock:
            if not self._down:
                self._down = True
                self._count += 1
            return self._count
