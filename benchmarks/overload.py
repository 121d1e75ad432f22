"""Goodput and refusals at twice the capacity; retries while workers fail."""

import asyncio
import statistics

from benchmarks.common import make_parser, print_table, save, summarize
from benchmarks.routing_simulation import RoutingSimulation, on_virtual_time
from benchmarks.traffic import CHATTAHOOCHEE, MEAN_SECONDS, Scenario, make_requests
from savorydale.routing.calls import Answered, NotRun

TIMEOUT_SECONDS = 2.0
QUEUE_LIMIT = 256
WARM_UP_SECONDS = 1.0


def measure_overload(load: float, tail: str, count: int, seed: int) -> dict:
    """Return goodput as a share of capacity, and how long refusals took."""
    scenario = Scenario(load, tail)
    requests = make_requests(CHATTAHOOCHEE, scenario, count, seed)

    async def run() -> tuple[RoutingSimulation, list]:
        simulation = RoutingSimulation(CHATTAHOOCHEE, scenario, seed, QUEUE_LIMIT)
        return simulation, await simulation.run(requests, TIMEOUT_SECONDS)

    simulation, results = on_virtual_time(run())
    kept = [
        (request, seconds, outcome)
        for request, (seconds, outcome) in zip(requests, results, strict=True)
        if request.arrives_at >= WARM_UP_SECONDS
    ]
    span = requests[-1].arrives_at - WARM_UP_SECONDS
    slots = CHATTAHOOCHEE.workers * CHATTAHOOCHEE.slots
    good = [
        request.seconds
        for request, seconds, outcome in kept
        if isinstance(outcome, Answered) and seconds <= TIMEOUT_SECONDS
    ]
    refused = [seconds for _, seconds, item in kept if isinstance(item, NotRun)]
    late = sum(
        isinstance(outcome, Answered) and seconds > TIMEOUT_SECONDS
        for _, seconds, outcome in kept
    )
    return {
        "load": load,
        "tail": tail,
        "goodput_of_capacity": round(sum(good) / (span * slots), 4),
        "answered": len(good),
        "answered_late": late,
        "refused": len(refused),
        "refusal_p50_ms": round(statistics.median(refused) * 1000, 2),
        "refusal_p99_ms": round(summarize(refused).p99, 2),
        "overruns": simulation.overruns,
    }


def measure_failures(load: float, count: int, seed: int) -> dict:
    """Return how many requests are sent for each admitted while a third fail."""
    scenario = Scenario(load, "light")
    requests = make_requests(CHATTAHOOCHEE, scenario, count, seed)

    async def run() -> tuple[RoutingSimulation, list]:
        simulation = RoutingSimulation(CHATTAHOOCHEE, scenario, seed, QUEUE_LIMIT)
        half = requests[len(requests) // 2].arrives_at

        async def fail_a_third() -> None:
            await asyncio.sleep(half)
            for worker in simulation.workers[::3]:
                worker.fails = True

        failing = asyncio.create_task(fail_a_third())
        results = await simulation.run(requests, TIMEOUT_SECONDS)
        await failing
        return simulation, results

    simulation, results = on_virtual_time(run())
    sent = simulation.counters.count("calls.sent")
    admitted = simulation.counters.count("calls.admitted")
    answered = sum(isinstance(outcome, Answered) for _, outcome in results)
    return {
        "load": load,
        "admitted": admitted,
        "sent": sent,
        "amplification": round(sent / admitted, 4),
        "answered": round(answered / len(requests), 4),
        "ejections": simulation.counters.count("workers.ejected"),
        "overruns": simulation.overruns,
    }


def main() -> None:
    """Measure overload with both tails, and failures at half load."""
    parser = make_parser(__doc__)
    parser.add_argument("--requests", type=int, default=100_000)
    options = parser.parse_args()
    overload = [
        measure_overload(2.0, tail, options.requests, options.seed)
        for tail in ("light", "heavy")
    ]
    failures = [
        measure_failures(load, options.requests, options.seed) for load in (0.4, 0.6)
    ]
    for rows in (overload, failures):
        print_table(list(rows[0]), [list(row.values()) for row in rows])
    print(f"mean service time {MEAN_SECONDS * 1000:g} ms, deadline {TIMEOUT_SECONDS} s")
    save(
        "overload",
        {"requests": options.requests, "overload": overload, "failures": failures},
    )


if __name__ == "__main__":
    main()
