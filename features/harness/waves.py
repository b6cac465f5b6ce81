"""A group under load that comes in waves: passes by a law that was measured.

On one group of 12 engines a pass took 30 ms + 0.52 ms x streams x (0.15 + 0.85
x m), m being the most loaded rank over the mean (R^2 0.90 over 13 plays); 12
of the 30 ms are the reading of prompts. After a jump in demand m is 3.3 for
0.8 s, while ranks copy, which makes passes 15 in 100 longer.
"""

import random

from jasperweir.components.balance import gate as gate_lib
from jasperweir.components.balance import late as late_lib
from jasperweir.components.balance import passes as passes_lib

ENGINES = 12
SLOTS = 6
PAUSE = 0.12
TARGET = 0.5
EVENTS = 24
READ = 0.0136
BAD_SECONDS = 0.8


# Who is late already leaves after this long without a first event.
CROWD_STAYS = 1.7
# Who is refused comes back once more after this long.
COMES_BACK = (0.7, 2.2)


class Stream:
    """One request that runs."""

    def __init__(self, asked_at):
        self.asked_at = asked_at
        self.left = EVENTS
        self.read = READ
        self.first_at = None
        self.in_time = True


def load(rate, seconds, gap, *, limited, seed=1):
    """Return the share of requests that are served in time."""
    rng = random.Random(seed)
    bounds = passes_lib.PassBounds(pause_s=PAUSE, fixed_s=0.027, slots=SLOTS)
    limit = passes_lib.PassLimit(bounds=bounds)
    gate = gate_lib.Gate()
    now, number, next_at = 0.0, 0, 0.0
    running, ended, lost = [], [], 0
    while now < seconds:
        while next_at <= now:
            until = next_at + 1.0
            timely = next_at + TARGET - 0.2
            gate.wait(
                gate_lib.Waiting(1, next_at, number, until, next_at, timely)
            )
            number += 1
            next_at += rng.expovariate(rate)
        lost += len(gate.expire(now))
        most = ENGINES * SLOTS
        if limited:
            most = min(most, limit.streams(now) * ENGINES)
        arrivals = {w.number: w.since for w in gate._waiting.values()}
        for admitted in gate.admit(int(most) - len(running), now):
            running.append(Stream(arrivals[admitted]))
        now += one_pass(running, now, gap, limit)
        ended += [s for s in running if not s.left]
        running = [s for s in running if s.left]
    good = sum(s.in_time for s in ended)
    return good / (len(ended) + lost)


def come_back(rate, seconds, crowd, *, leaves_room, seed=1):
    """Let a crowd that is late meet a group that begins anew with others.

    Returns:
        Share of those who come meanwhile that are in time, and share of the
        crowd that is served at all.
    """
    rng = random.Random(seed)
    bounds = passes_lib.PassBounds(pause_s=PAUSE, fixed_s=0.027, slots=SLOTS)
    limit = passes_lib.PassLimit(bounds=bounds)
    gate = gate_lib.Gate()
    came, number, again = {}, 0, set()
    for _ in range(crowd):
        gate.wait(gate_lib.Waiting(1, -1.5, number, CROWD_STAYS, 0.0, -1.0))
        came[number] = -1.5
        number += 1
    now, next_at = 0.0, rng.expovariate(rate)
    running, ended = [], []
    while now < seconds + 6.0:
        while next_at <= now and next_at < seconds:
            timely = next_at + TARGET - 0.2
            gate.wait(
                gate_lib.Waiting(
                    1, next_at, number, next_at + 1.0, next_at, timely
                )
            )
            came[number] = next_at
            number += 1
            next_at += rng.expovariate(rate)
        for refused in gate.expire(now):
            if refused < crowd and refused not in again:
                again.add(refused)
                back_at = now + rng.uniform(*COMES_BACK)
                until = back_at + CROWD_STAYS
                gate.wait(
                    gate_lib.Waiting(1, -1.5, refused, until, back_at, -1.0)
                )
        most = min(ENGINES * SLOTS, limit.streams(now) * ENGINES)
        late = None
        if leaves_room:
            late = late_lib.most_open(
                slots=ENGINES * SLOTS, targets=ENGINES, limit=limit, now=now
            ) - len(running)
        places = int(most) - len(running)
        for admitted in gate.admit(places, now, yielding=late):
            running.append(Stream(came[admitted]))
        now += one_pass(running, now, float("inf"), limit)
        ended += [s for s in running if not s.left]
        running = [s for s in running if s.left]
    fresh = [s for s in ended if s.asked_at >= 0]
    others = len(came) - crowd
    return (
        sum(s.in_time for s in fresh) / others,
        (len(ended) - len(fresh)) / crowd,
    )


def one_pass(running, now, gap, limit):
    """Let a pass run; return how long it took."""
    is_bad = now % gap < BAD_SECONDS
    m = 3.3 * 1.15 if is_bad else 1.3
    share = 0.15 + 0.85 * m
    readers = [s for s in running if s.read > 0]
    writers = [s for s in running if s.read <= 0]
    part = READ / 2
    took = 0.018 + 0.00052 * len(running) * share
    took += len(readers) * part / ENGINES * share
    for stream in readers:
        stream.read -= part
    for stream in writers:
        stream.left -= 1
        if stream.first_at is None:
            stream.first_at = now + took
            stream.in_time &= stream.first_at - stream.asked_at <= TARGET
        elif took > PAUSE:
            stream.in_time = False
    if writers:
        limit.on_pause(took)
        limit.update(len(running) / ENGINES, now + took)
    return took
