"""Scores the workers for each step of a planning round.

Scoring all workers of a large fleet takes long, so the replicas of a service, which are
placed in turns with those of other services, share the scores during a round.
"""

from typing import NamedTuple

from savorydale.jobs.progress import StepProgress
from savorydale.placement.choice import Candidate, PlacementContext, WorkerChooser
from savorydale.scheduler.fleet import Fleet
from savorydale.scheduler.state import SchedulerState
from savorydale.storage.rows import RowKey


class ScoredFleet(NamedTuple):
    """The scores of the workers of ``fleet`` on which a task of a step may start."""

    fleet: Fleet
    candidates: list[Candidate]
    context: PlacementContext
    chooser: WorkerChooser


class WorkerScores:
    """The scores of one planning round."""

    def __init__(self, state: SchedulerState):
        self._state = state
        self._scored_by_service: dict[RowKey, ScoredFleet] = {}

    def clear(self) -> None:
        """Forget all scores, at the end of a round."""
        self._scored_by_service.clear()

    def score(
        self, step: StepProgress, fleet: Fleet, min_speed: float
    ) -> ScoredFleet | None:
        """Score the workers for a step, if it fits on any.

        The replicas of a service share the scores during a round.
        """
        if not step.spec.long_running:
            return self.score_anew(step, fleet, min_speed)
        scored = self._scored_by_service.get(step.key)
        # A list of open workers is made anew each time, from the round's candidates.
        if (
            scored is None
            or scored.fleet.candidates != fleet.candidates
            or scored.context.service_headroom != self._service_headroom(step, fleet)
        ):
            scored = self.score_anew(step, fleet, min_speed)
            if scored is not None:
                self._scored_by_service[step.key] = scored
            return scored
        changed = scored.chooser.find_changed()
        scored.context.similarity_by_worker.update(self._similarities(step, changed))
        scored.context.count_by_worker.clear()
        scored.context.count_by_worker.update(step.count_by_worker())
        scored.chooser.refresh()
        return scored

    def score_anew(
        self, step: StepProgress, fleet: Fleet, min_speed: float
    ) -> ScoredFleet | None:
        """Score the workers for a step, if it fits on any."""
        candidates = fleet.usable_for(step.spec, step.count_by_worker())
        if not candidates:
            return None
        context = self._placement_context(step, fleet, candidates, min_speed)
        chooser = WorkerChooser(step, candidates, context)
        return ScoredFleet(fleet, candidates, context, chooser)

    def _placement_context(
        self,
        step: StepProgress,
        fleet: Fleet,
        candidates: list[Candidate],
        min_speed: float,
    ) -> PlacementContext:
        return PlacementContext(
            step.count_by_worker(),
            self._speeds(step, candidates),
            self._similarities(step, candidates),
            min_speed,
            self._service_headroom(step, fleet),
            fleet.is_full,
        )

    def record_placement(
        self, scored: ScoredFleet, step: StepProgress, candidate: Candidate
    ) -> None:
        """Score the worker again that a task of the step was given last."""
        context, worker = scored.context, candidate.worker
        context.count_by_worker[worker] += 1
        if step.spec.backfill:
            link = self._state.link_by_worker[worker]
            self._state.colocation.record_placement(link, step.spec)
        context.speed_by_worker.update(self._speeds(step, [candidate]))
        context.similarity_by_worker.update(self._similarities(step, [candidate]))
        scored.chooser.record_placement()

    def _service_headroom(self, step: StepProgress, fleet: Fleet) -> float:
        """Return the capacity to keep free beside a service, 0 if there is plenty."""
        if not step.spec.long_running or fleet.has_ample_capacity_for(step.spec):
            return 0.0
        return self._state.batch_demand.headroom_per_worker(len(fleet.all_candidates))

    def _speeds(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> dict[str, float]:
        """Return the speed at which the step's backfill may run on each worker."""
        if not step.spec.backfill:
            return {}
        return {
            candidate.worker: self._state.colocation.speed_of(
                self._state.link_by_worker[candidate.worker], step.spec
            )
            for candidate in candidates
        }

    def _similarities(
        self, step: StepProgress, candidates: list[Candidate]
    ) -> dict[str, float]:
        """Return the similarity of the services on each worker to the step's tasks."""
        if not step.spec.long_running:
            return {}
        return {
            candidate.worker: self._state.colocation.similarity_of(
                self._state.link_by_worker[candidate.worker], step.spec
            )
            for candidate in candidates
        }
