"""A service whose image has a long name keeps all other jobs from being started.

The jobs are in a queue with `advice`, so that their starts wait for an answer of the
policy service, as on any such queue.
"""

import asyncio

from review.common.deployment import (
    FINISH_SECONDS,
    GUARDED_PREFIX,
    Deployment,
    JsonObject,
    Record,
    has_trouble,
    main,
)
from standins.task_worker import Plan

WORKERS = 24
JOBS = 6
TASK_SECONDS = 0.6
SETTLE_SECONDS = 5.0  # the scheduler has had reports of the service's tail latency
IDLE_SECONDS = 3.0  # without a run, though there is capacity
CAPACITY = {"cpu": 32_000, "memMb": 128_000, "gpu": 0}
SERVICE_ID = f"{0xFEED:016x}"
STEP = {"count": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 600}
SHORT_IMAGE = "gate-feed:1"
LONG_IMAGE = "registry.tally.example/" + "/".join(["venues-and-fairs"] * 11) + ":1"


def make_service() -> JsonObject:
    """Return the step of the service."""
    step = {"count": 6, "cpu": 2_000, "memMb": 1_024, "estRuntimeMs": 300}
    step |= {"longRunning": True, "targetMs": 20, "mayMiss": 1}
    return {**step, "image": LONG_IMAGE if has_trouble() else SHORT_IMAGE}


async def play(record: Record) -> bool:
    """Return whether no job was idle for too long after the end of the traffic."""

    def plan(task: str, run: int) -> Plan:
        return Plan(None if task.startswith(SERVICE_ID) else TASK_SECONDS)

    deployment = Deployment(record, plan, WORKERS)
    for worker in deployment.workers:
        worker.capacity = CAPACITY
        worker.checks_tickets = lambda task: not task.startswith(SERVICE_ID)
    jobs = [f"{0x5C0E0000 + number:016x}" for number in range(JOBS)]
    async with deployment.open(entry_count=3):
        entry = deployment.entries[0]
        service = make_service()
        record.write(f"the image's name has {len(service['image'])} bytes")
        answer = await deployment.submit(entry, SERVICE_ID, [service])
        if answer.status != 200:
            raise RuntimeError("the service was not accepted")
        await asyncio.sleep(SETTLE_SECONDS)
        for job in jobs:
            answer = await deployment.submit(entry, job, [STEP], GUARDED_PREFIX)
            if answer.status != 200:
                raise RuntimeError("a job was not accepted")
        traffic_ended_at = record.seconds()
        await asyncio.sleep(FINISH_SECONDS + IDLE_SECONDS)
        asked_at = record.seconds()
        states = [await deployment.state_of(entry, job) for job in jobs]
        lost = [
            job
            for job, state in zip(jobs, states, strict=True)
            if state in ("queued", "running")
            and not _has_run(deployment, job, asked_at)
        ]
    record.write(f"check: the traffic ended at {traffic_ended_at:.3f}")
    for job, state in zip(jobs, states, strict=True):
        starts = len(deployment.starts_of(job))
        record.write(f"check: {job} is shown as {state} after {starts} starts")
    record.write(f"check: {len(lost)} jobs had nothing running for {IDLE_SECONDS} s")
    record.write(f"check: the store refused {deployment.store.refusals} transactions")
    return not lost


def _has_run(deployment: Deployment, job: str, until: float) -> bool:
    """Return whether a task of the job ran in the last `IDLE_SECONDS`."""
    since = until - IDLE_SECONDS - TASK_SECONDS
    return any(since <= start.at <= until for start in deployment.starts_of(job))


if __name__ == "__main__":
    main(__file__, play)
