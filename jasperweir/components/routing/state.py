"""State of one target as an entry sees it."""

import dataclasses
import math

from jasperweir.components.backpressure import state as backpressure_state
from jasperweir.components.routing import const


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetState:
    """Own observations and delayed load reports of one target.

    Attributes:
        inc: Incarnation that the observations belong to.
        ramp_started_at: Start of the slow start, monotonic seconds.
        in_flight: Requests of this entry at the target.
        reported_active: Active requests in the target's last load report.
        in_flight_at_report: Requests of this entry when the report came.
        reported_at: When the report came, monotonic seconds.
        skew: Lag of the slowest rank as a share of a step.
        switching: Whether an expert map switch is pending.
        first_token_s: Smoothed seconds to the first token.
        samples: Number of successes since the last straggler ejection.
        failures: Failures since the last success or ejection.
        ejections: Number of ejections of this incarnation.
        refusals: Refusals and the avoidance that follows from them.
        ejected_until: End of the last ejection, monotonic seconds.
    """

    inc: int
    ramp_started_at: float
    in_flight: int = 0
    reported_active: int = 0
    in_flight_at_report: int = 0
    reported_at: float = float("-inf")
    skew: float = 0.0
    switching: bool = False
    first_token_s: float = 0.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    refusals: backpressure_state.BackpressureState = dataclasses.field(
        default_factory=lambda: backpressure_state.BackpressureState(born=0)
    )
    ejected_until: float = float("-inf")

    def other_requests(self) -> int:
        """Return the requests of other entries in the last report."""
        return max(self.reported_active - self.in_flight_at_report, 0)

    def estimated_load(self, now: float, typical_others: float) -> float:
        """Return the estimated number of active requests.

        This entry's own requests are counted exactly. Those of other entries
        come from the last report, whose weight decays with age towards the
        mean of all candidates, so that entries with the same stale report do
        not all choose the same target.

        Args:
            now: Monotonic seconds.
            typical_others: Mean of ``others`` over the candidates.
        """
        age = max(now - self.reported_at, 0.0)
        weight = math.exp(-age / const.REPORT_DECAY_SECONDS)
        others = weight * self.other_requests() + (1 - weight) * typical_others
        return self.in_flight + others

    def capacity_share(self, now: float) -> float:
        """Return the share of capacity that may be used in slow start."""
        age = (now - self.ramp_started_at) / const.SLOW_START_SECONDS
        return min(1.0, max(const.SLOW_START_FLOOR, age))

    def update_load(
        self, *, active: int, skew: float, switching: bool, now: float
    ) -> None:
        """Update the load from a report."""
        self.reported_active = active
        self.in_flight_at_report = min(self.in_flight, active)
        self.reported_at = now
        self.skew = skew
        self.switching = switching

    def record_success(self, first_token: float) -> None:
        """Record a success and its seconds to the first token."""
        self.failures = 0
        self.refusals.reset()
        self.samples += 1
        if self.samples == 1:
            self.first_token_s = first_token
            return
        gain = const.LATENCY_SMOOTHING
        self.first_token_s += gain * (first_token - self.first_token_s)
