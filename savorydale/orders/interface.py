"""What the job scheduler asks of workers."""

import dataclasses
from enum import StrEnum
from typing import NamedTuple, Protocol

from savorydale.jobs.model import TaskId


class Resources(NamedTuple):
    """Room on a worker, or what a task takes of it."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int


class WorkerInfo(NamedTuple):
    """One worker, as it registered itself.

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
        Whether the worker is about to leave.
    capacity : Resources
        What the worker can hold.
    labels : tuple of str
        Kind and rack of the worker.
    born_ms : int
        Unix time at which this life of the worker began, in milliseconds.
    remaining_ms : int or None
        Shortest time that is left while the worker drains, if it says so.
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


class EndReason(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class ActiveRun(NamedTuple):
    """A run that a worker holds.

    ``progress_percent`` is how much of its work is done; a service task is at work at
    100. ``usage`` is the tail latency in milliseconds for a service task, and the
    millicores in use for any other task; both are rough and cover the last half second.
    """

    task: TaskId
    run: int
    checkpoint: str
    progress_percent: float
    usage: float


class EndedRun(NamedTuple):
    """A run that has ended; ``number`` grows within one life of a worker."""

    number: int
    task: TaskId
    run: int
    reason: EndReason
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Renewed:
    """The lease was renewed; the lists show what the worker holds.

    ``clock_ms`` is the worker's steady clock.
    """

    clock_ms: int
    born_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order was carried out."""

    clock_ms: int


class RefusalReason(StrEnum):
    """Why a worker refused an order; it did nothing."""

    FENCED = "fenced"
    RUN_NOT_NEWER = "run_not_newer"
    LEASE_ALREADY_OVER = "lease_already_over"
    NO_ROOM = "no_room"
    TICKET_INVALID = "ticket_invalid"
    OTHER_INCARNATION = "other_incarnation"
    UNHEALTHY = "unhealthy"
    NOT_UNDERSTOOD = "not_understood"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not carried out, and never will be."""

    reason: RefusalReason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer arrived; the order may be carried out, even later."""

    detail: str = ""


OrderOutcome = Accepted | Refused | Unanswered
RenewOutcome = Renewed | Refused | Unanswered


class WorkerTarget(NamedTuple):
    """Whom an order is for, and the fencing token that it carries."""

    worker: str
    address: str
    fencing_token: int


class StartOrder(NamedTuple):
    """Start one run of a task.

    ``lease_end_ms`` is on the worker's clock; past it the start is refused.
    """

    task: TaskId
    run: int
    payload: str
    lease_end_ms: int
    checkpoint: str
    ticket: str = ""


class RenewOrder(NamedTuple):
    """Renew the lease of all runs and list them.

    The worker forgets ended runs up to ``acknowledged_number``. It responds after
    ``wait_ms`` or at the next end of a run. ``lease_end_ms`` is on the worker's clock;
    ``None`` leaves the lease as it is.
    """

    acknowledged_number: int
    lease_end_ms: int | None
    wait_ms: int


class WorkerOrders(Protocol):
    """Sends orders to workers; every call returns within its time limit."""

    async def renew(self, target: WorkerTarget, order: RenewOrder) -> RenewOutcome:
        """Renew the lease on a worker and list its runs."""

    async def start(self, target: WorkerTarget, order: StartOrder) -> OrderOutcome:
        """Start a run."""

    async def stop(self, target: WorkerTarget, task: TaskId, run: int) -> OrderOutcome:
        """Stop a run; its end is listed when it is gone."""

    async def throttle(
        self, target: WorkerTarget, task: TaskId, run: int, percent: int
    ) -> OrderOutcome:
        """Let a run work at a share of its speed."""
