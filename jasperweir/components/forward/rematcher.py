"""Decisions on admitted requests by the configuration that is now in force.

A request that waits for a target, or is repeated, may have been admitted by a
version that is outdated by the time it is sent.
"""

from collections.abc import Callable

from jasperweir import result_codes
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import intake as intake_lib
from jasperweir.components.forward import matching
from jasperweir.components.forward import queues as queues_lib

Code = result_codes.Code


class Rematcher:
    """Matches admitted requests again before they are sent.

    Repeated requests are held while an answer of the control VMs is awaited.

    Attributes:
        is_due: Whether waiting requests have to be matched again.
    """

    def __init__(
        self, *, intake: intake_lib.RequestIntake, queues: queues_lib.Queues
    ) -> None:
        self.is_due = False
        self._intake = intake
        self._queues = queues
        # Repeated requests and when they are rejected, by number.
        self._held: dict[int, tuple[exchange_lib.Exchange, float]] = {}

    @property
    def is_holding(self) -> bool:
        """Whether repeated requests are held."""
        return bool(self._held)

    def is_held(self, exchange: exchange_lib.Exchange) -> bool:
        """Return whether a repeated request is held."""
        return exchange.number in self._held

    def rematch(self, exchange: exchange_lib.Exchange) -> bool:
        """Decide on a request again; one that is denied ends.

        Returns:
            Whether its route leads to another service.
        """
        match self._intake.match_again(exchange):
            case matching.Denial() as denial:
                exchange.fail(denial.code)
            case matching.Moved() if not exchange.state.can_change_service:
                exchange.fail(Code.BROKEN_OFF)
            case matching.Moved() as moved:
                self._queues.remove(exchange)
                exchange.service = moved.service
                return True
        return False

    def is_settled(self, exchange: exchange_lib.Exchange) -> bool:
        """Return whether a request was matched by the version in force."""
        index = self._intake.index
        return index is None or (
            index.deployment.version == exchange.state.config_version
        )

    def may_continue(self, exchange: exchange_lib.Exchange) -> bool:
        """Return whether a running request may move to another target."""
        if self._intake.is_awaiting:
            return False
        return self._intake.match_again(exchange) is None

    def hold(self, exchange: exchange_lib.Exchange, now: float) -> bool:
        """Hold a repeated request if it can't be decided on yet.

        Args:
            exchange: The request.
            now: Monotonic seconds.

        Returns:
            Whether it is held.
        """
        if not self._intake.is_awaiting:
            return False
        deadline = now + intake_lib.HELD_SECONDS
        self._held[exchange.number] = (exchange, deadline)
        return True

    def release(
        self, now: float, retry: Callable[[exchange_lib.Exchange], None]
    ) -> None:
        """Repeat the held requests once they can be decided on.

        Args:
            now: Monotonic seconds.
            retry: Sends a request to another target.
        """
        is_awaiting = self._intake.is_awaiting
        for number, (exchange, deadline) in list(self._held.items()):
            if is_awaiting and now < deadline and not exchange.done:
                continue
            del self._held[number]
            if exchange.done:
                continue
            if is_awaiting:
                exchange.fail(Code.CONFIGURATION_UNCONFIRMED)
            else:
                retry(exchange)
