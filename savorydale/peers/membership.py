"""An entry's lease in the table, and what it sees of the other entries."""

import asyncio
import contextlib
import logging
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import (
    StoreError,
    StoreUnreachableError,
    TransactionConflictError,
)
from savorydale.peers.records import ENTRY_PREFIX, EntryRecord
from savorydale.storage.interface import ABSENT_VERSION, Condition, Row, Write
from savorydale.storage.table import Table

CLOCK_DRIFT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 1.0
RENEWALS_PER_LEASE = 3
CHECKS_PER_LEASE = 6

log = logging.getLogger(__name__)


class EntryObservation(NamedTuple):
    """An entry's row, and since when it has stood unchanged (loop time)."""

    record: EntryRecord
    row_version: int
    first_observed_at: float


class EntryLease:
    """The lease under which this entry owns anything at all.

    The lease holds for ``grace_seconds`` after each renewal, however slow the table
    is, because no other entry takes over without proof of death or the same wait.
    An entry that finds that it has slept for ``entry_seconds`` holds nothing until
    its next renewal.

    Parameters
    ----------
    record : EntryRecord
        What the entry writes about itself.
    table : Table
        Where it is written.
    entry_seconds, grace_seconds : float
        Length of the lease with the table up and out.
    counters : Counters
        Receives counts of renewals and failures.
    """

    def __init__(
        self,
        record: EntryRecord,
        table: Table,
        entry_seconds: float,
        grace_seconds: float,
        counters: Counters,
    ):
        self.record = record
        self.row_version = ABSENT_VERSION
        self._table = table
        self.entry_seconds = entry_seconds
        self._grace_seconds = grace_seconds
        self._counters = counters
        self._renewed_at: float | None = None
        self._awake_at: float | None = None
        self._table_out = False
        self._lock = asyncio.Lock()

    def is_held(self) -> bool:
        """Tell whether the entry may act on what it owns."""
        now = asyncio.get_running_loop().time()
        self._notice_sleep(now)
        if self._renewed_at is None:
            return False
        return now < self._renewed_at + self._grace_seconds

    def _notice_sleep(self, now: float) -> None:
        if self._awake_at is not None and now - self._awake_at >= self.entry_seconds:
            self._counters.increment("lease.slept")
            self._renewed_at = None
        self._awake_at = now

    async def watch_for_pauses(self) -> None:
        """Notice sleep even while nothing else asks, for ever."""
        while True:
            self._notice_sleep(asyncio.get_running_loop().time())
            await asyncio.sleep(self.entry_seconds / CHECKS_PER_LEASE)

    async def renew_periodically(self) -> None:
        """Renew the lease for ever."""
        while True:
            await self.renew()
            await asyncio.sleep(self.entry_seconds / RENEWALS_PER_LEASE)

    async def renew(self) -> None:
        """Write the entry's row once more.

        Raises
        ------
        TransactionConflictError
            If another entry has removed the row: this incarnation is over.
        """
        async with self._lock:
            if not self.record.stopping:
                await self._write(self.record)

    async def _write(self, record: EntryRecord) -> None:
        started_at = asyncio.get_running_loop().time()
        record = record._replace(renewals=record.renewals + 1)
        condition = Condition(record.key, self.row_version)
        write = Write(record.key, record._asdict())
        try:
            self.row_version = await self._table.commit([condition], [write])
        except TransactionConflictError:
            await self._adopt_own_row()
            return
        except StoreError:
            self._counters.increment("lease.renewals_failed")
            self._set_table_out(True)
            return
        self.record = record
        self._renewed_at = started_at
        self._counters.increment("lease.renewals")
        self._set_table_out(False)

    async def _adopt_own_row(self) -> None:
        """Take over the version of a renewal whose answer was lost."""
        try:
            rows = await self._table.read([self.record.key])
        except StoreUnreachableError:
            self._set_table_out(True)
            return
        row = rows.get(self.record.key)
        if row is None:
            raise TransactionConflictError([self.record.key])
        self.row_version = row.version

    def _set_table_out(self, table_out: bool) -> None:
        if table_out != self._table_out:
            log.warning("table service is %s", "out" if table_out else "back")
        self._table_out = table_out

    async def release(self) -> None:
        """Mark the row as stopping, so that takeovers need not wait.

        A row that another entry has removed needs no mark.
        """
        async with self._lock:
            if self.record.stopping:
                return
            with contextlib.suppress(TransactionConflictError):
                await self._write(self.record._replace(stopping=True))
            self.record = self.record._replace(stopping=True)
            self._renewed_at = None


class Membership:
    """The other entries' rows, and which of those entries are dead.

    Parameters
    ----------
    own : EntryRecord
        This entry.
    table : Table
        Where entries write their rows.
    entry_seconds, grace_seconds : float
        Lengths of every entry's lease.
    counters : Counters
        Receives a count for each proof of death.
    """

    def __init__(
        self,
        own: EntryRecord,
        table: Table,
        entry_seconds: float,
        grace_seconds: float,
        counters: Counters,
    ):
        self._own = own
        self._table = table
        self._entry_seconds = entry_seconds
        self._grace_seconds = grace_seconds
        self._counters = counters
        self.observation_by_incarnation: dict[str, EntryObservation] = {}
        self.dead: set[str] = set()

    def live_peers(self) -> list[EntryRecord]:
        """Return the other entries that are not known to be dead or stopping."""
        return [
            observation.record
            for incarnation, observation in self.observation_by_incarnation.items()
            if incarnation != self._own.incarnation
            and incarnation not in self.dead
            and not observation.record.stopping
        ]

    async def observe(self) -> None:
        """Read all entries' rows and find out who is dead.

        Raises
        ------
        StoreUnreachableError
            If the table is out; leases seen so far then count from anew.
        """
        try:
            rows = await self._table.scan(ENTRY_PREFIX)
        except StoreUnreachableError:
            self._restart_observations()
            raise
        self._take_rows(rows)
        for incarnation, observation in self.observation_by_incarnation.items():
            if incarnation in self.dead or incarnation == self._own.incarnation:
                continue
            if await self._is_dead(observation):
                self.dead.add(incarnation)
                log.warning("entry %s is dead", observation.record.name)
        self.dead &= set(self.observation_by_incarnation)

    def _restart_observations(self) -> None:
        now = asyncio.get_running_loop().time()
        for incarnation, observation in self.observation_by_incarnation.items():
            self.observation_by_incarnation[incarnation] = observation._replace(
                first_observed_at=now
            )

    def _take_rows(self, rows: dict[str, Row]) -> None:
        now = asyncio.get_running_loop().time()
        seen: dict[str, EntryObservation] = {}
        for row in rows.values():
            record = EntryRecord(**row.value)
            known = self.observation_by_incarnation.get(record.incarnation)
            if known is not None and known.row_version == row.version:
                seen[record.incarnation] = known
            else:
                seen[record.incarnation] = EntryObservation(record, row.version, now)
        self.observation_by_incarnation = seen

    async def _is_dead(self, observation: EntryObservation) -> bool:
        if observation.record.stopping:
            self._counters.increment("membership.dead.stopped")
            return True
        age = asyncio.get_running_loop().time() - observation.first_observed_at
        if age < self._entry_seconds + CLOCK_DRIFT_SECONDS:
            return False
        if self._is_replaced(observation):
            self._counters.increment("membership.dead.replaced")
            return True
        if await _refuses_connections(*observation.record.peer_address):
            self._counters.increment("membership.dead.refused_connection")
            return True
        if age >= self._grace_seconds + CLOCK_DRIFT_SECONDS:
            self._counters.increment("membership.dead.grace_over")
            return True
        self._counters.increment("membership.unproven")
        return False

    def _is_replaced(self, observation: EntryObservation) -> bool:
        """Tell whether a newer incarnation listens on the same address."""
        return any(
            other.record.peer_address == observation.record.peer_address
            and other.row_version > observation.row_version
            for other in self.observation_by_incarnation.values()
        )


async def _refuses_connections(host: str, port: int) -> bool:
    """Tell whether the VM answers that nothing listens on the port."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
