"""Measure skew and moves on seeded drift traces against baselines."""

import argparse
import concurrent.futures
import json
import pathlib
import time
from typing import NamedTuple

import numpy as np

from jasperweir.components.experts import placement
from jasperweir.components.experts import planner
from jasperweir.components.experts import popularity

EXPERTS = 64
PROCESSES = 4
INTERVALS = 400
LAYERS = 4
SCRATCH_EVERY = 10
TOKENS = 200_000
WARM = 5
BUDGET = 64


class Result(NamedTuple):
    """Outcome of one method on one trace."""

    p50: float
    p99: float
    moves: int
    plan_ms: float


def trace(kind: str, seed: int) -> np.ndarray:
    """Return true shares, shape (intervals, layers, experts).

    ``season`` drifts slowly and steadily; ``repertoire`` drifts less, but
    every 50 intervals a third of the experts change places at once.
    """
    rng = np.random.default_rng(seed)
    logits = rng.normal(0, 1.0, (LAYERS, EXPERTS))
    pull = rng.normal(0, 1.0, (LAYERS, EXPERTS))
    out = np.empty((INTERVALS, LAYERS, EXPERTS))
    for t in range(INTERVALS):
        noise = rng.normal(0, 0.03, logits.shape)
        if kind == "season":
            if t % 100 == 0:
                pull = rng.normal(0, 1.0, logits.shape)
            logits += 0.02 * (pull - logits) + noise
        else:
            logits += 0.3 * noise
            if t and t % 50 == 0:
                for layer in logits:
                    some = rng.choice(EXPERTS, EXPERTS // 3, replace=False)
                    layer[some] = layer[rng.permutation(some)]
        shares = np.exp(logits)
        out[t] = shares / shares.sum(axis=1, keepdims=True)
    return out


def counts_of(shares: np.ndarray, rng: np.random.Generator) -> np.ndarray:
    """Return sampled token counts of one interval."""
    return np.stack([rng.multinomial(TOKENS, row) for row in shares]).astype(
        float
    )


def summary(skews: list[float], moves: int, spent: list[float]) -> Result:
    """Return the figures of one run."""
    return Result(
        p50=float(np.percentile(skews, 50)),
        p99=float(np.percentile(skews, 99)),
        moves=moves,
        plan_ms=float(np.median(spent) * 1000) if spent else 0.0,
    )


def run_static(shares: np.ndarray, ranks: int, per_rank: int) -> Result:
    """Place once, from the first interval, and never again."""
    speeds = np.ones(ranks)
    layers = [
        placement.greedy(shares[0, i], ranks, per_rank, speeds)
        for i in range(LAYERS)
    ]
    skews = []
    for t in range(WARM, INTERVALS):
        for i, slots in enumerate(layers):
            split = placement.even_split(slots, EXPERTS)
            layer = placement.Layer(slots, split)
            loads = placement.rank_loads(layer, shares[t, i], speeds)
            skews.append(placement.skew(loads))
    return summary(skews, 0, [])


def run_scratch(
    shares: np.ndarray, ranks: int, per_rank: int, every: int, seed: int
) -> Result:
    """Place from scratch every so many intervals, splitting evenly."""
    rng = np.random.default_rng(seed)
    speeds = np.ones(ranks)
    seen = shares[0]
    layers: list[np.ndarray] = []
    skews, spent = [], []
    moves = 0
    for t in range(INTERVALS):
        if t % every == 0:
            start = time.perf_counter()
            new = [
                placement.greedy(seen[i], ranks, per_rank, speeds)
                for i in range(LAYERS)
            ]
            spent.append(time.perf_counter() - start)
            for old, fresh in zip(layers, new, strict=False):
                moves += len(placement.moves_between(old, fresh))
            layers = new
        for i, slots in enumerate(layers):
            split = placement.even_split(slots, EXPERTS)
            layer = placement.Layer(slots, split)
            loads = placement.rank_loads(layer, shares[t, i], speeds)
            if t >= WARM:
                skews.append(placement.skew(loads))
        counted = counts_of(shares[t], rng)
        seen = counted / counted.sum(axis=1, keepdims=True)
    return summary(skews, moves, spent)


def run_planner(
    shares: np.ndarray, ranks: int, per_rank: int, weight: float, seed: int
) -> Result:
    """Plan by few moves at every interval, from late counts."""
    rng = np.random.default_rng(seed)
    speeds = np.ones(ranks)
    estimate = popularity.Popularity(layers=LAYERS, experts=EXPERTS)
    estimate.observe(shares[0])
    layers = tuple(
        placement.Layer(slots, placement.even_split(slots, EXPERTS))
        for slots in (
            placement.greedy(shares[0, i], ranks, per_rank, speeds)
            for i in range(LAYERS)
        )
    )
    skews, spent = [], []
    moves = 0
    for t in range(INTERVALS):
        start = time.perf_counter()
        plan = planner.plan(
            layers, estimate.shares, speeds, skew_weight=weight, budget=BUDGET
        )
        spent.append(time.perf_counter() - start)
        layers = plan.layers
        moves += len(plan.moves)
        for i, layer in enumerate(layers):
            loads = placement.rank_loads(layer, shares[t, i], speeds)
            if t >= WARM:
                skews.append(placement.skew(loads))
        estimate.observe(counts_of(shares[t], rng))
    return summary(skews, moves, spent)


WEIGHTS = (0.02, 0.1, 0.3, 0.5, 0.7, 0.9, 0.98)


def main() -> None:
    """Run all sizes, traces and weights; write the numbers and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, default=None)
    parser.add_argument("--plot", type=pathlib.Path, default=None)
    parser.add_argument("--sizes", default="16x5,16x8,128x1,128x2")
    parser.add_argument("--weights", default="")
    args = parser.parse_args()
    weights = (
        tuple(float(w) for w in args.weights.split(","))
        if args.weights
        else WEIGHTS
    )
    cases = [
        (size, kind, weights)
        for size in args.sizes.split(",")
        for kind in ("season", "repertoire")
    ]
    rows = []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for found in pool.map(measure, cases):
            rows += found
    if args.out:
        args.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    if args.plot:
        plot(rows, args.plot)


def measure(
    case: tuple[str, str, tuple[float, ...]],
) -> list[dict[str, object]]:
    """Run every method on one trace."""
    size, kind, weights = case
    ranks, per_rank = (int(n) for n in size.split("x"))
    shares = trace(kind, seed=7)
    results = {
        "static": run_static(shares, ranks, per_rank),
        "scratch every": run_scratch(shares, ranks, per_rank, 1, 3),
        "scratch tenth": run_scratch(shares, ranks, per_rank, SCRATCH_EVERY, 3),
    }
    for weight in weights:
        results[f"planner {weight}"] = run_planner(
            shares, ranks, per_rank, weight, 3
        )
    rows = []
    for method, result in results.items():
        print(
            f"{size:6} {kind:10} {method:14} p50 {result.p50:.3f} "
            f"p99 {result.p99:.3f} moves {result.moves:6} "
            f"plan {result.plan_ms:.1f} ms",
            flush=True,
        )
        rows.append(
            {"size": size, "trace": kind, "method": method} | result._asdict()
        )
    return rows


def plot(rows: list[dict[str, object]], path: pathlib.Path) -> None:
    """Draw skew against moves for every size and trace."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    cases = sorted({(str(r["size"]), str(r["trace"])) for r in rows})
    fig, axes = pyplot.subplots(2, (len(cases) + 1) // 2, figsize=(16, 8))
    for axis, case in zip(axes.ravel(), cases, strict=False):
        mine = [r for r in rows if (r["size"], r["trace"]) == case]
        curve = [r for r in mine if str(r["method"]).startswith("planner")]
        axis.plot(
            [r["moves"] for r in curve],
            [r["p99"] for r in curve],
            "o-",
            label="planner, weights 0.02 to 0.98",
        )
        for row in mine:
            if row not in curve:
                axis.plot(row["moves"], row["p99"], "x", label=row["method"])
        axis.set_title(f"{case[0]} {case[1]}")
        axis.set_xscale("symlog", linthresh=10)
        axis.set_xlabel("experts moved")
        axis.set_ylabel("skew p99")
        axis.legend(fontsize=7)
    fig.tight_layout()
    fig.savefig(path)


if __name__ == "__main__":
    main()
