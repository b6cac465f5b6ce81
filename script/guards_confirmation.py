"""Guards of the confirmation of configurations."""

import guard as guard_lib

C = "jasperweir/components/"
Guard = guard_lib.Guard

GUARDS = (
    Guard("a confirmation expires", C + "confirmation/const.py",
          "VALID_SECONDS = 1.5", "VALID_SECONDS = 10.0",
          "configuration_matrix"),
    Guard("a confirmation is dated by its request", C + "discovery/client.py",
          "        self.confirmations.confirm(confirmation, now)",
          "        self.confirmations.confirm(\n"
          "            confirmation._replace(as_of=now), now)",
          "confirmation"),
    Guard("an answer to another process confirms nothing",
          C + "confirmation/rounds.py",
          "        self._next = first\n", "        self._next = 1\n",
          "confirmation"),
    Guard("the age of a confirmation counts", C + "confirmation/rounds.py",
          "as_of=sent_at - msg.confirmed_age_s,", "as_of=sent_at,",
          "confirmation"),
    Guard("control VMs pass confirmations on",
          C + "configctl/discovery_server.py",
          "        if age_s >= confirmation_const.VALID_SECONDS:",
          "        if not log_status.certain:", "configuration_matrix"),
    Guard("a start waits for a confirmation", C + "confirmation/tracker.py",
          "        if not self._was_current:\n"
          "            return Standing.UNKNOWN\n", "",
          "outdated_configuration"),
    Guard("a newer version that is known is not ignored",
          C + "confirmation/tracker.py",
          "return Standing.OUTDATED if is_outdated else "
          "Standing.UNCONFIRMED",
          "return Standing.UNCONFIRMED", "confirmation"),
    Guard("a suspension voids what was asked before",
          C + "confirmation/tracker.py",
          "last is not None and now - last >= const.SUSPENDED_SECONDS",
          "False", "confirmation"),
    Guard("a denial is final by the newest version only",
          C + "discovery/version_basis.py",
          "return is_current and self.newest <= self.version",
          "return is_current", "confirmation"),
    Guard("a version is held once it is in force",
          C + "discovery/client.py",
          "                if msg.version > self.version:\n",
          "                self.confirmations.hold(msg.version, now)\n"
          "                if msg.version >= self.version:\n",
          "outdated_configuration"),
    Guard("waiting requests are matched again", C + "forward/forwarder.py",
          "            if not exchange.is_waiting or "
          "self.rematcher.is_held(exchange):\n",
          "            if self.rematcher.is_held(exchange):\n",
          "confirmation"),
    Guard("a stream is not joined from two services",
          C + "forward/rematcher.py",
          "            case matching.Moved() if not "
          "exchange.state.can_change_service:\n"
          "                exchange.fail(Code.BROKEN_OFF)\n", "",
          "confirmation"),
    Guard("repeated requests are matched again", C + "forward/forwarder.py",
          "        self.rematcher.rematch(exchange)\n"
          "        if exchange.done:\n", "        if exchange.done:\n",
          "confirmation"),
    Guard("waiting requests are not sent by an outdated version",
          C + "forward/intake.py",
          "        if self.is_outdated:\n            return _OUTDATED\n", "",
          "confirmation"),
    Guard("repeated requests wait for an answer of control VMs",
          C + "forward/rematcher.py",
          "        if not self._intake.is_awaiting:\n"
          "            return False\n", "        return False\n",
          "confirmation"),
    Guard("waiting requests wait for an answer of control VMs",
          C + "forward/forwarder.py",
          "        if not self.intake.is_awaiting:\n"
          "            admitted = ", "        if True:\n"
          "            admitted = ", "confirmation"),
    Guard("a request is matched again before it is written",
          C + "forward/exchange.py",
          "        if not self._forwarder.rematcher.is_settled(self):\n",
          "        if False:\n", "confirmation"),
    Guard("evacuations are a part of a confirmation",
          C + "confirmation/tracker.py",
          "        if confirmation.evacuations > self.held_evacuations:\n"
          "            return\n", "", "evacuation"),
    Guard("a control VM without a disk passes evacuations on",
          C + "configctl/discovery_server.py",
          "        if not self._keeps_log:\n"
          "            # It has", "        if False:\n"
          "            # It has", "evacuation"),
    Guard("an entry of the own interface refuses by an outdated bundle",
          C + "entry/bundle_gate.py",
          "                case Standing.OUTDATED:\n"
          "                    return Code.CONFIGURATION_UNCONFIRMED\n",
          "                case Standing.OUTDATED:\n"
          "                    return None\n", "bundle_confirmation"),
    Guard("an acknowledgement is dated by its heartbeat",
          C + "control/client.py",
          "self._confirm(msg.revision, sent_at, msg.leader, now)\n"
          "        return (msg.epoch, sent_at)",
          "self._confirm(msg.revision, now, msg.leader, now)\n"
          "        return (msg.epoch, sent_at)", "bundle_confirmation"),
    Guard("the planner follows the configuration that its process holds",
          "jasperweir/daemons/site_control.py",
          "            self._on_storage_error(exc)\n"
          "        self._follow_configuration()\n",
          "            self._on_storage_error(exc)\n",
          "restored_configuration"),
)  # fmt: skip
