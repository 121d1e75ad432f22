"""The timeline of one job, merged from the logs of several processes."""

from typing import NamedTuple

from savorydale.logs.reading import MILLISECONDS_PER_SECOND, LogLine, StoreClock

CONTEXT_EVENTS = (
    "lease acquired",
    "lease lost",
    "lease released",
    "entry serves",
    "entry stops",
    "jobs loaded",
)
WORKER_EVENTS = (
    "worker answers",
    "worker was restarted",
    "worker is quarantined",
    "worker state changed",
    "worker capacity changed",
)
HIDDEN_FIELDS = ("time", "level", "logger", "event", "vm", "job")
CONTEXT_MARGIN_MS = 3000


class TimelineLine(NamedTuple):
    """One line of a job's timeline; ``store_ms`` is a time on the store's clock.

    The store's clock is steady; times of day are not.
    """

    store_ms: float
    line: LogLine


def build_timeline(lines: list[LogLine], job: str) -> list[TimelineLine]:
    """Return the lines about a job and their context, ordered by the store's clock."""
    clock = StoreClock(lines)
    all_lines = [
        TimelineLine(clock.to_store_ms(number, line), line)
        for number, line in enumerate(lines)
    ]
    job_lines = [item for item in all_lines if _is_about_job(item.line, job)]
    if not job_lines:
        return []
    first_ms = min(item.store_ms for item in job_lines) - CONTEXT_MARGIN_MS
    last_ms = max(item.store_ms for item in job_lines) + CONTEXT_MARGIN_MS
    workers = {item.line.fields.get("worker") for item in job_lines} - {None}
    context_lines = [
        item
        for item in all_lines
        if first_ms <= item.store_ms <= last_ms and _is_context(item.line, workers)
    ]
    return sorted([*job_lines, *context_lines], key=lambda item: item.store_ms)


def format_timeline(timeline: list[TimelineLine]) -> list[str]:
    """Return one line of text per event, with the seconds since the first event."""
    if not timeline:
        return []
    start_ms = timeline[0].store_ms
    texts = []
    for store_ms, line in timeline:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        )
        seconds = (store_ms - start_ms) / MILLISECONDS_PER_SECOND
        texts.append(
            f"{seconds:9.3f} s  {line.vm:24} {line.event:24} {details}".rstrip()
        )
    return texts


def _is_about_job(line: LogLine, job: str) -> bool:
    task = str(line.fields.get("task", ""))
    return line.fields.get("job") == job or task.startswith(job + ".")


def _is_context(line: LogLine, workers: set[object]) -> bool:
    if line.event in CONTEXT_EVENTS:
        return True
    return line.event in WORKER_EVENTS and line.fields.get("worker") in workers
