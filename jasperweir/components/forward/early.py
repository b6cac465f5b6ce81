"""Requests that came before this entry had a configuration."""

from collections.abc import Callable
from typing import NamedTuple

from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.helpers import http_server


class Early(NamedTuple):
    """A request that waits for a configuration.

    Attributes:
        answering: Way back to its caller.
        ask: What its caller stated.
        arrived: When it arrived, monotonic seconds.
        until: When it is refused, monotonic seconds.
    """

    answering: http_server.ResponseWriter
    ask: dialect_lib.Ask
    arrived: float
    until: float


class EarlyRequests:
    """Keep requests for a moment until there are routes."""

    def __init__(self) -> None:
        self._kept: list[Early] = []

    def __len__(self) -> int:
        """Return how many are kept."""
        return len(self._kept)

    def keep(self, early: Early) -> None:
        """Keep a request."""
        self._kept.append(early)

    def release(
        self,
        now: float,
        *,
        accept: Callable[[Early], bool],
        refuse: Callable[[Early], None],
    ) -> None:
        """Hand out what can go on or has waited long enough.

        Args:
            now: Monotonic seconds.
            accept: Takes a request in; False if it can't yet.
            refuse: Turns one away that has waited long enough.
        """
        kept, self._kept = self._kept, []
        for early in kept:
            if early.answering.done or accept(early):
                continue
            if now < early.until:
                self._kept.append(early)
            else:
                refuse(early)
