"""Measure the time from accepting a settings change until every entry applies it."""

import asyncio
import random

from benchmarks.common import make_parser, print_table, save, summarize
from savorydale.tests.harness import Cluster, on_virtual_time, open_cluster, tree

ENTRIES = 7
MEAN_CHANGE_INTERVAL_SECONDS = 86_400 / 5_100
TARGET_SECONDS = 12.0
POLL_SECONDS = 0.005


async def wait_for_version(cluster: Cluster, version: int) -> float:
    """Return the seconds until all entries are at ``version`` or later."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    entries = [node.entry for node in cluster.nodes]
    while min(entry.settings.tree.version for entry in entries) < version:
        await asyncio.sleep(POLL_SECONDS)
    return loop.time() - started_at


@on_virtual_time
async def measure(seed: int, count: int, disturbance: str) -> dict[str, object]:
    """Return the percentiles under one kind of disturbance."""
    async with open_cluster(seed, ENTRIES, tree(), worker_count=8) as cluster:
        rng = random.Random(seed)
        seconds = []
        for number in range(count):
            await asyncio.sleep(rng.expovariate(1 / MEAN_CHANGE_INTERVAL_SECONDS))
            match disturbance:
                case "an entry cut from the table":
                    cluster.nodes[6].platform.partitioned = True
                case "store slower by 1 s":
                    cluster.platform.delay_seconds = 1.0
            entry = cluster.nodes[rng.randrange(ENTRIES - 1)].entry
            changes = {f"hq/ga/t{number}": {"kind": "team"}}
            version = await entry.accept_settings(entry.settings.tree.version, changes)
            seconds.append(await wait_for_version(cluster, version))
    summary = summarize(seconds)
    return {
        "way": disturbance,
        "changes": count,
        "p50_s": round(summary.p50 / 1000, 3),
        "p99_s": round(summary.p99 / 1000, 3),
        "longest_s": round(max(seconds), 3),
        "within_target": sum(item <= TARGET_SECONDS for item in seconds),
    }


def main() -> None:
    """Measure without faults, with a partitioned entry and with a slow store."""
    parser = make_parser(__doc__)
    parser.add_argument("--count", type=int, default=200)
    options = parser.parse_args()
    disturbances = ("undisturbed", "an entry cut from the table", "store slower by 1 s")
    rows = [
        measure(options.seed, options.count, disturbance)
        for disturbance in disturbances
    ]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    save("propagation", {"entries": ENTRIES, "rows": rows})


if __name__ == "__main__":
    main()
