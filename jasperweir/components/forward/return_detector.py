"""Recognition of callers that return after a refusal; sans-I/O.

A caller that returns after a refusal states less time than at its first
attempt. Where all callers of a route state the same time at first, the time
that a caller has used up follows from what it states. Where callers choose
their own time, a short one says nothing about earlier attempts: a returning
caller is then recognized by the content of its request and by the end of its
time, which stays the same. Entries tell each other the requests that they have
refused, because a caller usually returns to another entry.
"""

import collections
from typing import NamedTuple

from jasperweir.components.balance import messages
from jasperweir.components.balance import wait_estimate
from jasperweir.components.deployment import model
from jasperweir.components.forward import const
from jasperweir.components.quarantine import fingerprint


class RefusedRequest(NamedTuple):
    """A refused request whose caller may return.

    Attributes:
        first_attempt_at: Its caller's first attempt, monotonic seconds.
        caller_deadline: End of its caller's time, monotonic seconds.
    """

    first_attempt_at: float
    caller_deadline: float


class ReturnDetector:
    """Estimates the time that callers have used up on earlier attempts."""

    def __init__(self, *, started_at: float) -> None:
        """Initialize without any refused request.

        Args:
            started_at: When the process started, monotonic seconds.
        """
        self._estimator = wait_estimate.WaitEstimator(started_at=started_at)
        self._refused: collections.OrderedDict[int, RefusedRequest] = (
            collections.OrderedDict()
        )
        # Numbers of refused requests that other entries don't know yet.
        self._unsent: list[int] = []

    def __len__(self) -> int:
        """Return the number of refused requests that are remembered."""
        return len(self._refused)

    def estimate_used_s(
        self,
        *,
        route: model.Route,
        stated_s: float | None,
        subject: fingerprint.Subject,
        now: float,
    ) -> float:
        """Return the time that a caller has used up, seconds.

        Args:
            route: Route of its request.
            stated_s: Time that it states it will still wait, seconds; None if
                it states none.
            subject: Identifying parts of its request.
            now: Monotonic seconds.

        Returns:
            Seconds, 0 for a first attempt.
        """
        waited_s = self._estimator.estimate_waited_s(route, stated_s, now)
        if stated_s is None or self._estimator.is_common(route):
            return waited_s
        if not self._refused:
            return 0.0
        refused = self._refused.get(fingerprint.compute_quick(subject))
        if refused is None:
            return 0.0
        difference_s = now + stated_s - refused.caller_deadline
        if abs(difference_s) > const.RETURN_TOLERANCE_SECONDS:
            return 0.0
        return max(now - refused.first_attempt_at, 0.0)

    def on_refused(
        self,
        *,
        route: model.Route,
        subject: fingerprint.Subject,
        refused: RefusedRequest,
        now: float,
    ) -> None:
        """Record a request whose caller was told when to return."""
        if self._estimator.is_common(route):
            return
        number = fingerprint.compute_quick(subject)
        self._add(number, refused, now)
        if len(self._unsent) < const.RETURNS_SENT_MAX:
            self._unsent.append(number)

    def take_unsent(self, now: float) -> tuple[messages.RefusedCaller, ...]:
        """Return the refused requests to report to other entries, once."""
        numbers, self._unsent = self._unsent, []
        return tuple(
            messages.RefusedCaller(
                number=number,
                used_s=now - refused.first_attempt_at,
                left_s=refused.caller_deadline - now,
            )
            for number in numbers
            if (refused := self._refused.get(number)) is not None
        )

    def on_peer_refused(
        self, reported: tuple[messages.RefusedCaller, ...], now: float
    ) -> None:
        """Record the requests that another entry has refused."""
        for caller in reported[: const.RETURNS_SENT_MAX]:
            if not (caller.used_s >= 0 and caller.left_s > 0):
                continue
            left_s = min(caller.left_s, const.RETURN_MAX_SECONDS)
            used_s = min(caller.used_s, const.RETURN_MAX_SECONDS)
            self._add(
                caller.number, RefusedRequest(now - used_s, now + left_s), now
            )

    def _add(self, number: int, refused: RefusedRequest, now: float) -> None:
        self._refused[number] = refused
        self._refused.move_to_end(number)
        while self._refused:
            oldest = next(iter(self._refused.values()))
            is_over = oldest.caller_deadline <= now
            if not is_over and len(self._refused) <= const.RETURNS_MAX:
                return
            self._refused.popitem(last=False)
