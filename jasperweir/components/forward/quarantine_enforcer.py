"""Enforcement of the quarantine on the requests of one entry."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.directory import records
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.forward import response_progress
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import quarantine as quarantine_lib

Code = result_codes.Code
Fingerprint = fingerprint.Fingerprint


class _Trial(NamedTuple):
    """A request that was sent to learn whether it crashes targets."""

    trial_id: str
    fingerprints: tuple[Fingerprint, ...]


class QuarantineEnforcer:
    """Rejects requests that are held, and reports how others end.

    Attributes:
        quarantine: Decides on requests.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        quarantine: quarantine_lib.Quarantine,
        queues: queues_lib.Queues,
        open_exchanges: Mapping[int, exchange_lib.Exchange],
        recorder: recorder_lib.Recorder,
    ) -> None:
        self.quarantine = quarantine
        self._clock = clock
        self._queues = queues
        self._open_exchanges = open_exchanges
        self._recorder = recorder
        # Trials whose results are awaited, by number of the request.
        self._trials: dict[int, _Trial] = {}

    # Decisions.

    def decide(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> quarantine_lib.Decision:
        """Return the decision on a request."""
        if not len(self.quarantine.ledger):
            return quarantine_lib.CLEAR
        return self.quarantine.decide(build_subject(exchange), now)

    def reject_if_quarantined(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> bool:
        """Reject a request under which targets crash, or that may be one.

        This keeps a request that is retried every few seconds, and others with
        the same part in their prompts, from crashing one target after another,
        each of which stops its group of ranks.

        Returns:
            Whether the request was rejected.
        """
        decision = self.decide(exchange, now)
        if not decision.is_rejected:
            return False
        self._recorder.record_quarantined(exchange, decision)
        exchange.fail(
            Code.PART_CRASHES_TARGETS
            if decision.is_for_part
            else Code.ENDS_TARGETS
        )
        return True

    def reject_held(self, now: float) -> None:
        """Reject queued requests that are held by now, and cancel others.

        A target that has not begun to answer a request has yet to crash on it.
        """
        if not len(self.quarantine.ledger):
            return
        for service in self._queues.list_waiting_services():
            for number in self._queues.get(service).wait_queue.numbers():
                exchange = self._open_exchanges.get(number)
                if exchange is not None and self._is_held(exchange, now):
                    self.reject_if_quarantined(exchange, now)
        if not self.quarantine.ledger.part_count:
            return
        for exchange in list(self._open_exchanges.values()):
            if exchange.awaits_answer and self._is_held_for_part(exchange, now):
                exchange.leave_target(response_progress.End.HELD)
                self.reject_if_quarantined(exchange, now)

    def _is_held(self, exchange: exchange_lib.Exchange, now: float) -> bool:
        """Return whether a request is held, not only until a trial ends."""
        standing = self.decide(exchange, now).standing
        return standing is quarantine_lib.Standing.HELD

    def _is_held_for_part(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> bool:
        if not exchange.state.caller_headers.prompt_parts:
            return False
        decision = self.decide(exchange, now)
        is_held = decision.standing is quarantine_lib.Standing.HELD
        return is_held and decision.is_for_part

    # Events of requests.

    def on_sending(self, exchange: exchange_lib.Exchange, now: float) -> None:
        """Begin the trial that a request is sent as, if any."""
        decision = self.decide(exchange, now)
        if decision.standing is not quarantine_lib.Standing.TRIAL:
            return
        self._recorder.record_trial(exchange, decision)
        trial_id = self.quarantine.begin_trial(decision, now)
        self._trials[exchange.number] = _Trial(trial_id, decision.fingerprints)

    def on_answering(self, exchange: exchange_lib.Exchange) -> None:
        """Record a response that goes on, so that its request is harmless."""
        now = self._clock.monotonic()
        self.quarantine.on_answered(
            fingerprint.compute_parts(build_subject(exchange)),
            exchange.progress.began_at,
            now,
        )
        trial = self._trials.get(exchange.number)
        if trial is not None:
            self.quarantine.pass_trial(trial.fingerprints, now)

    def on_response(self, target: records.Target, sent_at: float) -> None:
        """Record that a target responded to a request sent at a given time."""
        if len(self.quarantine.ledger):
            incarnation = ledger_lib.Incarnation(target.target_id, target.born)
            self.quarantine.on_alive(
                incarnation, sent_at, self._clock.monotonic()
            )

    def on_completed(self, exchange: exchange_lib.Exchange) -> None:
        """Record that a request got a complete, successful response."""
        if len(self.quarantine.ledger):
            self.quarantine.on_completed(
                build_subject(exchange), self._clock.monotonic()
            )

    def on_attempt_ended(self, exchange: exchange_lib.Exchange) -> None:
        """End the trial of a request that has left its target."""
        if not self._trials:
            return
        trial = self._trials.pop(exchange.number, None)
        if trial is not None:
            self.quarantine.end_trial(*trial, self._clock.monotonic())

    def take_trial(
        self, exchange: exchange_lib.Exchange
    ) -> Callable[[], None] | None:
        """Return what ends the trial of a request whose target is checked."""
        trial = self._trials.pop(exchange.number, None)
        if trial is None:
            return None
        return lambda: self.quarantine.end_trial(
            *trial, self._clock.monotonic()
        )


def build_subject(exchange: exchange_lib.Exchange) -> fingerprint.Subject:
    """Return what identifies a request."""
    return fingerprint.subject(
        exchange.request,
        exchange.state.customer_name,
        exchange.service,
        exchange.state.caller_headers.prompt_parts,
    )
