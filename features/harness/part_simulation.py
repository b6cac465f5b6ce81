"""Simulation of entries, control VMs and targets that crash on prompt parts."""

import dataclasses
import itertools

from features.harness import quarantine as scene_lib
from jasperweir.components.directory import records
from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.quarantine import replication
from jasperweir.components.quarantine import suspects as suspects_lib

SERVICE = "m"
TARGETS = 16
RACK = 4
# From a request to the first event of its answer, and to its end, seconds.
PROMPT_SECONDS = 0.15
ANSWER_SECONDS = 0.6
# From a crash of a target to its return, seconds.
BACK_SECONDS = 2.0
# A restarted entry compares its marks before it accepts callers, seconds.
START_SECONDS = 0.3
HARMLESS_PER_SECOND = 30
# Every fifth harmless request is a long stream.
LONG_SECONDS = 5.0
LONG_EVERY = 5
# A part is known after so many crashes. From so long after the last of them,
# the check of the target and the way to all entries, so many requests may still
# reach targets.
KNOWN_CRASHES = 3
KNOWN_SECONDS = 0.25
LATE_MAX = 3
# Share of the harmless requests that are served as before.
SERVED_SHARE = 0.95
FIRST = "a1"
SHARED = ("b1", "b2", "b3", "b4", "b5")
POSITIONS = {"first": 0, "midway": 1, "last but one": 2}
CRASHING = ("c0ffee", "c0de")


@dataclasses.dataclass(kw_only=True, eq=False)
class Run:
    """A request at a target."""

    entry: str
    number: int
    subject: fingerprint.Subject
    target: "Target"
    is_crashing: bool
    sent_at: float
    trial: tuple | None
    attempts: int
    is_settled: bool = False


@dataclasses.dataclass(kw_only=True, eq=False)
class Target:
    """One incarnation of a target."""

    record: records.Target
    place: int
    is_up: bool = True
    runs: list = dataclasses.field(default_factory=list)


class Entry:
    """The state of an entry process."""

    def __init__(self, *, name, scene, start):
        self.quarantine = quarantine_lib.Quarantine(
            trial_prefix=f"{name}/{start}"
        )
        self.quarantine.on_marks = lambda m: scene.send_marks(name, m)
        self.quarantine.on_vouched = lambda m: scene.send_vouched(name, m)
        self.ledger = self.quarantine.ledger
        self.spread = replication.EntrySpread(
            ledger=self.ledger, merge=self.quarantine.merge
        )
        self.checks = []
        self.opens_at = scene.now + START_SECONDS


class PartScene(scene_lib.Scene):
    """Entries that forward requests to targets of one service.

    Attributes:
        reached: When requests with a crashing part reached targets, and whether
            their entry was cut off.
        part_crashes: When targets crashed on a part.
        outcomes: Arrival and whether it was served, for harmless requests.
        crashing_served: Requests with a crashing part that were served.
        held: Rejections, by whether the request had a crashing part.
    """

    def __init__(self, *, entries, position="midway", parts=1, seed=0):
        super().__init__(
            entries=entries, controls=3, data_centres=3, cell=15, seed=seed
        )
        for name in self.entries:
            self.entries[name] = Entry(name=name, scene=self, start=0)
            self.entries[name].opens_at = 0.0
        self.crashing = CRASHING[:parts]
        self.position = position
        self.is_repaired = False
        self.build = "v1"
        self.targets = {}
        self._ids = itertools.count(1)
        self._starts = itertools.count(1)
        for place in range(TARGETS):
            self._start_target(place)
        self.due = []
        self.reached = []
        self.part_crashes = []
        self.outcomes = []
        self.crashing_served = 0
        self.held = {False: 0, True: 0}
        self.customers = ("one",)
        self.harmless_first = FIRST

    def kill(self, name):
        """Kill a process; its open requests are lost."""
        super().kill(name)
        if name in self.entries:
            self.entries[name] = Entry(
                name=name, scene=self, start=next(self._starts)
            )
            self.post(
                name,
                self.entries[name].spread.compare(
                    self.reachable_controls(name)
                ),
            )

    def send_vouched(self, name, marks):
        """Send marks that several entries may send to a control VM."""
        controls = self.reachable_controls(name)
        if controls:
            self.post(name, replication.send_marks(marks, controls[:1]))
        else:
            self.send_marks(name, marks)

    # Targets.

    def _start_target(self, place):
        target_id = f"i-{next(self._ids)}"
        record = records.Target(
            target_id=target_id,
            service=SERVICE,
            address=f"10.0.0.{place}:80",
            place="p",
            slots=6,
            presence=records.Presence.READY,
            sequence=1,
            build=self.build,
        )
        self.targets[place] = Target(record=record, place=place)

    def crash(self, target):
        """Crash a target, which returns later as another incarnation."""
        if not target.is_up:
            return
        target.is_up = False
        self._at(BACK_SECONDS, lambda: self._start_target(target.place))
        cases = {}
        for run in target.runs:
            if run.entry in self.frozen:
                continue
            entry = self.entries[run.entry]
            case = cases.setdefault(
                run.entry,
                suspects_lib.Case(
                    target=target.record, suspects={}, crashed_at=self.now
                ),
            )
            case.suspects[fingerprint.compute(run.subject)] = (
                suspects_lib.Attempt(
                    request_id=str(run.number),
                    began_at=run.sent_at,
                    broke_at=self.now,
                    parts=fingerprint.compute_parts(run.subject),
                    is_settled=run.is_settled,
                )
            )
            if run.trial is not None:
                entry.checks.append(
                    (
                        self.now + const.CHECK_SECONDS,
                        lambda e=entry, t=run.trial: e.quarantine.end_trial(
                            *t, self.now
                        ),
                    )
                )
            self._on_broken(run)
        for name, case in cases.items():
            entry = self.entries[name]
            build = quarantine_lib.build_of(SERVICE, target.record.build)
            entry.checks.insert(
                0,
                (
                    self.now + const.CHECK_SECONDS,
                    lambda e=entry, c=case, b=build: e.quarantine.on_crash(
                        c, b, self.now
                    ),
                ),
            )
        target.runs = []

    def crash_places(self, places):
        """Crash some targets at once."""
        for place in places:
            self.crash(self.targets[place])

    def release(self):
        """Replace all targets by others with a new version, without a crash."""
        self.build = f"{self.build}+"
        for place in [*self.targets]:
            self._start_target(place)

    # Requests.

    def _at(self, seconds, func):
        self.due.append((self.now + seconds, func))

    def parts_of(self, number, is_crashing):
        """Return the parts of a prompt but the last one."""
        shared = SHARED[number % len(SHARED)]
        parts = [self.harmless_first, shared]
        if is_crashing:
            part = self.crashing[number % len(self.crashing)]
            parts.insert(POSITIONS[self.position], part)
        return tuple(parts)

    def arrive(self, number, *, is_crashing, parts=None, customer=None):
        """Send a request to a random entry that accepts callers."""
        names = [
            name
            for name, entry in self.entries.items()
            if name not in self.frozen and self.now >= entry.opens_at
        ]
        if not names:
            return
        name = self.rng.choice(names)
        subject = fingerprint.Subject(
            method=b"POST",
            host=b"h",
            target=b"/stream/x",
            customer=customer or self.customers[number % len(self.customers)],
            body=b"%d" % number,
            service=SERVICE,
            prompt_parts=(parts or self.parts_of(number, is_crashing)),
        )
        self._send(name, number, subject, is_crashing, attempts=0)

    def _send(self, name, number, subject, is_crashing, *, attempts):
        entry = self.entries[name]
        decision = entry.quarantine.decide(subject, self.now)
        targets = [target for target in self.targets.values() if target.is_up]
        if decision.is_rejected or not targets:
            self.held[is_crashing] += decision.is_rejected
            self._end(number, is_crashing, is_served=False)
            return
        trial = None
        if decision.standing is quarantine_lib.Standing.TRIAL:
            trial_id = entry.quarantine.begin_trial(decision, self.now)
            trial = (trial_id, decision.fingerprints)
        target = self.rng.choice(targets)
        run = Run(
            entry=name,
            number=number,
            subject=subject,
            target=target,
            is_crashing=is_crashing,
            sent_at=self.now,
            trial=trial,
            attempts=attempts + 1,
        )
        target.runs.append(run)
        if is_crashing:
            is_cut = any(name in pair for pair in self.cuts)
            self.reached.append((self.now, is_cut))
        self._at(PROMPT_SECONDS, lambda: self._begin_answer(run))

    def _begin_answer(self, run):
        if run not in run.target.runs:
            return
        if run.is_crashing and not self.is_repaired:
            self.part_crashes.append(self.now)
            self.crash(run.target)
            return
        began_at = self.now
        self._at(const.SETTLED_SECONDS, lambda: self._settle(run, began_at))
        self._at(ANSWER_SECONDS - PROMPT_SECONDS, lambda: self._complete(run))

    def _settle(self, run, began_at):
        if run not in run.target.runs or run.entry in self.frozen:
            return
        run.is_settled = True
        entry = self.entries[run.entry]
        parts = fingerprint.compute_parts(run.subject)
        entry.quarantine.on_answered(parts, began_at, self.now)
        if run.trial is not None:
            entry.quarantine.pass_trial(run.trial[1], self.now)

    def _complete(self, run):
        if run not in run.target.runs:
            return
        run.target.runs.remove(run)
        entry = self.entries[run.entry]
        entry.quarantine.on_completed(run.subject, self.now)
        if run.trial is not None:
            entry.quarantine.end_trial(*run.trial, self.now)
        self._end(run.number, run.is_crashing, is_served=True)

    def _on_broken(self, run):
        if run.attempts < 2 and self.now >= self.entries[run.entry].opens_at:
            self._send(
                run.entry,
                run.number,
                run.subject,
                run.is_crashing,
                attempts=run.attempts,
            )
        else:
            self._end(run.number, run.is_crashing, is_served=False)

    def _end(self, number, is_crashing, *, is_served):
        if not is_crashing:
            self.outcomes.append((self.now, is_served))
        else:
            self.crashing_served += is_served

    # Time.

    def play(self, seconds, *, every_s=None):
        """Run with harmless requests and, if given, crashing ones."""
        until = self.now + seconds
        harmless_at = self.now
        crashing_at = self.now
        numbers = itertools.count(round(self.now * 100_000))
        while self.now < until:
            self.run(scene_lib.STEP_SECONDS)
            due = [item for item in self.due if item[0] <= self.now]
            self.due = [item for item in self.due if item[0] > self.now]
            for _, func in sorted(due, key=lambda item: item[0]):
                func()
            while harmless_at <= self.now:
                harmless_at += 1 / HARMLESS_PER_SECOND
                self.arrive(next(numbers), is_crashing=False)
            while every_s is not None and crashing_at <= self.now:
                crashing_at += every_s
                self.arrive(next(numbers), is_crashing=True)

    def _run_entry(self, name, entry):
        due = [check for check in entry.checks if check[0] <= self.now]
        entry.checks = [c for c in entry.checks if c[0] > self.now]
        for _, func in due:
            func()
        if self.now >= self._compare_at[name]:
            self._compare_at[name] = self.now + const.COMPARE_SECONDS
            entry.quarantine.tick(self.now)
            entry.quarantine.builds = frozenset(
                quarantine_lib.build_of(SERVICE, target.record.build)
                for target in self.targets.values()
                if target.is_up
            )
            self.post(name, entry.spread.compare(self.reachable_controls(name)))

    # Results.

    def served(self, since, until):
        """Return the share of harmless requests that were served."""
        found = [ok for at, ok in self.outcomes if since <= at < until]
        assert len(found) >= 20, len(found)
        return sum(found) / len(found)

    def reached_after(self, crashes, seconds):
        """Return requests that reached targets some time after a crash.

        Those of entries that are cut off from all others are left out.
        """
        if len(self.part_crashes) < crashes:
            return 0
        known_at = self.part_crashes[crashes - 1] + seconds
        return sum(at > known_at and not is_cut for at, is_cut in self.reached)


def disturb(scene, what):
    """Let something else happen, once; return for how long it lasts."""
    names = [*scene.entries]
    match what:
        case "nothing":
            pass
        case "entries restart":
            for name in names[: max(len(names) // 2, 1)][:4]:
                scene.kill(name)
        case "a release":
            scene.release()
        case "a rack loses power":
            scene.crash_places(range(RACK))
        case "targets are killed":
            scene.crash(scene.targets[scene.rng.randrange(TARGETS)])
        case "links are cut":
            scene.isolate(names[0])
        case "messages are lost":
            scene.loss = 0.3
        case "a VM is suspended":
            scene.frozen.add(names[-1])
        case "control VMs are lost":
            for name in scene.controls:
                scene.kill(name)
        case _:
            raise AssertionError(what)


def end_disturbance(scene):
    """End what ``disturb`` began."""
    scene.cuts.clear()
    scene.loss = 0.0
    scene.frozen.clear()


def run_case(*, entries, position, parts, every_s, what, early, seed):
    """Run one case; return its scene and when crashing requests began.

    Args:
        entries: Number of entries.
        position: Where the crashing part stands in prompts.
        parts: Number of crashing parts.
        every_s: Time between two requests with such a part, seconds.
        what: What else happens.
        early: Whether it happens as these requests begin, or once the parts
            are known.
        seed: Seed of all random choices.
    """
    scene = PartScene(
        entries=entries, position=position, parts=parts, seed=seed
    )
    scene.play(4.0)
    began_at = scene.now
    learning_s = max(8 * parts * every_s, 3.0)
    if not early:
        scene.play(learning_s, every_s=every_s)
    disturb(scene, what)
    scene.play(2.0, every_s=every_s)
    end_disturbance(scene)
    if what == "targets are killed":
        for _ in range(3):
            disturb(scene, what)
            scene.play(1.0, every_s=every_s)
    if early:
        scene.play(learning_s, every_s=every_s)
    scene.play(5.0, every_s=every_s)
    return scene, began_at


def find_violations(case):
    """Run a case; return what is wrong with it."""
    scene, began_at = run_case(**case)
    found = []
    # Each part has crashes of its own.
    late = scene.reached_after(KNOWN_CRASHES * case["parts"], KNOWN_SECONDS)
    if late > LATE_MAX * case["parts"]:
        found.append(f"{late} of {len(scene.reached)} reach targets late")
    before = scene.served(began_at - 3.0, began_at)
    after = scene.served(scene.now - 3.0, scene.now)
    if after < SERVED_SHARE * before:
        found.append(f"{after:.2f} of the harmless ones served, {before:.2f}")
    rejected = scene.held[False] / max(len(scene.outcomes), 1)
    if rejected > 1 - SERVED_SHARE:
        found.append(f"{rejected:.2f} of the harmless ones rejected")
    return found
