"""Measure goodput and refusals at twice the capacity, and retries on failures."""

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
    """Return goodput as a fraction of capacity, and the latency of refusals."""
    scenario = Scenario(load, tail)
    requests = make_requests(CHATTAHOOCHEE, scenario, count, seed)

    async def run() -> tuple[RoutingSimulation, list]:
        simulation = RoutingSimulation(CHATTAHOOCHEE, scenario, seed, QUEUE_LIMIT)
        return simulation, await simulation.run(requests, TIMEOUT_SECONDS)

    simulation, results = on_virtual_time(run())
    measured = [
        (request, seconds, outcome)
        for request, (seconds, outcome) in zip(requests, results, strict=True)
        if request.arrives_at >= WARM_UP_SECONDS
    ]
    measured_seconds = requests[-1].arrives_at - WARM_UP_SECONDS
    slots = CHATTAHOOCHEE.workers * CHATTAHOOCHEE.slots
    goodput_seconds = [
        request.seconds
        for request, seconds, outcome in measured
        if isinstance(outcome, Answered) and seconds <= TIMEOUT_SECONDS
    ]
    refusal_seconds = [
        seconds for _, seconds, item in measured if isinstance(item, NotRun)
    ]
    late_count = sum(
        isinstance(outcome, Answered) and seconds > TIMEOUT_SECONDS
        for _, seconds, outcome in measured
    )
    return {
        "load": load,
        "tail": tail,
        "goodput_of_capacity": round(
            sum(goodput_seconds) / (measured_seconds * slots), 4
        ),
        "answered": len(goodput_seconds),
        "answered_late": late_count,
        "refused": len(refusal_seconds),
        "refusal_p50_ms": round(statistics.median(refusal_seconds) * 1000, 2),
        "refusal_p99_ms": round(summarize(refusal_seconds).p99, 2),
        "overruns": simulation.overruns,
    }


def measure_failures(load: float, count: int, seed: int) -> dict:
    """Return the requests sent per admitted request when a third of workers fail.

    The workers fail in the middle of the measurement.
    """
    scenario = Scenario(load, "light")
    requests = make_requests(CHATTAHOOCHEE, scenario, count, seed)

    async def run() -> tuple[RoutingSimulation, list]:
        simulation = RoutingSimulation(CHATTAHOOCHEE, scenario, seed, QUEUE_LIMIT)
        failure_at = requests[len(requests) // 2].arrives_at

        async def fail_workers() -> None:
            await asyncio.sleep(failure_at)
            for worker in simulation.workers[::3]:
                worker.fails = True

        failure = asyncio.create_task(fail_workers())
        results = await simulation.run(requests, TIMEOUT_SECONDS)
        await failure
        return simulation, results

    simulation, results = on_virtual_time(run())
    sent_count = simulation.counters.count("calls.sent")
    admitted_count = simulation.counters.count("calls.admitted")
    answered_count = sum(isinstance(outcome, Answered) for _, outcome in results)
    return {
        "load": load,
        "admitted": admitted_count,
        "sent": sent_count,
        "amplification": round(sent_count / admitted_count, 4),
        "answered": round(answered_count / len(requests), 4),
        "ejections": simulation.counters.count("workers.ejected"),
        "overruns": simulation.overruns,
    }


def main() -> None:
    """Measure overload with both tails, and failures at 0.4 and 0.6 of the capacity."""
    parser = make_parser(__doc__)
    parser.add_argument("--requests", type=int, default=100_000)
    options = parser.parse_args()
    overload_rows = [
        measure_overload(2.0, tail, options.requests, options.seed)
        for tail in ("light", "heavy")
    ]
    failure_rows = [
        measure_failures(load, options.requests, options.seed) for load in (0.4, 0.6)
    ]
    for rows in (overload_rows, failure_rows):
        print_table(list(rows[0]), [list(row.values()) for row in rows])
    print(f"mean service time {MEAN_SECONDS * 1000:g} ms, deadline {TIMEOUT_SECONDS} s")
    save(
        "overload",
        {
            "requests": options.requests,
            "overload": overload_rows,
            "failures": failure_rows,
        },
    )


if __name__ == "__main__":
    main()
