"""Decides which waiting task runs on which worker."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.jobs.ledger import StepProgress, Task
from savorydale.jobs.model import Configuration, QueueSettings
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.advice import PolicyService, StepName
from savorydale.placement.choice import (
    LEAST_SPEED,
    Candidate,
    PlacementContext,
    WorkerChooser,
    least_speed,
    unused_millicores,
)
from savorydale.placement.no_room import NoRoom
from savorydale.queueing.order import PlacementRank, rank_replicas, rank_step
from savorydale.scheduler.fleet import Fleet, Fleets
from savorydale.scheduler.planning_counts import PlanningCounts
from savorydale.scheduler.state import SchedulerState
from savorydale.storage.rows import RowKey

ROUND_SECONDS = 0.05
MILLISECONDS = 1000

log = logging.getLogger(__name__)


class PendingStart(NamedTuple):
    """A start order that waits until its assignment is durable."""

    link: WorkerLink
    run: Run
    payload: str
    checkpoint: str
    ticket: str


class Planner:
    """Places waiting tasks; the starts wait until the assignments are durable."""

    def __init__(
        self,
        state: SchedulerState,
        early_ms: float,
        counters: Counters,
        read_configuration: Callable[[], Configuration | None],
        policy: PolicyService | None,
    ):
        self._state = state
        self._early_ms = early_ms
        self._counters = counters
        self._read_configuration = read_configuration
        self._policy = policy
        self._starts: list[PendingStart] = []
        self._refused_steps: set[RowKey] = set()
        self._counts = PlanningCounts()
        self._questions: set[asyncio.Task[None]] = set()

    def take_starts(self) -> list[PendingStart]:
        """Return the starts planned since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def take_counts(self) -> PlanningCounts:
        """Return what was counted since the last call."""
        counts, self._counts = self._counts, PlanningCounts()
        return counts

    def plan(self) -> bool:
        """Place tasks that are ready and find room, the most urgent first.

        Returns whether all were looked at; one round must not delay everything else.
        The next round then leaves out what found no room, until all were looked at.
        """
        started_at = asyncio.get_running_loop().time()
        is_complete = self._plan_round(started_at)
        self._counts.rounds += 1
        self._counts.cut_rounds += not is_complete
        self._counts.seconds += asyncio.get_running_loop().time() - started_at
        return is_complete

    def _plan_round(self, now: float) -> bool:
        loop = asyncio.get_running_loop()
        unix_ms = time.time() * MILLISECONDS + self._early_ms / 2
        steps = [
            step
            for job in self._state.ledger.job_by_id.values()
            for step in job.ready_steps(unix_ms)
        ]
        waiting = [(step, step.waiting_tasks()) for step in steps]
        waiting = [entry for entry in waiting if entry[1]]
        self._observe_batch_demand(waiting, now)
        fleets = Fleets(self._state, now)
        no_room = NoRoom()
        in_order = self._in_order(waiting, fleets, now)
        self._counts.steps_waiting += len(in_order)
        for number, (_, step, tasks) in enumerate(in_order):
            if loop.time() - now > ROUND_SECONDS:
                self._counts.steps_not_reached += len(in_order) - number
                return False
            if step.key in self._refused_steps:
                continue
            service = self._service_of(step.job.queue)
            fleet = fleets.for_service(service)
            if self._needs_advice(step):
                advised = self._advised(step, fleet.candidates, now)
                speed = self._least_speed(step, tasks, fleet, now)
                allowed = fleet._replace(candidates=advised)
                self._place(step, tasks, allowed, speed, now)
                continue
            speed = self._least_speed(step, tasks, fleet, now)
            if no_room.covers(service, step.spec, speed):
                continue
            if not self._place(step, tasks, fleet, speed, now):
                self._refused_steps.add(step.key)
                has_room = fleet.fits(step.spec)
                no_room.add(service, step.spec, speed, has_room)
        self._refused_steps.clear()
        return True

    def _least_speed(
        self, step: StepProgress, tasks: list[Task], fleet: Fleet, now: float
    ) -> float:
        """Return the speed below which the step's backfill rather waits.

        While the fleet is not busy, one task of a job that has none at work may start
        anywhere in the end: more would take memory from others that could work there.
        """
        if not step.spec.backfill:
            return 0.0
        waited = _seconds_waited(step, tasks, now)
        return least_speed(waited, not fleet.is_busy and step.job.is_idle)

    def _in_order(
        self,
        waiting: list[tuple[StepProgress, list[Task]]],
        fleets: Fleets,
        now: float,
    ) -> list[tuple[PlacementRank, StepProgress, list[Task]]]:
        """Return what waits, the most urgent first: steps, and replicas one by one."""
        entries = []
        for step, tasks in waiting:
            if not step.spec.long_running:
                entries.append((rank_step(step, now), step, tasks))
                continue
            fleet = fleets.for_service(self._service_of(step.job.queue))
            has_capacity = fleet.has_ample_capacity_for(step.spec)
            if step.spec.gang:
                entries.append((rank_step(step, now, has_capacity), step, tasks))
                continue
            ranks = rank_replicas(step, tasks, now, has_capacity)
            entries += [(rank, step, [task]) for rank, task in ranks]
        return sorted(entries, key=lambda entry: entry[0])

    def _needs_advice(self, step: StepProgress) -> bool:
        configuration = self._read_configuration()
        queues = configuration.queue_by_name if configuration else {}
        queue = queues.get(step.job.queue.name, step.job.queue)
        return queue.needs_advice and self._policy is not None

    def _advised(
        self, step: StepProgress, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the workers with a valid ticket, and ask about others."""
        name = StepName(step.job.id, step.occurrence, step.number)
        fitting = [
            candidate for candidate in candidates if candidate.load.fits(step.spec)
        ]
        fitting.sort(key=lambda candidate: -unused_millicores(candidate.load))
        workers = [candidate.worker for candidate in fitting]
        asked = self._state.advice.question(name, workers, now)
        if asked is not None:
            question = asyncio.create_task(self._ask_policy(name, asked))
            self._questions.add(question)
            question.add_done_callback(self._questions.discard)
        return [
            candidate
            for candidate in candidates
            if self._state.advice.ticket(name, candidate.worker, now)
        ]

    async def _ask_policy(self, step: StepName, workers: list[str]) -> None:
        assert self._policy is not None
        answer = await self._policy.ask(step, workers)
        now = asyncio.get_running_loop().time()
        self._state.advice.take_answer(step, workers, answer, now)

    def _observe_batch_demand(
        self, waiting: list[tuple[StepProgress, list[Task]]], now: float
    ) -> None:
        running = sum(link.load.short_millicores for link in self._state.links)
        asked = sum(
            step.spec.cpu_millicores * len(tasks)
            for step, tasks in waiting
            if not step.spec.long_running and not step.spec.backfill
        )
        self._state.batch_demand.observe(running + asked, now)

    def _service_of(self, queue: QueueSettings) -> str:
        """Return the service that the configuration in force names for a queue."""
        configuration = self._read_configuration()
        current = configuration.queue_by_name.get(queue.name) if configuration else None
        return current.service if current else queue.service

    def _place(
        self,
        step: StepProgress,
        tasks: list[Task],
        fleet: Fleet,
        least_speed: float,
        now: float,
    ) -> bool:
        """Place as many tasks of a step as find room; return whether all do.

        Backfill that may hardly work starts one task only; see `_least_speed`.
        """
        if step.spec.backfill and least_speed < LEAST_SPEED:
            tasks = tasks[:1]
        candidates = fleet.candidates
        context = PlacementContext(
            step.count_by_worker(),
            self._speeds(step, candidates),
            self._likenesses(step, candidates),
            least_speed,
            self._service_headroom(step, fleet),
            fleet.is_full,
        )
        if step.spec.gang and len(tasks) < step.open_count:
            return True  # members of the last run are still ending
        chooser = WorkerChooser(step, candidates, context)
        chosen: list[tuple[Task, Run, WorkerLink]] = []
        for task in tasks:
            candidate = chooser.choose(task)
            if candidate is None:
                self._counts.count_refusal(step.spec, candidates)
                break
            link = self._state.link_by_worker[candidate.worker]
            run = Run(task.id, task.run + 1, step.spec, now)
            link.reserve(run)
            context.count_by_worker[link.worker] += 1
            if step.spec.backfill:
                self._state.colocation.note_placement(link, step.spec)
                speed = self._state.colocation.speed_of(link, step.spec)
                context.speed_by_worker[link.worker] = speed
            chooser.note_placed()
            chosen.append((task, run, link))
        if step.spec.gang and len(chosen) < len(tasks):
            for _, run, link in chosen:
                link.unreserve(run)
            return False
        if step.spec.gang:
            self._align_gang(chosen)
        for task, run, link in chosen:
            self._assign(step, task, run, link)
        self._counts.tasks_placed += len(chosen)
        return len(chosen) == len(tasks)

    def _service_headroom(self, step: StepProgress, fleet: Fleet) -> float:
        """Return the room to keep beside a service, unless places are plenty."""
        if not step.spec.long_running or fleet.has_ample_capacity_for(step.spec):
            return 0.0
        return self._state.batch_demand.room_per_worker(len(fleet.candidates))

    def _speeds(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> dict[str, float]:
        """Return how fast the step's backfill may work on each worker."""
        if not step.spec.backfill:
            return {}
        return {
            candidate.worker: self._state.colocation.speed_of(
                self._state.link_by_worker[candidate.worker], step.spec
            )
            for candidate in candidates
            if candidate.load.fits(step.spec)
        }

    def _likenesses(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> dict[str, float]:
        """Return how alike the services on each worker are to the step's tasks."""
        if not step.spec.long_running:
            return {}
        return {
            candidate.worker: self._state.colocation.likeness_of(
                self._state.link_by_worker[candidate.worker], step.spec
            )
            for candidate in candidates
            if candidate.load.fits(step.spec)
        }

    def _align_gang(self, chosen: list[tuple[Task, Run, WorkerLink]]) -> None:
        """Give all members the same run number and checkpoint."""
        newest = max((task for task, _, _ in chosen), key=lambda task: task.run)
        for task, run, _ in chosen:
            task.run = newest.run
            task.checkpoint = newest.checkpoint
            run.number = newest.run + 1

    def _assign(
        self, step: StepProgress, task: Task, run: Run, link: WorkerLink
    ) -> None:
        self._state.ledger.assign(step, task, link.worker)
        name = StepName(step.job.id, step.occurrence, step.number)
        ticket = self._state.advice.ticket(name, link.worker, run.assigned_at)
        payload = step.job.row.spec.payload
        self._starts.append(PendingStart(link, run, payload, task.checkpoint, ticket))
        self._counters.increment("run.assigned")
        log.info(
            "run assigned",
            extra={
                "job": task.id.job,
                "task": str(task.id),
                "run": task.run,
                "worker": link.worker,
                "age": round(run.assigned_at - step.job.seen_at, 3),
            },
        )


def _seconds_waited(step: StepProgress, tasks: list[Task], now: float) -> float:
    """Return how long the first of a step's waiting tasks has waited."""
    return now - (min(task.waiting_since for task in tasks) or step.job.seen_at)
