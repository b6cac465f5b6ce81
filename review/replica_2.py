"""Sound replica: heartbeats, plain answers and event streams.

The size of a plain answer is the number after the last slash of the path, in
bytes; a stream has as many events. Each run is written to a file.
"""

import argparse
import http.client
import http.server
import json
import pathlib
import threading
import time

HEARTBEAT_SECONDS = 1.2
EVENT_SECONDS = 0.05
PIECE_BYTES = 16384


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves the requests of entries."""

    protocol_version = "HTTP/1.1"
    replica_id = ""
    runs = pathlib.Path()

    def do_GET(self) -> None:
        """Serve a request without a body."""
        self._serve()

    def do_POST(self) -> None:
        """Serve a request with a body."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self._serve()

    def log_message(self, format: str, *args: object) -> None:
        """Write no log."""

    def _serve(self) -> None:
        meant = self.headers.get("Target-Instance", self.replica_id)
        attempt = self.headers.get("Attempt-Id", "")
        if meant != self.replica_id:
            self.send_response(421)
            self.send_header("Attempt-Id", attempt)
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        with self.runs.open("a", encoding="utf-8") as file:
            file.write(f"{self.replica_id} {attempt}\n")
        size = int(self.path.rpartition("/")[2] or 0)
        self.send_response(200)
        self.send_header("Attempt-Id", attempt)
        self.send_header("Server-Signature", f"{self.replica_id}.{attempt}")
        if self.path.startswith("/stream/"):
            self._send_events(size)
            return
        self.send_header("Content-Length", str(size))
        self.end_headers()
        while size:
            piece = min(size, PIECE_BYTES)
            self.wfile.write(b"x" * piece)
            size -= piece

    def _send_events(self, count: int) -> None:
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, count + 1):
            data = f"id: {number}\ndata: piece {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            time.sleep(EVENT_SECONDS)
        self.wfile.write(b"0\r\n\r\n")


class Server(http.server.ThreadingHTTPServer):
    """Server that accepts many connections at once."""

    request_queue_size = 128
    daemon_threads = True

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore entries that disconnect."""


def announce(beat: dict[str, object], name: str, controls: list[str]) -> None:
    """Send a heartbeat to the first control machine that acknowledges it."""
    for control in controls:
        host, _, port = control.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            conn.request(
                "POST",
                f"/Instances.Heartbeat/{name}",
                json.dumps(beat),
                {"Content-Type": "application/json"},
            )
            if 200 <= conn.getresponse().status < 300:
                return
        except (OSError, http.client.HTTPException):
            continue
        finally:
            conn.close()


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--controls", required=True)
    parser.add_argument("--runs", required=True)
    args = parser.parse_args()
    Handler.replica_id = args.id
    Handler.runs = pathlib.Path(args.runs)
    host, _, port = args.address.rpartition(":")
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    sequence = 0
    while True:
        sequence += 1
        beat: dict[str, object] = {
            "service": "llm",
            "address": args.address,
            "zone": args.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": sequence,
        }
        announce(beat, args.id, args.controls.split(","))
        time.sleep(HEARTBEAT_SECONDS)


if __name__ == "__main__":
    main()
