"""Reports of entries about outdated requests, at all control VMs; sans-I/O."""

import collections
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.configctl import messages

Actions = list[Any]

# Reports that are remembered, so that copies are not recorded again.
MAX_KNOWN = 256


class Reported(NamedTuple):
    """Action: record a report that is new here."""

    report: messages.OutdatedRequests


class VersionReports:
    """Passes the reports of entries on, as these know few control VMs."""

    def __init__(self) -> None:
        # The reports that were received last.
        self._known: collections.OrderedDict[
            messages.OutdatedRequests, None
        ] = collections.OrderedDict()

    def is_known(self, entry: str, version: int) -> bool:
        """Return whether an entry has reported requests of a version."""
        return any(
            report.entry == entry and report.version == version
            for report in self._known
        )

    def receive(
        self, src: str, report: messages.OutdatedRequests, peers: list[str]
    ) -> Actions:
        """Handle a report of an entry, or a copy of it.

        Args:
            src: Process that sent it.
            report: The report.
            peers: The other control VMs.
        """
        if report in self._known:
            return []
        self._known[report] = None
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        out: Actions = [Reported(report=report)]
        if src == report.entry:
            out += [core.Send(dst=name, msg=report) for name in peers]
        return out
