"""Remember the latest crashes of workers, and which of them belong together.

Answers the load of racks and whole services that go down at the same moment, beside
tasks that crash their workers. A few crashes a second are remembered for a minute.
"""

import dataclasses
from enum import StrEnum

from savorydale.jobs.model import TaskId

COINCIDENCE_SECONDS = 0.5  # between notices of crashes that happened together
HISTORY_SECONDS = 60.0


class CrashVerdict(StrEnum):
    """What a crash says about its suspects."""

    ONLY_SUSPECT = "only_suspect"  # attributed to it
    SEVERAL_SUSPECTS = "several_suspects"
    NO_SUSPECT = "no_suspect"


@dataclasses.dataclass(slots=True, eq=False)
class Crash:
    """A crash of one worker; ``noticed_at`` is on the loop's clock."""

    worker: str
    noticed_at: float
    suspects: frozenset[TaskId]

    @property
    def verdict(self) -> CrashVerdict:
        """Return what the crash says about its suspects."""
        if not self.suspects:
            return CrashVerdict.NO_SUSPECT
        if len(self.suspects) == 1:
            return CrashVerdict.ONLY_SUSPECT
        return CrashVerdict.SEVERAL_SUSPECTS


class CrashHistory:
    """The crashes of the last `HISTORY_SECONDS`, the oldest first."""

    def __init__(self) -> None:
        self._crashes: list[Crash] = []

    def add(self, crash: Crash) -> None:
        """Add the latest crash, and forget old ones."""
        earliest_at = crash.noticed_at - HISTORY_SECONDS
        self._crashes = [c for c in self._crashes if c.noticed_at >= earliest_at]
        self._crashes.append(crash)

    def beside(self, crash: Crash) -> list[Crash]:
        """Return the crashes of other workers at the same moment."""
        return [
            other
            for other in self._crashes
            if other.worker != crash.worker
            and abs(other.noticed_at - crash.noticed_at) <= COINCIDENCE_SECONDS
        ]

    def of_task(self, task: TaskId) -> list[Crash]:
        """Return the crashes of which a task was a suspect."""
        return [crash for crash in self._crashes if task in crash.suspects]
