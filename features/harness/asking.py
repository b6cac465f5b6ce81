"""Targets that ask their callers for something, before one forwarder."""

import asyncio
import contextlib

from features.harness import hop
from jasperweir import core
from jasperweir.components.backpressure import signals
from jasperweir.components.deployment import model
from jasperweir.helpers import http_message

# Requests come this far apart, seconds of the entry's clock.
APART = 0.05
# Real time in which a request is answered by a scripted target, seconds.
ANSWER_SECONDS = 0.02
# What may still be on its way when a target asks for rest, seconds.
ON_ITS_WAY = 0.5


class Target:
    """Answer each request as it is told to, and note when it came.

    Attributes:
        rest: Value of the header with which it turns requests away, None if it
            answers them.
        leaves: Whether it says with its answers that it leaves.
        limit: Limit that it names with its answers, None for none.
        is_other: Whether another target has its address.
        arrivals: When requests came, by the entry's clock.
        refused_at: When it turned requests away.
    """

    def __init__(self, *, name, clock):
        self.name = name
        self.rest = None
        self.leaves = False
        self.limit = None
        self.is_other = False
        self.arrivals = []
        self.refused_at = []
        self._clock = clock

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.arrivals.append(self._clock.now)
                writer.write(self._answer())
        writer.close()

    def _answer(self):
        if self.is_other:
            return (
                b"HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        if self.rest is None:
            said = b"Server-Leaving: 1\r\n" if self.leaves else b""
            if self.limit is not None:
                said += b"Server-Limit: %b\r\n" % self.limit
            return b"HTTP/1.1 200 OK\r\n%bContent-Length: 2\r\n\r\nok" % said
        self.refused_at.append(self._clock.now)
        rest = b"Retry-After: %b\r\n" % self.rest if self.rest else b""
        return b"HTTP/1.1 503 Unavailable\r\n%bContent-Length: 0\r\n\r\n" % rest

    def most_within(self, rest_s):
        """Return the most requests that came within a rest it had asked for."""
        return max(
            (
                sum(at + ON_ITS_WAY <= t < at + rest_s for t in self.arrivals)
                for at in self.refused_at
            ),
            default=0,
        )

    def close(self):
        self._server.close()


class Answering(hop.Answering):
    """Note when the answer comes; status 0 as long as there is none."""

    def __init__(self, *, clock):
        super().__init__()
        self.replied = (0, [])
        self.replied_at = 0.0
        self._clock = clock

    def reply(self, status, headers, body):
        super().reply(status, headers, body)
        self.replied_at = self._clock.now


class Dialect(hop.Dialect):
    """Read the headers by which these targets ask."""

    def parse_response_head(self, head):
        find_all = http_message.find_all
        refuses = head.status == 503
        told = signals.read(
            rest=find_all(head.headers, b"retry-after") if refuses else [],
            limit=find_all(head.headers, b"server-limit"),
            leaving=find_all(head.headers, b"server-leaving"),
        )
        found = super().parse_response_head(head)
        return found._replace(
            not_run=refuses, other_target=head.status == 421, signals=told
        )


class Entry:
    """One entry on a clock of its own, and its targets."""

    def __init__(self, *, count, attempts=2):
        self.clock = core.ManualClock(start=100.0)
        route = hop.route(
            kind=model.Kind.SAFE, resumable=False, attempts=attempts
        )
        self.one = hop.Hop(route=route, clock=self.clock)
        self.targets = [
            Target(name=f"t{n}", clock=self.clock) for n in range(count)
        ]
        self.answers = []

    async def start(self):
        await self.one.prepare()
        self.one.forwarder.dialect = Dialect()
        for target in self.targets:
            await target.start()
            self.one.announce(target.name, target)
        # Its start, in which it keeps requests, is over.
        self.clock.now += 10.0

    async def call(self, count=1):
        """Let requests come at once; wait until they are answered or wait."""
        for _ in range(count):
            self.one.forwarder.handle(self.answering())
        await asyncio.sleep(ANSWER_SECONDS)

    def answering(self):
        """Return the way back to a new caller."""
        answering = Answering(clock=self.clock)
        self.answers.append(answering)
        return answering

    async def run(self, seconds, at_once=1):
        """Let requests come one after the other for a time."""
        for _ in range(round(seconds / APART)):
            await self.call(at_once)
            self.clock.now += APART
            self.keep()
            self.one.forwarder.tick()
        await asyncio.sleep(ANSWER_SECONDS)

    async def settle(self, seconds=0.2):
        """Let time pass without new requests."""
        for _ in range(round(seconds / APART)):
            self.clock.now += APART
            self.one.forwarder.tick()
            await asyncio.sleep(ANSWER_SECONDS)

    def keep(self):
        """Let the targets announce themselves again."""
        for target in self.targets:
            self.one.announce(target.name, target)

    def statuses(self):
        return [answering.replied[0] for answering in self.answers]

    def close(self):
        for target in self.targets:
            target.close()
        self.one.close()
