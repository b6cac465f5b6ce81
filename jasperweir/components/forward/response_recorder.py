"""Log lines and metrics of attempts at targets and of finished requests."""

import collections

from jasperweir.components.directory import records
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import request_state
from jasperweir.components.forward import response_progress
from jasperweir.components.scheduling import demand as demand_lib
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("forward")


class ResponseRecorder:
    """Records how each attempt and each request ended.

    The counts of attempts are kept here until ``publish``: an update of a
    metric takes much longer than an addition.
    """

    def __init__(self, *, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics
        self._ended: collections.Counter[tuple[str, response_progress.End]] = (
            collections.Counter()
        )
        self._cuts: collections.Counter[response_progress.Cut] = (
            collections.Counter()
        )
        self._body_bytes = 0
        self._events = 0

    def publish(self) -> None:
        """Update the metrics of attempts."""
        for (framing, end), count in self._ended.items():
            self._metrics.inc(
                "responses_ended", count, framing=framing, end=end.value
            )
        for cut, count in self._cuts.items():
            self._metrics.inc("responses_cut", count, cut=cut.name.lower())
        if self._body_bytes:
            self._metrics.inc("response_bytes", self._body_bytes)
        if self._events:
            self._metrics.inc("response_events", self._events)
        self._ended.clear()
        self._cuts.clear()
        self._body_bytes = self._events = 0

    def _count(self, progress: response_progress.ResponseProgress) -> None:
        """Count an attempt that has ended, once."""
        if progress.is_counted or progress.end is response_progress.End.NONE:
            return
        progress.is_counted = True
        self._ended[progress.framing_label, progress.end] += 1
        if progress.cut is not None:
            self._cuts[progress.cut] += 1
        self._body_bytes += progress.body_bytes
        self._events += progress.events

    def record_end(
        self,
        exchange: exchange_lib.Exchange,
        outcome: str,
        *,
        now: float,
    ) -> None:
        """Record the outcome of a request."""
        state = exchange.state
        first_byte_at = exchange.first_byte_at
        self._metrics.inc(
            "requests", route=state.match.route.name, outcome=outcome
        )
        self._metrics.inc(
            "requests_by_priority",
            priority=str(demand_lib.find_band(state.match.priority)),
            outcome=outcome,
        )
        self._count(exchange.progress)
        self._metrics.observe("request_seconds", now - state.arrived_at)
        if first_byte_at:
            self._metrics.observe(
                "first_byte_seconds", first_byte_at - state.arrived_at
            )
        _log.info(
            "request ended",
            id=state.caller_headers.request_id,
            **state.basis.log_fields(),
            admitted_version=state.admitted_version,
            service=exchange.service,
            customer=state.customer_name,
            route=state.match.route.name,
            outcome=outcome,
            target=exchange.target_id,
            sends=state.attempts,
            waited=state.has_waited,
            priority=state.match.priority,
            first_ms=round((first_byte_at - state.arrived_at) * 1000)
            if first_byte_at
            else -1,
            gap_ms=round(exchange.longest_gap_s * 1000),
            total_ms=round((now - state.arrived_at) * 1000),
            stated_ms=round((state.caller_headers.patience_s or 0.0) * 1000),
            used_ms=round((state.arrived_at - state.first_attempt_at) * 1000),
            target_ms=round(state.match.route.target_s * 1000),
            gap_target_ms=round(state.match.route.gap_s * 1000),
            **exchange.progress.log_fields(),
        )

    def record_fault(
        self,
        exchange: exchange_lib.Exchange,
        target: records.Target,
        fault: request_state.Fault,
        open_requests: int,
    ) -> None:
        """Record an attempt that brought no usable response."""
        self._count(exchange.progress)
        self._metrics.inc("faults", fault=fault.value)
        _log.info(
            "send failed",
            id=exchange.state.caller_headers.request_id,
            target=target.target_id,
            address=target.address,
            fault=fault.value,
            open=open_requests,
            sends=exchange.state.attempts,
            **exchange.progress.log_fields(),
        )

    def record_move(
        self,
        exchange: exchange_lib.Exchange,
    ) -> None:
        """Record that a stream moves away from a slow target."""
        self._count(exchange.progress)
        self._metrics.inc("moves")
        _log.info(
            "stream leaves target",
            id=exchange.state.caller_headers.request_id,
            target=exchange.target_id,
            last_event=exchange.state.last_event_id,
            sends=exchange.state.attempts,
            **exchange.progress.log_fields(),
        )

    def record_unread(self, exchange: exchange_lib.Exchange) -> None:
        """Record a target that cut off an answer its caller didn't read."""
        self._count(exchange.progress)
        self._metrics.inc("unread_answers", service=exchange.service)
        _log.info(
            "answer not read in time",
            id=exchange.state.caller_headers.request_id,
            target=exchange.target_id,
            last_event=exchange.state.last_event_id,
            sends=exchange.state.attempts,
            **exchange.progress.log_fields(),
        )

    def record_timeout(self, exchange: exchange_lib.Exchange) -> None:
        """Record that the deadline of a request has passed."""
        self._count(exchange.progress)
        _log.info(
            "time is up",
            id=exchange.state.caller_headers.request_id,
            target=exchange.target_id,
            sends=exchange.state.attempts,
            **exchange.progress.log_fields(),
        )

    def record_not_sent(self, exchange: exchange_lib.Exchange) -> None:
        """Record that the chosen target does not get the request."""
        self._count(exchange.progress)
        _log.info(
            "request not sent",
            id=exchange.state.caller_headers.request_id,
            target=exchange.target_id,
            sends=exchange.state.attempts,
            **exchange.progress.log_fields(),
        )
