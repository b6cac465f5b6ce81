"""Warnings of a leader about entries that lack a committed version."""

from jasperweir.components.configctl import node as node_lib
from jasperweir.components.configctl import version_spread
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("control")

# Most entries that a line names.
MAX_NAMED = 8


class SpreadLog:
    """Warns of entries that lack a version soon after its commit."""

    def __init__(self, *, metrics: metrics_lib.Metrics) -> None:
        self._metrics = metrics
        self._spread = version_spread.VersionSpread()

    def on_version(
        self, node: node_lib.ConfigNode, version: int, now: float
    ) -> None:
        """Record that a version has come into force at this control VM."""
        if node.voter.role == voter_lib.LEADER:
            self._spread.on_committed(version, now)

    def tick(self, node: node_lib.ConfigNode, now: float) -> None:
        """Warn of the entries that lack a version, if a check is due."""
        if node.voter.role != voter_lib.LEADER:
            self._spread.clear()
            return
        lack = self._spread.find_lack(node.discovery.nodes.entry_reports(), now)
        if lack is None:
            return
        self._metrics.inc("versions_lacking")
        _log.warning(
            "entries lack a version",
            version=lack.version,
            entries=[e.log_value() for e in lack.entries[:MAX_NAMED]],
            count=len(lack.entries),
            since_commit_ms=round(lack.committed_s * 1000),
            term=node.voter.term,
        )
