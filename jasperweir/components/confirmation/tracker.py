"""What a process knows of the newest configuration version; sans-I/O.

The leader of the log knows that no newer version is committed, while it has its
lease. A confirmation carries that knowledge: version V was the newest at time
T. Other control VMs pass it on with its age. Without the leader a majority of
the voters confirms by what its logs hold, see majority. Every decision by a
configuration asks this module; hearing from control VMs and the versions that
they have committed prove nothing.

After Gray and Cheriton, "Leases", 1989, and the read index of Ongaro's thesis
on Raft, 2014, section 6.4.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple

from jasperweir.components.confirmation import const
from jasperweir.components.confirmation import majority


class Confirmation(NamedTuple):
    """Statement about the newest committed state.

    Attributes:
        version: Newest configuration version.
        as_of: When it was the newest, monotonic seconds of this process.
        source: Control VM that sent or passed on the statement, or the voters
            that made it together.
        evacuations: Newest revision of the list of evacuated data centres.
    """

    version: int
    as_of: float
    source: str
    evacuations: int = 0


class Standing(enum.Enum):
    """Whether a process may act on the version that it holds."""

    # Nothing is held, or nothing was confirmed since the start.
    UNKNOWN = "unknown"
    # It was the newest at most ``valid_s`` ago.
    CURRENT = "current"
    # The confirmation has expired; an answer or the content may be under way.
    AWAITING = "awaiting"
    # Less than a majority of the voters is connected, these answer in time, and
    # a majority of the site's VMs is heard, none of which knows of a newer one.
    UNCONFIRMED = "unconfirmed"
    # Neither voters nor a majority of the site's VMs can be heard.
    ISOLATED = "isolated"
    # Voters are connected and do not answer in time.
    UNANSWERED = "unanswered"
    # A newer one exists, or may exist by the logs of a majority of the voters,
    # and has not arrived.
    OUTDATED = "outdated"

    @property
    def is_refusing(self) -> bool:
        """Whether requests are rejected, as the version may be outdated."""
        return self in (
            Standing.ISOLATED,
            Standing.UNANSWERED,
            Standing.OUTDATED,
        )


_NEVER = float("-inf")


class VersionTracker:
    """Tracks the version held, the newest known one, and confirmations.

    The list of evacuated data centres counts as a part of the configuration.

    Attributes:
        held: Version in force, 0 before the first.
        held_evacuations: Revision of the list of evacuated data centres.
        newest_known: Highest version known to be committed.
        latest: Newest confirmation, of any version.
        valid_s: Time for which a confirmation is valid, seconds.
    """

    def __init__(
        self,
        *,
        valid_s: float = const.VALID_SECONDS,
        stall_s: float = const.STALLED_SECONDS,
        is_cut_off: Callable[[float], bool] = lambda now: True,
        hears_majority: Callable[[float], bool] = lambda now: True,
    ) -> None:
        """Initialize without a version.

        Args:
            valid_s: Time for which a confirmation is valid, seconds.
            stall_s: Pause in the process's activity that voids what it asked
                before, while an answer is awaited, seconds.
            is_cut_off: Returns whether silence until some moment, monotonic
                seconds, does not mean that those who could confirm are slow.
            hears_majority: Returns whether a majority of the site's VMs is
                heard at some moment, monotonic seconds.
        """
        self.valid_s = valid_s
        self._stall_s = stall_s
        self._is_cut_off = is_cut_off
        self._hears_majority = hears_majority
        self.held = 0
        self.held_evacuations = 0
        self.newest_known = 0
        self._newest_evacuations = 0
        self.latest = Confirmation(version=0, as_of=_NEVER, source="")
        # Newest confirmation that covers the version held.
        self._covering = self.latest
        self._was_current = False
        # First request for a confirmation since the last one expired.
        self._asked_at: float | None = None
        self._newer_since = _NEVER
        # Since when a majority of the voters may have a newer state in their
        # logs, and when it last said so.
        self._contested_since = _NEVER
        self._contested_at = _NEVER
        self._active_at: float | None = None

    # Inputs.

    def note_activity(self, now: float) -> None:
        """Record that the process runs; to be called more than once a second.

        Other methods imply it.
        """
        last, self._active_at = self._active_at, now
        if last is None:
            return
        limit_s = const.SUSPENDED_SECONDS
        if self._awaits_answer(last):
            limit_s = self._stall_s
        if now - last >= limit_s:
            self._asked_at = None

    def confirm(self, confirmation: Confirmation, now: float) -> None:
        """Use a confirmation that was given or passed on."""
        self.note_activity(now)
        self._note_known(confirmation.version, now)
        self._note_known_evacuations(confirmation.evacuations, now)
        if confirmation.as_of > self.latest.as_of:
            self.latest = confirmation
        self._cover(confirmation, now)

    def use_reading(self, reading: majority.Reading, now: float) -> None:
        """Use what a majority of the voters says of the state held."""
        self.note_activity(now)
        if reading.is_newest:
            self._contested_at = _NEVER
            confirmation = Confirmation(
                version=self.held,
                as_of=reading.as_of,
                source=" ".join(sorted(reading.voters)),
                evacuations=self.held_evacuations,
            )
            self._cover(confirmation, now)
            return
        if now - self._contested_at >= const.REACH_SECONDS:
            self._contested_since = now
        self._contested_at = now

    def void(self) -> None:
        """Forget all confirmations, because their times can't be compared."""
        self.latest = Confirmation(version=0, as_of=_NEVER, source="")
        self._covering = self.latest
        self._asked_at = None

    def hold(self, version: int, now: float) -> None:
        """Record that a version was put into force."""
        self._note_known(version, now)
        self.held = max(self.held, version)
        self._cover(self.latest, now)

    def hold_evacuations(self, revision: int, now: float) -> None:
        """Record that a list of evacuated data centres was put into force."""
        self.held_evacuations = max(self.held_evacuations, revision)
        self._cover(self.latest, now)

    def note_announced(self, version: int, now: float) -> None:
        """Record that a control VM holds a committed version."""
        self.note_activity(now)
        self._note_known(version, now)

    def note_announced_evacuations(self, revision: int, now: float) -> None:
        """Record that a list of evacuated data centres is committed."""
        self.note_activity(now)
        self._note_known_evacuations(revision, now)

    def note_asked(self, now: float) -> None:
        """Record that a confirmation was requested."""
        self.note_activity(now)
        expired = self.age_s(now) >= const.ASK_AFTER_SECONDS
        if expired and self._asked_at is None:
            self._asked_at = now

    # Queries.

    def age_s(self, now: float) -> float:
        """Return the time since the version held was known to be the newest.

        Returns:
            Seconds; infinite if it never was.
        """
        return now - self._covering.as_of

    @property
    def newest_evacuations(self) -> int:
        """Highest revision known of the list of evacuated data centres."""
        return max(self._newest_evacuations, self.held_evacuations)

    @property
    def source(self) -> str:
        """Control VM that last confirmed the version held, or empty."""
        return self._covering.source

    @property
    def was_current(self) -> bool:
        """Whether a version in force here was ever known to be the newest."""
        return self._was_current

    def standing(self, now: float) -> Standing:
        """Return whether the process may act on the version that it holds."""
        self.note_activity(now)
        if self.age_s(now) < self.valid_s and self.held:
            return Standing.CURRENT
        if not self._was_current:
            return Standing.UNKNOWN
        is_outdated = (
            self.newest_known > self.held
            or self._newest_evacuations > self.held_evacuations
        )
        is_contested = now - self._contested_at < const.REACH_SECONDS
        if self._asked_at is None:
            return Standing.AWAITING
        since = self._asked_at
        if is_outdated:
            since = max(since, self._newer_since)
        elif is_contested:
            since = max(since, self._contested_since)
        if now - since < const.ANSWER_SECONDS:
            return Standing.AWAITING
        if is_outdated or is_contested:
            return Standing.OUTDATED
        if not self._is_cut_off(now):
            return Standing.UNANSWERED
        if self._hears_majority(now):
            return Standing.UNCONFIRMED
        return Standing.ISOLATED

    def may_deny(self, now: float) -> bool:
        """Return whether what the version held lacks does not exist."""
        is_current = self.standing(now) is Standing.CURRENT
        return is_current and self.newest_known <= self.held

    def should_ask(self, now: float) -> bool:
        """Return whether to ask more often than usual."""
        if not self.should_read(now):
            return False
        if not self._was_current:
            return True
        return self.standing(now) is not Standing.UNCONFIRMED

    def should_read(self, now: float) -> bool:
        """Return whether to ask the voters, as the leader is not heard."""
        if not self._was_current:
            return True
        return self.age_s(now) >= const.ASK_AFTER_SECONDS

    def should_ask_peers(self, now: float) -> bool:
        """Return whether to ask other entries, as no control VM confirms."""
        if not self._was_current:
            return False
        return self.age_s(now) >= const.PEER_ASK_AFTER_SECONDS

    def _awaits_answer(self, now: float) -> bool:
        """Return whether it was asked, and silence was not yet concluded."""
        if self._asked_at is None:
            return False
        expires_at = self._covering.as_of + self.valid_s
        return now < max(expires_at, self._asked_at + const.ANSWER_SECONDS)

    def _cover(self, confirmation: Confirmation, now: float) -> None:
        if not self.held or confirmation.version > self.held:
            return
        if confirmation.evacuations > self.held_evacuations:
            return
        if confirmation.as_of > self._covering.as_of:
            self._covering = confirmation
        if self.age_s(now) < self.valid_s:
            self._was_current = True
        if self.age_s(now) < const.ASK_AFTER_SECONDS:
            self._asked_at = None

    def _note_known(self, version: int, now: float) -> None:
        if version > self.newest_known:
            self.newest_known = version
            self._newer_since = now

    def _note_known_evacuations(self, revision: int, now: float) -> None:
        if revision > self._newest_evacuations:
            self._newest_evacuations = revision
            self._newer_since = now
