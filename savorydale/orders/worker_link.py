"""The scheduling entry's link to one worker: leases, orders, and ends of runs.

The outcome of an unanswered start order is resolved before the task is started again.
The link raises the fencing token, so that the worker refuses the order if it arrives
later; the next list that is requested with the new token shows whether the run exists.
"""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Protocol

from savorydale.counters import Counters
from savorydale.exceptions import LeadershipLostError
from savorydale.jobs.model import TaskId
from savorydale.orders.interface import (
    Accepted,
    ActiveRun,
    EndedRun,
    OrderOutcome,
    RefusalReason,
    Refused,
    Renewed,
    RenewOrder,
    RenewOutcome,
    Resources,
    StartObstacle,
    StartOrder,
    Unanswered,
    WorkerInfo,
    WorkerOrders,
    WorkerTarget,
)
from savorydale.orders.lease_clock import LeaseClock
from savorydale.orders.lease_extension import (
    DOUBT_PAUSE_SECONDS,
    UNSURE_WAIT_MS,
    LeaseExtension,
)
from savorydale.orders.renewal_wait import MIN_WAIT_MS
from savorydale.orders.runs import UNKNOWN_PERCENT, Run, RunState, WorkerLoad
from savorydale.orders.withdrawal import choose_withdrawals
from savorydale.placement.crashes import (
    find_suspects,
    has_passed_probation,
    seconds_to_clearance,
)

RENEW_RETRY_SECONDS = 0.1
MIN_RENEW_TIMEOUT_SECONDS = 0.5
MAX_RENEW_TIMEOUT_SECONDS = 3.0  # a worker may be slow to answer, but at work
RENEW_TIMEOUT_RATIO = 2.0  # of the last response time, or after a timeout
ERROR_RETRY_SECONDS = 1.0  # after an unexpected error, which is logged each time
RENEWALS_BEFORE_SILENT = 2  # unanswered ones; this process may have been paused
ACKNOWLEDGE_WAIT_SECONDS = 0.3
TIMER_MARGIN_SECONDS = 0.01  # timers may fire a little early
CONTACT_TIMEOUT_SECONDS = 1.5  # after the wait, for a few failed renewals
STOP_RETRY_SECONDS = 1.0
MAX_CONCURRENT_ORDERS = 2
TOKENS_PER_EPOCH = 1_000_000
MILLISECONDS_PER_SECOND = 1000
GONE_REASONS = (RefusalReason.NOT_LISTENING, RefusalReason.OTHER_INCARNATION)

log = logging.getLogger(__name__)


class LinkListener(Protocol):
    """Receives events from a worker's link."""

    def on_end(self, link: "WorkerLink", end: EndedRun) -> None:
        """Handle the end of a run, which is acknowledged once it is durable."""

    def on_lost(self, link: "WorkerLink", run: Run, reason: str) -> None:
        """Handle a run that does not exist and never will again."""

    def on_confirmed(self, link: "WorkerLink", run: Run) -> None:
        """Handle the first evidence that the worker has begun the run."""

    def on_started(self, link: "WorkerLink", run: Run) -> None:
        """Handle a start order that the worker has accepted."""

    def on_crash(self, link: "WorkerLink", suspects: list[Run]) -> None:
        """Handle a crash of the worker, which one of the suspects may have caused."""

    def on_missing(self, link: "WorkerLink", runs: list[Run]) -> None:
        """Handle that the worker was gone at the first contact, with all its runs."""

    def on_probation_passed(self, link: "WorkerLink", run: Run) -> None:
        """Handle a run that did not crash the worker soon after its start."""

    def on_report(self, link: "WorkerLink") -> None:
        """Handle new progress and usage of all active runs."""


class WorkerLink:
    """Sends orders to one worker and tracks its runs.

    No start order is sent while ``find_obstacle()`` returns an obstacle, and no lease
    is extended while ``extension`` does not allow it. All links share
    ``first_contact_slots``: a new lease holder connects to a few workers at a time, or
    the connections to a large fleet would all time out.

    ``last_contact_at`` is on the loop's clock, and so is ``obeyed_at``, when the last
    renewal that was answered was sent. A crash is reported once, until the worker
    answers again; it may have happened at any time in a longer silence before it was
    noticed. Ended runs up to ``processed_number`` were passed to the listener; those up
    to ``acknowledged_number`` are durable. ``is_lease_withheld`` is set from outside
    while the worker must be given no lease.
    """

    def __init__(
        self,
        info: WorkerInfo,
        orders: WorkerOrders,
        listener: LinkListener,
        epoch: int,
        lease_max_ms: float,
        counters: Counters,
        find_obstacle: Callable[[], StartObstacle | None] = lambda: None,
        first_contact_slots: asyncio.Semaphore | None = None,
        extension: LeaseExtension | None = None,
    ):
        self.info = info
        self.load = WorkerLoad(info.capacity)
        self.run_by_task: dict[TaskId, Run] = {}
        self.acknowledged_number = 0
        self.processed_number = 0
        self.last_contact_at: float | None = None
        self.obeyed_at: float | None = None
        self.is_registered = True
        self.renew_wait_ms = MIN_WAIT_MS
        self.is_closed = False
        self.is_lease_withheld = False
        self.born_ms: int | None = None
        self._orders = orders
        self._listener = listener
        self._token = epoch * TOKENS_PER_EPOCH
        self._lease_clock = LeaseClock(lease_max_ms)
        self._counters = counters
        self._find_obstacle = find_obstacle
        self._first_contact_slots = first_contact_slots or asyncio.Semaphore()
        self._extension = extension or LeaseExtension()
        self._info_updated_at = asyncio.get_running_loop().time()
        self._order_slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._polls_immediately = True
        self._renew_timeout_seconds = MIN_RENEW_TIMEOUT_SECONDS
        self._acknowledged = asyncio.Event()
        self._is_incarnation_gone = False
        self._tasks_in_flight: set[TaskId] = set()  # their starts are not answered yet
        self.crash_noticed_at = 0.0
        self.is_crash_after_silence = False
        self._crash_candidates: list[Run] = []
        self._failure: BaseException | None = None
        self._unanswered_renewals = 0
        self._incarnation_known_at = 0.0  # on the loop's clock

    @property
    def worker(self) -> str:
        """Return the worker's identifier."""
        return self.info.worker

    def update(self, info: WorkerInfo) -> None:
        """Update the worker's registration."""
        self.info = info
        self._info_updated_at = asyncio.get_running_loop().time()

    def set_capacity(self, capacity: Resources) -> list[Run]:
        """Update the worker's capacity and return the runs that are withdrawn.

        These are planned runs that no longer fit; their start orders are never sent.
        """
        self.load.capacity = capacity
        planned = [
            run for run in self.run_by_task.values() if run.state is RunState.RESERVED
        ]
        withdrawn = choose_withdrawals(self.load.excess, planned)
        for run in withdrawn:
            self._counters.increment("start.over_capacity")
            self._drop_run(run, "the worker's capacity has shrunk")
        return withdrawn

    def seconds_left(self, now: float) -> float | None:
        """Return the minimum time until a draining worker is removed, if known."""
        if self.info.remaining_ms is None:
            return None
        return self.info.remaining_ms / MILLISECONDS_PER_SECOND - (
            now - self._info_updated_at
        )

    def is_in_contact(self, now: float) -> bool:
        """Return whether the worker has responded recently and may get leases."""
        return self._has_responded(now) and not self.is_lease_withheld

    def is_silent(self, now: float) -> bool:
        """Return whether the worker does not respond, also not to a second renewal."""
        is_unanswered = self._unanswered_renewals >= RENEWALS_BEFORE_SILENT
        return is_unanswered and not self._has_responded(now)

    def latest_lapse_at(self) -> float:
        """Return when every lease of the worker has certainly lapsed."""
        return self._lease_clock.latest_lapse_at()

    def limit_earlier_leases(self, lapse_at: float) -> None:
        """Record that leases of earlier lease holders lapse by ``lapse_at``."""
        self._lease_clock.limit_earlier_leases(lapse_at)

    def _has_responded(self, now: float) -> bool:
        return (
            self.last_contact_at is not None
            and now - self.last_contact_at < self._contact_timeout_seconds
        )

    @property
    def _contact_timeout_seconds(self) -> float:
        wait_seconds = self.renew_wait_ms / MILLISECONDS_PER_SECOND
        return wait_seconds + CONTACT_TIMEOUT_SECONDS

    def continue_tokens_of(self, predecessor: "WorkerLink") -> None:
        """Take over the fencing token of a closed link to the same worker.

        The worker refuses orders with an older token than it has seen.
        """
        self._token = max(self._token, predecessor._token)

    # Runs on the worker

    def restore(self, run: Run) -> None:
        """Take over a run that an earlier lease holder assigned."""
        run.state = RunState.UNKNOWN
        run.resolving_token = self._token
        run.start_sent_at = run.assigned_at
        self._add(run)

    def start(self, run: Run, payload: str, checkpoint: str, ticket: str = "") -> None:
        """Send the start order of a run whose assignment is durable."""
        if self.run_by_task.get(run.task) is run:
            self._spawn(self._start(run, payload, checkpoint, ticket))

    def reserve(self, run: Run) -> None:
        """Reserve capacity for a run whose start order is not sent yet."""
        self._add(run)

    def unreserve(self, run: Run) -> None:
        """Undo `reserve` for a run that was not assigned after all."""
        self._remove(run)

    def stop(self, run: Run) -> None:
        """Stop a run; the order is repeated until the run is listed as ended."""
        run.stop_requested = True
        if run.state is RunState.ACTIVE:
            self._send_stop(run)

    def throttle(self, run: Run, percent: int) -> None:
        """Limit the speed of a run to ``percent`` of its full speed."""
        self.load.set_speed(run, percent)
        run.throttled_at = asyncio.get_running_loop().time()
        self._spawn(self._throttle(run, percent))

    def _next_lease_end_ms(self) -> int | None:
        """Return the lease end to request, or ``None`` to leave the lease unchanged.

        The lease of an unresponsive worker is not extended: the order may arrive all
        the same, and the worker's tasks cannot be started elsewhere before its lease
        has lapsed.
        """
        if not self.is_in_contact(asyncio.get_running_loop().time()):
            return None
        if not self._extension.is_allowed():
            return None
        return self._lease_clock.next_lease_end_ms(self.info.is_draining)

    # Renewal loop

    async def run(self) -> None:
        """Renew the lease and apply the worker's lists until cancelled.

        Returns once the worker is unregistered and unresponsive and has no runs left.
        """
        try:
            while not self._is_obsolete():
                await self._renew_safely()
                if self._failure is not None:
                    raise self._failure
        finally:
            self.is_closed = True
            for task in self._tasks:
                task.cancel()

    async def _renew_safely(self) -> None:
        """Renew once; an unexpected error affects only this worker, and is logged."""
        try:
            await self._renew_once()
        except LeadershipLostError:
            raise
        except Exception:
            self._counters.increment("worker.unexpected_error")
            log.exception("worker cannot be followed", extra=self._extra())
            self._drop_lapsed_runs(asyncio.get_running_loop().time())
            await asyncio.sleep(ERROR_RETRY_SECONDS)

    def _is_obsolete(self) -> bool:
        """Return whether the worker was removed and can have no runs."""
        now = asyncio.get_running_loop().time()
        is_removed = not self.is_registered and not self._has_responded(now)
        return (
            is_removed
            and not self.run_by_task
            and now >= self._lease_clock.latest_lapse_at()
        )

    async def _renew_once(self) -> None:
        loop = asyncio.get_running_loop()
        if self.is_in_contact(loop.time()) and not self._extension.is_allowed():
            await asyncio.sleep(DOUBT_PAUSE_SECONDS)
        sent_at = loop.time()
        token = self._token
        order = RenewOrder(
            self._number_to_acknowledge(),
            self._next_lease_end_ms(),
            self._wait_ms(sent_at),
            self._renew_timeout_seconds,
        )
        self._polls_immediately = True
        outcome = await self._send_renewal(token, order)
        match outcome:
            case Renewed():
                self._polls_immediately = False
                self._unanswered_renewals = 0
                self._adapt_renew_timeout(
                    loop.time() - sent_at - order.wait_ms / MILLISECONDS_PER_SECOND
                )
                self._apply_renewal(outcome, sent_at, token)
                await self._wait_for_acknowledgement()
                return
            case Refused(RefusalReason.FENCED):
                self._check_fenced(token)
            case Refused(reason, detail):
                self._counters.increment(f"hold.refused.{reason}")
                if reason in GONE_REASONS:
                    self._on_incarnation_gone()
                if reason is RefusalReason.OTHER_INCARNATION:
                    self._drop_replaced_runs()
                log.debug(
                    "lease renewal refused",
                    extra=self._extra(reason=reason, detail=detail),
                )
            case Unanswered(detail):
                self._counters.increment("hold.unanswered")
                self._adapt_renew_timeout(self._renew_timeout_seconds)
                log.debug("lease renewal unanswered", extra=self._extra(detail=detail))
        self._unanswered_renewals += 1
        self._drop_lapsed_runs(loop.time())
        await asyncio.sleep(RENEW_RETRY_SECONDS)

    def _wait_ms(self, now: float) -> int:
        """Return how long the worker may wait before it responds."""
        if self._polls_immediately or self._unresolved_runs():
            return 0
        wait_ms = min(self.renew_wait_ms, self._extension.max_wait_ms())
        if self.is_lease_withheld:
            wait_ms = min(wait_ms, UNSURE_WAIT_MS)
        seconds = seconds_to_clearance(self.run_by_task.values(), now)
        if seconds is None:
            return wait_ms
        return min(wait_ms, math.ceil(seconds * MILLISECONDS_PER_SECOND))

    async def _send_renewal(self, token: int, order: RenewOrder) -> RenewOutcome:
        """Send a renewal; it counts as unanswered once all leases have lapsed.

        Otherwise the lapse would be noticed only after its timeout, and after the wait
        for a slot.
        """
        lapse_at = self._lease_clock.latest_lapse_at()
        if not self.run_by_task or lapse_at <= asyncio.get_running_loop().time():
            return await self._send_renewal_in_turn(token, order)
        try:
            async with asyncio.timeout_at(lapse_at + TIMER_MARGIN_SECONDS):
                return await self._send_renewal_in_turn(token, order)
        except TimeoutError:
            return Unanswered("the lease has lapsed")

    async def _send_renewal_in_turn(
        self, token: int, order: RenewOrder
    ) -> RenewOutcome:
        if self.last_contact_at is not None:
            return await self._orders.renew(self._target(token), order)
        async with self._first_contact_slots:
            return await self._orders.renew(self._target(token), order)

    def _adapt_renew_timeout(self, response_seconds: float) -> None:
        """Allow more time for the next response than the last one took."""
        seconds = RENEW_TIMEOUT_RATIO * response_seconds
        self._renew_timeout_seconds = min(
            MAX_RENEW_TIMEOUT_SECONDS, max(MIN_RENEW_TIMEOUT_SECONDS, seconds)
        )

    async def _wait_for_acknowledgement(self) -> None:
        """Wait for ended runs to become durable, so that they are not listed again."""
        if self.processed_number <= self.acknowledged_number:
            return
        self._acknowledged.clear()
        try:
            async with asyncio.timeout(ACKNOWLEDGE_WAIT_SECONDS):
                await self._acknowledged.wait()
        except TimeoutError:
            log.debug("ended runs are not durable yet", extra=self._extra())

    def acknowledge(self, number: int, born_ms: int | None) -> None:
        """Record that all ended runs up to ``number`` of an incarnation are durable."""
        if born_ms == self.born_ms:
            self.acknowledged_number = max(self.acknowledged_number, number)
        self._acknowledged.set()

    def _apply_renewal(self, renewed: Renewed, sent_at: float, token: int) -> None:
        now = asyncio.get_running_loop().time()
        if self.born_ms is not None and renewed.born_ms != self.born_ms:
            self._check_restart(renewed, sent_at)
            self._begin_incarnation(renewed.born_ms, sent_at)
        self._is_incarnation_gone = False
        self.born_ms = renewed.born_ms
        if (
            self.last_contact_at is None
            or now - self.last_contact_at > self._contact_timeout_seconds
        ):
            log.info(
                "worker answers",
                extra=self._extra(
                    active=len(renewed.active),
                    born_ms=renewed.born_ms,
                    clock_ms=renewed.clock_ms,
                ),
            )
        self.last_contact_at = now
        self.obeyed_at = sent_at
        self._lease_clock.record_clock(renewed.clock_ms)
        self._apply_ended_runs(renewed.ended)
        active_by_task = {active.task: active for active in renewed.active}
        for run in list(self.run_by_task.values()):
            active = active_by_task.pop(run.task, None)
            if active is not None:
                self._reconcile_active(run, active, sent_at)
            elif renewed.has_all_ended:
                self._reconcile_missing(run, sent_at, token)
        for active in active_by_task.values():
            self._stop_orphaned_run(active)
        self._listener.on_report(self)

    def _apply_ended_runs(self, ended: tuple[EndedRun, ...]) -> None:
        for end in ended:
            if end.number <= self.processed_number:
                continue
            self.processed_number = end.number
            run = self.run_by_task.get(end.task)
            if run is not None and run.number == end.run:
                self._remove(run)
            self._listener.on_end(self, end)

    def _reconcile_active(self, run: Run, active: ActiveRun, sent_at: float) -> None:
        if active.run != run.number:
            self._wait_for_other_run(run, active)
            return
        self._confirm(run)
        run.record_progress(active.progress_percent, self.last_contact_at or 0.0)
        run.usage = active.usage
        self._check_probation(run, sent_at)
        if run.stop_requested:
            self._send_stop(run)

    def _reconcile_missing(self, run: Run, sent_at: float, token: int) -> None:
        """Drop a run that is neither active nor ended, so that it does not exist.

        This needs a complete list of ends: one that is cut off may leave out the end.
        """
        is_resolved = run.state is RunState.UNKNOWN and token >= run.resolving_token
        is_vanished = run.state is RunState.ACTIVE and run.confirmed_at < sent_at
        if is_resolved and (run.start_sent_at or 0.0) > self._incarnation_known_at:
            run.start_sent_at = None  # no earlier incarnation can have begun it
        if is_resolved or is_vanished:
            self._drop_run(run, "not started" if is_resolved else "vanished")

    def _wait_for_other_run(self, run: Run, active: ActiveRun) -> None:
        """Stop another run of the same task, whose start order arrived late.

        Until a later list shows that it has ended, ``run`` counts as active, so that
        neither it nor a further run of the task is started. It is not on the worker, so
        it can't have crashed it.
        """
        self._confirm(run)
        run.passed_probation = True
        now = asyncio.get_running_loop().time()
        if run.stop_sent_at and now - run.stop_sent_at < STOP_RETRY_SECONDS:
            return
        run.stop_sent_at = now
        self._stop_orphaned_run(active)

    def _stop_orphaned_run(self, active: ActiveRun) -> None:
        self._counters.increment("run.stray")
        log.warning(
            "stray run is stopped",
            extra=self._extra(task=str(active.task), run=active.run),
        )
        self._spawn(self._stop(active.task, active.run))

    # Crashes

    def _check_probation(self, run: Run, listed_at: float) -> None:
        if run.passed_probation or not has_passed_probation(run, listed_at):
            return
        run.passed_probation = True
        self._listener.on_probation_passed(self, run)

    def _on_incarnation_gone(self) -> None:
        """Handle that the worker's process is not there, or another one is.

        This is a crash unless the worker was about to leave. If it has not answered
        this lease holder, an earlier one may have counted the crash, and which runs had
        passed their probation is unknown: only isolated runs are suspects then.
        """
        is_silent = not self._has_responded(asyncio.get_running_loop().time())
        self.last_contact_at = None  # no more starts before it answers again
        if self._is_incarnation_gone:
            return
        self._is_incarnation_gone = True
        if not self._is_in_service:
            return
        runs = list(self.run_by_task.values())
        if self.born_ms is not None:
            self._record_crash(runs, is_silent)
            return
        self._listener.on_missing(self, runs)
        isolated = [run for run in runs if run.is_isolated and not run.was_suspected]
        if isolated:
            self._record_crash(isolated)

    def _check_restart(self, renewed: Renewed, sent_at: float) -> None:
        """Record a crash if the worker was restarted without a longer silence.

        One that was silent for longer was lost for another reason, such as a power
        failure: connections to a crashed worker are refused.
        """
        is_silent = not self._has_responded(asyncio.get_running_loop().time())
        if self._is_incarnation_gone or is_silent or not self._is_in_service:
            return
        active_tasks = {active.task for active in renewed.active}
        self._record_crash(
            [
                run
                for run in self.run_by_task.values()
                if run.task not in active_tasks
                and run.start_sent_at is not None
                and run.start_sent_at < sent_at
            ]
        )

    @property
    def _is_in_service(self) -> bool:
        return self.is_registered and not self.info.is_draining

    def _record_crash(
        self, candidates: list[Run], is_after_silence: bool = False
    ) -> None:
        self._crash_candidates = candidates
        self.crash_noticed_at = asyncio.get_running_loop().time()
        self.is_crash_after_silence = is_after_silence
        self._report_crash()

    def _report_crash(self) -> None:
        """Report a crash, as soon as it is known which starts were refused."""
        candidates = self._crash_candidates
        if any(run.task in self._tasks_in_flight for run in candidates):
            return
        self._crash_candidates = []
        suspects = find_suspects(candidates)
        for run in suspects:
            run.was_suspected = True
        self._listener.on_crash(self, suspects)

    def _begin_incarnation(self, born_ms: int, sent_at: float) -> None:
        """Reset all counters; runs of the earlier incarnation no longer exist.

        A start order may have reached the new incarnation already, so runs that were
        confirmed after the list was requested, or not at all, are resolved by the next
        list. Orders that were not sent yet are sent to the new incarnation.
        """
        log.info("worker was restarted", extra=self._extra(born_ms=born_ms))
        self._incarnation_known_at = asyncio.get_running_loop().time()
        self.processed_number = 0
        self.acknowledged_number = 0
        self._lease_clock.reset_leases()
        self._token += 1
        for run in self.run_by_task.values():
            if run.state is RunState.RESERVED:
                continue
            if run.state is RunState.ACTIVE and run.confirmed_at < sent_at:
                continue  # the current list shows whether the run exists
            run.state = RunState.UNKNOWN
            run.resolving_token = self._token

    def _number_to_acknowledge(self) -> int:
        """Return the number up to which the worker may forget ended runs.

        After a failed renewal the worker may be a new incarnation, which numbers its
        ended runs from one. A number that was acknowledged to the earlier incarnation
        would make it forget them, so none is sent.
        """
        is_other_incarnation = self.info.born_ms not in (0, self.born_ms)
        if self._polls_immediately or is_other_incarnation:
            return 0
        return self.acknowledged_number

    def _drop_replaced_runs(self) -> None:
        """Drop the runs of a worker at whose address another incarnation answers.

        The worker's process has ended, and its lease need not be awaited: the other
        incarnation refuses orders for this one, also those that arrive late.
        """
        for run in list(self.run_by_task.values()):
            if run.state is RunState.RESERVED or run.task in self._tasks_in_flight:
                continue  # the answer to the start order decides
            self._drop_run(run, "another incarnation is at the worker's address")

    def _drop_lapsed_runs(self, now: float) -> None:
        if self._has_responded(now) or now < self._lease_clock.latest_lapse_at():
            return
        for run in list(self.run_by_task.values()):
            self._drop_run(run, "lease lapsed")

    # Orders

    async def _start(
        self, run: Run, payload: str, checkpoint: str, ticket: str
    ) -> None:
        async with self._order_slots:
            if self.run_by_task.get(run.task) is not run or run.stop_requested:
                self._drop_run(run, "stopped before its start")
                return
            if run.state is not RunState.RESERVED:
                return  # another run of the task is still on the worker
            obstacle = self._find_obstacle()
            if obstacle is not None:
                self._counters.increment(f"start.{obstacle}")
                self._drop_run(run, f"no start is allowed: {obstacle}")
                return
            token = self._token
            lease_end_ms = self._next_lease_end_ms()
            if lease_end_ms is None:
                self._drop_run(run, "the worker does not answer")
                return
            order = StartOrder(
                run.task, run.number, payload, lease_end_ms, checkpoint, ticket
            )
            run.state = RunState.ASSIGNED
            run.start_sent_at = asyncio.get_running_loop().time()
            self._tasks_in_flight.add(run.task)
            outcome = await self._send_start(token, order)
            self._tasks_in_flight.discard(run.task)
        if isinstance(outcome, Refused):
            run.start_sent_at = None
        if self.run_by_task.get(run.task) is run:
            self._apply_start(run, outcome, token)
        if self._crash_candidates:
            self._report_crash()

    def _apply_start(self, run: Run, outcome: OrderOutcome, token: int) -> None:
        extra = self._extra(task=str(run.task), run=run.number, token=token)
        match outcome:
            case Accepted():
                self._confirm(run)
                self._counters.increment("start.accepted")
                log.info("run started", extra=extra)
                self._listener.on_started(self, run)
                if run.stop_requested:
                    self._send_stop(run)
            case Refused(reason, detail):
                self._counters.increment(f"start.refused.{reason}")
                log.info(
                    "start refused", extra={**extra, "reason": reason, "detail": detail}
                )
                if reason is RefusalReason.FENCED:
                    self._check_fenced(token)
                if reason is RefusalReason.UNREACHABLE:
                    # No more starts are sent before the next successful renewal.
                    self.last_contact_at = None
                self._drop_run(run, f"start refused: {reason}")
                if reason in GONE_REASONS:
                    self._on_incarnation_gone()
            case Unanswered(detail):
                self._counters.increment("start.unanswered")
                log.info("start unanswered", extra={**extra, "detail": detail})
                if run.state is RunState.ASSIGNED:
                    self._token += 1
                    run.state = RunState.UNKNOWN
                    run.resolving_token = self._token

    async def _send_start(self, token: int, order: StartOrder) -> OrderOutcome:
        try:
            return await self._orders.start(self._target(token), order)
        except Exception as error:
            self._counters.increment("worker.unexpected_error")
            log.exception("start order failed", extra=self._extra())
            return Unanswered(repr(error))

    def _send_stop(self, run: Run) -> None:
        now = asyncio.get_running_loop().time()
        if run.stop_sent_at and now - run.stop_sent_at < STOP_RETRY_SECONDS:
            return
        run.stop_sent_at = now
        self._spawn(self._stop(run.task, run.number))

    async def _stop(self, task: TaskId, number: int) -> None:
        async with self._order_slots:
            token = self._token
            outcome = await self._orders.stop(self._target(token), task, number)
        log.info(
            "stop ordered",
            extra=self._extra(task=str(task), run=number, outcome=repr(outcome)),
        )
        if isinstance(outcome, Refused) and outcome.reason is RefusalReason.FENCED:
            self._check_fenced(token)

    async def _throttle(self, run: Run, percent: int) -> None:
        async with self._order_slots:
            token = self._token
            outcome = await self._orders.throttle(
                self._target(token), run.task, run.number, percent
            )
        if isinstance(outcome, Refused) and outcome.reason is RefusalReason.FENCED:
            self._check_fenced(token)
        match outcome:
            case Accepted():
                self._counters.increment("throttle.accepted")
            case Refused() | Unanswered():
                if self.run_by_task.get(run.task) is run:
                    self.load.set_speed(run, UNKNOWN_PERCENT)
                self._counters.increment("throttle.failed")
                log.info(
                    "throttle failed",
                    extra=self._extra(task=str(run.task), outcome=repr(outcome)),
                )

    def _check_fenced(self, token: int) -> None:
        """Give up the lease unless this link itself has raised the token since.

        A higher token that is not its own means that another entry has the lease.
        """
        if token < self._token:
            return
        self._failure = LeadershipLostError(
            f"worker {self.worker} has seen a higher fencing token than {token}"
        )

    # Internal state

    def _target(self, token: int) -> WorkerTarget:
        return WorkerTarget(self.worker, self.info.address, token)

    def _confirm(self, run: Run) -> None:
        if run.state is not RunState.ACTIVE:
            run.state = RunState.ACTIVE
            run.confirmed_at = asyncio.get_running_loop().time()
            self._listener.on_confirmed(self, run)

    def _unresolved_runs(self) -> list[Run]:
        return [
            run for run in self.run_by_task.values() if run.state is RunState.UNKNOWN
        ]

    def _add(self, run: Run) -> None:
        self.run_by_task[run.task] = run
        self.load.add(run)

    def _remove(self, run: Run) -> None:
        if self.run_by_task.get(run.task) is run:
            del self.run_by_task[run.task]
            self.load.add(run, -1)

    def _drop_run(self, run: Run, reason: str) -> None:
        if self.run_by_task.get(run.task) is not run:
            return
        self._remove(run)
        self._listener.on_lost(self, run, reason)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        match task.exception():
            case None:
                return
            case LeadershipLostError() as error:
                self._failure = error
            case error:
                self._counters.increment("worker.unexpected_error")
                log.error("order failed", extra=self._extra(), exc_info=error)

    def _extra(self, **values: object) -> dict[str, object]:
        return {"worker": self.worker, **values}
