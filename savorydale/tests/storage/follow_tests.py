"""A table is followed through failures; the first response after one comes at once."""

import asyncio

import pytest

from savorydale.exceptions import LeadershipLostError, StoreUnreachableError
from savorydale.storage.follow import follow_table
from savorydale.storage.rows import RowRange
from savorydale.tests.harness import on_virtual_time

WAIT_SECONDS = 1.0


class FailingStore:
    """Answers requests for changes as ``outcomes`` say, and records their waits."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.waits = []
        self.snapshots = 0

    async def read_changes(self, table, after_version, wait_seconds):
        if not self.outcomes:
            raise asyncio.CancelledError
        self.waits.append(wait_seconds)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        if not outcome:
            raise StoreUnreachableError("no response")
        return RowRange((), after_version, 0)

    async def read_range(self, table, *, timeout_seconds):
        self.snapshots += 1
        return RowRange((), 9, 0)


class Listener:
    def __init__(self):
        self.responses = 0

    def replace_all(self, rows, version):
        pass

    def record_response(self, store_ms):
        self.responses += 1


@on_virtual_time
async def test_request_after_a_failure_does_not_wait_for_changes():
    store, listener = FailingStore([True, False, False, True, True]), Listener()
    with pytest.raises(asyncio.CancelledError):
        await follow_table(store, "servers", listener, WAIT_SECONDS, version=7)
    assert store.waits == [WAIT_SECONDS, WAIT_SECONDS, 0.0, 0.0, WAIT_SECONDS]
    assert listener.responses == 3


@on_virtual_time
async def test_unexpected_error_does_not_end_the_following_of_a_table(caplog):
    error = OverflowError("int too large to convert to float")
    store, listener = FailingStore([True, error, error, True]), Listener()
    with pytest.raises(asyncio.CancelledError):
        await follow_table(store, "servers", listener, WAIT_SECONDS, version=7)
    assert store.snapshots == 2
    assert listener.responses == 4
    messages = [record.getMessage() for record in caplog.records]
    assert messages.count("table cannot be followed") == 2


@on_virtual_time
async def test_lost_leadership_ends_the_following_of_a_table():
    store = FailingStore([LeadershipLostError("lost")])
    with pytest.raises(LeadershipLostError):
        await follow_table(store, "servers", Listener(), WAIT_SECONDS, version=7)
