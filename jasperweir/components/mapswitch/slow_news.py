"""When the entries are told which targets are slow; sans-I/O."""

from jasperweir.components.mapswitch import const
from jasperweir.components.mapswitch import messages


class SlowNews:
    """What the entries were told last, and when."""

    def __init__(self) -> None:
        self._told = messages.SlowTargets(targets=())
        self._told_at = float("-inf")

    def is_due(self, slow: messages.SlowTargets, now: float) -> bool:
        """Tell whether the entries are to be told now; note it if so.

        A change is told at once; while any target is slow the same is told
        again, since entries believe it for a while only.
        """
        if slow == self._told:
            rests = now - self._told_at < const.SLOW_TARGETS_RESEND_SECONDS
            if rests or not slow.targets:
                return False
        self._told = slow
        self._told_at = now
        return True
