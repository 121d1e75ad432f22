"""Group commit: many small transactions are committed as one."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import SavorydaleError, TransactionConflictError
from savorydale.storage.interface import Condition, Write
from savorydale.storage.table import Table

MAX_GROUP_SIZE = 200


class PendingCommit(NamedTuple):
    """One small transaction and the future that receives its outcome."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    outcome: asyncio.Future[int]


class GroupCommit:
    """Collects transactions for a short time and commits them together.

    Parameters
    ----------
    table : Table
        Table to commit to.
    window_seconds : float
        How long the first transaction of a group waits for others.
    counters : Counters
        Receives counts of members and groups.
    """

    def __init__(self, table: Table, window_seconds: float, counters: Counters):
        self._table = table
        self._window_seconds = window_seconds
        self._counters = counters
        self._pending: list[PendingCommit] = []
        self._has_pending = asyncio.Event()

    async def commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Commit as part of the next group; raise as `Table.commit` does."""
        outcome: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending.append(PendingCommit(conditions, writes, outcome))
        self._counters.increment("store.group_members")
        self._has_pending.set()
        return await outcome

    async def run(self) -> None:
        """Commit groups until cancelled."""
        while True:
            await self._has_pending.wait()
            await asyncio.sleep(self._window_seconds)
            group = self._next_group()
            if not self._pending:
                self._has_pending.clear()
            await self._commit_group(group)

    def _next_group(self) -> list[PendingCommit]:
        """Remove and return pending members that write different rows.

        Members that write the same row go into different groups. In one group, the
        conditions of both would be checked before either write, so both would succeed.
        """
        group: list[PendingCommit] = []
        written_keys: set[str] = set()
        deferred: list[PendingCommit] = []
        for member in self._pending:
            keys = {write.key for write in member.writes}
            if len(group) == MAX_GROUP_SIZE or written_keys & keys:
                deferred.append(member)
                continue
            group.append(member)
            written_keys |= keys
        self._pending = deferred
        return group

    async def _commit_group(self, group: list[PendingCommit]) -> None:
        while group:
            self._counters.increment("store.groups")
            conditions = {item: None for member in group for item in member.conditions}
            writes = [write for member in group for write in member.writes]
            try:
                version = await self._table.commit(conditions, writes)
            except TransactionConflictError as error:
                group = _fail_conflicting(group, error)
                continue
            except SavorydaleError as error:
                _fail(group, error)
                return
            _succeed(group, version)
            return


def _fail_conflicting(
    group: list[PendingCommit], error: TransactionConflictError
) -> list[PendingCommit]:
    """Fail the members with a condition on a conflicting row; return the others."""
    keys = set(error.keys)
    others = []
    for member in group:
        conflicting_keys = [item.key for item in member.conditions if item.key in keys]
        if not conflicting_keys:
            others.append(member)
            continue
        _fail([member], TransactionConflictError(conflicting_keys))
    if len(others) == len(group):
        _fail(group, error)
        return []
    return others


def _fail(group: list[PendingCommit], error: SavorydaleError) -> None:
    for member in group:
        if not member.outcome.done():
            member.outcome.set_exception(error)


def _succeed(group: list[PendingCommit], version: int) -> None:
    for member in group:
        if not member.outcome.done():
            member.outcome.set_result(version)


@contextlib.asynccontextmanager
async def open_group_commit(
    table: Table, window_seconds: float, counters: Counters
) -> AsyncIterator[GroupCommit]:
    """Yield a running `GroupCommit` and stop it afterwards."""
    group_commit = GroupCommit(table, window_seconds, counters)
    task = asyncio.create_task(group_commit.run())
    try:
        yield group_commit
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
