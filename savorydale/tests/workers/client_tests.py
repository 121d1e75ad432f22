"""A reply of a worker that cannot be read counts as lost, as the interface states."""

import asyncio

import pytest

from savorydale.exceptions import WorkerOutcomeUnknownError
from savorydale.workers.client import open_worker_client
from savorydale.workers.interface import StopTask, WorkerHeartbeat
from standins.entry_process import free_port
from standins.row_store import Reply
from standins.serve import serve

HUGE = 10**400
REPORT = {"attempt": 2, "state": "running", "progress": 0.5, "checkpoint": None}
REPLY = {"clock": 5.0, "tasks": {"t": REPORT}}
HEARTBEAT = WorkerHeartbeat("r0", 1, 4.0, None, {})
ODD_REPLIES = {
    "a list": [],
    "a number": 5,
    "no clock": {"tasks": {}},
    "clock of 400 digits": {**REPLY, "clock": HUGE},
    "clock below zero": {**REPLY, "clock": -1},
    "clock is a text": {**REPLY, "clock": "5"},
    "tasks is a list": {**REPLY, "tasks": []},
    "task is null": {**REPLY, "tasks": {"t": None}},
    "state is unknown": {**REPLY, "tasks": {"t": {**REPORT, "state": "asleep"}}},
    "state is a list": {**REPLY, "tasks": {"t": {**REPORT, "state": ["done"]}}},
    "attempt of 400 digits": {**REPLY, "tasks": {"t": {**REPORT, "attempt": HUGE}}},
    "progress is true": {**REPLY, "tasks": {"t": {**REPORT, "progress": True}}},
    "checkpoint is nested": {**REPLY, "tasks": {"t": {**REPORT, "checkpoint": [[]]}}},
    "field missing": {**REPLY, "tasks": {"t": {"attempt": 1}}},
}


class OneAnswer:
    """Answers each request with one body."""

    def __init__(self, body):
        self._body = body

    async def handle(self, method, path, params, body):
        return Reply(200, self._body)


async def call(body, use):
    async with serve(OneAnswer(body), free_port()) as address:
        with open_worker_client(2.0) as client:
            return await use(client, address)


def heartbeat(body):
    return asyncio.run(call(body, lambda client, to: client.heartbeat(to, HEARTBEAT)))


def test_report_is_decoded_and_unknown_fields_are_ignored():
    report = heartbeat({**REPLY, "tasks": {"t": {**REPORT, "kernel": "6.1"}}})
    assert report.clock == 5.0
    assert report.report_by_task["t"]._asdict().items() >= REPORT.items()


@pytest.mark.parametrize("name", ODD_REPLIES)
def test_heartbeat_with_an_odd_reply_counts_as_lost(name):
    with pytest.raises(WorkerOutcomeUnknownError):
        heartbeat(ODD_REPLIES[name])


@pytest.mark.parametrize("body", [{}, [], {**REPORT, "progress": HUGE}])
def test_stop_with_an_odd_reply_counts_as_lost(body):
    command = StopTask("t", 1, "r0", 1)
    with pytest.raises(WorkerOutcomeUnknownError):
        asyncio.run(call(body, lambda client, address: client.stop(address, command)))


@pytest.mark.parametrize("body", [{}, {"running": []}, {"running": {"e": [5]}}])
def test_odd_list_of_requests_counts_as_lost(body):
    with pytest.raises(WorkerOutcomeUnknownError):
        asyncio.run(call(body, lambda client, to: client.running_requests(to)))
