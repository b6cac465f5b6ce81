"""Guards of groups of ranks as units of load; see guards.py."""

import guard

Guard = guard.Guard
G = "jasperweir/components/groups/"
B = "jasperweir/components/balance/"
F = "jasperweir/components/forward/"

GUARDS = (
    Guard("an outdated list replaces nothing", G + "directory.py",
          "if version <= self.version:", "if False:", "groups"),
    Guard("a list is bounded", G + "directory.py",
          "for group in msg.groups[: const.GROUPS_MAX]:",
          "for group in msg.groups:", "groups"),
    Guard("one group is no unit", G + "directory.py",
          "if len(units) > 1", "if len(units) > 0", "groups"),
    Guard("an accepted probe refutes the list", G + "directory.py",
          "        self._closed.discard(unit)\n        return True",
          "        return True", "groups"),
    Guard("a new leader collects heartbeats first", G + "notifier.py",
          "now - self._term_began_at < const.COLLECT_SECONDS", "False",
          "groups"),
    Guard("an entry that has started gets the list", G + "notifier.py",
          "if self._informed.get(name) != incarnation",
          "if name not in self._informed", "groups"),
    Guard("silent agents close no group",
          "jasperweir/components/mapswitch/coordinator.py",
          "for m in recent or newest", "for m in recent", "groups"),
    Guard("a closed group gets no requests", F + "available_targets.py",
          "targets = self._drop_closed(targets, service, now)", "pass",
          "groups"),
    Guard("a closed group is probed", F + "forwarder.py",
          "if self._probe_group(exchange, now):", "if False:", "groups"),
    Guard("entries share the probes", F + "available_targets.py",
          "const.OUTAGE_PROBE_SECONDS * max(entry_count, 1)",
          "const.OUTAGE_PROBE_SECONDS", "groups"),
    Guard("refusals close their group only", F + "outcome_tracker.py",
          "unit = self._outages.groups.find_unit(service, target.address)\n"
          "            outage",
          "unit = service\n            outage", "groups"),
    Guard("a group that is open anew is used at once", F + "forwarder.py",
          "                self._outages.reset(change.unit)\n", "", "groups"),
    Guard("each group has its own pass limit", F + "pass_monitor.py",
          "unit = self._groups.find_unit(service, target.address)",
          "unit = service", "groups"),
    Guard("a group that forms anew starts slowly", B + "passes.py",
          "return min(self._find_pass_limit(now), self._ramp_streams)",
          "return self._find_pass_limit(now)", "groups"),
    Guard("groups of the own data centre come first", G + "choice.py",
          "        unit.is_local,\n        unit.capacity",
          "        unit.capacity", "groups"),
    Guard("unlisted targets come last", G + "choice.py",
          "        unit.is_listed,\n        unit.is_local",
          "        unit.is_local", "groups"),
    Guard("an entry fills its part of a distant group", G + "overflow.py",
          "share = max(headroom, 0.0) / max(entries, 1)",
          "share = max(headroom, 0.0)", "groups"),
    Guard("unknown load is extrapolated", B + "balancer.py",
          "unknown = sum(reports) / len(reports) if reports else 0.0",
          "unknown = 0.0", "groups"),
)  # fmt: skip
