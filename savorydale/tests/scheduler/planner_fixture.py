"""A planner with workers that run one service each, and helpers for its tests."""

import asyncio
import contextlib

from savorydale.counters import Counters
from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec, TaskId
from savorydale.jobs.rows import JobRow, JobStatus
from savorydale.orders.interface import Resources, WorkerInfo
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.advice import PolicyAnswer
from savorydale.placement.crash_history import Crash, CrashVerdict
from savorydale.scheduler import planner as planner_module
from savorydale.scheduler import worker_scores as worker_scores_module
from savorydale.scheduler.planner import Planner, PlannerLimits
from savorydale.scheduler.state import SchedulerState

QUEUE = QueueSettings("q", "h", "/q/", "desk", 2, 4, 2.0, 1000.0)
ADVISED = QUEUE._replace(needs_advice=True)
SERVICE = StepSpec(1, 4000, 1000, long_running=True, image="feed", latency_target_ms=18)
BACKFILL = StepSpec(10, 2000, 1000, estimate_ms=2000, image="report", backfill=True)
BASE_TAIL_MS = 7.0


class PlannerFixture:
    """Workers that run one service each, and a planner for them."""

    def __init__(self, workers, policy=None):
        self.state = SchedulerState()
        self.set_aside = {}
        self.counters = Counters()
        self.planner = Planner(
            self.state,
            PlannerLimits(250.0, 100),
            self.counters,
            lambda: None,
            policy,
            self.set_aside.__setitem__,
        )
        for number in range(workers):
            self.add_worker(f"w{number}")

    def add_worker(self, name, labels=(), service_spec=SERVICE):
        capacity = Resources(32_000, 128_000, 0)
        info = WorkerInfo(name, "", "desk", "z1", False, capacity, labels, 1, None)
        link = WorkerLink(info, None, None, 1, 6000, Counters())
        service = Run(TaskId(f"service-{name}", 0, 0, 0), 1, service_spec, 0.0)
        service.usage = BASE_TAIL_MS
        link.reserve(service)
        link.last_contact_at = asyncio.get_running_loop().time()
        self.state.link_by_worker[name] = link

    def train_model(self, tail_ms):
        for _ in range(20):
            self.state.colocation.model.observe("feed", {"report": 0.2}, tail_ms)
            self.state.colocation.model.observe("feed", {}, BASE_TAIL_MS)
        for _ in range(10):
            self.state.colocation.model.fit()

    def submit(self, job, spec, queue=QUEUE):
        now = asyncio.get_running_loop().time()
        row = JobRow(JobSpec("", (spec,)), queue, 0)
        return self.state.job_tracker.add(job, row, JobStatus.QUEUED, now)

    async def plan(self, seconds):
        """Plan ten times a second; return the starts."""
        starts = []
        for _ in range(round(seconds * 10)):
            for link in self.state.links:
                link.last_contact_at = asyncio.get_running_loop().time()
            self.planner.plan()
            starts += self.planner.take_starts()
            await asyncio.sleep(0.1)
        return starts


class FailingPolicy:
    """A policy service that allows nothing; its first queries raise an error."""

    def __init__(self, failures=0):
        self.failures = failures
        self.steps = []

    async def query(self, step, workers):
        self.steps.append(step)
        if len(self.steps) <= self.failures:
            raise RuntimeError("unexpected")
        return PolicyAnswer({}, 0.0)


@contextlib.contextmanager
def slow_calls(monkeypatch, module, name, seconds):
    """Advance the clock by ``seconds`` for each call of what a module imports.

    Yields a function that advances it by any other number of seconds.
    """
    loop = asyncio.get_running_loop()
    time = loop.time
    function = getattr(module, name)
    spent = 0.0

    def spend(seconds):
        nonlocal spent
        spent += seconds

    def call_slowly(*args):
        spend(seconds)
        return function(*args)

    monkeypatch.setattr(module, name, call_slowly)
    monkeypatch.setattr(loop, "time", lambda: time() + spent)
    yield spend
    monkeypatch.undo()


def slow_scoring(monkeypatch, seconds):
    """Advance the clock by ``seconds`` for each step whose workers are scored."""
    return slow_calls(monkeypatch, worker_scores_module, "WorkerChooser", seconds)


def slow_ranking(monkeypatch, seconds):
    """Advance the clock by ``seconds`` for each step that is ranked."""
    return slow_calls(monkeypatch, planner_module, "rank_step", seconds)


def suspect(fixture, job, index=0):
    """Make a task of a job the only suspect of a crash that was just noticed."""
    [step] = job.steps_of(0)
    task = step.tasks[index]
    fixture.state.job_tracker.record_crash(step, task, "w9", True)
    now = asyncio.get_running_loop().time()
    crash = Crash("w9", now, {task.id}, {task.id: task.run}, is_alone=True)
    crash.verdict = CrashVerdict.ONLY_SUSPECT
    fixture.state.crash_history.add(crash)
    return task.id


def clear_runs(fixture, *workers):
    for worker in workers:
        for run in fixture.state.link_by_worker[worker].run_by_task.values():
            run.passed_probation = True
