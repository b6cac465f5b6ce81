"""Steps for cut_bodies.feature."""

import contextlib
import io
import pathlib
import socket
import sys

from behave import then
from behave import when

from jasperweir.cli import main as cli
from jasperweir.components.configctl import control_calls as control_calls_lib
from jasperweir.components.registry import ops
from jasperweir.daemons import operator_api
from jasperweir.helpers import http_message

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.append(str(ROOT / "platform"))

from adapter import control_calls  # noqa: E402
from adapter import engine_calls  # noqa: E402

STATE = (
    b'{"sequence": 12, "queued": 3, "active": 2, "pace": 1.5, "step": 40,'
    b' "mapping": 7, "size": 4, "group":'
    b' {"name": "g", "epoch": 3, "rank": 1, "state": "open"}}'
)
COUNTS = b'{"counts": [12, 345, 6789]}'
PLACEMENT = b'{"mapping": {"version": 7, "experts": [[1, 23], [4, 56]]}}'
CONFIGURATION = (
    b'{"version": 12, "routes": [{"name": "r", "host": "h", "pathPrefix": "/",'
    b' "type": "safe", "timeoutMs": 8000, "service": "m"}],'
    b' "services": [{"name": "m", "maxConnections": 16}]}'
)
OPERATION = b'{"op_id": "a", "version": 12}'
LINE = '{"at": 1.5, "event": "target checked", "node": "é", "level": "INFO"}\n'
CUT_REQUESTS = (
    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{}",
    b"POST / HTTP/1.0\r\nContent-Length: 10\r\n\r\n{}",
    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n",
    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1",
    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}",
    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\n{}\r\n",
    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0002\r\n{}\r\n0",
    b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0002\r\n{}\r\n00",
)


def read_parts(context, body, read):
    """Read a body whole, and then each of its beginnings.

    Args:
        context: Receives ``read_sizes``, the sizes that were read.
        body: The whole body.
        read: Returns whether a body is taken for a whole value.
    """
    assert read(body)
    context.read_sizes = [n for n in range(len(body)) if read(body[:n])]


@when("the body of an engine's {what} is cut off at every byte")
def step_engine_body(context, what):
    dialect = engine_calls.EngineDialect()
    body, decode = {
        "state": (STATE, dialect.state),
        "counts": (COUNTS, dialect.counts),
        "placement": (PLACEMENT, dialect.placement),
    }[what]

    def read(part):
        try:
            decode(part)
        except ValueError:
            return False
        return True

    read_parts(context, body, read)


@when("a configuration is cut off at every byte")
def step_configuration(context):
    def read(part):
        req = http_message.Request(
            method=b"POST",
            target=b"/Configuration.Replace",
            headers=[],
            body=part,
            keep_alive=True,
        )
        call = control_calls.ControlDialect().call(req)
        return isinstance(call, control_calls_lib.Replace)

    read_parts(context, CONFIGURATION, read)


@when("an operation is cut off at every byte")
def step_operation(context):
    def read(part):
        found = operator_api._parse_operation(ops.Roll, part)
        return found.value_or(None) is not None

    read_parts(context, OPERATION, read)


@then("no part of it is read")
def step_not_read(context):
    assert not context.read_sizes, context.read_sizes


@when("request bodies are cut off in every framing")
def step_cut_requests(context):
    context.ends = []
    for text in CUT_REQUESTS:
        with socket.create_connection(context.server.address, 3.0) as sock:
            sock.sendall(text)
            sock.shutdown(socket.SHUT_WR)
            with contextlib.suppress(ConnectionResetError):
                while sock.recv(65536):
                    continue
    whole = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
    context.server.play_bytes(whole)


@then("no request reaches its handler")
def step_no_request(context):
    assert context.server.bodies == [b"{}"], context.server.bodies


@when("a log is reported that is cut off inside a character")
def step_cut_log(context):
    path = pathlib.Path(context.folder) / "entry.log"
    raw = LINE.encode()
    path.write_bytes(raw + raw[: raw.index("é".encode()) + 1])
    with contextlib.redirect_stdout(io.StringIO()) as out:
        context.code = cli.main(["report", "requests", str(path)])
    context.page = out.getvalue()


@then("the report counts the complete lines")
def step_report(context):
    assert context.code == 0, context.code
    assert context.page
