"""Sends commands to workers over HTTP."""

import asyncio
import concurrent.futures
import contextlib
import json
from collections.abc import Iterator

import urllib3

from savorydale.exceptions import (
    RowFormatError,
    WorkerOutcomeUnknownError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from savorydale.utils.json_values import (
    JsonObject,
    load_json_object,
    to_float_within,
    to_list,
    to_object,
    to_text,
    to_whole_number,
)
from savorydale.workers.interface import (
    StartTask,
    StopTask,
    TaskReport,
    ThrottleTask,
    WorkerHeartbeat,
    WorkerReport,
)

MAX_THREADS = 32
MAX_POOLED_WORKERS = 1024
CONNECTIONS_PER_WORKER = 1
TASK_STATES = ("running", "done", "failed", "stopped", "lapsed")
MAX_CLOCK_SECONDS = 100_000_000_000
MAX_ATTEMPT = 1_000_000_000_000
MAX_PROGRESS = 1
MAX_PACE = 1
MAX_PROCESSORS = 10_000


class HttpWorkerClient:
    """A `WorkerClient` that sends JSON over one connection to each worker.

    Parameters
    ----------
    timeout_seconds : float
        Timeout of one request.
    executor : concurrent.futures.Executor
        Runs the blocking calls.
    """

    def __init__(self, timeout_seconds: float, executor: concurrent.futures.Executor):
        self._executor = executor
        self._pool = urllib3.PoolManager(
            num_pools=MAX_POOLED_WORKERS,
            maxsize=CONNECTIONS_PER_WORKER,
            block=True,
            retries=False,
            timeout=urllib3.Timeout(total=timeout_seconds),
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    async def heartbeat(self, address: str, heartbeat: WorkerHeartbeat) -> WorkerReport:
        """Renew leases and return the state of the worker's tasks."""
        response = await self._call(
            "POST", address, "/tasks/heartbeat", heartbeat._asdict()
        )
        with _malformed_as_unknown(address):
            reports = {
                task: _decode_report(item)
                for task, item in to_object(response["tasks"]).items()
            }
            clock = to_float_within(response["clock"], 0, MAX_CLOCK_SECONDS)
            return WorkerReport(clock, reports)

    async def start(self, address: str, command: StartTask) -> None:
        """Start a task; repeating the command for the same attempt is idempotent."""
        body = command._asdict() | {"demand": command.demand._asdict()}
        await self._call("POST", address, "/tasks/start", body)

    async def stop(self, address: str, command: StopTask) -> TaskReport:
        """Stop a task and return its last state."""
        response = await self._call("POST", address, "/tasks/stop", command._asdict())
        with _malformed_as_unknown(address):
            return _decode_report(response)

    async def throttle(self, address: str, command: ThrottleTask) -> TaskReport:
        """Change the speed of a task and return its state."""
        response = await self._call(
            "POST", address, "/tasks/throttle", command._asdict()
        )
        with _malformed_as_unknown(address):
            return _decode_report(response)

    async def running_requests(self, address: str) -> dict[str, list[str]]:
        """Return the IDs of running requests by the incarnation that sent them."""
        response = await self._call("GET", address, "/requests/running", None)
        with _malformed_as_unknown(address):
            return {
                entry: [to_text(request) for request in to_list(requests)]
                for entry, requests in to_object(response["running"]).items()
            }

    async def _call(
        self, method: str, address: str, path: str, body: JsonObject | None
    ) -> JsonObject:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor, self._call_blocking, method, address, path, body
        )

    def _call_blocking(
        self, method: str, address: str, path: str, body: JsonObject | None
    ) -> JsonObject:
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._pool.request(method, f"http://{address}{path}", body=data)
            content = load_json_object(response.data)
        except urllib3.exceptions.NewConnectionError as error:
            raise WorkerUnreachableError(f"{address}: {error}") from error
        except (urllib3.exceptions.HTTPError, ValueError, RowFormatError) as error:
            raise WorkerOutcomeUnknownError(f"{address}: {error}") from error
        if response.status >= 300:
            raise WorkerRefusedError(f"{address}: {content.get('error')}")
        return content


@contextlib.contextmanager
def _malformed_as_unknown(address: str) -> Iterator[None]:
    """Raise `WorkerOutcomeUnknownError` if a reply cannot be read in the block."""
    try:
        yield
    except KeyError as error:
        reason = f"missing field {error}"
        raise WorkerOutcomeUnknownError(f"{address}: {reason}") from error
    except RowFormatError as error:
        raise WorkerOutcomeUnknownError(f"{address}: {error}") from error


def _decode_report(value: object) -> TaskReport:
    """Decode the state of a task; fields that are not known are ignored."""
    data = to_object(value)
    if data["state"] not in TASK_STATES:
        raise RowFormatError("unknown state")
    checkpoint = data["checkpoint"]
    used = data.get("processors_used")
    return TaskReport(
        attempt=to_whole_number(data["attempt"], 0, MAX_ATTEMPT),
        state=data["state"],
        progress=to_float_within(data["progress"], 0, MAX_PROGRESS),
        checkpoint=None if checkpoint is None else to_text(checkpoint),
        reason=to_text(data.get("reason", "")),
        pace=to_float_within(data.get("pace", 1.0), 0, MAX_PACE),
        processors_used=(
            None if used is None else to_float_within(used, 0, MAX_PROCESSORS)
        ),
    )


@contextlib.contextmanager
def open_worker_client(timeout_seconds: float) -> Iterator[HttpWorkerClient]:
    """Open a worker client and close its connections at the end."""
    with concurrent.futures.ThreadPoolExecutor(
        MAX_THREADS, thread_name_prefix="workers"
    ) as executor:
        client = HttpWorkerClient(timeout_seconds, executor)
        try:
            yield client
        finally:
            client.close()
