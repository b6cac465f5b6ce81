"""Grants windows of steps to the hosts of a group and switches its map."""

import dataclasses
import enum
from typing import Any

from jasperweir import core
from jasperweir.components.experts import const
from jasperweir.components.experts import messages

Actions = list[Any]


class Phase(enum.StrEnum):
    """Phase of the coordination of a group."""

    SEALING = "sealing"
    LOADING = "loading"
    RUNNING = "running"


@dataclasses.dataclass(kw_only=True, slots=True)
class HostState:
    """State of one host, from its answers.

    Attributes:
        sealed: Whether it has promised to ignore earlier coordinators.
        current: Map of the newest grant that it held before this term.
        last_granted: Last step of the newest grant that it holds.
        done: Last step that it has run.
        heard_at: When its last answer arrived, monotonic seconds.
        prepared: Versions of the maps whose weights it has loaded.
    """

    sealed: bool = False
    current: messages.Map | None = None
    last_granted: int = 0
    done: int = 0
    heard_at: float = float("-inf")
    prepared: set[int] = dataclasses.field(default_factory=set)


class Coordinator:
    """Sans-I/O coordinator of one group in one term.

    A window of steps is granted only when every host holds the previous one,
    so no host is more than one window ahead of another. A new map takes effect
    after the last window of the old one, without a pause since all hosts have
    loaded its weights.

    Attributes:
        group: Name of the group.
        term: Term of the coordinator.
        phase: Phase of the coordination.
        version: Map version of the newest grant.
        pending: Map that is being loaded, or None.
        switches: Number of maps that have taken effect.
        aborts: Number of maps that were aborted while loading.
    """

    def __init__(
        self,
        *,
        group: str,
        term: int,
        hosts: tuple[str, ...],
        first_map: messages.Map,
        window: int,
        now: float,
    ) -> None:
        self.group = group
        self.term = term
        self.phase = Phase.SEALING
        self.version = 0
        self.pending: messages.Map | None = None
        self.switches = 0
        self.aborts = 0
        self._hosts = {name: HostState() for name in hosts}
        self._map = first_map
        self._window = window
        self._grant: messages.Grant | None = None
        self._next_step = (term << const.STEP_BITS) + 1
        self._sent_at = float("-inf")
        self._prepare_started_at = now
        self._released_version = 0

    @property
    def map(self) -> messages.Map:
        """Current map, or the first one before any grant."""
        return self._map

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the group's hosts."""
        return tuple(self._hosts)

    @property
    def done(self) -> int:
        """Last step that every host has run."""
        return min((h.done for h in self._hosts.values()), default=0)

    def silent_hosts(self, now: float) -> list[str]:
        """Return the hosts that are considered lost."""
        return [
            name
            for name, host in self._hosts.items()
            if now - host.heard_at >= const.HOST_LOST_SECONDS
        ]

    def start_switch(self, new: messages.Map, now: float) -> Actions:
        """Start to load a map; a pending one is aborted."""
        if self.phase != Phase.RUNNING or new.version <= self.version:
            return []
        out = self._abort_switch()
        self.pending = new
        self._prepare_started_at = now
        return out + self._send_prepare(new)

    def replace_hosts(self, hosts: tuple[str, ...]) -> Actions:
        """Re-form the group with other hosts, in the same term.

        New steps follow the granted ones, since a removed host may still hold
        grants for those.
        """
        out = self._abort_switch()
        self._hosts = {name: HostState() for name in hosts}
        self._grant = None
        self.phase = Phase.SEALING
        return out

    def tick(self, now: float) -> Actions:
        """Send unanswered messages again, and grant what is due."""
        if now - self._sent_at < const.RESEND_SECONDS:
            return []
        self._sent_at = now
        match self.phase:
            case Phase.SEALING:
                seal = messages.Seal(group=self.group, term=self.term)
                waiting = [n for n, h in self._hosts.items() if not h.sealed]
                return [core.Send(dst=name, msg=seal) for name in waiting]
            case Phase.LOADING:
                return self._send_prepare(self._map)
        out = self._resend_grant(now)
        if self.pending is not None:
            if now - self._prepare_started_at >= const.PREPARE_TIMEOUT_SECONDS:
                return out + self._abort_switch()
            out += self._send_prepare(self.pending)
        return out + self._grant_if_due()

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a host's answer."""
        host = self._hosts.get(src)
        if host is None or msg.group != self.group or msg.term != self.term:
            return []
        host.heard_at = now
        match msg:
            case messages.Sealed():
                return self._on_sealed(host, msg)
            case messages.Prepared():
                return self._on_prepared(host, msg)
            case messages.Granted():
                return self._on_granted(src, host, msg)
        return []

    # Sealing: learn the grants of earlier coordinators.

    def _on_sealed(self, host: HostState, msg: messages.Sealed) -> Actions:
        if self.phase != Phase.SEALING:
            return []
        host.sealed = True
        host.current = msg.current
        host.prepared.update(msg.loaded)
        if not all(h.sealed for h in self._hosts.values()):
            return []
        self._adopt_map()
        self.phase = Phase.LOADING
        return self._send_prepare(self._map) + self._start_if_loaded()

    def _adopt_map(self) -> None:
        """Adopt the newest map that any host has run, if its shape fits."""
        held = [h.current for h in self._hosts.values() if h.current]
        newest = max(held, key=lambda m: m.version, default=None)
        if newest is not None and newest.shape == self._map.shape:
            self._map = newest

    def _send_prepare(self, new: messages.Map) -> Actions:
        msg = messages.Prepare(group=self.group, term=self.term, map=new)
        return [
            core.Send(dst=name, msg=msg)
            for name, host in self._hosts.items()
            if new.version not in host.prepared
        ]

    def _start_if_loaded(self) -> Actions:
        """Start to grant once every host has loaded the first map."""
        version = self._map.version
        if not self._all_prepared(version):
            return []
        self.phase = Phase.RUNNING
        self.version = version
        self.switches += 1
        return self._grant_window()

    # Windows.

    def _on_granted(
        self, src: str, host: HostState, msg: messages.Granted
    ) -> Actions:
        host.done = max(host.done, msg.done)
        if msg.ok:
            host.last_granted = max(host.last_granted, msg.last)
            return self._grant_if_due()
        if self._grant is not None and msg.last == self._grant.last:
            # The host has restarted and must load the map again.
            host.prepared.discard(self.version)
            host.last_granted = 0
            return [
                core.Send(
                    dst=src,
                    msg=messages.Prepare(
                        group=self.group, term=self.term, map=self._map
                    ),
                )
            ]
        return []

    def _resend_grant(self, now: float) -> Actions:
        """Send the grant again to hosts that lack it or have been silent.

        A host that restarted after its answer would otherwise wait for a grant
        and stall the group.
        """
        grant = self._grant
        if grant is None:
            return []
        return [
            core.Send(dst=name, msg=grant)
            for name, host in self._hosts.items()
            if host.last_granted < grant.last
            or now - host.heard_at >= const.GRANT_REFRESH_SECONDS
        ]

    def _grant_if_due(self) -> Actions:
        """Grant the next window once all hosts have begun the current one.

        Hosts hold at most two windows and do not wait for the network.
        """
        if self.phase != Phase.RUNNING or self._grant is None:
            return []
        held = min(h.last_granted for h in self._hosts.values())
        if held < self._grant.last:
            return []
        if self.done < self._grant.first:
            return []
        return self._send_release() + self._grant_window()

    def _grant_window(self) -> Actions:
        pending = self.pending
        if pending is not None and self._all_prepared(pending.version):
            self.version = pending.version
            self._map = pending
            self.pending = None
            self.switches += 1
        self._grant = messages.Grant(
            group=self.group,
            term=self.term,
            version=self.version,
            first=self._next_step,
            last=self._next_step + self._window - 1,
        )
        self._next_step = self._grant.last + 1
        return self._send_to_all(self._grant)

    def _send_release(self) -> Actions:
        """Release old weights once every host has run under the new map."""
        if self._grant is None or self._released_version == self.version:
            return []
        if self.done < self._grant.first:
            return []
        self._released_version = self.version
        return self._send_to_all(
            messages.Release(
                group=self.group, term=self.term, version=self.version
            )
        )

    # Maps.

    def _on_prepared(self, host: HostState, msg: messages.Prepared) -> Actions:
        if msg.ok:
            host.prepared.add(msg.version)
            if self.phase == Phase.LOADING:
                return self._start_if_loaded()
            return []
        if self.pending is not None and msg.version == self.pending.version:
            return self._abort_switch()
        return []

    def _abort_switch(self) -> Actions:
        if self.pending is None:
            return []
        version = self.pending.version
        self.pending = None
        self.aborts += 1
        for host in self._hosts.values():
            host.prepared.discard(version)
        return self._send_to_all(
            messages.Abort(group=self.group, term=self.term, version=version)
        )

    def _all_prepared(self, version: int) -> bool:
        return all(version in h.prepared for h in self._hosts.values())

    def _send_to_all(self, msg: Any) -> Actions:
        return [core.Send(dst=name, msg=msg) for name in self._hosts]
