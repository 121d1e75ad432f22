"""A table is followed through failures; the first response after one comes at once."""

import asyncio

import pytest

from savorydale.exceptions import StoreUnreachableError
from savorydale.storage.follow import follow_table
from savorydale.storage.rows import RowRange
from savorydale.tests.harness import on_virtual_time

WAIT_SECONDS = 1.0


class FailingStore:
    """Answers requests for changes as ``outcomes`` say, and records their waits."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.waits = []

    async def read_changes(self, table, after_version, wait_seconds):
        if not self.outcomes:
            raise asyncio.CancelledError
        self.waits.append(wait_seconds)
        if not self.outcomes.pop(0):
            raise StoreUnreachableError("no response")
        return RowRange((), after_version, 0)


class Listener:
    def __init__(self):
        self.responses = 0

    def record_response(self, store_ms):
        self.responses += 1


@on_virtual_time
async def test_request_after_a_failure_does_not_wait_for_changes():
    store, listener = FailingStore([True, False, False, True, True]), Listener()
    with pytest.raises(asyncio.CancelledError):
        await follow_table(store, "servers", listener, WAIT_SECONDS, version=7)
    assert store.waits == [WAIT_SECONDS, WAIT_SECONDS, 0.0, 0.0, WAIT_SECONDS]
    assert listener.responses == 3
