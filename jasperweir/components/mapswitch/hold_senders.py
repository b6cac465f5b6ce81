"""Which node gives the holds of a group; sans-I/O."""


class HoldSenders:
    """Entries that may give holds, one of which does."""

    def __init__(self, names: tuple[str, ...] = ()) -> None:
        self._names = names
        self.current = names[-1] if names else ""

    def update(self, names: tuple[str, ...]) -> None:
        """Take in which nodes there are; the current one stays if it can."""
        self._names = names
        if self.current not in names:
            self.current = names[-1] if names else ""

    def select_next(self) -> None:
        """Let another node give the next holds: this one does not answer."""
        if self.current in self._names:
            at = self._names.index(self.current)
            self.current = self._names[at - 1]
