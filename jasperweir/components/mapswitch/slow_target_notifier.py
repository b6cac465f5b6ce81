"""Schedules the notices of slow targets to the entries; sans-I/O."""

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages


class SlowTargetNotifier:
    """Decides when the list of slow targets is sent to the entries."""

    def __init__(self) -> None:
        self._sent = messages.SlowTargets(targets=())
        self._sent_at = float("-inf")

    def is_due(self, slow: messages.SlowTargets, now: float) -> bool:
        """Return whether to send the list now, and record it as sent.

        A change is sent at once. A list that is not empty is repeated, since
        it expires at the entries.
        """
        if slow == self._sent:
            is_recent = now - self._sent_at < const.SLOW_TARGETS_RESEND_SECONDS
            if is_recent or not slow.targets:
                return False
        self._sent = slow
        self._sent_at = now
        return True
