"""Decoders raise only `RowFormatError`, whatever another program has written.

Each example takes a valid message and puts an arbitrary value at one or more places.
"""

import asyncio
import base64
import copy
import functools
import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError, StoreError
from savorydale.jobs.model import JobSpec, QueueSettings, StepSpec, TaskId
from savorydale.jobs.rows import (
    JobRow,
    JobStatus,
    StateRow,
    SummaryRow,
    TaskRow,
    decode_job,
    decode_state,
    decode_step,
    decode_summary,
    decode_tail,
    encode_job,
    encode_state,
    encode_step,
    encode_summary,
)
from savorydale.jobs.validation import JobLimits, find_job_errors
from savorydale.orders.interface import RenewOrder, StartOrder, WorkerTarget
from savorydale.ownership.lease import decode_lease
from savorydale.placement.advice import StepName
from savorydale.placement.crashes import CrashCounts
from savorydale.platform.advice import PlatformPolicyService
from savorydale.platform.discovery import decode_configuration
from savorydale.platform.http import HttpReply
from savorydale.platform.registrations import decode_worker
from savorydale.platform.store import PlatformStore
from savorydale.platform.submissions import decode_job_request
from savorydale.platform.workers import PlatformWorkers
from savorydale.storage.rows import RowCondition, RowKey, RowTransaction

EXAMPLES = 300
QUEUE = QueueSettings("q", "desk.example", "/q/", "desk")
STEP = {"count": 2, "cpu": 500, "memMb": 100, "estRuntimeMs": 900, "after": []}
SUBMISSION = {
    "spec": "x",
    "steps": [STEP, {**STEP, "after": [0], "gang": True, "image": "a", "gpu": 1}],
    "startAtMs": 5,
    "intervalMs": 6,
    "repeatCount": 2,
}
REGISTRATION = {
    "address": "10.0.0.1:80",
    "service": "desk",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 1, "memMb": 2, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1,
    "remainingMs": 7,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "pathPrefix": "/q/",
            "service": "desk",
            "priority": 0,
            "attempts": 2,
            "stretch": 1.5,
            "sloMs": 250,
        }
    ],
    "limits": {"maxBodyBytes": 1000},
}
LIST_OF_RUNS = {
    "clockMs": 5,
    "born": 1,
    "running": [["0123456789abcdef.0.0.1", 1, "c", 40, 3]],
    "ended": [[1, "0123456789abcdef.0.0.0", 1, "done", ""]],
}
STORED_ROW = {"table": "t", "part": "", "key": "k", "value": "eA==", "ver": 2}
ROWS = {"rows": [STORED_ROW], "ver": 4, "nowMs": 9, "hasMore": False}
POLICY_ANSWER = {"allowed": [["w1", "ticket"]], "validMs": 900}
JOB_ROW = json.loads(
    encode_job(JobRow(JobSpec("x", (StepSpec(2), StepSpec(1, after=(0,)))), QUEUE, 0))
)
STATE_ROW = json.loads(encode_state(StateRow("q", JobStatus.RUNNING, 3)))
TASK_ROW = TaskRow(False, 1, 0, "w", "c")
STEP_ROW = json.loads(
    encode_step([TASK_ROW, TASK_ROW, TASK_ROW._replace(crashes=CrashCounts(2, 1, 1))])
)
SUMMARY_ROW = json.loads(encode_summary(SummaryRow(1, 2)))
TAIL_ROW = [[["a", "b", 1.0]], {"a": 2.0}]
LEASE_ROW = [["e1", "i1", 1.0], 2, 3]

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([-1, 10**9, 10**400, float("inf"), float("nan"), "\ud800", "x.y"]),
    st.floats(),
    st.text(max_size=5),
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=5,
)


@st.composite
def mutated(draw, message):
    """Return ``message`` with up to three values replaced or removed."""
    message = copy.deepcopy(message)
    for _ in range(draw(st.integers(1, 3))):
        message = _mutate(draw, message)
    return message


def _mutate(draw, node):
    keys = list(node) if isinstance(node, dict) else None
    if isinstance(node, list):
        keys = range(len(node))
    if not keys or draw(st.integers(0, 4)) == 0:
        return draw(values)
    key = draw(st.sampled_from(keys))
    if isinstance(node, dict) and draw(st.integers(0, 5)) == 0:
        del node[key]
        return node
    node[key] = _mutate(draw, node[key])
    return node


def fuzzed(message):
    """Run the test with many mutations of ``message``."""

    def decorate(test):
        configured = settings(
            max_examples=EXAMPLES,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        )
        return configured(given(mutated(message))(test))

    return decorate


def check_decoder(decode, message):
    try:
        decode(json.dumps(message).encode())
    except RowFormatError:
        return


@fuzzed(SUBMISSION)
def test_submissions_are_decoded_or_refused(message):
    try:
        spec = decode_job_request(json.dumps(message).encode())
    except RowFormatError:
        return
    row = JobRow(spec, QUEUE, 0)
    if find_job_errors(row, JobLimits()):
        return
    assert decode_job(encode_job(row)) == row
    assert spec.critical_path_seconds_by_step()


@fuzzed(REGISTRATION)
def test_registrations_are_decoded_or_skipped(message):
    check_decoder(lambda raw: decode_worker("w", raw), message)


@fuzzed(CONFIGURATION)
def test_configurations_are_decoded_or_skipped(message):
    check_decoder(decode_configuration, message)


@fuzzed(JOB_ROW)
def test_job_rows_are_decoded_or_set_aside(message):
    def decode(raw):
        return find_job_errors(decode_job(raw), JobLimits())

    check_decoder(decode, message)


@fuzzed(STATE_ROW)
def test_state_rows_are_decoded_or_skipped(message):
    check_decoder(decode_state, message)


@fuzzed(STEP_ROW)
def test_step_rows_are_decoded_or_skipped(message):
    check_decoder(decode_step, message)


@fuzzed(SUMMARY_ROW)
def test_summary_rows_are_decoded_or_skipped(message):
    check_decoder(decode_summary, message)


@fuzzed(TAIL_ROW)
def test_tail_rows_are_decoded_or_skipped(message):
    check_decoder(functools.partial(decode_tail, "feed"), message)


@fuzzed(LEASE_ROW)
def test_lease_rows_are_decoded_or_refused(message):
    check_decoder(decode_lease, message)


class OneReply:
    """HTTP client that always returns the same reply."""

    def __init__(self, status, body):
        self.reply = HttpReply(status, body if isinstance(body, dict) else None)

    async def send(self, *arguments, **options):
        return self.reply


@fuzzed(LIST_OF_RUNS)
def test_replies_of_workers_are_outcomes(message):
    target = WorkerTarget("w", "10.0.0.1:80", 1)
    order = StartOrder(TaskId("0123456789abcdef", 0, 0, 0), 1, "", 5, "")
    for status in (200, 409):
        workers = PlatformWorkers(OneReply(status, message), Counters())
        asyncio.run(workers.renew(target, RenewOrder(0, 1, 0)))
        asyncio.run(workers.start(target, order))


@fuzzed({"clockMs": 5, "reason": "fence"})
def test_refusals_of_workers_are_outcomes(message):
    test_replies_of_workers_are_outcomes.hypothesis.inner_test(message)


@fuzzed(ROWS)
def test_replies_of_the_store_are_outcomes(message):
    transaction = RowTransaction((RowCondition(RowKey("t", "k"), 3),), ())
    for status in (200, 412):
        store = PlatformStore(OneReply(status, message), "10.0.0.9:80")
        asyncio.run(store.transact(transaction, 1.0))
    if isinstance(message, dict):
        message.pop("hasMore", None)
    try:
        store = PlatformStore(OneReply(200, message), "10.0.0.9:80")
        asyncio.run(store.read_range("t", timeout_seconds=1.0))
    except StoreError:
        return


@fuzzed(POLICY_ANSWER)
def test_answers_of_the_policy_service_are_used_or_ignored(message):
    service = PlatformPolicyService(OneReply(200, message), "10.0.0.8:80")
    asyncio.run(service.query(StepName("j", 0, 0), ["w1"]))


@pytest.mark.parametrize(
    "decode", [decode_job_request, decode_configuration, decode_job, decode_lease]
)
@pytest.mark.parametrize(
    "raw", [b"[" * 200_000, b'{"a":' * 200_000, b"\xff\xfe", b"1" * 5000, b""]
)
def test_deeply_nested_or_unreadable_bytes_are_refused(decode, raw):
    with pytest.raises(RowFormatError):
        decode(raw)


@given(st.binary(max_size=30))
@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
def test_rows_with_invalid_base64_are_store_errors(value):
    text = base64.b64encode(value).decode()[1:]
    row = {**STORED_ROW, "value": text}
    store = PlatformStore(OneReply(200, {**ROWS, "rows": [row]}), "10.0.0.9:80")
    try:
        asyncio.run(store.read_range("t", timeout_seconds=1.0))
    except StoreError:
        return
