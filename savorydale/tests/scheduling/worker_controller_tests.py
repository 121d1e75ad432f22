from types import SimpleNamespace

from savorydale.counters import Counters
from savorydale.scheduling.rack_colocation import ColocationModels, RackColocation
from savorydale.scheduling.rack_tasks import RackTasks
from savorydale.scheduling.tasks import Task
from savorydale.scheduling.worker_controller import WorkerController
from savorydale.tests.fakes import make_vm
from savorydale.tests.harness import on_virtual_time
from savorydale.workers.directory import Directory
from savorydale.workers.interface import Demand, TaskReport

TASK = Task("a@1", "job", "a", 0, Demand(1.0, 1.0, 0), 10.0, attempt=1, worker="w0")


class FakeWorkerClient:
    """Responds to a throttle command after calling ``before_response``."""

    def __init__(self, before_response):
        self._before_response = before_response

    async def throttle(self, address, command):
        self._before_response()
        return TaskReport(command.attempt, "running", 0.0, None, pace=command.pace)


async def throttle_with(before_response):
    row = SimpleNamespace(epoch=1, owned=SimpleNamespace(unit="rack/r0"))
    counters = Counters()
    tasks = RackTasks(row, Directory(), RackColocation(ColocationModels()), counters)
    tasks.task_by_id = {TASK.id: TASK}
    tasks.report_by_task = {TASK.id: TaskReport(1, "running", 0.0, None)}
    client = FakeWorkerClient(lambda: before_response(tasks))
    controller = WorkerController("w0", tasks, client, 10.0, None, None)
    await controller._throttle(TASK, make_vm("w0"), 0.5)
    return tasks, counters


@on_virtual_time
async def test_a_throttled_run_is_recorded_with_its_new_speed():
    tasks, counters = await throttle_with(lambda tasks: None)
    assert tasks.report_by_task[TASK.id].pace == 0.5
    assert counters.count("colocation.slowed") == 1


@on_virtual_time
async def test_a_run_that_ends_during_a_throttle_command_stays_ended():
    tasks, counters = await throttle_with(lambda tasks: tasks.load({}))
    assert tasks.report_by_task == {}
    assert counters.count("colocation.slowed") == 0
