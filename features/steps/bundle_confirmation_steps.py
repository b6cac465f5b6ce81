"""Steps on bundles of the own interface that may be outdated."""

import random

from behave import given
from behave import then
from behave import when

from jasperweir import result_codes
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.control import client as client_lib
from jasperweir.components.control import messages
from jasperweir.components.entry import bundle_gate

INTERVAL_SECONDS = 5.0
TICK_SECONDS = 0.1
Standing = tracker_lib.Standing


class Entry:
    """The client of an entry, and what the control VMs answer."""

    def __init__(self):
        self.client = client_lib.ControlClient(
            voters=("c1", "c2"), rng=random.Random(1)
        )
        self.now = 100.0
        self.held = 9

    def ask_min_revision(self, *, confirmed):
        for act in self.client.request_min_revision(self.now):
            reply = messages.MinRevisionReply(
                nonce=act.msg.nonce,
                confirmed=confirmed,
                revision=9 if confirmed else 0,
                leader="c1",
                leader_addr="x",
            )
            self.client.on_min_revision(reply, self.now)

    def beat(self):
        """Return the heartbeats that are due."""
        return [
            act.msg
            for act in self.client.send_heartbeat(
                inc=1, place="p", revision=self.held, ready_epoch=1, burn=0.0,
                now=self.now,
            )
        ]  # fmt: skip

    def answer(self, beat, *, confirmed, revision):
        ack = messages.HeartbeatAck(
            beat.beat_id, confirmed, INTERVAL_SECONDS, 1, "c1", "x", revision
        )
        self.client.on_ack(ack, self.now)

    def run(self, until, *, answers=True, confirmed=True, revision=9):
        while self.now < until:
            self.now = round(self.now + TICK_SECONDS, 3)
            for beat in self.beat():
                if answers:
                    self.answer(beat, confirmed=confirmed, revision=revision)

    def get_standing(self):
        if self.client.min_revision is None:
            return Standing.UNKNOWN
        return self.client.confirmations.standing(self.now)

    def sleep(self, seconds):
        self.now += seconds


@given(
    "an entry of the own interface with revision 9, confirmed at {start:g} s"
)
def step_entry(context, start):
    context.entry = entry = Entry()
    entry.now = start
    entry.ask_min_revision(confirmed=True)
    entry.beat()


@when("the entry {heard} until {until:g} s")
def step_hears(context, heard, until):
    entry = context.entry
    match heard:
        case "hears the leader":
            entry.run(until)
        case "asks in vain":
            entry.run(until, answers=False)
        case "hears of revision 10":
            entry.run(until, confirmed=False, revision=10)
        case "hears of revision 10 and gets it":
            entry.held = 10
            entry.run(until, revision=10)
        case "is suspended":
            entry.now = until
        case "is suspended and hears the leader":
            entry.now = until - 0.5
            entry.run(until)
        case "is suspended and asks in vain":
            entry.now = until - 0.5
            entry.run(until, answers=False)
        case _:
            raise ValueError(heard)


@when("an acknowledgement of its heartbeat of {sent:g} s arrives at {at:g} s")
def step_late_answer(context, sent, at):
    entry = context.entry
    beats = []
    while not beats:
        entry.now = round(entry.now + TICK_SECONDS, 3)
        beats = entry.beat()
    assert entry.now == sent, entry.now
    entry.now = at
    entry.answer(beats[-1], confirmed=True, revision=9)


@then("its revision was known to be the newest at {at:g} s")
def step_as_of(context, at):
    confirmations = context.entry.client.confirmations
    assert confirmations.latest.as_of == at, confirmations.latest
    standing = confirmations.standing(context.entry.now)
    assert standing is not Standing.CURRENT, standing


@when("it starts again and hears only a control VM that does not lead")
def step_starts(context):
    context.entry = entry = Entry()
    entry.now = 196.0
    entry.ask_min_revision(confirmed=False)
    entry.run(200.0, confirmed=False)


@then("a request to the own interface at {at:g} s is {outcome}")
def step_outcome(context, at, outcome):
    entry = context.entry
    gate = bundle_gate.BundleGate(
        get_standing=entry.get_standing,
        now=lambda: entry.now,
        sleep=entry.sleep,
    )
    code = gate.check()
    expected = None
    if not outcome.startswith("served"):
        expected = result_codes.Code[outcome.split()[0].upper()]
    assert code is expected, code
    waited_s = entry.now - at
    if outcome.endswith("after a wait"):
        assert 0 < waited_s <= bundle_gate.HELD_SECONDS + 0.1, waited_s
    else:
        assert waited_s < 0.05, waited_s
