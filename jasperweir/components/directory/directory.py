"""Merge announcements of targets from several control VMs; sans-I/O."""

import dataclasses

from jasperweir.components.directory import const
from jasperweir.components.directory import records
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Presence = records.Presence


@dataclasses.dataclass(kw_only=True, slots=True)
class Held:
    """A record with the time of the newest sign of life."""

    target: records.Target
    heard_at: float
    first_at: float


class Directory:
    """Target records of one process.

    Presence only moves towards GONE within an incarnation, so a late
    announcement cannot bring back a target that has said it leaves.

    Attributes:
        digest: Digest of all records, without their ages.
    """

    def __init__(self) -> None:
        self._held: dict[str, Held] = {}
        self.digest = 0

    def get(self, target_id: str) -> records.Target | None:
        """Return the record of an incarnation."""
        held = self._held.get(target_id)
        return held.target if held else None

    def targets(self) -> list[records.Target]:
        """Return every record, those that are gone included."""
        return [held.target for held in self._held.values()]

    def serving(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that may get new requests."""
        newest: dict[str, Held] = {}
        for held in self._held.values():
            target = held.target
            if target.service != service:
                continue
            if target.presence is not Presence.READY:
                continue
            if now - held.heard_at >= const.FORGET_SECONDS:
                continue
            other = newest.get(target.address)
            if other is None or _displaces(held, other):
                newest[target.address] = held
        return [held.target for held in newest.values()]

    def merge(
        self, target: records.Target, now: float, age: float = 0.0
    ) -> bool:
        """Take in a record; return whether anything but its age changed."""
        heard_at = now - age
        held = self._held.get(target.target_id)
        if held is None:
            if age >= const.FORGET_SECONDS:
                return False
            self._held[target.target_id] = Held(
                target=target, heard_at=heard_at, first_at=now
            )
            self._redigest()
            return True
        held.heard_at = max(held.heard_at, heard_at)
        merged = _newer(held.target, target)
        before = _lasting(held.target)
        held.target = merged
        if _lasting(merged) == before:
            return False
        self._redigest()
        return True

    def leave(self, target_id: str, now: float) -> records.Target:
        """Note that a target is gone for good; return its record."""
        held = self._held.get(target_id)
        if held is None:
            blank = records.Target(
                target_id, "", "", "", 0, Presence.GONE, 0
            )  # fmt: skip
            held = Held(target=blank, heard_at=now, first_at=now)
            self._held[target_id] = held
        held.target = held.target._replace(presence=Presence.GONE)
        held.heard_at = now
        self._redigest()
        return held.target

    def ages(self, now: float) -> list[float]:
        """Return the seconds since each target was heard, in order."""
        return [now - held.heard_at for held in self._held.values()]

    def tick(self, now: float) -> None:
        """Forget targets that have been silent for long."""
        gone = [
            target_id
            for target_id, held in self._held.items()
            if now - held.heard_at > _kept_seconds(held.target)
        ]
        for target_id in gone:
            del self._held[target_id]
        if gone:
            self._redigest()

    def _redigest(self) -> None:
        rows = sorted(_lasting(held.target) for held in self._held.values())
        self.digest = hashing.checksum(codec.pack(rows)) >> 1


def _displaces(held: Held, other: Held) -> bool:
    """Tell which of two incarnations at one address is there now.

    A target that restarts comes back at its address, so the one that was heard
    of later is there. But the heartbeat of one that has crashed may come for
    the first time after its successor's; it is not followed by another. Without
    the difference it would keep its successor out for up to 30 s.
    """
    apart = held.heard_at - other.heard_at
    if abs(apart) > const.SUCCESSOR_SECONDS:
        return apart > 0
    return held.first_at > other.first_at


def _newer(old: records.Target, new: records.Target) -> records.Target:
    presence = max(old.presence, new.presence)
    if new.sequence > old.sequence:
        return new._replace(presence=presence)
    if not old.address and new.address:
        return new._replace(presence=presence)
    return old._replace(presence=presence)


def _lasting(target: records.Target) -> records.Target:
    """Return a record without what changes with every heartbeat."""
    return target._replace(sequence=0, cold_s=0.0)


def _kept_seconds(target: records.Target) -> float:
    if target.presence is Presence.READY:
        return const.FORGET_SECONDS
    return const.TOMBSTONE_SECONDS
