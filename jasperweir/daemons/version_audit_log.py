"""Log lines and metrics of requests that an older version let through."""

from typing import Any

from jasperweir.components.configctl import entry_check
from jasperweir.components.configctl import messages
from jasperweir.components.forward import version_audit
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

# Most requests that one version reports.
MAX_REPORTED = 16


_EVENTS = {
    messages.Finding.OUTDATED: "request run by an older version",
    messages.Finding.OTHER_VERSION: "request decided by another version",
    messages.Finding.NOT_ALLOWED: "request not allowed by its version",
}


def make_report(
    entry: str, version: int, found: version_audit.AuditResult
) -> messages.OutdatedRequests:
    """Return the report of an entry about a version that is in force."""
    return messages.OutdatedRequests(
        entry=entry,
        version=version,
        requests=tuple(found.requests[:MAX_REPORTED]),
        total=len(found.requests),
        undated=found.undated,
    )


class VersionAuditLog:
    """Writes what is found wrong, on the entry and on control VMs."""

    def __init__(self, *, channel: str, metrics: metrics_lib.Metrics) -> None:
        self._log = logs.logger(channel)
        self._metrics = metrics

    def record(self, report: messages.OutdatedRequests) -> None:
        """Record each request of a report."""
        self._metrics.inc("outdated_requests", report.total, entry=report.entry)
        if report.undated:
            self._metrics.inc(
                "undated_requests", report.undated, entry=report.entry
            )
            self._log.warning(
                "requests of an older version can't be dated",
                count=report.undated,
                entry=report.entry,
                in_force=report.version,
            )
        for found in report.requests:
            self._log.warning(
                _EVENTS[found.finding],
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

    def record_check(self, act: Any) -> None:
        """Record what the report of an entry tells; see entry_check."""
        match act:
            case entry_check.OtherContent():
                self._metrics.inc("other_contents", entry=act.entry)
                self._log.warning(
                    "entry has other content than the log",
                    v=act.version,
                    entry=act.entry,
                    content=f"{act.content:x}",
                    committed=f"{act.committed:x}",
                )
            case entry_check.LateEntry():
                self._metrics.inc("late_entries", entry=act.entry)
                self._log.warning(
                    "entry holds an outdated version",
                    v=act.version,
                    entry=act.entry,
                    superseded_by=act.superseded_by,
                    late_ms=round(act.late_s * 1000),
                )
            case entry_check.EntryRestarted():
                self._metrics.inc("entries_started_anew", entry=act.entry)
                self._log.info(
                    "entry started anew",
                    v=act.version,
                    entry=act.entry,
                    superseded_by=act.superseded_by,
                    silent_ms=round(act.silent_s * 1000),
                )
