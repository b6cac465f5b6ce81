"""Forwarding of all requests of one entry."""

from collections.abc import Callable
import itertools
import random

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import budget as budget_lib
from jasperweir.components.balance import entry_cell as entry_cell_lib
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import admission as admission_lib
from jasperweir.components.forward import available_targets
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import crash_detector
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import intake as intake_lib
from jasperweir.components.forward import outcome_tracker
from jasperweir.components.forward import pass_monitor
from jasperweir.components.forward import quarantine_enforcer
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.forward import rejections
from jasperweir.components.forward import rematcher as rematcher_lib
from jasperweir.components.forward import request_state
from jasperweir.components.forward import response_recorder
from jasperweir.components.forward import return_detector
from jasperweir.components.forward import startup_grace as startup_grace_lib
from jasperweir.components.forward import stragglers
from jasperweir.components.forward import version_audit
from jasperweir.components.groups import directory as group_directory
from jasperweir.components.groups import messages as groups_messages
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.registry import ops
from jasperweir.components.warmup import rate as rate_lib
from jasperweir.helpers import http_client
from jasperweir.helpers import http_server
from jasperweir.helpers import metrics as metrics_lib

Code = result_codes.Code


class Forwarder:
    """Admits requests, chooses their targets and retries them.

    Attributes:
        balancer: Open requests and health of targets.
        cell: Entries and targets in the same cell as this entry.
        capacity: Free slots at targets, nearby ones first.
        groups: Groups of ranks that run passes together.
        pass_monitor: Pass times of engine groups and the resulting limits.
        outcomes: Updates of shared state after each attempt.
        crash_detector: Detection of crashed targets and of the requests that
            ran there.
        quarantine: Rejection of requests on which targets crash.
        queues: Waiting requests and their order of service.
        responses: Records of the responses of targets.
        targets: Targets that accept requests now.
        admission: Policy on sending, queueing and rejecting requests.
        pool: Connections to targets.
        intake: Decisions on requests by the configuration in force.
        rematcher: The same on admitted requests, before they are sent.
        version_audit: Check of the requests sent, by newer versions.
        on_work: Called when ``tick`` needs to run soon.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        rng: random.Random,
        dialect: dialect_lib.Dialect,
        directory: directory_lib.Directory,
        cell: entry_cell_lib.EntryCell,
        bounds: budget_lib.BudgetBounds,
        times: http_client.ClientTimeouts,
        metrics: metrics_lib.Metrics,
        is_first_start: bool = False,
        cold_bounds: rate_lib.Bounds = rate_lib.DEFAULT_BOUNDS,
    ) -> None:
        self.balancer = balancer_lib.Balancer(rng=rng)
        self.pool = http_client.ConnectionPool(times=times)
        self.on_work: Callable[[], None] = lambda: None
        self._clock = clock
        self._rng = rng
        self.cell = cell
        self.groups = group_directory.GroupDirectory()
        self.capacity = capacity_lib.CapacityFinder(
            balancer=self.balancer, cell=cell, rng=rng, groups=self.groups
        )
        self._directory = directory
        self._budget = budget_lib.RetryBudget(
            bounds=bounds,
            now=clock.monotonic(),
            is_first_start=is_first_start,
        )
        self._recorder = recorder_lib.Recorder(metrics=metrics)
        self.pool.on_exceeded = self._recorder.record_exceeded
        self.responses = response_recorder.ResponseRecorder(metrics=metrics)
        self.crash_detector = crash_detector.CrashDetector(
            clock=clock,
            pool=self.pool,
            directory=directory,
            recorder=self._recorder,
            quarantine=quarantine_lib.Quarantine(
                trial_prefix=f"{cell.name}/{clock.wall():.3f}"
            ),
        )
        self._rejections = rejections.RejectionResponder(
            dialect=dialect, rng=rng
        )
        self._returns = return_detector.ReturnDetector(
            started_at=clock.monotonic()
        )
        self._outages = outage_lib.Outages(groups=self.groups)
        self._startup_grace = startup_grace_lib.StartupGrace(
            started_at=clock.monotonic()
        )
        self._exchange_numbers = itertools.count(1)
        self._open_exchanges: dict[int, exchange_lib.Exchange] = {}
        self._is_handing_over = False
        self.intake = intake_lib.RequestIntake(
            clock=clock,
            dialect=dialect,
            recorder=self._recorder,
            rejections=self._rejections,
            returns=self._returns,
            startup_grace=self._startup_grace,
            rng=rng,
        )
        self.intake.on_matched = self.start_exchange
        self.intake.on_work = lambda: self.on_work()
        self.queues = queues_lib.Queues(
            balancer=self.balancer,
            cell=cell,
            outages=self._outages,
            startup_grace=self._startup_grace,
            rng=rng,
        )
        self.queues.on_order_change = self._recorder.record_order
        self.rematcher = rematcher_lib.Rematcher(
            intake=self.intake, queues=self.queues
        )
        self.version_audit = version_audit.VersionAudit()
        self.quarantine = quarantine_enforcer.QuarantineEnforcer(
            clock=clock,
            quarantine=self.crash_detector.quarantine,
            queues=self.queues,
            open_exchanges=self._open_exchanges,
            recorder=self._recorder,
        )
        self.targets = available_targets.AvailableTargets(
            directory=directory,
            outages=self._outages,
            name=cell.name,
            cold_bounds=cold_bounds,
        )
        self.targets.on_evacuation_ended = self.on_evacuation_ended
        self.capacity.warmup = self.targets.warmup
        self.outcomes = outcome_tracker.OutcomeTracker(
            clock=clock,
            targets=self.targets,
            balancer=self.balancer,
            outages=self._outages,
            queues=self.queues,
            recorder=self._recorder,
            responses=self.responses,
            startup_grace=self._startup_grace,
        )
        self.admission = admission_lib.AdmissionPolicy(
            clock=clock,
            queues=self.queues,
            outages=self._outages,
            startup_grace=self._startup_grace,
            targets=self.targets,
            recorder=self._recorder,
        )
        self.admission.on_work = lambda: self.on_work()
        self.pass_monitor = pass_monitor.PassMonitor(
            capacity=self.capacity,
            directory=self.targets,
            recorder=self._recorder,
            groups=self.groups,
        )

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.monotonic()

    def begin_stop(self, ends_at: float) -> None:
        """Take only requests that end before the process does.

        Args:
            ends_at: When the process ends at the latest, monotonic seconds.
        """
        self.intake.ends_at = ends_at

    def stop(self) -> None:
        """Reject new requests from now on, and those that can't end."""
        if self.stopping:
            return
        self.admission.stopping = True
        self.intake.is_stopping = True
        for exchange in list(self._open_exchanges.values()):
            is_unsent = exchange.is_waiting and not exchange.state.deliveries
            if is_unsent and exchange.state.deadline > self.intake.ends_at:
                exchange.fail(Code.DRAINING)

    @property
    def stopping(self) -> bool:
        """Whether new requests are rejected."""
        return self.admission.stopping

    @property
    def open_count(self) -> int:
        """Number of requests without a final response."""
        return len(self._open_exchanges)

    # Arrival.

    def handle(self, answering: http_server.ResponseWriter) -> None:
        """Handle a caller's request."""
        self.intake.handle(answering)

    @property
    def dialect(self) -> dialect_lib.Dialect:
        """Protocol of callers and targets."""
        return self.intake.dialect

    @dialect.setter
    def dialect(self, dialect: dialect_lib.Dialect) -> None:
        self.intake.dialect = dialect

    @property
    def index(self) -> index_lib.DeploymentIndex | None:
        """Configuration in force, None before the first."""
        return self.intake.index

    @index.setter
    def index(self, index: index_lib.DeploymentIndex | None) -> None:
        self.intake.index = index
        self.rematcher.is_due = True
        self._rematch_waiting()

    def _rematch_waiting(self) -> None:
        """Match waiting requests again if the version in force has changed."""
        if self.intake.is_awaiting:
            return
        if not self.rematcher.is_due and not self.intake.is_outdated:
            return
        self.rematcher.is_due = False
        for exchange in list(self._open_exchanges.values()):
            if not exchange.is_waiting or self.rematcher.is_held(exchange):
                continue
            has_moved = self.rematcher.rematch(exchange)
            if not has_moved or exchange.done:
                continue
            if exchange.state.deliveries:
                self.retry(exchange)
            else:
                self._send_or_queue(exchange, self.now())

    def start_exchange(
        self,
        answering: http_server.ResponseWriter,
        state: request_state.RequestState,
    ) -> None:
        """Admit a request that the configuration allows."""
        exchange = exchange_lib.Exchange(
            number=next(self._exchange_numbers),
            forwarder=self,
            answering=answering,
            state=state,
            service=state.match.route.choose_service(self._rng),
        )
        self.admit(exchange)

    # Target selection.

    def admit(self, exchange: exchange_lib.Exchange) -> None:
        """Send, queue or reject a request that has arrived."""
        now = self.now()
        self._open_exchanges[exchange.number] = exchange
        self._budget.count_first(exchange.service, now)
        self._send_or_queue(exchange, now)

    def _send_or_queue(
        self, exchange: exchange_lib.Exchange, now: float
    ) -> None:
        self.queues.on_arrival(exchange, now)
        if self.quarantine.reject_if_quarantined(exchange, now):
            return
        if self._probe_group(exchange, now):
            return
        targets = self.targets.list_available(exchange.service, now)
        if not targets:
            self.admission.wait_for_available_target(exchange, now)
            return
        candidates = self._find_candidates(exchange.service, targets, now)
        if self.admission.may_send_now(exchange, candidates, now):
            self._choose_and_send(exchange, candidates, now)
            return
        running = self.capacity.count_open(targets, now)
        self.admission.wait_for_slot(exchange, candidates, running, now)

    def _probe_group(self, exchange: exchange_lib.Exchange, now: float) -> bool:
        """Send a request to a closed group if a probe is due.

        A caller that is unlikely to try again is not used for it.

        Returns:
            Whether the request was sent.
        """
        service = exchange.service
        if (
            not self.groups.list_units(service)
            or exchange.state.is_last_attempt
        ):
            return False
        probe = self.targets.take_probe(service, self.capacity.entry_count, now)
        if probe is None:
            return False
        target = self.balancer.choose(probe.targets, set(), now)
        if target is None:
            return False
        group = probe.unit[len(service) + 1 :]
        self._recorder.record_group_probe(service, group, probe.interval_s)
        candidates = capacity_lib.Candidates(
            probe.targets, 0, 0, self.capacity.entry_count, probe.unit
        )
        self._send_to(exchange, target, candidates, now)
        return True

    def _find_candidates(
        self, service: str, targets: list[records.Target], now: float
    ) -> capacity_lib.Candidates:
        if self.groups.list_units(service):
            return self.capacity.find_in_groups(
                service, targets, self.pass_monitor.limits, now
            )
        return self.capacity.find_candidates(
            targets, self.pass_monitor.limits.get(service), now
        )

    def _choose_and_send(
        self,
        exchange: exchange_lib.Exchange,
        candidates: capacity_lib.Candidates,
        now: float,
    ) -> None:
        if self.quarantine.reject_if_quarantined(exchange, now):
            return
        tried_target_ids = exchange.state.tried_target_ids
        # Requests sent since the slots were counted may have closed a target.
        available = self.targets.filter_available(
            candidates.targets, exchange.service, now
        )
        target = self.balancer.choose(
            available,
            tried_target_ids,
            now,
            is_urgent=self.queues.is_most_urgent(exchange, now),
        )
        if target is None:
            # All nearby targets have been tried.
            targets = self.targets.list_available(exchange.service, now)
            target = self.balancer.choose(targets, tried_target_ids, now)
        if target is None:
            self.admission.wait_for_available_target(exchange, now)
            return
        self._send_to(exchange, target, candidates, now)

    def _send_to(
        self,
        exchange: exchange_lib.Exchange,
        target: records.Target,
        candidates: capacity_lib.Candidates,
        now: float,
    ) -> None:
        """Send a request to a target that was chosen from candidates."""
        target_id = target.target_id
        service = exchange.service
        unit = self.groups.find_unit(service, target.address)
        self._outages.get_unit(service, unit).on_sent(now)
        self.capacity.by_group.on_chosen(unit)
        self._recorder.record_choice(
            exchange,
            target,
            open_requests=self.balancer.count_at(target_id, now),
            unreported=self.balancer.unknown_at(target_id, now),
            free_slots=candidates.free_slots,
            candidate_count=len(candidates.targets),
            backoff_left_s=self.targets.backpressure.backoff_left_s(
                target, now
            ),
            now=now,
            group=unit[len(service) + 1 :],
        )
        is_cold = self.targets.on_chosen(target, now)
        self.queues.on_sent(exchange)
        self.quarantine.on_sending(exchange, now)
        exchange.send_to(target, is_counted_cold=is_cold)

    def retry(self, exchange: exchange_lib.Exchange) -> None:
        """Send a request to another target if the retry budget allows."""
        now = self.now()
        if self.rematcher.hold(exchange, now):
            self.on_work()
            return
        self.rematcher.rematch(exchange)
        if exchange.done:
            return
        if self._outages.get(exchange.service).is_active(now):
            # Another target would refuse the request as well.
            exchange.fail(Code.TARGETS_REFUSED)
            return
        targets = self.targets.list_available(exchange.service, now)
        candidates = self._find_candidates(exchange.service, targets, now)
        self._send_within_budget(exchange, candidates, now)

    @property
    def has_work(self) -> bool:
        """Whether ``tick`` has queues or measured passes to process."""
        if self.intake.is_holding or self.rematcher.is_holding:
            return True
        if self.queues.list_waiting_services():
            return True
        return bool(self.pass_monitor.limits.due())

    def tick(self) -> None:
        """Send queued requests to free slots and reject expired ones.

        To be called within TICK_SECONDS of an ``on_work`` call, and again while
        ``has_work`` is true.
        """
        now = self.now()
        self.pass_monitor.tick(now)
        self.intake.tick()
        self.rematcher.release(now, self.retry)
        self._rematch_waiting()
        for service in self.queues.list_waiting_services():
            self._serve_queue(service, now)
        self.queues.publish(now)

    def _serve_queue(self, service: str, now: float) -> None:
        """Send the admitted requests of a queue and reject the expired ones.

        None is sent while an answer of the control VMs is awaited.
        """
        wait_queue = self.queues.get(service).wait_queue
        if self.targets.are_all_evacuated(service, now):
            self._reject_evacuated(wait_queue.numbers())
            return
        targets = self.targets.list_available(service, now)
        candidates = self._find_candidates(service, targets, now)
        is_starting = self._startup_grace.is_active(now)
        admitted = []
        if not self.intake.is_awaiting:
            admitted = self.queues.admit(
                service, candidates, now, is_starting=is_starting
            )
        for number in admitted:
            exchange = self._open_exchanges.get(number)
            if exchange is not None:
                self._send_within_budget(exchange, candidates, now)
        hopeless = self.queues.find_hopeless(service, now)
        for number in (*hopeless, *wait_queue.expire(now)):
            exchange = self._open_exchanges.get(number)
            if exchange is not None:
                exchange.fail(Code.OVERLOADED)

    def _reject_evacuated(self, numbers: list[int]) -> None:
        for number in numbers:
            exchange = self._open_exchanges.get(number)
            if exchange is not None:
                exchange.fail(Code.EVACUATED)

    def on_evacuations(self, evacuations: ops.EvacuationList) -> None:
        """Send nothing more to the targets of evacuated data centres.

        Requests that run there run to completion.
        """
        before = self.targets.evacuated
        places = frozenset(evacuations.places)
        self._recorder.record_evacuations(before, evacuations)
        self.targets.set_evacuated(places, self.now())
        self.on_work()

    def _send_within_budget(
        self,
        exchange: exchange_lib.Exchange,
        candidates: capacity_lib.Candidates,
        now: float,
    ) -> None:
        is_retry = exchange.state.deliveries > 0
        if is_retry and not self._take_retry(exchange, now):
            exchange.fail(Code.TARGETS_REFUSED)
            return
        self._choose_and_send(exchange, candidates, now)

    def _take_retry(self, exchange: exchange_lib.Exchange, now: float) -> bool:
        decision = self._budget.take(exchange.service, now)
        self._recorder.record_retry(exchange, decision)
        return decision.allowed

    def update_slowdowns(self, slowdowns: dict[str, float], now: float) -> None:
        """Update the slowdowns of targets and move streams away from slow ones.

        Args:
            slowdowns: Slowdown factors by target address.
            now: Monotonic seconds.
        """
        self.balancer.update_slowdowns(slowdowns, now)
        for exchange in stragglers.find_streams_to_move(
            self._open_exchanges.values(), self.balancer, self._directory, now
        ):
            self._move_stream(exchange, now)

    def _move_stream(self, exchange: exchange_lib.Exchange, now: float) -> None:
        if not self.rematcher.may_continue(exchange):
            return
        targets = self.targets.list_available(exchange.service, now)
        candidates = self._find_candidates(exchange.service, targets, now)
        if candidates.free_slots < 1 or not self._take_retry(exchange, now):
            return
        exchange.leave_target()
        self.responses.record_move(exchange)
        self._choose_and_send(exchange, candidates, now)

    # Other entries.

    def on_entries(
        self, entries: tuple[records.Node, ...], *, hears_leader: bool
    ) -> None:
        """Update the list of entries, this one included.

        Args:
            entries: All entries that are open to callers.
            hears_leader: Whether the leader of the log, which counts all
                entries that hear from it, was heard from recently.
        """
        now = self.now()
        count = max(len(entries), 1)
        if count != self.capacity.entry_count:
            self._recorder.record_entry_count(self.capacity.entry_count, count)
        self.capacity.entry_count = count
        self._budget.on_entries(len(entries) if hears_leader else 0, now)
        self.cell.on_entries(entries)
        names = [entry.name for entry in entries]
        self.targets.backpressure.shares.on_entries(names, now)
        self.targets.warmup.shares.on_entries(
            names,
            now,
            is_confirmed=hears_leader and self.cell.name in names,
        )

    def on_groups(self, msg: groups_messages.GroupList) -> None:
        """Use a list of groups unless a newer one is known."""
        changes = self.groups.on_list(msg)
        if changes is None:
            return
        now = self.now()
        for change in changes:
            self._recorder.record_group(change)
            if not change.group.is_open:
                continue
            if change.has_reformed or change.was_open is False:
                self.pass_monitor.on_formed_anew(
                    change.service, change.unit, now
                )
                # Refusals of the earlier epoch say nothing about this one.
                self._outages.reset(change.unit)
                self.targets.on_service_recovered(
                    change.service, now, change.unit
                )
        units = self.groups.all_units()
        self._outages.keep_units(units)
        self.pass_monitor.keep_units(units)
        self.capacity.by_group.keep_units(units)

    def share(self) -> balance_messages.Share:
        """Return the load report for other entries."""
        now = self.now()
        return self.balancer.share()._replace(
            refusing=self.targets.backpressure.refusing(now),
            refused=self._returns.take_unsent(now),
            demand=self.queues.build_demand(now),
        )

    def on_share(self, src: str, msg: balance_messages.Share) -> None:
        """Handle another entry's load report."""
        now = self.now()
        self.balancer.on_share(src, msg, now)
        self.queues.on_share(src, msg, now)
        self.targets.backpressure.on_peer_refusals(msg.refusing, now)
        self._returns.on_peer_refused(msg.refused, now)
        self.targets.warmup.shares.on_heard(src, now)

    def tidy(self) -> None:
        """Close idle connections, drop expired state and publish metrics."""
        now = self.now()
        self.responses.publish()
        self.pool.close_expired()
        self.targets.tidy(now)
        self._recorder.record_signal_counts(
            self.targets.backpressure.counts(now)
        )
        self._recorder.record_clamped(self.queues.count_clamped())
        warmup = self.targets.warmup
        self._recorder.record_cold_changes(
            warmup.tick(now), warmup.count_cold(), now
        )

    def on_evacuation_ended(self, place: str, now: float) -> None:
        """Count a data centre's targets as cold until their next heartbeats.

        Args:
            place: Data centre whose evacuation was withdrawn.
            now: Monotonic seconds.
        """
        self.targets.warmup.on_evacuation_ended(place, now)

    # Completion.

    def on_finished(
        self, exchange: exchange_lib.Exchange, outcome: str
    ) -> None:
        """Remove a finished request and record its outcome."""
        self._open_exchanges.pop(exchange.number, None)
        if self.queues.remove(exchange):
            # The shorter queue must be published to the other entries.
            self.on_work()
        elif exchange.target_id:
            self._hand_over_slot(exchange.service)
        self.responses.record_end(exchange, outcome, now=self.now())

    def _hand_over_slot(self, service: str) -> None:
        """Send a waiting request to the slot of one that has ended."""
        queue = self.queues.get(service)
        # Otherwise slots are taken in ticks and by new requests only.
        if queue.order is None or not len(queue.wait_queue):
            return
        if not self.intake.may_send:
            self.on_work()
            return
        if self._is_handing_over:
            # A request that is refused meanwhile would hand over in turn.
            self.on_work()
            return
        now = self.now()
        targets = self.targets.list_available(service, now)
        candidates = self._find_candidates(service, targets, now)
        self._is_handing_over = True
        try:
            for number in self.queues.hand_over(service, candidates, now):
                exchange = self._open_exchanges.get(number)
                if exchange is not None:
                    self._send_within_budget(exchange, candidates, now)
        finally:
            self._is_handing_over = False

    def record_pause(
        self, service: str, target: records.Target | None, seconds: float
    ) -> None:
        """Record the pause between two events of a stream of a target."""
        if self.pass_monitor.on_pause(service, target, seconds):
            self.on_work()

    def reject(self, exchange: exchange_lib.Exchange, code: Code) -> None:
        """Send a result code to the caller, with the delay before a retry."""
        now = self.now()
        state = exchange.state
        self._returns.on_refused(
            route=state.match.route,
            subject=fingerprint.subject(exchange.request, state.customer_name),
            refused=return_detector.RefusedRequest(
                first_attempt_at=state.first_attempt_at,
                caller_deadline=state.caller_deadline,
            ),
            now=now,
        )
        self._rejections.reject(
            exchange.answering,
            exchange.state.caller_headers,
            code,
            now,
            outage=self._outages.get(exchange.service).is_active(now),
            expected_wait_s=exchange.state.expected_wait_s,
            return_s=self.queues.plan_return(exchange, now)
            if code is Code.OVERLOADED
            else None,
            quarantine_s=self.quarantine.decide(exchange, now).retry_after_s,
        )
