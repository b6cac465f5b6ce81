"""A large valid configuration keeps all later ones from being accepted."""

import json
import pathlib
import random
import string
import sys
import threading
import time
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness  # noqa: E402

CUSTOMERS = 15_000
# Without the trouble each customer has one key, half as many bytes.
KEYS = 2 if harness.TROUBLE else 1
KEY_CHARS = 40
# The second operator's order follows so long after the first one's.
SECOND_S = 2.0
# Four times ackMs.
WAIT_S = 16.0
READ_S = 4.0
# The operator waits longer than a second for a large body, and ever longer
# between its tries.
ANSWER_S = 3.0
BACKOFF_S = (0.2, 0.4, 0.8, 1.6, 3.0)


def make_large(version: int) -> bytes:
    """Return a valid configuration for as many customers as letter 1 names."""
    rng = random.Random(60)
    letters = string.ascii_letters + string.digits

    def draw(count: int) -> str:
        return "".join(rng.choices(letters, k=count))

    document = harness.document(version)
    document["tenants"] = [
        {"name": "one", "apiKeys": [harness.KEY], "priority": 1},
        *(
            {
                "name": draw(7),
                "apiKeys": [draw(KEY_CHARS) for _ in range(KEYS)],
                "priority": 1,
            }
            for _ in range(CUSTOMERS - 1)
        ),
    ]
    return json.dumps(document, separators=(",", ":")).encode()


class Operator(threading.Thread):
    """Sends one order to one machine after another until it is accepted."""

    def __init__(self, site: harness.Site, body: bytes) -> None:
        """Prepare the order; ``start`` sends it."""
        super().__init__(daemon=True)
        self.acked_at = 0.0
        self.is_over = threading.Event()
        self._site = site
        self._body = body

    def run(self) -> None:
        """Send the order again and again, with increasing pauses."""
        tries = 0
        while not self.is_over.is_set():
            number = tries % 3 + 1
            status, _ = self._site.call(
                number,
                self._site.control,
                "POST",
                "/Configuration.Replace",
                self._body,
                {"Content-Type": "application/json"},
                ANSWER_S,
            )
            self._site.log("large order", machine=number, status=status)
            if status == 200:
                self.acked_at = self._site.now()
                return
            self.is_over.wait(BACKOFF_S[min(tries, len(BACKOFF_S) - 1)])
            tries += 1


def main(site: harness.Site) -> int:
    """Run the case; return its exit code."""
    machines = (1, 2, 3)
    for number in machines:
        site.start("control", number, bootstrap=True)
        site.start("entry", number, bootstrap=True)
    doc = harness.document(5)
    if not site.wait(
        "version 5 acknowledged", lambda: site.order(doc, 2) == 200, 20
    ):
        return harness.NOT_RUN
    if not site.wait(
        "entries ready", lambda: all(map(site.is_ready, machines)), 10
    ):
        return harness.NOT_RUN
    time.sleep(4)
    large = make_large(6)
    site.log(
        "large configuration",
        version=6,
        bytes=len(large),
        packed=len(zlib.compress(large, 1)),
    )
    operator = Operator(site, large)
    operator.start()
    time.sleep(SECOND_S)
    # Two operators: a small change by another one, with a higher version.
    small, sent_at, acked_at, tries = harness.document(9), site.now(), 0.0, 0
    while not acked_at and site.now() < sent_at + WAIT_S:
        tries += 1
        if site.order(small, tries % 3 + 1) == 200:
            acked_at = site.now()
        else:
            time.sleep(0.3)
    waited = (acked_at or site.now()) - sent_at
    reads, until = [], site.now() + READ_S
    while site.now() < until:
        reads += [site.describe(number) for number in machines]
        time.sleep(0.3)
    operator.is_over.set()
    running = sum(proc.poll() is None for proc in site.procs.values())
    answered = [version for status, version in reads if status == 200]
    site.log(
        "result",
        large_acked_at=operator.acked_at or None,
        small_acked=bool(acked_at),
        small_waited_s=round(waited, 1),
        small_tries=tries,
        reads=len(reads),
        reads_answered=len(answered),
        versions=sorted(set(answered)),
        running=running,
    )
    if running < 2 * len(machines):
        return harness.NOT_RUN
    return harness.HELD if acked_at else harness.BROKEN


if __name__ == "__main__":
    sys.exit(harness.run("5", main))
