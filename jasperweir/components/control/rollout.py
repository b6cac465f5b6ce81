"""Decide the next step of a roll from what the nodes report."""

from collections.abc import Mapping
from typing import NamedTuple

from jasperweir.components.control import const
from jasperweir.components.control import messages
from jasperweir.components.registry import ops


class HeartbeatReport(NamedTuple):
    """Newest beat of a node and when it came."""

    heartbeat: messages.Beat
    received_at: float


class Rollout:
    """Drive a roll from place to place with gates on health.

    The state that matters is in the log; what is kept here only delays the
    next step, so a new leader may start with nothing.
    """

    def __init__(self) -> None:
        self._version = 0
        self._baseline_burn_rate = 0.0
        self._stepped_at = float("-inf")
        self._soak_since: float | None = None

    def reset(self) -> None:
        """Note that no roll is under way; the next one begins anew."""
        self._version = 0

    def next_op(
        self,
        *,
        state: ops.RollState | None,
        revisions: Mapping[str, int],
        nodes: Mapping[str, list[str]],
        reports: Mapping[str, HeartbeatReport],
        now: float,
    ) -> ops.RollStep | ops.RollHalt | None:
        """Return the operation to propose now, or None.

        Args:
            state: The newest roll.
            revisions: Revision at which each place got its version.
            nodes: Names of live entries by place.
            reports: Newest beat of each node, without stale ones.
            now: Monotonic seconds.
        """
        if state is None or state.halted or not state.pending:
            self.reset()
            return None
        if state.version != self._version:
            self._start_roll(state, nodes, reports, now)
        burn = self._worst_burn_rate(state.done, nodes, reports)
        limit = max(const.HALT_BURN_RATE, 2 * self._baseline_burn_rate)
        if burn > limit:
            reason = f"burn rate {burn:.1f} above {limit:.1f}"
            return ops.RollHalt(version=state.version, reason=reason)
        if state.done and not self._is_gate_open(
            state, revisions, nodes, reports, now
        ):
            return None
        self._stepped_at = now
        self._soak_since = None
        return ops.RollStep(version=state.version, place=state.pending[0])

    def _start_roll(
        self,
        state: ops.RollState,
        nodes: Mapping[str, list[str]],
        reports: Mapping[str, HeartbeatReport],
        now: float,
    ) -> None:
        self._version = state.version
        self._stepped_at = now
        self._soak_since = None
        everywhere = (*state.done, *state.pending)
        self._baseline_burn_rate = self._worst_burn_rate(
            everywhere, nodes, reports
        )

    def _is_gate_open(
        self,
        state: ops.RollState,
        revisions: Mapping[str, int],
        nodes: Mapping[str, list[str]],
        reports: Mapping[str, HeartbeatReport],
        now: float,
    ) -> bool:
        place = state.done[-1]
        needed = revisions.get(place, 0)
        waiting = [
            name
            for name in nodes.get(place, [])
            if name not in reports or reports[name].heartbeat.revision < needed
        ]
        if waiting and now - self._stepped_at < const.GATE_TIMEOUT_SECONDS:
            return False
        if self._soak_since is None:
            self._soak_since = now
        return now - self._soak_since >= const.SOAK_SECONDS

    def _worst_burn_rate(
        self,
        places: tuple[str, ...],
        nodes: Mapping[str, list[str]],
        reports: Mapping[str, HeartbeatReport],
    ) -> float:
        """Return the median burn of the worst place's reporting nodes."""
        worst = 0.0
        for place in places:
            burns = sorted(
                reports[name].heartbeat.burn
                for name in nodes.get(place, [])
                if name in reports
            )
            if burns:
                worst = max(worst, burns[len(burns) // 2])
        return worst
