"""Values of a bundle's keys over the versions that are still needed."""

from collections.abc import Iterable

from jasperweir.components.bundle import model
from jasperweir.components.config import const as config_const
from jasperweir.components.config import table as table_lib
from jasperweir.helpers import codec

History = tuple[tuple[int, str | None], ...]


def content_at(table: table_lib.Table, version: int) -> model.Content:
    """Return the flat bundle content of a version held in a table."""
    content: model.Content = {}
    prefix = len(config_const.PREFIX_BUNDLE)
    for key in table.keys(config_const.PREFIX_BUNDLE):
        value = value_at(history_of(table.get(key)), version)
        if value is not None:
            content[key[prefix:]] = value
    return content


def change_at(
    table: table_lib.Table, keys: Iterable[str], version: int
) -> model.Change:
    """Return the values that some keys have in a version."""
    prefix = len(config_const.PREFIX_BUNDLE)
    return {
        key[prefix:]: value_at(history_of(table.get(key)), version)
        for key in keys
    }


def newest_version(table: table_lib.Table, key: str) -> int:
    """Return the version of a key's newest value."""
    history = history_of(table.get(key))
    return history[-1][0] if history else 0


def history_of(data: bytes | None) -> History:
    """Return the values of a key with their versions, oldest first."""
    return codec.unpack(data, History) if data else ()


def value_at(history: History, version: int) -> str | None:
    """Return the value that is in force in a version."""
    value = None
    for number, text in history:
        if number <= version:
            value = text
    return value


def prune(history: History, floor: int) -> History:
    """Keep the newest value at or below the floor and all above it."""
    old = [item for item in history if item[0] <= floor][-1:]
    new = [item for item in history if item[0] > floor]
    return (*old, *new)
