"""Guards of what targets ask; see guards.py."""

import guard

Guard = guard.Guard
B = "jasperweir/components/backpressure/"
F = "jasperweir/components/forward/"

GUARDS = (
    Guard("a target that rests gets nothing", B + "backpressure.py",
          "return max(state.backoff_until - now, limiter_s, 0.0)",
          "return max(limiter_s, 0.0)", "backpressure"),
    Guard("a target that leaves gets nothing", B + "backpressure.py",
          "        if state.draining:\n            return math.inf\n", "",
          "backpressure"),
    Guard("a last look before a request is written", F + "exchange.py",
          "if targets.is_closed(self._target, now) or not (",
          "if not (", "backpressure"),
    Guard("after a rest one request goes first", B + "state.py",
          "        return now - self.trial_at < const.TRIAL_SECONDS\n",
          "        return False\n", "backpressure"),
    Guard("each choice looks again", F + "forwarder.py",
          "available = self.targets.filter_available(\n"
          "            candidates.targets, exchange.service, now\n"
          "        )",
          "available = candidates.targets", "backpressure"),
    Guard("a stream does not leave for a target that rests",
          F + "forwarder.py",
          "        targets = self.targets.list_available("
          "exchange.service, now)\n"
          "        candidates = self._find_candidates("
          "exchange.service, targets, now)\n"
          "        if candidates.free_slots < 1 or",
          "        targets = self._directory.serving(exchange.service, now)\n"
          "        candidates = self._find_candidates("
          "exchange.service, targets, now)\n"
          "        if candidates.free_slots < 1 or", "backpressure"),
    Guard("who waits gets no place at a target that rests",
          F + "forwarder.py",
          "        targets = self.targets.list_available(service, now)\n"
          "        candidates = self._find_candidates(service, targets, now)\n"
          "        is_starting",
          "        targets = self._directory.serving(service, now)\n"
          "        candidates = self._find_candidates(service, targets, now)\n"
          "        is_starting", "backpressure"),
    Guard("a refusal with a rest is no outage", F + "outcome_tracker.py",
          "if fault is request_state.Fault.NOT_RUN and not is_backing_off:",
          "if fault is request_state.Fault.NOT_RUN:", "backpressure"),
    Guard("a target that refuses is avoided", B + "state.py",
          "        self.avoided_until = now + min(",
          "        self.avoided_until = now - min(", "backpressure"),
    Guard("all are tried if all refuse", B + "backpressure.py",
          "return preferred or available", "return preferred", "backpressure"),
    Guard("no target is avoided in an outage", F + "available_targets.py",
          "if self._outages.get(service).is_active(now):", "if False:",
          "backpressure"),
    Guard("others hear who refuses", F + "forwarder.py",
          "        self.targets.backpressure.on_peer_refusals("
          "msg.refusing, now)\n", "",
          "backpressure"),
    Guard("an earlier incarnation's word is forgotten", B + "backpressure.py",
          "        if order is incarnation.StartOrder.LATER:\n",
          "        if False:\n", "backpressure"),
    Guard("a shorter rest takes nothing back", B + "state.py",
          "max(self.backoff_until, now + seconds)", "now + seconds",
          "backpressure"),
    Guard("what is remembered is bounded", B + "backpressure.py",
          "if len(self._states) > const.TARGETS_MAX:", "if False:",
          "backpressure"),
    Guard("signals of another target are left out", F + "exchange.py",
          "if self._target is not None and not target_head.other_target:",
          "if self._target is not None:", "backpressure"),
    Guard("no more owners than a target bears", B + "limit_shares.py",
          "count = min(max_owners(per_s), len(self._seen_at))",
          "count = len(self._seen_at)", "limit"),
    Guard("an entry out of sight keeps its part", B + "limit_shares.py",
          "oldest = now - const.ENTRY_TTL_SECONDS", "oldest = now",
          "limit"),
    Guard("who has no part looks later where many do", B + "limit_shares.py",
          "return max(const.PROBE_MIN_SECONDS, others / probes_per_s)",
          "return const.PROBE_MIN_SECONDS / 10", "limit"),
    Guard("an old answer ends no limit", B + "state.py",
          "if self.limiter is None or sent_at < self.limiter.stated_at:",
          "if self.limiter is None:", "limit"),
    Guard("requests to a limited target are counted", B + "state.py",
          "            self.limiter.on_sent(now)\n", "            pass\n",
          "limit"),
    Guard("ends together are one piece of evidence",
          "jasperweir/components/quarantine/ledger.py",
          "if is_close and close_count >= const.COMMON_CAUSE_MIN:", "if False:",
          "quarantine_ledger"),
    Guard("runs that began before are one piece of evidence",
          "jasperweir/components/quarantine/ledger.py",
          "if crash.at - crash.ran_s + const.AGE_TOLERANCE_SECONDS >= last_at:",
          "if True:", "quarantine_ledger"),
)  # fmt: skip
