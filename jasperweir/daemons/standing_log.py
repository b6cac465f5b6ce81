"""Log lines and metrics of whether an entry may act on its configuration."""

from jasperweir.components.confirmation import tracker
from jasperweir.components.discovery import version_basis
from jasperweir.helpers import logs
from jasperweir.helpers import metrics as metrics_lib

_log = logs.logger("entry")


class StandingLog:
    """Records each change of an entry's standing and what it had heard.

    Attributes:
        standing: Standing that was last recorded.
    """

    def __init__(self, *, metrics: metrics_lib.Metrics) -> None:
        self.standing = tracker.Standing.UNKNOWN
        self._metrics = metrics

    def record(
        self,
        basis: version_basis.VersionBasis,
        contacts: tuple[version_basis.ControlContact, ...],
        peers: version_basis.PeerCount,
    ) -> None:
        """Record another standing.

        Args:
            basis: What is known of the version in force.
            contacts: What was last heard from the control VMs.
            peers: How many VMs of the site are heard and known.
        """
        before, self.standing = self.standing, basis.standing
        self._metrics.inc("standing_changes", standing=basis.standing.value)
        _log.info(
            "standing changed",
            before=before.value,
            **basis.log_fields(),
            vms_heard=peers.heard,
            vms_known=peers.known,
            controls=[contact.log_value() for contact in contacts],
        )
