"""Limits of requests to cold targets at one entry; sans-I/O.

Load: requests for a service whose targets partly or all have just started.
Warm targets stay available without limit. A cold one is available while this
entry's part of its rate holds a request.
"""

import collections
from collections.abc import Mapping
import math
from typing import NamedTuple

from jasperweir.components.deployment import model
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.warmup import coldness as coldness_lib
from jasperweir.components.warmup import const
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.components.warmup import shares as shares_lib


class Change(NamedTuple):
    """A target that has turned cold or warm.

    Attributes:
        target: The target.
        cold: Its cold time, None if it is warm now.
        share: This entry's part of its rate.
        entry_count: Entries that this one counts.
    """

    target: records.Target
    cold: coldness_lib.Cold | None
    share: rate_lib.Rate
    entry_count: int


class _ColdTargets(NamedTuple):
    """Cached cold targets of a service.

    Attributes:
        colds: The cold targets by id.
        owned: Ids of those of which this entry has a share. Only their buckets
            are looked at for each request.
        source: List of announced targets that it was made from.
        valid_until: When it must be made again, monotonic seconds.
    """

    colds: dict[str, coldness_lib.Cold]
    owned: set[str]
    source: list[records.Target]
    valid_until: float


_NO_COLDS: Mapping[str, coldness_lib.Cold] = {}


class WarmUp:
    """Tells which cold targets may get a request of this entry.

    Services without a warm-up rate are not limited.

    Attributes:
        shares: This entry's shares of the rates.
        bounds: Bounds of the deployment.
    """

    def __init__(
        self,
        *,
        directory: directory_lib.Directory,
        name: str,
        bounds: rate_lib.Bounds = rate_lib.DEFAULT_BOUNDS,
    ) -> None:
        """Initialize without limited services.

        Args:
            directory: Announced targets.
            name: Name of this entry.
            bounds: Bounds of the deployment.
        """
        self.shares = shares_lib.ColdShares(name=name)
        self.bounds = bounds
        self._directory = directory
        self._coldness = coldness_lib.Coldness(directory=directory)
        # Services with a warm-up rate, and those rates.
        self._services: dict[str, model.Service] = {}
        self._rates: dict[str, rate_lib.Rate] = {}
        self._buckets: collections.OrderedDict[
            tuple[str, int], rate_lib.Bucket
        ] = collections.OrderedDict()
        self._cached: dict[str, _ColdTargets] = {}
        self._reported: dict[str, records.Target] = {}

    # Inputs.

    def on_services(self, services: Mapping[str, model.Service]) -> None:
        """Set the services of the configuration in force."""
        self._services = {
            name: service
            for name, service in services.items()
            if service.warmup_per_s > 0
        }
        self._rates = {
            name: rate_lib.compute_rate(service.warmup_per_s, self.bounds)
            for name, service in self._services.items()
        }
        self._cached.clear()

    def on_answer(
        self, target: records.Target, cold_s: float, now: float
    ) -> None:
        """Record the cold time that an answer states, 0 for none."""
        if cold_s > 0 and target.service in self._services:
            self._coldness.on_answer(target, cold_s, now)
            self._cached.pop(target.service, None)

    def on_evacuation_ended(self, place: str, now: float) -> None:
        """Count a data centre's targets as cold until their next heartbeats.

        Args:
            place: Data centre whose evacuation was withdrawn.
            now: Monotonic seconds.
        """
        self._coldness.on_evacuation_ended(place, now)
        self._cached.clear()

    def on_chosen(self, target: records.Target, now: float) -> bool:
        """Count a request to a target; return whether the target is cold."""
        if target.target_id not in self._find_colds(target.service, now):
            return False
        self._get_bucket(target, now).on_sent()
        return True

    def try_count(self, target: records.Target, now: float) -> bool:
        """Count a request whose target was warm when it was chosen.

        Returns:
            False if the target is cold by now and gets no request of this
            entry; the request is not counted then.
        """
        if target.target_id not in self._find_colds(target.service, now):
            return True
        bucket = self._get_bucket(target, now)
        if not bucket.has_token:
            return False
        bucket.on_sent()
        return True

    # Queries.

    def list_available(
        self, targets: list[records.Target], service: str, now: float
    ) -> list[records.Target]:
        """Return the targets that are warm or may get a request now.

        It is the same list object if all are, since callers cache what they
        derive from it.
        """
        colds = self._find_colds(service, now)
        if not colds:
            return targets
        owned = self._cached[service].owned
        available = [
            target
            for target in targets
            if target.target_id not in colds
            or (
                target.target_id in owned
                and self._get_bucket(target, now).has_token
            )
        ]
        return targets if len(available) == len(targets) else available

    def wait_s(self, target: records.Target, now: float) -> float:
        """Return the time until a target may get a request, seconds."""
        cold = self._find_colds(target.service, now).get(target.target_id)
        if cold is None:
            return 0.0
        left_s = cold.until - now
        if math.isinf(left_s):
            left_s = const.HEARTBEAT_WAIT_SECONDS
        if not self.shares.is_settled(now):
            # This entry may have a share once the leader has listed it.
            return min(left_s, const.SETTLE_SECONDS)
        return min(self._get_bucket(target, now).wait_s(), left_s)

    def max_requests(
        self, targets: list[records.Target], now: float
    ) -> dict[str, int]:
        """Return how many requests each cold target may get of this entry now.

        Args:
            targets: Targets of one service.
            now: Monotonic seconds.

        Returns:
            Numbers by the ids of the cold targets.
        """
        if not targets or not self._find_colds(targets[0].service, now):
            return {}
        colds, owned, _, _ = self._cached[targets[0].service]
        return {
            target.target_id: self._get_bucket(target, now).requests
            if target.target_id in owned
            else 0
            for target in targets
            if target.target_id in colds
        }

    def has_cold(self, service: str, now: float) -> bool:
        """Return whether a limited service has cold targets."""
        return bool(self._find_colds(service, now))

    # Upkeep.

    def tick(self, now: float) -> list[Change]:
        """Return the targets that have turned cold or warm; drop old state."""
        self._coldness.prune()
        changes = []
        cold_now: dict[str, records.Target] = {}
        for service in self._services:
            for target_id, cold in self._find_colds(service, now).items():
                target = self._directory.get(target_id)
                if target is None:
                    continue
                cold_now[target_id] = target
                self._get_bucket(target, now)
                before = self._reported.get(target_id)
                if before is None or before.born != target.born:
                    changes.append(self._make_change(target, cold, now))
        changes += [
            self._make_change(target, None, now)
            for target_id, target in self._reported.items()
            if target_id not in cold_now
        ]
        self._reported = cold_now
        cold_keys = {(t.target_id, t.born) for t in cold_now.values()}
        for key in [key for key in self._buckets if key not in cold_keys]:
            del self._buckets[key]
        return changes

    def count_cold(self) -> dict[str, int]:
        """Return the number of cold targets by limited service."""
        counts = dict.fromkeys(self._services, 0)
        for target in self._reported.values():
            counts[target.service] = counts.get(target.service, 0) + 1
        return counts

    def _make_change(
        self, target: records.Target, cold: coldness_lib.Cold | None, now: float
    ) -> Change:
        rate = self._rates.get(target.service, rate_lib.Rate(0.0, 0.0))
        share = self.shares.share(target.target_id, rate, now)
        return Change(target, cold, share, len(self.shares))

    def _find_colds(
        self, service: str, now: float
    ) -> Mapping[str, coldness_lib.Cold]:
        """Return the cold targets of a service by id; cached for a while."""
        limited = self._services.get(service)
        if limited is None:
            return _NO_COLDS
        announced = self._directory.list_ready(service, now)
        cached = self._cached.get(service)
        if (
            cached is not None
            and cached.source is announced
            and now < cached.valid_until
        ):
            return cached.colds
        colds = {}
        valid_until = now + const.CACHE_SECONDS
        for target in announced:
            cold = self._coldness.find(target, limited.cold_start_s, now)
            if cold is not None:
                colds[target.target_id] = cold
                valid_until = min(valid_until, cold.until)
        rate = self._rates[service]
        owned = {
            target_id
            for target_id in colds
            if self.shares.share(target_id, rate, now).per_s > 0
        }
        self._cached[service] = _ColdTargets(
            colds, owned, announced, valid_until
        )
        return colds

    def _get_bucket(
        self, target: records.Target, now: float
    ) -> rate_lib.Bucket:
        """Return the bucket of a cold target, updated to now."""
        key = (target.target_id, target.born)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = rate_lib.Bucket(updated_at=now)
            if len(self._buckets) > const.TARGETS_MAX:
                self._buckets.popitem(last=False)
        rate = self._rates[target.service]
        bucket.update(self.shares.share(target.target_id, rate, now), now)
        return bucket
