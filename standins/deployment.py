"""Test deployment in three data centres."""

import pathlib
from typing import Any

from standins import local as local_lib

PLACES = ("north", "south", "east")
CONTROLS = ("control-1", "control-2", "control-3")
ENTRIES = ("entry-1", "entry-2", "entry-3")
MODELS = ("127.0.3.1:19000", "127.0.3.2:19000")
PLAIN = "127.0.3.3:19000"
BUNDLE = """[bundle]
name = test
[callers]
address_ttl_s = 1
deadline_s = {deadline}
[place north]
region = r
[place south]
region = r
order = 1
[place east]
region = r
order = 2
[service m]
kind = model
max_in_flight = 64
[service book]
kind = plain
idempotent = no
"""


def add_nodes(local: local_lib.LocalDeployment, *, group: bool) -> None:
    """Add three nodes of each role; with `group`, two agents form a group."""
    for i, place in enumerate(PLACES, start=1):
        local.add(
            local_lib.NodeSpec(
                "control", f"control-{i}", place, f"127.0.1.{i}:17000",
                f"127.0.1.{i}:17100", threads=16,
            ),
            local_lib.NodeSpec(
                "entry", f"entry-{i}", place, f"127.0.2.{i}:17000",
                f"127.0.2.{i}:18080",
            ),
            local_lib.NodeSpec(
                "agent", f"agent-{i}", place, f"127.0.4.{i}:17000",
                f"127.0.4.{i}:18090", _target(i, group=group),
            ),
        )  # fmt: skip


def _target(number: int, *, group: bool) -> dict[str, str]:
    model = number < 3
    target = {
        "url": f"http://127.0.3.{number}:19000",
        "kind": "model" if model else "plain",
        "service": "m" if model else "book",
        "max_in_flight": "64",
    }
    if group and model:
        target |= {"group": "g", "ranks": "4"}
    return target


def bring_up(
    local: local_lib.LocalDeployment, bundle: pathlib.Path, *, group: bool
) -> None:
    """Start test doubles and nodes, roll the bundle and wait for claims."""
    args = ["--model", MODELS[0], "--model", MODELS[1], "--slots", "64"]
    if group:
        args += ["--group", ",".join(MODELS), "--per-rank", "6"]
    local.start_standins("standins", *args, "--plain", PLAIN)
    bring_up_nodes(local, bundle, group=group)


def bring_up_nodes(
    local: local_lib.LocalDeployment, bundle: pathlib.Path, *, group: bool
) -> None:
    """Start the nodes, roll the bundle and wait for claims."""
    add_nodes(local, group=group)
    local.start(*CONTROLS)
    local.bootstrap()
    others = [name for name in local.specs if name not in CONTROLS]
    local.start(*others)
    signed = local.cli("bundle", "sign-off", "--file", str(bundle))
    assert signed["version"] == 1, signed
    local.cli("bundle", "roll", "--version", "1")
    local.wait_for("ready", lambda: local.ready(*others))
    local.wait_for("claims", lambda: claims_ready(local))


def claims_ready(local: local_lib.LocalDeployment) -> bool:
    """Return whether the claims of every entry are ready and confirmed."""
    states = [local.get(a, "/readyz")[1] for a in local.entry_http()]
    return all(
        s is not None
        and s["claims_confirmed"]
        and s["claims_epoch"] == s["claims_ready_epoch"] > 0
        for s in states
    )


def status(local: local_lib.LocalDeployment, name: str) -> Any:
    """Return the status of a control VM, or None if it is unreachable."""
    return local.get(local.specs[name].http, "/status")[1]


def leader(local: local_lib.LocalDeployment) -> str:
    """Return the name of the leader, empty if there is none."""
    for name in CONTROLS:
        found = status(local, name) if name in local.procs else None
        if found and found["role"] == "leader":
            return name
    return ""


def change_seat(local: local_lib.LocalDeployment, verb: str, name: str) -> None:
    """Add or remove a control VM and wait until it is accepted."""

    def done() -> bool:
        address = local.specs[leader(local) or CONTROLS[0]].http
        resp = local.http.request(
            "POST",
            f"http://{address}/seats/{verb}/{name}",
            headers={"Authorization": f"Bearer {local_lib.TOKEN}"},
            timeout=5.0,
        )
        return resp.status == 200

    local.wait_for(f"{verb} {name}", done)
