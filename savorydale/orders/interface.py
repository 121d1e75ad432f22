"""Orders of the job scheduler to workers, and their outcomes."""

import dataclasses
from enum import StrEnum
from typing import NamedTuple, Protocol

from savorydale.jobs.model import TaskId


class Resources(NamedTuple):
    """Capacity of a worker, or what a task requires of it."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int


class WorkerInfo(NamedTuple):
    """One worker, as described by its registration.

    Parameters
    ----------
    worker : str
        Identifier, unique among the workers.
    address : str
        ``host:port`` for orders.
    service : str
        Service whose queues the worker serves.
    zone : str
        Availability zone.
    is_draining : bool
        Whether the worker is about to be removed.
    capacity : Resources
        Total capacity of the worker.
    labels : tuple of str
        Kind and rack of the worker.
    born_ms : int
        Unix time at which this incarnation of the worker started, in milliseconds.
    remaining_ms : int or None
        Minimum time until a draining worker is removed, if the worker reports it.
    """

    worker: str
    address: str
    service: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int
    remaining_ms: int | None


class StartObstacle(StrEnum):
    """Why no start order may be sent now."""

    LEASE_NOT_CURRENT = "lease_not_current"
    REGISTRATIONS_OLD = "registrations_old"


class EndReason(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class ActiveRun(NamedTuple):
    """A run that exists on a worker.

    ``progress_percent`` is the share of its work that is done; a service task at 100
    is serving. ``usage`` is the tail latency in milliseconds for a service task, and
    the millicores in use for any other task; both are estimates over the last 0.5 s.
    """

    task: TaskId
    run: int
    checkpoint: str
    progress_percent: float
    usage: float


class EndedRun(NamedTuple):
    """A run that has ended; ``number`` grows within one incarnation of a worker."""

    number: int
    task: TaskId
    run: int
    reason: EndReason
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The lease was renewed; the lists show the active and ended runs of the worker.

    ``clock_ms`` is the time on the worker's steady clock. If ``has_all_ended`` is
    false, further runs may have ended; they are listed once ``ended`` is acknowledged.
    """

    clock_ms: int
    born_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    has_all_ended: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The worker executed the order."""


class RefusalReason(StrEnum):
    """Why a worker refused an order, which then had no effect."""

    FENCED = "fenced"
    RUN_NOT_NEWER = "run_not_newer"
    LEASE_ALREADY_OVER = "lease_already_over"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    OTHER_INCARNATION = "other_incarnation"
    UNHEALTHY = "unhealthy"
    NOT_UNDERSTOOD = "not_understood"
    UNREACHABLE = "unreachable"
    NOT_LISTENING = "not_listening"  # the host is up, but the worker's process is not


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not executed and never will be."""

    reason: RefusalReason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No response arrived; the order may be executed, even later."""

    detail: str = ""


OrderOutcome = Accepted | Refused | Unanswered
RenewOutcome = Renewed | Refused | Unanswered


class WorkerTarget(NamedTuple):
    """The worker that an order is sent to, and the fencing token that it carries."""

    worker: str
    address: str
    fencing_token: int


class StartOrder(NamedTuple):
    """Start one run of a task.

    ``lease_end_ms`` is on the worker's clock; after it the worker refuses the start.
    """

    task: TaskId
    run: int
    payload: str
    lease_end_ms: int
    checkpoint: str
    ticket: str = ""


class RenewOrder(NamedTuple):
    """Renew the lease of all runs of a worker and list them.

    The worker forgets ended runs up to ``acknowledged_number``. It responds after
    ``wait_ms`` or when the next run ends; ``response_timeout_seconds`` is the time
    allowed for the response besides. ``lease_end_ms`` is on the worker's clock;
    ``None`` leaves the lease unchanged.
    """

    acknowledged_number: int
    lease_end_ms: int | None
    wait_ms: int
    response_timeout_seconds: float = 0.5


class WorkerOrders(Protocol):
    """Sends orders to workers; every call returns within a timeout."""

    async def renew(self, target: WorkerTarget, order: RenewOrder) -> RenewOutcome:
        """Renew the lease on a worker and list its runs."""

    async def start(self, target: WorkerTarget, order: StartOrder) -> OrderOutcome:
        """Start a run."""

    async def stop(self, target: WorkerTarget, task: TaskId, run: int) -> OrderOutcome:
        """Stop a run; it is listed as ended once it has stopped."""

    async def throttle(
        self, target: WorkerTarget, task: TaskId, run: int, percent: int
    ) -> OrderOutcome:
        """Limit the speed of a run to ``percent`` of its full speed."""
