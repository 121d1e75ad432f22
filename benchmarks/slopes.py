"""What state and decisions cost at the two-year size, for docs/CAPACITY.md."""

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


def timed(function: Callable[[], object], rounds: int) -> float:
    """Return seconds for one call, the fastest of three series."""
    best = float("inf")
    for _ in range(3):
        started_at = time.perf_counter()
        for _ in range(rounds):
            function()
        best = min(best, (time.perf_counter() - started_at) / rounds)
    return best


def make_task(number: int, worker: str | None = None) -> Task:
    """Return one of many tasks."""
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
    choice = RackSelector(rng)
    for rack in range(RACKS):
        free = tuple(
            Demand(rng.uniform(0, 12), rng.uniform(0, 60), 0)
            for _ in range(WORKERS_PER_RACK)
        )
        choice.update_view(f"r{rack}", RackView(1, 1, free, {}))
    vms = [
        VmStatus(f"w{n}", "a:1", "a", "r0", "live", 32.0, 125.0, 0, 8, 64)
        for n in range(WORKERS_PER_RACK)
    ]
    placed = [make_task(n, f"w{n % 8}") for n in range(TASKS // RACKS)]
    task = make_task(0)
    rack_s = timed(lambda: choice.choose(task, frozenset()), 50)
    worker_s = asyncio.run(measure_worker_choice(task, placed, vms))
    row = json.dumps({"tasks": {item.id: item.to_json() for item in placed}})
    return {
        "rack_choice_us": rack_s * 1e6,
        "worker_choice_us": worker_s * 1e6,
        "decisions_per_s_per_core": 1 / (rack_s + worker_s),
        "tasks_per_rack_row": len(placed),
        "rack_row_bytes": len(row),
    }


async def measure_worker_choice(
    task: Task, placed: list[Task], vms: list[VmStatus]
) -> float:
    """Return the seconds that one choice of a worker in a rack takes."""
    colocation = RackColocation(ColocationModels())
    loads = compute_loads(placed)
    tasks_by_worker = {
        vm.vm: [item for item in placed if item.worker == vm.vm] for vm in vms
    }

    def look_ahead(item: Task, vm: VmStatus) -> PlacementPrediction:
        return colocation.predict(item, vm, tasks_by_worker[vm.vm], {})

    def place() -> None:
        placed_task, vm = choose_worker_or_slow_start(task, vms, loads, look_ahead)
        with_task(loads[vm.vm], placed_task)

    return timed(place, 200)


def measure_ownership() -> dict[str, object]:
    """Return the cost of the assignment and the size of the ownership row."""
    units = [f"rack/r{n}" for n in range(RACKS)] + share_units() + shard_units()
    entries = [f"{n:016x}" for n in range(ENTRIES)]
    owners = assign_units(units, entries, {})
    holdings = {unit: UnitRecord(owner, 7) for unit, owner in owners.items()}
    seconds = timed(lambda: assign_units(units, entries, holdings), 20)
    row = json.dumps(OwnershipMap(holdings).to_json())
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
    """Return time and memory of the whole tree, and of one change to it."""
    nodes = make_nodes()
    tracemalloc.start()
    tree = SettingsTree(1, nodes)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    build_s = timed(lambda: SettingsTree(1, nodes), 1)
    change = {"hq/b1/t1/job-1": {"kind": "job", "values": {"run_seconds": 5.0}}}
    apply_s = timed(lambda: tree.with_changes(2, change), 1)
    check_s = timed(lambda: check_changes(tree, change), 1)
    return {
        "nodes": len(nodes),
        "tree_mb": memory / BYTES_PER_MB,
        "snapshot_mb": len(json.dumps(nodes)) / BYTES_PER_MB,
        "build_ms": build_s * 1e3,
        "apply_one_change_ms": apply_s * 1e3,
        "check_one_change_ms": check_s * 1e3,
    }


def measure_slots() -> dict[str, object]:
    """Return memory and time of the slots of all workers."""
    sizes = {f"worker-{n}": 8 for n in range(WORKERS)}
    tracemalloc.start()
    pool = SlotPool()
    pool.set_workers(sizes)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for share in range(8):
        pool.open_share(share, None)
    return {
        "slots_mb": memory / BYTES_PER_MB,
        "refresh_ms": timed(lambda: pool.set_workers(sizes), 1) * 1e3,
    }


def measure_messages() -> dict[str, object]:
    """Return the size of a heartbeat between entries."""
    heartbeat = Heartbeat(1_000_000, 5_100, True, False)
    return {"peer_heartbeat_bytes": len(encode(PeerMessage(heartbeat=heartbeat)))}


def main() -> None:
    """Measure everything and print one figure a line."""
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
        for area, figures in result.items()
        for name, value in figures.items()
    ]
    print_table(["area", "figure", "value"], rows)
    save("slopes", result)


if __name__ == "__main__":
    main()
