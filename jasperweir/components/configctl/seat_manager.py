"""Seats of the log's voters: who gets one, and whether there are enough."""

from typing import NamedTuple

from jasperweir.components.configctl import const
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import seats as seats_lib
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.quorum import voter as voter_lib


class SeatsChanged(NamedTuple):
    """Action: the voters, or what is decided about their number, changed.

    Attributes:
        voters: Names of the voting members.
        wanted: Wanted number of voters.
        reduced: Whether the cluster has decided to work with fewer.
    """

    voters: tuple[str, ...]
    wanted: int
    reduced: bool


class SeatManager:
    """Decides changes of seats while its control VM leads."""

    def __init__(
        self,
        *,
        voter: voter_lib.Voter,
        discovery: discovery_server.DiscoveryServer,
        seeds: tuple[str, ...],
        wanted: int,
    ) -> None:
        """Initialize without applicants.

        Args:
            voter: Member of the replicated log.
            discovery: Other control VMs.
            seeds: Control VMs to connect to first.
            wanted: Wanted number of voters.
        """
        self._voter = voter
        self._discovery = discovery
        self._seeds = seeds
        self._wanted = wanted
        self._applicants: dict[str, seats_lib.Applicant] = {}
        # Since when the leader has had fewer voters than wanted.
        self._short_since: float | None = None
        self._reported = SeatsChanged((), wanted, reduced=False)

    def on_hello(
        self, src: str, msg: quorum_messages.Hello, now: float
    ) -> None:
        """Record a request for a seat."""
        self._applicants[src] = seats_lib.Applicant(
            name=src, disk=msg.disk, addr=msg.addr, asked_at=now
        )

    def next_change(self, now: float) -> quorum_messages.Seats | None:
        """Return the seats to propose now, or None."""
        if not self._voter.has_lease(now):
            return None
        heard_at = {}
        for seat in self._voter.seats.seats:
            progress = self._voter.progress_of(seat.name)
            if progress is not None:
                since = self._voter.leader_since
                heard_at[seat.name] = max(progress.acked_at, since)
        change = seats_lib.next_seat_change(
            seats=self._voter.seats,
            applicants=list(self._applicants.values()),
            heard_at=heard_at,
            wanted=self._wanted,
            now=now,
            leader=self._voter.name,
            places=self._voter.places,
        )
        return change or self._decide_reduced(now)

    def _decide_reduced(self, now: float) -> quorum_messages.Seats | None:
        """Return the seats with a changed reduced state, or None.

        Control VMs that are not among the seeds may still join, so the state
        begins only after SEATS_WAIT_SECONDS with too few voters. It ends with
        the promotion of the last missing voter.
        """
        seats = self._voter.seats
        if self._count_voters() >= self._wanted:
            self._short_since = None
            # A lower number may be wanted since a restart.
            return seats._replace(reduced=False) if seats.reduced else None
        if self._short_since is None:
            self._short_since = now
        since = max(self._short_since, self._voter.leader_since)
        is_due = now - since >= const.SEATS_WAIT_SECONDS
        if (
            seats.reduced
            or not is_due
            or self._count_voters() < self._min_seats(now)
        ):
            return None
        return seats._replace(reduced=True)

    def has_enough(self, now: float) -> bool:
        """Return whether there are enough voters to accept a configuration.

        The wanted number of voters survives the tolerated number of losses. A
        smaller number is accepted only in the reduced state, in which entries
        are committed on all voters that aren't silent.
        """
        if self._count_voters() >= self._wanted:
            return True
        is_decided = (
            self._voter.seats.reduced
            and self._voter.seats_index <= self._voter.commit
        )
        return is_decided and self._count_voters() >= self._min_seats(now)

    def _min_seats(self, now: float) -> int:
        """Return the least number of voters for accepting a configuration.

        Deployments may have fewer disks than wanted seats. Seeds that have not
        said that they lack a disk may still join.
        """
        seeds = sum(self._discovery.may_keep_log(seed) for seed in self._seeds)
        expected = max(seeds, self._discovery.count_log_keepers(now), 1)
        return min(self._wanted, expected)

    def _count_voters(self) -> int:
        return sum(seat.voting for seat in self._voter.seats.seats)

    def take_report(self) -> list[SeatsChanged]:
        """Return the voters if they have changed since the last call."""
        seats = self._voter.seats
        state = SeatsChanged(
            voters=tuple(s.name for s in seats.seats if s.voting),
            wanted=self._wanted,
            reduced=seats.reduced,
        )
        if state == self._reported:
            return []
        self._reported = state
        return [state]
