"""Compare requests through one real entry with direct requests to the worker."""

import collections
import pathlib
import tempfile
import threading
import time
import tomllib

import urllib3

from benchmarks.common import make_parser, median, print_table, save, summarize
from standins.processes import (
    ROOT,
    Process,
    is_ready,
    open_deployment,
    post,
    wait_until,
)

WORKERS = 4
WORK_MS = 2


def processor_seconds(process: Process) -> float:
    """Return the user and system time that a process has used so far."""
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / 100


def memory_mb(process: Process) -> float:
    """Return the resident memory of a process in megabytes."""
    status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def send_requests(
    urls: list[str], callers: int, seconds: float, keyed: bool
) -> list[float]:
    """Return the latencies in seconds of callers that send one request at a time."""
    latencies: list[float] = []
    codes: collections.Counter[str] = collections.Counter()
    stop_at = time.monotonic() + seconds

    def call_all(number: int) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=10.0)
        request_number = 0
        while time.monotonic() < stop_at:
            request_number += 1
            name = f"{number}-{request_number}-{stop_at}"
            headers = {"X-Work-Ms": str(WORK_MS), "Savorydale-Request": name}
            if keyed:
                headers["Idempotency-Key"] = name
            started_at = time.monotonic()
            answer = pool.request("GET", urls[number % len(urls)], headers=headers)
            latencies.append(time.monotonic() - started_at)
            codes[answer.headers.get("Savorydale-Result", str(answer.status))] += 1

    threads = [threading.Thread(target=call_all, args=(n,)) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    unexpected = set(codes) - {"0", "200"}
    if unexpected:
        raise RuntimeError(f"unexpected result codes: {dict(codes)}")
    return latencies


def measure(callers: int, seconds: float, rounds: int) -> list[dict[str, object]]:
    """Return one row for each route, with the medians over all rounds."""
    with (
        tempfile.TemporaryDirectory() as directory,
        open_deployment(pathlib.Path(directory)) as deployment,
    ):
        platform = deployment.start_standin("standins.platform", "platform")
        url = f"http://{platform.address}"
        workers = [
            deployment.start_standin(
                "standins.worker", f"w{n}", "--name", f"w{n}", "--platform", url
            )
            for n in range(WORKERS)
        ]
        entry = deployment.start_entry("e1", "zone-a", platform)
        wait_until("the entry is ready", lambda: is_ready(entry))
        path = ROOT / "examples" / "settings" / "georgia.toml"
        document = tomllib.loads(path.read_text())
        post(entry, "/operator/settings", {"version": 0, **document})
        time.sleep(4)
        direct = [f"http://{worker.address}/requests/countdesk/x" for worker in workers]
        through_entry = [f"http://{entry.address}/call/countdesk/x"]
        routes = {
            "direct": (direct, False),
            "entry": (through_entry, False),
            "entry, with key": (through_entry, True),
        }
        rows_by_route: dict[str, list[dict[str, float]]] = {
            route: [] for route in routes
        }
        for _ in range(rounds):
            for route, (urls, keyed) in routes.items():
                seconds_before = processor_seconds(entry)
                latencies = send_requests(urls, callers, seconds, keyed)
                used_seconds = processor_seconds(entry) - seconds_before
                summary = summarize(latencies)
                rows_by_route[route].append(
                    {
                        "requests_per_s": len(latencies) / seconds,
                        "p50_ms": summary.p50,
                        "p99_ms": summary.p99,
                        "entry_cpu_ms": used_seconds / len(latencies) * 1000,
                        "entry_mb": memory_mb(entry),
                    }
                )
        return [
            {"way": route, "callers": callers}
            | {name: round(median(row[name] for row in rows), 2) for name in rows[0]}
            for route, rows in rows_by_route.items()
        ]


def main() -> None:
    """Measure with one caller and with eight callers."""
    parser = make_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    rows = [
        row
        for callers in (1, 8)
        for row in measure(callers, options.seconds, options.rounds)
    ]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    save("request_path", {"work_ms": WORK_MS, "rows": rows})


if __name__ == "__main__":
    main()
