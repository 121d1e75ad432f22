"""Suspects of coincident crashes start in turns, and none waits for long."""

import pytest

from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import Task
from savorydale.placement.crashes import CrashCounts
from savorydale.placement.start_turns import (
    MAX_TURN_SECONDS,
    MAX_WAIT_SECONDS,
    TURN_SECONDS,
    StartTurns,
)

ALONE = CrashCounts(coincident=1, coincident_alone=1)
BESIDE_OTHERS = CrashCounts(coincident=1)


def name(index):
    return TaskId("s", 0, 0, index)


def make_suspects(count, crashes=ALONE):
    return {name(i): Task(name(i), crashes=crashes) for i in range(count)}


def begin(turns, suspects, now, groups=(), unjudged=(), worker_count=4):
    groups = [set(map(name, group)) for group in groups]
    unjudged = set(map(name, unjudged))
    turns.begin_round(suspects, unjudged, groups, worker_count, now)
    return sorted(task.index for task in turns.held)


def test_suspects_of_one_crash_start_together_and_the_others_later():
    turns, suspects = StartTurns(), make_suspects(4)
    groups = [{0, 1}, {2, 3}]
    assert begin(turns, suspects, 10.0, groups) == [2, 3]
    assert begin(turns, suspects, 10.0 + 0.9 * TURN_SECONDS, groups) == [2, 3]
    assert begin(turns, suspects, 10.0 + TURN_SECONDS, groups) == [0, 1]


def test_suspects_in_no_group_start_one_by_one():
    turns, suspects = StartTurns(), make_suspects(3)
    assert begin(turns, suspects, 10.0) == [1, 2]
    assert begin(turns, suspects, 10.0 + TURN_SECONDS) == [0, 2]


def test_turn_lasts_until_some_time_after_its_last_start():
    turns, suspects = StartTurns(), make_suspects(2)
    begin(turns, suspects, 10.0)
    turns.record_start(name(0), 10.0 + 0.9 * TURN_SECONDS)
    assert begin(turns, suspects, 10.0 + 1.5 * TURN_SECONDS) == [1]
    turns.record_start(name(0), 10.0 + MAX_TURN_SECONDS)
    assert begin(turns, suspects, 10.0 + MAX_TURN_SECONDS) == [0]


def test_group_that_cannot_start_does_not_block_the_others():
    turns, suspects = StartTurns(), make_suspects(3)
    turn_count = 3
    held = [
        begin(turns, suspects, 10.0 + number * TURN_SECONDS, [{0}, {1}, {2}])
        for number in range(turn_count)
    ]
    assert held == [[1, 2], [0, 2], [0, 1]]


def test_no_task_waits_for_its_turn_longer_than_the_bound():
    turns, suspects = StartTurns(), make_suspects(100)
    assert len(begin(turns, suspects, 10.0)) == 99
    assert begin(turns, suspects, 10.0 + MAX_WAIT_SECONDS) == []


@pytest.mark.parametrize(
    ("crashes", "held"), [(ALONE, [0, 1]), (BESIDE_OTHERS, [0, 1])]
)
def test_nothing_starts_before_the_verdict_on_its_crash(crashes, held):
    turns, suspects = StartTurns(), make_suspects(2, crashes)
    assert begin(turns, suspects, 10.0, unjudged=[0, 1]) == held
    assert begin(turns, suspects, 20.0, unjudged=[0, 1]) == held


def test_first_crash_beside_other_suspects_delays_nothing():
    assert begin(StartTurns(), make_suspects(3, BESIDE_OTHERS), 10.0) == []


@pytest.mark.parametrize(("worker_count", "count"), [(4, 2), (3, 0)])
def test_tasks_of_a_turn_start_apart_if_half_of_the_workers_suffice(
    worker_count, count
):
    turns, suspects = StartTurns(), make_suspects(4, CrashCounts(coincident=2))
    begin(turns, suspects, 10.0, [{0, 1}, {2, 3}], worker_count=worker_count)
    assert len(turns.small_turn) == count


def test_running_suspects_take_no_turn():
    turns, suspects = StartTurns(), make_suspects(2)
    suspects[name(0)].worker = "w0"
    assert begin(turns, suspects, 10.0) == []
