"""Frames between processes over ZeroMQ, driven by an event loop."""

import asyncio
from typing import Any

import zmq

from jasperweir.helpers import link

# A frame for a connection that was opened no longer ago than this waits for it,
# seconds: a connection within a site is up after a few milliseconds.
OPENING_SECONDS = 0.15
# It is tried again after this long, and after twice as long each time, seconds.
OPENING_RETRY_SECONDS = 0.01


class LoopLink(link.Link):
    """A Link without a thread of its own; the loop's thread owns its sockets.

    A frame that comes wakes the loop, and one that goes wakes nobody here. On
    a VM where one thread runs at a time each hand-over to another thread costs
    a wake: an idle agent woke 35 times a second with a thread that polled.

    The first frame for a node waits until its connection is up. When it was
    dropped, a new leader repeated its question to an agent a second later: the
    first expert map after a loss of all power came 0.97 and 1.58 s after the
    lead (two days of a site with 64 agents, by their logs).
    """

    def __init__(self, **settings: Any) -> None:
        """Take the same settings as a Link; ``deliver`` runs on the loop."""
        super().__init__(**settings)
        self._loop: asyncio.AbstractEventLoop | None = None

    def start(self) -> None:
        """Bind and begin to deliver frames; call it on the running loop.

        Raises:
            zmq.ZMQError: The address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._bind()
        self._descriptor = int(self._router.getsockopt(zmq.FD))
        self._loop.add_reader(self._descriptor, self._on_readable)
        # What came before the reader was added wakes nobody.
        self._loop.call_soon(self._on_readable)

    def stop(self) -> None:
        """Send what is queued and close every socket."""
        if self._loop is not None and not self._loop.is_closed():
            self._loop.remove_reader(self._descriptor)
        self._loop = None
        if self._auth is not None:
            self._auth.stop()
        self._context.destroy(linger=link.LINGER_MILLISECONDS)

    def send(self, dst: str, msg: Any, *, dst_inc: int = 0) -> None:
        """Send a message; it may be lost, late or doubled on the way."""
        if self._loop is not None:
            data = self._encode(dst, msg, dst_inc)
            self._send_when_open(dst, data, OPENING_RETRY_SECONDS)

    def _send_when_open(self, dst: str, data: bytes, pause_s: float) -> None:
        if self._loop is None or self._loop.is_closed():
            return
        if self._transmit(dst, data):
            return
        if self._opened_since(dst) + pause_s > OPENING_SECONDS:
            # It is not about to come up, and the frame would come too late.
            return
        self._loop.call_later(
            pause_s, self._send_when_open, dst, data, 2 * pause_s
        )

    def _on_readable(self) -> None:
        # The descriptor tells of changes only, so all has to be read; what is
        # left after many frames waits until the loop has done other work.
        if self._loop is not None and self._read():
            self._loop.call_soon(self._on_readable)
