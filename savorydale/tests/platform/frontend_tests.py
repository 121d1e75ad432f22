"""Test HTTP responses to callers: they arrive in time and refusals are accurate."""

import asyncio
import contextlib

import aiohttp
import pytest
from aiohttp import web

from savorydale.counters import Counters
from savorydale.exceptions import StoreUnreachableError
from savorydale.jobs.model import Configuration, QueueSettings
from savorydale.jobs.store import JobStore
from savorydale.jobs.submission_gate import SubmissionGate
from savorydale.platform.frontend import Frontend
from savorydale.storage.rows import (
    Committed,
    Conflict,
    NotDone,
    OutcomeUnknown,
    RowRange,
    StoreOverloaded,
)

QUEUE = QueueSettings("q", "desk.example", "/q/", "desk")
JOB = "0123456789abcdef"
BODY = {"spec": "x", "steps": [{"count": 1}]}


class ScriptedStore:
    """Returns the same outcome for every transaction."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.calls = 0

    async def transact(self, transaction, timeout_seconds):
        self.calls += 1
        return self.outcome


class OverloadedStore(ScriptedStore):
    """Refuses every transaction for its load, and holds no job."""

    def __init__(self):
        super().__init__(StoreOverloaded("x"))

    async def read_range(self, table, start="", end="", *, timeout_seconds):
        return RowRange((), 1, 1)


class UnresponsiveStore:
    """Accepts requests and never responds."""

    async def transact(self, transaction, timeout_seconds):
        await asyncio.sleep(timeout_seconds)
        return OutcomeUnknown("silent")

    async def read_range(self, table, start="", end="", *, timeout_seconds):
        await asyncio.sleep(timeout_seconds)
        raise StoreUnreachableError("silent")


class BrokenStore:
    """Raises an error that no caller expects."""

    async def transact(self, transaction, timeout_seconds):
        raise ZeroDivisionError

    async def read_range(self, table, start="", end="", *, timeout_seconds):
        raise ZeroDivisionError


@contextlib.asynccontextmanager
async def open_frontend(store, configuration=True, reachable=True, stopping=False):
    current = Configuration(1, {"q": QUEUE}, 1000) if configuration else None
    frontend = Frontend(
        JobStore(store, SubmissionGate(lambda: 0)),
        Counters(),
        lambda: current,
        lambda: stopping,
        lambda: reachable,
    )
    runner = web.AppRunner(frontend.make_application())
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:

        async def call(method, path, body=None, deadline_ms="500"):
            headers = {"Host": "Desk.example", "Savorydale-Deadline-Ms": deadline_ms}
            url = f"http://127.0.0.1:{port}{path}"
            async with session.request(
                method, url, json=body, headers=headers
            ) as response:
                return response.status, dict(response.headers)

        call.frontend = frontend
        yield call
    await runner.cleanup()


def submit(store, body=BODY, path=f"/q/{JOB}", deadline_ms="500", **state):
    async def run():
        async with open_frontend(store, **state) as call:
            return await call("POST", path, body, deadline_ms)

    return asyncio.run(run())


def test_outcomes_of_a_submission():
    assert submit(ScriptedStore(Committed(1)))[0] == 200
    assert submit(ScriptedStore(Conflict({})))[0] == 200
    assert submit(ScriptedStore(OutcomeUnknown("x")))[0] == 504
    status, headers = submit(ScriptedStore(NotDone("x")))
    assert status == 503
    assert headers["Retry-After"] == "1"


def test_submission_to_an_overloaded_store_is_refused_after_one_attempt():
    store = OverloadedStore()
    status, headers = submit(store)
    assert status == 503
    assert headers["Retry-After"] == "1"
    assert store.calls == 1


def test_nothing_is_sent_while_the_store_is_unreachable():
    store = ScriptedStore(Committed(1))
    assert submit(store, reachable=False)[0] == 503
    assert store.calls == 0


def test_submission_with_a_very_short_deadline_is_still_tried():
    assert submit(ScriptedStore(Committed(1)), deadline_ms="20")[0] == 200


def test_invalid_requests_are_refused_with_the_right_status():
    store = ScriptedStore(Committed(1))
    assert submit(store, configuration=False)[0] == 503
    assert submit(store, path="/other/x")[0] == 404
    assert submit(store, path="/q/nonsense")[0] == 400
    assert submit(store, body={"steps": []})[0] == 400
    assert submit(store, body={"spec": "x" * 2000, "steps": [{"count": 1}]})[0] == 413
    assert store.calls == 0


def test_a_stopping_entry_closes_connections_after_its_responses():
    _, headers = submit(ScriptedStore(Committed(1)), stopping=True)
    assert headers["Connection"] == "close"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/q/", 503),
        ("GET", f"/q/{JOB}", 503),
        ("POST", f"/q/{JOB}", 504),
        ("DELETE", f"/q/{JOB}", 504),
    ],
)
def test_a_stopping_entry_responds_while_the_store_does_not(method, path, status):
    async def run():
        loop = asyncio.get_running_loop()
        async with open_frontend(UnresponsiveStore()) as call:
            waiting = asyncio.create_task(call(method, path, BODY, "5000"))
            await asyncio.sleep(0.2)
            call.frontend.set_response_deadline(loop.time() + 0.1)
            async with asyncio.timeout(1):
                return await waiting

    assert asyncio.run(run())[0] == status


def test_a_count_gets_a_response_by_its_deadline_while_the_store_does_not_respond():
    async def run():
        async with open_frontend(UnresponsiveStore()) as call, asyncio.timeout(0.9):
            return await call("GET", "/q/", None, "700")

    status, headers = asyncio.run(run())
    assert status == 503
    assert headers["Retry-After"] == "1"


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/q/", 503),
        ("GET", f"/q/{JOB}", 503),
        ("POST", f"/q/{JOB}", 504),
        ("DELETE", f"/q/{JOB}", 504),
    ],
)
def test_unexpected_error_is_never_reported_as_not_run(method, path, status):
    async def run():
        async with open_frontend(BrokenStore()) as call:
            return await call(method, path, BODY)

    assert asyncio.run(run())[0] == status


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_job_with_an_impossible_id_does_not_exist(method):
    async def run():
        async with open_frontend(UnresponsiveStore()) as call:
            return await call(method, "/q/" + "x" * 300)

    assert asyncio.run(run())[0] == 410


def test_deadline_that_cannot_be_read_is_replaced_by_the_default():
    assert submit(ScriptedStore(Committed(1)), deadline_ms="9" * 5000)[0] == 200


class StoreWithoutRows(ScriptedStore):
    """Has no rows; its transactions have scripted outcomes."""

    async def read_range(self, table, start="", end="", *, timeout_seconds):
        return RowRange((), 1, 1)


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(Committed(1), 410), (OutcomeUnknown("x"), 504), (NotDone("x"), 504)],
)
def test_cancel_of_an_unknown_job_is_answered_once_nothing_can_create_it(
    outcome, status
):
    """Guards against a 410 for a job that a late submission creates afterwards."""

    async def run():
        async with open_frontend(StoreWithoutRows(outcome)) as call:
            return (await call("DELETE", f"/q/{JOB}"))[0]

    assert asyncio.run(run()) == status
