"""Content of a bundle version, validated, hashed and parsed by section.

A change usually affects few of thousands of sections, so a new version shares
the unchanged sections with its parent.
"""

from collections.abc import Mapping
import hashlib
import sys
from typing import Any
from typing import NamedTuple

from jasperweir import exceptions
from jasperweir.components.bundle import schema
from jasperweir.components.bundle import specs
from jasperweir.helpers import codec
from jasperweir.helpers import settings

SEPARATOR = "\x1f"
# Changes of a version relative to its parent; None removes a key.
Change = Mapping[str, str | None]
_UNNAMED_SECTIONS = ("bundle", "experts", "callers")
_RECORD_TYPES: dict[str, Any] = {
    "service": specs.ServiceSpec,
    "customer": specs.CustomerSpec,
    "place": specs.PlaceSpec,
}


class Section(NamedTuple):
    """One section: its values as text, its digest and its typed record."""

    values: dict[str, str]
    digest: bytes
    record: Any


class Contents:
    """Immutable content of one version.

    Attributes:
        bundle: Typed view.
        content_hash: Hash of the content, as in the version's record.
    """

    def __init__(self, *, sections: dict[str, Section], name: str) -> None:
        self._sections = sections
        self._name = name
        self.bundle = self._build_bundle()
        self.content_hash = self._compute_hash()

    @classmethod
    def from_flat(
        cls, content: Mapping[str, str], *, name: str = "bundle"
    ) -> "Contents":
        """Validate flat content and return it by sections.

        Raises:
            SettingsError: A value or a cross reference is invalid.
        """
        sections: dict[str, Section] = {}
        problems: list[str] = []
        for section, values in _group_by_section(content).items():
            try:
                sections[section] = _make_section(name, section, values)
            except exceptions.SettingsError as exc:
                problems += exc.problems
        if problems:
            raise exceptions.SettingsError(problems=problems)
        return cls(sections=sections, name=name)

    def flat(self) -> dict[str, str]:
        """Return the flat content."""
        return {
            f"{section}{SEPARATOR}{key}": value
            for section, parsed in self._sections.items()
            for key, value in parsed.values.items()
        }

    def patch(self, change: Change) -> "Contents":
        """Return the content with a change applied.

        Raises:
            SettingsError: The new content is invalid.
        """
        touched: dict[str, dict[str, str]] = {}
        for flat, value in change.items():
            section, _, key = flat.partition(SEPARATOR)
            if section not in touched:
                known = self._sections.get(section)
                touched[section] = dict(known.values) if known else {}
            if value is None:
                touched[section].pop(key, None)
            else:
                touched[section][key] = value
        sections = dict(self._sections)
        for section, values in touched.items():
            if values:
                sections[section] = _make_section(self._name, section, values)
            else:
                sections.pop(section, None)
        return Contents(sections=sections, name=self._name)

    def _build_bundle(self) -> specs.Bundle:
        single = {}
        for title in _UNNAMED_SECTIONS:
            parsed = self._sections.get(title)
            if parsed is not None:
                single[title] = parsed.record
                continue
            spec = schema.SCHEMA[title]
            if spec.required:
                problem = f"{self._name}: [{title}]: section is missing"
                raise exceptions.SettingsError(problems=[problem])
            single[title] = settings.check_section(
                self._name, title, {}, schema.SCHEMA
            )
        named: dict[str, dict[str, Any]] = {kind: {} for kind in _RECORD_TYPES}
        for section, parsed in self._sections.items():
            kind, space, title = section.partition(" ")
            if space:
                named[kind][title] = parsed.record
        bundle = specs.Bundle(
            name=single["bundle"]["name"],
            services=named["service"],
            customers=named["customer"],
            places=named["place"],
            callers=specs.CallerSpec(**single["callers"]),
            experts=specs.ExpertSpec(**single["experts"]),
        )
        _check_places(self._name, bundle)
        return bundle

    def _compute_hash(self) -> str:
        whole = hashlib.sha256()
        for section in sorted(self._sections):
            whole.update(self._sections[section].digest)
        return whole.hexdigest()


def _group_by_section(content: Mapping[str, str]) -> dict[str, dict[str, str]]:
    groups: dict[str, dict[str, str]] = {}
    for flat, value in content.items():
        section, _, key = flat.partition(SEPARATOR)
        # Intern the key names to save memory: thousands of sections share them.
        groups.setdefault(section, {})[sys.intern(key)] = value
    return groups


def _make_section(name: str, section: str, values: dict[str, str]) -> Section:
    # The empty key marks an empty section.
    named_values = {key: value for key, value in values.items() if key}
    checked = settings.check_section(name, section, named_values, schema.SCHEMA)
    kind, space, title = section.partition(" ")
    record = _RECORD_TYPES[kind](name=title, **checked) if space else checked
    packed = codec.pack([section, sorted(values.items())])
    return Section(values, hashlib.sha256(packed).digest(), record)


def _check_places(name: str, bundle: specs.Bundle) -> None:
    problems = []
    for spec in bundle.services.values():
        for place in spec.places:
            if place not in bundle.places:
                known = ", ".join(sorted(bundle.places))
                problems.append(
                    f"{name}: [service {spec.name}] places: found "
                    f"'{place}'; allowed: {known}"
                )
    if not bundle.places:
        problems.append(f"{name}: [place NAME]: at least one is needed")
    if problems:
        raise exceptions.SettingsError(problems=problems)
