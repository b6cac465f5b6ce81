"""Steps for the run table of an agent."""

from behave import then

from jasperweir.components.runs import const
from jasperweir.components.runs import run_table as run_table_lib

State = run_table_lib.State


def create_table(limit=2):
    table = run_table_lib.RunTable(capacity={"s": limit})
    table.ready = True
    return table


def check_reservation_needed():
    verdict = create_table().start("a", "s", 0.0, reserved=True)
    assert verdict == run_table_lib.Refused(const.REFUSED_RESERVATION)


def check_reservation_expiry():
    table = create_table()
    table.reserve("a", "s", 0.0)
    late = const.RESERVATION_SECONDS + 1
    verdict = table.start("a", "s", late, reserved=True)
    assert isinstance(verdict, run_table_lib.Refused), verdict
    assert table.active() == 0


def check_revocation():
    table = create_table()
    table.reserve("a", "s", 0.0)
    table.revoke("a", "s", 0.0)
    for rid in ("a", "never-seen"):
        table.revoke(rid, "s", 0.0)
        verdict = table.start(rid, "s", 0.0, reserved=False)
        assert verdict == run_table_lib.Refused(const.REFUSED_REVOKED), verdict


def check_single_start():
    table = create_table()
    assert table.start("a", "s", 0.0, reserved=False) == run_table_lib.Start()
    again = table.start("a", "s", 0.0, reserved=False)
    assert again == run_table_lib.Attach(State.RUNNING)
    assert table.revoke("a", "s", 0.0) == run_table_lib.Attach(State.RUNNING)
    table.finish("a", 0.0, whole=True)
    done = table.start("a", "s", 0.0, reserved=False)
    assert done == run_table_lib.Attach(State.DONE)


def check_draining():
    table = create_table()
    table.reserve("a", "s", 0.0)
    table.draining = True
    new = table.start("b", "s", 0.0, reserved=False)
    assert new == run_table_lib.Refused(const.REFUSED_LEAVING)
    # An earlier reservation may still start.
    assert table.start("a", "s", 0.0, reserved=True) == run_table_lib.Start()


def check_full_agent():
    table = create_table(1)
    table.start("a", "s", 0.0, reserved=False)
    verdict = table.start("b", "s", 0.0, reserved=False)
    assert verdict == run_table_lib.Refused(const.REFUSED_FULL)
    wrong = table.start("c", "other", 0.0, reserved=False)
    assert wrong == run_table_lib.Refused(const.REFUSED_SERVICE)


def check_slots_freed():
    table = create_table(1)
    table.reserve("a", "s", 0.0)
    table.expire(const.RESERVATION_SECONDS + 1)
    assert table.active() == 0
    table.start("b", "s", 50.0, reserved=False)
    table.finish("b", 51.0, whole=False)
    assert table.active() == 0 and table.get("b").state == State.BROKEN


def check_orphaned_run():
    table = create_table()
    table.start("a", "s", 0.0, reserved=False)
    table.add_reader("a")
    table.remove_reader("a", 1.0)
    assert table.orphaned_runs(1.0 + const.ORPHAN_TIMEOUT_SECONDS - 0.1) == []
    assert table.orphaned_runs(1.0 + const.ORPHAN_TIMEOUT_SECONDS) == ["a"]
    table.add_reader("a")
    assert table.orphaned_runs(100.0) == []
    # A keyed run continues, since its request may be resent.
    table.reserve("k", "s", 0.0)
    table.start("k", "s", 0.0, reserved=True)
    table.add_reader("k")
    table.remove_reader("k", 1.0)
    assert table.orphaned_runs(100.0) == []


def check_answer_retention():
    table = create_table()
    table.start("a", "s", 0.0, reserved=False)
    table.finish("a", 0.0, whole=True)
    table.reserve("k", "s", 0.0)
    table.start("k", "s", 0.0, reserved=True)
    table.finish("k", 0.0, whole=True)
    assert table.expire(const.RESUMABLE_SECONDS) == ["a"]
    assert table.get("k").state == State.DONE
    assert table.expire(const.RETENTION_SECONDS) == ["k"]


RUN_RULES = {
    "a keyed request needs a reservation": check_reservation_needed,
    "a reservation expires": check_reservation_expiry,
    "a revoked id never starts": check_revocation,
    "a started id is attached to, not run again": check_single_start,
    "a draining agent accepts no new runs": check_draining,
    "a full agent refuses": check_full_agent,
    "slots are freed": check_slots_freed,
    "a run without readers is orphaned": check_orphaned_run,
    "old answers are dropped": check_answer_retention,
}


@then("this rule of runs holds: {rule}")
def check_run_rule(context, rule):
    RUN_RULES[rule]()
