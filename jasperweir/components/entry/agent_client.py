"""HTTP client for agents; results are events of a request."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

import urllib3

from jasperweir.components.entry import parsed_request as request_lib
from jasperweir.components.request import events
from jasperweir.components.runs import const as run_const
from jasperweir.helpers import http_pool

CONNECT_SECONDS = 0.5
CONTROL_CALL_SECONDS = 2.0
# Longer than the stall of a group while a lost host restarts.
STREAM_STALL_SECONDS = 15.0
READ_CHUNK_BYTES = 64 * 1024
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_MISDIRECTED = 421
HTTP_BAD_GATEWAY = 502

_NOTHING_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Target(NamedTuple):
    """An agent in one incarnation, with its HTTP address ``ip:port``."""

    name: str
    inc: int
    http: str


class Load(NamedTuple):
    """Load report in the headers of an answer.

    Attributes:
        active: Active requests at the target.
        skew: Lag of the slowest rank as a share of a step.
        switching: Whether an expert map switch is pending.
        cached: Hashes of recently cached prompt prefixes.
    """

    active: int
    skew: float
    switching: bool
    cached: tuple[int, ...] = ()


class Stream(NamedTuple):
    """An answer whose head was received.

    Attributes:
        status: HTTP status of the target's answer.
        content_type: Content type of the target's answer.
        chunks: Chunks of the body; raises HTTPError if it is incomplete.
        close: Closes the connection without reading the rest.
    """

    status: int
    content_type: str
    chunks: Iterator[bytes]
    close: Callable[[], None]


Result = events.Event | Stream


class AgentClient:
    """Client for the HTTP interface of agents.

    Retries of urllib3 are disabled, so that each call sends one request.
    """

    def __init__(
        self,
        *,
        connections: int,
        on_load: Callable[[str, Load], None],
    ) -> None:
        self._on_load = on_load
        self._http = http_pool.create(
            num_pools=256, maxsize=connections, block=False
        )

    def reserve(self, rid: str, service: str, target: Target) -> Result:
        """Reserve a slot for a run id."""
        return self._post_control(f"/runs/{rid}/reserve", service, target)

    def revoke(self, rid: str, service: str, target: Target) -> Result:
        """Prevent a run id from ever starting."""
        return self._post_control(f"/runs/{rid}/revoke", service, target)

    def run(
        self,
        rid: str,
        request: request_lib.ParsedRequest,
        target: Target,
        timeout: float,
    ) -> Result:
        """Send a request to run it."""
        path = f"/runs/{rid}?service={request.spec.name}"
        if request.keyed:
            path += "&reserved=1"
        headers = {
            "Content-Type": request.content_type,
            "Jasperweir-Path": request.path,
            "Jasperweir-Method": request.method,
            "Jasperweir-Priority": str(request.priority),
            "Jasperweir-Customer": request.customer.name,
        }
        return self._open("POST", path, target, headers, request.body, timeout)

    def attach(
        self, rid: str, offset: int, target: Target, timeout: float
    ) -> Result:
        """Read the answer of a run from an offset."""
        path = f"/runs/{rid}?offset={offset}"
        return self._open("GET", path, target, {}, None, timeout)

    def _post_control(self, path: str, service: str, target: Target) -> Result:
        try:
            resp = self._http.request(
                "POST",
                f"http://{target.http}{path}?service={service}",
                headers={run_const.H_INCARNATION: str(target.inc)},
                timeout=urllib3.Timeout(
                    connect=CONNECT_SECONDS, read=CONTROL_CALL_SECONDS
                ),
            )
        except _NOTHING_SENT:
            return events.Unsent()
        except urllib3.exceptions.HTTPError:
            return events.Broke(relayed=0)
        self._report_load(target.name, resp)
        if resp.status == HTTP_OK:
            state = resp.headers.get(run_const.H_REASON, "")
            if state == "reserved":
                return events.Reserved()
            return events.Exists()
        return _failure_event(resp)

    def _open(
        self,
        method: str,
        path: str,
        target: Target,
        headers: dict[str, str],
        body: bytes | None,
        timeout: float,
    ) -> Result:
        try:
            resp = self._http.request(
                method,
                f"http://{target.http}{path}",
                body=body,
                headers={run_const.H_INCARNATION: str(target.inc), **headers},
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_SECONDS, read=max(timeout, 0.001)
                ),
            )
        except _NOTHING_SENT:
            return events.Unsent()
        except urllib3.exceptions.HTTPError:
            return events.Broke(relayed=0)
        self._report_load(target.name, resp)
        if resp.status != HTTP_OK:
            refusal = _failure_event(resp)
            resp.drain_conn()
            resp.release_conn()
            return refusal
        status = int(resp.headers.get("Jasperweir-Engine-Status", "200"))
        return Stream(
            status=status,
            content_type=resp.headers.get("Content-Type", ""),
            chunks=_chunks(resp),
            close=resp.close,
        )

    def _report_load(self, name: str, resp: urllib3.BaseHTTPResponse) -> None:
        parts = resp.headers.get(run_const.H_LOAD, "").split(";")
        try:
            active, skew, switching = parts
            named = resp.headers.get(run_const.H_CACHED, "").split(",")
            load = Load(
                active=int(active),
                skew=float(skew),
                switching=switching == "1",
                cached=tuple(int(p) for p in named if p),
            )
        except ValueError:
            return
        self._on_load(name, load)


def _chunks(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    yield from resp.stream(READ_CHUNK_BYTES)
    resp.release_conn()


def _failure_event(resp: urllib3.BaseHTTPResponse) -> events.Event:
    match resp.status:
        case status if status == HTTP_MISDIRECTED:
            return events.OtherIncarnation()
        case status if status == HTTP_CONFLICT:
            reason = resp.headers.get(run_const.H_REASON, "")
            return events.Refused(reason=reason)
        case status if status == HTTP_NOT_FOUND:
            return events.Unknown()
        case status if status in (HTTP_GONE, HTTP_BAD_GATEWAY):
            text = resp.headers.get(run_const.H_ENGINE_END, "")
            crash_number = int(text) if text.isdigit() else 0
            return events.Broke(relayed=0, ended=True, engine_end=crash_number)
    return events.Broke(relayed=0)
