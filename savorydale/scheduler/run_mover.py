"""Stops runs that should continue on another worker."""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterator
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.advice import StepName
from savorydale.placement.choice import can_host, unused_millicores
from savorydale.placement.draining import must_move
from savorydale.placement.health import find_stalled_runs
from savorydale.scheduler.fleet import Fleets
from savorydale.scheduler.state import SchedulerState

CHECK_INTERVAL_SECONDS = 0.25

log = logging.getLogger(__name__)


class Needs(NamedTuple):
    """What decides whether a worker is suitable for tasks and has room for one."""

    service: str
    cpu_millicores: int
    memory_mb: int
    accelerators: int
    required_label: str
    backfill: bool
    image: str


class Hosts:
    """The workers that may take the tasks of runs to be moved, at one point in time.

    Runs of one step have the same hosts, and steps with the same needs share the
    workers that fit, since hundreds of runs may be checked several times a second.
    ``is_suitable`` is a further condition on a worker.
    """

    def __init__(
        self,
        state: SchedulerState,
        now: float,
        is_suitable: Callable[[WorkerLink, StepSpec], bool] | None = None,
    ):
        self._state = state
        self._fleets = Fleets(state, now)
        self._is_suitable = is_suitable
        self._fitting: dict[Needs, list[WorkerLink]] = {}
        self._hosts: dict[tuple[str, StepName, StepSpec], list[WorkerLink]] = {}

    def has_host_for(self, link: WorkerLink, run: Run) -> bool:
        """Return whether another worker of the service may take a run's task."""
        key = link.info.service, StepName(*run.task[:3]), run.spec
        hosts = self._hosts.get(key)
        if hosts is None:
            # One of two is another worker in any case.
            hosts = list(itertools.islice(self._find_hosts(link, run), 2))
            self._hosts[key] = hosts
        return any(host is not link for host in hosts)

    def _find_hosts(self, link: WorkerLink, run: Run) -> Iterator[WorkerLink]:
        fitting = self._list_fitting(link.info.service, run.spec)
        found = self._state.job_tracker.find_task(run.task) if fitting else None
        if found is None:
            return
        name, limit = StepName(*run.task[:3]), run.spec.max_per_worker
        count_by_worker = found[0].count_by_worker()
        for host in fitting:
            is_below_limit = not limit or count_by_worker[host.worker] < limit
            if is_below_limit and not self._state.advice.is_denied(name, host.worker):
                yield host

    def _list_fitting(self, service: str, spec: StepSpec) -> list[WorkerLink]:
        """Return the suitable workers of a service on which such a task fits."""
        needs = _needs_of(service, spec)
        fitting = self._fitting.get(needs)
        if fitting is None:
            links = [
                self._state.link_by_worker[candidate.worker]
                for candidate in self._fleets.for_service(service).candidates
                if can_host(spec, candidate, placed=0)
            ]
            is_suitable = self._is_suitable
            fitting = [
                link for link in links if is_suitable is None or is_suitable(link, spec)
            ]
            self._fitting[needs] = fitting
        return fitting


class RunMover:
    """Moves stuck backfill, runs on draining workers, and runs without progress."""

    def __init__(self, state: SchedulerState, counters: Counters):
        self._state = state
        self._counters = counters
        self._checked_at = 0.0
        self._stalled_on_by_task: dict[TaskId, set[str]] = {}

    def move_runs(self) -> None:
        """Stop all runs to be moved, at most once per `CHECK_INTERVAL_SECONDS`."""
        now = asyncio.get_running_loop().time()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        self._checked_at = now
        self._move_stuck_runs()
        self._move_runs_off_draining_workers()
        self._move_stalled_runs()

    def _move_stuck_runs(self) -> None:
        now = asyncio.get_running_loop().time()
        links = [
            link
            for link in self._state.links
            if not link.info.is_draining and link.is_registered
        ]
        hosts = Hosts(self._state, now, self._state.colocation.could_run)
        for link, run in self._state.colocation.choose_moves(
            links, now, hosts.has_host_for
        ):
            self._move(link, run, "backfill is throttled too far to protect services")

    def _move_runs_off_draining_workers(self) -> None:
        """Stop the runs that must leave draining workers."""
        now = asyncio.get_running_loop().time()
        hosts = Hosts(self._state, now)
        for link in self._state.links:
            if not link.info.is_draining or not link.run_by_task:
                continue
            for run in list(link.run_by_task.values()):
                fits_elsewhere = hosts.has_host_for(link, run)
                if must_move(run, link.seconds_left(now), now, fits_elsewhere):
                    self._move(link, run, "the worker is draining")

    def _move_stalled_runs(self) -> None:
        """Stop runs without progress, and quarantine their workers for a while."""
        now = asyncio.get_running_loop().time()
        self._forget_unknown_tasks()
        for link in self._state.links:
            if not link.is_in_contact(now):
                continue
            # The time of the last report: delays of this process do not count.
            reported_at = link.last_contact_at or now
            stalled = find_stalled_runs(_runs_with_cpu(link), reported_at)
            if not stalled:
                continue
            if self._may_be_faulty(link, stalled):
                self._quarantine(link, stalled, reported_at, now)
            for run in stalled:
                self._move(link, run, "the run makes no progress")

    def _forget_unknown_tasks(self) -> None:
        """Forget the stalls of tasks whose jobs are over."""
        for task in list(self._stalled_on_by_task):
            if self._state.job_tracker.find_task(task) is None:
                del self._stalled_on_by_task[task]

    def _may_be_faulty(self, link: WorkerLink, stalled: list[Run]) -> bool:
        """Return whether a worker may be the cause of its stalled runs.

        It is not if all of their tasks have stalled on other workers as well.
        """
        for run in stalled:
            workers = self._stalled_on_by_task.setdefault(run.task, set())
            workers.add(link.worker)
        return any(len(self._stalled_on_by_task[run.task]) == 1 for run in stalled)

    def _quarantine(
        self, link: WorkerLink, stalled: list[Run], reported_at: float, now: float
    ) -> None:
        """Quarantine a worker with stalled runs, or extend its quarantine."""
        if not self._state.health_of(link.worker).on_stall(now):
            return
        self._counters.increment("worker.stalled")
        progressed_at = min(
            max(run.confirmed_at, run.progressed_at, run.throttled_at)
            for run in stalled
        )
        log.warning(
            "worker is quarantined",
            extra={
                "worker": link.worker,
                "reason": "runs make no progress",
                "runs": len(link.run_by_task),
                "stalled": len(stalled),
                "longest": round(reported_at - progressed_at, 3),
            },
        )

    def _move(self, link: WorkerLink, run: Run, reason: str) -> None:
        log.info(
            "run is moved",
            extra={
                "job": run.task.job,
                "task": str(run.task),
                "run": run.number,
                "worker": link.worker,
                "reason": reason,
            },
        )
        self._counters.increment("run.moved")
        link.stop(run)


def _needs_of(service: str, spec: StepSpec) -> Needs:
    return Needs(
        service,
        spec.cpu_millicores,
        spec.memory_mb,
        spec.accelerators,
        spec.required_label,
        spec.backfill,
        spec.image,
    )


def _runs_with_cpu(link: WorkerLink) -> list[Run]:
    """Return the runs on a worker, without backfill if no CPU may be left for it."""
    is_used_up = unused_millicores(link.load) < 0
    return [
        run
        for run in link.run_by_task.values()
        if not (is_used_up and run.spec.backfill)
    ]
