"""What the head of a target's answer asks of its callers."""

import math
from typing import NamedTuple

from jasperweir.components.backpressure import const

Values = list[bytes]


class Signals(NamedTuple):
    """What a target asks with one answer.

    Attributes:
        rest_s: It wants nothing from this entry for so long, seconds; None if
            it does not say.
        limit_per_s: It takes so many requests a second of all entries
            together; None if it does not say.
        leaves: Whether it ends soon and wants no new requests.
        unreadable: Values that could not be read, as they are logged.
    """

    rest_s: float | None = None
    limit_per_s: float | None = None
    leaves: bool = False
    unreadable: tuple[str, ...] = ()

    @property
    def asks_nothing(self) -> bool:
        """Whether the target takes whatever comes, and has said no more."""
        has_numbers = self.rest_s is not None or self.limit_per_s is not None
        return not (has_numbers or self.leaves or self.unreadable)


NONE = Signals()
_FALSE = (b"", b"0", b"false")


def read(*, rest: Values, limit: Values, leaving: Values) -> Signals:
    """Read the values of headers, whatever they hold.

    Of several values the one counts that asks for more; one that cannot be
    read is left out and shown.

    Args:
        rest: Seconds of rest.
        limit: Requests a second.
        leaving: Whether the target leaves.
    """
    if not rest and not limit and not leaving:
        return NONE
    unreadable: list[str] = []
    times = _numbers(rest, unreadable)
    limits = _numbers(limit, unreadable)
    return Signals(
        rest_s=min(max(times), const.REST_MOST_SECONDS) if times else None,
        limit_per_s=min(limits) if limits else None,
        leaves=any(v.strip().lower() not in _FALSE for v in leaving),
        unreadable=tuple(unreadable),
    )


def _numbers(values: Values, unreadable: list[str]) -> list[float]:
    """Return the values that are numbers of 0 or more; note the others."""
    found = []
    for value in values[: const.VALUES_MAX]:
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if math.isfinite(number) and number >= 0:
            found.append(number)
        else:
            shown = value[: const.SHOWN_BYTES].decode("latin-1")
            unreadable.append(shown)
    return found
