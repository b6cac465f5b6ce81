"""Steps on state that decisions keep between requests."""

import random

from behave import given
from behave import then
from behave import when

from jasperweir.components.balance import balancer as balancer_lib
from jasperweir.components.balance import const as balance_const
from jasperweir.components.balance import entry_cell
from jasperweir.components.balance import messages as balance_messages
from jasperweir.components.balance import outage
from jasperweir.components.balance import passes
from jasperweir.components.balance import wait_queue
from jasperweir.components.directory import records
from jasperweir.components.forward import capacity as capacity_lib
from jasperweir.components.forward import queues as queues_lib
from jasperweir.components.forward import startup_grace
from jasperweir.components.groups import directory as group_directory
from jasperweir.components.groups import messages as groups_messages

SERVICE = "s"
NOW = 100.0


def make_target(number, *, place="p", slots=5, sequence=1):
    return records.Target(
        target_id=f"t{number}",
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        place=place,
        slots=slots,
        presence=records.Presence.READY,
        sequence=sequence,
    )


def make_entries(count):
    return tuple(
        records.Node(f"e{n}", "entry", "p" if n % 4 else "q", "", True, 1, 1)
        for n in range(1, count + 1)
    )


class Entry:
    """An entry whose targets, groups and peers change."""

    def __init__(self, *, entries):
        self.balancer = balancer_lib.Balancer(rng=random.Random(1))
        self.cell = entry_cell.EntryCell(name="e1", place="p")
        self.groups = group_directory.GroupDirectory()
        self.targets = [make_target(n) for n in range(32)]
        self.rng = random.Random(2)
        self._count = entries
        self._entries = make_entries(entries)
        self._rng = random.Random(3)
        self._sequence = 0
        self._lists = [list(range(16)), list(range(16, 32))]
        self._limits = passes.PassLimits()
        self.finder = self._make_finder()
        self.cell.on_entries(self._entries)
        self._send_list()

    def _make_finder(self):
        return capacity_lib.CapacityFinder(
            balancer=self.balancer,
            cell=self.cell,
            rng=self.rng,
            groups=self.groups,
        )

    def change(self):
        """Change one input, or pass the same targets in a new list."""
        number = self._rng.randrange(32)
        match self._rng.randrange(7):
            case 0:
                self.targets = list(self.targets)
            case 1:
                self.targets = [
                    t for t in self.targets if t.target_id != f"t{number}"
                ]
            case 2:
                self._replace(make_target(number))
            case 3:
                self._replace(make_target(number, slots=9))
            case 4:
                self._replace(make_target(number, place="q"))
            case 5:
                self._move_rank(number)
            case 6:
                # The number of entries decides whether there are cells.
                more = self._rng.choice((-2, 0, 0, self._count))
                self._entries = make_entries(self._count + more)
                self.cell.on_entries(self._entries)

    def _replace(self, target):
        self.targets = [
            t for t in self.targets if t.target_id != target.target_id
        ]
        self.targets.append(target)

    def _move_rank(self, number):
        one, other = self._lists
        source, destination = (one, other) if number in one else (other, one)
        source.remove(number)
        destination.append(number)
        self._send_list()

    def _send_list(self):
        self._sequence += 1
        self.groups.on_list(
            groups_messages.GroupList(
                1,
                self._sequence,
                tuple(
                    groups_messages.Group(
                        SERVICE,
                        f"g{name}",
                        1,
                        addresses=tuple(f"10.0.0.{n}:80" for n in numbers),
                    )
                    for name, numbers in enumerate(self._lists)
                ),
            )
        )

    def find(self, finder):
        """Return what a finder finds for the next request."""
        self.rng.seed(7)
        grouped = finder.find_in_groups(
            SERVICE, self.targets, self._limits, NOW
        )
        whole = finder.find_candidates(self.targets, None, NOW)
        streams = [
            finder.by_group.streams_per_rank(
                SERVICE, f"{SERVICE}/g{n}", self.targets, NOW
            )
            for n in range(2)
        ]
        return grouped, whole, streams

    def find_anew(self):
        """Return what an entry without any state finds."""
        kept = self.cell
        self.cell = entry_cell.EntryCell(name="e1", place="p")
        self.cell.on_entries(self._entries)
        found = self.find(self._make_finder())
        self.cell = kept
        return found


@given("{entries:d} entries and two groups of 16 ranks")
def step_entry(context, entries):
    context.entry = Entry(entries=entries)


@when("targets, groups and entries change at random {count:d} times")
def step_change(context, count):
    entry = context.entry
    context.found = [(entry.find(entry.finder), entry.find_anew())]
    for _ in range(count):
        entry.change()
        context.found.append((entry.find(entry.finder), entry.find_anew()))


@then("after each change the candidates are those that a new entry finds")
def step_candidates(context):
    for number, (kept, anew) in enumerate(context.found):
        assert kept == anew, f"change {number}: {kept} {anew}"
    # The changes matter.
    assert len({repr(kept) for kept, _ in context.found}) > 100


@given("a balancer and {count:d} peers")
def step_balancer(context, count):
    context.balancer = balancer_lib.Balancer(rng=random.Random(1))
    context.peers = [f"e{n}" for n in range(count)]


@when("{count:d} reports arrive at random, some late, some of peers that leave")
def step_reports(context, count):
    rng = random.Random(4)
    targets = [make_target(n) for n in range(10)]
    last = {}
    now = NOW
    context.sums = []
    for _ in range(count):
        now += rng.choice((0.01, 0.05, 0.4))
        src = rng.choice(context.peers)
        sequence = (
            last[src][0] + rng.choice((-1, 0, 1, 1)) if src in last else 1
        )
        counts = {
            t.target_id: rng.randrange(4)
            for t in rng.sample(targets, rng.randrange(6))
        }
        last = {
            name: found
            for name, found in last.items()
            if now - found[1] < balance_const.SHARE_STALE_SECONDS
        }
        context.balancer.on_share(
            src,
            balance_messages.Share(
                sequence=sequence,
                loads=tuple(
                    balance_messages.OpenLoad(*each) for each in counts.items()
                ),
            ),
            now,
        )
        if src not in last or sequence > last[src][0]:
            last[src] = (sequence, now, counts)
        if rng.random() < 0.1:
            context.balancer.remove_peer(src)
            last.pop(src, None)
        context.sums.append(
            [
                (
                    context.balancer.count_at(t.target_id, now),
                    context.balancer.loads([t], now).open,
                    sum(c.get(t.target_id, 0) for _, _, c in last.values()),
                )
                for t in targets
            ]
        )


@then("after each report the load of each target is that of the last reports")
def step_sums(context):
    for loads in context.sums:
        for counted, summed, expected in loads:
            assert counted == summed == expected, loads
    assert any(expected for _, _, expected in context.sums[-1])


@given("the queues of an entry")
def step_queues(context):
    rng = random.Random(5)
    context.balancer = balancer_lib.Balancer(rng=rng)
    context.queues = queues_lib.Queues(
        balancer=context.balancer,
        cell=entry_cell.EntryCell(name="e1", place="p"),
        outages=outage.Outages(groups=group_directory.GroupDirectory()),
        startup_grace=startup_grace.StartupGrace(started_at=0.0),
        rng=rng,
    )


@when(
    "requests of two services are queued and removed at random {count:d} times"
)
def step_queue(context, count):
    rng = random.Random(6)
    changes = []
    context.balancer.on_change = lambda: changes.append(True)
    context.reports = []
    sent = ()
    for number in range(count):
        service = "a" if number < count / 2 else rng.choice("ab")
        queue = context.queues.get(service).wait_queue
        if rng.random() < 0.4:
            queue.enqueue(
                wait_queue.QueuedRequest(
                    priority=rng.randrange(3),
                    since=NOW,
                    number=number,
                    until=NOW + 5,
                    not_before=NOW,
                    timely_until=NOW + rng.choice((-1, 1)),
                )
            )
        elif len(queue):
            queue.remove(rng.choice(queue.numbers()))
        changes.clear()
        context.queues.publish(NOW)
        waiting = [
            (name, found.wait_queue.list_waiting())
            for name in "ab"
            if (found := context.queues.get(name))
        ]
        expected = {
            (name, sum(not w.is_late(NOW) for w in found), len(found))
            for name, found in waiting
            if found
        }
        report = context.balancer.share().queues
        found = {(q.service, q.timely, q.timely + q.late) for q in report}
        context.reports.append((found, expected, bool(changes), sent != found))
        sent = found


@then("after each tick the load report has the queues of that moment")
def step_queue_reports(context):
    for found, expected, has_changed, differs in context.reports:
        assert found == expected, (found, expected)
        assert has_changed or not differs
    assert sum(not found for found, *_ in context.reports) > 10
    assert sum(len(found) == 2 for found, *_ in context.reports) > 10
