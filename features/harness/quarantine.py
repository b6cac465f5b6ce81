"""Simulation of entries and control VMs that quarantine requests."""

import collections
import random

from jasperweir.components.quarantine import const
from jasperweir.components.quarantine import fingerprint
from jasperweir.components.quarantine import ledger as ledger_lib
from jasperweir.components.quarantine import replication
from jasperweir.helpers import codec
from jasperweir.helpers import http_message

STEP_SECONDS = 0.01
DELAY_SECONDS = 0.004
# An entry must have the marks of the others this long after a failure.
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
    return compute(request(body=str(name).encode()), "one")


def target(number):
    """Return an incarnation of a target."""
    return ledger_lib.Incarnation(f"t{number}", 0)


def compute(req, customer):
    """Return the fingerprint of a request."""
    return fingerprint.compute(fingerprint.subject(req, customer))


class EntryNode:
    """The state of an entry process."""

    def __init__(self):
        self.ledger = ledger_lib.Ledger()
        self.spread = replication.EntrySpread(ledger=self.ledger)
        # Crashes with the time of their check, the request and the target.
        self.checks = collections.deque()


class Scene:
    """Processes on a virtual clock, and targets that crash under requests.

    Attributes:
        sends: Requests sent to a target: time, entry and request.
        crashes: Times at which targets crashed, by request.
        bytes: Bytes sent between the processes.
    """

    def __init__(
        self, *, entries=3, controls=3, data_centres=1, cell=23, seed=0
    ):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.data_centres = {}
        self.entries = {}
        self.controls = {}
        self.cell = cell
        for number in range(controls):
            self.data_centres[f"c{number}"] = number % data_centres
            self.controls[f"c{number}"] = replication.ControlSpread()
        for number in range(entries):
            self.data_centres[f"e{number}"] = number % data_centres
            self.entries[f"e{number}"] = EntryNode()
        self.queue = collections.deque()
        self.frozen = set()
        self.cuts = set()
        self.tap = None
        self.loss = 0.0
        self.bytes = 0
        self.frames = 0
        self.sends = []
        self.crashes = collections.defaultdict(list)
        self._targets = 0
        self._compare_at = {
            name: self.rng.uniform(0, const.COMPARE_SECONDS)
            for name in self.entries
        }
        self.disturbed = collections.defaultdict(lambda: -100.0)

    # Failures.

    def kill(self, name):
        """Kill a process, which restarts at once without its marks."""
        if name in self.entries:
            self.entries[name] = EntryNode()
        else:
            self.controls[name] = replication.ControlSpread()
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
                self.queue.append((self.now + STEP_SECONDS, src, dst, msg))
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
            if self.data_centres[name] == self.data_centres[dst]
        ]
        others = [name for name in self.controls if name != dst]
        acts = self.controls[dst].receive(
            src, msg, entries=served, controls=others, now=self.now
        )
        self.post(dst, acts)

    def reachable_controls(self, name):
        """Return the control VMs that an entry reaches."""
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
            if other != name
            and self.data_centres[other] == self.data_centres[name]
        ]
        return near[: self.cell]

    def send_marks(self, name, marks):
        """Send marks of an entry to its peers and the control VMs."""
        names = [*self._peers(name), *self.reachable_controls(name)]
        self.post(name, replication.send_marks(marks, names))

    # Requests.

    def send_request(self, name, request_name, *, crashes=True):
        """Send a request to an entry; return whether it was forwarded."""
        if name in self.frozen:
            return False
        node = self.entries[name]
        if node.ledger.verdict(content(request_name), self.now).held_s:
            return False
        self.sends.append((self.now, name, request_name))
        if not crashes:
            marks = node.ledger.clear_marks(content(request_name), self.now)
            self.send_marks(name, marks)
            return True
        self.crashes[request_name].append(self.now)
        self._targets += 1
        target = ledger_lib.Incarnation(f"t{self._targets}", 0)
        at = self.now + const.CHECK_SECONDS
        node.checks.append((at, request_name, target))
        return True

    def run(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self._deliver()
            for name, node in self.entries.items():
                if name not in self.frozen:
                    self._run_entry(name, node)

    def _run_entry(self, name, node):
        while node.checks and node.checks[0][0] <= self.now:
            _, request_name, target = node.checks.popleft()
            marks = node.ledger.add(content(request_name), target, self.now)
            self.send_marks(name, marks)
        if self.now >= self._compare_at[name]:
            self._compare_at[name] = self.now + const.COMPARE_SECONDS
            node.ledger.tick(self.now)
            self.post(name, node.spread.compare(self.reachable_controls(name)))

    def quarantining_entries(self, request_name):
        """Return the entries that quarantine a request."""
        return {
            name
            for name, node in self.entries.items()
            if node.ledger.verdict(content(request_name), self.now).held_s
        }


def count_late_sends(scene, request_name):
    """Count sends of undisturbed entries long after the third crash."""
    crashes = scene.crashes[request_name]
    if len(crashes) < 3:
        return 0
    return sum(
        at > crashes[2] + STABLE_SECONDS
        and at - scene.disturbed[name] > STABLE_SECONDS
        and at - scene.disturbed["core"] > STABLE_SECONDS
        for at, name, sent in scene.sends
        if sent == request_name
    )


def run_schedule(seed, seconds=30.0):
    """Run one random schedule of requests and failures."""
    rng = random.Random(seed)
    scene = Scene(entries=rng.randint(2, 8), seed=seed)
    bad = [f"bad{number}" for number in range(rng.randint(1, 3))]
    names = [*scene.entries]
    while scene.now < seconds:
        scene.run(rng.uniform(0.02, 0.9))
        for request_name in bad:
            if rng.random() < 0.5:
                scene.send_request(rng.choice(names), request_name)
        scene.send_request(
            rng.choice(names), f"harmless{rng.random()}", crashes=False
        )
        _inject_failure(scene, rng, names)
    return scene, bad


def _inject_failure(scene, rng, names):
    """Inject a random failure and record the entries that it disturbs."""
    _record_disturbed(scene, names)
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
    _record_disturbed(scene, names)


def _record_disturbed(scene, names):
    cut = {name for pair in scene.cuts for name in pair}
    for name in names:
        if name in scene.frozen or name in cut or scene.loss:
            scene.disturbed[name] = scene.now
