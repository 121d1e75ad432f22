import asyncio

from savorydale.scheduling.colocation import (
    MAX_EVICTIONS,
    MIN_SPEED,
    SETTLING_SECONDS,
    ColocationReview,
    Evict,
    JobView,
    ServiceView,
    Throttle,
    WorkerView,
    allowed_inflation,
)
from savorydale.scheduling.interference import PRIOR_WEIGHT, InterferenceModel
from savorydale.scheduling.placement import (
    PlacementPrediction,
    choose_worker_or_slow_start,
)
from savorydale.scheduling.tasks import Task
from savorydale.tests.fakes import make_vm
from savorydale.tests.harness import on_virtual_time, open_cluster, tree, wait_until
from savorydale.tests.scheduling.scheduler_tests import completions, submit
from savorydale.workers.interface import Demand

LIMIT = 1 + allowed_inflation(0.5)


def make_view(inflation, *jobs):
    return WorkerView((ServiceView("desk", 0.5, inflation),), jobs)


def make_job(name, share=0.25, speed=1.0, urgent=False, evictions=0):
    return JobView(f"{name}@1", name, share, speed, urgent, evictions)


class ReviewHarness:
    """A review with a clock that advances by two seconds per review."""

    def __init__(self):
        self.now = 0.0
        self.model = InterferenceModel(lambda: self.now)
        self.review = ColocationReview(self.model)

    def review_once(self, view):
        self.now += 2.0
        return self.review.review(view, self.now)

    def review_until_action(self, view, max_reviews=30):
        for _ in range(max_reviews):
            action = self.review_once(view)
            if action is not None:
                return action
        return None


def test_the_model_separates_a_noisy_from_a_quiet_job():
    model = InterferenceModel(lambda: 0.0)
    for index in range(200):
        loud, quiet = 0.1 + 0.3 * (index % 2), 0.4 - 0.3 * (index % 2)
        model.observe("desk", {"loud": loud, "quiet": quiet}, 1 + 2.0 * loud)
    assert abs(model.weight("desk", "loud") - 2.0) < 0.1
    assert model.weight("desk", "quiet") < 0.1
    assert model.weight("lines", "loud") == PRIOR_WEIGHT


def test_weights_decay_to_the_prior_without_observations():
    now = 0.0
    model = InterferenceModel(lambda: now)
    for _ in range(50):
        model.observe("desk", {"loud": 0.5}, 3.0)
    assert model.weight("desk", "loud") > 3.0
    now = 100_000.0
    assert abs(model.weight("desk", "loud") - PRIOR_WEIGHT) < 0.01


def test_a_run_is_throttled_before_it_is_evicted():
    harness = ReviewHarness()
    assert harness.review_until_action(make_view(2.0, make_job("a"))) == Throttle(
        "a@1", 0.5
    )
    throttle = harness.review_until_action(make_view(2.0, make_job("a", speed=0.5)))
    assert throttle == Throttle("a@1", MIN_SPEED)
    evict = harness.review_until_action(make_view(2.0, make_job("a", speed=MIN_SPEED)))
    assert evict == Evict("a@1")


def test_no_action_before_the_vm_has_settled():
    harness = ReviewHarness()
    while harness.now + 2.0 < SETTLING_SECONDS:
        assert harness.review_once(make_view(3.0, make_job("a"))) is None
    assert harness.review_once(make_view(3.0, make_job("a"), make_job("b"))) is None
    changed_at = harness.now
    assert (
        harness.review_until_action(make_view(3.0, make_job("a"), make_job("b")))
        is not None
    )
    assert harness.now - changed_at >= SETTLING_SECONDS


def test_isolated_breaches_cause_no_action():
    harness = ReviewHarness()
    for index in range(60):
        inflation = LIMIT + 0.2 if index % 2 else 1.15
        assert harness.review_once(make_view(inflation, make_job("a"))) is None


def test_the_run_with_the_largest_contribution_is_throttled():
    harness = ReviewHarness()
    for _ in range(50):
        harness.model.observe("desk", {"loud": 0.1}, 1.5)
        harness.model.observe("desk", {"quiet": 0.5}, 1.0)
    view = make_view(1.5, make_job("quiet", share=0.5), make_job("loud", share=0.1))
    assert harness.review_until_action(view) == Throttle("loud@1", 0.5)


def test_urgent_and_often_evicted_runs_cause_no_action():
    harness = ReviewHarness()
    assert (
        harness.review_until_action(make_view(3.0, make_job("a", urgent=True))) is None
    )
    evicted_often = make_job("b", speed=MIN_SPEED, evictions=MAX_EVICTIONS)
    assert harness.review_until_action(make_view(3.0, evicted_often)) is None


def test_a_throttled_run_is_sped_up_only_well_below_the_limit():
    throttled = make_job("a", share=0.05, speed=0.5)
    harness = ReviewHarness()
    near_limit = 1 + allowed_inflation(0.5) * 0.8
    assert harness.review_until_action(make_view(near_limit, throttled)) is None
    assert harness.review_until_action(make_view(1.0, throttled)) == Throttle(
        "a@1", 1.0
    )
    without_services = ReviewHarness()
    assert without_services.review_until_action(
        WorkerView((), (throttled,))
    ) == Throttle("a@1", 1.0)


def test_a_run_is_placed_where_predicted_interference_is_least():
    breach_ratio_by_worker = {"w0": 3.0, "w1": 0.5, "w2": 0.0}
    vms = [make_vm(name) for name in breach_ratio_by_worker]

    def predict(task, vm):
        return PlacementPrediction(
            breach_ratio_by_worker[vm.vm], 40.0 if vm.vm == "w2" else 10.0
        )

    task = Task("a@1", "job", "a", 0, Demand(1.0, 1.0, 0), 10.0)
    assert choose_worker_or_slow_start(task, vms, {}, predict)[1].vm == "w1"
    assert choose_worker_or_slow_start(task, vms[::2], {}, predict)[1] is None
    overdue = task._replace(must_start=True)
    slow_started, vm = choose_worker_or_slow_start(overdue, vms[::2], {}, predict)
    assert vm.vm == "w0"
    assert slow_started.slow_start


async def send_requests(cluster, index):
    node = cluster.nodes[index % len(cluster.nodes)]
    request_number = 0
    while True:
        request_number += 1
        await node.call(f"{index}-{request_number}", seconds=0.02)


@on_virtual_time
async def test_a_noisy_run_is_throttled_and_still_completes_once():
    nodes = tree(replicas=4, run_seconds=60, processors=8.0)
    async with open_cluster(nodes=nodes) as cluster:
        for worker in cluster.all_workers():
            worker.interference = 1.0
        request_loops = [
            asyncio.create_task(send_requests(cluster, n)) for n in range(3)
        ]
        await asyncio.sleep(30)
        run_id = await submit(cluster, "x")
        await wait_until(lambda: run_id in cluster.history(), 1200)
        for request_loop in request_loops:
            request_loop.cancel()
        await asyncio.wait(request_loops)
        counts = [node.entry.counters.count for node in cluster.nodes]
        assert completions(cluster, run_id) == 1
        assert sum(count("colocation.slowed") for count in counts) >= 1
        evictions = sum(count("colocation.evicted") for count in counts)
        assert evictions <= MAX_EVICTIONS
        assert cluster.history()[run_id]["attempts"] == 1 + evictions
