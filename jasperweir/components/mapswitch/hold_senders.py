"""Selects the entry that sends the holds of a group; sans-I/O."""


class HoldSenders:
    """Selects one of the entries that may send holds.

    Attributes:
        current: Name of the selected entry, empty if there is none.
    """

    def __init__(self, names: tuple[str, ...] = ()) -> None:
        self._names = names
        self.current = names[-1] if names else ""

    def update(self, names: tuple[str, ...]) -> None:
        """Set the entries; the selected one stays if it is among them."""
        self._names = names
        if self.current not in names:
            self.current = names[-1] if names else ""

    def select_next(self) -> None:
        """Select another entry, since the current one does not answer."""
        if self.current in self._names:
            at = self._names.index(self.current)
            self.current = self._names[at - 1]
