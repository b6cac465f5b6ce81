"""Updates of an entry's shared state after each attempt."""

from collections.abc import Callable

from jasperweir import core
from jasperweir.components.backpressure import backpressure as backpressure_lib
from jasperweir.components.backpressure import signals as signals_lib
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import available_targets
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.forward import request_state
from jasperweir.components.forward import response_progress
from jasperweir.components.forward import response_recorder
from jasperweir.components.forward import startup_grace as startup_grace_lib


class OutcomeTracker:
    """Updates outages, backpressure and forecasts from the outcome of attempts.

    Attributes:
        on_replaced: Called with a target whose address another one has taken.
        on_leaving: Called with a target that announces its shutdown.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        targets: available_targets.AvailableTargets,
        balancer: balancer_lib.Balancer,
        outages: outage_lib.Outages,
        queues: queues_lib.Queues,
        recorder: recorder_lib.Recorder,
        responses: response_recorder.ResponseRecorder,
        startup_grace: startup_grace_lib.StartupGrace,
    ) -> None:
        self.on_replaced: Callable[[records.Target], None] = lambda _: None
        self.on_draining: Callable[[records.Target], None] = lambda _: None
        self._clock = clock
        self._targets = targets
        self._balancer = balancer
        self._outages = outages
        self._queues = queues
        self._recorder = recorder
        self._responses = responses
        self._startup_grace = startup_grace

    def on_signals(
        self,
        target: records.Target,
        signals: signals_lib.Signals,
        sent_at: float,
    ) -> None:
        """Handle the backpressure signals in a response head."""
        now = self._clock.monotonic()
        changes = self._targets.backpressure.on_answer(
            target, signals, now, sent_at
        )
        self._recorder.record_signals(target, signals, changes)
        if backpressure_lib.Change.LEAVES in changes:
            self.on_draining(target)

    def on_fault(
        self,
        exchange: exchange_lib.Exchange,
        target: records.Target,
        fault: request_state.Fault,
    ) -> None:
        """Handle an attempt that brought no usable response."""
        now = self._clock.monotonic()
        if fault is request_state.Fault.REPLACED:
            self.on_replaced(target)
        # Backpressure of one target does not indicate an outage of its service.
        is_backing_off = self._targets.backpressure.is_blocked(target, now)
        if fault is request_state.Fault.NOT_RUN and not is_backing_off:
            self._targets.backpressure.on_refused(target, now)
            threshold = const.OUTAGE_REFUSALS
            if self._startup_grace.is_active(now):
                threshold = const.START_REFUSALS
            service = exchange.service
            unit = self._outages.groups.find_unit(service, target.address)
            outage = self._outages.get_unit(service, unit)
            if outage.on_refusal(now, threshold):
                self._recorder.record_outage(
                    service, begins=True, group=unit[len(service) + 1 :]
                )
        at_target = self._balancer.count_at(target.target_id, now)
        self._responses.record_fault(exchange, target, fault, at_target)

    def on_not_sent(self, exchange: exchange_lib.Exchange, reason: str) -> None:
        """Handle a chosen target that does not get the request after all."""
        exchange.progress.stop(response_progress.End.UNSENT, reason)
        self._responses.record_not_sent(exchange)

    def on_accepted(
        self, exchange: exchange_lib.Exchange, target: records.Target
    ) -> None:
        """Handle a request that a target has accepted."""
        now = self._clock.monotonic()
        if self._targets.backpressure.on_taken(target, now):
            self._recorder.record_recovery(target)
        service = exchange.service
        unit = self._outages.groups.find_unit(service, target.address)
        was_listed_closed = self._outages.groups.on_accepted(unit)
        ended = self._outages.get_unit(service, unit).on_answer(now)
        if ended or was_listed_closed:
            self._targets.on_service_recovered(service, now, unit)
            self._recorder.record_outage(
                service, begins=False, group=unit[len(service) + 1 :]
            )

    def on_completed(
        self, exchange: exchange_lib.Exchange, sent_at: float
    ) -> None:
        """Handle a complete response of a target."""
        duration_s = self._clock.monotonic() - sent_at
        first_byte_s = max(exchange.first_byte_at - sent_at, 0.0)
        self._queues.get(exchange.service).forecast.on_end(
            duration_s, first_byte_s
        )

    def on_timeout(self, exchange: exchange_lib.Exchange) -> None:
        """Handle a request whose deadline has passed."""
        self._responses.record_timeout(exchange)
