"""Proof that the disks of other seats are lost; sans-I/O.

A survivor with a minority of the seats may lead again only if the other disks
are lost, not merely out of reach. The proof of a loss is that the seat's VM has
come back and requests a seat for another, blank disk. Each request must repeat
a number that the survivor has sent to that VM since the last one, so that
messages delayed from an earlier disk prove nothing.
"""

import dataclasses
import random

from jasperweir.components.quorum import const
from jasperweir.components.quorum import messages


@dataclasses.dataclass(kw_only=True, slots=True)
class _Claim:
    """Requests of one VM for a seat with a disk that isn't the seat's.

    Attributes:
        disk: Identity of the new disk.
        nonce: Number that the next request must repeat.
        confirmed_since: Time of the first request that repeated a number,
            monotonic seconds; None before it.
        confirmed_at: Time of the last one.
    """

    disk: str
    nonce: int
    confirmed_since: float | None = None
    confirmed_at: float = float("-inf")


class LostDisks:
    """Seats whose disks are proved lost, as one voter sees them."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._claims: dict[str, _Claim] = {}

    def on_hello(
        self, seat: messages.Seat, hello: messages.Hello, now: float
    ) -> int:
        """Record a request for a seat by the VM of a seat.

        Args:
            seat: The seat that the log knows under the sender's name.
            hello: The request.
            now: Monotonic seconds.

        Returns:
            The number that its next request must repeat, or 0 if the request
            is no claim that the seat's disk is lost.
        """
        if hello.disk == seat.disk or not hello.disk or not hello.blank:
            # A disk that isn't blank has met a leader, which this voter must
            # hear before it leads itself.
            self._claims.pop(seat.name, None)
            return 0
        claim = self._claims.get(seat.name)
        if claim is None or claim.disk != hello.disk:
            claim = _Claim(disk=hello.disk, nonce=self._draw_nonce())
            self._claims[seat.name] = claim
            return claim.nonce
        if hello.echo == claim.nonce:
            is_gap = now - claim.confirmed_at > const.LOSS_PROOF_TTL_SECONDS
            if claim.confirmed_since is None or is_gap:
                claim.confirmed_since = now
            claim.confirmed_at = now
            claim.nonce = self._draw_nonce()
        return claim.nonce

    def on_seat_heard(self, name: str) -> None:
        """Record a message that was sent with the seat's own disk."""
        self._claims.pop(name, None)

    def proved(self, seats: messages.Seats, now: float) -> set[str]:
        """Return the names of the seats whose disks are proved lost now."""
        return {
            seat.name
            for seat in seats.seats
            if self._is_proved(seat, self._claims.get(seat.name), now)
        }

    def retain(self, seats: messages.Seats) -> None:
        """Drop the claims of VMs that hold no seat, which bounds the state."""
        held = {seat.name for seat in seats.seats}
        self._claims = {
            name: claim for name, claim in self._claims.items() if name in held
        }

    def _is_proved(
        self, seat: messages.Seat, claim: _Claim | None, now: float
    ) -> bool:
        if claim is None or claim.confirmed_since is None:
            return False
        if claim.disk == seat.disk:
            return False
        if now - claim.confirmed_at > const.LOSS_PROOF_TTL_SECONDS:
            return False
        proved_s = claim.confirmed_at - claim.confirmed_since
        return proved_s >= const.LOSS_PROOF_SECONDS

    def _draw_nonce(self) -> int:
        return self._rng.getrandbits(48) + 1
