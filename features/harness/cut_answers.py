"""Answers that are cut off: every framing, place, end and route."""

import asyncio
import itertools
import random
from typing import NamedTuple

from features.harness import hop
from features.harness import site
from features.harness import virtual_loop
from jasperweir.components.balance import budget
from jasperweir.components.balance import entry_cell
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory
from jasperweir.components.forward import forwarder
from jasperweir.helpers import event_stream
from jasperweir.helpers import http_client
from jasperweir.helpers import metrics

EVENTS = 5
# Number of the event that a first attempt is cut off in or before.
CUT_EVENT = 3
PATIENCE_SECONDS = 5.0
PIECE_SECONDS = 0.01
MAX_EVENT_BYTES = event_stream.MAX_EVENT_BYTES
HUGE_BYTES = MAX_EVENT_BYTES + 100_000
SENT_AT_ONCE_BYTES = 32 * 1024

FRAMINGS = ("length", "chunks", "torn chunk", "close", "http/1.0")
ENDS = ("close", "reset", "silence", "complete")
ROUTES = {
    "resumable stream": (model.RouteKind.STREAM, True, 2),
    "stream": (model.RouteKind.STREAM, False, 2),
    "safe": (model.RouteKind.SAFE, False, 2),
    "unsafe": (model.RouteKind.UNSAFE, False, 1),
}
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Framings whose end the target doesn't state.
UNSTATED = ("close", "http/1.0")


class Cut(NamedTuple):
    """How a target cuts its answers off.

    Attributes:
        framing: How the answer is framed.
        event: Number of the event that is cut; 0 for an answer without a byte.
        offset: Bytes of that event that are sent.
        is_huge: Whether that event is larger than any buffer.
        end: What happens after the last byte.
        tries: How many attempts are cut off.
    """

    framing: str
    event: int = 0
    offset: int = 0
    is_huge: bool = False
    end: str = "close"
    tries: int = 1


def write_event(number, is_huge=False):
    """Return an event."""
    data = b"x" * HUGE_BYTES if is_huge else b"piece %d" % number
    return b"id: %d\nevent: e\ndata: %b\n\n" % (number, data)


def list_places(kind):
    """Return (event, offset, whether the event is huge) of all cuts."""
    size = len(write_event(CUT_EVENT))
    offsets = range(size) if kind == "stream" else (0, 1, size - 1)
    places = [(0, 0, False), (1, 0, False)]
    places += [(CUT_EVENT, offset, False) for offset in offsets]
    huge = len(write_event(CUT_EVENT, is_huge=True))
    places += [
        (CUT_EVENT, offset, True)
        for offset in (
            6, 40, MAX_EVENT_BYTES - 1, MAX_EVENT_BYTES + 50_000,
            huge - 2, huge - 1,
        )
    ]  # fmt: skip
    return places


def list_cases():
    """Yield all routes and cuts of the table."""
    for route in ROUTES:
        kind = "stream" if "stream" in route else "plain"
        for framing, end, tries, place in itertools.product(
            FRAMINGS, ENDS, (1, 9), list_places(kind)
        ):
            if framing == "torn chunk" and end == "complete":
                continue
            if framing in UNSTATED and end == "complete":
                continue
            event, offset, is_huge = place
            yield route, Cut(framing, event, offset, is_huge, end, tries)


class Target:
    """Answers with events, cut off as told.

    Attributes:
        attempts: Number of requests that it ran.
    """

    def __init__(self, *, cut, body=None):
        self.attempts = 0
        self._cut = cut
        self._body = body

    def on_request(self, transport, head):
        """Answer a request."""
        after = int(head.partition(b"after: ")[2].partition(b"\r\n")[0] or 0)
        self.attempts += 1
        cut = self._cut
        is_cut = cut is not None and self.attempts <= cut.tries
        pieces = self._list_pieces(after, cut if is_cut else None)
        full = b"".join(self._list_pieces(after, None))
        framing = cut.framing if cut else "chunks"
        is_complete = not is_cut or cut.end == "complete"
        self._send(transport, pieces, full, framing, is_cut, is_complete)

    def _list_pieces(self, after, cut):
        if self._body is not None:
            return [self._body]
        pieces = []
        cut_event = max(cut.event, after + 1) if cut and cut.event else 0
        if cut and not cut.event:
            return pieces
        huge = self._cut is not None and self._cut.is_huge
        for number in range(after + 1, EVENTS + 1):
            event = write_event(number, is_huge=huge and number == CUT_EVENT)
            if number == cut_event:
                if cut.offset:
                    pieces.append(event[: cut.offset])
                return pieces
            pieces.append(event)
        return pieces

    def _send(self, transport, pieces, full, framing, is_cut, is_complete):
        loop = asyncio.get_running_loop()
        line = b"HTTP/1.0" if framing == "http/1.0" else b"HTTP/1.1"
        fields = b"Content-Type: text/event-stream\r\n"
        if self._body is not None:
            fields = b"Content-Type: application/json\r\n"
        is_chunked = framing in ("chunks", "torn chunk")
        if framing == "length":
            size = sum(map(len, pieces)) if is_complete else len(full)
            fields += b"Content-Length: %d\r\n" % size
        elif is_chunked:
            fields += b"Transfer-Encoding: chunked\r\n"
        out = [line + b" 200 OK\r\n" + fields + b"\r\n"]
        for number, piece in enumerate(pieces, 1):
            if is_chunked:
                is_torn = (
                    framing == "torn chunk" and is_cut and number == len(pieces)
                )
                size = len(piece) + (7 if is_torn else 0)
                piece = b"%x\r\n%b" % (size, piece)
                piece += b"" if is_torn else b"\r\n"
            out += [
                piece[at : at + SENT_AT_ONCE_BYTES]
                for at in range(0, len(piece), SENT_AT_ONCE_BYTES)
            ]
        if is_chunked and is_complete:
            out.append(b"0\r\n\r\n")
        at = 0.0
        for piece in out:
            at += PIECE_SECONDS
            loop.call_later(at, transport.answer, piece)
        at += PIECE_SECONDS
        end = self._cut.end if is_cut else "close"
        if end == "reset":
            loop.call_later(at, transport.end, ConnectionResetError(104, "rst"))
        elif end == "close" and (is_cut or framing in UNSTATED):
            loop.call_later(at, transport.end)


class Answering(hop.Answering):
    """Records whether the caller's answer looks complete, and its bytes."""

    def __init__(self):
        super().__init__()
        self.status = 0
        self.aborted = False
        self.length = None

    def start(self, status, headers, length):
        super().start(status, headers, length)
        self.status = status
        self.length = length

    def abort(self):
        super().abort()
        self.aborted = True

    def reply(self, status, headers, body):
        super().reply(status, headers, body)
        self.status = status
        self.body = body
        self.whole = True


class Outcome(NamedTuple):
    """What a caller got.

    Attributes:
        status: Status, 0 for none.
        is_whole: Whether the answer is framed as complete.
        body: Body.
        attempts: Number of requests that targets ran.
        length: Length that its head states, None for chunks.
    """

    status: int
    is_whole: bool
    body: bytes
    attempts: int
    length: int | None


def play(route_name, cut, body=None):
    """Return what a caller gets through an entry on virtual time.

    Args:
        route_name: Key of ROUTES.
        cut: How the target cuts its answers off.
        body: JSON body that it answers with instead of events.
    """
    loop = virtual_loop.VirtualLoop()
    try:
        return loop.run_until_complete(_play(loop, route_name, cut, body))
    finally:
        loop.close()


async def _play(loop, route_name, cut, body):
    kind, resumable, attempts = ROUTES[route_name]
    route = hop.route(
        kind=kind,
        timeout_s=PATIENCE_SECONDS,
        resumable=resumable,
        attempts=attempts,
    )
    clock = virtual_loop.LoopClock(loop=loop)
    targets = directory.Directory()
    entry = forwarder.Forwarder(
        clock=clock,
        rng=random.Random(1),
        dialect=hop.Dialect(),
        directory=targets,
        cell=entry_cell.EntryCell(name="e1", place="p"),
        bounds=budget.BudgetBounds(ratio=50.0, burst=50.0, window_s=10.0),
        times=http_client.ClientTimeouts(),
        metrics=metrics.Metrics(labels={}),
        is_first_start=True,
    )
    entry.index = index.DeploymentIndex(
        deployment=model.Deployment(
            version=1,
            routes=(route,),
            services=(),
            limits=model.Limits(16384, 65536, 3.0, 15.0),
            customers=(),
        )
    )
    entry.on_entries((), hears_leader=False)
    target = Target(cut=cut, body=body)

    async def open_connection(address):
        return virtual_loop.open_connection(target.on_request)

    entry.pool.open = open_connection
    for number in (1, 2, 3):
        found = site.target(
            target_id=f"t{number}", address=f"127.0.0.{number}:1"
        )
        targets.merge(found, clock.monotonic())
    answering = Answering()
    entry.handle(answering)
    until = loop.now + PATIENCE_SECONDS + 1.0
    while loop.now < until and not (
        answering.done or answering.whole or answering.aborted
    ):
        entry.tick()
        await asyncio.sleep(0.05)
    # The check of a target whose connection broke is left to end.
    await asyncio.sleep(1.0)
    return Outcome(
        answering.status,
        answering.whole,
        answering.body,
        target.attempts,
        answering.length,
    )


def full_body(cut):
    """Return the complete answer."""
    return b"".join(
        write_event(n, is_huge=bool(cut and cut.is_huge) and n == CUT_EVENT)
        for n in range(1, EVENTS + 1)
    )


def sent_body(cut):
    """Return what a first attempt sends of its answer."""
    target = Target(cut=cut)
    return b"".join(target._list_pieces(0, cut))


def is_indistinguishable(route_name, cut):
    """Return whether nothing tells a cut answer from a complete one.

    The target's framing says that the answer is complete, or the close of the
    connection does, and no event was begun.
    """
    if cut.end not in ("close", "complete"):
        return False
    if cut.end == "close" and cut.framing not in UNSTATED:
        return False
    if "stream" not in route_name:
        return True
    has_events = cut.event > 1
    if cut.offset:
        return False
    return has_events or cut.end == "complete"


def find_fault(route_name, cut, outcome):
    """Return what a caller was told that isn't so, None if nothing."""
    full = full_body(cut)
    looks_complete = outcome.is_whole and 200 <= outcome.status < 300
    if is_indistinguishable(route_name, cut):
        if looks_complete and outcome.body == sent_body(cut):
            return None
        return "was not passed on like any other complete answer"
    if looks_complete and outcome.body != full:
        return f"{len(outcome.body)} of {len(full)} bytes framed as complete"
    if not outcome.is_whole and not full.startswith(outcome.body):
        return "the bytes passed on are not the beginning of the answer"
    if route_name in ("unsafe", "stream") and outcome.attempts > 1:
        return f"ran {outcome.attempts} times"
    if outcome.attempts > ROUTES[route_name][2]:
        return f"was sent to {outcome.attempts} targets"
    if outcome.length not in (None, len(outcome.body)) and outcome.is_whole:
        return f"stated {outcome.length} bytes and has {len(outcome.body)}"
    if outcome.attempts and outcome.status in NOT_RUN_STATUSES:
        return f"ran, and its caller was told {outcome.status}"
    if cut.tries > 1 or cut.end == "silence":
        return "whole" if looks_complete else None
    # A part of what exceeds the buffer may have been passed on.
    is_partly_passed_on = (
        cut.is_huge
        and not outcome.is_whole
        and len(outcome.body) > MAX_EVENT_BYTES
    )
    if route_name == "safe" and not looks_complete:
        return None if is_partly_passed_on else "was not sent elsewhere"
    if route_name == "resumable stream" and not looks_complete:
        return None if is_partly_passed_on else "was not resumed elsewhere"
    if looks_complete and route_name in ("unsafe", "stream"):
        return "is complete, but ran once and was cut off"
    return None
