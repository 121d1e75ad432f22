"""Tests of quarantine, detection of stalled runs, and draining."""

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run, RunState
from savorydale.placement.draining import must_move
from savorydale.placement.health import WorkerHealth, find_stalled_runs


def make_end(job, reason=EndReason.FAILED):
    return EndedRun(1, TaskId(job, 0, 0, 0), 1, reason, "")


def make_run(progress=50.0, confirmed_at=0.0, **fields):
    spec = StepSpec(**{"task_count": 1, "estimate_ms": 1000, **fields})
    run = Run(TaskId("j", 0, 0, 0), 1, spec, 0.0, state=RunState.ACTIVE)
    run.confirmed_at = confirmed_at
    run.record_progress(0.0, confirmed_at)
    run.record_progress(progress, confirmed_at + 0.5)
    return run


def test_failures_of_two_jobs_in_a_row_begin_a_quarantine():
    health = WorkerHealth()
    assert not health.on_end(make_end("j1"), 1.0)
    assert health.on_end(make_end("j2"), 1.5)
    assert health.is_quarantined(2.0)
    assert not health.is_quarantined(20.0)


def test_failures_of_one_job_begin_no_quarantine():
    health = WorkerHealth()
    assert not any(health.on_end(make_end("j1"), now) for now in (1.0, 2.0, 3.0))


def test_success_clears_suspicion():
    health = WorkerHealth()
    health.on_end(make_end("j1"), 1.0)
    assert health.suspicion_now(1.0) > 0
    health.on_end(make_end("j3", EndReason.DONE), 2.0)
    assert health.suspicion_now(2.0) == 0
    assert not health.on_end(make_end("j2"), 3.0)


def test_run_without_progress_is_stalled():
    assert find_stalled_runs([make_run()], 5.0)
    assert not find_stalled_runs([make_run()], 1.0)


def test_services_and_slow_backfill_are_not_stalled():
    slow = make_run(backfill=True)
    slow.requested_percent = 10
    assert not find_stalled_runs([slow, make_run(long_running=True)], 50.0)


def test_service_moves_from_a_draining_worker_if_it_fits_elsewhere():
    run = make_run(long_running=True)
    assert must_move(run, 10.0, 1.0, fits_elsewhere=True)
    assert not must_move(run, 10.0, 1.0, fits_elsewhere=False)


def test_checkpointed_task_moves_only_if_it_cannot_end_in_time():
    run = make_run(progress=50.0, checkpointing=True)
    assert not must_move(run, 10.0, 2.0, fits_elsewhere=True)
    assert must_move(run, 2.0, 2.0, fits_elsewhere=True)


def test_task_without_checkpoint_is_not_moved():
    assert not must_move(make_run(progress=10.0), 1.0, 2.0, fits_elsewhere=True)
