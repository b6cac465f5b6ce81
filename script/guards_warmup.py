"""Guards of cold targets and slow readers; see guards.py."""

import guard

Guard = guard.Guard
W = "jasperweir/components/warmup/"
F = "jasperweir/components/forward/"

GUARDS = (
    Guard("cold and warm reach every entry at once",
          "jasperweir/components/directory/directory.py",
          "cold_s=1.0 if is_cold else 0.0)", "cold_s=0.0)", "cold_targets"),
    Guard("the remaining cold time is no change of a record",
          "jasperweir/components/directory/directory.py",
          "cold_s=1.0 if is_cold else 0.0)", "cold_s=target.cold_s)",
          "cold_targets"),
    Guard("an unreadable cold time refuses no heartbeat",
          "platform/adapter/control_calls.py",
          "        document = json.loads(body, parse_constant=lambda _: None)"
          "\n",
          "        raise\n", "cold_targets"),
    Guard("a huge cold time is not stated", "platform/adapter/control_calls.py",
          "if not 0 <= seconds <= _COLD_LIMIT_SECONDS",
          "if not 0 <= seconds", "cold_targets"),
    Guard("a cold time counts from its heartbeat", W + "coldness.py",
          "            at = tracked.stated_at\n",
          "            at = tracked.first_received_at\n",
          "cold_targets"),
    Guard("a heartbeat made before an answer doesn't override it",
          W + "coldness.py",
          "if answer is None or answer.at < tracked.stated_at:",
          "if answer is None:", "cold_targets"),
    Guard("an answer counts for its incarnation only", W + "coldness.py",
          "        if order is not incarnation.StartOrder.SAME:\n"
          "            return None\n", "", "cold_targets"),
    Guard("a target is cold after an evacuation until a later heartbeat",
          W + "coldness.py",
          "if tracked.stated_at <= ended_at + const.AGE_TOLERANCE_SECONDS:",
          "if tracked.stated_at <= ended_at - 1:", "cold_targets"),
    Guard("an entry that has just been listed sends nothing", W + "shares.py",
          "return now - self._confirmed_since >= const.SETTLE_SECONDS",
          "return True", "cold_limit"),
    Guard("an entry that hears from nobody sends nothing", W + "shares.py",
          "        if not is_confirmed:\n", "        if False:\n",
          "cold_limit"),
    Guard("a suspended entry waits before it sends", W + "shares.py",
          "        if now - self._confirmed_at > const.VIEW_VALID_SECONDS:\n"
          "            return False\n", "", "cold_limit"),
    Guard("a gap in the confirmations starts the wait again", W + "shares.py",
          "            self._confirmed_since = now\n",
          "            self._confirmed_since = min("
          "self._confirmed_since, now)\n",
          "cold_limit"),
    Guard("no more owners than the burst bears", W + "shares.py",
          "count = min(rate.max_owners, len(self._seen_at))",
          "count = len(self._seen_at)", "cold_limit"),
    Guard("the window includes the way to the target", W + "rate.py",
          "counted_s = const.WINDOW_SECONDS + const.JITTER_SECONDS",
          "counted_s = const.WINDOW_SECONDS / 2", "cold_limit"),
    Guard("a share begins without tokens", W + "rate.py",
          "self.tokens = min(accrued, self.burst)",
          "self.tokens = self.burst if not accrued else min(accrued, "
          "self.burst)", "cold_limit"),
    Guard("requests to cold targets are counted", F + "available_targets.py",
          "return self.warmup.on_chosen(target, now)", "return False",
          "cold_forward"),
    Guard("each choice looks for cold targets", F + "available_targets.py",
          "        targets = self.warmup.list_available("
          "targets, service, now)\n",
          "", "cold_forward"),
    Guard("a target that turns cold is looked at before the write",
          F + "exchange.py",
          "self._is_counted_cold or "
          "targets.warmup.try_count(self._target, now)",
          "True", "cold_forward"),
    Guard("a cold target's slots count up to its rate", F + "capacity.py",
          "loads.free - self._count_beyond_rate(targets, now)",
          "loads.free", "cold_forward"),
)  # fmt: skip
