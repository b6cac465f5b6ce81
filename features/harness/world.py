"""Simulated agents and claims for request state machines, with faults."""

import dataclasses

from jasperweir import result_codes
from jasperweir.components.claims import const as claim_const
from jasperweir.components.claims import messages as claim_messages
from jasperweir.components.limits import const as limits_const
from jasperweir.components.limits import retry
from jasperweir.components.request import actions
from jasperweir.components.request import events
from jasperweir.components.request import state_machine as state_machine_lib
from jasperweir.components.runs import run_table as run_table_lib

Outcome = result_codes.Outcome
NETWORK = ("unsent", "lost request", "lost answer", "restart before",
           "restart after", "leaving", "full", "deadline", "caller leaves",
           "entry dies")  # fmt: skip
FAULTS = {
    actions.Pick: ("no target", "deadline", "entry dies"),
    actions.Reserve: NETWORK,
    actions.Claim: ("blind", "lost grant", "deadline", "entry dies"),
    actions.Run: NETWORK,
    actions.Attach: NETWORK,
    actions.Revoke: NETWORK,
    actions.Relay: ("break at once", "break", "run breaks", "restart after",
                    "deadline", "caller leaves", "entry dies"),
}  # fmt: skip


class Agent:
    """Simulated target with a real run table."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.inc = 1
        self.reset_table()

    def reset_table(self) -> None:
        self.table = run_table_lib.RunTable(capacity={"s": 4})
        self.table.ready = True

    def restart(self) -> None:
        self.inc += 1
        self.reset_table()


class World:
    """Executes the actions of request state machines and injects faults.

    Attributes:
        runs: Every run that a target actually started.
        faults: Fault to inject, by number of the action.
        injected: Faults that were injected.
        replies: Result code, outcome and number of runs of each reply.
    """

    def __init__(self, faults: dict[int, str]) -> None:
        self.agents = {n: Agent(n) for n in ("t1", "t2", "t3")}
        self.claims: dict[str, claim_messages.Record] = {}
        self.runs: list[str] = []
        self.faults = dict(faults)
        self.action_count = 0
        self.injected: list[str] = []
        self.log: list[str] = []
        self.replies: list[tuple[result_codes.Code, Outcome, int]] = []

    def request(self, rid: str, *, keyed: bool, first: bool) -> str:
        machine = state_machine_lib.RequestStateMachine(
            rid=rid,
            keyed=keyed,
            first=first,
            budget=retry.RetryBudget(tokens=limits_const.RETRY_BURST),
        )
        before = len(self.runs)
        self.offset = 0
        action = machine.handle(events.Admitted())
        for _ in range(60):
            if isinstance(action, actions.Answer):
                return self.record_reply(
                    action.code, action.vouched, before, keyed
                )
            if isinstance(action, actions.Finish):
                self.finish(machine)
                return self.record_reply(
                    result_codes.Code.OK, True, before, keyed
                )
            if isinstance(action, actions.Replay):
                code = result_codes.Code.REPLAYED
                return self.record_reply(code, True, before, keyed)
            step = machine.step.value
            event = self.execute(action, machine, keyed)
            if event is None:
                return "entry died"
            self.log.append(f"{step}: {_show(action)} -> {_show(event)}")
            action = machine.handle(event)
        raise AssertionError(f"no end: {self.log}")

    def record_reply(self, code, vouched, before, keyed) -> str:
        outcome = result_codes.TABLE[code].outcome
        if outcome == Outcome.NOT_RUN and not vouched:
            outcome = Outcome.UNKNOWN
        # The outcome covers all runs of a key, or of the request without one.
        ran = len(self.runs) - (0 if keyed else before)
        self.log.append(f"told: {code.name} {outcome}, runs {ran}")
        self.replies.append((code, outcome, ran))
        if outcome == Outcome.NOT_RUN:
            assert ran == 0, self.log
        if outcome == Outcome.COMPLETED:
            assert ran >= 1, self.log
        if keyed:
            assert len(self.runs) <= 1, self.log
        return str(outcome)

    def execute(self, action, machine, keyed):
        fault = self.faults.get(self.action_count, "")
        self.action_count += 1
        if fault and fault in FAULTS[type(action)]:
            self.injected.append(fault)
        else:
            fault = ""
        match fault:
            case "deadline":
                return events.Expired()
            case "caller leaves":
                return events.CallerLeft()
            case "entry dies":
                return None
        match action:
            case actions.Pick():
                return self.pick(action, fault)
            case actions.Claim():
                return self.claim(action, machine, fault)
            case actions.Relay():
                return self.relay(machine, fault)
        return self.network(action, machine, keyed, fault)

    def pick(self, action, fault):
        fit = [a for n, a in self.agents.items() if n not in action.exclude]
        if not fit or fault == "no target":
            return events.NoTarget()
        self.picked = fit[0]
        return events.Picked(name=fit[0].name, inc=fit[0].inc, http=fit[0].name)

    def claim(self, action, machine, fault):
        if fault == "blind":
            return events.Claimed(verdict=claim_const.BLIND, record=None)
        known = self.claims.get("key")
        mine = claim_messages.Record(
            key="key",
            digest=1,
            rid=action.rid,
            target=machine.target.name,
            target_inc=machine.target.inc,
            http=machine.target.http,
            version=action.expect + 1,
        )
        version = known.version if known else 0
        if version != action.expect:
            return events.Claimed(verdict=claim_const.HELD, record=known)
        self.claims["key"] = mine
        if fault == "lost grant":
            return events.Claimed(verdict=claim_const.BLIND, record=None)
        return events.Claimed(verdict=claim_const.GRANTED, record=mine)

    def network(self, action, machine, keyed, fault):
        if isinstance(action, actions.Attach | actions.Revoke):
            agent = self.agents[action.target]
            inc = action.target_inc
        else:
            agent, inc = self.agents[machine.target.name], machine.target.inc
        match fault:
            case "unsent":
                return events.Unsent()
            case "lost request":
                return events.Broke(relayed=self.offset)
            case "restart before":
                agent.restart()
            case "leaving":
                agent.table.draining = True
            case "full":
                agent.table.set_capacity("s", 0)
        if agent.inc != inc:
            return events.OtherIncarnation()
        event = self.perform(action, agent)
        if fault == "restart after":
            agent.restart()
        if fault in ("restart after", "lost answer"):
            return events.Broke(relayed=self.offset)
        return event

    def perform(self, action, agent):
        table = agent.table
        match action:
            case actions.Reserve():
                verdict = table.reserve(action.rid, "s", 0.0)
                if isinstance(verdict, run_table_lib.Refused):
                    return events.Refused(reason=verdict.reason)
                return events.Reserved()
            case actions.Run():
                verdict = table.start(
                    action.rid, "s", 0.0, reserved=action.reserved
                )
                match verdict:
                    case run_table_lib.Refused():
                        return events.Refused(reason=verdict.reason)
                    case run_table_lib.Start():
                        self.runs.append(f"{agent.name}:{action.rid}")
                return events.Head()
            case actions.Revoke():
                verdict = table.revoke(action.rid, "s", 0.0)
                if isinstance(verdict, run_table_lib.Refused):
                    return events.Refused(reason=verdict.reason)
                return events.Exists()
            case actions.Attach():
                run = table.get(action.rid)
                if run is None or run.state in (
                    run_table_lib.State.RESERVED,
                    run_table_lib.State.REVOKED,
                ):
                    return events.Unknown()
                if run.state == run_table_lib.State.BROKEN:
                    return events.Broke(relayed=self.offset, ended=True)
                return events.Head()
        raise AssertionError(action)

    def relay(self, machine, fault):
        held = machine.record
        name = held.target if held else machine.target.name
        agent = self.agents[name]
        match fault:
            case "break at once":
                return events.Broke(relayed=self.offset)
            case "break":
                self.offset += 5
                return events.Broke(relayed=self.offset)
            case "restart after":
                agent.restart()
                return events.Broke(relayed=self.offset)
            case "run breaks":
                agent.table.finish(machine.run_rid, 0.0, whole=False)
                return events.Broke(relayed=self.offset, ended=True)
        agent.table.finish(machine.run_rid, 0.0, whole=True)
        return events.Whole()

    def finish(self, machine) -> None:
        if machine.record is not None and machine.record.rid == machine.rid:
            self.claims["key"] = machine.record._replace(
                state=claim_const.STATE_FINISHED,
                answer=b"whole",
                version=machine.record.version + 1,
            )


def _show(value) -> str:
    """Return a short text of an action or event for the golden files."""
    fields = [
        f"{f.name}={getattr(value, f.name)!r}"
        for f in dataclasses.fields(value)
        if f.name not in ("record", "http", "target_inc")
    ]
    return f"{type(value).__name__}({', '.join(fields)})"
