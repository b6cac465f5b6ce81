"""Failure detection by the entries that watch a node."""

from jasperweir.components.membership import const
from jasperweir.components.membership import messages
from jasperweir.components.membership import roster as roster_lib

Status = messages.Status


# How much later than others a node that is newly watched is suspected.
_EXTRA = const.WATCH_GRACE_SECONDS - const.SUSPECT_SECONDS


class Detector:
    """Suspect watched nodes that fall silent, then declare them dead."""

    def __init__(self, *, roster: roster_lib.Roster) -> None:
        self._roster = roster
        self._heard: dict[str, float] = {}
        self._watched: set[str] = set()
        self._seen_version = -1
        self._checked_at = float("-inf")

    def heard(self, name: str, now: float) -> None:
        """Note a sign of life of a node."""
        self._heard[name] = now

    def tick(self, now: float) -> list[messages.Member]:
        """Return the records whose health this call changed."""
        if now - self._checked_at > const.SUSPECT_SECONDS:
            # This process itself was frozen: its silence proves nothing
            # about the others.
            self._forgive(now)
        self._checked_at = now
        self._reassign(now)
        changed = []
        for name in self._watched:
            member = self._check(name, now)
            if member is not None:
                changed.append(member)
        return changed

    def _check(self, name: str, now: float) -> messages.Member | None:
        member = self._roster.get(name)
        if member is None or member.status >= Status.DEAD:
            return None
        silent = now - self._heard.get(name, now)
        if silent >= const.DEAD_SECONDS:
            status = Status.DEAD
        elif silent >= const.SUSPECT_SECONDS:
            status = Status.SUSPECT
        else:
            return None
        if status <= member.status:
            return None
        self._roster.mark(name, status, now)
        return self._roster.get(name)

    def _forgive(self, now: float) -> None:
        # Those who took this process for dead send it nothing yet.
        for name in self._heard:
            self._heard[name] = now + _EXTRA

    def _reassign(self, now: float) -> None:
        if self._roster.version == self._seen_version:
            return
        self._seen_version = self._roster.version
        own = self._roster.own
        watched = {
            m.name
            for m in self._roster.present()
            if m.kind != const.KIND_CONTROL
            and m.name != own.name
            and own in self._roster.watchers_of(m.name)
        }
        # Signs of life start late for nodes that have just been assigned.
        for name in watched - self._watched:
            self._heard[name] = max(self._heard.get(name, 0.0), now + _EXTRA)
        for name in self._watched - watched:
            self._heard.pop(name, None)
        self._watched = watched
