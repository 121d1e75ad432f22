"""Durable rows of jobs: tables, keys and encoding of the values.

==========  ===================  ==============================================
Table       Key                  Value
==========  ===================  ==============================================
jobs        job                  the job as submitted, until it has ended
jobs        job + ``.cancel``    a request to cancel the job
jobs        job + ``.tombstone`` notice that the job's state is a tombstone
states      job                  queue and state, kept after the job has ended
steps       job.occurrence.step  progress of the tasks of one step
summaries   queue                jobs of the queue that have not started
tails       service image        fitted model of its tail latency
scheduler   ``lease``            which entry schedules; orders its transactions
==========  ===================  ==============================================

The names of queues and images are keys only if the store allows them; see
`key_of_name`.
"""

import json
from enum import StrEnum
from typing import Any, NamedTuple

from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.name_keys import is_digest, key_of_name
from savorydale.placement.crashes import NO_CRASHES, CrashCounts
from savorydale.placement.interference import INTERCEPT, TailFit
from savorydale.storage.rows import RowKey
from savorydale.utils.json_values import (
    load_json,
    load_json_object,
    to_float,
    to_int,
    to_list,
    to_object,
    to_text,
)

JOBS_TABLE = "jobs"
STATES_TABLE = "states"
STEPS_TABLE = "steps"
SUMMARIES_TABLE = "summaries"
TAILS_TABLE = "tails"
SCHEDULER_TABLE = "scheduler"
CANCEL_SUFFIX = ".cancel"
TOMBSTONE_SUFFIX = ".tombstone"
MAX_ROW_BYTES = 65_536  # if nothing else is set
SIGNIFICANT_DIGITS = 6
KEPT_IMAGES_RATIO = 0.7  # of the images, while a fit is too large for its row
WAITING_TASK = 0  # in a step's row: a task that has never run
SHORT_CRASHES_LENGTH = 3  # of the counts, while the others are 0
DONE_TASK = 1  # in a step's row; its runs no longer matter
LEASE_KEY = RowKey(SCHEDULER_TABLE, "lease")


class JobStatus(StrEnum):
    """State of a job as its submitter sees it.

    A tombstone means that there is no job, and that a submission which is stored late
    must not create it, since its cancellation has been answered.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    TOMBSTONE = "tombstone"

    @property
    def is_terminal(self) -> bool:
        """Return whether a job in this state is never scheduled again."""
        return self not in (self.QUEUED, self.RUNNING)


class JobRow(NamedTuple):
    """An accepted job: its spec and its queue's settings when it was accepted.

    ``accepted_ms`` is not used; `JobStore.submit` writes 0.
    """

    spec: JobSpec
    queue: QueueSettings
    accepted_ms: int


class StateRow(NamedTuple):
    """State of a job, and its queue.

    ``ended_ms`` is on the store's steady clock, 0 while the job has not ended.
    """

    queue: str
    status: JobStatus
    ended_ms: int = 0


class TaskRow(NamedTuple):
    """Progress of one task.

    ``worker`` is the worker that the latest run was assigned to, empty if none.
    ``crashes`` are stored only if there are any.
    """

    done: bool
    run: int
    failures: int
    worker: str
    checkpoint: str
    crashes: CrashCounts = NO_CRASHES


class SummaryRow(NamedTuple):
    """Number of jobs of a queue that have not started, and when they were counted.

    ``counted_ms`` is on the store's steady clock.
    """

    pending: int
    counted_ms: int


class TailRow(NamedTuple):
    """Fitted model of the tail latency of a service image."""

    service_image: str
    fit: TailFit


def job_key(job: str) -> RowKey:
    """Return the key of the row with the job's spec."""
    return RowKey(JOBS_TABLE, job)


def cancel_key(job: str) -> RowKey:
    """Return the key of the job's cancellation request."""
    return RowKey(JOBS_TABLE, job + CANCEL_SUFFIX)


def tombstone_key(job: str) -> RowKey:
    """Return the key of the notice of a job's tombstone."""
    return RowKey(JOBS_TABLE, job + TOMBSTONE_SUFFIX)


def state_key(job: str) -> RowKey:
    """Return the key of the row with the job's state."""
    return RowKey(STATES_TABLE, job)


def step_key(job: str, occurrence: int, step: int) -> RowKey:
    """Return the key of the row with a step's progress."""
    return RowKey(STEPS_TABLE, f"{job}.{occurrence}.{step}")


def summary_key(queue: str) -> RowKey:
    """Return the key of the row with the number of a queue's waiting jobs."""
    return RowKey(SUMMARIES_TABLE, key_of_name(queue))


def encode_job(row: JobRow) -> bytes:
    """Encode a job; fields of a step that have their defaults are left out."""
    spec = row.spec
    defaults = StepSpec(0)
    steps = [
        {
            name: value
            for name, value in step._asdict().items()
            if value != getattr(defaults, name)
        }
        for step in spec.steps
    ]
    timing = [spec.first_due_ms, spec.interval_ms, spec.occurrence_count]
    return _dump(
        {
            "payload": spec.payload,
            "steps": steps,
            "timing": timing,
            "queue": row.queue._asdict(),
            "accepted_ms": row.accepted_ms,
        }
    )


def decode_job(value: bytes) -> JobRow:
    """Decode a value that `encode_job` returned."""
    data = load_json_object(value)
    try:
        steps = tuple(_decode_step_spec(step) for step in to_list(data["steps"]))
        timing = [to_int(number) for number in data["timing"]]
        spec = JobSpec(to_text(data["payload"]), steps, *timing)
        queue = QueueSettings(**to_object(data["queue"]))
        _expect_types(queue, QueueSettings("", "", "", ""))
        return JobRow(spec, queue, to_int(data["accepted_ms"]))
    except (KeyError, TypeError) as error:
        raise RowFormatError(f"invalid job row: {error!r}") from error


def _decode_step_spec(fields: Any) -> StepSpec:
    fields = to_object(fields)
    after = tuple(to_int(number) for number in fields.get("after", ()))
    step = StepSpec(**{**fields, "after": after})
    max_unavailable = step.max_unavailable
    if max_unavailable is not None:
        to_int(max_unavailable)
    _expect_types(step._replace(max_unavailable=None), StepSpec(0))
    return step


def _expect_types(row: tuple[Any, ...], template: tuple[Any, ...]) -> None:
    """Raise `RowFormatError` unless the fields have the types of the template's."""
    for value, default in zip(row, template, strict=True):
        if isinstance(default, float):
            to_float(value)
        elif type(value) is not type(default):
            raise RowFormatError(f"a field is of type {type(value).__name__}")


def encode_state(row: StateRow) -> bytes:
    """Encode the state of a job."""
    return _dump([row.queue, row.status, row.ended_ms])


def decode_state(value: bytes) -> StateRow:
    """Decode a value that `encode_state` returned."""
    data = load_json(value)
    try:
        queue, status, ended_ms = data
        return StateRow(to_text(queue), JobStatus(status), to_int(ended_ms))
    except (TypeError, ValueError) as error:
        raise RowFormatError(f"invalid state row: {error!r}") from error


def encode_step(rows: list[TaskRow], max_bytes: int = MAX_ROW_BYTES) -> bytes:
    """Encode the progress of a step, one item per task.

    The row is written at each start and end, so the two most common items are short.
    If it is longer than ``max_bytes``, checkpoints are left out: after a takeover, the
    tasks that must run again then start from the beginning.
    """
    value = _dump([_encode_task(row) for row in rows])
    if len(value) <= max_bytes:
        return value
    return _dump([_encode_task(row._replace(checkpoint="")) for row in rows])


def _encode_task(row: TaskRow) -> list[Any] | int:
    if row.done:
        return DONE_TASK
    if not row.run:
        return WAITING_TASK
    fields = [0, row.run, row.failures, row.worker, row.checkpoint]
    return fields + _encode_crashes(row.crashes)


def _encode_crashes(crashes: CrashCounts) -> list[int]:
    if not any(crashes):
        return []
    if any(crashes[SHORT_CRASHES_LENGTH:]):
        return list(crashes)
    return list(crashes[:SHORT_CRASHES_LENGTH])


def _decode_crashes(items: list[Any]) -> CrashCounts:
    if len(items) not in (0, SHORT_CRASHES_LENGTH, len(CrashCounts._fields)):
        raise ValueError(f"{len(items)} counts of crashes")
    return CrashCounts(*map(to_int, items))


def decode_step(value: bytes) -> list[TaskRow]:
    """Decode a value that `encode_step` returned."""
    data = load_json(value)
    try:
        return [_decode_task(item) for item in to_list(data)]
    except (TypeError, ValueError) as error:
        raise RowFormatError(f"invalid step row: {error!r}") from error


def _decode_task(item: Any) -> TaskRow:
    if item == WAITING_TASK:
        return TaskRow(False, 0, 0, "", "")
    if item == DONE_TASK:
        return TaskRow(True, 1, 0, "", "")
    done, run, failures, worker, checkpoint, *crashes = item
    return TaskRow(
        bool(done),
        to_int(run),
        to_int(failures),
        to_text(worker),
        to_text(checkpoint),
        _decode_crashes(crashes),
    )


def encode_summary(row: SummaryRow) -> bytes:
    """Encode the summary of a queue."""
    return _dump(list(row))


def decode_summary(value: bytes) -> SummaryRow:
    """Decode a value that `encode_summary` returned."""
    data = load_json(value)
    try:
        pending, counted_ms = data
        return SummaryRow(to_int(pending), to_int(counted_ms))
    except (TypeError, ValueError) as error:
        raise RowFormatError(f"invalid summary row: {error!r}") from error


def tail_key(service_image: str) -> RowKey:
    """Return the key of the row with the fitted model of a service image."""
    return RowKey(TAILS_TABLE, key_of_name(service_image))


def encode_tail(row: TailRow, max_bytes: int) -> bytes:
    """Encode the fitted model of a service image in at most ``max_bytes``.

    The size grows with the square of the number of images. Those with the least
    evidence are left out; they are learned again after a takeover. The service image
    is stored only if the row's key does not show it.
    """
    fit = row.fit
    is_hidden = is_digest(tail_key(row.service_image).key)
    hidden_image = [row.service_image] if is_hidden else []
    names = sorted(fit.products, key=fit.evidence, reverse=True)
    names.sort(key=lambda name: name != INTERCEPT)
    while True:
        value = _dump([*_sums_of(fit, set(names)), *hidden_image])
        if len(value) <= max_bytes or not names:
            return value
        names = names[: int(len(names) * KEPT_IMAGES_RATIO)]


def _sums_of(fit: TailFit, names: set[str]) -> tuple[list[Any], dict[str, float]]:
    moments = [
        [first, second, float(f"{value:.{SIGNIFICANT_DIGITS}g}")]
        for (first, second), value in fit.moments.items()
        if first <= second and first in names and second in names
    ]
    products = {
        name: float(f"{value:.{SIGNIFICANT_DIGITS}g}")
        for name, value in fit.products.items()
        if name in names
    }
    return moments, products


def decode_tail(key: str, value: bytes) -> TailRow:
    """Decode a value that `encode_tail` returned, stored under ``key``."""
    data = load_json(value)
    try:
        moments, products, *hidden_image = data
        [service_image] = hidden_image or [key]
        fit = TailFit()
        for first, second, moment in moments:
            fit.moments[first, second] = to_float(moment)
            fit.moments[second, first] = to_float(moment)
        fit.products.update(
            {name: to_float(item) for name, item in to_object(products).items()}
        )
        return TailRow(to_text(service_image), fit)
    except (TypeError, ValueError) as error:
        raise RowFormatError(f"invalid tail fit row: {error!r}") from error


def _dump(data: object) -> bytes:
    return json.dumps(data, separators=(",", ":")).encode()
