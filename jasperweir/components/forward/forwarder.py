"""Requests of one entry: admitted, sent, sent again, answered."""

from collections.abc import Callable
import itertools
import random

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import budget as budget_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.balance import neighbours as neighbours_lib
from jasperweir.components.balance import outage as outage_lib
from jasperweir.components.balance import patience as patience_lib
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.directory import directory as directory_lib
from jasperweir.components.directory import records
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import early as early_lib
from jasperweir.components.forward import end_watch
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import life as life_lib
from jasperweir.components.forward import matching
from jasperweir.components.forward import notes as notes_lib
from jasperweir.components.forward import pass_watch
from jasperweir.components.forward import places as places_lib
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import record as record_lib
from jasperweir.components.forward import refusals as refusals_lib
from jasperweir.components.forward import starting as starting_lib
from jasperweir.components.forward import stragglers
from jasperweir.components.forward import targets as targets_lib
from jasperweir.components.forward import waiting as waiting_lib
from jasperweir.helpers import http_client
from jasperweir.helpers import http_server
from jasperweir.helpers import metrics as metrics_lib

Code = result_codes.Code


class Forwarder:
    """Everything that the requests of one entry share.

    Attributes:
        balancer: Open requests and health of targets.
        neighbours: Entries and targets that this one deals with first.
        places: Where a request may go now.
        passes: Passes of groups of engines, and the limits from them.
        notes: What is concluded from the answers of targets.
        ends: Targets that end, and the requests that ran there.
        targets: Which targets want requests now.
        waiting: Who may go to one at once, and who may wait.
        pool: Connections to targets.
        dialect: Protocol of callers and targets.
        index: Configuration in force, None before the first.
        is_certain: Tells whether the configuration in force is the newest.
        on_work: Called when ``tick`` has something to do soon.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        rng: random.Random,
        dialect: dialect_lib.Dialect,
        directory: directory_lib.Directory,
        neighbours: neighbours_lib.Neighbours,
        bounds: budget_lib.BudgetBounds,
        times: http_client.ClientTimeouts,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self.dialect = dialect
        self.balancer = balancer_lib.Balancer(rng=rng)
        self.pool = http_client.ConnectionPool(times=times)
        self.index: index_lib.Index | None = None
        self.is_certain: Callable[[], bool] = lambda: True
        self.on_work: Callable[[], None] = lambda: None
        self._clock = clock
        self._rng = rng
        self.neighbours = neighbours
        self.places = places_lib.Places(
            balancer=self.balancer, neighbours=neighbours, rng=rng
        )
        self._directory = directory
        self._budget = budget_lib.RetryBudget(bounds=bounds)
        self._record = record_lib.Recorder(metrics=metrics)
        self.ends = end_watch.EndWatch(
            clock=clock,
            pool=self.pool,
            directory=directory,
            record=self._record,
        )
        self._refusals = refusals_lib.Refusals(dialect=dialect, rng=rng)
        self._patience = patience_lib.UsualPatience()
        self._outages = outage_lib.Outages()
        self._early = early_lib.EarlyRequests()
        self._starting = starting_lib.Starting(started_at=clock.monotonic())
        self._numbers = itertools.count(1)
        self._open: dict[int, exchange_lib.Exchange] = {}
        self._queues = queues_lib.Queues(
            balancer=self.balancer,
            neighbours=neighbours,
            outages=self._outages,
            rng=rng,
        )
        self.targets = targets_lib.Targets(
            directory=directory,
            outages=self._outages,
            name=neighbours.name,
        )
        self.notes = notes_lib.Notes(
            clock=clock,
            targets=self.targets,
            balancer=self.balancer,
            outages=self._outages,
            queues=self._queues,
            record=self._record,
            starting=self._starting,
        )
        self.waiting = waiting_lib.Waiting(
            clock=clock,
            queues=self._queues,
            outages=self._outages,
            starting=self._starting,
            targets=self.targets,
            record=self._record,
        )
        self.waiting.on_work = lambda: self.on_work()
        self.passes = pass_watch.PassWatch(
            places=self.places, directory=directory, record=self._record
        )

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.monotonic()

    def stop(self) -> None:
        """Refuse new requests from now on."""
        self.waiting.stopping = True

    @property
    def stopping(self) -> bool:
        """Whether new requests are refused."""
        return self.waiting.stopping

    @property
    def open_count(self) -> int:
        """Number of requests without a final answer."""
        return len(self._open)

    # Arrival.

    def handle(self, answering: http_server.ResponseWriter) -> None:
        """Take in a caller's request."""
        req = answering.request
        index = self.index
        try:
            ask = self.dialect.ask(req)
        except ValueError as exc:
            self._turn_away(answering, None, Code.BAD_HEADER, str(exc))
            return
        if index is None:
            self._keep_early(answering, ask)
            return
        self._accept(answering, ask, index, self.now())

    def _keep_early(
        self, answering: http_server.ResponseWriter, ask: dialect_lib.Ask
    ) -> None:
        """Keep a request for a moment until there are routes."""
        now = self.now()
        until = self._starting.kept_until(now, ask.patience_s)
        if ask.resume_after:
            until = now + balance_const.RESUMED_WAIT_SECONDS
        many = len(self._early) >= balance_const.START_KEPT_MOST
        if self.stopping or many or until <= now:
            self._turn_away(answering, ask, Code.NOT_READY, "no configuration")
            return
        self._early.keep(early_lib.Early(answering, ask, now, until))
        self._record.kept(ask, until - now)
        self.on_work()

    def _accept_early(self, early: early_lib.Early) -> bool:
        if self.index is None:
            return False
        self._accept(
            early.answering,
            early.ask,
            self.index,
            early.arrived,
            kept_until=early.until,
        )
        return True

    def _refuse_early(self, early: early_lib.Early) -> None:
        self._turn_away(
            early.answering, early.ask, Code.NOT_READY, "no configuration"
        )

    def _accept(
        self,
        answering: http_server.ResponseWriter,
        ask: dialect_lib.Ask,
        index: index_lib.Index,
        arrived: float,
        kept_until: float = float("-inf"),
    ) -> None:
        match = matching.find(index, answering.request, ask)
        if isinstance(match, matching.Denial):
            self._deny(answering, ask, match)
            return
        if self.stopping:
            self._turn_away(answering, ask, Code.DRAINING, "stopping")
            return
        now = self.now()
        service = match.route.draw_service(self._rng)
        used_s = self._patience.used(match.route, ask.patience_s)
        life = life_lib.Life(match=match, ask=ask, now=arrived, used_s=used_s)
        life.kept_until = kept_until
        exchange = exchange_lib.Exchange(
            number=next(self._numbers),
            owner=self,
            answering=answering,
            life=life,
            service=service,
        )
        self._open[exchange.number] = exchange
        self._budget.count_first(service, now)
        self._admit(exchange, now)

    def _deny(
        self,
        answering: http_server.ResponseWriter,
        ask: dialect_lib.Ask,
        denial: matching.Denial,
    ) -> None:
        """Deny what the configuration does not hold, if it is the newest."""
        code = denial.code if self.is_certain() else Code.NOT_READY
        self._turn_away(answering, ask, code, denial.detail)

    # Places.

    def _admit(self, exchange: exchange_lib.Exchange, now: float) -> None:
        if self.ends.hold_back(exchange, now):
            return
        targets = self.targets.of(exchange.service, now)
        if not targets:
            self.waiting.without_target(exchange, now)
            return
        reach = self._reach(exchange.service, targets, now)
        if self.waiting.may_go(exchange, reach, now):
            self._send(exchange, reach, now)
            return
        running = self.places.open_at(targets, now)
        self.waiting.for_place(exchange, reach, running, now)

    def _reach(
        self, service: str, targets: list[records.Target], now: float
    ) -> places_lib.Reach:
        return self.places.reach(targets, self.passes.limits.of(service), now)

    def _send(
        self,
        exchange: exchange_lib.Exchange,
        reach: places_lib.Reach,
        now: float,
    ) -> None:
        if self.ends.hold_back(exchange, now):
            return
        tried = exchange.life.tried
        # Others may have been sent there since the places were counted.
        near = self.targets.still_open(reach.targets, exchange.service, now)
        target = self.balancer.choose(near, tried, now)
        if target is None:
            # All near ones have been tried.
            targets = self.targets.of(exchange.service, now)
            target = self.balancer.choose(targets, tried, now)
        if target is None:
            self.waiting.without_target(exchange, now)
            return
        target_id = target.target_id
        self._outages.of(exchange.service).on_sent(now)
        self._record.chosen(
            exchange,
            target,
            at_target=self.balancer.count_at(target_id, now),
            unknown=self.balancer.unknown_at(target_id, now),
            free=reach.places,
            targets=len(reach.targets),
            rest_left_s=self.targets.asked.rest_left_s(target, now),
            now=now,
        )
        self.targets.asked.on_chosen(target, now)
        exchange.send_to(target)

    def on_marks(self, now: float) -> None:
        """Refuse those who wait and are now known to end targets."""
        for service in self._queues.services():
            for number in self._queues.of(service).gate.numbers():
                exchange = self._open.get(number)
                if exchange is not None:
                    self.ends.hold_back(exchange, now)

    def send_again(self, exchange: exchange_lib.Exchange) -> None:
        """Send a request to another target if the budget allows."""
        now = self.now()
        if self._outages.of(exchange.service).lasts(now):
            # Another target would refuse it as well.
            exchange.give_up(Code.TARGETS_REFUSED)
            return
        targets = self.targets.of(exchange.service, now)
        reach = self._reach(exchange.service, targets, now)
        self._send_once_more(exchange, reach, now)

    @property
    def has_work(self) -> bool:
        """Whether ``tick`` has something to do: who waits, passes seen."""
        if len(self._early) or self._queues.services():
            return True
        return bool(self.passes.limits.due())

    def tick(self) -> None:
        """Let time pass: give places to those who wait, refuse the late.

        Due within TICK_SECONDS of an ``on_work``, and as long as ``has_work``.
        """
        now = self.now()
        self.passes.tick(now)
        if len(self._early):
            self._early.release(
                now, accept=self._accept_early, refuse=self._refuse_early
            )
        for service in self._queues.services():
            self._serve_queue(service, now)
        self._queues.tell(now)

    def _serve_queue(self, service: str, now: float) -> None:
        """Send those who get a place, refuse those who have waited enough."""
        gate = self._queues.of(service).gate
        targets = self.targets.of(service, now)
        reach = self._reach(service, targets, now)
        starts = self._starting.lasts(now)
        given = self._queues.given(service, reach, now, starts=starts)
        # In an overload without a start, room for those in time costs those who
        # are late more refusals than it brings.
        yielding = given.yielding if starts else None
        for number in gate.admit(given.total, now, yielding=yielding):
            exchange = self._open.get(number)
            if exchange is not None:
                self._send_once_more(exchange, reach, now)
        for number in gate.expire(now):
            exchange = self._open.get(number)
            if exchange is not None:
                exchange.give_up(Code.OVERLOADED)

    def _send_once_more(
        self,
        exchange: exchange_lib.Exchange,
        reach: places_lib.Reach,
        now: float,
    ) -> None:
        arrived = exchange.life.arrivals > 0
        if arrived and not self._take_retry(exchange.service, now):
            exchange.give_up(Code.TARGETS_REFUSED)
            return
        self._send(exchange, reach, now)

    def _take_retry(self, service: str, now: float) -> bool:
        taken = self._budget.take(service, self.places.entries, now)
        self._record.retry(taken=taken)
        return taken

    def on_paces(self, paces: dict[str, float], now: float) -> None:
        """Take in which targets, by address, are slow; streams leave them."""
        self.balancer.on_paces(paces, now)
        for exchange in stragglers.leaving(
            self._open.values(), self.balancer, self._directory, now
        ):
            self._move(exchange, now)

    def _move(self, exchange: exchange_lib.Exchange, now: float) -> None:
        targets = self.targets.of(exchange.service, now)
        reach = self._reach(exchange.service, targets, now)
        if reach.places < 1 or not self._take_retry(exchange.service, now):
            return
        self._record.moved(exchange)
        exchange.leave_target()
        self._send(exchange, reach, now)

    # Other entries.

    def on_entries(self, entries: tuple[records.Node, ...]) -> None:
        """Take in the entries that there are, this one included."""
        self.places.entries = max(len(entries), 1)
        self.neighbours.on_entries(entries)
        names = (entry.name for entry in entries)
        self.targets.asked.shares.on_entries(names, self.now())

    def share(self) -> balance_messages.Share:
        """Return what to tell the other entries."""
        refusing = self.targets.asked.refusing(self.now())
        return self.balancer.share()._replace(refusing=refusing)

    def on_share(self, src: str, msg: balance_messages.Share) -> None:
        """Take in what another entry tells."""
        now = self.now()
        self.balancer.on_share(src, msg, now)
        self.targets.asked.on_told(msg.refusing, now)

    def tidy(self) -> None:
        """Drop what is not used any more: connections, and rests long over."""
        now = self.now()
        self.pool.close_expired()
        self.targets.tidy(now)
        self._record.asking(self.targets.asked.counts(now))

    # Ends.

    def closed(self, exchange: exchange_lib.Exchange, outcome: str) -> None:
        """Forget a request that has ended, and record what became of it."""
        self._open.pop(exchange.number, None)
        if self._queues.withdraw(exchange):
            # The other entries are told that it waits no more.
            self.on_work()
        self._record.ended(
            exchange, outcome, version=self._version, now=self.now()
        )

    @property
    def _version(self) -> int:
        """Configuration version in force, 0 before the first."""
        return self.index.deployment.version if self.index else 0

    def note_pause(self, service: str, seconds: float) -> None:
        """Note the pause between two events of a stream."""
        if self.passes.limits.on_pause(service, seconds):
            self.on_work()

    def refuse(self, exchange: exchange_lib.Exchange, code: Code) -> None:
        """Answer a request by a result code, with when to come back."""
        now = self.now()
        self._refusals.refuse(
            exchange.answering,
            exchange.life.ask,
            code,
            now,
            outage=self._outages.of(exchange.service).lasts(now),
            foreseen_s=exchange.life.foreseen_s,
            held_s=self.ends.verdict(exchange, now).held_s,
        )

    def _turn_away(
        self,
        answering: http_server.ResponseWriter,
        ask: dialect_lib.Ask | None,
        code: Code,
        detail: str,
    ) -> None:
        self._record.turned_away(ask, code, detail, self._version)
        self._refusals.refuse(answering, ask, code, self.now())
