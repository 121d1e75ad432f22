"""Gives each waiting step a turn while planning rounds are cut off.

Under overload a round ends before it has considered all steps in the order of their
rank. The rest of the round then goes to the steps that were not considered for longest.
"""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import StepProgress, Task
from savorydale.queueing.order import PlacementRank
from savorydale.storage.rows import RowKey


class TurnKey(NamedTuple):
    """What is considered at a time: all tasks of a step, or one suspect of a crash.

    Tasks of one step are alike, but for the suspects: each may start on other workers.
    """

    step: RowKey
    suspect: TaskId | None


class WaitingTasks(NamedTuple):
    """Waiting tasks of one step that are placed together; see `TurnKey`.

    ``position`` is their place in the order of the ranks.
    """

    position: int
    rank: PlacementRank
    step: StepProgress
    tasks: list[Task]
    key: TurnKey

    @property
    def is_suspect(self) -> bool:
        """Return whether one of the tasks is a suspect of a crash."""
        return self.key.suspect is not None


class Turns:
    """Remembers when each waiting step was last considered, on the loop's clock."""

    def __init__(self) -> None:
        self._considered_at: dict[TurnKey, float] = {}

    def begin_round(self, keys: Iterable[TurnKey], now: float) -> None:
        """Forget what no longer waits; what is new has waited since now."""
        self._considered_at = {key: self._considered_at.get(key, now) for key in keys}

    def record(self, key: TurnKey, now: float) -> None:
        """Record that workers were looked for."""
        self._considered_at[key] = now

    def order(self, waiting: Iterable[WaitingTasks]) -> list[WaitingTasks]:
        """Return what was not considered for longest first.

        Services alternate with other steps, so that neither delay the others for good.
        """
        by_age = sorted(
            waiting, key=lambda each: (self._considered_at[each.key], each.position)
        )
        services = [each for each in by_age if each.step.spec.long_running]
        others = [each for each in by_age if not each.step.spec.long_running]
        pairs = itertools.zip_longest(services, others)
        return [each for pair in pairs for each in pair if each is not None]
