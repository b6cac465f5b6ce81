"""A loopback proxy that delays, resets, cuts one way or silences."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import threading

CHUNK = 65536
# Time for connections to end after their proxy has closed.
CLOSE_SECONDS = 2.0
# With this linger a close resets the connection.
RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class Weather:
    """What a proxy does to the bytes of all its connections at present."""

    delay_s: float = 0.0
    # Bytes towards the server, or back from it, get no further.
    deaf: bool = False
    mute: bool = False


class Proxy:
    """One listening address in front of a server."""

    def __init__(self, *, listen, server):
        self.listen = listen
        self.server = server
        self.weather = Weather()
        self.pipes = set()
        self._listener = None

    async def start(self):
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self._listener = await asyncio.start_server(
            self._on_connect, host, int(port)
        )

    def close(self):
        """Stop listening and end every connection."""
        self._listener.close()
        self.reset_all()

    def reset_all(self):
        """Reset every open connection."""
        for writer in list(self.pipes):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

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
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await self._hold(to_server)
                writer.write(data)
                await writer.drain()
        # A close travels as the bytes do.
        await self._hold(to_server)
        with contextlib.suppress(OSError):
            writer.close()

    async def _hold(self, to_server):
        weather = self.weather
        if weather.delay_s:
            await asyncio.sleep(weather.delay_s)
        while weather.deaf if to_server else weather.mute:
            await asyncio.sleep(0.02)


class Proxies:
    """All proxies, on an event loop in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.by_name = {}
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    def add(self, name, *, listen, server):
        """Put a proxy in front of a server."""
        proxy = Proxy(listen=listen, server=server)
        self.by_name[name] = proxy
        asyncio.run_coroutine_threadsafe(proxy.start(), self.loop).result()

    def reset(self, name):
        """Reset the connections through a proxy."""
        self.loop.call_soon_threadsafe(self.by_name[name].reset_all)

    def calm(self):
        """Let everything through again."""
        for proxy in self.by_name.values():
            weather = proxy.weather
            weather.delay_s, weather.deaf, weather.mute = 0.0, False, False

    async def _end(self):
        self.calm()
        for proxy in self.by_name.values():
            proxy.close()
        pumps = asyncio.all_tasks() - {asyncio.current_task()}
        if pumps:
            await asyncio.wait(pumps, timeout=CLOSE_SECONDS)

    def stop(self):
        """Close every proxy and end the event loop."""
        asyncio.run_coroutine_threadsafe(self._end(), self.loop).result()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=5)
