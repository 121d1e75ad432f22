"""Submission, execution and cancellation of jobs on a whole branch, under faults."""

import asyncio

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.jobs.store import JobAccepted, JobNotAccepted, JobOutcomeUnknown
from savorydale.tests.branch import STORE_ADDRESS, open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
STEP = StepSpec(3, 500, 100, estimate_ms=500)
SERVICE_STEP = StepSpec(2, 500, 100, long_running=True)


def never_ending(task, run):
    return Plan(None)


@on_virtual_time
async def test_job_with_two_steps_completes():
    async with open_branch() as branch:
        second = StepSpec(2, 500, 100, estimate_ms=500, after=(0,))
        assert await branch.submit("e0", JOB, STEP, second) == JobAccepted(False)
        await branch.wait_for_status("e1", JOB, JobStatus.COMPLETED, 5)
        assert sum(branch.checker.starts.values()) == 5


@on_virtual_time
async def test_submission_is_idempotent():
    async with open_branch() as branch:
        await branch.submit("e0", JOB, STEP)
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(True)
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 5)
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(True)
        await asyncio.sleep(5)
        assert max(branch.checker.starts.values()) == 1


@on_virtual_time
async def test_unknown_job_has_no_status():
    async with open_branch() as branch:
        assert await branch.status("e0", JOB) is None


@on_virtual_time
async def test_task_that_exhausts_its_attempts_fails_its_job():
    async with open_branch(lambda task, run: Plan(0.2, "failed")) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100))
        await branch.wait_for_status("e0", JOB, JobStatus.FAILED, 5)
        assert sum(branch.checker.starts.values()) == 2


@on_virtual_time
async def test_cancelled_service_is_stopped():
    async with open_branch(never_ending) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_for_status("e0", JOB, JobStatus.RUNNING, 2)
        outcome = await branch.entry_by_name["e1"].job_store.cancel(JOB, 2.0)
        assert outcome.is_stored
        await branch.wait_until(
            lambda: not any(w.run_by_task for w in branch.worker_by_name.values()), 3
        )
        assert await branch.status("e0", JOB) is JobStatus.CANCELLED


@on_virtual_time
async def test_runs_continue_after_the_lease_holder_is_killed():
    async with open_branch(never_ending) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.checker.starts.total() == 2, 3)
        await branch.kill_entry(branch.scheduling_entry())
        await asyncio.sleep(15)
        assert branch.checker.starts.total() == 2
        assert branch.scheduling_entry() in branch.entry_by_name


@on_virtual_time
async def test_graceful_shutdown_hands_the_lease_over_at_once():
    async with open_branch() as branch:
        holder = branch.scheduling_entry()
        await branch.stop_entry(holder)
        await branch.wait_until(
            lambda: branch.scheduling_entry() in branch.entry_by_name, 1.5
        )


@on_virtual_time
async def test_restarted_lease_holder_reacquires_its_lease_at_once():
    async with open_branch(entries=1) as branch:
        await branch.kill_entry("e0")
        branch.start_entry("e0")
        await branch.submit_when_ready("e0", JOB, STEP)
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 3)


@on_virtual_time
async def test_accepted_job_survives_the_death_of_all_entries():
    async with open_branch() as branch:
        assert await branch.submit("e0", JOB, STEP) == JobAccepted(False)
        for name in ("e0", "e1"):
            await branch.kill_entry(name)
        await asyncio.sleep(1)
        branch.start_entry("e0")
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 8)


@on_virtual_time
async def test_late_start_orders_do_not_run_tasks_twice():
    async with open_branch(entries=1) as branch:
        for worker in branch.worker_by_name:
            faults = branch.faults_between("e0", f"{worker}:80")
            faults.late_order_probability = 0.4
        for number in range(8):
            await branch.submit("e0", f"{number:016x}", STEP)
        await asyncio.sleep(20)
        for worker in branch.worker_by_name:
            branch.faults_between("e0", f"{worker}:80").late_order_probability = 0.0
        for number in range(8):
            await branch.wait_for_status(
                "e0", f"{number:016x}", JobStatus.COMPLETED, 30
            )


@on_virtual_time
async def test_tasks_of_an_unreachable_worker_restart_after_its_lease_lapses():
    async with open_branch(never_ending, workers=2) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100, long_running=True))
        await branch.wait_until(lambda: branch.checker.starts.total() == 1, 3)
        busy_workers = [
            name for name, worker in branch.worker_by_name.items() if worker.run_by_task
        ]
        for entry in branch.entry_by_name:
            branch.faults_between(entry, f"{busy_workers[0]}:80").is_partitioned = True
        await branch.wait_until(lambda: branch.checker.starts.total() == 2, 12)


@on_virtual_time
async def test_tasks_of_a_restarted_worker_start_again():
    async with open_branch(never_ending, workers=1) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.checker.starts.total() == 2, 3)
        branch.worker_by_name["w0"].crash()
        branch.register("w0")
        await branch.wait_until(lambda: branch.checker.starts.total() == 4, 3)


@on_virtual_time
async def test_entry_partitioned_from_the_store_loses_the_lease():
    async with open_branch(never_ending) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.checker.starts.total() == 2, 3)
        holder = branch.scheduling_entry()
        branch.faults_between(holder, STORE_ADDRESS).is_partitioned = True
        await branch.wait_until(lambda: branch.scheduling_entry() != holder, 6)
        await asyncio.sleep(15)
        branch.faults_between(holder, STORE_ADDRESS).is_partitioned = False
        await asyncio.sleep(15)
        assert branch.checker.starts.total() == 2


@on_virtual_time
async def test_runs_continue_during_a_store_outage():
    async with open_branch(never_ending) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.checker.starts.total() == 2, 3)
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE_ADDRESS).is_partitioned = True
        await asyncio.sleep(30)
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE_ADDRESS).is_partitioned = False
        await asyncio.sleep(15)
        assert branch.checker.starts.total() == 2


@on_virtual_time
async def test_refused_and_unknown_submissions_are_distinguished():
    async with open_branch() as branch:
        faults = branch.faults_between("e0", STORE_ADDRESS)
        faults.refuses = True
        refused = await branch.submit("e0", JOB, STEP)
        assert isinstance(refused, JobNotAccepted)
        faults.refuses = False
        faults.lost_response_probability = 1.0
        unknown = await branch.submit("e0", JOB, STEP)
        assert isinstance(unknown, JobOutcomeUnknown)
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(True)


@on_virtual_time
async def test_jobs_complete_despite_lost_store_responses():
    async with open_branch() as branch:
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE_ADDRESS).lost_response_probability = 0.3
        for number in range(5):
            await branch.submit("e0", f"{number:016x}", STEP)
        for number in range(5):
            await branch.wait_for_status(
                "e1", f"{number:016x}", JobStatus.COMPLETED, 40
            )


@on_virtual_time
async def test_jobs_complete_after_the_store_loses_its_history():
    async with open_branch() as branch:
        branch.store.truncate_history()
        await branch.submit("e0", JOB, STEP)
        branch.store.truncate_history()
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 5)


@on_virtual_time
async def test_failure_is_counted_once_if_the_holder_dies_before_acknowledging_it():
    def fail_once(task, run):
        return Plan(0.5, "failed" if run == 1 else "done")

    async with open_branch(fail_once, workers=1) as branch:
        holder = branch.scheduling_entry()
        other = next(name for name in branch.entry_by_name if name != holder)
        await branch.submit(other, JOB, StepSpec(1, 500, 100))
        await branch.wait_until(lambda: branch.checker.starts.total() == 1, 3)
        branch.register("w0", state="draining")  # prevents a second run for now
        await branch.wait_until(lambda: branch.checker.ends.total() == 1, 3)
        # The end soon becomes durable, but the worker never gets the acknowledgement.
        branch.faults_between(holder, "w0:80").is_partitioned = True
        await asyncio.sleep(0.2)
        await branch.kill_entry(holder)
        await asyncio.sleep(4)
        branch.register("w0")
        await branch.wait_for_status(other, JOB, JobStatus.COMPLETED, 15)


@on_virtual_time
async def test_services_move_off_a_draining_worker():
    async with open_branch(never_ending, workers=2) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100, long_running=True))
        await branch.wait_until(lambda: branch.checker.starts.total() == 1, 3)
        busy_worker = next(
            name for name, worker in branch.worker_by_name.items() if worker.run_by_task
        )
        branch.register(busy_worker, state="draining")
        await branch.wait_until(lambda: branch.checker.starts.total() == 2, 2)
        assert not branch.worker_by_name[busy_worker].run_by_task


@on_virtual_time
async def test_no_task_starts_on_a_draining_worker():
    async with open_branch(workers=1) as branch:
        branch.register("w0", state="draining")
        await asyncio.sleep(1)
        await branch.submit("e0", JOB, STEP)
        await asyncio.sleep(5)
        assert branch.checker.starts.total() == 0


@on_virtual_time
async def test_stalled_tasks_restart_on_another_worker():
    async with open_branch(workers=2) as branch:
        branch.worker_by_name["w0"].is_stalled = True
        await branch.submit("e0", JOB, StepSpec(4, 500, 100, estimate_ms=500))
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 8)


@on_virtual_time
async def test_long_task_does_not_count_as_stalled():
    async with open_branch(lambda task, run: Plan(400)) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100, estimate_ms=60_000))
        await asyncio.sleep(300)
        assert branch.checker.starts.total() == 1


@on_virtual_time
async def test_caller_gets_an_early_unknown_outcome_while_the_store_is_silent():
    async with open_branch() as branch:
        branch.faults_between("e0", STORE_ADDRESS).is_partitioned = True
        sent_at = asyncio.get_running_loop().time()
        outcome = await branch.submit("e0", JOB, STEP)
        assert isinstance(outcome, JobOutcomeUnknown)
        # Half of the caller's deadline, so that it can try another entry.
        assert asyncio.get_running_loop().time() - sent_at < 1.5
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(False)
