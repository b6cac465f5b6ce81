"""Answers that targets send byte by byte from a script, read by a caller.

The caller has a connection to the entry's own HTTP server and reads what it
gets by the framing alone.
"""

import asyncio
import random
from typing import NamedTuple

from features.harness import cut_answers
from features.harness import hop
from features.harness import site
from features.harness import virtual_loop
from jasperweir.components.balance import budget
from jasperweir.components.balance import entry_cell
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory
from jasperweir.components.forward import dialect
from jasperweir.components.forward import forwarder
from jasperweir.helpers import http_client
from jasperweir.helpers import http_server
from jasperweir.helpers import metrics

RESET = ConnectionResetError(104, "reset")
MAX_TARGETS = 4
STEP_SECONDS = 0.01
SLOW_AFTER_SECONDS = 0.5


class Script(NamedTuple):
    """What a target sends to one attempt.

    Attributes:
        parts: Bytes of the answer, head included, one read each.
        end: "close", "reset" or "open".
        after_s: Pause before the end, seconds.
    """

    parts: tuple[bytes, ...]
    end: str = "open"
    after_s: float = STEP_SECONDS


class Received(NamedTuple):
    """What a caller read from its connection.

    Attributes:
        status: Status of the first response, 0 without one.
        headers: Its headers.
        body: Its body as far as it came.
        is_whole: Whether its framing is complete.
        extra: Bytes after it.
        ended_s: When the response or its connection ended, seconds after the
            request.
        asked: The resume point of each attempt.
        closed: Whether the entry closed the connection.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    extra: bytes
    ended_s: float
    asked: list[str]
    closed: bool


def head(*fields, status=200, version=b"1.1", media=b"text/event-stream"):
    """Return the head of an answer."""
    lines = [b"HTTP/%b %d X" % (version, status)]
    if media:
        lines.append(b"Content-Type: " + media)
    return b"\r\n".join([*lines, *fields]) + b"\r\n\r\n"


CHUNKED = b"Transfer-Encoding: chunked"


def chunks(*datas, last=True):
    """Return data in the chunked coding."""
    out = b"".join(b"%x\r\n%b\r\n" % (len(d), d) for d in datas if d)
    return out + (b"0\r\n\r\n" if last else b"")


def event(number):
    """Return an event."""
    return b"id: %d\ndata: p%d\n\n" % (number, number)


class _Transport(asyncio.Transport):
    """The caller's connection to the entry."""

    def __init__(self):
        super().__init__()
        self.data = b""
        self.closed = False
        self.changed_at = 0.0
        self.conn = None

    def write(self, data):
        if not self.closed:
            self.data += data
            self.changed_at = asyncio.get_running_loop().time()

    def close(self):
        if not self.closed:
            self.closed = True
            loop = asyncio.get_running_loop()
            self.changed_at = loop.time()
            loop.call_soon(self.conn.connection_lost, None)

    abort = close

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name, default=None):
        return virtual_loop._Socket() if name == "socket" else default


class _Dialect(hop.Dialect):
    def __init__(self, *, resume_after):
        self._resume_after = resume_after

    def parse_caller_headers(self, req):
        return dialect.CallerHeaders("id", 5.0, "", 10, 10, self._resume_after)


class Listener:
    """Records the calls for one response."""

    def __init__(self):
        self.calls = []

    def on_head(self, response_head, length):
        self.calls.append("head")
        return True

    def on_data(self, data):
        self.calls.append("data")

    def on_end(self):
        self.calls.append("end")

    def on_broken(self, reason):
        self.calls.append(f"broken: {reason}")


def refuse_second(entry):
    """Refuse the second connection that an entry opens."""
    open_connection = entry.pool.open
    addresses = []

    async def open_or_refuse(address):
        addresses.append(address)
        if len(addresses) == 2:
            raise OSError("refused")
        return await open_connection(address)

    entry.pool.open = open_or_refuse


def watch_faults(entry, faults):
    """Add the reason and the logged progress of each fault to a list."""
    recorder = entry.outcomes._responses
    record_fault = recorder.record_fault

    def record(exchange, target, fault, open_requests):
        progress = exchange.progress
        faults.append((progress.reason, progress.log_fields()))
        record_fault(exchange, target, fault, open_requests)

    recorder.record_fault = record


def turn_slow(entry, conn, loop):
    """Report the first target as slow once it has answered in part."""

    def report():
        chosen = {open_.target_id for open_ in entry._open_exchanges.values()}
        slowdowns = {
            f"127.0.0.{number}:1": 5.0 if f"t{number}" in chosen else 1.0
            for number in range(1, MAX_TARGETS + 1)
        }
        entry.update_slowdowns(slowdowns, entry.now())

    loop.call_later(SLOW_AFTER_SECONDS, report)


def run(
    route_name,
    *scripts,
    attempts=2,
    resume_after="",
    method=b"POST",
    caller_version=b"1.1",
    on_entry=None,
    seconds=cut_answers.PATIENCE_SECONDS + 1.0,
):
    """Return what a caller reads while targets follow scripts, one an attempt.

    Args:
        route_name: Key of cut_answers.ROUTES.
        *scripts: What is sent to each attempt; the last one is repeated.
        attempts: Most targets that may get the request.
        resume_after: Id after which the caller resumes.
        method: Method of its request.
        caller_version: HTTP version of its request.
        on_entry: Called with the forwarder, the caller's connection and the
            loop before the request is sent.
        seconds: Virtual time after which the caller stops to read.
    """
    loop = virtual_loop.VirtualLoop()
    try:
        return loop.run_until_complete(
            _run(
                loop, route_name, scripts, attempts, resume_after, method,
                caller_version, on_entry, seconds,
            )
        )  # fmt: skip
    finally:
        loop.close()


async def _run(
    loop, route_name, scripts, attempts, resume_after, method,
    caller_version, on_entry, seconds,
):  # fmt: skip
    kind, resumable, _ = cut_answers.ROUTES[route_name]
    clock = virtual_loop.LoopClock(loop=loop)
    targets = directory.Directory()
    entry = forwarder.Forwarder(
        clock=clock,
        rng=random.Random(1),
        dialect=_Dialect(resume_after=resume_after),
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
            routes=(
                hop.route(
                    kind=kind, timeout_s=5.0, resumable=resumable,
                    attempts=attempts,
                ),
            ),
            services=(),
            limits=model.Limits(16384, 65536, 3.0, 15.0),
            customers=(),
        )
    )  # fmt: skip
    entry.on_entries((), hears_leader=False)
    asked = []

    def on_request(transport, request_head):
        after = request_head.partition(b"after: ")[2].partition(b"\r\n")[0]
        script = scripts[min(len(asked), len(scripts) - 1)]
        asked.append(after.decode("latin-1"))
        at = 0.0
        for part in script.parts:
            at += STEP_SECONDS
            loop.call_later(at, transport.answer, part)
        at += script.after_s
        if script.end == "close":
            loop.call_later(at, transport.end)
        elif script.end == "reset":
            loop.call_later(at, transport.end, RESET)

    async def open_connection(address):
        return virtual_loop.open_connection(on_request)

    entry.pool.open = open_connection
    for number in range(1, MAX_TARGETS + 1):
        found = site.target(
            target_id=f"t{number}", address=f"127.0.0.{number}:1"
        )
        targets.merge(found, clock.monotonic())
    server = http_server.Server(address="127.0.0.1:1", handler=entry.handle)
    conn = http_server.Connection(server=server)
    transport = _Transport()
    transport.conn = conn
    conn.connection_made(transport)
    if on_entry is not None:
        on_entry(entry, conn, loop)
    begin = loop.now
    fields = b"Host: h\r\n"
    if method == b"POST":
        fields += b"Content-Length: 0\r\n"
    conn.data_received(
        method + b" / HTTP/" + caller_version + b"\r\n" + fields + b"\r\n"
    )
    while loop.now < begin + seconds:
        entry.tick()
        await asyncio.sleep(0.05)
    return _read(transport, asked, method, begin)


def _read(transport, asked, method, begin):
    raw_head, mark, rest = transport.data.partition(b"\r\n\r\n")
    ended_s = transport.changed_at - begin
    if not mark:
        return Received(
            0, {}, b"", False, b"", ended_s, asked, transport.closed
        )
    lines = raw_head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(": ")
        headers[name] = value
    body, is_whole, extra = b"", False, b""
    if method == b"HEAD" or status in (204, 304):
        is_whole, extra = True, rest
    elif "content-length" in headers:
        size = int(headers["content-length"])
        body, extra = rest[:size], rest[size:]
        is_whole = len(body) == size
    elif headers.get("transfer-encoding") == "chunked":
        body, is_whole, extra = _decode(rest)
    else:
        body, is_whole = rest, transport.closed
    return Received(
        status, headers, body, is_whole, extra, ended_s, asked, transport.closed
    )


def _decode(rest):
    body = b""
    while True:
        line, mark, after = rest.partition(b"\r\n")
        if not mark:
            return body, False, b""
        size = int(line, 16)
        if not size:
            return body, after[:2] == b"\r\n", after[2:]
        if len(after) < size + 2:
            return body + after[:size], False, b""
        body += after[:size]
        rest = after[size + 2 :]
