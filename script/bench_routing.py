"""Compare routing and admission with baselines on the same seeded load."""

import argparse
import collections
import heapq
import json
import pathlib
import random
import statistics
from typing import Any
from typing import NamedTuple

from jasperweir.components.limits import admission as admission_lib
from jasperweir.components.membership import messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.components.routing import router as router_lib

ENTRIES = 10
TARGETS = 16
SLOTS = 32
TOKEN_S = 0.055
PREFILL_S = 0.20
PREFILL_CACHED_S = 0.03
MEAN_TOKENS = 60
FIRST_TOKEN_S = 0.62
SECONDS = 40.0
WARM_S = 8.0
PREFIXES = 400
CACHE = 40
POLICIES = ("random", "round robin", "least own", "two choices", "jasperweir")


class Case(NamedTuple):
    """One situation: load as a share of capacity, and what is wrong."""

    name: str
    load: float
    lag_s: float = 0.5
    straggler: float = 1.0
    frozen: bool = False


CASES = (
    Case("50 %", 0.5),
    Case("80 %", 0.8),
    Case("100 %", 1.0),
    Case("150 %", 1.5),
    Case("80 %, straggler at a third", 0.8, straggler=3.0),
    Case("80 %, one target frozen", 0.8, frozen=True),
    Case("80 %, reports 2 s late", 0.8, lag_s=2.0),
    Case("80 %, reports 10 s late", 0.8, lag_s=10.0),
)


class Call(NamedTuple):
    """One request of the seeded load."""

    number: int
    at: float
    entry: int
    customer: int
    prefix: int
    tokens: int
    deadline: float


class Target:
    """A batch of slots with a queue and a prefix cache."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.active = 0
        self.queue: collections.deque[Call] = collections.deque()
        self.cache: collections.OrderedDict[int, bool] = (
            collections.OrderedDict()
        )
        self.slow = 1.0
        self.frozen = False

    def cached(self, prefix: int) -> bool:
        """Look up and remember a prefix."""
        hit = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHE:
            self.cache.popitem(last=False)
        return hit


def load(case: Case, seed: int) -> list[Call]:
    """Return the same calls for every policy."""
    rng = random.Random(seed)
    capacity = TARGETS * SLOTS / (MEAN_TOKENS * TOKEN_S + PREFILL_S)
    rate = capacity * case.load
    calls = []
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(rate)
        # Customers 0 and 1 send four fifths of all requests.
        large = rng.random() < 0.8
        customer = rng.randrange(2) if large else 2 + rng.randrange(8)
        tokens = min(max(int(rng.expovariate(1 / MEAN_TOKENS)), 4), 300)
        prefix = int(PREFIXES * rng.random() ** 2)
        calls.append(
            Call(
                len(calls),
                at,
                rng.randrange(ENTRIES),
                customer,
                prefix,
                tokens,
                at + FIRST_TOKEN_S + 2 * tokens * TOKEN_S,
            )  # fmt: skip
        )
    return calls


class Bench:
    """One policy on one case, event by event."""

    def __init__(self, policy: str, case: Case, seed: int) -> None:
        self.policy = policy
        self.case = case
        self.rng = random.Random(seed)
        self.targets = [Target(f"t{i}") for i in range(TARGETS)]
        self.targets[0].slow = case.straggler
        self.reported = [0] * TARGETS
        self.own = [[0] * TARGETS for _ in range(ENTRIES)]
        self.turn = [0] * ENTRIES
        self.firsts: list[float] = []
        self.good: collections.Counter[int] = collections.Counter()
        self.offered: collections.Counter[int] = collections.Counter()
        self.refused = 0
        self.wasted = 0.0
        self.hits = 0
        self.served = 0
        self.events: list[tuple[float, int, Any]] = []
        self.order = 0
        self.started: dict[int, float] = {}
        self._build_routers()

    def _build_routers(self) -> None:
        self.routers = []
        self.gates = []
        for i in range(ENTRIES):
            roster = roster_lib.Roster(own=_member(f"e{i}", "entry"))
            for target in self.targets:
                roster.merge(_member(target.name, "agent"), 0.0)
            self.routers.append(
                router_lib.Router(
                    roster=roster, rng=random.Random(i), regions={}
                )
            )
            share = admission_lib.entry_slot_limit(TARGETS * SLOTS, ENTRIES)
            self.gates.append(
                admission_lib.AdmissionQueue(limit=share, rng=random.Random(i))
            )

    def at(self, when: float, what: Any) -> None:
        """Schedule an event."""
        self.order += 1
        heapq.heappush(self.events, (when, self.order, what))

    def run(self, calls: list[Call]) -> dict[str, Any]:
        """Play the load and return the figures."""
        self.calls = calls
        for call in calls:
            self.at(call.at, ("call", call))
        self.at(self.case.lag_s, ("report",))
        if self.case.frozen:
            self.at(SECONDS / 3, ("freeze",))
        while self.events:
            now, _, what = heapq.heappop(self.events)
            if now > SECONDS + 30:
                break
            match what:
                case ("call", call):
                    self.on_call(call, now)
                case ("first", call, target, entry):
                    self.on_first(call, target, entry, now)
                case ("done", call, target, entry):
                    self.on_done(call, target, entry, now)
                case ("verdict", verdict):
                    self.take(verdict, now)
                case ("report",):
                    self.on_report(now)
                case ("freeze",):
                    self.targets[1].frozen = True
        return self.figures()

    # Arrival.

    def on_call(self, call: Call, now: float) -> None:
        """Admit or refuse a request."""
        if call.at >= WARM_S:
            self.offered[call.customer] += 1
        if self.policy != "jasperweir":
            self.dispatch(call, now)
            return
        gate = self.gates[call.entry]
        ticket = admission_lib.AdmissionRequest(
            str(call.number), str(call.customer), 1.0, 5,
            call.at + FIRST_TOKEN_S, PREFILL_CACHED_S,
        )  # fmt: skip
        self.take(gate.submit(ticket, now), now)

    def take(self, verdict: admission_lib.Verdict, now: float) -> None:
        """Follow admission's verdict."""
        match verdict:
            case admission_lib.Admit(rid=rid):
                self.dispatch(self.calls[int(rid)], now)
            case admission_lib.Refuse():
                self.refused += 1

    def dispatch(self, call: Call, now: float) -> None:
        """Route a request and start or queue it."""
        number = self.pick(call, now)
        if self.policy == "jasperweir" and not self.accepted(number):
            number = self.pick_again(call, number, now)
            if number < 0:
                self.refused += 1
                gate = self.gates[call.entry]
                for verdict in gate.release(str(call.number), now):
                    self.at(now, ("verdict", verdict))
                return
        target = self.targets[number]
        self.own[call.entry][number] += 1
        self.started[call.number] = now
        if self.policy == "jasperweir":
            query = router_lib.TargetQuery(service="s", prefix=call.prefix + 1)
            self.routers[call.entry].record_start(target.name, query, now)
        if target.active < SLOTS:
            self.begin(call, number, now)
        else:
            target.queue.append(call)

    def accepted(self, number: int) -> bool:
        """Tell whether the target's agent takes one more request."""
        return self.targets[number].active < SLOTS

    def pick_again(self, call: Call, number: int, now: float) -> int:
        """Try other targets after a refusal, as a request's life does."""
        router = self.routers[call.entry]
        self.gates[call.entry].record_congestion(now)
        tried = []
        for _ in range(2):
            name = self.targets[number].name
            tried.append(name)
            # The refusal carries the target's load.
            router.update_load(
                name, active=SLOTS, skew=0.0, switching=False, now=now
            )
            query = router_lib.TargetQuery(service="s", prefix=call.prefix + 1)
            member = router.choose(query, tried, now)
            if member is None:
                return -1
            number = int(member.name[1:])
            if self.accepted(number):
                return number
        return -1

    def pick(self, call: Call, now: float) -> int:
        """Choose a target by the policy."""
        own = self.own[call.entry]
        match self.policy:
            case "random":
                return self.rng.randrange(TARGETS)
            case "round robin":
                self.turn[call.entry] += 1
                return (self.turn[call.entry] + call.entry) % TARGETS
            case "least own":
                least = min(own)
                return self.rng.choice(
                    [i for i in range(TARGETS) if own[i] == least]
                )
            case "two choices":
                pair = self.rng.sample(range(TARGETS), 2)
                return min(pair, key=lambda i: self.reported[i])
        query = router_lib.TargetQuery(service="s", prefix=call.prefix + 1)
        member = self.routers[call.entry].choose(query, (), now)
        return int(member.name[1:]) if member else 0

    # At the target.

    def begin(self, call: Call, number: int, now: float) -> None:
        """Take a slot; the first token follows the prefill."""
        target = self.targets[number]
        target.active += 1
        hit = target.cached(call.prefix)
        self.hits += hit
        self.served += 1
        if target.frozen:
            # Nothing more ever comes; the entry gives up at its deadline.
            self.at(call.deadline, ("done", call, number, call.entry))
            return
        prefill = PREFILL_CACHED_S if hit else PREFILL_S
        first = now + prefill * target.slow
        self.at(first, ("first", call, number, call.entry))

    def on_first(self, call: Call, number: int, entry: int, now: float) -> None:
        """Count the first token."""
        target = self.targets[number]
        if target.frozen:
            self.at(call.deadline, ("done", call, number, entry))
            return
        if call.at >= WARM_S:
            self.firsts.append(now - call.at)
        if self.policy == "jasperweir":
            self.routers[entry].record_success(
                target.name, now - self.started[call.number], now
            )
        end = now + call.tokens * TOKEN_S * target.slow
        self.at(end, ("done", call, number, entry))
        if now - call.at <= FIRST_TOKEN_S and end <= call.deadline:
            if call.at >= WARM_S:
                self.good[call.customer] += 1
        else:
            self.wasted += call.tokens

    def on_done(self, call: Call, number: int, entry: int, now: float) -> None:
        """Free the slot and start the next in the queue."""
        target = self.targets[number]
        target.active -= 1
        self.own[entry][number] -= 1
        if self.policy == "jasperweir":
            self.routers[entry].record_end(target.name, now)
            if target.frozen:
                self.routers[entry].record_failure(target.name, now)
            for verdict in self.gates[entry].release(str(call.number), now):
                self.take(verdict, now)
        if target.queue and target.active < SLOTS:
            self.begin(target.queue.popleft(), number, now)

    def on_report(self, now: float) -> None:
        """Publish every target's load, to be used until the next report."""
        for i, target in enumerate(self.targets):
            self.reported[i] = target.active + len(target.queue)
            if self.policy != "jasperweir":
                continue
            for router in self.routers:
                router.update_load(
                    target.name,
                    active=self.reported[i],
                    skew=0.0,
                    switching=False,
                    now=now,
                )
        if now < SECONDS:
            self.at(now + self.case.lag_s, ("report",))

    def figures(self) -> dict[str, Any]:
        """Return what the case gave."""
        offered = sum(self.offered.values())
        small = [self.good[c] / max(self.offered[c], 1) for c in range(2, 10)]
        firsts = sorted(self.firsts) or [0.0]

        def share(p: float) -> float:
            return firsts[min(int(len(firsts) * p), len(firsts) - 1)]

        return {
            "policy": self.policy,
            "case": self.case.name,
            "goodput": sum(self.good.values()) / offered,
            "small_customers": statistics.fmean(small),
            "worst_small": min(small),
            "refused": self.refused / offered,
            "wasted_tokens": self.wasted / offered,
            "first_p50_s": share(0.5),
            "first_p95_s": share(0.95),
            "first_p99_s": share(0.99),
            "prefix_hits": self.hits / max(self.served, 1),
        }


def _member(name: str, kind: str) -> messages.Member:
    offers = (messages.Offer("s", (), "both", SLOTS),)
    return messages.Member(
        name, kind, "p", 1, 0, messages.Status.ALIVE, name, name,
        offers if kind == "agent" else (),
    )  # fmt: skip


def main() -> None:
    """Run every policy on every case and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=11)
    args = parser.parse_args()
    rows = []
    for case in CASES:
        calls = load(case, args.seed)
        for policy in POLICIES:
            row = Bench(policy, case, args.seed).run(calls)
            rows.append(row)
            print(
                f"{case.name:28} {policy:12} goodput {row['goodput']:.3f} "
                f"small {row['small_customers']:.3f} "
                f"first p50 {row['first_p50_s']:.2f} "
                f"p95 {row['first_p95_s']:.2f} p99 {row['first_p99_s']:.2f} "
                f"worst {row['worst_small']:.2f} "
                f"refused {row['refused']:.2f} hits {row['prefix_hits']:.2f} "
                f"wasted {row['wasted_tokens']:.1f}",
                flush=True,
            )
    if args.out:
        args.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
