"""Accepts settings changes and keeps the tree up to date with the table."""

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
MAX_CATCH_UP_VERSIONS = 200  # beyond that, all nodes are read instead of each change
ACCEPT_READ_BACK_SECONDS = 10.0
MAX_HEAD_READS = 5

log = logging.getLogger(__name__)

Changes = Mapping[str, SettingsNode | None]


class Head(NamedTuple):
    """Settings version stored in the head row, and the version of the row itself."""

    version: int
    row_version: int


class SettingsFollower:
    """Holds the current tree, whose version only increases.

    Parameters
    ----------
    table : Table
        Table that stores the accepted settings.
    clock : WallClock
        Time of day, stored with each accepted change.
    counters : Counters
        Counts accepted, refused and applied versions.
    """

    def __init__(self, table: Table, clock: WallClock, counters: Counters):
        self._clock = clock
        self._table = table
        self._counters = counters
        self._tree_changed = asyncio.Event()
        self._head = Head(0, ABSENT_VERSION)
        self.tree = EMPTY_TREE
        self.loaded = False
        self.listeners: list[Callable[[SettingsTree, Changes], None]] = []

    async def accept(self, read_version: int, changes: Changes) -> int:
        """Check and commit changes that were made against ``read_version``.

        Returns
        -------
        int
            The new version, already applied at this entry.

        Raises
        ------
        ConfigurationError
            With all errors; nothing was accepted.
        ResultError
            If another operator's change came first, or the table failed.
        """
        await self._catch_up_for_accept()
        tree = self.tree
        if read_version != tree.version:
            raise self._make_conflict_error(read_version)
        errors = check_changes(tree, changes)
        if errors:
            self._counters.increment("settings.refused.invalid")
            raise ConfigurationError(f"the change has {len(errors)} faults", errors)
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
        """Read the head row until its version is that of the current tree.

        A peer may push a newer version while the head row is being read.
        """
        try:
            for _ in range(MAX_HEAD_READS):
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
            raise self._make_conflict_error(read_version) from error
        except StoreUnreachableError as error:
            raise ResultError(ResultCode.STORE_UNREACHABLE) from error
        except StoreOutcomeUnknownError as error:
            raise ResultError(ResultCode.STORE_OUTCOME_UNKNOWN) from error
        self._head = Head(read_version + 1, row_version)

    def _make_conflict_error(self, read_version: int) -> ResultError:
        self._counters.increment("settings.refused.conflict")
        detail = f"Read version {read_version}, in force is {self.tree.version}."
        return ResultError(ResultCode.SETTINGS_CONFLICT, detail)

    def apply_change(self, version: int, changes: Changes) -> bool:
        """Apply ``changes`` if ``version`` is the next one; return whether it was."""
        if version != self.tree.version + 1:
            return False
        self._replace_tree(self.tree.with_changes(version, changes), changes)
        return True

    def apply_snapshot(self, version: int, nodes: Mapping[str, SettingsNode]) -> None:
        """Replace the current tree by a complete one if that is newer."""
        if version <= self.tree.version:
            return
        self._replace_tree(SettingsTree(version, nodes), {})
        self.loaded = True

    def _replace_tree(self, tree: SettingsTree, changes: Changes) -> None:
        check(
            tree.version > self.tree.version,
            "settings went from version %d back to %d",
            self.tree.version,
            tree.version,
        )
        self.tree = tree
        self._counters.increment("settings.versions_applied")
        log.info("settings version %d is in force", tree.version)
        self._tree_changed.set()
        self._tree_changed = asyncio.Event()
        for listener in self.listeners:
            listener(tree, changes)

    async def wait_for_change(self, timeout: float) -> None:
        """Return once the tree has changed, or after ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._tree_changed.wait()
        except TimeoutError:
            return

    async def catch_up(self) -> None:
        """Read and apply the changes that were committed since the current tree."""
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
        if target - self.tree.version > MAX_CATCH_UP_VERSIONS or self.tree.version == 0:
            await self._load_all_nodes()
            return
        keys = [change_key(v) for v in range(self.tree.version + 1, target + 1)]
        rows = await self._table.read(keys)
        for version in range(self.tree.version + 1, target + 1):
            change = rows.get(change_key(version))
            if change is None:
                await self._load_all_nodes()
                return
            self.apply_change(version, change.value["nodes"])

    async def _load_all_nodes(self) -> None:
        """Read all nodes; repeat until the head row did not change meanwhile."""
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
        """Poll the head row until cancelled, in case a peer's message was lost."""
        while True:
            try:
                await self.catch_up()
            except StoreUnreachableError:
                self._counters.increment("settings.poll_failures")
            await asyncio.sleep(POLL_SECONDS)
