"""Commands that evacuate data centres of a deployed system."""

import argparse
import json
import sys
import time
from typing import Any
import urllib.parse

import urllib3

from jasperweir.helpers import clocks
from jasperweir.helpers import http_pool

PATH = "/evacuations"
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 4
# Timeout of one try; a control VM responds within 0.85 s.
TRY_SECONDS = 2.0
# Time for which an order is resent until a control VM acknowledges it.
RETRY_TIMEOUT_SECONDS = 20.0
RETRY_PAUSE_SECONDS = 0.3


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    evacuate = commands.add_parser(
        "evacuate", help="data centres whose targets get no requests"
    )
    verbs = evacuate.add_subparsers(dest="verb", required=True)
    create = verbs.add_parser("create", help="evacuate a data centre")
    withdraw = verbs.add_parser("withdraw", help="end an evacuation")
    show = verbs.add_parser("list", help="list the evacuated data centres")
    for verb in (create, withdraw):
        verb.add_argument("data_centre")
        verb.set_defaults(func=_order)
    show.set_defaults(func=_list)
    for verb in (create, withdraw, show):
        verb.add_argument(
            "--control",
            required=True,
            help="IP:PORT of the metrics of control VMs, separated by commas",
        )


def _order(args: argparse.Namespace) -> int:
    """Resend an order until a control VM acknowledges or refuses it."""
    query = urllib.parse.urlencode(
        {"place": args.data_centre, "order": args.verb}
    )
    addresses = args.control.split(",")
    http = http_pool.create()
    deadline = clocks.elapsed() + RETRY_TIMEOUT_SECONDS
    while clocks.elapsed() < deadline:
        for address in addresses:
            resp = _request(http, "POST", address, f"{PATH}?{query}")
            if resp is None or resp.status >= 500:
                continue
            if resp.status == 200:
                print(f"{args.verb} {args.data_centre}: acknowledged")
                return 0
            text = resp.data.decode(errors="replace")
            print(f"{address}: status {resp.status} {text}", file=sys.stderr)
            return EXIT_REFUSED
        time.sleep(RETRY_PAUSE_SECONDS)
    print("no control VM acknowledged the order", file=sys.stderr)
    return EXIT_UNREACHABLE


def _list(args: argparse.Namespace) -> int:
    """Print the list with the highest revision."""
    http = http_pool.create()
    found: list[dict[str, Any]] = []
    for address in args.control.split(","):
        resp = _request(http, "GET", address, PATH)
        if resp is not None and resp.status == 200:
            found.append(resp.json())
    if not found:
        print("no control VM responded", file=sys.stderr)
        return EXIT_UNREACHABLE
    print(json.dumps(max(found, key=lambda item: item["revision"])))
    return 0


def _request(
    http: urllib3.PoolManager, method: str, address: str, path: str
) -> urllib3.BaseHTTPResponse | None:
    try:
        return http.request(
            method, f"http://{address}{path}", timeout=TRY_SECONDS
        )
    except urllib3.exceptions.HTTPError:
        return None
