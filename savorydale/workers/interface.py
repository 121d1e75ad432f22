"""Commands to workers and their reports, independent of the transport."""

from typing import Literal, NamedTuple, Protocol


class Demand(NamedTuple):
    """Resources that a task requests."""

    processors: float
    memory_gb: float
    accelerators: int


class StartTask(NamedTuple):
    """Command to run a task.

    ``attempt`` and ``epoch`` are fencing tokens: the worker refuses older ones.
    The lease ends ``lease_seconds`` after ``granted_from`` on the worker's clock.
    ``pace`` is the fraction of full speed at which the task starts.
    """

    task: str
    kind: Literal["service", "job"]
    name: str
    attempt: int
    rack: str
    epoch: int
    demand: Demand
    run_seconds: float
    checkpoint: str | None
    granted_from: float
    lease_seconds: float
    pace: float = 1.0


class StopTask(NamedTuple):
    """Command to stop a task after writing a checkpoint."""

    task: str
    attempt: int
    rack: str
    epoch: int


class ThrottleTask(NamedTuple):
    """Command to run a task at ``pace``, a fraction of its full speed from 0 to 1."""

    task: str
    attempt: int
    rack: str
    epoch: int
    pace: float


class WorkerHeartbeat(NamedTuple):
    """Command to renew the leases of the tasks that the owner knows.

    ``granted_from`` is the worker's clock in the last report that the owner received,
    so a delayed heartbeat does not extend a lease beyond what the owner expects.
    """

    rack: str
    epoch: int
    lease_seconds: float
    granted_from: float | None
    attempt_by_task: dict[str, int]


class TaskReport(NamedTuple):
    """State of one task on a worker.

    ``processors_used`` lags behind, and is None if it is not known.
    """

    attempt: int
    state: Literal["running", "done", "failed", "stopped", "lapsed"]
    progress: float
    checkpoint: str | None
    reason: str = ""
    pace: float = 1.0
    processors_used: float | None = None


class WorkerReport(NamedTuple):
    """Response to a heartbeat; ``clock`` is the worker's own clock in seconds."""

    clock: float
    report_by_task: dict[str, TaskReport]


class WorkerClient(Protocol):
    """Sends commands to workers, which are addressed by ``host:port``.

    Every method raises `WorkerUnreachableError` if the command did not arrive,
    `WorkerRefusedError` if the worker refused it, and `WorkerOutcomeUnknownError`
    if the response was lost.
    """

    async def heartbeat(self, address: str, heartbeat: WorkerHeartbeat) -> WorkerReport:
        """Renew leases and return the state of the worker's tasks."""

    async def start(self, address: str, command: StartTask) -> None:
        """Start a task; repeating the command for the same attempt is idempotent."""

    async def stop(self, address: str, command: StopTask) -> TaskReport:
        """Stop a task and return its last state."""

    async def throttle(self, address: str, command: ThrottleTask) -> TaskReport:
        """Change the speed of a task and return its state."""

    async def running_requests(self, address: str) -> dict[str, list[str]]:
        """Return the IDs of running requests by the incarnation that sent them."""
