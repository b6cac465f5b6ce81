"""What a decision on a request knew of the configuration in force."""

import math
from typing import NamedTuple


class VersionBasis(NamedTuple):
    """Configuration version of a decision and what was known of it.

    Attributes:
        version: Version in force, 0 before the first.
        newest: Highest version that a control VM has announced.
        confirmed_by: Control VM that last confirmed that no newer version than
            the one in force was committed, empty if none did.
        confirmed_age_s: Time since that confirmation, seconds; infinite if
            there is none.
    """

    version: int = 0
    newest: int = 0
    confirmed_by: str = ""
    confirmed_age_s: float = math.inf

    def log_fields(self) -> dict[str, int | str]:
        """Return the fields of a log line; an age of -1 means never."""
        age_ms = -1
        if math.isfinite(self.confirmed_age_s):
            age_ms = round(self.confirmed_age_s * 1000)
        return {
            "version": self.version,
            "newest_known": self.newest,
            "confirmed_by": self.confirmed_by,
            "confirmed_ms": age_ms,
        }
