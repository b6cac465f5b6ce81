"""Directory of the groups of all services at an entry; sans-I/O.

Load: several groups of one service, each of which runs its passes by itself.
Pass times, limits, outages and free slots are kept for each group instead of
the whole service. In a service with one group or none, everything stands for
the service.
"""

from collections.abc import Iterable
from typing import NamedTuple

from jasperweir.components.directory import records
from jasperweir.components.groups import const
from jasperweir.components.groups import messages


class Change(NamedTuple):
    """Change of one group between two lists.

    Attributes:
        unit: Unit of the group.
        service: Service of the group.
        group: The group in the new list.
        has_reformed: Whether its epoch was known and has changed.
        was_open: Whether it was open before; None if it is new.
    """

    unit: str
    service: str
    group: messages.Group
    has_reformed: bool
    was_open: bool | None


class GroupDirectory:
    """Groups by the addresses of their ranks.

    A unit is what load decisions are made for: ``service/group``, or
    ``service/`` for targets that no group of a service with several lists. A
    service with fewer than two groups has no units.

    Attributes:
        version: Term and sequence of the list in use.
    """

    def __init__(self) -> None:
        self.version = (0, 0)
        self._groups: dict[str, messages.Group] = {}
        self._closed: set[str] = set()
        self._units_by_service: dict[str, tuple[str, ...]] = {}
        self._unit_by_address: dict[tuple[str, str], str] = {}

    def on_list(self, msg: messages.GroupList) -> list[Change] | None:
        """Use a list unless a newer one is known.

        Returns:
            Changes of groups, None if the list is not newer.
        """
        version = (msg.term, msg.sequence)
        if version <= self.version:
            return None
        before = self._groups
        self.version = version
        self._groups = {}
        self._closed = set()
        self._unit_by_address = {}
        by_service: dict[str, list[str]] = {}
        for group in msg.groups[: const.GROUPS_MAX]:
            unit = make_unit(group.service, group.name)
            if not group.service or not group.name or unit in self._groups:
                continue
            self._groups[unit] = group
            if not group.is_open:
                self._closed.add(unit)
            by_service.setdefault(group.service, []).append(unit)
            for address in group.addresses[: const.RANKS_MAX]:
                self._unit_by_address[group.service, address] = unit
        self._units_by_service = {
            service: tuple(units)
            for service, units in by_service.items()
            if len(units) > 1
        }
        return [
            change
            for unit, group in self._groups.items()
            if (change := _compare(unit, before.get(unit), group)) is not None
        ]

    def list_units(self, service: str) -> tuple[str, ...]:
        """Return the listed groups of a service, empty if it is one unit."""
        return self._units_by_service.get(service, ())

    def all_units(self) -> set[str]:
        """Return the units of all services with several groups."""
        units = {u for found in self._units_by_service.values() for u in found}
        for service in self._units_by_service:
            units.add(make_unit(service, const.UNLISTED))
        return units

    def find_unit(self, service: str, address: str) -> str:
        """Return the unit of a target; the service if that is one unit."""
        if service not in self._units_by_service:
            return service
        unit = self._unit_by_address.get((service, address))
        return unit or make_unit(service, const.UNLISTED)

    def is_open(self, unit: str) -> bool:
        """Return whether a unit is open; one that isn't listed counts as so."""
        return unit not in self._closed

    def on_accepted(self, unit: str) -> bool:
        """Record that a target of a unit accepted a request.

        It refutes a list that has the group as closed: while no leader is
        heard, nothing else would.

        Returns:
            Whether the unit was listed as closed.
        """
        if unit not in self._closed:
            return False
        self._closed.discard(unit)
        return True

    def split(
        self, service: str, targets: Iterable[records.Target]
    ) -> dict[str, list[records.Target]]:
        """Return targets of a service by unit."""
        by_unit: dict[str, list[records.Target]] = {}
        for target in targets:
            unit = self.find_unit(service, target.address)
            by_unit.setdefault(unit, []).append(target)
        return by_unit


def make_unit(service: str, group: str) -> str:
    """Return the name of a group's unit."""
    return f"{service}/{group}"


def _compare(
    unit: str, before: messages.Group | None, group: messages.Group
) -> Change | None:
    if before is None:
        return Change(unit, group.service, group, False, None)
    has_reformed = group.epoch != before.epoch
    if not has_reformed and group.is_open == before.is_open:
        return None
    return Change(unit, group.service, group, has_reformed, before.is_open)
