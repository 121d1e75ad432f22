"""A caller cancels a job whose submission the store carries out late."""

import asyncio

from review.common.deployment import Deployment, JsonObject, Record, has_trouble, main
from standins.task_worker import Plan

WORKERS = 3
TASK_SECONDS = 0.6
LATE_SECONDS = 6.0  # lost writes are done 1 to 6 s later
CANCEL_SECONDS = 3.0  # after a cancel was acknowledged, no task starts
WATCH_SECONDS = 12.0
OTHER_JOBS = 100  # submitted by another caller, one each `WATCH_SECONDS / OTHER_JOBS`
CAPACITY = {"cpu": 32_000, "memMb": 128_000, "gpu": 0}
CANCELLED_ID = f"{0xCA11:016x}"
STEP = {"count": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 600}


class LossyWrites:
    """Loses the answers to the submission of one job, and counts all writes."""

    def __init__(self, record: Record):
        self._record = record
        self.lost_at: list[float] = []
        self.written_at: list[float] = []

    def find_delay(self, body: JsonObject) -> float | None:
        """Return for how long a write is held back, or ``None`` if it is answered."""
        now = self._record.seconds()
        self.written_at.append(now)
        rows = [(row["table"], row["key"]) for row in body.get("setKeys") or []]
        if ("jobs", CANCELLED_ID) not in rows or not has_trouble():
            return None
        self._record.write(
            f"platform: a write is lost, and done {LATE_SECONDS} s later"
        )
        self.lost_at.append(now)
        return LATE_SECONDS

    def share_lost(self) -> float:
        """Return the share of the writes between the first and the last lost one."""
        if not self.lost_at:
            return 0.0
        first, last = self.lost_at[0], self.lost_at[-1]
        return len(self.lost_at) / sum(first <= at <= last for at in self.written_at)


async def play(record: Record) -> bool:
    """Return whether no task of the cancelled job was started too late."""
    deployment = Deployment(record, lambda task, run: Plan(TASK_SECONDS), WORKERS)
    for worker in deployment.workers:
        worker.capacity = CAPACITY
    writes = LossyWrites(record)
    async with deployment.open(entry_count=3):
        entry, other = deployment.entries[0], deployment.entries[1]
        deployment.store.find_delay = writes.find_delay
        traffic = asyncio.create_task(_submit_others(deployment))
        answer = await deployment.submit(entry, CANCELLED_ID, [STEP])
        record.write(f"client: gives the job up after status {answer.status}")
        answer = await deployment.call(other, "DELETE", CANCELLED_ID)
        if answer.status not in (200, 410):
            raise RuntimeError("the cancel was not acknowledged")
        acknowledged_at = record.seconds()
        await traffic
        await deployment.state_of(other, CANCELLED_ID)
    late = [
        event
        for event in deployment.starts_of(CANCELLED_ID)
        if event.at > acknowledged_at + CANCEL_SECONDS
    ]
    record.write(f"check: {writes.share_lost():.2f} of the writes were lost meanwhile")
    record.write(f"check: acknowledged at {acknowledged_at:.3f}")
    for event in late:
        record.write(f"check: too late: {event}")
    return not late


async def _submit_others(deployment: Deployment) -> None:
    """Submit ordinary jobs of another caller."""
    for number in range(OTHER_JOBS):
        await deployment.submit(deployment.entries[2], f"{number + 1:016x}", [STEP])
        await asyncio.sleep(WATCH_SECONDS / OTHER_JOBS)


if __name__ == "__main__":
    main(__file__, play)
