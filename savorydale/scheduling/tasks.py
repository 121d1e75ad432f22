"""Tasks, and the table rows that hold them.

A task belongs to exactly one row at a time: the row of its shard while it waits,
the row of a rack while it runs, or an outbox row that hands it from one to the
other. Each handover is one transaction.
"""

from collections.abc import Iterable
from typing import Any, Literal, NamedTuple

import xxhash

from savorydale.workers.interface import Demand

JsonObject = dict[str, Any]

SHARD_COUNT = 64
SHARD_KIND = "shard"
RACK_KIND = "rack"
OUTBOX_PREFIX = "mail/"
HISTORY_PREFIX = "history/"
HISTORY_TTL_SECONDS = 30 * 86_400.0
MAX_AVOIDED_WORKERS = 8


class Task(NamedTuple):
    """One run of a job, or one replica of a service.

    ``attempt`` counts placements, ``failures`` those that failed. ``progress`` is
    the part of the work that ``checkpoint`` covers, from 0 to 1.
    ``avoided_workers`` are the workers on which the task last failed.
    ``tail_weight`` is the weight of a service's tail latency against jobs on the
    same VM, from 0 to 1. ``latency_evictions`` counts evictions because of the latency
    of services. ``must_start`` marks a task that has waited for long, ``slow_start``
    one that starts at the lowest speed because it fitted nowhere else.
    """

    id: str
    kind: Literal["service", "job"]
    name: str
    shard: int
    demand: Demand
    run_seconds: float
    urgent: bool = False
    attempt: int = 0
    failures: int = 0
    max_attempts: int = 1
    checkpoint: str | None = None
    progress: float = 0.0
    worker: str | None = None
    avoided_workers: tuple[str, ...] = ()
    tail_weight: float = 0.5
    latency_evictions: int = 0
    must_start: bool = False
    slow_start: bool = False
    team: str = ""

    def with_avoided_worker(self, worker: str) -> "Task":
        """Return the task with ``worker`` added to the workers to avoid."""
        other_workers = tuple(name for name in self.avoided_workers if name != worker)
        avoided_workers = (*other_workers, worker)[-MAX_AVOIDED_WORKERS:]
        return self._replace(avoided_workers=avoided_workers)

    def to_json(self) -> JsonObject:
        """Return the task as stored in a row, without fields at their default."""
        value = {
            name: field_value
            for name, field_value in self._asdict().items()
            if name not in self._field_defaults
            or field_value != self._field_defaults[name]
        }
        return value | {"demand": list(self.demand)}


def task_from_json(value: JsonObject) -> Task:
    """Return the task that is stored in a row."""
    converted = {
        "demand": Demand(*value["demand"]),
        "avoided_workers": tuple(value.get("avoided_workers", ())),
    }
    return Task(**(value | converted))


def group_by_worker(tasks: Iterable[Task]) -> dict[str, list[Task]]:
    """Return the tasks on each worker."""
    tasks_by_worker: dict[str, list[Task]] = {}
    for task in tasks:
        if task.worker is not None:
            tasks_by_worker.setdefault(task.worker, []).append(task)
    return tasks_by_worker


class OutboxMessage(NamedTuple):
    """A task that is handed to a shard or rack, and the reason.

    Reasons to a rack are ``run`` and ``stop``; to a shard ``submitted``, ``done``,
    ``failed``, ``evicted``, ``lost``, ``returned`` and ``stopped``.
    """

    reason: str
    task: Task
    detail: str = ""

    def to_json(self) -> JsonObject:
        """Return the message as stored in a row."""
        return {
            "reason": self.reason,
            "task": self.task.to_json(),
            "detail": self.detail,
        }


def outbox_message_from_json(value: JsonObject) -> OutboxMessage:
    """Return the message that is stored in a row."""
    return OutboxMessage(
        value["reason"], task_from_json(value["task"]), value["detail"]
    )


def shard_of(team: str) -> int:
    """Return the shard of all jobs and services of a team.

    A single shard, and so a single writer, knows all tasks of a team, so that the
    team's quota can be enforced.

    Parameters
    ----------
    team : str
        Path of the team.
    """
    return xxhash.xxh64_intdigest(team.encode()) % SHARD_COUNT


def shard_units() -> list[str]:
    """Return the names of all shards."""
    return [f"{SHARD_KIND}/{number}" for number in range(SHARD_COUNT)]


def outbox_prefix(unit: str) -> str:
    """Return the key prefix of all outbox messages to a shard or rack."""
    return f"{OUTBOX_PREFIX}{unit}/"


def outbox_key(unit: str, task_id: str, reason: str) -> str:
    """Return the row key of one outbox message to a shard or rack."""
    return f"{outbox_prefix(unit)}{task_id}/{reason}"
