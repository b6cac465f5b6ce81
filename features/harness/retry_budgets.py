"""Simulated entries that retry as much as their budgets allow."""

import bisect
import random

from features.harness import site as site_lib
from jasperweir.components.balance import budget as budget_lib
from jasperweir.components.balance import const as balance_const

SERVICE = "s"
# Requests a second that each entry receives at first.
REQUESTS_PER_S = 8.0
# Retries that an entry makes in one step of the simulation if it may.
RETRIES_PER_STEP = 4
RETRIES_WITHOUT_LIMIT = 1000


class Limit:
    """The stated limit on the retries of a service, summed over all entries.

    Attributes:
        first_times: When entries received requests.
        retry_times: When entries made retries.
    """

    def __init__(self, *, ratio, burst, window_s):
        self.ratio = ratio
        self.burst = burst
        self.window_s = window_s
        self.first_times = []
        self.retry_times = []

    def allowed(self, end):
        """Return the retries allowed in the window that ends at a time.

        Requests count in that window, the one before or the one half a window
        before, whichever has most.
        """
        window = self.window_s
        firsts = max(
            count(self.first_times, end - back - window, end - back)
            for back in (0.0, window / 2, window)
        )
        return self.ratio * firsts + self.burst

    def excess(self):
        """Return by how much the worst window exceeds its limit."""
        return max(
            (
                count(self.retry_times, end - self.window_s, end)
                - self.allowed(end)
                for end in sorted(set(self.retry_times))
            ),
            default=float("-inf"),
        )


def count(times, start, end):
    """Return how many of the sorted times lie in ``(start, end]``."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, start)


class EntryBudget:
    """Retry budget of one incarnation of an entry."""

    def __init__(self, *, bounds, now, is_first_start):
        self._budget = budget_lib.RetryBudget(
            bounds=bounds, now=now, is_first_start=is_first_start
        )
        self._next_update_at = now
        self._requests_due = 0.0

    def run(self, client, limit, now, requests, retries):
        """Receive the requests of one step and make up to some retries."""
        if now >= self._next_update_at:
            self._next_update_at = now + balance_const.SHARE_SECONDS
            self._update(client, now)
        self._requests_due += requests
        while self._requests_due >= 1:
            self._requests_due -= 1
            self._budget.count_first(SERVICE, now)
            limit.first_times.append(now)
        for _ in range(retries):
            if not self._take(now):
                break
            limit.retry_times.append(now)

    def _update(self, client, now):
        entries = len(client.open_entries(now))
        hears_leader = client.hears_leader(now)
        self._budget.on_entries(entries if hears_leader else 0, now)

    def _take(self, now):
        return self._budget.take(SERVICE, now).allowed


class QuietEntry:
    """One of several entries, which gets few requests and hears the leader."""

    def __init__(
        self, *, entries, burst, gap_s, window_s=10.0, is_first_start=False
    ):
        bounds = budget_lib.BudgetBounds(
            ratio=0.2, burst=burst, window_s=window_s
        )
        self._budget = budget_lib.RetryBudget(
            bounds=bounds, now=0.0, is_first_start=is_first_start
        )
        self.entries = entries
        self._gap_s = gap_s
        self._next_request_at = 0.0
        self._now = 0.0

    def run(self, seconds):
        """Advance the clock, with a list of entries twice a second."""
        end = self._now + seconds
        while self._now < end:
            self._budget.on_entries(self.entries, self._now)
            if self._now >= self._next_request_at:
                self._next_request_at += self._gap_s
                self._budget.count_first(SERVICE, self._now)
            self._now += balance_const.SHARE_SECONDS

    def take_all(self):
        """Make all retries that the budget has left and return their number."""
        return sum(
            self._budget.take(SERVICE, self._now).allowed for _ in range(100)
        )


class RetryingSite(site_lib.Site):
    """Control VMs, and entries that retry all that their budgets allow.

    Attributes:
        limit: Limit that all entries keep together.
        draining: Entries that are closed to callers but still serve requests,
            and when they stop.
        requests_per_s: Requests a second that each entry receives.
        retries_per_step: Most retries that an entry makes in one step.
    """

    def __init__(self, *, entries, burst, controls=3, seed=0):
        self.limit = Limit(ratio=0.2, burst=burst, window_s=10.0)
        self.bounds = budget_lib.BudgetBounds(
            ratio=0.2, burst=burst, window_s=10.0
        )
        self.budgets = {}
        self.started = set()
        self.draining = {}
        self.requests_per_s = REQUESTS_PER_S
        self.retries_per_step = RETRIES_PER_STEP
        super().__init__(
            controls=controls, entries=entries, seed=seed, wanted=controls
        )
        self.entry_names = list(self.discovery_clients)
        self.run(3.0)
        self.replace("c1", 1)
        self.run(25.0)

    def run(self, seconds):
        """Run step by step; entries that are up receive requests."""
        end = self.now + seconds
        while self.now < end:
            super().run(site_lib.STEP)
            for name, client in list(self.discovery_clients.items()):
                self._run_entry(name, client)

    def _run_entry(self, name, client):
        if name in self.frozen:
            return
        if name in self.draining:
            self.perform(name, client.set_open(is_open=False, now=self.now))
            if self.now >= self.draining[name]:
                self.restart_entry(name)
                return
        elif not client.node.open:
            return
        if name not in self.budgets:
            self.budgets[name] = EntryBudget(
                bounds=self.bounds,
                now=self.now,
                is_first_start=name not in self.started,
            )
            self.started.add(name)
        requests = self.requests_per_s * site_lib.STEP
        self.budgets[name].run(
            client, self.limit, self.now, requests, self.retries_per_step
        )

    def kill(self, name):
        super().kill(name)
        self.budgets.pop(name, None)
        self.draining.pop(name, None)

    def restart_entry(self, name):
        """Kill an entry and start it again with nothing in memory."""
        self.kill(name)
        self.start_entry(name)

    def drain_entry(self, name, seconds):
        """Close an entry to callers; it serves on and then starts again."""
        if name in self.discovery_clients:
            self.draining.setdefault(name, self.now + seconds)

    def restart_all(self, *, controls, entries=True):
        """Start all entries or control VMs, or both, again at once."""
        down = self.names if controls else []
        for name in down:
            self.kill(name)
        for name in self.entry_names if entries else []:
            self.restart_entry(name)
        for name in down:
            self.start(name)

    def cut_into(self, parts):
        """Cut the site into parts of control VMs and entries of equal size."""
        sides = [
            set(self.names[i::parts]) | set(self.entry_names[i::parts])
            for i in range(parts)
        ]
        for one in sides:
            for other in sides:
                if one is not other:
                    self.cut.update((a, b) for a in one for b in other)


def run_schedule(seed, steps=12):
    """Return by how much a drawn series of faults exceeds the limit."""
    rng = random.Random(seed)
    entries = rng.choice((6, 10, 16))
    running = RetryingSite(entries=entries, burst=9 * entries, seed=seed)
    for _ in range(steps):
        _draw_fault(running, rng)
        running.run(rng.choice((0.2, 0.7, 1.5, 3.0)))
    running.settle()
    return running.limit.excess()


def _draw_fault(running, rng):
    """Apply one fault; some overlap with those before."""
    some = rng.sample(running.entry_names, rng.randint(1, 6))
    match rng.randrange(9):
        case 0:
            running.restart_all(controls=rng.random() < 0.5)
        case 1 | 2:
            for name in some:
                running.restart_entry(name)
        case 3:
            for name in some:
                running.drain_entry(name, rng.uniform(2.0, 8.0))
        case 4:
            running.frozen.update(some[:2])
        case 5:
            running.frozen.clear()
        case 6:
            running.cut_into(rng.choice((2, 3)))
        case 7:
            running.cut.clear()
        case 8:
            name = rng.choice(running.names)
            running.kill(name)
            running.start(name)
