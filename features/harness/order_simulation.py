"""Several entries that compete for the slots of one service.

Real forwarders run on a virtual clock. Their exchanges, the targets and the
messages between entries are simulated.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import logbook

from features.harness import hop
from jasperweir import core
from jasperweir.components.balance import budget
from jasperweir.components.balance import entry_cell
from jasperweir.components.deployment import index
from jasperweir.components.deployment import model
from jasperweir.components.directory import directory
from jasperweir.components.directory import records
from jasperweir.components.forward import dialect
from jasperweir.components.forward import forwarder
from jasperweir.components.forward import request_state
from jasperweir.components.forward import response_progress
from jasperweir.helpers import http_client
from jasperweir.helpers import metrics

START = 100.0
# Delay of a message between entries: 4 ms until it is sent, 1 ms on the way.
MESSAGE_SECONDS = 0.005
SHARE_SECONDS = 0.5
TICK_SECONDS = 0.02
PATIENCE_SECONDS = 8.0
# Callers give up after this time without an event.
GIVE_UP_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True)
class Stream:
    """Requests of one route.

    Attributes:
        priority: Priority of the route.
        per_s: Requests a second over all entries.
        target_s: Longest time to the first event, seconds.
        in_time: Value of an answer in time.
        late: Value of a late answer.
        customer: Name of its customer, or empty.
        factor: Factor of the rate during the burst.
        entries: Entries that get the requests, None for all.
    """

    priority: int
    per_s: float
    target_s: float = 0.407
    in_time: float = 1.0
    late: float = 0.3
    customer: str = ""
    factor: float = 1.0
    entries: int | None = None


@dataclasses.dataclass(kw_only=True)
class Call:
    """One caller's request with its attempts."""

    number: int
    stream: Stream
    first_at: float
    duration_s: float
    first_event_s: float
    attempts: int = 0
    outcome: str = "open"
    retry_after: float = 0.0


class Exchange:
    """What the forwarder needs to know about a request."""

    def __init__(self, *, simulation, entry, call, state, number):
        self.number = number
        self.service = "s"
        self.state = state
        self.done = False
        self.first_byte_at = 0.0
        self.longest_gap_s = 0.0
        self.progress = response_progress.ResponseProgress()
        self.target_id = ""
        self.answering = hop.Answering()
        self.call = call
        self.entry = entry
        self._simulation = simulation

    @property
    def request(self):
        return self.answering.request

    def send_to(self, target, *, is_counted_cold=False):
        self.target_id = target.target_id
        self.state.on_sent(target.target_id)
        self.entry.balancer.begin(target.target_id)
        self._simulation.deliver(self)

    def fail(self, code):
        if self.done:
            return
        self.done = True
        self.entry.reject(self, code)
        self.entry.on_finished(self, code.name.lower())
        self._simulation.on_refused(self, code)


class Simulation:
    """Entries, targets and callers on a virtual clock.

    Attributes:
        calls: All requests.
        decisions: What each entry did, in order.
    """

    def __init__(
        self,
        *,
        streams,
        seed,
        entries=12,
        targets=24,
        slots=5,
        whole_s=2.7,
        seconds=20.0,
        burst=(5.0, 15.0),
        has_demand=True,
        settle_s=10.0,
    ):
        self.streams = streams
        self.calls = []
        self.decisions = []
        self.cut = set()
        self.flood_returns = False
        self._has_demand = has_demand
        self._whole_s = whole_s
        self._seconds = seconds
        self._burst = burst
        self._slots = slots
        self._clock = core.ManualClock(start=START - settle_s)
        self._events = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._running = collections.Counter()
        self._waiting = collections.defaultdict(collections.deque)
        self._load_rng = random.Random(seed)
        self.entries = [
            self._make_entry(n, entries, targets, slots, seed)
            for n in range(entries)
        ]
        self._ticking = set()
        self._sharing = set()
        self._clock.now = START
        self._make_calls()

    def _make_entry(self, number, entries, targets, slots, seed):
        known = directory.Directory()
        one = forwarder.Forwarder(
            clock=self._clock,
            rng=random.Random(seed * 1000 + number),
            dialect=hop.Dialect(),
            directory=known,
            cell=entry_cell.EntryCell(name=f"e{number}", place="p"),
            bounds=budget.BudgetBounds(ratio=0.1, burst=10.0, window_s=10.0),
            times=http_client.ClientTimeouts(),
            metrics=metrics.Metrics(labels={}),
        )
        for target in range(targets):
            known.merge(
                records.Target(
                    target_id=f"t{target}",
                    service="s",
                    address=f"10.0.0.{target}:80",
                    place="p",
                    slots=slots,
                    presence=records.Presence.READY,
                    sequence=1,
                ),
                START + 1e6,
            )
        nodes = tuple(
            records.Node(f"e{n}", "entry", "p", "", True, 1, 1)
            for n in range(entries)
        )
        one.on_entries(nodes, hears_leader=True)
        one.on_work = lambda: self._schedule_tick(number)
        one.balancer.on_change = lambda: self._schedule_share(number)
        return one

    def _make_calls(self):
        rng = self._load_rng
        for stream in self.streams:
            at = 0.0
            peak = stream.per_s * max(stream.factor, 1.0)
            while True:
                at += rng.expovariate(peak)
                # Drawn for each candidate, so that the calls outside a burst
                # are the same for all factors above 1.
                keep, spread, first = rng.random(), rng.random(), rng.random()
                if at >= self._seconds:
                    break
                is_burst = self._burst[0] <= at < self._burst[1]
                factor = stream.factor if is_burst else 1.0
                if keep >= stream.per_s * factor / peak:
                    continue
                call = Call(
                    number=len(self.calls),
                    stream=stream,
                    first_at=START + at,
                    duration_s=self._whole_s * (0.5 + spread),
                    first_event_s=0.1 + 0.1 * first,
                )
                self.calls.append(call)
                self.at(call.first_at, self._arrive, call)

    # Events.

    def at(self, when, what, *args):
        heapq.heappush(self._events, (when, next(self._order), what, args))

    def run(self):
        for number in range(len(self.entries)):
            offset = SHARE_SECONDS * number / len(self.entries)
            self.at(START + offset, self._share_always, number)
        end = START + self._seconds + PATIENCE_SECONDS + 2.0
        with logbook.NullHandler().applicationbound():
            while self._events and self._events[0][0] < end:
                when, _, what, args = heapq.heappop(self._events)
                self._clock.now = max(self._clock.now, when)
                what(*args)
        return self

    def advance(self, seconds):
        """Let time pass without events."""
        self._clock.now += seconds

    def _schedule_tick(self, number):
        if number not in self._ticking:
            self._ticking.add(number)
            self.at(self._clock.now + TICK_SECONDS, self._tick, number)

    def _tick(self, number):
        self._ticking.discard(number)
        self.entries[number].tick()
        if self.entries[number].has_work:
            self._schedule_tick(number)

    def _schedule_share(self, number):
        if number not in self._sharing:
            self._sharing.add(number)
            self.at(self._clock.now + 0.004, self._share, number)

    def _share_always(self, number):
        self._schedule_share(number)
        self.at(self._clock.now + SHARE_SECONDS, self._share_always, number)

    def _share(self, number):
        self._sharing.discard(number)
        msg = self.entries[number].share()
        if not self._has_demand and hasattr(msg, "demand"):
            msg = msg._replace(demand=())
        self.at(self._clock.now + 0.001, self._receive, number, msg)

    def _receive(self, number, msg):
        for other, entry in enumerate(self.entries):
            if other != number and not {other, number} & self.cut:
                entry.on_share(f"e{number}", msg)

    # Callers.

    def _arrive(self, call):
        call.attempts += 1
        now = self._clock.now
        count = call.stream.entries or len(self.entries)
        entry = self.entries[self._load_rng.randrange(count)]
        route = model.Route(
            name=f"r{call.stream.priority}",
            host="h",
            prefix="/",
            kind=model.RouteKind.STREAM,
            timeout_s=PATIENCE_SECONDS,
            target_s=call.stream.target_s,
            gap_s=0.12,
            priority=call.stream.priority,
            backends=(model.Backend("s", 1.0),),
            max_attempts=2,
            public=True,
            resumable=True,
        )
        customer = None
        if call.stream.customer:
            customer = model.Customer(
                name=call.stream.customer, keys=(), priority=None
            )
        state = request_state.RequestState(
            match=index.RouteMatch(route=route, customer=customer),
            caller_headers=dialect.CallerHeaders(
                "id", call.first_at + PATIENCE_SECONDS - now, "", 10, 10, ""
            ),
            now=now,
            used_s=now - call.first_at,
        )
        exchange = Exchange(
            simulation=self,
            entry=entry,
            call=call,
            state=state,
            number=next(self._numbers),
        )
        entry.admit(exchange)
        self.at(now + GIVE_UP_SECONDS, self._give_up, exchange)

    def _give_up(self, exchange):
        if exchange.done or exchange.first_byte_at:
            return
        exchange.done = True
        exchange.call.outcome = "left"
        if exchange.target_id:
            queue = self._waiting[exchange.target_id]
            if exchange in queue:
                queue.remove(exchange)
            else:
                self._release(exchange)
            exchange.entry.balancer.finish(exchange.target_id)
        exchange.entry.on_finished(exchange, "caller gone")

    def on_refused(self, exchange, code):
        call = exchange.call
        headers = dict(exchange.answering.replied[1])
        call.retry_after = float(headers[b"retry-after"])
        call.outcome = "refused"
        now = self._clock.now
        self.decisions.append((call.number, "refused", round(now, 6)))
        left_s = call.first_at + PATIENCE_SECONDS - now
        wait_s = 0.02 if self.flood_returns else call.retry_after
        if call.attempts < 2 and wait_s <= left_s / 3:
            call.outcome = "open"
            self.at(now + wait_s, self._arrive, call)

    # Targets.

    def deliver(self, exchange):
        now = self._clock.now
        sent = (exchange.call.number, exchange.target_id, round(now, 6))
        self.decisions.append(sent)
        if self._running[exchange.target_id] < self._slots:
            self._start(exchange)
        else:
            self._waiting[exchange.target_id].append(exchange)

    def _start(self, exchange):
        self._running[exchange.target_id] += 1
        now = self._clock.now
        exchange.sent_at = now
        call = exchange.call
        self.at(now + call.first_event_s, self._first_event, exchange)
        self.at(now + call.duration_s, self._end, exchange)

    def _first_event(self, exchange):
        if not exchange.done:
            exchange.first_byte_at = self._clock.now
            call = exchange.call
            waited_s = self._clock.now - call.first_at
            is_late = waited_s > call.stream.target_s
            call.outcome = "late" if is_late else "in time"
            exchange.entry.outcomes.on_accepted(
                exchange, self._target(exchange)
            )

    def _end(self, exchange):
        if exchange.done:
            return
        exchange.done = True
        self._release(exchange)
        entry = exchange.entry
        entry.balancer.finish(exchange.target_id)
        entry.outcomes.on_completed(exchange, exchange.sent_at)
        entry.on_finished(exchange, "answered 200")

    def _release(self, exchange):
        self._running[exchange.target_id] -= 1
        queue = self._waiting[exchange.target_id]
        if queue:
            self._start(queue.popleft())

    def _target(self, exchange):
        known = exchange.entry.targets.list_available("s", self._clock.now)
        return next(t for t in known if t.target_id == exchange.target_id)

    # Results.

    def count(self, outcome, *, priority=None, customer=None, between=None):
        found = self.select(priority, customer, between)
        return sum(call.outcome == outcome for call in found)

    def share(self, outcome, **which):
        found = self.select(**which)
        return sum(c.outcome == outcome for c in found) / max(len(found), 1)

    def select(self, priority=None, customer=None, between=None):
        return [
            c
            for c in self.calls
            if (priority is None or c.stream.priority == priority)
            and (customer is None or c.stream.customer == customer)
            and (
                between is None or between[0] <= c.first_at - START < between[1]
            )
        ]

    @property
    def served(self):
        return self.count("in time") + self.count("late")

    @property
    def value(self):
        total = 0.0
        for call in self.calls:
            if call.outcome == "in time":
                total += call.stream.in_time
            elif call.outcome == "late":
                total += call.stream.late
        return total
