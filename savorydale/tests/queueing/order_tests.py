"""Steps are ranked by priority, then by the deadline that they can still meet."""

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.progress import JobProgress
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.queueing.order import rank_replicas, rank_step

QUEUE = QueueSettings("q", "h", "/q/", "desk", 1, 2, 2.0, 1000.0)
URGENT = QUEUE._replace(priority=0)


def make_step(added_at=0.0, queue=QUEUE, seconds=4.0, **fields):
    spec = StepSpec(1, estimate_ms=int(1000 * seconds), **fields)
    row = JobRow(JobSpec("", (spec,)), queue, 0)
    return JobProgress("j", row, JobStatus.QUEUED, added_at).steps_of(0)[0]


def ranked(now, **steps):
    return sorted(steps, key=lambda name: rank_step(steps[name], now))


def test_critical_path_is_the_longest_chain_of_dependent_steps():
    steps = (
        StepSpec(1, estimate_ms=1000),
        StepSpec(1, estimate_ms=5000),
        StepSpec(1, estimate_ms=2000, after=(0,)),
    )
    row = JobRow(JobSpec("", steps), QUEUE, 0)
    job = JobProgress("j", row, JobStatus.QUEUED, 0.0)
    assert job.critical_path_seconds == 5.0
    middle = job.steps_of(0)[1]
    middle.mark_done(middle.tasks[0])
    assert job.remaining_critical_path_seconds(0) == 3.0


def test_queues_of_higher_priority_come_first():
    assert ranked(1.0, low=make_step(), high=make_step(queue=URGENT)) == [
        "high",
        "low",
    ]


def test_earliest_deadline_comes_first():
    assert ranked(1.0, late=make_step(1.0), early=make_step(0.0)) == [
        "early",
        "late",
    ]


def test_late_job_comes_after_job_that_can_meet_its_objective():
    # The objective is 9 s; at 8 s the first job can no longer meet it.
    assert ranked(8.0, late=make_step(0.0), fresh=make_step(7.0)) == [
        "fresh",
        "late",
    ]


def started(step):
    step.has_started = True
    return step


def test_started_job_comes_before_job_with_earlier_deadline():
    assert ranked(2.0, other=make_step(0.0), started=started(make_step(1.0))) == [
        "started",
        "other",
    ]


def test_late_started_job_comes_before_fresh_job_with_later_deadline():
    # The deadline of the late job is its cutoff at 27 s, that of the fresh job 31 s.
    assert ranked(22.0, late=started(make_step(0.0)), fresh=make_step(22.0))[0] == (
        "late"
    )


def test_late_job_that_has_not_started_comes_after_fresh_job():
    assert ranked(22.0, late=make_step(0.0), fresh=make_step(22.0))[0] == "fresh"


def test_job_that_cannot_end_before_its_cutoff_comes_last():
    # The expired job needs 4 s; its cutoff is at 27 s.
    assert ranked(24.0, expired=make_step(0.0, URGENT), low=make_step(15.1)) == [
        "low",
        "expired",
    ]


def test_job_past_its_cutoff_comes_last():
    expired, low = make_step(0.0, URGENT), make_step(39.0)
    assert ranked(40.0, expired=expired, low=low) == ["low", "expired"]


def test_batch_tasks_come_before_services():
    steps = {"service": make_step(0.0, long_running=True), "batch": make_step(1.0)}
    assert ranked(1.0, **steps) == ["batch", "service"]


def test_steady_flow_of_batch_tasks_does_not_starve_services():
    steps = {"service": make_step(0.0, long_running=True), "batch": make_step(2.0)}
    assert ranked(2.0, **steps) == ["service", "batch"]


def test_overdue_services_without_capacity_come_after_batch_tasks():
    service, batch = make_step(0.0, long_running=True), make_step(2.0)
    assert rank_step(batch, 2.0) < rank_step(service, 2.0, has_capacity=False)
    assert rank_step(batch, 2.0) > rank_step(service, 2.0, has_capacity=True)


def test_services_get_their_replicas_alternately():
    first, second = make_step(0.0, long_running=True), make_step(1.0, long_running=True)
    replicas = [
        (rank, name)
        for name, step in (("first", first), ("second", second))
        for rank, _ in rank_replicas(step, [step.tasks[0]] * 2, 1.0)
    ]
    names = [name for _, name in sorted(replicas)]
    assert names == ["first", "second", "first", "second"]


def test_services_never_miss_the_cutoff():
    service = make_step(0.0, long_running=True)
    assert not rank_step(service, 1000.0).misses_cutoff
