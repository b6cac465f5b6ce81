"""Who founds the log when the whole system starts for the first time.

Exactly one process may: two would found two logs. The control VM with the
lowest name among the seeds decides, since all are given the same seeds then.
It founds the log itself, or names one other that has a disk, and keeps to it.
Sans-I/O.
"""

from jasperweir.components.configctl import const


class BootstrapElection:
    """The decision, at the control VM that has it."""

    def __init__(
        self, *, name: str, has_disk: bool, decides: bool, now: float
    ) -> None:
        self._decides = decides
        self._founder = name if has_disk else ""
        self._candidates: set[str] = set()
        self._deadline = now + const.BOOTSTRAP_WAIT_SECONDS

    def on_applicant(self, name: str) -> None:
        """Note a control VM with a disk that asks for a seat."""
        self._candidates.add(name)

    def choose_founder(self, now: float) -> str:
        """Return who founds the log, or an empty string."""
        if not self._decides:
            return ""
        if not self._founder and now >= self._deadline:
            self._founder = min(self._candidates, default="")
        return self._founder
