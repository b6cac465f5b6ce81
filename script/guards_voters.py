"""Guards of logs with fewer voters than wanted; see guards.py."""

import guard

Guard = guard.Guard
Q = "jasperweir/components/quorum/"
C = "jasperweir/components/configctl/"
B = "jasperweir/components/backpressure/"

GUARDS = (
    Guard("few voters: all that answer have synced", Q + "progress.py",
          "return min([index, *heard])", "return index", "quorum_reduced"),
    Guard("a silent voter doesn't block", Q + "progress.py",
          "if name not in silent]", "]", "quorum_reduced"),
    Guard("a loss needs a blank disk", Q + "lost_disks.py",
          "or not hello.blank:", "or False:", "quorum_reduced"),
    Guard("a loss needs fresh requests", Q + "lost_disks.py",
          "if hello.echo == claim.nonce:", "if True:", "quorum_reduced"),
    Guard("a loss takes a second", Q + "lost_disks.py",
          "return proved_s >= const.LOSS_PROOF_SECONDS",
          "return proved_s >= 0", "quorum_reduced"),
    Guard("a proof expires", Q + "lost_disks.py",
          "        if now - claim.confirmed_at > "
          "const.LOSS_PROOF_TTL_SECONDS:\n            return False\n", "",
          "quorum_reduced"),
    Guard("all that aren't lost must vote", Q + "voter.py",
          "return bool(lost) and members - lost <= self._votes",
          "return bool(lost)", "quorum_reduced"),
    Guard("a known stale voter doesn't recover", Q + "voter.py",
          "self.seats.reduced and self.is_short and not self.is_known_stale",
          "self.seats.reduced and self.is_short", "quorum_reduced"),
    Guard("a recovery skips terms", Q + "voter.py",
          "const.RECOVERY_TERM_STEP if self._excused else 1", "1",
          "quorum_reduced"),
    Guard("all voters know who may be promoted", Q + "voter.py",
          "if self.seats.reduced and not self._do_all_voters_hold_seats():",
          "if False:", "quorum_reduced"),
    Guard("no data centre keeps a majority", C + "seats.py",
          "    return _spread(seats, count, wanted, leader, places)\n",
          "    return None\n", "quorum_reduced"),
    Guard("unused requests are kept", B + "limit_shares.py",
          "return max(const.LIMIT_BURST_SECONDS * per_s / count, "
          "const.OWNER_BURST)", "return const.OWNER_BURST", "limit"),
    Guard("what is kept is bounded", B + "state.py",
          "self.tokens = min(self.tokens + elapsed_s * self.per_s, self.burst)",
          "self.tokens += elapsed_s * self.per_s", "limit"),
)  # fmt: skip
