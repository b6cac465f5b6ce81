"""Registration and discovery of targets, nodes and control VMs; sans-I/O.

Entries receive updates at once and all target records periodically. A new
target is acknowledged once another control VM has its update; targets that
leave or are gone are acknowledged by their record in the log, see departures.
"""

import itertools
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import const
from jasperweir.components.configctl import digest_tracker
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import node_tracker
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.confirmation import lease_book
from jasperweir.components.confirmation import rounds as rounds_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.registry import ops
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

Actions = list[Any]


class Unconfirmed(NamedTuple):
    """Action: report that a call could not be confirmed in time."""

    number: int


class Acknowledged(NamedTuple):
    """Action: acknowledge a target's heartbeat or deregistration."""

    number: int


class Departing(NamedTuple):
    """Record of a target that is leaving or gone, and the first actions."""

    target: records.Target
    acts: Actions


class StartedRequest(NamedTuple):
    """Number of a started request and its first actions."""

    number: int
    acts: Actions


class Leader(NamedTuple):
    """Name of the leader of the log, empty if unknown, and its term."""

    name: str
    term: int


class LogStatus(NamedTuple):
    """State of the replicated log, for heartbeats.

    Attributes:
        version: Newest committed configuration version.
        certain: Whether no newer version can be committed anywhere.
        leader: Name of the leader, empty if unknown.
        term: Term of the leader.
        seats: Members of the log.
        evacuations: Evacuated data centres.
    """

    version: int
    certain: bool
    leader: str
    term: int
    seats: quorum_messages.Seats
    evacuations: ops.EvacuationList = ops.EvacuationList()


class DiscoveryServer:
    """Tracks targets, nodes and control VMs and distributes updates.

    Attributes:
        directory: Targets announced here and at other control VMs.
        controls: Time of the last heartbeat by the name of each other control
            VM, minus infinity before the first.
        nodes: Entries and agents that send heartbeats here.
        confirmations: What is known of the newest version.
        reported_version: Newest configuration version that a process reported.
        reported_index: Highest log index of an evacuation order that a control
            VM reported.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        seeds: tuple[str, ...],
        numbers: "itertools.count[int]",
        leases: lease_book.LeaseBook,
        keeps_log: bool = True,
    ) -> None:
        """Initialize with the seeds as the only known control VMs.

        Args:
            name: Name of this control VM.
            place: Its data centre.
            seeds: Other control VMs.
            numbers: Source of request numbers.
            leases: Processes that were given confirmations.
            keeps_log: Whether it stores the log on a disk.
        """
        self.directory = directory_lib.Directory()
        self.controls: dict[str, float] = {}
        self.nodes = node_tracker.NodeTracker()
        self.confirmations = tracker_lib.VersionTracker()
        self._leases = leases
        self._rounds = rounds_lib.Rounds(first=next(numbers))
        # Round of the newest heartbeat of each other control VM.
        self._echoes: dict[str, int] = {}
        self._name = name
        self._place = place
        self._seeds = seeds
        self._request_numbers = numbers
        self._keeps_log = keeps_log
        self._seats = quorum_messages.Seats()
        # Newest heartbeat of each other control VM.
        self._control_heartbeats: dict[str, records.ControlHeartbeat] = {}
        self.reported_version = 0
        self.reported_index = 0
        self._reported_evacuations = ops.EvacuationList()
        self._unacked_updates: dict[int, float] = {}
        self._digest_tracker = digest_tracker.DigestTracker()
        # Targets that announced themselves here since the last refresh.
        self._announced_targets: set[str] = set()
        self._next_heartbeat_at = 0.0
        self._next_refresh_at = 0.0

    # Targets.

    def announce(self, target: records.Target, now: float) -> StartedRequest:
        """Handle the heartbeat of a target that is ready.

        It ends in Acknowledged or Unconfirmed.
        """
        before = self.directory.get(target.target_id)
        digest = self.directory.digest
        changed = self.directory.merge(target, now)
        self._announced_targets.add(target.target_id)
        after = self.directory.get(target.target_id)
        number = next(self._request_numbers)
        if after is None or not changed:
            return StartedRequest(number, [Acknowledged(number=number)])
        was_known = before is not None and before.presence is after.presence
        acts = self._spread(
            after, digest, now, number=0 if was_known else number
        )
        if was_known or not self.peers():
            return StartedRequest(number, [*acts, Acknowledged(number=number)])
        self._unacked_updates[number] = now + const.UPDATE_ACK_TIMEOUT_SECONDS
        return StartedRequest(number, acts)

    def announce_leaving(self, target: records.Target, now: float) -> Departing:
        """Handle the heartbeat of a target that is leaving."""
        digest = self.directory.digest
        acts: Actions = []
        if self.directory.merge(target, now):
            held = self.directory.get(target.target_id) or target
            acts = self._spread(held, digest, now)
        self._announced_targets.add(target.target_id)
        return Departing(target=target, acts=acts)

    def deregister(
        self, target_id: str, now: float, born: int = 0
    ) -> Departing:
        """Remove a target."""
        digest = self.directory.digest
        held = self.directory.mark_gone(target_id, now, born)
        acts = self._spread(held, digest, now)
        if held.presence is not records.Presence.GONE:
            # A later incarnation has started.
            held = directory_lib.make_gone(target_id, born)
        return Departing(target=held, acts=acts)

    def on_departed(
        self, target: records.Target, age_s: float, now: float
    ) -> Actions:
        """Merge the committed record of a target that is leaving or gone."""
        before = self.directory.digest
        if not self.directory.merge(target, now, age_s):
            return []
        return self._notify_entries(target.target_id, before, now)

    # Inputs.

    def tick(self, log_status: LogStatus, now: float) -> Actions:
        """Run all timers."""
        self._seats = log_status.seats
        self.directory.tick(now)
        out = self._expire_unacked_updates(now)
        if self.nodes.has_changes:
            out += self.nodes.publish_changes(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + const.HEARTBEAT_SECONDS
            out += self._send_heartbeats(log_status, now)
        return out

    def receive(
        self, src: str, msg: Any, log_status: LogStatus, now: float
    ) -> Actions:
        """Handle a message from a control VM, an entry or an agent."""
        match msg:
            case records.ControlHeartbeat():
                return self._on_control_heartbeat(src, msg, log_status, now)
            case records.NodeHeartbeat():
                return self._on_node_heartbeat(src, msg, log_status, now)
            case messages.VersionHeld():
                self.nodes.on_version(src, msg)
            case records.TargetList():
                return self._on_targets(msg, now)
            case records.TargetUpdate():
                return self._on_target_update(src, msg, now)
            case records.TargetUpdateAck():
                if self._unacked_updates.pop(msg.number, None) is not None:
                    return [Acknowledged(number=msg.number)]
        return []

    def restore(self, known: records.TargetList, now: float) -> None:
        """Restore the targets known before a restart.

        Nothing tells how old the records are, so they expire soon unless a
        heartbeat confirms them.
        """
        age_s = directory_const.FORGET_SECONDS - const.RESTORED_SECONDS
        for target in known.targets:
            self.directory.merge(target, now, age_s)

    # Queries.

    def soft_state(self, now: float) -> records.TargetList:
        """Return state that may be lost but makes a restart faster."""
        return self._make_target_list(now)

    def peers(self) -> list[str]:
        """Return the names of the other control VMs."""
        names = dict.fromkeys(self._seeds)
        names.update(dict.fromkeys(self.controls))
        names.update({s.name: None for s in self._seats.seats})
        names.pop(self._name, None)
        return list(names)

    def _advertised_controls(
        self, log_status: LogStatus, now: float
    ) -> tuple[str, ...]:
        """Return the control VMs that nodes should connect to."""
        names = {self._name: None} if self._keeps_log else {}
        names.update({seat.name: None for seat in log_status.seats.seats})
        for name, heartbeat in self._control_heartbeats.items():
            if heartbeat.keeps_log and self._is_live(name, now):
                names[name] = None
        return tuple(names)

    def knows_place(self, place: str) -> bool:
        """Return whether a control VM, node or target is in a data centre."""
        return (
            place == self._place
            or any(t.place == place for t in self.directory.targets())
            or any(
                heartbeat.place == place
                for heartbeat in self._control_heartbeats.values()
            )
            or self.nodes.knows_place(place)
        )

    @property
    def has_reports(self) -> bool:
        """Whether any target, node or other control VM was heard from."""
        return bool(
            self.directory.targets()
            or self._control_heartbeats
            or self.nodes.entry_names()
        )

    def log_holders_by_place(
        self, now: float, fresh_s: float
    ) -> dict[str, str]:
        """Return one control VM with the log by other data centre.

        Args:
            now: Monotonic seconds.
            fresh_s: Maximum age of a control VM's heartbeat in seconds.
        """
        return {
            heartbeat.place: name
            for name, heartbeat in sorted(self._control_heartbeats.items())
            if heartbeat.keeps_log
            and heartbeat.place != self._place
            and now - self.controls[name] < fresh_s
        }

    def may_keep_log(self, name: str) -> bool:
        """Return whether a control VM may have a disk, as far as known."""
        if name == self._name:
            return self._keeps_log
        heartbeat = self._control_heartbeats.get(name)
        return heartbeat is None or heartbeat.keeps_log

    def count_log_keepers(self, now: float) -> int:
        """Return how many live control VMs have a disk, this one included."""
        others = sum(
            heartbeat.keeps_log and self._is_live(name, now)
            for name, heartbeat in self._control_heartbeats.items()
        )
        return others + self._keeps_log

    def control_places(self) -> dict[str, str]:
        """Return the data centre by name of each known control VM."""
        places = {n: beat.place for n, beat in self._control_heartbeats.items()}
        return places | {self._name: self._place}

    def _is_live(self, name: str, now: float) -> bool:
        return now - self.controls[name] < const.CONTROL_SILENT_SECONDS

    def reported_leader(self, now: float) -> Leader:
        """Return the leader with the highest term in live heartbeats."""
        leaders = [
            Leader(heartbeat.leader, heartbeat.term)
            for name, heartbeat in self._control_heartbeats.items()
            if heartbeat.leader and self._is_live(name, now)
        ]
        return max(
            leaders, key=lambda leader: leader.term, default=Leader("", 0)
        )

    # Other control VMs and nodes.

    def _send_heartbeats(self, log_status: LogStatus, now: float) -> Actions:
        self.nodes.remove_silent(now)
        out = self.nodes.publish_changes(now)
        peers = self.peers()
        heartbeat = self._make_heartbeat(log_status, now)._replace(
            round=self._rounds.start(now)
        )
        for name in peers:
            echo = self._echoes.get(name, 0)
            if echo:
                # The receiver dates it by its own heartbeat that is echoed.
                self._record_lease(heartbeat, name, self.controls[name])
            out.append(core.Send(dst=name, msg=heartbeat._replace(echo=echo)))
        if now >= self._next_refresh_at:
            self._next_refresh_at = now + const.REFRESH_SECONDS
            out += self._send_refresh(peers, now)
        return out

    def _send_refresh(self, peers: list[str], now: float) -> Actions:
        """Send the ages of target records, though nothing has changed.

        Other control VMs get the targets announced here. An entry gets all
        targets from a control VM of its own data centre, if there is one, to
        save traffic between data centres.
        """
        announced = self._announced_targets
        self._announced_targets = set()
        recent = self._make_target_list(now, announced)
        out: Actions = []
        if recent.targets:
            out += [core.Send(dst=name, msg=recent) for name in peers]
        all_targets = self._make_target_list(now)
        out += [
            core.Send(dst=name, msg=all_targets)
            for name in self.entries_to_refresh(now)
        ]
        return out

    def entries_to_refresh(self, now: float) -> list[str]:
        """Return the entries that this control VM refreshes.

        These are the entries of its own data centre and of data centres
        without a live control VM.
        """
        covered = {
            heartbeat.place
            for name, heartbeat in self._control_heartbeats.items()
            if heartbeat.keeps_log and self._is_live(name, now)
        }
        covered.discard(self._place)
        return [
            name
            for name in self.nodes.entry_names()
            if self.nodes.get_place(name) not in covered
        ]

    def _make_heartbeat(
        self, log_status: LogStatus, now: float
    ) -> records.ControlHeartbeat:
        controls = self._advertised_controls(log_status, now)
        if log_status.certain:
            self.confirmations.confirm(
                tracker_lib.Confirmation(
                    version=log_status.version,
                    as_of=now,
                    source=self._name,
                    evacuations=log_status.evacuations.revision,
                ),
                now,
            )
        evacuations = max(log_status.evacuations, self._reported_evacuations)
        confirmed = self.confirmations.latest
        age_s = now - confirmed.as_of
        if not log_status.certain and not self._may_pass_on(confirmed, now):
            age_s = -1.0
        return records.ControlHeartbeat(
            place=self._place,
            version=log_status.version,
            keeps_log=self._keeps_log,
            digest=self.directory.digest,
            controls=controls,
            controls_digest=hashing.checksum(codec.pack(controls)) >> 1,
            nodes_digest=self.nodes.digest,
            leader=log_status.leader,
            term=log_status.term,
            evacuations_revision=evacuations.revision,
            evacuated=evacuations.places,
            confirmed_version=confirmed.version,
            confirmed_evacuations=confirmed.evacuations,
            confirmed_age_s=age_s,
            voters=sum(seat.voting for seat in log_status.seats.seats),
        )

    def _may_pass_on(
        self, confirmed: tracker_lib.Confirmation, now: float
    ) -> bool:
        """Return whether to pass on a confirmation of the leader."""
        if now - confirmed.as_of >= confirmation_const.VALID_SECONDS:
            return False
        is_newest = confirmed.version >= self.confirmations.newest_known
        return is_newest and self._leases.may_pass_on(now)

    def _record_lease(
        self,
        heartbeat: records.ControlHeartbeat,
        name: str,
        asked_at: float,
        incarnation: int = 0,
    ) -> None:
        """Record who gets the confirmation in a heartbeat, if there is one."""
        if heartbeat.confirmed_age_s >= 0:
            self._leases.give(lease_book.Holder(name, incarnation), asked_at)

    def _on_control_heartbeat(
        self,
        src: str,
        msg: records.ControlHeartbeat,
        log_status: LogStatus,
        now: float,
    ) -> Actions:
        self.reported_version = max(self.reported_version, msg.version)
        self.reported_index = max(self.reported_index, msg.evacuations_revision)
        if not self._keeps_log:
            # It has no list of its own to pass on to entries.
            self._reported_evacuations = max(
                self._reported_evacuations,
                ops.EvacuationList(msg.evacuations_revision, msg.evacuated),
            )
        is_new = src not in self._control_heartbeats
        self.controls[src] = now
        self._control_heartbeats[src] = msg
        self._echoes[src] = msg.round
        confirmation = self._rounds.date_confirmation(src, msg)
        if confirmation is not None:
            self.confirmations.confirm(confirmation, now)
        for name in msg.controls:
            self.controls.setdefault(name, float("-inf"))
        out: Actions = []
        if is_new:
            # Introduce this control VM at once, not with the next heartbeat.
            heartbeat = self._make_heartbeat(log_status, now)._replace(
                echo=msg.round, round=self._rounds.start(now)
            )
            self._record_lease(heartbeat, src, now)
            out.append(core.Send(dst=src, msg=heartbeat))
        self._digest_tracker.set_current(self.directory.digest, now)
        if self._digest_tracker.needs_full_list(src, msg.digest, now):
            out.append(core.Send(dst=src, msg=self._make_target_list(now)))
        return out

    def _on_node_heartbeat(
        self,
        src: str,
        msg: records.NodeHeartbeat,
        log_status: LogStatus,
        now: float,
    ) -> Actions:
        self.reported_version = max(self.reported_version, msg.version)
        if not self.nodes.on_heartbeat(src, msg, now):
            return []
        heartbeat = self._make_heartbeat(log_status, now)._replace(
            echo=msg.round
        )
        if msg.node.kind == directory_const.KIND_ENTRY:
            self._record_lease(heartbeat, src, now, msg.node.incarnation)
        if msg.controls_digest == heartbeat.controls_digest:
            # Leave out names that the node has, a third of the message.
            heartbeat = heartbeat._replace(controls=())
        out: Actions = [core.Send(dst=src, msg=heartbeat)]
        if msg.node.kind != directory_const.KIND_ENTRY:
            return out
        self._digest_tracker.set_current(self.directory.digest, now)
        if self._digest_tracker.needs_full_list(src, msg.digest, now):
            out.append(core.Send(dst=src, msg=self._make_target_list(now)))
        if msg.node.open:
            out += self.nodes.resend_list(src, msg.nodes_digest, now)
        return out

    def _make_target_list(
        self, now: float, only: set[str] | None = None
    ) -> records.TargetList:
        """Return all target records, or those with the IDs in ``only``."""
        rows = [
            (target, round(age, 1))
            for target, age in zip(
                self.directory.targets(), self.directory.ages(now), strict=True
            )
            if only is None or target.target_id in only
        ]
        return records.TargetList(
            digest=self.directory.digest if only is None else 0,
            targets=tuple(target for target, _ in rows),
            ages=tuple(age for _, age in rows),
        )

    def _on_targets(self, msg: records.TargetList, now: float) -> Actions:
        out: Actions = []
        for target, age in zip(msg.targets, msg.ages, strict=False):
            before = self.directory.digest
            if self.directory.merge(target, now, age):
                out += self._notify_entries(target.target_id, before, now)
        return out

    def _on_target_update(
        self, src: str, msg: records.TargetUpdate, now: float
    ) -> Actions:
        out: Actions = []
        before = self.directory.digest
        if self.directory.merge(msg.target, now):
            out += self._notify_entries(msg.target.target_id, before, now)
        if msg.number:
            ack = records.TargetUpdateAck(number=msg.number)
            out.append(core.Send(dst=src, msg=ack))
        return out

    def _notify_entries(
        self, target_id: str, before: int, now: float
    ) -> Actions:
        """Send the entries the changed record of a target.

        Args:
            target_id: ID of the target.
            before: Digest of all records before the change.
            now: Monotonic seconds.
        """
        target = self.directory.get(target_id)
        if target is None:
            return []
        after = self.directory.digest
        self._digest_tracker.set_current(after, now)
        update = records.TargetUpdate(target=target, before=before, after=after)
        return [
            core.Send(dst=name, msg=update) for name in self.nodes.entry_names()
        ]

    def _spread(
        self,
        target: records.Target,
        before: int,
        now: float,
        number: int = 0,
    ) -> Actions:
        """Send a changed record to the entries and the other control VMs.

        Args:
            target: The record.
            before: Digest of all records before the change.
            now: Monotonic seconds.
            number: Number for the other control VMs to acknowledge, 0 for none.
        """
        out = self._notify_entries(target.target_id, before, now)
        update = records.TargetUpdate(target=target, number=number)
        out += [core.Send(dst=name, msg=update) for name in self.peers()]
        return out

    def _expire_unacked_updates(self, now: float) -> Actions:
        expired = [
            n for n, until in self._unacked_updates.items() if now >= until
        ]
        for number in expired:
            del self._unacked_updates[number]
        return [Unconfirmed(number=number) for number in expired]
