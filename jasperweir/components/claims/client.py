"""Client side of claims, at the entry that received the request."""

from collections.abc import Callable
import dataclasses
from typing import Any

from jasperweir import core
from jasperweir.components.claims import const
from jasperweir.components.claims import messages
from jasperweir.components.claims import owner as owner_lib

Actions = list[Any]


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """A request that waits for an answer of the partition's primary."""

    record: messages.Record
    expect: int
    done: Callable[[messages.ClaimReply], None]
    deadline: float
    sent_at: float = float("-inf")


class ClaimClient:
    """Repeats requests to the current primary until an answer or a deadline.

    Sans-I/O; the callback of a request is called exactly once.
    """

    def __init__(self, *, owner: owner_lib.ClaimOwner) -> None:
        self._owner = owner
        self._pending: dict[str, PendingRequest] = {}
        self._counter = 0

    def send_request(
        self,
        *,
        record: messages.Record,
        expect: int,
        done: Callable[[messages.ClaimReply], None],
        deadline: float,
        now: float,
    ) -> Actions:
        """Claim a key, or change its record if it has a given version.

        Args:
            record: Record that claims or replaces the key's record.
            expect: Version that the held record must have; 0 for a new claim.
            done: Called with the answer, or with a BLIND verdict after the
                deadline.
            deadline: Monotonic time after which the request is given up.
            now: Monotonic seconds.
        """
        self._counter += 1
        ask_id = f"{record.rid}/{self._counter}"
        self._pending[ask_id] = PendingRequest(
            record=record, expect=expect, done=done, deadline=deadline
        )
        return self._send(ask_id, now)

    def receive(self, msg: messages.ClaimReply, now: float) -> Actions:
        """Handle a primary's answer; one that is not awaited is ignored."""
        pending = self._pending.get(msg.ask_id)
        if pending is None:
            return []
        if msg.verdict == const.RETRY:
            # A view change is in progress; tick repeats the request.
            return []
        del self._pending[msg.ask_id]
        pending.done(msg)
        return []

    def tick(self, now: float) -> Actions:
        """Repeat unanswered requests and give up those past the deadline."""
        out: Actions = []
        for ask_id, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[ask_id]
                pending.done(
                    messages.ClaimReply(
                        epoch=self._owner.epoch,
                        ask_id=ask_id,
                        verdict=const.BLIND,
                        record=None,
                    )
                )
            elif now - pending.sent_at >= const.RESEND_SECONDS:
                out += self._send(ask_id, now)
        return out

    def _send(self, ask_id: str, now: float) -> Actions:
        pending = self._pending[ask_id]
        pending.sent_at = now
        primary = self._owner.primary(pending.record.key)
        if primary is None:
            return []
        msg = messages.ClaimRequest(
            epoch=self._owner.epoch,
            ask_id=ask_id,
            record=pending.record,
            expect=pending.expect,
        )
        return [core.Send(dst=primary[0], msg=msg)]
