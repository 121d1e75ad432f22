"""Crashes at the same moment are found, and old ones are forgotten."""

import pytest

from savorydale.jobs.model import TaskId
from savorydale.placement.crash_history import (
    COINCIDENCE_SECONDS,
    HISTORY_SECONDS,
    Crash,
    CrashHistory,
)


def make_task(index=0):
    return TaskId("j", 0, 0, index)


def make_crash(worker="w0", noticed_at=10.0, *indices):
    return Crash(worker, noticed_at, frozenset(map(make_task, indices)))


@pytest.mark.parametrize(
    ("worker", "seconds", "is_beside"),
    [
        ("w1", 0.0, True),
        ("w1", COINCIDENCE_SECONDS, True),
        ("w1", COINCIDENCE_SECONDS + 0.01, False),
        ("w0", 0.1, False),
    ],
)
def test_crashes_of_other_workers_at_the_same_moment_are_found(
    worker, seconds, is_beside
):
    history = CrashHistory()
    first, second = make_crash(), make_crash(worker, 10.0 + seconds)
    history.add(first)
    history.add(second)
    assert history.beside(first) == ([second] if is_beside else [])
    assert history.beside(second) == ([first] if is_beside else [])


def test_crashes_of_a_task_are_kept_for_a_while():
    history = CrashHistory()
    old, new = make_crash("w0", 10.0, 1), make_crash("w1", 20.0, 1, 2)
    history.add(old)
    history.add(new)
    assert history.of_task(make_task(1)) == [old, new]
    assert history.of_task(make_task(2)) == [new]
    history.add(make_crash("w2", 10.1 + HISTORY_SECONDS))
    assert history.of_task(make_task(1)) == [new]
