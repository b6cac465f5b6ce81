"""Operator commands for bundles, control VMs and status."""

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
from jasperweir.components.bundle import flat_content
from jasperweir.helpers import clocks
from jasperweir.helpers import http_pool

Code = result_codes.Code
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 4
RETRY_TIMEOUT_SECONDS = 20.0
TOKEN_VARIABLE = "JASPERWEIR_TOKEN"
_RETRIED_CODES = (int(Code.NOT_LEADER), int(Code.UNCONFIRMED))


class UnreachableError(Exception):
    """No control VM returned a final response."""


class OperatorClient:
    """HTTP client of the control VMs' operator API.

    An operation is resent under the same id until a control VM returns a final
    response, so a lost response never causes a second execution.
    """

    def __init__(self, *, addresses: list[str], token: str) -> None:
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = http_pool.create()

    def get(self, path: str) -> dict[str, Any]:
        """Return the response with the highest revision.

        Raises:
            UnreachableError: No control VM responded.
        """
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
        raise UnreachableError("no control VM responded")

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send an operation until a control VM returns a final response.

        Raises:
            UnreachableError: No final response arrived in time.
        """
        deadline = clocks.elapsed() + RETRY_TIMEOUT_SECONDS
        while clocks.elapsed() < deadline:
            for address in self._addresses:
                answer = self._post_once(address, path, body)
                if answer is not None:
                    return answer
            time.sleep(0.3)
        raise UnreachableError("no control VM returned a final response")

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
        if error.get("code") in _RETRIED_CODES:
            return None
        return answer


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    bundle = commands.add_parser("bundle", help="sign off, roll, withdraw")
    verbs = bundle.add_subparsers(dest="verb", required=True)
    sign = _add_command(verbs, "sign-off", _sign_off, "add a version")
    sign.add_argument("--file", required=True, type=pathlib.Path)
    sign.add_argument("--parent", type=int, help="default: the newest")
    sign.add_argument("--note", default="")
    roll = _add_command(verbs, "roll", _roll, "bring a version into force")
    roll.add_argument("--version", required=True, type=int)
    withdraw = _add_command(
        verbs, "withdraw", _withdraw, "withdraw the newest version"
    )
    withdraw.add_argument("--version", required=True, type=int)
    withdraw.add_argument("--reason", default="")
    _add_command(
        verbs,
        "status",
        _status,
        "show the version in force at each data centre",
    )
    diff = _add_command(verbs, "diff", _diff, "compare a file with a version")
    diff.add_argument("--file", required=True, type=pathlib.Path)
    diff.add_argument("--version", type=int, help="default: the newest")
    _add_command(commands, "targets", _targets, "list targets and their health")
    seats = commands.add_parser(
        "seats", help="bootstrap the log, add or remove control VMs"
    )
    seat_verbs = seats.add_subparsers(dest="verb", required=True)
    _add_command(
        seat_verbs, "bootstrap", _bootstrap, "bootstrap a new log, once"
    )
    for verb in ("add", "remove"):
        sub = _add_command(seat_verbs, verb, _seat, f"{verb} a control VM")
        sub.add_argument("name")


def _add_command(verbs: Any, name: str, func: Any, text: str) -> Any:
    sub = verbs.add_parser(name, help=text)
    sub.add_argument(
        "--control",
        required=True,
        help="IP:PORT of the control VMs' HTTP, comma-separated",
    )
    sub.add_argument("--op-id", help="resend an earlier operation by its id")
    sub.add_argument("--json", action="store_true")
    sub.set_defaults(func=lambda args: _run_command(func, args))
    return sub


def _run_command(func: Any, args: argparse.Namespace) -> int:
    try:
        code: int = func(args)
        return code
    except UnreachableError as exc:
        print(str(exc), file=sys.stderr)
        return EXIT_UNREACHABLE


def _make_client(args: argparse.Namespace) -> OperatorClient:
    return OperatorClient(
        addresses=[a.strip() for a in args.control.split(",")],
        token=os.environ.get(TOKEN_VARIABLE, ""),
    )


def _op_id(args: argparse.Namespace) -> str:
    op_id: str = args.op_id or secrets.token_hex(8)
    return op_id


def _print_result(
    args: argparse.Namespace, answer: dict[str, Any], op: str
) -> int:
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
    new = flat_content.read(args.file)
    door = _make_client(args)
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
            "change": flat_content.diff(old, new),
            "content_hash": flat_content.content_hash(new),
            "note": args.note,
        },
    )
    return _print_result(args, answer, op)


def _roll(args: argparse.Namespace) -> int:
    op = _op_id(args)
    body = {"op_id": op, "version": args.version}
    return _print_result(args, _make_client(args).post("/ops/roll", body), op)


def _withdraw(args: argparse.Namespace) -> int:
    op = _op_id(args)
    body = {"op_id": op, "version": args.version, "reason": args.reason}
    return _print_result(
        args, _make_client(args).post("/ops/withdraw", body), op
    )


def _bootstrap(args: argparse.Namespace) -> int:
    answer = _make_client(args).post("/bootstrap", {})
    return _print_result(args, answer, "bootstrap")


def _seat(args: argparse.Namespace) -> int:
    answer = _make_client(args).post(f"/seats/{args.verb}/{args.name}", {})
    return _print_result(args, answer, args.verb)


def _status(args: argparse.Namespace) -> int:
    status = _make_client(args).get("/status")
    if args.json:
        print(json.dumps(status, sort_keys=True))
        return 0
    print(f"newest version {status['head']}, leader {status['leader']}")
    wanted = status.get("wanted_seats") or "not stated"
    state = ", reduced" if status.get("reduced") else ""
    print(f"voters {status.get('voting_seats')}, wanted {wanted}{state}")
    roll = status["roll"]
    if roll:
        state = "halted: " + roll["halted"] if roll["halted"] else "in progress"
        if not roll["pending"]:
            state = "done"
        print(f"roll of version {roll['version']}: {state}")
    for place, found in sorted(status["places"].items()):
        print(f"{place}: version {found['version']}")
        for node in found["nodes"]:
            behind = (node["revision"] or 0) < found["revision"]
            print(
                f"  {node['name']}: revision {node['revision']}"
                f"{' BEHIND' if behind else ''}, last heartbeat "
                f"{node['heard_s_ago']} s ago"
            )
    return 0


def _diff(args: argparse.Namespace) -> int:
    new = flat_content.read(args.file)
    door = _make_client(args)
    version = args.version
    if version is None:
        version = door.get("/bundle/0")["head"]
    old = door.get(f"/bundle/{version}").get("content") or {}
    change = flat_content.diff(old, new)
    if args.json:
        print(json.dumps(change, sort_keys=True))
        return 0
    for flat, value in sorted(change.items()):
        section, _, key = flat.partition(flat_content.SEPARATOR)
        before = old.get(flat)
        print(f"[{section}] {key}: {before!r} -> {value!r}")
    if not change:
        print(f"equal to version {version}")
    return 0


def _targets(args: argparse.Namespace) -> int:
    members = _make_client(args).get("/targets")["members"]
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
