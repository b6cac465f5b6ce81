"""A forwarder with scripted targets that apply backpressure."""

import asyncio
import contextlib
import time

from features.harness import hop
from jasperweir import core
from jasperweir.components.backpressure import signals
from jasperweir.components.deployment import model
from jasperweir.helpers import http_message

# Interval between requests on the entry's clock.
REQUEST_INTERVAL_SECONDS = 0.05
# Real time in which a scripted target answers a request.
ANSWER_SECONDS = 0.02
# Longest time in which it does so on a busy machine.
BUSY_SECONDS = 2.0
# Requests sent this long after a back-off was requested don't count yet.
IN_FLIGHT_SECONDS = 0.5


class Target:
    """Answers requests as configured and records when they arrive.

    Attributes:
        backoff: Value of the Retry-After header with which it refuses requests;
            None if it answers them.
        draining: Whether its answers say that it is leaving.
        limit: Rate limit that its answers state; None for none.
        delay_s: Real time after which it answers a request that it accepts;
            it refuses at once.
        is_other: Whether another target has taken over its address.
        arrivals: When requests arrived, by the entry's clock.
        refused_at: When it refused requests.
    """

    def __init__(self, *, name, clock):
        self.name = name
        self.backoff = None
        self.draining = False
        self.limit = None
        self.delay_s = 0.0
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
                if self.delay_s and self.backoff is None:
                    await asyncio.sleep(self.delay_s)
                writer.write(self._answer())
        writer.close()

    def _answer(self):
        if self.is_other:
            return (
                b"HTTP/1.1 421 Misdirected\r\nServer-Leaving: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        if self.backoff is None:
            headers = b"Server-Leaving: 1\r\n" if self.draining else b""
            if self.limit is not None:
                headers += b"Server-Limit: %b\r\n" % self.limit
            return b"HTTP/1.1 200 OK\r\n%bContent-Length: 2\r\n\r\nok" % headers
        self.refused_at.append(self._clock.now)
        backoff = b"Retry-After: %b\r\n" % self.backoff if self.backoff else b""
        return (
            b"HTTP/1.1 503 Unavailable\r\n%bContent-Length: 0\r\n\r\n" % backoff
        )

    def count_within(self, backoff_s):
        """Return the most requests that arrived within one of its back-offs."""
        return max(
            (
                sum(
                    at + IN_FLIGHT_SECONDS <= t < at + backoff_s
                    for t in self.arrivals
                )
                for at in self.refused_at
            ),
            default=0,
        )

    def close(self):
        self._server.close()


class Answering(hop.Answering):
    """Records the answer and its time; status 0 until there is one."""

    def __init__(self, *, clock):
        super().__init__()
        self.replied = (0, [])
        self.replied_at = 0.0
        self._clock = clock

    def reply(self, status, headers, body):
        super().reply(status, headers, body)
        self.replied_at = self._clock.now


class Dialect(hop.Dialect):
    """Reads the backpressure headers of these targets."""

    def parse_response_head(self, head):
        find_all = http_message.find_all
        refuses = head.status == 503
        read = signals.read(
            rest=find_all(head.headers, b"retry-after") if refuses else [],
            limit=find_all(head.headers, b"server-limit"),
            leaving=find_all(head.headers, b"server-leaving"),
        )
        found = super().parse_response_head(head)
        return found._replace(
            not_run=refuses, other_target=head.status == 421, signals=read
        )


class Entry:
    """An entry on a manual clock, and its targets."""

    def __init__(self, *, count, attempts=2):
        self.clock = core.ManualClock(start=100.0)
        route = hop.route(
            kind=model.RouteKind.SAFE, resumable=False, attempts=attempts
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
        # Past the start, during which an entry holds requests.
        self.clock.now += 10.0

    async def call(self, count=1):
        """Send requests at once and wait until they are answered or queued."""
        for _ in range(count):
            self.one.forwarder.handle(self.answering())
        await self._wait_for_answers()

    async def _wait_for_answers(self):
        """Wait until the targets without a delay have answered.

        On a busy machine this takes longer than usual.
        """
        await asyncio.sleep(ANSWER_SECONDS)
        await self.wait_until(lambda: not self._has_unanswered())

    async def wait_until(self, func):
        """Wait until a function returns true, at most ``BUSY_SECONDS``."""
        until = time.monotonic() + BUSY_SECONDS
        while not func() and time.monotonic() < until:
            await asyncio.sleep(ANSWER_SECONDS)

    def has_connection(self):
        """Return whether a request is at a target."""
        exchanges = self.one.forwarder._open_exchanges.values()
        return any(exchange._conn for exchange in exchanges)

    def _has_unanswered(self):
        prompt = {found.name for found in self.targets if not found.delay_s}
        return any(
            exchange.target_id in prompt
            and (exchange._conn or exchange._connect_task)
            for exchange in self.one.forwarder._open_exchanges.values()
        )

    def answering(self):
        """Return the answer sink of a new caller."""
        answering = Answering(clock=self.clock)
        self.answers.append(answering)
        return answering

    async def run(self, seconds, at_once=1):
        """Send requests at regular intervals for a time."""
        for _ in range(round(seconds / REQUEST_INTERVAL_SECONDS)):
            await self.call(at_once)
            self.clock.now += REQUEST_INTERVAL_SECONDS
            self.announce()
            self.one.forwarder.tick()
        await asyncio.sleep(ANSWER_SECONDS)

    async def settle(self, seconds=0.2):
        """Advance the clock without new requests."""
        for _ in range(round(seconds / REQUEST_INTERVAL_SECONDS)):
            self.clock.now += REQUEST_INTERVAL_SECONDS
            self.one.forwarder.tick()
            await asyncio.sleep(ANSWER_SECONDS)

    def announce(self):
        """Announce the targets again."""
        for target in self.targets:
            self.one.announce(target.name, target)

    def statuses(self):
        """Return the statuses of all answers."""
        return [answering.replied[0] for answering in self.answers]

    def close(self):
        for target in self.targets:
            target.close()
        self.one.close()
