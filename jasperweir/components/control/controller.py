"""Sans-I/O core of a control VM: log, registry, membership and rolls."""

from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir import result_codes
from jasperweir.components.config import const as config_const
from jasperweir.components.control import appointments
from jasperweir.components.control import const
from jasperweir.components.control import messages
from jasperweir.components.control import rollout as rollout_lib
from jasperweir.components.control import view_planner
from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import gossip as gossip_lib
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.helpers import codec

Actions = list[Any]
Code = result_codes.Code


class OperationApplied(NamedTuple):
    """Action: an operation was applied; answer its operator."""

    op_id: str
    answer: ops.Answer


class Controller:
    """Applies committed operations and proposes those the leader must make.

    Attributes:
        voter: Member of the replicated log.
        machine: State machine with the committed operations.
        gossip: Membership and replication of the configuration.
        reports: Newest heartbeat by node name.
    """

    def __init__(
        self,
        *,
        voter: voter_lib.Voter,
        gossip: gossip_lib.Gossip,
        machine: state_machine_lib.StateMachine,
        address: str,
    ) -> None:
        self.voter = voter
        self.machine = machine
        self.gossip = gossip
        self.reports: dict[str, rollout_lib.HeartbeatReport] = {}
        self._address = address
        self._rollout = rollout_lib.Rollout()
        self._view_planner = view_planner.ViewPlanner()
        self._next_hello_at = 0.0
        self._automatic_op_index = 0
        # Membership version and revision for which no operation was due.
        self._settled_state = (-1, -1)
        self._automatic_op_count = 0
        if voter.snapshot.idx:
            machine.load(voter.snapshot.data)
        self._set_log_id()

    # Inputs.

    def tick(self, now: float, wall: float) -> Actions:
        """Run all timers.

        Args:
            now: Monotonic seconds.
            wall: Seconds since the Unix epoch.
        """
        out = self._process_actions(self.voter.tick(now))
        out += self.gossip.tick(now)
        if self.voter.has_lease(now):
            out += self._propose_automatic_op(now, wall)
        if not self.voter.is_voting and now >= self._next_hello_at:
            self._next_hello_at = now + quorum_const.HELLO_SECONDS
            out += self._request_seat()
        return out + self._compact()

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another process."""
        match msg:
            case messages.Heartbeat():
                return self._on_heartbeat(src, msg, now)
            case messages.MinRevisionRequest():
                return [
                    core.Send(
                        dst=src, msg=self._make_min_revision_reply(msg, now)
                    )
                ]
        if type(msg).__module__ == quorum_messages.__name__:
            return self._process_actions(self.voter.receive(src, msg, now))
        return self.gossip.receive(src, msg, now)

    def propose(
        self, req: ops.Request, now: float
    ) -> tuple[result_codes.Code | ops.Answer, Actions]:
        """Propose an operation.

        Returns:
            The recorded answer if the operation ID is known, ACCEPTED if the
            operation is in the log but not yet committed, or NOT_LEADER.
        """
        recorded = self.machine.find_answer(req)
        if recorded is not None:
            return recorded, []
        index, out = self.voter.propose(codec.pack(req), now)
        if not index:
            return Code.NOT_LEADER, []
        return Code.ACCEPTED, self._process_actions(out)

    def add_seat(self, name: str, now: float) -> tuple[Code, Actions]:
        """Give a process that requested it a seat, first as a learner."""
        hello = self.voter.seat_requests.get(name)
        if hello is None:
            return Code.NOT_FOUND, []
        held = self.voter.find_seat(name)
        if held is not None and held.disk == hello.disk:
            return Code.ACCEPTED, []
        if held is not None:
            # The seat of the old disk must be removed first.
            return Code.SEATS_BUSY, []
        seat = quorum_messages.Seat(
            name=name, disk=hello.disk, addr=hello.addr, voting=False
        )
        held_seats = self.voter.seats
        seats = held_seats._replace(seats=(*held_seats.seats, seat))
        return self._change_seats(seats, now)

    def remove_seat(self, name: str, now: float) -> tuple[Code, Actions]:
        """Remove a seat."""
        if self.voter.find_seat(name) is None:
            return Code.ACCEPTED, []
        seats = self.voter.seats._replace(
            seats=tuple(s for s in self.voter.seats.seats if s.name != name)
        )
        return self._change_seats(seats, now)

    def _change_seats(
        self, seats: quorum_messages.Seats, now: float
    ) -> tuple[Code, Actions]:
        if not self.voter.has_lease(now):
            return Code.NOT_LEADER, []
        index, out = self.voter.change_seats(seats, now)
        if not index:
            return Code.SEATS_BUSY, []
        return Code.ACCEPTED, self._process_actions(out)

    # Committed entries.

    def _process_actions(self, acts: Actions) -> Actions:
        """Apply commits to the registry and return the other actions."""
        out: Actions = []
        for act in acts:
            match act:
                case actions.Commit():
                    out += self._apply(act.entries)
                case actions.Restore():
                    self.machine.load(act.snapshot.data)
                    self._set_log_id()
                case _:
                    out.append(act)
        return out

    def _apply(self, entries: tuple[quorum_messages.Entry, ...]) -> Actions:
        out: Actions = []
        for entry in entries:
            if entry.kind != quorum_const.KIND_OP:
                self.machine.skip(entry.idx)
                self._set_log_id()
                continue
            answer = self.machine.apply(entry.idx, entry.data)
            op_id = codec.unpack(entry.data, ops.Request).op_id
            out.append(OperationApplied(op_id=op_id, answer=answer))
        return out

    def _set_log_id(self) -> None:
        self.machine.table.log_id = self.voter.seats.log_id

    def _compact(self) -> Actions:
        if len(self.voter.log) < const.COMPACT_ENTRIES:
            return []
        applied = self.machine.table.revision
        return self.voter.compact(applied, self.machine.dump())

    # Nodes.

    def _on_heartbeat(
        self, src: str, msg: messages.Heartbeat, now: float
    ) -> Actions:
        self.reports[src] = rollout_lib.HeartbeatReport(
            heartbeat=msg, received_at=now
        )
        leader = self.voter.leader
        ack = messages.HeartbeatAck(
            beat_id=msg.beat_id,
            confirmed=self.voter.read_index(now) is not None,
            every_s=self.heartbeat_interval_s(),
            epoch=self.machine.view().epoch,
            leader=leader,
            leader_addr=self._leader_address(),
            revision=self.machine.table.revision,
        )
        out: Actions = [core.Send(dst=src, msg=ack)]
        if msg.revision < self.machine.table.revision:
            delta = self.machine.table.delta(msg.revision)
            out.append(core.Send(dst=src, msg=delta))
        return out

    def _make_min_revision_reply(
        self, msg: messages.MinRevisionRequest, now: float
    ) -> messages.MinRevisionReply:
        index = self.voter.read_index(now)
        return messages.MinRevisionReply(
            nonce=msg.nonce,
            confirmed=index is not None,
            revision=index or 0,
            leader=self.voter.leader,
            leader_addr=self._leader_address(),
        )

    def _leader_address(self) -> str:
        seat = self.voter.find_seat(self.voter.leader)
        return seat.addr if seat else ""

    def _request_seat(self) -> Actions:
        msg = quorum_messages.Hello(disk=self.voter.disk, addr=self._address)
        own = self.gossip.roster.own.name
        return [
            core.Send(dst=m.name, msg=msg)
            for m in self.gossip.roster.live_members(member_const.KIND_CONTROL)
            if m.name != own
        ]

    # Operations that the leader proposes.

    def _propose_automatic_op(self, now: float, wall: float) -> Actions:
        if self.voter.read_index(now) is None:
            return []
        if self._automatic_op_index > self.machine.table.revision:
            # The last automatic operation is still uncommitted.
            return []
        op = self._next_op(now)
        if op is None:
            return []
        self._automatic_op_count += 1
        req = ops.Request(
            op_id=f"auto/{self.voter.term}/{self._automatic_op_count}/{self.voter.name}",
            who=f"{const.CONTROL_OPERATOR}/{self.voter.name}",
            at=wall,
            body=codec.pack_tagged(op),
        )
        index, out = self.voter.propose(codec.pack(req), now)
        self._automatic_op_index = index
        return self._process_actions(out)

    def _next_op(self, now: float) -> Any:
        member_op = self._next_member_op(now)
        if member_op is not None:
            return member_op
        state = self.machine.roll()
        if state is None or state.halted or not state.pending:
            self._rollout.reset()
            return None
        return self._rollout.next_op(
            state=state,
            revisions=self._place_revisions(),
            nodes=self.nodes_by_place(),
            reports=self._recent_reports(now),
            now=now,
        )

    def _next_member_op(self, now: float) -> Any:
        """Return the operation due after a membership change, or None."""
        roster = self.gossip.roster
        key = (roster.version, self.machine.table.revision)
        if (
            key == self._settled_state
            and not self._view_planner.has_pending_change
        ):
            return None
        view_op = self._view_planner.next_op(
            view=self.machine.view(),
            roster=roster,
            reports=self.reports,
            now=now,
        )
        if view_op is not None:
            return view_op
        group_op = appointments.next_appointment(self.machine, roster)
        if group_op is None:
            self._settled_state = key
        return group_op

    def _recent_reports(
        self, now: float
    ) -> dict[str, rollout_lib.HeartbeatReport]:
        oldest = (
            now - const.HEARTBEATS_UNTIL_STALE * self.heartbeat_interval_s()
        )
        return {
            n: r for n, r in self.reports.items() if r.received_at >= oldest
        }

    def _place_revisions(self) -> dict[str, int]:
        table = self.machine.table
        prefix = config_const.PREFIX_PLACE
        return {
            key.removeprefix(prefix): table.revision_of(key)
            for key in table.keys(prefix)
        }

    def heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval of each node in seconds."""
        count = len(self.gossip.roster.live_members(member_const.KIND_ENTRY))
        return max(const.HEARTBEAT_SECONDS, count / const.HEARTBEATS_PER_SECOND)

    def nodes_by_place(self) -> dict[str, list[str]]:
        """Return the names of live entries by data centre."""
        nodes: dict[str, list[str]] = {}
        for m in self.gossip.roster.live_members(member_const.KIND_ENTRY):
            nodes.setdefault(m.place, []).append(m.name)
        return nodes
