"""Whether an entry may decide on requests by the bundle that it holds."""

from collections.abc import Callable

from jasperweir import result_codes
from jasperweir.components.confirmation import const as confirmation_const
from jasperweir.components.confirmation import tracker as tracker_lib

Code = result_codes.Code
Standing = tracker_lib.Standing

# Longest time for which a request waits for an answer of the control VMs.
HELD_SECONDS = 2 * confirmation_const.ANSWER_SECONDS
POLL_SECONDS = 0.02


class BundleGate:
    """Holds or rejects requests while the bundle may be outdated."""

    def __init__(
        self,
        *,
        get_standing: Callable[[], Standing],
        now: Callable[[], float],
        sleep: Callable[[float], None],
    ) -> None:
        """Initialize with access to the entry.

        Args:
            get_standing: Returns what is known of the configuration held.
            now: Returns monotonic seconds.
            sleep: Blocks the caller's thread for some seconds.
        """
        self._get_standing = get_standing
        self._now = now
        self._sleep = sleep

    def check(self) -> Code | None:
        """Return why a request is rejected, or None; may block briefly."""
        deadline = self._now() + HELD_SECONDS
        while True:
            match self._get_standing():
                case Standing.CURRENT | Standing.UNCONFIRMED:
                    return None
                case Standing.UNKNOWN:
                    return Code.NOT_READY
                case (
                    Standing.OUTDATED | Standing.UNANSWERED | Standing.ISOLATED
                ):
                    return Code.CONFIGURATION_UNCONFIRMED
            if self._now() >= deadline:
                return Code.CONFIGURATION_UNCONFIRMED
            self._sleep(POLL_SECONDS)
