"""Plan, apply and roll back changes of the settings tree."""

import pathlib
import tomllib
from typing import Any, NamedTuple

from savorydale.commands.client import (
    OperatorClient,
    OperatorRefusedError,
    OperatorResponse,
)
from savorydale.exceptions import ConfigurationError, OptionError
from savorydale.results import ResultCode

JsonObject = dict[str, Any]


class DeclaredSettings(NamedTuple):
    """Nodes and removed paths that settings files declare."""

    nodes: JsonObject
    removed: list[str]


class NodeChange(NamedTuple):
    """An added, changed or removed node."""

    action: str
    path: str
    before: JsonObject | None
    after: JsonObject | None


def read_settings_files(path: pathlib.Path) -> DeclaredSettings:
    """Return what a TOML file, or all TOML files below a folder, declare.

    Raises
    ------
    ConfigurationError
        With an error for each file that cannot be read and each node declared twice.
    """
    files = sorted(path.rglob("*.toml")) if path.is_dir() else [path]
    nodes: JsonObject = {}
    removed: list[str] = []
    errors: list[Exception] = []
    for file in files:
        try:
            document = tomllib.loads(file.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            errors.append(OptionError(str(file), None, str(error), "Correct the file."))
            continue
        removed.extend(document.get("remove", []))
        for name, node in document.get("nodes", {}).items():
            if name in nodes:
                option_error = OptionError(
                    name, str(file), "is declared twice", "Declare each node once."
                )
                errors.append(option_error)
            nodes[name] = node
    if errors:
        raise ConfigurationError(f"{path} has {len(errors)} errors", errors)
    return DeclaredSettings(nodes, removed)


def plan(client: OperatorClient, path: pathlib.Path) -> tuple[int, list[NodeChange]]:
    """Return the current version, and the changes that applying ``path`` would make.

    Raises
    ------
    OperatorRefusedError
        If the entry refuses to show its settings.
    """
    response = client.get("settings")
    if response.code != ResultCode.OK:
        raise OperatorRefusedError(response)
    current_nodes = response.body["nodes"]
    declared = read_settings_files(path)
    changes = []
    for name, node in sorted(declared.nodes.items()):
        before = current_nodes.get(name)
        if before != node:
            action = "add" if before is None else "change"
            changes.append(NodeChange(action, name, before, node))
    for name in declared.removed:
        if name in current_nodes:
            changes.append(NodeChange("remove", name, current_nodes[name], None))
    return response.body["version"], changes


def history(client: OperatorClient, limit: int) -> OperatorResponse:
    """Return the last ``limit`` accepted changes, newest first."""
    return client.get("history", limit=str(limit))


def rollback(client: OperatorClient, version: int, wait: bool) -> OperatorResponse:
    """Restore the settings of an earlier version as a new version.

    The result is a conflict if another change is accepted meanwhile.
    """
    response = client.get("history", back_to=str(version))
    if response.code != ResultCode.OK:
        return response
    nodes = response.body["nodes"]
    if not nodes:
        body = {"version": response.body["version"], "message": "Nothing to change."}
        return OperatorResponse(ResultCode.OK, body)
    body = {
        "version": response.body["version"],
        "wait": wait,
        "nodes": {path: node for path, node in nodes.items() if node is not None},
        "remove": [path for path, node in nodes.items() if node is None],
    }
    return client.post("settings", body)


def apply(
    client: OperatorClient,
    path: pathlib.Path,
    wait: bool,
    read_version: int | None = None,
) -> OperatorResponse:
    """Apply what ``path`` declares as one atomic change."""
    version, changes = plan(client, path)
    if not changes:
        return OperatorResponse(
            0, {"version": version, "message": "Nothing to change."}
        )
    body = {
        "version": version if read_version is None else read_version,
        "wait": wait,
        "nodes": {item.path: item.after for item in changes if item.after is not None},
        "remove": [item.path for item in changes if item.after is None],
    }
    return client.post("settings", body)
