"""HTTP interface for callers: submit, show, cancel and count jobs."""

import asyncio
import contextlib
import logging
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from aiohttp import web

from savorydale.counters import Counters
from savorydale.exceptions import RowFormatError, StoreError
from savorydale.jobs.model import (
    JOB_ID,
    Configuration,
    QueueSettings,
)
from savorydale.jobs.rows import JobRow
from savorydale.jobs.store import (
    JobAccepted,
    JobHeldBack,
    JobNotAccepted,
    JobOutcomeUnknown,
    JobStore,
)
from savorydale.jobs.validation import JobLimits, find_job_errors
from savorydale.platform.submissions import decode_job_request
from savorydale.utils.json_values import JsonObject

DEADLINE_HEADER = "Savorydale-Deadline-Ms"
DEADLINE_DIGITS = re.compile(r"[0-9]{1,9}\Z")
DEFAULT_DEADLINE_SECONDS = 3.0
RESPONSE_MARGIN_SECONDS = 0.1  # the response must reach the caller by its deadline
MIN_TIMEOUT_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_REPORTED_ERRORS = 10
MILLISECONDS_PER_SECOND = 1000

DEFAULT_LIMITS = JobLimits()

log = logging.getLogger(__name__)


class JobRequest(NamedTuple):
    """Queue, job and timeout of a request; ``job`` is empty if jobs are counted."""

    queue: QueueSettings
    job: str
    timeout_seconds: float


class Frontend:
    """Serves callers; a response is final or states that the outcome is unknown."""

    def __init__(
        self,
        job_store: JobStore,
        counters: Counters,
        read_configuration: Callable[[], Configuration | None],
        is_stopping: Callable[[], bool],
        is_store_reachable: Callable[[], bool],
        limits: JobLimits = DEFAULT_LIMITS,
    ):
        self._limits = limits
        self._is_stopping = is_stopping
        self._is_store_reachable = is_store_reachable
        self._job_store = job_store
        self._counters = counters
        self._read_configuration = read_configuration
        self._response_deadline: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def set_response_deadline(self, response_deadline: float) -> None:
        """Set the time on the loop's clock by which every request gets a response.

        The server stops serving after it. A request that still waits for the store
        then gets an error response instead of a closed connection.
        """
        self._response_deadline = response_deadline
        for timeout in self._timeouts:
            timeout.reschedule(response_deadline)

    @contextlib.asynccontextmanager
    async def _enforce_response_deadline(self) -> AsyncIterator[asyncio.Timeout]:
        """Raise `TimeoutError` in the block at the response deadline."""
        async with asyncio.timeout_at(self._response_deadline) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)

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
            return self._respond(404, "no_queue", {"error": "no such queue"})
        job = request.path.removeprefix(queue.path_prefix).lower()
        job_request = JobRequest(queue, job, _parse_timeout_seconds(request))
        is_answered_locally = self._job_store.has_terminal_state(job)
        if not self._is_store_reachable() and not is_answered_locally:
            # Nothing is sent to the store, so the request certainly had no effect and
            # the caller is refused without delay.
            return self._refuse("store_unreachable")
        try:
            async with self._enforce_response_deadline() as timeout:
                return await self._dispatch(request, job_request, configuration)
        except TimeoutError:
            if not timeout.expired():
                raise
            log.info("request ends with the process", extra={"job": job})
            reason = "stopping"
        except web.HTTPException:
            raise
        except Exception:
            log.exception("request failed", extra={"job": job})
            reason = "unexpected_error"
        if request.method == "GET":
            return self._refuse(reason)
        return self._respond(504, "outcome_unknown", {"error": reason})

    async def _dispatch(
        self,
        request: web.Request,
        job_request: JobRequest,
        configuration: Configuration,
    ) -> web.Response:
        match request.method, bool(job_request.job):
            case "POST", True:
                return await self._submit(request, job_request, configuration)
            case "GET" | "DELETE", True if not JOB_ID.match(job_request.job):
                return self._respond(410, "no_job", {"error": "no such job"})
            case "GET", True:
                return await self._handle_store_errors(self._show, job_request)
            case "DELETE", True:
                return await self._handle_store_errors(self._cancel, job_request)
            case "GET", False:
                return await self._handle_store_errors(self._count, job_request)
        return self._respond(405, "method", {"error": "method not allowed"})

    async def _handle_store_errors(
        self,
        handler: Callable[[JobRequest], Awaitable[web.Response]],
        job_request: JobRequest,
    ) -> web.Response:
        try:
            return await handler(job_request)
        except (StoreError, RowFormatError) as error:
            log.info(
                "request refused", extra={"job": job_request.job, "reason": str(error)}
            )
            return self._refuse("store_unreachable")

    async def _submit(
        self,
        request: web.Request,
        job_request: JobRequest,
        configuration: Configuration,
    ) -> web.Response:
        if not JOB_ID.match(job_request.job):
            return self._respond(400, "job_id", {"error": "the job's ID is not valid"})
        raw = await request.read()
        if len(raw) > configuration.max_body_bytes:
            return self._respond(413, "body_size", {"error": "the body is too large"})
        try:
            spec = decode_job_request(raw)
            row = JobRow(spec, job_request.queue, 0)
            errors = find_job_errors(row, self._limits)
        except RowFormatError as error:
            errors = [str(error)]
        if errors:
            errors = errors[:MAX_REPORTED_ERRORS]
            log.info("job refused", extra={"job": job_request.job, "faults": errors})
            return self._respond(400, "job_faulty", {"error": "; ".join(errors)})
        outcome = await self._job_store.submit(
            job_request.job, spec, job_request.queue, job_request.timeout_seconds
        )
        log.info(
            "job submitted",
            extra={
                "job": job_request.job,
                "queue": job_request.queue.name,
                "version": configuration.version,
                "outcome": repr(outcome),
            },
        )
        match outcome:
            case JobAccepted(is_repeat):
                return self._respond(200, "repeat" if is_repeat else "accepted", {})
            case JobHeldBack():
                return self._refuse("store_overloaded")
            case JobNotAccepted():
                return self._refuse("store_refuses")
            case JobOutcomeUnknown(reason):
                body = {"error": f"the outcome is not known: {reason}"}
                return self._respond(504, "outcome_unknown", body)

    async def _show(self, job_request: JobRequest) -> web.Response:
        state = await self._job_store.find(job_request.job, job_request.timeout_seconds)
        if state is None:
            return self._respond(410, "no_job", {"error": "no such job"})
        return self._respond(200, "shown", {"state": state.status.value})

    async def _cancel(self, job_request: JobRequest) -> web.Response:
        outcome = await self._job_store.cancel(
            job_request.job, job_request.timeout_seconds
        )
        log.info(
            "job cancel requested",
            extra={"job": job_request.job, "outcome": repr(outcome)},
        )
        if not outcome.is_stored:
            return self._respond(504, "outcome_unknown", {"error": "not known"})
        if not outcome.exists:
            return self._respond(410, "no_job", {"error": "no such job"})
        return self._respond(200, "cancelled", {})

    async def _count(self, job_request: JobRequest) -> web.Response:
        pending = await self._job_store.count_pending(
            job_request.queue.name, job_request.timeout_seconds
        )
        return self._respond(200, "counted", {"pending": pending})

    def _refuse(self, reason: str) -> web.Response:
        """Respond that the request had no effect, and when to retry."""
        headers = {"Retry-After": str(RETRY_AFTER_SECONDS)}
        return self._respond(503, f"refused.{reason}", {"error": reason}, headers)

    def _respond(
        self,
        status: int,
        reason: str,
        body: JsonObject,
        headers: dict[str, str] | None = None,
    ) -> web.Response:
        self._counters.increment(f"answer.{status}.{reason}")
        response = web.json_response(body, status=status, headers=headers)
        if self._is_stopping():
            response.force_close()  # the caller then connects to another entry
        return response


def _parse_timeout_seconds(request: web.Request) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    seconds = DEFAULT_DEADLINE_SECONDS
    if DEADLINE_DIGITS.match(text):
        seconds = int(text) / MILLISECONDS_PER_SECOND
    return max(MIN_TIMEOUT_SECONDS, seconds - RESPONSE_MARGIN_SECONDS)
