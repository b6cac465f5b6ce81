"""TCP proxy that delays bytes, resets connections or blocks a direction."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import threading

CHUNK = 65536
# Time for connections to close after their proxy, seconds.
CLOSE_SECONDS = 2.0
# SO_LINGER value with which a close resets the connection.
RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class NetworkConditions:
    """Current network conditions of all connections of a proxy.

    Attributes:
        delay_s: Delay of each chunk, seconds.
        deaf: Whether bytes to the server are blocked.
        mute: Whether bytes from the server are blocked.
    """

    delay_s: float = 0.0
    deaf: bool = False
    mute: bool = False


class Proxy:
    """Proxy that listens on an address and connects to a server."""

    def __init__(self, *, listen, server):
        self.listen = listen
        self.server = server
        self.conditions = NetworkConditions()
        self.pipes = set()
        self._listener = None

    async def start(self):
        """Start listening."""
        host, _, port = self.listen.rpartition(":")
        self._listener = await asyncio.start_server(
            self._on_connect, host, int(port)
        )

    def close(self):
        """Stop listening and reset every connection."""
        self._listener.close()
        self.reset_all()

    def reset_all(self):
        """Reset every open connection."""
        for writer in list(self.pipes):
            _reset(writer)

    async def _on_connect(self, reader, writer):
        host, _, port = self.server.rpartition(":")
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            self.pipes.add(writer)
            writer.transport.abort()
            self.pipes.discard(writer)
            return
        self.pipes |= {writer, far[1]}
        await asyncio.gather(
            self._pump(reader, far[1], to_server=True),
            self._pump(far[0], writer, to_server=False),
        )
        self.pipes -= {writer, far[1]}

    async def _pump(self, reader, writer, *, to_server):
        is_reset = False
        try:
            while data := await reader.read(CHUNK):
                await self._apply_conditions(to_server)
                writer.write(data)
                await writer.drain()
        except OSError:
            is_reset = True
        # The conditions apply to a close as well.
        await self._apply_conditions(to_server)
        if is_reset:
            _reset(writer)
            return
        with contextlib.suppress(OSError):
            writer.close()

    async def _apply_conditions(self, to_server):
        conditions = self.conditions
        if conditions.delay_s:
            await asyncio.sleep(conditions.delay_s)
        while conditions.deaf if to_server else conditions.mute:
            await asyncio.sleep(0.02)


def _reset(writer):
    """Reset a connection; what is unsent is lost."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class ProxySet:
    """All proxies of a soak, run by an event loop in a separate thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.by_name = {}
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    def add(self, name, *, listen, server):
        """Start a proxy for a server."""
        proxy = Proxy(listen=listen, server=server)
        self.by_name[name] = proxy
        asyncio.run_coroutine_threadsafe(proxy.start(), self.loop).result()

    def reset(self, name):
        """Reset the connections through a proxy."""
        self.loop.call_soon_threadsafe(self.by_name[name].reset_all)

    def restore(self):
        """Restore normal network conditions."""
        for proxy in self.by_name.values():
            conditions = proxy.conditions
            conditions.delay_s, conditions.deaf, conditions.mute = (
                0.0,
                False,
                False,
            )

    async def _end(self):
        self.restore()
        for proxy in self.by_name.values():
            proxy.close()
        pumps = asyncio.all_tasks() - {asyncio.current_task()}
        if pumps:
            await asyncio.wait(pumps, timeout=CLOSE_SECONDS)

    def stop(self):
        """Close every proxy and stop the event loop."""
        asyncio.run_coroutine_threadsafe(self._end(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=5)
