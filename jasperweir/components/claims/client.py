"""The asking side of claims, at the entry that received the request."""

from collections.abc import Callable
import dataclasses
from typing import Any

from jasperweir import core
from jasperweir.components.claims import const
from jasperweir.components.claims import keeper as keeper_lib
from jasperweir.components.claims import messages

Actions = list[Any]


@dataclasses.dataclass(kw_only=True, slots=True)
class Open:
    """A question that waits for the range's primary."""

    record: messages.Record
    expect: int
    done: Callable[[messages.Reply], None]
    deadline: float
    sent_at: float = float("-inf")


class Client:
    """Repeat questions to the current primary until answered or too late."""

    def __init__(self, *, keeper: keeper_lib.Keeper) -> None:
        self._keeper = keeper
        self._open: dict[str, Open] = {}
        self._counter = 0

    def ask(
        self,
        *,
        record: messages.Record,
        expect: int,
        done: Callable[[messages.Reply], None],
        deadline: float,
        now: float,
    ) -> Actions:
        """Claim a key, or change its record at a version."""
        self._counter += 1
        ask_id = f"{record.rid}/{self._counter}"
        self._open[ask_id] = Open(
            record=record, expect=expect, done=done, deadline=deadline
        )
        return self._send(ask_id, now)

    def receive(self, msg: messages.Reply, now: float) -> Actions:
        """Take in a primary's answer; late ones are dropped."""
        question = self._open.get(msg.ask_id)
        if question is None:
            return []
        if msg.verdict == const.RETRY:
            # The view is changing here or there: tick asks again.
            return []
        del self._open[msg.ask_id]
        question.done(msg)
        return []

    def tick(self, now: float) -> Actions:
        """Repeat what was not answered and give up what is too late."""
        out: Actions = []
        for ask_id, question in list(self._open.items()):
            if now >= question.deadline:
                del self._open[ask_id]
                question.done(
                    messages.Reply(
                        epoch=self._keeper.epoch,
                        ask_id=ask_id,
                        verdict=const.BLIND,
                        record=None,
                    )
                )
            elif now - question.sent_at >= const.RESEND_SECONDS:
                out += self._send(ask_id, now)
        return out

    def _send(self, ask_id: str, now: float) -> Actions:
        question = self._open[ask_id]
        question.sent_at = now
        primary = self._keeper.primary(question.record.key)
        if primary is None:
            return []
        msg = messages.Ask(
            epoch=self._keeper.epoch,
            ask_id=ask_id,
            record=question.record,
            expect=question.expect,
        )
        return [core.Send(dst=primary[0], msg=msg)]
