"""Typed messages between processes over ZeroMQ, on an event loop."""

import asyncio
from collections.abc import Iterable
from typing import Any

import zmq

from jasperweir.helpers import clocks
from jasperweir.helpers import link
from jasperweir.helpers import transfers

# Time for which a frame waits for a new connection to be established, seconds;
# a connection within a site takes a few milliseconds.
OPENING_SECONDS = 0.15
# First interval between attempts to send such a frame, seconds; it doubles.
OPENING_RETRY_SECONDS = 0.01


class LoopLink(link.Link):
    """Link whose sockets belong to the thread of the event loop.

    Without a thread that polls, an idle process wakes only for frames that
    arrive. The first frame for a node waits until its connection is
    established; dropping it would delay a new leader by a repeat interval.
    """

    def __init__(self, **settings: Any) -> None:
        """Accept the settings of Link; ``deliver`` is called on the loop."""
        super().__init__(**settings)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._transfer_tick_scheduled = False

    def start(self) -> None:
        """Bind and start delivering frames; must be called on the running loop.

        Raises:
            zmq.ZMQError: The address cannot be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._bind()
        self._descriptor = int(self._router.getsockopt(zmq.FD))
        self._loop.add_reader(self._descriptor, self._on_readable)
        # Frames that arrived before the reader was added trigger no event.
        self._loop.call_soon(self._on_readable)

    def stop(self) -> None:
        """Flush the send queues and close all sockets."""
        if self._loop is not None and not self._loop.is_closed():
            self._loop.remove_reader(self._descriptor)
        self._loop = None
        if self._auth is not None:
            self._auth.stop()
        self._context.destroy(linger=link.LINGER_MILLISECONDS)

    def send(self, dst: str, msg: Any, *, dst_inc: int = 0) -> None:
        """Send a message; it may be lost, delayed or duplicated."""
        self.send_all([dst], msg, dst_inc=dst_inc)

    def send_all(
        self, dsts: Iterable[str], msg: Any, *, dst_inc: int = 0
    ) -> None:
        """Send a message to several nodes; it is encoded once."""
        if self._loop is None:
            return
        body = self._encode(msg)
        for dst in dsts:
            if link.is_large(body):
                self._start_transfer(link.make_large(dst, dst_inc, body, msg))
            else:
                self._send_when_open(
                    dst,
                    self._frame(dst, body, dst_inc),
                    OPENING_RETRY_SECONDS,
                )

    def _post(self, posts: list[transfers.Post]) -> None:
        super()._post(posts)
        self._schedule_transfer_tick()

    def _transmit_soon(self, dst: str, data: bytes) -> None:
        self._send_when_open(dst, data, OPENING_RETRY_SECONDS)

    def _schedule_transfer_tick(self) -> None:
        """Schedule the next tick while a transfer is in progress."""
        if self._transfer_tick_scheduled or not self._transfers.is_active:
            return
        if self._loop is None or self._loop.is_closed():
            return
        self._transfer_tick_scheduled = True
        self._loop.call_later(transfers.TICK_SECONDS, self._tick_transfers)

    def _tick_transfers(self) -> None:
        self._transfer_tick_scheduled = False
        self._post(self._transfers.tick(clocks.elapsed()))

    def _send_when_open(self, dst: str, data: bytes, pause_s: float) -> None:
        if self._loop is None or self._loop.is_closed():
            return
        if self._transmit(dst, data):
            return
        if self._opened_since(dst) + pause_s > OPENING_SECONDS:
            # The peer is probably unreachable.
            return
        self._loop.call_later(
            pause_s, self._send_when_open, dst, data, 2 * pause_s
        )

    def _on_readable(self) -> None:
        # The descriptor is edge-triggered, so all frames must be read; after a
        # batch the loop runs other callbacks first.
        if self._loop is not None and self._read():
            self._loop.call_soon(self._on_readable)
