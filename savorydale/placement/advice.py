"""Cache the workers that a policy service allows for a step, and their tickets.

Some queues may run their tasks only on workers that the service allows. The service
is slow, so it is queried for a few workers at a time, ahead of placement.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol

MAX_WORKERS_PER_QUERY = 30
MAX_MARGIN_SECONDS = 0.5  # the start order must reach the worker before expiry
MAX_MARGIN_RATIO = 0.5  # of the validity, or tickets that expire soon were never used
MAX_PENDING_QUERIES = 4
# A step that waits longer for a slot was not considered again, or has started.
REQUEST_SECONDS = 5.0


class StepName(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


class Ticket(NamedTuple):
    """Proof that a worker may run a step; used until a time on the loop's clock."""

    text: str
    used_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyAnswer:
    """Tickets by allowed worker, and the seconds for which they are valid.

    A worker that a complete answer does not name is denied. If a part of the answer
    could not be read, nothing is known about such a worker.
    """

    ticket_by_worker: dict[str, str]
    valid_seconds: float
    is_complete: bool = dataclasses.field(default=True, compare=False)


class PolicyService(Protocol):
    """Decides which workers may run a step."""

    async def query(self, step: StepName, workers: list[str]) -> PolicyAnswer | None:
        """Return the workers that are allowed, or ``None`` if the query failed."""


class QueryRequest(NamedTuple):
    """A query that found all slots taken; ``at`` is a time on the loop's clock."""

    workers: list[str]
    at: float


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """Cached answers for one step; a denial does not expire.

    ``unread_at`` is when the last incomplete answer left a worker undecided, and
    ``queried_at`` when the step had its last query.
    """

    ticket_by_worker: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    denied: set[str] = dataclasses.field(default_factory=set)
    unread_at: dict[str, float] = dataclasses.field(default_factory=dict)
    queried_at: float = -math.inf
    request: QueryRequest | None = None


class AdviceCache:
    """Caches answers of the policy service by step."""

    def __init__(self) -> None:
        self._advice_by_step: dict[StepName, StepAdvice] = {}
        self._pending_steps: set[StepName] = set()  # their queries have no answer yet

    def awaits_answer(self, step: StepName) -> bool:
        """Return whether a query is pending, and the step's job has not ended since."""
        return step in self._pending_steps

    def ticket(self, step: StepName, worker: str, now: float) -> str:
        """Return a valid ticket, or an empty string."""
        advice = self._advice_by_step.get(step)
        ticket = advice.ticket_by_worker.get(worker) if advice else None
        if ticket is None or now > ticket.used_until:
            return ""
        return ticket.text

    def is_denied(self, step: StepName, worker: str) -> bool:
        """Return whether the policy is known not to allow a worker for a step."""
        advice = self._advice_by_step.get(step)
        return advice is not None and worker in advice.denied

    def next_query(
        self, step: StepName, workers: Iterable[str], now: float
    ) -> list[str] | None:
        """Return the workers to query now, and mark the query as pending.

        ``workers`` are in order of preference. Returns ``None`` if no query is needed,
        or if the step or too many others have a query pending. In the latter case the
        query is remembered for `take_requested_query`.
        """
        advice = self._advice_by_step.setdefault(step, StepAdvice())
        if step in self._pending_steps:
            return None
        if not self._has_free_slot:
            _request_query(advice, list(workers), now)
            return None
        return self._begin_query(step, advice, workers, now)

    def take_requested_query(self, now: float) -> tuple[StepName, list[str]] | None:
        """Return a query that found no slot, if there is one now; it is then pending.

        The step that had its last query the longest time ago comes first, whatever its
        rank, so that steps which query all the time do not use up the slots.
        """
        if not self._has_free_slot:
            return None
        requests = [
            (step, advice, advice.request)
            for step, advice in self._advice_by_step.items()
            if advice.request and now - advice.request.at <= REQUEST_SECONDS
        ]
        requests.sort(key=lambda item: item[1].queried_at)
        for step, advice, request in requests:
            advice.request = None
            queried = self._begin_query(step, advice, request.workers, now)
            if queried is not None:
                return step, queried
        return None

    @property
    def _has_free_slot(self) -> bool:
        return len(self._pending_steps) < MAX_PENDING_QUERIES

    def _begin_query(
        self, step: StepName, advice: StepAdvice, workers: Iterable[str], now: float
    ) -> list[str] | None:
        """Return the first unresolved workers, and mark their query as pending."""
        unresolved = [
            worker
            for worker in workers
            if worker not in advice.denied and not self.ticket(step, worker, now)
        ]
        if not unresolved:
            return None
        # Workers that an incomplete answer left undecided do not hold up the others.
        unresolved.sort(key=lambda worker: advice.unread_at.get(worker, -math.inf))
        self._pending_steps.add(step)
        advice.queried_at = now
        advice.request = None
        return unresolved[:MAX_WORKERS_PER_QUERY]

    def record_answer(
        self,
        step: StepName,
        queried: list[str],
        answer: PolicyAnswer | None,
        now: float,
    ) -> None:
        """Store an answer; after ``None``, the step may be queried again."""
        advice = self._advice_by_step.setdefault(step, StepAdvice())
        self._pending_steps.discard(step)
        if answer is None:
            return
        margin = min(MAX_MARGIN_SECONDS, MAX_MARGIN_RATIO * answer.valid_seconds)
        used_until = now + answer.valid_seconds - margin
        for worker in queried:
            text = answer.ticket_by_worker.get(worker)
            if text is not None:
                advice.ticket_by_worker[worker] = Ticket(text, used_until)
            elif answer.is_complete:
                advice.denied.add(worker)
            else:
                advice.unread_at[worker] = now

    def drop_ticket(self, step: StepName, worker: str) -> None:
        """Discard a ticket that a worker has refused."""
        advice = self._advice_by_step.get(step)
        if advice is not None:
            advice.ticket_by_worker.pop(worker, None)

    def remove_job(self, job: str) -> None:
        """Discard the answers for all steps of a job."""
        for step in [name for name in self._advice_by_step if name.job == job]:
            del self._advice_by_step[step]
            self._pending_steps.discard(step)


def _request_query(advice: StepAdvice, workers: list[str], now: float) -> None:
    """Remember a query; the first one of a round, which names the best workers."""
    is_first = advice.request is None or advice.request.at < now
    if workers and is_first:
        advice.request = QueryRequest(workers, now)
