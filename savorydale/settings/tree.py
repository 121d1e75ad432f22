"""The settings tree and the effective values at each node."""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from savorydale.config.validation import fill_defaults
from savorydale.messages.schemas import SETTINGS_SCHEMA
from savorydale.messages.settings_types import SettingsNode, SettingsValues

SEPARATOR = "/"
LEVEL_KINDS = ("headquarters", "region", "branch", "team")
WORKLOAD_KINDS = ("service", "job")
VALUES_SCHEMA = SETTINGS_SCHEMA["properties"]["values"]
DEFAULT_VALUES: SettingsValues = fill_defaults({}, VALUES_SCHEMA)
NON_INHERITED_VALUES = ("quota_processors",)
# Stands in for a removed node, which may still have nodes below it.
ASSUMED_NODE: SettingsNode = {"kind": "team"}


class EffectiveValue(NamedTuple):
    """An effective value and the path of the node that sets it."""

    value: object
    source: str


class Workload(NamedTuple):
    """A service or job with its effective values."""

    name: str
    path: str
    team: str
    values: SettingsValues


class SettingsTree:
    """All nodes of one settings version; immutable once it is built.

    Parameters
    ----------
    version : int
        Version of the head row; 0 for the empty tree.
    node_by_path : mapping of str to SettingsNode
        Nodes by path, such as ``hq/georgia/atlanta/counts/countdesk``.
    """

    def __init__(self, version: int, node_by_path: Mapping[str, SettingsNode]):
        self.version = version
        self.node_by_path = dict(node_by_path)
        self.service_by_name: dict[str, Workload] = {}
        self.job_by_name: dict[str, Workload] = {}
        for path in self.node_by_path:
            self._add_workload(path)

    def _add_workload(self, path: str) -> None:
        """Resolve the effective values of the node if it is a service or job."""
        kind = self.node_by_path[path]["kind"]
        if kind not in WORKLOAD_KINDS:
            return
        parent, _, name = path.rpartition(SEPARATOR)
        values = {key: item.value for key, item in self.effective(path).items()}
        by_name = self.service_by_name if kind == "service" else self.job_by_name
        by_name[name] = Workload(name, path, parent, values)

    def _remove_workload(self, path: str) -> None:
        name = path.rpartition(SEPARATOR)[2]
        for by_name in (self.service_by_name, self.job_by_name):
            workload = by_name.get(name)
            if workload is not None and workload.path == path:
                del by_name[name]

    def effective(self, path: str) -> dict[str, EffectiveValue]:
        """Return the effective values at ``path`` with the node that sets each."""
        value_by_name = {
            name: EffectiveValue(value, "(default)")
            for name, value in DEFAULT_VALUES.items()
        }
        for level in ancestors_of(path):
            node = self.node_by_path.get(level)
            if node is None:
                continue
            for name, value in node.get("values", {}).items():
                if name in NON_INHERITED_VALUES and level != path:
                    continue
                value_by_name[name] = EffectiveValue(value, level)
        return value_by_name

    def with_changes(
        self, version: int, node_by_path: Mapping[str, SettingsNode | None]
    ) -> "SettingsTree":
        """Return a tree with some nodes replaced, added or (``None``) removed.

        Effective values are resolved again only at and below the changed nodes.
        """
        tree = SettingsTree(version, {})
        tree.node_by_path = dict(self.node_by_path)
        tree.service_by_name = dict(self.service_by_name)
        tree.job_by_name = dict(self.job_by_name)
        for path, node in node_by_path.items():
            if node is None:
                tree.node_by_path.pop(path, None)
            else:
                tree.node_by_path[path] = node
        affected = tree.affected_by(node_by_path)
        for path in {*affected, *node_by_path}:
            tree._remove_workload(path)
        for path in affected:
            tree._add_workload(path)
        return tree

    def affected_by(self, changed: Iterable[str]) -> list[str]:
        """Return the existing nodes at or below any of the changed paths."""
        changed_paths = set(changed)
        parents = {
            path
            for path in changed_paths
            if self.node_by_path.get(path, ASSUMED_NODE)["kind"] not in WORKLOAD_KINDS
        }
        if not parents:
            return [path for path in changed_paths if path in self.node_by_path]
        return [
            path
            for path in self.node_by_path
            if path in changed_paths
            or any(level in parents for level in ancestors_of(path))
        ]


def ancestors_of(path: str) -> Iterator[str]:
    """Yield every level from the root down to ``path`` itself."""
    parts = path.split(SEPARATOR)
    for count in range(1, len(parts) + 1):
        yield SEPARATOR.join(parts[:count])


EMPTY_TREE = SettingsTree(0, {})
