"""When a committed version is in force wherever an older one may be; sans-I/O.

Entries act on a version while a confirmation of it is valid. After Gray and
Cheriton, "Leases", 1989, a write takes effect once each holder of a lease has
approved it or its lease has expired. So a version is in force once each entry
that may hold a confirmation of an older one has it, at the latest when the last
confirmation from before its commit has expired.

Confirmations are passed on by control VMs, and voters answer entries that read
a majority. Each of them is asked whom it has given one; from then on it gives
none of an older version. An entry that passes one on to another entry says so
when it reports a version.
"""

import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import messages
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.confirmation import lease_book

Actions = list[Any]

# Interval at which a control VM that has not answered is asked again, seconds.
ASK_AGAIN_SECONDS = 0.1
# Entries whose versions are remembered.
MAX_ENTRIES = 4096


class InForce(NamedTuple):
    """How a version came into force.

    Attributes:
        version: The version; entries may have a higher one.
        waited_s: Time since its commit, seconds.
        expired: Entries that did not report it before their confirmations had
            expired.
        unheard: Control VMs that did not say whom they had given one.
    """

    version: int
    waited_s: float
    expired: tuple[str, ...] = ()
    unheard: tuple[str, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pending:
    """A committed version that is not known to be in force.

    Attributes:
        version: The version.
        committed_at: When this leader committed it, monotonic seconds.
        not_before: Until when confirmations of earlier leaders may be valid.
        controls: Control VMs that have not said whom they gave confirmations.
        released: Those that have.
        entries: Entries that may hold a confirmation of an older version.
    """

    version: int
    committed_at: float
    not_before: float
    controls: set[str] = dataclasses.field(default_factory=set)
    released: set[str] = dataclasses.field(default_factory=set)
    entries: set[lease_book.Holder] = dataclasses.field(default_factory=set)

    @property
    def expires_at(self) -> float:
        """When all confirmations from before the commit have expired."""
        return self.committed_at + confirmation_const.VALID_SECONDS

    def is_over(self, now: float) -> bool:
        """Return whether nobody may act on an older version any more."""
        if now >= self.expires_at:
            return True
        is_known = now >= self.not_before
        return is_known and not self.controls and not self.entries


class ForceBarrier:
    """Tracks who may still act on an older version, at the leader.

    Attributes:
        latest: The newest version that is in force, and how it came to be.
    """

    def __init__(self, *, name: str) -> None:
        """Initialize without versions.

        Args:
            name: Name of this control VM.
        """
        self.latest = InForce(version=0, waited_s=0.0)
        self._name = name
        self._pending: list[_Pending] = []
        self._held: dict[lease_book.Holder, int] = {}
        self._leads_since = float("-inf")
        self._asked_at = float("-inf")

    def start_lead(self, version: int, *, has_leases: bool, now: float) -> None:
        """Start to lead.

        Args:
            version: Committed version, 0 if there is none.
            has_leases: Whether confirmations of earlier leaders may be valid.
            now: Monotonic seconds.
        """
        self.clear()
        if has_leases:
            self._leads_since = now
        if version:
            self._pending = [self._make_pending(version, now)]

    def clear(self) -> None:
        """Forget all versions, because this control VM no longer leads."""
        self.latest = InForce(version=0, waited_s=0.0)
        self._pending = []
        self._leads_since = float("-inf")

    def on_committed(
        self,
        version: int,
        *,
        holders: tuple[lease_book.Holder, ...],
        voters: list[str],
        now: float,
    ) -> Actions:
        """Handle the commit of a version by this leader.

        Args:
            version: The version.
            holders: Whom this control VM has given confirmations.
            voters: Voters that have synced it, which may have answered entries
                that read a majority.
            now: Monotonic seconds.
        """
        pending = self._make_pending(version, now)
        self._pending.append(pending)
        pending.controls.update(voters)
        self._add_holders(pending, holders)
        pending.controls.discard(self._name)
        self._asked_at = now
        return self._ask(pending.controls, version)

    def on_release(self, src: str, msg: messages.Release) -> Actions:
        """Handle a control VM's statement whom it has given confirmations."""
        out: Actions = []
        for pending in self._pending:
            if pending.version > msg.version or src in pending.released:
                continue
            pending.controls.discard(src)
            pending.released.add(src)
            known = set(pending.controls)
            self._add_holders(pending, msg.holders)
            out += self._ask(pending.controls - known, pending.version)
        return out

    def on_held(
        self,
        holder: lease_book.Holder,
        version: int,
        lent: tuple[lease_book.Holder, ...] = (),
    ) -> None:
        """Record which version is in force at an entry.

        Args:
            holder: The entry.
            version: Version in force there; it passes on no older one.
            lent: Entries to which it has lately passed a confirmation on.
        """
        self._held[holder] = version
        if len(self._held) > MAX_ENTRIES:
            del self._held[next(iter(self._held))]
        for pending in self._pending:
            if version >= pending.version:
                pending.entries.discard(holder)
                self._add_holders(pending, lent)

    def tick(self, now: float) -> Actions:
        """Ask the control VMs that have not answered again."""
        if not self._pending or now - self._asked_at < ASK_AGAIN_SECONDS:
            return []
        self._asked_at = now
        newest = self._pending[-1]
        missing = set[str]().union(*(p.controls for p in self._pending))
        return self._ask(missing, newest.version)

    def find_in_force(self, now: float) -> int:
        """Return the newest version that is in force, 0 if none is known."""
        over = [p for p in self._pending if p.is_over(now)]
        if over:
            newest = over[-1]
            self.latest = InForce(
                version=newest.version,
                waited_s=now - newest.committed_at,
                expired=tuple(sorted(h.name for h in newest.entries)),
                unheard=tuple(sorted(newest.controls)),
            )
            self._pending = [
                p for p in self._pending if p.version > newest.version
            ]
        return self.latest.version

    def _make_pending(self, version: int, now: float) -> _Pending:
        valid_s = confirmation_const.VALID_SECONDS
        return _Pending(
            version=version,
            committed_at=now,
            not_before=self._leads_since + valid_s,
        )

    def _add_holders(
        self, pending: _Pending, holders: tuple[lease_book.Holder, ...]
    ) -> None:
        for holder in holders:
            if holder.incarnation:
                if self._held.get(holder, 0) < pending.version:
                    pending.entries.add(holder)
            elif holder.name not in pending.released | {self._name}:
                pending.controls.add(holder.name)

    def _ask(self, names: set[str], version: int) -> Actions:
        msg = messages.ReleaseRequest(version=version)
        return [core.Send(dst=name, msg=msg) for name in sorted(names)]
