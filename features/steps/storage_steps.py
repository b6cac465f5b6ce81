"""Steps on the data folder of a voter."""

import os
import random

from behave import given
from behave import then
from behave import when

from jasperweir import exceptions
from jasperweir.components.quorum import messages
from jasperweir.components.quorum import storage
from jasperweir.components.quorum import voter as voter_lib


def open_folder(context):
    disk = storage.DiskStorage(folder=context.folder)
    return disk, disk.open()


@given("a data folder with {count:d} entries")
def step_folder(context, count):
    disk, found = open_folder(context)
    context.identity = found.disk
    disk.save_meta(messages.Meta(3, "a"))
    entries = tuple(
        messages.Entry(i, 1, "op", b"data-%d" % i) for i in range(1, count + 1)
    )
    for entry in entries:
        disk.save_entries(entry.idx, (entry,))
    context.entries = entries
    context.log = context.folder / storage.LOG_FILE
    disk.close()


@then("all {count:d} entries are read back under the same identity")
def step_read_back(context, count):
    _, found = open_folder(context)
    assert found.entries == context.entries and len(found.entries) == count
    assert found.disk == context.identity
    assert found.meta == messages.Meta(3, "a")
    assert not found.tail_uncertain


@then("a log torn at any byte yields only whole entries")
def step_torn(context):
    raw = context.log.read_bytes()
    for size in range(len(raw)):
        result = storage.scan_log(raw[:size])
        count = len(result.entries)
        assert result.entries == context.entries[:count]
        assert result.valid_bytes <= size
        assert not result.tail_uncertain, size


def flip_bit(context, at):
    raw = bytearray(context.log.read_bytes())
    raw[at] ^= 1
    context.log.write_bytes(bytes(raw))


@when("a bit of the first entry flips")
def step_flip_first(context):
    flip_bit(context, 15)


@when("a bit of the last entry flips")
def step_flip_last(context):
    flip_bit(context, -1)


@then("opening the folder fails because the log is corrupt")
def step_refused_as_damaged(context):
    try:
        open_folder(context)
    except exceptions.LogCorruptError:
        return
    raise AssertionError("a corrupt log was opened")


@then("{count:d} entries are read and the tail is uncertain")
def step_tail_uncertain(context, count):
    _, found = open_folder(context)
    assert len(found.entries) == count and found.tail_uncertain


@when("a snapshot up to {idx:d} is saved")
def step_snapshot(context, idx):
    disk, _ = open_folder(context)
    kept = tuple(e for e in context.entries if e.idx > idx)
    disk.save_snapshot(messages.Snapshot(idx, 1, data=b"state"), kept)
    disk.close()


@then("the snapshot and {count:d} entries are read back")
def step_snapshot_read_back(context, count):
    _, found = open_folder(context)
    assert found.snapshot.data == b"state" and len(found.entries) == count


@when("only the snapshot file of index {idx:d} is replaced")
def step_replace_snapshot_only(context, idx):
    raw = context.log.read_bytes()
    step_snapshot(context, idx)
    context.log.write_bytes(raw)


@then("a voter started from it has the last index {idx:d}")
def step_voter_index(context, idx):
    _, found = open_folder(context)
    voter = voter_lib.Voter(
        name="a", recovered=found, rng=random.Random(1), now=0.0
    )
    assert voter.log.last_index == idx and voter.log.base_index == 4


@when("the identity file is removed")
def step_remove_identity(context):
    (context.folder / storage.IDENTITY_FILE).unlink()


@then("opening the folder fails")
def step_refused(context):
    try:
        open_folder(context)
    except exceptions.StorageError:
        return
    raise AssertionError("a log without an identity was opened")


@when("the disk is full")
def step_disk_full(context):
    context.disk, _ = open_folder(context)
    # Every write to this device fails with ENOSPC.
    fd = os.open("/dev/full", os.O_WRONLY)
    os.dup2(fd, context.disk._fd)
    os.close(fd)


@then("an append fails and the earlier entries are kept")
def step_append_refused(context):
    entry = messages.Entry(4, 1, "op", b"x")
    try:
        context.disk.save_entries(4, (entry,))
    except exceptions.StorageError:
        _, found = open_folder(context)
        assert found.entries == context.entries
        return
    raise AssertionError("an append to a full disk succeeded")
