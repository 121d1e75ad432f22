"""The HTTP interface for callers: submit, show and cancel jobs."""

import asyncio
import contextlib
import json
import logging
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError, StoreError
from savorydale.jobs.acceptance import (
    JobAccepted,
    JobDesk,
    JobNotAccepted,
    JobOutcomeUnknown,
)
from savorydale.jobs.model import (
    Configuration,
    JobSpec,
    QueueSettings,
    StepSpec,
    find_spec_faults,
)

DEADLINE_HEADER = "Savorydale-Deadline-Ms"
DEFAULT_DEADLINE_SECONDS = 3.0
ANSWER_MARGIN_SECONDS = 0.1  # the answer must still reach the caller
MIN_TIMEOUT_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1
MAX_PAYLOAD_BYTES = 4_000
MAX_BODY_BYTES = 16 * 1024 * 1024
JOB_ID = re.compile(r"[0-9a-f]{16}\Z")
MILLISECONDS = 1000

log = logging.getLogger(__name__)

JsonObject = dict[str, Any]


class CallerRequest(NamedTuple):
    """What a caller's request is about."""

    queue: QueueSettings
    job: str
    timeout_seconds: float


class Frontend:
    """Answers callers; every answer is final or says that it is not known."""

    def __init__(
        self,
        desk: JobDesk,
        counters: Counters,
        read_configuration: Callable[[], Configuration | None],
        is_stopping: Callable[[], bool],
        is_store_reachable: Callable[[], bool],
    ):
        self._is_stopping = is_stopping
        self._is_store_reachable = is_store_reachable
        self._desk = desk
        self._counters = counters
        self._read_configuration = read_configuration
        self._last_answer_at: float | None = None
        self._scopes: set[asyncio.Timeout] = set()

    def set_response_deadline(self, last_answer_at: float) -> None:
        """Answer all requests by a time on the loop's clock, after which no one serves.

        What waits for the store until then is told so, rather than cut off.
        """
        self._last_answer_at = last_answer_at
        for scope in self._scopes:
            scope.reschedule(last_answer_at)

    @contextlib.asynccontextmanager
    async def _answered_in_time(self) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` in the block when a stopping process must answer."""
        async with asyncio.timeout_at(self._last_answer_at) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def make_application(self) -> web.Application:
        """Return the web application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self._handle)
        return application

    async def _handle(self, request: web.Request) -> web.Response:
        configuration = self._read_configuration()
        if configuration is None:
            return self._refuse("no_configuration")
        host = request.host.rsplit(":", 1)[0].lower()
        queue = configuration.find_queue(host, request.path)
        if queue is None:
            return self._answer(404, "no_queue", {"error": "no such queue"})
        job = request.path.removeprefix(queue.path_prefix).lower()
        call = CallerRequest(queue, job, _timeout_seconds(request))
        if not self._is_store_reachable() and not self._desk.has_final(job):
            # Nothing is sent, so that the refusal is true and comes at once.
            return self._refuse("store_unreachable")
        try:
            async with self._answered_in_time() as scope:
                return await self._dispatch(request, call, configuration)
        except TimeoutError:
            if not scope.expired():
                raise
            log.info("request ends with the process", extra={"job": job})
        if request.method == "GET":
            return self._refuse("stopping")
        return self._answer(504, "outcome_unknown", {"error": "the process stops"})

    async def _dispatch(
        self, request: web.Request, call: CallerRequest, configuration: Configuration
    ) -> web.Response:
        match request.method, bool(call.job):
            case "POST", True:
                return await self._submit(request, call, configuration)
            case "GET", True:
                return await self._guard(self._show, call)
            case "DELETE", True:
                return await self._guard(self._cancel, call)
            case "GET", False:
                return await self._guard(self._count, call)
        return self._answer(405, "method", {"error": "method not allowed"})

    async def _guard(
        self,
        handler: Callable[[CallerRequest], Awaitable[web.Response]],
        call: CallerRequest,
    ) -> web.Response:
        try:
            return await handler(call)
        except (StoreError, RowFormatError) as error:
            log.info("request refused", extra={"job": call.job, "reason": str(error)})
            return self._refuse("store_unreachable")

    async def _submit(
        self, request: web.Request, call: CallerRequest, configuration: Configuration
    ) -> web.Response:
        if not JOB_ID.match(call.job):
            return self._answer(400, "job_id", {"error": "the job's ID is not valid"})
        raw = await request.read()
        if len(raw) > configuration.max_body_bytes:
            return self._answer(413, "body_size", {"error": "the body is too large"})
        try:
            spec = decode_job_request(raw)
            faults = find_spec_faults(spec)
        except RowFormatError as error:
            faults = [str(error)]
        if faults:
            log.info("job refused", extra={"job": call.job, "faults": faults})
            return self._answer(400, "job_faulty", {"error": "; ".join(faults)})
        outcome = await self._desk.submit(
            call.job, spec, call.queue, call.timeout_seconds
        )
        log.info(
            "job submitted",
            extra={
                "job": call.job,
                "queue": call.queue.name,
                "version": configuration.version,
                "outcome": repr(outcome),
            },
        )
        match outcome:
            case JobAccepted(is_repeat):
                return self._answer(200, "repeat" if is_repeat else "accepted", {})
            case JobNotAccepted():
                return self._refuse("store_refuses")
            case JobOutcomeUnknown(reason):
                body = {"error": f"the outcome is not known: {reason}"}
                return self._answer(504, "outcome_unknown", body)

    async def _show(self, call: CallerRequest) -> web.Response:
        state = await self._desk.find(call.job, call.timeout_seconds)
        if state is None:
            return self._answer(410, "no_job", {"error": "no such job"})
        return self._answer(200, "shown", {"state": state.status.value})

    async def _cancel(self, call: CallerRequest) -> web.Response:
        outcome = await self._desk.cancel(call.job, call.timeout_seconds)
        log.info(
            "job cancel requested", extra={"job": call.job, "outcome": repr(outcome)}
        )
        if not outcome.exists:
            return self._answer(410, "no_job", {"error": "no such job"})
        if outcome.is_stored:
            return self._answer(200, "cancelled", {})
        return self._answer(504, "outcome_unknown", {"error": "not known"})

    async def _count(self, call: CallerRequest) -> web.Response:
        pending = await self._desk.count_pending(call.queue.name, call.timeout_seconds)
        return self._answer(200, "counted", {"pending": pending})

    def _refuse(self, reason: str) -> web.Response:
        """Answer that nothing was done, and when to come back."""
        headers = {"Retry-After": str(RETRY_AFTER_SECONDS)}
        return self._answer(503, f"refused.{reason}", {"error": reason}, headers)

    def _answer(
        self,
        status: int,
        reason: str,
        body: JsonObject,
        headers: dict[str, str] | None = None,
    ) -> web.Response:
        self._counters.increment(f"answer.{status}.{reason}")
        response = web.json_response(body, status=status, headers=headers)
        if self._is_stopping():
            response.force_close()  # the caller's next request goes elsewhere
        return response


def decode_job_request(raw: bytes) -> JobSpec:
    """Return the job in a submission's body.

    Raises
    ------
    RowFormatError
        If the body has another form.
    """
    try:
        data = json.loads(raw)
        payload = data.get("spec", "")
        if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
            raise RowFormatError("the spec is not a text of the allowed size")
        return JobSpec(
            payload,
            tuple(_decode_step(step) for step in data["steps"]),
            int(data.get("startAtMs") or 0),
            int(data.get("intervalMs") or 0),
            int(data.get("repeatCount") or 0),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise RowFormatError(f"the job cannot be read: {error!r}") from error


def _decode_step(step: JsonObject) -> StepSpec:
    # A limit of 0 replicas is sent as no field; it only matters for services.
    is_service = bool(step.get("longRunning"))
    return StepSpec(
        task_count=int(step.get("count") or 0),
        cpu_millicores=int(step.get("cpu") or 0),
        memory_mb=int(step.get("memMb") or 0),
        accelerators=int(step.get("gpu") or 0),
        estimate_ms=int(step.get("estRuntimeMs") or 0),
        after=tuple(int(number) for number in step.get("after") or ()),
        checkpointing=bool(step.get("checkpointing")),
        gang=bool(step.get("gang")),
        same_rack=bool(step.get("sameRack")),
        required_label=str(step.get("requiredLabel") or ""),
        data_rack=str(step.get("affinity") or ""),
        max_per_worker=int(step.get("antiAffinity") or 0),
        speculative=bool(step.get("speculative")),
        long_running=is_service,
        image=str(step.get("image") or ""),
        latency_target_ms=int(step.get("targetMs") or 0),
        backfill=bool(step.get("fills")),
        max_unavailable=int(step.get("mayMiss") or 0) if is_service else None,
    )


def _timeout_seconds(request: web.Request) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    seconds = DEFAULT_DEADLINE_SECONDS
    if text.isascii() and text.isdigit():
        seconds = int(text) / MILLISECONDS
    return max(MIN_TIMEOUT_SECONDS, seconds - ANSWER_MARGIN_SECONDS)
