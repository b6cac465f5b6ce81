"""What entries ask each other while no control VM confirms; sans-I/O.

See docs/design/configuration.md, "Alone or without a leader".
"""

from collections.abc import Iterable
from typing import Any

from jasperweir import core
from jasperweir.components.confirmation import const
from jasperweir.components.confirmation import lease_book
from jasperweir.components.confirmation import messages
from jasperweir.components.confirmation import peers as peers_lib
from jasperweir.components.confirmation import rounds as rounds_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.directory import records

Actions = list[Any]

# A question is sent on a tick that comes this much too early, seconds.
_TICK_TOLERANCE_SECONDS = 0.005


class PeerExchange:
    """Asks other entries what is newest, and tells them.

    Attributes:
        peers: VMs that are known.
        updated_at: When these were last updated, monotonic seconds.
    """

    def __init__(
        self,
        *,
        node: records.Node,
        confirmations: tracker_lib.VersionTracker,
        rounds: rounds_lib.Rounds,
        now: float,
    ) -> None:
        """Initialize without other VMs.

        Args:
            node: Record of this entry.
            confirmations: What is known of the newest version.
            rounds: Rounds of this process's questions.
            now: Monotonic seconds.
        """
        self.peers = peers_lib.Peers(name=node.name)
        self.updated_at = float("-inf")
        self._incarnation = node.incarnation
        self._confirmations = confirmations
        self._rounds = rounds
        self._asked_at = float("-inf")
        # Entries to which a confirmation was passed on.
        self._leases = lease_book.LeaseBook(now=now)

    def list_lent(self, now: float) -> tuple[lease_book.Holder, ...]:
        """Return the entries that may hold a confirmation from here."""
        return self._leases.list_holders(now)

    def is_update_due(self, now: float) -> bool:
        """Return whether to update which VMs are known.

        This is done only while the version held is current.
        """
        if now < self.updated_at + const.PEER_UPDATE_SECONDS:
            return False
        standing = self._confirmations.standing(now)
        return standing is tracker_lib.Standing.CURRENT

    def update(
        self,
        controls: Iterable[tuple[str, float]],
        entries: Iterable[records.Node],
        now: float,
    ) -> None:
        """Update which VMs are known.

        Args:
            controls: Control VMs that were heard, and when, monotonic seconds.
            entries: Open entries.
            now: Monotonic seconds.
        """
        self.updated_at = now
        for name, heard_at in controls:
            self.peers.note_listed(name, heard_at, is_entry=False)
        for node in entries:
            self.peers.note_listed(node.name, now, is_entry=True)
        self.peers.note_current(now)

    def next_ask_at(self, now: float) -> float:
        """Return when to ask next, monotonic seconds; infinite if never."""
        if not self._confirmations.should_ask_peers(now):
            return float("inf")
        return self._asked_at + const.PEER_ASK_SECONDS

    def ask(self, now: float) -> Actions:
        """Ask the other entries, if it is time."""
        if now < self.next_ask_at(now) - _TICK_TOLERANCE_SECONDS:
            return []
        self._asked_at = now
        query = messages.PeerQuery(
            round=self._rounds.start(now),
            incarnation=self._incarnation,
            version=self._confirmations.held,
            evacuations=self._confirmations.held_evacuations,
        )
        return [
            core.Send(dst=name, msg=query) for name in self.peers.list_entries()
        ]

    def answer(
        self, src: str, msg: messages.PeerQuery, now: float
    ) -> core.Send:
        """Tell another entry what is newest, and pass a confirmation on."""
        confirmations = self._confirmations
        age_s = -1.0
        # An order would wait for a process that can't use the confirmation.
        can_use = (
            msg.version >= confirmations.held
            and msg.evacuations >= confirmations.held_evacuations
        )
        if can_use and confirmations.may_deny(now):
            age_s = confirmations.age_s(now)
            self._leases.give(lease_book.Holder(src, msg.incarnation), now)
        state = messages.PeerState(
            echo=msg.round,
            newest=confirmations.newest_known,
            newest_evacuations=confirmations.newest_evacuations,
            version=confirmations.held,
            evacuations=confirmations.held_evacuations,
            confirmed_age_s=age_s,
        )
        return core.Send(dst=src, msg=state)

    def receive(self, src: str, msg: messages.PeerState, now: float) -> None:
        """Use what another entry knows."""
        confirmations = self._confirmations
        confirmations.note_announced(msg.newest, now)
        confirmations.note_announced_evacuations(msg.newest_evacuations, now)
        sent_at = self._rounds.find_start(msg.echo)
        if sent_at is None:
            return
        self.peers.note_answer(src, sent_at)
        if msg.confirmed_age_s < 0:
            return
        confirmation = tracker_lib.Confirmation(
            version=msg.version,
            as_of=sent_at - msg.confirmed_age_s,
            source=src,
            evacuations=msg.evacuations,
        )
        confirmations.confirm(confirmation, now)
