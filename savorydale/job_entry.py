"""An entry: a process that accepts jobs, and schedules them while it has the lease."""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import AsyncIterator

from aiohttp import web

from savorydale.counters import Counters
from savorydale.exceptions import LeadershipLostError, OverloadedError, StoreError
from savorydale.jobs.model import Configuration
from savorydale.jobs.store import JobStore
from savorydale.jobs.submission_gate import SubmissionGate
from savorydale.jobs.validation import JobLimits
from savorydale.messages.vm_types import VmConfig
from savorydale.orders.interface import WorkerOrders
from savorydale.ownership.election import LeaseObservation, wait_for_lease
from savorydale.ownership.lease import EntryIdentity, SchedulerLease
from savorydale.platform.advice import PlatformPolicyService
from savorydale.platform.discovery import (
    OPERATOR_TABLE,
    WORKERS_TABLE,
    ConfigurationFollower,
    WorkerRegistry,
)
from savorydale.platform.frontend import Frontend
from savorydale.platform.http import HttpClient
from savorydale.platform.store import PlatformStore
from savorydale.platform.workers import PlatformWorkers
from savorydale.scheduler.term import JobScheduler, SchedulerTiming
from savorydale.storage.follow import follow_table
from savorydale.storage.rows import RowStore
from savorydale.web.monitoring import (
    make_metrics_application,
    make_readiness_application,
)

CONFIG_WAIT_SECONDS = 1.0
WORKERS_WAIT_SECONDS = 1.0
# Without a response of the store for this long, the entry reports that it is not
# ready, and the balancer sends callers to other entries.
STORE_CONTACT_TIMEOUT_SECONDS = 2.5
# A stop must finish within the grace period of the platform, usually six seconds.
RELEASE_TIMEOUT_SECONDS = 0.8
PAGES_SHUTDOWN_SECONDS = 0.1
SHUTDOWN_SECONDS = 1.2
RESPONSE_MARGIN_SECONDS = 0.2  # to send the last responses before their server closes
LAME_DUCK_SECONDS = 2.5  # the balancer reacts after two failed checks, 1 s apart
LAME_DUCK_RATIO = 0.4  # at most, as a ratio of the grace period
GIVE_UP_PAUSE_SECONDS = 5.0  # another entry may acquire the lease meanwhile
CLOCK_LOG_SECONDS = 30.0
CLOCK_JUMP_MS = 250.0
MILLISECONDS_PER_SECOND = 1000
ACQUIRE_DELAY_SECONDS = 0.1  # divided by the cores, so that larger VMs acquire first
MAX_ACQUIRE_DELAY_SECONDS = 0.6

log = logging.getLogger(__name__)


class JobEntry:
    """One entry: its front-end, and the scheduler while it holds the lease."""

    def __init__(
        self, config: VmConfig, http: HttpClient, counters: Counters, incarnation: str
    ):
        self._config = config
        self._counters = counters
        self._store: RowStore = PlatformStore(http, config["store"]["address"])
        policy_address = config["advice"]["address"]
        self._policy = (
            PlatformPolicyService(http, policy_address) if policy_address else None
        )
        self._lease: SchedulerLease | None = None
        self._lease_observation = LeaseObservation()
        gate = SubmissionGate(self._read_commit_version)
        self.job_store = JobStore(self._store, gate)
        self._frontend = Frontend(
            self.job_store,
            counters,
            self.read_configuration,
            self.is_stopping,
            self.is_store_reachable,
            _read_job_limits(config),
        )
        self._orders: WorkerOrders = PlatformWorkers(http, counters)
        self._configuration: Configuration | None = None
        self._store_contact_at = 0.0
        self._clock_offset_ms = 0.0
        self._clock_logged_at = 0.0
        self._is_stopping = False
        vm = config["vm"]
        cores = vm["processor_share"] * vm["processor_count"]
        self._identity = EntryIdentity(vm["name"], incarnation, cores)

    # State for callers and the load balancer

    def read_configuration(self) -> Configuration | None:
        """Return the current configuration, or ``None`` if none was read yet."""
        return self._configuration

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections to this entry."""
        if self._configuration is None or self._is_stopping:
            return False
        return self.is_store_reachable()

    def is_store_reachable(self) -> bool:
        """Return whether the store responded within the contact timeout."""
        elapsed_seconds = asyncio.get_running_loop().time() - self._store_contact_at
        return elapsed_seconds < STORE_CONTACT_TIMEOUT_SECONDS

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then finish the requests in progress."""
        async with self._servers():
            log.info("entry serves")
            await self.follow_and_schedule(stop)
        log.info("entry has stopped")

    async def follow_and_schedule(self, stop: asyncio.Event) -> None:
        """Follow the configuration and schedule, until ``stop`` is set."""
        async with asyncio.TaskGroup() as group:
            following_task = group.create_task(self._follow_configuration())
            scheduling_task = group.create_task(self._acquire_and_schedule_loop())
            await stop.wait()
            log.info("entry stops")
            self._is_stopping = True
            self._frontend.set_response_deadline(self._response_deadline())
            scheduling_task.cancel()
            await asyncio.wait([scheduling_task])
            await self._release()
            await asyncio.sleep(self._lame_duck_seconds())
            following_task.cancel()

    def _lame_duck_seconds(self) -> float:
        """Return how long callers are still served after readiness was withdrawn."""
        grace_seconds = self._config["timing"]["stop_grace_s"]
        return min(LAME_DUCK_SECONDS, grace_seconds * LAME_DUCK_RATIO)

    def _response_deadline(self) -> float:
        """Return the time on the loop's clock by which all responses must be sent.

        Callers' connections are closed after the lame-duck and shutdown periods.
        """
        remaining_seconds = (
            self._lame_duck_seconds() + SHUTDOWN_SECONDS - RESPONSE_MARGIN_SECONDS
        )
        return asyncio.get_running_loop().time() + remaining_seconds

    def is_stopping(self) -> bool:
        """Return whether the entry is stopping."""
        return self._is_stopping

    @contextlib.asynccontextmanager
    async def _servers(self) -> AsyncIterator[None]:
        """Open all HTTP servers; at the end, let requests in progress finish."""
        listen = self._config["listen"]
        pages = [(make_readiness_application(self.is_ready), listen["health"])]
        if listen["metrics_port"]:
            address = f"{self._config['vm']['ip']}:{listen['metrics_port']}"
            pages.append((make_metrics_application(self._counters), address))
        caller_server = _serve(
            self._frontend.make_application(), listen["callers"], SHUTDOWN_SECONDS
        )
        async with contextlib.AsyncExitStack() as stack:
            for application, address in pages:
                page = _serve(application, address, PAGES_SHUTDOWN_SECONDS)
                await stack.enter_async_context(page)
            await stack.enter_async_context(caller_server)
            yield

    # Configuration

    async def _follow_configuration(self) -> None:
        follower = ConfigurationFollower(
            self._apply_configuration, self._record_contact
        )
        await follow_table(self._store, OPERATOR_TABLE, follower, CONFIG_WAIT_SECONDS)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._configuration = configuration
        log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "queues": len(configuration.queue_by_name),
            },
        )

    def _record_contact(self, store_ms: int) -> None:
        """Record contact with the store; log its time beside this VM's wall clock.

        With these lines, logs of several VMs can be put in order afterwards.
        """
        now = asyncio.get_running_loop().time()
        self._store_contact_at = now
        offset_ms = time.time() * MILLISECONDS_PER_SECOND - store_ms
        has_jumped = abs(offset_ms - self._clock_offset_ms) > CLOCK_JUMP_MS
        if has_jumped or now - self._clock_logged_at >= CLOCK_LOG_SECONDS:
            self._clock_offset_ms = offset_ms
            self._clock_logged_at = now
            log.info("clock compared", extra={"store_ms": store_ms})

    # Scheduling

    async def _acquire_and_schedule_loop(self) -> None:
        """Acquire the lease, schedule until it is lost, and repeat."""
        acquire_delay_seconds = min(
            MAX_ACQUIRE_DELAY_SECONDS, ACQUIRE_DELAY_SECONDS / self._identity.cores
        )
        rng = random.Random(self._identity.incarnation)
        while True:
            try:
                self._lease = await wait_for_lease(
                    self._store,
                    self._identity,
                    rng,
                    acquire_delay_seconds,
                    self._lease_observation,
                )
                await self._schedule(self._lease)
            except* LeadershipLostError as group:
                self._counters.increment("lease.lost")
                log.warning("lease lost", extra={"reason": repr(group.exceptions[0])})
            except* OverloadedError as group:
                log.warning(
                    "lease given up, this VM is too slow",
                    extra={"reason": repr(group.exceptions[0])},
                )
                await self._give_up_lease()
            except* StoreError as group:
                log.warning(
                    "lease given up, the state cannot be read",
                    extra={"reason": repr(group.exceptions[0])},
                )
                await self._give_up_lease()
            except* Exception:
                log.exception("lease given up after an unexpected error")
                await self._give_up_lease()
            self._lease = None

    def _read_commit_version(self) -> int:
        """Return the version of the scheduling entry's latest commit known here."""
        if self._lease is not None:
            return self._lease.version
        return self._lease_observation.version

    async def _give_up_lease(self) -> None:
        """Release the lease and let another entry acquire it first."""
        self._counters.increment("lease.given_up")
        await self._release()
        await asyncio.sleep(GIVE_UP_PAUSE_SECONDS)

    async def _schedule(self, lease: SchedulerLease) -> None:
        timing = self._config["timing"]
        scheduler = JobScheduler(
            self._store,
            self._orders,
            lease,
            SchedulerTiming(
                timing["lease_max_ms"],
                timing["early_ms"],
                timing["status_retention_s"],
                self._config["jobs"]["max_waiting_occurrences"],
                self._config["store"]["row_bytes"],
            ),
            self._counters,
            self.read_configuration,
            self._policy,
        )
        registry = WorkerRegistry(
            scheduler.replace_workers,
            self._counters,
            scheduler.record_registrations,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(
                follow_table(self._store, WORKERS_TABLE, registry, WORKERS_WAIT_SECONDS)
            )
            group.create_task(scheduler.run())

    async def _release(self) -> None:
        if self._lease is not None:
            await self._lease.release(RELEASE_TIMEOUT_SECONDS)


def _read_job_limits(config: VmConfig) -> JobLimits:
    return JobLimits(**config["jobs"], max_row_bytes=config["store"]["row_bytes"])


@contextlib.asynccontextmanager
async def _serve(
    application: web.Application, address: str, shutdown_seconds: float
) -> AsyncIterator[None]:
    host, port = address.rsplit(":", 1)
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=shutdown_seconds
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, int(port), backlog=512).start()
        yield
    finally:
        await runner.cleanup()
