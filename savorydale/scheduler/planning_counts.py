"""Counts what planning rounds did since the last report, and why tasks still wait.

A waiting task was either not reached before its round ran out of time, or it was
considered and no worker could take it. The counts distinguish the two.
"""

import collections
import dataclasses
from collections.abc import Sequence
from enum import StrEnum

from savorydale.jobs.model import StepSpec
from savorydale.placement.choice import Candidate


class WaitReason(StrEnum):
    """Why a task that was considered found no worker."""

    NO_CAPACITY = "no_room"
    TOO_SLOW = "too_slow"  # it fits, but would be throttled to protect services


@dataclasses.dataclass(slots=True)
class PlanningCounts:
    """Counts of one report interval; ``seconds`` is the time spent on planning.

    ``steps_not_reached`` sums up the steps that each round left out because its time
    was over. ``steps_refused`` counts the steps of which a task found no worker, by the
    kind of their tasks and the reason.
    """

    rounds: int = 0
    cut_rounds: int = 0
    seconds: float = 0.0
    steps_waiting: int = 0
    steps_not_reached: int = 0
    tasks_placed: int = 0
    steps_refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def count_refusal(self, spec: StepSpec, candidates: Sequence[Candidate]) -> None:
        """Count a step of which a task found no worker."""
        reason = WaitReason.NO_CAPACITY
        if spec.backfill and any(candidate.load.fits(spec) for candidate in candidates):
            reason = WaitReason.TOO_SLOW
        self.steps_refused[f"{spec.kind}.{reason}"] += 1

    def to_fields(self) -> dict[str, object]:
        """Return the counts as fields of a log line."""
        fields = {
            field.name: getattr(self, field.name) for field in dataclasses.fields(self)
        }
        fields["seconds"] = round(self.seconds, 3)
        fields["steps_refused"] = dict(self.steps_refused)
        return fields
