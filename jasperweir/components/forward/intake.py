"""Decisions on requests by the configuration in force.

A request is matched when it arrives, and again while it waits, when another
version comes into force, and before it is sent to another target.
"""

from collections.abc import Callable
import random

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.balance import const as balance_const
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.discovery import version_basis
from jasperweir.components.forward import dialect as dialect_lib
from jasperweir.components.forward import early_requests
from jasperweir.components.forward import exchange as exchange_lib
from jasperweir.components.forward import matching
from jasperweir.components.forward import recorder as recorder_lib
from jasperweir.components.forward import rejections as rejections_lib
from jasperweir.components.forward import request_state
from jasperweir.components.forward import return_detector
from jasperweir.components.forward import startup_grace as startup_grace_lib
from jasperweir.components.quarantine import fingerprint
from jasperweir.helpers import http_server

Code = result_codes.Code
Standing = tracker_lib.Standing

_NEVER = float("-inf")
# Longest time for which a request is held while an answer of the control VMs
# is awaited, seconds.
HELD_SECONDS = 2 * confirmation_const.ANSWER_SECONDS
_MAYBE_OUTDATED = matching.Denial(
    Code.CONFIGURATION_UNCONFIRMED, "a newer version may exist"
)


class RequestIntake:
    """Matches requests, or holds or rejects them where it cannot know.

    Attributes:
        dialect: Protocol of callers and targets.
        index: Configuration in force, None before the first.
        is_stopping: Whether new requests are rejected.
        ends_at: When the process ends at the latest, monotonic seconds. A
            request whose time may last longer is rejected.
        describe_version: Returns what is known of the version in force.
        on_matched: Called with a request that the configuration allows.
        on_work: Called when ``tick`` needs to run soon.
    """

    def __init__(
        self,
        *,
        clock: core.Clock,
        dialect: dialect_lib.Dialect,
        recorder: recorder_lib.Recorder,
        rejections: rejections_lib.RejectionResponder,
        returns: return_detector.ReturnDetector,
        startup_grace: startup_grace_lib.StartupGrace,
        rng: random.Random,
    ) -> None:
        self.index: index_lib.DeploymentIndex | None = None
        self.is_stopping = False
        self.ends_at = float("inf")
        self.describe_version: Callable[[], version_basis.VersionBasis] = (
            version_basis.VersionBasis
        )
        self.on_matched: Callable[
            [http_server.ResponseWriter, request_state.RequestState], None
        ] = lambda answering, state: None
        self.on_work: Callable[[], None] = lambda: None
        self._clock = clock
        self.dialect = dialect
        self._recorder = recorder
        self._rejections = rejections
        self._returns = returns
        self._startup_grace = startup_grace
        self._rng = rng
        self._held = early_requests.EarlyRequestBuffer()

    @property
    def is_holding(self) -> bool:
        """Whether requests are held until the configuration is known."""
        return bool(len(self._held))

    # Arrival.

    def handle(self, answering: http_server.ResponseWriter) -> None:
        """Match, hold or reject a request that has arrived."""
        try:
            headers = self.dialect.parse_caller_headers(answering.request)
        except ValueError as exc:
            self._turn_away(answering, None, Code.BAD_HEADER, str(exc))
            return
        now = self._clock.monotonic()
        match self._get_standing():
            case Standing.UNKNOWN:
                self._hold_at_start(answering, headers, now)
            case Standing.AWAITING:
                deadline = now + HELD_SECONDS
                self._hold(answering, headers, now, deadline)
            case standing:
                self._decide(answering, headers, standing, now)

    def tick(self) -> None:
        """Decide on held requests, and reject those held for too long."""
        if len(self._held):
            self._held.release(
                self._clock.monotonic(),
                accept=self._accept_held,
                reject=self._reject_held,
            )

    def _get_standing(self) -> Standing:
        if self.index is None:
            return Standing.UNKNOWN
        return self.describe_version().standing

    def _hold_at_start(
        self,
        answering: http_server.ResponseWriter,
        headers: dialect_lib.CallerHeaders,
        now: float,
    ) -> None:
        deadline = self._startup_grace.compute_deadline(now, headers.patience_s)
        if headers.resume_after:
            deadline = now + balance_const.RESUMED_WAIT_SECONDS
        self._hold(answering, headers, now, deadline, at_start=True)

    def _hold(
        self,
        answering: http_server.ResponseWriter,
        headers: dialect_lib.CallerHeaders,
        now: float,
        deadline: float,
        *,
        at_start: bool = False,
    ) -> None:
        """Hold a request until the configuration is known to be current."""
        is_full = len(self._held) >= balance_const.START_BUFFERED_MAX
        if self.is_stopping or is_full or deadline <= now:
            self._reject_undecided(answering, headers)
            return
        self._held.add(
            early_requests.EarlyRequest(
                answering, headers, now, deadline, at_start
            )
        )
        self._recorder.record_buffered(headers, deadline - now)
        self.on_work()

    def _accept_held(self, held: early_requests.EarlyRequest) -> bool:
        standing = self._get_standing()
        if standing in (Standing.UNKNOWN, Standing.AWAITING):
            return False
        self._decide(
            held.answering,
            held.caller_headers,
            standing,
            held.arrived_at,
            startup_deadline=held.deadline if held.at_start else _NEVER,
        )
        return True

    def _reject_held(self, held: early_requests.EarlyRequest) -> None:
        self._reject_undecided(held.answering, held.caller_headers)

    def _reject_undecided(
        self,
        answering: http_server.ResponseWriter,
        headers: dialect_lib.CallerHeaders,
    ) -> None:
        if self._get_standing() is Standing.UNKNOWN:
            self._turn_away(
                answering, headers, Code.NOT_READY, "no configuration"
            )
            return
        self._turn_away(
            answering, headers, Code.CONFIGURATION_UNCONFIRMED, "no answer"
        )

    # Decisions.

    def _decide(
        self,
        answering: http_server.ResponseWriter,
        headers: dialect_lib.CallerHeaders,
        standing: Standing,
        arrived_at: float,
        startup_deadline: float = _NEVER,
    ) -> None:
        if standing.is_refusing:
            self._turn_away(answering, headers, *_MAYBE_OUTDATED)
            return
        match = self._match(answering, headers)
        if isinstance(match, matching.Denial):
            self._turn_away(answering, headers, match.code, match.detail)
            return
        if self.is_stopping:
            self._turn_away(answering, headers, Code.DRAINING, "stopping")
            return
        used_s = self._returns.estimate_used_s(
            route=match.route,
            stated_s=headers.patience_s,
            subject=fingerprint.subject(
                answering.request,
                match.customer.name if match.customer else "",
            ),
            now=self._clock.monotonic(),
        )
        state = request_state.RequestState(
            match=match, caller_headers=headers, now=arrived_at, used_s=used_s
        )
        if state.deadline > self.ends_at:
            self._turn_away(
                answering, headers, Code.DRAINING, "stopping, too little time"
            )
            return
        state.startup_deadline = startup_deadline
        self._note_basis(state)
        state.admitted_version = state.config_version
        self.on_matched(answering, state)

    def _match(
        self,
        answering: http_server.ResponseWriter,
        headers: dialect_lib.CallerHeaders,
    ) -> index_lib.RouteMatch | matching.Denial:
        """Match a request; a denial is final only by the newest version."""
        assert self.index is not None
        match = matching.match_request(self.index, answering.request, headers)
        if isinstance(match, matching.Denial):
            if not self.describe_version().is_newest:
                return match._replace(code=Code.CONFIGURATION_UNCONFIRMED)
        return match

    @property
    def may_send(self) -> bool:
        """Whether admitted requests may be sent by the version in force."""
        standing = self._get_standing()
        return standing is not Standing.AWAITING and not standing.is_refusing

    @property
    def is_awaiting(self) -> bool:
        """Whether requests must wait for an answer of the control VMs."""
        return self._get_standing() is Standing.AWAITING

    @property
    def is_outdated(self) -> bool:
        """Whether a newer version may exist that decides otherwise."""
        return self._get_standing().is_refusing

    def match_again(
        self, exchange: exchange_lib.Exchange
    ) -> matching.Denial | matching.Moved | None:
        """Match an admitted request by the version now in force.

        Returns:
            Why it is denied, the service that it moves to, or None if it
            stays with its service.
        """
        state = exchange.state
        index = self.index
        if self.is_outdated:
            return _MAYBE_OUTDATED
        if index is None or index.deployment.version == state.config_version:
            return None
        match = self._match(exchange.answering, state.caller_headers)
        if isinstance(match, matching.Denial):
            return match
        state.match = match
        self._note_basis(state)
        if exchange.service in match.route.services:
            return None
        return matching.Moved(match.route.choose_service(self._rng))

    def _note_basis(self, state: request_state.RequestState) -> None:
        assert self.index is not None
        state.config_version = self.index.deployment.version
        state.basis = self.describe_version()

    def _turn_away(
        self,
        answering: http_server.ResponseWriter,
        headers: dialect_lib.CallerHeaders | None,
        code: Code,
        detail: str,
    ) -> None:
        self._recorder.record_turned_away(
            headers, code, detail, self.describe_version()
        )
        self._rejections.reject(
            answering, headers, code, self._clock.monotonic()
        )
