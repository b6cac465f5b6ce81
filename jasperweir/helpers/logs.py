"""Logging set-up with logbook, and a rate-limited JSON handler."""

import collections
from collections.abc import Callable
import json
import os
import sys
from typing import Any

import logbook
import msgspec

from jasperweir.helpers import clocks


class JsonFormatter:
    """Formats a record as one line of JSON."""

    def __call__(self, record: logbook.LogRecord, handler: object) -> str:
        """Return the formatted line."""
        body = {
            "at": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
        }
        body.update({str(k): str(v) for k, v in record.extra.items()})
        return json.dumps(body, sort_keys=True)


# Most lines that a process writes in a second.
MAX_LINES_PER_SECOND = 200
# Those of them that are kept for warnings and errors.
RESERVED_LINES_PER_SECOND = 50
# Most lines that wait to be written; above it new lines are dropped.
MAX_QUEUED_LINES = 2000


class BoundedHandler(logbook.Handler):
    """Writes rate-limited JSON lines to standard output without blocking.

    The keyword arguments of a log call become fields of its line. The next
    line after dropped ones holds their number.

    Attributes:
        on_first: Called when a line is queued while the queue is empty.
    """

    def __init__(self, *, level: str, node: str) -> None:
        super().__init__(level=level)
        self.on_first: Callable[[], None] = lambda: None
        self._node = node
        self._queue: collections.deque[bytes] = collections.deque()
        self._second = 0
        self._written = 0
        self._dropped_lines = 0
        self._partial_write = b""

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or drop and count it above the limits."""
        now = clocks.elapsed()
        if int(now) != self._second:
            self._second = int(now)
            self._written = 0
        full = len(self._queue) >= MAX_QUEUED_LINES
        max_lines = MAX_LINES_PER_SECOND
        if record.level < logbook.WARNING:
            max_lines -= RESERVED_LINES_PER_SECOND
        if full or self._written >= max_lines:
            self._dropped_lines += 1
            return
        self._written += 1
        body: dict[str, Any] = {
            "at": round(now, 3),
            "node": self._node,
            "level": record.level_name,
            "channel": record.channel,
            "event": str(record.msg),
        }
        body.update(record.kwargs or {})
        if self._dropped_lines:
            body["lines_left_out"] = self._dropped_lines
            self._dropped_lines = 0
        if record.exc_info:
            body["traceback"] = record.formatted_exception
        line = msgspec.json.encode(body, enc_hook=str)
        self._queue.append(line + b"\n")
        if len(self._queue) == 1 and not self._partial_write:
            self.on_first()

    def flush(self) -> bool:
        """Write the queued lines; return whether all were written."""
        while self._queue or self._partial_write:
            if not self._partial_write:
                self._partial_write = b"".join(self._queue)
                self._queue.clear()
            try:
                count = os.write(1, self._partial_write)
            except OSError:
                # The pipe is full or closed; emit drops lines above the limit.
                return False
            self._partial_write = self._partial_write[count:]
        return True


def setup_bounded(*, level: str, node: str) -> BoundedHandler:
    """Log the records of this process to standard output as JSON lines."""
    handler = BoundedHandler(level=level.upper(), node=node)
    os.set_blocking(1, False)
    handler.push_application()
    return handler


TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def setup(*, style: str, level: str) -> None:
    """Log the records of this process to standard error.

    Args:
        style: ``json`` for JSON lines, anything else for text.
        level: Lowest level that is logged.
    """
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=TEXT_FORMAT
    )
    if style == "json":
        handler.formatter = JsonFormatter()
    handler.push_application()


def logger(name: str) -> logbook.Logger:
    """Return the logger of a component."""
    return logbook.Logger(name)
