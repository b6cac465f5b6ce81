"""Commands that report burn rates, expert maps and request outcomes."""

import argparse
import io
import json
import pathlib
import sys
from typing import Any

import urllib3

from jasperweir.components.burn import report as burn_report
from jasperweir.components.outcomes import const as outcomes_const
from jasperweir.components.outcomes import summary as summary_lib
from jasperweir.helpers import http_pool

EXIT_UNREACHABLE = 4


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    report = commands.add_parser(
        "report", help="burn rates, expert maps and request outcomes"
    )
    kinds = report.add_subparsers(dest="kind", required=True)
    burn = kinds.add_parser("burn", help="burn rates of error budgets")
    burn.add_argument(
        "--entries", required=True, help="IP:PORT of entries, comma-separated"
    )
    burn.add_argument("--json", action="store_true")
    burn.add_argument("--page", type=pathlib.Path, help="file for an HTML page")
    burn.set_defaults(func=_burn)
    experts = kinds.add_parser(
        "experts", help="skew, switches and moves of experts"
    )
    experts.add_argument(
        "--agents", required=True, help="IP:PORT of agents, comma-separated"
    )
    experts.add_argument("--json", action="store_true")
    experts.set_defaults(func=_experts)
    requests = kinds.add_parser("requests", help="outcomes of requests")
    requests.add_argument(
        "logs",
        nargs="+",
        # The last line may be cut off inside a character.
        type=argparse.FileType("r", encoding="utf-8", errors="replace"),
        help="log files, or - (lines may start with a time in seconds)",
    )
    requests.add_argument(
        "--window",
        type=float,
        default=outcomes_const.WINDOW_SECONDS,
        help="length of a window, seconds",
    )
    requests.set_defaults(func=_requests)


def _fetch(addresses: str, path: str) -> list[dict[str, Any]]:
    http = http_pool.create()
    found = []
    for address in addresses.split(","):
        try:
            resp = http.request(
                "GET", f"http://{address.strip()}{path}", timeout=5.0
            )
            found.append(resp.json())
        except (urllib3.exceptions.HTTPError, ValueError):
            print(f"{address}: no response", file=sys.stderr)
    return found


def _burn(args: argparse.Namespace) -> int:
    answers = _fetch(args.entries, "/v1/burn")
    if not answers:
        return EXIT_UNREACHABLE
    lines = burn_report.merge(answers)
    if args.page:
        args.page.write_text(burn_report.format_page(lines), encoding="utf-8")
    if args.json:
        print(json.dumps([line._asdict() for line in lines]))
    else:
        print(burn_report.format_text(lines), end="")
    return 0


def _requests(args: argparse.Namespace) -> int:
    summary = summary_lib.Summary(window_s=args.window)
    for log in args.logs:
        if isinstance(log, io.TextIOWrapper):
            # A truncated line may end within a character.
            log.reconfigure(errors="replace")
        summary.add(log)
    print(summary_lib.format_text(summary), end="")
    return 0


def _experts(args: argparse.Namespace) -> int:
    answers = [a for a in _fetch(args.agents, "/experts") if a.get("group")]
    if not answers:
        return EXIT_UNREACHABLE
    if args.json:
        print(json.dumps(answers, sort_keys=True))
        return 0
    print(
        f"{'group':12} {'agent':12} {'role':12} {'steps':>10} {'skew':>7} "
        f"{'planned':>8} {'moves':>6} {'switches':>9} {'aborts':>7}"
    )
    for a in sorted(answers, key=lambda a: (a["group"], a["agent"])):
        print(
            f"{a['group']:12} {a['agent']:12} {a['role']:12} "
            f"{a['steps']:10} {a['skew']:7.3f} {a['planned_skew']:8.3f} "
            f"{a['moves']:6} {a['switches']:9} {a['aborts']:7}"
        )
        for choice in a["choices"]:
            print(
                f"  with skew_weight {choice['skew_weight']}: "
                f"{choice['moves']} moves now, skew "
                f"{choice['skew_before']:.3f} to {choice['skew_after']:.3f}"
            )
    return 0
