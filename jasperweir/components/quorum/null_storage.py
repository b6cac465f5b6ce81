"""What stands for a data folder on a VM without a disk."""

from jasperweir.components.quorum import messages


class NullStorage:
    """Keeps nothing: its process holds no seat and starts empty each time."""

    def open(self) -> messages.Recovered:
        """Return an empty log without a disk's identity."""
        return messages.Recovered(
            disk="",
            meta=messages.Meta(),
            snapshot=messages.Snapshot(),
            entries=(),
            tail_uncertain=False,
        )

    def close(self) -> None:
        """Do nothing."""

    def save_meta(self, meta: messages.Meta) -> None:
        """Do nothing: without a seat no term or vote counts."""

    def save_entries(
        self, first: int, entries: tuple[messages.Entry, ...]
    ) -> None:
        """Do nothing: without a seat no entries are sent here."""

    def save_snapshot(
        self, snapshot: messages.Snapshot, kept: tuple[messages.Entry, ...]
    ) -> None:
        """Do nothing: without a seat no snapshot is sent here."""

    def save_commit_hint(self, index: int) -> None:
        """Do nothing."""

    def note_side(self, data: bytes) -> None:
        """Do nothing."""

    def side(self) -> bytes:
        """Return nothing."""
        return b""
