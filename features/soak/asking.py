"""Whether targets were left alone as far as they asked; by what they saw."""

import bisect
import collections

# What may still be on its way when a target asks for rest, seconds.
ON_ITS_WAY = 0.5
IN_REST = 2
# From so long after its first word a leaving target gets nothing, seconds.
LEAVING = 2.0
# From so long after the first word a limit holds, over such windows, seconds.
STABLE = 3.0
WINDOW = 4.0
SPARE = 5


class Seen:
    """What one target has seen of the entries.

    Attributes:
        name: Name of the target.
        arrivals: When requests came and which entry sent them, in order.
        answers: When it answered, whom and what it asked for with it.
    """

    def __init__(self, *, name, told, entry_of):
        self.name = name
        self.arrivals = [
            (at, entry_of(rid)) for at, rid in told["arrivals"] if entry_of(rid)
        ]
        self.answers = [
            (at, entry_of(rid), asked)
            for at, rid, asked in told["asked"]
            if entry_of(rid)
        ]

    def broken(self, excused):
        """Return the promises that were broken.

        Args:
            excused: Tells of an entry and two times whether it was killed,
                stopped or frozen between them.
        """
        return [
            *self._rests(excused),
            *self._leaves(excused),
            *self._limits(excused),
        ]

    def _rests(self, excused):
        for at, entry, asked in self.answers:
            if not asked["rest"]:
                continue
            until = at + float(asked["rest"])
            within = [
                when
                for when, who in self.arrivals
                if who == entry and at + ON_ITS_WAY <= when < until
            ]
            if len(within) > IN_REST and not excused(entry, at, until):
                yield f"{self.name}: {entry} sent {len(within)} within a rest"

    def _leaves(self, excused):
        first = {}
        for at, entry, asked in self.answers:
            if asked["leaving"]:
                first.setdefault(entry, at)
        for when, entry in self.arrivals:
            at = first.get(entry, float("inf"))
            if when > at + LEAVING and not excused(entry, at, when):
                yield f"{self.name}: {entry} sent one {when - at:.2f} s later"

    def _limits(self, excused):
        named = [(at, e, a["limit"]) for at, e, a in self.answers if a["limit"]]
        if not named:
            return
        limit = float(named[0][2])
        told = {}
        for at, entry, _ in named:
            told.setdefault(entry, at)
        counted = [
            when
            for when, entry in self.arrivals
            if when >= named[0][0] + STABLE
            and when >= told.get(entry, float("inf")) + ON_ITS_WAY
            and not excused(entry, when - WINDOW, when)
        ]
        for index, at in enumerate(counted):
            count = bisect.bisect_left(counted, at + WINDOW) - index
            if count > 1.5 * limit * WINDOW + SPARE:
                yield f"{self.name}: {count} in 4 s at a limit of {limit}"


class Excuses:
    """When processes were disturbed from outside."""

    def __init__(self):
        self._times = collections.defaultdict(list)

    def note(self, name, now):
        """Note that a process is killed, stopped, frozen or thawed."""
        self._times[name].append(now)

    def between(self, name, since, until):
        """Tell whether it was disturbed between two times, or just before."""
        return any(since - 1.0 <= at <= until for at in self._times[name])
