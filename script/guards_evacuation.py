"""Guards of evacuated data centres; see guards.py."""

import guard

Guard = guard.Guard
C = "jasperweir/components/configctl/"
D = "jasperweir/daemons/"
F = "jasperweir/components/forward/"
R = "jasperweir/components/registry/"

GUARDS = (
    Guard("an outdated evacuation order is refused", R + "state_machine.py",
          "if not holds and op.expected != held.orders:", "if False:",
          "evacuation"),
    Guard("an evacuation order without effect is counted",
          R + "state_machine.py",
          "new = ops.Evacuation(evacuated=op.evacuated, "
          "orders=held.orders + 1)",
          "new = ops.Evacuation(evacuated=op.evacuated, "
          "orders=held.orders + (not holds))",
          "evacuation"),
    Guard("records of evacuations are bounded", R + "state_machine.py",
          ">= const.MAX_EVACUATION_RECORDS", ">= 1 << 30", "evacuation"),
    Guard("an order is not taken for an earlier equal one",
          C + "evacuations.py",
          'return f"{_OP_PREFIX}{term}/{index}"',
          'return f"{_OP_PREFIX}order"', "evacuation"),
    Guard("an outdated number is corrected while the call is open",
          C + "leader_requests.py",
          "pending.request = request._replace(expected=msg.orders)", "pass",
          "evacuation"),
    Guard("an evacuation needs enough voters", C + "node.py",
          "        if not self._seats.has_enough(now):\n            return []\n"
          "        if not self._evacuations.start(src, msg):",
          "        if not self._evacuations.start(src, msg):", "evacuation"),
    Guard("request numbers differ from start to start", C + "node.py",
          "itertools.count(first_number)", "itertools.count(1)", "evacuation"),
    Guard("entries are told of a committed evacuation", C + "evacuations.py",
          "out += [core.Send(dst=name, msg=notice) for name in entries]",
          "pass", "evacuation"),
    Guard("heartbeats name the evacuated data centres",
          C + "discovery_server.py",
          "evacuations_revision=evacuations.revision",
          "evacuations_revision=0", "evacuation"),
    Guard("an entry keeps the newest list of evacuations",
          "jasperweir/components/discovery/client.py",
          "if not self._wants_content or "
          "revision <= self.evacuations.revision:",
          "if not self._wants_content:", "evacuation"),
    Guard("an unknown data centre can't be evacuated", D + "control_calls.py",
          "return Code.UNKNOWN_DATA_CENTRE", "return None", "evacuation"),
    Guard("a starting control VM knows no data centre for sure",
          D + "control_calls.py",
          "if not self._data_centres and not node.discovery.has_reports:",
          "if False:", "evacuation"),
    Guard("the settings list the data centres",
          "platform/adapter/settings.py",
          "return tuple(zones) if isinstance(zones, dict) else ()",
          "return ()", "evacuation"),
    Guard("an evacuated target gets nothing", F + "available_targets.py",
          "kept = [t for t in targets if t.place not in self.evacuated]",
          "kept = targets", "evacuated_targets"),
    Guard("a check for an evacuation before a request is written",
          F + "available_targets.py",
          "        if target.place in self.evacuated:\n"
          "            return True\n", "",
          "evacuated_targets"),
    Guard("callers of evacuated targets are refused at once",
          F + "admission.py",
          "if self._targets.are_all_evacuated(exchange.service, now):",
          "if False:", "evacuated_targets"),
    Guard("waiting callers of evacuated targets are refused at once",
          F + "forwarder.py",
          "if self.targets.are_all_evacuated(service, now):", "if False:",
          "evacuated_targets"),
    Guard("the limit on streams leaves out evacuated ranks",
          F + "forwarder.py", "directory=self.targets,",
          "directory=directory,", "evacuated_targets"),
    Guard("the end of an evacuation is announced", F + "available_targets.py",
          "self.on_evacuation_ended(place, now)", "pass",
          "evacuated_targets"),
    Guard("the filtered list is kept", F + "available_targets.py",
          "if cached is None or cached.announced is not announced:",
          "if True:", "evacuated_targets"),
)  # fmt: skip
