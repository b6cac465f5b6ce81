"""Who may go to a target at once, and who may wait for one."""

from collections.abc import Callable
import math

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.balance import const
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import places as places_lib
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import record as record_lib
from jasperweir.components.forward import starting as starting_lib
from jasperweir.components.forward import targets as targets_lib

Code = result_codes.Code


class Waiting:
    """Let requests of one entry wait as long as that helps them.

    Attributes:
        stopping: Whether nobody may begin to wait any more.
        on_work: Called when somebody waits.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        queues: queues_lib.Queues,
        outages: outage_lib.Outages,
        starting: starting_lib.Starting,
        targets: targets_lib.Targets,
        record: record_lib.Recorder,
    ) -> None:
        self.stopping = False
        self.on_work: Callable[[], None] = lambda: None
        self._clock = clock
        self._queues = queues
        self._outages = outages
        self._starting = starting
        self._targets = targets
        self._record = record

    def may_go(
        self,
        exchange: exchange_lib.Exchange,
        reach: places_lib.Reach,
        now: float,
    ) -> bool:
        """Tell whether a request that has just come passes those who wait."""
        if reach.places < 1:
            return False
        if self._outages.of(exchange.service).lasts(now):
            # Those who come first show whether it has ended.
            return True
        gate = self._queues.of(exchange.service).gate
        if self._queues.is_timely(exchange, now):
            return not gate.timely(now)
        if len(gate):
            return False
        return reach.late >= 1 or not self._starting.lasts(now)

    def for_place(
        self,
        exchange: exchange_lib.Exchange,
        reach: places_lib.Reach,
        running: int,
        now: float,
    ) -> None:
        """Let a request wait for a free place, or refuse it at once.

        Args:
            exchange: The request.
            reach: Places that it may have.
            running: Requests at the service's targets.
            now: Monotonic seconds.
        """
        wait_s = self._queues.foreseen_s(exchange.service, reach, running, now)
        if not exchange.life.expect_wait(wait_s):
            exchange.give_up(Code.OVERLOADED)
            return
        self._wait(exchange, now, now)

    def for_targets(self, exchange: exchange_lib.Exchange) -> bool:
        """Let a request wait that targets refused, if it has the time."""
        if self._at_start(exchange):
            return True
        now = self._clock.monotonic()
        not_before = now + const.PAUSE_SECONDS
        life = exchange.life
        if not life.is_last_try or life.waits_until <= not_before:
            return False
        if self.stopping:
            return False
        life.tried.clear()
        self._wait(exchange, now, not_before)
        return True

    def without_target(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> None:
        """Let a request wait until a target wants it, or refuse it at once."""
        life = exchange.life
        ahead = len(self._queues.of(exchange.service).gate)
        opens_s = self._targets.opens_in_s(
            exchange.service, life.tried, ahead, now
        )
        if life.tried and math.isinf(opens_s):
            exchange.give_up(Code.TARGETS_REFUSED)
            return
        if math.isinf(opens_s):
            if not self.for_targets(exchange):
                exchange.give_up(Code.NO_TARGET)
            return
        in_time = life.expect_wait(opens_s)
        if self.stopping or not in_time or now + opens_s >= life.waits_until:
            exchange.give_up(Code.BACKPRESSURE)
            return
        self._wait(exchange, now, now + opens_s)

    def _at_start(self, exchange: exchange_lib.Exchange) -> bool:
        """Let a request wait for targets that are about to be there.

        After a loss of all power targets refuse while their groups form. Who is
        refused meanwhile comes back together with everybody else.
        """
        now = self._clock.monotonic()
        life = exchange.life
        patience_s = life.remaining(life.arrived)
        until = self._starting.kept_until(life.arrived, patience_s)
        if self.stopping or until <= now:
            return False
        life.kept_until = until
        life.tried.clear()
        self._wait(exchange, now, now)
        return True

    def _wait(
        self, exchange: exchange_lib.Exchange, now: float, not_before: float
    ) -> None:
        self._queues.wait(exchange, not_before)
        self._record.waits(exchange, now)
        self.on_work()
