"""Choice of the control VM that bootstraps the log at the first start.

Exactly one control VM may bootstrap, or there would be two logs. All control
VMs have the same seeds, and the seed with the lowest name decides: it
bootstraps the log itself if it has a disk, or else chooses one control VM that
has one, and never chooses another. Sans-I/O.
"""

from jasperweir.components.configctl import const


class BootstrapElection:
    """Choice of the control VM that bootstraps the log.

    Only the instance with ``decides`` set makes a choice.
    """

    def __init__(
        self, *, name: str, has_disk: bool, decides: bool, now: float
    ) -> None:
        self._decides = decides
        self._founder = name if has_disk else ""
        self._candidates: set[str] = set()
        self._deadline = now + const.BOOTSTRAP_WAIT_SECONDS

    def on_applicant(self, name: str) -> None:
        """Record a control VM with a disk that requests a seat."""
        self._candidates.add(name)

    def choose_founder(self, now: float) -> str:
        """Return the control VM that bootstraps the log, or an empty string."""
        if not self._decides:
            return ""
        if not self._founder and now >= self._deadline:
            self._founder = min(self._candidates, default="")
        return self._founder
