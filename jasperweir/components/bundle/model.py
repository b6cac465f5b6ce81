"""A bundle as flat keys, with a content hash and typed views."""

from collections.abc import Mapping
import configparser
import io
import pathlib
from typing import Any
from typing import NamedTuple

from jasperweir import exceptions
from jasperweir.components.bundle import const
from jasperweir.components.bundle import schema
from jasperweir.helpers import codec
from jasperweir.helpers import hashing
from jasperweir.helpers import settings

# Flat form of a bundle: "section\x1fkey" to the text in the file.
Content = dict[str, str]
# What a new version changes against its parent; None removes a key.
Change = dict[str, str | None]
SEPARATOR = "\x1f"


class ServiceSpec(NamedTuple):
    """One model or plain service of a bundle; times in seconds."""

    name: str
    kind: str
    adapters: tuple[str, ...]
    places: tuple[str, ...]
    group: str
    max_in_flight: int
    idempotent: bool
    first_token_s: float
    token_gap_s: float
    objective: float


class CustomerSpec(NamedTuple):
    """Share and priority of one customer."""

    name: str
    weight: float
    priority: int


class PlaceSpec(NamedTuple):
    """One place, in the order in which a roll reaches it."""

    name: str
    region: str
    order: int


class CallerSpec(NamedTuple):
    """What callers are told and allowed; times in seconds."""

    address_ttl_s: float
    claim_window_s: float
    deadline_s: float
    unknown_customers: str


class ExpertSpec(NamedTuple):
    """How step skew is weighed against the cost of moves."""

    skew_weight: float
    store_moves_per_s: float
    grant_steps: int


class Bundle(NamedTuple):
    """Typed view of one bundle version."""

    name: str
    services: dict[str, ServiceSpec]
    customers: dict[str, CustomerSpec]
    places: dict[str, PlaceSpec]
    callers: CallerSpec
    experts: ExpertSpec

    def customer(self, name: str) -> CustomerSpec | None:
        """Return a customer's share; unknown ones get the wildcard's."""
        known = self.customers.get(name)
        if known is not None:
            return known
        if self.callers.unknown_customers == "refuse":
            return None
        wildcard = self.customers.get(const.ANY_CUSTOMER)
        if wildcard is not None:
            return wildcard._replace(name=name)
        return CustomerSpec(name=name, weight=1.0, priority=5)


def read(path: pathlib.Path) -> Content:
    """Read and check a bundle file.

    Raises:
        SettingsError: The file or its cross references are wrong.
    """
    settings.read(path, schema.SCHEMA)
    content = from_ini(path.read_text(encoding="utf-8"), str(path))
    typed(content, str(path))
    return content


def from_ini(raw: str, name: str) -> Content:
    """Flatten the text of a bundle file without checking it."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(raw, source=name)
    return {
        f"{section}{SEPARATOR}{key}": " ".join(value.split())
        for section in parser.sections()
        for key, value in [("", ""), *parser[section].items()]
    }


def to_ini(content: Mapping[str, str]) -> str:
    """Return the text of a bundle file that holds this content."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    for flat in sorted(content):
        section, _, key = flat.partition(SEPARATOR)
        if not parser.has_section(section):
            parser.add_section(section)
        if key:
            parser.set(section, key, content[flat])
    out = io.StringIO()
    parser.write(out)
    return out.getvalue()


def content_hash(content: Mapping[str, str]) -> str:
    """Return the hash that a signed-off version carries."""
    return hashing.content(codec.pack(sorted(content.items())))


def diff(old: Mapping[str, str], new: Mapping[str, str]) -> Change:
    """Return what turns the old content into the new one."""
    change: Change = {
        key: value for key, value in new.items() if old.get(key) != value
    }
    change.update(dict.fromkeys(old.keys() - new.keys()))
    return change


def patch(old: Mapping[str, str], change: Change) -> Content:
    """Return the old content with a change applied."""
    content = dict(old)
    for key, value in change.items():
        if value is None:
            content.pop(key, None)
        else:
            content[key] = value
    return content


def typed(content: Mapping[str, str], name: str = "bundle") -> Bundle:
    """Return the typed view of flat content.

    Raises:
        SettingsError: A value or a cross reference is wrong.
    """
    values = settings.parse(to_ini(content), name, schema.SCHEMA)
    services = _named(values, "service ", ServiceSpec)
    places = _named(values, "place ", PlaceSpec)
    _check_places(name, services, places)
    return Bundle(
        name=values["bundle"]["name"],
        services=services,
        customers=_named(values, "customer ", CustomerSpec),
        places=places,
        callers=CallerSpec(**values["callers"]),
        experts=ExpertSpec(**values["experts"]),
    )


def _named(values: settings.Values, prefix: str, kind: Any) -> dict[str, Any]:
    found = {}
    for section, fields in values.items():
        if section.startswith(prefix):
            title = section.removeprefix(prefix)
            found[title] = kind(name=title, **fields)
    return found


def _check_places(
    name: str,
    services: Mapping[str, ServiceSpec],
    places: Mapping[str, PlaceSpec],
) -> None:
    problems = []
    for spec in services.values():
        for place in spec.places:
            if place not in places:
                known = ", ".join(sorted(places))
                problems.append(
                    f"{name}: [service {spec.name}] places: found "
                    f"'{place}'; allowed: {known}"
                )
    if not places:
        problems.append(f"{name}: [place NAME]: at least one is needed")
    if problems:
        raise exceptions.SettingsError(problems=problems)
