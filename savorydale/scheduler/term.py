"""Schedules all jobs during one term, from acquiring the lease to losing it.

To start a run, its job is queued, ranked and placed; the assignment is committed before
the start order is sent. The end of a run is applied to the job tracker and committed
before it is acknowledged to the worker.
"""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import StoreUnreachableError
from savorydale.jobs.model import JOB_ID, Configuration
from savorydale.jobs.progress import JobProgress, StepProgress, Task
from savorydale.jobs.rows import (
    JOBS_TABLE,
    STEPS_TABLE,
    JobStatus,
    cancel_key,
    tombstone_key,
)
from savorydale.jobs.tracker import EndEffect
from savorydale.orders.interface import (
    EndedRun,
    EndReason,
    Resources,
    StartObstacle,
    WorkerInfo,
    WorkerOrders,
)
from savorydale.orders.lease_extension import LeaseExtension
from savorydale.orders.renewal_wait import renewal_wait_ms
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.ownership.election import RENEWAL_INTERVAL_SECONDS
from savorydale.ownership.lease import RejectedWrite, SchedulerLease
from savorydale.placement.advice import PolicyService, StepName
from savorydale.queueing.order import objective_seconds
from savorydale.scheduler.admission import JobAdmission
from savorydale.scheduler.crash_handler import CrashHandler
from savorydale.scheduler.housekeeping import Housekeeping
from savorydale.scheduler.job_feed import JobFeed
from savorydale.scheduler.lapse_record import LAPSES_KEY, LapseRecord
from savorydale.scheduler.load_report import LoadReport
from savorydale.scheduler.loop_lag import LoopLagMonitor
from savorydale.scheduler.planner import Planner, PlannerLimits
from savorydale.scheduler.registration_age import RegistrationAge
from savorydale.scheduler.run_mover import RunMover
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.store_clock import StoreClock
from savorydale.scheduler.takeover import load_state
from savorydale.scheduler.wait_report import WaitReport
from savorydale.storage.follow import follow_table
from savorydale.storage.rows import RowStore, StoredRow

COMMIT_LINGER_SECONDS = 0.015  # collects more changes into one commit
PLANNING_PAUSE_RATIO = 2.0  # so that planning takes at most a third of the time
FEED_WAIT_SECONDS = 1.0
TICK_SECONDS = 0.1
MAX_FIRST_CONTACTS = 64  # workers that are connected to at the same time
MILLISECONDS_PER_SECOND = 1000
NO_CAPACITY = Resources(0, 0, 0)

log = logging.getLogger(__name__)


class SchedulerTiming(NamedTuple):
    """Limits of the deployment that the scheduler uses.

    ``early_ms`` is how early an occurrence of a job may start.
    ``max_waiting_occurrences`` is how many due occurrences of a job are scheduled at
    the same time.
    """

    lease_max_ms: float
    early_ms: float
    status_retention_s: float
    max_waiting_occurrences: int
    max_row_bytes: int


class JobScheduler:
    """Schedules all jobs during one term."""

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
        self._state = SchedulerState(timing.max_row_bytes)
        self._admission = JobAdmission(self._state, counters)
        self._store = store
        self._orders = orders
        self._lease = lease
        self._timing = timing
        self._counters = counters
        self._planner = Planner(
            self._state,
            PlannerLimits(timing.early_ms, timing.max_waiting_occurrences),
            counters,
            read_configuration,
            policy,
            self.set_aside_job,
        )
        self._mover = RunMover(self._state, counters)
        wait_report = WaitReport(
            self._state,
            self._planner.wait_decisions,
            counters,
            self._planner.service_of,
            lease.epoch,
        )
        self._load_report = LoadReport(
            self._state, self._planner.take_counts, wait_report
        )
        self._crash_handler = CrashHandler(self._state, counters, self._fail_job)
        self._housekeeping = Housekeeping(
            self._state,
            timing.status_retention_s,
            timing.max_row_bytes,
            self._store_now_ms,
            read_configuration,
        )
        self._first_contact_slots = asyncio.Semaphore(MAX_FIRST_CONTACTS)
        self._info_by_worker: dict[str, WorkerInfo] = {}
        self._registration_age = RegistrationAge()
        self._lease_extension = LeaseExtension(
            lease.age_seconds, self._state.link_by_worker.values
        )
        self._wake = asyncio.Event()
        self._store_clock_offset_ms = 0.0
        self._store_clock: StoreClock | None = None
        self._lapse_record = LapseRecord()
        self._task_group: asyncio.TaskGroup | None = None

    # The term

    async def run(self) -> None:
        """Schedule until the lease is lost or the task is cancelled.

        Raises
        ------
        LeadershipLostError
            In an exception group, if another entry has acquired the lease.
        OverloadedError
            In an exception group, if this VM is too slow.
        StoreError
            In an exception group, if the state or the registrations cannot be read.
        """
        async with asyncio.TaskGroup() as group:
            async with self._renewing_lease():
                loaded = await load_state(
                    self._store, self._state, self._admission, self._lease.epoch
                )
            self._store_clock_offset_ms = loaded.store_clock_offset_ms
            self._store_clock = loaded.store_clock
            self._lapse_record = loaded.lapse_record
            self._task_group = group
            for worker, runs in loaded.runs_by_worker.items():
                self._restore_link(worker, runs)
            for info in list(self._info_by_worker.values()):
                self._open_link(info)
            self._update_renewal_waits()
            feed = JobFeed(self)
            feed.apply(loaded.cancellations, loaded.jobs_version)
            self._finish_decided_jobs()
            self._crash_handler.restore()
            group.create_task(
                follow_table(
                    self._store,
                    JOBS_TABLE,
                    feed,
                    FEED_WAIT_SECONDS,
                    loaded.jobs_version,
                )
            )
            group.create_task(self._plan_and_commit_loop())
            group.create_task(self._tick_loop())

    @contextlib.asynccontextmanager
    async def _renewing_lease(self) -> AsyncIterator[None]:
        """Renew the lease inside the block, while no other commit does."""
        done = asyncio.Event()

        async def renew() -> None:
            # A commit is never cancelled: its outcome would be unknown.
            while not done.is_set():
                await self._lease.commit([])
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RENEWAL_INTERVAL_SECONDS):
                        await done.wait()

        async with asyncio.TaskGroup() as group:
            group.create_task(renew())
            try:
                yield
            finally:
                done.set()

    # Workers

    def replace_workers(self, info_by_worker: dict[str, WorkerInfo]) -> None:
        """Replace the list of registered workers."""
        for worker, link in self._state.link_by_worker.items():
            link.is_registered = worker in info_by_worker
        self._info_by_worker = info_by_worker
        if self._task_group is not None:
            for info in info_by_worker.values():
                self._open_link(info)
        self._update_renewal_waits()
        self.wake()

    def record_registrations(self) -> None:
        """Record that all changes of registrations up to now are known."""
        if not self._registration_age.is_recent():
            self.wake()
        self._registration_age.record_response()

    def _find_start_obstacle(self) -> StartObstacle | None:
        if not self._lease.is_current():
            return StartObstacle.LEASE_NOT_CURRENT
        if not self._registration_age.is_recent():
            return StartObstacle.REGISTRATIONS_OLD
        return None

    def _update_renewal_waits(self) -> None:
        wait_ms = renewal_wait_ms(len(self._info_by_worker))
        for link in self._state.links:
            link.renew_wait_ms = wait_ms

    def _open_link(self, info: WorkerInfo) -> None:
        link = self._state.link_by_worker.get(info.worker)
        if link is None:
            link = self._make_link(info)
        elif link.is_closed:
            closed_link, link = link, self._make_link(info)
            link.continue_tokens_of(closed_link)
        if link.info.capacity != info.capacity:
            self._change_capacity(link, info.capacity)
        if link.info.is_draining != info.is_draining:
            log.info(
                "worker state changed",
                extra={"worker": info.worker, "draining": info.is_draining},
            )
        link.update(info)

    def _change_capacity(self, link: WorkerLink, capacity: Resources) -> None:
        self._counters.increment("worker.capacity_changed")
        log.info(
            "worker capacity changed",
            extra={"worker": link.worker, **capacity._asdict()},
        )
        for run in link.set_capacity(capacity):
            self._stop_gang(run)

    def _stop_gang(self, run: Run) -> None:
        """Stop the other members of a gang, one of which is not started."""
        found = self._state.job_tracker.find_task(run.task)
        if found is None or not run.spec.gang:
            return
        step, _ = found
        for member in step.tasks:
            self._stop_run(member)

    def _restore_link(self, worker: str, runs: list[Run]) -> None:
        info = self._info_by_worker.get(worker)
        if info is None:
            # The worker is not registered: its runs stay until its lease has lapsed.
            info = WorkerInfo(worker, "", "", "", True, NO_CAPACITY, (), 0, None)
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
            self._find_start_obstacle,
            self._first_contact_slots,
            self._lease_extension,
        )
        self._lapse_record.prepare(link)
        self._state.link_by_worker[info.worker] = link
        self._run_link(link)
        return link

    def _run_link(self, link: WorkerLink) -> None:
        if self._task_group is None:
            return
        coroutine = link.run()
        try:
            self._task_group.create_task(coroutine)
        except RuntimeError:
            # The task group accepts no tasks: the worker registers as the term ends.
            coroutine.close()
            log.info("worker is not followed", extra={"worker": link.worker})

    def on_end(self, link: WorkerLink, end: EndedRun) -> None:
        """Apply the end of a run, which is acknowledged after the next commit."""
        now = asyncio.get_running_loop().time()
        effect = self._state.job_tracker.apply_end(link.worker, end, now)
        self._counters.increment(f"end.{end.reason}")
        if end.reason is EndReason.DONE:
            self._crash_handler.on_done(end.task)
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
        verdict = self._state.record_end(link, end, now)
        if verdict.begins_quarantine:
            self._counters.increment("worker.quarantined")
            log.warning(
                "worker is quarantined",
                extra={
                    "worker": link.worker,
                    "reason": "more tasks fail than on other workers",
                    "failure_ratio_elsewhere": round(
                        verdict.failure_ratio_elsewhere, 3
                    ),
                },
            )
        job = self._state.job_tracker.job_by_id.get(end.task.job)
        if job is not None:
            self._update_job_status(job, effect)
        self.wake()

    def _update_job_status(self, job: JobProgress, effect: EndEffect) -> None:
        if not job.status.is_terminal:
            if effect is EndEffect.GAVE_UP:
                self._finish(job, JobStatus.FAILED)
            elif effect is EndEffect.SUCCEEDED and job.is_complete:
                self._finish(job, JobStatus.COMPLETED)
        self._state.job_tracker.remove_if_idle(job)

    def _finish_decided_jobs(self) -> None:
        """Finish jobs whose last ends an earlier holder stored without their status.

        Many changes are committed in several transactions, and the holder may be
        killed between two of them.
        """
        for job in list(self._state.job_tracker.job_by_id.values()):
            if job.status.is_terminal:
                continue
            if job.has_failed:
                self._finish(job, JobStatus.FAILED)
            elif job.is_complete:
                self._finish(job, JobStatus.COMPLETED)
            self._state.job_tracker.remove_if_idle(job)

    def on_lost(self, link: WorkerLink, run: Run, reason: str) -> None:
        """Requeue the task of a run that no longer exists."""
        found = self._state.job_tracker.find_task(run.task)
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
        self._state.advice.drop_ticket(StepName(*run.task[:3]), link.worker)
        if found is None:
            return
        step, task = found
        if task.worker == link.worker and task.run == run.number:
            self._release(run, task, step)
        self._state.job_tracker.remove_if_idle(step.job)
        self.wake()

    def _release(self, run: Run, task: Task, step: StepProgress) -> None:
        tracker = self._state.job_tracker
        now = asyncio.get_running_loop().time()
        if run.start_sent_at is None:
            tracker.release_unstarted(task, step, now)
            return
        tracker.record_begin(step.job)  # nothing shows that the worker did not begin it
        tracker.release(task, step, now)

    def on_crash(self, link: WorkerLink, suspects: list[Run]) -> None:
        """Count the crash of a worker against the tasks that may have caused it."""
        self._crash_handler.on_crash(link, suspects)
        self.wake()

    def on_missing(self, link: WorkerLink, runs: list[Run]) -> None:
        """Note that a worker was gone when this lease holder first contacted it."""
        self._crash_handler.on_missing(link, runs)

    def on_probation_passed(self, link: WorkerLink, run: Run) -> None:
        """Clear the task of a run that did not crash its worker."""
        if self._crash_handler.on_probation_passed(link, run):
            self.wake()

    def _fail_job(self, job: JobProgress) -> None:
        self._finish(job, JobStatus.FAILED)
        self._state.job_tracker.remove_if_idle(job)

    def on_confirmed(self, link: WorkerLink, run: Run) -> None:
        """Show the run's job as running."""
        job = self._state.job_tracker.job_by_id.get(run.task.job)
        if job is not None and not job.has_begun:
            self._state.job_tracker.record_begin(job)
            self.wake()

    def on_started(self, link: WorkerLink, run: Run) -> None:
        """Throttle new backfill at once if the services on the worker require it."""
        if not run.spec.backfill:
            return
        for backfill_run, percent in self._state.colocation.speed_changes(link):
            link.throttle(backfill_run, percent)

    def on_report(self, link: WorkerLink) -> None:
        """Adapt the speed of backfill to the services' reported tail latency."""
        for run, percent in self._state.colocation.on_report(link):
            link.throttle(run, percent)

    # Jobs

    def add_job(self, row: StoredRow) -> None:
        """Add an accepted job, unless it is already known."""
        job = row.name.key
        if (
            job in self._state.ended_ms_by_job
            or job in self._state.job_tracker.job_by_id
        ):
            return
        now = asyncio.get_running_loop().time()
        admitted = self._admission.admit(
            row, JobStatus.QUEUED, now, self._store_now_ms()
        )
        self.wake()
        if admitted is None:
            return
        self._counters.increment("job.taken_in")
        log.info(
            "job taken in",
            extra={
                "job": job,
                "queue": admitted.queue.name,
                "version": row.version,
                "steps": [
                    (step.kind, step.task_count, step.cpu_millicores)
                    for step in admitted.row.spec.steps
                ],
            },
        )

    def set_aside_job(self, job_id: str, reason: str) -> None:
        """Show a job as failed and schedule it no more."""
        self._admission.set_aside(job_id, reason, self._store_now_ms())

    def cancel_job(self, job_id: str) -> None:
        """Stop the runs of a job and set its status to cancelled."""
        job = self._state.job_tracker.job_by_id.get(job_id)
        if job is None and job_id in self._state.ended_ms_by_job:
            self._state.write(cancel_key(job_id), None)
            return
        if job is None:
            self._admission.cancel_unknown(job_id, self._store_now_ms())
            self.wake()
            return
        if job.status.is_terminal:
            return
        self._counters.increment("job.cancelled")
        self._finish(job, JobStatus.CANCELLED)
        self._state.job_tracker.remove_if_idle(job)
        self.wake()

    def record_tombstone(self, job_id: str) -> None:
        """Delete the notice of a tombstone; the tombstone expires as an ended job."""
        if not JOB_ID.match(job_id):
            log.error("tombstone is ignored", extra={"job": job_id})
            return
        self._state.ended_ms_by_job.setdefault(job_id, int(self._store_now_ms()))
        self._state.write(tombstone_key(job_id), None)
        self.wake()

    def _finish(self, job: JobProgress, status: JobStatus) -> None:
        self._state.job_tracker.finish(job, status, int(self._store_now_ms()))
        self._state.ended_ms_by_job[job.id] = int(self._store_now_ms())
        self._state.advice.remove_job(job.id)
        now = asyncio.get_running_loop().time()
        log.info(
            "job ended",
            extra={
                "job": job.id,
                "status": status,
                "age": round(now - job.added_at, 3),
                "objective": round(objective_seconds(job), 3),
                "core_seconds": round(job.row.spec.core_seconds, 1),
            },
        )
        for task in job.assigned_tasks():
            self._stop_run(task)

    def _stop_run(self, task: Task) -> None:
        """Stop the run of a task, if it has one."""
        link = self._state.link_by_worker.get(task.worker)
        run = link.run_by_task.get(task.id) if link else None
        if link is not None and run is not None:
            link.stop(run)

    # Planning and commits

    def wake(self) -> None:
        """Trigger planning and a commit."""
        self._wake.set()

    async def _plan_and_commit_loop(self) -> None:
        """Plan, commit the decisions, and act on them only once they are durable."""
        loop = asyncio.get_running_loop()
        pause_seconds = 0.0
        while True:
            try:
                async with asyncio.timeout(RENEWAL_INTERVAL_SECONDS):
                    await self._wake.wait()
                await asyncio.sleep(max(COMMIT_LINGER_SECONDS, pause_seconds))
            except TimeoutError:
                pass  # no event; the lease must be renewed
            self._wake.clear()
            started_at = loop.time()
            if not self._plan():
                self.wake()
            pause_seconds = PLANNING_PAUSE_RATIO * (loop.time() - started_at)
            await self._commit()

    def _plan(self) -> bool:
        """Plan unless registrations are old; return whether the round is complete."""
        if not self._registration_age.is_recent():
            self._counters.increment("planning.registrations_old")
            self._planner.wait_decisions.record_stop(asyncio.get_running_loop().time())
            return True
        return self._planner.plan()

    async def _commit(self) -> None:
        loop = asyncio.get_running_loop()
        if (
            not self._state.has_changes
            and loop.time() - self._lease.renewed_at < RENEWAL_INTERVAL_SECONDS
        ):
            for link in self._state.links:
                link.acknowledge(link.processed_number, link.born_ms)
            return
        writes = self._state.take_writes()
        recorded = self._lapse_record.written
        starts = self._planner.take_starts()
        acknowledgements = [
            (link, link.processed_number, link.born_ms)
            for link in self._state.links
            if link.processed_number > link.acknowledged_number
        ]
        started_at = loop.time()
        rejected = await self._lease.commit(writes)
        self._counters.record_latency("commit", loop.time() - started_at)
        self._counters.increment("commit.rows", len(writes) - len(rejected))
        for item in rejected:
            self._handle_rejected_write(item)
        if LAPSES_KEY not in self._lease.rejected_rows:
            self._lapse_record.confirm(recorded, self._state.links)
        for link, number, born_ms in acknowledgements:
            link.acknowledge(number, born_ms)
        for start in starts:
            start.link.start(start.run, start.payload, start.checkpoint, start.ticket)

    def _handle_rejected_write(self, rejected: RejectedWrite) -> None:
        """Log a row that cannot be stored, and schedule no job without its progress."""
        name = rejected.write.name
        self._counters.increment("commit.rejected")
        log.error(
            "row cannot be stored",
            extra={"table": name.table, "key": name.key, "reason": rejected.reason},
        )
        job_id = name.key.partition(".")[0]
        if name.table == STEPS_TABLE and job_id in self._state.job_tracker.job_by_id:
            self.set_aside_job(job_id, f"its progress cannot be stored: {name.key}")

    async def _tick_loop(self) -> None:
        """Do periodic work, and plan for changes that raise no event, such as time."""
        loop = asyncio.get_running_loop()
        lag_monitor = LoopLagMonitor()
        while True:
            slept_at = loop.time()
            await asyncio.sleep(TICK_SECONDS)
            lag_monitor.observe(loop.time() - slept_at - TICK_SECONDS)
            if self._registration_age.must_give_up(self._lease.is_current()):
                raise StoreUnreachableError("the registrations cannot be read")
            self._housekeeping.run_due()
            self._crash_handler.judge_due()
            self._load_report.report()
            self._mover.move_runs()
            self._record_lapses()
            self.wake()

    def _record_lapses(self) -> None:
        if self._store_clock is None:
            return
        row = self._lapse_record.update(self._state.links, self._store_clock)
        if row is not None:
            self._state.write(LAPSES_KEY, row)

    def observe_store_clock(self, store_ms: int) -> None:
        """Record the time of the store, which has just responded."""
        if self._store_clock is not None:
            self._store_clock.observe(store_ms)

    def _store_now_ms(self) -> float:
        now_ms = asyncio.get_running_loop().time() * MILLISECONDS_PER_SECOND
        return now_ms + self._store_clock_offset_ms
