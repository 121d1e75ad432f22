"""Checks that a settings change must pass before it is accepted."""

import datetime
import re
import zoneinfo
from collections.abc import Iterable, Iterator, Mapping

import cronsim

from savorydale.config.validation import JsonObject, find_errors
from savorydale.exceptions import OptionError
from savorydale.messages.schemas import SETTINGS_SCHEMA
from savorydale.messages.settings_types import SettingsNode
from savorydale.settings.tree import (
    LEVEL_KINDS,
    SEPARATOR,
    WORKLOAD_KINDS,
    SettingsTree,
    ancestors_of,
)

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MAX_DEPTH = 12
QUOTA = "quota_processors"


def check_changes(
    tree: SettingsTree, change_by_path: Mapping[str, SettingsNode | None]
) -> list[OptionError]:
    """Return every error that ``tree`` would have after the changes.

    Parameters
    ----------
    tree : SettingsTree
        Current tree.
    change_by_path : mapping
        Changed nodes by path; ``None`` removes a node.
    """
    errors = _find_node_errors(change_by_path)
    if errors:
        return errors
    changed = tree.with_changes(tree.version + 1, change_by_path)
    affected = changed.affected_by(change_by_path)
    errors.extend(_find_parent_errors(changed, affected))
    if errors:
        return errors
    errors.extend(_find_lock_errors(changed, affected))
    errors.extend(_find_name_errors(tree, changed, affected))
    errors.extend(_find_schedule_errors(changed, affected))
    errors.extend(_find_quota_errors(changed, change_by_path, affected))
    return errors


def _find_node_errors(
    change_by_path: Mapping[str, SettingsNode | None],
) -> list[OptionError]:
    errors = []
    for path, node in change_by_path.items():
        parts = path.split(SEPARATOR)
        if len(parts) > MAX_DEPTH:
            errors.append(
                OptionError(path, path, "is too deep", f"Use {MAX_DEPTH} levels.")
            )
        if not all(NAME_PATTERN.fullmatch(part) for part in parts):
            errors.append(
                OptionError(
                    path,
                    path,
                    "is not a valid path",
                    "Use lower-case letters, digits and hyphens between slashes.",
                )
            )
        if node is not None:
            errors.extend(find_errors(node, SETTINGS_SCHEMA, path))
    return errors


def _find_parent_errors(tree: SettingsTree, affected: list[str]) -> list[OptionError]:
    errors = []
    for path in affected:
        node = tree.node_by_path[path]
        parent = path.rpartition(SEPARATOR)[0]
        if not parent:
            if node["kind"] != LEVEL_KINDS[0]:
                errors.append(
                    OptionError(
                        f"{path}.kind",
                        node["kind"],
                        "cannot stand at the root",
                        "Put it below a headquarters node.",
                    )
                )
            continue
        parent_node = tree.node_by_path.get(parent)
        if parent_node is None:
            errors.append(
                OptionError(path, path, "has no parent node", f"Add {parent} as well.")
            )
            continue
        errors.extend(_find_level_errors(path, node, parent_node))
    return errors


def _find_level_errors(
    path: str, node: SettingsNode, parent: SettingsNode
) -> list[OptionError]:
    if parent["kind"] in WORKLOAD_KINDS:
        problem = f"cannot stand below a {parent['kind']}"
        return [OptionError(f"{path}.kind", node["kind"], problem, "Move it up.")]
    if node["kind"] in WORKLOAD_KINDS:
        if parent["kind"] == "team":
            return []
        problem = f"cannot stand below a {parent['kind']}"
        return [OptionError(f"{path}.kind", node["kind"], problem, "Put it in a team.")]
    if LEVEL_KINDS.index(node["kind"]) > LEVEL_KINDS.index(parent["kind"]):
        return []
    problem = f"cannot stand below a {parent['kind']}"
    order = ", ".join(LEVEL_KINDS)
    return [
        OptionError(f"{path}.kind", node["kind"], problem, f"The order is {order}.")
    ]


def _find_lock_errors(tree: SettingsTree, affected: list[str]) -> list[OptionError]:
    errors = []
    for path in affected:
        node = tree.node_by_path[path]
        for level in ancestors_of(path):
            if level == path:
                continue
            locked = tree.node_by_path[level].get("locked", [])
            for name in locked:
                if name in node.get("values", {}):
                    errors.append(
                        OptionError(
                            f"{path}.values.{name}",
                            node["values"][name],
                            f"is locked by {level}",
                            f"Remove it here or unlock it at {level}.",
                        )
                    )
    return errors


def _find_name_errors(
    before: SettingsTree, tree: SettingsTree, affected: list[str]
) -> list[OptionError]:
    path_by_name = {
        workload.name: workload.path
        for workloads in (before.service_by_name, before.job_by_name)
        for workload in workloads.values()
        if workload.path in tree.node_by_path
    }
    errors = []
    for path in sorted(affected):
        if tree.node_by_path[path]["kind"] not in WORKLOAD_KINDS:
            continue
        name = path.rpartition(SEPARATOR)[2]
        first_path = path_by_name.setdefault(name, path)
        if first_path != path:
            errors.append(
                OptionError(
                    path,
                    name,
                    f"has the name of {first_path}",
                    "Give every service and job a name of its own.",
                )
            )
    return errors


def _find_schedule_errors(tree: SettingsTree, affected: list[str]) -> list[OptionError]:
    errors = []
    for path in affected:
        job = tree.job_by_name.get(path.rpartition(SEPARATOR)[2])
        if job is None or job.path != path:
            continue
        time_zone = job.values["time_zone"]
        try:
            zoneinfo.ZoneInfo(time_zone)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError):
            errors.append(
                OptionError(
                    f"{job.path}.values.time_zone",
                    time_zone,
                    "is not a known time zone",
                    "Use an IANA name such as America/New_York or Africa/Cairo.",
                )
            )
        schedule = job.values.get("schedule")
        if schedule is None:
            continue
        try:
            next(cronsim.CronSim(schedule, datetime.datetime(2026, 1, 1)))
        except (cronsim.CronSimError, StopIteration):
            errors.append(
                OptionError(
                    f"{job.path}.values.schedule",
                    schedule,
                    "is not a cron expression that is ever due",
                    "Use five fields, such as 30 4 * * *.",
                )
            )
    return errors


def _find_quota_errors(
    tree: SettingsTree, changed: Iterable[str], affected: list[str]
) -> list[OptionError]:
    """Check every quota at, above or below a changed node."""
    levels = {level for path in changed for level in ancestors_of(path)}
    errors = []
    for path in sorted(levels.union(affected)):
        node = tree.node_by_path.get(path)
        quota = None if node is None else node.get("values", {}).get(QUOTA)
        if quota is None:
            continue
        errors.extend(_check_quota(tree, path, quota))
    return errors


def _check_quota(tree: SettingsTree, path: str, quota: float) -> Iterator[OptionError]:
    prefix = path + SEPARATOR
    declared_processors = sum(
        service.values["processors"] * service.values["replicas"]
        for service in tree.service_by_name.values()
        if service.path.startswith(prefix)
    )
    if declared_processors > quota:
        yield OptionError(
            f"{path}.values.{QUOTA}",
            quota,
            f"is below the {declared_processors:g} processors of the services below it",
            "Raise the quota or lower replicas or processors.",
        )
    for job in tree.job_by_name.values():
        processors = job.values["processors"]
        if processors > quota and job.path.startswith(prefix):
            yield OptionError(
                f"{job.path}.values.processors",
                processors,
                f"is over the quota of {quota:g} at {path}, so it never runs",
                "Raise the quota or declare less.",
            )


def parse_changes(document: JsonObject) -> dict[str, SettingsNode | None]:
    """Return the changes of a parsed settings document.

    Parameters
    ----------
    document : dict
        ``{"nodes": {path: node}, "remove": [path]}``.

    Raises
    ------
    OptionError
        If the document is malformed.
    """
    nodes = document.get("nodes", {})
    removed = document.get("remove", [])
    if set(document) - {"nodes", "remove"}:
        unknown = sorted(set(document) - {"nodes", "remove"})[0]
        raise OptionError(
            unknown, document[unknown], "is not a known table", "Use nodes and remove."
        )
    if not isinstance(nodes, dict) or not isinstance(removed, list):
        raise OptionError(
            "nodes", nodes, "has the wrong shape", "Use a table of nodes by path."
        )
    for path, node in nodes.items():
        if not isinstance(node, dict):
            raise OptionError(path, node, "is not a table", "Give kind and values.")
    changes: dict[str, SettingsNode | None] = dict(nodes)
    changes.update({str(path): None for path in removed})
    return changes
