"""A crash counts against its suspects only as far as nothing else explains it."""

import pytest

from savorydale.jobs.model import TaskId
from savorydale.placement.crash_history import (
    COINCIDENCE_SECONDS,
    HISTORY_SECONDS,
    MAX_RESTORED_GROUPS,
    RECENT_SECONDS,
    Crash,
    CrashHistory,
    CrashVerdict,
)
from savorydale.placement.crashes import CrashEvidence


def make_task(index=0):
    return TaskId("j", 0, 0, index)


def make_crash(worker="w0", noticed_at=10.0, *indices, **values):
    tasks = set(map(make_task, indices))
    values = {"is_alone": len(tasks) == 1, "worker_count": 6, **values}
    return Crash(worker, noticed_at, tasks, dict.fromkeys(tasks, 1), **values)


def make_history(*crashes):
    history = CrashHistory()
    for crash in crashes:
        history.add(crash)
    return history


def judge_all(history, *crashes):
    for crash in crashes:
        crash.verdict = history.judge(crash)
    return [crash.verdict for crash in crashes]


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
    first, second = make_crash(), make_crash(worker, 10.0 + seconds)
    history = make_history(first, second)
    assert history.beside(first) == ([second] if is_beside else [])
    assert history.beside(second) == ([first] if is_beside else [])


def test_crashes_of_a_task_are_kept_for_a_while():
    old, new = make_crash("w0", 10.0, 1), make_crash("w1", 20.0, 1, 2)
    history = make_history(old, new)
    assert history.of_task(make_task(1)) == [old, new]
    assert history.of_task(make_task(2)) == [new]
    history.add(make_crash("w2", 10.1 + HISTORY_SECONDS))
    assert history.of_task(make_task(1)) == [new]


@pytest.mark.parametrize(
    ("indices", "values", "verdict"),
    [
        ([], {}, CrashVerdict.NO_SUSPECT),
        ([1], {}, CrashVerdict.ONLY_SUSPECT),
        ([1, 2], {}, CrashVerdict.SEVERAL_SUSPECTS),
        ([1], {"is_after_silence": True}, CrashVerdict.AFTER_SILENCE),
    ],
)
def test_verdict_on_a_crash_apart_from_others(indices, values, verdict):
    crash = make_crash("w0", 10.0, *indices, **values)
    assert make_history(crash).judge(crash) is verdict


@pytest.mark.parametrize(
    ("worker_count", "verdict"),
    [
        (2, CrashVerdict.OTHER_CAUSE),
        (3, CrashVerdict.OTHER_CAUSE_OF_FEW),
        (6, CrashVerdict.OTHER_CAUSE_OF_FEW),
    ],
)
def test_crash_beside_one_without_suspects_has_another_cause(worker_count, verdict):
    crash = make_crash("w0", 10.0, 1, worker_count=worker_count)
    history = make_history(crash, make_crash("w1", 10.1))
    assert history.judge(crash) is verdict


def test_crashes_with_suspects_at_the_same_moment_are_ambiguous():
    crashes = [make_crash(f"w{index}", 10.0, index) for index in range(3)]
    history = make_history(*crashes)
    assert judge_all(history, *crashes) == [CrashVerdict.COINCIDENT] * 3


@pytest.mark.parametrize(
    ("count", "verdict"),
    [(2, CrashVerdict.BESIDE_FEW), (3, CrashVerdict.COINCIDENT)],
)
def test_crash_of_a_task_at_its_own_time_beside_few_others_is_no_chance(count, verdict):
    crashes = [make_crash(f"w{index}", 10.0, index) for index in range(count)]
    crashes[0].is_at_its_own_time = True
    assert make_history(*crashes).judge(crashes[0]) is verdict


def test_second_crash_of_the_same_worker_is_not_attributed():
    first, second = make_crash("w0", 10.0, 1), make_crash("w0", 15.0, 1)
    third = make_crash("w1", 20.0, 1)
    history = make_history(first, second, third)
    assert judge_all(history, first, second, third) == [
        CrashVerdict.ONLY_SUSPECT,
        CrashVerdict.SAME_WORKER,
        CrashVerdict.ONLY_SUSPECT,
    ]


@pytest.mark.parametrize(
    ("seconds", "verdict"),
    [
        (RECENT_SECONDS - 0.1, CrashVerdict.RECENT_CRASHES),
        (RECENT_SECONDS + 0.1, CrashVerdict.ONLY_SUSPECT),
    ],
)
def test_crash_is_not_attributed_while_workers_crash_without_suspects(seconds, verdict):
    other, crash = make_crash("w1", 10.0), make_crash("w0", 10.0 + seconds, 1)
    assert make_history(other, crash).judge(crash) is verdict


@pytest.mark.parametrize(
    ("worker_count", "verdict"),
    [(2, CrashVerdict.OTHER_CAUSE), (6, CrashVerdict.OTHER_CAUSE_OF_FEW)],
)
def test_coincident_crashes_have_another_cause_once_all_suspects_of_one_are_cleared(
    worker_count, verdict
):
    first = make_crash("w0", 10.0, 1, 2, worker_count=worker_count)
    second = make_crash("w1", 10.0, 3, worker_count=worker_count)
    history = make_history(first, second)
    judge_all(history, first, second)
    assert history.clear(make_task(1)) == []
    assert history.clear(make_task(2)) == [second]
    assert history.judge(second) is verdict
    assert history.of_task(make_task(1)) == []


def test_crash_is_due_once_no_other_can_be_beside_it():
    crash = make_crash("w0", 10.0, 1)
    history = make_history(crash)
    assert history.due(10.0 + COINCIDENCE_SECONDS) == []
    assert history.unjudged_tasks() == {make_task(1)}
    assert history.due(10.1 + COINCIDENCE_SECONDS) == [crash]
    judge_all(history, crash)
    assert history.due(10.1 + COINCIDENCE_SECONDS) == []
    assert history.unjudged_tasks() == set()


def test_groups_of_coincident_crashes_begin_with_the_smallest():
    crashes = [make_crash("w0", 10.0, 1, 2), make_crash("w1", 10.0, 3)]
    history = make_history(*crashes)
    assert history.coincident_groups() == []
    judge_all(history, *crashes)
    assert history.coincident_groups() == [{make_task(3)}, {make_task(1), make_task(2)}]


def test_first_cleared_task_of_an_earlier_holder_clears_the_others():
    history = CrashHistory()
    history.restore([make_task(1), make_task(2)], 10.0)
    [crash] = history.clear(make_task(1))
    assert crash.suspects == {make_task(2)}
    assert history.judge(crash) is CrashVerdict.OTHER_CAUSE


def test_many_tasks_of_an_earlier_holder_are_cleared_by_the_first_one():
    history = CrashHistory()
    tasks = [make_task(index) for index in range(5 * MAX_RESTORED_GROUPS)]
    history.restore(tasks, 10.0)
    affected = history.clear(tasks[0])
    assert len(affected) == MAX_RESTORED_GROUPS
    assert set().union(*(crash.suspects for crash in affected)) == set(tasks[1:])


def test_crash_noticed_right_after_a_takeover_is_not_beside_earlier_ones():
    crash = make_crash("w0", 10.0, 1)
    history = make_history(crash)
    history.restore([make_task(2)], 10.0)
    assert history.judge(crash) is CrashVerdict.ONLY_SUSPECT


@pytest.mark.parametrize(
    ("verdict", "evidence"),
    [
        (CrashVerdict.UNJUDGED, CrashEvidence(coincident=1, coincident_alone=1)),
        (CrashVerdict.COINCIDENT, CrashEvidence(coincident=1, coincident_alone=1)),
        (CrashVerdict.ONLY_SUSPECT, CrashEvidence(suspected=1, attributed=1)),
        (CrashVerdict.RECENT_CRASHES, CrashEvidence(suspected=1)),
        (CrashVerdict.BESIDE_FEW, CrashEvidence(coincident=1)),
        (CrashVerdict.OTHER_CAUSE, CrashEvidence(explained=1)),
        (CrashVerdict.OTHER_CAUSE_OF_FEW, CrashEvidence(coincident=1)),
        (CrashVerdict.NO_SUSPECT, CrashEvidence()),
    ],
)
def test_evidence_of_each_verdict(verdict, evidence):
    assert make_crash("w0", 10.0, 1, verdict=verdict).evidence == evidence


def clear_all(history, crashes):
    """Clear the suspects one by one, as the handler does; return the judged crashes."""
    judged = 0
    for index in range(len(crashes)):
        affected = history.clear(make_task(index))
        judge_all(history, *affected)
        judged += len(affected)
    return judged


@pytest.mark.parametrize("worker_count", [250, 1000], ids=["all", "some"])
def test_crashes_that_another_cause_explains_are_not_judged_again_and_again(
    worker_count,
):
    crashes = [
        make_crash(f"w{index}", 10.0, index, worker_count=worker_count)
        for index in range(250)
    ]
    history = make_history(*crashes)
    judge_all(history, *crashes)
    assert clear_all(history, crashes) == len(crashes) - 1


def test_explained_crash_stays_so_when_the_one_that_explains_it_is_forgotten():
    explaining = make_crash("w0", 10.0)
    explained, cleared = make_crash("w1", 10.4, 1), make_crash("w2", 10.4, 2)
    history = make_history(explaining, explained, cleared)
    judge_all(history, explaining, explained, cleared)
    assert explained.verdict is CrashVerdict.OTHER_CAUSE_OF_FEW
    history.add(make_crash("w3", 10.2 + HISTORY_SECONDS))
    assert history.clear(make_task(2)) == []
