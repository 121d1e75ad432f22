"""Work of a worker that is only silent, or missing from a list, goes on.

Guarded failures: tasks of a worker that reports late are started elsewhere or given up;
a worker that has left, or a lost answer, makes work run again.
"""

import asyncio

import pytest

from savorydale.exceptions import StoreError
from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.jobs.store import JobAccepted, JobNotAccepted, JobOutcomeUnknown
from savorydale.tests.branch import LEASE_MAX_MS, STORE_ADDRESS, open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
SERVICE = StepSpec(6, 500, 100, long_running=True)
LEASE_SECONDS = LEASE_MAX_MS / 1000
STORE_GRACE_SECONDS = 2.0  # registrations are back this long after the store


def never_ending(task, run):
    return Plan(None)


async def start_service(branch, entry):
    await branch.submit(entry, JOB, SERVICE)
    await branch.wait_until(lambda: branch.checker.starts.total() == 6, 5)


def assert_nothing_was_restarted(branch):
    assert branch.checker.starts.total() == 6
    assert not branch.checker.ends


def set_partitioned(branch, worker, is_partitioned):
    for entry in branch.entry_by_name:
        branch.faults_between(entry, f"{worker}:80").is_partitioned = is_partitioned


@pytest.mark.parametrize("leases", [0.25, 0.5, 0.75])
@on_virtual_time
async def test_worker_silent_for_less_than_its_lease_keeps_its_runs(leases):
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        set_partitioned(branch, "w0", True)
        await asyncio.sleep(leases * LEASE_SECONDS)
        set_partitioned(branch, "w0", False)
        await asyncio.sleep(2 * LEASE_SECONDS)
        assert_nothing_was_restarted(branch)


@pytest.mark.parametrize("leases", [1, 2])
@on_virtual_time
async def test_runs_of_a_worker_silent_for_longer_restart_only_after_they_ended(leases):
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        set_partitioned(branch, "w0", True)
        await asyncio.sleep(leases * LEASE_SECONDS)
        set_partitioned(branch, "w0", False)
        await branch.wait_until(
            lambda: branch.checker.running_task_count(JOB) == 6, 2 * LEASE_SECONDS
        )
        restarts = branch.checker.starts.total() - 6
        assert restarts == branch.checker.ends.total()


@pytest.mark.parametrize("seconds", [0.4, 1.0, 1.5])
@on_virtual_time
async def test_reports_that_arrive_late_change_nothing(seconds):
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        for entry in branch.entry_by_name:
            branch.faults_between(entry, "w0:80").reply_delay_seconds = seconds
        await asyncio.sleep(4 * LEASE_SECONDS)
        assert_nothing_was_restarted(branch)


@on_virtual_time
async def test_worker_that_answers_but_is_not_registered_keeps_its_runs():
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        branch.store.delete("servers", "w0")
        await asyncio.sleep(3 * LEASE_SECONDS)
        assert_nothing_was_restarted(branch)


@on_virtual_time
async def test_registrations_that_lapsed_during_a_store_outage_cost_no_run():
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE_ADDRESS).is_partitioned = True
        for worker in branch.worker_by_name:
            branch.store.delete("servers", worker)
        await asyncio.sleep(2 * LEASE_SECONDS)
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE_ADDRESS).is_partitioned = False
        await asyncio.sleep(STORE_GRACE_SECONDS)
        for worker in branch.worker_by_name:
            branch.register(worker)
        await asyncio.sleep(2 * LEASE_SECONDS)
        assert_nothing_was_restarted(branch)


@on_virtual_time
async def test_takeover_without_registrations_costs_no_run():
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        for worker in branch.worker_by_name:
            branch.store.delete("servers", worker)
        await branch.kill_entry(branch.scheduling_entry())
        await asyncio.sleep(STORE_GRACE_SECONDS + 1.0)
        for worker in branch.worker_by_name:
            branch.register(worker)
        await asyncio.sleep(2 * LEASE_SECONDS)
        assert_nothing_was_restarted(branch)


@on_virtual_time
async def test_quarantined_worker_keeps_its_runs():
    def end_batch(outcome):
        return lambda task, run: (
            Plan(None) if task.startswith(JOB) else Plan(0.1, outcome)
        )

    async with open_branch(end_batch("done"), workers=2, attempts=1) as branch:
        await start_service(branch, "e0")
        branch.worker_by_name["w0"].plan = end_batch("failed")
        for number in range(24):
            await branch.submit("e0", f"{number:016x}", StepSpec(2, 100, 10))
        await asyncio.sleep(2 * LEASE_SECONDS)
        assert branch.counters.count("worker.quarantined") > 0
        assert branch.checker.running_task_count(JOB) == 6
        assert not [task for task in branch.checker.ends if task.startswith(JOB)]


@pytest.mark.parametrize("is_late", [True, False])
@on_virtual_time
async def test_submission_whose_answer_was_lost_runs_once(is_late):
    # The caller retries at another entry, before or after the first attempt's effect.
    async with open_branch(attempts=1) as branch:
        faults = branch.faults_between("e0", STORE_ADDRESS)
        faults.late_order_probability = 1.0 if is_late else 0.0
        faults.lost_response_probability = 0.0 if is_late else 1.0
        outcome = await branch.submit("e0", JOB, StepSpec(3, 500, 100))
        assert isinstance(outcome, JobOutcomeUnknown)
        faults.late_order_probability = faults.lost_response_probability = 0.0
        retried = await branch.submit("e1", JOB, StepSpec(3, 500, 100))
        assert isinstance(retried, JobAccepted)
        await branch.wait_for_status("e1", JOB, JobStatus.COMPLETED, 10)
        await asyncio.sleep(10)
        assert branch.checker.starts.total() == 3


@on_virtual_time
async def test_refused_submission_never_runs_even_if_answers_were_lost_before():
    async with open_branch() as branch:
        faults = branch.faults_between("e0", STORE_ADDRESS)
        faults.late_order_probability = 0.5
        refused = []
        for number in range(30):
            job = f"{number:016x}"
            faults.refuses = number % 3 == 0
            outcome = await branch.submit("e0", job, StepSpec(1, 10, 10))
            if isinstance(outcome, JobNotAccepted):
                refused.append(job)
        faults.refuses = False
        faults.late_order_probability = 0.0
        await asyncio.sleep(10)
        assert refused
        started = {task.partition(".")[0] for task in branch.checker.starts}
        assert not started.intersection(refused)


@on_virtual_time
async def test_cancellation_whose_answer_was_lost_holds():
    async with open_branch(never_ending) as branch:
        await start_service(branch, "e0")
        holder = branch.scheduling_entry()
        other = next(name for name in branch.entry_by_name if name != holder)
        faults = branch.faults_between(other, STORE_ADDRESS)
        faults.lost_response_probability = 1.0
        try:
            outcome = await branch.entry_by_name[other].job_store.cancel(JOB, 1.0)
            assert not outcome.is_stored
        except StoreError:
            pass
        faults.lost_response_probability = 0.0
        outcome = await branch.entry_by_name[other].job_store.cancel(JOB, 1.0)
        assert outcome.exists and outcome.is_stored
        await branch.wait_until(lambda: branch.checker.running_task_count(JOB) == 0, 5)
        await branch.kill_entry(holder)
        await asyncio.sleep(8)
        assert branch.checker.starts.total() == 6
