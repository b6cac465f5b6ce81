"""All processes are killed right after a replica's last call was acked."""

import http.client
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

REPLICAS = 3
FIRST_REPLICA = 4
DOWN_S = 1.0
# Bounds of the settings.
DRAIN_S = 2.0
STABLE_S = 3.0
# The replica serves this long after its call was acknowledged: drainMs and
# "at times many seconds".
SERVES_S = DRAIN_S + 10.0


def send(system, record, number):
    """Send one request of a client; return its status."""
    headers = {
        "Host": harness.HOST,
        "Attempt-Id": f"q{number}",
        "Deadline-Ms": "3000",
        "Authorization": f"Bearer {harness.KEY}",
    }
    address = system.at(1 + number % 3, "callers")
    try:
        status, _, _ = system.call(
            address, "GET", "/safe/x", headers=headers, wait_s=3.0
        )
    except (OSError, http.client.HTTPException) as exc:
        status = type(exc).__name__
    record.add(f"client: q{number} to {address}: {status}")
    return status


def play(record, system, is_troubled):
    """Return whether DRAIN held."""
    system.start_all(bootstrap=True)
    routes = [harness.route("r1", "/safe/", "safe", "app")]
    if system.replace(harness.document(1, routes, ["app"]), 15) is None:
        raise harness.NotRunError("the configuration was not acknowledged")
    replicas = [
        harness.Replica(system, FIRST_REPLICA + n, "app")
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        replica.beats.start()
    system.wait_ready(10)
    for number in range(30):
        send(system, record, number)
        time.sleep(0.1)
    leaving = replicas[0]
    if not leaving.runs:
        raise harness.NotRunError("the replica that leaves served nothing")
    if not (by := leaving.beats.deregister()):
        raise harness.NotRunError("the last call was not acknowledged")
    acked_at = record.now()
    record.add(f"replica {leaving.id}: deregistered, acknowledged by {by}")
    in_touch_at = acked_at
    if is_troubled:
        system.kill_all()
        record.add("final fault: all processes killed")
        time.sleep(DOWN_S)
        system.start_all(bootstrap=False)
        record.add("the machines are back")
        # Twice stableWindowMs, as the fault took most of the core.
        in_touch_at = record.now() + 2 * STABLE_S
        system.wait_ready(15)
    number = 100
    while record.now() < acked_at + SERVES_S:
        number += 1
        send(system, record, number)
        time.sleep(0.05)
    leaving.close()
    since = max(acked_at + DRAIN_S, in_touch_at)
    late = [(at, rid) for at, rid in leaving.runs if at > since]
    record.add(
        f"{len(late)} requests ran at {leaving.id} later than drainMs after"
        f" the acknowledgement, sent on by machines in touch: {late[:3]}"
    )
    if ended := system.ended():
        record.add(f"ended by themselves: {ended}")
    return not late


if __name__ == "__main__":
    # With TROUBLE=0 the same runs without the disruption.
    harness.main(FOLDER, play, os.environ.get("TROUBLE", "1") != "0")
