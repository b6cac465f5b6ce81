"""Read the structured lines that processes write."""

import enum
import json
from typing import Any
from typing import NamedTuple

from jasperweir.components.outcomes import const


class Outcome(enum.Enum):
    """What a caller got."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class Ended(NamedTuple):
    """A request that has ended.

    Attributes:
        at: When, seconds of the collector or else of its VM's own clock.
        route: Name of its route.
        outcome: What its caller got.
        detail: The outcome as it was logged.
        is_return: Whether its caller had been refused before.
    """

    at: float
    route: str
    outcome: Outcome
    detail: str
    is_return: bool


class Change(NamedTuple):
    """A line that tells of a change in what a process believes."""

    at: float
    node: str
    event: str
    detail: str


def read(line: str) -> Ended | Change | None:
    """Read one line; None if the report has no use for it.

    A collector of logs may put a time, in seconds, before the line: it is used
    then, since the monotonic clocks of different VMs can't be compared.
    """
    start = line.find("{")
    if start < 0:
        return None
    collected_at = _number(line[:start].split())
    try:
        body = json.loads(line[start:])
    except ValueError:
        # A line that was cut off when its process was killed.
        return None
    if not isinstance(body, dict) or "at" not in body:
        return None
    at = float(body["at"]) if collected_at is None else collected_at
    event = str(body.get("event", ""))
    if event == "request ended":
        return _ended(body, at)
    if event in const.CHANGES:
        detail = body.get("reason") or body.get("is_now") or body.get("phase")
        return Change(
            at=at,
            node=str(body.get("node", "")),
            event=event,
            detail=str(detail or ""),
        )
    return None


def _number(words: list[str]) -> float | None:
    """Return the first word as a number, None if it is none."""
    try:
        return float(words[0])
    except (IndexError, ValueError):
        return None


def _ended(body: dict[str, Any], at: float) -> Ended:
    return Ended(
        at=at,
        route=str(body.get("route", "")),
        outcome=_outcome(body),
        detail=str(body.get("outcome", "")),
        is_return=int(body.get("used_ms", 0)) > 0,
    )


def _outcome(body: dict[str, Any]) -> Outcome:
    detail = str(body.get("outcome", ""))
    if detail == "caller gone":
        return Outcome.LEFT
    if detail in const.REFUSALS:
        return Outcome.REFUSED
    if not detail.startswith("answered 2"):
        return Outcome.FAILED
    first_ms = int(body.get("first_ms", -1))
    late = first_ms > int(body.get("target_ms", first_ms))
    gap_target_ms = int(body.get("gap_target_ms", 0))
    if gap_target_ms and int(body.get("gap_ms", 0)) > gap_target_ms:
        late = True
    return Outcome.LATE if late else Outcome.IN_TIME
