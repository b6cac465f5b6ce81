"""Guards of the records of how answers ended."""

import guard as guard_lib

F = "jasperweir/components/forward/"
Guard = guard_lib.Guard

GUARDS = (
    Guard("an attempt counts once", F + "response_recorder.py",
          "        progress.is_counted = True\n", "", "response_ends"),
    Guard("what was published is not counted again",
          F + "response_recorder.py", "        self._ended.clear()\n", "",
          "response_ends"),
    Guard("a request without an attempt is no response",
          F + "response_recorder.py",
          "progress.is_counted or progress.end is response_progress.End.NONE",
          "progress.is_counted", "response_ends"),
    Guard("a new attempt forgets the response of the one before",
          F + "exchange.py",
          "        self.progress = response_progress.ResponseProgress(\n"
          "            end=response_progress.End.UNSENT\n        )\n",
          "", "response_ends"),
    Guard("an end that was recorded stays", F + "response_progress.py",
          "        if self.end is End.OWN:\n", "        if True:\n",
          "response_ends"),
    Guard("a slow caller is no silent target", F + "response_progress.py",
          "elif is_caller_slow:", "elif False:", "response_ends"),
    Guard("an unread answer is no reset of the target", F + "exchange.py",
          "            self.progress.on_cut(response_progress.Cut.UNREAD)\n",
          "", "response_ends"),
    Guard("a target that closed while connecting leaves a line",
          F + "outcome_tracker.py",
          "        self._responses.record_not_sent(exchange)\n", "",
          "response_ends"),
    Guard("a move has its own end", F + "exchange.py",
          "        self.progress.stop(end)\n", "",
          "response_ends"),
    Guard("a cut counts once in the report",
          "jasperweir/components/outcomes/lines.py",
          'if event in const.CUT_EVENTS and body.get("cut"):',
          'if body.get("cut"):', "outcomes"),
    Guard("the line after a cut one is read",
          "jasperweir/components/outcomes/lines.py",
          "for start in (0, text.rfind(const.LINE_START)):",
          "for start in (0,):", "outcomes"),
)  # fmt: skip
