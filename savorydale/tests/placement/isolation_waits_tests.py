"""Long-running suspects wait for isolation only for some time."""

import math

import pytest

from savorydale.jobs.model import TaskId
from savorydale.placement.isolation_waits import (
    MAX_SECONDS_AFTER_CRASH,
    MIN_WAIT_SECONDS,
    IsolationWaits,
)

TASK = TaskId("j", 0, 0, 0)


@pytest.mark.parametrize(
    ("crashed_at", "waits_since", "ends_at"),
    [
        (10.0, 12.0, 10.0 + MAX_SECONDS_AFTER_CRASH),
        (10.0, 16.4, 16.4 + MIN_WAIT_SECONDS),
        (-math.inf, 10.0, 10.0 + MIN_WAIT_SECONDS),
    ],
)
def test_wait_ends_some_time_after_the_crash(crashed_at, waits_since, ends_at):
    waits = IsolationWaits()
    waits.record(TASK, waits_since)
    waits.record(TASK, waits_since + 1.0)
    assert not waits.is_over(TASK, crashed_at, ends_at - 0.1)
    assert waits.is_over(TASK, crashed_at, ends_at)


def test_task_that_did_not_wait_for_isolation_is_isolated_however_late():
    waits = IsolationWaits()
    assert not waits.is_over(TASK, 10.0, 99.0)
    waits.record(TASK, 12.0)
    waits.retain({TASK})
    assert waits.is_over(TASK, 10.0, 99.0)
    waits.retain(set())
    assert not waits.is_over(TASK, 10.0, 99.0)
