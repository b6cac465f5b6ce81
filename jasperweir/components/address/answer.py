"""Address answers: entries with weights and a time to live."""

from typing import NamedTuple

from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.membership import roster as roster_lib
from jasperweir.helpers import hashing

Status = member_messages.Status
MAX_ANSWER_ENTRIES = 6
# Entries that serve one service, so that the state of each stays small.
SHARD_ENTRIES = 24
SAME_DATA_CENTRE_WEIGHT = 10
SAME_REGION_WEIGHT = 3
OTHER_REGION_WEIGHT = 1


class Address(NamedTuple):
    """One entry that a caller may connect to."""

    name: str
    http: str
    place: str
    weight: int


class Answer(NamedTuple):
    """Entries for a caller and the time to live, seconds."""

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
        place: Data centre nearest to the caller, or an empty string.
        regions: Region of each data centre.
        ttl_s: Seconds for which the answer may be kept.
        salt: Differs between callers, so that they are spread over entries.
    """
    entries = [
        m
        for m in roster.members(member_const.KIND_ENTRY)
        if m.status == Status.ALIVE
    ]
    if service and len(entries) > SHARD_ENTRIES:
        entries = _service_shard(entries, service)
    by_name = {m.name: m for m in entries}
    weights = {m.name: _weight(m.place, place, regions) for m in entries}
    local = [n for n, w in weights.items() if w == SAME_DATA_CENTRE_WEIGHT]
    remote = [n for n, w in weights.items() if w != SAME_DATA_CENTRE_WEIGHT]
    names = hashing.rendezvous(salt, local, MAX_ANSWER_ENTRIES - 2)
    names += hashing.rendezvous(salt, remote, MAX_ANSWER_ENTRIES - len(names))
    addresses = tuple(
        Address(n, by_name[n].http, by_name[n].place, weights[n]) for n in names
    )
    return Answer(ttl_s=ttl_s, addresses=addresses)


def _service_shard(
    entries: list[member_messages.Member], service: str
) -> list[member_messages.Member]:
    """Return the entries of a service, equally many per data centre."""
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
        return SAME_DATA_CENTRE_WEIGHT
    if regions.get(place, place) == regions.get(wanted, wanted):
        return SAME_REGION_WEIGHT
    return OTHER_REGION_WEIGHT
