"""What a decision on a request knew of the configuration in force."""

import math
from typing import NamedTuple

from jasperweir.components.confirmation import tracker


class ControlContact(NamedTuple):
    """What a node last heard from a control VM.

    Attributes:
        name: Name of the control VM.
        silent_s: Time since its last message, seconds; infinite if there was
            none.
        version: Highest version that it has announced, 0 before the first.
        is_connected: Whether a connection to it is established.
    """

    name: str
    silent_s: float
    version: int
    is_connected: bool

    def log_value(self) -> str:
        """Return the contact for a log line."""
        state = "connected" if self.is_connected else "not connected"
        if not math.isfinite(self.silent_s):
            return f"{self.name} {state}, never heard"
        silent_ms = round(self.silent_s * 1000)
        return (
            f"{self.name} {state}, silent {silent_ms} ms,"
            f" version {self.version}"
        )


class PeerCount(NamedTuple):
    """VMs of the site, with the own one.

    Attributes:
        heard: VMs that have answered lately.
        known: All VMs.
    """

    heard: int
    known: int


class VersionBasis(NamedTuple):
    """Configuration version of a decision and what was known of it.

    Attributes:
        version: Version in force, 0 before the first.
        newest: Highest version known to be committed.
        standing: Whether the version in force could be acted on.
        confirmed_by: Control VM that last confirmed that no newer version than
            the one in force was committed, empty if none did.
        confirmed_age_s: Time since that confirmation, seconds; infinite if
            there is none.
    """

    version: int = 0
    newest: int = 0
    standing: tracker.Standing = tracker.Standing.CURRENT
    confirmed_by: str = ""
    confirmed_age_s: float = math.inf

    @property
    def is_newest(self) -> bool:
        """Whether nothing exists that the version in force lacks."""
        is_current = self.standing is tracker.Standing.CURRENT
        return is_current and self.newest <= self.version

    def log_fields(self) -> dict[str, int | str]:
        """Return the fields of a log line; an age of -1 means never."""
        age_ms = -1
        if math.isfinite(self.confirmed_age_s):
            age_ms = round(self.confirmed_age_s * 1000)
        return {
            "version": self.version,
            "standing": self.standing.value,
            "confirmed_ms": age_ms,
            "newest_known": self.newest,
            "confirmed_by": self.confirmed_by,
        }
