"""INI files validated against a schema; all problems are reported at once."""

from collections.abc import Callable
from collections.abc import Mapping
import configparser
import functools
import pathlib
from typing import Any
from typing import NamedTuple

import voluptuous as vol

from jasperweir import exceptions


class Field(NamedTuple):
    """Schema of a key.

    Attributes:
        check: Voluptuous validator of the value's text.
        allowed: Description of valid values, for error messages.
        default: Value of an absent key; REQUIRED if the key is mandatory.
    """

    check: Any
    allowed: str
    default: Any


REQUIRED: Any = object()


class Section(NamedTuple):
    """Schema of a section, or of all sections with a common name prefix.

    Attributes:
        fields: Schema by key.
        open_field: Schema of all other keys; None if they are errors.
        required: Whether the section is mandatory.
    """

    fields: Mapping[str, Field]
    open_field: Field | None = None
    required: bool = True


Schema = Mapping[str, Section]
Values = dict[str, dict[str, Any]]


def number(*, low: float, high: float, default: Any = REQUIRED) -> Field:
    """Return the schema of a number in a range."""
    return Field(
        check=vol.All(vol.Coerce(float), vol.Range(min=low, max=high)),
        allowed=f"a number from {low:g} to {high:g}",
        default=default,
    )


def integer(*, low: int, high: int, default: Any = REQUIRED) -> Field:
    """Return the schema of an integer in a range."""
    return Field(
        check=vol.All(vol.Coerce(int), vol.Range(min=low, max=high)),
        allowed=f"a whole number from {low} to {high}",
        default=default,
    )


def text(*, default: Any = REQUIRED, pattern: str = r".+") -> Field:
    """Return the schema of a text that matches a regular expression."""
    return Field(
        check=vol.Match(f"^(?:{pattern})$"),
        allowed="any text" if pattern == r".+" else f"text like {pattern}",
        default=default,
    )


def choice(*names: str, default: Any = REQUIRED) -> Field:
    """Return the schema of one of several words."""
    return Field(
        check=vol.In(list(names)),
        allowed="one of " + ", ".join(names),
        default=default,
    )


def boolean(*, default: Any = REQUIRED) -> Field:
    """Return the schema of a boolean: yes, no, true or false."""
    return Field(check=_yes_no, allowed="yes or no", default=default)


def words(*, default: Any = REQUIRED) -> Field:
    """Return the schema of a comma-separated list of words."""
    return Field(
        check=_words, allowed="words, comma-separated", default=default
    )


def address(*, default: Any = REQUIRED) -> Field:
    """Return the schema of an IPv4 address with a port."""
    return Field(check=_address, allowed="IP:PORT", default=default)


def _yes_no(value: str) -> bool:
    lowered = value.strip().lower()
    if lowered not in ("yes", "no", "true", "false"):
        raise vol.Invalid("not yes or no")
    return lowered in ("yes", "true")


def _words(value: str) -> tuple[str, ...]:
    return tuple(word.strip() for word in value.split(",") if word.strip())


def _address(value: str) -> str:
    host, _, port = value.rpartition(":")
    parts = host.split(".")
    numbers = [int(p) for p in parts if p.isdigit() and int(p) < 256]
    if len(parts) != 4 or len(numbers) != 4 or not port.isdigit():
        raise vol.Invalid("not an IP address with a port")
    if not 0 < int(port) < 65536:
        raise vol.Invalid("port out of range")
    return value


def read(path: pathlib.Path, schema: Schema) -> Values:
    """Read and validate an INI file.

    Raises:
        SettingsError: The file cannot be read or has problems; one line each
            with the file, section, key, value found and values allowed.
    """
    try:
        raw = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise exceptions.SettingsError(problems=[f"{path}: {exc}"]) from exc
    return parse(raw, str(path), schema)


def parse(raw: str, name: str, schema: Schema) -> Values:
    """Validate the text of an INI file.

    Raises:
        SettingsError: As for ``read``.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(raw, source=name)
    except configparser.Error as exc:
        line = " ".join(str(exc).split())
        raise exceptions.SettingsError(problems=[f"{name}: {line}"]) from exc
    problems: list[str] = []
    values: Values = {}
    for section in parser.sections():
        spec = _section_schema(section, schema)
        if spec is None:
            known = ", ".join(sorted(schema))
            problems.append(
                f"{name}: [{section}]: unknown section; allowed: {known}"
            )
            continue
        values[section] = _check_section(
            f"{name}: [{section}]", dict(parser[section]), spec, problems
        )
    for title, spec in schema.items():
        if title.endswith(" ") or title in values:
            continue
        if spec.required:
            problems.append(f"{name}: [{title}]: section is missing; add it")
            continue
        values[title] = _check_section(f"{name}: [{title}]", {}, spec, problems)
    if problems:
        raise exceptions.SettingsError(problems=problems)
    return values


def check_section(
    name: str, section: str, found: Mapping[str, str], schema: Schema
) -> dict[str, Any]:
    """Validate a single section.

    Raises:
        SettingsError: The section is unknown or has an invalid value.
    """
    spec = _section_schema(section, schema)
    if spec is None:
        problem = f"{name}: [{section}]: unknown section"
        raise exceptions.SettingsError(problems=[problem])
    problems: list[str] = []
    where = f"{name}: [{section}]"
    values = _check_section(where, dict(found), spec, problems)
    if problems:
        raise exceptions.SettingsError(problems=problems)
    return values


@functools.cache
def _compiled(check: Any) -> Callable[[str], Any]:
    """Compile a validator; cached because schemas are constants."""
    compiled: Callable[[str], Any] = vol.Schema(check)
    return compiled


def _section_schema(section: str, schema: Schema) -> Section | None:
    if section in schema and not section.endswith(" "):
        return schema[section]
    prefix, space, rest = section.partition(" ")
    if space and rest:
        return schema.get(f"{prefix} ")
    return None


def _check_section(
    where: str,
    found: dict[str, str],
    spec: Section,
    problems: list[str],
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key, value in found.items():
        field = spec.fields.get(key, spec.open_field)
        if field is None:
            known = ", ".join(sorted(spec.fields))
            problems.append(
                f"{where} {key}: unknown key; allowed here: {known}"
            )
            continue
        _check_value(f"{where} {key}", value, field, values, key, problems)
    for key, field in spec.fields.items():
        if key in found:
            continue
        if field.default is REQUIRED:
            problems.append(f"{where} {key}: missing; allowed: {field.allowed}")
            continue
        values[key] = field.default
    return values


def _check_value(
    where: str,
    value: str,
    field: Field,
    values: dict[str, Any],
    key: str,
    problems: list[str],
) -> None:
    try:
        values[key] = _compiled(field.check)(value.strip())
    except vol.Invalid:
        problems.append(f"{where}: found '{value}'; allowed: {field.allowed}")
