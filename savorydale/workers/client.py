"""Sends commands to workers over HTTP."""

import asyncio
import concurrent.futures
import contextlib
import json
from collections.abc import Iterator
from typing import Any

import urllib3

from savorydale.exceptions import (
    WorkerOutcomeUnknownError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from savorydale.workers.interface import (
    StartTask,
    StopTask,
    TaskReport,
    ThrottleTask,
    WorkerHeartbeat,
    WorkerReport,
)

JsonObject = dict[str, Any]

MAX_THREADS = 32
MAX_POOLED_WORKERS = 1024
CONNECTIONS_PER_WORKER = 1


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
        reports = {task: TaskReport(**item) for task, item in response["tasks"].items()}
        return WorkerReport(response["clock"], reports)

    async def start(self, address: str, command: StartTask) -> None:
        """Start a task; repeating the command for the same attempt is idempotent."""
        body = command._asdict() | {"demand": command.demand._asdict()}
        await self._call("POST", address, "/tasks/start", body)

    async def stop(self, address: str, command: StopTask) -> TaskReport:
        """Stop a task and return its last state."""
        response = await self._call("POST", address, "/tasks/stop", command._asdict())
        return TaskReport(**response)

    async def throttle(self, address: str, command: ThrottleTask) -> TaskReport:
        """Change the speed of a task and return its state."""
        response = await self._call(
            "POST", address, "/tasks/throttle", command._asdict()
        )
        return TaskReport(**response)

    async def running_requests(self, address: str) -> dict[str, list[str]]:
        """Return the IDs of running requests by the incarnation that sent them."""
        response = await self._call("GET", address, "/requests/running", None)
        return response["running"]

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
            content = json.loads(response.data)
        except urllib3.exceptions.NewConnectionError as error:
            raise WorkerUnreachableError(f"{address}: {error}") from error
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise WorkerOutcomeUnknownError(f"{address}: {error}") from error
        if response.status >= 300:
            raise WorkerRefusedError(f"{address}: {content.get('error')}")
        return content


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
