"""Test how the adapter translates between the platform's wire format and types."""

import asyncio
import base64
import json

import pytest

from savorydale.counters import Counters
from savorydale.exceptions import (
    HistoryLostError,
    RowFormatError,
    StoreUnreachableError,
)
from savorydale.jobs.model import TaskId
from savorydale.orders.interface import (
    Accepted,
    EndReason,
    RefusalReason,
    Refused,
    Renewed,
    RenewOrder,
    StartOrder,
    Unanswered,
    WorkerTarget,
)
from savorydale.placement.advice import PolicyAnswer, StepName
from savorydale.platform.advice import PlatformPolicyService
from savorydale.platform.discovery import (
    ConfigurationFollower,
    WorkerRegistry,
    decode_configuration,
)
from savorydale.platform.http import (
    ConnectionRefused,
    HttpReply,
    NoReplyError,
    NotSentError,
)
from savorydale.platform.registrations import decode_worker
from savorydale.platform.store import PlatformStore
from savorydale.platform.submissions import decode_job_request
from savorydale.platform.workers import PlatformWorkers
from savorydale.storage.rows import (
    Committed,
    Conflict,
    NotDone,
    OutcomeUnknown,
    RowCondition,
    RowKey,
    RowTransaction,
    RowWrite,
    StoredRow,
    StoreOverloaded,
)

NAME = RowKey("t", "k")
TRANSACTION = RowTransaction((RowCondition(NAME, 3),), (RowWrite(NAME, b"v"),))
TARGET = WorkerTarget("i-1", "10.0.0.1:80", 7)
TASK = TaskId("0123456789abcdef", 0, 1, 2)


class ScriptedHttp:
    """Returns scripted replies and records the requests."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.sent = []

    async def send(
        self, method, url, timeout, body=None, headers=None, params=None, **options
    ):
        self.sent.append((method, url, body, headers, params))
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def make_store(*replies):
    return PlatformStore(ScriptedHttp(*replies), "10.0.0.9:80")


def make_workers(*replies):
    http = ScriptedHttp(*replies)
    return PlatformWorkers(http, Counters()), http


def encoded_row(key, value=b"v", version=4):
    encoded = base64.b64encode(value).decode()
    return {"table": "t", "part": "", "key": key, "value": encoded, "ver": version}


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (HttpReply(200, {"ver": 9}), Committed(9)),
        (
            HttpReply(412, {"rows": [encoded_row("k")]}),
            Conflict({NAME: StoredRow(NAME, b"v", 4)}),
        ),
        (NotSentError("x"), NotDone("x")),
        (NoReplyError("x"), OutcomeUnknown("x")),
        (HttpReply(500, None), OutcomeUnknown("status 500")),
        (HttpReply(429, {}), StoreOverloaded("status 429: {}")),
        (HttpReply(503, {}), NotDone("status 503: {}")),
    ],
)
def test_outcomes_of_a_transaction(reply, outcome):
    result = asyncio.run(make_store(reply).transact(TRANSACTION, 1.0))
    assert result == outcome


@pytest.mark.parametrize("status", [429, 503, 400])
def test_refused_transactions_are_not_done(status):
    reply = HttpReply(status, {})
    result = asyncio.run(make_store(reply).transact(TRANSACTION, 1.0))
    assert isinstance(result, NotDone)


def test_long_ranges_are_read_page_by_page():
    first = HttpReply(200, {"rows": [encoded_row("a")], "hasMore": True, "ver": 5})
    last = HttpReply(200, {"rows": [encoded_row("b")], "hasMore": False, "ver": 6})
    page = asyncio.run(make_store(first, last).read_range("t", timeout_seconds=1.0))
    assert [row.name.key for row in page.rows] == ["a", "b"]


def test_changes_between_two_pages_of_a_range_are_followed():
    # A row that is inserted into the first page after it was read comes with a feed
    # that starts from the first page's version.
    first = HttpReply(200, {"rows": [encoded_row("b")], "hasMore": True, "ver": 5})
    last = HttpReply(200, {"rows": [encoded_row("c")], "hasMore": False, "ver": 6})
    page = asyncio.run(make_store(first, last).read_range("t", timeout_seconds=1.0))
    assert page.version == 5


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (HttpReply(410, {}), HistoryLostError),
        (HttpReply(503, {}), StoreUnreachableError),
        (HttpReply(200, {"no": 1}), StoreUnreachableError),
        (HttpReply(200, {"rows": {"no": 1}}), StoreUnreachableError),
        (NoReplyError("x"), StoreUnreachableError),
    ],
)
def test_failed_reads_raise(reply, error):
    with pytest.raises(error):
        asyncio.run(make_store(reply).read_changes("t", 1, 0.1))


def test_row_without_a_name_does_not_hide_the_others():
    reply = HttpReply(200, {"rows": [{"no": 1}, encoded_row("a"), 5], "ver": 5})
    page = asyncio.run(make_store(reply).read_changes("t", 1, 0.1))
    assert [row.name.key for row in page.rows] == ["a"]


def test_row_whose_value_cannot_be_decoded_is_read_as_empty():
    row = {**encoded_row("a"), "value": "A"}
    reply = HttpReply(200, {"rows": [row], "ver": 5})
    page = asyncio.run(make_store(reply).read_changes("t", 1, 0.1))
    assert page.rows == (StoredRow(RowKey("t", "a"), b"", 4),)


def test_renewal_decodes_active_and_ended_runs():
    body = {
        "clockMs": 100,
        "born": 7,
        "running": [[str(TASK), 2, "cp", 41, 9], [str(TASK), 3, None, 0]],
        "ended": [[5, str(TASK), 1, "lapsed", ""]],
    }
    workers, http = make_workers(HttpReply(200, body))
    renewed = asyncio.run(workers.renew(TARGET, RenewOrder(4, 900, 500)))
    assert isinstance(renewed, Renewed)
    assert renewed.active[0].progress_percent == 41
    assert renewed.active[0].usage == 9
    assert renewed.active[1].usage == 0
    assert renewed.ended[0].reason is EndReason.LEASE_LAPSED
    sent = http.sent[0][2]
    assert sent == {"ackCursor": 4, "waitMs": 500, "deadlineMs": 900, "fenceToken": 7}


@pytest.mark.parametrize(("count", "has_all"), [(0, True), (499, True), (500, False)])
def test_full_list_of_ends_may_leave_out_others(count, has_all):
    """Guards against a run that counts as lost since its end was cut off."""
    ended = [[number + 1, str(TASK), 1, "done", ""] for number in range(count)]
    body = {"clockMs": 100, "born": 7, "running": [], "ended": ended}
    workers, _ = make_workers(HttpReply(200, body))
    renewed = asyncio.run(workers.renew(TARGET, RenewOrder(0, None, 0)))
    assert len(renewed.ended) == count
    assert renewed.has_all_ended is has_all


def test_malformed_list_of_runs_counts_as_unanswered():
    workers, _ = make_workers(HttpReply(200, {"running": "?"}))
    outcome = asyncio.run(workers.renew(TARGET, RenewOrder(0, None, 0)))
    assert isinstance(outcome, Unanswered)


@pytest.mark.parametrize("name", ["running", "ended"])
def test_list_of_very_many_runs_counts_as_unanswered(name):
    body = {"clockMs": 100, "born": 7, "running": [], "ended": []}
    workers, _ = make_workers(HttpReply(200, {**body, name: [[]] * 1_000_000}))
    outcome = asyncio.run(workers.renew(TARGET, RenewOrder(0, None, 0)))
    assert outcome == Unanswered(
        "malformed list of runs: RowFormatError('more than 20000 runs')"
    )


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (HttpReply(200, {"clockMs": 5}), Accepted()),
        (HttpReply(409, {"reason": "fence"}), Refused(RefusalReason.FENCED)),
        (HttpReply(409, {"reason": "new"}), Refused(RefusalReason.NOT_UNDERSTOOD)),
        (HttpReply(503, {}), Refused(RefusalReason.UNHEALTHY, "status 503")),
        (HttpReply(421, {}), Refused(RefusalReason.OTHER_INCARNATION, "status 421")),
        (NotSentError("x"), Refused(RefusalReason.UNREACHABLE, "x")),
        (ConnectionRefused("x"), Refused(RefusalReason.NOT_LISTENING, "x")),
        (NoReplyError("x"), Unanswered("x")),
        (HttpReply(500, {}), Unanswered("status 500")),
    ],
)
def test_outcomes_of_a_start(reply, outcome):
    workers, _ = make_workers(reply)
    order = StartOrder(TASK, 1, "text", 900, "")
    assert asyncio.run(workers.start(TARGET, order)) == outcome


def encode_registration(**changes):
    row = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 100, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 5,
        **changes,
    }
    return json.dumps({k: v for k, v in row.items() if v is not None}).encode()


def test_registration_is_decoded():
    info = decode_worker("i-1", encode_registration(state="draining", remainingMs=900))
    assert info.is_draining
    assert info.remaining_ms == 900
    assert info.capacity.cpu_millicores == 8000


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        encode_registration(state="odd"),
        encode_registration(address=7),
        encode_registration(capacity=None),
        encode_registration(service=None),
    ],
)
def test_invalid_registrations_are_skipped_and_counted(value):
    with pytest.raises(RowFormatError):
        decode_worker("i-1", value)
    counters = Counters()
    changes = []
    registry = WorkerRegistry(changes.append, counters)
    valid = StoredRow(RowKey("servers", "i-2"), encode_registration(), 1)
    invalid = StoredRow(RowKey("servers", "i-1"), value, 1)

    async def replace_all():
        registry.replace_all((invalid, valid), 1)

    asyncio.run(replace_all())
    assert list(changes[-1]) == ["i-2"]
    assert counters.count("registration.unreadable") == 1


def configuration_row(version, name="q"):
    route = {"name": name, "host": "H.example", "pathPrefix": "/q/", "service": "desk"}
    value = json.dumps({"version": version, "routes": [route]}).encode()
    return StoredRow(RowKey("op", "config"), value, version)


def test_older_configuration_is_ignored():
    changes = []
    follower = ConfigurationFollower(changes.append, lambda store_ms: None)
    follower.replace_all((configuration_row(3),), 3)
    follower.apply((configuration_row(2),), 4)
    follower.apply((configuration_row(9),), 5)
    assert [configuration.version for configuration in changes] == [3, 9]


@pytest.mark.parametrize(
    "version",
    [10**400, -1, 1e308, True, "7"],
    ids=["of 400 digits", "below zero", "as large as a float can be", "true", "text"],
)
def test_odd_version_does_not_hide_later_configurations(version):
    changes = []
    follower = ConfigurationFollower(changes.append, lambda store_ms: None)
    follower.replace_all((configuration_row(version),), 1)
    follower.apply((configuration_row(9),), 5)
    assert [configuration.version for configuration in changes] == [9]


def test_host_of_a_queue_is_case_insensitive():
    configuration = decode_configuration(configuration_row(1).value or b"")
    assert configuration.find_queue("h.example", "/q/1") is not None


@pytest.mark.parametrize(
    "raw", [b"", b"[]", b'{"spec":1,"steps":[]}', b'{"spec":"x"}', b'{"steps":[1]}']
)
def test_malformed_jobs_are_refused(raw):
    with pytest.raises(RowFormatError):
        decode_job_request(raw)


def test_spec_over_the_limit_is_refused():
    raw = json.dumps({"spec": "x" * 4001, "steps": [{"count": 1}]}).encode()
    with pytest.raises(RowFormatError):
        decode_job_request(raw)


def test_step_is_decoded():
    step = {"count": 2, "cpu": 5, "fills": True, "image": "a", "antiAffinity": 1}
    spec = decode_job_request(json.dumps({"spec": "x", "steps": [step]}).encode())
    assert spec.steps[0].backfill
    assert spec.steps[0].max_per_worker == 1
    assert spec.steps[0].max_unavailable is None


@pytest.mark.parametrize(
    "odd_row", [5, [], ["i-2"], ["i-2", 10**400], [[[]], "t"], ["i-2", "t", "t"], None]
)
def test_odd_row_of_an_answer_does_not_hide_the_other_tickets(odd_row):
    body = {"allowed": [odd_row, ["i-1", "ticket"]], "validMs": 900}
    service = PlatformPolicyService(ScriptedHttp(HttpReply(200, body)), "10.0.0.8:80")
    answer = asyncio.run(service.query(StepName("j", 0, 0), ["i-1", "i-2"]))
    assert answer == PolicyAnswer({"i-1": "ticket"}, 0.9)


@pytest.mark.parametrize(
    "valid_ms",
    [10**400, -1, float("inf"), True, "9", None],
    ids=["of 400 digits", "below zero", "not finite", "true", "text", "null"],
)
def test_answer_with_an_odd_validity_is_none(valid_ms):
    body = {"allowed": [["i-1", "ticket"]], "validMs": valid_ms}
    service = PlatformPolicyService(ScriptedHttp(HttpReply(200, body)), "10.0.0.8:80")
    assert asyncio.run(service.query(StepName("j", 0, 0), ["i-1"])) is None
