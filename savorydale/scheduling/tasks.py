"""Tasks, and the rows of the table that they pass through.

A task is in exactly one place at a time: in the row of its shard while it waits, in
the row of a rack while it runs, or in a mail row on its way between the two. Each
move is one transaction.
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
    the part that ``checkpoint`` holds, from 0 to 1. ``avoided_workers`` are those
    that it last failed on. ``tail_weight`` is that of a service.
    ``latency_evictions`` counts moves for the sake of services' latency. A task
    that ``must_start`` has waited for long; one with ``slow_start`` begins at the
    lowest pace, because nothing else was left.
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
        """Return the task with one more worker that it rather does not run on."""
        others = tuple(name for name in self.avoided_workers if name != worker)
        avoided = (*others, worker)[-MAX_AVOIDED_WORKERS:]
        return self._replace(avoided_workers=avoided)

    def to_json(self) -> JsonObject:
        """Return the task as it stands in a row, without what is at its default."""
        value = {
            name: item
            for name, item in self._asdict().items()
            if name not in self._field_defaults or item != self._field_defaults[name]
        }
        return value | {"demand": list(self.demand)}


def task_from_json(value: JsonObject) -> Task:
    """Return the task that stands in a row."""
    typed = {
        "demand": Demand(*value["demand"]),
        "avoided_workers": tuple(value.get("avoided_workers", ())),
    }
    return Task(**(value | typed))


def group_by_worker(tasks: Iterable[Task]) -> dict[str, list[Task]]:
    """Return the tasks on each worker."""
    tasks_by_worker: dict[str, list[Task]] = {}
    for task in tasks:
        if task.worker is not None:
            tasks_by_worker.setdefault(task.worker, []).append(task)
    return tasks_by_worker


class OutboxMessage(NamedTuple):
    """A task on its way, and why it comes.

    To a rack: ``run`` or ``stop``. To a shard: ``submitted``, ``done``, ``failed``,
    ``evicted``, ``lost``, ``returned`` or ``stopped``.
    """

    reason: str
    task: Task
    detail: str = ""

    def to_json(self) -> JsonObject:
        """Return the mail as it stands in a row."""
        return {
            "reason": self.reason,
            "task": self.task.to_json(),
            "detail": self.detail,
        }


def outbox_message_from_json(value: JsonObject) -> OutboxMessage:
    """Return the mail that stands in a row."""
    return OutboxMessage(
        value["reason"], task_from_json(value["task"]), value["detail"]
    )


def shard_of(team: str) -> int:
    """Return the shard that all work of a team belongs to.

    One shard, and so one writer, knows all that a team runs, so that its quota holds.

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
    """Return the prefix of all mail to a shard or rack."""
    return f"{OUTBOX_PREFIX}{unit}/"


def outbox_key(unit: str, task_id: str, reason: str) -> str:
    """Return the row of one piece of mail to a shard or rack."""
    return f"{outbox_prefix(unit)}{task_id}/{reason}"
