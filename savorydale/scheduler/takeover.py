"""Loads the state that earlier lease holders stored."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple, TypeVar

from savorydale.exceptions import RowFormatError, StoreError
from savorydale.jobs.progress import JobProgress
from savorydale.jobs.rows import (
    CANCEL_SUFFIX,
    JOBS_TABLE,
    STATES_TABLE,
    STEPS_TABLE,
    TAILS_TABLE,
    TOMBSTONE_SUFFIX,
    JobStatus,
    decode_state,
    decode_step,
    decode_tail,
)
from savorydale.orders.runs import Run
from savorydale.scheduler.admission import JobAdmission
from savorydale.scheduler.lapse_record import LAPSES_KEY, LapseRecord
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.store_clock import StoreClock
from savorydale.storage.rows import RowRange, RowStore, StoredRow, read_row

LOAD_TIMEOUT_SECONDS = 4.0
LOAD_RETRY_SECONDS = 1.0  # after the beginning, reads that fail are tried again
LOAD_RETRY_DELAY_SECONDS = 0.1
CANCELLATION_SUFFIXES = (CANCEL_SUFFIX, TOMBSTONE_SUFFIX)
ROWS_PER_YIELD = 20
MILLISECONDS_PER_SECOND = 1000

Result = TypeVar("Result")

log = logging.getLogger(__name__)


class LoadedState(NamedTuple):
    """What a new lease holder has loaded, besides the scheduler's state.

    ``runs_by_worker`` are the runs that workers may hold. ``cancellations`` are the
    requests to cancel jobs, and the notices of tombstones; ``jobs_version`` is the
    version after which the jobs table must be followed. ``store_clock_offset_ms`` is
    the store's clock minus the loop's. ``lapse_record`` tells when the leases of silent
    workers lapse.
    """

    runs_by_worker: dict[str, list[Run]]
    cancellations: tuple[StoredRow, ...]
    jobs_version: int
    store_clock_offset_ms: float
    store_clock: StoreClock
    lapse_record: LapseRecord


async def load_state(
    store: RowStore, state: SchedulerState, admission: JobAdmission, epoch: int
) -> LoadedState:
    """Fill ``state`` from the store and return the runs that workers may hold.

    This entry holds the lease, so no other entry changes the progress of known jobs.
    Jobs are read last, so that each has all of its rows.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    retry_until = started_at + LOAD_RETRY_SECONDS

    def read_table(table: str) -> Awaitable[RowRange]:
        return _read(
            lambda: store.read_range(table, timeout_seconds=LOAD_TIMEOUT_SECONDS),
            retry_until,
        )

    (lapses, _), states = await asyncio.gather(
        _read(lambda: read_row(store, LAPSES_KEY, LOAD_TIMEOUT_SECONDS), retry_until),
        read_table(STATES_TABLE),
    )
    steps = await read_table(STEPS_TABLE)
    tail_fits = await read_table(TAILS_TABLE)
    jobs_sent_at = loop.time()
    jobs = await read_table(JOBS_TABLE)
    now = loop.time()
    store_clock = StoreClock(jobs.now_ms, jobs_sent_at, now)
    store_ms = jobs.now_ms
    status_by_job, unreadable_states = _load_states(state, states.rows)
    cancellations = tuple(
        row for row in jobs.rows if row.name.key.endswith(CANCELLATION_SUFFIXES)
    )
    async for row in _yielding_to_loop(jobs.rows):
        job = row.name.key
        if job.endswith(CANCELLATION_SUFFIXES):
            continue
        if job in unreadable_states:
            admission.set_aside(job, "its state cannot be read", store_ms)
            continue
        status = status_by_job.get(job, JobStatus.QUEUED)
        admission.admit(row, status, now, store_ms)
    async for row in _yielding_to_loop(steps.rows):
        _load_step(state, row, admission, store_ms)
    for row in tail_fits.rows:
        _load_tail_fit(state, row)
    runs_by_worker: dict[str, list[Run]] = {}
    for job in state.job_tracker.job_by_id.values():
        _collect_assigned_runs(job, runs_by_worker, now)
    log.info(
        "jobs loaded",
        extra={
            "epoch": epoch,
            "jobs": len(state.job_tracker.job_by_id),
            "ended": len(state.ended_ms_by_job),
            "seconds": round(loop.time() - started_at, 3),
        },
    )
    offset_ms = jobs.now_ms - now * MILLISECONDS_PER_SECOND
    return LoadedState(
        runs_by_worker,
        cancellations,
        jobs.version,
        offset_ms,
        store_clock,
        LapseRecord(lapses, store_clock),
    )


async def _read(read: Callable[[], Awaitable[Result]], retry_until: float) -> Result:
    """Read from the store, again after a failure until a time on the loop's clock.

    A slow VM may fail to connect in time although the store answers.
    """
    while True:
        try:
            return await read()
        except StoreError as error:
            if asyncio.get_running_loop().time() >= retry_until:
                raise
            log.info("state is read again", extra={"reason": str(error)})
        await asyncio.sleep(LOAD_RETRY_DELAY_SECONDS)


async def _yielding_to_loop(rows: tuple[StoredRow, ...]) -> AsyncIterator[StoredRow]:
    """Iterate over rows; yield to the loop so that the lease is renewed meanwhile."""
    for number, row in enumerate(rows):
        if number % ROWS_PER_YIELD == 0:
            await asyncio.sleep(0)
        yield row


def _load_states(
    state: SchedulerState, rows: tuple[StoredRow, ...]
) -> tuple[dict[str, JobStatus], set[str]]:
    """Return the status of each job, and the jobs whose state cannot be read."""
    status_by_job: dict[str, JobStatus] = {}
    ended_ms_by_job: dict[str, int] = {}
    unreadable: set[str] = set()
    for row in rows:
        try:
            decoded = decode_state(row.value or b"")
        except RowFormatError as error:
            log.error(
                "state row cannot be read",
                extra={"job": row.name.key, "reason": str(error)},
            )
            unreadable.add(row.name.key)
            continue
        status_by_job[row.name.key] = decoded.status
        if decoded.status.is_terminal:
            ended_ms_by_job[row.name.key] = decoded.ended_ms
    ended_jobs = sorted(ended_ms_by_job.items(), key=lambda item: item[1])
    state.ended_ms_by_job.update(ended_jobs)
    return status_by_job, unreadable


def _load_step(
    state: SchedulerState, row: StoredRow, admission: JobAdmission, store_ms: float
) -> None:
    job_id = row.name.key.partition(".")[0]
    job = state.job_tracker.job_by_id.get(job_id)
    if job is None:
        log.warning("row of an unknown job is deleted", extra={"key": row.name.key})
        state.write(row.name, None)
        return
    try:
        state.job_tracker.restore_step(job, row.name.key, decode_step(row.value or b""))
    except RowFormatError as error:
        reason = f"the progress in row {row.name.key!r} cannot be read: {error}"
        admission.set_aside(job_id, reason, store_ms)


def _load_tail_fit(state: SchedulerState, row: StoredRow) -> None:
    try:
        tail = decode_tail(row.name.key, row.value or b"")
    except RowFormatError as error:
        log.warning("fit is skipped", extra={"reason": str(error)})
        return
    state.colocation.model.restore(tail.service_image, tail.fit)


def _collect_assigned_runs(
    job: JobProgress, runs_by_worker: dict[str, list[Run]], now: float
) -> None:
    for step in job.known_steps():
        for task in step.tasks:
            if not task.worker:
                continue
            run = Run(task.id, task.run, step.spec, now)
            run.is_isolated = task.crashes.must_be_isolated
            run.was_suspected = task.crashes.last_counted_run == run.number
            run.stop_requested = job.status.is_terminal
            runs_by_worker.setdefault(task.worker, []).append(run)
