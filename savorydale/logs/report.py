"""Where jobs lose time, and which are lost, from the logs of several processes.

Each job is counted under its outcome. A job that was late, failed or never ended is
also counted under the first cause of `Cause` that applies to it.
"""

import collections
import dataclasses
import statistics
from collections.abc import Iterable
from enum import StrEnum

from savorydale.logs.reading import MILLISECONDS_PER_SECOND, LogLine, StoreClock

LATE_OBJECTIVES = 3.0  # a job is of no use after this many times its objective
WAIT_RATIO = 0.5  # of the objective; a longer wait explains why a job was late
STRAGGLER_RATIO = 2.0  # time until the last task is done against that of the median

LIFE_EVENTS = frozenset(
    (
        "job submitted",
        "job taken in",
        "run assigned",
        "run started",
        "run ended",
        "run lost",
        "run is moved",
        "job cancel requested",
        "job ended",
        "job is set aside",
        "lease acquired",
    )
)


class Outcome(StrEnum):
    """How a job ended for its submitter."""

    ON_TIME = "on time"
    LATE = "late"
    TOO_LATE = "too late"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNFINISHED = "unfinished"
    NOT_ACCEPTED = "not accepted"


class Cause(StrEnum):
    """Why a job was late, failed or did not end."""

    NOT_ACCEPTED = "not accepted"
    NOT_STARTED = "accepted, not started"
    WAITED = "waited for its first start"
    RUN_FAILED = "runs failed"
    RUN_LOST = "runs lost"
    RUN_MOVED = "runs moved"
    TAKEOVER = "takeover"
    STRAGGLER = "waited for its slowest task"
    RUN_TIME = "long run time"


@dataclasses.dataclass(slots=True)
class JobHistory:
    """What the logs say of one job; all times are on the store's clock.

    ``ended_at_ms_by_task`` holds when each task was done.
    """

    queue: str = "?"
    submitted_ms: float | None = None
    accepted_ms: float | None = None
    first_start_ms: float | None = None
    ended_ms: float | None = None
    status: str = ""
    objective_seconds: float = 0.0
    has_service: bool = False
    failed_runs: int = 0
    lost_runs: int = 0
    moved_runs: int = 0
    is_cancelled: bool = False
    ended_at_ms_by_task: dict[str, float] = dataclasses.field(default_factory=dict)

    def outcome(self) -> Outcome:
        """Return how the job ended."""
        if self.accepted_ms is None:
            return Outcome.NOT_ACCEPTED
        if self.is_cancelled or self.status == "cancelled":
            return Outcome.CANCELLED
        if self.status == "failed":
            return Outcome.FAILED
        if self.status != "completed":
            return Outcome.UNFINISHED
        seconds = self._seconds_until(self.ended_ms)
        if seconds <= self.objective_seconds:
            return Outcome.ON_TIME
        is_late = seconds <= LATE_OBJECTIVES * self.objective_seconds
        return Outcome.LATE if is_late else Outcome.TOO_LATE

    def cause(self, takeovers_ms: list[float]) -> Cause:
        """Return the first cause that applies."""
        if self.accepted_ms is None:
            return Cause.NOT_ACCEPTED
        if self.first_start_ms is None:
            return Cause.NOT_STARTED
        waited_seconds = self._seconds_until(self.first_start_ms)
        if self.objective_seconds and (
            waited_seconds > WAIT_RATIO * self.objective_seconds
        ):
            return Cause.WAITED
        if self.failed_runs:
            return Cause.RUN_FAILED
        if self.lost_runs:
            return Cause.RUN_LOST
        if self.moved_runs:
            return Cause.RUN_MOVED
        end_ms = self.ended_ms or float("inf")
        if any(self.accepted_ms < takeover < end_ms for takeover in takeovers_ms):
            return Cause.TAKEOVER
        return Cause.STRAGGLER if self._has_straggler() else Cause.RUN_TIME

    def _seconds_until(self, time_ms: float | None) -> float:
        start_ms = self.submitted_ms or self.accepted_ms or 0.0
        return ((time_ms or start_ms) - start_ms) / MILLISECONDS_PER_SECOND

    def _has_straggler(self) -> bool:
        """Return whether a step's last task took far longer than its median one."""
        done_ms_by_step = collections.defaultdict(list)
        for task, done_ms in self.ended_at_ms_by_task.items():
            done_ms_by_step[task.rpartition(".")[0]].append(done_ms)
        step_start_ms = self.first_start_ms or 0.0
        for _, done_ms in sorted(done_ms_by_step.items()):
            median_ms = statistics.median(done_ms) - step_start_ms
            if max(done_ms) - step_start_ms > STRAGGLER_RATIO * median_ms:
                return True
            step_start_ms = max(done_ms)
        return False


class QueueReport:
    """Numbers of jobs of one queue, by outcome and by cause."""

    def __init__(self) -> None:
        self.count_by_outcome: collections.Counter[Outcome] = collections.Counter()
        self.count_by_cause: collections.Counter[Cause] = collections.Counter()

    def add(self, outcome: Outcome, cause: Cause) -> None:
        """Count one job."""
        self.count_by_outcome[outcome] += 1
        if outcome not in (Outcome.ON_TIME, Outcome.CANCELLED):
            self.count_by_cause[cause] += 1


def build_report(lines: list[LogLine]) -> dict[str, QueueReport]:
    """Return a report for each queue."""
    clock = StoreClock(lines)
    history_by_job: dict[str, JobHistory] = collections.defaultdict(JobHistory)
    takeovers_ms: list[float] = []
    timed_lines = (
        (clock.to_store_ms(number, line), line)
        for number, line in enumerate(lines)
        if line.event in LIFE_EVENTS
    )
    for store_ms, line in sorted(timed_lines, key=lambda item: item[0]):
        if line.event == "lease acquired":
            takeovers_ms.append(store_ms)
            continue
        _apply(history_by_job[_job_of(line)], line, store_ms)
    report_by_queue: dict[str, QueueReport] = collections.defaultdict(QueueReport)
    for history in history_by_job.values():
        if history.has_service:
            continue
        report_by_queue[history.queue].add(
            history.outcome(), history.cause(takeovers_ms)
        )
    return dict(report_by_queue)


def _job_of(line: LogLine) -> str:
    task = str(line.fields.get("task", ""))
    return str(line.fields.get("job") or task.partition(".")[0])


def _apply(history: JobHistory, line: LogLine, store_ms: float) -> None:
    fields = line.fields
    match line.event:
        case "job submitted":
            history.queue = str(fields.get("queue", history.queue))
            if history.submitted_ms is None:
                history.submitted_ms = store_ms
            if "JobAccepted" in str(fields.get("outcome")):
                history.accepted_ms = history.accepted_ms or store_ms
        case "job taken in":
            history.queue = str(fields.get("queue", history.queue))
            history.accepted_ms = history.accepted_ms or store_ms
            history.has_service = "service" in str(fields.get("steps"))
        case "run started":
            history.first_start_ms = history.first_start_ms or store_ms
        case "run ended":
            _apply_end(history, fields.get("task"), fields.get("reason"), store_ms)
        case "run lost":
            history.lost_runs += 1
        case "run is moved":
            history.moved_runs += 1
        case "job cancel requested":
            history.is_cancelled = True
        case "job ended":
            history.ended_ms = store_ms
            history.status = str(fields.get("status", ""))
            history.objective_seconds = _number(fields.get("objective"))
        case "job is set aside":
            history.ended_ms = store_ms
            history.status = "failed"


def _apply_end(
    history: JobHistory, task: object, reason: object, store_ms: float
) -> None:
    if reason == "failed":
        history.failed_runs += 1
    if reason == "done":
        history.ended_at_ms_by_task[str(task)] = store_ms


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0


def format_report(report_by_queue: dict[str, QueueReport]) -> list[str]:
    """Return the report as lines of text, one table of outcomes and one of causes."""
    counts_by_queue = {
        queue: report.count_by_outcome for queue, report in report_by_queue.items()
    }
    causes_by_queue = {
        queue: report.count_by_cause for queue, report in report_by_queue.items()
    }
    return [
        "Jobs by outcome",
        *_format_table(counts_by_queue, Outcome),
        "",
        "Jobs that were late, failed or did not end, by cause",
        *_format_table(causes_by_queue, Cause),
    ]


def _format_table(
    count_by_queue: dict[str, collections.Counter], columns: Iterable[StrEnum]
) -> list[str]:
    rows = []
    for column in columns:
        counts = [count_by_queue[queue][column] for queue in sorted(count_by_queue)]
        if any(counts):
            cells = "".join(f"{count:>16}" for count in counts)
            rows.append(f"{column.value:<32}{cells}")
    names = "".join(f"{queue[-15:]:>16}" for queue in sorted(count_by_queue))
    return [f"{'':<32}{names}".rstrip(), *rows]
