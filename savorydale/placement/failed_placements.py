"""Record failed placements during a round, to skip tasks that demand as much or more.

On a full fleet thousands of tasks wait, and most of them demand at least as much as
one that has just failed to be placed.
"""

from typing import NamedTuple

from savorydale.jobs.model import StepSpec


class FailedPlacement(NamedTuple):
    """Demand and minimum speed of a task that no worker could take."""

    cpu_millicores: int
    memory_mb: int
    min_speed: float


class FailedPlacements:
    """Failed placements of one round, in which free capacity only shrinks."""

    def __init__(self) -> None:
        self._failed_by_group: dict[tuple[str, str], list[FailedPlacement]] = {}

    def add(
        self, service: str, spec: StepSpec, min_speed: float, fits_somewhere: bool
    ) -> None:
        """Record that no worker could take a task of a step.

        ``fits_somewhere`` tells whether the task fits on a worker, so that it may have
        failed because of constraints that other tasks do not have.
        """
        if spec.accelerators or fits_somewhere and _has_special_constraints(spec):
            return
        failed = FailedPlacement(spec.cpu_millicores, spec.memory_mb, min_speed)
        self._failed_by_group.setdefault(_group_key(service, spec), []).append(failed)

    def covers(self, service: str, spec: StepSpec, min_speed: float) -> bool:
        """Return whether a task that demands no more has failed already."""
        return any(
            failed.cpu_millicores <= spec.cpu_millicores
            and failed.memory_mb <= spec.memory_mb
            and failed.min_speed <= min_speed
            for failed in self._failed_by_group.get(_group_key(service, spec), ())
        )


def _has_special_constraints(spec: StepSpec) -> bool:
    """Return whether a step may fail because of constraints that others lack."""
    return bool(spec.gang or spec.required_label or spec.max_per_worker)


def _group_key(service: str, spec: StepSpec) -> tuple[str, str]:
    """Return the key of steps that compete for the same capacity, backfill by image."""
    return service, f"{spec.kind}/{spec.image if spec.backfill else ''}"
