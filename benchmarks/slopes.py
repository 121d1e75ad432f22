"""Measure the cost of state and decisions at the two-year size for docs/CAPACITY.md."""

import asyncio
import json
import random
import time
import tracemalloc
from collections.abc import Callable

from benchmarks.common import make_parser, print_table, save
from savorydale.messages.peer.ttypes import Heartbeat, PeerMessage
from savorydale.peers.assignment import assign_units
from savorydale.peers.framing import encode
from savorydale.peers.records import OwnershipMap, UnitRecord
from savorydale.routing.slots import SlotPool, share_units
from savorydale.scheduling.placement import (
    PlacementPrediction,
    choose_worker_or_slow_start,
    compute_loads,
    with_task,
)
from savorydale.scheduling.rack_colocation import ColocationModels, RackColocation
from savorydale.scheduling.rack_selection import RackSelector, RackView
from savorydale.scheduling.tasks import Task, shard_units
from savorydale.settings.checks import check_changes
from savorydale.settings.tree import SettingsTree
from savorydale.storage.interface import VmStatus
from savorydale.workers.interface import Demand

WORKERS = 5_400
WORKERS_PER_RACK = 8
RACKS = WORKERS // WORKERS_PER_RACK
ENTRIES = 7
TEAMS = 110
JOBS = 20_000
SERVICES = 1_100
TASKS = 56_000
BYTES_PER_MB = 1_048_576


def time_call(function: Callable[[], object], rounds: int) -> float:
    """Return the seconds per call in the fastest of three series."""
    best_seconds = float("inf")
    for _ in range(3):
        started_at = time.perf_counter()
        for _ in range(rounds):
            function()
        best_seconds = min(best_seconds, (time.perf_counter() - started_at) / rounds)
    return best_seconds


def make_task(number: int, worker: str | None = None) -> Task:
    """Return a batch task with a distinct name, placed on ``worker`` if given."""
    return Task(
        id=f"job-{number}@2026-12-04T05:00Z",
        kind="job",
        name=f"job-{number}",
        shard=number % 64,
        demand=Demand(2.0, 4.0, 0),
        run_seconds=60.0,
        attempt=1,
        worker=worker,
    )


def measure_placement() -> dict[str, object]:
    """Return the cost of choosing a rack and then a worker for one task."""
    rng = random.Random(1)
    rack_selector = RackSelector(rng)
    for rack in range(RACKS):
        free_capacity = tuple(
            Demand(rng.uniform(0, 12), rng.uniform(0, 60), 0)
            for _ in range(WORKERS_PER_RACK)
        )
        rack_selector.update_view(f"r{rack}", RackView(1, 1, free_capacity, {}))
    vms = [
        VmStatus(f"w{n}", "a:1", "a", "r0", "live", 32.0, 125.0, 0, 8, 64)
        for n in range(WORKERS_PER_RACK)
    ]
    placed = [make_task(n, f"w{n % 8}") for n in range(TASKS // RACKS)]
    task = make_task(0)
    rack_seconds = time_call(lambda: rack_selector.choose(task, frozenset()), 50)
    worker_seconds = asyncio.run(measure_worker_choice(task, placed, vms))
    row = json.dumps({"tasks": {item.id: item.to_json() for item in placed}})
    return {
        "rack_choice_us": rack_seconds * 1e6,
        "worker_choice_us": worker_seconds * 1e6,
        "decisions_per_s_per_core": 1 / (rack_seconds + worker_seconds),
        "tasks_per_rack_row": len(placed),
        "rack_row_bytes": len(row),
    }


async def measure_worker_choice(
    task: Task, placed: list[Task], vms: list[VmStatus]
) -> float:
    """Return the seconds to choose a worker in one rack."""
    colocation = RackColocation(ColocationModels())
    loads = compute_loads(placed)
    tasks_by_worker = {
        vm.vm: [item for item in placed if item.worker == vm.vm] for vm in vms
    }

    def predict(item: Task, vm: VmStatus) -> PlacementPrediction:
        return colocation.predict(item, vm, tasks_by_worker[vm.vm], {})

    def place() -> None:
        placed_task, vm = choose_worker_or_slow_start(task, vms, loads, predict)
        with_task(loads[vm.vm], placed_task)

    return time_call(place, 200)


def measure_ownership() -> dict[str, object]:
    """Return the cost of the assignment and the size of the ownership row."""
    units = [f"rack/r{n}" for n in range(RACKS)] + share_units() + shard_units()
    entries = [f"{n:016x}" for n in range(ENTRIES)]
    owners = assign_units(units, entries, {})
    unit_records = {unit: UnitRecord(owner, 7) for unit, owner in owners.items()}
    seconds = time_call(lambda: assign_units(units, entries, unit_records), 20)
    row = json.dumps(OwnershipMap(unit_records).to_json())
    return {
        "units": len(units),
        "assignment_ms": seconds * 1e3,
        "ownership_row_bytes": len(row),
    }


def make_nodes() -> dict[str, dict]:
    """Return a tree of 110 teams, 1,100 services and 20,000 jobs."""
    nodes: dict[str, dict] = {"hq": {"kind": "headquarters"}}
    for team in range(TEAMS):
        branch = f"hq/b{team % 20}"
        nodes[branch] = {"kind": "branch", "values": {"time_zone": "Africa/Cairo"}}
        nodes[f"{branch}/t{team}"] = {"kind": "team"}
    for number in range(JOBS + SERVICES):
        team = number % TEAMS
        kind = "job" if number < JOBS else "service"
        values = {"processors": 1.0} if kind == "service" else {"schedule": "5 * * * *"}
        path = f"hq/b{team % 20}/t{team}/{kind}-{number}"
        nodes[path] = {"kind": kind, "values": values}
    return nodes


def measure_settings() -> dict[str, object]:
    """Return time and memory of the whole settings tree, and the time of one change."""
    nodes = make_nodes()
    tracemalloc.start()
    tree = SettingsTree(1, nodes)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    build_seconds = time_call(lambda: SettingsTree(1, nodes), 1)
    change = {"hq/b1/t1/job-1": {"kind": "job", "values": {"run_seconds": 5.0}}}
    apply_seconds = time_call(lambda: tree.with_changes(2, change), 1)
    check_seconds = time_call(lambda: check_changes(tree, change), 1)
    return {
        "nodes": len(nodes),
        "tree_mb": memory_bytes / BYTES_PER_MB,
        "snapshot_mb": len(json.dumps(nodes)) / BYTES_PER_MB,
        "build_ms": build_seconds * 1e3,
        "apply_one_change_ms": apply_seconds * 1e3,
        "check_one_change_ms": check_seconds * 1e3,
    }


def measure_slots() -> dict[str, object]:
    """Return the memory of the slots of all workers and the time to refresh them."""
    sizes = {f"worker-{n}": 8 for n in range(WORKERS)}
    tracemalloc.start()
    pool = SlotPool()
    pool.set_workers(sizes)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for share in range(8):
        pool.open_share(share, None)
    return {
        "slots_mb": memory_bytes / BYTES_PER_MB,
        "refresh_ms": time_call(lambda: pool.set_workers(sizes), 1) * 1e3,
    }


def measure_messages() -> dict[str, object]:
    """Return the size of a heartbeat between entries."""
    heartbeat = Heartbeat(1_000_000, 5_100, True, False)
    return {"peer_heartbeat_bytes": len(encode(PeerMessage(heartbeat=heartbeat)))}


def main() -> None:
    """Measure all areas and print one value a line."""
    make_parser(__doc__).parse_args()
    result = {
        "placement": measure_placement(),
        "ownership": measure_ownership(),
        "settings": measure_settings(),
        "slots": measure_slots(),
        "messages": measure_messages(),
    }
    rows = [
        [area, name, float(value) if isinstance(value, float) else value]
        for area, values in result.items()
        for name, value in values.items()
    ]
    print_table(["area", "figure", "value"], rows)
    save("slopes", result)


if __name__ == "__main__":
    main()
