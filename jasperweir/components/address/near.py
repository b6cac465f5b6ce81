"""Which entries callers are told to use, the near ones first; sans-I/O."""

import random

from jasperweir.components.directory import records

# Entries of an answer; callers take no more into account.
MAX_ADDRESSES = 64
# As many entries of the caller's own data centre are enough: with one of them
# lost, those that are left take a seventh more each. A site with fewer names
# all, since three or four entries a data centre would feel each loss.
NEAR_ENTRIES = 8


def choose(
    entries: tuple[records.Node, ...], place: str, rng: random.Random
) -> list[str]:
    """Return the addresses for a caller.

    Callers draw one for each connection. Told the first 64 of 103 entries, they
    could leave whole data centres idle, and most connections would cross
    between data centres, whose bytes are priced.

    Args:
        entries: Entries that callers may use.
        place: Data centre of the caller, empty if it did not say.
        rng: Draws which entries are named, where there are too many.
    """
    near = [node.caller_address for node in entries if node.place == place]
    found = near
    if len(near) < NEAR_ENTRIES:
        found = [node.caller_address for node in entries]
    if len(found) > MAX_ADDRESSES:
        return rng.sample(found, MAX_ADDRESSES)
    return found
