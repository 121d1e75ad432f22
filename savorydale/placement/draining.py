"""Which runs must leave a worker that is about to go.

Answers planned departures: services move at once, since they would be lost with the
worker; tasks that resume from a checkpoint move when they cannot end in time; all
others are left to end.
"""

from savorydale.orders.runs import Run, RunState

MILLISECONDS = 1000
SAFETY_SECONDS = 1.0  # a stop, and the order for it, must still fit in
MIN_PROGRESS_PERCENT = 2.0  # below, progress says too little about the speed


def must_leave(
    run: Run, seconds_left: float | None, now: float, has_place: bool
) -> bool:
    """Return whether to stop a run on a leaving worker now.

    ``seconds_left`` is the shortest time until the worker goes, ``None`` if unknown.
    ``has_place`` tells whether another worker has room for the run.
    """
    if run.stop_requested or run.state is not RunState.ACTIVE:
        return False
    if run.spec.long_running:
        return has_place
    if not run.spec.checkpointing:
        return False
    if seconds_left is None:
        return has_place
    return estimate_seconds_to_end(run, now) > seconds_left - SAFETY_SECONDS


def estimate_seconds_to_end(run: Run, now: float) -> float:
    """Return how long a run will still work, judged by its progress so far."""
    elapsed = now - run.confirmed_at
    # A run that was resumed from a checkpoint begins with some progress.
    gained = run.progress_percent - (run.first_progress_percent or 0.0)
    if gained < MIN_PROGRESS_PERCENT:
        return max(0.0, run.spec.estimate_ms / MILLISECONDS - elapsed)
    return elapsed * (100.0 - run.progress_percent) / gained
