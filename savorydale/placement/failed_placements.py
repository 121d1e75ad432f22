"""Remember, while tasks are placed, what found no room, to ask for no more than that.

Answers full fleets: thousands of tasks wait, and most of them need at least as much as
one that was refused a moment ago.
"""

from typing import NamedTuple

from savorydale.jobs.model import StepSpec


class Refusal(NamedTuple):
    """Size of a task that found no worker, and the speed that it asked for."""

    cpu_millicores: int
    memory_mb: int
    least_speed: float


class FailedPlacements:
    """Refusals of one round of placement; room is only taken during a round."""

    def __init__(self) -> None:
        self._refusals_by_load: dict[tuple[str, str], list[Refusal]] = {}

    def add(
        self, service: str, spec: StepSpec, least_speed: float, fits_somewhere: bool
    ) -> None:
        """Note that a task of a step found no worker.

        ``fits_somewhere`` tells whether a worker has room for the task, so that it may
        have been refused for what others do not ask for.
        """
        if spec.accelerators or fits_somewhere and _has_own_limits(spec):
            return
        refusal = Refusal(spec.cpu_millicores, spec.memory_mb, least_speed)
        self._refusals_by_load.setdefault(_load_of(service, spec), []).append(refusal)

    def covers(self, service: str, spec: StepSpec, least_speed: float) -> bool:
        """Return whether a task that asks for no more has found no worker."""
        return any(
            refusal.cpu_millicores <= spec.cpu_millicores
            and refusal.memory_mb <= spec.memory_mb
            and refusal.least_speed <= least_speed
            for refusal in self._refusals_by_load.get(_load_of(service, spec), ())
        )


def _has_own_limits(spec: StepSpec) -> bool:
    """Return whether a step may be refused for what others do not ask for."""
    return bool(spec.gang or spec.required_label or spec.max_per_worker)


def _load_of(service: str, spec: StepSpec) -> tuple[str, str]:
    """Return which steps compete for the same room: backfill does by image."""
    return service, f"{spec.kind}/{spec.image if spec.backfill else ''}"
