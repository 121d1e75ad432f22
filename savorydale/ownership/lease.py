"""The scheduler's lease: one row that names the holder and orders its writes.

Every transaction of the scheduling entry requires the version of the lease row that
its previous transaction wrote, and writes the row again. So transactions take effect
in order, a transaction that is executed late fails its condition, and an entry that has
lost the lease cannot write any more.

A row that the store does not accept is left out, so that it cannot hold up the others.
"""

import asyncio
import dataclasses
import json
import logging
from typing import Any, NamedTuple

from savorydale.exceptions import LeadershipLostError, RowFormatError, StoreError
from savorydale.jobs.rows import LEASE_KEY
from savorydale.storage.response_timeout import ResponseTimeout
from savorydale.storage.rows import (
    ABSENT,
    Committed,
    Conflict,
    NotDone,
    OutcomeUnknown,
    Rejected,
    RowCondition,
    RowKey,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
    read_row,
)
from savorydale.utils.json_values import load_json, to_float, to_int, to_text
from savorydale.utils.suspension import suspended_seconds

COMMIT_TIMEOUT_SECONDS = 0.6
LEASE_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.05
MAX_RETRY_DELAY_SECONDS = 0.1
MAX_WRITES_PER_TRANSACTION = 96  # the store allows 100 conditions and writes
MAX_BYTES_PER_TRANSACTION = 500_000  # the store allows 1 MB after base64 encoding

log = logging.getLogger(__name__)


class EntryIdentity(NamedTuple):
    """One incarnation of the process on a VM, with the number of usable cores."""

    vm: str
    incarnation: str
    cores: float = 1.0


class LeaseRow(NamedTuple):
    """Value of the lease row; ``holder`` is ``None`` if no entry schedules.

    ``epoch`` grows with each holder and with each further term of the same holder,
    ``sequence`` with each transaction under an epoch.
    """

    holder: EntryIdentity | None
    epoch: int
    sequence: int


def encode_lease(row: LeaseRow) -> bytes:
    """Encode the lease row."""
    return json.dumps([row.holder, row.epoch, row.sequence]).encode()


def decode_lease(value: bytes) -> LeaseRow:
    """Decode a value that `encode_lease` returned."""
    try:
        holder, epoch, sequence = load_json(value)
        identity = _decode_identity(holder) if holder else None
        return LeaseRow(identity, to_int(epoch), to_int(sequence))
    except (TypeError, ValueError) as error:
        raise RowFormatError(f"invalid lease row: {error!r}") from error


def _decode_identity(fields: Any) -> EntryIdentity:
    vm, incarnation, cores = fields
    return EntryIdentity(to_text(vm), to_text(incarnation), to_float(cores))


class RejectedWrite(NamedTuple):
    """A write that the store does not accept, and its reason."""

    write: RowWrite
    reason: str


@dataclasses.dataclass(slots=True)
class SchedulerLease:
    """The lease while this entry holds it.

    ``renewed_at`` is when the latest successful transaction was sent, on the loop's
    clock, and ``suspended_seconds_at_renewal`` is how long the machine had been
    suspended until then. ``rejected_rows`` were not accepted the last time; their
    writes are committed after all others.
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
    suspended_seconds_at_renewal: float = dataclasses.field(
        default_factory=suspended_seconds
    )
    rejected_rows: set[RowKey] = dataclasses.field(default_factory=set)

    def is_current(self) -> bool:
        """Return whether no other entry can have acquired the lease meanwhile."""
        return self.age_seconds() < LEASE_SECONDS

    def age_seconds(self) -> float:
        """Return the time since the latest successful transaction was sent."""
        age_seconds = asyncio.get_running_loop().time() - self.renewed_at
        return age_seconds + suspended_seconds() - self.suspended_seconds_at_renewal

    async def commit(self, writes: list[RowWrite]) -> list[RejectedWrite]:
        """Write rows and renew the lease, retrying until the outcome is known.

        Returns the writes that the store does not accept; all others are durable.

        Raises
        ------
        LeadershipLostError
            If another entry holds the lease.
        """
        rejected: list[RejectedWrite] = []
        for chunk in self._split_writes(writes):
            rejected += await self._commit_chunk(chunk)
        return rejected

    def _split_writes(self, writes: list[RowWrite]) -> list[list[RowWrite]]:
        """Split writes into transactions; rows that were rejected before come last."""
        if not self.rejected_rows:
            return _split_writes(writes)
        accepted = [item for item in writes if item.name not in self.rejected_rows]
        doubtful = [item for item in writes if item.name in self.rejected_rows]
        return [*_split_writes(accepted), *([item] for item in doubtful)]

    async def release(self, timeout_seconds: float) -> None:
        """Release the lease if the store can be reached in time."""
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
        # A cancelled transaction may have taken effect, so the row is read first.
        stored, _ = await read_row(self.store, LEASE_KEY, COMMIT_TIMEOUT_SECONDS)
        current = decode_lease(stored.value) if stored and stored.value else None
        if stored is None or current is None or current.holder != self.identity:
            raise LeadershipLostError(f"lease is now {current}")
        self.version = stored.version
        await self._write(LeaseRow(None, self.epoch, current.sequence + 1), [])

    async def _commit_chunk(self, writes: list[RowWrite]) -> list[RejectedWrite]:
        """Commit writes and return those that the store does not accept.

        One write is judged only beside a transaction without it that is accepted, since
        the store itself may be at fault.
        """
        reason = await self._commit_once(writes)
        if reason is None:
            self.rejected_rows.difference_update(item.name for item in writes)
            return []
        if len(writes) > 1:
            middle = len(writes) // 2
            first = await self._commit_chunk(writes[:middle])
            return first + await self._commit_chunk(writes[middle:])
        await self._commit_once([])
        reason = await self._commit_once(writes)
        if reason is None:
            self.rejected_rows.discard(writes[0].name)
            return []
        self.rejected_rows.add(writes[0].name)
        return [RejectedWrite(writes[0], reason)]

    async def _commit_once(self, writes: list[RowWrite]) -> str | None:
        """Commit writes, or return why the store does not accept them."""
        self.sequence += 1
        row = LeaseRow(self.identity, self.epoch, self.sequence)
        return await self._write(row, writes)

    async def _write(self, row: LeaseRow, writes: list[RowWrite]) -> str | None:
        """Write rows, or return why the store does not accept ``writes``."""
        transaction = RowTransaction(
            (RowCondition(LEASE_KEY, self.version),),
            (*writes, RowWrite(LEASE_KEY, encode_lease(row))),
        )
        loop = asyncio.get_running_loop()
        delay_seconds = RETRY_DELAY_SECONDS
        while True:
            sent_at = loop.time()
            suspended_seconds_at_send = suspended_seconds()
            timeout = self.response_timeout.seconds
            outcome = await self.store.transact(transaction, timeout)
            if isinstance(outcome, OutcomeUnknown):
                self.response_timeout.record_timeout()
            else:
                self.response_timeout.record_response(loop.time() - sent_at)
            match outcome:
                case Committed(version):
                    self._advance(version, sent_at, suspended_seconds_at_send)
                    return None
                case Conflict(row_by_name):
                    version = self._resolve_conflict(row, row_by_name.get(LEASE_KEY))
                    self._advance(version, sent_at, suspended_seconds_at_send)
                    return None
                case Rejected(reason) if writes:
                    return reason
                case NotDone(reason) | OutcomeUnknown(reason):
                    log.info(
                        "transaction is tried again",
                        extra={"reason": reason, "sequence": row.sequence},
                    )
            await asyncio.sleep(delay_seconds)
            delay_seconds = min(2 * delay_seconds, MAX_RETRY_DELAY_SECONDS)

    def _advance(
        self, version: int, sent_at: float, suspended_seconds_at_send: float
    ) -> None:
        self.version = version
        self.renewed_at = sent_at
        self.suspended_seconds_at_renewal = suspended_seconds_at_send

    def _resolve_conflict(self, row: LeaseRow, stored: StoredRow | None) -> int:
        """Return the version if an earlier attempt of the same write took effect.

        Otherwise, another entry has acquired the lease.
        """
        current = decode_lease(stored.value) if stored and stored.value else None
        if current == row and stored is not None:
            return stored.version
        raise LeadershipLostError(f"lease is now {current}")


def _split_writes(writes: list[RowWrite]) -> list[list[RowWrite]]:
    """Split writes into at least one transaction within the store's limits."""
    chunks: list[list[RowWrite]] = [[]]
    size_bytes = 0
    for write in writes:
        write_bytes = len(write.value or b"")
        is_full = len(chunks[-1]) >= MAX_WRITES_PER_TRANSACTION
        if (
            is_full
            or size_bytes + write_bytes > MAX_BYTES_PER_TRANSACTION
            and chunks[-1]
        ):
            chunks.append([])
            size_bytes = 0
        chunks[-1].append(write)
        size_bytes += write_bytes
    return chunks


async def try_to_acquire(
    store: RowStore,
    identity: EntryIdentity,
    current: LeaseRow | None,
    version: int = ABSENT,
) -> SchedulerLease | None:
    """Try to acquire the lease from ``current``, whose row has ``version``.

    Returns ``None`` if another entry was faster or if the outcome is unknown; a later
    read of the row then shows the holder.
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
