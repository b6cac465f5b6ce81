"""Simulation of entries and a target with a rate limit."""

import collections
import heapq
import itertools
import random

from features.harness import site
from jasperweir.components.backpressure import backpressure
from jasperweir.components.backpressure import limit_shares
from jasperweir.components.backpressure import signals

WINDOW_SECONDS = 4.0
# The limit applies from this long after the target's first answer.
STABLE_SECONDS = 3.0
# The requests of an entry count from this long after its first answer.
INFORMED_SECONDS = 0.5
# Interval at which entries update the list of the others.
UPDATE_SECONDS = 0.5
NETWORK_SECONDS = (0.001, 0.015)


class EvenShares(limit_shares.LimitShares):
    """Gives every entry the same share, however small."""

    def share_per_s(self, target_id, per_s):
        return per_s / len(self)


class World:
    """Requests of entries to one target.

    Attributes:
        limits: Function that returns the limit at a time.
        visible: Function that returns the entries that an entry sees at a time.
        weights: Weights of the entries by which requests are spread.
        arrivals: When the requests that count reached the target.
    """

    def __init__(self, *, entries, seed, shares_class=limit_shares.LimitShares):
        self.names = [f"10.0.{n // 250}.{n % 250}:7601" for n in range(entries)]
        self.rng = random.Random(seed)
        self.backpressures = {}
        for name in self.names:
            self.backpressures[name] = backpressure.Backpressure(name=name)
            self.backpressures[name].shares = shares_class(name=name)
        self.starts = dict.fromkeys(self.names, 0.0)
        self.ends = {}
        self.target = site.target(target_id="t", address="10.1.0.1:80")
        self.limits = lambda at: 5.0
        self.visible = lambda name, at: [
            n for n in self.names if self.starts[n] <= at
        ]
        self.weights = [1.0] * entries
        self.arrivals = []
        self.all = 0
        # Duration and interval of the pauses in which an entry handles nothing.
        self.stall_s = 0.0
        self.stall_interval_s = 1.0
        # Seconds in each 10 s in which no caller calls.
        self.pause_s = 0.0
        self._stall_starts = {
            name: self.rng.uniform(0.0, 10.0) for name in self.names
        }
        self._informed_at = {}
        self._first_at = None
        self._numbers = itertools.count()

    def run(self, seconds, rate):
        """Send requests at a rate, all to this one target."""
        events = []
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(rate)
            name = self.rng.choices(self.names, self.weights)[0]
            heapq.heappush(events, (at, next(self._numbers), "call", name))
        for name in self.names:
            at = self.rng.uniform(0, 0.01)
            while at < seconds:
                heapq.heappush(
                    events, (at, next(self._numbers), "update", name)
                )
                at += UPDATE_SECONDS
        while events:
            at, _, kind, name = heapq.heappop(events)
            for later, next_kind, sender in self._step(at, kind, name):
                number = next(self._numbers)
                heapq.heappush(events, (later, number, next_kind, sender))

    def _step(self, at, kind, name):
        stalled_until = self._stalled_until(name, at)
        if kind != "arrive" and stalled_until > at:
            return ((stalled_until, kind, name),)
        match kind:
            case "update":
                seen = self.visible(name, at)
                self.backpressures[name].shares.on_entries(seen, at)
            case "call" if at % 10.0 < self.pause_s:
                pass
            case "call" if self._runs(name, at):
                return self._call(at, name)
            case "arrive":
                return self._arrive(at, name)
            case "answer":
                self._answer(at, name)
        return ()

    def _stalled_until(self, name, at):
        """Return the end of an entry's pause, or ``at`` if there is none."""
        since = (at - self._stall_starts[name]) % self.stall_interval_s
        # The margin avoids an event at the end that still counts as stalled.
        return at + self.stall_s - since + 1e-6 if since < self.stall_s else at

    def _runs(self, name, at):
        return self.starts[name] <= at < self.ends.get(name, at + 1.0)

    def _call(self, at, name):
        state = self.backpressures[name]
        if not state.list_available([self.target], at):
            return ()
        state.on_chosen(self.target, at)
        return ((at + self.rng.uniform(*NETWORK_SECONDS), "arrive", name),)

    def _arrive(self, at, name):
        self.all += 1
        self._first_at = self._first_at if self._first_at is not None else at
        informed_at = self._informed_at.get(name, float("inf"))
        if (
            at >= self._first_at + STABLE_SECONDS
            and at >= informed_at + INFORMED_SECONDS
        ):
            self.arrivals.append(at)
        return ((at + self.rng.uniform(*NETWORK_SECONDS), "answer", name),)

    def _answer(self, at, name):
        self._informed_at.setdefault(name, at)
        stated = signals.Signals(limit_per_s=self.limits(at))
        self.backpressures[name].on_answer(self.target, stated, at, at - 0.02)

    def worst_excess(self):
        """Return the largest number of requests above a window's allowance."""
        recent = collections.deque()
        worst = float("-inf")
        for at in self.arrivals:
            recent.append(at)
            while recent[0] <= at - WINDOW_SECONDS:
                recent.popleft()
            most = 1.5 * self.allowed(at - WINDOW_SECONDS, at) + 5
            worst = max(worst, len(recent) - most)
        return worst

    def allowed(self, since, until, steps=40):
        """Return how many requests the limit allows between two times."""
        step = (until - since) / steps
        return (
            sum(self.limits(since + (n + 0.5) * step) for n in range(steps))
            * step
        )

    def used_share(self, since, until):
        """Return the used share of the limit."""
        count = sum(since <= at < until for at in self.arrivals)
        return count / self.allowed(since, until)
