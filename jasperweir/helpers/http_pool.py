"""Pools of blocking HTTP connections that notice cut off and malformed heads.

``http.client`` takes the end of a connection for the end of a response's head,
the beginning of a line for the line, and a malformed field for the end of the
head. Without a length in the rest of the head, the response looks complete.
"""

import http.client
from typing import Any

import urllib3

from jasperweir.helpers import http_head


class _LineReader:
    """File of a connection whose lines are complete.

    Attributes:
        reads_head: Whether the lines belong to a head.
    """

    def __init__(self, *, file: Any) -> None:
        self._file = file
        self._has_line = False
        self._check = http_head.HeadCheck()
        self.reads_head = True

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def readline(self, limit: int = -1) -> bytes:
        """Return a line of a head, a chunk's size or a trailer.

        Raises:
            http.client.IncompleteRead: The connection ended within the line,
                or within a head.
            http.client.HTTPException: A line of a head is malformed.
        """
        line: bytes = self._file.readline(limit)
        if line.endswith(b"\n") or 0 <= limit <= len(line):
            self._has_line = True
            if self.reads_head and line.endswith(b"\n"):
                self._check_line(line[:-1])
            return line
        if line or (self.reads_head and self._has_line):
            raise http.client.IncompleteRead(line)
        return line

    def _check_line(self, line: bytes) -> None:
        try:
            self._check.check_line(line)
        except http_head.MalformedHeadError as exc:
            raise http.client.HTTPException(f"{exc}: {line[:80]!r}") from exc


class _Response(http.client.HTTPResponse):
    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._lines = _LineReader(file=self.fp)
        # Its other methods are those of the file.
        self.fp = self._lines  # type: ignore[assignment]

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        self._lines.reads_head = False


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def create(**options: Any) -> urllib3.PoolManager:
    """Return a manager of HTTP connections that send each request once.

    Args:
        **options: Arguments of ``urllib3.PoolManager``.
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {"http": _Pool}
    return manager
