"""Choice of the least loaded target; sans-I/O."""

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
    """Load that a target reports with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetHealth:
    """Health of one target as seen by this entry.

    Attributes:
        failures: Failures in a row.
        ejected_until: End of its ejection, monotonic seconds.
        eject_s: Duration of its next ejection, seconds.
        first_byte_s: Smoothed time to first byte, seconds; 0 while unknown.
    """

    failures: int = 0
    ejected_until: float = 0.0
    eject_s: float = const.EJECT_SECONDS
    first_byte_s: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerLoad:
    """Last load received from another entry.

    Attributes:
        sequence: Sequence number of its message.
        received_at: Time of receipt, monotonic seconds.
        counts: Open requests by target.
        queues: Waiting requests by service.
    """

    sequence: int
    received_at: float
    counts: dict[str, int]
    queues: dict[str, messages.Queue]


class TotalLoad(NamedTuple):
    """Total load of a set of targets.

    Attributes:
        open: Open requests of all entries.
        free: Free slots.
    """

    open: int
    free: int


class GroupLoad(NamedTuple):
    """Estimated load of a group whose callers this entry doesn't all know.

    Attributes:
        open: Open requests of all entries.
        free: Free slots of ranks that aren't slow.
        reports: Number of ranks with a recent report.
    """

    open: float
    free: float
    reports: int


class UntrackedLoad(NamedTuple):
    """Requests at a target that no entry has reported.

    Attributes:
        unknown: Number of the requests.
        at: Time of the target's report, monotonic seconds.
    """

    unknown: int
    at: float


class Balancer:
    """Tracks the load and health of targets and chooses among them.

    Attributes:
        on_change: Called when this entry's open or waiting requests change.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self._rng = rng
        self._own_requests: dict[str, int] = {}
        self._own_queues: dict[str, messages.Queue] = {}
        self._peers: dict[str, PeerLoad] = {}
        # Sum of the peers' open requests by target, kept up to date so that a
        # choice doesn't iterate over the peers.
        self._peer_requests: dict[str, int] = {}
        # Earliest time at which the data of a peer become stale.
        self._stale_at = math.inf
        self._health: dict[str, TargetHealth] = {}
        self._reports: dict[str, UntrackedLoad] = {}
        self._slowdowns: dict[str, float] = {}
        # Addresses of the targets that are too slow to count their free slots.
        self._slow_addresses: frozenset[str] = frozenset()
        self._slowdowns_at = float("-inf")
        self._sequence = 0

    # Requests of this entry.

    def begin(self, target_id: str) -> None:
        """Count a request sent to a target."""
        self._own_requests[target_id] = self._own_requests.get(target_id, 0) + 1
        self.on_change()

    def finish(self, target_id: str) -> None:
        """Remove an ended request from a target's count."""
        remaining = self._own_requests.get(target_id, 0) - 1
        if remaining > 0:
            self._own_requests[target_id] = remaining
        else:
            self._own_requests.pop(target_id, None)
        self.on_change()

    def open_requests(self) -> int:
        """Return the number of this entry's open requests."""
        return sum(self._own_requests.values())

    # Other entries.

    def share(self) -> messages.Share:
        """Return the next message to the other entries."""
        self._sequence += 1
        loads = tuple(
            messages.OpenLoad(name, count)
            for name, count in self._own_requests.items()
        )
        queues = tuple(
            q for q in self._own_queues.values() if q.timely or q.late
        )
        return messages.Share(
            sequence=self._sequence, loads=loads, queues=queues
        )

    def note_queue(self, queue: messages.Queue) -> None:
        """Update the number of requests of a service that wait here."""
        if self._own_queues.get(queue.service) != queue:
            self._own_queues[queue.service] = queue
            self.on_change()

    def queue_elsewhere(self, service: str, now: float) -> messages.Queue:
        """Return the requests of a service that wait at other entries."""
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
        """Replace the load of another entry unless the message is outdated."""
        self._drop_stale(now)
        peer = self._peers.get(src)
        if peer is not None and msg.sequence <= peer.sequence:
            return
        counts = {load.target_id: load.requests for load in msg.loads}
        self._replace_counts(peer.counts if peer is not None else {}, counts)
        self._peers[src] = PeerLoad(
            sequence=msg.sequence,
            received_at=now,
            counts=counts,
            queues={queue.service: queue for queue in msg.queues},
        )
        self._stale_at = min(self._stale_at, now + const.SHARE_STALE_SECONDS)

    def remove_peer(self, src: str) -> None:
        """Drop the load of an entry that has gone."""
        peer = self._peers.pop(src, None)
        if peer is None:
            return
        self._replace_counts(peer.counts, {})

    def _replace_counts(
        self, before: dict[str, int], after: dict[str, int]
    ) -> None:
        """Replace the counts of a peer in the sums by target.

        Most targets keep their counts from one message to the next.
        """
        for target_id, count in after.items():
            change = count - before.get(target_id, 0)
            if change:
                self._add_peer_requests(target_id, change)
        for target_id, count in before.items():
            if target_id not in after:
                self._add_peer_requests(target_id, -count)

    def _add_peer_requests(self, target_id: str, change: int) -> None:
        total = self._peer_requests.get(target_id, 0) + change
        if total:
            self._peer_requests[target_id] = total
        else:
            self._peer_requests.pop(target_id, None)

    def _drop_stale(self, now: float) -> None:
        """Drop the loads of entries that haven't sent any for too long."""
        if now < self._stale_at:
            return
        for src, peer in list(self._peers.items()):
            if now - peer.received_at >= const.SHARE_STALE_SECONDS:
                self.remove_peer(src)
        received = (peer.received_at for peer in self._peers.values())
        self._stale_at = min(received, default=math.inf)
        self._stale_at += const.SHARE_STALE_SECONDS

    # Health.

    def succeeded(self, target_id: str, seconds: float | None) -> None:
        """Record a good answer of a target.

        Args:
            target_id: The target.
            seconds: Time to the first byte, seconds; None if unknown.
        """
        health = self._health.setdefault(target_id, TargetHealth())
        health.failures = 0
        health.ejected_until = 0.0
        health.eject_s = const.EJECT_SECONDS
        if seconds is None:
            return
        if health.first_byte_s == 0.0:
            health.first_byte_s = seconds
        step = const.TIME_SMOOTHING * (seconds - health.first_byte_s)
        health.first_byte_s += step

    def failed(self, target_id: str, now: float, *, hard: bool) -> None:
        """Record a failure of a target; a hard one ejects it at once."""
        health = self._health.setdefault(target_id, TargetHealth())
        health.failures += 1
        if not hard and health.failures < const.EJECT_FAILURES:
            return
        health.ejected_until = now + health.eject_s
        health.eject_s = min(health.eject_s * 2, const.EJECT_MAX_SECONDS)

    def ejected(self, target_id: str, now: float) -> bool:
        """Return whether a target is ejected."""
        health = self._health.get(target_id)
        return health is not None and now < health.ejected_until

    # Choice of a target.

    def choose(
        self,
        targets: list[records.Target],
        exclude: set[str],
        now: float,
        *,
        is_urgent: bool | None = None,
    ) -> records.Target | None:
        """Return the least loaded healthy target, None if there is none.

        Args:
            targets: Targets to choose from.
            exclude: Ids of targets that are not chosen.
            now: Monotonic seconds.
            is_urgent: Whether the request is of the most urgent of several
                competing priorities; None without competition. Entries that
                choose at the same time then choose different targets for
                urgent requests and for others, if several are equal.
        """
        candidates = [t for t in targets if t.target_id not in exclude]
        healthy = [t for t in candidates if not self.ejected(t.target_id, now)]
        min_healthy = len(candidates) * (1 - const.EJECT_SHARE)
        if len(healthy) < min_healthy or not healthy:
            # If most targets fail, the cause probably lies elsewhere.
            healthy = candidates
        if not healthy:
            return None
        median_s = self._median_first_byte_s(healthy)
        counts = self._count_open(healthy, now)
        costs = [
            self._cost(target, count, median_s, now)
            for target, count in zip(healthy, counts, strict=True)
        ]
        least_cost = min(costs)
        cheapest = [
            target
            for target, cost in zip(healthy, costs, strict=True)
            if cost == least_cost
        ]
        if is_urgent is not None and len(cheapest) > 1:
            cheapest.sort(key=lambda target: target.target_id)
            half = (len(cheapest) + 1) // 2
            cheapest = cheapest[:half] if is_urgent else cheapest[half:]
        return self._rng.choice(cheapest)

    def loads(self, targets: list[records.Target], now: float) -> TotalLoad:
        """Return the total load of targets.

        Computed in one pass over the targets, since this runs for each request
        and each tick.
        """
        counts = self._count_open(targets, now)
        slow = self._find_slow_addresses(now)
        free = sum(
            [
                target.slots - count
                for target, count in zip(targets, counts, strict=True)
                if target.slots > count and target.address not in slow
            ]
        )
        return TotalLoad(open=sum(counts), free=free)

    def estimate_group(
        self, targets: list[records.Target], now: float
    ) -> GroupLoad:
        """Return the load of a group from the reports of some of its ranks.

        Requests that no entry has reported are extrapolated from the ranks with
        a recent report to the others: entries of other cells or data centres
        spread their requests over all ranks.
        """
        self._drop_stale(now)
        ttl_s = const.REPORT_TTL_SECONDS
        target_ids = [target.target_id for target in targets]
        reports = [
            report.unknown
            for report in map(self._reports.get, target_ids)
            if report is not None and now - report.at <= ttl_s
        ]
        unknown = sum(reports) / len(reports) if reports else 0.0
        own, peers = self._own_requests, self._peer_requests
        counts = [
            own.get(target_id, 0) + peers.get(target_id, 0) + unknown
            for target_id in target_ids
        ]
        slow = self._find_slow_addresses(now)
        free = sum(
            [
                target.slots - count
                for target, count in zip(targets, counts, strict=True)
                if target.slots > count and target.address not in slow
            ]
        )
        return GroupLoad(open=sum(counts), free=free, reports=len(reports))

    def _count_open(
        self, targets: list[records.Target], now: float
    ) -> list[int]:
        """Return the open requests of all entries at each target."""
        self._drop_stale(now)
        own, peers = self._own_requests, self._peer_requests
        reports = self._reports
        ttl_s = const.REPORT_TTL_SECONDS
        counts = []
        for target in targets:
            target_id = target.target_id
            count = own.get(target_id, 0) + peers.get(target_id, 0)
            report = reports.get(target_id)
            if report is not None and now - report.at <= ttl_s:
                count += report.unknown
            counts.append(count)
        return counts

    def count_at(self, target_id: str, now: float) -> int:
        """Return the open requests of all entries at a target."""
        tracked = self._count_tracked(target_id, now)
        return tracked + self.unknown_at(target_id, now)

    def unknown_at(self, target_id: str, now: float) -> int:
        """Return the requests at a target that no entry has reported."""
        report = self._reports.get(target_id)
        if report is None or now - report.at > const.REPORT_TTL_SECONDS:
            return 0
        return report.unknown

    def on_report(self, target_id: str, report: Report, now: float) -> None:
        """Record the load that a target reports with an answer.

        Requests beyond the known ones come from entries that have gone or from
        other callers of the target.
        """
        reported = report.running + report.waiting
        unknown = max(0, reported - self._count_tracked(target_id, now))
        self._reports[target_id] = UntrackedLoad(unknown=unknown, at=now)

    def update_slowdowns(self, paces: dict[str, float], now: float) -> None:
        """Replace the slowdown factors of targets, by address."""
        self._slowdowns = paces
        self._slow_addresses = frozenset(
            address
            for address, pace in paces.items()
            if not pace < const.SLOWDOWN_MAX
        )
        self._slowdowns_at = now

    def get_slowdown(self, target: records.Target, now: float) -> float:
        """Return the factor by which a target is slower than usual."""
        if now - self._slowdowns_at > const.SLOWDOWN_TTL_SECONDS:
            return 1.0
        return self._slowdowns.get(target.address, 1.0)

    def _find_slow_addresses(self, now: float) -> frozenset[str]:
        """Return the targets whose free slots don't count, by address."""
        if now - self._slowdowns_at > const.SLOWDOWN_TTL_SECONDS:
            return frozenset()
        return self._slow_addresses

    def _count_tracked(self, target_id: str, now: float) -> int:
        self._drop_stale(now)
        own = self._own_requests.get(target_id, 0)
        return own + self._peer_requests.get(target_id, 0)

    def _cost(
        self, target: records.Target, count: int, median_s: float, now: float
    ) -> float:
        # The load of a slow target counts for more by its slowdown factor.
        cost = (
            (count + 1) * self.get_slowdown(target, now) / max(target.slots, 1)
        )
        health = self._health.get(target.target_id)
        if health is not None and median_s > 0:
            if health.first_byte_s > const.SLOW_FACTOR * median_s:
                cost += const.SLOW_COST
        return cost

    def _median_first_byte_s(self, targets: list[records.Target]) -> float:
        times = [
            self._health[t.target_id].first_byte_s
            for t in targets
            if t.target_id in self._health
            and self._health[t.target_id].first_byte_s > 0
        ]
        return statistics.median(times) if times else 0.0
