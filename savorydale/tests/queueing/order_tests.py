"""Steps are placed by priority and by the deadline that can still be met."""

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.jobs.tracker import JobProgress
from savorydale.queueing.order import rank_replicas, rank_step

QUEUE = QueueSettings("q", "h", "/q/", "desk", 1, 2, 2.0, 1000.0)
URGENT = QUEUE._replace(priority=0)


def make_step(seen_at=0.0, queue=QUEUE, seconds=4.0, **fields):
    spec = StepSpec(1, estimate_ms=int(1000 * seconds), **fields)
    row = JobRow(JobSpec("", (spec,)), queue, 0)
    return JobProgress("j", row, JobStatus.QUEUED, seen_at).steps_of(0)[0]


def in_order(now, **steps):
    return sorted(steps, key=lambda name: rank_step(steps[name], now))


def test_longest_chain_follows_dependencies():
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


def test_urgent_queues_come_first():
    assert in_order(1.0, low=make_step(), high=make_step(queue=URGENT)) == [
        "high",
        "low",
    ]


def test_the_earliest_deadline_comes_first():
    assert in_order(1.0, late=make_step(1.0), early=make_step(0.0)) == ["early", "late"]


def test_a_job_that_is_late_lets_others_be_on_time():
    # The objective is 9 s; at 8 s the first job cannot make it any more.
    assert in_order(8.0, late=make_step(0.0), fresh=make_step(7.0)) == ["fresh", "late"]


def begin(step):
    step.has_started = True
    return step


def test_a_job_that_was_begun_goes_before_one_with_an_earlier_deadline():
    assert in_order(2.0, other=make_step(0.0), begun=begin(make_step(1.0))) == [
        "begun",
        "other",
    ]


def test_a_late_job_that_was_begun_is_not_kept_waiting_for_ever():
    # Its second deadline is at 27 s, that of the fresh job at 31 s.
    assert in_order(22.0, late=begin(make_step(0.0)), fresh=make_step(22.0))[0] == (
        "late"
    )


def test_a_late_job_that_was_not_begun_waits_for_fresh_ones():
    assert in_order(22.0, late=make_step(0.0), fresh=make_step(22.0))[0] == "fresh"


def test_a_job_that_cannot_end_while_it_is_of_use_comes_last():
    # It needs 4 s and is of no use after 27 s.
    assert in_order(24.0, useless=make_step(0.0, URGENT), low=make_step(15.1)) == [
        "low",
        "useless",
    ]


def test_a_job_that_is_of_no_use_comes_last():
    useless, low = make_step(0.0, URGENT), make_step(39.0)
    assert in_order(40.0, useless=useless, low=low) == ["low", "useless"]


def test_short_tasks_come_before_services_that_hold_their_room():
    steps = {"service": make_step(0.0, long_running=True), "short": make_step(1.0)}
    assert in_order(1.0, **steps) == ["short", "service"]


def test_a_steady_flow_of_short_tasks_does_not_starve_services():
    steps = {"service": make_step(0.0, long_running=True), "short": make_step(2.0)}
    assert in_order(2.0, **steps) == ["service", "short"]


def test_short_tasks_keep_the_last_places_from_services_that_waited():
    service, short = make_step(0.0, long_running=True), make_step(2.0)
    assert rank_step(short, 2.0) < rank_step(service, 2.0, has_places=False)
    assert rank_step(short, 2.0) > rank_step(service, 2.0, has_places=True)


def test_services_get_their_replicas_in_turn():
    first, second = make_step(0.0, long_running=True), make_step(1.0, long_running=True)
    replicas = [
        (rank, name)
        for name, step in (("first", first), ("second", second))
        for rank, _ in rank_replicas(step, [step.tasks[0]] * 2, 1.0)
    ]
    names = [name for _, name in sorted(replicas)]
    assert names == ["first", "second", "first", "second"]


def test_services_are_never_of_no_use():
    service = make_step(0.0, long_running=True)
    assert not rank_step(service, 1000.0).is_useless
