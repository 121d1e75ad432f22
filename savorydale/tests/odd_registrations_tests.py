"""An odd entry among those of the workers names no worker to use; the others hold."""

import asyncio
import json

import pytest

from savorydale.jobs.model import StepSpec
from savorydale.jobs.rows import JobStatus
from savorydale.tests.branch import open_branch
from savorydale.tests.harness import on_virtual_time
from standins.task_worker import Plan

JOB = "00000000000000a1"
NEXT_JOB = "00000000000000a2"
LAST_JOB = "00000000000000a3"
LASTING_JOB = "00000000000000c1"
STEP = StepSpec(6, 500, 100, estimate_ms=500)
LASTING_STEP = StepSpec(3, 500, 100, long_running=True, max_per_worker=1)
HUGE = 10**400
ODD_CHANGES = {
    "cpu of 400 digits": {"capacity": {"cpu": HUGE, "memMb": 1000}},
    "cpu of 400 digits below zero": {"capacity": {"cpu": -HUGE, "memMb": 1000}},
    "cpu as large as a float can be": {"capacity": {"cpu": 1e308, "memMb": 1000}},
    "cpu below zero": {"capacity": {"cpu": -5, "memMb": 1000}},
    "cpu with a fraction": {"capacity": {"cpu": 10.5, "memMb": 1000}},
    "cpu is true": {"capacity": {"cpu": True, "memMb": 1000}},
    "memory of 400 digits": {"capacity": {"cpu": 1000, "memMb": HUGE}},
    "gpu of 400 digits": {"capacity": {"cpu": 1000, "memMb": 1000, "gpu": HUGE}},
    "gpu is a list": {"capacity": {"cpu": 1000, "memMb": 1000, "gpu": []}},
    "no capacity": {"capacity": None},
    "born of 400 digits": {"born": HUGE},
    "born below zero": {"born": -1},
    "remaining time of 400 digits": {"state": "draining", "remainingMs": HUGE},
    "remaining time is not finite": {"remainingMs": float("inf")},
    "state is a list": {"state": ["ready"]},
    "state is unknown": {"state": "asleep"},
    "labels by the thousand": {"labels": [f"x{number}" for number in range(2000)]},
    "labels in a label": {"labels": [["a"]]},
    "labels is an object": {"labels": {}},
    "address is a number": {"address": 80},
    "address is empty": {"address": ""},
    "address without a port": {"address": "10.0.0.1"},
    "address without a host": {"address": ":80"},
    "port 0": {"address": "10.0.0.1:0"},
    "port 65536": {"address": "10.0.0.1:65536"},
    "port 99999999": {"address": "10.0.0.1:99999999"},
    "port -1": {"address": "10.0.0.1:-1"},
    "port in other digits": {"address": "10.0.0.1:\u0661\u0662"},
    "user in the address": {"address": "me:pw@10.0.0.1:80"},
    "path in the address": {"address": "10.0.0.1:80/x"},
    "path before the port": {"address": "10.0.0.1/x:80"},
    "space in the address": {"address": "10.0.0. 1:80"},
    "line break in the address": {"address": "10.0.0.1:80\r\nX: y"},
    "line break at the end": {"address": "10.0.0.1:80\n"},
    "address in other letters": {"address": "w\u00f6rker:80"},
    "lone surrogate in the address": {"address": "\ud800:80"},
    "number too large in the address": {"address": "10.0.0.999:80"},
    "address of 200 kB": {"address": "a" * 200_000 + ":80"},
    "IPv6 without brackets": {"address": "fe80::1:80"},
    "IPv6 that is none": {"address": "[fe80::1::2]:80"},
}
ODD_VALUES = {
    "lists nested 100,000 deep": b"[" * 100_000,
    "objects nested 100,000 deep": b'{"a":' * 100_000,
    "number of 5,000 digits": b'{"seq":' + b"1" * 5000 + b"}",
    "no value": b"",
    "no UTF-8": b"\xff\xfe{}",
    "a list": b"[]",
    "null": b"null",
}
ODD_NAMES = [*ODD_CHANGES, *ODD_VALUES]


def odd_value(branch, name):
    """Return a worker's entry with one odd part."""
    if name in ODD_VALUES:
        return ODD_VALUES[name]
    row = json.loads(branch.worker_by_name["w0"].registration("w0:80", "desk", []))
    return json.dumps({**row, **ODD_CHANGES[name]}).encode()


def plan_run(task, run):
    return Plan(None) if task.startswith(LASTING_JOB) else Plan(0.5)


def run_count(branch, worker):
    return len(branch.worker_by_name[worker].run_by_task)


def started_on(branch, worker, job):
    """Return the tasks of a job that were started on a worker, as it knows them."""
    tasks = branch.worker_by_name[worker]._highest_run_by_task
    return {task for task in tasks if task.startswith(job)}


async def assert_job_completes(branch, job):
    entry = next(iter(branch.entry_by_name))
    await branch.submit_when_ready(entry, job, STEP)
    await branch.wait_for_status(entry, job, JobStatus.COMPLETED, 10)


@pytest.mark.parametrize("name", ODD_NAMES)
@on_virtual_time
async def test_odd_entry_under_the_id_of_a_worker_ends_no_term(name):
    async with open_branch(plan_run) as branch:
        await branch.submit("e0", LASTING_JOB, LASTING_STEP)
        await branch.wait_until(lambda: run_count(branch, "w0") == 1, 5)
        branch.store.put("servers", "w0", odd_value(branch, name))
        await asyncio.sleep(0.2)
        await assert_job_completes(branch, JOB)
        await asyncio.sleep(10)
        assert not started_on(branch, "w0", JOB)
        assert branch.checker.starts.total() == STEP.task_count + 3  # nothing moved
        assert run_count(branch, "w0") == 1
        branch.register("w0")
        await asyncio.sleep(0.2)
        await assert_job_completes(branch, NEXT_JOB)
        assert started_on(branch, "w0", NEXT_JOB)
        assert branch.counters.count("lease.given_up") == 0


@pytest.mark.parametrize("name", ODD_NAMES)
@on_virtual_time
async def test_takeover_with_an_odd_entry_uses_the_other_workers(name):
    async with open_branch(plan_run) as branch:
        branch.store.put("servers", "odd", odd_value(branch, name))
        branch.store.put("servers", "w0", odd_value(branch, name))
        await branch.kill_entry(branch.scheduling_entry())
        await assert_job_completes(branch, JOB)
        branch.add_worker("w9")
        await asyncio.sleep(0.2)
        await assert_job_completes(branch, NEXT_JOB)
        assert started_on(branch, "w9", NEXT_JOB)
        assert not started_on(branch, "w0", NEXT_JOB)
        assert branch.counters.count("lease.given_up") == 0


@on_virtual_time
async def test_remaining_time_that_is_too_large_ends_no_term():
    step = StepSpec(3, 500, 100, estimate_ms=60_000, checkpointing=True)
    async with open_branch(lambda task, run: Plan(60)) as branch:
        await branch.submit("e0", LASTING_JOB, step)
        await branch.wait_until(lambda: run_count(branch, "w0") == 1, 5)
        odd = odd_value(branch, "remaining time of 400 digits")
        branch.store.put("servers", "w0", odd)
        await asyncio.sleep(3)
        assert branch.counters.count("lease.given_up") == 0
