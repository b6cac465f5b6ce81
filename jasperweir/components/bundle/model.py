"""Bundle files and their flat form."""

from collections.abc import Mapping
import configparser
import io
import pathlib

from jasperweir.components.bundle import contents
from jasperweir.components.bundle import schema
from jasperweir.components.bundle import specs
from jasperweir.helpers import settings

# Flat form of a bundle: "section\x1fkey" to the text in the file.
Content = dict[str, str]
Change = dict[str, str | None]
SEPARATOR = contents.SEPARATOR


def read(path: pathlib.Path) -> Content:
    """Read and check a bundle file.

    Raises:
        SettingsError: The file or its cross references are wrong.
    """
    settings.read(path, schema.SCHEMA)
    content = from_ini(path.read_text(encoding="utf-8"), str(path))
    contents.Contents.from_flat(content, name=str(path))
    return content


def from_ini(raw: str, name: str) -> Content:
    """Flatten the text of a bundle file without checking it."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    parser.read_string(raw, source=name)
    return {
        f"{section}{SEPARATOR}{key}": " ".join(value.split())
        for section in parser.sections()
        # An empty key stands for a section without any.
        for key, value in (parser[section].items() or [("", "")])
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


def diff(old: Mapping[str, str], new: Mapping[str, str]) -> Change:
    """Return what turns the old content into the new one."""
    change: Change = {
        key: value for key, value in new.items() if old.get(key) != value
    }
    change.update(dict.fromkeys(old.keys() - new.keys()))
    return change


def typed(content: Mapping[str, str], name: str = "bundle") -> specs.Bundle:
    """Return the typed view of flat content.

    Raises:
        SettingsError: A value or a cross reference is wrong.
    """
    return contents.Contents.from_flat(content, name=name).bundle


def content_hash(content: Mapping[str, str]) -> str:
    """Return the hash that a signed-off version carries."""
    return contents.Contents.from_flat(content).content_hash
