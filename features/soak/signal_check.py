"""Checks that entries obey the back-off, limit and draining of targets."""

import bisect
import collections

# Time in which requests sent before a signal may still arrive, seconds.
IN_FLIGHT_SECONDS = 0.5
MAX_DURING_BACKOFF = 2
# Time after which a draining target must get no more requests, seconds.
DRAINING_GRACE_SECONDS = 2.0
# Time after which a new limit is enforced, and the window over which requests
# are counted, seconds.
LIMIT_SETTLE_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE = 5


class TargetObservations:
    """Requests and responses that one target recorded.

    Attributes:
        name: Name of the target.
        arrivals: Time and sending entry of each request, in order.
        answers: Time, receiving entry and signals of each response.
    """

    def __init__(self, *, name, records, entry_of):
        self.name = name
        self.arrivals = [
            (at, entry_of(rid))
            for at, rid in records["arrivals"]
            if entry_of(rid)
        ]
        self.answers = [
            (at, entry_of(rid), asked)
            for at, rid, asked in records["asked"]
            if entry_of(rid)
        ]

    def find_violations(self, excused):
        """Return the signals that entries did not obey.

        Args:
            excused: Returns for an entry and two times whether the entry was
                killed, stopped or frozen between them.
        """
        return [
            *self._check_backoff(excused),
            *self._check_draining(excused),
            *self._check_limit(excused),
        ]

    def _check_backoff(self, excused):
        for at, entry, asked in self.answers:
            if not asked["rest"]:
                continue
            until = at + float(asked["rest"])
            within = [
                when
                for when, sender in self.arrivals
                if sender == entry and at + IN_FLIGHT_SECONDS <= when < until
            ]
            if len(within) > MAX_DURING_BACKOFF and not excused(
                entry, at, until
            ):
                yield f"{self.name}: {entry} sent {len(within)} in a back-off"

    def _check_draining(self, excused):
        first = {}
        for at, entry, asked in self.answers:
            if asked["leaving"]:
                first.setdefault(entry, at)
        for when, entry in self.arrivals:
            at = first.get(entry, float("inf"))
            if when > at + DRAINING_GRACE_SECONDS and not excused(
                entry, at, when
            ):
                yield (
                    f"{self.name}: {entry} sent a request "
                    f"{when - at:.2f} s after draining began"
                )

    def _check_limit(self, excused):
        named = [(at, e, a["limit"]) for at, e, a in self.answers if a["limit"]]
        if not named:
            return
        limit = float(named[0][2])
        notified_at = {}
        for at, entry, _ in named:
            notified_at.setdefault(entry, at)
        counted = [
            when
            for when, entry in self.arrivals
            if when >= named[0][0] + LIMIT_SETTLE_SECONDS
            and when >= notified_at.get(entry, float("inf")) + IN_FLIGHT_SECONDS
            and not excused(entry, when - LIMIT_WINDOW_SECONDS, when)
        ]
        for index, at in enumerate(counted):
            count = (
                bisect.bisect_left(counted, at + LIMIT_WINDOW_SECONDS) - index
            )
            if count > 1.5 * limit * LIMIT_WINDOW_SECONDS + LIMIT_TOLERANCE:
                yield f"{self.name}: {count} requests in 4 s at limit {limit}"


class DisturbanceLog:
    """Times at which faults were injected into processes."""

    def __init__(self):
        self._times = collections.defaultdict(list)

    def record(self, name, now):
        """Record that a process is killed, stopped, frozen or resumed."""
        self._times[name].append(now)

    def was_disturbed(self, name, since, until):
        """Return whether a process was disturbed in or just before a period."""
        return any(since - 1.0 <= at <= until for at in self._times[name])
