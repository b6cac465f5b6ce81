"""Requests that came before this entry had a configuration."""

from collections.abc import Callable
from typing import NamedTuple

from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.helpers import http_server


class EarlyRequest(NamedTuple):
    """A request that waits for a configuration.

    Attributes:
        answering: Way back to its caller.
        ask: What its caller stated.
        arrived: When it arrived, monotonic seconds.
        until: When it is refused, monotonic seconds.
    """

    answering: http_server.Answering
    ask: dialect_lib.Ask
    arrived_at: float
    deadline: float


class EarlyRequestBuffer:
    """Keep requests for a moment until there are routes."""

    def __init__(self) -> None:
        self._requests: list[EarlyRequest] = []

    def __len__(self) -> int:
        """Return how many are kept."""
        return len(self._requests)

    def add(self, early: EarlyRequest) -> None:
        """Keep a request."""
        self._requests.append(early)

    def release(
        self,
        now: float,
        *,
        accept: Callable[[EarlyRequest], bool],
        refuse: Callable[[EarlyRequest], None],
    ) -> None:
        """Hand out what can go on or has waited long enough.

        Args:
            now: Monotonic seconds.
            accept: Takes a request in; False if it can't yet.
            refuse: Turns one away that has waited long enough.
        """
        kept, self._requests = self._requests, []
        for early in kept:
            if early.answering.done or accept(early):
                continue
            if now < early.deadline:
                self._requests.append(early)
            else:
                refuse(early)
