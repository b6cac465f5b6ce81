"""Storage of a control VM without a disk."""

from jasperweir.components.quorum import messages


class NullStorage:
    """Storage that discards all data, for a process that holds no seat."""

    def open(self) -> messages.Recovered:
        """Return an empty log without a disk identity."""
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
        """Discard the data; the process never votes."""

    def save_entries(
        self, first: int, entries: tuple[messages.Entry, ...]
    ) -> None:
        """Discard the data; no leader sends entries here."""

    def save_snapshot(
        self, snapshot: messages.Snapshot, kept: tuple[messages.Entry, ...]
    ) -> None:
        """Discard the data; no leader sends a snapshot here."""

    def save_commit_hint(self, index: int) -> None:
        """Do nothing."""

    def save_soft_state(self, data: bytes) -> None:
        """Do nothing."""

    def load_soft_state(self) -> bytes:
        """Return empty data."""
        return b""
