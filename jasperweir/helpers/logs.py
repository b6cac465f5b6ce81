"""Logbook set-up: lines only for changes of state."""

import json
import sys

import logbook


class JsonFormatter:
    """Format a record as one JSON object a line."""

    def __call__(self, record: logbook.LogRecord, handler: object) -> str:
        """Return the line."""
        body = {
            "at": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
        }
        body.update({str(k): str(v) for k, v in record.extra.items()})
        return json.dumps(body, sort_keys=True)


TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def setup(*, style: str, level: str) -> None:
    """Send log records of this process to standard error."""
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=TEXT_FORMAT
    )
    if style == "json":
        handler.formatter = JsonFormatter()
    handler.push_application()


def logger(name: str) -> logbook.Logger:
    """Return the logger of one component."""
    return logbook.Logger(name)
