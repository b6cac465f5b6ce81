"""When the recent versions were committed, as a control VM knows; sans-I/O."""

import collections

from jasperweir.components.configctl import messages

# Versions whose commits are remembered.
MAX_VERSIONS = 64


class VersionAges:
    """Times at which a control VM learned of the commits of versions."""

    def __init__(self) -> None:
        self._committed_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def on_committed(self, version: int, now: float) -> None:
        """Record that a version above all earlier ones is committed."""
        self._committed_at[version] = now
        if len(self._committed_at) > MAX_VERSIONS:
            self._committed_at.popitem(last=False)

    def list_above(self, held: int, now: float) -> messages.VersionAges:
        """Return the ages of the recent versions above one.

        Args:
            held: Version that a node holds.
            now: Monotonic seconds.
        """
        return messages.VersionAges(
            ages=tuple(
                messages.VersionAge(version, now - committed_at)
                for version, committed_at in self._committed_at.items()
                if version > held
            )
        )
