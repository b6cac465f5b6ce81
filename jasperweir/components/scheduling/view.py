"""What one entry knows of the demand at the others; sans-I/O.

Load: entries come and go, are cut off, and run different versions. What they
said last is used for a short time only, with a weight that falls with its age,
so that a wrong view ends in the entry's own order and not in slots that nobody
takes.
"""

import dataclasses
import math
from typing import Any
from typing import NamedTuple

from jasperweir.components.scheduling import const
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.components.scheduling import order as order_lib


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerDemand:
    """Last demand received from another entry.

    Attributes:
        sequence: Sequence number of its message.
        received_at: Time of receipt, monotonic seconds.
        raw: Its demand by priority as received; empty from an older version.
        queues: Its queue lengths: service, requests in time, late ones.
        bands: Its parsed demand, None before it is needed: most messages are
            replaced before a request needs them.
    """

    sequence: int
    received_at: float
    raw: tuple[Any, ...]
    queues: tuple[tuple[str, int, int], ...]
    bands: list[demand_lib.BandDemand] | None = None


class ElsewhereDemand(NamedTuple):
    """Demand for a service at the other entries.

    Attributes:
        at: When it was summed, monotonic seconds.
        bands: Sums by band.
        customers: Running requests by customer, as far as they are known.
        groups: For each band the waiting requests of each entry that has any.
    """

    at: float
    bands: demand_lib.Bands
    customers: dict[str, int]
    groups: list[list[order_lib.WaitingGroup]]


class DemandView:
    """Demand that the other entries have sent."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerDemand] = {}
        self._sums: dict[str, ElsewhereDemand] = {}
        # Earliest time at which the demand of a peer becomes stale.
        self._stale_at = math.inf

    def on_share(
        self,
        src: str,
        sequence: int,
        raw: tuple[Any, ...],
        queues: tuple[tuple[str, int, int], ...],
        now: float,
    ) -> None:
        """Replace the demand of another entry unless it is outdated.

        Args:
            src: The entry.
            sequence: Sequence number of its message.
            raw: Its demand by priority; empty from an older version.
            queues: Its queue lengths: service, requests in time, late ones.
            now: Monotonic seconds.
        """
        self._drop_stale(now)
        peer = self._peers.get(src)
        if peer is not None and sequence <= peer.sequence:
            return
        bands = None
        if not raw and not queues and peer is not None and peer.raw:
            # Left out, since nothing waits there.
            raw, bands = peer.raw, peer.bands
        self._peers[src] = PeerDemand(
            sequence=sequence,
            received_at=now,
            raw=raw,
            queues=queues,
            bands=bands,
        )
        self._stale_at = min(self._stale_at, now + const.DEMAND_STALE_SECONDS)

    def count_peers(self, now: float) -> int:
        """Return how many other entries were heard from recently."""
        self._drop_stale(now)
        return len(self._peers)

    def has_demand(self, now: float) -> bool:
        """Return whether any other entry has sent demand by priority."""
        self._drop_stale(now)
        return any(peer.raw for peer in self._peers.values())

    def sum_elsewhere(self, service: str, now: float) -> ElsewhereDemand:
        """Return the demand for a service at the other entries."""
        found = self._sums.get(service)
        if found is None or not 0 <= now - found.at < const.SUM_TTL_SECONDS:
            found = self._sum(service, now)
            self._sums[service] = found
        return found

    def _sum(self, service: str, now: float) -> ElsewhereDemand:
        self._drop_stale(now)
        timely = [0.0] * const.BANDS
        late = [0.0] * const.BANDS
        running = [0.0] * const.BANDS
        arrivals = [0.0] * const.BANDS
        customers: dict[str, int] = {}
        groups: list[list[order_lib.WaitingGroup]] = [
            [] for _ in range(const.BANDS)
        ]
        for peer in self._peers.values():
            age_s = now - peer.received_at
            weight = _weigh(age_s)
            for item in _get_bands(peer):
                name, band, in_time, too_late, runs, oldest_s, per_s, loads = (
                    item
                )
                if name != service:
                    continue
                # Requests that run usually run for longer than a view lasts.
                running[band] += runs
                arrivals[band] += per_s
                if in_time or too_late:
                    timely[band] += weight * in_time
                    late[band] += weight * too_late
                    groups[band].append(
                        order_lib.WaitingGroup(
                            weight * in_time,
                            weight * too_late,
                            oldest_s + age_s,
                        )
                    )
                for customer, count in loads:
                    customers[customer] = customers.get(customer, 0) + count
        bands = tuple(
            demand_lib.BandTotal(*each)
            for each in zip(timely, late, running, arrivals, strict=True)
        )
        return ElsewhereDemand(
            at=now, bands=bands, customers=customers, groups=groups
        )

    def _drop_stale(self, now: float) -> None:
        if now < self._stale_at:
            return
        for src, peer in list(self._peers.items()):
            if now - peer.received_at >= const.DEMAND_STALE_SECONDS:
                del self._peers[src]
        oldest = min(
            (peer.received_at for peer in self._peers.values()),
            default=math.inf,
        )
        self._stale_at = oldest + const.DEMAND_STALE_SECONDS


def _get_bands(peer: PeerDemand) -> list[demand_lib.BandDemand]:
    """Return the demand of a peer, without priorities if it sends none."""
    if peer.bands is None and peer.raw:
        peer.bands = demand_lib.parse(peer.raw)
    if peer.bands is None:
        peer.bands = [
            demand_lib.BandDemand(
                service, const.LOWEST_BAND, max(timely, 0), max(late, 0), 0
            )
            for service, timely, late in peer.queues
        ]
    return peer.bands


def _weigh(age_s: float) -> float:
    """Return the weight of waiting requests that were sent some time ago."""
    if age_s <= const.DEMAND_FRESH_SECONDS:
        return 1.0
    left_s = const.DEMAND_STALE_SECONDS - age_s
    span_s = const.DEMAND_STALE_SECONDS - const.DEMAND_FRESH_SECONDS
    return max(0.0, left_s / span_s)
