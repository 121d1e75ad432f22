from standins.tasks import TaskTable


def start_job(tasks, run_seconds=10.0, lease_seconds=60.0):
    tasks.start(
        {
            "task": "t",
            "kind": "job",
            "name": "t",
            "attempt": 1,
            "rack": "r",
            "epoch": 1,
            "demand": {"processors": 4.0},
            "run_seconds": run_seconds,
            "checkpoint": None,
            "granted_from": 0.0,
            "lease_seconds": lease_seconds,
        }
    )


def test_throttled_task_takes_longer_and_uses_fewer_processors():
    now = [0.0]
    tasks = TaskTable(lambda: now[0])
    start_job(tasks)
    now[0] = 5.0
    tasks.throttle({"task": "t", "attempt": 1, "rack": "r", "epoch": 1, "pace": 0.5})
    assert tasks.usage() == {"t": 2.0}
    now[0] = 14.9
    assert tasks.running() == ["t"]
    now[0] = 15.1
    assert tasks.running() == []
    assert tasks.completions["t"] == 1


def test_job_stops_at_lease_expiry_and_checkpoints_its_progress():
    now = [0.0]
    tasks = TaskTable(lambda: now[0])
    start_job(tasks, lease_seconds=4.0)
    now[0] = 9.0
    assert tasks.running() == []
    stop = {"task": "t", "attempt": 1, "rack": "r", "epoch": 1}
    report = tasks.stop(stop)
    assert report["state"] == "lapsed"
    assert report["progress"] == 0.4
