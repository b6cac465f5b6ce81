"""Target records merged from the announcements of control VMs; sans-I/O."""

import dataclasses
from typing import NamedTuple

from jasperweir.components.directory import const
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Presence = records.Presence


@dataclasses.dataclass(kw_only=True, slots=True)
class TrackedTarget:
    """A target record with the times of its heartbeats.

    Attributes:
        target: The record.
        received_at: Time of the newest heartbeat, monotonic seconds.
        stated_at: Time of the heartbeat that the record is from, monotonic
            seconds.
        first_received_at: When this process first received the record,
            monotonic seconds.
    """

    target: records.Target
    received_at: float
    stated_at: float
    first_received_at: float


class ReadyTargets(NamedTuple):
    """Cached list of the targets of a service that accept new requests.

    Attributes:
        targets: The targets.
        valid_until: When the list must be rebuilt, monotonic seconds.
    """

    targets: list[records.Target]
    valid_until: float


class Directory:
    """Target records of one process.

    Within an incarnation presence only moves towards GONE, so a delayed
    announcement cannot add a target again that has announced its shutdown.

    Attributes:
        digest: Digest of all records without ages, independent of their order.
    """

    def __init__(self) -> None:
        self._tracked: dict[str, TrackedTarget] = {}
        self.digest = 0
        # Cached lists by service, cleared when a record changes.
        self._ready_targets: dict[str, ReadyTargets] = {}
        self._next_tick_at = 0.0

    def get(self, target_id: str) -> records.Target | None:
        """Return the record of a target, or None."""
        tracked = self._tracked.get(target_id)
        return tracked.target if tracked else None

    def get_tracked(self, target_id: str) -> TrackedTarget | None:
        """Return the record of a target with its times, or None."""
        return self._tracked.get(target_id)

    def targets(self) -> list[records.Target]:
        """Return all records, including those of targets that are gone."""
        return [tracked.target for tracked in self._tracked.values()]

    def list_ready(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that accept new requests.

        The list is cached because it is read for every request.
        """
        ready = self._ready_targets.get(service)
        if ready is None or now >= ready.valid_until:
            ready = self._find_ready(service, now)
            self._ready_targets[service] = ready
        return ready.targets

    def _find_ready(self, service: str, now: float) -> ReadyTargets:
        by_address: dict[str, TrackedTarget] = {}
        valid_until = now + const.FORGET_SECONDS
        for tracked in self._tracked.values():
            target = tracked.target
            if target.service != service:
                continue
            if target.presence is not Presence.READY:
                continue
            if now - tracked.received_at >= const.FORGET_SECONDS:
                continue
            valid_until = min(
                valid_until, tracked.received_at + const.FORGET_SECONDS
            )
            other = by_address.get(target.address)
            if other is not None:
                # Not cached: the next heartbeats decide which target remains.
                valid_until = now
            if other is None or _displaces_other(tracked, other):
                by_address[target.address] = tracked
        targets = [tracked.target for tracked in by_address.values()]
        return ReadyTargets(targets=targets, valid_until=valid_until)

    def merge(
        self, target: records.Target, now: float, age: float = 0.0
    ) -> bool:
        """Merge a record.

        Args:
            target: The record.
            now: Monotonic seconds.
            age: Time since the target's heartbeat, seconds.

        Returns:
            Whether anything but heartbeat data changed.
        """
        received_at = now - age
        tracked = self._tracked.get(target.target_id)
        if tracked is None:
            if age >= const.FORGET_SECONDS:
                return False
            self._tracked[target.target_id] = TrackedTarget(
                target=target,
                received_at=received_at,
                stated_at=received_at,
                first_received_at=now,
            )
            self._on_change(None, target)
            return True
        match incarnation.compare_starts(target.born, tracked.target.born):
            case incarnation.StartOrder.EARLIER:
                # A delayed announcement of an earlier start.
                return False
            case incarnation.StartOrder.LATER:
                return self._replace_start(tracked, target, received_at, now)
        if now - tracked.received_at >= const.FORGET_SECONDS:
            # The target had expired from the cached lists.
            self._ready_targets.clear()
        tracked.received_at = max(tracked.received_at, received_at)
        if _adds_nothing(tracked.target, target):
            # Each control VM sends all records at intervals.
            return False
        before, merged = tracked.target, _merge_records(tracked.target, target)
        if target.sequence > before.sequence:
            tracked.stated_at = received_at
        tracked.target = merged
        if _without_volatile_fields(merged) == _without_volatile_fields(before):
            return False
        self._on_change(before, merged)
        return True

    def _replace_start(
        self,
        tracked: TrackedTarget,
        target: records.Target,
        received_at: float,
        now: float,
    ) -> bool:
        """Replace a record by that of a later start of the target."""
        before = tracked.target
        tracked.target = target
        tracked.received_at = received_at
        tracked.stated_at = received_at
        tracked.first_received_at = now
        self._on_change(before, target)
        return True

    def mark_gone(
        self, target_id: str, now: float, born: int = 0
    ) -> records.Target:
        """Mark a target as gone for good and return its record.

        Args:
            target_id: Id of the target.
            now: Monotonic seconds.
            born: Start time of the incarnation that is gone, 0 if unknown. The
                record is not changed if it belongs to a later incarnation.
        """
        tracked = self._tracked.get(target_id)
        if tracked is None:
            placeholder = make_gone(target_id, born)
            tracked = TrackedTarget(
                target=placeholder,
                received_at=now,
                stated_at=now,
                first_received_at=now,
            )
            self._tracked[target_id] = tracked
            self._on_change(None, placeholder)
        before = tracked.target
        order = incarnation.compare_starts(born, before.born)
        if order is incarnation.StartOrder.EARLIER:
            return before
        if order is incarnation.StartOrder.LATER:
            before = before._replace(born=born)
            self._replace_start(tracked, before, now, now)
        tracked.target = before._replace(presence=Presence.GONE)
        tracked.received_at = now
        self._on_change(before, tracked.target)
        return tracked.target

    def ages(self, now: float) -> list[float]:
        """Return the time since each target's last heartbeat, seconds."""
        return [now - tracked.received_at for tracked in self._tracked.values()]

    def tick(self, now: float) -> None:
        """Remove targets that have sent no heartbeat for long."""
        if now < self._next_tick_at:
            return
        self._next_tick_at = now + const.FORGET_CHECK_SECONDS
        expired = [
            target_id
            for target_id, tracked in self._tracked.items()
            if now - tracked.received_at
            > _get_retention_seconds(tracked.target)
        ]
        for target_id in expired:
            self._on_change(self._tracked.pop(target_id).target, None)

    def _on_change(
        self, before: records.Target | None, after: records.Target | None
    ) -> None:
        """Update the digest and the caches after a record has changed.

        Args:
            before: Old record, None if it is new.
            after: New record, None if it is removed.
        """
        for target in (before, after):
            if target is not None:
                self.digest ^= _checksum(target)
        self._ready_targets.clear()


def make_gone(target_id: str, born: int) -> records.Target:
    """Return the record of a target that is gone and otherwise unknown."""
    return records.Target(
        target_id=target_id,
        service="",
        address="",
        place="",
        slots=0,
        presence=Presence.GONE,
        sequence=0,
        born=born,
    )


def _displaces_other(tracked: TrackedTarget, other: TrackedTarget) -> bool:
    """Return whether a target has replaced another one at the same address.

    Usually the target whose heartbeat is newer has replaced the other. The
    first heartbeat of a crashed target may however arrive after that of its
    successor, and must not hide the successor until it expires. Unless the
    heartbeats are far apart, the target that was first seen later wins.
    """
    interval_s = tracked.received_at - other.received_at
    if abs(interval_s) > const.SUCCESSOR_SECONDS:
        return interval_s > 0
    return tracked.first_received_at > other.first_received_at


def _adds_nothing(old: records.Target, new: records.Target) -> bool:
    """Return whether a record of the same start leaves the known one as is."""
    return (
        new.sequence <= old.sequence
        and new.presence <= old.presence
        and bool(old.address or not new.address)
        and bool(old.born or not new.born)
    )


def _merge_records(old: records.Target, new: records.Target) -> records.Target:
    presence = max(old.presence, new.presence)
    old = old._replace(born=old.born or new.born)
    new = new._replace(born=old.born)
    if new.sequence > old.sequence:
        return new._replace(presence=presence)
    if not old.address and new.address:
        return new._replace(presence=presence)
    return old._replace(presence=presence)


def _checksum(target: records.Target) -> int:
    return hashing.checksum(codec.pack(_without_volatile_fields(target))) >> 1


def _without_volatile_fields(target: records.Target) -> records.Target:
    """Return a record without the fields that change with every heartbeat.

    Of the cold time only its presence is kept: entries must learn within a
    second that a target turns cold or warm, but not the remaining time.
    """
    is_cold = target.cold_s > 0
    return target._replace(sequence=0, cold_s=1.0 if is_cold else 0.0)


def _get_retention_seconds(target: records.Target) -> float:
    if target.presence is Presence.READY:
        return const.FORGET_SECONDS
    return const.TOMBSTONE_SECONDS
