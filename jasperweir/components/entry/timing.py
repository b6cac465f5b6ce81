"""When an answer's pieces came, held against the service level."""

from jasperweir import result_codes
from jasperweir.components.bundle import specs
from jasperweir.components.burn import const as burn_const

Code = result_codes.Code


class Timing:
    """Times of one answer, in monotonic seconds.

    Attributes:
        first_at: When the first piece came, or None.
        last_at: When the newest piece came.
        pieces: Number of pieces.
    """

    def __init__(self, *, started: float, spec: specs.ServiceSpec) -> None:
        self.first_at: float | None = None
        self.last_at = 0.0
        self.pieces = 0
        self._started = started
        self._spec = spec
        self._late_gaps = 0

    def note(self, now: float) -> None:
        """Note a piece."""
        self.pieces += 1
        if self.first_at is None:
            self.first_at = now
        elif now - self.last_at > self._spec.token_gap_s:
            self._late_gaps += 1
        self.last_at = now

    def verdict(self, code: Code, *, streamed: bool) -> str:
        """Return what the answer counts as in the burn report."""
        if code == Code.REPLAYED:
            return burn_const.GOOD
        if code != Code.OK:
            outcome = result_codes.TABLE[code].outcome
            if outcome == result_codes.Outcome.NOT_RUN:
                return burn_const.REFUSED
            return burn_const.FAILED
        if not streamed or self.first_at is None:
            return burn_const.GOOD
        if self.first_at - self._started > self._spec.first_token_s:
            return burn_const.LATE_FIRST
        allowed = (1 - self._spec.objective) * max(self.pieces - 1, 1)
        if self._late_gaps > allowed:
            return burn_const.LATE_GAP
        return burn_const.GOOD
