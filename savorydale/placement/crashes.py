"""Decide which runs may have crashed their worker, and when a task is given up.

Answers the load of tasks that crash each worker that starts them, soon after the start:
each crash ends all that runs on the worker. A run is on probation until its worker has
shown it active for some time. The runs that are on probation when a worker crashes are
the suspects. Most of them are innocent, so a task starts apart from others only after a
crash of which it was the only suspect, or after its second: the next one is attributed
to it, or it is cleared. A task is given up when enough of its crashes are attributed.
"""

from collections.abc import Iterable
from typing import NamedTuple

from savorydale.orders.runs import Run, RunState

PROBATION_SECONDS = 1.0
MIN_CRASHES_TO_ISOLATE = 2
MAX_ATTRIBUTED_CRASHES = 2
MAX_CRASHES = 4  # in all, for tasks that are never the only suspect


class CrashCounts(NamedTuple):
    """How many workers crashed with a task among the suspects.

    ``attributed`` counts those crashes of which it was the only suspect.
    ``last_counted_run`` keeps a new lease holder from counting a run again.
    """

    suspected: int = 0
    attributed: int = 0
    last_counted_run: int = 0

    @property
    def is_suspect(self) -> bool:
        """Return whether the task was among the suspects of a crash."""
        return self.suspected > 0

    @property
    def must_be_isolated(self) -> bool:
        """Return whether the task must be started apart from others."""
        return self.attributed > 0 or self.suspected >= MIN_CRASHES_TO_ISOLATE

    @property
    def is_given_up(self) -> bool:
        """Return whether the task must not be started again."""
        return (
            self.attributed >= MAX_ATTRIBUTED_CRASHES or self.suspected >= MAX_CRASHES
        )

    def add_crash(self, run: int, is_attributed: bool) -> "CrashCounts":
        """Return the counts after one more crash."""
        return CrashCounts(self.suspected + 1, self.attributed + is_attributed, run)


NO_CRASHES = CrashCounts()


def has_passed_probation(run: Run, listed_at: float) -> bool:
    """Return whether a run is cleared by a list that shows it as active.

    ``listed_at`` is when the list was requested, on the loop's clock.
    """
    if run.state is not RunState.ACTIVE:
        return False
    return listed_at - run.confirmed_at >= PROBATION_SECONDS


def seconds_to_clearance(runs: Iterable[Run], now: float) -> float | None:
    """Return when the next list may clear an isolated run, ``None`` if there is none.

    Isolated runs hold up others, so the list is requested as soon as it may clear one.
    """
    ends_at = [
        run.confirmed_at + PROBATION_SECONDS
        for run in runs
        if run.is_isolated and not run.passed_probation and run.state is RunState.ACTIVE
    ]
    return max(0.0, min(ends_at) - now) if ends_at else None


def find_suspects(runs: Iterable[Run]) -> list[Run]:
    """Return the runs of a crashed worker that may have caused the crash."""
    return [run for run in runs if _is_suspect(run)]


def _is_suspect(run: Run) -> bool:
    if run.passed_probation or run.was_suspected:
        return False  # a run was on the worker during one crash at most
    return run.start_sent_at is not None
