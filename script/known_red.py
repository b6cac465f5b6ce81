"""Tests that KNOWN-RED.txt lists as failing."""

import pathlib
from typing import NamedTuple

SCENARIOS_MAX = 3
_SCENARIO = "scenario"
# Scenarios of crowds that no process should end of; they don't count against
# the limit.
_CROWD = "crowd"
_SCRIPT = "script"


class KnownRed(NamedTuple):
    """Listed tests.

    Attributes:
        scenarios: Names of the scenarios that may fail in CI.
        scripts: Commands that fail and that CI does not run.
    """

    scenarios: tuple[str, ...] = ()
    scripts: tuple[str, ...] = ()


def parse(text: str) -> KnownRed:
    """Return the tests listed in the text of KNOWN-RED.txt.

    A line is ``scenario NAME; ...``, ``crowd NAME; ...`` for a scenario of
    unruly_callers.feature, or ``script COMMAND; ...``. Empty lines and lines
    that begin with ``#`` are skipped.

    Raises:
        ValueError: A line has another form, or too many scenarios are listed.
    """
    found: dict[str, list[str]] = {_SCENARIO: [], _CROWD: [], _SCRIPT: []}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        kind, _, rest = line.partition(" ")
        name, separator, _ = rest.partition(";")
        if kind not in found or not name.strip() or not separator:
            raise ValueError(f"neither a scenario nor a script: {line!r}")
        found[kind].append(name.strip())
    if len(found[_SCENARIO]) > SCENARIOS_MAX:
        raise ValueError(f"more than {SCENARIOS_MAX} scenarios are listed")
    scenarios = (*found[_SCENARIO], *found[_CROWD])
    return KnownRed(scenarios, tuple(found[_SCRIPT]))


def read(path: pathlib.Path) -> KnownRed:
    """Return the tests listed in a file; none if it does not exist.

    Raises:
        ValueError: The file is malformed.
    """
    if not path.exists():
        return KnownRed()
    return parse(path.read_text(encoding="utf-8"))
