"""Jobs on a whole branch: accepted, run, taken over, cancelled, under faults."""

import asyncio

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.jobs.store import JobAccepted, JobNotAccepted, JobOutcomeUnknown
from savorydale.tests.branch import STORE, open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
STEP = StepSpec(3, 500, 100, estimate_ms=500)
SERVICE_STEP = StepSpec(2, 500, 100, long_running=True)


def forever(task, run):
    return Plan(None)


@on_virtual_time
async def test_job_with_two_steps_completes():
    async with open_branch() as branch:
        second = StepSpec(2, 500, 100, estimate_ms=500, after=(0,))
        assert await branch.submit("e0", JOB, STEP, second) == JobAccepted(False)
        await branch.wait_for_status("e1", JOB, JobStatus.COMPLETED, 5)
        assert sum(branch.violations.starts.values()) == 5


@on_virtual_time
async def test_the_same_job_again_is_the_same_job():
    async with open_branch() as branch:
        await branch.submit("e0", JOB, STEP)
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(True)
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 5)
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(True)
        await asyncio.sleep(5)
        assert max(branch.violations.starts.values()) == 1


@on_virtual_time
async def test_unknown_job_is_not_shown():
    async with open_branch() as branch:
        assert await branch.status("e0", JOB) is None


@on_virtual_time
async def test_task_that_fails_too_often_fails_its_job():
    async with open_branch(lambda task, run: Plan(0.2, "failed")) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100))
        await branch.wait_for_status("e0", JOB, JobStatus.FAILED, 5)
        assert sum(branch.violations.starts.values()) == 2


@on_virtual_time
async def test_cancelled_service_is_stopped():
    async with open_branch(forever) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_for_status("e0", JOB, JobStatus.RUNNING, 2)
        outcome = await branch.entry_by_name["e1"].job_store.cancel(JOB, 2.0)
        assert outcome.is_stored
        await branch.wait_until(
            lambda: not any(w.run_by_task for w in branch.worker_by_name.values()), 3
        )
        assert await branch.status("e0", JOB) is JobStatus.CANCELLED


@on_virtual_time
async def test_takeover_after_a_kill_stops_no_run():
    async with open_branch(forever) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.violations.starts.total() == 2, 3)
        await branch.kill_entry(branch.scheduling_entry())
        await asyncio.sleep(15)
        assert branch.violations.starts.total() == 2
        assert branch.scheduling_entry() in branch.entry_by_name


@on_virtual_time
async def test_planned_stop_hands_the_lease_over_at_once():
    async with open_branch() as branch:
        holder = branch.scheduling_entry()
        await branch.stop_entry(holder)
        await branch.wait_until(
            lambda: branch.scheduling_entry() in branch.entry_by_name, 1.5
        )


@on_virtual_time
async def test_restarted_holder_takes_its_own_lease_over_at_once():
    async with open_branch(entries=1) as branch:
        await branch.kill_entry("e0")
        branch.start_entry("e0")
        await branch.submit_when_ready("e0", JOB, STEP)
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 3)


@on_virtual_time
async def test_all_entries_die_right_after_an_acknowledgement():
    async with open_branch() as branch:
        assert await branch.submit("e0", JOB, STEP) == JobAccepted(False)
        for name in ("e0", "e1"):
            await branch.kill_entry(name)
        await asyncio.sleep(1)
        branch.start_entry("e0")
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 8)


@on_virtual_time
async def test_lost_start_order_does_not_run_twice():
    async with open_branch(entries=1) as branch:
        for worker in branch.worker_by_name:
            faults = branch.faults_between("e0", f"{worker}:80")
            faults.late_orders = 0.4
        for number in range(8):
            await branch.submit("e0", f"{number:016x}", STEP)
        await asyncio.sleep(20)
        for worker in branch.worker_by_name:
            branch.faults_between("e0", f"{worker}:80").late_orders = 0.0
        for number in range(8):
            await branch.wait_for_status(
                "e0", f"{number:016x}", JobStatus.COMPLETED, 30
            )


@on_virtual_time
async def test_tasks_of_an_unreachable_worker_wait_for_its_lease():
    async with open_branch(forever, workers=2) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100, long_running=True))
        await branch.wait_until(lambda: branch.violations.starts.total() == 1, 3)
        held = [name for name, w in branch.worker_by_name.items() if w.run_by_task]
        for entry in branch.entry_by_name:
            branch.faults_between(entry, f"{held[0]}:80").is_cut = True
        await branch.wait_until(lambda: branch.violations.starts.total() == 2, 12)


@on_virtual_time
async def test_restarted_worker_loses_its_runs_and_they_start_again():
    async with open_branch(forever, workers=1) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.violations.starts.total() == 2, 3)
        branch.worker_by_name["w0"].crash()
        branch.register("w0")
        await branch.wait_until(lambda: branch.violations.starts.total() == 4, 3)


@on_virtual_time
async def test_entry_cut_from_the_store_loses_the_lease():
    async with open_branch(forever) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.violations.starts.total() == 2, 3)
        holder = branch.scheduling_entry()
        branch.faults_between(holder, STORE).is_cut = True
        await branch.wait_until(lambda: branch.scheduling_entry() != holder, 6)
        await asyncio.sleep(15)
        branch.faults_between(holder, STORE).is_cut = False
        await asyncio.sleep(15)
        assert branch.violations.starts.total() == 2


@on_virtual_time
async def test_runs_go_on_while_the_store_is_out():
    async with open_branch(forever) as branch:
        await branch.submit("e0", JOB, SERVICE_STEP)
        await branch.wait_until(lambda: branch.violations.starts.total() == 2, 3)
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE).is_cut = True
        await asyncio.sleep(30)
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE).is_cut = False
        await asyncio.sleep(15)
        assert branch.violations.starts.total() == 2


@on_virtual_time
async def test_refusal_is_true_and_an_unknown_outcome_is_said_to_be_one():
    async with open_branch() as branch:
        faults = branch.faults_between("e0", STORE)
        faults.refuses = True
        refused = await branch.submit("e0", JOB, STEP)
        assert isinstance(refused, JobNotAccepted)
        faults.refuses = False
        faults.lost_answers = 1.0
        unknown = await branch.submit("e0", JOB, STEP)
        assert isinstance(unknown, JobOutcomeUnknown)
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(True)


@on_virtual_time
async def test_lost_answers_of_the_store_lose_no_end():
    async with open_branch() as branch:
        for entry in branch.entry_by_name:
            branch.faults_between(entry, STORE).lost_answers = 0.3
        for number in range(5):
            await branch.submit("e0", f"{number:016x}", STEP)
        for number in range(5):
            await branch.wait_for_status(
                "e1", f"{number:016x}", JobStatus.COMPLETED, 40
            )


@on_virtual_time
async def test_lost_history_hides_no_job():
    async with open_branch() as branch:
        branch.store.truncate_history()
        await branch.submit("e0", JOB, STEP)
        branch.store.truncate_history()
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 5)


@on_virtual_time
async def test_failure_is_counted_once_when_the_holder_dies_before_acknowledging():
    def fail_once(task, run):
        return Plan(0.5, "failed" if run == 1 else "done")

    async with open_branch(fail_once, workers=1) as branch:
        holder = branch.scheduling_entry()
        other = next(name for name in branch.entry_by_name if name != holder)
        await branch.submit(other, JOB, StepSpec(1, 500, 100))
        await branch.wait_until(lambda: branch.violations.starts.total() == 1, 3)
        branch.register("w0", state="draining")  # no second run yet
        await branch.wait_until(lambda: branch.violations.ends.total() == 1, 3)
        # The end is durable soon; its acknowledgement never arrives.
        branch.faults_between(holder, "w0:80").is_cut = True
        await asyncio.sleep(0.2)
        await branch.kill_entry(holder)
        await asyncio.sleep(4)
        branch.register("w0")
        await branch.wait_for_status(other, JOB, JobStatus.COMPLETED, 15)


@on_virtual_time
async def test_services_leave_a_worker_that_drains():
    async with open_branch(forever, workers=2) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100, long_running=True))
        await branch.wait_until(lambda: branch.violations.starts.total() == 1, 3)
        held = next(n for n, w in branch.worker_by_name.items() if w.run_by_task)
        branch.register(held, state="draining")
        await branch.wait_until(lambda: branch.violations.starts.total() == 2, 2)
        assert not branch.worker_by_name[held].run_by_task


@on_virtual_time
async def test_no_task_starts_on_a_worker_that_drains():
    async with open_branch(workers=1) as branch:
        branch.register("w0", state="draining")
        await asyncio.sleep(1)
        await branch.submit("e0", JOB, STEP)
        await asyncio.sleep(5)
        assert branch.violations.starts.total() == 0


@on_virtual_time
async def test_tasks_that_stand_still_start_elsewhere():
    async with open_branch(workers=2) as branch:
        branch.worker_by_name["w0"].is_stalled = True
        await branch.submit("e0", JOB, StepSpec(4, 500, 100, estimate_ms=500))
        await branch.wait_for_status("e0", JOB, JobStatus.COMPLETED, 8)


@on_virtual_time
async def test_long_task_is_not_taken_for_one_that_stands_still():
    async with open_branch(lambda task, run: Plan(400)) as branch:
        await branch.submit("e0", JOB, StepSpec(1, 500, 100, estimate_ms=60_000))
        await asyncio.sleep(300)
        assert branch.violations.starts.total() == 1


@on_virtual_time
async def test_caller_is_not_held_while_the_store_is_silent():
    async with open_branch() as branch:
        branch.faults_between("e0", STORE).is_cut = True
        sent_at = asyncio.get_running_loop().time()
        outcome = await branch.submit("e0", JOB, STEP)
        assert isinstance(outcome, JobOutcomeUnknown)
        # Half of the time that the caller has, so that another entry can be tried.
        assert asyncio.get_running_loop().time() - sent_at < 1.5
        assert await branch.submit("e1", JOB, STEP) == JobAccepted(False)
