"""Sans-I/O core of an entry; the daemon performs sends and HTTP."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from jasperweir import core
from jasperweir.components.address import answer as address_lib
from jasperweir.components.burn import windows as windows_lib
from jasperweir.components.claims import client as claim_client_lib
from jasperweir.components.claims import const as claim_const
from jasperweir.components.claims import messages as claim_messages
from jasperweir.components.claims import owner as owner_lib
from jasperweir.components.config import replica as replica_lib
from jasperweir.components.confirmation import tracker as tracker_lib
from jasperweir.components.control import client as control_client
from jasperweir.components.control import messages as control_messages
from jasperweir.components.entry import const
from jasperweir.components.limits import admission as admission_lib
from jasperweir.components.limits import retry
from jasperweir.components.membership import const as member_const
from jasperweir.components.membership import gossip as gossip_lib
from jasperweir.components.membership import messages as member_messages
from jasperweir.components.quarantine import const as quarantine_const
from jasperweir.components.quarantine import messages as quarantine_messages
from jasperweir.components.quarantine import quarantine as quarantine_lib
from jasperweir.components.quarantine import replication as replication_lib
from jasperweir.components.routing import router as router_lib

Actions = list[Any]
Status = member_messages.Status


class Identity(NamedTuple):
    """Identity of this process.

    Attributes:
        name: Unique name of the node.
        place: Data centre.
        inc: Incarnation.
        addr: Internal address, ``ip:port``.
        http: HTTP address, ``ip:port``.
    """

    name: str
    place: str
    inc: int
    addr: str
    http: str


class Entry:
    """Sans-I/O core of an entry, used on a single thread.

    Attributes:
        gossip: Records of all nodes.
        replica: Configuration in force.
        router: Target choice.
        claim_owner: Claims that this entry owns.
        claim_client: Claims that this entry requests.
        control: Client of the control VMs.
        budget: Retry budget of all requests.
        burn: Counts for the service-level report.
        quarantine: Decisions on requests under which engines crash.
        rng: Seeded random source.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        seeds: tuple[member_messages.Peer, ...],
        voters: tuple[str, ...],
        max_streams: int,
        rng: random.Random,
    ) -> None:
        self.name = identity.name
        self.rng = rng
        self._max_streams = max_streams
        self.replica = replica_lib.Replica(place=identity.place)
        own = member_messages.Member(
            name=identity.name,
            kind=member_const.KIND_ENTRY,
            place=identity.place,
            inc=identity.inc,
            seq=0,
            # ALIVE, and thereby open to callers, only with a configuration.
            status=Status.JOINING,
            addr=identity.addr,
            http=identity.http,
        )
        self.gossip = gossip_lib.Gossip(
            own=own, table=self.replica.table, seeds=seeds, rng=rng
        )
        self.router = router_lib.Router(
            roster=self.gossip.roster, rng=rng, regions={}
        )
        self.claim_owner = owner_lib.ClaimOwner(
            name=identity.name,
            inc=identity.inc,
            window=claim_const.DEFAULT_WINDOW_SECONDS,
        )
        self.claim_client = claim_client_lib.ClaimClient(owner=self.claim_owner)
        self.control = control_client.ControlClient(voters=voters, rng=rng)
        self.budget = retry.RetryBudget()
        self.burn = windows_lib.Windows()
        self.quarantine = quarantine_lib.Quarantine(
            trial_prefix=f"{identity.name}/{identity.inc}"
        )
        self._unsent_marks: quarantine_lib.Marks = ()
        self.quarantine.on_marks = self._add_marks
        self.quarantine.on_vouched = self._add_marks
        self._mark_replication = replication_lib.EntrySpread(
            ledger=self.quarantine.ledger, merge=self.quarantine.merge
        )
        self._next_compare_at = 0.0
        self.draining = False
        self._last_burn_rate = 0.0
        self._burn_rate_at = float("-inf")
        self._admissions: dict[str, admission_lib.AdmissionQueue] = {}
        self._admission_callbacks: dict[
            str, Callable[[admission_lib.Verdict], None]
        ] = {}
        self._limits_version = -1

    # Time and messages.

    def start(self, now: float) -> Actions:
        """Join the system."""
        return self.gossip.join() + self.control.request_min_revision(now)

    def tick(self, now: float) -> Actions:
        """Run periodic work."""
        self.budget.tick(now)
        out = self.gossip.tick(now)
        out += self.control.request_min_revision(now)
        self._apply_config()
        out += self.claim_owner.on_view(self.replica.view(), now)
        out += self.claim_owner.tick(now)
        out += self.claim_client.tick(now)
        if self.is_serving and self.gossip.roster.own.status == Status.JOINING:
            self.gossip.update_own(status=Status.ALIVE)
        out += self._build_heartbeat(now)
        out += self._compare_ledgers(now)
        self._apply_targets()
        for admission in self._admissions.values():
            self._deliver_verdicts(admission.poll(now))
        return self._deliver_local(out, now)

    def receive(self, src: str, src_inc: int, msg: Any, now: float) -> Actions:
        """Handle a message from another process."""
        out = self._receive(src, src_inc, msg, now)
        return self._deliver_local(out, now)

    def _receive(self, src: str, src_inc: int, msg: Any, now: float) -> Actions:
        match msg:
            case control_messages.HeartbeatAck():
                confirmed = self.control.on_ack(msg, now)
                if confirmed is not None:
                    self.claim_owner.confirm(*confirmed)
                return []
            case control_messages.MinRevisionReply():
                self.control.on_min_revision(msg, now)
                self.replica.min_revision = self.control.min_revision
                return []
            case quarantine_messages.Marks() | quarantine_messages.Compare():
                replies = self._mark_replication.receive(src, msg, now)
                return [*replies, *self.take_marks()]
            case claim_messages.ClaimReply():
                return self.claim_client.receive(msg, now)
        if type(msg).__module__ == claim_messages.__name__:
            return self.claim_owner.receive(src, src_inc, msg, now)
        return self.gossip.receive(src, msg, now)

    def _deliver_local(self, out: Actions, now: float) -> Actions:
        """Deliver messages to this node itself without a socket."""
        sends: Actions = []
        queue = list(out)
        while queue:
            act = queue.pop(0)
            if isinstance(act, core.Send) and act.dst == self.name:
                inc = self.gossip.roster.own.inc
                queue += self._receive(self.name, inc, act.msg, now)
                continue
            sends.append(act)
        return sends

    # Requests.

    @property
    def is_serving(self) -> bool:
        """Whether requests can be accepted."""
        return self.replica.is_ready

    def get_standing(self, now: float) -> tracker_lib.Standing:
        """Return whether requests may be decided by the bundle held."""
        if not self.is_serving:
            return tracker_lib.Standing.UNKNOWN
        return self.control.confirmations.standing(now)

    def admit(
        self,
        service: str,
        ticket: admission_lib.AdmissionRequest,
        done: Callable[[admission_lib.Verdict], None],
        now: float,
    ) -> None:
        """Request admission; ``done`` is called once, now or later."""
        admission = self._admission(service)
        verdict = admission.submit(ticket, now)
        if isinstance(verdict, admission_lib.Queued):
            self._admission_callbacks[ticket.rid] = done
            return
        done(verdict)

    def record_congestion(self, service: str, now: float) -> None:
        """Record that a target had no free slot."""
        self._admission(service).record_congestion(now)

    def release(self, service: str, rid: str, now: float) -> None:
        """End an admitted or queued request."""
        admission = self._admission(service)
        if self._admission_callbacks.pop(rid, None) is not None:
            admission.cancel(rid)
            return
        self._deliver_verdicts(admission.release(rid, now))

    def claim(
        self,
        *,
        record: claim_messages.Record,
        expect: int,
        done: Callable[[claim_messages.ClaimReply], None],
        deadline: float,
        now: float,
    ) -> Actions:
        """Request a claim; ``done`` is called once, now or later."""
        out = self.claim_client.send_request(
            record=record, expect=expect, done=done, deadline=deadline, now=now
        )
        return self._deliver_local(out, now)

    def take_marks(self) -> Actions:
        """Return the sends of the marks of the quarantine that are new."""
        marks, self._unsent_marks = self._unsent_marks, ()
        return list(replication_lib.send_marks(marks, self._other_entries()))

    def _add_marks(self, marks: quarantine_lib.Marks) -> None:
        self._unsent_marks += marks

    def addresses(
        self, *, service: str, place: str, salt: str
    ) -> address_lib.Answer | None:
        """Return the address answer for a caller.

        Returns None without a configuration, which defines the time to live:
        a stopping entry must wait for as long as callers keep answers.
        """
        bundle = self.replica.bundle
        if bundle is None:
            return None
        return address_lib.build(
            roster=self.gossip.roster,
            service=service,
            place=place,
            regions=self.replica.regions(),
            ttl_s=bundle.callers.address_ttl_s,
            salt=salt,
        )

    def drain(self) -> Actions:
        """Leave the address answers and the claim view, but keep serving."""
        if self.draining:
            return []
        self.draining = True
        return self.gossip.announce_leaving()

    def active(self) -> int:
        """Return the number of admitted and queued requests."""
        return sum(a.active + a.waiting for a in self._admissions.values())

    # Internal.

    def _compare_ledgers(self, now: float) -> Actions:
        if now < self._next_compare_at:
            return []
        self._next_compare_at = now + quarantine_const.COMPARE_SECONDS
        self.quarantine.tick(now)
        return list(self._mark_replication.compare(self._other_entries()))

    def _other_entries(self) -> list[str]:
        return [
            member.name
            for member in self.gossip.roster.members(member_const.KIND_ENTRY)
            if member.status == Status.ALIVE and member.name != self.name
        ]

    def _build_heartbeat(self, now: float) -> Actions:
        own = self.gossip.roster.own
        return self.control.send_heartbeat(
            inc=own.inc,
            place=own.place,
            revision=self.replica.table.revision,
            ready_epoch=self.claim_owner.ready_epoch,
            burn=self._burn_rate(now),
            now=now,
        )

    def _burn_rate(self, now: float) -> float:
        if now >= self._burn_rate_at + const.BURN_RATE_INTERVAL_SECONDS:
            self._burn_rate_at = now
            self._last_burn_rate = self.burn.worst_burn_rate(
                self._objectives(), now
            )
        return self._last_burn_rate

    def _objectives(self) -> dict[str, float]:
        bundle = self.replica.bundle
        if bundle is None:
            return {}
        return {s.name: s.objective for s in bundle.services.values()}

    def _apply_config(self) -> None:
        if not self.replica.refresh():
            return
        bundle = self.replica.bundle
        assert bundle is not None
        self.router.set_regions(self.replica.regions())
        self.claim_owner.window = bundle.callers.claim_window_s
        self._limits_version = -1

    def _apply_targets(self) -> None:
        version = self.gossip.roster.version
        if version == self._limits_version:
            return
        self._limits_version = version
        for service, admission in self._admissions.items():
            admission.set_ceiling(self._admission_limit(service))
        self.router.remove_departed_targets()

    def _admission(self, service: str) -> admission_lib.AdmissionQueue:
        admission = self._admissions.get(service)
        if admission is None:
            admission = admission_lib.AdmissionQueue(
                limit=self._admission_limit(service), rng=self.rng
            )
            self._admissions[service] = admission
        return admission

    def _admission_limit(self, service: str) -> int:
        entries = [
            m
            for m in self.gossip.roster.members(member_const.KIND_ENTRY)
            if m.status == Status.ALIVE
        ]
        slots = self.router.total_slots(router_lib.TargetQuery(service=service))
        serving = min(len(entries), address_lib.SHARD_ENTRIES)
        share = admission_lib.entry_slot_limit(slots, serving)
        return max(1, min(share, self._max_streams))

    def _deliver_verdicts(self, verdicts: list[admission_lib.Verdict]) -> None:
        for verdict in verdicts:
            done = self._admission_callbacks.pop(verdict.rid, None)
            if done is not None:
                done(verdict)
