"""A job whose cancellation was answered never runs, however late it is stored.

The store may carry out a submission seconds after its callers have got no response.
"""

import asyncio

import pytest

from savorydale.exceptions import StoreError
from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.jobs.store import CancelOutcome, JobAccepted, JobOutcomeUnknown
from savorydale.tests.branch import STORE_ADDRESS, open_branch
from savorydale.tests.harness import on_virtual_time

JOB = "00000000000000a1"
STEP = StepSpec(2, 500, 100)
NO_JOB = CancelOutcome(exists=False, is_stored=True)
NOT_KNOWN = CancelOutcome(exists=False, is_stored=False)
WATCH_SECONDS = 12.0
RETENTION_SECONDS = 155.0  # states are kept for 120 s after the end, and 30 s more
CANCEL_COUNT = 500


class LateStore:
    """Holds back the submissions of a job, which get no response."""

    def __init__(self, branch, seconds, loses_response_only=False):
        self._branch = branch
        self._handle = branch.store.handle
        self.seconds = seconds
        self.is_active = True
        self.loses_response_only = loses_response_only
        branch.store.handle = self.handle

    async def handle(self, method, path, params, body):
        keys = [row["key"] for row in (body or {}).get("setKeys") or []]
        if not self.is_active or JOB not in keys:
            return await self._handle(method, path, params, body)
        if self.loses_response_only:
            await self._handle(method, path, params, body)
        else:
            self._branch.spawn(self._execute_late(method, path, params, body))
        return await asyncio.sleep(3600)

    async def _execute_late(self, *request):
        await asyncio.sleep(self.seconds)
        await self._handle(*request)


async def cancel(branch, entry, job=JOB):
    return await branch.entry_by_name[entry].job_store.cancel(job, 2.5)


async def submit_late(branch, seconds):
    """Submit a job whose rows are stored ``seconds`` later; the outcome is unknown."""
    late_store = LateStore(branch, seconds)
    assert isinstance(await branch.submit("e0", JOB, STEP), JobOutcomeUnknown)
    late_store.is_active = False


def count_rows(branch):
    """Return the number of rows of jobs and of their states and progress."""
    tables = ("jobs", "states", "steps")
    return sum(name.table in tables for name in branch.store._row_by_name)


async def check_never_runs(branch, entry):
    await asyncio.sleep(WATCH_SECONDS)
    assert branch.checker.starts.total() == 0
    assert await branch.status(entry, JOB) in (None, JobStatus.CANCELLED)
    assert await branch.entry_by_name[entry].job_store.count_pending("q1", 2.0) == 0


@pytest.mark.parametrize("canceller", ["e0", "e1", "e2"])
@pytest.mark.parametrize("seconds", [1.3, 2.0, 4.0, 6.0])
@on_virtual_time
async def test_job_stored_after_its_cancellation_never_runs(seconds, canceller):
    """Guards against a job that runs although its cancel was answered with 410."""
    async with open_branch(entries=3) as branch:
        await submit_late(branch, seconds)
        assert await cancel(branch, canceller) in (NO_JOB, CancelOutcome(True, True))
        await check_never_runs(branch, canceller)


@pytest.mark.parametrize("seconds_until_kill", [0.0, 1.0, 3.0])
@on_virtual_time
async def test_job_stored_after_its_cancellation_and_a_takeover_never_runs(
    seconds_until_kill,
):
    async with open_branch(entries=3) as branch:
        await submit_late(branch, 6.0)
        assert await cancel(branch, "e1") == NO_JOB
        await asyncio.sleep(seconds_until_kill)
        await branch.kill_entry(branch.scheduling_entry())
        await check_never_runs(branch, next(iter(branch.entry_by_name)))


@pytest.mark.parametrize("seconds", [0.0, 5.0, 60.0])
@on_virtual_time
async def test_job_submitted_again_after_its_cancellation_never_runs(seconds):
    """A repeated submission may arrive seconds late; it remains one cancelled job."""
    async with open_branch() as branch:
        assert await cancel(branch, "e1") == NO_JOB
        await asyncio.sleep(seconds)
        for _ in range(2):
            assert isinstance(await branch.submit("e0", JOB, STEP), JobAccepted)
            assert await branch.status("e1", JOB) is JobStatus.CANCELLED
        assert await cancel(branch, "e1") == CancelOutcome(True, True)
        await check_never_runs(branch, "e1")
        assert await branch.status("e1", JOB) is JobStatus.CANCELLED


@pytest.mark.parametrize("milliseconds", range(0, 30, 2))
@on_virtual_time
async def test_submission_and_cancellation_at_the_same_time_agree(milliseconds):
    async with open_branch() as branch:
        submission = asyncio.create_task(branch.submit("e0", JOB, STEP))
        await asyncio.sleep(milliseconds / 1000)
        outcome = await cancel(branch, "e1")
        assert isinstance(await submission, JobAccepted)
        assert outcome in (NO_JOB, CancelOutcome(True, True))
        await asyncio.sleep(WATCH_SECONDS)
        assert await branch.status("e0", JOB) is JobStatus.CANCELLED
        assert branch.worker_by_name["w0"].run_by_task == {}


@on_virtual_time
async def test_cancel_whose_write_gets_no_response_is_answered_once_it_is_stored():
    async with open_branch() as branch:
        late_store = LateStore(branch, 0.0, loses_response_only=True)
        assert await cancel(branch, "e0") == NO_JOB
        late_store.is_active = False
        assert isinstance(await branch.submit("e1", JOB, STEP), JobAccepted)
        await check_never_runs(branch, "e0")


@on_virtual_time
async def test_cancel_is_not_answered_while_nothing_can_be_stored():
    """Guards against a 410 that a later submission could make untrue."""
    async with open_branch() as branch:
        LateStore(branch, 3600.0)
        assert await cancel(branch, "e0") == NOT_KNOWN
        assert await branch.status("e1", JOB) is None


@pytest.mark.parametrize("has_takeover", [False, True])
@on_virtual_time
async def test_cancellations_of_unknown_jobs_leave_no_rows(has_takeover):
    """Guards against rows that stay for ever, and IDs that can't be used again."""
    async with open_branch() as branch:
        jobs = [f"{number:016x}" for number in range(CANCEL_COUNT)]
        entry = branch.scheduling_entry()
        for job in jobs:
            assert await cancel(branch, entry, job) == NO_JOB
        assert await cancel(branch, entry, jobs[0]) == NO_JOB
        assert await branch.status(entry, jobs[0]) is None
        assert count_rows(branch) >= CANCEL_COUNT
        if has_takeover:
            await branch.kill_entry(entry)
            entry = next(iter(branch.entry_by_name))
        await asyncio.sleep(RETENTION_SECONDS)
        assert count_rows(branch) == 0
        await branch.submit(entry, jobs[0], STEP)
        await branch.wait_for_status(entry, jobs[0], JobStatus.COMPLETED, 5)


@on_virtual_time
async def test_cancel_during_an_outage_of_the_store_is_no_answer():
    async with open_branch() as branch:
        branch.faults_between("e0", STORE_ADDRESS).refuses = True
        with pytest.raises(StoreError):
            await cancel(branch, "e0")
