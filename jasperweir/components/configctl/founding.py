"""Who founds the log when the whole system starts for the first time.

Exactly one process may: two would found two logs. The control VM with the
lowest name among the seeds decides, since all are given the same seeds then.
It founds the log itself, or names one other that has a disk, and keeps to it.
Sans-I/O.
"""

from jasperweir.components.configctl import const


class Founding:
    """The decision, at the control VM that has it."""

    def __init__(
        self, *, name: str, has_disk: bool, decides: bool, now: float
    ) -> None:
        self._decides = decides
        self._founder = name if has_disk else ""
        self._holders: set[str] = set()
        self._decides_at = now + const.FOUNDER_WAIT_SECONDS

    def on_applicant(self, name: str) -> None:
        """Note a control VM with a disk that asks for a seat."""
        self._holders.add(name)

    def founder(self, now: float) -> str:
        """Return who founds the log, or an empty string."""
        if not self._decides:
            return ""
        if not self._founder and now >= self._decides_at:
            self._founder = min(self._holders, default="")
        return self._founder
