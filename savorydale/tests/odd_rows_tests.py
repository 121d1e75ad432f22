"""An odd row in any table affects only itself, also at the next takeover."""

import asyncio
import json

import pytest

from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec
from savorydale.jobs.rows import JobRow, JobStatus, encode_job
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
NEXT_JOB = "00000000000000a2"
SERVICE_JOB = "00000000000000c1"
ODD_JOB = "00000000000000b1"
STEP = StepSpec(6, 500, 100, estimate_ms=500)
SERVICE_STEP = StepSpec(
    2, 500, 100, long_running=True, image="page", latency_target_ms=50
)
BACKFILL_STEP = StepSpec(3, 500, 100, estimate_ms=500, backfill=True, image="crawl")
QUEUE = QueueSettings("q1", "desk.example", "/q1/", "desk", max_attempts=2)
JOB_ROW = encode_job(JobRow(JobSpec("x", (STEP,)), QUEUE, 0))
HUGE = 10**400
NESTED = b"[" * 100_000


def encode(data):
    return json.dumps(data).encode()


def job_row(path, value):
    """Return the row of a job with one odd value."""
    data = json.loads(JOB_ROW)
    inner = data
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return encode(data)


def configuration(limits=None, **route):
    queue = {"name": "q1", "host": "desk.example", "pathPrefix": "/q1/"}
    route = {**queue, "service": "desk", **route}
    return encode({"version": 5, "routes": [route], "limits": limits or {}})


ODD_ROWS = [
    ("op", "config", NESTED),
    ("op", "config", b""),
    ("op", "config", configuration(priority=HUGE, attempts=HUGE)),
    ("op", "config", configuration(stretch=1e308, sloMs=1e308, priority=-5)),
    ("op", "config", configuration({"maxBodyBytes": -1}, stretch=-1e308, sloMs=-1e308)),
    ("op", "wave/1", NESTED),
    ("op", "\ud800", b"x"),
    ("op", "odd\x00", b"{}"),
    ("jobs", "\ud800x", JOB_ROW),
    ("jobs", "x" * 198, JOB_ROW),
    ("jobs", "", JOB_ROW),
    ("jobs", "a.b", JOB_ROW),
    ("jobs", ".cancel", b"1"),
    ("jobs", "a.b.cancel", b"1"),
    ("jobs", "x" * 200 + ".cancel", b"1"),
    ("jobs", "\ud800.cancel", b"1"),
    ("jobs", ODD_JOB, job_row(["queue", "priority"], HUGE)),
    ("jobs", ODD_JOB, job_row(["queue", "max_attempts"], HUGE)),
    ("jobs", ODD_JOB, job_row(["queue", "stretch"], 1e308)),
    ("jobs", ODD_JOB, job_row(["queue", "objective_ms"], -1e308)),
    ("jobs", ODD_JOB, job_row(["queue", "name"], "\ud800")),
    ("jobs", ODD_JOB, job_row(["timing"], [HUGE, 5, 3])),
    ("jobs", ODD_JOB, job_row(["timing"], [5, -HUGE, 3])),
    ("jobs", ODD_JOB, job_row(["steps", 0, "cpu_millicores"], HUGE)),
    ("jobs", ODD_JOB, job_row(["steps", 0, "cpu_millicores"], -5)),
    ("jobs", ODD_JOB, job_row(["steps", 0, "memory_mb"], -HUGE)),
    ("jobs", ODD_JOB, job_row(["steps", 0, "estimate_ms"], 1e308)),
    ("jobs", ODD_JOB, job_row(["steps", 0, "max_unavailable"], HUGE)),
    ("jobs", ODD_JOB, job_row(["steps", 0, "max_per_worker"], -HUGE)),
    ("jobs", ODD_JOB, job_row(["payload"], "\ud800")),
    ("states", ODD_JOB, encode(["q1", "queued", HUGE])),
    ("states", ODD_JOB, encode(["q1", "completed", -HUGE])),
    ("states", ODD_JOB, encode(["q1", ["x"], 5])),
    ("states", "\ud800", encode(["q1", "completed", 5])),
    ("states", "x" * 200, NESTED),
    ("steps", "", b""),
    ("steps", "\ud800", b"[]"),
    ("steps", f"{SERVICE_JOB}.{10**50}.0", encode([[0, 1, 0, "w0", ""]])),
    ("steps", f"{SERVICE_JOB}.-1.0", encode([[0, 1, 0, "w0", ""]])),
    ("steps", f"{ODD_JOB}.0.0", encode([[0, HUGE, -HUGE, "w0", ""]])),
    ("tails", "page", NESTED),
    ("tails", "page", encode([[["", "", 1e308], ["", "crawl", 1e308]], {"": -1e308}])),
    ("tails", "page", encode([[[[], "crawl", 1]], {"crawl": 1}])),
    ("tails", "\ud800", b"[]"),
    ("summaries", "q1", encode([HUGE, -HUGE])),
    ("summaries", "q1", NESTED),
    ("scheduler", "lease\x00", b"x"),
    ("scheduler", "lease.", b"x"),
]


def plan_run(task, run):
    return Plan(None) if task.startswith(SERVICE_JOB) else Plan(0.5)


@pytest.mark.parametrize("number", range(len(ODD_ROWS)))
@on_virtual_time
async def test_odd_row_holds_up_no_other_job(number):
    async with open_branch(plan_run) as branch:
        await branch.submit("e0", SERVICE_JOB, SERVICE_STEP)
        await asyncio.sleep(1)
        branch.store.put(*ODD_ROWS[number])
        await asyncio.sleep(1)
        await assert_job_completes(branch, JOB)
        await branch.kill_entry(branch.scheduling_entry())
        await assert_job_completes(branch, NEXT_JOB)
        assert branch.counters.count("lease.given_up") == 0


async def assert_job_completes(branch, job):
    entry = next(iter(branch.entry_by_name))
    await branch.submit(entry, job, STEP, BACKFILL_STEP)
    await branch.wait_for_status(entry, job, JobStatus.COMPLETED, 15)
    process = branch.entry_by_name[entry]
    assert await process.job_store.count_pending("q1", 2.0) == 0
