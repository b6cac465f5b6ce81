"""Rate and burst of a cold target, and an entry's part of them; sans-I/O.

Load: all entries send to a target that crashes above a certain number of
requests in any one second.
"""

import dataclasses
import math
from typing import NamedTuple

from jasperweir.components.warmup import const


class Bounds(NamedTuple):
    """Bounds of the deployment on requests to cold targets.

    Attributes:
        overage: Factor on the rate that a cold target can take.
        tolerance: Requests beyond it in one window.
    """

    overage: float = 1.5
    tolerance: float = 5.0


DEFAULT_BOUNDS = Bounds()


class Rate(NamedTuple):
    """Rate and total burst of all entries together.

    Within any time ``t`` they send at most ``per_s * t + burst`` requests.

    Attributes:
        per_s: Requests per second.
        burst: Requests that may be sent at once after a pause.
    """

    per_s: float
    burst: float

    @property
    def max_owners(self) -> int:
        """Largest number of entries that may share the rate."""
        return max(1, math.floor(self.burst / const.OWNER_BURST))


def compute_rate(warmup_per_s: float, bounds: Bounds) -> Rate:
    """Return the rate and burst that keep a cold target within its bound.

    The bound is ``warmup_per_s * overage + tolerance`` requests in a window.

    Args:
        warmup_per_s: Requests per second that the target can take.
        bounds: Bounds of the deployment.

    Returns:
        A rate of 0 if the bound doesn't allow a single request.
    """
    most = warmup_per_s * bounds.overage + bounds.tolerance
    if most < 1 or not math.isfinite(most):
        return Rate(0.0, 0.0)
    counted_s = const.WINDOW_SECONDS + const.JITTER_SECONDS
    per_s = min(warmup_per_s, (most - 1) / counted_s)
    return Rate(per_s, most - per_s * counted_s)


@dataclasses.dataclass(kw_only=True, slots=True)
class Bucket:
    """Token bucket of one entry for one cold target.

    Tokens accrue from 0 and only at the entry's rate, also after its share has
    grown or begun, and none are kept over a time without updates. Entries that
    take over shares from each other therefore add no burst to a window.

    Attributes:
        per_s: This entry's rate, requests per second.
        burst: Most tokens.
        tokens: Requests that may be sent now.
        updated_at: Time at which the tokens were computed, monotonic seconds.
    """

    updated_at: float
    per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0

    def update(self, share: Rate, now: float) -> None:
        """Accrue tokens at the share held so far, then set the new share."""
        elapsed_s = max(now - self.updated_at, 0.0)
        self.updated_at = max(now, self.updated_at)
        if elapsed_s > const.VIEW_VALID_SECONDS:
            # Another entry may have held the share in between.
            self.tokens, elapsed_s = 0.0, 0.0
        accrued = self.tokens + min(self.per_s, share.per_s) * elapsed_s
        self.per_s, self.burst = share
        self.tokens = min(accrued, self.burst)

    @property
    def has_token(self) -> bool:
        """Whether a request may be sent now."""
        return self.tokens >= 1 - _ROUNDING

    @property
    def requests(self) -> int:
        """Number of requests that may be sent now."""
        return math.floor(self.tokens + _ROUNDING)

    def wait_s(self) -> float:
        """Return the time until a request may be sent, seconds."""
        if self.has_token:
            return 0.0
        if self.per_s <= 0 or self.burst < 1 - _ROUNDING:
            return math.inf
        return (1 - self.tokens) / self.per_s

    def on_sent(self) -> None:
        """Record that a request is sent."""
        self.tokens = max(self.tokens - 1, 0.0)


# Floating-point error of the tokens.
_ROUNDING = 1e-9
