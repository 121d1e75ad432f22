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


def job(name, share=0.25, speed=1.0, urgent=False, evictions=0):
    return JobView(f"{name}@1", name, share, speed, urgent, evictions)


class Reviewed:
    """A review whose clock moves on by two seconds a look."""

    def __init__(self):
        self.now = 0.0
        self.model = InterferenceModel(lambda: self.now)
        self.review = ColocationReview(self.model)

    def look(self, view):
        self.now += 2.0
        return self.review.review(view, self.now)

    def look_until_action(self, view, looks=30):
        for _ in range(looks):
            action = self.look(view)
            if action is not None:
                return action
        return None


def test_the_model_tells_a_noisy_pair_from_a_quiet_one():
    model = InterferenceModel(lambda: 0.0)
    for number in range(200):
        loud, quiet = 0.1 + 0.3 * (number % 2), 0.4 - 0.3 * (number % 2)
        model.observe("desk", {"loud": loud, "quiet": quiet}, 1 + 2.0 * loud)
    assert abs(model.weight("desk", "loud") - 2.0) < 0.1
    assert model.weight("desk", "quiet") < 0.1
    assert model.weight("lines", "loud") == PRIOR_WEIGHT


def test_what_is_not_observed_any_more_is_forgotten():
    now = 0.0
    model = InterferenceModel(lambda: now)
    for _ in range(50):
        model.observe("desk", {"loud": 0.5}, 3.0)
    assert model.weight("desk", "loud") > 3.0
    now = 100_000.0
    assert abs(model.weight("desk", "loud") - PRIOR_WEIGHT) < 0.01


def test_a_breach_slows_down_before_it_evicts():
    reviewed = Reviewed()
    assert reviewed.look_until_action(make_view(2.0, job("a"))) == Throttle("a@1", 0.5)
    slower = reviewed.look_until_action(make_view(2.0, job("a", speed=0.5)))
    assert slower == Throttle("a@1", MIN_SPEED)
    evicted = reviewed.look_until_action(make_view(2.0, job("a", speed=MIN_SPEED)))
    assert evicted == Evict("a@1")


def test_nothing_is_decided_before_the_vm_has_settled():
    reviewed = Reviewed()
    while reviewed.now + 2.0 < SETTLING_SECONDS:
        assert reviewed.look(make_view(3.0, job("a"))) is None
    assert reviewed.look(make_view(3.0, job("a"), job("b"))) is None
    changed_at = reviewed.now
    assert reviewed.look_until_action(make_view(3.0, job("a"), job("b"))) is not None
    assert reviewed.now - changed_at >= SETTLING_SECONDS


def test_one_breach_between_good_reviews_does_nothing():
    reviewed = Reviewed()
    for number in range(60):
        inflation = LIMIT + 0.2 if number % 2 else 1.15
        assert reviewed.look(make_view(inflation, job("a"))) is None


def test_the_run_that_is_to_blame_is_slowed_down():
    reviewed = Reviewed()
    for _ in range(50):
        reviewed.model.observe("desk", {"loud": 0.1}, 1.5)
        reviewed.model.observe("desk", {"quiet": 0.5}, 1.0)
    view = make_view(1.5, job("quiet", share=0.5), job("loud", share=0.1))
    assert reviewed.look_until_action(view) == Throttle("loud@1", 0.5)


def test_urgent_runs_and_runs_that_were_moved_often_stay():
    reviewed = Reviewed()
    assert reviewed.look_until_action(make_view(3.0, job("a", urgent=True))) is None
    moved = job("b", speed=MIN_SPEED, evictions=MAX_EVICTIONS)
    assert reviewed.look_until_action(make_view(3.0, moved)) is None


def test_a_slowed_run_speeds_up_only_well_below_the_limit():
    slowed = job("a", share=0.05, speed=0.5)
    reviewed = Reviewed()
    near = 1 + allowed_inflation(0.5) * 0.8
    assert reviewed.look_until_action(make_view(near, slowed)) is None
    assert reviewed.look_until_action(make_view(1.0, slowed)) == Throttle("a@1", 1.0)
    alone = Reviewed()
    assert alone.look_until_action(WorkerView((), (slowed,))) == Throttle("a@1", 1.0)


def test_a_run_goes_where_it_is_expected_to_do_least_harm():
    breach_by_worker = {"w0": 3.0, "w1": 0.5, "w2": 0.0}
    vms = [make_vm(name) for name in breach_by_worker]

    def predict(task, vm):
        return PlacementPrediction(
            breach_by_worker[vm.vm], 40.0 if vm.vm == "w2" else 10.0
        )

    task = Task("a@1", "job", "a", 0, Demand(1.0, 1.0, 0), 10.0)
    assert choose_worker_or_slow_start(task, vms, {}, predict)[1].vm == "w1"
    assert choose_worker_or_slow_start(task, vms[::2], {}, predict)[1] is None
    late = task._replace(must_start=True)
    slow, vm = choose_worker_or_slow_start(late, vms[::2], {}, predict)
    assert vm.vm == "w0"
    assert slow.slow_start


async def keep_calling(cluster, number):
    node = cluster.nodes[number % len(cluster.nodes)]
    turn = 0
    while True:
        turn += 1
        await node.call(f"{number}-{turn}", seconds=0.02)


@on_virtual_time
async def test_a_noisy_run_is_slowed_down_moved_and_still_ends():
    nodes = tree(replicas=4, run_seconds=60, processors=8.0)
    async with open_cluster(nodes=nodes) as cluster:
        for worker in cluster.all_workers():
            worker.interference = 1.0
        callers = [asyncio.create_task(keep_calling(cluster, n)) for n in range(3)]
        await asyncio.sleep(30)
        run_id = await submit(cluster, "x")
        await wait_until(lambda: run_id in cluster.history(), 1200)
        for caller in callers:
            caller.cancel()
        await asyncio.wait(callers)
        counts = [node.entry.counters.count for node in cluster.nodes]
        assert completions(cluster, run_id) == 1
        assert sum(count("colocation.slowed") for count in counts) >= 1
        evictions = sum(count("colocation.evicted") for count in counts)
        assert evictions <= MAX_EVICTIONS
        assert cluster.history()[run_id]["attempts"] == 1 + evictions
