"""Gives each waiting step a turn while planning rounds are cut off.

Under overload a round ends before it has considered all steps in the order of their
rank. The rest of the round then goes to the steps that were not considered for longest.
"""

import collections
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from savorydale.jobs.model import TaskId
from savorydale.jobs.progress import StepProgress, Task

# What is considered at a time: all tasks of a step, or one suspect of a crash. Tasks of
# one step are alike, but for the suspects: each may start on other workers.
TurnKey = StepProgress | TaskId


class WaitingTasks(NamedTuple):
    """Waiting tasks of one step that are placed together; see `TurnKey`.

    ``position`` is their place in the order of the ranks. ``misses_cutoff`` tells
    whether their job ends too late in any case; see `PlacementRank`.
    """

    position: int
    step: StepProgress
    tasks: list[Task]
    key: TurnKey
    is_suspect: bool
    misses_cutoff: bool


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

    def order(
        self,
        waiting: Iterable[WaitingTasks],
        has_capacity: Callable[[StepProgress], bool],
    ) -> list[WaitingTasks]:
        """Return what was not considered for longest first, of each kind in turn.

        The kinds are services and other steps, and of these, those of which several
        tasks fit come before the rest. So none delays the others for good. Jobs that
        miss their cutoff are the last kind if several of their tasks fit; without ample
        capacity they come after all others, as they do by their rank.
        ``has_capacity`` tells whether several tasks of a step fit on the workers.
        """
        by_age = sorted(
            waiting, key=lambda each: (self._considered_at[each.key], each.position)
        )
        by_kind: dict[tuple[bool, bool, bool], list[WaitingTasks]] = (
            collections.defaultdict(list)
        )
        for each in by_age:
            is_tight = not has_capacity(each.step)
            kind = each.misses_cutoff, is_tight, not each.step.spec.long_running
            by_kind[kind].append(each)
        left_out = by_kind.pop((True, True, True), [])
        return [*_alternate([by_kind[kind] for kind in sorted(by_kind)]), *left_out]


def _alternate(lists: Sequence[list[WaitingTasks]]) -> list[WaitingTasks]:
    rows = itertools.zip_longest(*lists)
    return [each for row in rows for each in row if each is not None]
