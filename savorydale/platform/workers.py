"""Send orders to the platform's workers over HTTP."""

from typing import Any

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError
from savorydale.jobs.model import TaskId
from savorydale.orders.interface import (
    Accepted,
    ActiveRun,
    EndedRun,
    EndReason,
    OrderOutcome,
    RefusalReason,
    Refused,
    Renewed,
    RenewOrder,
    RenewOutcome,
    StartOrder,
    Unanswered,
    WorkerTarget,
)
from savorydale.platform.http import (
    ConnectionRefused,
    HttpClient,
    HttpReply,
    NoReplyError,
    NotSentError,
)
from savorydale.platform.registrations import MAX_UNIX_MS
from savorydale.utils.json_values import (
    JsonObject,
    to_float_within,
    to_list,
    to_text,
    to_whole_number,
)

ORDER_TIMEOUT_SECONDS = 1.0
MAX_REPLY_BYTES = 4 * 1024 * 1024
MAX_LISTED_RUNS = 20_000
MAX_LISTED_ENDS = 500  # a worker that has more to report leaves out the latest
MAX_CLOCK_MS = 100_000_000_000_000
MAX_RUN_NUMBER = 1_000_000_000_000
MAX_PROGRESS_PERCENT = 100
MAX_USAGE = 1_000_000_000  # milliseconds or millicores
INCARNATION_HEADER = "Savorydale-Target-Instance"
MILLISECONDS_PER_SECOND = 1000

END_REASON_BY_NAME = {
    "done": EndReason.DONE,
    "failed": EndReason.FAILED,
    "stopped": EndReason.STOPPED,
    "lapsed": EndReason.LEASE_LAPSED,
    "broken": EndReason.GANG_BROKEN,
    "alone": EndReason.GANG_INCOMPLETE,
}
REFUSAL_BY_NAME = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.RUN_NOT_NEWER,
    "late": RefusalReason.LEASE_ALREADY_OVER,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.TICKET_INVALID,
}
REFUSAL_BY_STATUS = {
    400: RefusalReason.NOT_UNDERSTOOD,
    404: RefusalReason.NOT_UNDERSTOOD,
    421: RefusalReason.OTHER_INCARNATION,
    429: RefusalReason.UNHEALTHY,
    503: RefusalReason.UNHEALTHY,
}


class PlatformWorkers:
    """Sends orders to workers; see `WorkerOrders`."""

    def __init__(self, http: HttpClient, counters: Counters):
        self._http = http
        self._counters = counters

    async def renew(self, target: WorkerTarget, order: RenewOrder) -> RenewOutcome:
        """Renew the lease on a worker and list its runs."""
        body: JsonObject = {
            "ackCursor": order.acknowledged_number,
            "waitMs": order.wait_ms,
        }
        if order.lease_end_ms is not None:
            body["deadlineMs"] = order.lease_end_ms
        wait_seconds = order.wait_ms / MILLISECONDS_PER_SECOND
        timeout = order.response_timeout_seconds + wait_seconds
        outcome = await self._send_request(target, "hold", body, timeout)
        if not isinstance(outcome, HttpReply):
            return outcome
        try:
            return _parse_renewed(outcome.body or {})
        except (KeyError, ValueError, RowFormatError) as error:
            self._counters.increment("worker.unreadable")
            return Unanswered(f"malformed list of runs: {error!r}")

    async def start(self, target: WorkerTarget, order: StartOrder) -> OrderOutcome:
        """Start a run."""
        body: JsonObject = {
            "task": str(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.lease_end_ms,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._send_order(target, "run-start", body)

    async def stop(self, target: WorkerTarget, task: TaskId, run: int) -> OrderOutcome:
        """Stop a run."""
        return await self._send_order(
            target, "run-stop", {"task": str(task), "run": run}
        )

    async def throttle(
        self, target: WorkerTarget, task: TaskId, run: int, percent: int
    ) -> OrderOutcome:
        """Limit a run to a percentage of its full speed."""
        body = {"task": str(task), "run": run, "percent": percent}
        return await self._send_order(target, "pace", body)

    async def _send_order(
        self, target: WorkerTarget, endpoint: str, body: JsonObject
    ) -> OrderOutcome:
        outcome = await self._send_request(
            target, endpoint, body, ORDER_TIMEOUT_SECONDS
        )
        return Accepted() if isinstance(outcome, HttpReply) else outcome

    async def _send_request(
        self,
        target: WorkerTarget,
        endpoint: str,
        body: JsonObject,
        timeout_seconds: float,
    ) -> HttpReply | Refused | Unanswered:
        """Return the reply if its status is 200, else the outcome that it implies."""
        if not target.address:
            return Refused(RefusalReason.UNREACHABLE, "unknown address")
        try:
            reply = await self._http.send(
                "POST",
                f"http://{target.address}/-/{endpoint}",
                timeout_seconds,
                {**body, "fenceToken": target.fencing_token},
                {INCARNATION_HEADER: target.worker},
                max_reply_bytes=MAX_REPLY_BYTES,
            )
        except ConnectionRefused as error:
            return Refused(RefusalReason.NOT_LISTENING, str(error))
        except NotSentError as error:
            return Refused(RefusalReason.UNREACHABLE, str(error))
        except NoReplyError as error:
            return Unanswered(str(error))
        if reply.status == 200:
            return reply
        if reply.status == 409:
            name = str((reply.body or {}).get("reason"))
            return Refused(REFUSAL_BY_NAME.get(name, RefusalReason.NOT_UNDERSTOOD))
        reason = REFUSAL_BY_STATUS.get(reply.status)
        if reason is not None:
            return Refused(reason, f"status {reply.status}")
        return Unanswered(f"status {reply.status}")


def _parse_renewed(body: JsonObject) -> Renewed:
    ended = _to_runs(body["ended"])
    return Renewed(
        to_whole_number(body["clockMs"], 0, MAX_CLOCK_MS),
        to_whole_number(body.get("born") or 0, 0, MAX_UNIX_MS),
        tuple(_parse_active(to_list(fields)) for fields in _to_runs(body["running"])),
        tuple(_parse_ended(to_list(fields)) for fields in ended),
        len(ended) < MAX_LISTED_ENDS,
    )


def _to_runs(value: object) -> list[Any]:
    runs = to_list(value)
    if len(runs) > MAX_LISTED_RUNS:
        raise RowFormatError(f"more than {MAX_LISTED_RUNS} runs")
    return runs


def _parse_active(fields: list[Any]) -> ActiveRun:
    # The fourth field is progress, not speed. The fifth is missing from workers on
    # which nothing is shared.
    task, run, checkpoint, progress, *usage = fields
    return ActiveRun(
        TaskId.parse(to_text(task)),
        to_whole_number(run, 0, MAX_RUN_NUMBER),
        to_text(checkpoint or ""),
        to_float_within(progress or 0, 0, MAX_PROGRESS_PERCENT),
        to_float_within(usage[0] or 0, 0, MAX_USAGE) if usage else 0.0,
    )


def _parse_ended(fields: list[Any]) -> EndedRun:
    number, task, run, reason_name, checkpoint = fields
    return EndedRun(
        to_whole_number(number, 0, MAX_RUN_NUMBER),
        TaskId.parse(to_text(task)),
        to_whole_number(run, 0, MAX_RUN_NUMBER),
        END_REASON_BY_NAME[to_text(reason_name)],
        to_text(checkpoint or ""),
    )
