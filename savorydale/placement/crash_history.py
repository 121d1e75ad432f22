"""Decide what each of the latest crashes of workers says about its suspects.

Answers the load of racks and whole services that go down at the same moment, beside
tasks that crash their workers: a crash is held against a task only as far as nothing
else explains it.

Workers that crash within `COINCIDENCE_SECONDS` may have one cause. It is certain if one
of them had no suspect, or if all suspects of one of them have been cleared since, and
many of the workers crashed: then none of these crashes counts. If few did, each may as
well be chance, so a task under which workers crash like that again and again is given
up as after coincident crashes. Until then they may have several culprits, which
were started in the same planning round, so the suspects' next starts are spread in time
(see `start_turns`): those of culprits then crash one at a time.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable
from enum import StrEnum

from savorydale.jobs.model import TaskId
from savorydale.placement.crashes import NO_EVIDENCE, CrashEvidence

COINCIDENCE_SECONDS = 0.5  # between notices of crashes that may have one cause
MAX_FEW_RATIO = 0.5  # of the workers; more hardly crash together by chance
RECENT_SECONDS = 30.0  # a crash without a cause tells so long that workers crash
HISTORY_SECONDS = 60.0
MAX_RESTORED_GROUPS = 20  # of suspects; clearing one looks at all of them


class CrashVerdict(StrEnum):
    """What a crash says about its suspects."""

    UNJUDGED = "unjudged"  # other workers' crashes may not be noticed yet
    ONLY_SUSPECT = "only_suspect"  # attributed to it
    SEVERAL_SUSPECTS = "several_suspects"
    SAME_WORKER = "same_worker"  # the worker has crashed under the task before
    BESIDE_FEW = "beside_few"  # it had started at its own time; few others crashed
    AFTER_SILENCE = "after_silence"  # the worker may have crashed long before
    RECENT_CRASHES = "recent_crashes"  # workers have crashed without suspects lately
    COINCIDENT = "coincident"  # other workers with suspects crashed too
    OTHER_CAUSE = "other_cause"  # a worker without suspects crashed too, and many more
    OTHER_CAUSE_OF_FEW = "other_cause_of_few"  # so did one, but only few workers did
    NO_SUSPECT = "no_suspect"


_EXPLAINED = frozenset((CrashVerdict.OTHER_CAUSE, CrashVerdict.OTHER_CAUSE_OF_FEW))


@dataclasses.dataclass(slots=True, eq=False)
class Crash:
    """A crash of one worker; ``noticed_at`` is on the loop's clock.

    ``suspects`` are the tasks that may have caused it and have not been cleared since.
    ``run_by_task`` are those of them against which it counts, ``is_alone`` tells
    whether there was one suspect, and ``is_at_its_own_time`` whether one was started at
    another time than other suspects. ``worker_count`` is how many workers there were.
    ``worker`` is empty if an earlier lease holder noticed the crash.
    """

    worker: str
    noticed_at: float
    suspects: set[TaskId]
    run_by_task: dict[TaskId, int]
    is_alone: bool = False
    is_after_silence: bool = False
    is_at_its_own_time: bool = False
    worker_count: int = 0
    verdict: CrashVerdict = CrashVerdict.UNJUDGED

    @property
    def is_attributed(self) -> bool:
        """Return whether the crash is attributed to its only suspect."""
        return self.verdict is CrashVerdict.ONLY_SUSPECT

    @property
    def is_explained(self) -> bool:
        """Return whether it had another cause, whatever else is cleared later."""
        return self.verdict in _EXPLAINED

    @property
    def evidence(self) -> CrashEvidence:
        """Return how the crash counts against each of its suspects."""
        match self.verdict:
            case CrashVerdict.NO_SUSPECT:
                return NO_EVIDENCE
            case CrashVerdict.OTHER_CAUSE:
                return CrashEvidence(explained=1)
            case CrashVerdict.OTHER_CAUSE_OF_FEW | CrashVerdict.BESIDE_FEW:
                return CrashEvidence(coincident=1)
            case CrashVerdict.COINCIDENT | CrashVerdict.UNJUDGED:
                return CrashEvidence(coincident=1, coincident_alone=int(self.is_alone))
            case _:
                return CrashEvidence(suspected=1, attributed=int(self.is_attributed))


class CrashHistory:
    """The crashes of the last `HISTORY_SECONDS`, the oldest first."""

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        self._crashes_by_task: dict[TaskId, list[Crash]] = {}

    def add(self, crash: Crash) -> None:
        """Add the latest crash, and forget old ones."""
        earliest_at = crash.noticed_at - HISTORY_SECONDS
        if self._crashes and self._crashes[0].noticed_at < earliest_at:
            self._forget_before(earliest_at)
        self._crashes.append(crash)
        for task in crash.suspects:
            self._crashes_by_task.setdefault(task, []).append(crash)

    def _forget_before(self, earliest_at: float) -> None:
        self._crashes = [c for c in self._crashes if c.noticed_at >= earliest_at]
        self._crashes_by_task = {}
        for crash in self._crashes:
            for task in crash.suspects:
                self._crashes_by_task.setdefault(task, []).append(crash)

    def restore(self, tasks: Iterable[TaskId], now: float) -> None:
        """Add coincident crashes for the suspects that a predecessor counted.

        Which of them belong together is not stored, so they count as one event: the
        first task that is cleared withdraws one crash from all others.
        """
        noticed_at = now - 2 * COINCIDENCE_SECONDS  # apart from those noticed from now
        remaining = iter(tasks)
        groups = [{task} for task in itertools.islice(remaining, MAX_RESTORED_GROUPS)]
        for group in [*groups, set(remaining)]:
            if not group:
                continue
            run_by_task = dict.fromkeys(group, 0)
            crash = Crash("", noticed_at, group, run_by_task, is_alone=True)
            crash.verdict = CrashVerdict.COINCIDENT
            self.add(crash)

    def beside(self, crash: Crash) -> list[Crash]:
        """Return the crashes of other workers at the same moment."""
        return [
            other
            for other in self._crashes
            if other is not crash
            and (other.worker != crash.worker or not crash.worker)
            and abs(other.noticed_at - crash.noticed_at) <= COINCIDENCE_SECONDS
        ]

    def due(self, now: float) -> list[Crash]:
        """Return the crashes that can be judged now, as no more can be beside them."""
        return [
            crash
            for crash in self._crashes
            if crash.verdict is CrashVerdict.UNJUDGED
            and now - crash.noticed_at > COINCIDENCE_SECONDS
        ]

    def judge(self, crash: Crash) -> CrashVerdict:
        """Return what a crash says about its suspects, by what is known now."""
        if not crash.run_by_task:
            return CrashVerdict.NO_SUSPECT
        beside = self.beside(crash)
        if any(not other.suspects for other in beside):
            are_few = len(beside) < MAX_FEW_RATIO * crash.worker_count
            return _other_cause(are_few)
        if beside:
            few = MAX_FEW_RATIO * crash.worker_count
            is_beside_few = crash.is_at_its_own_time and len(beside) + 1 < few
            return CrashVerdict.BESIDE_FEW if is_beside_few else CrashVerdict.COINCIDENT
        if not crash.is_alone:
            return CrashVerdict.SEVERAL_SUSPECTS
        if self._is_same_worker(crash):
            return CrashVerdict.SAME_WORKER
        if crash.is_after_silence:
            return CrashVerdict.AFTER_SILENCE
        if self._has_recent_crash_without_suspects(crash):
            return CrashVerdict.RECENT_CRASHES
        return CrashVerdict.ONLY_SUSPECT

    def _is_same_worker(self, crash: Crash) -> bool:
        return any(
            other.is_attributed and other.worker == crash.worker
            for task in crash.run_by_task
            for other in self.of_task(task)
        )

    def _has_recent_crash_without_suspects(self, crash: Crash) -> bool:
        return any(
            not other.suspects
            and other.worker != crash.worker
            and crash.noticed_at - RECENT_SECONDS < other.noticed_at < crash.noticed_at
            for other in self._crashes
        )

    def clear(self, task: TaskId) -> list[Crash]:
        """Record that a task has not crashed its worker after all.

        Returns the crashes that may have to be judged again: those at the same moment
        as one that has no more suspects.
        """
        affected: list[Crash] = []
        for crash in self._crashes_by_task.pop(task, ()):
            crash.suspects.discard(task)
            crash.run_by_task.pop(task, None)
            if not crash.suspects:
                affected += self._judged_open_beside(crash)
        return affected

    def _judged_open_beside(self, crash: Crash) -> list[Crash]:
        """Return the judged crashes beside one that its clearance may explain."""
        return [
            other
            for other in self.judged_beside(crash)
            if other.run_by_task and not other.is_explained
        ]

    def judged_beside(self, crash: Crash) -> list[Crash]:
        """Return the crashes at the same moment as another that are judged already."""
        return [
            other
            for other in self.beside(crash)
            if other.verdict is not CrashVerdict.UNJUDGED
        ]

    def unjudged_tasks(self) -> set[TaskId]:
        """Return the tasks that wait for the verdict on a crash."""
        return {
            task
            for crash in self._crashes
            if crash.verdict is CrashVerdict.UNJUDGED
            for task in crash.run_by_task
        }

    def coincident_groups(self) -> list[set[TaskId]]:
        """Return the suspects of each coincident crash, the fewest first.

        If all of a group start and none crashes, the crashes had another cause.
        """
        groups = [
            crash.suspects
            for crash in self._crashes
            if crash.verdict is CrashVerdict.COINCIDENT and crash.suspects
        ]
        return sorted(groups, key=len)

    def latest_crash_at(self, task: TaskId) -> float:
        """Return when the latest crash under a task was noticed.

        It is minus infinity if this lease holder has noticed none.
        """
        crashes = self._crashes_by_task.get(task, ())
        noticed_at = [crash.noticed_at for crash in crashes if crash.worker]
        return max(noticed_at, default=-math.inf)

    def of_task(self, task: TaskId) -> list[Crash]:
        """Return the crashes that count against a task."""
        return [crash for crash in self._crashes if task in crash.run_by_task]


def _other_cause(are_few: bool) -> CrashVerdict:
    return CrashVerdict.OTHER_CAUSE_OF_FEW if are_few else CrashVerdict.OTHER_CAUSE
