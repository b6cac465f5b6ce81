"""Entries and control VMs in trouble while the configuration changes."""

import dataclasses
import itertools
import random
from typing import NamedTuple

from features.harness import revoked_keys
from features.harness import site as site_lib
from jasperweir.components.confirmation import tracker

Standing = tracker.Standing

# Time from an acknowledgement within which a version must be in force.
APPLY_SECONDS = 2.0
# A process that was undisturbed for so long must keep that bound.
STABLE_SECONDS = 3.0
# Time within which an order must be acknowledged once all is well again.
ACK_SECONDS = 15.0
SUSPENDED_SECONDS = 6.0
# Delay of answers that come later than a version must be in force.
LATE_SECONDS = 2.5
# Times from the trouble to the order, seconds.
WAITS_SECONDS = (0.0, 0.4, 1.2)
ENTRY_CASES = (
    "ran on",
    "started alone",
    "started with its data centre",
    "started with all",
    "new VM",
    "reused address",
    "suspended and awake",
    "deaf to the leader",
    "deaf to one control VM",
    "deaf to all but one control VM",
    "slow link",
    "late answers",
)
CORE_CASES = (
    "same leader",
    "elected anew",
    "started from records",
    "started from a snapshot",
    "one replaced",
    "one wiped",
    "one behind",
    "leader suspended",
    "leader deaf to one",
    "one deaf to the leader",
    "leader deaf to all",
    "leader silent to entries",
    "leader leaves",
    "some without disks",
    "late to all entries",
    "two contents",
)
# Entry cases in which the entry hears a control VM that hears the leader.
_HEARING = (
    "ran on",
    "deaf to the leader",
    "deaf to one control VM",
    "deaf to all but one control VM",
    "slow link",
)


@dataclasses.dataclass(kw_only=True)
class EntryRecord:
    """What is judged of one entry.

    Attributes:
        since: Start or last disturbance of the entry, seconds.
        highest: Highest version that it has let a request through by.
        incarnation: Incarnation of its process.
    """

    since: float
    highest: int
    incarnation: int


class Finding(NamedTuple):
    """A broken rule and its case."""

    entry: str
    core: str
    seed: int
    wait_s: float
    what: str


def run_drawn(*, cases, seed, entries):
    """Run different combinations of the matrix.

    Args:
        cases: Number of combinations, all of them at most.
        seed: Seed of the choice and of all cases.
        entries: Number of entries.

    Yields:
        The broken rules.
    """
    rng = random.Random(seed)
    pairs = list(itertools.product(ENTRY_CASES, CORE_CASES))
    for entry, core in rng.sample(pairs, min(cases, len(pairs))):
        case_seed, wait_s = rng.getrandbits(30), rng.choice(WAITS_SECONDS)
        case = Case(
            entry=entry,
            core=core,
            seed=case_seed,
            entries=entries,
            wait_s=wait_s,
        )
        for what in case.run():
            yield Finding(entry, core, case_seed, wait_s, what)


class Judge:
    """Checks what each entry lets through after every step.

    Attributes:
        violations: Broken rules.
        delays: Time from an acknowledgement until the version was in force,
            seconds, by entry; for entries that were undisturbed.
        hearing: Entries that must know the newest version though links to
            them are cut.
        strict: Entries that must not act on an old version even before they
            are in touch: they were started or suspended and hear control VMs,
            or get answers late.
    """

    def __init__(self, site, *, has_keys=False):
        """Start to judge the entries of a site.

        Args:
            site: The site.
            has_keys: Whether its contents are those of revoked_keys.
        """
        self.site = site
        self._has_keys = has_keys
        self.violations = []
        self.delays = {}
        self.hearing = set()
        self.strict = set()
        self.core_since = site.now
        self._acked = []
        self._entries = {}
        site.observe = self.observe

    def disturb_core(self):
        """Note that control VMs were disturbed."""
        self.core_since = self.site.now

    def disturb(self, name):
        """Note that an entry was disturbed."""
        self._record(name).since = self.site.now

    def _record(self, name):
        client = self.site.discovery_clients[name]
        incarnation = client.node.incarnation
        record = self._entries.get(name)
        if record is None or record.incarnation != incarnation:
            record = EntryRecord(
                since=self.site.now, highest=0, incarnation=incarnation
            )
            self._entries[name] = record
        return record

    def _newest_before(self, at):
        return max(
            (v for v, acked_at in self._acked if acked_at <= at), default=0
        )

    def observe(self, name):
        """Judge an entry at this moment."""
        site, now = self.site, self.site.now
        if site.acked[0] > max((v for v, _ in self._acked), default=0):
            self._acked.append(site.acked)
        if name in site.frozen:
            return
        client = site.discovery_clients[name]
        record = self._record(name)
        standing = client.confirmations.standing(now)
        served = site.serves(name)
        due = self._newest_before(now - APPLY_SECONDS)
        if standing is Standing.CURRENT and client.version < due:
            self._add(name, f"current by {client.version}")
        if 0 < served < record.highest:
            self._add(name, f"back from {record.highest} to {served}")
        record.highest = max(record.highest, served)
        if name in self.strict and 0 < served < due:
            self._add(name, f"serves {served}")
        if served and self._has_keys:
            self._judge_key(name, due)
        self._judge_in_touch(name, record, standing, served)
        self._measure(name, client)

    def _judge_in_touch(self, name, record, standing, served):
        now = self.site.now
        since = max(record.since, self.core_since)
        if now - since < STABLE_SECONDS or not self._acked:
            return
        if self._is_cut(name) and name not in self.hearing:
            return
        if standing is not Standing.CURRENT:
            self._add(name, f"in touch and {standing.value}")
        if served < self._newest_before(now - APPLY_SECONDS):
            self._add(name, f"serves {served} in touch")

    def _is_cut(self, name):
        site = self.site
        pairs = (*site.deaf, *site.cut, *site.delays)
        return any(name in pair for pair in pairs)

    def _judge_key(self, name, due):
        """Check that a key is accepted as the newest versions say."""
        if due < revoked_keys.REVOKING_VERSION:
            return
        if revoked_keys.accepts_revoked_key(self.site.applied[name]):
            self._add(name, "accepts a key that was revoked")

    def _measure(self, name, client):
        for version, acked_at in self._acked:
            key = (name, version)
            if client.version >= version and key not in self.delays:
                self.delays[key] = max(self.site.now - acked_at, 0.0)

    def _add(self, name, what):
        if len(self.violations) < 5:
            self.violations.append(f"{self.site.now:.2f} {name}: {what}")


class Case:
    """One combination of the matrix on a virtual clock.

    All entries in the data centre of "e1" are in the same trouble, but for one
    that is started alone.
    """

    def __init__(self, *, entry, core, seed, entries=3, wait_s=0.4):
        """Create a site with version 9 in force.

        Args:
            entry: One of ENTRY_CASES.
            core: One of CORE_CASES.
            seed: Seed of all random choices.
            entries: Number of entries.
            wait_s: Time from the trouble to the order for version 12.
        """
        self._entry, self._core, self._wait_s = entry, core, wait_s
        self._has_two_contents = core == "two contents"
        diskless = ("c4", "c5", "c6") if core == "some without disks" else ()
        controls = 6 if diskless else 3
        places = {"c1": "p", "c2": "q", "c3": "r", "c4": "p", "c5": "q"}
        places.update({f"e{n}": "pqr"[(n - 1) % 3] for n in range(entries + 1)})
        self.site = site_lib.Site(
            controls=controls,
            entries=entries,
            seed=seed,
            diskless=diskless,
            places=places,
        )
        self.site.run(5.0)
        self._commit(9)
        self.site.run(1.5)
        self.judge = Judge(self.site, has_keys=True)
        self.site.run(STABLE_SECONDS)

    def _commit(self, version):
        """Send an order until it is acknowledged, at running control VMs."""
        site = self.site
        if self._has_two_contents:
            site.contents[version] = site_lib.OneContent()
        until = site.now + ACK_SECONDS
        while site.acked[0] < version and site.now < until:
            running = [n for n in sorted(site.nodes) if n not in site.frozen]
            for number, name in enumerate(running[:2]):
                variant = number if self._has_two_contents else 0
                data = revoked_keys.make_content(version, variant)
                site.replace(name, version, data)
            site.run(0.9)
        if site.acked[0] < version:
            raise AssertionError(f"version {version} was not acknowledged")

    def run(self):
        """Bring the trouble about, change the configuration and judge."""
        site = self.site
        leader = site.leader()
        others = [n for n in ("c1", "c2", "c3") if n != leader]
        wakes = self._disturb_core(leader, others)
        names = self._pick_entries()
        self._delay_answers(names)
        for name in names:
            wakes += self._disturb_entry(name, leader, others)
        if self._entry == "started with its data centre":
            if "c1" in site.nodes and "c1" not in site.frozen:
                self._restart(["c1"])
        if self._entry in _HEARING and self._core == "same leader":
            self.judge.hearing.update(names)
        site.run(self._wait_s)
        # The version is acknowledged while the trouble lasts.
        self._commit(12)
        for at, wake in sorted(wakes, key=lambda item: item[0]):
            site.run(max(at - site.now, 0.0))
            wake()
            for name in site.discovery_clients:
                self.judge.observe(name)
        site.run(APPLY_SECONDS + STABLE_SECONDS)
        site.deaf.clear()
        site.delays.clear()
        for name in list(site.discovery_clients):
            self.judge.disturb(name)
        site.run(STABLE_SECONDS + 1.0)
        for name in site.discovery_clients:
            if site.serves(name) != 12:
                self.judge.violations.append(
                    f"{name} serves {site.serves(name)} at the end"
                )
        return self.judge.violations

    def _pick_entries(self):
        """Return the entries that are in trouble."""
        site = self.site
        if self._entry in ("started alone", "started with all", "new VM"):
            return ["e1"]
        return [
            name
            for name in site.discovery_clients
            if site.places[name] == site.places["e1"]
        ]

    def _delay_answers(self, names):
        """Let answers be under way when entries are disturbed."""
        site = self.site
        match self._entry:
            case "reused address":
                delay_s, run_s = 0.3, 0.3
            case "suspended and awake":
                delay_s, run_s = 0.15, 0.5
            case _:
                return
        for control in site.names:
            for name in names:
                site.delays[(control, name)] = delay_s
        site.run(run_s)
        if self._entry == "reused address":
            site.delays.clear()

    def _restart(self, names):
        site = self.site
        for name in names:
            site.kill(name)
        for name in names:
            site.start(name)
        self.judge.disturb_core()

    def _disturb_core(self, leader, others):
        """Return what is to be undone: times and functions."""
        site, judge = self.site, self.judge
        voters = ["c1", "c2", "c3"]
        match self._core:
            case "elected anew":
                site.kill(leader)
                judge.disturb_core()
                return [(site.now + 2.5, lambda: self._restart([leader]))]
            case "started from records":
                self._restart(voters)
            case "started from a snapshot":
                for name in voters:
                    node = site.nodes[name]
                    site.perform(
                        name,
                        node.voter.compact(
                            node.machine.table.revision, node.machine.dump()
                        ),
                    )
                self._restart(voters)
            case "one replaced":
                site.kill(others[0])
                site.start("c7", seeds=[leader, others[1]])
                judge.disturb_core()
            case "one wiped":
                site.wipe(others[0])
                site.start(others[0])
                judge.disturb_core()
            case "one behind":
                site.kill(others[0])
                judge.disturb_core()
                self._commit(11)
                self._restart([others[0]])
            case "leader deaf to one":
                site.deaf.add((others[0], leader))
                judge.disturb_core()
            case "one deaf to the leader":
                site.deaf.add((leader, others[0]))
                judge.disturb_core()
            case "leader deaf to all":
                site.deaf.update((name, leader) for name in others)
                judge.disturb_core()
            case "leader silent to entries":
                # It runs, hears all and leads on.
                site.deaf.update(
                    (leader, name) for name in site.discovery_clients
                )
                judge.hearing.update(site.discovery_clients)
            case "late to all entries":
                self._delay_to(site.discovery_clients)
            case "leader leaves":
                acts = site.nodes[leader].transfer_leadership(site.now)
                site.perform(leader, acts)
                site.run(site_lib.STEP)
                site.kill(leader)
                judge.disturb_core()
                return [(site.now + 1.0, lambda: self._restart([leader]))]
            case "leader suspended":
                site.frozen.add(leader)
                judge.disturb_core()
                return [(site.now + SUSPENDED_SECONDS, self._waker(leader))]
        return []

    def _delay_to(self, names):
        """Let entries get the answers of control VMs late."""
        for name in names:
            for control in self.site.names:
                self.site.delays[control, name] = LATE_SECONDS
            self.judge.strict.add(name)
            self.judge.hearing.discard(name)

    def _waker(self, name):
        return lambda: self._wake(name)

    def _wake(self, name):
        self.site.frozen.discard(name)
        if name in self.site.nodes:
            self.judge.disturb_core()
        else:
            self.judge.disturb(name)

    def _disturb_entry(self, name, leader, others):
        site, judge = self.site, self.judge
        match self._entry:
            case "started alone":
                site.start_entry(name)
            case "started with its data centre":
                site.start_entry(name)
            case "started with all":
                running = [n for n in ("c1", "c2", "c3") if n in site.nodes]
                self._restart([n for n in running if n not in site.frozen])
                for other in list(site.discovery_clients):
                    site.start_entry(other)
            case "new VM":
                site.start_entry("e99")
            case "reused address":
                site.start_entry(name)
            case "suspended and awake":
                site.frozen.add(name)
                judge.strict.add(name)
                return [(site.now + SUSPENDED_SECONDS, self._waker(name))]
            case "deaf to the leader":
                site.deaf.add((leader, name))
            case "deaf to one control VM":
                site.deaf.add((others[0], name))
            case "deaf to all but one control VM":
                site.deaf.update(
                    (n, name) for n in site.names if n != others[1]
                )
            case "slow link":
                for control in site.names:
                    site.delays[(control, name)] = 0.2
                    site.delays[(name, control)] = 0.2
            case "late answers":
                self._delay_to([name])
        if "start" in self._entry or "address" in self._entry:
            judge.strict.add(name)
        if self._entry == "new VM":
            judge.strict.add("e99")
        judge.disturb(name)
        return []
