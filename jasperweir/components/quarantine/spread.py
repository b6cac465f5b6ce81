"""How marks reach every entry: told at once, and compared now and then.

An entry tells the entries that it talks to anyway, and the control VMs; these
tell the entries that they look after, and each other. An entry that a message
did not reach, or that has started again, finds the difference when it compares
its digest with a control VM. Sans-I/O.
"""

from collections.abc import Iterable
import dataclasses

from jasperweir import core
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import messages

Sends = list[core.Send]
Message = messages.Marks | messages.Compare


def tell(marks: tuple[messages.Mark, ...], names: Iterable[str]) -> Sends:
    """Return the sends that tell of marks."""
    if not marks:
        return []
    msg = messages.Marks(marks=marks)
    return [core.Send(dst=name, msg=msg) for name in dict.fromkeys(names)]


@dataclasses.dataclass(kw_only=True, slots=True)
class Told:
    """All marks were told to another process.

    Attributes:
        pause_s: For how long they are not told again, seconds.
        at: When they were told, monotonic seconds.
    """

    pause_s: float
    at: float


class Comparer:
    """Answer those whose digest differs with all marks, not too often."""

    def __init__(self, *, ledger: ledger_lib.Ledger) -> None:
        self._ledger = ledger
        self._told: dict[str, Told] = {}

    def receive(self, src: str, msg: messages.Compare, now: float) -> Sends:
        """Handle the question of another process."""
        if msg.digest == self._ledger.digest:
            self._told.pop(src, None)
            return []
        last = self._told.get(src)
        if last is None:
            last = Told(pause_s=const.EXCHANGE_LEAST_SECONDS, at=now)
            self._told[src] = last
        elif now - last.at < last.pause_s:
            return []
        else:
            last.at = now
            longer = const.EXCHANGE_GROWTH * last.pause_s
            last.pause_s = min(longer, const.EXCHANGE_MOST_SECONDS)
        marks = messages.Marks(marks=self._ledger.marks(now), whole=True)
        return [core.Send(dst=src, msg=marks)]


class EntrySpread:
    """What an entry tells and is told."""

    def __init__(self, *, ledger: ledger_lib.Ledger) -> None:
        self._ledger = ledger
        self._comparer = Comparer(ledger=ledger)
        self._asked = 0

    def compare(self, others: list[str]) -> Sends:
        """Compare with the next of other processes, in turn.

        Args:
            others: Names of those that answer at present.
        """
        if not others:
            return []
        self._asked += 1
        name = others[self._asked % len(others)]
        msg = messages.Compare(digest=self._ledger.digest)
        return [core.Send(dst=name, msg=msg)]

    def receive(self, src: str, msg: Message, now: float) -> Sends:
        """Take in marks; tell the sender of all its marks what it lacks."""
        match msg:
            case messages.Compare():
                return self._comparer.receive(src, msg, now)
            case messages.Marks():
                self._ledger.merge(msg.marks, now)
                if not msg.whole:
                    return []
                return tell(self._ledger.lacking(msg.marks, now), [src])
        return []


class ControlSpread:
    """What a control VM tells and is told."""

    def __init__(self) -> None:
        self._ledger = ledger_lib.Ledger()
        self._comparer = Comparer(ledger=self._ledger)

    def tick(self, now: float) -> None:
        """Forget what is old."""
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
            src: Its sender.
            msg: Marks or Compare.
            entries: Entries that this control VM looks after.
            controls: The other control VMs.
            now: Monotonic seconds.
        """
        match msg:
            case messages.Marks():
                news = self._ledger.merge(msg.marks, now)
                others = [*entries]
                if src not in controls:
                    others += controls
                return tell(news, [name for name in others if name != src])
            case messages.Compare():
                return self._comparer.receive(src, msg, now)
        return []
