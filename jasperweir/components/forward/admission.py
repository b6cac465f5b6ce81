"""Policy on which requests are sent, queued or rejected."""

from collections.abc import Callable
import math

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.balance import const
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.forward import available_targets
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.forward import startup_grace as startup_grace_lib
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.components.scheduling import order as order_lib

Code = result_codes.Code


class AdmissionPolicy:
    """Decides whether a request is sent at once, queued or rejected.

    Attributes:
        stopping: Whether requests without an available target are rejected
            instead of queued.
        on_work: Called when a request is queued.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        queues: queues_lib.Queues,
        outages: outage_lib.Outages,
        startup_grace: startup_grace_lib.StartupGrace,
        targets: available_targets.AvailableTargets,
        recorder: recorder_lib.Recorder,
    ) -> None:
        self.stopping = False
        self.on_work: Callable[[], None] = lambda: None
        self._clock = clock
        self._queues = queues
        self._outages = outages
        self._startup_grace = startup_grace
        self._targets = targets
        self._recorder = recorder

    def may_send_now(
        self,
        exchange: exchange_lib.Exchange,
        candidates: capacity_lib.Candidates,
        now: float,
    ) -> bool:
        """Return whether a new request may be sent before queued ones."""
        if candidates.free_slots < 1:
            return False
        if self._outages.get(exchange.service).is_active(now):
            # The first requests serve as probes for the end of the outage.
            return True
        wait_queue = self._queues.get(exchange.service).wait_queue
        order = self._queues.find_order(exchange.service, candidates, now)
        if order is not None:
            return self._may_overtake(exchange, order, now)
        if self._queues.is_timely(exchange, now):
            return not wait_queue.count_timely(now)
        if len(wait_queue):
            return False
        return candidates.late_slots >= 1 or not self._startup_grace.is_active(
            now
        )

    def _may_overtake(
        self,
        exchange: exchange_lib.Exchange,
        order: order_lib.Order,
        now: float,
    ) -> bool:
        """Return whether the order over all entries lets a new request pass."""
        band = demand_lib.find_band(exchange.state.match.priority)
        own = order.own[band]
        is_timely = self._queues.is_timely(exchange, now)
        if is_timely and not self._queues.is_over_share(exchange):
            return not own.timely and order.may_overtake(band)
        return not own.waiting and order.may_overtake(band)

    def wait_for_slot(
        self,
        exchange: exchange_lib.Exchange,
        candidates: capacity_lib.Candidates,
        running: int,
        now: float,
    ) -> None:
        """Queue a request for a slot, or reject it if the wait is too long.

        Args:
            exchange: The request.
            candidates: Targets that it may be sent to.
            running: Number of requests that run at the service's targets.
            now: Monotonic seconds.
        """
        wait_s = self._queues.estimate_wait_s(
            exchange.service,
            candidates,
            running,
            now,
            priority=exchange.state.match.priority,
        )
        if not exchange.state.expect_wait(wait_s):
            exchange.fail(Code.OVERLOADED)
            return
        self._enqueue(exchange, now, now)

    def wait_for_targets(self, exchange: exchange_lib.Exchange) -> bool:
        """Queue a request that targets refused, if there is time for a retry.

        Returns:
            Whether the request was queued.
        """
        if self._wait_during_startup(exchange):
            return True
        now = self._clock.monotonic()
        not_before = now + const.PAUSE_SECONDS
        state = exchange.state
        if not state.is_last_attempt or state.wait_deadline <= not_before:
            return False
        if self.stopping:
            return False
        state.tried_target_ids.clear()
        self._enqueue(exchange, now, not_before)
        return True

    def wait_for_available_target(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> None:
        """Queue a request until a target is available, or reject it."""
        if self._targets.are_all_evacuated(exchange.service, now):
            exchange.fail(Code.EVACUATED)
            return
        state = exchange.state
        ahead = len(self._queues.get(exchange.service).wait_queue)
        available_in_s = self._targets.seconds_until_available(
            exchange.service, state.tried_target_ids, ahead, now
        )
        if state.tried_target_ids and math.isinf(available_in_s):
            exchange.fail(Code.TARGETS_REFUSED)
            return
        if math.isinf(available_in_s):
            if not self.wait_for_targets(exchange):
                exchange.fail(Code.NO_TARGET)
            return
        in_time = state.expect_wait(available_in_s)
        if (
            self.stopping
            or not in_time
            or now + available_in_s >= state.wait_deadline
        ):
            exchange.fail(Code.BACKPRESSURE)
            return
        self._enqueue(exchange, now, now + available_in_s)

    def _wait_during_startup(self, exchange: exchange_lib.Exchange) -> bool:
        """Queue a request if this entry has just started.

        After a power loss targets refuse requests while their groups form, and
        rejected callers would all return together.

        Returns:
            Whether the request was queued.
        """
        now = self._clock.monotonic()
        state = exchange.state
        patience_s = state.remaining_s(state.arrived_at)
        until = self._startup_grace.compute_deadline(
            state.arrived_at, patience_s
        )
        if self.stopping or until <= now:
            return False
        state.startup_deadline = until
        state.tried_target_ids.clear()
        not_before = now
        if state.deliveries:
            # A target refused it, or the retry budget did.
            not_before += const.PAUSE_SECONDS
        self._enqueue(exchange, now, not_before)
        return True

    def _enqueue(
        self, exchange: exchange_lib.Exchange, now: float, not_before: float
    ) -> None:
        self._queues.enqueue(exchange, not_before)
        self._recorder.record_wait(exchange, now)
        self.on_work()
