"""Drawn schedules of faults and orders at a site on a virtual clock.

Control VMs run and are silent, leaders leave on purpose, voters are replaced,
operators race with versions and with contents. The rule is judged for every
entry that reaches a majority of the voters, whether or not somebody leads.
"""

import random
from typing import NamedTuple

from features.harness import site as site_lib

# Time from an acknowledgement within which a version must be in force.
APPLY_SECONDS = 2.0
# Time for which an entry must have reached a majority to be judged.
REACH_SECONDS = 3.0
# Shortest time between losses of disks.
REPAIR_SECONDS = 6.0
# Time after the last fault until all entries must have the newest version.
SETTLE_SECONDS = 9.0
# Time at which no further event begins.
END_SECONDS = 16.0
EVENTS = (6, 14)
PAUSE_SECONDS = (0.05, 1.2)
SILENT_SECONDS = (0.2, 4.0)
# Time for which a leader is silent after an acknowledgement.
LONG_SILENT_SECONDS = (2.5, 6.0)
DELAY_SECONDS = (0.1, 0.7)
# Delay of answers that come later than a version must be in force.
LATE_SECONDS = (2.1, 5.0)
DISKLESS = ("c4", "c5")
ENTRIES = 3
ORDER_SHARE = 0.45


class Finding(NamedTuple):
    """A broken rule and the seed of its schedule."""

    seed: int
    what: str


class Schedule:
    """One drawn schedule.

    Attributes:
        violations: Broken rules.
        log: Events with their times.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        places = {f"c{n}": "pqr"[(n - 1) % 3] for n in range(1, 10)}
        places.update({f"e{n}": "pqr"[n % 3] for n in range(ENTRIES + 2)})
        self.site = site_lib.Site(
            controls=5,
            entries=ENTRIES,
            seed=seed,
            diskless=DISKLESS,
            places=places,
        )
        self.violations = []
        self.log = []
        self._version = 10
        self._acked = []
        self._highest = {}
        # Since when each entry has reached a majority, by name.
        self._reached_since = {}
        # What is to be undone, with its time.
        self._undo = []
        self._disk_lost_at = float("-inf")
        self._new_names = iter(("c6", "c7", "c8", "c9"))

    def run(self):
        """Run the schedule; return the broken rules."""
        site, rng = self.site, self._rng
        site.run(4.0)
        self._order("c1")
        site.run(2.0)
        if not site.acked[0]:
            raise AssertionError("the first version was not acknowledged")
        site.observe = self._observe
        kinds = self._list_kinds()
        for _ in range(rng.randint(*EVENTS)):
            kind = rng.choice(kinds)
            if rng.random() < ORDER_SHARE:
                kind = rng.choice((self._change, self._change, self._race))
            kind()
            self._pass(rng.uniform(*PAUSE_SECONDS))
            if site.now > END_SECONDS:
                break
        self._restore()
        self._settle()
        return self.violations

    def _list_kinds(self):
        return [
            self._suspend_control,
            self._mute_control,
            self._mute_control,
            self._leave,
            self._leave,
            self._silence_leader,
            self._silence_leader,
            self._kill_control,
            self._lose_disk,
            self._cut_voters,
            self._cut_voters,
            self._suspend_entry,
            self._restart_entry,
            self._slow_link,
            self._delay_answers,
            self._delay_answers,
            self._resend,
            self._drop,
        ]

    def _pass(self, seconds):
        """Let time pass, and undo what is due."""
        until = self.site.now + seconds
        while self.site.now < until:
            for item in [x for x in self._undo if x[0] <= self.site.now]:
                self._undo.remove(item)
                item[1]()
            self.site.run(site_lib.STEP)

    def _later(self, func, seconds=SILENT_SECONDS):
        at = self.site.now + self._rng.uniform(*seconds)
        self._undo.append((at, func))

    def _note(self, what):
        self.log.append(f"{self.site.now:.2f} {what}")

    # Orders.

    def _order(self, name, data=None, version=0):
        if not version:
            self._version += self._rng.randint(1, 3)
            version = self._version
        self._note(f"version {version} to {name}")
        self.site.replace(name, version, data)

    def _pick_controls(self, count):
        running = sorted(self.site.nodes)
        return self._rng.sample(running, min(count, len(running)))

    def _change(self):
        for name in self._pick_controls(1):
            self._order(name)

    def _race(self):
        """Two operators send versions, or two contents of one, at once."""
        names = self._pick_controls(2)
        if self._rng.random() < 0.5:
            for name in names:
                self._order(name)
            return
        self._version += 1
        self.site.contents[self._version] = site_lib.OneContent()
        for name in names:
            data = f"content from {name}".encode()
            self._order(name, data, self._version)

    def _resend(self):
        acked = self.site.acked[0]
        data = self.site.contents[acked]
        if isinstance(data, bytes):
            for name in self._pick_controls(1):
                self._order(name, data, acked)

    # Control VMs.

    def _voters(self):
        leader = self.site.leader()
        if not leader:
            return []
        seats = self.site.nodes[leader].voter.seats.seats
        return [seat.name for seat in seats if seat.voting]

    def _suspend_control(self):
        for name in self._pick_controls(1):
            self._note(f"suspend {name}")
            self.site.frozen.add(name)
            self._later(lambda n=name: self.site.frozen.discard(n))

    def _mute_control(self):
        """Let a control VM run and be silent to entries."""
        for name in self._pick_controls(self._rng.choice((1, 1, 2))):
            entries = [
                entry
                for entry in self.site.discovery_clients
                if self._rng.random() < 0.7
            ]
            self._note(f"{name} is silent to {entries}")
            pairs = {(name, entry) for entry in entries}
            self.site.deaf |= pairs
            self._later(lambda p=pairs: self.site.deaf.difference_update(p))

    def _cut_voters(self):
        voters = self._voters()
        if len(voters) < 2:
            return
        pair = tuple(self._rng.sample(voters, 2))
        self._note(f"cut {pair}")
        self.site.cut.add(pair)
        self._later(lambda: self.site.cut.discard(pair))

    def _leave(self):
        """Stop the leader as planned, and start it again."""
        leader = self.site.leader()
        if not leader:
            return
        self._note(f"{leader} leaves")
        self.site.perform(
            leader,
            self.site.nodes[leader].transfer_leadership(self.site.now),
        )
        self._pass(self._rng.choice((0.0, 0.05, 0.2)))
        self.site.kill(leader)
        self._later(lambda: self._start(leader), (0.3, 2.0))

    def _silence_leader(self):
        """Let a leader fall silent in the moment of an acknowledgement."""
        site = self.site
        leader, others = site.leader(), self._voters()
        if not leader or leader not in others:
            return
        others.remove(leader)
        self._note(f"{leader} falls silent, {others} are cut")
        muted = {
            (leader, entry)
            for entry in site.discovery_clients
            if self._rng.random() < 0.7
        }
        site.deaf |= muted
        pair = tuple(others[:2])
        if len(pair) == 2 and self._rng.random() < 0.7:
            site.cut.add(pair)
        self._order(leader)
        for _ in range(4):
            if site.acked[0] == self._version:
                break
            site.run(site_lib.STEP)
        is_stopped = self._rng.random() < 0.7
        if is_stopped:
            site.frozen.add(leader)
        self._later(
            lambda: self._undo_silence(leader, pair, muted), LONG_SILENT_SECONDS
        )
        self._pass(self._rng.uniform(*LONG_SILENT_SECONDS))

    def _undo_silence(self, leader, pair, muted):
        self.site.frozen.discard(leader)
        self.site.cut.discard(pair)
        self.site.deaf.difference_update(muted)

    def _kill_control(self):
        for name in self._pick_controls(1):
            self._note(f"kill {name}")
            self.site.kill(name)
            self._later(lambda n=name: self._start(n), (0.1, 2.0))

    def _start(self, name):
        if name not in self.site.nodes:
            self._note(f"start {name}")
            self.site.frozen.discard(name)
            self.site.start(name)

    def _lose_disk(self):
        """Replace a voter by a VM with an empty disk, under either name."""
        site = self.site
        voters = self._voters()
        is_due = site.now - self._disk_lost_at > REPAIR_SECONDS
        if len(voters) < 3 or not is_due or self._undo:
            return
        if not self._have_disks(voters):
            # The loss of another one is not tolerated before the repair.
            return
        self._disk_lost_at = site.now
        lost = self._rng.choice(voters)
        name = self._rng.choice((lost, next(self._new_names, lost)))
        self._note(f"{lost} loses its disk, {name} starts")
        site.wipe(lost)
        if name != lost:
            site.names = [n for n in site.names if n != lost]
            site.names.append(name)
        self._later(lambda: self._start_replaced(name), (0.1, 2.0))

    def _have_disks(self, voters):
        """Return whether all voters run with the disks of their seats."""
        site = self.site
        seats = site.nodes[site.leader()].voter.seats.seats
        disks = {seat.name: seat.disk for seat in seats}
        return all(
            name in site.nodes and site.nodes[name].voter.disk == disks[name]
            for name in voters
        )

    def _start_replaced(self, name):
        if name not in self.site.nodes:
            seeds = [n for n in sorted(self.site.nodes) if n not in DISKLESS]
            self.site.start(name, seeds=seeds[:3] or None)

    # Entries and links.

    def _pick_entry(self):
        return self._rng.choice(sorted(self.site.discovery_clients))

    def _suspend_entry(self):
        name = self._pick_entry()
        self._note(f"suspend {name}")
        self.site.frozen.add(name)
        self._later(lambda: self._wake(name))

    def _wake(self, name):
        self.site.frozen.discard(name)
        self._reached_since[name] = self.site.now

    def _restart_entry(self):
        name = self._pick_entry()
        self._note(f"restart {name}")
        self.site.frozen.discard(name)
        self.site.start_entry(name)
        self._highest.pop(name, None)
        self._reached_since[name] = self.site.now

    def _slow_link(self):
        name = self._pick_entry()
        seconds = self._rng.uniform(*DELAY_SECONDS)
        self._note(f"slow link of {name}: {seconds:.2f}")
        controls = [*self.site.names, "c6", "c7", "c8", "c9"]
        pairs = [(c, name) for c in controls] + [(name, c) for c in controls]
        self.site.delays.update(dict.fromkeys(pairs, seconds))
        self._later(
            lambda: [self.site.delays.pop(p, None) for p in pairs] and None
        )

    def _delay_answers(self):
        """Let entries get the answers of all control VMs late."""
        site = self.site
        names = sorted(site.discovery_clients)
        names = self._rng.sample(names, self._rng.randint(1, len(names)))
        seconds = self._rng.uniform(*LATE_SECONDS)
        self._note(f"answers to {names} are {seconds:.2f} s late")
        controls = [*site.names, "c6", "c7", "c8", "c9"]
        pairs = [(c, name) for c in controls for name in names]
        site.delays.update(dict.fromkeys(pairs, seconds))
        self._later(
            lambda: [site.delays.pop(p, None) for p in pairs] and None,
            LONG_SILENT_SECONDS,
        )
        self._pass(self._rng.uniform(*PAUSE_SECONDS))
        self._change()

    def _drop(self):
        self._note("messages are lost")
        self.site.drop = 0.2
        self._later(lambda: setattr(self.site, "drop", 0.0), (0.2, 1.0))

    # Rules.

    def _observe(self, name):
        site, now = self.site, self.site.now
        if site.acked[0] > max((v for v, _ in self._acked), default=0):
            self._acked.append(site.acked)
        if name in site.frozen:
            self._reached_since[name] = float("inf")
            return
        if not self._reaches_majority(name):
            self._reached_since[name] = float("inf")
        elif self._reached_since.get(name) == float("inf"):
            self._reached_since[name] = now
        served = site.serves(name)
        highest = self._highest.get(name, 0)
        if 0 < served < highest:
            self._add(f"{name} goes back from {highest} to {served}")
        self._highest[name] = max(highest, served)
        if now - self._reached_since.get(name, 0.0) < REACH_SECONDS:
            return
        due = max(
            (v for v, at in self._acked if at <= now - APPLY_SECONDS), default=0
        )
        if 0 < served < due:
            self._add(f"{name} serves {served}, {due} was acknowledged")

    def _reaches_majority(self, name):
        """Return whether an entry's links to a majority are undisturbed."""
        site = self.site
        if site.drop:
            return False
        newest = max(
            (node.voter for node in site.nodes.values()),
            key=lambda voter: (voter.log.last_term, voter.log.last_index),
        )
        voters = [s for s in newest.seats.seats if s.voting]
        reached = [
            seat
            for seat in voters
            if seat.name in site.nodes
            and seat.name not in site.frozen
            and site.nodes[seat.name].voter.disk == seat.disk
            and not site.is_cut(seat.name, name)
        ]
        return len(reached) > len(voters) // 2

    def _add(self, what):
        if len(self.violations) < 3:
            self.violations.append(f"{self.site.now:.2f} {what}")

    def _restore(self):
        for _, func in self._undo:
            func()
        self._undo.clear()
        self.site.drop = 0.0

    def _settle(self):
        site = self.site
        site.settle(SETTLE_SECONDS)
        name = sorted(site.nodes)[0]
        self._order(name)
        for _ in range(4):
            if site.acked[0] == self._version:
                break
            site.run(1.0)
            site.replace(name, self._version)
        site.run(APPLY_SECONDS)
        if site.acked[0] != self._version:
            self._add(f"{self._version} is not acknowledged at the end")
        for entry in site.discovery_clients:
            if site.serves(entry) != self._version:
                self._add(f"{entry} serves {site.serves(entry)} at the end")


def run_schedules(first, count):
    """Run schedules with consecutive seeds.

    Yields:
        The broken rules.
    """
    for seed in range(first, first + count):
        try:
            found = Schedule(seed).run()
        except AssertionError as exc:
            found = [f"invariant: {exc}"]
        for what in found:
            yield Finding(seed, what)
