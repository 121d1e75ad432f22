"""Measure the time from submission to start of an urgent run on full VMs."""

import asyncio
import random

from benchmarks.common import make_parser, print_table, save, summarize
from savorydale.tests.harness import Cluster, on_virtual_time, open_cluster, tree
from savorydale.tests.scheduling.scheduler_tests import submit

WORKERS = 24
RACKS = 3
BATCH_RUNS = 200
TARGET_SECONDS = 7.1
MEAN_SUBMIT_INTERVAL_SECONDS = 4.0
POLL_SECONDS = 0.02


def make_nodes() -> dict[str, dict]:
    """Return settings with a batch job and an urgent one."""
    nodes = tree(replicas=WORKERS, run_seconds=900, processors=10.0, max_attempts=50)
    values = {"urgent": True, "run_seconds": 30, "processors": 12.0}
    nodes["hq/ga/counts/report"] = {"kind": "job", "values": values}
    return nodes


def has_started(cluster: Cluster, run_id: str) -> bool:
    """Return whether any worker has started a run."""
    return any(worker.tasks.starts[run_id] for worker in cluster.all_workers())


async def wait_for_start(cluster: Cluster, run_id: str) -> float:
    """Wait until a run is started and return the elapsed seconds."""
    loop = asyncio.get_running_loop()
    submitted_at = loop.time()
    while not has_started(cluster, run_id):
        await asyncio.sleep(POLL_SECONDS)
    return loop.time() - submitted_at


@on_virtual_time
async def measure(
    seed: int, count: int, preempt: bool, store_delay: float
) -> dict[str, object]:
    """Return the percentiles of the time to start."""
    nodes = make_nodes()
    if not preempt:
        nodes["hq/ga/counts/report"]["values"]["urgent"] = False
    async with open_cluster(
        seed, 3, nodes, worker_count=WORKERS, racks=RACKS
    ) as cluster:
        for number in range(BATCH_RUNS):
            await submit(cluster, f"b{number}")
        await asyncio.sleep(30)
        cluster.platform.delay_seconds = store_delay
        rng = random.Random(seed)
        waiting_tasks = []
        for number in range(count):
            await asyncio.sleep(rng.expovariate(1 / MEAN_SUBMIT_INTERVAL_SECONDS))
            run_id = await submit(cluster, f"u{number}", "report")
            waiting_tasks.append(asyncio.create_task(wait_for_start(cluster, run_id)))
        seconds = await asyncio.gather(*waiting_tasks)
        preempted_count = sum(
            node.entry.counters.count("preemption.evicted") for node in cluster.nodes
        )
    summary = summarize(seconds)
    return {
        "way": "urgent" if preempt else "not urgent",
        "store_delay_s": store_delay,
        "runs": count,
        "p50_s": round(summary.p50 / 1000, 2),
        "p99_s": round(summary.p99 / 1000, 2),
        "longest_s": round(max(seconds), 2),
        "runs_moved": preempted_count,
        "within_target": sum(item <= TARGET_SECONDS for item in seconds),
    }


def main() -> None:
    """Measure urgent runs on a fast and a slow store, and runs that are not urgent."""
    parser = make_parser(__doc__)
    parser.add_argument("--count", type=int, default=100)
    options = parser.parse_args()
    rows = [
        measure(options.seed, options.count, True, 0.0),
        measure(options.seed, options.count, True, 0.2),
        measure(options.seed, options.count // 4, False, 0.0),
    ]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    save("urgent", {"target_s": TARGET_SECONDS, "rows": rows})


if __name__ == "__main__":
    main()
