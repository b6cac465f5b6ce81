"""Choose the entries in an address answer, with weights and time to live."""

from typing import NamedTuple

from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.helpers import hashing

Status = member_messages.Status
ANSWER_ENTRIES = 6
# Entries that serve one service, so that each node's state stays small.
SHARD_ENTRIES = 24
NEAR_WEIGHT = 10
REGION_WEIGHT = 3
FAR_WEIGHT = 1


class Address(NamedTuple):
    """One entry that a caller may connect to."""

    name: str
    http: str
    place: str
    weight: int


class Answer(NamedTuple):
    """A set of entries and for how long it may be kept."""

    ttl_s: float
    addresses: tuple[Address, ...]


def build(
    *,
    roster: roster_lib.Roster,
    service: str,
    place: str,
    regions: dict[str, str],
    ttl_s: float,
    salt: str,
) -> Answer:
    """Return the answer for a caller.

    Args:
        roster: Records of all nodes.
        service: Service that the caller wants, or an empty string.
        place: Place that the caller is nearest to, or an empty string.
        regions: Region of each place.
        ttl_s: Seconds for which the answer may be kept.
        salt: Varies between callers, so that they spread.
    """
    entries = [
        m
        for m in roster.members(member_const.KIND_ENTRY)
        if m.status == Status.ALIVE
    ]
    if service and len(entries) > SHARD_ENTRIES:
        entries = _shard(entries, service)
    by_name = {m.name: m for m in entries}
    weights = {m.name: _weight(m.place, place, regions) for m in entries}
    near = [n for n, w in weights.items() if w == NEAR_WEIGHT]
    rest = [n for n, w in weights.items() if w != NEAR_WEIGHT]
    names = hashing.rendezvous(salt, near, ANSWER_ENTRIES - 2)
    names += hashing.rendezvous(salt, rest, ANSWER_ENTRIES - len(names))
    addresses = tuple(
        Address(n, by_name[n].http, by_name[n].place, weights[n]) for n in names
    )
    return Answer(ttl_s=ttl_s, addresses=addresses)


def _shard(
    entries: list[member_messages.Member], service: str
) -> list[member_messages.Member]:
    """Return the entries that serve a service, from every place alike."""
    by_place: dict[str, list[str]] = {}
    for m in entries:
        by_place.setdefault(m.place, []).append(m.name)
    each = max(2, SHARD_ENTRIES // len(by_place))
    chosen: set[str] = set()
    for names in by_place.values():
        chosen.update(hashing.rendezvous(f"shard/{service}", names, each))
    return [m for m in entries if m.name in chosen]


def _weight(place: str, wanted: str, regions: dict[str, str]) -> int:
    if not wanted or place == wanted:
        return NEAR_WEIGHT
    if regions.get(place, place) == regions.get(wanted, wanted):
        return REGION_WEIGHT
    return FAR_WEIGHT
