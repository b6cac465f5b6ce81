"""Start a whole deployment, sign off and roll a bundle, call it, judge it."""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

from jasperweir import client as client_lib
from standins import engine as engine_lib
from standins import local as local_lib

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLACES = ("agadir-hall", "inezgane-hall", "taroudant-hall")
CUSTOMERS = ("agadir-coop", "inezgane-relay", "tiznit", "ouled-teima")
TOKENS = 12
WORKERS = 24


def build(local: local_lib.LocalDeployment) -> None:
    """Describe three control, three entry and four agent processes."""
    for i, place in enumerate(PLACES, start=1):
        local.add(
            local_lib.NodeSpec(
                "control",
                f"control-{i}",
                place,
                f"127.0.1.{i}:7000",
                f"127.0.1.{i}:7100",
            ),
            local_lib.NodeSpec(
                "entry",
                f"entry-{i}",
                place,
                f"127.0.2.{i}:7000",
                f"127.0.2.{i}:8080",
                threads=96,
            ),
        )
    services = [
        ("weir-assist", "assist"),
        ("weir-assist", "assist"),
        ("weir-night", "night"),
        ("slot-api", ""),
    ]
    for i, (service, group) in enumerate(services, start=1):
        target = {
            "url": f"http://127.0.3.{i}:9000",
            "kind": "model" if group else "plain",
            "service": service,
            "max_in_flight": "32",
        }
        if group:
            target |= {"group": group, "ranks": "4"}
        local.add(
            local_lib.NodeSpec(
                "agent",
                f"agent-{i}",
                PLACES[(i - 1) % 3],
                f"127.0.4.{i}:7000",
                f"127.0.4.{i}:8090",
                target,
                threads=96,
            )
        )


def bundle_text() -> str:
    """Return the example bundle with a second model group."""
    text = (ROOT / "examples" / "souss.ini").read_text(encoding="utf-8")
    return text + (
        "\n[service weir-night]\nkind = model\ngroup = night\n"
        "max_in_flight = 32\n"
    )


def start(local: local_lib.LocalDeployment) -> None:
    """Start everything and bring the bundle into force."""
    build(local)
    models = [f"127.0.3.{i}:9000" for i in (1, 2, 3)]
    args = [a for m in models for a in ("--model", m)]
    args += ["--group", ",".join(models[:2]), "--group", models[2]]
    args += ["--per-rank", "6", "--plain", "127.0.3.4:9000"]
    local.start_standins("standins", *args)
    names = list(local.specs)
    local.start(*[n for n in names if n.startswith("control")])
    local.bootstrap()
    local.start(*[n for n in names if not n.startswith("control")])
    path = local.folder / "bundle.ini"
    path.write_text(bundle_text(), encoding="utf-8")
    signed = local.cli("bundle", "sign-off", "--file", str(path))
    print(f"signed off version {signed['version']}")
    local.cli("bundle", "roll", "--version", str(signed["version"]))
    others = [n for n in names if not n.startswith("control")]
    took = local.wait_for("all in force", lambda: local.ready(*others))
    print(f"in force and ready at every place after {took:.1f} s")
    time.sleep(1.5)


class Caller:
    """Send the demo's requests and judge each answer."""

    def __init__(self, *, seeds: list[str]) -> None:
        self._clients = [
            client_lib.Client(seeds=seeds, customer=c, seed=i)
            for i, c in enumerate(CUSTOMERS)
        ]
        self.codes: collections.Counter[str] = collections.Counter()
        self.first: list[float] = []
        self.gaps: list[float] = []
        self.wrong: list[str] = []
        self.keys: dict[str, str] = {}

    def one(self, number: int) -> None:
        """Send one request of the kind that its number stands for."""
        caller = self._clients[number % len(self._clients)]
        kind = ("stream", "whole", "book", "stream", "slots")[number % 5]
        if kind in ("stream", "whole"):
            self._model(caller, number, stream=kind == "stream")
        elif kind == "book":
            self._book(caller, number)
        else:
            answer = caller.call("GET", f"/svc/slot-api/slots?n={number}")
            self._note(kind, answer, answer.status == 200)

    def _model(
        self, caller: client_lib.Client, number: int, *, stream: bool
    ) -> None:
        messages = [{"role": "user", "content": f"request {number}"}]
        model = "weir-assist" if number % 3 else "weir-night"
        key = f"chat-{number}" if number % 4 == 0 else ""
        answer = caller.complete(
            model,
            messages,
            stream=stream,
            key=key,
            max_tokens=TOKENS,
            user=f"u{number}",
        )
        prompt = json.dumps(messages, sort_keys=True)
        right = answer.status == 200 and answer.text() == (
            engine_lib.answer_text(prompt, TOKENS)
        )
        self._note("stream" if stream else "whole", answer, right)
        if stream and right:
            self.first.append(answer.first_token_s)
            self.gaps += answer.gaps_s

    def _book(self, caller: client_lib.Client, number: int) -> None:
        body = json.dumps({"id": f"b{number}"}).encode()
        key = f"book-{number}"
        sends = 3 if number % 2 else 1
        with concurrent.futures.ThreadPoolExecutor(sends) as pool:
            # Resends run at the same time, through any entry.
            futs = [
                pool.submit(
                    caller.call, "POST", "/svc/slot-api/book", body, key=key
                )
                for _ in range(sends)
            ]
            for fut in futs:
                answer = fut.result()
                right = answer.status == 200 and (
                    json.loads(answer.body)["booked"] == f"b{number}"
                )
                self._note("book", answer, right)
        self.keys[f"b{number}"] = key

    def _note(self, kind: str, answer: client_lib.Answer, right: bool) -> None:
        self.codes[f"{kind} {answer.code} {answer.outcome}"] += 1
        if not right:
            self.wrong.append(f"{kind}: {answer}")


def percentile(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)] * 1000


def ledger_problems(
    local: local_lib.LocalDeployment, caller: Caller
) -> list[str]:
    """Hold the service's own count of bookings against what was told."""
    _, ledger = local.get("127.0.3.4:9000", "/ledger")
    started: dict[str, Any] = ledger["started"]
    doubled = [k for k, n in started.items() if n > 1]
    missing = [k for k in caller.keys if k not in started]
    return [f"ran twice: {doubled}"] * bool(doubled) + [
        f"told done, never ran: {missing}"
    ] * bool(missing)


def group_problems(local: local_lib.LocalDeployment) -> list[str]:
    """Print what the groups did; return steps that broke the one-map rule."""
    problems = []
    for name, address in (("assist", "127.0.3.1"), ("night", "127.0.3.3")):
        _, verdict = local.get(f"{address}:9000", "/verdict")
        print(
            f"group {name}: {verdict['steps']} steps under "
            f"{len(verdict['versions'])} maps, skew at first "
            f"{verdict['first_skew']:.2f}, at last {verdict['last_skew']:.2f}, "
            f"experts loaded {verdict['experts_loaded']}"
        )
        problems += verdict["violations"]
        if not verdict["steps"]:
            problems.append(f"group {name} ran no step")
    return problems


def main() -> int:
    """Run the demo; return 0 only if every answer was right."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=400)
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="jasperweir-demo-"))
    local = local_lib.LocalDeployment(folder=folder)
    try:
        start(local)
        caller = Caller(seeds=local.entry_http())
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            list(pool.map(caller.one, range(args.requests)))
        problems = caller.wrong + ledger_problems(local, caller)
        problems += group_problems(local)
    finally:
        local.stop_all()
    print("answers by kind, result code and outcome:")
    for name, count in sorted(caller.codes.items()):
        print(f"  {name}: {count}")
    for title, values in (
        ("first token", caller.first),
        ("between tokens", caller.gaps),
    ):
        print(
            f"{title}: p50 {percentile(values, 0.5):.0f} ms, "
            f"p95 {percentile(values, 0.95):.0f} ms"
        )
    print(f"logs lie in {folder}")
    for problem in problems[:10]:
        print(f"WRONG {problem}", file=sys.stderr)
    print("every answer was right" if not problems else "SOME ARE WRONG")
    return 0 if not problems else 1


if __name__ == "__main__":
    sys.exit(main())
