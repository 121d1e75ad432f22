"""Accept settings changes and follow the version in force."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import (
    ConfigurationError,
    ResultError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
    TransactionConflictError,
)
from savorydale.invariants import check
from savorydale.messages.settings_types import SettingsNode
from savorydale.results import ResultCode
from savorydale.settings.checks import check_changes
from savorydale.settings.history import change_key, make_change_row
from savorydale.settings.tree import EMPTY_TREE, SettingsTree
from savorydale.storage.interface import ABSENT_VERSION, Condition, Write
from savorydale.storage.table import Table
from savorydale.utils.wall_clock import WallClock

HEAD_KEY = "settings/head"
NODE_PREFIX = "settings/nodes/"
POLL_SECONDS = 2.0
LONGEST_CATCH_UP = 200
ACCEPT_READ_BACK_SECONDS = 10.0
HEAD_READS = 5

log = logging.getLogger(__name__)

Changes = Mapping[str, SettingsNode | None]


class Head(NamedTuple):
    """Version of the settings that the head row names, and the row's own version."""

    version: int
    row_version: int


class SettingsFollower:
    """Holds the tree in force, which only ever moves forward.

    Parameters
    ----------
    table : Table
        Where the accepted settings are kept.
    clock : WallClock
        Time of day, for the history.
    counters : Counters
        Receives counts of accepted, refused and applied versions.
    """

    def __init__(self, table: Table, clock: WallClock, counters: Counters):
        self._clock = clock
        self._table = table
        self._counters = counters
        self._moved = asyncio.Event()
        self._head = Head(0, ABSENT_VERSION)
        self.tree = EMPTY_TREE
        self.loaded = False
        self.listeners: list[Callable[[SettingsTree, Changes], None]] = []

    async def accept(self, read_version: int, changes: Changes) -> int:
        """Check and accept changes made against ``read_version``.

        Returns
        -------
        int
            The new version, in force at this entry.

        Raises
        ------
        ConfigurationError
            With all faults; nothing was accepted.
        ResultError
            For a race with another operator, or the table's failures.
        """
        await self._catch_up_for_accept()
        tree = self.tree
        if read_version != tree.version:
            raise self._conflict(read_version)
        faults = check_changes(tree, changes)
        if faults:
            self._counters.increment("settings.refused.invalid")
            raise ConfigurationError(f"the change has {len(faults)} faults", faults)
        version = tree.version + 1
        head = {"version": version}
        at = self._clock.now().isoformat(timespec="seconds")
        row = make_change_row(tree, dict(changes), at)
        writes = [Write(HEAD_KEY, head), Write(change_key(version), row)]
        writes += [Write(NODE_PREFIX + path, node) for path, node in changes.items()]
        await self._commit(read_version, writes)
        self._counters.increment("settings.accepted")
        self.apply_change(version, changes)
        return version

    async def _catch_up_for_accept(self) -> None:
        """Read the head until it is the one that the tree in force belongs to.

        A peer may push a newer version while the head is being read.
        """
        try:
            for _ in range(HEAD_READS):
                await self.catch_up()
                if self._head.version == self.tree.version:
                    return
        except StoreUnreachableError as error:
            raise ResultError(ResultCode.STORE_UNREACHABLE) from error

    async def _commit(self, read_version: int, writes: list[Write]) -> None:
        condition = Condition(HEAD_KEY, self._head.row_version)
        try:
            row_version = await self._table.commit(
                [condition], writes, ACCEPT_READ_BACK_SECONDS
            )
        except TransactionConflictError as error:
            raise self._conflict(read_version) from error
        except StoreUnreachableError as error:
            raise ResultError(ResultCode.STORE_UNREACHABLE) from error
        except StoreOutcomeUnknownError as error:
            raise ResultError(ResultCode.STORE_OUTCOME_UNKNOWN) from error
        self._head = Head(read_version + 1, row_version)

    def _conflict(self, read_version: int) -> ResultError:
        self._counters.increment("settings.refused.conflict")
        detail = f"Read version {read_version}, in force is {self.tree.version}."
        return ResultError(ResultCode.SETTINGS_CONFLICT, detail)

    def apply_change(self, version: int, changes: Changes) -> bool:
        """Move to ``version`` if it is the next one; tell whether it was."""
        if version != self.tree.version + 1:
            return False
        self._move_to(self.tree.with_changes(version, changes), changes)
        return True

    def apply_snapshot(self, version: int, nodes: Mapping[str, SettingsNode]) -> None:
        """Move to a whole tree if it is newer than the one in force."""
        if version <= self.tree.version:
            return
        self._move_to(SettingsTree(version, nodes), {})
        self.loaded = True

    def _move_to(self, tree: SettingsTree, changes: Changes) -> None:
        check(
            tree.version > self.tree.version,
            "settings went from version %d back to %d",
            self.tree.version,
            tree.version,
        )
        self.tree = tree
        self._counters.increment("settings.versions_applied")
        log.info("settings version %d is in force", tree.version)
        self._moved.set()
        self._moved = asyncio.Event()
        for listener in self.listeners:
            listener(tree, changes)

    async def wait_for_change(self, timeout: float) -> None:
        """Return when the tree has moved, or after ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._moved.wait()
        except TimeoutError:
            return

    async def catch_up(self) -> None:
        """Read what the table has accepted since the tree in force."""
        rows = await self._table.read([HEAD_KEY])
        row = rows.get(HEAD_KEY)
        self.loaded = True
        if row is None:
            return
        target = row.value["version"]
        if target >= self._head.version:
            self._head = Head(target, row.version)
        if target <= self.tree.version:
            return
        if target - self.tree.version > LONGEST_CATCH_UP or self.tree.version == 0:
            await self._load_whole()
            return
        keys = [change_key(v) for v in range(self.tree.version + 1, target + 1)]
        rows = await self._table.read(keys)
        for version in range(self.tree.version + 1, target + 1):
            change = rows.get(change_key(version))
            if change is None:
                await self._load_whole()
                return
            self.apply_change(version, change.value["nodes"])

    async def _load_whole(self) -> None:
        """Read all nodes between two reads of the same head."""
        while True:
            before = await self._table.read([HEAD_KEY])
            rows = await self._table.scan(NODE_PREFIX)
            after = await self._table.read([HEAD_KEY])
            if before == after:
                break
        nodes = {key.removeprefix(NODE_PREFIX): row.value for key, row in rows.items()}
        head = after[HEAD_KEY]
        self._head = Head(head.value["version"], head.version)
        self.apply_snapshot(self._head.version, nodes)

    async def follow(self) -> None:
        """Poll the head row for ever, as a backstop for what peers tell."""
        while True:
            try:
                await self.catch_up()
            except StoreUnreachableError:
                self._counters.increment("settings.poll_failures")
            await asyncio.sleep(POLL_SECONDS)
