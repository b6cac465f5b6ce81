"""Lets a host run granted steps only, each under one map."""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.experts import messages

Actions = list[Any]


class LoadWeights(NamedTuple):
    """Action: load the weights of a map on this host's ranks."""

    map: messages.Map
    coordinator: str


class AllowSteps(NamedTuple):
    """Action: let the ranks run the steps of a grant under its map."""

    grant: messages.Grant


class RevokeGrants(NamedTuple):
    """Action: revoke all grants, since the group re-forms."""


class UnloadWeights(NamedTuple):
    """Action: unload weights that only maps below a version use."""

    version: int


class StepGate:
    """Sans-I/O gate for the steps of the ranks on one host.

    A rank runs a step only under a grant. A host that misses a switch runs out
    of grants and stalls; it cannot run a later step under an old map.

    Attributes:
        term: Highest coordinator term seen.
        done: Last step that the ranks have run.
    """

    def __init__(self, *, group: str) -> None:
        self.term = 0
        self.done = 0
        self._group = group
        self._grants: list[messages.Grant] = []
        self._coordinator = ""
        self._reported_step = 0
        self._loaded: set[int] = set()
        self._maps: dict[int, messages.Map] = {}
        self._current: messages.Map | None = None

    @property
    def current(self) -> messages.Map | None:
        """Map of the newest grant."""
        return self._current

    def find_version(self, step: int) -> int | None:
        """Return the map version for a step, None if it is not granted."""
        for grant in self._grants:
            if grant.first <= step <= grant.last:
                return grant.version
        return None

    def on_step_done(self, step: int) -> Actions:
        """Handle a step that the ranks have run.

        The first step of the newest window is reported, so that the next window
        is granted before this one ends.
        """
        self.done = max(self.done, step)
        top = self._newest_grant()
        self._grants = [
            g for g in self._grants if g.last >= self.done or g is top
        ]
        if top is None or self.done < top.first:
            return []
        if self._reported_step >= top.last or not self._coordinator:
            return []
        self._reported_step = top.last
        return [self._reply(top, ok=True)]

    def _reply(self, grant: messages.Grant, *, ok: bool) -> core.Send:
        msg = messages.Granted(
            group=self._group,
            term=self.term,
            last=grant.last,
            done=self.done,
            ok=ok,
        )
        return core.Send(dst=self._coordinator, msg=msg)

    def on_engine_restart(self) -> None:
        """Reset the state that a restarted engine has lost."""
        self.done = 0
        self._grants.clear()
        self._loaded.clear()

    def on_weights_loaded(
        self, version: int, ok: bool, coordinator: str
    ) -> Actions:
        """Report whether the weights of a map have been loaded."""
        if ok:
            self._loaded.add(version)
        reply = messages.Prepared(
            group=self._group, term=self.term, version=version, ok=ok
        )
        return [core.Send(dst=coordinator, msg=reply)]

    def receive(self, src: str, msg: Any) -> Actions:
        """Handle a message from a coordinator."""
        if msg.group != self._group or msg.term < self.term:
            # A replaced coordinator must have no effect.
            return []
        if msg.term > self.term:
            self.term = msg.term
            self._grants.clear()
        self._coordinator = src
        match msg:
            case messages.Seal():
                return self._on_seal(src)
            case messages.Prepare():
                return self._on_prepare(src, msg)
            case messages.Grant():
                return self._on_grant(msg)
            case messages.Release():
                self._discard_below(msg.version)
                return [UnloadWeights(version=msg.version)]
            case messages.Abort():
                self._loaded.discard(msg.version)
                self._maps.pop(msg.version, None)
        return []

    def _discard_below(self, version: int) -> None:
        self._loaded = {v for v in self._loaded if v >= version}
        self._maps = {v: m for v, m in self._maps.items() if v >= version}

    def _on_seal(self, src: str) -> Actions:
        # A window that only some hosts hold would desynchronize the ranks.
        self._grants.clear()
        reply = messages.Sealed(
            group=self._group,
            term=self.term,
            done=self.done,
            loaded=tuple(sorted(self._loaded)),
            current=self._current,
        )
        return [RevokeGrants(), core.Send(dst=src, msg=reply)]

    def _on_prepare(self, src: str, msg: messages.Prepare) -> Actions:
        self._maps[msg.map.version] = msg.map
        if msg.map.version in self._loaded:
            return self.on_weights_loaded(msg.map.version, True, src)
        return [LoadWeights(map=msg.map, coordinator=src)]

    def _on_grant(self, msg: messages.Grant) -> Actions:
        ok = self._is_acceptable(msg)
        out: Actions = []
        if ok:
            if msg not in self._grants:
                self._grants.append(msg)
            self._current = self._maps.get(msg.version, self._current)
            # Repeated grants are forwarded too, since the engine may have
            # missed the first one.
            out.append(AllowSteps(grant=msg))
        return [*out, self._reply(msg, ok=ok)]

    def _is_acceptable(self, msg: messages.Grant) -> bool:
        if msg.version not in self._loaded:
            return False
        # A step must not be granted under two maps.
        return not any(
            g.version != msg.version
            and g.first <= msg.last
            and msg.first <= g.last
            for g in self._grants
        )

    def _newest_grant(self) -> messages.Grant | None:
        return max(self._grants, key=lambda g: g.last, default=None)
