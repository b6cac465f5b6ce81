"""Failure detection by the entries that monitor a node."""

from jasperweir.components.membership import const
from jasperweir.components.membership import messages
from jasperweir.components.membership import roster as roster_lib

Status = messages.Status


# Additional time before a newly monitored node is suspected.
_EXTRA_GRACE_SECONDS = const.WATCH_GRACE_SECONDS - const.SUSPECT_TIMEOUT_SECONDS


class FailureDetector:
    """Marks silent monitored nodes as suspect and then as dead."""

    def __init__(self, *, roster: roster_lib.Roster) -> None:
        self._roster = roster
        self._last_heard: dict[str, float] = {}
        self._watched: set[str] = set()
        self._roster_version = -1
        self._checked_at = float("-inf")

    def record_heartbeat(self, name: str, now: float) -> None:
        """Record that a node was heard from."""
        self._last_heard[name] = now

    def tick(self, now: float) -> list[messages.Member]:
        """Update the health of monitored nodes; return changed records."""
        if now - self._checked_at > const.SUSPECT_TIMEOUT_SECONDS:
            # This process was suspended itself, so the silence proves
            # nothing about other nodes.
            self._restart_silence(now)
        self._checked_at = now
        self._update_watched(now)
        changed = []
        for name in self._watched:
            member = self._update_status(name, now)
            if member is not None:
                changed.append(member)
        return changed

    def _update_status(self, name: str, now: float) -> messages.Member | None:
        member = self._roster.get(name)
        if member is None or member.status >= Status.DEAD:
            return None
        silence_s = now - self._last_heard.get(name, now)
        if silence_s >= const.DEAD_TIMEOUT_SECONDS:
            status = Status.DEAD
        elif silence_s >= const.SUSPECT_TIMEOUT_SECONDS:
            status = Status.SUSPECT
        else:
            return None
        if status <= member.status:
            return None
        self._roster.set_status(name, status, now)
        return self._roster.get(name)

    def _restart_silence(self, now: float) -> None:
        # Nodes that consider this process dead send nothing to it yet.
        for name in self._last_heard:
            self._last_heard[name] = now + _EXTRA_GRACE_SECONDS

    def _update_watched(self, now: float) -> None:
        if self._roster.version == self._roster_version:
            return
        self._roster_version = self._roster.version
        own = self._roster.own
        watched = {
            m.name
            for m in self._roster.live_members()
            if m.kind != const.KIND_CONTROL
            and m.name != own.name
            and own in self._roster.watchers(m.name)
        }
        # Newly assigned nodes need time to learn of this watcher.
        for name in watched - self._watched:
            self._last_heard[name] = max(
                self._last_heard.get(name, 0.0), now + _EXTRA_GRACE_SECONDS
            )
        for name in self._watched - watched:
            self._last_heard.pop(name, None)
        self._watched = watched
