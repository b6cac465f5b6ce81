"""Contents that came into force under the recent versions; sans-I/O."""

import collections

# Versions whose contents are remembered.
MAX_VERSIONS = 256


class VersionHistory:
    """Checksums of the contents that the log put into force."""

    def __init__(self) -> None:
        self._contents: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # Versions up to this one may have been in force unseen.
        self._unseen = 0

    def on_in_force(self, version: int, content: int) -> None:
        """Record that a version above all earlier ones is in force."""
        self._contents[version] = content
        if len(self._contents) > MAX_VERSIONS:
            oldest, _ = self._contents.popitem(last=False)
            self._unseen = max(self._unseen, oldest)

    def on_restored(self, version: int, content: int) -> None:
        """Record that a snapshot has put a version into force."""
        self._unseen = max(self._unseen, version - 1)
        self.on_in_force(version, content)

    def find(self, version: int) -> int:
        """Return the checksum of a version's content, 0 if unknown."""
        return self._contents.get(version, 0)

    def is_remembered(self, version: int) -> bool:
        """Return whether it is known what came into force under a version."""
        return version > self._unseen or version in self._contents
