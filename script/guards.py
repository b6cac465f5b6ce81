"""Remove each guard in turn in a scratch copy; some test must go red."""

import argparse
import concurrent.futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

import guard as guard_lib
import guards_answers
import guards_backpressure
import guards_bounds
import guards_confirmation
import guards_durability
import guards_evacuation
import guards_groups
import guards_order
import guards_parts
import guards_responses
import guards_returns
import guards_voters
import guards_warmup

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARTS = (
    "script", "jasperweir", "platform", "standins", "features", "examples",
    "pyproject.toml",
)  # fmt: skip
RUN_SECONDS = 90
STAYED_GREEN = "STAYED GREEN"
NOT_FOUND = "GUARD NOT FOUND"
NO_SCENARIO = "BROKE WITHOUT A FAILED SCENARIO"
C = "jasperweir/components/"
Guard = guard_lib.Guard


GUARDS = (
    Guard("a wiped disk holds no seat", C + "quorum/state.py",
          "return seat is not None and seat.disk == disk",
          "return seat is not None", "quorum"),
    Guard("a live leader is not deposed", C + "quorum/voter.py",
          "if self._is_leader_alive(now) and not msg.transfer:",
          "if False:", "quorum"),
    Guard("a restarted voter keeps its promise", C + "quorum/voter.py",
          "if now < self._started_at + const.RESTART_SECONDS:",
          "if False:", "recovery"),
    Guard("log up to date before a vote", C + "quorum/state.py",
          "return (last_term, last_index) >= own_last", "return True",
          "quorum"),
    Guard("one vote a term", C + "quorum/voter.py",
          'and self.voted_for in ("", src)', "and True", "quorum"),
    Guard("check-quorum", C + "quorum/voter.py",
          "return now < acked_at + const.LEASE_SECONDS", "return True",
          "quorum"),
    Guard("own term before commit", C + "quorum/voter.py",
          "if index > self.commit and self.log.term_at(index) == self.term:",
          "if index > self.commit:", "quorum"),
    Guard("no vote with an uncertain tail", C + "quorum/state.py",
          "self.may_vote = not recovered.tail_uncertain",
          "self.may_vote = True", "quorum"),
    Guard("handing over ends the lease", C + "quorum/voter.py",
          "        if self._is_transferring:\n            return False\n", "",
          "quorum"),
    Guard("replication before a grant", C + "claims/owner.py",
          "if needed == 0:", "if True:", "claims"),
    Guard("an unrepaired owner does not count", C + "claims/owner.py",
          "            # An owner that is not repaired must not count.\n"
          "            return []\n", "            pass\n", "claims"),
    Guard("repair before a new view grants", C + "claims/owner.py",
          "        if partition in self._unrepaired_partitions:\n"
          "            blind = now < state.blind_until\n",
          "        if False:\n"
          "            blind = now < state.blind_until\n", "claims"),
    Guard("answer a repair only in the new view", C + "claims/owner.py",
          "        if msg.epoch != self.epoch:\n"
          "            # Answering before",
          "        if False:\n            # Answering before", "claims"),
    Guard("blind after lost owners", C + "claims/owner.py",
          "if now >= state.blind_until:", "if True:", "claims"),
    Guard("authority from control", C + "claims/owner.py",
          "return now < self._confirmed_at + const.AUTHORITY_TIMEOUT_SECONDS",
          "return True", "claims"),
    Guard("another body under a key", C + "claims/owner.py",
          "if known.digest != msg.record.digest:", "if False:", "claims"),
    Guard("only a live reservation starts", C + "runs/run_table.py",
          "            if reserved:\n"
          "                return Refused(reason=const.REFUSED_RESERVATION)\n",
          "", "runs"),
    Guard("a reservation ends", C + "runs/run_table.py",
          "if now >= run.expires_at:\n            self._revoke(run, now)\n"
          "            return Refused(reason=const.REFUSED_RESERVATION)\n",
          "if False:\n            pass\n", "runs"),
    Guard("a revoked id never starts", C + "runs/run_table.py",
          "        if run.state == State.REVOKED:\n"
          "            return Refused(reason=const.REFUSED_REVOKED)\n",
          "        if run.state == State.REVOKED:\n"
          "            return Start()\n", "runs"),
    Guard("a run id starts once", C + "runs/run_table.py",
          "        if run.state != State.RESERVED:\n"
          "            return self._existing_verdict(run)\n",
          "        if run.state != State.RESERVED:\n"
          "            return Start()\n", "runs"),
    Guard("a leaving agent refuses", C + "runs/run_table.py",
          "        if self.draining:\n", "        if False:\n", "runs"),
    Guard("not run only if vouched for", C + "request/state_machine.py",
          "self._vouched = first or not keyed", "self._vouched = True",
          "request"),
    Guard("a sent request is exposed", C + "request/state_machine.py",
          "        # The request was sent, but no answer was received.\n"
          "        self._may_have_run = True\n",
          "        # The request was sent, but no answer was received.\n",
          "request"),
    Guard("a keyed request is never sent twice", C + "request/state_machine.py",
          "        if self._keyed:\n            return self._end_broken()\n",
          "", "request"),
    Guard("revoke before taking over", C + "request/state_machine.py",
          "                if self._keyed and self._relayed_bytes == 0:\n"
          "                    return self._revoke()\n",
          "                if self._keyed and self._relayed_bytes == 0:\n"
          "                    return self._try_next_target()\n", "request"),
    Guard("a grant needs loaded weights", C + "experts/step_gate.py",
          "        if msg.version not in self._loaded:\n"
          "            return False\n", "", "experts"),
    Guard("old terms have no effect", C + "experts/step_gate.py",
          "msg.term < self.term:", "False:", "experts"),
    Guard("a new map only when all hold it", C + "experts/coordinator.py",
          "if pending is not None and self._all_prepared(pending.version):",
          "if pending is not None:", "experts"),
    Guard("steps numbered by term", C + "experts/coordinator.py",
          "self._next_step = (term << const.STEP_BITS) + 1",
          "self._next_step = 1", "experts"),
    Guard("compare-and-set on the parent", C + "registry/state_machine.py",
          "if op.parent != head:", "if False:", "registry"),
    Guard("an operation applies once", C + "registry/state_machine.py",
          "        if known is not None:\n"
          "            self.table.advance(index)\n"
          "            return known\n", "", "registry"),
    Guard("content hash of a version", C + "registry/state_machine.py",
          "if new.content_hash != op.content_hash:", "if False:",
          "registry"),
    Guard("a withdrawn version rolls no more", C + "registry/state_machine.py",
          "if record.withdrawn or op.version < self._max_applied_version():",
          "if False:", "registry"),
    Guard("a node checks the content hash", C + "config/replica.py",
          "if new.content_hash != expected:", "if False:",
          "registry"),
    Guard("versions at a node never go down", C + "config/replica.py",
          "if version <= self.version:", "if version == self.version:",
          "registry"),
    Guard("no serving below the floor", C + "config/replica.py",
          "if self.min_revision is None or "
          "self.table.revision < self.min_revision:",
          "if False:", "registry"),
    Guard("another log's delta is refused", C + "config/table.py",
          "if self.log_id and delta.log_id != self.log_id:", "if False:",
          "registry"),
    Guard("a roll halts on burn", C + "control/rollout.py",
          "if burn > limit:", "if False:", "registry"),
    Guard("a roll waits for its place", C + "control/rollout.py",
          "if lagging and now - self._stepped_at < const.GATE_TIMEOUT_SECONDS:",
          "if False:", "registry"),
    Guard("torn tail or damaged middle", C + "quorum/storage.py",
          "if pos < len(raw) and _has_intact_record_after(raw, pos):",
          "if False:", "storage"),
    Guard("checksum of records", C + "quorum/storage.py",
          "return data if hashing.checksum(data) == digest else None",
          "return data", "storage"),
    Guard("a damaged last record is reported", C + "quorum/storage.py",
          "uncertain = pos < len(raw) and _is_complete(raw, pos)",
          "uncertain = False", "storage"),
    Guard("suspicion before death", C + "membership/detector.py",
          "if silence_s >= const.DEAD_TIMEOUT_SECONDS:",
          "if silence_s >= const.SUSPECT_TIMEOUT_SECONDS:", "membership"),
    Guard("a node refutes rumours of its death",
          C + "membership/roster.py",
          "        if not supersedes(member, own):\n            return False\n",
          "        return False\n", "membership"),
    Guard("a thawed watcher forgives", C + "membership/detector.py",
          "            self._restart_silence(now)\n", "            pass\n",
          "membership"),
    Guard("ejection leaves a floor", C + "routing/router.py",
          "if len(available) >= min_count:", "if True:", "routing"),
    Guard("an expired ticket is refused at once", C + "limits/admission.py",
          "                if now + request.min_service_s <= "
          "request.deadline:\n"
          "                    continue\n",
          "                continue\n", "routing"),
    Guard("a full queue keeps room for the small",
          C + "limits/admission.py",
          "return request.customer not in self._queues", "return False",
          "routing"),
    Guard("retries are a share of first tries", C + "limits/retry.py",
          "        if self._tokens < 1:\n            return False\n", "",
          "routing"),
    Guard("seats that losses need before a change",
          C + "configctl/seat_manager.py",
          "if self._count_voters() >= self._wanted:\n"
          "            return True\n",
          "if self._count_voters() >= self._min_seats(now):\n"
          "            return True\n", "declared"),
    Guard("only a blank log is founded", C + "configctl/node.py",
          "if self._bootstrap_election is None or not self._is_blank:",
          "if False:", "declared"),
    Guard("control VMs without a disk ask for no seat",
          C + "configctl/node.py",
          "if self._has_disk and self._may_need_seat:",
          "if self._may_need_seat:", "declared"),
    Guard("no address answer without a configuration", C + "entry/node.py",
          "        if bundle is None:\n            return None\n", "",
          "membership"),
    Guard("a rested connection carries nothing that must run once",
          "jasperweir/helpers/http_client.py",
          "if clocks.elapsed() - conn.idle_since <= max_idle_s:",
          "if True:", "hop"),
    Guard("a caller that came back waits longer",
          C + "forward/request_state.py",
          "elif self.is_last_attempt:", "elif False:", "forward"),
    Guard("who asked first goes first", C + "forward/request_state.py",
          "self.first_attempt_at = now - used_s",
          "self.first_attempt_at = now", "forward"),
    Guard("a shorter time-out is no return", C + "balance/wait_estimate.py",
          "min(longest_s, route.timeout_s)", "longest_s", "forward"),
    Guard("an outage needs several refusals", C + "balance/outage.py",
          "return self._refusals >= self._min_refusals",
          "return self._refusals > 0", "forward"),
    Guard("refusals far apart are no outage", C + "balance/outage.py",
          "            self._refusals = 0\n        self._refusals += 1",
          "            pass\n        self._refusals += 1", "forward"),
    Guard("entries share free places", C + "balance/forecast.py",
          "slots * own / (own + others)", "slots", "forward"),
    Guard("places go first to those in time elsewhere",
          C + "balance/forecast.py",
          "for_late = free_slots - for_timely", "for_late = free_slots",
          "forward"),
    Guard("nothing new while passes are long", C + "balance/passes.py",
          "return max(available_s / self._stream_cost_s, min_streams)",
          "return math.inf",
          "load"),
    Guard("a limit of streams is never zero", C + "balance/passes.py",
          "min_streams = const.STREAMS_MIN_SHARE * self.bounds.slots",
          "min_streams = 0.0",
          "load"),
    Guard("a stall is no pass", C + "balance/passes.py",
          "if pause <= max_pause_s", "if pause", "load"),
    Guard("old passes limit nothing", C + "balance/passes.py",
          "        if self.is_stale(now):\n            return math.inf",
          "        if False:\n            return math.inf", "load"),
    Guard("who can be in time goes first", C + "balance/wait_queue.py",
          "return now > self.timely_until", "return False", "load"),
    Guard("nobody waits for what comes too late",
          C + "forward/request_state.py",
          "return self.is_last_attempt or seconds <= self.max_wait_s",
          "return True", "load"),
    Guard("choices from before a jump are dropped", C + "mapswitch/demand.py",
          "if begin < self._counted_since:", "if False:", "demand"),
    Guard("a jump is seen", C + "mapswitch/demand.py",
          "if distance > max(limit, const.MIN_JUMP_DISTANCE):", "if False:",
          "demand"),
    Guard("a jump is seen once", C + "mapswitch/demand.py",
          "if now - self._counted_since < const.JUMP_COOLDOWN_SECONDS:",
          "if False:", "demand"),
    Guard("counts that go back are dropped", C + "mapswitch/expert_counts.py",
          "if min(new) < 0:", "if False:", "demand"),
    Guard("a late hold is found while ranks copy", C + "mapswitch/group.py",
          "if self.phase is Phase.PREPARING and self.members.any_held():",
          "if False:", "mapswitch"),
    Guard("a successor is not kept out", C + "directory/directory.py",
          "if abs(interval_s) > const.SUCCESSOR_SECONDS:", "if False:", "gone"),
    Guard("silent connections are noticed", "jasperweir/helpers/http_client.py",
          "sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)",
          "pass", "gone"),
    Guard("no second send in an outage", C + "forward/forwarder.py",
          "if self._outages.get(exchange.service).is_active(now):\n"
          "            # Another",
          "if False:\n            # Another", "platform"),
    Guard("streams leave very slow targets only",
          C + "forward/stragglers.py", ">= const.MOVE_SLOWDOWN", ">= 1.0",
          "stragglers"),
    Guard("a stream moves only to a free place", C + "forward/forwarder.py",
          "if candidates.free_slots < 1 or not self._take_retry",
          "if not self._take_retry",
          "stragglers"),
    Guard("a stream moves within its attempts", C + "forward/request_state.py",
          "return 0 < self.attempts < route.max_attempts", "return True",
          "stragglers"),
    Guard("a hold is given once", C + "mapswitch/group.py",
          "if self.phase is not Phase.HOLDING:", "if True:", "mapswitch"),
    Guard("a late hold is found at once", C + "mapswitch/group.py",
          "due = due or self.members.any_held()", "pass", "mapswitch"),
    Guard("another node gives the next holds", C + "mapswitch/group.py",
          "self._hold_senders.select_next()", "pass", "mapswitch"),
    Guard("no order without the lease", C + "mapswitch/coordinator.py",
          "if self._term_at is not None:", "if False:", "mapswitch"),
    Guard("small orders go straight", C + "mapswitch/relays.py",
          "if len(order) < const.MIN_RELAY_BYTES:", "if False:",
          "relays"),
    Guard("few agents get their orders straight", C + "mapswitch/relays.py",
          "if len(group) < const.MIN_RELAY_AGENTS:", "if False:",
          "relays"),
    Guard("a relayed order names the leader", C + "mapswitch/relays.py",
          "leader=relay.leader,", 'leader="",', "relays"),
    Guard("who waits for another rank looks at none", C + "mapswitch/group.py",
          "or self._is_waiting_for_other(src)", "or False", "large"),
    Guard("a change under way is no reason for a list",
          C + "configctl/digest_tracker.py",
          "if now - replaced_at < const.CHANGE_DELIVERY_SECONDS:", "if False:",
          "large"),
    Guard("who stays behind gets the list", C + "configctl/digest_tracker.py",
          "        self._list_sent_at[name] = now\n        return True",
          "        return False", "large"),
    Guard("a change that was missed is not skipped", C + "discovery/client.py",
          "if control.nodes_digest != msg.before:", "if False:", "large"),
    Guard("nodes beat to those with a disk", C + "discovery/client.py",
          "            return log_controls\n        return known",
          "            return known\n        return known", "large"),
    Guard("who was silent is listed again", C + "directory/directory.py",
          "            # The target had expired from the cached lists.\n"
          "            self._ready_targets.clear()",
          "            pass", "large"),
    Guard("stale figures of entries are dropped", C + "balance/balancer.py",
          "if now - peer.received_at >= const.SHARE_STALE_SECONDS:\n"
          "                self.remove_peer(src)",
          "if False:\n                self.remove_peer(src)", "large"),
    Guard("a timer outlives an error", "jasperweir/daemons/loop_host.py",
          "self.schedule(self._host.now() + RETRY_SECONDS)", "pass", "large"),
    Guard("an earlier start changes nothing", C + "directory/directory.py",
          "                # A delayed announcement of an earlier start.\n"
          "                return False", "                pass",
          "incarnation"),
    Guard("a later start displaces", C + "directory/directory.py",
          "return self._replace_start(tracked, target, received_at, now)",
          "pass", "incarnation"),
    Guard("an earlier start is not retired twice", C + "directory/directory.py",
          "if order is incarnation.StartOrder.EARLIER:", "if False:",
          "incarnation"),
    Guard("connections belong to a start", C + "forward/exchange.py",
          "/{target.born}", "", "incarnation"),
    Guard("a heartbeat names a state of the page",
          "platform/adapter/control_calls.py",
          'state: Literal["ready", "draining"] = "ready"',
          'state: str = "ready"', "incarnation"),
    Guard("a request under which targets ended is held",
          C + "quarantine/ledger.py",
          "if len(distinct) < const.CRASHES_MAX:", "if True:",
          "quarantine_ledger"),
    Guard("only a refused connection shows an end",
          C + "forward/crash_detector.py",
          "if result is ProbeResult.REFUSED:", "if True:", "quarantine_ledger"),
    Guard("a target without a sign has ended once replaced",
          C + "forward/crash_detector.py",
          "elif result is ProbeResult.NO_REPLY:", "elif False:",
          "quarantine_ledger"),
    Guard("what replaced it late proves nothing", C + "quarantine/suspects.py",
          "            if now < until and any(", "            if any(",
          "quarantine_ledger"),
    Guard("a target that leaves blames nobody", C + "forward/crash_detector.py",
          "if current is None or "
          "current.presence is not records.Presence.READY:",
          "if current is None:", "quarantine_ledger"),
    Guard("a whole answer voids marks", C + "quarantine/ledger.py",
          "            if not crash.void and crash.at < before:\n"
          "                new = dataclasses.replace(crash, void=True)",
          "            if not crash.void and crash.at < before:\n"
          "                new = dataclasses.replace(crash, void=False)",
          "quarantine_ledger"),
    Guard("a target that answers has not ended", C + "quarantine/ledger.py",
          "if crash is not None and not crash.void and crash.at < since:",
          "if False:", "quarantine_ledger"),
    Guard("an answer begun before the end proves nothing",
          C + "quarantine/ledger.py",
          "if crash is not None and not crash.void and crash.at < since:",
          "if crash is not None and not crash.void:", "quarantine_ledger"),
    Guard("control VMs tell marks on", C + "quarantine/replication.py",
          "return send_marks(new, [name for name in others if name != src])",
          "return []", "quarantine_ledger"),
    Guard("whose digest differs gets all marks",
          C + "quarantine/replication.py",
          "        if msg.digest == self._ledger.digest:\n",
          "        if True:\n", "quarantine_ledger"),
    Guard("who told all its marks is told what it lacks",
          C + "quarantine/replication.py",
          "return send_marks(\n"
          "                    self._ledger.missing_marks(msg.marks, now), "
          "[src]\n                )",
          "return []", "quarantine_ledger"),
    Guard("requests remembered are bounded", C + "quarantine/ledger.py",
          "if len(self._crashes) > const.RECORDS_MAX:", "if False:",
          "quarantine_ledger"),
    Guard("those with the fewest ends are forgotten first",
          C + "quarantine/ledger.py",
          "return _count_valid(crashes), max(\n",
          "return 0, max(\n",
          "quarantine_ledger"),
    Guard("a hold is longer with each end", C + "quarantine/ledger.py",
          "2.0 ** (crashes - const.CRASHES_MAX)", "1.0", "quarantine_ledger"),
    Guard("bodies that look like none known are not hashed",
          C + "quarantine/ledger.py",
          "if not self._crashes or not self.has_outline(\n"
          "            fingerprint_lib.outline(subject)\n        ):",
          "if not self._crashes:", "quarantine_ledger"),
    Guard("who waits is refused once it is known",
          C + "forward/quarantine_enforcer.py",
          "                if exchange is not None and "
          "self._is_held(exchange, now):\n"
          "                    self.reject_if_quarantined(exchange, now)",
          "                pass", "quarantine_ledger"),
    Guard("the customer is part of what identifies a request",
          C + "quarantine/fingerprint.py",
          "found.customer.encode()", 'b""', "quarantine_ledger"),
    Guard("a start earns no share of the burst", C + "balance/budget.py",
          "self.saved = min(self.saved + accrued, share.max_saved)",
          "self.saved = share.max_saved", "retry_budget"),
    Guard("a short list gives no larger share", C + "balance/budget.py",
          "self.entries = max(count.entries for count in self._counts)",
          "self.entries = entries", "retry_budget"),
    Guard("the burst accrues under a leader only", C + "discovery/client.py",
          "now - control.led_at < LEADER_TIMEOUT_SECONDS", "True",
          "retry_budget"),
    Guard("half of the ratio before and after a start", C + "balance/const.py",
          "RETRY_RATIO_PART = 0.5", "RETRY_RATIO_PART = 1.0",
          "retry_budget"),
    Guard("the own interface's budget starts empty", C + "limits/retry.py",
          "self._tokens = tokens\n", "self._tokens = burst\n",
          "retry_budget"),
)  # fmt: skip
ALL_GUARDS = (
    *GUARDS,
    *guards_answers.GUARDS,
    *guards_backpressure.GUARDS,
    *guards_bounds.GUARDS,
    *guards_confirmation.GUARDS,
    *guards_durability.GUARDS,
    *guards_evacuation.GUARDS,
    *guards_groups.GUARDS,
    *guards_order.GUARDS,
    *guards_parts.GUARDS,
    *guards_responses.GUARDS,
    *guards_returns.GUARDS,
    *guards_voters.GUARDS,
    *guards_warmup.GUARDS,
)


def check(guard: Guard) -> tuple[Guard, str]:
    """Run the guard's feature without the guard; tell what came of it."""
    with tempfile.TemporaryDirectory(prefix="jasperweir-guard-") as folder:
        copy = pathlib.Path(folder)
        for part in PARTS:
            source = ROOT / part
            if source.is_dir():
                shutil.copytree(source, copy / part)
            else:
                shutil.copy(source, copy / part)
        path = copy / guard.file
        code = path.read_text(encoding="utf-8")
        if guard.text not in code:
            return guard, NOT_FOUND
        path.write_text(
            code.replace(guard.text, guard.without, 1), encoding="utf-8"
        )
        feature = f"features/{guard.feature}.feature"
        command = [sys.executable, "-m", "behave", "--stop", "--no-capture"]
        command += ["--format", "plain", feature]
        try:
            done = subprocess.run(
                command,
                cwd=copy,
                capture_output=True,
                timeout=RUN_SECONDS,
                check=False,
                env={"PATH": "/usr/bin:/bin", "PYTHONPATH": str(copy)},
            )
        except subprocess.TimeoutExpired:
            return guard, "a scenario never ended"
    if done.returncode == 0:
        return guard, STAYED_GREEN
    for line in done.stdout.decode().splitlines():
        if line.strip().startswith("features/") and "  " in line:
            return guard, line.strip().split("  ", 1)[1].strip()
    # The features may not even have been loaded.
    return guard, NO_SCENARIO


def lost() -> list[Guard]:
    """Return the guards whose text is no longer in the code."""
    return [
        guard
        for guard in ALL_GUARDS
        if guard.text not in (ROOT / guard.file).read_text(encoding="utf-8")
    ]


def main() -> int:
    """Check all guards, or those of one feature."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--feature", default="")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--markdown", type=pathlib.Path)
    parser.add_argument(
        "--texts", action="store_true", help="only look whether all are there"
    )
    args = parser.parse_args()
    if args.texts:
        for guard in lost():
            print(f"!! {guard.name}: not found in {guard.file}")
        return 1 if lost() else 0
    chosen = [
        g for g in ALL_GUARDS if not args.feature or g.feature == args.feature
    ]
    rows = ["| guard removed | test that goes red |", "| --- | --- |"]
    green = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for guard, verdict in pool.map(check, chosen):
            bad = verdict in (STAYED_GREEN, NOT_FOUND, NO_SCENARIO)
            green += bad
            print(f"{'!!' if bad else 'ok'} {guard.name}: {verdict}")
            rows.append(f"| {guard.name} | {verdict} |")
    if args.markdown:
        args.markdown.write_text("\n".join(rows) + "\n", encoding="utf-8")
    print(f"{len(chosen) - green} guards proved, {green} not")
    return 1 if green else 0


if __name__ == "__main__":
    sys.exit(main())
