"""Planned runs that a smaller worker cannot take are withdrawn, the latest first."""

from savorydale.jobs.model import StepSpec, TaskId
from savorydale.orders.interface import Resources
from savorydale.orders.runs import Run
from savorydale.orders.withdrawal import choose_withdrawals


def make_runs(*specs):
    return [
        Run(TaskId("a1", 0, 0, index), 1, spec, 0.0) for index, spec in enumerate(specs)
    ]


def test_nothing_is_withdrawn_from_a_worker_that_has_enough():
    assert choose_withdrawals(Resources(0, 0, 0), make_runs(StepSpec(1, 500, 10))) == []


def test_latest_runs_are_withdrawn_until_the_others_fit():
    first, second, third = make_runs(*[StepSpec(1, 1000, 10)] * 3)
    runs = [first, second, third]
    assert choose_withdrawals(Resources(1001, 0, 0), runs) == [third, second]


def test_runs_that_reserve_nothing_of_what_is_short_stay():
    small, large, other = make_runs(
        StepSpec(1, 100, 500), StepSpec(1, 100, 0, accelerators=2), StepSpec(1, 100)
    )
    runs = [small, large, other]
    assert choose_withdrawals(Resources(0, 400, 1), runs) == [large, small]


def test_backfill_reserves_memory_but_no_cpu():
    batch, backfill = make_runs(
        StepSpec(1, 1000, 100), StepSpec(1, 1000, 100, backfill=True)
    )
    runs = [batch, backfill]
    assert choose_withdrawals(Resources(500, 0, 0), runs) == [batch]
    assert choose_withdrawals(Resources(0, 50, 0), runs) == [backfill]


def test_nothing_is_started_if_active_runs_exceed_the_capacity():
    backfill, other = make_runs(
        StepSpec(1, 1000, 100, backfill=True), StepSpec(1, 100, 0)
    )
    runs = [backfill, other]
    assert choose_withdrawals(Resources(500, 0, 0), runs) == [other, backfill]
    assert choose_withdrawals(Resources(0, 500, 0), runs) == [other, backfill]


def test_all_planned_runs_are_withdrawn_if_active_ones_exceed_the_capacity():
    runs = make_runs(*[StepSpec(1, 1000, 10)] * 2)
    assert choose_withdrawals(Resources(9000, 0, 0), runs) == runs[::-1]
