"""Backpressure signals in the headers of a target's answer."""

import math
from typing import NamedTuple

from jasperweir.components.backpressure import const

Values = list[bytes]


class Signals(NamedTuple):
    """Backpressure signals of one answer.

    Attributes:
        backoff_s: Back-off: time for which the target accepts no request of
            this entry, seconds; None if not stated.
        limit_per_s: Requests per second that the target accepts of all entries
            together; None if not stated.
        draining: Whether it is draining and accepts no new requests.
        unreadable: Values that could not be read, shortened for the log.
    """

    backoff_s: float | None = None
    limit_per_s: float | None = None
    draining: bool = False
    unreadable: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether the answer carries no signal."""
        has_numbers = self.backoff_s is not None or self.limit_per_s is not None
        return not (has_numbers or self.draining or self.unreadable)


NONE = Signals()
_FALSE = (b"", b"0", b"false")


def read(*, rest: Values, limit: Values, leaving: Values) -> Signals:
    """Parse header values without raising an error.

    Of several values the strictest one applies. Unreadable values are skipped
    and returned for the log.

    Args:
        rest: Durations of a back-off, seconds.
        limit: Rate limits, requests per second.
        leaving: Flags of a draining target.
    """
    if not rest and not limit and not leaving:
        return NONE
    unreadable: list[str] = []
    backoffs = _parse_numbers(rest, unreadable)
    limits = _parse_numbers(limit, unreadable)
    return Signals(
        backoff_s=min(max(backoffs), const.BACKOFF_MAX_SECONDS)
        if backoffs
        else None,
        limit_per_s=min(limits) if limits else None,
        draining=any(v.strip().lower() not in _FALSE for v in leaving),
        unreadable=tuple(unreadable),
    )


def _parse_numbers(values: Values, unreadable: list[str]) -> list[float]:
    """Return the values that are numbers of 0 or more; collect the others."""
    numbers = []
    for value in values[: const.VALUES_MAX]:
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if math.isfinite(number) and number >= 0:
            numbers.append(number)
        else:
            logged = value[: const.LOGGED_VALUE_BYTES].decode("latin-1")
            unreadable.append(logged)
    return numbers
