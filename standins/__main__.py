"""Run test doubles: ``python -m standins --model IP:PORT``."""

import argparse
import signal
import threading

from jasperweir.helpers import web
from standins import const
from standins import engine as engine_lib
from standins import group as group_lib
from standins import plain as plain_lib
from standins import weight_store


def main() -> None:
    """Serve the test doubles given on the command line until a signal."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("--model", action="append", default=[])
    parser.add_argument("--plain", action="append", default=[])
    parser.add_argument(
        "--group",
        action="append",
        default=[],
        help="comma-separated --model addresses that form one group",
    )
    parser.add_argument("--layers", type=int, default=2)
    parser.add_argument("--ranks", type=int, default=4, help="per host")
    parser.add_argument("--per-rank", type=int, default=3)
    parser.add_argument("--experts", type=int, default=16)
    parser.add_argument("--step-seconds", type=float, default=0.02)
    parser.add_argument("--store-rate", type=float, default=200.0)
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--threads", type=int, default=128)
    parser.add_argument(
        "--token-seconds", type=float, default=const.DEFAULT_TOKEN_SECONDS
    )
    parser.add_argument("--ends-on", default="")
    args = parser.parse_args()
    servers = []
    extra = _groups(args)
    for address in args.model:
        engine = engine_lib.Engine(
            slots=args.slots,
            token_seconds=args.token_seconds,
            ends_on=args.ends_on.encode(),
        )
        servers.append(
            web.Server(
                address=address,
                threads=args.threads,
                routes=engine.routes() + extra.get(address, []),
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


def _groups(args: argparse.Namespace) -> dict[str, list[web.Route]]:
    """Return the routes of the groups by host address."""
    routes: dict[str, list[web.Route]] = {}
    for number, text in enumerate(args.group):
        addresses = text.split(",")
        group = group_lib.Group(
            sizes=group_lib.Sizes(
                layers=args.layers,
                hosts=len(addresses),
                ranks_per_host=args.ranks,
                per_rank=args.per_rank,
                experts=args.experts,
            ),
            store=weight_store.WeightStore(per_second=args.store_rate),
            step_seconds=args.step_seconds,
            seed=number,
        )
        for host, address in enumerate(addresses):
            routes[address] = group.routes(host)
    return routes


if __name__ == "__main__":
    main()
