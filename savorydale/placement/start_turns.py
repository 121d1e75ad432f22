"""Let the suspects of coincident crashes start in turns.

Answers the load of several tasks that crash their workers and are started in the same
planning round: started together again, their crashes coincide again and again. The
suspects of one crash get a turn together, so a task that crashes its worker does so at
another moment than those of other crashes. If all of them run on, the coincident
crashes had another cause, and all other suspects start at once. Few tasks start apart
from each other in their turn (see `isolation`), which tells them apart as well.

No task waits for its turn longer than `MAX_WAIT_SECONDS`, however many there are.
"""

from collections.abc import Collection, Iterable, Mapping

from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import Task
from savorydale.placement.crash_history import COINCIDENCE_SECONDS
from savorydale.placement.isolation import MAX_HELD_RATIO

TURN_SECONDS = 1.5 * COINCIDENCE_SECONDS  # some crashes are noticed late
MAX_TURN_SECONDS = 3.0  # if its tasks start one after the other
MAX_WAIT_SECONDS = 4.0


class StartTurns:
    """Decides which suspects must not start in a planning round.

    All times are on the loop's clock.
    """

    def __init__(self) -> None:
        self.held: set[TaskId] = set()
        self._turn: frozenset[TaskId] = frozenset()
        self._max_small_count = 0
        self._turn_began_at = 0.0
        self._turn_ends_at = 0.0
        self._waits_since_by_task: dict[TaskId, float] = {}
        self._had_turn_at_by_task: dict[TaskId, float] = {}

    def begin_round(
        self,
        suspects: Mapping[TaskId, Task],
        not_yet: Collection[TaskId],
        groups: Iterable[set[TaskId]],
        worker_count: int,
        now: float,
    ) -> None:
        """Choose whose turn it is; ``groups`` are the suspects of each crash.

        Tasks in ``not_yet`` do not start at all: a crash under them is not judged yet,
        or their restart is delayed.
        """
        self._max_small_count = int(MAX_HELD_RATIO * worker_count)
        waiting = {
            name
            for name, task in suspects.items()
            if task.is_waiting
            and task.crashes.must_start_at_its_own_time
            and name not in not_yet
        }
        self._forget_others(waiting, suspects, now)
        if now >= self._turn_ends_at:
            self._begin_turn(_split(waiting, groups), now)
        self.held = {
            name
            for name in waiting
            if name not in self._turn
            and now - self._waits_since_by_task[name] < MAX_WAIT_SECONDS
        }
        self.held.update(not_yet)

    @property
    def small_turn(self) -> frozenset[TaskId]:
        """Return the tasks whose turn it is if each can have a worker of its own."""
        is_small = len(self._turn) <= self._max_small_count
        return self._turn if is_small else frozenset()

    def _forget_others(
        self, waiting: set[TaskId], suspects: Mapping[TaskId, Task], now: float
    ) -> None:
        self._waits_since_by_task = {
            name: self._waits_since_by_task.get(name, now) for name in waiting
        }
        self._had_turn_at_by_task = {
            name: had_turn_at
            for name, had_turn_at in self._had_turn_at_by_task.items()
            if name in suspects
        }

    def _begin_turn(self, groups: list[set[TaskId]], now: float) -> None:
        """Give the next turn to the first of the groups that have waited longest."""
        self._turn = frozenset(min(groups, key=self._had_turn_at, default=()))
        self._turn_began_at = now
        self._turn_ends_at = now + TURN_SECONDS if self._turn else now
        for name in self._turn:
            self._had_turn_at_by_task[name] = now

    def _had_turn_at(self, group: set[TaskId]) -> float:
        return max(self._had_turn_at_by_task.get(name, 0.0) for name in group)

    def record_start(self, task: TaskId, now: float) -> None:
        """Record that a task starts; the turn lasts some time after that."""
        if task in self._turn:
            latest_at = self._turn_began_at + MAX_TURN_SECONDS
            self._turn_ends_at = max(
                self._turn_ends_at, min(latest_at, now + TURN_SECONDS)
            )


def _split(waiting: set[TaskId], groups: Iterable[set[TaskId]]) -> list[set[TaskId]]:
    """Return the groups of waiting tasks; one that is in no group is its own."""
    remaining = set(waiting)
    parts = []
    for group in groups:
        part = group & remaining
        if part:
            parts.append(part)
            remaining -= part
    return parts + [{name} for name in sorted(remaining)]
