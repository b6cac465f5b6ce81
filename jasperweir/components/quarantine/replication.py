"""Replication of quarantine marks between processes; sans-I/O.

An entry sends new marks to its peer entries and to the control VMs, which
forward them to their entries and to each other. An entry that has missed a
message or has restarted detects the difference when it compares its digest with
a control VM, and receives all marks.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from jasperweir import core
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages

Sends = list[core.Send]
Message = messages.Marks | messages.Compare
Merge = Callable[[tuple[messages.Mark, ...], float], tuple[messages.Mark, ...]]


def send_marks(marks: tuple[messages.Mark, ...], names: Iterable[str]) -> Sends:
    """Return the sends of marks to processes."""
    if not marks:
        return []
    msg = messages.Marks(marks=marks)
    return [core.Send(dst=name, msg=msg) for name in dict.fromkeys(names)]


@dataclasses.dataclass(kw_only=True, slots=True)
class LastExchange:
    """The last time that all marks were sent to a process.

    Attributes:
        pause_s: Time for which they are not sent again, seconds.
        sent_at: When they were sent, monotonic seconds.
    """

    pause_s: float
    sent_at: float


class Comparer:
    """Answers digests that differ with all marks, at a limited rate."""

    def __init__(self, *, ledger: ledger_lib.Ledger) -> None:
        self._ledger = ledger
        self._exchanges: dict[str, LastExchange] = {}

    def receive(self, src: str, msg: messages.Compare, now: float) -> Sends:
        """Compare the digest of another process."""
        if msg.digest == self._ledger.digest:
            self._exchanges.pop(src, None)
            return []
        last = self._exchanges.get(src)
        if last is None:
            last = LastExchange(pause_s=const.EXCHANGE_MIN_SECONDS, sent_at=now)
            self._exchanges[src] = last
        elif now - last.sent_at < last.pause_s:
            return []
        else:
            last.sent_at = now
            longer = const.EXCHANGE_GROWTH * last.pause_s
            last.pause_s = min(longer, const.EXCHANGE_MAX_SECONDS)
        marks = messages.Marks(marks=self._ledger.marks(now), whole=True)
        return [core.Send(dst=src, msg=marks)]


class EntrySpread:
    """Replication of marks at an entry."""

    def __init__(
        self, *, ledger: ledger_lib.Ledger, merge: Merge | None = None
    ) -> None:
        """Initialize without peers.

        Args:
            ledger: Marks of the entry.
            merge: Merges received marks into it; the ledger itself by default.
        """
        self._ledger = ledger
        self._merge = merge or ledger.merge
        self._comparer = Comparer(ledger=ledger)
        self._compare_count = 0

    def compare(self, others: list[str]) -> Sends:
        """Compare digests with the next process in turn.

        Args:
            others: Names of the reachable control VMs.
        """
        if not others:
            return []
        self._compare_count += 1
        name = others[self._compare_count % len(others)]
        msg = messages.Compare(digest=self._ledger.digest)
        return [core.Send(dst=name, msg=msg)]

    def receive(self, src: str, msg: Message, now: float) -> Sends:
        """Handle a message; answer a complete set with the missing marks."""
        match msg:
            case messages.Compare():
                return self._comparer.receive(src, msg, now)
            case messages.Marks():
                self._merge(msg.marks, now)
                if not msg.whole:
                    return []
                return send_marks(
                    self._ledger.missing_marks(msg.marks, now), [src]
                )
        return []


class ControlSpread:
    """Replication of marks at a control VM."""

    def __init__(self) -> None:
        self._ledger = ledger_lib.Ledger()
        self._comparer = Comparer(ledger=self._ledger)

    def tick(self, now: float) -> None:
        """Drop expired requests."""
        self._ledger.tick(now)

    def receive(
        self,
        src: str,
        msg: Message,
        *,
        entries: list[str],
        controls: list[str],
        now: float,
    ) -> Sends:
        """Handle a message of an entry or another control VM.

        Args:
            src: Name of the sender.
            msg: The message.
            entries: Names of the entries that this control VM serves.
            controls: Names of the other control VMs.
            now: Monotonic seconds.
        """
        match msg:
            case messages.Marks():
                new = self._ledger.merge(msg.marks, now)
                others = [*entries]
                if src not in controls:
                    others += controls
                return send_marks(new, [name for name in others if name != src])
            case messages.Compare():
                return self._comparer.receive(src, msg, now)
        return []
