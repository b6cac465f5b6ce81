"""Guards of departures, large messages and what follows a version."""

import guard as guard_lib

C = "jasperweir/components/"
Guard = guard_lib.Guard

GUARDS = (
    Guard("a departure is acknowledged once it is committed",
          C + "configctl/node.py",
          "        return started._replace(acts=departing.acts + started.acts)",
          "        acknowledged = "
          "discovery_server.Acknowledged(number=number)\n"
          "        return started._replace(\n"
          "            acts=[*departing.acts, *started.acts, acknowledged]\n"
          "        )", "departures"),
    Guard("a start merges the departures in the log", C + "configctl/node.py",
          "            out += self.discovery.on_departed(target, age_s, now)",
          "            pass", "departures"),
    Guard("departures share entries of the log", C + "configctl/departures.py",
          "if self._proposed_id or not self._waiting:",
          "if not self._waiting:", "departures"),
    Guard("the number of departures is bounded",
          C + "registry/state_machine.py",
          "][-const.MAX_DEPARTURES :]", "]", "departures"),
    Guard("an earlier start that is gone is recorded",
          C + "configctl/discovery_server.py",
          "            held = directory_lib.make_gone(target_id, born)",
          "            pass", "departures"),
    Guard("a window bounds what is on its way",
          "jasperweir/helpers/transfers.py",
          "while out.sent < min(len(view), out.acked + WINDOW_BYTES):",
          "while out.sent < len(view):", "transfers"),
    Guard("a new receiver gets a message from its start",
          "jasperweir/helpers/transfers.py",
          "            out.sent = ack.held\n", "            pass\n",
          "transfers"),
    Guard("a message on its way is not sent again",
          "jasperweir/helpers/transfers.py",
          "        if key in self._outgoing:\n            return []\n", "",
          "transfers"),
    Guard("large messages are sent in parts", "jasperweir/helpers/link.py",
          "return len(memoryview(body.data)) > transfers.WHOLE_BYTES",
          "return False", "large_configuration"),
    Guard("the log is compacted by size", C + "configctl/node.py",
          "if not is_long and log.size < const.COMPACT_BYTES:",
          "if not is_long:", "large_configuration"),
    Guard("a group follows its engine's figures",
          C + "mapswitch/coordinator.py",
          "        group.set_engine(engine)\n", "", "restored_configuration"),
    Guard("a switch ends as it was planned", C + "mapswitch/group.py",
          "if engine == self._engine or self.busy:",
          "if engine == self._engine:", "restored_configuration"),
)  # fmt: skip
