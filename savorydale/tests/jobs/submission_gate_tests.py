"""Submissions are held back while the store is overloaded, and refusals are true.

Guarded failure: an entry goes on sending submissions to an overloaded store, and leaves
the transactions of the scheduling entry no turn.
"""

import asyncio

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.rows import JobStatus, StateRow, encode_state
from savorydale.jobs.store import (
    JobAccepted,
    JobHeldBack,
    JobNotAccepted,
    JobOutcomeUnknown,
    JobStore,
)
from savorydale.jobs.submission_gate import MAX_CLOSED_SECONDS, SubmissionGate
from savorydale.storage.rows import (
    Committed,
    NotDone,
    OutcomeUnknown,
    RowKey,
    RowRange,
    StoredRow,
    StoreOverloaded,
)
from savorydale.tests.harness import on_virtual_time

JOB = "0123456789abcdef"
SPEC = JobSpec("x", (StepSpec(1, 100, 10),))
QUEUE = QueueSettings("q", "desk.example", "/q/", "desk")
TIMEOUT_SECONDS = 2.5
OVERLOADED = StoreOverloaded("status 429")


class ScriptedStore:
    """Returns the given outcomes of transactions in order, and the last one again."""

    def __init__(self, *outcomes, transaction_seconds=0.0, read_seconds=0.0):
        self._outcomes = list(outcomes)
        self._transaction_seconds = transaction_seconds
        self._read_seconds = read_seconds
        self.transactions = 0
        self.status_by_job: dict[str, JobStatus] = {}

    async def transact(self, transaction, timeout_seconds):
        self.transactions += 1
        await asyncio.sleep(self._transaction_seconds)
        if len(self._outcomes) > 1:
            return self._outcomes.pop(0)
        return self._outcomes[0]

    async def read_range(self, table, start="", end="", *, timeout_seconds):
        await asyncio.sleep(self._read_seconds)
        status = self.status_by_job.get(start)
        rows = ()
        if status is not None:
            value = encode_state(StateRow("q", status, 1))
            rows = (StoredRow(RowKey(table, start), value, 1),)
        return RowRange(rows, 1, 1)


class Entry:
    """A job store whose gate follows ``commit_version``."""

    def __init__(self, store):
        self.store = store
        self.commit_version = 1
        gate = SubmissionGate(lambda: self.commit_version)
        self.jobs = JobStore(store, gate)

    async def submit(self):
        return await self.jobs.submit(JOB, SPEC, QUEUE, TIMEOUT_SECONDS)


@on_virtual_time
async def test_submission_refused_by_an_overloaded_store_is_not_tried_again():
    entry = Entry(ScriptedStore(OVERLOADED))
    assert isinstance(await entry.submit(), JobHeldBack)
    assert entry.store.transactions == 1


@on_virtual_time
async def test_submissions_are_held_back_until_the_scheduling_entry_commits():
    entry = Entry(ScriptedStore(OVERLOADED, Committed(2)))
    await entry.submit()
    assert isinstance(await entry.submit(), JobHeldBack)
    assert entry.store.transactions == 1
    entry.commit_version += 1
    assert await entry.submit() == JobAccepted(is_repeat=False)


@on_virtual_time
async def test_submissions_are_tried_again_if_the_scheduling_entry_is_gone():
    entry = Entry(ScriptedStore(OVERLOADED, Committed(2)))
    await entry.submit()
    await asyncio.sleep(MAX_CLOSED_SECONDS)
    assert await entry.submit() == JobAccepted(is_repeat=False)


@on_virtual_time
async def test_long_wait_in_the_store_holds_the_next_submission_back():
    entry = Entry(ScriptedStore(Committed(2), transaction_seconds=0.6))
    assert await entry.submit() == JobAccepted(is_repeat=False)
    assert isinstance(await entry.submit(), JobHeldBack)


@on_virtual_time
async def test_slow_response_without_a_wait_holds_no_submission_back():
    store = ScriptedStore(Committed(2), transaction_seconds=0.6, read_seconds=0.5)
    entry = Entry(store)
    await entry.jobs.find(JOB, TIMEOUT_SECONDS)
    assert await entry.submit() == JobAccepted(is_repeat=False)
    assert await entry.submit() == JobAccepted(is_repeat=False)


@on_virtual_time
async def test_job_that_is_stored_is_not_refused():
    entry = Entry(ScriptedStore(OVERLOADED))
    entry.store.status_by_job[JOB] = JobStatus.QUEUED
    assert await entry.submit() == JobAccepted(is_repeat=True)
    assert await entry.submit() == JobAccepted(is_repeat=True)


@on_virtual_time
async def test_cancelled_unknown_job_is_not_shown_as_accepted():
    entry = Entry(ScriptedStore(OVERLOADED))
    entry.store.status_by_job[JOB] = JobStatus.TOMBSTONE
    assert isinstance(await entry.submit(), JobHeldBack)


@on_virtual_time
async def test_overload_after_a_lost_response_leaves_the_outcome_unknown():
    entry = Entry(ScriptedStore(OutcomeUnknown("x"), OVERLOADED))
    assert isinstance(await entry.submit(), JobOutcomeUnknown)


@on_virtual_time
async def test_store_that_is_down_holds_no_submission_back():
    entry = Entry(ScriptedStore(NotDone("status 503")))
    outcome = await entry.submit()
    assert isinstance(outcome, JobNotAccepted)
    assert not isinstance(outcome, JobHeldBack)
    assert entry.store.transactions == 3
