"""A forwarder with scripted targets on one event loop, without a platform."""

import asyncio
import contextlib
import random
import time

from features.harness import site
from jasperweir import core
from jasperweir.components.balance import budget
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import entry_cell
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory
from jasperweir.components.forward import dialect
from jasperweir.components.forward import forwarder
from jasperweir.helpers import http_client
from jasperweir.helpers import http_message
from jasperweir.helpers import metrics

EVENTS = 6
SETTLE_SECONDS = 0.1
# A busy machine may take so long to pass on the first event, seconds.
EVENTS_WITHIN_SECONDS = 5.0


class Target:
    """Sends events up to a number, then keeps the connection open."""

    def __init__(self, *, stops_after):
        self.stops_after = stops_after
        self.requests = 0
        self.closed = False
        # Whether it reads requests and does not begin to answer them.
        self.delays_answer = False
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        self.requests += 1
        if self.delays_answer:
            with contextlib.suppress(asyncio.CancelledError):
                self.closed = not await reader.read(1)
                writer.close()
            return
        after = int(head.partition(b"after: ")[2].partition(b"\r\n")[0] or 0)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(after + 1, self.stops_after + 1):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        if self.stops_after == EVENTS:
            writer.write(b"0\r\n\r\n")
        with contextlib.suppress(asyncio.CancelledError):
            self.closed = not await reader.read(1)
            writer.close()

    def close(self):
        self._server.close()


class Ending:
    """Closes the connection before it responds.

    It also stops listening, like a crashed process, unless told otherwise.
    """

    def __init__(self, *, listens):
        self._listens = listens
        self.on_request = lambda: None
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.on_request()
            if not self._listens:
                self._server.close()
        writer.close()

    def close(self):
        self._server.close()


class Dialect:
    """A protocol with one header: the id of the last received event."""

    def build_target_headers(self, req, target_request):
        return [(b"after", (target_request.resume_after or "0").encode())]

    def parse_response_head(self, head):
        return dialect.ResponseHead("", True, False, False, False, None)

    def build_own_headers(self, caller_headers):
        return []

    def parse_caller_headers(self, req):
        return dialect.CallerHeaders("id", 5.0, "", 10, 10, "")


class Answering:
    """Records the response to a caller."""

    def __init__(self):
        self.request = http_message.Request(
            method=b"POST",
            target=b"/",
            headers=[(b"host", b"h")],
            body=b"",
            keep_alive=True,
        )
        self.on_gone = lambda: None
        self.done = False
        self.starts = 0
        self.body = b""
        self.whole = False

    def start(self, status, headers, length):
        self.starts += 1

    def send(self, data):
        self.body += data

    def end(self):
        self.whole = True

    def abort(self):
        self.done = True

    def reply(self, status, headers, body):
        self.done = True
        self.replied = (status, headers)

    def ids(self):
        return [int(x[4:]) for x in self.body.split(b"\n") if x[:3] == b"id:"]


def route(
    *, kind=model.RouteKind.STREAM, timeout_s=5.0, resumable=True, attempts=2
):
    """Return a route to one service."""
    return model.Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        timeout_s=timeout_s,
        target_s=0.4,
        gap_s=0.12,
        priority=1,
        backends=(model.Backend("s", 1.0),),
        max_attempts=attempts,
        public=True,
        resumable=resumable,
    )


class Hop:
    """A forwarder, a target whose stream stalls, and another target."""

    def __init__(self, *, route, retries=50.0, clock=None):
        self.slow = Target(stops_after=3)
        self.other = Target(stops_after=EVENTS)
        self.answering = Answering()
        self._route = route
        self._retries = retries
        self._clock = clock or core.SystemClock()
        self.metrics = metrics.Metrics(labels={})

    async def prepare(self):
        self.directory = directory.Directory()
        # Each request earns the entry so many retries.
        ratio = self._retries / balance_const.RETRY_RATIO_PART
        bounds = budget.BudgetBounds(ratio=ratio, burst=0.0, window_s=10.0)
        self.forwarder = forwarder.Forwarder(
            clock=self._clock,
            rng=random.Random(1),
            dialect=Dialect(),
            directory=self.directory,
            cell=entry_cell.EntryCell(name="e1", place="p"),
            bounds=bounds,
            times=http_client.ClientTimeouts(),
            metrics=self.metrics,
        )
        self.forwarder.index = index.DeploymentIndex(
            deployment=model.Deployment(
                version=1,
                routes=(self._route,),
                services=(),
                limits=model.Limits(16384, 65536, 3.0, 15.0),
                customers=(),
            )
        )
        await self.slow.start()
        await self.other.start()

    async def start(self):
        await self.prepare()
        self.announce("slow", self.slow)
        self.forwarder.handle(self.answering)
        until = time.monotonic() + EVENTS_WITHIN_SECONDS
        while time.monotonic() < until and not self.answering.body:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_SECONDS)
        self.announce("other", self.other)

    def announce(self, name, target):
        found = site.target(target_id=name, address=target.address)
        self.directory.merge(found, self.forwarder.now())

    async def turn_slow(self, slowdown):
        now = self.forwarder.now()
        self.forwarder.update_slowdowns({self.slow.address: slowdown}, now)
        await asyncio.sleep(SETTLE_SECONDS)

    def fill(self, name):
        """Occupy every slot at a target."""
        for _ in range(100):
            self.forwarder.balancer.begin(name)

    def empty(self, name):
        """Release the slots that ``fill`` occupied."""
        for _ in range(100):
            self.forwarder.balancer.finish(name)

    def close(self):
        self.slow.close()
        self.other.close()
