"""Simulation of the stream limit and the wait queue of a group under load.

A pass takes 30 ms + 0.52 ms x streams x (0.15 + 0.85 x m), where m is the load
of the most loaded rank over the mean and 12 of the 30 ms are spent on reading
prompts. After a jump in demand m is 3.3 for 0.8 s, and passes are 15 percent
longer while ranks copy weights.
"""

import random

from jasperweir.components.balance import late_admission as late_admission_lib
from jasperweir.components.balance import passes as passes_lib
from jasperweir.components.balance import wait_queue as wait_queue_lib

ENGINES = 12
SLOTS = 6
PAUSE_SECONDS = 0.12
TARGET_SECONDS = 0.5
EVENTS = 24
# Time to read the prompt of a request.
READ_SECONDS = 0.0136
# Time after a jump in demand until the expert map fits again.
UNBALANCED_SECONDS = 0.8
# A late request leaves after this long without a first event.
LATE_WAIT_SECONDS = 1.7
# A refused caller retries once after this long.
RETRY_SECONDS = (0.7, 2.2)


class Stream:
    """A running request."""

    def __init__(self, asked_at):
        self.asked_at = asked_at
        self.events_left = EVENTS
        self.read_left_s = READ_SECONDS
        self.first_at = None
        self.in_time = True


def simulate_load(rate, seconds, gap, *, limited, seed=1):
    """Return the share of requests that are served in time.

    Args:
        rate: Requests per second.
        seconds: Simulated time.
        gap: Seconds between two jumps in demand.
        limited: Whether the stream limit applies.
        seed: Seed of the random source.
    """
    rng = random.Random(seed)
    bounds = passes_lib.PassBounds(
        pause_s=PAUSE_SECONDS, fixed_s=0.027, slots=SLOTS
    )
    limit = passes_lib.PassLimit(bounds=bounds)
    gate = wait_queue_lib.WaitQueue()
    now, number, next_at = 0.0, 0, 0.0
    running, ended, lost = [], [], 0
    while now < seconds:
        while next_at <= now:
            until = next_at + 1.0
            timely = next_at + TARGET_SECONDS - 0.2
            gate.enqueue(
                wait_queue_lib.QueuedRequest(
                    1, next_at, number, until, next_at, timely
                )
            )
            number += 1
            next_at += rng.expovariate(rate)
        lost += len(gate.expire(now))
        capacity = ENGINES * SLOTS
        if limited:
            capacity = min(capacity, limit.streams(now) * ENGINES)
        arrivals = {w.number: w.since for w in gate._waiting.values()}
        for admitted in gate.admit(int(capacity) - len(running), now):
            running.append(Stream(arrivals[admitted]))
        now += run_pass(running, now, gap, limit)
        ended += [s for s in running if not s.events_left]
        running = [s for s in running if s.events_left]
    in_time = sum(s.in_time for s in ended)
    return in_time / (len(ended) + lost)


def simulate_restart(rate, seconds, late_count, *, limit_late, seed=1):
    """Send late requests and new ones to a group that has just restarted.

    Args:
        rate: New requests per second.
        seconds: Seconds during which new requests arrive.
        late_count: Late requests at the start.
        limit_late: Whether the slots for late requests are limited.
        seed: Seed of the random source.

    Returns:
        Share of the new requests that are in time, and share of the late
        requests that are served at all.
    """
    rng = random.Random(seed)
    bounds = passes_lib.PassBounds(
        pause_s=PAUSE_SECONDS, fixed_s=0.027, slots=SLOTS
    )
    limit = passes_lib.PassLimit(bounds=bounds)
    gate = wait_queue_lib.WaitQueue()
    arrivals, number, retried = {}, 0, set()
    for _ in range(late_count):
        gate.enqueue(
            wait_queue_lib.QueuedRequest(
                1, -1.5, number, LATE_WAIT_SECONDS, 0.0, -1.0
            )
        )
        arrivals[number] = -1.5
        number += 1
    now, next_at = 0.0, rng.expovariate(rate)
    running, ended = [], []
    while now < seconds + 6.0:
        while next_at <= now and next_at < seconds:
            timely = next_at + TARGET_SECONDS - 0.2
            gate.enqueue(
                wait_queue_lib.QueuedRequest(
                    1, next_at, number, next_at + 1.0, next_at, timely
                )
            )
            arrivals[number] = next_at
            number += 1
            next_at += rng.expovariate(rate)
        for refused in gate.expire(now):
            if refused < late_count and refused not in retried:
                retried.add(refused)
                retry_at = now + rng.uniform(*RETRY_SECONDS)
                until = retry_at + LATE_WAIT_SECONDS
                gate.enqueue(
                    wait_queue_lib.QueuedRequest(
                        1, -1.5, refused, until, retry_at, -1.0
                    )
                )
        capacity = min(ENGINES * SLOTS, limit.streams(now) * ENGINES)
        late_slots = None
        if limit_late:
            late_slots = late_admission_lib.max_open_requests(
                slots=ENGINES * SLOTS, targets=ENGINES, limit=limit, now=now
            ) - len(running)
        free = int(capacity) - len(running)
        for admitted in gate.admit(free, now, yielding=late_slots):
            running.append(Stream(arrivals[admitted]))
        now += run_pass(running, now, float("inf"), limit)
        ended += [s for s in running if not s.events_left]
        running = [s for s in running if s.events_left]
    new = [s for s in ended if s.asked_at >= 0]
    new_count = len(arrivals) - late_count
    return (
        sum(s.in_time for s in new) / new_count,
        (len(ended) - len(new)) / late_count,
    )


def run_pass(running, now, gap, limit):
    """Run one pass of the streams; return its duration."""
    is_unbalanced = now % gap < UNBALANCED_SECONDS
    m = 3.3 * 1.15 if is_unbalanced else 1.3
    imbalance = 0.15 + 0.85 * m
    readers = [s for s in running if s.read_left_s > 0]
    writers = [s for s in running if s.read_left_s <= 0]
    chunk_s = READ_SECONDS / 2
    pass_s = 0.018 + 0.00052 * len(running) * imbalance
    pass_s += len(readers) * chunk_s / ENGINES * imbalance
    for stream in readers:
        stream.read_left_s -= chunk_s
    for stream in writers:
        stream.events_left -= 1
        if stream.first_at is None:
            stream.first_at = now + pass_s
            stream.in_time &= (
                stream.first_at - stream.asked_at <= TARGET_SECONDS
            )
        elif pass_s > PAUSE_SECONDS:
            stream.in_time = False
    if writers:
        limit.on_pause(pass_s)
        limit.update(len(running) / ENGINES, now + pass_s)
    return pass_s
