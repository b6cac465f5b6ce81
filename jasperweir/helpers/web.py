"""Threaded HTTP server based on waitress, with a table of routes."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import http
import json
import socket
import struct
import threading
from typing import Any
from typing import NamedTuple
import urllib.parse

import waitress
import waitress.channel
import waitress.server
import waitress.task

from jasperweir import result_codes

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
# Most bytes of a chunk's size and extension, or of a trailer.
MAX_FRAMING_BYTES = 64 * 1024
CHANNEL_TIMEOUT_SECONDS = 120
CODE_HEADER = "Jasperweir-Code"
OUTCOME_HEADER = "Jasperweir-Outcome"
# Buffered bytes at which waitress sends: a stream is sent without delay.
SEND_BYTES = 1


class Req(NamedTuple):
    """HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)


class Resp(NamedTuple):
    """HTTP response; an iterable body is streamed."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes | Iterable[bytes]


Handler = Callable[[Req], Resp]


class Route(NamedTuple):
    """Handler of a method, or ``*`` for any, and a path prefix."""

    method: str
    prefix: str
    handler: Handler


def json_resp(status: int, value: Any, **headers: str) -> Resp:
    """Return a JSON response; underscores in header names become hyphens."""
    body = json.dumps(value, sort_keys=True).encode() + b"\n"
    fields = [("Content-Type", "application/json")]
    fields += [(k.replace("_", "-"), v) for k, v in headers.items()]
    return Resp(status=status, headers=fields, body=body)


def code_resp(
    code: result_codes.Code,
    detail: str = "",
    *,
    retry_after: float | None = None,
    vouched: bool = True,
    extra: dict[str, Any] | None = None,
) -> Resp:
    """Return the response for a result code.

    Args:
        code: Result code.
        detail: Human-readable details.
        retry_after: Seconds after which the caller should retry.
        vouched: Whether earlier attempts are known not to have run; if False,
            the outcome "not run" becomes "unknown".
        extra: Additional fields of the error object.
    """
    row = result_codes.TABLE[code]
    outcome = row.outcome
    if outcome is result_codes.Outcome.NOT_RUN and not vouched:
        outcome = result_codes.Outcome.UNKNOWN
    error: dict[str, Any] = {
        "code": int(code),
        "name": code.name.lower(),
        "outcome": outcome,
        "retry": row.retry,
        "message": row.text,
        "detail": detail,
    }
    headers = {CODE_HEADER.replace("-", "_"): str(int(code))}
    if outcome is not None:
        headers[OUTCOME_HEADER.replace("-", "_")] = outcome.value
    if retry_after is not None:
        error["retry_after_s"] = round(retry_after, 3)
        headers["Retry_After"] = str(max(1, round(retry_after + 0.499)))
    error.update(extra or {})
    return json_resp(row.http, {"error": error}, **headers)


class _Task(waitress.task.WSGITask):
    """Response whose connection is reset if its body lacks its end.

    The end of the connection ends a body without a length for an HTTP/1.0
    caller. Any end of the connection before the end of the response is a reset
    then, the end of the process included.
    """

    def build_response_header(self) -> bytes:
        """Return the head, after which the body is not complete."""
        head: bytes = super().build_response_header()
        if self.content_length is None and not self.chunked_response:
            self._reset_on_close(True)
        return head

    def finish(self) -> None:
        """Complete the response."""
        super().finish()
        if self.content_length is None and not self.chunked_response:
            self._reset_on_close(False)

    def _reset_on_close(self, is_reset: bool) -> None:
        linger = struct.pack("ii", is_reset, 0)
        # The caller may be gone.
        with contextlib.suppress(OSError):
            self.channel.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )


class _Channel(waitress.channel.HTTPChannel):
    task_class = _Task

    def received(self, data: bytes) -> bool:
        """Parse bytes from the caller.

        waitress bounds heads and bodies, and neither the extension of a chunk
        nor a trailer.
        """
        is_kept: bool = super().received(data)
        receiver = getattr(self.request, "body_rcv", None)
        framing = len(getattr(receiver, "control_line", b""))
        framing += len(getattr(receiver, "trailer", b""))
        if framing > MAX_FRAMING_BYTES:
            self.handle_close()
        return is_kept


class Server:
    """Serves routes on an address with a pool of threads."""

    def __init__(
        self, *, address: str, threads: int, routes: list[Route]
    ) -> None:
        self.address = address
        self._routes = sorted(routes, key=lambda r: -len(r.prefix))
        host, _, port = address.rpartition(":")
        self._server = waitress.server.create_server(
            self._app,
            host=host,
            port=int(port),
            threads=threads,
            send_bytes=SEND_BYTES,
            connection_limit=4 * threads + 64,
            channel_timeout=CHANNEL_TIMEOUT_SECONDS,
            max_request_body_size=MAX_BODY_BYTES,
            max_request_header_size=MAX_HEADER_BYTES,
            asyncore_use_poll=True,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = _Channel
        self._thread = threading.Thread(
            target=self._server.run, name="http", daemon=True
        )

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def stop(self) -> None:
        """Close the listener; no more connections are accepted."""
        self._server.close()

    def _app(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        req = _request(environ)
        resp = self._dispatch(req)
        phrase = _phrase(resp.status)
        body = resp.body
        headers = list(resp.headers)
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            start_response(f"{resp.status} {phrase}", headers)
            return [body]
        start_response(f"{resp.status} {phrase}", headers)
        return body

    def _dispatch(self, req: Req) -> Resp:
        for route in self._routes:
            if route.method not in ("*", req.method):
                continue
            if req.path.startswith(route.prefix):
                return route.handler(req)
        return code_resp(result_codes.Code.NOT_FOUND, req.path)


def _request(environ: dict[str, Any]) -> Req:
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
    return Req(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=query,
        headers=headers,
        body=environ["wsgi.input"].read(),
    )


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Client Closed Request"
