"""Schedules all jobs while this entry holds the scheduler's lease."""

import asyncio
import collections
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import OverloadedError, RowFormatError
from savorydale.jobs.ledger import EndEffect, JobProgress, Ledger, StepProgress, Task
from savorydale.jobs.model import Configuration, QueueSettings
from savorydale.jobs.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    STATES_TABLE,
    STEPS_TABLE,
    TAILS_TABLE,
    JobStatus,
    SummaryRow,
    cancel_key,
    decode_job,
    decode_state,
    decode_step,
    decode_tail_fit,
    encode_summary,
    encode_tail_fit,
    state_key,
    summary_key,
    tail_key,
)
from savorydale.orders.interface import (
    EndedRun,
    Resources,
    WorkerInfo,
    WorkerOrders,
)
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.ownership.election import RENEWAL_SECONDS
from savorydale.ownership.lease import SchedulerLease
from savorydale.placement.advice import AdviceCache, PolicyService, StepName
from savorydale.placement.choice import (
    Candidate,
    PlacementContext,
    choose_worker,
    unused_millicores,
)
from savorydale.placement.colocation import Colocation
from savorydale.placement.draining import must_leave
from savorydale.placement.headroom import ShortTaskDemand
from savorydale.placement.health import WorkerHealth, find_stalled_runs
from savorydale.queueing.order import rank_step
from savorydale.storage.follow import follow_table
from savorydale.storage.rows import RowStore, RowWrite, StoredRow

COMMIT_LINGER_SECONDS = 0.015
LOAD_TIMEOUT_SECONDS = 2.0
FEED_WAIT_SECONDS = 1.0
SUMMARY_SECONDS = 1.0
LEARNT_SECONDS = 3.0
RETENTION_MARGIN_SECONDS = 30.0
TICK_SECONDS = 0.1
MAX_LAG_SECONDS = 0.1
LATE_TICKS = 12
PLENTY_OF_PLACES = 2  # a service with so many places is never kept waiting
MILLISECONDS = 1000
NO_ROOM = Resources(0, 0, 0)

log = logging.getLogger(__name__)


class PendingStart(NamedTuple):
    """A start order that waits until its assignment is durable."""

    link: WorkerLink
    run: Run
    payload: str
    checkpoint: str
    ticket: str


class SchedulerTiming(NamedTuple):
    """Figures of the deployment that the scheduler needs, in their unit."""

    lease_max_ms: float
    early_ms: float
    status_retention_s: float


class JobScheduler:
    """One term as the scheduling entry: from acquiring the lease to losing it."""

    def __init__(
        self,
        store: RowStore,
        orders: WorkerOrders,
        lease: SchedulerLease,
        timing: SchedulerTiming,
        counters: Counters,
        read_configuration: Callable[[], Configuration | None],
        policy: PolicyService | None = None,
    ):
        self._policy = policy
        self._advice = AdviceCache()
        self.ledger = Ledger()
        self.link_by_worker: dict[str, WorkerLink] = {}
        self._store = store
        self._orders = orders
        self._lease = lease
        self._timing = timing
        self._counters = counters
        self._read_configuration = read_configuration
        self._colocation = Colocation()
        self._short_tasks = ShortTaskDemand()
        self._health_by_worker: dict[str, WorkerHealth] = {}
        self._starts: list[PendingStart] = []
        self._extra_writes: dict[str, RowWrite] = {}
        self._ended: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._info_by_worker: dict[str, WorkerInfo] = {}
        self._restored_by_worker: dict[str, list[Run]] = {}
        self._wake = asyncio.Event()
        self._store_clock_offset_ms = 0.0
        self._group: asyncio.TaskGroup | None = None
        self._queues_seen: set[str] = set()

    # The term

    async def run(self) -> None:
        """Schedule until the lease is lost or the task is cancelled.

        Raises
        ------
        LeadershipLostError
            In an exception group, if another entry has taken over.
        """
        await self._load()
        async with asyncio.TaskGroup() as group:
            self._group = group
            for worker, runs in self._restored_by_worker.items():
                self._restore_link(worker, runs)
            for info in list(self._info_by_worker.values()):
                self._open_link(info)
            jobs = JobFeed(self)
            group.create_task(
                follow_table(self._store, JOBS_TABLE, jobs, FEED_WAIT_SECONDS)
            )
            group.create_task(self._commit_loop())
            group.create_task(self._tick_loop())

    async def _load(self) -> None:
        """Read what earlier holders of the lease left behind."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        # The lease was just acquired, so nobody else changes states and steps of
        # known jobs; jobs are read last, so that each has all of its rows.
        states = await self._store.read_range(
            STATES_TABLE, timeout_seconds=LOAD_TIMEOUT_SECONDS
        )
        steps = await self._store.read_range(
            STEPS_TABLE, timeout_seconds=LOAD_TIMEOUT_SECONDS
        )
        jobs = await self._store.read_range(
            JOBS_TABLE, timeout_seconds=LOAD_TIMEOUT_SECONDS
        )
        learnt = await self._store.read_range(
            TAILS_TABLE, timeout_seconds=LOAD_TIMEOUT_SECONDS
        )
        for row in learnt.rows:
            self._load_learnt(row)
        self._store_clock_offset_ms = jobs.now_ms - loop.time() * MILLISECONDS
        status_by_job: dict[str, JobStatus] = {}
        for row in states.rows:
            state = decode_state(row.value or b"")
            status_by_job[row.name.key] = state.status
            if state.status.is_final:
                self._ended[row.name.key] = state.ended_ms
        for row in jobs.rows:
            if row.name.key.endswith(CANCEL_SUFFIX):
                continue
            status = status_by_job.get(row.name.key, JobStatus.QUEUED)
            self.ledger.add(
                row.name.key, decode_job(row.value or b""), status, loop.time()
            )
        for row in steps.rows:
            self._load_step(row)
        for job in list(self.ledger.job_by_id.values()):
            self._collect_assigned(job)
        log.info(
            "jobs loaded",
            extra={
                "epoch": self._lease.epoch,
                "jobs": len(self.ledger.job_by_id),
                "ended": len(self._ended),
                "seconds": round(loop.time() - started_at, 3),
            },
        )

    def _load_learnt(self, row: StoredRow) -> None:
        try:
            fit = decode_tail_fit(row.value or b"")
        except RowFormatError as error:
            log.warning("fit is skipped", extra={"reason": str(error)})
            return
        self._colocation.model.restore(row.name.key, fit)

    def _load_step(self, row: StoredRow) -> None:
        job_id, occurrence, number = row.name.key.split(".")
        job = self.ledger.job_by_id.get(job_id)
        if job is None:
            log.warning("progress of an unknown job is removed", extra={"job": job_id})
            self._extra_writes[str(row.name)] = RowWrite(row.name, None)
            return
        rows = decode_step(row.value or b"")
        self.ledger.restore_step(job, int(occurrence), int(number), rows)

    def _collect_assigned(self, job: JobProgress) -> None:
        now = asyncio.get_running_loop().time()
        for step in job.begun_steps():
            for task in step.tasks:
                if task.worker:
                    run = Run(task.id, task.run, step.spec, now)
                    run.stop_wanted = job.status.is_final
                    self._restored_by_worker.setdefault(task.worker, []).append(run)

    # Workers

    def replace_workers(self, info_by_worker: dict[str, WorkerInfo]) -> None:
        """Take in the list of registered workers."""
        for worker, link in self.link_by_worker.items():
            link.is_registered = worker in info_by_worker
        self._info_by_worker = info_by_worker
        if self._group is not None:
            for info in info_by_worker.values():
                self._open_link(info)
        self.wake()

    def _open_link(self, info: WorkerInfo) -> None:
        link = self.link_by_worker.get(info.worker)
        if link is None or link.is_closed:
            link = self._make_link(info)
        if link.info.capacity != info.capacity:
            link.load.capacity = info.capacity
        if link.info.is_draining != info.is_draining:
            log.info(
                "worker state changed",
                extra={"worker": info.worker, "draining": info.is_draining},
            )
        link.update(info)

    def _restore_link(self, worker: str, runs: list[Run]) -> None:
        info = self._info_by_worker.get(worker)
        if info is None:
            # The worker is not registered; its leases must lapse.
            info = WorkerInfo(worker, "", "", "", True, NO_ROOM, (), 0, None)
        link = self._make_link(info)
        link.is_registered = worker in self._info_by_worker
        for run in runs:
            link.restore(run)

    def _make_link(self, info: WorkerInfo) -> WorkerLink:
        link = WorkerLink(
            info,
            self._orders,
            self,
            self._lease.epoch,
            self._timing.lease_max_ms,
            self._counters,
        )
        self.link_by_worker[info.worker] = link
        if self._group is not None:
            self._group.create_task(link.run())
        return link

    def on_end(self, link: WorkerLink, end: EndedRun) -> None:
        """Apply the end of a run; acknowledged with the next commit."""
        now = asyncio.get_running_loop().time()
        effect = self.ledger.apply_end(link.worker, end, now)
        self._counters.increment(f"end.{end.reason}")
        log.info(
            "run ended",
            extra={
                "job": end.task.job,
                "task": str(end.task),
                "run": end.run,
                "worker": link.worker,
                "reason": end.reason,
                "effect": effect,
            },
        )
        if self._health_of(link.worker).on_end(end, now):
            self._counters.increment("worker.quarantined")
            log.warning(
                "worker is quarantined",
                extra={"worker": link.worker, "reason": "tasks of several jobs failed"},
            )
        job = self.ledger.job_by_id.get(end.task.job)
        if job is not None:
            self._settle_job(job, effect)
        self.wake()

    def _settle_job(self, job: JobProgress, effect: EndEffect) -> None:
        if not job.status.is_final:
            if effect is EndEffect.GAVE_UP:
                self._finish(job, JobStatus.FAILED)
            elif effect is EndEffect.SUCCEEDED and job.is_complete:
                self._finish(job, JobStatus.COMPLETED)
        self.ledger.forget_if_idle(job)

    def on_lost(self, link: WorkerLink, run: Run, reason: str) -> None:
        """Put the task of a run that does not exist any more back to waiting."""
        found = self.ledger.find_task(run.task)
        log.info(
            "run lost",
            extra={
                "job": run.task.job,
                "task": str(run.task),
                "run": run.number,
                "worker": link.worker,
                "reason": reason,
            },
        )
        self._counters.increment("run.lost")
        self._advice.drop_ticket(StepName(*run.task[:3]), link.worker)
        if found is None:
            return
        step, task = found
        if task.worker == link.worker and task.run == run.number:
            self.ledger.release(task, step, asyncio.get_running_loop().time())
        self.ledger.forget_if_idle(step.job)
        self.wake()

    def on_started(self, link: WorkerLink, run: Run) -> None:
        """Slow new backfill down at once, if the services beside it ask for that."""
        if not run.spec.backfill:
            return
        for paced, percent in self._colocation.pace_changes(link):
            link.throttle(paced, percent)

    def on_report(self, link: WorkerLink) -> None:
        """Adapt the speed of backfill to the services' tail latency."""
        for run, percent in self._colocation.on_report(link):
            link.throttle(run, percent)

    def _health_of(self, worker: str) -> WorkerHealth:
        return self._health_by_worker.setdefault(worker, WorkerHealth())

    def _leave_stalled_workers(self) -> None:
        """Start elsewhere what stands still, and give its worker a rest."""
        now = asyncio.get_running_loop().time()
        for link in self.link_by_worker.values():
            if not link.is_in_contact(now):
                continue
            stalled = find_stalled_runs(list(link.run_by_task.values()), now)
            if not stalled:
                continue
            if self._health_of(link.worker).on_stall(now):
                self._counters.increment("worker.stalled")
            for run in stalled:
                self._move(link, run, "the run makes no progress")

    # Jobs

    def take_in_job(self, row: StoredRow) -> None:
        """Take in an accepted job, once."""
        job = row.name.key
        if job in self._ended or job in self.ledger.job_by_id or row.value is None:
            return
        decoded = decode_job(row.value)
        now = asyncio.get_running_loop().time()
        self.ledger.add(job, decoded, JobStatus.QUEUED, now)
        self._counters.increment("job.taken_in")
        log.info(
            "job taken in",
            extra={"job": job, "queue": decoded.queue.name, "version": row.version},
        )
        self.wake()

    def cancel_job(self, job_id: str) -> None:
        """Stop the runs of a job and show it as cancelled."""
        job = self.ledger.job_by_id.get(job_id)
        if job is None:
            key = cancel_key(job_id)
            self._extra_writes[str(key)] = RowWrite(key, None)
            return
        if job.status.is_final:
            return
        self._counters.increment("job.cancelled")
        self._finish(job, JobStatus.CANCELLED)
        self.ledger.forget_if_idle(job)
        self.wake()

    def _finish(self, job: JobProgress, status: JobStatus) -> None:
        self.ledger.finish(job, status, int(self._store_now_ms()))
        self._ended[job.id] = int(self._store_now_ms())
        self._advice.forget_job(job.id)
        log.info("job ended", extra={"job": job.id, "status": status})
        for task in job.assigned_tasks():
            link = self.link_by_worker.get(task.worker)
            run = link.run_by_task.get(task.id) if link else None
            if link is not None and run is not None:
                link.stop(run)

    # Decisions and their durability

    def wake(self) -> None:
        """Plan and commit soon."""
        self._wake.set()

    async def _commit_loop(self) -> None:
        """Plan, make what was decided durable, and only then act on it."""
        while True:
            try:
                async with asyncio.timeout(RENEWAL_SECONDS):
                    await self._wake.wait()
                await asyncio.sleep(COMMIT_LINGER_SECONDS)
            except TimeoutError:
                pass  # nothing has happened; the lease must be renewed
            self._wake.clear()
            self._plan()
            await self._commit()

    async def _commit(self) -> None:
        loop = asyncio.get_running_loop()
        has_work = bool(self.ledger.has_changes or self._extra_writes)
        if not has_work and loop.time() - self._lease.renewed_at < RENEWAL_SECONDS:
            for link in self.link_by_worker.values():
                link.acknowledge(link.processed, link.born_ms)
            return
        writes = [*self.ledger.take_changes(), *self._extra_writes.values()]
        self._extra_writes.clear()
        starts, self._starts = self._starts, []
        cursors = [
            (link, link.processed, link.born_ms)
            for link in self.link_by_worker.values()
            if link.processed > link.acknowledged
        ]
        started_at = loop.time()
        await self._lease.commit(writes)
        self._counters.record_latency("commit", loop.time() - started_at)
        self._counters.increment("commit.rows", len(writes))
        for link, cursor, born_ms in cursors:
            link.acknowledge(cursor, born_ms)
        for start in starts:
            start.link.start(start.run, start.payload, start.checkpoint, start.ticket)

    def _plan(self) -> None:
        now = asyncio.get_running_loop().time()
        unix_ms = time.time() * MILLISECONDS + self._timing.early_ms / 2
        steps = [
            step
            for job in self.ledger.job_by_id.values()
            for step in job.ready_steps(unix_ms)
        ]
        waiting = [(step, step.waiting_tasks()) for step in steps]
        waiting = [entry for entry in waiting if entry[1]]
        if not waiting:
            return
        self._observe_short_tasks(waiting, now)
        waiting.sort(key=lambda entry: rank_step(entry[0], now))
        candidates_by_service: dict[str, list[Candidate]] = {}
        for step, tasks in waiting:
            service = self._service_of(step.job.queue)
            if service not in candidates_by_service:
                candidates_by_service[service] = self._candidates(service, now)
            candidates = candidates_by_service[service]
            if self._needs_advice(step):
                candidates = self._advised(step, candidates, now)
            self._place(step, tasks, candidates, now)

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
        asked = self._advice.question(name, workers, now)
        if asked is not None and self._group is not None:
            self._group.create_task(self._ask_policy(name, asked))
        return [
            candidate
            for candidate in candidates
            if self._advice.ticket(name, candidate.worker, now)
        ]

    async def _ask_policy(self, step: StepName, workers: list[str]) -> None:
        assert self._policy is not None
        answer = await self._policy.ask(step, workers)
        now = asyncio.get_running_loop().time()
        self._advice.take_answer(step, workers, answer, now)
        self.wake()

    def _observe_short_tasks(
        self, waiting: list[tuple[StepProgress, list[Task]]], now: float
    ) -> None:
        running = sum(
            link.load.short_millicores for link in self.link_by_worker.values()
        )
        asked = sum(
            step.spec.cpu_millicores * len(tasks)
            for step, tasks in waiting
            if not step.spec.long_running and not step.spec.backfill
        )
        self._short_tasks.observe(running + asked, now)

    def _service_of(self, queue: QueueSettings) -> str:
        """Return the service that the configuration in force names for a queue."""
        configuration = self._read_configuration()
        current = configuration.queue_by_name.get(queue.name) if configuration else None
        return current.service if current else queue.service

    def _candidates(self, service: str, now: float) -> list[Candidate]:
        candidates = []
        for link in self.link_by_worker.values():
            info = link.info
            if info.service != service or info.is_draining or not link.is_registered:
                continue
            if not link.is_in_contact(now):
                continue
            if self._health_of(link.worker).is_quarantined(now):
                continue
            candidates.append(
                Candidate(
                    link.worker,
                    info.labels,
                    link.load,
                    self._health_of(link.worker).suspicion_now(now),
                    self._colocation.scarcity_of(link.worker),
                )
            )
        return candidates

    def _place(
        self,
        step: StepProgress,
        tasks: list[Task],
        candidates: list[Candidate],
        now: float,
    ) -> None:
        context = PlacementContext(
            step.count_by_worker(),
            self._speeds(step, candidates),
            self._likenesses(step, candidates),
            now - (min(task.waiting_since for task in tasks) or step.job.seen_at),
            self._service_headroom(step, candidates),
        )
        if step.spec.gang and len(tasks) < step.open_count:
            return  # members of the last run are still ending
        chosen: list[tuple[Task, Run, WorkerLink]] = []
        for task in tasks:
            candidate = choose_worker(step, task, candidates, context)
            if candidate is None:
                break
            link = self.link_by_worker[candidate.worker]
            run = Run(task.id, task.run + 1, step.spec, now)
            link.reserve(run)
            context.count_by_worker[link.worker] += 1
            if step.spec.backfill:
                speed = self._colocation.speed_of(link, step.spec)
                context.speed_by_worker[link.worker] = speed
            chosen.append((task, run, link))
        if step.spec.gang and len(chosen) < len(tasks):
            for _, run, link in chosen:
                link.unreserve(run)
            return
        if step.spec.gang:
            self._align_gang(chosen)
        for task, run, link in chosen:
            self._assign(step, task, run, link)

    def _service_headroom(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> float:
        """Return the room to keep beside a service, unless places are plenty."""
        places = sum(candidate.load.places_for(step.spec) for candidate in candidates)
        if places >= PLENTY_OF_PLACES:
            return 0.0
        return self._short_tasks.room_per_worker(len(candidates))

    def _speeds(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> dict[str, float]:
        """Return how fast the step's backfill may work on each worker."""
        if not step.spec.backfill:
            return {}
        return {
            candidate.worker: self._colocation.speed_of(
                self.link_by_worker[candidate.worker], step.spec
            )
            for candidate in candidates
        }

    def _likenesses(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> dict[str, float]:
        """Return how alike the services on each worker are to the step's tasks."""
        if not step.spec.long_running:
            return {}
        return {
            candidate.worker: self._colocation.likeness_of(
                self.link_by_worker[candidate.worker], step.spec
            )
            for candidate in candidates
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
        self.ledger.assign(step, task, link.worker)
        name = StepName(step.job.id, step.occurrence, step.number)
        ticket = self._advice.ticket(name, link.worker, run.assigned_at)
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

    # Upkeep of rows

    async def _tick_loop(self) -> None:
        summary_at = 0.0
        learnt_at = 0.0
        loop = asyncio.get_running_loop()
        lag = LoopLag()
        while True:
            before = loop.time()
            await asyncio.sleep(TICK_SECONDS)
            lag.observe(loop.time() - before - TICK_SECONDS)
            if loop.time() - summary_at >= SUMMARY_SECONDS:
                summary_at = loop.time()
                self._summarize()
                self._remove_old_states()
                self._colocation.refresh(list(self.link_by_worker.values()))
            if loop.time() - learnt_at >= LEARNT_SECONDS:
                learnt_at = loop.time()
                self._keep_what_was_learnt()
            self._move_stuck_runs()
            self._empty_leaving_workers()
            self._leave_stalled_workers()
            self.wake()  # room, time and contact may have changed

    def _move_stuck_runs(self) -> None:
        now = asyncio.get_running_loop().time()
        links = [
            link
            for link in self.link_by_worker.values()
            if not link.info.is_draining and link.is_registered
        ]
        for link, run in self._colocation.choose_moves(links, now):
            self._move(link, run, "backfill cannot work beside the services there")

    def _empty_leaving_workers(self) -> None:
        """Stop what must leave workers that are about to go."""
        now = asyncio.get_running_loop().time()
        for link in self.link_by_worker.values():
            if not link.info.is_draining or not link.run_by_task:
                continue
            candidates = self._candidates(link.info.service, now)
            for run in list(link.run_by_task.values()):
                has_place = any(other.load.fits(run.spec) for other in candidates)
                if must_leave(run, link.seconds_left(now), now, has_place):
                    self._move(link, run, "the worker is leaving")

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

    def _summarize(self) -> None:
        configuration = self._read_configuration()
        if configuration is None:
            return
        pending = collections.Counter(
            job.queue.name
            for job in self.ledger.job_by_id.values()
            if job.status is JobStatus.QUEUED
        )
        now_ms = int(self._store_now_ms())
        for queue in configuration.queue_by_name.keys() & self._used_queues():
            key = summary_key(queue)
            value = encode_summary(SummaryRow(pending[queue], now_ms))
            self._extra_writes[str(key)] = RowWrite(key, value)

    def _keep_what_was_learnt(self) -> None:
        for image, fit in self._colocation.model.take_changed().items():
            key = tail_key(image)
            self._extra_writes[str(key)] = RowWrite(key, encode_tail_fit(fit))

    def _used_queues(self) -> set[str]:
        self._queues_seen.update(
            job.queue.name for job in self.ledger.job_by_id.values()
        )
        return self._queues_seen

    def _remove_old_states(self) -> None:
        keep_ms = (
            self._timing.status_retention_s + RETENTION_MARGIN_SECONDS
        ) * MILLISECONDS
        oldest_ms = self._store_now_ms() - keep_ms
        while self._ended:
            job, ended_ms = next(iter(self._ended.items()))
            if ended_ms > oldest_ms:
                return
            del self._ended[job]
            key = state_key(job)
            self._extra_writes[str(key)] = RowWrite(key, None)

    def _store_now_ms(self) -> float:
        now_ms = asyncio.get_running_loop().time() * MILLISECONDS
        return now_ms + self._store_clock_offset_ms


class LoopLag:
    """Finds that the event loop cannot keep up, which makes all jobs late."""

    def __init__(self) -> None:
        self._late_ticks = 0

    def observe(self, lag_seconds: float) -> None:
        """Take in by how much a timer was late.

        Raises
        ------
        OverloadedError
            If many timers in a row were late.
        """
        self._late_ticks = self._late_ticks + 1 if lag_seconds > MAX_LAG_SECONDS else 0
        if self._late_ticks >= LATE_TICKS:
            raise OverloadedError(f"{LATE_TICKS} timers in a row were late")


class JobFeed:
    """Passes accepted and cancelled jobs from the store to the scheduler."""

    def __init__(self, scheduler: JobScheduler):
        self._scheduler = scheduler

    def replace_all(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in all jobs."""
        self.apply(rows, version)

    def apply(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Take in new jobs and requests to cancel."""
        for row in rows:
            if row.value is None:
                continue
            key = row.name.key
            try:
                if key.endswith(CANCEL_SUFFIX):
                    self._scheduler.cancel_job(key.removesuffix(CANCEL_SUFFIX))
                else:
                    self._scheduler.take_in_job(row)
            except RowFormatError as error:
                log.warning(
                    "job row is skipped", extra={"key": key, "reason": str(error)}
                )

    def confirm(self, store_ms: int) -> None:
        """Do nothing; jobs have no time limit that depends on the feed."""
