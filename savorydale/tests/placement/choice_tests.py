"""Tests of the choice of a worker: hard constraints, then scores."""

from collections import Counter

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.progress import JobProgress
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run, WorkerLoad
from savorydale.placement.choice import (
    Candidate,
    PlacementContext,
    WorkerChooser,
    is_busy,
    min_backfill_speed,
)
from savorydale.placement.headroom import BatchTaskDemand

QUEUE = QueueSettings("q", "h", "/q/", "desk")
CAPACITY = Resources(8000, 16000, 0)


def make_step(**fields):
    spec = StepSpec(**{"task_count": 4, "cpu_millicores": 1000, **fields})
    row = JobRow(JobSpec("", (spec,)), QUEUE, 0)
    return JobProgress("j", row, JobStatus.QUEUED, 0.0).steps_of(0)[0]


def make_candidate(worker, labels=("a", "r1"), used=0, suspicion=0.0, **fields):
    load = WorkerLoad(CAPACITY)
    if used:
        step = make_step(cpu_millicores=used, **fields)
        load.add(Run(step.tasks[0].id, 1, step.spec, 0.0))
    return Candidate(worker, labels, load, suspicion)


def choose(step, candidates, **context):
    fields = {
        "count_by_worker": Counter(),
        "speed_by_worker": {},
        "similarity_by_worker": {},
        "min_speed": min_backfill_speed(0.0, allow_any_speed=False),
        **context,
    }
    chooser = WorkerChooser(step, candidates, PlacementContext(**fields))
    chosen = chooser.choose(step.tasks[0])
    return chosen.worker if chosen else None


def test_batch_task_goes_to_the_worker_with_most_free_capacity():
    candidates = [make_candidate("w1", used=3000), make_candidate("w2", used=1000)]
    assert choose(make_step(), candidates) == "w2"


def test_best_fit_is_chosen_on_a_full_fleet():
    candidates = [make_candidate("w1", used=3000), make_candidate("w2", used=7000)]
    assert choose(make_step(), candidates, is_full=True) == "w2"


def test_worker_without_capacity_is_not_chosen():
    assert choose(make_step(), [make_candidate("w1", used=7500)]) is None
    assert choose(make_step(memory_mb=20000), [make_candidate("w1")]) is None
    assert choose(make_step(accelerators=1), [make_candidate("w1")]) is None


def test_required_label_and_limit_per_worker_are_enforced():
    step = make_step(required_label="b")
    assert choose(step, [make_candidate("w1")]) is None
    step = make_step(max_per_worker=1)
    counts = Counter({"w1": 1})
    assert choose(step, [make_candidate("w1")], count_by_worker=counts) is None


def test_the_rack_with_the_data_is_preferred():
    candidates = [make_candidate("w1"), make_candidate("w2", ("a", "r2"), used=2000)]
    assert choose(make_step(data_rack="r2"), candidates) == "w2"


def test_a_worker_with_recent_failures_comes_last():
    candidates = [make_candidate("w1", suspicion=1.0), make_candidate("w2", used=6000)]
    assert choose(make_step(), candidates) == "w2"


def test_a_worker_where_the_task_failed_is_the_last_resort():
    step = make_step()
    step.tasks[0].excluded_workers = frozenset({"w1"})
    candidates = [make_candidate("w1"), make_candidate("w2", used=6000)]
    assert choose(step, candidates) == "w2"
    assert choose(step, candidates[:1]) == "w1"


def test_similar_services_are_colocated():
    step = make_step(long_running=True)
    candidates = [make_candidate("w1"), make_candidate("w2", used=3000)]
    similarity = {"w1": 0.3, "w2": 1.0}
    assert choose(step, candidates, similarity_by_worker=similarity) == "w2"


def test_service_leaves_headroom_but_less_than_its_own_size():
    step = make_step(cpu_millicores=3000, long_running=True)
    candidate = make_candidate("w1", used=4000, long_running=True)
    assert choose(step, [candidate], service_headroom=2000.0) is None
    assert choose(step, [make_candidate("w1")], service_headroom=9000.0) == "w1"


def test_min_backfill_speed_decays_until_any_speed_is_accepted():
    step = make_step(backfill=True)
    slow = {"w1": 0.1}
    assert choose(step, [make_candidate("w1")], speed_by_worker=slow) is None
    min_speed = min_backfill_speed(10.0, allow_any_speed=True)
    chosen = choose(
        step, [make_candidate("w1")], speed_by_worker=slow, min_speed=min_speed
    )
    assert chosen == "w1"
    assert min_backfill_speed(0.0, True) > min_backfill_speed(2.0, True) > 0


def test_min_backfill_speed_keeps_a_floor_unless_any_speed_is_allowed():
    step = make_step(backfill=True)
    min_speed = min_backfill_speed(60.0, allow_any_speed=False)
    context = {"speed_by_worker": {"w1": 0.1}, "min_speed": min_speed}
    assert choose(step, [make_candidate("w1")], **context) is None


def test_workers_are_busy_when_most_cpu_is_used():
    assert is_busy([make_candidate("w1", used=7000), make_candidate("w2", used=5000)])
    assert not is_busy([make_candidate("w1", used=7000), make_candidate("w2")])
    services = {"used": 8000, "long_running": True}
    assert not is_busy([make_candidate("w1", **services)])


def test_headroom_follows_the_peak_of_batch_demand_and_decays():
    demand = BatchTaskDemand()
    demand.observe(10_000, 0.0)
    assert demand.headroom_per_worker(10) > 1000
    demand.observe(0, 60.0)
    assert demand.headroom_per_worker(10) < 100


def test_the_only_worker_with_free_capacity_among_many_is_found():
    full = [make_candidate(f"w{number}", used=8000) for number in range(300)]
    assert choose(make_step(), [*full[:200], make_candidate("free"), *full]) == "free"


def test_a_worker_is_scored_again_after_each_placement():
    step = make_step(cpu_millicores=2000)
    candidates = [make_candidate("w1"), make_candidate("w2", used=1000)]
    context = PlacementContext(Counter(), {}, {})
    chooser = WorkerChooser(step, candidates, context)
    chosen = []
    while (candidate := chooser.choose(step.tasks[0])) is not None:
        candidate.load.add(Run(step.tasks[0].id, 1, step.spec, 0.0))
        chooser.record_placement()
        chosen.append(candidate.worker)
    assert chosen == ["w1", "w2", "w1", "w2", "w1", "w2", "w1"]
