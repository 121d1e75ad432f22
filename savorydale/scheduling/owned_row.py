"""The row of a unit that this entry owns, committed together with its messages."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any, NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import StoreError, TransactionConflictError
from savorydale.scheduling.tasks import (
    OutboxMessage,
    outbox_key,
    outbox_message_from_json,
)
from savorydale.storage.group_commit import GroupCommit
from savorydale.storage.interface import ABSENT_VERSION, Condition, Row, Write
from savorydale.storage.table import Table

JsonObject = dict[str, Any]

RETRY_SECONDS = 0.5


class OwnedUnit(NamedTuple):
    """A unit that this entry owns, and how its writes are fenced.

    ``epoch`` returns the unit's epoch, or None once the entry may not act on it.
    ``condition`` returns the condition that the ownership of units is unchanged.
    """

    unit: str
    epoch: Callable[[], int | None]
    condition: Callable[[], Condition]


class CommitResult(enum.Enum):
    """Outcome of a commit."""

    COMMITTED = "committed"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    RETRY = "retry"


class OwnedRow:
    """One row with a single writer, and the outbox messages to and from its unit.

    Parameters
    ----------
    owned : OwnedUnit
        The unit.
    key : str
        Key of the row.
    table : Table
        Table from which the row is read.
    group_commit : GroupCommit
        Commits the writes.
    wake : callable
        Called with each unit for which a message has been committed.
    counters : Counters
        Counts conflicts and messages.
    """

    def __init__(
        self,
        owned: OwnedUnit,
        key: str,
        table: Table,
        group_commit: GroupCommit,
        wake: Callable[[str], None],
        counters: Counters,
    ):
        self.owned = owned
        self.key = key
        self.version = ABSENT_VERSION
        self._table = table
        self._group_commit = group_commit
        self._wake = wake
        self._counters = counters
        self._writes: list[Write] = []
        self._consumed_conditions: list[Condition] = []
        self._units_to_wake: set[str] = set()
        self._dirty = False
        self._lock = asyncio.Lock()
        self._version_by_handled_key: dict[str, int] = {}

    @property
    def epoch(self) -> int | None:
        """Return the unit's epoch, or None once the entry may not act on it."""
        return self.owned.epoch()

    async def load(self) -> JsonObject | None:
        """Read the row, discard uncommitted changes, and return the row's value."""
        while True:
            try:
                rows = await self._table.read([self.key])
                break
            except StoreError:
                await asyncio.sleep(RETRY_SECONDS)
        row = rows.get(self.key, Row({}, ABSENT_VERSION))
        self.version = row.version
        self._writes.clear()
        self._consumed_conditions.clear()
        self._units_to_wake.clear()
        self._dirty = False
        self._version_by_handled_key.clear()
        return row.value or None

    def mark_changed(self) -> None:
        """Include the row's value in the next commit."""
        self._dirty = True

    def write(self, write: Write) -> None:
        """Add a write to the next commit."""
        self._writes.append(write)
        self._dirty = True

    def send(self, unit: str, message: OutboxMessage) -> None:
        """Add a message to another unit to the next commit."""
        self.write(
            Write(outbox_key(unit, message.task.id, message.reason), message.to_json())
        )
        self._units_to_wake.add(unit)
        self._counters.increment("mail.sent")

    def new_messages(
        self, row_by_key: dict[str, Row]
    ) -> list[tuple[str, OutboxMessage]]:
        """Return messages that were not returned before, each with its key."""
        handled = self._version_by_handled_key
        for key in set(handled) - set(row_by_key):
            del handled[key]
        new = []
        for key, row in row_by_key.items():
            if handled.get(key) != row.version:
                handled[key] = row.version
                new.append((key, outbox_message_from_json(row.value)))
        return new

    def consume(self, key: str) -> None:
        """Delete a handled message in the next commit, which requires it unchanged."""
        version = self._version_by_handled_key.get(key)
        if version is None:
            return
        self._consumed_conditions.append(Condition(key, version))
        self.write(Write(key, None))

    async def commit(self, make_value: Callable[[], JsonObject]) -> CommitResult:
        """Commit the row's current value and all messages in one transaction."""
        async with self._lock:
            if not self._dirty:
                return CommitResult.UNCHANGED
            writes, self._writes = self._writes, []
            consumed_conditions, self._consumed_conditions = (
                self._consumed_conditions,
                [],
            )
            units_to_wake, self._units_to_wake = self._units_to_wake, set()
            self._dirty = False
            conditions = (
                self.owned.condition(),
                Condition(self.key, self.version),
                *consumed_conditions,
            )
            row = Write(self.key, make_value())
            try:
                self.version = await self._group_commit.commit(
                    conditions, (row, *writes)
                )
            except TransactionConflictError:
                self._counters.increment("rows.conflicts")
                return CommitResult.CONFLICT
            except StoreError:
                self._writes = writes + self._writes
                self._consumed_conditions = (
                    consumed_conditions + self._consumed_conditions
                )
                self._units_to_wake |= units_to_wake
                self._dirty = True
                return CommitResult.RETRY
        for unit in units_to_wake:
            self._wake(unit)
        return CommitResult.COMMITTED
