"""Jobs whose starts are refused are not counted as pending, though none has begun."""

import asyncio

from review.common.deployment import Deployment, Record, has_trouble, main
from standins.task_worker import Plan

WORKERS = 24
SHEDDING_WORKERS = 2  # 0.083 of them
SHEDDING_SECONDS = 6.5
VISIBLE_SECONDS = 5.0  # `visible_ms` and 2 s
JOBS = 6
TASK_SECONDS = 0.6
START_SECONDS = 10.0
CAPACITY = {"cpu": 32_000, "memMb": 128_000, "gpu": 0}
SERVICE_ID = f"{0xFEED:016x}"
SERVICE = {"count": WORKERS - SHEDDING_WORKERS, "cpu": 30_000, "memMb": 64_000}
SERVICE |= {"longRunning": True, "image": "feed:1", "antiAffinity": 1}
STEP = {"count": 1, "cpu": 4_000, "memMb": 4_600, "estRuntimeMs": 600}


async def play(record: Record) -> bool:
    """Return whether the queue never gave too few jobs as pending."""

    def plan(task: str, run: int) -> Plan:
        return Plan(None if task.startswith(SERVICE_ID) else TASK_SECONDS)

    deployment = Deployment(record, plan, WORKERS)
    for worker in deployment.workers:
        worker.capacity = CAPACITY
    jobs = [f"{0x5C0E0000 + number:016x}" for number in range(JOBS)]
    async with deployment.open(entry_count=3):
        entry = deployment.entries[0]
        answer = await deployment.submit(entry, SERVICE_ID, [SERVICE])
        if answer.status != 200:
            raise RuntimeError("the service was not accepted")

        async def has_service_started() -> bool:
            return len(deployment.starts_of(SERVICE_ID)) == SERVICE["count"]

        if not await deployment.wait_until(
            has_service_started,
            START_SECONDS,
            "the service runs on all but two workers",
        ):
            raise RuntimeError("the service did not start")
        free = [worker for worker in deployment.workers if not worker.run_by_task]
        shedding_from = record.seconds()
        for worker in free if has_trouble() else ():
            record.write(f"worker {worker.worker}: answers 503 to starts")
            worker.is_shedding = True
        for job in jobs:
            answer = await deployment.submit(entry, job, [STEP])
            if answer.status != 200:
                raise RuntimeError("a job was not accepted")
        accepted_at = record.seconds()
        await asyncio.sleep(VISIBLE_SECONDS)
        too_few = await _find_too_few(
            deployment, jobs, shedding_from + SHEDDING_SECONDS, accepted_at
        )
        for worker in free:
            worker.is_shedding = False
        record.write("worker: all workers start runs")
        await asyncio.sleep(VISIBLE_SECONDS)
        for job in jobs:
            await deployment.state_of(entry, job)
    record.write(f"check: {too_few} answers gave under half of the jobs as pending")
    return too_few == 0


async def _find_too_few(
    deployment: Deployment, jobs: list[str], until: float, accepted_at: float
) -> int:
    """Ask all entries until ``until``; return how many gave too few as pending."""
    record = deployment.record
    too_few = 0
    while record.seconds() < until:
        for entry in deployment.entries:
            not_begun = sum(not deployment.starts_of(job) for job in jobs)
            answer = await deployment.call(entry, "GET", "")
            pending = answer.body.get("pending", 0) if answer.status == 200 else None
            still = sum(not deployment.starts_of(job) for job in jobs)
            age = record.seconds() - accepted_at
            record.write(f"check: after {age:.2f} s {still} jobs have not begun")
            too_few += pending is not None and 2 * pending < min(not_begun, still)
        for job in jobs:
            await deployment.state_of(deployment.entries[0], job)
        await asyncio.sleep(0.2)
    return too_few


if __name__ == "__main__":
    main(__file__, play)
