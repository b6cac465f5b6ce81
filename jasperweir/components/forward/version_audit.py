"""Requests that an older version let through past the bound; sans-I/O.

An entry that puts a version into force matches again what it has sent to
targets since the version was due. Nothing is found while every entry has each
version in time.
"""

import collections
from typing import NamedTuple

from jasperweir.components.configctl import messages
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.deployment import index as index_lib
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


class VersionAudit:
    """Keeps the requests sent last and matches them by newer versions."""

    def __init__(self) -> None:
        self._sent: collections.deque[SentRequest] = collections.deque(
            maxlen=MAX_REQUESTS
        )

    def on_sent(self, sent: SentRequest) -> None:
        """Record a request that is sent to a target."""
        self._sent.append(sent)

    def check(
        self,
        index: index_lib.DeploymentIndex,
        commits: commit_times_lib.CommitTimes,
    ) -> list[messages.OutdatedRequest]:
        """Return the requests that were sent too late by an older version.

        A request is returned once. Only what the version in force does not
        allow is returned, since contents of versions in between are unknown.

        Args:
            index: Configuration that has come into force.
            commits: Commit times of versions.
        """
        found = {}
        for number, sent in enumerate(self._sent):
            outdated = _check_sent(sent, index, commits)
            if outdated is not None:
                found[number] = outdated
        if found:
            kept = [s for n, s in enumerate(self._sent) if n not in found]
            self._sent.clear()
            self._sent.extend(kept)
        return list(found.values())


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


def _check_sent(
    sent: SentRequest,
    index: index_lib.DeploymentIndex,
    commits: commit_times_lib.CommitTimes,
) -> messages.OutdatedRequest | None:
    if sent.version >= index.deployment.version:
        return None
    successor = commits.find_successor(sent.version)
    if successor is None:
        return None
    superseded_by, commit = successor
    if sent.sent_at - commit.earliest <= confirmation_const.APPLY_SECONDS:
        return None
    if _is_allowed(sent, index):
        return None
    key = sent.criteria.key
    fields = sent.basis.log_fields()
    return messages.OutdatedRequest(
        request_id=sent.request_id,
        version=sent.version,
        superseded_by=superseded_by,
        late_s=sent.sent_at - commit.latest,
        uncertain_s=commit.latest - commit.earliest,
        route=sent.route,
        path=sent.criteria.path,
        key=f"{hashing.hash64(key):016x}" if key else "",
        customer=sent.customer,
        service=sent.service,
        standing=sent.basis.standing.value,
        confirmed_by=sent.basis.confirmed_by,
        confirmed_ms=int(fields["confirmed_ms"]),
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
