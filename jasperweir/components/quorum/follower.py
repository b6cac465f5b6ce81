"""Follower side of replication: handles entries and snapshots of a leader."""

from typing import Any

from jasperweir import core
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import state as state_lib

Actions = list[Any]


class Follower:
    """Applies a leader's messages to the voter's state."""

    def __init__(self, *, state: state_lib.State) -> None:
        self._state = state
        self._snapshot_buffer = bytearray()
        self._snapshot_buffer_index = 0

    def on_append(self, src: str, msg: messages.Append) -> Actions:
        """Append the entries if the local log contains their predecessor."""
        if not self._has_entry(msg.prev_index, msg.prev_term):
            hint = min(msg.prev_index - 1, self._state.log.last_index)
            return [self._append_reply(src, ok=False, match=hint, msg=msg)]
        out = self._merge_entries(msg.entries)
        match = msg.prev_index + len(msg.entries)
        if match >= msg.last:
            self._state.may_vote = True
        commit = min(msg.commit, match)
        out.append(self._append_reply(src, ok=True, match=match, msg=msg))
        if commit > self._state.commit:
            out += self._state.advance_commit(commit)
        return out

    def _append_reply(
        self, src: str, *, ok: bool, match: int, msg: messages.Append
    ) -> core.Send:
        reply = messages.AppendReply(
            term=self._state.term,
            ok=ok,
            match=max(match, 0),
            round=msg.round,
            disk=self._state.disk,
        )
        return core.Send(dst=src, msg=reply)

    def _has_entry(self, index: int, term: int) -> bool:
        if index < self._state.log.base_index:
            return True
        return self._state.log.term_at(index) == term

    def _merge_entries(self, entries: tuple[messages.Entry, ...]) -> Actions:
        new_entries = tuple(
            e for e in entries if self._state.log.term_at(e.idx) != e.term
        )
        new_entries = tuple(
            e for e in new_entries if e.idx > self._state.log.base_index
        )
        if not new_entries:
            return []
        # Replace the log from the first conflicting entry on.
        first = new_entries[0].idx
        tail = tuple(e for e in entries if e.idx >= first)
        replaced = first <= self._state.log.last_index
        if replaced:
            self._state.log.truncate(first)
        self._state.log.append(tail)
        if replaced or any(e.kind == const.KIND_SEATS for e in tail):
            self._state.reload_seats()
        return [actions.SaveEntries(first=first, entries=tail)]

    def on_install(self, src: str, msg: messages.Install) -> Actions:
        """Store a chunk and install the snapshot once it is complete."""
        if msg.offset == 0 or msg.idx != self._snapshot_buffer_index:
            self._snapshot_buffer.clear()
            self._snapshot_buffer_index = msg.idx
        if msg.offset == len(self._snapshot_buffer):
            self._snapshot_buffer += msg.data
        reply = messages.InstallReply(
            term=self._state.term,
            idx=msg.idx,
            held=len(self._snapshot_buffer),
            round=msg.round,
            disk=self._state.disk,
        )
        send = core.Send(dst=src, msg=reply)
        if (
            len(self._snapshot_buffer) < msg.total
            or msg.idx <= self._state.commit
        ):
            return [send]
        self._state.snapshot = messages.Snapshot(
            idx=msg.idx,
            term=msg.entry_term,
            seats=msg.seats,
            data=bytes(self._snapshot_buffer),
        )
        self._snapshot_buffer.clear()
        self._state.log.compact(msg.idx, msg.entry_term)
        self._state.commit = msg.idx
        self._state.reload_seats()
        kept = self._state.log.entries_between(
            msg.idx + 1, self._state.log.last_index
        )
        return [
            actions.SaveSnapshot(snapshot=self._state.snapshot, kept=kept),
            actions.Restore(snapshot=self._state.snapshot),
            send,
        ]
