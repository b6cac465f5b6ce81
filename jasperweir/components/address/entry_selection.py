"""Sans-I/O choice of the entries that callers should connect to."""

import random

from jasperweir.components.directory import records

# Callers ignore further entries of an answer.
MAX_ADDRESSES = 64
# Number of entries in the caller's data centre from which only these are
# given. With fewer, the loss of one would overload the others.
ENOUGH_LOCAL_ENTRIES = 8


def choose_addresses(
    entries: tuple[records.Node, ...], place: str, rng: random.Random
) -> list[str]:
    """Return the addresses for a caller.

    Entries of the caller's own data centre are preferred, since traffic
    between data centres costs money. A random sample is used when there are
    too many, so that no entry stays idle.

    Args:
        entries: Open entries.
        place: Data centre of the caller, empty if unknown.
        rng: Random source of the sample.
    """
    local = [node.caller_address for node in entries if node.place == place]
    addresses = local
    if len(local) < ENOUGH_LOCAL_ENTRIES:
        addresses = [node.caller_address for node in entries]
    if len(addresses) > MAX_ADDRESSES:
        return rng.sample(addresses, MAX_ADDRESSES)
    return addresses
