"""Command that runs the whole system in one process."""

import argparse
import time
from typing import Any

from jasperweir.daemons import solo
from jasperweir.helpers import logs

DEFAULT_PORT = 8600


def add_commands(commands: Any) -> None:
    """Add the commands of this module to the parser."""
    sub = commands.add_parser("solo", help="run everything in one process")
    sub.add_argument("--host", default="127.0.0.1")
    sub.add_argument("--port", type=int, default=DEFAULT_PORT)
    sub.add_argument(
        "--seconds", type=float, default=0.0, help="stop after this time"
    )
    sub.set_defaults(func=_run)


def _run(args: argparse.Namespace) -> int:
    logs.setup(style="text", level="warning")
    system = solo.Solo(host=args.host, port=args.port)
    system.start()
    entry = f"http://{args.host}:{args.port}"
    print(
        f"ready; try:\n  curl -N {entry}/v1/chat/completions -d "
        '\'{"model": "echo", "stream": true, "messages": []}\'\n'
        f"operators: --control {args.host}:{args.port + 1}, "
        f"JASPERWEIR_TOKEN={system.token}",
        flush=True,
    )
    try:
        time.sleep(args.seconds or float(10**8))
    except KeyboardInterrupt:
        return 0
    return 0
