"""Log lines and metrics of requests that an older version let through."""

from jasperweir.components.configctl import messages
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

# Most requests that one version reports.
MAX_REPORTED = 16


def make_report(
    entry: str, version: int, found: list[messages.OutdatedRequest]
) -> messages.OutdatedRequests:
    """Return the report of an entry about a version that is in force."""
    return messages.OutdatedRequests(
        entry=entry,
        version=version,
        requests=tuple(found[:MAX_REPORTED]),
        total=len(found),
    )


class VersionAuditLog:
    """Writes the reports of entries, on the entry and on control VMs."""

    def __init__(self, *, channel: str, metrics: metrics_lib.Metrics) -> None:
        self._log = logs.logger(channel)
        self._metrics = metrics

    def record(self, report: messages.OutdatedRequests) -> None:
        """Record each request of a report."""
        self._metrics.inc("outdated_requests", report.total, entry=report.entry)
        for found in report.requests:
            self._log.warning(
                "request run by an older version",
                id=found.request_id,
                entry=report.entry,
                version=found.version,
                superseded_by=found.superseded_by,
                in_force=report.version,
                late_ms=round(found.late_s * 1000),
                uncertain_ms=round(found.uncertain_s * 1000),
                standing=found.standing,
                confirmed_by=found.confirmed_by,
                confirmed_ms=found.confirmed_ms,
                route=found.route,
                path=found.path,
                key=found.key,
                customer=found.customer,
                service=found.service,
                total=report.total,
            )
