"""Targets that are leaving or gone, as recorded in the log; sans-I/O.

Their callers are acknowledged once the record is committed, so that no loss of
processes or disks within the tolerance brings a target back. While one entry of
the log is on its way, further records wait and share the next one: a data
centre that is shut down costs a few entries.
"""

from collections.abc import Callable

from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import messages
from jasperweir.components.directory import departures
from jasperweir.components.directory import records
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.helpers import codec


class Departures:
    """Records that the leader has proposed and those that are committed."""

    def __init__(
        self,
        *,
        machine: state_machine_lib.StateMachine,
        wall: Callable[[], float],
    ) -> None:
        """Initialize without requests.

        Args:
            machine: State machine with the committed records.
            wall: Returns the seconds since the Unix epoch.
        """
        self._machine = machine
        self._wall = wall
        # Requests whose record is in no entry of the log yet, and those whose
        # record is in the entry ``_proposed_id``.
        self._waiting: dict[requests_lib.Waiter, records.Target] = {}
        self._proposed: list[requests_lib.Waiter] = []
        self._proposed_id = ""
        # Log index up to which ``take_new`` has returned the records.
        self._taken_index = 0

    def is_recorded(self, target: records.Target) -> bool:
        """Return whether a committed record says this of the target."""
        held = self._machine.departed().get(target.target_id)
        return held is not None and departures.covers(held.target, target)

    def add(self, src: str, request: messages.DepartRequest) -> None:
        """Add a request, unless its record is in the log already."""
        waiter = requests_lib.Waiter(src=src, number=request.number)
        if waiter not in self._proposed:
            self._waiting[waiter] = request.target

    def next_proposal(self, term: int, index: int) -> ops.Request | None:
        """Return the operation to propose now, or None.

        Args:
            term: Term of this leader.
            index: Log index of the proposal.
        """
        if self._proposed_id or not self._waiting:
            return None
        self._proposed_id = f"depart/{term}/{index}"
        self._proposed = list(self._waiting)
        op = ops.Depart(targets=tuple(self._waiting.values()))
        self._waiting = {}
        return ops.Request(
            op_id=self._proposed_id,
            who="",
            at=self._wall(),
            body=codec.pack_tagged(op),
        )

    def finish(self, op_id: str) -> list[requests_lib.Waiter]:
        """Return the processes that waited for a committed operation."""
        if op_id != self._proposed_id:
            return []
        done, self._proposed, self._proposed_id = self._proposed, [], ""
        return done

    def clear(self) -> None:
        """Forget all requests, because this control VM no longer leads."""
        self._waiting = {}
        self._proposed = []
        self._proposed_id = ""

    def take_new(self) -> list[tuple[records.Target, float]]:
        """Return the records committed since the last call, with their ages.

        Ages are in seconds.
        """
        new = []
        for departed in reversed(self._machine.departed().values()):
            if departed.idx <= self._taken_index:
                break
            new.append(departed)
        if not new:
            return []
        self._taken_index = new[0].idx
        now = self._wall()
        return [(d.target, max(now - d.at, 0.0)) for d in reversed(new)]
