"""Requests that are held until the configuration is known to be current."""

from collections.abc import Callable
from typing import NamedTuple

from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.helpers import http_server


class EarlyRequest(NamedTuple):
    """A request that waits for a configuration or its confirmation.

    Attributes:
        answering: Response channel to the caller.
        caller_headers: Metadata from the request's headers.
        arrived_at: When it arrived, monotonic seconds.
        deadline: When it is rejected, monotonic seconds.
        at_start: Whether it is held because the entry has just started.
    """

    answering: http_server.ResponseWriter
    caller_headers: dialect_lib.CallerHeaders
    arrived_at: float
    deadline: float
    at_start: bool


class EarlyRequestBuffer:
    """Holds requests briefly until they can be decided."""

    def __init__(self) -> None:
        self._requests: list[EarlyRequest] = []

    def __len__(self) -> int:
        """Return the number of buffered requests."""
        return len(self._requests)

    def add(self, early: EarlyRequest) -> None:
        """Buffer a request."""
        self._requests.append(early)

    def release(
        self,
        now: float,
        *,
        accept: Callable[[EarlyRequest], bool],
        reject: Callable[[EarlyRequest], None],
    ) -> None:
        """Admit buffered requests and reject those whose deadline has passed.

        Args:
            now: Monotonic seconds.
            accept: Admits a request; returns False if it must stay buffered.
            reject: Rejects a request whose deadline has passed.
        """
        requests, self._requests = self._requests, []
        for early in requests:
            if early.answering.done or accept(early):
                continue
            if now < early.deadline:
                self._requests.append(early)
            else:
                reject(early)
