from savorydale.scheduling.tasks import Task, task_from_json
from savorydale.workers.interface import Demand

TASK = Task("a@1", "job", "a", 3, Demand(1.0, 2.0, 0), 10.0)


def test_a_task_round_trips_through_its_row():
    placed = TASK._replace(worker="w1", attempt=2, urgent=True).with_avoided_worker(
        "w0"
    )
    for task in (TASK, placed):
        assert task_from_json(task.to_json()) == task


def test_a_row_omits_fields_at_their_default():
    assert set(TASK.to_json()) == set(TASK._fields) - set(TASK._field_defaults)
