"""Sans-I/O core of a control VM: configurations, seats and discovery."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir import exceptions
from jasperweir.components.configctl import bootstrap_election as bootstrap_lib
from jasperweir.components.configctl import const
from jasperweir.components.configctl import departures as departures_lib
from jasperweir.components.configctl import discovery_server
from jasperweir.components.configctl import entry_check
from jasperweir.components.configctl import evacuations as evacuations_lib
from jasperweir.components.configctl import leader_requests as requests_lib
from jasperweir.components.configctl import log_view
from jasperweir.components.configctl import messages
from jasperweir.components.configctl import orders as orders_lib
from jasperweir.components.configctl import replies
from jasperweir.components.configctl import seat_manager
from jasperweir.components.configctl import version_ages
from jasperweir.components.configctl import version_reports
from jasperweir.components.confirmation import lease_book
from jasperweir.components.confirmation import messages as confirmation_messages
from jasperweir.components.directory import records
from jasperweir.components.quorum import actions
from jasperweir.components.quorum import const as quorum_const
from jasperweir.components.quorum import messages as quorum_messages
from jasperweir.components.quorum import voter as voter_lib
from jasperweir.components.registry import ops
from jasperweir.components.registry import state_machine as state_machine_lib
from jasperweir.helpers import codec

Actions = list[Any]


class SoftStateUnreadable(NamedTuple):
    """Action: log that the stored soft state could not be read."""

    reason: str


class ConfigNode:
    """Control VM: replicates configurations and serves discovery.

    Attributes:
        name: Name of this control VM.
        voter: Member of the replicated log.
        machine: State machine with the committed operations.
        discovery: Targets, entries, agents and other control VMs.
        version_reports: Reports of entries about outdated requests.
        orders: Orders of operators, and who may act on older versions.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        voter: voter_lib.Voter,
        seeds: tuple[str, ...],
        wanted_seats: int,
        has_disk: bool = True,
        first_number: int = 1,
        wall: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Initialize from the voter's recovered state.

        Args:
            name: Name of this control VM.
            place: Its data centre.
            voter: Member of the replicated log.
            seeds: Control VMs to connect to first.
            wanted_seats: Wanted number of voters.
            has_disk: Whether it stores the log on a disk.
            first_number: Number of the first request. It must differ from
                start to start: a reply to a request from before a restart
                would otherwise acknowledge another order.
            wall: Returns the seconds since the Unix epoch.
        """
        self.name = name
        self.voter = voter
        self.machine = state_machine_lib.StateMachine()
        voter.wanted_voters = wanted_seats
        # Without a disk it holds no seat and forwards requests to the leader.
        self._has_disk = has_disk
        self._bootstrap_election: bootstrap_lib.BootstrapElection | None = None
        others = tuple(seed for seed in seeds if seed != name)
        self._request_numbers = itertools.count(first_number)
        self._leases = lease_book.LeaseBook(now=voter.started_at)
        self.discovery = discovery_server.DiscoveryServer(
            name=name,
            leases=self._leases,
            place=place,
            seeds=others,
            numbers=self._request_numbers,
            keeps_log=has_disk,
        )
        self._seats = seat_manager.SeatManager(
            voter=voter,
            discovery=self.discovery,
            seeds=seeds,
            wanted=wanted_seats,
        )
        self.orders = orders_lib.Orders(
            name=name,
            voter=voter,
            machine=self.machine,
            discovery=self.discovery,
            leases=self._leases,
        )
        self._evacuations = evacuations_lib.Evacuations(machine=self.machine)
        self._departures = departures_lib.Departures(
            machine=self.machine, wall=wall
        )
        self._requests = requests_lib.LeaderRequests()
        self._waiters: dict[str, list[requests_lib.Waiter]] = {}
        # One message for all nodes, so that a large one is encoded once.
        self._content: messages.Content | None = None
        self._version_ages = version_ages.VersionAges()
        # When it last had all that a leader had committed.
        self._caught_up_at = float("-inf")
        self._entry_check = entry_check.EntryCheck(
            ages=self._version_ages, history=self.orders.history
        )
        self.version_reports = version_reports.VersionReports()
        self._next_hello_at = 0.0
        # Numbers to repeat in requests for a seat, by receiver.
        self._hello_echoes: dict[str, int] = {}
        if voter.snapshot.idx:
            self.machine.load(voter.snapshot.data)
            self.orders.on_restored()
            self._evacuations.refresh()

    # Requests of operators.

    def replace(
        self, version: int, data: bytes, now: float
    ) -> discovery_server.StartedRequest:
        """Start to commit a configuration; ends in Replaced or Unconfirmed."""
        number = next(self._request_numbers)
        request = messages.ReplaceRequest(
            number=number, version=version, data=data
        )
        return self._start_request(number, request, now)

    def describe(self, now: float) -> discovery_server.StartedRequest:
        """Start to read the newest one; ends in Described or Unconfirmed."""
        number = next(self._request_numbers)
        held = self.machine.declared().version
        return self._start_request(
            number, messages.ReadRequest(number=number, held=held), now
        )

    def evacuate(
        self, place: str, *, evacuated: bool, now: float
    ) -> discovery_server.StartedRequest:
        """Start an evacuation order; ends in Evacuated or Unconfirmed."""
        number = next(self._request_numbers)
        request = messages.EvacuateRequest(
            number=number,
            place=place,
            evacuated=evacuated,
            expected=self.machine.evacuation(place).orders,
        )
        return self._start_request(number, request, now)

    def abandon(self, number: int) -> None:
        """End a request whose caller is gone, so that it is not retried."""
        self._requests.abandon(number)

    # Calls of targets.

    def announce(
        self, target: records.Target, now: float
    ) -> discovery_server.StartedRequest:
        """Handle a target's heartbeat; ends in Acknowledged or Unconfirmed."""
        if target.presence is records.Presence.READY:
            return self.discovery.announce(target, now)
        departing = self.discovery.announce_leaving(target, now)
        return self._start_departure(departing, now)

    def deregister(
        self, target_id: str, now: float, born: int = 0
    ) -> discovery_server.StartedRequest:
        """Remove a target; ends in Acknowledged or Unconfirmed."""
        departing = self.discovery.deregister(target_id, now, born)
        return self._start_departure(departing, now)

    def _start_departure(
        self, departing: discovery_server.Departing, now: float
    ) -> discovery_server.StartedRequest:
        number = next(self._request_numbers)
        if not self.voter.is_short and self._departures.is_recorded(
            departing.target
        ):
            acknowledged = discovery_server.Acknowledged(number=number)
            return discovery_server.StartedRequest(
                number, [*departing.acts, acknowledged]
            )
        request = messages.DepartRequest(number=number, target=departing.target)
        started = self._start_request(number, request, now)
        return started._replace(acts=departing.acts + started.acts)

    # Inputs.

    def tick(self, now: float) -> Actions:
        """Run all timers."""
        self.voter.places = self.discovery.control_places()
        self._update_staleness()
        out = self._process_actions(self.voter.tick(now), now)
        out += self._update_seats(now)
        out += self._seats.take_report()
        out += self.orders.tick(now) + self._reply_orders(now)
        out += self._send_pending(now)
        out += self.discovery.tick(self._log_status(now), now)
        if self._bootstrap_election is not None:
            out += self._run_bootstrap_election(self._bootstrap_election, now)
        if self._has_disk and self._may_need_seat:
            out += self._request_seat(now)
        return out + self._compact()

    def receive(self, src: str, msg: Any, now: float) -> Actions:
        """Handle a message from another process."""
        match msg:
            case (
                messages.ReplaceRequest()
                | messages.ReadRequest()
                | messages.EvacuateRequest()
                | messages.DepartRequest()
            ):
                return self._on_request(src, msg, now)
            case (
                messages.ReplaceReply()
                | messages.ReadReply()
                | messages.EvacuateReply()
                | messages.DepartReply()
            ):
                return self._on_reply(msg)
            case messages.ContentRequest():
                return self._on_content_request(src, msg, now)
            case messages.OutdatedRequests():
                return self.version_reports.receive(
                    src, msg, self.discovery.peers()
                )
            case quorum_messages.Hello():
                self._seats.on_hello(src, msg, now)
                if self._bootstrap_election is not None:
                    self._bootstrap_election.on_applicant(src)
            case quorum_messages.SeatClaimCheck():
                if src in self.discovery.peers():
                    self._hello_echoes[src] = msg.nonce
                return []
            case messages.BootstrapRequest():
                return self._on_bootstrap_request()
            case confirmation_messages.LogQuery():
                return self._on_log_query(src, msg, now)
        if type(msg).__module__ == quorum_messages.__name__:
            out = self._process_actions(self.voter.receive(src, msg, now), now)
            if isinstance(msg, quorum_messages.Append):
                is_current = msg.term == self.voter.term
                if is_current and msg.commit <= self.voter.commit:
                    self._caught_up_at = now
            return out
        out = self._entry_check.receive(src, msg, now)
        out += self.discovery.receive(src, msg, self._log_status(now), now)
        out += self.orders.receive(src, msg, now) + self._reply_orders(now)
        return out

    def restore(
        self, commit_hint: int, soft_state: bytes, now: float
    ) -> Actions:
        """Restore the state from before a restart.

        Args:
            commit_hint: Index up to which the log was committed.
            soft_state: Result of ``soft_state``, or empty.
            now: Monotonic seconds.
        """
        out: Actions = []
        if soft_state:
            out += self._restore_soft_state(soft_state, now)
        out += self._announce_departures(now)
        return out + self._process_actions(
            self.voter.restore_commit(commit_hint), now
        )

    def _restore_soft_state(self, data: bytes, now: float) -> Actions:
        try:
            state = codec.unpack(data, messages.SoftState)
        except exceptions.FrameError as exc:
            # Another release stored it.
            return [SoftStateUnreadable(reason=str(exc))]
        self.discovery.restore(state.targets, now)
        return self.orders.records.restore(state.orders)

    def soft_state(self, now: float) -> bytes:
        """Return state that may be lost but helps after a restart."""
        return codec.pack(
            messages.SoftState(
                targets=self.discovery.soft_state(now),
                orders=self.orders.records.recent,
            )
        )

    def start_bootstrap(self, *, decides: bool, now: float) -> None:
        """Take part in bootstrapping the log at the system's first start.

        Args:
            decides: Whether this control VM chooses who bootstraps the log.
            now: Monotonic seconds.
        """
        self._bootstrap_election = bootstrap_lib.BootstrapElection(
            name=self.name, has_disk=self._has_disk, decides=decides, now=now
        )

    def _run_bootstrap_election(
        self, election: bootstrap_lib.BootstrapElection, now: float
    ) -> Actions:
        if not self._is_blank or self._leader(now).name:
            self._bootstrap_election = None
            return []
        founder = election.choose_founder(now)
        if not founder:
            return []
        if founder == self.name:
            return self._on_bootstrap_request()
        return [core.Send(dst=founder, msg=messages.BootstrapRequest())]

    def _on_bootstrap_request(self) -> Actions:
        """Bootstrap a new log with this disk as its only member."""
        if self._bootstrap_election is None or not self._is_blank:
            return []
        self._bootstrap_election = None
        return self.voter.bootstrap(self.name)

    @property
    def _is_blank(self) -> bool:
        return not self.voter.log.last_index and not self.voter.term

    @property
    def _may_need_seat(self) -> bool:
        """Whether it has no voting seat, or may have lost it.

        A member that was cut off is not notified when its seat is removed, so
        a member without a leader requests a seat too.
        """
        return not self.voter.is_voting or not self.voter.leader

    def _request_seat(self, now: float) -> Actions:
        if now < self._next_hello_at:
            return []
        self._next_hello_at = now + quorum_const.HELLO_SECONDS
        # A leader that has not noticed the loss may have passed its term on.
        hello = quorum_messages.Hello(
            disk=self.voter.disk,
            addr=self.name,
            blank=not self.voter.log.last_index,
        )
        return [
            core.Send(
                dst=name,
                msg=hello._replace(echo=self._hello_echoes.get(name, 0)),
            )
            for name in self.discovery.peers()
        ]

    def _leader(self, now: float) -> discovery_server.Leader:
        """Return the leader; without a disk, as other control VMs report it."""
        if self._has_disk:
            return discovery_server.Leader(self.voter.leader, self.voter.term)
        return self.discovery.reported_leader(now)

    def _log_status(self, now: float) -> discovery_server.LogStatus:
        leader = self._leader(now)
        return discovery_server.LogStatus(
            version=self.machine.declared().version,
            certain=self.voter.read_index(now) is not None,
            leader=leader.name,
            term=leader.term,
            seats=self.voter.seats,
            evacuations=self._evacuations.current,
        )

    def transfer_leadership(self, now: float) -> Actions:
        """Transfer leadership to another member before a planned stop."""
        return self._process_actions(self.voter.transfer_leadership(now), now)

    # Requests to the leader.

    def _start_request(
        self, number: int, request: requests_lib.Request, now: float
    ) -> discovery_server.StartedRequest:
        self._requests.add(number, request, now)
        return discovery_server.StartedRequest(number, self._send_pending(now))

    def _send_pending(self, now: float) -> Actions:
        out: Actions = self._requests.expire(now)
        leader = self._leader(now).name
        for request in self._requests.take_due(leader, now):
            if leader == self.name:
                out += self._on_request(self.name, request, now)
            else:
                out.append(core.Send(dst=leader, msg=request))
        return out

    def _on_request(
        self, src: str, request: requests_lib.Request, now: float
    ) -> Actions:
        """Handle a request of this or another control VM as the leader."""
        match request:
            case messages.ReplaceRequest():
                return self._on_replace_request(src, request, now)
            case messages.ReadRequest():
                return self._on_read_request(src, request, now)
            case messages.EvacuateRequest():
                return self._on_evacuate_request(src, request, now)
            case messages.DepartRequest():
                return self._on_depart_request(src, request, now)

    def _on_replace_request(
        self, src: str, msg: messages.ReplaceRequest, now: float
    ) -> Actions:
        if self.voter.read_index(now) is None:
            return []
        if msg.version <= self.machine.declared().version:
            if self.voter.is_short and not self.voter.is_commit_synced(now):
                return []
        elif not self._seats.has_enough(now):
            return []
        req = self.orders.add(src, msg, now)
        if req is None:
            return self._reply_orders(now)
        index, out = self.voter.propose(codec.pack(req), now)
        if not index:
            self.orders.end_proposal(req.op_id)
        return self._process_actions(out, now)

    def _reply_orders(self, now: float) -> Actions:
        out: Actions = []
        for dst, reply in self.orders.take_replies(now):
            out += self._send_reply(dst, reply)
        return out

    def _on_evacuate_request(
        self, src: str, msg: messages.EvacuateRequest, now: float
    ) -> Actions:
        """Propose an order, also one whose state holds, and reply on commit.

        A reply then always has the same conditions as that to a configuration.
        """
        if self.voter.read_index(now) is None:
            return []
        if not self._seats.has_enough(now):
            return []
        if not self._evacuations.start(src, msg):
            return []
        # Unique, so that an order is never taken for an earlier equal one.
        op_id = evacuations_lib.make_op_id(
            self.voter.term, self.voter.log.last_index + 1
        )
        req = ops.Request(
            op_id=op_id, who=src, at=0.0, body=evacuations_lib.make_body(msg)
        )
        waiter = requests_lib.Waiter(src=src, number=msg.number)
        self._waiters[op_id] = [waiter]
        index, out = self.voter.propose(codec.pack(req), now)
        if not index:
            del self._waiters[op_id]
            self._evacuations.finish(src, msg.number)
        return self._process_actions(out, now)

    def _on_depart_request(
        self, src: str, msg: messages.DepartRequest, now: float
    ) -> Actions:
        if self.voter.read_index(now) is None:
            return []
        if self._departures.is_recorded(msg.target):
            if self.voter.is_short and not self.voter.is_commit_synced(now):
                return []
            return self._send_reply(src, messages.DepartReply(msg.number))
        if not self._seats.has_enough(now):
            return []
        self._departures.add(src, msg)
        return self._propose_departures(now)

    def _propose_departures(self, now: float) -> Actions:
        """Propose the records that wait, unless an entry is on its way."""
        req = self._departures.next_proposal(
            self.voter.term, self.voter.log.last_index + 1
        )
        if req is None:
            return []
        index, out = self.voter.propose(codec.pack(req), now)
        if not index:
            self._departures.clear()
        return self._process_actions(out, now)

    def _on_read_request(
        self, src: str, msg: messages.ReadRequest, now: float
    ) -> Actions:
        if self.voter.read_index(now) is None:
            return []
        declared = self.machine.declared()
        if not declared.version:
            return []
        data = b"" if msg.held == declared.version else declared.data
        reply = messages.ReadReply(
            number=msg.number, version=declared.version, data=data
        )
        return self._send_reply(src, reply)

    def _send_reply(self, dst: str, reply: requests_lib.Reply) -> Actions:
        if dst == self.name:
            return self._on_reply(reply)
        return [core.Send(dst=dst, msg=reply)]

    def _on_reply(self, reply: requests_lib.Reply) -> Actions:
        out = self._requests.on_reply(reply, self.machine.declared())
        for act in list(out):
            if isinstance(act, requests_lib.Replaced):
                # Told to the others first: this VM may end at any moment.
                out = self.orders.acknowledge(act) + out
        return out

    # Committed entries.

    def _process_actions(self, acts: Actions, now: float) -> Actions:
        out: Actions = []
        for act in acts:
            match act:
                case actions.Commit():
                    out += self._apply(act.entries, now)
                case actions.Restore():
                    before = self.machine.declared().version
                    self.machine.load(act.snapshot.data)
                    self.orders.on_restored()
                    out += self._announce_version(
                        before, self._caught_up_at, now
                    )
                    out += self._announce_evacuations()
                    out += self._announce_departures(now)
                case actions.RoleChanged():
                    if act.role == voter_lib.LEADER:
                        self.orders.start_lead(now)
                    else:
                        self.orders.stop_lead()
                        self._waiters.clear()
                        self._evacuations.clear_started()
                        self._departures.clear()
                    out.append(act)
                case _:
                    out.append(act)
        return out

    def _earliest_commit(
        self, entries: tuple[quorum_messages.Entry, ...], now: float
    ) -> float:
        """Return since when entries that commit now may have been committed.

        Returns:
            Monotonic seconds; minus infinity if that is not known.
        """
        term = self.voter.term
        is_leader = self.voter.role == voter_lib.LEADER
        if is_leader and all(entry.term == term for entry in entries):
            return now
        return self._caught_up_at

    def _apply(
        self, entries: tuple[quorum_messages.Entry, ...], now: float
    ) -> Actions:
        out: Actions = []
        earliest = self._earliest_commit(entries, now)
        before = self.machine.declared().version
        for entry in entries:
            if entry.kind != quorum_const.KIND_OP:
                self.machine.skip(entry.idx)
                continue
            held = self.machine.declared().version
            answer = self.machine.apply(entry.idx, entry.data)
            self.orders.on_applied(held)
            op_id = codec.unpack(entry.data, ops.Request).op_id
            self.orders.end_proposal(op_id)
            for waiter in self._waiters.pop(op_id, ()):
                reply = replies.make_evacuate_reply(waiter.number, answer)
                self._evacuations.finish(waiter.src, waiter.number)
                out += self._send_reply(waiter.src, reply)
            for src, number in self._departures.finish(op_id):
                out += self._send_reply(src, messages.DepartReply(number))
        # Notify the nodes before the callers get their replies.
        notices = self._announce_version(before, earliest, now)
        notices += self._announce_evacuations()
        notices += self._announce_departures(now)
        out += self._reply_orders(now)
        return notices + out + self._propose_departures(now)

    def _announce_departures(self, now: float) -> Actions:
        out: Actions = []
        for target, age_s in self._departures.take_new():
            out += self.discovery.on_departed(target, age_s, now)
        return out

    def _announce_evacuations(self) -> Actions:
        return self._evacuations.announce(self.discovery.nodes.entry_names())

    def _announce_version(
        self, before: int, earliest: float, now: float
    ) -> Actions:
        version = self.machine.declared().version
        if version <= before:
            return []
        self._version_ages.on_committed(version, earliest=earliest, now=now)
        notice = messages.VersionNotice(version=version)
        out: Actions = [
            core.Send(dst=name, msg=notice)
            for name in self.discovery.nodes.entry_names()
        ]
        return out + self.orders.on_committed(version, now)

    def _on_content_request(
        self, src: str, msg: messages.ContentRequest, now: float
    ) -> Actions:
        declared = self.machine.declared()
        if declared.version <= msg.held:
            return []
        if self._content is None or self._content.version < declared.version:
            self._content = messages.Content(*declared)
        ages = self._version_ages.list_above(msg.held, now)
        return [
            core.Send(dst=src, msg=ages),
            core.Send(dst=src, msg=self._content),
        ]

    def _on_log_query(
        self, src: str, msg: confirmation_messages.LogQuery, now: float
    ) -> Actions:
        if not self._has_disk:
            return []
        # The answer may be a part of a majority's confirmation.
        incarnation = self.discovery.nodes.find_incarnation(src)
        self._leases.give(lease_book.Holder(src, incarnation), now)
        state = log_view.describe(
            self.voter,
            echo=msg.round,
            version=self.machine.declared().version,
            evacuations=self._evacuations.current.revision,
        )
        return [core.Send(dst=src, msg=state)]

    def _compact(self) -> Actions:
        log = self.voter.log
        is_long = len(log) >= const.COMPACT_ENTRIES
        if not is_long and log.size < const.COMPACT_BYTES:
            return []
        applied = self.machine.table.revision
        if applied <= self.voter.snapshot.idx:
            return []
        return self.voter.compact(applied, self.machine.dump())

    # Seats.

    def _update_seats(self, now: float) -> Actions:
        change = self._seats.next_change(now)
        if change is None:
            return []
        _, out = self.voter.change_seats(change, now)
        return self._process_actions(out, now)

    def _update_staleness(self) -> None:
        """Tell the voter whether a process reports an entry that it lacks."""
        self.voter.is_known_stale = log_view.is_stale(
            self.voter,
            committed=self.machine.declared().version,
            reported_version=self.discovery.reported_version,
            reported_index=self.discovery.reported_index,
        )
