"""Run stand-ins: ``python -m standins --model IP:PORT --plain IP:PORT``."""

import argparse
import signal
import threading

from jasperweir.helpers import web
from standins import const
from standins import engine as engine_lib
from standins import plain as plain_lib


def main() -> None:
    """Serve the stand-ins named on the command line until a signal."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("--model", action="append", default=[])
    parser.add_argument("--plain", action="append", default=[])
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--threads", type=int, default=128)
    parser.add_argument(
        "--token-seconds", type=float, default=const.DEFAULT_TOKEN_SECONDS
    )
    args = parser.parse_args()
    servers = []
    for address in args.model:
        engine = engine_lib.Engine(
            slots=args.slots, token_seconds=args.token_seconds
        )
        servers.append(
            web.Server(
                address=address, threads=args.threads, routes=engine.routes()
            )
        )
    for address in args.plain:
        plain = plain_lib.Plain()
        servers.append(
            web.Server(
                address=address, threads=args.threads, routes=plain.routes()
            )
        )
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *unused: stopping.set())
    signal.signal(signal.SIGINT, lambda *unused: stopping.set())
    for server in servers:
        server.start()
    stopping.wait()


if __name__ == "__main__":
    main()
