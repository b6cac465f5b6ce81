"""Simulation of entries, their leader and a cold target, without a network."""

import heapq
import itertools
import random

from features.harness import site
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.components.warmup import warmup as warmup_lib

WARMUP_PER_S = 26.0
UPDATE_SECONDS = 0.5
BEAT_SECONDS = (0.25, 0.5)
NETWORK_SECONDS = (0.001, 0.015)
# Time until a chosen request reaches the target, its connection included.
SEND_SECONDS = (0.001, 0.2)
# An entry is off the leader's list after this silence, and confirmed for so
# long after the leader's last message.
SILENT_SECONDS = 0.9
CONFIRMED_SECONDS = 1.0
# A list may lack the updates of this long: one was lost and is repeated.
LIST_AGE_SECONDS = (0.0, 1.5)


class Entry:
    """An entry with its own directory and limits."""

    def __init__(self, *, name, service, bounds, target):
        self.name = name
        self.directory = directory_lib.Directory()
        self.target = target
        self.warmup = warmup_lib.WarmUp(
            directory=self.directory, name=name, bounds=bounds
        )
        self.warmup.on_services({"s": service})
        self.heard_at = float("-inf")
        self.names = ()
        self.sequence = 1
        self.waiting = []

    def update(self, at):
        """Do what an entry does every half second."""
        self.sequence += 1
        self.target = self.target._replace(sequence=self.sequence)
        self.directory.merge(self.target, at)
        confirmed = at - self.heard_at < CONFIRMED_SECONDS
        names = {*self.names, self.name}
        self.warmup.shares.on_entries(names, at, is_confirmed=confirmed)
        self.warmup.tick(at)

    def may_send(self, at):
        """Choose the target if it is available."""
        if not self.warmup.list_available([self.target], "s", at):
            return False
        return self.warmup.on_chosen(self.target, at)


class World:
    """Requests of entries to one cold target.

    Attributes:
        starts: Start of each entry, seconds.
        cuts: Intervals by entry in which it reaches no control VM.
        freezes: Intervals by entry in which its process is suspended.
        elections: Times at which a new leader starts with an empty list.
        every_s: Interval at which callers come, seconds.
        open_s: Time of each such interval in which they come, seconds.
        arrivals: When requests reached the target.
    """

    def __init__(
        self, *, entries, seed, warmup_per_s=WARMUP_PER_S, bounds=None
    ):
        self.rng = random.Random(seed)
        self.names = [f"10.0.{n // 250}.{n % 250}:7601" for n in range(entries)]
        self.warmup_per_s = warmup_per_s
        self.bounds = bounds or rate_lib.Bounds()
        self.service = model.Service("s", 0, None, 600.0, warmup_per_s)
        self.target = site.target(target_id="t")._replace(
            cold_s=600.0, born=1000
        )
        self.starts = dict.fromkeys(self.names, 0.0)
        self.cuts = {name: [] for name in self.names}
        self.freezes = {name: [] for name in self.names}
        self.elections = []
        self.every_s, self.open_s = 1.0, 1.0
        self.arrivals = []
        self._entries = {}
        # Entries by the time at which the leader last heard from them.
        self._heard = {}
        self._history = []
        self._numbers = itertools.count()
        self._events = []

    def draw_disturbances(self, seconds):
        """Draw starts, restarts, cuts of several entries, and freezes."""
        rng = self.rng
        for name in self.names:
            if rng.random() < 0.3:
                self.starts[name] = rng.uniform(0, seconds)
        for intervals in (self.cuts, self.freezes):
            for _ in range(rng.randint(1, 4)):
                start = rng.uniform(2, seconds)
                length = rng.choice((0.3, 1.1, 2.0, 5.0, 12.0))
                count = rng.randint(1, len(self.names))
                for name in rng.sample(self.names, count):
                    intervals[name].append((start, start + length))
        for _ in range(rng.randint(0, 3)):
            self.elections.append(rng.uniform(2, seconds))

    def run(self, seconds, times):
        """Send ``times`` the target's rate, over random entries."""
        at = 0.0
        rate = times * max(self.warmup_per_s, 1.0)
        while at < seconds:
            at += self.rng.expovariate(rate)
            if at % self.every_s < self.open_s:
                self._push(at, "call", self.rng.choice(self.names))
        for at in self.elections:
            self._push(at, "elect", "")
        for name, at in self.starts.items():
            self._push(at, "start", name)
        while self._events and self._events[0][0] < seconds:
            at, _, kind, name, data = heapq.heappop(self._events)
            self._step(at, kind, name, data)

    def _push(self, at, kind, name, data=None):
        event = (at, next(self._numbers), kind, name, data)
        heapq.heappush(self._events, event)

    def _is_in(self, intervals, name, at):
        return any(start <= at < end for start, end in intervals[name])

    def _step(self, at, kind, name, data):
        if kind == "elect":
            self._heard.clear()
            return
        if kind == "heard":
            self._heard[name] = at
            self._record(at)
            age = self.rng.uniform(*LIST_AGE_SECONDS)
            self._reply(at, name, self._list_at(at - age))
            return
        if kind == "arrive":
            self.arrivals.append(at)
            return
        entry = self._entries.get(name)
        if kind == "start":
            self._entries[name] = Entry(
                name=name,
                service=self.service,
                bounds=self.bounds,
                target=self.target,
            )
            self._push(at, "beat", name)
            self._push(at + self.rng.uniform(0, 0.5), "update", name)
            return
        if entry is None:
            return
        ends = [e for s, e in self.freezes[name] if s <= at < e]
        if ends:
            # A resumed process handles what it has received, in any order, and
            # its timer may be due only later.
            late = UPDATE_SECONDS if kind == "update" else 0.01
            self._push(max(ends) + self.rng.uniform(0, late), kind, name, data)
            return
        self._act(at, kind, entry, data)

    def _act(self, at, kind, entry, data):
        name = entry.name
        match kind:
            case "beat":
                self._push(at + self.rng.choice(BEAT_SECONDS), "beat", name)
                if not self._is_in(self.cuts, name, at):
                    later = at + self.rng.uniform(*NETWORK_SECONDS)
                    self._push(later, "heard", name)
            case "list":
                entry.heard_at = at
                entry.names = data
            case "update":
                entry.update(at)
                self._push(at + UPDATE_SECONDS, "update", name)
            case "call":
                if entry.may_send(at):
                    later = at + self.rng.uniform(*SEND_SECONDS)
                    self._push(later, "arrive", name)

    def _record(self, at):
        names = frozenset(
            n for n, heard in self._heard.items() if at - heard < SILENT_SECONDS
        )
        if not self._history or self._history[-1][1] != names:
            self._history.append((at, names))

    def _list_at(self, at):
        names = frozenset()
        for changed_at, listed in reversed(self._history):
            names = listed
            if changed_at <= at:
                break
        return names

    def _reply(self, at, name, names):
        if not self._is_in(self.cuts, name, at):
            later = at + self.rng.uniform(*NETWORK_SECONDS)
            self._push(later, "list", name, names)

    def most_in_window(self):
        """Return the most requests that arrived within one second."""
        times = sorted(self.arrivals)
        first, most = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    @property
    def allowed(self):
        """Most requests that the target may get in one second."""
        return self.warmup_per_s * self.bounds.overage + self.bounds.tolerance

    def used_share(self, since, until):
        """Return the used share of the rate."""
        count = sum(since <= at < until for at in self.arrivals)
        return count / (self.warmup_per_s * (until - since))
