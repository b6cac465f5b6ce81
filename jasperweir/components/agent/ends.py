"""Tell whether the engine on this VM has ended, and count its ends."""

from collections.abc import Callable
import socket
import threading
import time
import urllib.parse

# The engine is asked this often after a break, seconds apart: a process that
# ends may close its listener after its connections.
CHECK_PAUSES_SECONDS = (0.0, 0.05)
CONNECT_SECONDS = 0.5


def listens(url: str) -> bool:
    """Tell whether a connection to an engine is accepted, or not answered.

    Only a refusal shows that nothing listens there.
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


class EngineEnds:
    """Ends of one engine; threads of several runs may ask at once."""

    def __init__(self, *, listens: Callable[[], bool]) -> None:
        self._listens = listens
        self._count = 0
        self._down = False
        self._lock = threading.Lock()

    def answered(self) -> None:
        """Note that the engine has begun an answer."""
        self._down = False

    def after_break(self) -> int:
        """Return the number of the end after which a run broke.

        All runs that an end broke get the same number; 0 means that the engine
        still listens.
        """
        for pause_s in CHECK_PAUSES_SECONDS:
            time.sleep(pause_s)
            if not self._listens():
                return self._note()
        return 0

    def _note(self) -> int:
        with self._lock:
            if not self._down:
                self._down = True
                self._count += 1
            return self._count
