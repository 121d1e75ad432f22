"""Test the cache of terminal states."""

import asyncio

from savorydale.jobs import store as store_module
from savorydale.jobs.rows import JobStatus, StateRow, encode_state, state_key
from savorydale.jobs.store import JobStore
from savorydale.jobs.submission_gate import SubmissionGate
from savorydale.storage.rows import RowRange, StoredRow


class StoreOfEndedJobs:
    """Returns a completed job for every ID."""

    def __init__(self):
        self.reads = 0

    async def read_range(self, table, start="", end="", *, timeout_seconds):
        self.reads += 1
        value = encode_state(StateRow("q", JobStatus.COMPLETED, 1))
        return RowRange((StoredRow(state_key(start), value, 1),), 1, 1)


def test_cache_of_terminal_states_is_bounded(monkeypatch):
    monkeypatch.setattr(store_module, "MAX_CACHED_STATES", 2)
    rows = StoreOfEndedJobs()
    job_store = JobStore(rows, SubmissionGate(lambda: 0))

    async def find_all():
        for job in ("a", "b", "c", "c", "b", "a"):
            await job_store.find(job, 1.0)

    asyncio.run(find_all())
    assert rows.reads == 4
    assert job_store.has_terminal_state("a")
    assert not job_store.has_terminal_state("b")
