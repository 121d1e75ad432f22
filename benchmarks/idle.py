"""Measure what an idle entry uses for control traffic, by the number of workers."""

import pathlib
import tempfile
import time
import tomllib

from benchmarks.common import make_parser, print_table, save
from benchmarks.request_path import memory_mb, processor_seconds
from standins.processes import ROOT, get, is_ready, open_deployment, post, wait_until

ENTRIES = 3
WORKERS_PER_RACK = 8


def measure(worker_count: int, seconds: float) -> dict[str, object]:
    """Return the rates of one deployment, as means over its entries."""
    with (
        tempfile.TemporaryDirectory() as directory,
        open_deployment(pathlib.Path(directory)) as deployment,
    ):
        platform = deployment.start_standin("standins.platform", "platform")
        for number in range(worker_count):
            name = f"w{number}"
            deployment.start_standin(
                "standins.worker",
                name,
                "--name",
                name,
                "--platform",
                f"http://{platform.address}",
                "--rack",
                f"r{number // WORKERS_PER_RACK}",
            )
        entries = [
            deployment.start_entry(f"e{number}", "zone-a", platform)
            for number in range(ENTRIES)
        ]
        for entry in entries:
            wait_until("an entry is ready", lambda entry=entry: is_ready(entry))
        path = ROOT / "examples" / "settings" / "georgia.toml"
        post(
            entries[0],
            "/operator/settings",
            {"version": 0, **tomllib.loads(path.read_text())},
        )
        time.sleep(10)
        before = [read_usage(entry) for entry in entries]
        store_before = get(platform, "/admin/counts")
        time.sleep(seconds)
        after = [read_usage(entry) for entry in entries]
        store_after = get(platform, "/admin/counts")
    rates = {
        name: sum(a[name] - b[name] for a, b in zip(after, before, strict=True))
        / seconds
        / ENTRIES
        for name in ("cpu", "peers.bytes_sent", "workers.heartbeats")
    }
    return {
        "workers": worker_count,
        "cpu_percent": round(rates["cpu"] * 100, 2),
        "memory_mb": round(sum(item["memory"] for item in after) / ENTRIES, 1),
        "peer_bytes_per_s": round(rates["peers.bytes_sent"], 1),
        "worker_heartbeats_per_s": round(rates["workers.heartbeats"], 2),
        "store_transactions_per_s": round(
            (store_after["transactions"] - store_before["transactions"]) / seconds, 2
        ),
        "store_reads_per_s": round(
            (store_after["reads"] - store_before["reads"]) / seconds, 2
        ),
    }


def read_usage(entry) -> dict[str, float]:
    """Return the traffic, processor time and memory that an entry has used so far."""
    counts = get(entry, "/operator/counters")["counts"]
    names = ("peers.bytes_sent", "workers.heartbeats")
    return {name: counts.get(name, 0) for name in names} | {
        "cpu": processor_seconds(entry),
        "memory": memory_mb(entry),
    }


def main() -> None:
    """Measure at two sizes; the difference is the cost of the additional workers."""
    parser = make_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    rows = [measure(count, options.seconds) for count in (8, 40)]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    save("idle", {"entries": ENTRIES, "seconds": options.seconds, "rows": rows})


if __name__ == "__main__":
    main()
