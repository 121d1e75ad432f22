"""Decide which runs must move from a draining worker.

Services move as soon as they fit elsewhere, since they would be lost with the worker.
Tasks that can resume from a checkpoint move when they cannot end in time or, if the
remaining time is unknown, when they fit elsewhere. All others continue until they end.
"""

from savorydale.orders.runs import Run, RunState

MILLISECONDS_PER_SECOND = 1000
STOP_MARGIN_SECONDS = 1.0  # time to deliver the stop order and to stop the run
MIN_PROGRESS_PERCENT = 2.0  # below, progress is too imprecise to estimate the speed


def must_move(
    run: Run, seconds_left: float | None, now: float, fits_elsewhere: bool
) -> bool:
    """Return whether to stop a run on a draining worker now.

    ``seconds_left`` is the minimum time until the worker is removed, ``None`` if
    unknown. ``fits_elsewhere`` tells whether the run fits on another worker.
    """
    if run.stop_requested or run.state is not RunState.ACTIVE:
        return False
    if run.spec.long_running:
        return fits_elsewhere
    if not run.spec.checkpointing:
        return False
    if seconds_left is None:
        return fits_elsewhere
    return estimate_remaining_seconds(run, now) > seconds_left - STOP_MARGIN_SECONDS


def estimate_remaining_seconds(run: Run, now: float) -> float:
    """Return the remaining time of a run, extrapolated from its progress."""
    elapsed_seconds = now - run.confirmed_at
    # A run that resumes from a checkpoint begins with some progress.
    progress_since_start = run.progress_percent - (run.first_progress_percent or 0.0)
    if progress_since_start < MIN_PROGRESS_PERCENT:
        return max(
            0.0, run.spec.estimate_ms / MILLISECONDS_PER_SECOND - elapsed_seconds
        )
    return elapsed_seconds * (100.0 - run.progress_percent) / progress_since_start
