"""The scheduler's lease: one row that says who schedules and orders its writes.

Every transaction of the scheduling entry requires the version of the lease row that
its previous transaction wrote, and writes the row again. So transactions take effect
in order, a transaction that is carried out late finds its condition broken, and an
entry that has lost the lease can write nothing more.
"""

import asyncio
import dataclasses
import json
import logging
from typing import NamedTuple

from savorydale.exceptions import LeadershipLostError, RowFormatError, StoreError
from savorydale.jobs.rows import LEASE_KEY
from savorydale.storage.response_timeout import ResponseTimeout
from savorydale.storage.rows import (
    ABSENT,
    Committed,
    Conflict,
    NotDone,
    OutcomeUnknown,
    RowCondition,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
    read_row,
)

COMMIT_TIMEOUT_SECONDS = 0.6
RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.1
WRITES_PER_TRANSACTION = 96  # the store takes 100 entries, conditions included
BYTES_PER_TRANSACTION = 500_000  # the store takes 1 MB after base64

log = logging.getLogger(__name__)


class EntryIdentity(NamedTuple):
    """One life of the process on one VM; ``cores`` is what it may use of processors."""

    vm: str
    incarnation: str
    cores: float = 1.0


class LeaseRow(NamedTuple):
    """Value of the lease row; ``holder`` is ``None`` if nobody schedules.

    ``epoch`` grows with each holder, ``sequence`` with each transaction of a holder.
    """

    holder: EntryIdentity | None
    epoch: int
    sequence: int


def encode_lease(row: LeaseRow) -> bytes:
    """Return the value of the lease row."""
    return json.dumps([row.holder, row.epoch, row.sequence]).encode()


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease that `encode_lease` wrote."""
    try:
        holder, epoch, sequence = json.loads(value)
        return LeaseRow(EntryIdentity(*holder) if holder else None, epoch, sequence)
    except (TypeError, ValueError) as error:
        raise RowFormatError(f"the lease row has the wrong form: {error!r}") from error


@dataclasses.dataclass(slots=True)
class SchedulerLease:
    """The lease while this entry holds it.

    ``renewed_at`` is when the latest successful transaction was sent, on the loop's
    clock.
    """

    store: RowStore
    identity: EntryIdentity
    epoch: int
    version: int
    renewed_at: float
    sequence: int = 0
    response_timeout: ResponseTimeout = dataclasses.field(
        default_factory=ResponseTimeout
    )

    async def commit(self, writes: list[RowWrite]) -> None:
        """Write rows and renew the lease, retrying until the outcome is known.

        Raises
        ------
        LeadershipLostError
            If another entry holds the lease.
        """
        for chunk in _split(writes):
            await self._commit_chunk(chunk)

    async def release(self, timeout_seconds: float) -> None:
        """Give up the lease, if the store can be reached in time."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._release()
        except (TimeoutError, StoreError, LeadershipLostError) as error:
            log.warning(
                "lease could not be released",
                extra={"epoch": self.epoch, "reason": repr(error)},
            )
            return
        log.info("lease released", extra={"epoch": self.epoch})

    async def _release(self) -> None:
        # A transaction that was cut short may have taken effect, so read first.
        stored, _ = await read_row(self.store, LEASE_KEY, COMMIT_TIMEOUT_SECONDS)
        current = decode_lease(stored.value) if stored and stored.value else None
        if stored is None or current is None or current.holder != self.identity:
            raise LeadershipLostError(f"lease is now {current}")
        self.version = stored.version
        await self._write(LeaseRow(None, self.epoch, current.sequence + 1), [])

    async def _commit_chunk(self, writes: list[RowWrite]) -> None:
        self.sequence += 1
        row = LeaseRow(self.identity, self.epoch, self.sequence)
        await self._write(row, writes)

    async def _write(self, row: LeaseRow, writes: list[RowWrite]) -> None:
        transaction = RowTransaction(
            (RowCondition(LEASE_KEY, self.version),),
            (*writes, RowWrite(LEASE_KEY, encode_lease(row))),
        )
        loop = asyncio.get_running_loop()
        delay = RETRY_DELAY_SECONDS
        while True:
            sent_at = loop.time()
            timeout = self.response_timeout.seconds
            outcome = await self.store.transact(transaction, timeout)
            if isinstance(outcome, OutcomeUnknown):
                self.response_timeout.record_timeout()
            else:
                self.response_timeout.record_response(loop.time() - sent_at)
            match outcome:
                case Committed(version):
                    self._advance(version, sent_at)
                    return
                case Conflict(row_by_name):
                    version = self._check_conflict(row, row_by_name.get(LEASE_KEY))
                    self._advance(version, sent_at)
                    return
                case NotDone(reason) | OutcomeUnknown(reason):
                    log.info(
                        "transaction is tried again",
                        extra={"reason": reason, "sequence": row.sequence},
                    )
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)

    def _advance(self, version: int, sent_at: float) -> None:
        self.version = version
        self.renewed_at = sent_at

    def _check_conflict(self, row: LeaseRow, stored: StoredRow | None) -> int:
        """Return the version if an earlier try of the same write took effect."""
        current = decode_lease(stored.value) if stored and stored.value else None
        if current == row and stored is not None:
            return stored.version
        raise LeadershipLostError(f"lease is now {current}")


def _split(writes: list[RowWrite]) -> list[list[RowWrite]]:
    """Split writes into transactions that the store takes; at least one."""
    chunks: list[list[RowWrite]] = [[]]
    size = 0
    for write in writes:
        write_size = len(write.value or b"")
        full = len(chunks[-1]) >= WRITES_PER_TRANSACTION
        if full or size + write_size > BYTES_PER_TRANSACTION and chunks[-1]:
            chunks.append([])
            size = 0
        chunks[-1].append(write)
        size += write_size
    return chunks


async def try_to_acquire(
    store: RowStore,
    identity: EntryIdentity,
    current: LeaseRow | None,
    version: int = ABSENT,
) -> SchedulerLease | None:
    """Take the lease over from ``current``, whose row has ``version``.

    Returns ``None`` if another entry was faster or if the outcome is unknown; a later
    read of the row then shows who holds it.
    """
    epoch = current.epoch + 1 if current else 1
    value = encode_lease(LeaseRow(identity, epoch, 0))
    transaction = RowTransaction(
        (RowCondition(LEASE_KEY, version),), (RowWrite(LEASE_KEY, value),)
    )
    sent_at = asyncio.get_running_loop().time()
    outcome = await store.transact(transaction, COMMIT_TIMEOUT_SECONDS)
    match outcome:
        case Committed(version):
            return SchedulerLease(store, identity, epoch, version, sent_at)
    log.info("lease was not acquired", extra={"outcome": repr(outcome)[:200]})
    return None
