"""Histories of bundle keys over the versions that are still needed."""

from collections.abc import Iterable

from jasperweir.components.bundle import flat_content
from jasperweir.components.config import const as config_const
from jasperweir.components.config import table as table_lib
from jasperweir.helpers import codec

History = tuple[tuple[int, str | None], ...]


def content_at(table: table_lib.Table, version: int) -> flat_content.Content:
    """Return the flat bundle content of a version."""
    content: flat_content.Content = {}
    prefix = len(config_const.PREFIX_BUNDLE)
    for key in table.keys(config_const.PREFIX_BUNDLE):
        value = value_at(history_of(table.get(key)), version)
        if value is not None:
            content[key[prefix:]] = value
    return content


def change_at(
    table: table_lib.Table, keys: Iterable[str], version: int
) -> flat_content.Change:
    """Return the values of the given keys in a version."""
    prefix = len(config_const.PREFIX_BUNDLE)
    return {
        key[prefix:]: value_at(history_of(table.get(key)), version)
        for key in keys
    }


def newest_version(table: table_lib.Table, key: str) -> int:
    """Return the version of a key's newest value, 0 if it has none."""
    history = history_of(table.get(key))
    return history[-1][0] if history else 0


def history_of(data: bytes | None) -> History:
    """Decode the values of a key with their versions, oldest first."""
    return codec.unpack(data, History) if data else ()


def value_at(history: History, version: int) -> str | None:
    """Return the value of a key in a version, None if it has none."""
    value = None
    for number, text in history:
        if number <= version:
            value = text
    return value


def prune(history: History, oldest_version: int) -> History:
    """Remove values that no version from ``oldest_version`` on needs."""
    old = [item for item in history if item[0] <= oldest_version][-1:]
    new = [item for item in history if item[0] > oldest_version]
    return (*old, *new)
