"""Restarts of long-running tasks under which workers keep crashing are delayed."""

import math

import pytest

from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import Task
from savorydale.placement.crash_history import Crash, CrashHistory
from savorydale.placement.crashes import CrashCounts
from savorydale.placement.restart_delays import (
    MAX_RESTART_DELAY_SECONDS,
    MIN_RESTART_DELAY_SECONDS,
    delayed_tasks,
    restart_delay_seconds,
)

TASK = TaskId("j", 0, 0, 0)


def make_history(worker="w0", noticed_at=10.0):
    history = CrashHistory()
    history.add(Crash(worker, noticed_at, {TASK}, {TASK: 1}))
    return history


@pytest.mark.parametrize(
    ("counts", "seconds"),
    [
        (CrashCounts(), 0.0),
        (CrashCounts(1, 1), 0.0),
        (CrashCounts(3, 1), 0.0),
        (CrashCounts(explained=9), 0.0),
        (CrashCounts(2, 2), MIN_RESTART_DELAY_SECONDS),
        (CrashCounts(3, 3), 2 * MIN_RESTART_DELAY_SECONDS),
        (CrashCounts(4, 4), MAX_RESTART_DELAY_SECONDS),
        (CrashCounts(9999, 9999), MAX_RESTART_DELAY_SECONDS),
        (CrashCounts(coincident=5), MAX_RESTART_DELAY_SECONDS),
    ],
)
def test_delay_is_doubled_with_each_crash_up_to_a_limit(counts, seconds):
    assert restart_delay_seconds(counts) == seconds


@pytest.mark.parametrize(
    ("now", "is_delayed"),
    [
        (10.0 + MIN_RESTART_DELAY_SECONDS - 0.01, True),
        (10.0 + MIN_RESTART_DELAY_SECONDS, False),
    ],
)
def test_task_is_delayed_from_its_latest_crash(now, is_delayed):
    suspects = {TASK: Task(TASK, crashes=CrashCounts(2, 2))}
    assert (TASK in delayed_tasks(suspects, make_history(), now)) is is_delayed


def test_task_is_not_delayed_before_its_crashes_would_end_a_batch_task():
    suspects = {TASK: Task(TASK, crashes=CrashCounts(1, 1))}
    assert delayed_tasks(suspects, make_history(), 10.0) == set()


def test_crashes_that_an_earlier_holder_noticed_delay_nothing():
    history = CrashHistory()
    history.restore([TASK], 10.0)
    assert history.latest_crash_at(TASK) == -math.inf
    suspects = {TASK: Task(TASK, crashes=CrashCounts(coincident=5))}
    assert delayed_tasks(suspects, history, 10.0) == set()
