"""Accept, show and cancel jobs at any entry, through the platform's store alone."""

import asyncio
import dataclasses
import logging
from typing import NamedTuple

from savorydale.exceptions import StoreError
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
)
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
    TransactionOutcome,
    read_row,
)

READ_TIMEOUT_SECONDS = 0.6
RETRY_DELAY_SECONDS = 0.1
UNANSWERED_TRIES = 2  # the second goes over a new connection; then others may do better
REFUSED_TRIES = 3  # tries that the store refuses before the caller is sent away
SUMMARY_MAX_AGE_MS = 2_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class JobAccepted:
    """The job is stored; ``is_repeat`` if it already was."""

    is_repeat: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotAccepted:
    """The job is not stored by this call and never runs because of it."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobOutcomeUnknown:
    """The job may be stored, now or later; the same submission may be repeated."""

    reason: str


Acceptance = JobAccepted | JobNotAccepted | JobOutcomeUnknown


class CancelOutcome(NamedTuple):
    """Whether the job exists, and whether the request to cancel it is stored."""

    exists: bool
    is_stored: bool


class JobStore:
    """Serves submitters from the store; keeps final states, which never change."""

    def __init__(self, store: RowStore):
        self._store = store
        self._terminal_state_by_job: dict[str, StateRow] = {}
        self._response_timeout = ResponseTimeout()

    async def submit(
        self, job: str, spec: JobSpec, queue: QueueSettings, timeout_seconds: float
    ) -> Acceptance:
        """Store a job unless it is stored already."""
        row = JobRow(spec, queue, 0)
        state = StateRow(queue.name, JobStatus.QUEUED)
        transaction = RowTransaction(
            (RowCondition(state_key(job), ABSENT),),
            (
                RowWrite(job_key(job), encode_job(row)),
                RowWrite(state_key(job), encode_state(state)),
            ),
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        unknown_reason = ""
        refusals = 0
        unanswered = 0
        while True:
            left = deadline - loop.time()
            if left <= 0 and unknown_reason:
                return JobOutcomeUnknown(unknown_reason)
            if left <= 0:
                return JobNotAccepted("out of time")
            match await self._transact(transaction, left):
                case Committed():
                    return JobAccepted(is_repeat=False)
                case Conflict():
                    return JobAccepted(is_repeat=True)
                case NotDone(reason):
                    refusals += 1
                    if not unknown_reason and refusals >= REFUSED_TRIES:
                        return JobNotAccepted(reason)
                case OutcomeUnknown(reason):
                    unknown_reason = reason
                    unanswered += 1
                    if unanswered >= UNANSWERED_TRIES:
                        return JobOutcomeUnknown(reason)
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    def has_terminal_state(self, job: str) -> bool:
        """Return whether the job's final state is known without the store."""
        return job in self._terminal_state_by_job

    async def find(self, job: str, timeout_seconds: float) -> StateRow | None:
        """Return the state of a job, or ``None`` if there is no such job.

        Raises
        ------
        StoreError
            If the store cannot be read in time.
        """
        final = self._terminal_state_by_job.get(job)
        if final is not None:
            return final
        state, _ = await self._read_state(job, timeout_seconds)
        return state

    async def cancel(self, job: str, timeout_seconds: float) -> CancelOutcome:
        """Store a request to cancel a job.

        Raises
        ------
        StoreError
            If the store cannot be read in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while True:
            state, version = await self._read_state(job, deadline - loop.time())
            if state is None:
                return CancelOutcome(exists=False, is_stored=False)
            if state.status.is_terminal:
                return CancelOutcome(exists=True, is_stored=True)
            transaction = RowTransaction(
                (RowCondition(state_key(job), version),),
                (RowWrite(cancel_key(job), b"1"),),
            )
            outcome = await self._transact(transaction, deadline - loop.time())
            if isinstance(outcome, Committed):
                return CancelOutcome(exists=True, is_stored=True)
            if loop.time() + RETRY_DELAY_SECONDS >= deadline:
                return CancelOutcome(exists=True, is_stored=False)
            # The state changed meanwhile, or the store must be asked again.
            if not isinstance(outcome, Conflict):
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def count_pending(self, queue: str, timeout_seconds: float) -> int:
        """Return how many jobs of a queue have not begun, up to 2 s old.

        Raises
        ------
        StoreError
            If the store cannot be read in time.
        """
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        stored, page = await self._read_row(summary_key(queue), deadline)
        if stored is not None and stored.value:
            summary: SummaryRow = decode_summary(stored.value)
            if page.now_ms - summary.counted_ms <= SUMMARY_MAX_AGE_MS:
                return summary.pending
        left = max(0.0, deadline - asyncio.get_running_loop().time())
        rows = await self._store.read_range(STATES_TABLE, timeout_seconds=left)
        return sum(_is_pending(row, queue) for row in rows.rows)

    async def _transact(
        self, transaction: RowTransaction, seconds_left: float
    ) -> TransactionOutcome:
        """Try a transaction once.

        Silence does not lengthen the wait: the caller may do better at another entry.
        """
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        timeout = min(self._response_timeout.seconds, seconds_left)
        outcome = await self._store.transact(transaction, timeout)
        if not isinstance(outcome, OutcomeUnknown):
            self._response_timeout.record_response(loop.time() - sent_at)
        return outcome

    async def _read_state(
        self, job: str, timeout_seconds: float
    ) -> tuple[StateRow | None, int]:
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        stored, _ = await self._read_row(state_key(job), deadline)
        if stored is None or stored.value is None:
            return None, ABSENT
        state = decode_state(stored.value)
        if state.status.is_terminal:
            self._terminal_state_by_job[job] = state
        return state, stored.version

    async def _read_row(
        self, name: RowKey, deadline: float
    ) -> tuple[StoredRow | None, RowRange]:
        """Read a row, as often as it takes until ``deadline`` on the loop's clock."""
        loop = asyncio.get_running_loop()
        while True:
            sent_at = loop.time()
            timeout = min(READ_TIMEOUT_SECONDS, max(0.0, deadline - sent_at))
            try:
                found = await read_row(self._store, name, timeout)
                self._response_timeout.record_response(loop.time() - sent_at)
                return found
            except StoreError:
                if loop.time() + RETRY_DELAY_SECONDS >= deadline:
                    raise
            await asyncio.sleep(RETRY_DELAY_SECONDS)


def _is_pending(row: StoredRow, queue: str) -> bool:
    state = decode_state(row.value or b"")
    return state.queue == queue and state.status is JobStatus.QUEUED
