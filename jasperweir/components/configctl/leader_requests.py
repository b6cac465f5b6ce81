"""Requests of callers that await the reply of the leader; sans-I/O."""

import dataclasses
from typing import Any
from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.configctl import const
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import messages
from jasperweir.components.registry import ops
from jasperweir.helpers import hashing

Actions = list[Any]
Request = (
    messages.ReplaceRequest
    | messages.ReadRequest
    | messages.EvacuateRequest
    | messages.DepartRequest
)
Reply = (
    messages.ReplaceReply
    | messages.ReadReply
    | messages.EvacuateReply
    | messages.DepartReply
)


class Replaced(NamedTuple):
    """Action: confirm to an operator that a configuration is committed.

    Attributes:
        number: Number of the request.
        order: The operator's order.
        reply: The leader's reply.
    """

    number: int
    order: messages.ReplaceRequest
    reply: messages.ReplaceReply

    @property
    def version(self) -> int:
        """Newest committed version."""
        return self.reply.version

    @property
    def ordered_content(self) -> int:
        """Checksum of the compressed content of the order."""
        return hashing.checksum(self.order.data)

    @property
    def effect(self) -> messages.OrderEffect:
        """What became of the content of the order."""
        if self.reply.ordered == self.ordered_content:
            return messages.OrderEffect.IN_FORCE
        if self.reply.ordered:
            return messages.OrderEffect.OTHER_CONTENT
        if not self.reply.is_remembered:
            return messages.OrderEffect.UNKNOWN
        return messages.OrderEffect.OVERTAKEN


class Described(NamedTuple):
    """Action: return the newest configuration to an operator."""

    number: int
    declared: ops.Declared


class Waiter(NamedTuple):
    """Process that waits until an operation is committed.

    Attributes:
        src: Name of the process.
        number: Number of its request.
    """

    src: str
    number: int


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingRequest:
    """Request that waits for the leader's reply.

    Attributes:
        request: Message for the leader.
        expires_at: Time of its timeout, monotonic seconds.
        resend_s: Interval at which it is resent, seconds.
        sent_to: Leader that it was last sent to, or empty.
        sent_at: Time of the last send, monotonic seconds.
    """

    request: Request
    expires_at: float
    resend_s: float
    sent_to: str = ""
    sent_at: float = 0.0


class LeaderRequests:
    """Sends requests to whichever control VM leads until it replies."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingRequest] = {}

    def add(self, number: int, request: Request, now: float) -> None:
        """Add a request; it ends in the action of its reply or Unconfirmed."""
        transfer_s = _transfer_s(request)
        self._pending[number] = PendingRequest(
            request=request,
            expires_at=now + const.REQUEST_TIMEOUT_SECONDS + transfer_s,
            resend_s=const.RESEND_REQUEST_SECONDS + transfer_s,
        )

    def abandon(self, number: int) -> None:
        """End a request whose caller is gone, so that it is not retried."""
        self._pending.pop(number, None)

    def expire(self, now: float) -> Actions:
        """End the requests that have had no reply in time."""
        expired = [n for n, p in self._pending.items() if now >= p.expires_at]
        for number in expired:
            del self._pending[number]
        return [
            discovery_server.Unconfirmed(number=number) for number in expired
        ]

    def take_due(self, leader: str, now: float) -> list[Request]:
        """Return the requests to send to the leader now.

        Args:
            leader: Name of the leader, empty if unknown.
            now: Monotonic seconds.
        """
        out: list[Request] = []
        if not leader:
            return out
        for pending in self._pending.values():
            is_due = now - pending.sent_at > pending.resend_s
            if pending.sent_to == leader and not is_due:
                continue
            pending.sent_to = leader
            pending.sent_at = now
            out.append(pending.request)
        return out

    def on_reply(self, msg: Reply, held: ops.Declared) -> Actions:
        """Handle a reply of the leader.

        Args:
            msg: The reply.
            held: Configuration that this control VM holds.
        """
        pending = self._pending.get(msg.number)
        if pending is None:
            return []
        match msg:
            case messages.ReplaceReply():
                order = pending.request
                if not isinstance(order, messages.ReplaceRequest):
                    return []
                del self._pending[msg.number]
                return [
                    Replaced(
                        number=msg.number,
                        order=order,
                        reply=msg,
                    )
                ]
            case messages.ReadReply():
                declared = ops.Declared(version=msg.version, data=msg.data)
                if not msg.data:
                    declared = held
                if declared.version < msg.version:
                    return []
                del self._pending[msg.number]
                return [Described(number=msg.number, declared=declared)]
            case messages.EvacuateReply():
                return self._on_evacuate_reply(pending, msg)
            case messages.DepartReply():
                del self._pending[msg.number]
                return [discovery_server.Acknowledged(number=msg.number)]

    def _on_evacuate_reply(
        self, pending: PendingRequest, msg: messages.EvacuateReply
    ) -> Actions:
        request = pending.request
        if not isinstance(request, messages.EvacuateRequest):
            return []
        if msg.code == result_codes.Code.ACCEPTED:
            del self._pending[msg.number]
            return [
                evacuations_lib.Evacuated(
                    number=msg.number, place=request.place, orders=msg.orders
                )
            ]
        if msg.code == result_codes.Code.STALE_PARENT:
            # The next tick resends it unless the operator's call has ended.
            pending.request = request._replace(expected=msg.orders)
            pending.sent_to = ""
        return []


def _transfer_s(request: Request) -> float:
    """Return how much longer a request may take for its size, seconds."""
    if not isinstance(request, messages.ReplaceRequest):
        return 0.0
    return len(request.data) * const.REQUEST_SECONDS_PER_BYTE
