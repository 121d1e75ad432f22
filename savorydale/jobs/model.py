"""Data model of jobs, steps, tasks and queues."""

import re
from enum import StrEnum
from typing import NamedTuple

from savorydale.exceptions import RowFormatError

MILLISECONDS_PER_SECOND = 1000
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")


class StepSpec(NamedTuple):
    """Requirements of the tasks of one step.

    Parameters
    ----------
    task_count : int
        Number of tasks of the step.
    cpu_millicores : int
        Thousandths of a core for each task.
    memory_mb : int
        Memory of each task.
    accelerators : int
        Accelerators of each task.
    estimate_ms : int
        The submitter's rough estimate of a task's run time.
    after : tuple of int
        Numbers of earlier steps whose tasks must all succeed first.
    checkpointing : bool
        Whether a task can resume from a checkpoint.
    gang : bool
        Whether the tasks can only run all at the same time.
    same_rack : bool
        Whether a gang slows down when spread over several racks.
    required_label : str
        Label that the worker must have; empty for none.
    data_rack : str
        Rack that holds the step's data; empty for none.
    max_per_worker : int
        Maximum number of tasks of one occurrence on one worker; 0 for no limit.
    speculative : bool
        Whether several copies of a task may run at the same time.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of the same image behave alike.
    latency_target_ms : int
        Tail latency target of a service task; 0 for none.
    backfill : bool
        Whether the tasks use only CPU that other tasks leave unused.
    max_unavailable : int or None
        Replicas that planned actions may make unavailable at once; ``None`` if the
        step sets no limit.
    """

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_target_ms: int = 0
    backfill: bool = False
    max_unavailable: int | None = None

    @property
    def core_seconds(self) -> float:
        """Return the estimated CPU time of all tasks."""
        per_task = self.cpu_millicores * self.estimate_ms / MILLISECONDS_PER_SECOND**2
        return self.task_count * per_task

    @property
    def kind(self) -> "StepKind":
        """Return whether these are service, backfill or batch tasks."""
        if self.long_running:
            return StepKind.SERVICE
        return StepKind.BACKFILL if self.backfill else StepKind.BATCH


class StepKind(StrEnum):
    """Kind of a step's tasks.

    A service runs until its job is cancelled, backfill uses spare CPU, and a batch task
    ends by itself and reserves its CPU.
    """

    SERVICE = "service"
    BACKFILL = "backfill"
    BATCH = "short"


class JobSpec(NamedTuple):
    """A job as it was submitted.

    ``payload`` is passed to each task unchanged. A job with occurrences runs its
    steps ``occurrence_count`` times; occurrence K is due at ``first_due_ms`` plus
    K times ``interval_ms``, in milliseconds since the Unix epoch.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrence_count: int = 0

    @property
    def core_seconds(self) -> float:
        """Return the estimated CPU time of one occurrence."""
        return sum(step.core_seconds for step in self.steps)

    def critical_path_seconds_by_step(self) -> tuple[float, ...]:
        """Return the estimated critical path that starts at each step."""
        seconds = [step.estimate_ms / MILLISECONDS_PER_SECOND for step in self.steps]
        for number in reversed(range(len(self.steps))):
            for earlier in self.steps[number].after:
                step_seconds = self.steps[earlier].estimate_ms / MILLISECONDS_PER_SECOND
                seconds[earlier] = max(seconds[earlier], step_seconds + seconds[number])
        return tuple(seconds)

    @property
    def is_scheduled(self) -> bool:
        """Return whether the job runs on a schedule."""
        return self.occurrence_count > 0


class QueueSettings(NamedTuple):
    """A queue, from the configuration.

    ``service`` names the group of workers that run the queue's tasks; it is not related
    to service tasks. Priority 0 is the highest. A job fails once a task has failed
    ``max_attempts`` times. It should end within ``stretch`` times its critical path
    plus ``objective_ms``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: float = 0.0
    needs_advice: bool = False


class Configuration(NamedTuple):
    """One version of the operator's configuration."""

    version: int
    queue_by_name: dict[str, QueueSettings]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> QueueSettings | None:
        """Return the queue with the longest prefix of ``path`` on ``host``."""
        matching = [
            queue
            for queue in self.queue_by_name.values()
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


class TaskId(NamedTuple):
    """Identifies one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskId":
        """Parse the text form of a task identifier.

        Raises
        ------
        RowFormatError
            If ``text`` is not a task identifier.
        """
        parts = text.split(".")
        try:
            job, occurrence, step, index = parts
            return cls(job, int(occurrence), int(step), int(index))
        except ValueError as error:
            raise RowFormatError(f"{text!r} is not a task identifier") from error
