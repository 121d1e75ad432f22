"""Ownership of units, recorded in one row of the table.

A unit is a rack, a shard of the tasks or a share of the workers' slots. Its name
consists of kind and name, such as ``rack/ga-r1`` or ``shard/7``.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import StoreError, TransactionConflictError
from savorydale.peers.assignment import assign_units
from savorydale.peers.membership import EntryLease, Membership
from savorydale.peers.records import (
    ENTRY_PREFIX,
    OWNERSHIP_KEY,
    OwnershipMap,
    UnitRecord,
)
from savorydale.storage.interface import ABSENT_VERSION, Condition, Write
from savorydale.storage.table import Table

RECONCILIATIONS_PER_LEASE = 3
CONFLICT_RETRY_SECONDS = 0.05
MAX_ATTEMPTS = 5

log = logging.getLogger(__name__)


class UnitChange(NamedTuple):
    """A unit that this entry has gained or lost."""

    unit: str
    epoch: int
    gained: bool
    former_owner: str | None = None


class Ownership:
    """Claims and releases the units of this entry.

    One row records all owners, so that owning units costs no periodic writes: an entry
    renews only its own lease, and the row changes only when entries come and go.

    Parameters
    ----------
    lease : EntryLease
        Lease of this entry.
    membership : Membership
        Rows of the other entries, and which of them are dead.
    table : Table
        Table that contains the row.
    list_units : callable
        Returns all existing units.
    counters : Counters
        Receives counts of claims, releases and conflicts.
    """

    def __init__(
        self,
        lease: EntryLease,
        membership: Membership,
        table: Table,
        list_units: Callable[[], Iterable[str]],
        counters: Counters,
    ):
        self._lease = lease
        self._membership = membership
        self._table = table
        self._list_units = list_units
        self._counters = counters
        self._incarnation = lease.record.incarnation
        self._map = OwnershipMap({})
        self._assignment: dict[str, str] = {}
        self._units_by_kind: dict[str, list[str]] = {}
        self._busy_units: set[str] = set()
        self.listeners: list[Callable[[UnitChange], None]] = []
        self.draining = False

    def epoch_of(self, unit: str) -> int | None:
        """Return the epoch of ``unit`` if this entry may act on it."""
        if not self._lease.is_held():
            return None
        record = self._map.record_by_unit.get(unit)
        if record is None or record.owner != self._incarnation:
            return None
        return record.epoch

    def owner_of(self, unit: str) -> str | None:
        """Return the incarnation that owns ``unit``, as last read."""
        record = self._map.record_by_unit.get(unit)
        return None if record is None else record.owner

    def units(self, kind: str) -> list[str]:
        """Return this entry's units of one kind."""
        return list(self._units_by_kind.get(kind, []))

    def condition(self) -> Condition:
        """Return the condition that no unit has changed its owner.

        Every transaction on behalf of an owned unit includes it as a fencing token, so
        an entry that was paused past the end of its lease cannot write.
        """
        return Condition(OWNERSHIP_KEY, self._map.row_version)

    def block_release(self, unit: str) -> None:
        """Keep ``unit`` from being released until `allow_release`."""
        self._busy_units.add(unit)

    def allow_release(self, unit: str) -> None:
        """Allow ``unit`` to be released."""
        self._busy_units.discard(unit)

    async def run(self) -> None:
        """Reconcile ownership until cancelled."""
        while True:
            await self.reconcile()
            await asyncio.sleep(self._lease.entry_seconds / RECONCILIATIONS_PER_LEASE)

    async def reconcile(self) -> None:
        """Claim and release units towards the assignment, once.

        The ownership row is read before the rows of entries: an entry writes its own
        row before it claims a unit, so every live owner is then among the entries.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                await self.refresh()
                await self._membership.observe()
                await self._claim_and_release()
            except TransactionConflictError:
                self._counters.increment("ownership.conflicts")
                await asyncio.sleep(CONFLICT_RETRY_SECONDS)
                continue
            except StoreError:
                self._counters.increment("ownership.store_failures")
            return

    async def refresh(self) -> None:
        """Read the row if it has changed, and notify the listeners."""
        newer_than = {OWNERSHIP_KEY: self._map.row_version}
        rows = await self._table.read([OWNERSHIP_KEY], newer_than)
        row = rows.get(OWNERSHIP_KEY)
        if row is not None:
            self._replace(OwnershipMap.from_json(row.value, row.version))

    def _replace(self, new: OwnershipMap) -> None:
        if new.row_version <= self._map.row_version:
            return
        old, self._map = self._map, new
        self._units_by_kind = {}
        for unit in new.units_of(self._incarnation):
            self._units_by_kind.setdefault(unit.partition("/")[0], []).append(unit)
        for unit, record in new.record_by_unit.items():
            old_record = old.record_by_unit.get(unit, UnitRecord(None, 0))
            if old_record.epoch == record.epoch and old_record.owner == record.owner:
                continue
            self._notify_of_change(unit, old_record, record)

    def _notify_of_change(
        self, unit: str, old_record: UnitRecord, record: UnitRecord
    ) -> None:
        was_ours = old_record.owner == self._incarnation
        is_ours = record.owner == self._incarnation
        if was_ours:
            self._notify(UnitChange(unit, old_record.epoch, gained=False))
        if is_ours:
            former_owner = old_record.owner
            self._notify(UnitChange(unit, record.epoch, True, former_owner))

    def _notify(self, change: UnitChange) -> None:
        for listener in self.listeners:
            listener(change)

    async def _claim_and_release(self) -> None:
        if not self._lease.is_held():
            return
        record_by_unit = dict(self._map.record_by_unit)
        assignment = self._assignment = self._assign()
        known_entries = set(self._membership.observation_by_incarnation)
        changed = 0
        for unit, owner in assignment.items():
            record = record_by_unit.get(unit, UnitRecord(None, 0))
            is_free = record.owner is None or record.owner not in known_entries
            is_free = is_free or record.owner in self._membership.dead
            if owner == self._incarnation and is_free:
                record_by_unit[unit] = UnitRecord(self._incarnation, record.epoch + 1)
                changed += 1
        changed += self._release_unassigned(assignment, record_by_unit)
        writes = self._dead_entry_deletes(record_by_unit)
        if not changed and not writes:
            return
        await self._commit(record_by_unit, writes)
        self._counters.increment("ownership.changes", changed)

    def _assign(self) -> dict[str, str]:
        entries = [peer.incarnation for peer in self._membership.live_peers()]
        if not self.draining:
            entries.append(self._incarnation)
        return assign_units(self._list_units(), entries, self._map.record_by_unit)

    def _release_unassigned(
        self, assignment: dict[str, str], record_by_unit: dict[str, UnitRecord]
    ) -> int:
        released = 0
        for unit, record in record_by_unit.items():
            if record.owner != self._incarnation:
                continue
            if assignment.get(unit) == self._incarnation or unit in self._busy_units:
                continue
            if not assignment and not self.draining:
                continue
            record_by_unit[unit] = UnitRecord(None, record.epoch)
            released += 1
        return released

    def _dead_entry_deletes(self, record_by_unit: dict[str, UnitRecord]) -> list[Write]:
        owners = {record.owner for record in record_by_unit.values()}
        return [
            Write(ENTRY_PREFIX + incarnation, None)
            for incarnation in self._membership.dead
            if incarnation not in owners
        ]

    async def _commit(
        self, record_by_unit: dict[str, UnitRecord], writes: list[Write]
    ) -> None:
        new = OwnershipMap(record_by_unit)
        row_version = self._map.row_version
        conditions = [
            Condition(OWNERSHIP_KEY, row_version or ABSENT_VERSION),
            Condition(self._lease.record.key, self._lease.row_version),
        ]
        map_write = Write(OWNERSHIP_KEY, new.to_json())
        new.row_version = await self._table.commit(conditions, [map_write, *writes])
        self._replace(new)

    def units_to_release(self, kind: str) -> list[str]:
        """Return this entry's units of one kind that are assigned to another entry."""
        owned = self.units(kind)
        if self.draining:
            return owned
        if not self._assignment:
            return []
        return [
            unit for unit in owned if self._assignment.get(unit) != self._incarnation
        ]

    async def release_all(self) -> None:
        """Release all units and the lease for a planned stop."""
        self.draining = True
        await self.reconcile()
        await self._lease.release()
