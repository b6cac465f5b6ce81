"""What a majority of the voters has in its logs; sans-I/O.

A version is acknowledged only once it is on a majority of the voters, so a
majority that had nothing newer when it was asked proves that nothing newer was
acknowledged until then, whoever leads.

The voters are those of the newest log among the answers that are counted, and
none of these logs is newer than that one. This is the condition for winning an
election, which makes a log hold all committed entries also while seats change
(Ongaro's thesis on Raft, 2014, sections 3.6 and 4.1).
"""

from typing import NamedTuple

from jasperweir.components.confirmation import const
from jasperweir.components.confirmation import messages
from jasperweir.components.quorum import progress


class Reading(NamedTuple):
    """Result of asking the voters.

    Attributes:
        as_of: Since when a majority has answered, monotonic seconds: what it
            said was true then.
        is_newest: Whether nothing newer than what is held was acknowledged
            until then. Otherwise something newer may have been.
        voters: Names of the voters that say so.
    """

    as_of: float
    is_newest: bool
    voters: tuple[str, ...]


class _Answer(NamedTuple):
    as_of: float
    name: str
    state: messages.LogState

    @property
    def log(self) -> tuple[int, int]:
        return self.state.last_term, self.state.last_index

    def is_recent(self, now: float) -> bool:
        """Return whether it shows that the voter is reached."""
        return now - self.as_of < const.REACH_SECONDS


class MajorityReader:
    """Collects the newest answer of each voter."""

    def __init__(self) -> None:
        self._answers: dict[str, _Answer] = {}

    def note(self, name: str, state: messages.LogState, as_of: float) -> None:
        """Record an answer.

        Args:
            name: Name of the voter.
            state: State of its log.
            as_of: Send time of the question, monotonic seconds.
        """
        known = self._answers.get(name)
        if known is None or as_of > known.as_of:
            self._answers[name] = _Answer(as_of, name, state)

    def has_answered(self, name: str, now: float) -> bool:
        """Return whether a voter has answered a recent question."""
        answer = self._answers.get(name)
        return answer is not None and answer.is_recent(now)

    def read(
        self, *, version: int, evacuations: int, now: float
    ) -> Reading | None:
        """Return what a majority says of the state held.

        Args:
            version: Configuration version held.
            evacuations: Revision held of the list of evacuated data centres.
            now: Monotonic seconds.

        Returns:
            The newest reading that confirms the state, if there is one; None
            if no majority has answered recently.
        """
        answers = [
            answer for answer in self._answers.values() if answer.is_recent(now)
        ]
        readings = []
        for newest in answers:
            majority = _find_majority(newest, answers)
            if majority:
                readings.append(
                    Reading(
                        as_of=min(answer.as_of for answer in majority),
                        is_newest=newest.state.version <= version
                        and newest.state.evacuations <= evacuations,
                        voters=tuple(answer.name for answer in majority),
                    )
                )
        return max(readings, key=lambda r: (r.is_newest, r.as_of), default=None)


def _find_majority(newest: _Answer, answers: list[_Answer]) -> list[_Answer]:
    """Return the newest answers of a majority, empty if there is none.

    Args:
        newest: Answer of the voter whose log is the newest of the majority and
            sets the voters.
        answers: All recent answers.
    """
    disks = {seat.name: seat.disk for seat in newest.state.seats}
    votes = [
        answer
        for answer in answers
        if disks.get(answer.name) == answer.state.disk
        and answer.state.may_vote
        and answer.log <= newest.log
    ]
    if newest not in votes:
        return []
    votes.remove(newest)
    votes.sort(key=lambda answer: answer.as_of, reverse=True)
    missing = progress.majority_size(len(disks)) - 1
    return [newest, *votes[:missing]] if len(votes) >= missing else []
