"""Table of cut-off answers for real entries and targets, and its oracle."""

import collections
import concurrent.futures
import itertools
import random
import statistics
from typing import NamedTuple

from features.harness import platform as platform_lib
from features.harness import raw_answers
from jasperweir.helpers import event_stream
from standins import cut_answers

TARGETS = (1, 2, 3, 4)
ENTRIES = (1, 2, 3)
SLOTS = 64
# The table breaks far more requests than the usual retry budget allows.
RETRY_RATIO = 50
RETRY_BURST = 5000
THREADS = 32
DEADLINE_MS = 4000
# Silence lasts until the deadline.
SILENCE_DEADLINE_MS = 900
READ_SECONDS = 6.0
# Number of the event that answers are cut in or before.
CUT_EVENT = 3
# Requests in each framing when framings are compared.
COMPARED = 60
# Number of the first of them, above the numbers of all rows.
COMPARED_FIRST = 100_000


class Route(NamedTuple):
    """Route of the table's configuration.

    Attributes:
        prefix: Path.
        method: HTTP method of its requests.
        attempts: Most targets that a request is sent to.
        is_stream: Whether answers are event streams.
        may_repeat: Whether a request may run more than once.
    """

    prefix: str
    method: str
    attempts: int
    is_stream: bool
    may_repeat: bool


ROUTES = {
    "resumable stream": Route("/stream/", "POST", 3, True, True),
    "stream": Route("/stream/once/", "POST", 2, True, False),
    "safe": Route("/safe/", "GET", 2, False, True),
    "unsafe": Route("/book/", "POST", 1, False, False),
}


class Case(NamedTuple):
    """Row of the table."""

    route: str
    script: cut_answers.Script

    @property
    def has_silence(self):
        """Whether an attempt ends in silence."""
        return any(cut.end == "silence" for cut in self.script.cuts)


class Expected(NamedTuple):
    """What a caller must get.

    Attributes:
        what: ``whole``, ``cut``, or ``passed on`` if nothing tells the cut
            answer from a complete one.
        body: The body, or for ``cut`` the body that it begins.
    """

    what: str
    body: bytes


def document():
    """Return a configuration with the routes of the table."""
    doc = platform_lib.document(7)
    stream = doc["routes"][0]
    stream["maxAttempts"] = ROUTES["resumable stream"].attempts
    once = {
        "name": "r4",
        "pathPrefix": ROUTES["stream"].prefix,
        "maxAttempts": ROUTES["stream"].attempts,
        "resumable": False,
    }
    doc["routes"].append({**stream, **once})
    return doc


# Rows.


def list_places():
    """Return (event, offset, number of the huge event) of all cuts."""
    places = [(0, 0, 0), (1, 0, 0), (CUT_EVENT, 0, 0)]
    offset = 0
    for line in cut_answers.write_event(CUT_EVENT).splitlines(keepends=True):
        # The last line is the empty one that ends the event.
        if line == b"\n":
            break
        places.append((CUT_EVENT, offset + len(line) // 2, 0))
        offset += len(line)
        places.append((CUT_EVENT, offset, 0))
    huge = len(cut_answers.write_event(CUT_EVENT, is_huge=True))
    places += [
        (CUT_EVENT, offset, CUT_EVENT)
        for offset in (
            6, 1000, event_stream.MAX_EVENT_BYTES + 50_000, huge - 1,
        )
    ]  # fmt: skip
    return places


def list_cases():
    """Return all rows: the cross product, and resumed streams cut again."""
    cases = []
    rests = itertools.cycle(cut_answers.FRAMINGS)
    for name, framing, end, place in itertools.product(
        ROUTES, cut_answers.CUT_FRAMINGS, cut_answers.ENDS, list_places()
    ):
        event, offset, huge = place
        cut = cut_answers.Cut(framing, event, offset, end)
        if not cut.is_possible:
            continue
        # Once, at every try, and in between.
        for count in {1, 2, ROUTES[name].attempts}:
            script = cut_answers.Script(next(rests), huge, (cut,) * count)
            cases.append(Case(name, script))
    return cases + _list_resumed()


def _list_resumed():
    """Return streams that are cut in two different ways in turn."""
    firsts = (
        cut_answers.Cut("chunks", CUT_EVENT, 17, "close"),
        cut_answers.Cut("length", CUT_EVENT, 17, "complete"),
        cut_answers.Cut("close", CUT_EVENT, 0, "reset"),
        cut_answers.Cut("http/1.0", CUT_EVENT, 17, "close"),
    )
    places = (
        (0, 0), (CUT_EVENT, 0), (CUT_EVENT + 1, 0), (CUT_EVENT + 1, 9),
    )  # fmt: skip
    cases = []
    rests = itertools.cycle(cut_answers.FRAMINGS)
    for first, framing, end, place in itertools.product(
        firsts, cut_answers.CUT_FRAMINGS, cut_answers.ENDS, places
    ):
        second = cut_answers.Cut(framing, *place, end)
        if not second.is_possible or end == "silence":
            continue
        script = cut_answers.Script(next(rests), 0, (first, second))
        cases.append(Case("resumable stream", script))
    return cases


# Oracle.


def is_undetectable(route, cut, *, sent_events, expects_event):
    """Return whether nothing tells a cut answer from a complete one.

    These are all such cases. Each is passed on as it came:

    * A body that isn't an event stream, ended by an orderly close without
      stated framing, or by its complete framing.
    * An event stream cut after a complete event and ended in the same ways.
    * An event stream without any event whose framing is complete, unless an
      earlier attempt began an event.

    Args:
        route: Route of the request.
        cut: How its answer was cut off.
        sent_events: Complete events that were sent before.
        expects_event: Whether an earlier attempt began the next event.
    """
    by_close = cut.end == "close" and cut.framing in (
        cut_answers.UNSTATED_FRAMINGS
    )
    if not by_close and cut.end != "complete":
        return False
    if not route.is_stream:
        return True
    if cut.offset:
        return False
    if sent_events:
        return True
    return cut.end == "complete" and not expects_event


def expect(case):
    """Return what a caller must get."""
    route = ROUTES[case.route]
    events = cut_answers.list_events(case.script)
    whole = b"".join(events)
    after, expects_event = 0, False
    for cut in case.script.cuts[: route.attempts]:
        sent = cut_answers.cut_pieces(events[after:], cut, after)
        begun = sent[-1] if cut.event and cut.offset else b""
        count = len(sent) - bool(begun)
        if is_undetectable(
            route, cut, sent_events=count, expects_event=expects_event
        ):
            body = b"".join(events[:after] if route.is_stream else [])
            return Expected("passed on", body + b"".join(sent))
        if cut.end == "silence" or not route.may_repeat:
            return Expected("cut", whole)
        # What exceeds every buffer has been passed on in part.
        held = len(begun) if route.is_stream else sum(map(len, sent))
        if held > event_stream.MAX_EVENT_BYTES:
            return Expected("cut", whole)
        expects_event = bool(begun) or (expects_event and not count)
        after += count if route.is_stream else 0
    is_repaired = len(case.script.cuts) < route.attempts
    return Expected("whole" if is_repaired else "cut", whole)


def find_fault(case, answer, runs):
    """Return what is wrong with an answer, None if nothing.

    Args:
        case: The row.
        answer: What the caller got.
        runs: Number of targets that ran the request.
    """
    route = ROUTES[case.route]
    if not route.may_repeat and runs > 1:
        return f"ran {runs} times"
    if answer.extra:
        return "bytes after the end of the framing"
    is_success = 200 <= answer.status < 300
    looks_complete = answer.is_complete and is_success
    want = expect(case)
    if want.what != "cut":
        if not looks_complete:
            return f"is not complete: {answer.status}"
        if answer.body != want.body:
            return f"complete, but not {want.what}"
        return None
    if looks_complete:
        return "a broken answer framed as complete"
    if is_success:
        if not want.body.startswith(answer.body):
            return "not the beginning of the answer"
        return None
    return None if answer.status >= 500 else f"status {answer.status}"


# Runs.


def request(number, case):
    """Send the request of a row and return its answer."""
    route = ROUTES[case.route]
    deadline_ms = SILENCE_DEADLINE_MS if case.has_silence else DEADLINE_MS
    headers = {
        "Host": platform_lib.HOST,
        "Attempt-Id": f"c{number}",
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {platform_lib.KEY}",
    }
    entry = ENTRIES[number % len(ENTRIES)]
    address = f"{platform_lib.control_ip(entry)}:{platform_lib.CALLERS}"
    path = f"{route.prefix}{number}?{case.script.write_query()}"
    return raw_answers.call(
        address, route.method, path, headers, seconds=READ_SECONDS
    )


def count_runs(plat):
    """Return the runs of all targets by request id."""
    return collections.Counter(
        run for number in TARGETS for run in plat.told(number)["runs"]
    )


def play(plat, cases):
    """Play rows at the same time; return (row, answer, runs) of each."""
    order = list(enumerate(cases))
    random.Random(1).shuffle(order)
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        answers = list(pool.map(lambda item: request(*item), order))
    runs = count_runs(plat)
    return [
        (case, answer, runs[f"c{number}"])
        for (number, case), answer in zip(order, answers, strict=True)
    ]


def compare_framings():
    """Return the median time to the last event by framing, seconds.

    Requests in all framings alternate, so that all of them meet the same load.
    """
    times = collections.defaultdict(list)
    number = COMPARED_FIRST
    for _ in range(COMPARED):
        for framing in cut_answers.FRAMINGS:
            script = cut_answers.Script(framing)
            answer = request(number, Case("resumable stream", script))
            number += 1
            assert answer.is_complete, (framing, answer)
            times[framing].append(answer.body_s)
    return {name: statistics.median(found) for name, found in times.items()}
