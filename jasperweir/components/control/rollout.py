"""Planning of the next step of a roll from the nodes' heartbeats."""

from collections.abc import Mapping
from typing import NamedTuple

from jasperweir.components.control import const
from jasperweir.components.control import messages
from jasperweir.components.registry import ops


class HeartbeatReport(NamedTuple):
    """Newest heartbeat of a node and the time of its arrival."""

    heartbeat: messages.Heartbeat
    received_at: float


class Rollout:
    """Plans the steps of a roll, one data centre at a time.

    The next data centre waits until the nodes of the last one report the new
    revision and stay healthy for a soak time. The state of the roll is in the
    log. The state here only delays the next step, so a new leader starts
    without it.
    """

    def __init__(self) -> None:
        self._version = 0
        self._baseline_burn_rate = 0.0
        self._stepped_at = float("-inf")
        self._soak_since: float | None = None

    def reset(self) -> None:
        """Reset the state while no roll is in progress."""
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
            revisions: Revision at which each data centre got its version.
            nodes: Names of live entries by data centre.
            reports: Newest heartbeat by node name, without stale ones.
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
        all_places = (*state.done, *state.pending)
        self._baseline_burn_rate = self._worst_burn_rate(
            all_places, nodes, reports
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
        lagging = [
            name
            for name in nodes.get(place, [])
            if name not in reports or reports[name].heartbeat.revision < needed
        ]
        if lagging and now - self._stepped_at < const.GATE_TIMEOUT_SECONDS:
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
        """Return the highest median burn rate of any data centre."""
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
