"""Bundle files and their flat form, one value per section and key."""

from collections.abc import Mapping
import configparser
import io
import pathlib

from jasperweir.components.bundle import contents
from jasperweir.components.bundle import schema
from jasperweir.components.bundle import specs
from jasperweir.helpers import settings

# Flat form of a bundle: "section\x1fkey" mapped to the text in the file.
Content = dict[str, str]
Change = dict[str, str | None]
SEPARATOR = contents.SEPARATOR


def read(path: pathlib.Path) -> Content:
    """Read and validate a bundle file.

    Raises:
        SettingsError: The file or its cross references are invalid.
    """
    settings.read(path, schema.SCHEMA)
    content = from_ini(path.read_text(encoding="utf-8"), str(path))
    contents.Contents.from_flat(content, name=str(path))
    return content


def from_ini(raw: str, name: str) -> Content:
    """Flatten the text of a bundle file without validating it."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(raw, source=name)
    return {
        f"{section}{SEPARATOR}{key}": " ".join(value.split())
        for section in parser.sections()
        # An empty key marks a section without keys.
        for key, value in (parser[section].items() or [("", "")])
    }


def to_ini(content: Mapping[str, str]) -> str:
    """Return the text of a bundle file with this content."""
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


def diff(old: Mapping[str, str], new: Mapping[str, str]) -> Change:
    """Return the change from the old content to the new one."""
    change: Change = {
        key: value for key, value in new.items() if old.get(key) != value
    }
    change.update(dict.fromkeys(old.keys() - new.keys()))
    return change


def typed(content: Mapping[str, str], name: str = "bundle") -> specs.Bundle:
    """Return the typed view of flat content.

    Raises:
        SettingsError: A value or a cross reference is invalid.
    """
    return contents.Contents.from_flat(content, name=name).bundle


def content_hash(content: Mapping[str, str]) -> str:
    """Return the hash of flat content, as in a version's record."""
    return contents.Contents.from_flat(content).content_hash
