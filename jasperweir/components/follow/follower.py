"""Follow configuration, targets, entries and the leader; sans-I/O."""

from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import messages
from jasperweir.components.directory import const as directory_const
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records

Actions = list[Any]

# A version that only another data centre has announced is fetched from there
# after this long: bytes between data centres are priced, a quarter of a
# second is well within the time in which a change must be in force.
FAR_PULL_SECONDS = 0.25
# A request for content is sent again after this long.
PULL_SECONDS = 0.4
# A process without a configuration beats this often.
EAGER_SECONDS = 0.1
# A control VM that has not answered yet gets a beat this often, whatever the
# usual interval: a leader must know all agents before it can plan.
UNHEARD_BEAT_SECONDS = 0.25
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
    targets_digest: int = 0
    nodes_digest: int = 0
    nodes: tuple[records.Node, ...] = ()


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
        self._beat_at = 0.0
        self._unheard_at = 0.0
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
            found = {
                node.name: node for control in fresh for node in control.nodes
            }
            found.pop(self.node.name, None)
            if self.node.open:
                found[self.node.name] = self.node
            self._nodes = tuple(found.values())
        return self._nodes

    def leader(self, now: float) -> tuple[str, int]:
        """Return the newest leader heard of, and its term."""
        best = ("", 0)
        for control in self._fresh(now):
            beat = control.beat
            if beat is not None and beat.leader and beat.term > best[1]:
                best = (beat.leader, beat.term)
        return best

    # Inputs.

    def update(self, *, is_open: bool) -> Actions:
        """Change whether callers may come here, and tell at once."""
        if is_open == self.node.open:
            return []
        self.node = self.node._replace(
            open=is_open, sequence=self.node.sequence + 1
        )
        return self._beats()

    def retire(self, target_id: str, now: float) -> Actions:
        """Note, and tell, that an incarnation has left its address."""
        gone = self.directory.leave(target_id, now)
        news = records.News(target=gone)
        return [core.Send(dst=name, msg=news) for name in self._controls]

    def tick(self, now: float) -> Actions:
        """Let time pass."""
        self.directory.tick(now)
        out = self._pull(now)
        if now >= self._beat_at:
            waits = self._wants_content and not self.ready(now)
            pause = min(self._beat_s, EAGER_SECONDS) if waits else self._beat_s
            self._beat_at = now + pause
            self._unheard_at = now + UNHEARD_BEAT_SECONDS
            out += self._beats()
        elif now >= self._unheard_at:
            self._unheard_at = now + UNHEARD_BEAT_SECONDS
            out += self._beats(self._unheard(now))
        return out

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message of a control VM."""
        match msg:
            case records.ControlBeat():
                return self._on_beat(src, msg, now)
            case records.Targets():
                return self._on_targets(src, msg, now)
            case records.News():
                self.directory.merge(msg.target, now)
            case records.Nodes():
                control = self._control(src, now)
                control.nodes = msg.nodes
                control.nodes_digest = msg.digest
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

    def _unheard(self, now: float) -> list[str]:
        """Return the control VMs that have not answered of late."""
        return [
            name
            for name, control in self._controls.items()
            if now - control.heard_at >= CONTROL_FRESH_SECONDS
        ]

    def _beats(self, names: Iterable[str] | None = None) -> Actions:
        """Return beats to some control VMs, or to all."""
        out: Actions = []
        for name in self._controls if names is None else names:
            control = self._controls[name]
            beat = records.NodeBeat(
                node=self.node,
                version=self.version,
                digest=control.targets_digest,
                nodes_digest=control.nodes_digest,
            )
            out.append(core.Send(dst=name, msg=beat))
        return out

    def _on_beat(
        self, src: str, msg: records.ControlBeat, now: float
    ) -> Actions:
        control = self._control(src, now)
        control.beat = msg
        for name in msg.controls:
            self._controls.setdefault(name, Control())
        self._announce(src, msg.version, now)
        return self._pull(now)

    def _on_targets(
        self, src: str, msg: records.Targets, now: float
    ) -> Actions:
        self._control(src, now).targets_digest = msg.digest
        out: Actions = []
        for target, age in zip(msg.targets, msg.ages, strict=False):
            self.directory.merge(target, now, age)
            held = self.directory.get(target.target_id)
            if held is not None and held.presence > target.presence:
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
        behind = [
            name
            for name, version in self._announced.items()
            if version > self.version
        ]
        if not behind or now - self._pulled_at < PULL_SECONDS:
            return []
        near = [name for name in behind if self._is_near(name)]
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

    def _is_near(self, name: str) -> bool:
        control = self._controls.get(name)
        if control is None or control.beat is None:
            return False
        return control.beat.place == self.node.place
