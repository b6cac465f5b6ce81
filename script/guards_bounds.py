"""Guards of the audit of versions, planned stops and bounds on bytes."""

import guard as guard_lib

F = "jasperweir/components/forward/"
H = "jasperweir/helpers/"
Guard = guard_lib.Guard

GUARDS = (
    Guard("a request within the bound is not reported",
          F + "version_audit.py",
          "sent.sent_at - commit.earliest <= confirmation_const.APPLY_SECONDS",
          "False", "version_audit"),
    Guard("what the new version allows is not reported",
          F + "version_audit.py", "    if _is_allowed(sent, index):\n",
          "    if False:\n", "version_audit"),
    Guard("a key of another customer is reported", F + "version_audit.py",
          "and customer == sent.customer", "and True", "version_audit"),
    Guard("a request is reported once", F + "version_audit.py",
          "            self._sent.clear()\n"
          "            self._sent.extend(kept)\n",
          "", "version_audit"),
    Guard("a key is in no report", F + "version_audit.py",
          'f"{hashing.hash64(key):016x}" if key else ""', "key",
          "version_audit"),
    Guard("a commit is dated by the request",
          "jasperweir/components/discovery/commit_times.py",
          "asked_at - age.committed_s", "now - age.committed_s",
          "version_audit"),
    Guard("the first to learn of a commit counts",
          "jasperweir/components/discovery/commit_times.py",
          "CommitTime(*map(min, known, time))", "time", "version_audit"),
    Guard("other content under one number is noticed",
          "jasperweir/components/configctl/leader_requests.py",
          "and self.content != hashing.checksum(self.order.data)",
          "and False", "version_audit"),
    Guard("a stop waits for what callers read", F + "planned_stop.py",
          "bool(open_requests or unsent_bytes)", "bool(open_requests)",
          "planned_stop"),
    Guard("a stop ends before the grace does", F + "planned_stop.py",
          "(has_work and now < self.ends_at)", "has_work", "planned_stop"),
    Guard("a request that waits and can't end is rejected",
          F + "forwarder.py",
          "if is_unsent and exchange.state.deadline > self.intake.ends_at:",
          "if False:", "planned_stop"),
    Guard("a head has a bound in lines", H + "response_bounds.py",
          "if self._most_lines > HEAD_LINES:", "if False:", "endless_answers"),
    Guard("framing has a bound", H + "response_bounds.py",
          "if self._framing > FRAMING_BYTES:", "if False:",
          "endless_answers"),
    Guard("a discarded body has a bound", H + "response_bounds.py",
          "if self._discarded > DISCARDED_BYTES:", "if False:",
          "endless_answers"),
    Guard("a part of a body ends the framing", H + "response_bounds.py",
          '        """Count a part of a body."""\n        self._framing = 0\n',
          '        """Count a part of a body."""\n', "endless_answers"),
    Guard("a buffered body has a bound", H + "http_fetch.py",
          "if self._size <= MAX_BODY_BYTES:", "if True:",
          "endless_answers"),
    Guard("framing of requests has a bound", H + "http_server.py",
          "        elif self._framing_bytes > max(\n"
          "            self._limits.header_bytes, FRAMING_BYTES\n        ):\n",
          "        elif False:\n", "endless_answers"),
)  # fmt: skip
