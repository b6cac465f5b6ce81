"""Guards of the completeness of answers."""

import guard as guard_lib

F = "jasperweir/components/forward/"
EVENT_STREAM = "jasperweir/helpers/event_stream.py"
Guard = guard_lib.Guard

GUARDS = (
    Guard("a stream that ends inside an event is broken off",
          F + "response_body.py", "if self._splitter.is_inside_event:",
          "if False:", "cut_answers"),
    Guard("an empty stream without framing is broken off",
          F + "response_body.py",
          "if self._progress.framing is http_message.Framing.CLOSE:",
          "if False:", "cut_answers"),
    Guard("an event that had begun must follow",
          F + "response_body.py", "        if self._expects_event:\n",
          "        if False:\n", "cut_answers"),
    Guard("a large event in parts is no resume point", EVENT_STREAM,
          "return self._is_last_identified and not self._is_split",
          "return self._is_last_identified", "cut_answers"),
    Guard("an event without an id is no resume point", EVENT_STREAM,
          "return self._is_last_identified and not self._is_split",
          "return not self._is_split", "cut_answers"),
    Guard("a large event in parts is an open event", EVENT_STREAM,
          "return self._is_split or not all(", "return not all(",
          "cut_answers"),
    Guard("CR and CRLF end lines", EVENT_STREAM,
          '_EVENT_ENDS = (b"\\n\\n", b"\\n\\r", b"\\r\\r")',
          '_EVENT_ENDS = (b"\\n\\n",)', "cut_answers"),
    Guard("only a known point is resumed", F + "request_state.py",
          "            and self.has_resume_point\n", "", "cut_answers"),
    Guard("an error is no continuation of a stream", F + "request_state.py",
          "if self.response_started and not is_success:", "if False:",
          "cut_answers"),
    Guard("another media type is not read as events", F + "exchange.py",
          "            and response_body.is_event_stream(head.headers)\n",
          "", "cut_answers"),
    Guard("another media type is no continuation", F + "exchange.py",
          "if self.state.response_started and not is_event_stream:",
          "if False:", "cut_answers_review"),
    Guard("only a close without framing ends a response",
          "jasperweir/helpers/http_client.py",
          "        if self._until_close:\n            self.close()\n",
          "        if True:\n            self.close()\n", "cut_answers"),
)  # fmt: skip
