"""Planning of claim views, the sets of entries that own claims."""

from collections.abc import Mapping

from jasperweir.components.control import const
from jasperweir.components.control import rollout
from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.components.registry import ops

Status = member_messages.Status


class ViewPlanner:
    """Proposes a new claim view after the membership has changed.

    Claims survive the loss of one owner of each partition per view, so the
    next view waits until the last one is repaired, or for a timeout.
    """

    def __init__(self) -> None:
        self._differs_since: float | None = None
        self._changed_at = float("-inf")
        self._epoch = 0

    @property
    def has_pending_change(self) -> bool:
        """Whether the membership differs from the current view."""
        return self._differs_since is not None

    def next_op(
        self,
        *,
        view: ops.View,
        roster: roster_lib.Roster,
        reports: Mapping[str, rollout.HeartbeatReport],
        now: float,
    ) -> ops.SetView | None:
        """Return the operation to propose now, or None."""
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            self._changed_at = now
            self._differs_since = None
        wanted = self._wanted_members(view, roster)
        if not wanted or wanted == view.members:
            self._differs_since = None
            return None
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < const.VIEW_DEBOUNCE_SECONDS:
            return None
        may_wait = now - self._changed_at < const.VIEW_REPAIR_TIMEOUT_SECONDS
        if may_wait and not self._is_repaired(view, wanted, reports):
            return None
        return ops.SetView(epoch=view.epoch + 1, members=wanted)

    def _wanted_members(
        self, view: ops.View, roster: roster_lib.Roster
    ) -> tuple[tuple[str, int, str], ...]:
        current = set(view.members)
        members = []
        for m in roster.members(member_const.KIND_ENTRY):
            member = (m.name, m.inc, m.place)
            is_kept = m.status == Status.SUSPECT and member in current
            if m.status == Status.ALIVE or is_kept:
                members.append(member)
        return tuple(sorted(members))

    def _is_repaired(
        self,
        view: ops.View,
        wanted: tuple[tuple[str, int, str], ...],
        reports: Mapping[str, rollout.HeartbeatReport],
    ) -> bool:
        for name, inc, place in view.members:
            if (name, inc, place) not in wanted:
                continue
            report = reports.get(name)
            if report is None or report.heartbeat.inc != inc:
                return False
            if report.heartbeat.ready_epoch < view.epoch:
                return False
        return True
