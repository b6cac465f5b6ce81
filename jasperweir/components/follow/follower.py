"""Follow configuration, targets, entries and the leader; sans-I/O."""

import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import messages
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import incarnation
from jasperweir.components.directory import records

Actions = list[Any]

# A version that only another data centre has announced is fetched from there
# after this long: bytes between data centres are priced, a quarter of a
# second is well within the time in which a change must be in force.
FAR_PULL_SECONDS = 0.25
# A request for content is sent again after this long.
PULL_SECONDS = 0.4
# While content is missing, what to ask for is looked at this often.
PULL_TICK_SECONDS = 0.1
# A tick that comes this much too early still counts.
_EARLY_SECONDS = 0.005
# A process without a configuration beats this often.
EAGER_SECONDS = 0.1
# A control VM that has not answered yet gets a beat this often, whatever the
# usual interval: a leader must know all agents before it can plan.
UNHEARD_BEAT_SECONDS = 0.25
# Control VMs of other data centres get a beat this often: one that is late
# still comes before a node counts as silent, and every other beat within the
# data centre goes out with one, in one wake.
FAR_BEAT_SECONDS = 2 * directory_const.NODE_BEAT_SECONDS
# A control VM that has been silent this long is not counted as heard.
CONTROL_FRESH_SECONDS = 1.5
# The leader's word on the newest version holds this long: a version that is
# committed after it reaches this node within that time as well.
CERTAIN_SECONDS = 1.0
# A process that hears no second control VM is ready after this long.
LONE_READY_SECONDS = 1.0


class NewContent(NamedTuple):
    """Action: a higher configuration version is to be put into force."""

    version: int
    data: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class Control:
    """What is known of one control VM."""

    beat: records.ControlBeat | None = None
    heard_at: float = float("-inf")
    told_at: float = float("-inf")
    targets_digest: int = 0
    nodes_digest: int = 0
    controls_digest: int = 0
    nodes: dict[str, records.Node] = dataclasses.field(default_factory=dict)

    @property
    def keeps_log(self) -> bool:
        """Whether nodes talk to it; so it is taken until it says otherwise."""
        return self.beat is None or self.beat.keeps_log


class Follower:
    """Membership half of an entry or agent.

    Attributes:
        node: Own record, as it is announced.
        directory: Targets.
        version: Configuration version in force, 0 before the first.
    """

    def __init__(
        self,
        *,
        node: records.Node,
        seeds: tuple[str, ...],
        now: float,
        beat_s: float = directory_const.NODE_BEAT_SECONDS,
        wants_content: bool = True,
    ) -> None:
        self.node = node
        self.directory = directory_lib.Directory()
        self.version = 0
        self._controls = {seed: Control() for seed in seeds}
        self._seeds = len(seeds)
        self._wants_content = wants_content
        self._beat_s = beat_s
        self._announced: dict[str, int] = {}
        self._announced_at = 0.0
        self._pulled_at = float("-inf")
        self._pulls = 0
        self._started_at = now
        self._confirmed = False
        self._nodes: tuple[records.Node, ...] = ()

    # Queries.

    def ready(self, now: float) -> bool:
        """Tell whether the configuration in force is known to be current."""
        if self._confirmed:
            return True
        if not self.version or self.version < max(
            self._announced.values(), default=0
        ):
            return False
        heard = len(self._fresh(now))
        waited = now - self._started_at > LONE_READY_SECONDS
        enough = heard >= min(2, self._seeds)
        self._confirmed = enough or (heard > 0 and waited)
        return self._confirmed

    def certain(self, now: float) -> bool:
        """Tell whether the leader has just confirmed the version in force.

        Otherwise a route or a key that is not known here may exist.
        """
        return any(
            control.beat is not None
            and control.beat.certain
            and control.beat.version <= self.version
            and now - control.heard_at < CERTAIN_SECONDS
            for control in self._controls.values()
        )

    def open_entries(self, now: float) -> tuple[records.Node, ...]:
        """Return the entries that callers may use, by all control VMs.

        While no control VM is heard, the last list stays in use.
        """
        fresh = self._fresh(now)
        if fresh:
            found: dict[str, records.Node] = {}
            for control in fresh:
                found.update(control.nodes)
            found.pop(self.node.name, None)
            if self.node.open:
                found[self.node.name] = self.node
            self._nodes = tuple(found.values())
        return self._nodes

    def heard_controls(self, now: float) -> list[str]:
        """Return the control VMs that this node talks to and hears."""
        return [
            name
            for name, control in self._partners(now)
            if now - control.heard_at < CONTROL_FRESH_SECONDS
        ]

    def leader(self, now: float) -> tuple[str, int]:
        """Return the newest leader heard of, and its term."""
        best = ("", 0)
        for control in self._fresh(now):
            beat = control.beat
            if beat is not None and beat.leader and beat.term > best[1]:
                best = (beat.leader, beat.term)
        return best

    # Inputs.

    def update(self, *, is_open: bool, now: float) -> Actions:
        """Change whether callers may come here, and tell at once."""
        if is_open == self.node.open:
            return []
        self.node = self.node._replace(
            open=is_open, sequence=self.node.sequence + 1
        )
        return [
            self._beat(name, control, now)
            for name, control in self._partners(now)
        ]

    def retire(self, target: records.Target, now: float) -> Actions:
        """Note, and tell, that an incarnation has left its address."""
        gone = self.directory.leave(target.target_id, now, target.born)
        if gone.presence is not records.Presence.GONE:
            # It has started again since.
            return []
        return self._tell(records.News(target=gone), now)

    def leaves(self, target: records.Target, now: float) -> Actions:
        """Note, and tell, that a target says with its answers it leaves."""
        leaving = target._replace(presence=records.Presence.LEAVING)
        if not self.directory.merge(leaving, now):
            return []
        return self._tell(records.News(target=leaving), now)

    def _tell(self, news: records.News, now: float) -> Actions:
        return [
            core.Send(dst=name, msg=news) for name, _ in self._partners(now)
        ]

    def tick(self, now: float) -> Actions:
        """Let time pass."""
        self.directory.tick(now)
        out = self._pull(now)
        eager = self._wants_content and not self.ready(now)
        for name, control in self._partners(now):
            pause_s = (
                EAGER_SECONDS if eager else self._pause_s(name, control, now)
            )
            if now >= control.told_at + pause_s - _EARLY_SECONDS:
                out.append(self._beat(name, control, now))
        return out

    def next_tick(self, now: float) -> float:
        """Return when ``tick`` has something to do, monotonic seconds."""
        if self._wants_content and not self.ready(now):
            return now + EAGER_SECONDS
        due = [
            control.told_at + self._pause_s(name, control, now)
            for name, control in self._partners(now)
        ]
        if self._behind():
            due.append(now + PULL_TICK_SECONDS)
        return min(due, default=now + UNHEARD_BEAT_SECONDS)

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message of a control VM."""
        match msg:
            case records.ControlBeat():
                return self._on_beat(src, msg, now)
            case records.Targets():
                return self._on_targets(src, msg, now)
            case records.News():
                self.directory.merge(msg.target, now)
                control = self._control(src, now)
                if msg.before and control.targets_digest == msg.before:
                    control.targets_digest = msg.after
            case records.Nodes():
                control = self._control(src, now)
                control.nodes = {node.name: node for node in msg.nodes}
                control.nodes_digest = msg.digest
            case records.NodeNews():
                self._on_node_news(self._control(src, now), msg)
            case messages.VersionNews():
                self._announce(src, msg.version, now)
                return self._pull(now)
            case messages.Content():
                if msg.version > self.version:
                    self.version = msg.version
                    return [NewContent(version=msg.version, data=msg.data)]
        return []

    def _control(self, src: str, now: float) -> Control:
        control = self._controls.setdefault(src, Control())
        control.heard_at = now
        return control

    def _fresh(self, now: float) -> list[Control]:
        return [
            control
            for control in self._controls.values()
            if control.beat is not None
            and now - control.heard_at < CONTROL_FRESH_SECONDS
        ]

    def _partners(self, now: float) -> list[tuple[str, Control]]:
        """Return the control VMs to talk to: those that keep the log.

        Beats to the others would tell nothing more. While none that keeps it
        is heard, the others may know where they are.
        """
        known = list(self._controls.items())
        keepers = [item for item in known if item[1].keeps_log]
        if any(control.beat is not None for _, control in keepers):
            return keepers
        return known

    def _pause_s(self, name: str, control: Control, now: float) -> float:
        """Return how long a control VM may go without a beat, seconds.

        An agent is needed by the leader only; the others have to know of it
        for the case that they come to lead.
        """
        if now - control.heard_at >= CONTROL_FRESH_SECONDS:
            return UNHEARD_BEAT_SECONDS
        if not self._wants_content:
            is_leader = name == self.leader(now)[0]
            return self._beat_s if is_leader else 2 * self._beat_s
        if self._is_near(control):
            return self._beat_s
        return max(self._beat_s, FAR_BEAT_SECONDS)

    def _beat(self, name: str, control: Control, now: float) -> core.Send:
        control.told_at = now
        beat = records.NodeBeat(
            node=self.node,
            version=self.version,
            digest=control.targets_digest,
            nodes_digest=control.nodes_digest,
            controls_digest=control.controls_digest,
        )
        return core.Send(dst=name, msg=beat)

    def _on_node_news(self, control: Control, msg: records.NodeNews) -> None:
        if control.nodes_digest != msg.before:
            # One has been lost: the next beat shows it.
            return
        control.nodes_digest = msg.after
        for node in msg.nodes:
            if node.open:
                control.nodes[node.name] = node
            else:
                control.nodes.pop(node.name, None)

    def _on_beat(
        self, src: str, msg: records.ControlBeat, now: float
    ) -> Actions:
        control = self._control(src, now)
        control.beat = msg
        if msg.controls:
            control.controls_digest = msg.controls_digest
        for name in msg.controls:
            self._controls.setdefault(name, Control())
        self._announce(src, msg.version, now)
        return self._pull(now)

    def _on_targets(
        self, src: str, msg: records.Targets, now: float
    ) -> Actions:
        if msg.digest:
            self._control(src, now).targets_digest = msg.digest
        out: Actions = []
        for target, age in zip(msg.targets, msg.ages, strict=False):
            self.directory.merge(target, now, age)
            held = self.directory.get(target.target_id)
            if held is None or held.presence <= target.presence:
                continue
            told = incarnation.compare(target.born, held.born)
            if told is incarnation.Start.SAME:
                # It has forgotten that this target leaves.
                out.append(core.Send(dst=src, msg=records.News(target=held)))
        return out

    def _announce(self, src: str, version: int, now: float) -> None:
        if version > max(self._announced.values(), default=0):
            self._announced_at = now
        self._announced[src] = version

    def _pull(self, now: float) -> Actions:
        if not self._wants_content:
            return []
        behind = self._behind()
        if not behind or now - self._pulled_at < PULL_SECONDS:
            return []
        near = [
            name
            for name in behind
            if name in self._controls and self._is_near(self._controls[name])
        ]
        far_allowed = now - self._announced_at >= FAR_PULL_SECONDS
        if not near and not far_allowed:
            return []
        # A source that did not answer is not asked twice in a row.
        sources = behind if far_allowed or not near else near
        source = sources[self._pulls % len(sources)]
        self._pulls += 1
        self._pulled_at = now
        pull = messages.Pull(held=self.version)
        return [core.Send(dst=source, msg=pull)]

    def _behind(self) -> list[str]:
        """Return who has announced a higher version than is in force here."""
        if not self._wants_content:
            return []
        return [
            name
            for name, version in self._announced.items()
            if version > self.version
        ]

    def _is_near(self, control: Control) -> bool:
        beat = control.beat
        return beat is not None and beat.place == self.node.place
