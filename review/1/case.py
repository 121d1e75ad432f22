"""More than 500 runs end on one worker while the store is out of service."""

import asyncio

from review.common.deployment import Deployment, Record, has_trouble, main
from standins.task_worker import Plan

WORKERS = 2
JOBS = 8
TASKS = 160  # of each job: 640 on each worker
TASK_SECONDS = 3.0
OUTAGE_SECONDS = 4.5
STARTED_SECONDS = 15.0
FINISH_SECONDS = 30.0
CAPACITY = {"cpu": 32_000, "memMb": 128_000, "gpu": 0}
STEP = {"count": TASKS, "cpu": 40, "memMb": 100, "estRuntimeMs": 3_000}


async def play(record: Record) -> bool:
    """Return whether no task was started again after its end was taken note of."""
    deployment = Deployment(record, lambda task, run: Plan(TASK_SECONDS), WORKERS)
    for worker in deployment.workers:
        worker.capacity = CAPACITY
    jobs = [f"{0x5C0E0000 + number:016x}" for number in range(JOBS)]
    async with deployment.open(entry_count=2):
        entry = deployment.entries[0]
        answers = [await deployment.submit(entry, job, [STEP]) for job in jobs]
        if any(answer.status != 200 for answer in answers):
            raise RuntimeError("a job was not accepted")

        async def all_started() -> bool:
            return sum(event.kind == "start" for event in deployment.events) >= (
                JOBS * TASKS
            )

        if not await deployment.wait_until(
            all_started, STARTED_SECONDS, "all tasks have started"
        ):
            raise RuntimeError("not all tasks started")
        if has_trouble():
            record.write("platform: the store answers 503")
            deployment.store.is_down = True
            await asyncio.sleep(OUTAGE_SECONDS)
            deployment.store.is_down = False
            record.write("platform: the store is back")

        async def all_completed() -> bool:
            states = [await deployment.state_of(entry, job) for job in jobs]
            return all(state == "completed" for state in states)

        await deployment.wait_until(all_completed, FINISH_SECONDS, "jobs completed")
        await asyncio.sleep(3.0)
    again = deployment.starts_after_done()
    record.write(f"check: {len(again)} starts of tasks that had ended done")
    for event in again[:20]:
        record.write(f"check: {event}")
    return not again


if __name__ == "__main__":
    main(__file__, play)
