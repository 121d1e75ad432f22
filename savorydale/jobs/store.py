"""Submit, look up and cancel jobs in the platform's store.

Any entry can do this, because it needs nothing but the store.
"""

import asyncio
import contextlib
import dataclasses
import logging
from typing import NamedTuple

from savorydale.exceptions import RowFormatError, StoreError
from savorydale.jobs.model import JobSpec, QueueSettings
from savorydale.jobs.rows import (
    STATES_TABLE,
    JobRow,
    JobStatus,
    StateRow,
    SummaryRow,
    cancel_key,
    decode_state,
    decode_summary,
    encode_job,
    encode_state,
    job_key,
    state_key,
    summary_key,
    tombstone_key,
)
from savorydale.jobs.submission_gate import SubmissionGate
from savorydale.storage.response_timeout import ResponseTimeout
from savorydale.storage.rows import (
    ABSENT,
    Committed,
    Conflict,
    NotDone,
    OutcomeUnknown,
    RowCondition,
    RowKey,
    RowRange,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
    StoreOverloaded,
    TransactionOutcome,
    read_row,
)

READ_TIMEOUT_SECONDS = 0.6
RETRY_DELAY_SECONDS = 0.1
# The second attempt uses a new connection; later ones are left to other entries.
MAX_UNKNOWN_OUTCOMES = 2
MAX_REFUSALS = 3  # attempts that the store refuses before the job is not accepted
SUMMARY_MAX_AGE_MS = 2_000
MAX_CACHED_STATES = 10_000  # about 3 MB

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """The job is stored; ``is_repeat`` if it was stored before this call."""

    is_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotAccepted:
    """The job is not stored by this call and never runs because of it."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobHeldBack(JobNotAccepted):
    """The job is not stored by this call, because the store is overloaded."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobOutcomeUnknown:
    """The job may be stored, now or later; the submission is safe to retry."""

    reason: str


SubmitOutcome = JobAccepted | JobNotAccepted | JobOutcomeUnknown


class CancelOutcome(NamedTuple):
    """Whether the job exists, and whether its cancellation is stored.

    ``is_stored`` is also true for a job that has ended, which needs no request. If it
    is true, the job runs no more, also if a submission of it is stored later.
    """

    exists: bool
    is_stored: bool


class JobStore:
    """Jobs in the store, with a cache of terminal states, which never change.

    The cache keeps the states that were read last.
    """

    def __init__(self, store: RowStore, gate: SubmissionGate):
        self._store = store
        self._gate = gate
        self._terminal_state_by_job: dict[str, StateRow] = {}
        self._response_timeout = ResponseTimeout()
        self._read_seconds = 0.0

    async def submit(
        self, job: str, spec: JobSpec, queue: QueueSettings, timeout_seconds: float
    ) -> SubmitOutcome:
        """Store a job unless it is stored already.

        A job that was cancelled before is stored as cancelled, and never runs. While
        the store is overloaded, jobs are not accepted, so that those that are stored
        can start.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        if not self._gate.is_open():
            return await self._hold_back(job, "the store is overloaded", deadline)
        transaction = submission = _make_submission(job, spec, queue)
        unknown_reason = ""
        refusals = 0
        unknown_outcomes = 0
        while True:
            seconds_left = deadline - loop.time()
            if seconds_left <= 0 and unknown_reason:
                return JobOutcomeUnknown(unknown_reason)
            if seconds_left <= 0:
                return JobNotAccepted("out of time")
            match await self._transact(transaction, seconds_left):
                case Committed():
                    return JobAccepted(is_repeat=False)
                case Conflict(row_by_name):
                    stored = row_by_name.get(state_key(job))
                    if stored is None and transaction is not submission:
                        transaction = submission  # the tombstone has expired
                        continue
                    if stored is None or not _is_tombstone(stored):
                        return JobAccepted(is_repeat=True)
                    transaction = _make_cancelled(stored, queue)
                    continue
                case StoreOverloaded(reason) if not unknown_reason:
                    return await self._hold_back(job, reason, deadline)
                case NotDone(reason):
                    refusals += 1
                    if not unknown_reason and refusals >= MAX_REFUSALS:
                        return JobNotAccepted(reason)
                case OutcomeUnknown(reason):
                    unknown_reason = reason
                    unknown_outcomes += 1
                    if unknown_outcomes >= MAX_UNKNOWN_OUTCOMES:
                        return JobOutcomeUnknown(reason)
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _hold_back(self, job: str, reason: str, deadline: float) -> SubmitOutcome:
        """Return that a job is not accepted, unless an earlier call has stored it."""
        with contextlib.suppress(StoreError):
            stored, _ = await self._read_row_once(state_key(job), deadline)
            if stored is not None and not _is_tombstone(stored):
                return JobAccepted(is_repeat=True)
        return JobHeldBack(reason)

    def has_terminal_state(self, job: str) -> bool:
        """Return whether the job's terminal state is cached."""
        return job in self._terminal_state_by_job

    async def find(self, job: str, timeout_seconds: float) -> StateRow | None:
        """Return the state of a job, or ``None`` if there is no such job.

        Raises
        ------
        StoreError
            If the store cannot be read in time.
        """
        terminal_state = self._terminal_state_by_job.get(job)
        if terminal_state is not None:
            return terminal_state
        state, _, _ = await self._read_state(job, timeout_seconds)
        if state is None or state.status is JobStatus.TOMBSTONE:
            return None
        return state

    async def cancel(self, job: str, timeout_seconds: float) -> CancelOutcome:
        """Store a cancellation request for a job, or a tombstone if there is no job.

        Raises
        ------
        StoreError
            If the store cannot be read in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while True:
            state, version, store_ms = await self._read_state(
                job, deadline - loop.time()
            )
            exists = state is not None and state.status is not JobStatus.TOMBSTONE
            if state is not None and state.status.is_terminal:
                return CancelOutcome(exists, is_stored=True)
            transaction = _make_tombstone(job, store_ms)
            if exists:
                transaction = RowTransaction(
                    (RowCondition(state_key(job), version),),
                    (RowWrite(cancel_key(job), b"1"),),
                )
            outcome = await self._transact(transaction, deadline - loop.time())
            if isinstance(outcome, Committed):
                return CancelOutcome(exists, is_stored=True)
            if loop.time() + RETRY_DELAY_SECONDS >= deadline:
                return CancelOutcome(exists, is_stored=False)
            # A conflict means that the state changed, so it is read again at once.
            if not isinstance(outcome, Conflict):
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def count_pending(self, queue: str, timeout_seconds: float) -> int:
        """Return how many jobs of a queue have not started; up to 2 s stale.

        Raises
        ------
        StoreError
            If the store cannot be read in time.
        """
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        stored, page = await self._read_row(summary_key(queue), deadline)
        if stored is not None and stored.value:
            summary = _read_summary(stored.value)
            if summary and page.now_ms - summary.counted_ms <= SUMMARY_MAX_AGE_MS:
                return summary.pending
        seconds_left = max(0.0, deadline - asyncio.get_running_loop().time())
        rows = await self._store.read_range(STATES_TABLE, timeout_seconds=seconds_left)
        return sum(_is_pending(row, queue) for row in rows.rows)

    async def _transact(
        self, transaction: RowTransaction, seconds_left: float
    ) -> TransactionOutcome:
        """Try a transaction once.

        A missing response does not increase the timeout, because the caller can retry
        at another entry.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        timeout = min(self._response_timeout.seconds, seconds_left)
        outcome = await self._store.transact(transaction, timeout)
        response_seconds = loop.time() - sent_at
        match outcome:
            case StoreOverloaded():
                self._gate.close()
            case Committed() | Conflict():
                self._gate.record_response(response_seconds, self._read_seconds)
        if not isinstance(outcome, OutcomeUnknown):
            self._response_timeout.record_response(response_seconds)
        return outcome

    async def _read_state(
        self, job: str, timeout_seconds: float
    ) -> tuple[StateRow | None, int, int]:
        """Return the state of a job, its version, and the time on the store's clock."""
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        stored, page = await self._read_row(state_key(job), deadline)
        if stored is None or stored.value is None:
            return None, ABSENT, page.now_ms
        state = decode_state(stored.value)
        if state.status.is_terminal and state.status is not JobStatus.TOMBSTONE:
            self._cache_terminal_state(job, state)
        return state, stored.version, page.now_ms

    def _cache_terminal_state(self, job: str, state: StateRow) -> None:
        self._terminal_state_by_job[job] = state
        if len(self._terminal_state_by_job) > MAX_CACHED_STATES:
            del self._terminal_state_by_job[next(iter(self._terminal_state_by_job))]

    async def _read_row(
        self, row_key: RowKey, deadline: float
    ) -> tuple[StoredRow | None, RowRange]:
        """Read a row, retrying until ``deadline`` on the loop's clock."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                return await self._read_row_once(row_key, deadline)
            except StoreError:
                if loop.time() + RETRY_DELAY_SECONDS >= deadline:
                    raise
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _read_row_once(
        self, row_key: RowKey, deadline: float
    ) -> tuple[StoredRow | None, RowRange]:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        timeout = min(READ_TIMEOUT_SECONDS, max(0.0, deadline - sent_at))
        found = await read_row(self._store, row_key, timeout)
        self._read_seconds = loop.time() - sent_at
        self._response_timeout.record_response(self._read_seconds)
        return found


def _read_summary(value: bytes) -> SummaryRow | None:
    try:
        return decode_summary(value)
    except RowFormatError as error:
        log.warning("summary is ignored", extra={"reason": str(error)})
        return None


def _is_pending(row: StoredRow, queue: str) -> bool:
    try:
        state = decode_state(row.value or b"")
    except RowFormatError as error:
        log.warning(
            "job is not counted", extra={"job": row.name.key, "reason": str(error)}
        )
        return False
    return state.queue == queue and state.status is JobStatus.QUEUED


def _make_submission(job: str, spec: JobSpec, queue: QueueSettings) -> RowTransaction:
    """Return a transaction that stores a job unless it has a state."""
    row = JobRow(spec, queue, 0)
    state = StateRow(queue.name, JobStatus.QUEUED)
    return RowTransaction(
        (RowCondition(state_key(job), ABSENT),),
        (
            RowWrite(job_key(job), encode_job(row)),
            RowWrite(state_key(job), encode_state(state)),
        ),
    )


def _make_cancelled(tombstone: StoredRow, queue: QueueSettings) -> RowTransaction:
    """Return a transaction that shows a job with a tombstone as cancelled."""
    ended_ms = decode_state(tombstone.value or b"").ended_ms
    state = StateRow(queue.name, JobStatus.CANCELLED, ended_ms)
    return RowTransaction(
        (RowCondition(tombstone.name, tombstone.version),),
        (RowWrite(tombstone.name, encode_state(state)),),
    )


def _is_tombstone(row: StoredRow) -> bool:
    try:
        return decode_state(row.value or b"").status is JobStatus.TOMBSTONE
    except RowFormatError as error:
        log.warning(
            "state cannot be read", extra={"job": row.name.key, "reason": str(error)}
        )
        return False


def _make_tombstone(job: str, store_ms: int) -> RowTransaction:
    """Return a transaction that keeps late submissions of a job from taking effect.

    ``store_ms`` is the time on the store's clock.
    """
    state = StateRow("", JobStatus.TOMBSTONE, store_ms)
    return RowTransaction(
        (RowCondition(state_key(job), ABSENT),),
        (
            RowWrite(state_key(job), encode_state(state)),
            RowWrite(tombstone_key(job), b"1"),
        ),
    )
