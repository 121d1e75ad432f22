"""Compare request latency under savorydale, three baselines and one ideal queue."""

from benchmarks.baselines import run_baseline, run_ideal
from benchmarks.common import make_parser, print_table, save, summarize
from benchmarks.routing_simulation import RoutingSimulation, on_virtual_time
from benchmarks.traffic import (
    CHATTAHOOCHEE,
    HANAFY,
    ONE_WAY_SECONDS,
    Deployment,
    Scenario,
    make_requests,
)

BASELINES = ("random", "round_robin", "least_reported")
TIMEOUT_SECONDS = 600.0
SCENARIOS = (
    Scenario(0.5, "light"),
    Scenario(0.8, "light"),
    Scenario(0.95, "light"),
    Scenario(0.5, "heavy"),
    Scenario(0.8, "heavy"),
    Scenario(0.95, "heavy"),
    Scenario(0.8, "light", slow_workers=1),
    Scenario(0.8, "heavy", slow_workers=1),
)


def measure(
    deployment: Deployment, scenario: Scenario, count: int, seed: int
) -> list[dict[str, object]]:
    """Return one row of results for each policy."""
    requests = make_requests(deployment, scenario, count, seed)
    latencies_by_policy = {
        "ideal": run_ideal(deployment, scenario, requests),
        "ideal_held": run_ideal(deployment, scenario, requests, 2 * ONE_WAY_SECONDS),
    }
    for policy in BASELINES:
        latencies_by_policy[policy] = run_baseline(
            policy, deployment, scenario, requests, seed
        )

    async def run() -> tuple[list[float], int]:
        simulation = RoutingSimulation(deployment, scenario, seed)
        results = await simulation.run(requests, TIMEOUT_SECONDS)
        return [seconds for seconds, _ in results], simulation.overruns

    latencies_by_policy["savorydale"], overruns = on_virtual_time(run())
    ideal_p99 = summarize(latencies_by_policy["ideal"]).p99
    rows = []
    for policy, latencies in latencies_by_policy.items():
        summary = summarize(latencies)
        rows.append(
            {
                "deployment": deployment.name,
                "load": scenario.load,
                "tail": scenario.tail,
                "slow_workers": scenario.slow_workers,
                "policy": policy,
                "p50_ms": round(summary.p50, 2),
                "p99_ms": round(summary.p99, 2),
                "p999_ms": round(summary.p999, 2),
                "p99_to_ideal": round(summary.p99 / ideal_p99, 3),
                "overruns": overruns if policy == "savorydale" else 0,
            }
        )
    return rows


def main() -> None:
    """Measure the selected scenarios and deployments."""
    parser = make_parser(__doc__)
    parser.add_argument("--requests", type=int, default=60_000)
    parser.add_argument("--only", type=int, help="number of one scenario")
    parser.add_argument("--deployment", choices=("both", "one"), default="both")
    options = parser.parse_args()
    scenarios = SCENARIOS if options.only is None else [SCENARIOS[options.only]]
    both = options.deployment == "both"
    rows = [
        row
        for deployment in ((CHATTAHOOCHEE, HANAFY) if both else (CHATTAHOOCHEE,))
        for scenario in scenarios
        for row in measure(deployment, scenario, options.requests, options.seed)
    ]
    print_table(list(rows[0]), [list(row.values()) for row in rows])
    if options.only is None and both:
        save(
            "balancing",
            {"requests": options.requests, "seed": options.seed, "rows": rows},
        )


if __name__ == "__main__":
    main()
