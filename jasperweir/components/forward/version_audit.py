"""Requests that an older version let through past the bound; sans-I/O.

An entry that puts a version into force matches again what it has sent to
targets since the version was due, and so it does when a request of an older
version is sent after that. Nothing is found while every entry has each version
in time. What is sent by the version in force is compared with its content
directly, as the index that decides could be another one's.
"""

import collections
from collections.abc import Callable
import math
from typing import NamedTuple

from jasperweir.components.configctl import messages
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.deployment import index as index_lib
from jasperweir.components.deployment import model
from jasperweir.components.deployment import permissions as permissions_lib
from jasperweir.components.discovery import commit_times as commit_times_lib
from jasperweir.components.discovery import version_basis
from jasperweir.components.forward import matching
from jasperweir.components.forward import request_state
from jasperweir.helpers import hashing
from jasperweir.helpers import http_message

# Requests that are kept to be matched again.
MAX_REQUESTS = 2048


class SentRequest(NamedTuple):
    """A request that was sent to a target.

    Attributes:
        sent_at: When, monotonic seconds.
        version: Version that let it through.
        request_id: Id that the caller chose.
        criteria: What it is matched by.
        route: Name of its route.
        service: Service that it was sent to.
        customer: Customer that it ran for, or empty.
        basis: What was known of the version when it was matched.
    """

    sent_at: float
    version: int
    request_id: str
    criteria: matching.Criteria
    route: str
    service: str
    customer: str
    basis: version_basis.VersionBasis


class AuditResult(NamedTuple):
    """What an audit found.

    Attributes:
        requests: Requests to report.
        undated: Number of requests that an older version let through, when
            its successor can't be dated.
    """

    requests: list[messages.OutdatedRequest]
    undated: int


class VersionAudit:
    """Keeps the requests sent last and matches them by newer versions.

    Attributes:
        on_found: Called when a request that is sent has to be reported.
    """

    def __init__(self) -> None:
        self.on_found: Callable[[], None] = lambda: None
        self._sent: collections.deque[SentRequest] = collections.deque(
            maxlen=MAX_REQUESTS
        )
        self._permissions = permissions_lib.Permissions()
        # Findings on requests of the version in force.
        self._found: list[messages.OutdatedRequest] = []

    def on_sent(self, sent: SentRequest) -> None:
        """Check and record a request that is sent to a target."""
        finding = self._find_fault(sent)
        if finding is not None:
            self._found.append(_make_report(sent, finding))
            self._found = self._found[-MAX_REQUESTS:]
        self._sent.append(sent)
        if finding is not None or sent.version < self._permissions.version:
            self.on_found()

    def on_in_force(self, deployment: model.Deployment) -> None:
        """Use the configuration that has come into force."""
        self._permissions = permissions_lib.Permissions(deployment)

    def check(
        self,
        index: index_lib.DeploymentIndex,
        commits: commit_times_lib.CommitTimes,
    ) -> AuditResult:
        """Return what was sent wrongly since the last check.

        A request is returned once. Of those that an older version let through
        only what the version in force does not allow is returned, since
        contents of versions in between are unknown.

        Args:
            index: Configuration that is in force.
            commits: Commit times of versions.
        """
        found, self._found = self._found, []
        undated = 0
        kept = []
        for sent in self._sent:
            lateness = _find_lateness(sent, index, commits)
            match lateness:
                case None:
                    kept.append(sent)
                case _Lateness(commit=None):
                    undated += 1
                case _Lateness() as late:
                    found.append(
                        _make_report(sent, messages.Finding.OUTDATED, late)
                    )
        if len(kept) < len(self._sent):
            self._sent.clear()
            self._sent.extend(kept)
        return AuditResult(requests=found, undated=undated)

    def _find_fault(self, sent: SentRequest) -> messages.Finding | None:
        """Return what is wrong with a request whatever the time is."""
        if sent.version < sent.basis.version:
            return messages.Finding.OTHER_VERSION
        if sent.version != self._permissions.version:
            return None
        is_allowed = self._permissions.allow(
            route=sent.route,
            service=sent.service,
            key=sent.criteria.key,
            customer=sent.customer,
        )
        return None if is_allowed else messages.Finding.NOT_ALLOWED


def describe(
    req: http_message.Request,
    state: request_state.RequestState,
    service: str,
    now: float,
) -> SentRequest:
    """Return the record of a request that is sent now.

    Args:
        req: The caller's request.
        state: Its state.
        service: Service of the target.
        now: Monotonic seconds.
    """
    return SentRequest(
        sent_at=now,
        version=state.config_version,
        request_id=state.caller_headers.request_id,
        criteria=matching.find_criteria(req, state.caller_headers),
        route=state.match.route.name,
        service=service,
        customer=state.customer_name,
        basis=state.basis,
    )


class _Lateness(NamedTuple):
    """First version that a request should have been decided by.

    Attributes:
        superseded_by: The version; 0 if none is known.
        commit: When it was committed; None if that can't be told.
    """

    superseded_by: int
    commit: commit_times_lib.CommitTime | None


def _find_lateness(
    sent: SentRequest,
    index: index_lib.DeploymentIndex,
    commits: commit_times_lib.CommitTimes,
) -> _Lateness | None:
    """Return why a request has to be reported or counted, or None."""
    if sent.version >= index.deployment.version:
        return None
    limit = sent.sent_at - confirmation_const.APPLY_SECONDS
    superseded_by, commit = commits.find_successor(sent.version) or (0, None)
    if commit is not None and limit <= commit.earliest:
        return None
    if _is_allowed(sent, index):
        return None
    if commit is not None and commit.latest >= limit:
        if commit.earliest == -math.inf:
            commit = None
    return _Lateness(superseded_by=superseded_by, commit=commit)


def _make_report(
    sent: SentRequest,
    finding: messages.Finding,
    lateness: _Lateness | None = None,
) -> messages.OutdatedRequest:
    late_s = uncertain_s = 0.0
    if lateness is not None and lateness.commit is not None:
        late_s = sent.sent_at - lateness.commit.latest
        uncertain_s = messages.AGE_UNBOUNDED
        if lateness.commit.earliest > -math.inf:
            uncertain_s = lateness.commit.latest - lateness.commit.earliest
    key = sent.criteria.key
    return messages.OutdatedRequest(
        request_id=sent.request_id,
        version=sent.version,
        superseded_by=lateness.superseded_by if lateness is not None else 0,
        late_s=late_s,
        uncertain_s=uncertain_s,
        route=sent.route,
        path=sent.criteria.path,
        key=f"{hashing.hash64(key):016x}" if key else "",
        customer=sent.customer,
        service=sent.service,
        standing=sent.basis.standing.value,
        confirmed_by=sent.basis.confirmed_by,
        confirmed_ms=int(sent.basis.log_fields()["confirmed_ms"]),
        finding=finding,
    )


def _is_allowed(sent: SentRequest, index: index_lib.DeploymentIndex) -> bool:
    """Return whether a configuration allows what was done with a request."""
    match matching.match_criteria(index, sent.criteria):
        case matching.Denial():
            return False
        case found:
            customer = found.customer.name if found.customer else ""
            return (
                sent.service in found.route.services
                and customer == sent.customer
            )
