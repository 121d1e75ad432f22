"""Many small transactions carried by one."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import SavorydaleError, TransactionConflictError
from savorydale.storage.interface import Condition, Write
from savorydale.storage.table import Table

LARGEST_GROUP = 200


class PendingCommit(NamedTuple):
    """One small transaction and where its outcome goes."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    outcome: asyncio.Future[int]


class GroupCommit:
    """Collects transactions for a moment and commits them together.

    Parameters
    ----------
    table : Table
        Where they are committed.
    window_seconds : float
        How long the first of a group waits for others.
    counters : Counters
        Receives counts of members and groups.
    """

    def __init__(self, table: Table, window_seconds: float, counters: Counters):
        self._table = table
        self._window_seconds = window_seconds
        self._counters = counters
        self._pending: list[PendingCommit] = []
        self._arrived = asyncio.Event()

    async def commit(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> int:
        """Commit as part of the next group; raise as `Table.commit` does."""
        outcome: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending.append(PendingCommit(conditions, writes, outcome))
        self._counters.increment("store.group_members")
        self._arrived.set()
        return await outcome

    async def run(self) -> None:
        """Commit groups for ever."""
        while True:
            await self._arrived.wait()
            await asyncio.sleep(self._window_seconds)
            group = self._take_group()
            if not self._pending:
                self._arrived.clear()
            await self._commit_group(group)

    def _take_group(self) -> list[PendingCommit]:
        """Take pending members that write different rows; the others wait.

        Two members that write the same row would both be told that their
        conditions held.
        """
        group: list[PendingCommit] = []
        written: set[str] = set()
        waiting: list[PendingCommit] = []
        for member in self._pending:
            keys = {write.key for write in member.writes}
            if len(group) == LARGEST_GROUP or written & keys:
                waiting.append(member)
                continue
            group.append(member)
            written |= keys
        self._pending = waiting
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
    """Fail the members that name a conflicting row and return the others."""
    keys = set(error.keys)
    others = []
    for member in group:
        own = [item.key for item in member.conditions if item.key in keys]
        if not own:
            others.append(member)
            continue
        _fail([member], TransactionConflictError(own))
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
