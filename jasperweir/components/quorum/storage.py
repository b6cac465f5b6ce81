"""Data folder of a voter: identity, term, snapshot and checksummed log."""

import os
import pathlib
import secrets
import struct
from typing import NamedTuple
from typing import TypeVar

from jasperweir import exceptions
from jasperweir.components.quorum import messages
from jasperweir.helpers import codec
from jasperweir.helpers import hashing

IDENTITY_FILE = "identity"
META_FILE = "meta"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
COMMIT_FILE = "commit"
SOFT_STATE_FILE = "side"
_HEADER = struct.Struct("<IQ")
_MAX_RECORD = codec.MAX_FRAME_BYTES * 16


T = TypeVar("T")


class ScanResult(NamedTuple):
    """Result of reading a log file.

    Attributes:
        entries: Intact entries.
        offsets: Byte offset of each entry.
        valid_bytes: Bytes up to the end of the last intact entry.
        tail_uncertain: Whether the dropped tail may have been acknowledged.
    """

    entries: tuple[messages.Entry, ...]
    offsets: tuple[int, ...]
    valid_bytes: int
    tail_uncertain: bool


def encode_record(data: bytes) -> bytes:
    """Return a record with its header: length, checksum, data."""
    return _HEADER.pack(len(data), hashing.checksum(data)) + data


def scan_log(raw: bytes, *, synced_is_intact: bool = False) -> ScanResult:
    """Read records up to the end of the log or a torn tail.

    With ``synced_is_intact`` the log ends before the first bad record or
    the first one out of sequence. Such a record is part of an unsynced write.

    Otherwise an incomplete last record was never synced and is dropped. A
    complete last record with a wrong checksum may have been acknowledged: it
    is dropped and reported.

    Args:
        raw: Content of the log file.
        synced_is_intact: Whether the disk never damages synced data.

    Raises:
        LogCorruptError: A bad record is followed by an intact one.
    """
    entries: list[messages.Entry] = []
    offsets: list[int] = []
    pos = 0
    while pos < len(raw):
        data = _record_at(raw, pos)
        if data is None:
            break
        entry = codec.unpack(data, messages.Entry)
        if (
            synced_is_intact
            and entries
            and not _is_successor(entries[-1], entry)
        ):
            break
        offsets.append(pos)
        entries.append(entry)
        pos += _HEADER.size + len(data)
    if synced_is_intact:
        return ScanResult(tuple(entries), tuple(offsets), pos, False)
    if pos < len(raw) and _has_intact_record_after(raw, pos):
        raise exceptions.LogCorruptError(
            f"log record at byte {pos} is corrupt but later records are intact"
        )
    uncertain = pos < len(raw) and _is_complete(raw, pos)
    return ScanResult(
        entries=tuple(entries),
        offsets=tuple(offsets),
        valid_bytes=pos,
        tail_uncertain=uncertain,
    )


def _is_successor(before: messages.Entry, entry: messages.Entry) -> bool:
    return entry.idx == before.idx + 1 and entry.term >= before.term


def _record_at(raw: bytes, pos: int) -> bytes | None:
    """Return the data of a record, or None if it is torn or corrupt."""
    if pos + _HEADER.size > len(raw):
        return None
    size, digest = _HEADER.unpack_from(raw, pos)
    start = pos + _HEADER.size
    if size == 0 or size > _MAX_RECORD or start + size > len(raw):
        return None
    data = raw[start : start + size]
    return data if hashing.checksum(data) == digest else None


def _has_intact_record_after(raw: bytes, pos: int) -> bool:
    """Return whether an intact record starts anywhere after ``pos``."""
    return any(
        _record_at(raw, start) is not None
        for start in range(pos + 1, len(raw) - _HEADER.size)
    )


def _is_complete(raw: bytes, pos: int) -> bool:
    """Return whether a corrupt record has its full length.

    A record with an impossible length counts as complete, since its length
    field may be the corrupt part.
    """
    if pos + _HEADER.size > len(raw):
        return False
    size, _ = _HEADER.unpack_from(raw, pos)
    return (
        size == 0 or size > _MAX_RECORD or pos + _HEADER.size + size <= len(raw)
    )


class DiskStorage:
    """Files of one voter; each save is synced before it returns."""

    def __init__(
        self, *, folder: pathlib.Path, synced_is_intact: bool = False
    ) -> None:
        """Initialize the storage without opening any file.

        Args:
            folder: Data folder.
            synced_is_intact: Whether the disk never damages synced data. If
                not, a corrupt record may have been acknowledged.
        """
        self._folder = folder
        self._synced_is_intact = synced_is_intact
        self._offsets: dict[int, int] = {}
        self._size = 0
        self._fd = -1

    def open(self) -> messages.Recovered:
        """Read the files of the folder, or create them.

        Raises:
            StorageError: The folder cannot be read or written.
            LogCorruptError: The log is corrupt before its end.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            return self._recover()
        except OSError as exc:
            raise exceptions.StorageError(str(exc)) from exc

    def close(self) -> None:
        """Close the log file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def save_meta(self, meta: messages.Meta) -> None:
        """Replace the term and the vote, and sync."""
        self._replace(META_FILE, encode_record(codec.pack(meta)))

    def save_entries(
        self, first: int, entries: tuple[messages.Entry, ...]
    ) -> None:
        """Truncate the log before ``first``, append entries and sync."""
        try:
            self._truncate(first)
            chunks = []
            for entry in entries:
                record = encode_record(codec.pack(entry))
                self._offsets[entry.idx] = self._size
                self._size += len(record)
                chunks.append(record)
            _write_all(self._fd, b"".join(chunks))
            os.fsync(self._fd)
        except OSError as exc:
            raise exceptions.StorageError(str(exc)) from exc

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        kept: tuple[messages.Entry, ...],
    ) -> None:
        """Replace the snapshot, then the log, each atomically."""
        self._replace(SNAPSHOT_FILE, encode_record(codec.pack(snapshot)))
        records = [encode_record(codec.pack(entry)) for entry in kept]
        self._replace(LOG_FILE, b"".join(records))
        self._open_log()
        self._offsets = {}
        self._size = 0
        for entry, record in zip(kept, records, strict=True):
            self._offsets[entry.idx] = self._size
            self._size += len(record)

    def save_commit_hint(self, index: int) -> None:
        """Save the commit index as a hint for a faster restart.

        An outdated or lost hint is harmless, because the entries themselves
        are synced before they are committed.
        """
        self._replace(COMMIT_FILE, encode_record(codec.pack(index)))

    def save_soft_state(self, data: bytes) -> None:
        """Save soft state for a faster restart."""
        self._replace(SOFT_STATE_FILE, encode_record(data))

    def load_soft_state(self) -> bytes:
        """Return the soft state, empty if it is absent or corrupt."""
        return self._read_optional(SOFT_STATE_FILE)

    def _load_commit_hint(self) -> int:
        data = self._read_optional(COMMIT_FILE)
        return int(codec.unpack(data, int)) if data else 0

    def _read_optional(self, name: str) -> bytes:
        path = self._folder / name
        if not path.exists():
            return b""
        # A corrupt optional file is treated as absent.
        return _record_at(path.read_bytes(), 0) or b""

    def _recover(self) -> messages.Recovered:
        disk = self._load_identity()
        meta = self._read_record(META_FILE, messages.Meta) or messages.Meta()
        snapshot = (
            self._read_record(SNAPSHOT_FILE, messages.Snapshot)
            or messages.Snapshot()
        )
        self._open_log()
        raw = (self._folder / LOG_FILE).read_bytes()
        result = scan_log(raw, synced_is_intact=self._synced_is_intact)
        if result.valid_bytes < len(raw):
            os.ftruncate(self._fd, result.valid_bytes)
            os.fsync(self._fd)
        self._size = result.valid_bytes
        self._offsets = {
            entry.idx: offset
            for entry, offset in zip(
                result.entries, result.offsets, strict=True
            )
        }
        return messages.Recovered(
            disk=disk,
            meta=meta,
            snapshot=snapshot,
            entries=result.entries,
            tail_uncertain=result.tail_uncertain,
            commit_hint=self._load_commit_hint(),
        )

    def _load_identity(self) -> str:
        path = self._folder / IDENTITY_FILE
        if path.exists():
            return path.read_text(encoding="ascii").strip()
        leftovers = (META_FILE, SNAPSHOT_FILE, LOG_FILE)
        if any((self._folder / name).exists() for name in leftovers):
            raise exceptions.StorageError(
                f"{self._folder} contains a log but no identity file"
            )
        disk = secrets.token_hex(8)
        self._replace(IDENTITY_FILE, disk.encode("ascii"))
        return disk

    def _read_record(self, name: str, kind: type[T]) -> T | None:
        path = self._folder / name
        if not path.exists():
            return None
        raw = path.read_bytes()
        data = _record_at(raw, 0)
        if data is None:
            # These files are replaced atomically, so this is no torn write.
            raise exceptions.LogCorruptError(f"{path}: checksum mismatch")
        value: T = codec.unpack(data, kind)
        return value

    def _open_log(self) -> None:
        self.close()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._fd = os.open(self._folder / LOG_FILE, flags, 0o600)
        self._sync_folder()

    def _truncate(self, first: int) -> None:
        offset = self._offsets.get(first)
        if offset is None:
            return
        os.ftruncate(self._fd, offset)
        # Sync the truncation before new data is appended, so that a crash
        # cannot leave old records after new ones.
        os.fsync(self._fd)
        self._size = offset
        self._offsets = {
            index: at for index, at in self._offsets.items() if index < first
        }

    def _replace(self, name: str, data: bytes) -> None:
        temp = self._folder / f"{name}.new"
        try:
            fd = os.open(temp, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                _write_all(fd, data)
                os.fsync(fd)
            finally:
                os.close(fd)
            os.replace(temp, self._folder / name)
            self._sync_folder()
        except OSError as exc:
            raise exceptions.StorageError(str(exc)) from exc

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


def _write_all(fd: int, data: bytes) -> None:
    """Write all bytes; a single write call may be short without an error."""
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
