"""An event loop on virtual time, and connections without sockets."""

import asyncio
import contextlib
import selectors

from jasperweir.helpers import http_client


class _Selector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    loop = None

    def select(self, timeout=None):
        found = super().select(0)
        if not found:
            assert timeout is not None, "the loop has nothing left to do"
            self.loop.now += max(timeout, 0.0)
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers run at once, in their order.

    Attributes:
        now: Virtual time, seconds.
    """

    def __init__(self):
        self.now = 100.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now


class LoopClock:
    """Clock that reads the time of a virtual loop."""

    def __init__(self, *, loop):
        self._loop = loop

    def monotonic(self):
        return self._loop.now

    def wall(self):
        return self._loop.now


class _Socket:
    def setsockopt(self, *args):
        pass


class Transport(asyncio.Transport):
    """Connection of an entry to a scripted target.

    Attributes:
        closed: Whether either side has closed it.
    """

    def __init__(self, *, conn, on_request):
        super().__init__()
        self.closed = False
        self._conn = conn
        self._on_request = on_request
        self._received = b""
        self._held = []
        self._is_paused = False

    # Called by the entry.

    def write(self, data):
        self._received += data
        head, mark, _ = self._received.partition(b"\r\n\r\n")
        if mark:
            self._received = b""
            self._on_request(self, head)

    def abort(self):
        if self.closed:
            return
        self.closed = True
        # Tests of a connection alone have no loop.
        with contextlib.suppress(RuntimeError):
            loop = asyncio.get_running_loop()
            loop.call_soon(self._conn.connection_lost, None)

    close = abort

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self._is_paused = True

    def resume_reading(self):
        self._is_paused = False
        held, self._held = self._held, []
        for step in held:
            step()

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name, default=None):
        return _Socket() if name == "socket" else default

    # Called by the target.

    def _do(self, step):
        if self._is_paused:
            self._held.append(step)
        else:
            step()

    def answer(self, data):
        """Deliver bytes to the entry."""
        self._do(
            lambda: None if self.closed else self._conn.data_received(data)
        )

    def end(self, exc=None):
        """Close the connection, or reset it with an exception."""

        def step():
            if self.closed:
                return
            self.closed = True
            if exc is None:
                self._conn.eof_received()
            self._conn.connection_lost(exc)

        self._do(step)


def open_connection(on_request):
    """Return a connection whose requests a scripted target gets.

    Args:
        on_request: Called with the transport and the head of each request.
    """
    conn = http_client.ClientConnection(times=http_client.ClientTimeouts())
    conn.connection_made(Transport(conn=conn, on_request=on_request))
    return conn
