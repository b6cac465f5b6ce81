"""Sans-I/O discovery of configuration, targets, entries and the leader."""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import messages
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.confirmation import majority as majority_lib
from jasperweir.components.confirmation import messages as confirmation_messages
from jasperweir.components.confirmation import rounds as rounds_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records
from jasperweir.components.discovery import commit_times as commit_times_lib
from jasperweir.components.discovery import peer_exchange
from jasperweir.components.discovery import version_basis
from jasperweir.components.quorum import progress
from jasperweir.components.registry import ops

Actions = list[Any]

# Delay before a version that only another data centre has announced is
# fetched from there, since traffic between data centres costs money.
REMOTE_PULL_DELAY_SECONDS = 0.25
# Interval at which an unanswered request for content is repeated.
PULL_RETRY_SECONDS = 0.4
# Interval at which missing content is checked for a source to ask.
PULL_CHECK_SECONDS = 0.1
# A heartbeat is sent on a tick that comes this much too early.
_TICK_TOLERANCE_SECONDS = 0.005
# Heartbeat interval to a control VM that does not answer, whatever the usual
# interval: a leader must know all agents before it can plan.
UNREACHABLE_HEARTBEAT_SECONDS = 0.25
# Heartbeat interval to control VMs of other data centres. It is a multiple of
# the interval within the data centre, so that both are sent on one tick; a
# late heartbeat still arrives before the node counts as silent.
REMOTE_HEARTBEAT_SECONDS = 2 * directory_const.NODE_HEARTBEAT_SECONDS
# Silence after which a control VM counts as unreachable.
CONTROL_TIMEOUT_SECONDS = 1.5
# Time since the last heartbeat that the leader answered within which it is
# taken to count this node.
LEADER_TIMEOUT_SECONDS = 1.0
_EXPIRED = (tracker_lib.Standing.AWAITING, tracker_lib.Standing.OUTDATED)
# Bits by which a random incarnation is shifted to number rounds.
_ROUND_BITS = 20


class ApplyConfiguration(NamedTuple):
    """Action: put a higher configuration version into force."""

    version: int
    data: bytes


class ApplyEvacuations(NamedTuple):
    """Action: send nothing more to the targets of evacuated data centres."""

    evacuations: ops.EvacuationList


@dataclasses.dataclass(kw_only=True, slots=True)
class Control:
    """State of one control VM as this node sees it.

    Attributes:
        heartbeat: Last heartbeat of the control VM, or None before the first.
        heard_at: Time of its last message, monotonic seconds.
        announced: Highest version that it has announced.
        led_at: When it received the newest heartbeat that it answered as the
            leader, at the earliest; monotonic seconds.
        heartbeat_sent_at: Time of the last heartbeat sent to it.
        targets_digest: Digest of its target list as received here.
        nodes_digest: Digest of its list of entries as received here.
        controls_digest: Digest of its list of control VMs as received here.
        nodes: Open entries that it has listed, by name.
    """

    heartbeat: records.ControlHeartbeat | None = None
    heard_at: float = float("-inf")
    announced: int = 0
    led_at: float = float("-inf")
    heartbeat_sent_at: float = float("-inf")
    targets_digest: int = 0
    nodes_digest: int = 0
    controls_digest: int = 0
    nodes: dict[str, records.Node] = dataclasses.field(default_factory=dict)

    @property
    def keeps_log(self) -> bool:
        """Whether it stores the log; assumed until its first heartbeat."""
        return self.heartbeat is None or self.heartbeat.keeps_log


class DiscoveryClient:
    """Discovery client of an entry or agent.

    It sends heartbeats to the control VMs and receives configuration versions
    and changes of targets, entries and the leader from them.

    Attributes:
        node: Own record, as announced to the control VMs.
        directory: Known targets.
        confirmations: What is known of the newest configuration version.
        evacuations: Evacuated data centres, as last announced.
        commit_times: When versions were committed.
    """

    def __init__(
        self,
        *,
        node: records.Node,
        seeds: tuple[str, ...],
        now: float,
        heartbeat_s: float = directory_const.NODE_HEARTBEAT_SECONDS,
        wants_content: bool = True,
        is_receiving: Callable[[], bool] = lambda: False,
        is_connected: Callable[[str], bool] = lambda name: False,
    ) -> None:
        """Initialize with the seeds as the only known control VMs.

        Args:
            node: Own record.
            seeds: Control VMs.
            now: Monotonic seconds.
            heartbeat_s: Interval of heartbeats, seconds.
            wants_content: Whether configurations are put into force here.
            is_receiving: Returns whether the content of a version is arriving.
            is_connected: Returns whether a connection to the control VM of a
                name is established.
        """
        self.node = node
        self._is_receiving = is_receiving
        self._is_connected = is_connected
        self.directory = directory_lib.Directory()
        self.confirmations = tracker_lib.VersionTracker(
            is_cut_off=self._is_cut_off,
            hears_majority=lambda now: self._peer_exchange.peers.hears_majority(
                now
            ),
        )
        self.evacuations = ops.EvacuationList()
        self.commit_times = commit_times_lib.CommitTimes()
        # When content was last requested, by control VM.
        self._pulled_at: dict[str, float] = {}
        self._controls = {seed: Control() for seed in seeds}
        self._seed_count = len(seeds)
        self._wants_content = wants_content
        self._heartbeat_s = heartbeat_s
        self._rounds = rounds_lib.Rounds(first=node.incarnation << _ROUND_BITS)
        self._peer_exchange = peer_exchange.PeerExchange(
            node=node,
            confirmations=self.confirmations,
            rounds=self._rounds,
            now=now,
        )
        self._majority_reader = majority_lib.MajorityReader()
        self._newest_announced_at = 0.0
        self._last_pull_at = float("-inf")
        self._pull_count = 0
        self._open_entries: tuple[records.Node, ...] = ()

    # State.

    @property
    def version(self) -> int:
        """Configuration version in force, 0 before the first."""
        return self.confirmations.held

    def is_ready(self, now: float) -> bool:
        """Return whether callers' requests can be decided here."""
        standing = self.confirmations.standing(now)
        is_known = standing is not tracker_lib.Standing.UNKNOWN
        return is_known and not standing.is_refusing

    def describe_version(self, now: float) -> version_basis.VersionBasis:
        """Return what is known of the version in force, for logs."""
        return version_basis.VersionBasis(
            version=self.version,
            newest=self.confirmations.newest_known,
            standing=self.confirmations.standing(now),
            confirmed_by=self.confirmations.source,
            confirmed_age_s=self.confirmations.age_s(now),
        )

    @property
    def control_names(self) -> list[str]:
        """Names of all known control VMs."""
        return list(self._controls)

    @property
    def announced_versions(self) -> dict[str, int]:
        """Highest version that each control VM has announced, by its name."""
        return {n: c.announced for n, c in self._controls.items()}

    def describe_contacts(
        self, now: float
    ) -> tuple[version_basis.ControlContact, ...]:
        """Return what was last heard from each control VM with the log."""
        return tuple(
            version_basis.ControlContact(
                name=name,
                silent_s=now - control.heard_at,
                version=control.announced,
                is_connected=self._is_connected(name),
            )
            for name, control in sorted(self._controls.items())
            if control.keeps_log
        )

    def count_peers(self, now: float) -> version_basis.PeerCount:
        """Return how many VMs of the site are heard and known."""
        return version_basis.PeerCount(*self._peer_exchange.peers.count(now))

    def hears_leader(self, now: float) -> bool:
        """Return whether the leader of the log answered recently."""
        return any(
            now - control.led_at < LEADER_TIMEOUT_SECONDS
            for control in self._controls.values()
        )

    def open_entries(self, now: float) -> tuple[records.Node, ...]:
        """Return the open entries that any reachable control VM lists.

        While no control VM is reachable, the last list stays in use.
        """
        reachable = self._reachable_controls(now)
        if reachable:
            entries: dict[str, records.Node] = {}
            for control in reachable:
                entries.update(control.nodes)
            entries.pop(self.node.name, None)
            if self.node.open:
                entries[self.node.name] = self.node
            self._open_entries = tuple(entries.values())
        return self._open_entries

    def reachable_controls(self, now: float) -> list[str]:
        """Return the reachable control VMs that get heartbeats."""
        return [
            name
            for name, control in self._heartbeat_controls(now)
            if now - control.heard_at < CONTROL_TIMEOUT_SECONDS
        ]

    def leader(self, now: float) -> tuple[str, int]:
        """Return the leader of the highest known term, and that term."""
        best = ("", 0)
        for control in self._reachable_controls(now):
            heartbeat = control.heartbeat
            if (
                heartbeat is not None
                and heartbeat.leader
                and heartbeat.term > best[1]
            ):
                best = (heartbeat.leader, heartbeat.term)
        return best

    # Inputs.

    def set_open(self, *, is_open: bool, now: float) -> Actions:
        """Open or close this node for callers and announce the change."""
        if is_open == self.node.open:
            return []
        self.node = self.node._replace(
            open=is_open, sequence=self.node.sequence + 1
        )
        return [
            self._build_heartbeat(name, control, now)
            for name, control in self._heartbeat_controls(now)
        ]

    def announce_target_gone(
        self, target: records.Target, now: float
    ) -> Actions:
        """Mark an incarnation as gone from its address and announce it."""
        held = self.directory.mark_gone(target.target_id, now, target.born)
        if held.presence is not records.Presence.GONE:
            # A later incarnation has started at the address.
            return []
        return self._send_to_controls(records.TargetUpdate(target=held), now)

    def announce_target_leaving(
        self, target: records.Target, now: float
    ) -> Actions:
        """Mark a target as leaving, as its answers state, and announce it."""
        leaving = target._replace(presence=records.Presence.LEAVING)
        if not self.directory.merge(leaving, now):
            return []
        return self._send_to_controls(records.TargetUpdate(target=leaving), now)

    def _send_to_controls(
        self, news: records.TargetUpdate, now: float
    ) -> Actions:
        return [
            core.Send(dst=name, msg=news)
            for name, _ in self._heartbeat_controls(now)
        ]

    def tick(self, now: float) -> Actions:
        """Run periodic work: expiry, content requests and heartbeats."""
        self.directory.tick(now)
        out = self._pull(now)
        self._update_peers(now)
        if self._wants_content:
            out += self._peer_exchange.ask(now)
        is_asking = self._wants_content and self.confirmations.should_ask(now)
        is_reading = self._wants_content and self.confirmations.should_read(now)
        for name, control in self._heartbeat_controls(now):
            interval_s = (
                confirmation_const.ASK_INTERVAL_SECONDS
                if is_asking
                else self._heartbeat_interval_s(name, control, now)
            )
            if (
                now
                >= control.heartbeat_sent_at
                + interval_s
                - _TICK_TOLERANCE_SECONDS
            ):
                out.append(self._build_heartbeat(name, control, now))
                if is_reading and control.keeps_log:
                    query = confirmation_messages.LogQuery(
                        round=self._rounds.start(now)
                    )
                    out.append(core.Send(dst=name, msg=query))
        return out

    def next_tick(self, now: float) -> float:
        """Return when ``tick`` is due next, in monotonic seconds."""
        if self._wants_content and self.confirmations.should_ask(now):
            return now + confirmation_const.ASK_INTERVAL_SECONDS
        due = [
            control.heartbeat_sent_at
            + self._heartbeat_interval_s(name, control, now)
            for name, control in self._heartbeat_controls(now)
        ]
        if self._controls_ahead():
            due.append(now + PULL_CHECK_SECONDS)
        if self._wants_content:
            due.append(self._peer_exchange.next_ask_at(now))
        return min(due, default=now + UNREACHABLE_HEARTBEAT_SECONDS)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from a control VM or another entry."""
        match msg:
            case records.ControlHeartbeat():
                return self._on_heartbeat(src, msg, now)
            case records.TargetList():
                return self._on_targets(src, msg, now)
            case records.TargetUpdate():
                self.directory.merge(msg.target, now)
                control = self._mark_heard(src, now)
                if msg.before and control.targets_digest == msg.before:
                    control.targets_digest = msg.after
            case records.NodeList():
                control = self._mark_heard(src, now)
                control.nodes = {node.name: node for node in msg.nodes}
                control.nodes_digest = msg.digest
            case records.NodeListUpdate():
                self._on_node_changes(self._mark_heard(src, now), msg)
            case confirmation_messages.LogState():
                self._on_log_state(src, msg, now)
            case confirmation_messages.PeerQuery():
                return [self._peer_exchange.answer(src, msg, now)]
            case confirmation_messages.PeerState():
                self._peer_exchange.receive(src, msg, now)
            case messages.VersionNotice():
                self._record_announced_version(src, msg.version, now)
                self._mark_heard(src, now)
                return self._pull(now)
            case messages.EvacuationNotice():
                return self._apply_evacuations(msg.revision, msg.places, now)
            case messages.VersionAges():
                self.commit_times.note_ages(
                    msg, asked_at=self._pulled_at.get(src, now), now=now
                )
            case messages.Content():
                # The request is answered; the next one need not wait.
                self._last_pull_at = float("-inf")
                if msg.version > self.version:
                    return [
                        ApplyConfiguration(version=msg.version, data=msg.data)
                    ]
        return []

    def on_applied(self, version: int, now: float, content: int = 0) -> Actions:
        """Record that a configuration was put into force, and report it.

        Args:
            version: Its version.
            now: Monotonic seconds.
            content: Checksum of its compressed content, 0 if not stated.
        """
        self.confirmations.hold(version, now)
        held = messages.VersionHeld(
            incarnation=self.node.incarnation,
            version=self.version,
            content=content,
            lent=self._peer_exchange.list_lent(now),
        )
        return [
            core.Send(dst=name, msg=held)
            for name, _ in self._heartbeat_controls(now)
        ]

    def on_clock_step(self) -> None:
        """Void all confirmations, and what was asked for."""
        self.confirmations.void()
        self._rounds.void()
        self._peer_exchange.peers.void_answers()
        self._majority_reader = majority_lib.MajorityReader()

    def _mark_heard(self, src: str, now: float) -> Control:
        control = self._controls.setdefault(src, Control())
        control.heard_at = now
        return control

    def _reachable_controls(self, now: float) -> list[Control]:
        return [
            control
            for control in self._controls.values()
            if control.heartbeat is not None
            and now - control.heard_at < CONTROL_TIMEOUT_SECONDS
        ]

    def _heartbeat_controls(self, now: float) -> list[tuple[str, Control]]:
        """Return the control VMs that get heartbeats: those with the log.

        While none of these answers, all known control VMs get heartbeats,
        since any of them can name the others and pass on confirmations.
        """
        known = list(self._controls.items())
        log_controls = [item for item in known if item[1].keeps_log]
        if any(
            control.heartbeat is not None
            and now - control.heard_at < CONTROL_TIMEOUT_SECONDS
            for _, control in log_controls
        ):
            return log_controls
        return known

    def _heartbeat_interval_s(
        self, name: str, control: Control, now: float
    ) -> float:
        """Return the heartbeat interval to a control VM, in seconds.

        Agents send at half the rate to control VMs that do not lead; these
        must know all agents only in case they become leader.
        """
        if now - control.heard_at >= CONTROL_TIMEOUT_SECONDS:
            return UNREACHABLE_HEARTBEAT_SECONDS
        if not self._wants_content:
            is_leader = name == self.leader(now)[0]
            return self._heartbeat_s if is_leader else 2 * self._heartbeat_s
        if self._is_local(control):
            return self._heartbeat_s
        return max(self._heartbeat_s, REMOTE_HEARTBEAT_SECONDS)

    def _build_heartbeat(
        self, name: str, control: Control, now: float
    ) -> core.Send:
        control.heartbeat_sent_at = now
        self.confirmations.note_asked(now)
        heartbeat = records.NodeHeartbeat(
            node=self.node,
            version=self.version,
            digest=control.targets_digest,
            nodes_digest=control.nodes_digest,
            controls_digest=control.controls_digest,
            round=self._rounds.start(now),
            lent=self._peer_exchange.list_lent(now),
        )
        return core.Send(dst=name, msg=heartbeat)

    def _on_node_changes(
        self, control: Control, msg: records.NodeListUpdate
    ) -> None:
        if control.nodes_digest != msg.before:
            # A change was lost; the digest in the next heartbeat reveals it.
            return
        control.nodes_digest = msg.after
        for node in msg.nodes:
            if node.open:
                control.nodes[node.name] = node
            else:
                control.nodes.pop(node.name, None)

    def _on_heartbeat(
        self, src: str, msg: records.ControlHeartbeat, now: float
    ) -> Actions:
        control = self._mark_heard(src, now)
        control.heartbeat = msg
        if msg.controls:
            control.controls_digest = msg.controls_digest
        unknown = [name for name in msg.controls if name not in self._controls]
        for name in unknown:
            self._controls[name] = Control()
        self._record_announced_version(src, msg.version, now)
        out = self._apply_evacuations(
            msg.evacuations_revision, msg.evacuated, now
        )
        self._use_confirmation(src, control, msg, now)
        self._update_peers(now)
        out += self._pull(now)
        if unknown and self._wants_content and not self.is_ready(now):
            # One of them may be the leader.
            out += [
                self._build_heartbeat(name, self._controls[name], now)
                for name in unknown
            ]
        return out

    def _use_confirmation(
        self,
        src: str,
        control: Control,
        msg: records.ControlHeartbeat,
        now: float,
    ) -> None:
        """Use the confirmation in an answer to a heartbeat."""
        sent_at = self._rounds.find_start(msg.echo)
        if sent_at is not None:
            self._peer_exchange.peers.note_answer(src, sent_at)
        confirmation = self._rounds.date_confirmation(src, msg)
        if confirmation is None:
            return
        if src == msg.leader and not msg.confirmed_age_s:
            control.led_at = max(control.led_at, confirmation.as_of)
        self.confirmations.confirm(confirmation, now)

    def _on_log_state(
        self, src: str, msg: confirmation_messages.LogState, now: float
    ) -> None:
        """Use the answer of a voter with those of the others."""
        self._mark_heard(src, now)
        sent_at = self._rounds.find_start(msg.echo)
        if sent_at is None:
            return
        self._majority_reader.note(src, msg, sent_at)
        reading = self._majority_reader.read(
            version=self.version,
            evacuations=self.evacuations.revision,
            now=now,
        )
        if reading is not None:
            self.confirmations.use_reading(reading, now)

    def _update_peers(self, now: float) -> None:
        """Update which VMs of the site are known."""
        if self._wants_content and self._peer_exchange.is_update_due(now):
            heard = [
                (name, control.heard_at)
                for name, control in self._controls.items()
                if control.heartbeat is not None
            ]
            self._peer_exchange.update(heard, self.open_entries(now), now)

    def _apply_evacuations(
        self, revision: int, places: tuple[str, ...], now: float
    ) -> Actions:
        """Apply a list of evacuated data centres unless it is outdated."""
        if not self._wants_content or revision <= self.evacuations.revision:
            return []
        self.evacuations = ops.EvacuationList(revision, places)
        self.confirmations.hold_evacuations(revision, now)
        return [ApplyEvacuations(evacuations=self.evacuations)]

    def _on_targets(
        self, src: str, msg: records.TargetList, now: float
    ) -> Actions:
        if msg.digest:
            self._mark_heard(src, now).targets_digest = msg.digest
        out: Actions = []
        for target, age in zip(msg.targets, msg.ages, strict=False):
            self.directory.merge(target, now, age)
            held = self.directory.get(target.target_id)
            if held is None or held.presence <= target.presence:
                continue
            order = incarnation.compare_starts(target.born, held.born)
            if order is incarnation.StartOrder.SAME:
                # The control VM has lost the record that the target leaves.
                out.append(
                    core.Send(dst=src, msg=records.TargetUpdate(target=held))
                )
        return out

    def _record_announced_version(
        self, src: str, version: int, now: float
    ) -> None:
        if version > self.confirmations.newest_known:
            self._newest_announced_at = now
        self.confirmations.note_announced(version, now)
        control = self._controls.setdefault(src, Control())
        control.announced = max(control.announced, version)

    def _pull(self, now: float) -> Actions:
        if not self._wants_content:
            return []
        ahead = self._controls_ahead()
        if ahead and self._is_receiving():
            self._last_pull_at = now
            return []
        if not ahead or now - self._last_pull_at < PULL_RETRY_SECONDS:
            return []
        reachable = [
            name
            for name in ahead
            if now - self._controls[name].heard_at < CONTROL_TIMEOUT_SECONDS
        ]
        ahead = reachable or ahead
        local = [name for name in ahead if self._is_local(self._controls[name])]
        remote_allowed = (
            # A process that serves and may no longer act on its version.
            self.confirmations.standing(now) in _EXPIRED
            or now - self._newest_announced_at >= REMOTE_PULL_DELAY_SECONDS
        )
        if not local and not remote_allowed:
            return []
        # Rotate sources, so that one that does not answer is skipped next.
        sources = ahead if remote_allowed or not local else local
        source = sources[self._pull_count % len(sources)]
        self._pull_count += 1
        self._last_pull_at = now
        self._pulled_at[source] = now
        pull = messages.ContentRequest(held=self.version)
        return [core.Send(dst=source, msg=pull)]

    def _controls_ahead(self) -> list[str]:
        """Return the control VMs that announced a higher version."""
        if not self._wants_content:
            return []
        return [
            name
            for name, control in self._controls.items()
            if control.announced > self.version
        ]

    def _is_cut_off(self, now: float) -> bool:
        """Return whether less than a majority of the voters can be reached.

        A voter that is connected and does not answer in time is slow, and a
        majority may have a newer version. Any control VM with the log counts,
        since voters may have been replaced since they were last heard of.
        """
        keepers = {n: c for n, c in self._controls.items() if c.keeps_log}
        connected = list(filter(self._is_connected, keepers))
        if not all(
            self._majority_reader.has_answered(name, now) for name in connected
        ):
            return False
        heartbeats = [c.heartbeat for c in keepers.values() if c.heartbeat]
        _, voters = max(
            ((h.term, h.voters) for h in heartbeats if h.voters),
            default=(0, len(keepers)),
        )
        return len(connected) < progress.majority_size(voters)

    def _is_local(self, control: Control) -> bool:
        heartbeat = control.heartbeat
        return heartbeat is not None and heartbeat.place == self.node.place
