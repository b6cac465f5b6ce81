"""Commands that list and release quarantined requests."""

import argparse
import json
import sys
from typing import Any
import urllib.parse

import urllib3

from jasperweir.helpers import http_pool

PATH = "/held-back"
TIMEOUT_SECONDS = 5.0
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 4


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    held = commands.add_parser(
        "held", help="requests quarantined after target crashes"
    )
    verbs = held.add_subparsers(dest="verb", required=True)
    show = verbs.add_parser("list", help="list quarantined requests")
    lift = verbs.add_parser("lift", help="release quarantined requests")
    for verb in (show, lift):
        verb.add_argument(
            "--entry", required=True, help="IP:PORT of an entry's metrics"
        )
    show.set_defaults(func=_list)
    which = lift.add_mutually_exclusive_group(required=True)
    which.add_argument(
        "--content", help="content of one request, as list prints it"
    )
    which.add_argument("--all", action="store_true")
    lift.set_defaults(func=_lift)


def _list(args: argparse.Namespace) -> int:
    return _call("GET", args.entry, PATH)


def _lift(args: argparse.Namespace) -> int:
    path = PATH
    if args.content:
        path += "?" + urllib.parse.urlencode({"content": args.content})
    return _call("POST", args.entry, path)


def _call(method: str, entry: str, path: str) -> int:
    http = http_pool.create()
    try:
        resp = http.request(
            method, f"http://{entry}{path}", timeout=TIMEOUT_SECONDS
        )
    except urllib3.exceptions.HTTPError as exc:
        print(f"{entry}: {exc}", file=sys.stderr)
        return EXIT_UNREACHABLE
    if resp.status != 200:
        print(f"{entry}: status {resp.status}", file=sys.stderr)
        return EXIT_REFUSED
    for row in resp.json():
        print(json.dumps(row))
    return 0
