"""Steps on the agent's run table."""

from behave import then

from jasperweir.components.runs import const
from jasperweir.components.runs import table as table_lib

State = table_lib.State


def fresh(limit=2):
    table = table_lib.Table(capacity={"s": limit})
    table.ready = True
    return table


def needs_reservation():
    verdict = fresh().start("a", "s", 0.0, reserved=True)
    assert verdict == table_lib.Refused(const.REFUSED_RESERVATION)


def reservation_ends():
    table = fresh()
    table.reserve("a", "s", 0.0)
    late = const.RESERVE_SECONDS + 1
    verdict = table.start("a", "s", late, reserved=True)
    assert isinstance(verdict, table_lib.Refused), verdict
    assert table.active() == 0


def revoked():
    table = fresh()
    table.reserve("a", "s", 0.0)
    table.revoke("a", "s", 0.0)
    for rid in ("a", "never-seen"):
        table.revoke(rid, "s", 0.0)
        verdict = table.start(rid, "s", 0.0, reserved=False)
        assert verdict == table_lib.Refused(const.REFUSED_REVOKED), verdict


def joined():
    table = fresh()
    assert table.start("a", "s", 0.0, reserved=False) == table_lib.Start()
    again = table.start("a", "s", 0.0, reserved=False)
    assert again == table_lib.Attach(State.RUNNING)
    assert table.revoke("a", "s", 0.0) == table_lib.Attach(State.RUNNING)
    table.finished("a", 0.0, whole=True)
    done = table.start("a", "s", 0.0, reserved=False)
    assert done == table_lib.Attach(State.DONE)


def leaving():
    table = fresh()
    table.reserve("a", "s", 0.0)
    table.leaving = True
    new = table.start("b", "s", 0.0, reserved=False)
    assert new == table_lib.Refused(const.REFUSED_LEAVING)
    # What was reserved before may still run.
    assert table.start("a", "s", 0.0, reserved=True) == table_lib.Start()


def full():
    table = fresh(1)
    table.start("a", "s", 0.0, reserved=False)
    verdict = table.start("b", "s", 0.0, reserved=False)
    assert verdict == table_lib.Refused(const.REFUSED_FULL)
    wrong = table.start("c", "other", 0.0, reserved=False)
    assert wrong == table_lib.Refused(const.REFUSED_SERVICE)


def slots_back():
    table = fresh(1)
    table.reserve("a", "s", 0.0)
    table.expire(const.RESERVE_SECONDS + 1)
    assert table.active() == 0
    table.start("b", "s", 50.0, reserved=False)
    table.finished("b", 51.0, whole=False)
    assert table.active() == 0 and table.get("b").state == State.BROKEN


def orphan():
    table = fresh()
    table.start("a", "s", 0.0, reserved=False)
    table.joined("a")
    table.parted("a", 1.0)
    assert table.orphans(1.0 + const.ORPHAN_SECONDS - 0.1) == []
    assert table.orphans(1.0 + const.ORPHAN_SECONDS) == ["a"]
    table.joined("a")
    assert table.orphans(100.0) == []
    # The answer of a keyed run is wanted by its caller's resend.
    table.reserve("k", "s", 0.0)
    table.start("k", "s", 0.0, reserved=True)
    table.joined("k")
    table.parted("k", 1.0)
    assert table.orphans(100.0) == []


def forgotten():
    table = fresh()
    table.start("a", "s", 0.0, reserved=False)
    table.finished("a", 0.0, whole=True)
    table.reserve("k", "s", 0.0)
    table.start("k", "s", 0.0, reserved=True)
    table.finished("k", 0.0, whole=True)
    assert table.expire(const.RESUME_SECONDS) == ["a"]
    assert table.get("k").state == State.DONE
    assert table.expire(const.KEPT_SECONDS) == ["k"]


GUARDS = {
    "a keyed request needs a reservation": needs_reservation,
    "a reservation ends": reservation_ends,
    "a revoked id never starts": revoked,
    "a started id is joined, not run again": joined,
    "a leaving agent takes nothing new": leaving,
    "a full agent refuses": full,
    "slots come back": slots_back,
    "a run nobody reads is an orphan": orphan,
    "old answers are forgotten": forgotten,
}


@then("the run table holds: {guard}")
def run_guard(context, guard):
    GUARDS[guard]()
