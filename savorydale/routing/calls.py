"""Requests, their outcomes, and the steps that the router returns to its driver."""

from typing import NamedTuple

from savorydale.results import ResultCode


class Call(NamedTuple):
    """One request of a caller.

    ``deadline`` is loop time in seconds. ``fingerprint`` identifies method, path
    and body, so that reuse of an idempotency key for another request is detected.
    """

    id: str
    service: str
    team: str
    deadline: float
    idempotent: bool = True
    interactive: bool = True
    key: str | None = None
    fingerprint: str = ""


class Grant(NamedTuple):
    """Permission to send a call to one worker, once.

    ``sent_at`` is loop time; ``timeout_seconds`` is the time left until the
    deadline.
    """

    call: Call
    worker: str
    address: str
    attempt: int
    sent_at: float
    timeout_seconds: float


class Answered(NamedTuple):
    """The worker returned a complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class NotRun(NamedTuple):
    """The request did not run, so a retry is safe even if it is not idempotent."""

    code: ResultCode
    detail: str = ""


class OutcomeUnknown(NamedTuple):
    """The request may have run."""

    code: ResultCode
    detail: str = ""


Outcome = Answered | NotRun | OutcomeUnknown


class Send(NamedTuple):
    """The driver must send the call and report the outcome."""

    grant: Grant


class Finish(NamedTuple):
    """The call has ended; the driver must return the outcome to the caller."""

    outcome: Outcome


Step = Send | Finish
