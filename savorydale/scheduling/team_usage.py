"""Processors allocated to each team, for its quota and its fair share."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol

from savorydale.scheduling.tasks import Task


class HasTask(Protocol):
    """An item that holds a waiting task."""

    task: Task


class StartOrder(NamedTuple):
    """Sort key of a waiting task; lower keys start first."""

    is_not_urgent: bool
    is_job: bool
    processors: float
    position: int


class TeamUsage:
    """Processors allocated to teams.

    Parameters
    ----------
    tasks : iterable of Task
        Tasks that run or have been assigned to a rack.
    """

    def __init__(self, tasks: Iterable[Task]):
        self._processors_by_team: dict[str, float] = {}
        for task in tasks:
            self.add(task)

    def add(self, task: Task) -> None:
        """Add a task's processors to its team."""
        used = self._processors_by_team.get(task.team, 0.0)
        self._processors_by_team[task.team] = used + task.demand.processors

    def fits_quota(self, task: Task, quota: float | None) -> bool:
        """Return whether the team stays within its processor quota with the task."""
        if quota is None:
            return True
        used = self._processors_by_team.get(task.team, 0.0)
        return used + task.demand.processors <= quota

    def in_start_order(self, waiting: Iterable[HasTask]) -> Iterator[HasTask]:
        """Yield waiting items: urgent first, then services, then by fair share.

        A task is ranked by the processors that its team would have with it and all
        its earlier tasks, so that a team with a long queue does not delay the others.
        """
        projected_by_team = dict(self._processors_by_team)
        keyed_items = []
        for position, item in enumerate(waiting):
            task = item.task
            used = projected_by_team.get(task.team, 0.0)
            projected_by_team[task.team] = used + task.demand.processors
            is_job = task.kind == "job"
            order = StartOrder(
                not task.urgent, is_job, projected_by_team[task.team], position
            )
            keyed_items.append((order, item))
        for _, item in sorted(keyed_items, key=lambda pair: pair[0]):
            yield item
