"""What an entry knows of one target."""

import dataclasses
import math

from jasperweir.components.backpressure import state as backpressure_state
from jasperweir.components.routing import const


@dataclasses.dataclass(kw_only=True, slots=True)
class TargetState:
    """Own observations and lagging reports of one target.

    Attributes:
        inc: Incarnation that the observations belong to.
        since: When this incarnation was first seen, for slow start.
        in_flight: Requests that this entry has at the target.
        reported: Active requests by the target's own report.
        own_then: Requests of this entry when the report was made.
        reported_at: When the report came.
        skew: How far the slowest rank trails, as a share of a step.
        switching: Whether a map switch is pending.
        latency: Smoothed seconds to the first token.
        asked: How it refuses.
    """

    inc: int
    since: float
    in_flight: int = 0
    reported: int = 0
    own_then: int = 0
    reported_at: float = float("-inf")
    skew: float = 0.0
    switching: bool = False
    latency: float = 0.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    asked: backpressure_state.Asked = dataclasses.field(
        default_factory=lambda: backpressure_state.Asked(born=0)
    )
    ejected_until: float = float("-inf")

    def others(self) -> int:
        """Return the requests of other entries at the time of the report."""
        return max(self.reported - self.own_then, 0)

    def load(self, now: float, typical_others: float) -> float:
        """Return the estimated number of active requests.

        The report counts everybody's requests at its time; this entry's own
        are replaced by what it knows to be in flight now. The rest of the
        report loses its weight with age, in favour of what is typical of
        all targets: an old report says little, and many entries that act
        on the same one would all send to the same target.

        Args:
            now: Monotonic seconds.
            typical_others: Mean of ``others`` over the candidates.
        """
        age = max(now - self.reported_at, 0.0)
        weight = math.exp(-age / const.REPORT_TRUST_SECONDS)
        rest = weight * self.others() + (1 - weight) * typical_others
        return self.in_flight + rest

    def ramp(self, now: float) -> float:
        """Return the share of its capacity that a new target gets."""
        age = (now - self.since) / const.SLOW_START_SECONDS
        return min(1.0, max(const.SLOW_START_FLOOR, age))

    def report(
        self, *, active: int, skew: float, switching: bool, now: float
    ) -> None:
        """Take in a load report."""
        self.reported = active
        self.own_then = min(self.in_flight, active)
        self.reported_at = now
        self.skew = skew
        self.switching = switching

    def succeeded(self, first_token: float) -> None:
        """Take in the time to the first token of a request."""
        self.failures = 0
        self.asked.forgive()
        self.samples += 1
        if self.samples == 1:
            self.latency = first_token
            return
        gain = const.LATENCY_SMOOTHING
        self.latency += gain * (first_token - self.latency)
