"""Commands by which operators drive bundles and look at the system."""

import argparse
import json
import os
import pathlib
import secrets
import sys
import time
from typing import Any

import urllib3

from jasperweir import result_codes
from jasperweir.components.bundle import model
from jasperweir.helpers import clocks

Code = result_codes.Code
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 4
TRY_SECONDS = 20.0
TOKEN_VARIABLE = "JASPERWEIR_TOKEN"
_LEADERLESS = (int(Code.NOT_LEADER), int(Code.UNCONFIRMED))


class UnreachableError(Exception):
    """No control VM gave a final answer."""


class Door:
    """The operators' HTTP interface on any of the control VMs.

    An order is resent under the same operation id until some control VM
    gives its final answer, so a lost answer never doubles it.
    """

    def __init__(self, *, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(retries=False)

    def get(self, path: str) -> dict[str, Any]:
        """Return the newest answer that any control VM gives."""
        answers: list[dict[str, Any]] = []
        for address in self._addresses:
            try:
                resp = self._http.request(
                    "GET",
                    f"http://{address}{path}",
                    headers=self._headers,
                    timeout=5.0,
                )
            except urllib3.exceptions.HTTPError:
                continue
            answers.append(resp.json())
        if answers:
            return max(answers, key=lambda found: found.get("revision", 0))
        raise UnreachableError("no control VM answers")

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Resend an order until its final answer."""
        deadline = clocks.elapsed() + TRY_SECONDS
        while clocks.elapsed() < deadline:
            for address in self._addresses:
                answer = self._post_once(address, path, body)
                if answer is not None:
                    return answer
            time.sleep(0.3)
        raise UnreachableError("no control VM gave a final answer")

    def _post_once(
        self, address: str, path: str, body: dict[str, Any]
    ) -> dict[str, Any] | None:
        try:
            resp = self._http.request(
                "POST",
                f"http://{address}{path}",
                json=body,
                headers=self._headers,
                timeout=8.0,
            )
            answer: dict[str, Any] = resp.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        error = answer.get("error", {})
        if error.get("code") in _LEADERLESS:
            return None
        return answer


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    bundle = commands.add_parser("bundle", help="sign off, roll, withdraw")
    verbs = bundle.add_subparsers(dest="verb", required=True)
    sign = _verb(verbs, "sign-off", _sign_off, "add a version")
    sign.add_argument("--file", required=True, type=pathlib.Path)
    sign.add_argument("--parent", type=int, help="default: the newest")
    sign.add_argument("--note", default="")
    roll = _verb(verbs, "roll", _roll, "bring a version into force")
    roll.add_argument("--version", required=True, type=int)
    withdraw = _verb(verbs, "withdraw", _withdraw, "supersede the newest")
    withdraw.add_argument("--version", required=True, type=int)
    withdraw.add_argument("--reason", default="")
    _verb(verbs, "status", _status, "what is in force where")
    diff = _verb(verbs, "diff", _diff, "compare a file with a version")
    diff.add_argument("--file", required=True, type=pathlib.Path)
    diff.add_argument("--version", type=int, help="default: the newest")
    _verb(commands, "targets", _targets, "list targets and their health")
    seats = commands.add_parser("seats", help="found the log, add, remove")
    seat_verbs = seats.add_subparsers(dest="verb", required=True)
    _verb(seat_verbs, "bootstrap", _bootstrap, "found a new log, once")
    for verb in ("add", "remove"):
        sub = _verb(seat_verbs, verb, _seat, f"{verb} a control VM")
        sub.add_argument("name")


def _verb(verbs: Any, name: str, func: Any, text: str) -> Any:
    sub = verbs.add_parser(name, help=text)
    sub.add_argument(
        "--control",
        required=True,
        help="IP:PORT of the control VMs' HTTP, comma-separated",
    )
    sub.add_argument("--op-id", help="resend an earlier order by its id")
    sub.add_argument("--json", action="store_true")
    sub.set_defaults(func=lambda args: _guard(func, args))
    return sub


def _guard(func: Any, args: argparse.Namespace) -> int:
    try:
        code: int = func(args)
        return code
    except UnreachableError as exc:
        print(str(exc), file=sys.stderr)
        return EXIT_UNREACHABLE


def _door(args: argparse.Namespace) -> Door:
    return Door(
        addresses=[a.strip() for a in args.control.split(",")],
        token=os.environ.get(TOKEN_VARIABLE, ""),
    )


def _op_id(args: argparse.Namespace) -> str:
    op_id: str = args.op_id or secrets.token_hex(8)
    return op_id


def _report(args: argparse.Namespace, answer: dict[str, Any], op: str) -> int:
    error = answer.get("error")
    if args.json:
        print(json.dumps({"op_id": op, **answer}, sort_keys=True))
    elif error is not None:
        print(f"{error['code']} {error['name']}: {error['detail']}")
    else:
        version = answer.get("version", "")
        print(f"accepted {version} {answer.get('detail', '')} (op {op})")
    return 0 if error is None else EXIT_REFUSED


def _sign_off(args: argparse.Namespace) -> int:
    new = model.read(args.file)
    door = _door(args)
    parent = args.parent
    if parent is None:
        parent = door.get("/bundle/0")["head"]
    old = door.get(f"/bundle/{parent}").get("content") or {}
    op = _op_id(args)
    answer = door.post(
        "/ops/sign_off",
        {
            "op_id": op,
            "parent": parent,
            "change": model.diff(old, new),
            "content_hash": model.content_hash(new),
            "note": args.note,
        },
    )
    return _report(args, answer, op)


def _roll(args: argparse.Namespace) -> int:
    op = _op_id(args)
    body = {"op_id": op, "version": args.version}
    return _report(args, _door(args).post("/ops/roll", body), op)


def _withdraw(args: argparse.Namespace) -> int:
    op = _op_id(args)
    body = {"op_id": op, "version": args.version, "reason": args.reason}
    return _report(args, _door(args).post("/ops/withdraw", body), op)


def _bootstrap(args: argparse.Namespace) -> int:
    answer = _door(args).post("/bootstrap", {})
    return _report(args, answer, "bootstrap")


def _seat(args: argparse.Namespace) -> int:
    answer = _door(args).post(f"/seats/{args.verb}/{args.name}", {})
    return _report(args, answer, args.verb)


def _status(args: argparse.Namespace) -> int:
    status = _door(args).get("/status")
    if args.json:
        print(json.dumps(status, sort_keys=True))
        return 0
    print(f"newest version {status['head']}, leader {status['leader']}")
    roll = status["roll"]
    if roll:
        state = "halted: " + roll["halted"] if roll["halted"] else "going on"
        if not roll["pending"]:
            state = "done"
        print(f"roll of version {roll['version']}: {state}")
    for place, found in sorted(status["places"].items()):
        print(f"{place}: version {found['version']}")
        for node in found["nodes"]:
            behind = (node["revision"] or 0) < found["revision"]
            print(
                f"  {node['name']}: revision {node['revision']}"
                f"{' BEHIND' if behind else ''}, heard "
                f"{node['heard_s_ago']} s ago"
            )
    return 0


def _diff(args: argparse.Namespace) -> int:
    new = model.read(args.file)
    door = _door(args)
    version = args.version
    if version is None:
        version = door.get("/bundle/0")["head"]
    old = door.get(f"/bundle/{version}").get("content") or {}
    change = model.diff(old, new)
    if args.json:
        print(json.dumps(change, sort_keys=True))
        return 0
    for flat, value in sorted(change.items()):
        section, _, key = flat.partition(model.SEPARATOR)
        before = old.get(flat)
        print(f"[{section}] {key}: {before!r} -> {value!r}")
    if not change:
        print(f"equal to version {version}")
    return 0


def _targets(args: argparse.Namespace) -> int:
    members = _door(args).get("/targets")["members"]
    if args.json:
        print(json.dumps(members, sort_keys=True))
        return 0
    for m in members:
        offers = ",".join(offer[0] for offer in m["offers"])
        print(
            f"{m['name']:24} {m['kind']:8} {m['place']:16} "
            f"{m['status']:8} {m['http']:22} {offers}"
        )
    return 0
