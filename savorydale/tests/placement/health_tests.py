"""Tests of quarantine, detection of stalled runs, and draining."""

import random

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import EndedRun, EndReason
from savorydale.orders.runs import Run, RunState
from savorydale.placement.draining import must_move
from savorydale.placement.health import WorkerHealth, find_stalled_runs

ORDINARY_RATIO = 0.05  # share of the runs that fail on other workers


def make_end(job, reason=EndReason.FAILED):
    return EndedRun(1, TaskId(job, 0, 0, 0), 1, reason, "")


def make_run(progress=50.0, confirmed_at=0.0, **fields):
    spec = StepSpec(**{"task_count": 1, "estimate_ms": 1000, **fields})
    run = Run(TaskId("j", 0, 0, 0), 1, spec, 0.0, state=RunState.ACTIVE)
    run.confirmed_at = confirmed_at
    run.record_progress(0.0, confirmed_at)
    run.record_progress(progress, confirmed_at + 0.5)
    return run


def fail_jobs(health, ratio_elsewhere, count=1000):
    """Let tasks of many jobs fail in a row; return how many until a quarantine."""
    for number in range(1, count + 1):
        if health.on_end(make_end(f"j{number}"), ratio_elsewhere, 1.0):
            return number
    return None


def count_quarantines(rng, failure_ratio, ratio_elsewhere, end_count):
    """Return the quarantines in a series of ends of as many jobs."""
    health = WorkerHealth()
    quarantines = 0
    for number in range(end_count):
        reason = EndReason.FAILED if rng.random() < failure_ratio else EndReason.DONE
        quarantines += health.on_end(make_end(f"j{number}", reason), ratio_elsewhere, 0)
    return quarantines


def test_worker_that_fails_everything_is_quarantined_after_a_few_ends():
    health = WorkerHealth()
    assert fail_jobs(health, ORDINARY_RATIO) <= 6
    assert health.is_quarantined(2.0)
    assert not health.is_quarantined(20.0)


def test_worker_that_fails_on_after_its_quarantine_is_quarantined_sooner():
    health = WorkerHealth()
    first = fail_jobs(health, ORDINARY_RATIO)
    assert fail_jobs(health, ORDINARY_RATIO) < first


def test_worker_that_fails_half_of_its_tasks_is_quarantined():
    for seed in range(20):
        assert count_quarantines(random.Random(seed), 0.5, ORDINARY_RATIO, 100)


def test_worker_that_fails_as_many_tasks_as_others_is_not_quarantined():
    for seed in range(20):
        for ratio in (0.02, ORDINARY_RATIO, 0.15, 0.4):
            rng = random.Random(f"{seed}/{ratio}")
            assert not count_quarantines(rng, ratio, ratio, 5000)


def test_failures_of_one_job_begin_no_quarantine():
    health = WorkerHealth()
    assert not any(
        health.on_end(make_end("j1"), ORDINARY_RATIO, now) for now in range(50)
    )


def test_failures_of_several_tasks_count_if_their_job_does_not_fail_as_a_whole():
    health = WorkerHealth()
    quarantines = [
        health.on_end(make_end("j1"), ORDINARY_RATIO, 1.0, cause=f"j1.0.0.{index}")
        for index in range(6)
    ]
    assert any(quarantines)


def test_failures_of_one_task_begin_no_quarantine():
    health = WorkerHealth()
    assert not any(
        health.on_end(make_end("j1"), ORDINARY_RATIO, now, cause="j1.0.0.0")
        for now in range(50)
    )


def test_success_clears_suspicion():
    health = WorkerHealth()
    health.on_end(make_end("j1"), ORDINARY_RATIO, 1.0)
    assert health.suspicion_now(1.0) > 0
    health.on_end(make_end("j3", EndReason.DONE), ORDINARY_RATIO, 2.0)
    assert health.suspicion_now(2.0) == 0
    assert not health.on_end(make_end("j2"), ORDINARY_RATIO, 3.0)


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
