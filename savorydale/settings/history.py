"""History of accepted settings changes, and the changes that roll back to a version."""

from typing import NamedTuple, TypedDict

from savorydale.exceptions import ResultError
from savorydale.messages.settings_types import SettingsNode
from savorydale.results import ResultCode
from savorydale.settings.tree import SettingsTree
from savorydale.storage.interface import Row
from savorydale.storage.table import Table

CHANGE_PREFIX = "settings/changes/"
MAX_HISTORY_VERSIONS = 1000


class ChangeRow(TypedDict):
    """One accepted change; ``None`` stands for a node that does not exist.

    ``at`` is the time of day at the accepting entry, in ISO 8601.
    """

    nodes: dict[str, SettingsNode | None]
    before: dict[str, SettingsNode | None]
    at: str


class AcceptedChange(NamedTuple):
    """A version, the time of its acceptance, and the paths that it changed."""

    version: int
    at: str
    paths: list[str]


def change_key(version: int) -> str:
    """Return the key of the row with the change that led to ``version``."""
    return f"{CHANGE_PREFIX}{version:012d}"


def make_change_row(
    tree: SettingsTree, nodes: dict[str, SettingsNode | None], at: str
) -> ChangeRow:
    """Return the row of a change to ``tree``."""
    before = {path: tree.node_by_path.get(path) for path in nodes}
    return ChangeRow(nodes=nodes, before=before, at=at)


async def read_history(table: Table, version: int, limit: int) -> list[AcceptedChange]:
    """Return the last ``limit`` changes up to ``version``, newest first."""
    versions = range(max(1, version - limit + 1), version + 1)
    rows = await table.read([change_key(number) for number in versions])
    return [
        AcceptedChange(number, row.value["at"], sorted(row.value["nodes"]))
        for number in reversed(versions)
        if (row := rows.get(change_key(number))) is not None
    ]


async def find_rollback_changes(
    table: Table, tree: SettingsTree, target: int
) -> dict[str, SettingsNode | None]:
    """Return the changes that restore, from ``tree``, the nodes of an earlier version.

    Raises
    ------
    ResultError
        If ``target`` is not an earlier version, is too far back, or the change to
        a version in between is no longer stored.
    """
    if not 0 <= target < tree.version:
        detail = f"Version {target} is not before {tree.version}."
        raise ResultError(ResultCode.SETTINGS_UNKNOWN_VERSION, detail)
    if tree.version - target > MAX_HISTORY_VERSIONS:
        detail = f"Version {target} is more than {MAX_HISTORY_VERSIONS} changes back."
        raise ResultError(ResultCode.SETTINGS_UNKNOWN_VERSION, detail)
    undone_versions = range(tree.version, target, -1)
    rows = await table.read([change_key(number) for number in undone_versions])
    nodes: dict[str, SettingsNode | None] = {}
    for number in undone_versions:
        nodes |= _get_change_row(rows, number)["before"]
    return {
        path: node
        for path, node in nodes.items()
        if tree.node_by_path.get(path) != node
    }


def _get_change_row(rows: dict[str, Row], version: int) -> ChangeRow:
    row = rows.get(change_key(version))
    if row is None:
        detail = f"The change to version {version} is not kept."
        raise ResultError(ResultCode.SETTINGS_UNKNOWN_VERSION, detail)
    return row.value
