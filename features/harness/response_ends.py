"""An entry on virtual time whose targets end their answers in every way."""

import asyncio
import errno
import random
import re
from typing import NamedTuple

import logbook

from features.harness import cut_answers
from features.harness import hop
from features.harness import site
from features.harness import virtual_loop
from jasperweir.components.balance import budget
from jasperweir.components.balance import entry_cell
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory
from jasperweir.components.forward import forwarder
from jasperweir.helpers import http_client
from jasperweir.helpers import metrics

PATIENCE_SECONDS = 3.0
# When the entry is told that the target is slow, and when the caller goes.
EVENT_SECONDS = 0.5
PIECE_SECONDS = 0.01
# Log events that say how an attempt ended, apart from "request ended".
ATTEMPT_EVENTS = (
    "send failed",
    "stream leaves target",
    "answer not read in time",
    "request not sent",
    "time is up",
)

STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2))


def _renumber(piece, after):
    """Return events as a target sends them that resumes after another one."""
    return re.sub(
        rb"id: (\d)", lambda found: b"id: %d" % (int(found[1]) + after), piece
    )


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Answer(NamedTuple):
    """What a target sends to one attempt.

    Attributes:
        pieces: Bytes, sent one after another.
        end: What follows: ``stays``, ``close``, ``reset``, ``lost`` or
            ``refused``, which opens no connection.
        connect_s: Time until the connection is open, seconds.
        is_evacuated: Whether the target is evacuated meanwhile.
        repeats: Whether it begins with the first event when it is resumed.
    """

    pieces: tuple[bytes, ...] = ()
    end: str = "stays"
    connect_s: float = 0.0
    is_evacuated: bool = False
    repeats: bool = False


LAST_CHUNK = b"0\r\n\r\n"
ANSWERS = {
    "with a length": Answer(
        (STREAM + b"Content-Length: %d\r\n\r\n" % len(EVENTS), EVENTS)
    ),
    "in chunks": Answer((STREAM + CHUNKS, _chunk(EVENTS), LAST_CHUNK)),
    "in chunks, from the first event": Answer(
        (STREAM + CHUNKS, _chunk(EVENTS), LAST_CHUNK), repeats=True
    ),
    "until the close": Answer((STREAM + b"\r\n", EVENTS), "close"),
    "without a body": Answer((b"HTTP/1.1 204 No Content\r\n\r\n",)),
    "with an error": Answer(
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\nx",)
    ),
    "and closes inside an event": Answer(
        (STREAM + b"\r\n", EVENTS + b"id: 3\nda"), "close"
    ),
    "and ends the chunks inside an event": Answer(
        (STREAM + CHUNKS, _chunk(EVENTS + b"id: 3\nda"), LAST_CHUNK)
    ),
    "and closes before the first event": Answer((STREAM + b"\r\n",), "close"),
    "and closes inside a chunk": Answer(
        (STREAM + CHUNKS, b"ff\r\n" + EVENTS), "close"
    ),
    "and closes before the head": Answer((), "close"),
    "and resets the connection": Answer(
        (STREAM + CHUNKS, _chunk(EVENTS)), "reset"
    ),
    "and is unreachable": Answer((STREAM + CHUNKS, _chunk(EVENTS)), "lost"),
    "and sends a malformed chunk": Answer(
        (STREAM + CHUNKS, _chunk(EVENTS), b"zz\r\n")
    ),
    "and falls silent": Answer((STREAM + CHUNKS, _chunk(EVENTS))),
    "and sends nothing": Answer(),
    "with status 503": Answer(
        (b"HTTP/1.1 503 Unavailable\r\nContent-Length: 1\r\n\r\nx",)
    ),
    "and opens no connection": Answer((), "refused"),
    "and connects after the deadline": Answer(connect_s=PATIENCE_SECONDS + 1),
    "and connects too late": Answer(connect_s=PATIENCE_SECONDS - 0.06),
    "and is evacuated while it connects": Answer(
        connect_s=0.1, is_evacuated=True
    ),
}
RESET = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
LOST = TimeoutError(errno.ETIMEDOUT, "Connection timed out")


class _Lines(logbook.Handler):
    """Collects the structured lines of a run.

    Attributes:
        lines: Event and fields of each line.
    """

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append({"event": str(record.msg), **record.kwargs})


class Run(NamedTuple):
    """Result of one request.

    Attributes:
        lines: Log lines that name it, in order.
        metrics: Metrics of the entry.
        answering: What its caller got.
    """

    lines: list[dict[str, object]]
    metrics: metrics.Metrics
    answering: cut_answers.Answering

    @property
    def attempts(self):
        """Last line of each attempt that was not the final one."""
        return [x for x in self.lines if x["event"] in ATTEMPT_EVENTS]

    @property
    def ended(self):
        """The line on the whole request."""
        (line,) = (x for x in self.lines if x["event"] == "request ended")
        return line


def run(
    answers,
    *,
    attempts=1,
    moves=False,
    leaves=False,
    unread=False,
    reads_again=True,
):
    """Return what is recorded of a request whose targets answer as told.

    Args:
        answers: The answers to its attempts.
        attempts: Most attempts.
        moves: Whether the first target is reported as slow.
        leaves: Whether the caller disconnects.
        unread: Whether the caller doesn't read.
        reads_again: Whether such a caller reads later.
    """
    loop = virtual_loop.VirtualLoop()
    handler = _Lines()
    try:
        with handler.applicationbound():
            found, answering = loop.run_until_complete(
                _run(
                    loop, answers, attempts, moves, leaves, unread, reads_again
                )
            )
    finally:
        loop.close()
    lines = [x for x in handler.lines if x.get("id") == "id"]
    return Run(lines, found, answering)


async def _run(loop, answers, attempts, moves, leaves, unread, reads_again):
    clock = virtual_loop.LoopClock(loop=loop)
    targets = directory.Directory()
    counted = metrics.Metrics(labels={})
    entry = forwarder.Forwarder(
        clock=clock,
        rng=random.Random(1),
        dialect=hop.Dialect(),
        directory=targets,
        cell=entry_cell.EntryCell(name="e1", place="p"),
        bounds=budget.BudgetBounds(ratio=50.0, burst=50.0, window_s=10.0),
        times=http_client.ClientTimeouts(),
        metrics=counted,
        is_first_start=True,
    )
    route = hop.route(timeout_s=PATIENCE_SECONDS, attempts=attempts)
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
    rest = list(answers)
    answer = rest[0] if rest else Answer()

    def on_request(transport, head):
        at = 0.0
        after = int(head.partition(b"after: ")[2].partition(b"\r\n")[0] or 0)
        after = 0 if answer.repeats else after
        for piece in answer.pieces:
            at += PIECE_SECONDS
            loop.call_later(at, transport.answer, _renumber(piece, after))
        ends = {"close": None, "reset": RESET, "lost": LOST}
        if answer.end in ends:
            at += EVENT_SECONDS if unread else PIECE_SECONDS
            loop.call_later(at, transport.end, ends[answer.end])

    async def open_connection(address):
        nonlocal answer
        if rest:
            answer = rest.pop(0)
        await asyncio.sleep(answer.connect_s)
        if answer.is_evacuated:
            place = next(
                found.place
                for found in targets.list_ready("s", clock.monotonic())
                if found.address == address
            )
            entry.targets.set_evacuated(frozenset({place}), clock.monotonic())
        if answer.end == "refused":
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        return virtual_loop.open_connection(on_request)

    entry.pool.open = open_connection
    for number in range(len(answers)):
        found = site.target(
            target_id=f"t{number}",
            address=f"127.0.0.{number + 1}:1",
        )._replace(place=f"p{number}")
        targets.merge(found, clock.monotonic())
    answering = cut_answers.Answering()
    entry.handle(answering)
    if unread:
        loop.call_later(0.1, lambda: answering.on_paused())
    if unread and reads_again:
        loop.call_later(1.5, lambda: answering.on_writable())
    if leaves:
        loop.call_later(EVENT_SECONDS, lambda: answering.on_gone())
    if moves:
        loop.call_later(EVENT_SECONDS, _turn_slow, entry)
    until = loop.now + PATIENCE_SECONDS + 1.0
    while loop.now < until and entry.open_count:
        entry.tick()
        await asyncio.sleep(0.05)
    entry.tidy()
    # The check of a target whose connection broke is left to end.
    await asyncio.sleep(1.0)
    return counted, answering


def _turn_slow(entry):
    (exchange,) = entry._open_exchanges.values()
    slowdowns = {exchange._target.address: 12.0}
    entry.update_slowdowns(slowdowns, entry.now())
