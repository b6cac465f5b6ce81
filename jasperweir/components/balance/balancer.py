"""Choice of a target by the open requests of all entries; sans-I/O."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
import statistics
from typing import NamedTuple

from jasperweir.components.balance import const
from jasperweir.components.balance import messages
from jasperweir.components.directory import records


class Report(NamedTuple):
    """Load that a target states with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Health:
    """What an entry has seen of one target."""

    failures: int = 0
    ejected_until: float = 0.0
    eject_s: float = const.EJECT_SECONDS
    seconds: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """What another entry has told of its open requests."""

    sequence: int
    heard_at: float
    counts: dict[str, int]
    queues: dict[str, messages.Queue]


class Loads(NamedTuple):
    """Load of some targets together.

    Attributes:
        open: Open requests of all entries there.
        free: How many requests they could begin now.
    """

    open: int
    free: int


class Stated(NamedTuple):
    """Requests at a target that no entry has told of, and when it said so."""

    unknown: int
    at: float


class Balancer:
    """Own and other entries' open requests, health, and the choice.

    Attributes:
        on_change: Called when the own open requests change.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self._rng = rng
        self._requests: dict[str, int] = {}
        self._queues: dict[str, messages.Queue] = {}
        self._peers: dict[str, Peer] = {}
        # Open requests of all peers at each target, so that a choice need not
        # ask each peer about each target.
        self._elsewhere: collections.Counter[str] = collections.Counter()
        # When the first of the peers is stale if it tells nothing more.
        self._stale_at = math.inf
        self._health: dict[str, Health] = {}
        self._reports: dict[str, Stated] = {}
        self._paces: dict[str, float] = {}
        self._paces_at = float("-inf")
        self._sequence = 0

    # Own requests.

    def begin(self, target_id: str) -> None:
        """Count a request that is sent to a target."""
        self._requests[target_id] = self._requests.get(target_id, 0) + 1
        self.on_change()

    def finish(self, target_id: str) -> None:
        """Count a request that has ended at a target."""
        left = self._requests.get(target_id, 0) - 1
        if left > 0:
            self._requests[target_id] = left
        else:
            self._requests.pop(target_id, None)
        self.on_change()

    def open_requests(self) -> int:
        """Return the number of own requests at targets."""
        return sum(self._requests.values())

    # Other entries.

    def share(self) -> messages.Share:
        """Return what to tell the other entries."""
        self._sequence += 1
        loads = tuple(
            messages.OpenLoad(name, count)
            for name, count in self._requests.items()
        )
        queues = tuple(q for q in self._queues.values() if q.timely or q.late)
        return messages.Share(
            sequence=self._sequence, loads=loads, queues=queues
        )

    def note_queue(self, queue: messages.Queue) -> None:
        """Note how many requests of a service wait here."""
        if self._queues.get(queue.service) != queue:
            self._queues[queue.service] = queue
            self.on_change()

    def queue_elsewhere(self, service: str, now: float) -> messages.Queue:
        """Return how many requests of a service wait at other entries."""
        self._drop_stale(now)
        timely, late = 0, 0
        for peer in self._peers.values():
            queue = peer.queues.get(service)
            if queue is None:
                continue
            timely += queue.timely
            late += queue.late
        return messages.Queue(service, timely, late)

    def on_share(self, src: str, msg: messages.Share, now: float) -> None:
        """Take in another entry's open requests."""
        self._drop_stale(now)
        peer = self._peers.get(src)
        if peer is not None and msg.sequence <= peer.sequence:
            return
        self.forget(src)
        self._peers[src] = Peer(
            sequence=msg.sequence,
            heard_at=now,
            counts={load.target_id: load.requests for load in msg.loads},
            queues={queue.service: queue for queue in msg.queues},
        )
        self._elsewhere.update(self._peers[src].counts)
        self._stale_at = min(self._stale_at, now + const.SHARE_STALE_SECONDS)

    def forget(self, src: str) -> None:
        """Drop what an entry told that has gone."""
        peer = self._peers.pop(src, None)
        if peer is None:
            return
        for target_id, count in peer.counts.items():
            self._elsewhere[target_id] -= count
            if not self._elsewhere[target_id]:
                del self._elsewhere[target_id]

    def _drop_stale(self, now: float) -> None:
        """Drop what entries told that have been silent for too long."""
        if now < self._stale_at:
            return
        for src, peer in list(self._peers.items()):
            if now - peer.heard_at >= const.SHARE_STALE_SECONDS:
                self.forget(src)
        heard = (peer.heard_at for peer in self._peers.values())
        self._stale_at = min(heard, default=math.inf)
        self._stale_at += const.SHARE_STALE_SECONDS

    # Health.

    def succeeded(self, target_id: str, seconds: float | None) -> None:
        """Note a good answer and the time to its first byte."""
        health = self._health.setdefault(target_id, Health())
        health.failures = 0
        health.ejected_until = 0.0
        health.eject_s = const.EJECT_SECONDS
        if seconds is None:
            return
        if health.seconds == 0.0:
            health.seconds = seconds
        step = const.TIME_SMOOTHING * (seconds - health.seconds)
        health.seconds += step

    def failed(self, target_id: str, now: float, *, hard: bool) -> None:
        """Note a failure; a hard one ejects at once."""
        health = self._health.setdefault(target_id, Health())
        health.failures += 1
        if not hard and health.failures < const.EJECT_FAILURES:
            return
        health.ejected_until = now + health.eject_s
        health.eject_s = min(health.eject_s * 2, const.EJECT_MAX_SECONDS)

    def ejected(self, target_id: str, now: float) -> bool:
        """Tell whether a target is left out for now."""
        health = self._health.get(target_id)
        return health is not None and now < health.ejected_until

    # Choice.

    def choose(
        self,
        targets: list[records.Target],
        exclude: set[str],
        now: float,
    ) -> records.Target | None:
        """Return the least loaded fit target, or None if there is none."""
        fit = [t for t in targets if t.target_id not in exclude]
        good = [t for t in fit if not self.ejected(t.target_id, now)]
        least = len(fit) * (1 - const.EJECT_SHARE)
        if len(good) < least or not good:
            # A fault that hits most targets is not theirs alone.
            good = fit
        if not good:
            return None
        typical = self._typical_seconds(good)
        counts = self._counts(good, now)
        costs = [
            self._cost(target, count, typical, now)
            for target, count in zip(good, counts, strict=True)
        ]
        least_cost = min(costs)
        cheapest = [
            target
            for target, cost in zip(good, costs, strict=True)
            if cost == least_cost
        ]
        return self._rng.choice(cheapest)

    def loads(self, targets: list[records.Target], now: float) -> Loads:
        """Return how much targets run, and how much more they could begin.

        One look at all of them: it is asked for with each request and each
        tick, and three questions for each target would cost as much as the
        rest of a request.
        """
        counts = self._counts(targets, now)
        free = sum(
            max(0, target.slots - count)
            for target, count in zip(targets, counts, strict=True)
            if self.pace_of(target, now) < const.PACE_MAX
        )
        return Loads(open=sum(counts), free=free)

    def _counts(self, targets: list[records.Target], now: float) -> list[int]:
        """Return the open requests of all entries at each of some targets."""
        self._drop_stale(now)
        own, elsewhere = self._requests, self._elsewhere
        return [
            own.get(target.target_id, 0)
            + elsewhere.get(target.target_id, 0)
            + self.unknown_at(target.target_id, now)
            for target in targets
        ]

    def count_at(self, target_id: str, now: float) -> int:
        """Return the open requests of all entries at a target."""
        known = self._known_count(target_id, now)
        return known + self.unknown_at(target_id, now)

    def unknown_at(self, target_id: str, now: float) -> int:
        """Return the requests at a target that no entry has told of."""
        report = self._reports.get(target_id)
        if report is None or now - report.at > const.REPORT_SECONDS:
            return 0
        return report.unknown

    def on_report(self, target_id: str, report: Report, now: float) -> None:
        """Take in the load that a target states with an answer.

        What it states beyond the requests known here belongs to entries
        that have gone, or to callers that nobody can see.
        """
        stated = report.running + report.waiting
        unknown = max(0, stated - self._known_count(target_id, now))
        self._reports[target_id] = Stated(unknown=unknown, at=now)

    def on_paces(self, paces: dict[str, float], now: float) -> None:
        """Take in which targets, by address, are slower than usual."""
        self._paces = paces
        self._paces_at = now

    def pace_of(self, target: records.Target, now: float) -> float:
        """Return how much longer a target takes for the same work."""
        if now - self._paces_at > const.PACE_SECONDS:
            return 1.0
        return self._paces.get(target.address, 1.0)

    def _known_count(self, target_id: str, now: float) -> int:
        self._drop_stale(now)
        own = self._requests.get(target_id, 0)
        return own + self._elsewhere.get(target_id, 0)

    def _cost(
        self, target: records.Target, count: int, typical: float, now: float
    ) -> float:
        # A slow target takes its first request when the others have as many
        # as make them take as long.
        cost = (count + 1) * self.pace_of(target, now) / max(target.slots, 1)
        health = self._health.get(target.target_id)
        if health is not None and typical > 0:
            if health.seconds > const.SLOW_FACTOR * typical:
                cost += const.SLOW_COST
        return cost

    def _typical_seconds(self, targets: list[records.Target]) -> float:
        times = [
            self._health[t.target_id].seconds
            for t in targets
            if t.target_id in self._health
            and self._health[t.target_id].seconds > 0
        ]
        return statistics.median(times) if times else 0.0
