"""Which workers a policy service allows for a step, and the tickets that prove it.

Answers queues whose tasks may run on some workers only: the service is slow and asked
for a few workers at a time, before they are needed; its answers are kept.
"""

import dataclasses
from collections.abc import Iterable
from typing import NamedTuple, Protocol

WORKERS_PER_QUESTION = 30
MIN_VALIDITY_SECONDS = 0.5  # a start order must still arrive in time
MAX_OPEN_QUESTIONS = 4


class StepName(NamedTuple):
    """Identifies one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}"


class Ticket(NamedTuple):
    """Proof that a worker may run a step, valid until a time of the loop's clock."""

    text: str
    valid_until: float


class PolicyAnswer(NamedTuple):
    """Tickets by worker, and for how many seconds they are valid."""

    ticket_by_worker: dict[str, str]
    valid_seconds: float


class PolicyService(Protocol):
    """Says which workers may run a step."""

    async def query(self, step: StepName, workers: list[str]) -> PolicyAnswer | None:
        """Return the workers that are allowed, or ``None`` without an answer."""


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """What is known for one step; ``denied`` workers stay denied."""

    ticket_by_worker: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    denied: set[str] = dataclasses.field(default_factory=set)
    is_asked: bool = False


class AdviceCache:
    """Answers of the policy service, by step."""

    def __init__(self) -> None:
        self._advice_by_step: dict[StepName, StepAdvice] = {}

    @property
    def open_questions(self) -> int:
        """Return how many questions have no answer yet."""
        return sum(advice.is_asked for advice in self._advice_by_step.values())

    def ticket(self, step: StepName, worker: str, now: float) -> str:
        """Return a valid ticket, or an empty text."""
        advice = self._advice_by_step.get(step)
        ticket = advice.ticket_by_worker.get(worker) if advice else None
        if ticket is None or ticket.valid_until - now < MIN_VALIDITY_SECONDS:
            return ""
        return ticket.text

    def next_query(
        self, step: StepName, workers: Iterable[str], now: float
    ) -> list[str] | None:
        """Return the workers to ask about now, and regard the question as asked.

        ``workers`` are sorted, the most wanted first. ``None`` if nothing is to be
        asked.
        """
        advice = self._advice_by_step.setdefault(step, StepAdvice())
        if advice.is_asked or self.open_questions >= MAX_OPEN_QUESTIONS:
            return None
        unknown = [
            worker
            for worker in workers
            if worker not in advice.denied and not self.ticket(step, worker, now)
        ]
        if not unknown:
            return None
        advice.is_asked = True
        return unknown[:WORKERS_PER_QUESTION]

    def record_answer(
        self, step: StepName, asked: list[str], answer: PolicyAnswer | None, now: float
    ) -> None:
        """Keep an answer; without one, the question may be asked again."""
        advice = self._advice_by_step.setdefault(step, StepAdvice())
        advice.is_asked = False
        if answer is None:
            return
        valid_until = now + answer.valid_seconds
        for worker in asked:
            text = answer.ticket_by_worker.get(worker)
            if text is None:
                advice.denied.add(worker)
            else:
                advice.ticket_by_worker[worker] = Ticket(text, valid_until)

    def drop_ticket(self, step: StepName, worker: str) -> None:
        """Forget a ticket that a worker has refused."""
        advice = self._advice_by_step.get(step)
        if advice is not None:
            advice.ticket_by_worker.pop(worker, None)

    def remove_job(self, job: str) -> None:
        """Forget all steps of a job."""
        for step in [name for name in self._advice_by_step if name.job == job]:
            del self._advice_by_step[step]
