"""Test double of a target on the users' platform.

It sends heartbeats, serves plain requests and event streams, records requests
and can break a stream, reject requests or crash on a request. ``cut_answers``
describes the answers that a request can ask for in its query.
"""

import argparse
import contextlib
import http.server
import json
import os
import random
import threading
import time
from typing import Any
import urllib.error
import urllib.request

from standins import const
from standins import cut_answers

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
        crash_parts: frozenset[str] = frozenset(),
        zone: str = "p",
        slots: int = 6,
        attempts_folder: str = "",
    ) -> None:
        """Create a state without requests.

        Args:
            target_id: Id of the target.
            events: Number of events in a stream.
            ends_on: Request body content that crashes the process.
            ends_file: File that gets the body of the crashing request.
            crash_parts: Parts of prompts, other than the last one, on which the
                process crashes when it begins to write an answer.
            zone: Data centre.
            slots: Requests that it serves at a time, as it states.
            attempts_folder: Folder in which targets count the attempts of
                requests with a script.
        """
        self.zone = zone
        self.slots = slots
        self.attempts_folder = attempts_folder
        self.target_id = target_id
        self.events = events
        self.ends_on = ends_on
        self.ends_file = ends_file
        self.crash_parts = crash_parts
        self.break_after = 0
        # Framing of answers, empty for the usual ones, and cuts of the next
        # streams and plain answers: fields of ``cut_answers.Cut``.
        self.framing = ""
        self.stream_cuts: list[list[Any]] = []
        self.plain_cuts: list[list[Any]] = []
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
        # Answers one in so many plain requests with 500, none if 0, and how
        # long such a request takes at most, seconds.
        self.fail_every = 0
        self.fail_seconds = 0.0
        self.plain_runs = 0
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
        if state.crash_parts:
            self._read_prompt()
        script = cut_answers.parse_script(self.path)
        if script is not None:
            self._answer_script(script)
            return
        if "/stream/" in self.path:
            self._stream()
            return
        if state.lose_answers > 0:
            state.lose_answers -= 1
            self.close_connection = True
            return
        if self._fails():
            time.sleep(random.uniform(0, state.fail_seconds))
            self._send_plain(500, b"failed", signed=True)
            return
        cut = self._take_cut(state.plain_cuts)
        if cut is None and not state.framing:
            self._send_plain(200, b"ran " + body, signed=True)
            return
        self._send_framed([b"ran " + body], "text/plain", cut)

    def _fails(self) -> bool:
        """Return whether a plain request is answered with a failure."""
        state = self.state
        with state.lock:
            state.plain_runs += 1
            return bool(
                state.fail_every and not state.plain_runs % state.fail_every
            )

    def _answer_script(self, script: cut_answers.Script) -> None:
        """Answer as the query of the request asks."""
        request_id = self.headers.get("Attempt-Id", "")
        number = cut_answers.count_attempt(
            self.state.attempts_folder, request_id
        )
        cut = script.cuts[number] if number < len(script.cuts) else None
        is_stream = "/stream/" in self.path
        after = int(self.headers.get("Last-Event-Id") or 0) if is_stream else 0
        cut_answers.send(
            self,
            self._list_headers(
                "text/event-stream" if is_stream else "text/plain"
            ),
            cut_answers.list_events(script)[after:],
            framing=script.framing,
            cut=cut,
            after=after,
        )

    def _take_cut(self, cuts: list[list[Any]]) -> cut_answers.Cut | None:
        """Return the cut of the next answer, None if it is sent whole."""
        with self.state.lock:
            return cut_answers.Cut(*cuts.pop(0)) if cuts else None

    def _send_framed(
        self,
        pieces: list[bytes],
        media_type: str,
        cut: cut_answers.Cut | None,
        after: int = 0,
    ) -> None:
        cut_answers.send(
            self,
            self._list_headers(media_type),
            pieces,
            framing=self.state.framing or "chunks",
            cut=cut,
            after=after,
            pause_s=EVENT_SECONDS if media_type != "text/plain" else 0.0,
        )

    def _list_headers(self, media_type: str) -> list[tuple[str, str]]:
        return [
            ("Attempt-Id", self.headers.get("Attempt-Id", "")),
            ("Server-Signature", f"{self.state.target_id}.1"),
            ("Ran-For", self.headers.get("Tenant", "")),
            ("Content-Type", media_type),
        ]

    def _read_prompt(self) -> None:
        """Take the time to read a prompt; crash on some of its parts.

        Arrivals of such requests and crashes are recorded in ``ends_file``.
        """
        parts = self.headers.get("Prefix-Hash", "").split(",")
        names = {part.partition(":")[0].strip() for part in parts[:-1]}
        found = sorted(names & self.state.crash_parts)
        if found:
            self._record_part("arrived", found)
        time.sleep(const.PROMPT_SECONDS)
        if found:
            self._record_part("crashed", found)
            os._exit(1)

    def _record_part(self, what: str, parts: list[str]) -> None:
        row = {
            "what": what,
            "at": time.monotonic(),
            "target": self.state.target_id,
            "id": self.headers.get("Attempt-Id", ""),
            "parts": parts,
        }
        with open(self.state.ends_file, "ab", buffering=0) as file:
            file.write(json.dumps(row).encode() + b"\n")

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
        cut = self._take_cut(state.stream_cuts)
        is_broken = first == 1 and state.break_after > 0
        if cut is not None or (state.framing and not is_broken):
            events = [
                f"id: {number}\ndata: piece {number}\n\n".encode()
                for number in range(first, state.events + 1)
            ]
            self._send_framed(events, "text/event-stream", cut, first - 1)
            return
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
            self.send_header("Ran-For", self.headers.get("Tenant", ""))

    def _send_json(self, value: object) -> None:
        body = json.dumps(value).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(http.server.ThreadingHTTPServer):
    """HTTP server that accepts many connections at once."""

    request_queue_size = 128


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
            "slots": state.slots,
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
    parser.add_argument("--crash-parts", default="")
    parser.add_argument("--events-before-end", type=int, default=0)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--attempts-folder", default="")
    args = parser.parse_args()
    state = State(
        target_id=args.id,
        events=args.events,
        ends_on=args.ends_on.encode(),
        ends_file=args.ends_file,
        crash_parts=frozenset(filter(None, args.crash_parts.split(","))),
        zone=args.zone,
        slots=args.slots,
        attempts_folder=args.attempts_folder,
    )
    state.events_before_end = args.events_before_end
    host, _, port = args.address.rpartition(":")
    handler = type("BoundHandler", (Handler,), {"state": state})
    server = Server((host, int(port)), handler)
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
