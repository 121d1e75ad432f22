"""Tasks of services that do not run are logged with the reason, within a bound."""

import asyncio

import pytest

from savorydale.jobs.model import TaskId
from savorydale.orders.runs import Run, RunState
from savorydale.scheduler.wait_report import (
    LINE_INTERVAL_SECONDS,
    MAX_LINES_PER_REPORT,
    MIN_WAIT_SECONDS,
    WaitReport,
)
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from savorydale.tests.scheduler.planner_fixture import (
    ADVISED,
    BACKFILL,
    SERVICE,
    PlannerFixture,
    clear_runs,
    slow_scoring,
    suspect,
)
from standins.task_worker import Plan

JOB = "00000000000000a1"
EPOCH = 7
LARGE = SERVICE._replace(cpu_millicores=20_000)


class SilentPolicy:
    """A policy service that never answers."""

    async def query(self, step, workers):
        await asyncio.sleep(3600)


class ReportFixture(PlannerFixture):
    """A planner and the report of the tasks that wait."""

    def __init__(self, workers, policy=None):
        super().__init__(workers, policy)
        self.report = WaitReport(
            self.state,
            self.planner.wait_decisions,
            self.counters,
            lambda queue: queue.service,
            EPOCH,
        )

    def fill(self, worker, millicores):
        """Let a service use ``millicores`` of a worker."""
        run = Run(TaskId(f"filler-{worker}", 0, 0, 0), 1, SERVICE, 0.0)
        run.spec = SERVICE._replace(cpu_millicores=millicores)
        self.state.link_by_worker[worker].reserve(run)

    async def lines(self, caplog, seconds=3.0):
        """Plan for some time, then return the fields of the lines of one report."""
        await self.plan(seconds)
        return self.report_lines(caplog)

    def report_lines(self, caplog):
        caplog.clear()
        with caplog.at_level("INFO"):
            self.report.report(asyncio.get_running_loop().time())
        return [line for line in caplog.records if line.msg == "task waits"]


def link_of(fixture, worker="w0"):
    return fixture.state.link_by_worker[worker]


def fill_all(fixture):
    fixture.fill("w0", 28_000)
    fixture.submit(JOB, SERVICE)


def require_missing_label(fixture):
    fixture.submit(JOB, SERVICE._replace(required_label="gpu"))


def limit_per_worker(fixture):
    fixture.submit(JOB, SERVICE._replace(task_count=2, max_per_worker=1))


def demand_headroom(fixture):
    fixture.state.batch_demand.observe(1e9, asyncio.get_running_loop().time())
    fixture.submit(JOB, LARGE)


def drain(fixture):
    link = link_of(fixture)
    link.info = link.info._replace(is_draining=True)
    fixture.submit(JOB, SERVICE)


def unregister(fixture):
    link_of(fixture).is_registered = False
    fixture.submit(JOB, SERVICE)


def leave(fixture):
    link_of(fixture).is_closed = True
    unregister(fixture)


def submit_failed_there(fixture):
    """Submit a service that has failed on ``w0`` and finds no other worker."""
    fixture.add_worker("full")
    fixture.fill("full", 28_000)
    [step] = fixture.submit(JOB, SERVICE).steps_of(0)
    step.tasks[0].excluded_workers = frozenset({"w0"})


def quarantine(fixture):
    fixture.state.health_of("w0").quarantine_ends_at = 1e9
    submit_failed_there(fixture)


def stall(fixture):
    fixture.state.health_of("w0").stall_ends_at = 1e9
    submit_failed_there(fixture)


def hold_for_a_suspect(fixture):
    suspect(fixture, fixture.submit("s", SERVICE))
    clear_runs(fixture, "w0")
    fixture.planner.plan()  # the suspect is on probation from here on
    fixture.submit(JOB, SERVICE)


def be_a_suspect(fixture):
    suspect(fixture, fixture.submit(JOB, SERVICE))


def wait_for_ticket(fixture):
    fixture.submit(JOB, SERVICE, ADVISED)


def lose_a_gang_member(fixture):
    job = fixture.submit(JOB, SERVICE._replace(task_count=2, gang=True))
    [step] = job.steps_of(0)
    fixture.state.job_tracker.assign(step, step.tasks[0], "w0")


def require_two_workers_for_a_gang(fixture):
    fixture.submit(JOB, LARGE._replace(task_count=2, gang=True))


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (fill_all, "no_capacity"),
        (require_missing_label, "label"),
        (limit_per_worker, "limit_per_worker"),
        (demand_headroom, "headroom_for_batch"),
        (drain, "workers_draining"),
        (unregister, "workers_not_registered"),
        (leave, "no_capacity"),
        (quarantine, "workers_quarantined"),
        (stall, "workers_stalled"),
        (hold_for_a_suspect, "workers_held_for_suspects"),
        (be_a_suspect, "suspect_waits_for_isolation"),
        (wait_for_ticket, "waits_for_ticket"),
        (lose_a_gang_member, "gang_members_not_ended"),
        (require_two_workers_for_a_gang, "too_few_workers_for_gang"),
    ],
)
@on_virtual_time
async def test_reason_of_a_refusal_is_logged(prepare, reason, caplog):
    fixture = ReportFixture(workers=1, policy=SilentPolicy())
    prepare(fixture)
    reasons = {
        line.task: line.reason
        for line in await fixture.lines(caplog)
        if line.worker == ""
    }
    logged = {each for task, each in reasons.items() if task.startswith(JOB)}
    assert logged == {reason}
    assert fixture.counters.count(f"task.waits.{reason}") >= 1


@on_virtual_time
async def test_worker_that_is_not_in_contact_is_logged(caplog):
    fixture = ReportFixture(workers=1)
    fixture.submit(JOB, SERVICE)
    link_of(fixture).last_contact_at = None
    for _ in range(25):
        fixture.planner.plan()
        await asyncio.sleep(0.1)
    [line] = fixture.report_lines(caplog)
    assert line.reason == "workers_out_of_contact"
    assert (line.fits, line.workers_with_capacity, line.workers_usable) == (True, 1, 0)


@on_virtual_time
async def test_label_that_other_workers_lack_is_logged(caplog):
    fixture = ReportFixture(workers=1)
    fixture.add_worker("labelled", ("gpu",))
    fixture.fill("labelled", 28_000)
    fixture.submit(JOB, SERVICE._replace(required_label="gpu"))
    [line] = await fixture.lines(caplog)
    assert line.reason == "label"
    assert line.fits is False


@on_virtual_time
async def test_line_tells_the_last_decision_and_the_last_try(caplog):
    fixture = ReportFixture(workers=1)
    fixture.fill("w0", 28_000)
    fixture.submit(JOB, SERVICE)
    await fixture.plan(2.5)
    loop = asyncio.get_running_loop()
    fixture.planner.wait_decisions.record_stop(loop.time())
    await asyncio.sleep(0.5)
    [line] = fixture.report_lines(caplog)
    assert line.task == f"{JOB}.0.0.0"
    assert line.waited == pytest.approx(3.0)
    assert line.reason == "planning_stopped_registrations_old"
    assert line.reason_age == pytest.approx(0.5)
    assert line.tried_reason == "no_capacity"
    assert line.tried_age == pytest.approx(0.6)
    assert (line.version, line.epoch) == (0, EPOCH)
    await fixture.plan(0.1)
    await asyncio.sleep(LINE_INTERVAL_SECONDS)
    [line] = fixture.report_lines(caplog)
    assert line.reason == "no_capacity"


@on_virtual_time
async def test_steps_that_rounds_do_not_reach_are_logged(caplog):
    fixture = ReportFixture(workers=1)
    fixture.state.batch_demand.observe(1e9, asyncio.get_running_loop().time())
    for number in range(100):
        fixture.submit(f"{number:016x}", LARGE._replace(max_per_worker=1))
    with pytest.MonkeyPatch.context() as patch, slow_scoring(patch, 0.05):
        await fixture.lines(caplog)
    [others] = [line for line in caplog.records if line.msg == "more tasks wait"]
    assert others.reasons["rounds_cut_off"] >= 1


@on_virtual_time
async def test_refusals_that_are_remembered_or_cover_others_are_logged(caplog):
    fixture = ReportFixture(workers=1)
    fixture.state.batch_demand.observe(1e9, asyncio.get_running_loop().time())
    fixture.submit(JOB, LARGE._replace(task_count=2))
    fixture.submit("other", LARGE._replace(memory_mb=2000))
    reason_by_task = {line.task: line.reason for line in await fixture.lines(caplog)}
    assert reason_by_task == {
        f"{JOB}.0.0.0": "headroom_for_batch",
        f"{JOB}.0.0.1": "refusal_of_other_task_remembered",
        "other.0.0.0": "covered_by_failed_placement",
    }


@on_virtual_time
async def test_task_whose_run_is_not_known_to_be_over_is_logged(caplog):
    fixture = ReportFixture(workers=1)
    fixture.submit(JOB, SERVICE)
    [start] = await fixture.plan(0.1)
    run = start.run
    run.state, run.confirmed_at = RunState.ACTIVE, asyncio.get_running_loop().time()
    run.record_progress(0.0, run.confirmed_at)
    assert fixture.report_lines(caplog) == []
    link_of(fixture).last_contact_at = None
    fixture.report_lines(caplog)
    await asyncio.sleep(2.5)
    [line] = fixture.report_lines(caplog)
    assert (line.reason, line.worker) == ("run_not_known_to_be_over", "w0")
    assert line.waited == pytest.approx(2.5)
    assert "lease lapses in" in line.detail


@pytest.mark.parametrize(
    ("state", "stop_requested", "reason"),
    [
        (RunState.ACTIVE, False, "earlier_run_is_listed"),
        (RunState.ACTIVE, True, "run_is_being_stopped"),
        (RunState.ASSIGNED, False, "start_not_answered"),
        (RunState.UNKNOWN, False, "run_not_known_to_be_over"),
    ],
)
@on_virtual_time
async def test_reason_why_an_assigned_task_does_not_run_is_logged(
    state, stop_requested, reason, caplog
):
    fixture = ReportFixture(workers=1)
    fixture.submit(JOB, SERVICE)
    [start] = await fixture.plan(0.1)
    start.run.state, start.run.stop_requested = state, stop_requested
    await fixture.plan(2)
    fixture.report_lines(caplog)
    [line] = await fixture.lines(caplog, seconds=MIN_WAIT_SECONDS + 0.5)
    assert line.reason == reason


@on_virtual_time
async def test_lines_are_bounded_and_the_others_are_counted(caplog):
    fixture = ReportFixture(workers=1)
    fixture.fill("w0", 28_000)
    fixture.submit(JOB, SERVICE._replace(task_count=100))
    lines = await fixture.lines(caplog)
    assert len(lines) == MAX_LINES_PER_REPORT
    [others] = [line for line in caplog.records if line.msg == "more tasks wait"]
    assert others.tasks == 100 - MAX_LINES_PER_REPORT
    later = await fixture.lines(caplog, seconds=1)
    assert not {line.task for line in lines} & {line.task for line in later}


@on_virtual_time
async def test_task_that_waits_shortly_or_runs_again_is_not_logged(caplog):
    fixture = ReportFixture(workers=1)
    fixture.submit(JOB, SERVICE._replace(task_count=2, max_per_worker=1))
    assert await fixture.lines(caplog, seconds=1) == []
    fixture.submit("batch", BACKFILL._replace(memory_mb=1_000_000))
    lines = [line for line in await fixture.lines(caplog) if not line.worker]
    assert [line.task for line in lines] == [f"{JOB}.0.0.1"]


@on_virtual_time
async def test_entry_logs_and_counts_the_tasks_that_wait(caplog):
    async with open_branch(lambda task, run: Plan(None), workers=1) as branch:
        with caplog.at_level("INFO"):
            await branch.submit("e0", JOB, SERVICE._replace(cpu_millicores=10**9))
            await asyncio.sleep(6)
        assert branch.counters.count("task.waits.no_capacity") >= 2
    lines = [line for line in caplog.records if line.msg == "task waits"]
    assert {(line.task, line.reason) for line in lines} == {
        (f"{JOB}.0.0.0", "no_capacity")
    }
    assert {line.version for line in lines} == {1}
    assert all(line.epoch >= 1 for line in lines)
