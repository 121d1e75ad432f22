"""Time from the acceptance of a settings change until every entry applies it."""

import asyncio
import random

from benchmarks.common import make_parser, print_table, save, summarize
from savorydale.tests.harness import Cluster, on_virtual_time, open_cluster, tree

ENTRIES = 7
GAP_SECONDS = 86_400 / 5_100
TARGET_SECONDS = 12.0
CHECK_SECONDS = 0.005


async def seconds_to_force(cluster: Cluster, version: int) -> float:
    """Return the seconds until all entries are at ``version`` or later."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    entries = [node.entry for node in cluster.nodes]
    while min(entry.settings.tree.version for entry in entries) < version:
        await asyncio.sleep(CHECK_SECONDS)
    return loop.time() - started_at


@on_virtual_time
async def measure(seed: int, count: int, way: str) -> dict[str, object]:
    """Return percentiles for one way that the entries are disturbed."""
    async with open_cluster(seed, ENTRIES, tree(), worker_count=8) as cluster:
        rng = random.Random(seed)
        seconds = []
        for number in range(count):
            await asyncio.sleep(rng.expovariate(1 / GAP_SECONDS))
            match way:
                case "an entry cut from the table":
                    cluster.nodes[6].platform.partitioned = True
                case "store slower by 1 s":
                    cluster.platform.delay = 1.0
            entry = cluster.nodes[rng.randrange(ENTRIES - 1)].entry
            changes = {f"hq/ga/t{number}": {"kind": "team"}}
            version = await entry.accept_settings(entry.settings.tree.version, changes)
            seconds.append(await seconds_to_force(cluster, version))
    summary = summarize(seconds)
    return {
        "way": way,
        "changes": count,
        "p50_s": round(summary.p50 / 1000, 3),
        "p99_s": round(summary.p99 / 1000, 3),
        "longest_s": round(max(seconds), 3),
        "within_target": sum(item <= TARGET_SECONDS for item in seconds),
    }


def main() -> None:
    """Measure undisturbed, with an entry cut off from the table, and a slow store."""
    parser = make_parser(__doc__)
    parser.add_argument("--count", type=int, default=200)
    options = parser.parse_args()
    ways = ("undisturbed", "an entry cut from the table", "store slower by 1 s")
    rows = [measure(options.seed, options.count, way) for way in ways]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    save("propagation", {"entries": ENTRIES, "rows": rows})


if __name__ == "__main__":
    main()
