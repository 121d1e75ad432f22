"""Decides which waiting task runs on which worker."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.jobs.model import Configuration, QueueSettings, TaskId
from savorydale.jobs.progress import JobProgress, StepProgress, Task
from savorydale.orders.runs import Run
from savorydale.orders.worker_link import WorkerLink
from savorydale.placement.advice import PolicyService, StepName
from savorydale.placement.choice import (
    ANY_SPEED,
    MIN_BACKFILL_SPEED,
    Candidate,
    can_host,
    min_backfill_speed,
    unused_millicores,
)
from savorydale.placement.failed_placements import FailedPlacements
from savorydale.placement.isolation import SuspectIsolation
from savorydale.placement.isolation_waits import IsolationWaits
from savorydale.placement.restart_delays import delayed_tasks
from savorydale.placement.start_turns import StartTurns
from savorydale.queueing.order import PlacementRank, rank_replicas, rank_step
from savorydale.scheduler.fleet import Fleet, Fleets
from savorydale.scheduler.last_resort import LastResort
from savorydale.scheduler.planning_counts import PlanningCounts
from savorydale.scheduler.refusals import Refusals
from savorydale.scheduler.retry_elsewhere import workers_to_avoid
from savorydale.scheduler.state import SchedulerState
from savorydale.scheduler.turns import Turns, WaitingTasks
from savorydale.scheduler.waiting import WaitDecisions, WaitReason
from savorydale.scheduler.worker_scores import WorkerScores

MAX_ROUND_SECONDS = 0.05
# Share of a round's time, after the ranking, for steps that were not considered for
# longest, if not all are considered in the order of their rank.
TURN_RATIO = 0.3
MIN_TURNS = 5  # of each round: a step of each kind
MIN_PLACING_SECONDS = 0.025  # of each round, however long the ranking takes
MAX_IDLE_SECONDS = 2.0  # of a job without a running task
MILLISECONDS_PER_SECOND = 1000

log = logging.getLogger(__name__)


class PendingStart(NamedTuple):
    """A start order that waits until its assignment is durable."""

    link: WorkerLink
    run: Run
    payload: str
    checkpoint: str
    ticket: str


class PlanningRound(NamedTuple):
    """What one round knows; it began at ``now`` on the loop's clock."""

    now: float
    fleets: Fleets
    failed_placements: FailedPlacements


class PlannerLimits(NamedTuple):
    """Limits on occurrences of a job.

    They may start ``early_ms`` before they are due, and at most
    ``max_waiting_occurrences`` of one job are scheduled at the same time.
    """

    early_ms: float
    max_waiting_occurrences: int


class Planner:
    """Places waiting tasks; they start once their assignments are durable."""

    def __init__(
        self,
        state: SchedulerState,
        limits: PlannerLimits,
        counters: Counters,
        read_configuration: Callable[[], Configuration | None],
        policy: PolicyService | None,
        set_aside: Callable[[str, str], None],
    ):
        self._state = state
        self._limits = limits
        self._set_aside = set_aside
        self._counters = counters
        self._read_configuration = read_configuration
        self._policy = policy
        self._starts: list[PendingStart] = []
        self._turns = Turns()
        self._scores = WorkerScores(state)
        self.wait_decisions = WaitDecisions(self._configuration_version)
        self._isolation = SuspectIsolation()
        self._isolation_waits = IsolationWaits()
        self._refusals = Refusals(state, self._isolation, self.wait_decisions)
        self._last_resort = LastResort(state, self._isolation)
        self._start_turns = StartTurns()
        self._counts = PlanningCounts()
        self._policy_queries: set[asyncio.Task[None]] = set()

    def take_starts(self) -> list[PendingStart]:
        """Return the starts planned since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def take_counts(self) -> PlanningCounts:
        """Return the counts since the last call."""
        counts, self._counts = self._counts, PlanningCounts()
        return counts

    def plan(self) -> bool:
        """Place ready tasks that fit, in the order of their rank.

        Returns whether all steps were considered: a round is cut off after
        `MAX_ROUND_SECONDS`, or `MIN_PLACING_SECONDS` after a longer ranking, so that it
        does not delay the rest of the process. The next rounds skip steps that were
        refused, until a round considers all others or the refusal lapses.

        The last `TURN_RATIO` of such a round goes to the steps that were not considered
        for longest, `MIN_TURNS` of them in any case. So each service is considered at
        least once in as many rounds as steps of its kind wait; see `Turns.order`. The
        same holds for each other step, but for jobs that miss their cutoff while hardly
        any capacity for them is free.
        """
        started_at = asyncio.get_running_loop().time()
        self.wait_decisions.record_round()
        is_complete = self._plan_round(started_at)
        self._counts.rounds += 1
        self._counts.cut_rounds += not is_complete
        self._counts.seconds += asyncio.get_running_loop().time() - started_at
        return is_complete

    def _plan_round(self, now: float) -> bool:
        # An occurrence may start ``early_ms`` before it is due; half of that is used.
        unix_ms = time.time() * MILLISECONDS_PER_SECOND + self._limits.early_ms / 2
        steps = self._ready_steps(unix_ms)
        waiting = [(step, step.waiting_tasks()) for step in steps]
        waiting = [item for item in waiting if item[1]]
        self._observe_batch_demand(waiting, now)
        waiting = self._leave_out_held_suspects(waiting, now)
        self._begin_isolation(now)
        waiting = [part for item in waiting for part in self._split_suspects(*item)]
        fleets = Fleets(self._state, now)
        ranked = self._rank_waiting(waiting, fleets, now)
        self._counts.steps_waiting += len(ranked)
        self._turns.begin_round((each.key for each in ranked), now)
        self._refusals.begin_round((each.key for each in ranked), fleets)
        self._last_resort.begin_round(now)
        this_round = PlanningRound(now, fleets, FailedPlacements())
        is_complete = self._plan_ranked(ranked, this_round)
        self._scores.clear()
        if is_complete:
            self._refusals.clear()
        return is_complete

    def _plan_ranked(
        self, ranked: list[WaitingTasks], this_round: PlanningRound
    ) -> bool:
        """Consider steps by rank, then by turns; return whether all were considered."""
        loop = asyncio.get_running_loop()
        ends_at = max(
            this_round.now + MAX_ROUND_SECONDS, loop.time() + MIN_PLACING_SECONDS
        )
        turns_begin_at = ends_at - TURN_RATIO * (ends_at - loop.time())
        skipped: list[WaitingTasks] = []
        for position, waiting in enumerate(ranked):
            if loop.time() > turns_begin_at:
                unreached = ranked[position:]
                break
            if not self._consider(waiting, this_round, is_turn=False):
                skipped.append(waiting)
        else:
            return True
        ordered = self._turns.order(
            [*skipped, *unreached],
            lambda step: self._was_ample_for(step, this_round.fleets),
        )
        for number, waiting in enumerate(ordered):
            if number >= MIN_TURNS and loop.time() > ends_at:
                first_unreached = unreached[0].position
                self._record_cut(
                    [
                        each
                        for each in ordered[number:]
                        if each.position >= first_unreached
                    ],
                    this_round.now,
                )
                return False
            self._consider(waiting, this_round, is_turn=True)
        return True

    def _record_cut(self, unreached: list[WaitingTasks], now: float) -> None:
        self._counts.steps_not_reached += len(unreached)
        for each in unreached:
            self.wait_decisions.record_skip(
                each.step.spec, each.tasks, WaitReason.ROUNDS_CUT_OFF, now
            )

    def _consider(
        self, waiting: WaitingTasks, this_round: PlanningRound, is_turn: bool
    ) -> bool:
        """Try to place waiting tasks; return whether they were considered.

        An overdue service without another place has a last resort; see `LastResort`.
        """
        queue = waiting.step.job.queue
        fleet = this_round.fleets.for_service(self.service_of(queue))
        is_considered = self._consider_fleet(waiting, fleet, this_round, is_turn)
        return self._place_as_last_resort(waiting, fleet, this_round) or is_considered

    def _place_as_last_resort(
        self, waiting: WaitingTasks, fleet: Fleet, this_round: PlanningRound
    ) -> bool:
        """Place an overdue service that has no other place; return whether it is."""
        now, step = this_round.now, waiting.step
        last_resort = self._last_resort.find_fleet(waiting, fleet)
        if last_resort is None:
            return False
        if self._place_allowed(step, waiting.tasks, last_resort, now):
            return True
        if not self._needs_advice(step):
            self._last_resort.record_failure(waiting, last_resort)
        return False

    def _consider_fleet(
        self,
        waiting: WaitingTasks,
        fleet: Fleet,
        this_round: PlanningRound,
        is_turn: bool,
    ) -> bool:
        """Try to place waiting tasks on a fleet; return whether they were considered.

        They are not if a recent round has found no worker for them, or another task of
        their step. On their turn, only a refusal of the same round counts.
        """
        now = this_round.now
        step, tasks = waiting.step, waiting.tasks
        if step.spec.gang and len(tasks) < step.unfinished_count:
            self._turns.record(waiting.key, now)
            self.wait_decisions.record_skip(
                step.spec, tasks, WaitReason.GANG_NOT_ENDED, now
            )
            return True
        if not fleet.free_before.may_fit(step.spec):
            self._turns.record(waiting.key, now)
            self._counts.count_refusal(step.spec, [])
            self._refusals.explain(waiting, fleet, False, now)
            return True
        refusal = self._refusals.find_recent(waiting.key, now)
        if refusal is not None and (not is_turn or refusal.at == now):
            self._refusals.record_skip(waiting, refusal, now)
            return False
        self._turns.record(waiting.key, now)
        self._try_to_place(waiting, fleet, this_round)
        return True

    def _try_to_place(
        self, waiting: WaitingTasks, fleet: Fleet, this_round: PlanningRound
    ) -> None:
        """Look for workers for waiting tasks, and record it if there are too few."""
        now, _, failed_placements = this_round
        step, tasks = waiting.step, waiting.tasks
        needs_advice = self._needs_advice(step)
        if waiting.is_suspect:
            if not self._place_suspects(step, tasks, fleet, now):
                self._refusals.record(waiting, fleet, needs_advice, now)
            return
        open_fleet = self._open_to_others(fleet)
        if needs_advice:
            if not self._place_allowed(step, tasks, open_fleet, now):
                self._refusals.explain(waiting, fleet, needs_advice, now)
            return
        service = fleet.service
        min_speed = self._min_speed(step, tasks, fleet, now)
        if failed_placements.covers(service, step.spec, min_speed):
            self.wait_decisions.record_skip(step.spec, tasks, WaitReason.COVERED, now)
            return
        if not self._place(step, tasks, open_fleet, min_speed, now):
            self._refusals.record(waiting, fleet, needs_advice, now)
            fits_somewhere = open_fleet.fits(step.spec)
            failed_placements.add(service, step.spec, min_speed, fits_somewhere)

    def _leave_out_held_suspects(
        self, waiting: list[tuple[StepProgress, list[Task]]], now: float
    ) -> list[tuple[StepProgress, list[Task]]]:
        """Return the waiting tasks without suspects that must start at another time.

        The members of a gang start together, so they take no turns. All of them wait
        while a crash is not judged yet of which one of them is a suspect, or while the
        restart of one of them is delayed.
        """
        history = self._state.crash_history
        suspect_by_id = self._state.job_tracker.suspect_by_id
        delayed = delayed_tasks(suspect_by_id, history, now)
        not_yet = delayed | history.unjudged_tasks()
        gangs = _gangs(waiting) if suspect_by_id else []
        members: set[TaskId] = set().union(*gangs)
        self._start_turns.begin_round(
            {name: task for name, task in suspect_by_id.items() if name not in members},
            not_yet,
            history.coincident_groups(),
            len(self._state.link_by_worker),
            now,
        )
        held = self._start_turns.held.union(
            *(gang for gang in gangs if not not_yet.isdisjoint(gang))
        )
        if not held:
            return waiting
        for step, tasks in waiting:
            self._record_held(step, tasks, held - delayed, delayed, now)
        parts = [
            (step, [task for task in tasks if task.id not in held])
            for step, tasks in waiting
        ]
        return [part for part in parts if part[1]]

    def _record_held(
        self,
        step: StepProgress,
        tasks: list[Task],
        held: set[TaskId],
        delayed: set[TaskId],
        now: float,
    ) -> None:
        names_by_reason = {
            WaitReason.SUSPECT_WAITS_FOR_TURN: held,
            WaitReason.RESTART_DELAYED: delayed,
        }
        for reason, names in names_by_reason.items():
            held_tasks = [task for task in tasks if task.id in names]
            self.wait_decisions.record_skip(step.spec, held_tasks, reason, now)

    def _begin_isolation(self, now: float) -> None:
        run_by_task_by_worker = {
            link.worker: link.run_by_task for link in self._state.links
        }
        suspect_by_id = self._state.job_tracker.suspect_by_id
        self._isolation_waits.retain(
            {name for name, task in suspect_by_id.items() if task.is_waiting}
        )
        suspects = {
            name: task
            for name, task in suspect_by_id.items()
            if task.crashes.must_be_isolated or name in self._start_turns.small_turn
            if not self._starts_beside_others(task, now)
        }
        self._isolation.begin_round(suspects, run_by_task_by_worker, now)

    def _starts_beside_others(self, task: Task, now: float) -> bool:
        """Return whether a suspect need not be isolated, or was not when it started."""
        if task.is_waiting:
            crashed_at = self._state.crash_history.latest_crash_at(task.id)
            return self._isolation_waits.is_over(task.id, crashed_at, now)
        link = self._state.link_by_worker.get(task.worker)
        run = link.run_by_task.get(task.id) if link else None
        return run is not None and run.spec.long_running and not run.is_isolated

    def _split_suspects(
        self, step: StepProgress, tasks: list[Task]
    ) -> list[tuple[StepProgress, list[Task]]]:
        """Return the suspects of a step apart from its other tasks; a gang is whole."""
        if step.spec.gang:
            return [(step, tasks)]
        return [(step, part) for part in self._isolation.split(tasks)]

    def _place_suspects(
        self, step: StepProgress, tasks: list[Task], fleet: Fleet, now: float
    ) -> bool:
        """Place a suspect, or a gang with suspects, apart from other new runs.

        A gang that finds too few such workers is placed like any other: waiting for
        several workers at the same time might take forever.
        """
        free = self._isolation.candidates_for_suspect(tasks[0], fleet.candidates)
        if self._place_allowed(step, tasks, fleet._replace(candidates=free), now):
            return True
        if step.spec.gang:
            return self._place_allowed(step, tasks, self._open_to_others(fleet), now)
        takers = self._find_takers(step, tasks, fleet, now)
        if takers:
            self._isolation.reserve(tasks[0], step.spec, takers)
            if step.spec.long_running:
                self._isolation_waits.record(tasks[0].id, now)
        return False

    def _find_takers(
        self, step: StepProgress, tasks: list[Task], fleet: Fleet, now: float
    ) -> list[Candidate]:
        """Return the workers that could take a suspect if they had no other new runs.

        It waits in vain for all others.
        """
        min_speed = self._min_speed(step, tasks, fleet, now)
        fleet = self._allowed_fleet(step, fleet, now)
        scored = self._scores.score_anew(step, fleet, min_speed)
        if scored is None:
            return []
        task = Task(tasks[0].id)  # where it has failed does not matter here
        return list(iter(lambda: scored.chooser.choose(task), None))

    def _open_to_others(self, fleet: Fleet) -> Fleet:
        """Return the fleet without the workers that are held for suspects."""
        candidates = self._isolation.candidates_for_others(fleet.candidates)
        return fleet._replace(candidates=candidates)

    def _place_allowed(
        self, step: StepProgress, tasks: list[Task], fleet: Fleet, now: float
    ) -> bool:
        """Place tasks of a step on the workers that the policy allows, if asked."""
        min_speed = self._min_speed(step, tasks, fleet, now)
        fleet = self._allowed_fleet(step, fleet, now)
        return self._place(step, tasks, fleet, min_speed, now)

    def _allowed_fleet(self, step: StepProgress, fleet: Fleet, now: float) -> Fleet:
        """Return the fleet without the workers that the policy does not allow yet."""
        if not self._needs_advice(step):
            return fleet
        allowed = self._allowed_candidates(step, fleet.candidates, now)
        return fleet._replace(candidates=allowed)

    def _ready_steps(self, unix_ms: float) -> list[StepProgress]:
        """Return the ready steps of all jobs; a job that raises an error is set aside.

        Only that job fails. Otherwise, its error would end the term of this holder and
        of every later one.
        """
        steps: list[StepProgress] = []
        for job in list(self._state.job_tracker.job_by_id.values()):
            try:
                steps += job.ready_steps(unix_ms, self._limits.max_waiting_occurrences)
            except Exception as error:
                log.exception("job cannot be scheduled", extra={"job": job.id})
                self._set_aside(job.id, repr(error))
        return steps

    def _min_speed(
        self, step: StepProgress, tasks: list[Task], fleet: Fleet, now: float
    ) -> float:
        """Return the speed below which the step's backfill waits.

        While the fleet is not busy, a job without a running task may eventually start
        one task at any speed, and soon where most of the CPU is unreserved. More tasks
        would take memory that others could use.
        """
        if not step.spec.backfill:
            return 0.0
        waited_seconds = _seconds_waited(step, tasks, now)
        is_idle = not self._has_live_run(step.job, now)
        is_overdue = is_idle and waited_seconds > MAX_IDLE_SECONDS
        if is_overdue and fleet.is_mostly_unreserved:
            return ANY_SPEED
        return min_backfill_speed(waited_seconds, is_idle and not fleet.is_busy)

    def _has_live_run(self, job: JobProgress, now: float) -> bool:
        """Return whether a task of a job is assigned to a worker in contact.

        A run on any other worker may have ended, though that is known only later.
        """
        links = (
            self._state.link_by_worker.get(task.worker) for task in job.assigned_tasks()
        )
        return any(link is not None and link.is_in_contact(now) for link in links)

    def _rank_waiting(
        self,
        waiting: list[tuple[StepProgress, list[Task]]],
        fleets: Fleets,
        now: float,
    ) -> list[WaitingTasks]:
        """Return the waiting steps sorted by rank; replicas are listed one by one."""
        ranked: list[tuple[PlacementRank, StepProgress, list[Task]]] = []
        for step, tasks in waiting:
            if not step.spec.long_running:
                ranked.append((rank_step(step, now), step, tasks))
                continue
            has_capacity = self._was_ample_for(step, fleets)
            if step.spec.gang:
                ranked.append((rank_step(step, now, has_capacity), step, tasks))
                continue
            ranks = rank_replicas(step, tasks, now, has_capacity)
            ranked += [(rank, step, [task]) for rank, task in ranks]
        ranked.sort(key=lambda item: item[0])
        return [
            self._make_waiting(position, rank, step, tasks)
            for position, (rank, step, tasks) in enumerate(ranked)
        ]

    def _was_ample_for(self, step: StepProgress, fleets: Fleets) -> bool:
        """Return whether several tasks of a step fitted when the round began."""
        fleet = fleets.for_service(self.service_of(step.job.queue))
        return fleet.free_before.was_ample_for(step.spec)

    def _make_waiting(
        self, position: int, rank: PlacementRank, step: StepProgress, tasks: list[Task]
    ) -> WaitingTasks:
        is_suspect = self._isolation.is_suspect(tasks)
        key = tasks[0].id if is_suspect else step
        return WaitingTasks(position, step, tasks, key, is_suspect, rank.misses_cutoff)

    def _needs_advice(self, step: StepProgress) -> bool:
        configuration = self._read_configuration()
        queues = configuration.queue_by_name if configuration else {}
        queue = queues.get(step.job.queue.name, step.job.queue)
        return queue.needs_advice and self._policy is not None

    def _allowed_candidates(
        self, step: StepProgress, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the workers with a valid ticket; query the policy about the others."""
        name = _name_of(step)
        count_by_worker = step.count_by_worker()
        hosts = [
            candidate
            for candidate in candidates
            if can_host(step.spec, candidate, count_by_worker[candidate.worker])
        ]
        hosts.sort(key=lambda candidate: -unused_millicores(candidate.load))
        workers = [candidate.worker for candidate in hosts]
        workers_to_query = self._state.advice.next_query(name, workers, now)
        if workers_to_query is not None:
            self._start_query(name, workers_to_query)
        return [
            candidate
            for candidate in candidates
            if self._state.advice.ticket(name, candidate.worker, now)
        ]

    def _start_query(self, step: StepName, workers: list[str]) -> None:
        query = asyncio.create_task(self._query_policy(step, workers))
        self._policy_queries.add(query)
        query.add_done_callback(self._policy_queries.discard)

    async def _query_policy(self, step: StepName, workers: list[str]) -> None:
        assert self._policy is not None
        try:
            answer = await self._policy.query(step, workers)
        except Exception:
            log.exception("policy query failed", extra={"step": str(step)})
            answer = None
        now = asyncio.get_running_loop().time()
        advice = self._state.advice
        if advice.awaits_answer(step):
            advice.record_answer(step, workers, answer, now)
        while requested := advice.take_requested_query(now):
            self._start_query(*requested)

    def _observe_batch_demand(
        self, waiting: list[tuple[StepProgress, list[Task]]], now: float
    ) -> None:
        running_millicores = sum(
            link.load.batch_millicores for link in self._state.links
        )
        waiting_millicores = sum(
            step.spec.cpu_millicores * len(tasks)
            for step, tasks in waiting
            if not step.spec.long_running and not step.spec.backfill
        )
        self._state.batch_demand.observe(running_millicores + waiting_millicores, now)

    def service_of(self, queue: QueueSettings) -> str:
        """Return a queue's service, preferably as the configuration names it now."""
        configuration = self._read_configuration()
        current = configuration.queue_by_name.get(queue.name) if configuration else None
        return current.service if current else queue.service

    def _place(
        self,
        step: StepProgress,
        tasks: list[Task],
        fleet: Fleet,
        min_speed: float,
        now: float,
    ) -> bool:
        """Place as many tasks of a step as fit; return whether all of them do.

        Tasks that fit only where they have failed do not count for some time.

        If backfill may start below `MIN_BACKFILL_SPEED`, at most one task is placed,
        or one gang; see `_min_speed`.
        """
        is_slow = step.spec.backfill and min_speed < MIN_BACKFILL_SPEED
        if is_slow and not step.spec.gang:
            tasks = tasks[:1]
        scored = self._scores.score(step, fleet, min_speed)
        if scored is None:
            self._counts.count_refusal(step.spec, [])
            return False
        chosen: list[tuple[Task, Run, WorkerLink]] = []
        postponed_count = 0
        for task in tasks:
            avoided = workers_to_avoid(step, task, fleet, now)
            candidate = scored.chooser.choose(task, avoided)
            if candidate is None and avoided and scored.chooser.has_workers:
                postponed_count += 1
                continue
            if candidate is None:
                self._counts.count_refusal(step.spec, scored.candidates)
                break
            link = self._state.link_by_worker[candidate.worker]
            run = Run(task.id, task.run + 1, step.spec, now)
            run.is_isolated = self._isolation.is_suspect([task])
            link.reserve(run)
            self._scores.record_placement(scored, step, candidate)
            chosen.append((task, run, link))
        if step.spec.gang and len(chosen) < len(tasks):
            for _, run, link in chosen:
                link.unreserve(run)
            return False
        if step.spec.gang:
            self._align_gang(chosen)
        for task, run, link in chosen:
            self._isolation.record_placement(link.worker, task.id)
            self._start_turns.record_start(task.id, now)
            self._assign(step, task, run, link, fleet.is_last_resort)
        self._counts.tasks_placed += len(chosen)
        return len(chosen) + postponed_count == len(tasks)

    def _configuration_version(self) -> int:
        configuration = self._read_configuration()
        return configuration.version if configuration else 0

    def _align_gang(self, chosen: list[tuple[Task, Run, WorkerLink]]) -> None:
        """Give all members the same run number and checkpoint."""
        newest = max((task for task, _, _ in chosen), key=lambda task: task.run)
        for task, run, _ in chosen:
            task.run = newest.run
            task.checkpoint = newest.checkpoint
            run.number = newest.run + 1

    def _assign(
        self,
        step: StepProgress,
        task: Task,
        run: Run,
        link: WorkerLink,
        is_last_resort: bool,
    ) -> None:
        self._state.job_tracker.assign(step, task, link.worker)
        name = _name_of(step)
        ticket = self._state.advice.ticket(name, link.worker, run.assigned_at)
        payload = step.job.row.spec.payload
        self._starts.append(PendingStart(link, run, payload, task.checkpoint, ticket))
        self._counters.increment("run.assigned")
        if is_last_resort:
            self._counters.increment("run.assigned_as_last_resort")
        log.info(
            "run assigned",
            extra={
                "job": task.id.job,
                "task": str(task.id),
                "run": task.run,
                "worker": link.worker,
                "age": round(run.assigned_at - step.job.added_at, 3),
                "last_resort": is_last_resort,
            },
        )


def _gangs(waiting: list[tuple[StepProgress, list[Task]]]) -> list[set[TaskId]]:
    """Return the waiting members of each gang."""
    return [{task.id for task in tasks} for step, tasks in waiting if step.spec.gang]


def _name_of(step: StepProgress) -> StepName:
    return StepName(step.job.id, step.occurrence, step.number)


def _seconds_waited(step: StepProgress, tasks: list[Task], now: float) -> float:
    """Return how long the oldest of a step's waiting tasks has waited."""
    return now - (min(task.wait_started_at for task in tasks) or step.job.added_at)
