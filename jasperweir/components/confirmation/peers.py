"""Which VMs of the site a process knows, and which of them it hears; sans-I/O.

A process whose confirmation has expired can't tell by itself whether the site
is without a leader or it is cut off alone. It goes on only with a majority of
the VMs, none of which knows of anything newer: two groups of VMs that can't
hear each other don't both have one.
"""

import dataclasses

from jasperweir.components.confirmation import const

_NEVER = float("-inf")


@dataclasses.dataclass(kw_only=True, slots=True)
class _Peer:
    """Another VM.

    Attributes:
        entry: Name of its entry, empty if none is known.
        listed_at: When it was last listed or heard, monotonic seconds.
        answered_at: Send time of the newest question that it has answered.
    """

    entry: str = ""
    listed_at: float = _NEVER
    answered_at: float = _NEVER


def find_host(name: str) -> str:
    """Return the VM of a process, by the name of the process."""
    return name.rpartition(":")[0] or name


class Peers:
    """Other VMs of the site as one process knows them."""

    def __init__(self, *, name: str) -> None:
        """Initialize without other VMs.

        Args:
            name: Name of this process.
        """
        self._own_host = find_host(name)
        self._peers: dict[str, _Peer] = {}
        self._current_at = _NEVER

    def note_current(self, now: float) -> None:
        """Record that the version held is current.

        VMs are forgotten only by a process that is current: for one that is
        cut off, all the others would be gone after some time.
        """
        self._current_at = now
        self._peers = {
            host: peer
            for host, peer in self._peers.items()
            if self._is_known(peer)
        }

    def note_listed(self, name: str, at: float, *, is_entry: bool) -> None:
        """Record a process of the site.

        Args:
            name: Its name.
            at: When it was listed or heard, monotonic seconds.
            is_entry: Whether it is an entry, which answers questions.
        """
        host = find_host(name)
        if host == self._own_host:
            return
        peer = self._peers.setdefault(host, _Peer())
        peer.listed_at = max(peer.listed_at, at)
        if is_entry:
            peer.entry = name

    def note_answer(self, name: str, as_of: float) -> None:
        """Record that a process has answered.

        Args:
            name: Its name.
            as_of: Send time of the question, monotonic seconds.
        """
        peer = self._peers.get(find_host(name))
        if peer is not None:
            peer.answered_at = max(peer.answered_at, as_of)

    def void_answers(self) -> None:
        """Forget all answers, because their times can't be compared."""
        for peer in self._peers.values():
            peer.answered_at = _NEVER

    def list_entries(self) -> list[str]:
        """Return the entries to ask."""
        return [peer.entry for peer in self._list_counted() if peer.entry]

    def hears_majority(self, now: float) -> bool:
        """Return whether a majority of the VMs, with this one, is heard."""
        heard, known = self.count(now)
        return 2 * heard > known

    def count(self, now: float) -> tuple[int, int]:
        """Return how many VMs are heard and known, each with this one."""
        counted = self._list_counted()
        heard = sum(
            now - peer.answered_at < const.REACH_SECONDS for peer in counted
        )
        return heard + 1, len(counted) + 1

    def _list_counted(self) -> list[_Peer]:
        """Return the known VMs, on a large site an even sample of them.

        Addresses of a data centre have a common beginning, so each has its
        share of the sample.
        """
        hosts = sorted(
            host for host, peer in self._peers.items() if self._is_known(peer)
        )
        step = max(len(hosts) / const.MAX_PEERS, 1.0)
        count = min(len(hosts), const.MAX_PEERS)
        return [self._peers[hosts[int(n * step)]] for n in range(count)]

    def _is_known(self, peer: _Peer) -> bool:
        return peer.listed_at >= self._current_at - const.KNOWN_SECONDS
