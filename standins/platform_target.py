"""Test double of a target on the users' platform.

It sends heartbeats, serves plain requests and event streams, records requests
and can break a stream, reject requests or crash on a request.
"""

import argparse
import contextlib
import http.server
import json
import os
import threading
import time
import urllib.error
import urllib.request

from standins import const

HEARTBEAT_SECONDS = 0.5
EVENT_SECONDS = 0.03


class State:
    """Configured behaviour and recorded requests, set and read by tests."""

    def __init__(
        self,
        *,
        target_id: str,
        events: int,
        ends_on: bytes = b"",
        ends_file: str = "",
        zone: str = "p",
    ) -> None:
        """Create a state without requests.

        Args:
            target_id: Id of the target.
            events: Number of events in a stream.
            ends_on: Request body content that crashes the process.
            ends_file: File that gets the body of the crashing request.
            zone: Data centre.
        """
        self.zone = zone
        self.target_id = target_id
        self.events = events
        self.ends_on = ends_on
        self.ends_file = ends_file
        self.break_after = 0
        self.refuse = False
        # Response headers: Retry-After of rejections in seconds, limit in
        # requests per second, and whether the target is draining.
        self.rest = ""
        self.limit = ""
        self.leaving = ""
        # Received requests, rejected requests and the backpressure headers of
        # each response, with monotonic time in seconds and attempt id.
        self.arrivals: list[tuple[float, str]] = []
        self.refused: list[tuple[float, str]] = []
        self.asked: list[tuple[float, str, dict[str, str]]] = []
        # Number of events sent before a streamed request crashes the target.
        self.events_before_end = 0
        # Number of plain requests to run without sending the response.
        self.lose_answers = 0
        self.presence = "ready"
        self.sequence = 0
        self.runs: list[str] = []
        self.seen: list[dict[str, str]] = []
        self.lock = threading.Lock()


class Handler(http.server.BaseHTTPRequestHandler):
    """HTTP handler for entries, and for ``/tell`` and ``/told`` of tests."""

    protocol_version = "HTTP/1.1"
    state: State

    def do_GET(self) -> None:
        """Serve a request without a body."""
        if self.path == "/told":
            state = self.state
            told = {"runs": state.runs, "seen": state.seen}
            told |= {"arrivals": state.arrivals, "refused": state.refused}
            told |= {"asked": state.asked}
            self._send_json(told)
            return
        self._serve(b"")

    def do_POST(self) -> None:
        """Serve a request with a body."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/tell":
            for key, value in json.loads(body).items():
                setattr(self.state, key, value)
            self._send_json({})
            return
        self._serve(body)

    def handle(self) -> None:
        """Serve a connection, ignoring disconnects of the caller."""
        with contextlib.suppress(ConnectionError):
            super().handle()

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the request log."""

    def _serve(self, body: bytes) -> None:
        state = self.state
        meant = self.headers.get("Target-Instance")
        if meant and meant != state.target_id:
            self._send_plain(421, b"", signed=False)
            return
        came = (time.monotonic(), self.headers.get("Attempt-Id", ""))
        state.arrivals.append(came)
        if state.rest or state.limit or state.leaving:
            asked = {
                "rest": state.rest if state.refuse else "",
                "limit": state.limit,
                "leaving": state.leaving,
            }
            state.asked.append((*came, asked))
        if state.refuse:
            state.refused.append(came)
            self._send_plain(503, b"", signed=False, not_run=True)
            return
        with state.lock:
            state.runs.append(self.headers.get("Attempt-Id", ""))
            state.seen.append({k.lower(): v for k, v in self.headers.items()})
        if state.ends_on and state.ends_on in body:
            self._crash(body)
        if "/stream/" in self.path:
            self._stream()
            return
        if state.lose_answers > 0:
            state.lose_answers -= 1
            self.close_connection = True
            return
        self._send_plain(200, b"ran " + body, signed=True)

    def _crash(self, body: bytes) -> None:
        """Exit the process without cleanup, like a crash."""
        if "/stream/" in self.path:
            self.send_response(200)
            self._send_platform_headers(True)
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            for number in range(1, self.state.events_before_end + 1):
                self._chunk(f"id: {number}\ndata: piece {number}\n\n".encode())
                time.sleep(EVENT_SECONDS)
        time.sleep(const.CRASH_DELAY_SECONDS)
        with open(self.state.ends_file, "ab", buffering=0) as file:
            file.write(body + b"\n")
        os._exit(1)

    def _send_plain(
        self, status: int, body: bytes, *, signed: bool, not_run: bool = False
    ) -> None:
        self.send_response(status)
        self._send_platform_headers(signed)
        if not_run:
            self.send_header("Not-Executed", "1")
            if self.state.rest:
                self.send_header("Retry-After", self.state.rest)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self) -> None:
        state = self.state
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        self.send_response(200)
        self._send_platform_headers(True)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, state.events + 1):
            # Only a new stream is broken, not a resumed one.
            if first == 1 and 0 < state.break_after < number:
                state.break_after = 0
                # The stream ends in the middle of an event.
                self._chunk(f"id: {number}\nda".encode())
                self.close_connection = True
                self.connection.close()
                return
            self._chunk(f"id: {number}\ndata: piece {number}\n\n".encode())
            time.sleep(EVENT_SECONDS)
        self.wfile.write(b"0\r\n\r\n")

    def _chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.wfile.flush()

    def _send_platform_headers(self, signed: bool) -> None:
        self.send_header("Attempt-Id", self.headers.get("Attempt-Id", ""))
        if self.state.limit:
            self.send_header("Server-Limit", self.state.limit)
        if self.state.leaving:
            self.send_header("Server-Leaving", self.state.leaving)
        if signed:
            self.send_header("Server-Signature", f"{self.state.target_id}.1")

    def _send_json(self, value: object) -> None:
        body = json.dumps(value).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def announce(
    state: State, service: str, address: str, controls: list[str]
) -> None:
    """Send heartbeats to the first control VM that responds."""
    while True:
        state.sequence += 1
        beat = {
            "service": service,
            "address": address,
            "zone": state.zone,
            "slots": 6,
            "state": state.presence,
            "sequence": state.sequence,
        }
        for control in controls:
            req = urllib.request.Request(
                f"http://{control}/Instances.Heartbeat/{state.target_id}",
                data=json.dumps(beat).encode(),
                headers={"Content-Type": "application/json"},
                method="POST",
            )
            try:
                with urllib.request.urlopen(req, timeout=1.0):
                    break
            except (OSError, urllib.error.URLError):
                continue
        time.sleep(HEARTBEAT_SECONDS)


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--announced", default="")
    parser.add_argument("--service", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--zone", default="p")
    parser.add_argument("--controls", required=True)
    parser.add_argument("--events", type=int, default=10)
    parser.add_argument("--ends-on", default="")
    parser.add_argument("--ends-file", default="")
    parser.add_argument("--events-before-end", type=int, default=0)
    args = parser.parse_args()
    state = State(
        target_id=args.id,
        events=args.events,
        ends_on=args.ends_on.encode(),
        ends_file=args.ends_file,
        zone=args.zone,
    )
    state.events_before_end = args.events_before_end
    host, _, port = args.address.rpartition(":")
    handler = type("BoundHandler", (Handler,), {"state": state})
    server = http.server.ThreadingHTTPServer((host, int(port)), handler)
    threading.Thread(
        target=announce,
        args=(
            state,
            args.service,
            args.announced or args.address,
            args.controls.split(","),
        ),
        daemon=True,
    ).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
