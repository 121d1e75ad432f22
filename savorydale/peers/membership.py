"""The lease of this entry in the table, and failure detection of other entries."""

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
    """An entry's row, and when this version was first observed (loop time).

    ``first_observed_at`` restarts whenever the table is unreachable.
    """

    record: EntryRecord
    row_version: int
    first_observed_at: float


class EntryLease:
    """The lease that all ownership of this entry depends on.

    The lease is valid for ``grace_seconds`` after each renewal, however slow the table
    is, because other entries take over only with proof that this one is dead or after
    the same wait. If the process was paused for ``entry_seconds`` or longer, the lease
    is invalid until its next renewal.

    Parameters
    ----------
    record : EntryRecord
        The entry's own row.
    table : Table
        Table that the row is written to.
    entry_seconds : float
        Pause of the process after which the lease is invalid until it is renewed.
    grace_seconds : float
        Time for which the lease is valid after a renewal.
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
        self._last_checked_at: float | None = None
        self._table_unreachable = False
        self._lock = asyncio.Lock()

    def is_held(self) -> bool:
        """Return whether the entry may act on its units."""
        now = asyncio.get_running_loop().time()
        self._detect_pause(now)
        if self._renewed_at is None:
            return False
        return now < self._renewed_at + self._grace_seconds

    def _detect_pause(self, now: float) -> None:
        if (
            self._last_checked_at is not None
            and now - self._last_checked_at >= self.entry_seconds
        ):
            self._counters.increment("lease.slept")
            self._renewed_at = None
        self._last_checked_at = now

    async def watch_for_pauses(self) -> None:
        """Detect pauses of the process even when nothing calls `is_held`."""
        while True:
            self._detect_pause(asyncio.get_running_loop().time())
            await asyncio.sleep(self.entry_seconds / CHECKS_PER_LEASE)

    async def renew_periodically(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            await self.renew()
            await asyncio.sleep(self.entry_seconds / RENEWALS_PER_LEASE)

    async def renew(self) -> None:
        """Renew the lease by writing the entry's row.

        Raises
        ------
        TransactionConflictError
            If another entry has removed the row, which ends this incarnation.
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
            await self._adopt_row_version()
            return
        except StoreError:
            self._counters.increment("lease.renewals_failed")
            self._set_table_unreachable(True)
            return
        self.record = record
        self._renewed_at = started_at
        self._counters.increment("lease.renewals")
        self._set_table_unreachable(False)

    async def _adopt_row_version(self) -> None:
        """Adopt the row version of a renewal whose response was lost."""
        try:
            rows = await self._table.read([self.record.key])
        except StoreUnreachableError:
            self._set_table_unreachable(True)
            return
        row = rows.get(self.record.key)
        if row is None:
            raise TransactionConflictError([self.record.key])
        self.row_version = row.version

    def _set_table_unreachable(self, table_unreachable: bool) -> None:
        if table_unreachable != self._table_unreachable:
            log.warning("table service is %s", "out" if table_unreachable else "back")
        self._table_unreachable = table_unreachable

    async def release(self) -> None:
        """Mark the row as stopping, so that takeovers need not wait.

        Nothing is marked if another entry has already removed the row.
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
        The row of this entry.
    table : Table
        Table with the rows of all entries.
    entry_seconds : float
        Time without renewal after which proof that an entry has ended is looked for.
    grace_seconds : float
        Time without renewal after which an entry is dead without such proof.
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
        """Read the rows of all entries and detect dead entries.

        Raises
        ------
        StoreUnreachableError
            If the table is unreachable; the waits for observed leases then restart.
        """
        try:
            rows = await self._table.scan(ENTRY_PREFIX)
        except StoreUnreachableError:
            self._restart_observations()
            raise
        self._update_observations(rows)
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

    def _update_observations(self, rows: dict[str, Row]) -> None:
        now = asyncio.get_running_loop().time()
        observations: dict[str, EntryObservation] = {}
        for row in rows.values():
            record = EntryRecord(**row.value)
            previous = self.observation_by_incarnation.get(record.incarnation)
            if previous is not None and previous.row_version == row.version:
                observations[record.incarnation] = previous
            else:
                observations[record.incarnation] = EntryObservation(
                    record, row.version, now
                )
        self.observation_by_incarnation = observations

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
        """Return whether a newer incarnation uses the same address."""
        return any(
            other.record.peer_address == observation.record.peer_address
            and other.row_version > observation.row_version
            for other in self.observation_by_incarnation.values()
        )


async def _refuses_connections(host: str, port: int) -> bool:
    """Return whether the VM refuses connections, so nothing listens on the port."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
