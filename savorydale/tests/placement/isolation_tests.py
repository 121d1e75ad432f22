"""Suspects and other tasks are kept apart, and neither holds up the other for long."""

import pytest

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.jobs.progress import Task
from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run, WorkerLoad
from savorydale.placement.choice import Candidate
from savorydale.placement.isolation import (
    RESERVATION_PAUSE_SECONDS,
    RESERVATION_SECONDS,
    SuspectIsolation,
)

SPEC = StepSpec(1, 1000, 100)
CAPACITY = Resources(4000, 4000, 0)


def make_candidates(count, **loads):
    return [
        Candidate(f"w{number}", ("a",), loads.get(f"w{number}", WorkerLoad(CAPACITY)))
        for number in range(count)
    ]


def make_task(index, worker=""):
    return Task(TaskId("s", 0, 0, index), worker=worker)


def runs_of(*tasks, passed_probation=False):
    return {
        task: Run(task, 1, SPEC, 0.0, passed_probation=passed_probation)
        for task in tasks
    }


def other(index):
    return TaskId("o", 0, 0, index)


def workers_of(candidates):
    return [candidate.worker for candidate in candidates]


def begin(isolation, suspects, runs_by_worker, now=0.0):
    isolation.begin_round({task.id: task for task in suspects}, runs_by_worker, now)


def test_nothing_is_filtered_without_suspects():
    isolation = SuspectIsolation()
    begin(isolation, [], {"w0": runs_of(other(0))})
    candidates = make_candidates(2)
    assert isolation.candidates_for_others(candidates) == candidates
    assert not isolation.is_suspect([make_task(0)])


def test_suspect_gets_workers_without_runs_on_probation():
    isolation = SuspectIsolation()
    proven = runs_of(other(1), passed_probation=True)
    suspect = make_task(0)
    begin(isolation, [suspect], {"w0": runs_of(other(0)), "w1": proven})
    candidates = make_candidates(3)
    free = isolation.candidates_for_suspect(suspect, candidates)
    assert workers_of(free) == ["w1", "w2"]
    assert workers_of(isolation.candidates_for_others(candidates)) == ["w0", "w1", "w2"]


def test_nothing_starts_beside_a_suspect_on_probation():
    isolation = SuspectIsolation()
    running, waiting = make_task(0, "w0"), make_task(1)
    begin(isolation, [running, waiting], {"w0": runs_of(running.id)})
    candidates = make_candidates(4)
    assert workers_of(isolation.candidates_for_others(candidates))[0] == "w1"
    isolation.record_placement("w1", waiting.id)
    assert workers_of(isolation.candidates_for_others(candidates)) == ["w2", "w3"]


def test_worker_of_a_placement_in_the_same_round_is_not_free():
    isolation = SuspectIsolation()
    suspect = make_task(0)
    begin(isolation, [suspect], {})
    isolation.record_placement("w0", other(0))
    free = isolation.candidates_for_suspect(suspect, make_candidates(2))
    assert workers_of(free) == ["w1"]


def test_suspects_hold_at_most_half_of_the_workers():
    isolation = SuspectIsolation()
    suspects = [make_task(0, "w0"), make_task(1, "w1"), make_task(2)]
    runs = {"w0": runs_of(suspects[0].id), "w1": runs_of(suspects[1].id)}
    begin(isolation, suspects, runs)
    assert isolation.candidates_for_suspect(suspects[2], make_candidates(4)) == []
    isolation.reserve(suspects[2], SPEC, make_candidates(4))
    others = isolation.candidates_for_others(make_candidates(4))
    assert workers_of(others) == ["w2", "w3"]


def test_the_only_worker_may_take_a_suspect():
    isolation = SuspectIsolation()
    suspect = make_task(0)
    begin(isolation, [suspect], {})
    assert isolation.candidates_for_suspect(suspect, make_candidates(1))


def test_worker_is_reserved_for_a_suspect_that_found_none():
    isolation = SuspectIsolation()
    suspect, second = make_task(0), make_task(1)
    runs = {"w0": runs_of(other(0), other(1)), "w1": runs_of(other(2))}
    candidates = make_candidates(2)
    begin(isolation, [suspect, second], runs)
    assert isolation.candidates_for_suspect(suspect, candidates) == []
    isolation.reserve(suspect, SPEC, candidates)
    isolation.reserve(second, SPEC, candidates)
    begin(isolation, [suspect, second], runs, 1.0)
    assert workers_of(isolation.candidates_for_others(candidates)) == ["w0"]
    begin(isolation, [suspect, second], {"w0": runs["w0"]}, 2.0)
    assert isolation.candidates_for_suspect(second, candidates) == []
    assert workers_of(isolation.candidates_for_suspect(suspect, candidates)) == ["w1"]


def test_reservation_ends_and_the_next_one_is_of_another_worker():
    isolation = SuspectIsolation()
    suspect = make_task(0)
    runs = {"w0": runs_of(other(0)), "w1": runs_of(other(1), other(2))}
    candidates = make_candidates(2)
    begin(isolation, [suspect], runs)
    isolation.reserve(suspect, SPEC, candidates)
    assert workers_of(isolation.candidates_for_others(candidates)) == ["w1"]
    begin(isolation, [suspect], runs, RESERVATION_SECONDS)
    isolation.reserve(suspect, SPEC, candidates)
    assert len(isolation.candidates_for_others(candidates)) == 2
    begin(isolation, [suspect], runs, RESERVATION_SECONDS + RESERVATION_PAUSE_SECONDS)
    isolation.reserve(suspect, SPEC, candidates)
    assert workers_of(isolation.candidates_for_others(candidates)) == ["w0"]


def test_reservation_ends_with_the_suspicion():
    isolation = SuspectIsolation()
    suspect, second = make_task(0), make_task(1)
    runs = {"w0": runs_of(other(0)), "w1": runs_of(other(1))}
    begin(isolation, [suspect, second], runs)
    isolation.reserve(suspect, SPEC, make_candidates(2))
    begin(isolation, [second], runs, 1.0)
    assert len(isolation.candidates_for_others(make_candidates(2))) == 2


@pytest.mark.parametrize("spec", [SPEC._replace(cpu_millicores=5000), SPEC])
def test_worker_that_cannot_take_the_suspect_is_not_reserved(spec):
    isolation = SuspectIsolation()
    suspect = make_task(0)
    begin(isolation, [suspect], {"w0": runs_of(other(0)), "w1": runs_of(other(1))})
    full = WorkerLoad(CAPACITY)
    full.cpu_millicores = 4000
    candidates = make_candidates(2, w0=full)
    isolation.reserve(suspect, spec, candidates)
    others = workers_of(isolation.candidates_for_others(candidates))
    assert others == (["w0"] if spec is SPEC else ["w0", "w1"])


def test_suspects_are_split_from_the_other_tasks_of_a_step():
    isolation = SuspectIsolation()
    tasks = [make_task(index) for index in range(4)]
    begin(isolation, [tasks[1], tasks[3]], {})
    parts = isolation.split(tasks)
    assert parts == [[tasks[1]], [tasks[3]], [tasks[0], tasks[2]]]


def reserve_one(spec=SPEC, **loads):
    """Return the isolation of two workers, of which ``w0`` is reserved."""
    isolation = SuspectIsolation()
    suspect = make_task(0)
    runs = {"w0": runs_of(other(0)), "w1": runs_of(other(1), other(2))}
    candidates = make_candidates(2, **loads)
    begin(isolation, [suspect], runs)
    isolation.reserve(suspect, spec, candidates)
    return isolation, suspect, runs, candidates


def test_reserved_worker_may_be_shared_in_one_round():
    isolation, suspect, runs, candidates = reserve_one()
    begin(isolation, [suspect], runs, 1.0)
    for index in range(2):
        shared = isolation.candidates_to_share(SPEC, candidates)
        assert workers_of(shared) == ["w0"]
        isolation.record_placement("w0", other(index))
    begin(isolation, [suspect], runs, 1.1)
    assert isolation.candidates_to_share(SPEC, candidates) == []


def test_worker_is_not_shared_if_the_suspect_does_not_fit_beside():
    _, _, _, candidates = reserve_one()
    isolation, suspect, runs, _ = reserve_one(SPEC._replace(cpu_millicores=3000))
    begin(isolation, [suspect], runs, 1.0)
    large = SPEC._replace(cpu_millicores=1001)
    assert isolation.candidates_to_share(large, candidates) == []
    assert workers_of(isolation.candidates_to_share(SPEC, candidates)) == ["w0"]


def test_worker_with_a_suspect_on_probation_is_not_shared():
    isolation, suspect, runs, candidates = reserve_one()
    isolation.record_placement("w0", suspect.id)
    assert isolation.candidates_to_share(SPEC, candidates) == []
    running = make_task(1, "w1")
    runs["w1"] = runs_of(running.id)
    begin(isolation, [running], runs, 1.0)
    assert isolation.candidates_to_share(SPEC, candidates) == []


def test_worker_is_not_shared_after_its_reservation():
    isolation, suspect, runs, candidates = reserve_one()
    begin(isolation, [suspect], runs, RESERVATION_SECONDS)
    assert isolation.candidates_to_share(SPEC, candidates) == []
