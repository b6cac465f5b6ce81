"""Result codes of responses, with HTTP status and meaning."""

import enum
from typing import NamedTuple


class Outcome(enum.StrEnum):
    """Whether a request ran, as far as its caller may conclude."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RUNNING = "running"


class Code(enum.IntEnum):
    """Result codes; the thousands digit is the category."""

    OK = 1000
    REPLAYED = 1001
    ACCEPTED = 1002

    OVERLOADED = 2001
    DEADLINE_TOO_NEAR = 2002
    NO_TARGET = 2003
    TARGETS_REFUSED = 2004
    DRAINING = 2005
    CUSTOMER_LIMIT = 2006
    NOT_READY = 2007
    REVOKED = 2008
    ENDS_TARGETS = 2009
    BACKPRESSURE = 2010
    EVACUATED = 2011
    PART_CRASHES_TARGETS = 2012
    CONFIGURATION_UNCONFIRMED = 2013

    BROKEN_OFF = 3001
    DEADLINE_PASSED = 3002
    CLAIMS_UNAVAILABLE = 3003
    ANSWER_LOST = 3004
    STILL_RUNNING = 3005
    CANCELLED = 3006

    BAD_REQUEST = 4001
    UNKNOWN_SERVICE = 4002
    UNKNOWN_CUSTOMER = 4003
    BAD_DEADLINE = 4004
    TOO_LARGE = 4005
    KEY_REUSED = 4006
    KEY_MISSING = 4007
    NO_SUCH_RUN = 4008
    NOT_FOUND = 4009
    BAD_HEADER = 4010
    NO_ROUTE = 4011
    KEY_UNKNOWN = 4012

    STALE_PARENT = 5001
    OP_ID_REUSED = 5002
    HASH_MISMATCH = 5003
    UNKNOWN_VERSION = 5004
    ROLL_IN_PROGRESS = 5005
    NOT_LEADER = 5006
    BAD_BUNDLE = 5007
    FORBIDDEN = 5008
    SEATS_BUSY = 5009
    WITHDRAWN = 5010
    UNCONFIRMED = 5011
    STALE_FENCE = 5012
    LOG_EXISTS = 5013
    BAD_DEPLOYMENT = 5014
    NOT_CONFIRMED = 5015
    UNKNOWN_DATA_CENTRE = 5016


class Row(NamedTuple):
    """Properties of a result code.

    Attributes:
        http: HTTP status that carries the code.
        outcome: Whether the request ran, None for operator responses.
        retry: Whether the same request may be retried.
        text: Meaning in one sentence.
    """

    http: int
    outcome: Outcome | None
    retry: bool
    text: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

TABLE: dict[Code, Row] = {
    Code.OK: Row(200, Outcome.COMPLETED, False, "The answer is whole."),
    Code.REPLAYED: Row(
        200, Outcome.COMPLETED, False, "The recorded answer of the first run."
    ),
    Code.ACCEPTED: Row(200, None, False, "The operation is committed."),
    Code.OVERLOADED: Row(
        503, _NOT_RUN, True, "No room; come back after Retry-After."
    ),
    Code.DEADLINE_TOO_NEAR: Row(
        503, _NOT_RUN, True, "It could not have been answered in time."
    ),
    Code.NO_TARGET: Row(503, _NOT_RUN, True, "No target serves this now."),
    Code.TARGETS_REFUSED: Row(
        503, _NOT_RUN, True, "Every target tried refused it."
    ),
    Code.DRAINING: Row(503, _NOT_RUN, True, "This entry is stopping."),
    Code.CUSTOMER_LIMIT: Row(
        429, _NOT_RUN, True, "The customer's share is used up."
    ),
    Code.NOT_READY: Row(
        503, _NOT_RUN, True, "This entry has no current configuration yet."
    ),
    Code.REVOKED: Row(
        503, _NOT_RUN, True, "The target confirmed that it never started."
    ),
    Code.ENDS_TARGETS: Row(
        503,
        _NOT_RUN,
        True,
        "Targets ended under it before; kept from them until Retry-After.",
    ),
    Code.BACKPRESSURE: Row(
        503, _NOT_RUN, True, "Targets want nothing more before Retry-After."
    ),
    Code.EVACUATED: Row(
        503, _NOT_RUN, True, "The data centres of all targets are evacuated."
    ),
    Code.PART_CRASHES_TARGETS: Row(
        503,
        _NOT_RUN,
        True,
        "Targets crashed on a part of its prompt; rejected until Retry-After.",
    ),
    Code.CONFIGURATION_UNCONFIRMED: Row(
        503,
        _NOT_RUN,
        True,
        "Whether the newest configuration allows it is not known here now.",
    ),
    Code.BROKEN_OFF: Row(
        502, _UNKNOWN, False, "The target broke off after the request left."
    ),
    Code.DEADLINE_PASSED: Row(
        504, _UNKNOWN, False, "The deadline passed after the request left."
    ),
    Code.CLAIMS_UNAVAILABLE: Row(
        503,
        _UNKNOWN,
        True,
        "Whether this key ran before cannot be told now; nothing was started.",
    ),
    Code.ANSWER_LOST: Row(
        502, _UNKNOWN, False, "The key was claimed and its answer is gone."
    ),
    Code.STILL_RUNNING: Row(
        409, Outcome.RUNNING, True, "The first run of this key goes on."
    ),
    Code.CANCELLED: Row(499, _UNKNOWN, False, "The caller went away."),
    Code.BAD_REQUEST: Row(400, _NOT_RUN, False, "The body is not valid."),
    Code.UNKNOWN_SERVICE: Row(
        404, _NOT_RUN, False, "The bundle names no such model or service."
    ),
    Code.UNKNOWN_CUSTOMER: Row(
        403, _NOT_RUN, False, "The bundle names no such customer."
    ),
    Code.BAD_DEADLINE: Row(
        400, _NOT_RUN, False, "The deadline is not a number of seconds > 0."
    ),
    Code.TOO_LARGE: Row(413, _NOT_RUN, False, "The body is too large."),
    Code.KEY_REUSED: Row(
        422, _NOT_RUN, False, "The key belongs to another request."
    ),
    Code.KEY_MISSING: Row(
        400, _NOT_RUN, False, "A non-idempotent request needs a key."
    ),
    Code.NO_SUCH_RUN: Row(404, _UNKNOWN, False, "No run of that id is known."),
    Code.NOT_FOUND: Row(404, _NOT_RUN, False, "No such path."),
    Code.BAD_HEADER: Row(400, _NOT_RUN, False, "A header is not valid."),
    Code.NO_ROUTE: Row(
        404, _NOT_RUN, False, "No route has this host and path."
    ),
    Code.KEY_UNKNOWN: Row(401, _NOT_RUN, False, "No customer has this key."),
    Code.STALE_PARENT: Row(
        409, None, False, "Another version was signed off on this parent."
    ),
    Code.OP_ID_REUSED: Row(
        409, None, False, "The operation id was used for something else."
    ),
    Code.HASH_MISMATCH: Row(
        422, None, False, "The content does not match its hash."
    ),
    Code.UNKNOWN_VERSION: Row(404, None, False, "No such bundle version."),
    Code.ROLL_IN_PROGRESS: Row(409, None, True, "Another roll is under way."),
    Code.NOT_LEADER: Row(
        503, None, True, "This control VM does not lead; try the named one."
    ),
    Code.BAD_BUNDLE: Row(422, None, False, "The bundle fails its checks."),
    Code.FORBIDDEN: Row(403, None, False, "The operator token is wrong."),
    Code.SEATS_BUSY: Row(
        409, None, True, "Another change of seats is under way."
    ),
    Code.WITHDRAWN: Row(
        409, None, False, "The version was withdrawn or superseded."
    ),
    Code.UNCONFIRMED: Row(
        504,
        None,
        True,
        "Not known to be committed; resend with the same operation id.",
    ),
    Code.STALE_FENCE: Row(
        409, None, False, "The order carries an old fencing number."
    ),
    Code.LOG_EXISTS: Row(
        409, None, False, "A log exists already; nothing was founded."
    ),
    Code.BAD_DEPLOYMENT: Row(
        400, None, False, "The configuration cannot be read or breaks a rule."
    ),
    Code.NOT_CONFIRMED: Row(
        503, None, True, "No majority confirms it now; ask again."
    ),
    Code.UNKNOWN_DATA_CENTRE: Row(
        404, None, False, "No data centre has this name."
    ),
}
