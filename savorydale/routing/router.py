"""Admission, queueing, dispatch and retries of calls."""

import asyncio
import logging
import random
from collections.abc import Callable

from savorydale.counters import Counters
from savorydale.results import ResultCode
from savorydale.routing.balancing import Balancer
from savorydale.routing.calls import (
    Answered,
    Call,
    Finish,
    Grant,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Send,
    Step,
)
from savorydale.routing.estimates import ServiceEstimate
from savorydale.routing.health import HealthByWorker, WorkerHealth
from savorydale.routing.idempotency import IdempotencyKeys
from savorydale.routing.inflation import InflationMeter
from savorydale.routing.retries import RetryBudget
from savorydale.routing.slots import SlotPool
from savorydale.routing.waiting import Waiter, WaitingCalls
from savorydale.workers.directory import Directory, Worker

HTTP_SERVER_ERROR = 500
WAIT_ESTIMATE_MARGIN = 1.5

log = logging.getLogger(__name__)


class Router:
    """Admits calls, grants each a slot of a worker, and handles the outcomes.

    The router does no I/O to workers: a driver carries out the steps that `begin` and
    `handle_outcome` return, so threads, asyncio tasks and tests share its logic.

    Parameters
    ----------
    directory : Directory
        Workers by service.
    pool : SlotPool
        Slots that this entry may use.
    keys : IdempotencyKeys
        Records of calls with an idempotency key.
    zone : str
        Availability zone of this entry.
    queue_limit : int
        Calls that may wait for a slot.
    retry_ratio : float
        Retries allowed per request.
    may_send : callable
        Returns whether this entry holds the lease that its slots depend on.
    counters : Counters
        Receives a count for every refusal, retry and outcome.
    rng : random.Random
        Breaks ties.
    """

    def __init__(
        self,
        directory: Directory,
        pool: SlotPool,
        keys: IdempotencyKeys,
        zone: str,
        queue_limit: int,
        retry_ratio: float,
        may_send: Callable[[], bool],
        counters: Counters,
        rng: random.Random,
    ):
        self._directory = directory
        self._pool = pool
        self._keys = keys
        self._queue_limit = queue_limit
        self._retry_ratio = retry_ratio
        self._may_send = may_send
        self._counters = counters
        self.inflation = InflationMeter()
        self._health = HealthByWorker()
        self._balancer = Balancer(zone, pool, self._health, rng)
        self._waiting = WaitingCalls()
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._estimate_by_service: dict[str, ServiceEstimate] = {}
        self._in_flight_by_team: dict[str, int] = {}
        self._tried_by_call: dict[str, frozenset[str]] = {}
        self.in_flight = 0
        self.draining = False

    @property
    def unfinished(self) -> int:
        """Return how many calls wait or are in flight."""
        return self.in_flight + len(self._waiting)

    def begin_now(self, call: Call) -> Step | None:
        """Admit a new call and return its first step, or None if it has to wait.

        After None, the driver continues with `begin_waiting`.
        """
        self._counters.increment("calls.received")
        refusal = self._check_admission(call)
        if refusal is not None:
            return self._finish(call, refusal)
        if call.key is not None:
            return None
        self._admit(call)
        if self._waiting.count_of(call.service):
            return None
        grant = self._try_grant(call, frozenset(), 1)
        return None if grant is None else Send(grant)

    async def begin_waiting(self, call: Call) -> Step:
        """Claim the call's key, if any, wait for a slot and return the first step."""
        if call.key is not None:
            recorded_outcome = await self._keys.begin(call)
            if recorded_outcome is not None:
                return self._finish(call, recorded_outcome)
            self._admit(call)
        step = await self._next_step(call, 1)
        return await self._record_if_finished(call, step)

    async def begin(self, call: Call) -> Step:
        """Admit a new call and return its first step."""
        step = self.begin_now(call)
        return await self.begin_waiting(call) if step is None else step

    def _admit(self, call: Call) -> None:
        self._retry_budget(call.service).record_request()
        self._counters.increment("calls.admitted")

    def handle_answer(self, grant: Grant, answer: Answered) -> None:
        """Record the response to a call without a key, which ends the call."""
        self._release_slot(grant, answer)
        self._finish(grant.call, answer)
        self._tried_by_call.pop(grant.call.id, None)

    async def handle_outcome(self, grant: Grant, outcome: Outcome) -> Step:
        """Record the outcome of an attempt and return the next step."""
        call = grant.call
        self._release_slot(grant, outcome)
        if not self._may_retry(grant, outcome):
            return await self._record_if_finished(call, self._finish(call, outcome))
        tried = self._tried_by_call.get(call.id, frozenset())
        self._tried_by_call[call.id] = tried | {grant.worker}
        step = await self._next_step(call, grant.attempt + 1)
        if isinstance(step, Finish):
            step = Finish(_combine_outcomes(outcome, step.outcome))
        return await self._record_if_finished(call, step)

    def _check_admission(self, call: Call) -> NotRun | None:
        if self.draining:
            return NotRun(ResultCode.ENTRY_DRAINING)
        if not self._may_send():
            return NotRun(ResultCode.ENTRY_STARTING)
        workers = self._directory.workers_of(call.service)
        if not workers:
            return NotRun(ResultCode.NO_WORKER)
        if len(self._waiting) >= self._queue_limit:
            return NotRun(ResultCode.QUEUE_FULL)
        waiting = self._waiting.count_of(call.service)
        if not waiting:
            return None
        estimate = self._estimate(call.service)
        wait_seconds = estimate.wait_seconds(waiting, self._total_allowance(workers))
        total_seconds = wait_seconds * WAIT_ESTIMATE_MARGIN + estimate.expected_seconds
        if self._now() + total_seconds > call.deadline:
            return NotRun(ResultCode.DEADLINE_TOO_SHORT)
        return None

    async def _next_step(self, call: Call, attempt: int) -> Step:
        """Wait for a free slot and return a grant, or a refusal if time runs out."""
        tried = self._tried_by_call.get(call.id, frozenset())
        if not self._waiting.count_of(call.service):
            grant = self._try_grant(call, tried, attempt)
            if grant is not None:
                return Send(grant)
        future: asyncio.Future[Step] = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, tried, attempt, future)
        self._waiting.add(waiter)
        latest_start_at = call.deadline - self._estimate(call.service).expected_seconds
        timer = asyncio.get_running_loop().call_at(
            latest_start_at, self._expire, waiter
        )
        try:
            return await waiter.step
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        finally:
            timer.cancel()

    def _expire(self, waiter: Waiter) -> None:
        if self._waiting.remove(waiter) and not waiter.step.done():
            refusal = NotRun(ResultCode.DEADLINE_PASSED)
            waiter.step.set_result(self._finish(waiter.call, refusal))

    def _abandon(self, waiter: Waiter) -> None:
        """Remove a call whose driver was cancelled and release its slot, if any."""
        self._waiting.remove(waiter)
        self._tried_by_call.pop(waiter.call.id, None)
        self._counters.increment("calls.abandoned")
        if not waiter.step.done() or waiter.step.cancelled():
            return
        match waiter.step.result():
            case Send(grant):
                self._release_slot(grant, NotRun(ResultCode.DEADLINE_PASSED))
            case Finish():
                return

    def _try_grant(
        self, call: Call, tried: frozenset[str], attempt: int
    ) -> Grant | None:
        """Acquire a slot for a call, or return None if no worker has a free one."""
        if not self._may_send():
            return None
        worker = self._choose_worker(call, tried)
        if worker is None:
            return None
        self._pool.acquire(worker.name)
        self.in_flight += 1
        in_flight = self._in_flight_by_team
        in_flight[call.team] = in_flight.get(call.team, 0) + 1
        self._counters.increment("calls.sent")
        now = self._now()
        left = call.deadline - now
        return Grant(call, worker.name, worker.address, attempt, now, left)

    def _choose_worker(self, call: Call, tried: frozenset[str]) -> Worker | None:
        workers = self._directory.workers_of(call.service)
        now = self._now()
        return self._balancer.choose(workers, tried, now, call.deadline - now)

    def _release_slot(self, grant: Grant, outcome: Outcome) -> None:
        now = self._now()
        seconds = now - grant.sent_at
        health = self._health.of(grant.worker)
        unresolved = None
        match outcome:
            case Answered(status) if status < HTTP_SERVER_ERROR:
                health.record_answer(seconds)
                self._estimate(grant.call.service).record(seconds)
                self.inflation.record(grant.worker, grant.call.service, seconds)
                self._counters.record_latency("worker_answer", seconds)
            case OutcomeUnknown():
                unresolved = grant.call.id
                self._record_failure(health, now)
            case Answered() | NotRun():
                self._record_failure(health, now)
        self._pool.release(grant.worker, unresolved)
        self.in_flight -= 1
        self._in_flight_by_team[grant.call.team] -= 1
        self.wake(grant.worker)

    def _record_failure(self, health: WorkerHealth, now: float) -> None:
        if health.record_failure(now):
            self._counters.increment("workers.ejected")
            loop = asyncio.get_running_loop()
            loop.call_at(health.ejected_until, self.wake_all)

    def wake(self, worker: str) -> None:
        """Grant free slots of ``worker`` to waiting calls."""
        if not len(self._waiting):
            return
        services = self._directory.services_on(worker)
        self._grant_in_order(services)

    def wake_all(self) -> None:
        """Grant free slots of all workers to waiting calls."""
        if len(self._waiting):
            self._grant_in_order(self._waiting.services())

    def _grant_in_order(self, services: list[str]) -> None:
        blocked: set[str] = set()
        for waiter in self._waiting.in_order(services, self._in_flight_by_team):
            if waiter.call.service in blocked or waiter.step.done():
                continue
            grant = self._try_grant(waiter.call, waiter.tried, waiter.attempt)
            if grant is not None:
                waiter.step.set_result(Send(grant))
                self._waiting.remove(waiter)
                continue
            blocked.add(waiter.call.service)
            if len(blocked) == len(services):
                return

    def _may_retry(self, grant: Grant, outcome: Outcome) -> bool:
        match outcome:
            case Answered():
                return False
            case NotRun(code):
                reason = f"not_run.{code.name.lower()}"
            case OutcomeUnknown(code):
                if not grant.call.idempotent:
                    return False
                reason = f"unknown.{code.name.lower()}"
        if self.draining and not self._may_send():
            return False
        expected_seconds = self._estimate(grant.call.service).expected_seconds
        if self._now() + expected_seconds >= grant.call.deadline:
            return False
        if not self._retry_budget(grant.call.service).try_acquire():
            self._counters.increment("retries.refused.budget")
            return False
        self._counters.increment(f"retries.{reason}")
        return True

    def _finish(self, call: Call, outcome: Outcome) -> Finish:
        match outcome:
            case Answered():
                self._counters.increment("calls.answered")
            case NotRun(code):
                self._counters.increment(f"calls.refused.{code.name.lower()}")
            case OutcomeUnknown(code):
                self._counters.increment(f"calls.unknown.{code.name.lower()}")
        return Finish(outcome)

    async def _record_if_finished(self, call: Call, step: Step) -> Step:
        """Record the outcome under the key of the call if ``step`` ends the call."""
        match step:
            case Send():
                return step
            case Finish(outcome):
                self._tried_by_call.pop(call.id, None)
                if call.key is not None:
                    await self._keys.finish(call, outcome)
                return step

    def _total_allowance(self, workers: list[Worker]) -> int:
        slots_by_worker = self._pool.slots_by_worker
        return sum(
            slots_by_worker[worker.name].allowance
            for worker in workers
            if worker.name in slots_by_worker
        )

    def _retry_budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryBudget(self._retry_ratio)
        return budget

    def _estimate(self, service: str) -> ServiceEstimate:
        return self._estimate_by_service.setdefault(service, ServiceEstimate())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _combine_outcomes(sent: Outcome, refused: Outcome) -> Outcome:
    """Return the outcome of a call whose retry was refused after a first attempt.

    It is unknown if the outcome of that attempt is unknown.
    """
    if isinstance(sent, OutcomeUnknown):
        return sent
    return refused
