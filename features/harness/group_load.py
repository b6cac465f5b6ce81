"""Simulation of entries that send streams to several groups of ranks.

The entries' decisions are those of the product: capacity, limits, choice of a
target, queue. Entries know each other's loads by the messages that they
exchange, and the targets' loads by the reports in answers.

A pass takes PASS_FIXED_SECONDS and STREAM_SECONDS for each stream per rank,
times the slowdown of the group, and longer while prompts are read.
"""

import heapq
import itertools
import math
import random

from features.harness import site
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import entry_cell
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.balance import passes
from jasperweir.components.balance import wait_queue as wait_queue_lib
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import pass_monitor
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.forward import startup_grace as startup_grace_lib
from jasperweir.components.groups import directory as group_directory
from jasperweir.components.groups import messages as groups_messages
from jasperweir.helpers import metrics

SERVICE = "s"
SLOTS = 5
EVENTS = 24
READ_PASSES = 2
PAUSE_SECONDS = 0.12
TARGET_SECONDS = 0.406
PASS_FIXED_SECONDS = 0.018
STREAM_SECONDS = 0.024
READ_SECONDS = 0.008
TICK_SECONDS = 0.02
LINK_SECONDS = 0.001
# Streams per rank with which passes stay within the admitted share of a pause.
STREAMS_MAX = (
    balance_const.PASS_ADMIT_SHARE * PAUSE_SECONDS - PASS_FIXED_SECONDS
) / STREAM_SECONDS


class Stream:
    """A request: where it came from, its target, and its progress."""

    def __init__(self, *, entry, asked_at):
        self.entry = entry
        self.asked_at = asked_at
        self.target = None
        self.reads_left = READ_PASSES
        self.events_left = EVENTS
        self.in_time = True
        self.is_refused = False


class Group:
    """Ranks that run each pass together.

    Attributes:
        passes: Time and duration of each pass with streams.
        served: Number of streams by the data centre of their entry.
    """

    def __init__(self, *, name, places, ranks, slowdown=1.0):
        self.name = name
        self.slowdown = slowdown
        self.passes = []
        self.served = {}
        self.streams = []
        self.targets = [
            site.target(
                target_id=f"{name}-{rank}", address=f"{name}:{rank}"
            )._replace(
                service=SERVICE, place=places[rank % len(places)], slots=SLOTS
            )
            for rank in range(ranks)
        ]

    def add(self, stream):
        self.streams.append(stream)
        place = stream.entry.place
        self.served[place] = self.served.get(place, 0) + 1

    def at(self, target):
        """Return the numbers of running and waiting streams at a target."""
        found = sum(s.target is target for s in self.streams)
        return min(found, SLOTS), max(found - SLOTS, 0)

    def running(self):
        counts = {}
        found = []
        for stream in self.streams:
            number = counts.get(stream.target.target_id, 0)
            counts[stream.target.target_id] = number + 1
            if number < SLOTS:
                found.append(stream)
        return found

    def pass_seconds(self, running):
        ranks = len(self.targets)
        readers = sum(s.reads_left > 0 for s in running)
        work_s = STREAM_SECONDS * len(running) + READ_SECONDS * readers
        return PASS_FIXED_SECONDS + self.slowdown * work_s / ranks

    def run_pass(self, now):
        """Begin a pass; return its duration and the streams in it."""
        running = self.running()
        seconds = self.pass_seconds(running)
        if running:
            self.passes.append((now, seconds, len(running)))
        return seconds, running

    def has_capacity(self):
        """Return whether one more stream would leave passes short."""
        ranks = len(self.targets)
        streams = len(self.streams) / ranks
        return streams < 0.9 * min(STREAMS_MAX / self.slowdown, SLOTS)


class Entry:
    """The decisions of one entry."""

    def __init__(self, *, name, place, world, seed):
        self.name = name
        self.place = place
        self.world = world
        self.rng = random.Random(seed)
        self.balancer = balancer_lib.Balancer(rng=self.rng)
        self.balancer.on_change = self.schedule_share
        self.cell = entry_cell.EntryCell(name=name, place=place)
        self.groups = group_directory.GroupDirectory()
        self.directory = directory_lib.Directory()
        self.capacity = capacity_lib.CapacityFinder(
            balancer=self.balancer,
            cell=self.cell,
            rng=self.rng,
            groups=self.groups,
        )
        self.monitor = pass_monitor.PassMonitor(
            capacity=self.capacity,
            directory=self.directory,
            recorder=recorder_lib.Recorder(metrics=metrics.Metrics(labels={})),
            groups=self.groups,
        )
        self.monitor.limits.on_bounds(
            {
                SERVICE: passes.PassBounds(
                    pause_s=PAUSE_SECONDS,
                    fixed_s=PASS_FIXED_SECONDS,
                    slots=SLOTS,
                )
            }
        )
        self.queues = queues_lib.Queues(
            balancer=self.balancer,
            cell=self.cell,
            outages=outage_lib.Outages(groups=self.groups),
            startup_grace=startup_grace_lib.StartupGrace(
                started_at=float("-inf")
            ),
            rng=self.rng,
        )
        self.waiting = {}
        self.is_share_scheduled = False

    def find(self, now):
        targets = self.directory.list_ready(SERVICE, now)
        limits = self.monitor.limits
        if self.groups.list_units(SERVICE):
            return self.capacity.find_in_groups(SERVICE, targets, limits, now)
        return self.capacity.find_candidates(targets, limits.get(SERVICE), now)

    def on_request(self, now):
        stream = Stream(entry=self, asked_at=now)
        self.world.asked.append(stream)
        found = self.find(now)
        queue = self.queues.get(SERVICE)
        if found.free_slots >= 1 and not len(queue.wait_queue):
            self.send(stream, found, now)
            return
        running = self.capacity.count_open(
            self.directory.list_ready(SERVICE, now), now
        )
        wait_s = self.queues.estimate_wait_s(
            SERVICE, found, running, now, priority=1
        )
        if wait_s > balance_const.WAIT_SHARE * TARGET_SECONDS:
            self.refuse(stream, now)
            return
        number = next(self.world.numbers)
        self.waiting[number] = stream
        queue.wait_queue.enqueue(
            wait_queue_lib.QueuedRequest(
                1,
                now,
                number,
                now + balance_const.WAIT_MIN_SECONDS,
                now,
                now + TARGET_SECONDS - queue.forecast.first_s,
            )
        )

    def send(self, stream, found, now):
        target = self.balancer.choose(found.targets, set(), now)
        unit = self.groups.find_unit(SERVICE, target.address)
        self.capacity.by_group.on_chosen(unit)
        self.balancer.begin(target.target_id)
        stream.target = target
        self.world.group_of(target).add(stream)

    def refuse(self, stream, now):
        stream.is_refused = True
        self.world.on_refused(stream, now)

    def tick(self, now):
        self.monitor.tick(now)
        queue = self.queues.get(SERVICE).wait_queue
        if len(queue):
            found = self.find(now)
            allowed = self.queues.count_admissible(SERVICE, found, now)
            for number in queue.admit(allowed.total, now):
                self.send(self.waiting.pop(number), found, now)
            for number in queue.expire(now):
                self.refuse(self.waiting.pop(number), now)
        self.queues.publish(now)

    def schedule_share(self):
        if not self.is_share_scheduled:
            self.is_share_scheduled = True
            delay_s = balance_const.SHARE_DELAY_SECONDS
            self.world.at(self.world.now + delay_s, self.send_share)

    def send_share(self, now):
        self.is_share_scheduled = False
        share = self.balancer.share()
        for peer in self.cell.peers:
            other = self.world.entries[peer.name]
            self.world.at(
                now + LINK_SECONDS,
                lambda at, other=other: other.balancer.on_share(
                    self.name, share, at
                ),
            )

    def refresh(self, now):
        for group in self.world.groups:
            for target in group.targets:
                self.directory.merge(target, now)
        self.send_share(now)
        self.world.at(now + balance_const.SHARE_SECONDS, self.refresh)


class World:
    """Groups and entries on a virtual clock.

    Attributes:
        asked: All requests.
        refused_in_vain: Requests refused while a group had capacity.
    """

    def __init__(self, *, groups, entries, is_listed, seed=1):
        """Create a world.

        Args:
            groups: The groups.
            entries: Number of entries by data centre.
            is_listed: Whether entries get the list of groups.
            seed: Seed of the random source.
        """
        self.now = 100.0
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.groups = groups
        self.asked = []
        self.refused_in_vain = 0
        self._groups_by_target = {
            target.target_id: group
            for group in groups
            for target in group.targets
        }
        self._events = []
        self._order = itertools.count()
        self.entries = {}
        for place, count in entries.items():
            for number in range(count):
                name = f"{place}{number}"
                self.entries[name] = Entry(
                    name=name,
                    place=place,
                    world=self,
                    seed=self.rng.random(),
                )
        nodes = tuple(
            records.Node(
                e.name, directory_const.KIND_ENTRY, e.place, "", True, 1, 0
            )
            for e in self.entries.values()
        )
        for number, entry in enumerate(self.entries.values()):
            entry.cell.on_entries(nodes)
            entry.capacity.entry_count = len(nodes)
            if is_listed:
                entry.groups.on_list(self.make_list(1))
            for group in groups:
                for target in group.targets:
                    entry.directory.merge(target, self.now)
            offset_s = number / len(nodes)
            self.at(self.now + 0.5 * offset_s, entry.refresh)
            self.at(self.now + TICK_SECONDS * offset_s, self.run_entry(entry))
        for group in groups:
            self.at(self.now, self.run_group(group))

    def make_list(self, sequence):
        return groups_messages.GroupList(
            1,
            sequence,
            tuple(
                groups_messages.Group(
                    SERVICE,
                    group.name,
                    1,
                    True,
                    False,
                    tuple(t.address for t in group.targets),
                )
                for group in self.groups
            ),
        )

    def group_of(self, target):
        return self._groups_by_target[target.target_id]

    def at(self, when, func):
        heapq.heappush(self._events, (when, next(self._order), func))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, func = heapq.heappop(self._events)
            func(self.now)
        self.now = end

    def run_entry(self, entry):
        def tick(now):
            entry.tick(now)
            self.at(now + TICK_SECONDS, tick)

        return tick

    def run_group(self, group):
        def begin(now):
            seconds, running = group.run_pass(now)
            self.at(now + seconds, lambda at: end(at, seconds, running))

        def end(now, seconds, running):
            for stream in running:
                self.on_pass(group, stream, seconds, now)
            begin(now)

        return begin

    def on_pass(self, group, stream, seconds, now):
        if stream.reads_left:
            stream.reads_left -= 1
            return
        entry, target = stream.entry, stream.target
        stream.events_left -= 1
        if stream.events_left == EVENTS - 1:
            stream.in_time = now - stream.asked_at <= TARGET_SECONDS
            report = balancer_lib.Report(*group.at(target), SLOTS)
            entry.balancer.on_report(target.target_id, report, now)
        else:
            entry.monitor.on_pause(SERVICE, target, seconds)
            if seconds > PAUSE_SECONDS:
                stream.in_time = False
        if not stream.events_left:
            group.streams.remove(stream)
            entry.balancer.finish(target.target_id)
            forecast = entry.queues.get(SERVICE).forecast
            forecast.on_end(now - stream.asked_at, 3 * seconds)

    def on_refused(self, stream, now):
        del now
        if any(group.has_capacity() for group in self.groups):
            self.refused_in_vain += 1

    def arrive(self, place, rate, until):
        """Let requests arrive at the entries of a data centre.

        Args:
            place: The data centre.
            rate: Returns the rate at a time since the start, per second.
            until: End, seconds since the start.
        """
        start = self.now
        names = [n for n, e in self.entries.items() if e.place == place]

        def ask(now):
            if now - start >= until:
                return
            self.entries[self.rng.choice(names)].on_request(now)
            self.at(now + self.rng.expovariate(rate(now - start)), ask)

        self.at(self.now + self.rng.expovariate(rate(0.0)), ask)

    # Results.

    def share_in_time(self, place=None):
        asked = [s for s in self.asked if place in (None, s.entry.place)]
        return sum(s.in_time and not s.is_refused for s in asked) / len(asked)

    def refused(self):
        return sum(s.is_refused for s in self.asked)

    def share_distant(self):
        """Return the share of the served that left their data centre."""
        served = [s for s in self.asked if s.target is not None]
        return sum(s.target.place != s.entry.place for s in served) / len(
            served
        )


def wave(mean, swing, period_s, phase):
    """Return a rate that swings around its mean; phase in periods."""
    return lambda at: (
        mean * (1 + swing * math.sin(2 * math.pi * (at / period_s + phase)))
    )
