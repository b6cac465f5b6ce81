"""Clients read large answers slowly while their entry gets SIGTERM."""

import json
import pathlib
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness  # noqa: E402

CLIENTS = 8
DEADLINE_S = 8.0
# A mobile link of 0.8 Mbit/s.
BYTES_A_SECOND = 100_000
SIGNAL_AFTER_S = 0.5
BODY_BYTES = 700_000


class Client(threading.Thread):
    """One client that sends a request and reads at the rate of its link."""

    def __init__(self, site: harness.Site, number: int) -> None:
        """Prepare the request; ``start`` sends it."""
        super().__init__()
        self.attempt = f"{number:016x}"
        self.size = BODY_BYTES + 4_000 * number
        self.status = 0
        self.received = 0
        self.seconds = 0.0
        self.ended_by = ""
        self._site = site

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has arrived."""
        return self.status == 200 and self.received == self.size

    def run(self) -> None:
        """Send the request and read the answer until its end."""
        site = self._site
        began = time.monotonic()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.settimeout(DEADLINE_S)
        try:
            sock.connect((site.ip(1), site.callers))
            sock.sendall(
                f"POST /book/{self.size} HTTP/1.1\r\n"
                f"Host: {harness.HOST}\r\n"
                f"Attempt-Id: {self.attempt}\r\n"
                f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                f"Authorization: Bearer {harness.KEY}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            data = b""
            while b"\r\n\r\n" not in data:
                piece = sock.recv(4096)
                if not piece:
                    raise ConnectionError("closed before the head")
                data += piece
            head, _, rest = data.partition(b"\r\n\r\n")
            self.status = int(head.split()[1])
            self.received = len(rest)
            first = time.monotonic()
            while self.received < self.size:
                due = first + self.received / BYTES_A_SECOND
                time.sleep(max(due - time.monotonic(), 0))
                if time.monotonic() - began > DEADLINE_S:
                    self.ended_by = "deadline"
                    break
                piece = sock.recv(min(4096, self.size - self.received))
                if not piece:
                    self.ended_by = "connection closed"
                    break
                self.received += len(piece)
        except OSError as exc:
            self.ended_by = f"{type(exc).__name__}: {exc}"
        finally:
            sock.close()
        self.seconds = time.monotonic() - began
        site.log(
            "client",
            attempt=self.attempt,
            status=self.status,
            received=self.received,
            size=self.size,
            after_s=round(self.seconds, 2),
            ended_by=self.ended_by or "complete",
        )


def main(site: harness.Site) -> int:
    """Run the case; return its exit code."""
    for number in (1, 2, 3):
        site.start("control", number, bootstrap=True)
        site.start("entry", number, bootstrap=True)
    site.start_replica(1)
    site.start_replica(2)
    doc = harness.document(5)
    if not site.wait(
        "configuration acknowledged", lambda: site.order(doc, 2) == 200, 20
    ):
        return harness.NOT_RUN
    if not site.wait(
        "entries ready", lambda: all(map(site.is_ready, (1, 2, 3))), 10
    ):
        return harness.NOT_RUN
    # No disruption and nothing planned for stableWindowMs before.
    time.sleep(4)
    status, body = site.call(
        2,
        site.lookup,
        "GET",
        f"/lookup?name={harness.HOST}&region=region&zone=zone-a",
    )
    address = f"{site.ip(1)}:{site.callers}"
    site.log("look-up", status=status, body=body.decode())
    if status != 200 or address not in json.loads(body)["addresses"]:
        return harness.NOT_RUN
    clients = [Client(site, number) for number in range(1, CLIENTS + 1)]
    for client in clients:
        client.start()
    time.sleep(SIGNAL_AFTER_S)
    if harness.TROUBLE:
        site.signal("entry-1", signal.SIGTERM)
        sent_at = time.monotonic()
        site.procs["entry-1"].wait(timeout=8.0)
        site.log(
            "entry-1 ended by itself",
            after_s=round(time.monotonic() - sent_at, 2),
        )
    for client in clients:
        client.join()
    for row in site.list_runs():
        site.log("run", replica_and_attempt=row)
    if any(c.ended_by == "deadline" for c in clients):
        # The machine was too slow for the rate that the clients want.
        return harness.NOT_RUN
    lost = [c for c in clients if not c.is_complete]
    site.log("result", lost=len(lost), of=len(clients))
    return harness.BROKEN if lost else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run("5", main))
