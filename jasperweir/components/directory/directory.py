"""Merge announcements of targets from several control VMs; sans-I/O."""

import dataclasses
from typing import NamedTuple

from jasperweir.components.directory import const
from jasperweir.components.directory import incarnation
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


class Serving(NamedTuple):
    """Targets that may get new requests, until a time if nothing changes."""

    targets: list[records.Target]
    until: float


class Directory:
    """Target records of one process.

    Presence only moves towards GONE within an incarnation, so a late
    announcement cannot bring back a target that has said it leaves.

    Attributes:
        digest: Digest of all records, without their ages, in any order.
    """

    def __init__(self) -> None:
        self._held: dict[str, Held] = {}
        self.digest = 0
        # Lists that were asked for, until a record changes or goes silent.
        self._serving: dict[str, Serving] = {}
        self._tick_at = 0.0

    def get(self, target_id: str) -> records.Target | None:
        """Return the record of an incarnation."""
        held = self._held.get(target_id)
        return held.target if held else None

    def targets(self) -> list[records.Target]:
        """Return every record, those that are gone included."""
        return [held.target for held in self._held.values()]

    def serving(self, service: str, now: float) -> list[records.Target]:
        """Return the targets of a service that may get new requests.

        The list is kept until it changes, since it is asked for with each
        request.
        """
        known = self._serving.get(service)
        if known is None or now >= known.until:
            known = self._serving_now(service, now)
            self._serving[service] = known
        return known.targets

    def _serving_now(self, service: str, now: float) -> Serving:
        newest: dict[str, Held] = {}
        until = now + const.FORGET_SECONDS
        for held in self._held.values():
            target = held.target
            if target.service != service:
                continue
            if target.presence is not Presence.READY:
                continue
            if now - held.heard_at >= const.FORGET_SECONDS:
                continue
            until = min(until, held.heard_at + const.FORGET_SECONDS)
            other = newest.get(target.address)
            if other is not None:
                # Which of the two is there follows from their next heartbeats.
                until = now
            if other is None or _displaces(held, other):
                newest[target.address] = held
        targets = [held.target for held in newest.values()]
        return Serving(targets=targets, until=until)

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
            self._changed(None, target)
            return True
        match incarnation.compare(target.born, held.target.born):
            case incarnation.Start.EARLIER:
                # A late word of a start that is over.
                return False
            case incarnation.Start.LATER:
                return self._start_anew(held, target, heard_at, now)
        if now - held.heard_at >= const.FORGET_SECONDS:
            # Silent for so long that no list names it, and heard again.
            self._serving.clear()
        held.heard_at = max(held.heard_at, heard_at)
        before, merged = held.target, _newer(held.target, target)
        held.target = merged
        if _lasting(merged) == _lasting(before):
            return False
        self._changed(before, merged)
        return True

    def _start_anew(
        self, held: Held, target: records.Target, heard_at: float, now: float
    ) -> bool:
        """Put a later start in the place of the one that was known."""
        before = held.target
        held.target = target
        held.heard_at = heard_at
        held.first_at = now
        self._changed(before, target)
        return True

    def leave(
        self, target_id: str, now: float, born: int = 0
    ) -> records.Target:
        """Note that a target is gone for good; return its record.

        Args:
            target_id: The target.
            now: Monotonic seconds.
            born: Which of its starts is gone, 0 if that is not known. Nothing
                changes if a later one is known.
        """
        held = self._held.get(target_id)
        if held is None:
            blank = records.Target(
                target_id, "", "", "", 0, Presence.GONE, 0, born=born
            )  # fmt: skip
            held = Held(target=blank, heard_at=now, first_at=now)
            self._held[target_id] = held
            self._changed(None, blank)
        before = held.target
        told = incarnation.compare(born, before.born)
        if told is incarnation.Start.EARLIER:
            return before
        if told is incarnation.Start.LATER:
            before = before._replace(born=born)
            self._start_anew(held, before, now, now)
        held.target = before._replace(presence=Presence.GONE)
        held.heard_at = now
        self._changed(before, held.target)
        return held.target

    def ages(self, now: float) -> list[float]:
        """Return the seconds since each target was heard, in order."""
        return [now - held.heard_at for held in self._held.values()]

    def tick(self, now: float) -> None:
        """Forget targets that have been silent for long."""
        if now < self._tick_at:
            return
        self._tick_at = now + const.FORGET_LOOK_SECONDS
        gone = [
            target_id
            for target_id, held in self._held.items()
            if now - held.heard_at > _kept_seconds(held.target)
        ]
        for target_id in gone:
            self._changed(self._held.pop(target_id).target, None)

    def _changed(
        self, before: records.Target | None, after: records.Target | None
    ) -> None:
        """Note that a record has changed, has come or is forgotten.

        Only its own part of the digest is worked out anew.
        """
        for target in (before, after):
            if target is not None:
                self.digest ^= _checksum(target)
        self._serving.clear()


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
    old = old._replace(born=old.born or new.born)
    new = new._replace(born=old.born)
    if new.sequence > old.sequence:
        return new._replace(presence=presence)
    if not old.address and new.address:
        return new._replace(presence=presence)
    return old._replace(presence=presence)


def _checksum(target: records.Target) -> int:
    return hashing.checksum(codec.pack(_lasting(target))) >> 1


def _lasting(target: records.Target) -> records.Target:
    """Return a record without what changes with every heartbeat."""
    return target._replace(sequence=0, cold_s=0.0)


def _kept_seconds(target: records.Target) -> float:
    if target.presence is Presence.READY:
        return const.FORGET_SECONDS
    return const.TOMBSTONE_SECONDS
