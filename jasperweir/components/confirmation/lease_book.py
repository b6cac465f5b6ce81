"""Who may act on a confirmation that a control VM has given; sans-I/O."""

from typing import NamedTuple

from jasperweir.components.confirmation import const


class Holder(NamedTuple):
    """Process that may hold a confirmation.

    Attributes:
        name: Its name.
        incarnation: Incarnation of an entry, 0 of a control VM, which passes
            the confirmation on.
    """

    name: str
    incarnation: int = 0


class LeaseBook:
    """Processes that were given a confirmation, and when.

    A confirmation is a lease of VALID_SECONDS: until it has expired, its holder
    may act on the version that it confirms.
    """

    def __init__(self, *, now: float) -> None:
        """Initialize without holders.

        Args:
            now: Start of this process, monotonic seconds.
        """
        self._started_at = now
        self._given_at: dict[Holder, float] = {}

    def may_pass_on(self, now: float) -> bool:
        """Return whether it knows all whom this VM has given confirmations.

        What was given before a restart is not known, and has expired.
        """
        return now - self._started_at >= const.VALID_SECONDS

    def give(self, holder: Holder, at: float) -> None:
        """Record that a confirmation is given.

        Args:
            holder: Who gets it.
            at: When the request for it arrived, monotonic seconds.
        """
        self._given_at[holder] = max(at, self._given_at.get(holder, at))

    def list_holders(self, now: float) -> tuple[Holder, ...]:
        """Return those whose confirmations have not expired."""
        self._given_at = {
            holder: at
            for holder, at in self._given_at.items()
            if now - at < const.VALID_SECONDS
        }
        return tuple(self._given_at)
