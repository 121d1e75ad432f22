"""Everything that is checked before a settings change is accepted."""

import datetime
import re
import zoneinfo
from collections.abc import Iterable, Iterator, Mapping

import cronsim

from savorydale.config.validation import JsonObject, find_faults
from savorydale.exceptions import OptionError
from savorydale.messages.schemas import SETTINGS_SCHEMA
from savorydale.messages.settings_types import SettingsNode
from savorydale.settings.tree import (
    LEVELS,
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
    """Return every fault that ``tree`` would have after the changes.

    Parameters
    ----------
    tree : SettingsTree
        Tree in force.
    change_by_path : mapping
        New nodes by path; ``None`` removes a node.
    """
    faults = _find_node_faults(change_by_path)
    if faults:
        return faults
    changed = tree.with_changes(tree.version + 1, change_by_path)
    affected = changed.affected_by(change_by_path)
    faults.extend(_find_place_faults(changed, affected))
    if faults:
        return faults
    faults.extend(_find_lock_faults(changed, affected))
    faults.extend(_find_name_faults(tree, changed, affected))
    faults.extend(_find_schedule_faults(changed, affected))
    faults.extend(_find_quota_faults(changed, change_by_path, affected))
    return faults


def _find_node_faults(
    change_by_path: Mapping[str, SettingsNode | None],
) -> list[OptionError]:
    faults = []
    for path, node in change_by_path.items():
        parts = path.split(SEPARATOR)
        if len(parts) > MAX_DEPTH:
            faults.append(
                OptionError(path, path, "is too deep", f"Use {MAX_DEPTH} levels.")
            )
        if not all(NAME_PATTERN.fullmatch(part) for part in parts):
            faults.append(
                OptionError(
                    path,
                    path,
                    "is not a valid path",
                    "Use lower-case letters, digits and hyphens between slashes.",
                )
            )
        if node is not None:
            faults.extend(find_faults(node, SETTINGS_SCHEMA, path))
    return faults


def _find_place_faults(tree: SettingsTree, affected: list[str]) -> list[OptionError]:
    faults = []
    for path in affected:
        node = tree.node_by_path[path]
        parent = path.rpartition(SEPARATOR)[0]
        if not parent:
            if node["kind"] != LEVELS[0]:
                faults.append(
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
            faults.append(
                OptionError(path, path, "has no parent node", f"Add {parent} as well.")
            )
            continue
        faults.extend(_find_level_faults(path, node, parent_node))
    return faults


def _find_level_faults(
    path: str, node: SettingsNode, parent: SettingsNode
) -> list[OptionError]:
    if parent["kind"] in WORKLOAD_KINDS:
        fault = f"cannot stand below a {parent['kind']}"
        return [OptionError(f"{path}.kind", node["kind"], fault, "Move it up.")]
    if node["kind"] in WORKLOAD_KINDS:
        if parent["kind"] == "team":
            return []
        fault = f"cannot stand below a {parent['kind']}"
        return [OptionError(f"{path}.kind", node["kind"], fault, "Put it in a team.")]
    if LEVELS.index(node["kind"]) > LEVELS.index(parent["kind"]):
        return []
    fault = f"cannot stand below a {parent['kind']}"
    order = ", ".join(LEVELS)
    return [OptionError(f"{path}.kind", node["kind"], fault, f"The order is {order}.")]


def _find_lock_faults(tree: SettingsTree, affected: list[str]) -> list[OptionError]:
    faults = []
    for path in affected:
        node = tree.node_by_path[path]
        for level in ancestors_of(path):
            if level == path:
                continue
            locked = tree.node_by_path[level].get("locked", [])
            for name in locked:
                if name in node.get("values", {}):
                    faults.append(
                        OptionError(
                            f"{path}.values.{name}",
                            node["values"][name],
                            f"is locked by {level}",
                            f"Remove it here or unlock it at {level}.",
                        )
                    )
    return faults


def _find_name_faults(
    before: SettingsTree, tree: SettingsTree, affected: list[str]
) -> list[OptionError]:
    path_by_name = {
        work.name: work.path
        for works in (before.service_by_name, before.job_by_name)
        for work in works.values()
        if work.path in tree.node_by_path
    }
    faults = []
    for path in sorted(affected):
        if tree.node_by_path[path]["kind"] not in WORKLOAD_KINDS:
            continue
        name = path.rpartition(SEPARATOR)[2]
        holder = path_by_name.setdefault(name, path)
        if holder != path:
            faults.append(
                OptionError(
                    path,
                    name,
                    f"has the name of {holder}",
                    "Give every service and job a name of its own.",
                )
            )
    return faults


def _find_schedule_faults(tree: SettingsTree, affected: list[str]) -> list[OptionError]:
    faults = []
    for path in affected:
        job = tree.job_by_name.get(path.rpartition(SEPARATOR)[2])
        if job is None or job.path != path:
            continue
        zone = job.values["time_zone"]
        try:
            zoneinfo.ZoneInfo(zone)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError):
            faults.append(
                OptionError(
                    f"{job.path}.values.time_zone",
                    zone,
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
            faults.append(
                OptionError(
                    f"{job.path}.values.schedule",
                    schedule,
                    "is not a cron expression that is ever due",
                    "Use five fields, such as 30 4 * * *.",
                )
            )
    return faults


def _find_quota_faults(
    tree: SettingsTree, changed: Iterable[str], affected: list[str]
) -> list[OptionError]:
    """Check each quota at, above or below what has changed."""
    levels = {level for path in changed for level in ancestors_of(path)}
    faults = []
    for path in sorted(levels.union(affected)):
        node = tree.node_by_path.get(path)
        quota = None if node is None else node.get("values", {}).get(QUOTA)
        if quota is None:
            continue
        faults.extend(_find_faults_of_quota(tree, path, quota))
    return faults


def _find_faults_of_quota(
    tree: SettingsTree, path: str, quota: float
) -> Iterator[OptionError]:
    prefix = path + SEPARATOR
    declared = sum(
        service.values["processors"] * service.values["replicas"]
        for service in tree.service_by_name.values()
        if service.path.startswith(prefix)
    )
    if declared > quota:
        yield OptionError(
            f"{path}.values.{QUOTA}",
            quota,
            f"is below the {declared:g} processors of the services below it",
            "Raise the quota or lower replicas or processors.",
        )
    for job in tree.job_by_name.values():
        size = job.values["processors"]
        if size > quota and job.path.startswith(prefix):
            yield OptionError(
                f"{job.path}.values.processors",
                size,
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
        If the document has another shape.
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
