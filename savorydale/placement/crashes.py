"""Decide which runs may have crashed their worker, and when a task is given up.

Answers the load of tasks that crash each worker that starts them, soon after the start:
each crash ends all that runs on the worker. A run is on probation until its worker has
shown it active for some time. The runs that are on probation when a worker crashes are
the suspects. Most of them are innocent, so a task starts apart from others only after a
crash of which it was the only suspect, or after its second: the next one is attributed
to it, or it is cleared. A task is given up when enough of its crashes are attributed,
unless it is long-running (see `restart_delays`). Crashes that other causes explain do
not count (see `crash_history`).
"""

from collections.abc import Iterable
from typing import NamedTuple

from savorydale.orders.runs import Run, RunState

PROBATION_SECONDS = 1.0
MIN_CRASHES_TO_ISOLATE = 2
MIN_COINCIDENT_CRASHES_TO_ISOLATE = 3
MIN_CRASHES_TO_START_APART = 2
MAX_ATTRIBUTED_CRASHES = 2
MAX_CRASHES = 4  # in all, if one of them did not coincide with others
MAX_COINCIDENT_CRASHES = 5  # a task that crashes its workers may start five times
MIN_CRASHES_BESIDE_EXPLAINED = 2  # for these to count; any task may be hit often


class CrashEvidence(NamedTuple):
    """How one crash counts against one of its suspects; see `CrashCounts`."""

    suspected: int = 0
    attributed: int = 0
    coincident: int = 0
    coincident_alone: int = 0
    explained: int = 0


NO_EVIDENCE = CrashEvidence()


class CrashCounts(NamedTuple):
    """How many workers crashed with a task among the suspects.

    ``suspected`` counts the crashes that did not coincide with those of other workers,
    and ``attributed`` those of them that nothing but the task explains.
    ``last_counted_run`` keeps a new lease holder from counting a run again.
    ``coincident`` counts the crashes that may have a common cause with others, and
    ``coincident_alone`` those of them of which the task was the only suspect.
    ``explained`` counts those that certainly had another cause; they only matter
    beside others, as a task that crashes its workers may as well be hit by them.
    """

    suspected: int = 0
    attributed: int = 0
    last_counted_run: int = 0
    coincident: int = 0
    coincident_alone: int = 0
    explained: int = 0

    @property
    def is_suspect(self) -> bool:
        """Return whether the task was among the suspects of a crash."""
        return self.total + self.explained > 0

    @property
    def must_be_isolated(self) -> bool:
        """Return whether the task must be started apart from others."""
        return (
            self.attributed > 0
            or self.coincident_alone > 0
            or (
                self.suspected > 0
                and self.total + self.explained >= MIN_CRASHES_TO_ISOLATE
            )
            or self.total >= MIN_COINCIDENT_CRASHES_TO_ISOLATE
        )

    @property
    def must_start_at_its_own_time(self) -> bool:
        """Return whether the next start must not be at the same time as a suspect's.

        Otherwise, its crash might coincide with theirs once more.
        """
        return (
            self.attributed > 0
            or self.coincident_alone > 0
            or (self.coincident > 0 and self.total >= MIN_CRASHES_TO_START_APART)
        )

    @property
    def is_given_up(self) -> bool:
        """Return whether the task must not be started again.

        A long-running task is started again later; see `restart_delays`.
        """
        if self.suspected == 0:
            return self.coincident >= MAX_COINCIDENT_CRASHES
        alone = self.attributed + self.coincident_alone
        if self.attributed > 0 and alone >= MAX_ATTRIBUTED_CRASHES:
            return True
        if self.total < MIN_CRASHES_BESIDE_EXPLAINED:
            return False
        return self.total + self.explained >= MAX_CRASHES

    @property
    def total(self) -> int:
        """Return how many crashes may count against the task."""
        return self.suspected + self.coincident

    def add_crash(self, run: int, is_attributed: bool) -> "CrashCounts":
        """Return the counts after one more crash."""
        return self._replace(
            suspected=self.suspected + 1,
            attributed=self.attributed + is_attributed,
            last_counted_run=run,
        )

    def replace_evidence(
        self, earlier: CrashEvidence, evidence: CrashEvidence
    ) -> "CrashCounts":
        """Return the counts after a crash that was counted before was judged again."""
        return self._replace(
            **{
                name: max(0, getattr(self, name) + later - before)
                for name, before, later in zip(
                    CrashEvidence._fields, earlier, evidence, strict=True
                )
            }
        )


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
