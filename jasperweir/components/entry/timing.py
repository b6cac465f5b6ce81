"""Timing of an answer, compared with the service level objective."""

from jasperweir import result_codes
from jasperweir.components.bundle import specs
from jasperweir.components.burn import const as burn_const

Code = result_codes.Code


class AnswerTiming:
    """Times of one answer, in monotonic seconds.

    Attributes:
        first_chunk_at: When the first chunk arrived, or None.
        last_chunk_at: When the last chunk arrived.
        chunk_count: Number of chunks.
    """

    def __init__(self, *, started: float, spec: specs.ServiceSpec) -> None:
        self.first_chunk_at: float | None = None
        self.last_chunk_at = 0.0
        self.chunk_count = 0
        self._started = started
        self._spec = spec
        self._late_gaps = 0

    def record_chunk(self, now: float) -> None:
        """Record the arrival of a chunk."""
        self.chunk_count += 1
        if self.first_chunk_at is None:
            self.first_chunk_at = now
        elif now - self.last_chunk_at > self._spec.token_gap_s:
            self._late_gaps += 1
        self.last_chunk_at = now

    def verdict(self, code: Code, *, streamed: bool) -> str:
        """Return the category of the answer in the burn report."""
        if code == Code.REPLAYED:
            return burn_const.GOOD
        if code != Code.OK:
            outcome = result_codes.TABLE[code].outcome
            if outcome == result_codes.Outcome.NOT_RUN:
                return burn_const.REFUSED
            return burn_const.FAILED
        if not streamed or self.first_chunk_at is None:
            return burn_const.GOOD
        if self.first_chunk_at - self._started > self._spec.first_token_s:
            return burn_const.LATE_FIRST
        allowed = (1 - self._spec.objective) * max(self.chunk_count - 1, 1)
        if self._late_gaps > allowed:
            return burn_const.LATE_GAP
        return burn_const.GOOD
