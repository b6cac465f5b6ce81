"""Entries and control VMs that learn under which requests targets end."""

import collections
import random

from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import spread
from jasperweir.helpers import codec
from jasperweir.helpers import http_message

STEP = 0.01
DELAY_SECONDS = 0.004
# After a disturbance an entry must know what the others know within this time.
STABLE_SECONDS = 3.0


def request(body=b"x", path=b"/safe/x", method=b"POST", headers=()):
    return http_message.Request(
        method=method,
        target=path,
        headers=[(b"host", b"h"), *headers],
        body=body,
        keep_alive=True,
    )


def content(name):
    """Return the fingerprint of a request whose body is a name."""
    return of(request(body=str(name).encode()), "one")


def target(number):
    """Return one start of a target."""
    return ledger_lib.Incarnation(f"t{number}", 0)


def of(req, customer):
    return fingerprint.of(fingerprint.subject(req, customer))


class EntryNode:
    """What an entry process keeps in memory."""

    def __init__(self):
        self.ledger = ledger_lib.Ledger()
        self.spread = spread.EntrySpread(ledger=self.ledger)
        # Ends that it has seen and will have checked at a time.
        self.checks = collections.deque()


class Scene:
    """Processes on a virtual clock, and targets that end under requests.

    Attributes:
        sends: Requests that reached a target: when, at which entry, which.
        ends: Times at which targets ended, by request.
        bytes: Bytes that were sent between the processes.
    """

    def __init__(self, *, entries=3, controls=3, places=1, cell=23, seed=0):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.places = {}
        self.entries = {}
        self.controls = {}
        self.cell = cell
        for number in range(controls):
            self.places[f"c{number}"] = number % places
            self.controls[f"c{number}"] = spread.ControlSpread()
        for number in range(entries):
            self.places[f"e{number}"] = number % places
            self.entries[f"e{number}"] = EntryNode()
        self.queue = collections.deque()
        self.frozen = set()
        self.cuts = set()
        self.tap = None
        self.loss = 0.0
        self.bytes = 0
        self.frames = 0
        self.sends = []
        self.ends = collections.defaultdict(list)
        self._targets = 0
        self._compare_at = {
            name: self.rng.uniform(0, const.COMPARE_SECONDS)
            for name in self.entries
        }
        self.disturbed = collections.defaultdict(lambda: -100.0)

    # Disturbances.

    def kill(self, name):
        """Kill a process; it is back at once and knows nothing."""
        if name in self.entries:
            self.entries[name] = EntryNode()
        else:
            self.controls[name] = spread.ControlSpread()
        self.frozen.discard(name)

    def cut_pair(self, one, two):
        self.cuts.add(frozenset((one, two)))

    def isolate(self, name):
        for other in [*self.entries, *self.controls]:
            if other != name:
                self.cut_pair(name, other)

    # Messages.

    def post(self, src, acts):
        for act in acts:
            if self.tap is not None and self.tap(self, src, act.dst, act.msg):
                continue
            frame = codec.encode(
                act.msg, src=src, src_inc=1, src_addr=src, dst=act.dst
            )
            self.bytes += len(frame)
            self.frames += 1
            if self.rng.random() < self.loss:
                continue
            _, msg = codec.decode(frame)
            delay = DELAY_SECONDS * self.rng.uniform(0.5, 2.0)
            self.queue.append((self.now + delay, src, act.dst, msg))

    def requeue(self, src, dst, msg):
        self.queue.append((self.now, src, dst, msg))

    def _deliver(self):
        due = [item for item in self.queue if item[0] <= self.now]
        for item in due:
            self.queue.remove(item)
            _, src, dst, msg = item
            if frozenset((src, dst)) in self.cuts:
                continue
            if dst in self.frozen:
                self.queue.append((self.now + STEP, src, dst, msg))
                continue
            self._receive(src, dst, msg)

    def _receive(self, src, dst, msg):
        if dst in self.entries:
            node = self.entries[dst]
            self.post(dst, node.spread.receive(src, msg, self.now))
            return
        served = [
            name
            for name in self.entries
            if self.places[name] == self.places[dst]
        ]
        others = [name for name in self.controls if name != dst]
        acts = self.controls[dst].receive(
            src, msg, entries=served, controls=others, now=self.now
        )
        self.post(dst, acts)

    def heard(self, name):
        return [
            control
            for control in self.controls
            if frozenset((name, control)) not in self.cuts
            and control not in self.frozen
        ]

    def _peers(self, name):
        near = [
            other
            for other in self.entries
            if other != name and self.places[other] == self.places[name]
        ]
        return near[: self.cell]

    def tell(self, name, marks):
        names = [*self._peers(name), *self.heard(name)]
        self.post(name, spread.tell(marks, names))

    # Requests.

    def comes(self, name, what, *, ends=True):
        """Let a request come to an entry; return whether it was sent on."""
        if name in self.frozen:
            return False
        node = self.entries[name]
        if node.ledger.verdict(content(what), self.now).held_s:
            return False
        self.sends.append((self.now, name, what))
        if not ends:
            marks = node.ledger.absolve(content(what), self.now)
            self.tell(name, marks)
            return True
        self.ends[what].append(self.now)
        self._targets += 1
        target = ledger_lib.Incarnation(f"t{self._targets}", 0)
        at = self.now + const.CHECK_SECONDS
        node.checks.append((at, what, target))
        return True

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self._deliver()
            for name, node in self.entries.items():
                if name not in self.frozen:
                    self._run_entry(name, node)

    def _run_entry(self, name, node):
        while node.checks and node.checks[0][0] <= self.now:
            _, what, target = node.checks.popleft()
            marks = node.ledger.add(content(what), target, self.now)
            self.tell(name, marks)
        if self.now >= self._compare_at[name]:
            self._compare_at[name] = self.now + const.COMPARE_SECONDS
            node.ledger.tick(self.now)
            self.post(name, node.spread.compare(self.heard(name)))

    def holders(self, what):
        """Return the entries that keep a request from targets."""
        return {
            name
            for name, node in self.entries.items()
            if node.ledger.verdict(content(what), self.now).held_s
        }


def late_retries(scene, what):
    """Count what calm entries sent long after the third end of a request."""
    ends = scene.ends[what]
    if len(ends) < 3:
        return 0
    return sum(
        at > ends[2] + STABLE_SECONDS
        and at - scene.disturbed[name] > STABLE_SECONDS
        and at - scene.disturbed["core"] > STABLE_SECONDS
        for at, name, sent in scene.sends
        if sent == what
    )


def schedule(seed, seconds=30.0):
    """Play one drawn schedule of requests and disturbances."""
    rng = random.Random(seed)
    scene = Scene(entries=rng.randint(2, 8), seed=seed)
    bad = [f"bad{number}" for number in range(rng.randint(1, 3))]
    names = [*scene.entries]
    while scene.now < seconds:
        scene.run(rng.uniform(0.02, 0.9))
        for what in bad:
            if rng.random() < 0.5:
                scene.comes(rng.choice(names), what)
        scene.comes(rng.choice(names), f"well{rng.random()}", ends=False)
        _disturb(scene, rng, names)
    return scene, bad


def _disturb(scene, rng, names):
    """Draw what happens next, and note whom that and the past disturb."""
    _note_disturbed(scene, names)
    draw = rng.random()
    if draw < 0.03:
        name = rng.choice(names)
        scene.kill(name)
        scene.disturbed[name] = scene.now
    elif draw < 0.06:
        scene.isolate(rng.choice(names))
    elif draw < 0.09:
        scene.frozen.add(rng.choice(names))
    elif draw < 0.11:
        scene.kill(rng.choice([*scene.controls]))
        scene.disturbed["core"] = scene.now
    elif draw < 0.2:
        scene.loss = rng.choice((0.0, 0.0, 0.3))
    elif draw < 0.35:
        scene.frozen.clear()
        scene.cuts.clear()
    _note_disturbed(scene, names)


def _note_disturbed(scene, names):
    cut = {name for pair in scene.cuts for name in pair}
    for name in names:
        if name in scene.frozen or name in cut or scene.loss:
            scene.disturbed[name] = scene.now
