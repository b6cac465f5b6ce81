"""Entries and one target with a limit, on a virtual clock."""

import collections
import heapq
import itertools
import random

from features.harness import site
from jasperweir.components.backpressure import asked
from jasperweir.components.backpressure import limit_shares
from jasperweir.components.backpressure import signals

WINDOW = 4.0
# From so long after the target first named a limit it holds.
STABLE = 3.0
# A request of an entry counts from so long after an answer has told it.
TOLD = 0.5
# Entries look who the others are this often.
LOOK = 0.5
ON_ITS_WAY = (0.001, 0.015)


class Even(limit_shares.LimitShares):
    """The other way: every entry has the same part, however small."""

    def share_per_s(self, target_id, per_s):
        return per_s / len(self)


class World:
    """Requests at entries, and what reaches the target.

    Attributes:
        limits: Function that returns the limit at a time.
        visible: Function that returns whom an entry sees at a time.
        weights: How requests are spread over the entries.
        arrivals: When requests that count reached the target.
    """

    def __init__(self, *, entries, seed, way=limit_shares.LimitShares):
        self.names = [f"10.0.{n // 250}.{n % 250}:7601" for n in range(entries)]
        self.rng = random.Random(seed)
        self.asked = {}
        for name in self.names:
            self.asked[name] = asked.Backpressure(name=name)
            self.asked[name].shares = way(name=name)
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
        self._told_at = {}
        self._first_at = None
        self._numbers = itertools.count()

    def run(self, seconds, rate):
        """Let requests come at a rate; all entries want this one target."""
        events = []
        at = 0.0
        while at < seconds:
            at += self.rng.expovariate(rate)
            name = self.rng.choices(self.names, self.weights)[0]
            heapq.heappush(events, (at, next(self._numbers), "call", name))
        for name in self.names:
            at = self.rng.uniform(0, 0.01)
            while at < seconds:
                heapq.heappush(events, (at, next(self._numbers), "look", name))
                at += LOOK
        while events:
            at, _, what, name = heapq.heappop(events)
            for later, follows, who in self._step(at, what, name):
                number = next(self._numbers)
                heapq.heappush(events, (later, number, follows, who))

    def _step(self, at, what, name):
        match what:
            case "look":
                seen = self.visible(name, at)
                self.asked[name].shares.on_entries(seen, at)
            case "call" if self._runs(name, at):
                return self._call(at, name)
            case "arrive":
                return self._arrive(at, name)
            case "answer":
                self._answer(at, name)
        return ()

    def _runs(self, name, at):
        return self.starts[name] <= at < self.ends.get(name, at + 1.0)

    def _call(self, at, name):
        known = self.asked[name]
        if not known.open_to([self.target], at):
            return ()
        known.on_chosen(self.target, at)
        return ((at + self.rng.uniform(*ON_ITS_WAY), "arrive", name),)

    def _arrive(self, at, name):
        self.all += 1
        self._first_at = self._first_at if self._first_at is not None else at
        told_at = self._told_at.get(name, float("inf"))
        if at >= self._first_at + STABLE and at >= told_at + TOLD:
            self.arrivals.append(at)
        return ((at + self.rng.uniform(*ON_ITS_WAY), "answer", name),)

    def _answer(self, at, name):
        self._told_at.setdefault(name, at)
        told = signals.Signals(limit_per_s=self.limits(at))
        self.asked[name].on_answer(self.target, told, at, at - 0.02)

    def worst(self):
        """Return by how much the worst window passes what it allows."""
        recent = collections.deque()
        worst = float("-inf")
        for at in self.arrivals:
            recent.append(at)
            while recent[0] <= at - WINDOW:
                recent.popleft()
            most = 1.5 * self.allowed(at - WINDOW, at) + 5
            worst = max(worst, len(recent) - most)
        return worst

    def allowed(self, since, until, steps=40):
        """Return how many requests the limit allows in a time."""
        step = (until - since) / steps
        return (
            sum(self.limits(since + (n + 0.5) * step) for n in range(steps))
            * step
        )

    def used(self, since, until):
        """Return which part of the limit is used."""
        count = sum(since <= at < until for at in self.arrivals)
        return count / self.allowed(since, until)
