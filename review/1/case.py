"""All processes are killed while an expert map is switched."""

import http.client
import os
import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402
import ranks  # noqa: E402

# Ranks of the group, on one side machine each, from machine 4 on.
RANKS = 4
FIRST_RANK = 4
# Replicas of a plain service; their heartbeats are acknowledged all the time.
PLAIN = 6
FIRST_PLAIN = 9
# Versions of the configuration before the traffic. With the first entries of
# the log they are slightly fewer than the 64 after which it is compacted.
CHANGES = 56
RESTARTS_MAX = 12
DOWN_S = 1.0
# Bounds of the settings.
RECOVER_S = 12.0
# The final fault strikes within this time of an acknowledgement.
AFTER_ACK_S = 0.4
SERVED_SHARE = 0.25
MEASURED_S = 8.0


def make_document(version):
    """Return a configuration with a model group and a plain service."""
    routes = [
        harness.route(
            "stream", "/s/", "streaming", "m", resumable=True, itlTargetMs=120
        ),
        harness.route("plain", "/p/", "safe", "app"),
    ]
    doc = harness.document(version, routes, ["m", "app"])
    doc["services"][0]["inferenceEngine"] = ranks.engine_section()
    return doc


class Traffic:
    """Clients that send ten requests a second, one of them plain."""

    def __init__(self, system, record):
        """Send nothing yet."""
        self._system = system
        self._record = record
        self._stop = threading.Event()
        self._threads = []
        # Time of sending and status of each request.
        self.sent = []

    def start(self):
        """Begin to send."""
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self):
        """Send nothing more and wait for the answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join(10)

    def _run(self):
        number = 0
        while not self._stop.wait(0.1):
            number += 1
            thread = threading.Thread(
                target=self._send, args=(number,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def _send(self, number):
        address = self._system.at(1 + number % 3, "callers")
        is_plain = number % 10 == 0
        headers = {
            "Host": harness.HOST,
            "Attempt-Id": f"q{number}",
            "Deadline-Ms": "8000",
            "Authorization": f"Bearer {harness.KEY}",
        }
        at = self._record.now()
        try:
            status, _, _ = self._system.call(
                address,
                "GET" if is_plain else "POST",
                "/p/x" if is_plain else "/s/x",
                None if is_plain else b"",
                headers,
                8.0,
            )
        except (OSError, http.client.HTTPException) as exc:
            status = type(exc).__name__
        self.sent.append((at, status))
        self._record.add(f"client: q{number} sent at {at:.3f}: {status}")

    def count(self, since, until):
        """Return how many requests were sent in a time, and served."""
        found = [s for at, s in self.sent if since <= at < until]
        return len(found), found.count(200)


def make_changes(record, system):
    """Change the configuration until the log is about to be compacted."""
    for version in range(2, CHANGES + 1):
        if system.replace(make_document(version), record.now() + 5) is None:
            raise harness.NotRunError("a change was not acknowledged")
    record.add(f"{CHANGES} versions were acknowledged")


def restart_in_turn(record, system):
    """Stop and start the control processes in turn, as for an upgrade.

    Each new leader of the log appends an entry that is no configuration. It
    ends when each machine has a snapshot of its log.
    """
    folders = [system.folder / f"data-control-{n}" for n in (1, 2, 3)]
    for turn in range(RESTARTS_MAX):
        number = turn % 3 + 1
        proc = system.procs["control", number]
        proc.send_signal(signal.SIGTERM)
        proc.wait(8)
        system.start("control", number, bootstrap=False)
        until = record.now() + 8
        while system.describe(number) != CHANGES:
            if record.now() > until:
                raise harness.NotRunError(f"machine {number} isn't back")
            time.sleep(0.1)
        record.add(f"planned: control of machine {number} stopped and started")
        time.sleep(0.5)
        if all((folder / "snapshot").exists() for folder in folders):
            return
    raise harness.NotRunError(f"no snapshots after {RESTARTS_MAX} restarts")


def strike(record, system, group):
    """Kill all processes as soon as the group holds a pass."""
    struck = threading.Event()

    def on_carried(rank, order, status):
        is_hold = order["operation"] == "retention" and status == 202
        ago_s = record.now() - system.acked_at
        if not is_hold or ago_s > AFTER_ACK_S or struck.is_set():
            return
        for proc in system.procs.values():
            proc.send_signal(signal.SIGKILL)
        struck.set()
        record.add(
            f"final fault: all processes killed, {ago_s * 1000:.0f} ms after"
            f" an acknowledgement; rank {rank.number} holds {order['step']}"
        )

    group.on_carried = on_carried
    if not struck.wait(25):
        raise harness.NotRunError("no pass was held within 25 s")
    system.kill_all()


def play(record, system, is_troubled):
    """Return whether RECOVER held."""
    numbers = range(FIRST_RANK, FIRST_RANK + RANKS)
    addresses = [system.at(n, "target") for n in numbers]
    ids = [f"i-rank{n}" for n in numbers]
    group = ranks.Group(record, addresses, ids)
    system.start_all(bootstrap=True)
    if system.replace(make_document(1), 15) is None:
        raise harness.NotRunError("the first configuration was not acked")
    for number, address, replica_id in zip(
        numbers, addresses, ids, strict=True
    ):
        zone = harness.ZONES[(number - 1) % 3]
        harness.Heartbeats(system, replica_id, "m", address, zone).start()
        system.start("agent", number, True, "m")
    for number in range(FIRST_PLAIN, FIRST_PLAIN + PLAIN):
        harness.Replica(system, number, "app").beats.start()
        time.sleep(0.2)
    system.wait_ready(10)
    make_changes(record, system)
    restart_in_turn(record, system)
    traffic = Traffic(system, record)
    traffic.start()
    threading.Thread(target=_shift_demand, args=(group,), daemon=True).start()
    time.sleep(4)
    struck_at = record.now()
    if is_troubled:
        strike(record, system, group)
        struck_at = record.now()
        time.sleep(DOWN_S)
        system.start_all(bootstrap=False)
        for number in numbers:
            system.start("agent", number, False, "m")
    back_at = record.now()
    record.add("the machines are back" if is_troubled else "no fault")
    time.sleep(RECOVER_S + MEASURED_S)
    traffic.stop()
    before, served_before = traffic.count(0, struck_at - 1)
    after, served_after = traffic.count(back_at + RECOVER_S, float("inf"))
    record.add(f"before the fault: {served_before} of {before} served")
    record.add(f"after recoverS: {served_after} of {after} served")
    record.add(
        f"group: pass {group.step}, held {[r.held for r in group.ranks]},"
        f" {group.switches} switches, MAP {group.broken or 'kept'}"
    )
    if not before or not after or served_before < SERVED_SHARE * before:
        raise harness.NotRunError("too little was served before the fault")
    return served_after >= SERVED_SHARE * after


def _shift_demand(group):
    rng = random.Random(1)
    while True:
        time.sleep(1.5)
        group.topic = rng.randrange(5)


if __name__ == "__main__":
    # With TROUBLE=0 the same runs without the disruption.
    harness.main(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
