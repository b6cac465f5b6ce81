"""Parser of the structured log lines that processes write."""

import enum
import json
from typing import Any
from typing import NamedTuple

from jasperweir import result_codes
from jasperweir.components.outcomes import const


class Outcome(enum.Enum):
    """Outcome of a request for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"


class EndedRequest(NamedTuple):
    """Finished request.

    Attributes:
        at: Time of the log collector, or else of the VM's clock, seconds.
        route: Name of its route.
        outcome: Outcome for its caller.
        detail: The outcome as it was logged.
        is_return: Whether its caller retried after a rejection.
        priority: Its priority, -1 if an older version wrote the line.
        customer: Name of its customer, or empty.
        code: Result code of a rejection, 0 if there is none.
        waited: Whether it waited for a slot.
        framing: Framing of the response to its last attempt, empty if an older
            version wrote the line.
        end: What ended that attempt, empty if an older version wrote the line.
    """

    at: float
    route: str
    outcome: Outcome
    detail: str
    is_return: bool
    priority: int = -1
    customer: str = ""
    code: int = 0
    waited: bool = False
    framing: str = ""
    end: str = ""


class Change(NamedTuple):
    """State change of a process."""

    at: float
    node: str
    event: str
    detail: str


class CutAnswer(NamedTuple):
    """Answer of a target that was cut off.

    Attributes:
        target: Id of the target.
        cut: Why it is incomplete.
        change: The state change that the line stands for, if any.
    """

    target: str
    cut: str
    change: Change | None


def parse_line(line: str) -> EndedRequest | Change | CutAnswer | None:
    """Parse one log line; return None if the report doesn't use it.

    If a log collector has put a time, in seconds, before the line, that time
    is used, because monotonic clocks of different VMs can't be compared.
    """
    start = line.find("{")
    if start < 0:
        return None
    collected_at = _parse_time(line[:start].split())
    body = _parse_body(line[start:])
    if body is None:
        return None
    at = float(body["at"]) if collected_at is None else collected_at
    event = str(body.get("event", ""))
    if event == "request ended":
        return _parse_ended(body, at)
    change = None
    if event in const.STATE_CHANGE_EVENTS:
        detail = body.get("reason") or body.get("is_now") or body.get("phase")
        change = Change(
            at=at,
            node=str(body.get("node", "")),
            event=event,
            detail=str(detail or ""),
        )
    if event in const.CUT_EVENTS and body.get("cut"):
        return CutAnswer(
            target=str(body.get("target", "")),
            cut=str(body["cut"]),
            change=change,
        )
    return change


def _parse_body(text: str) -> dict[str, Any] | None:
    """Return the fields of a line, None if it is truncated or another's."""
    # A line is truncated if its process was killed. The first line of the next
    # process may then follow without a line break.
    for start in (0, text.rfind(const.LINE_START)):
        if start < 0:
            return None
        try:
            body = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(body, dict) and "at" in body:
            return body
    return None


def _parse_time(words: list[str]) -> float | None:
    """Return the first word as seconds, None if it is not a number."""
    try:
        return float(words[0])
    except (IndexError, ValueError):
        return None


def _parse_ended(body: dict[str, Any], at: float) -> EndedRequest:
    return EndedRequest(
        at=at,
        route=str(body.get("route", "")),
        outcome=_classify(body),
        detail=str(body.get("outcome", "")),
        is_return=int(body.get("used_ms", 0)) > 0,
        priority=int(body.get("priority", -1)),
        customer=str(body.get("customer", "")),
        code=_find_code(str(body.get("outcome", ""))),
        waited=bool(body.get("waited", False)),
        framing=str(body.get("framing", "")),
        end=str(body.get("end", "")),
    )


def _find_code(detail: str) -> int:
    """Return the result code that an outcome names, 0 if it names none."""
    code = result_codes.Code.__members__.get(detail.upper())
    return int(code) if code is not None else 0


def _classify(body: dict[str, Any]) -> Outcome:
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
