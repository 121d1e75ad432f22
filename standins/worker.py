"""Stand-in for a worker: ``python -m standins.worker --name W --port N``."""

import argparse
import collections
import json
import random
import threading
import time
from typing import Any

import urllib3

from standins.tasks import StaleCommandError, TaskTable
from standins.web import DropResponseError, Response, make_server

JsonObject = dict[str, Any]

CONNECTION_LIMIT = 64
NOT_RUN_HEADER = "Savorydale-Not-Run"


class WorkerStandin:
    """Serves requests in slots and runs leased tasks; faults can be injected."""

    def __init__(self, name: str, slots: int, platform_url: str | None):
        self.name = name
        self._slots = slots
        self._platform_url = platform_url
        self._lock = threading.Lock()
        self._entry_by_request: dict[str, str] = {}
        self._tasks = TaskTable(time.monotonic)
        self._executions: collections.Counter[str] = collections.Counter()
        self._most_in_use = 0
        self._overruns = 0
        self._random = random.Random(name)
        self._extra_seconds = 0.0
        self._slowness = 1.0
        self._lost_answer_ratio = 0.0
        self._fail_all = False
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)

    def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response:
        """Handle one request."""
        if path.startswith("/admin/"):
            return self._administer(path, body)
        if path == "/requests/running":
            return self._list_running()
        if path == "/usage":
            return Response(200, self._lagging_usage())
        if path.startswith("/requests/"):
            response = self._serve(path, headers, body)
        else:
            response = self._execute_command(path, json.loads(body))
        if self._random.random() < self._lost_answer_ratio:
            raise DropResponseError
        return response

    def _lagging_usage(self) -> JsonObject:
        """Return the slots in use now and the lagging processor usage of tasks."""
        with self._lock:
            return {
                "slots": len(self._entry_by_request),
                "processors_by_task": self._tasks.lagging_usage(),
            }

    def _list_running(self) -> Response:
        requests_by_entry: dict[str, list[str]] = {}
        with self._lock:
            for request, entry in self._entry_by_request.items():
                requests_by_entry.setdefault(entry, []).append(request)
        return Response(200, {"running": requests_by_entry})

    def _serve(self, path: str, headers: dict[str, str], body: bytes) -> Response:
        request = headers["savorydale-request"]
        service = path.split("/")[2]
        with self._lock:
            refusal = self._refusal_reason(service)
            if refusal is not None:
                return Response(503, {"error": refusal}, ((NOT_RUN_HEADER, refusal),))
            self._entry_by_request[request] = headers.get("savorydale-entry", "")
            self._executions[headers.get("x-count-as", request)] += 1
            self._most_in_use = max(self._most_in_use, len(self._entry_by_request))
        try:
            work_ms = float(headers.get("x-work-ms", "1"))
            time.sleep(work_ms / 1000 * self._slowness + self._extra_seconds)
        finally:
            with self._lock:
                del self._entry_by_request[request]
        document = {
            "worker": self.name,
            "request": request,
            "echo": body.decode(errors="replace"),
        }
        status = 500 if self._fail_all else 200
        return Response(status, document, (("Savorydale-Request", request),))

    def _refusal_reason(self, service: str) -> str | None:
        if not self._tasks.runs_service(service):
            return f"service {service} does not run here"
        if len(self._entry_by_request) >= self._slots:
            self._overruns += 1
            return "all slots are in use"
        return None

    def _execute_command(self, path: str, request: JsonObject) -> Response:
        with self._lock:
            try:
                match path:
                    case "/tasks/heartbeat":
                        return Response(200, self._tasks.heartbeat(request))
                    case "/tasks/start":
                        if self._fail_all:
                            return Response(409, {"error": "cannot start anything"})
                        self._tasks.start(request)
                        return Response(200, {})
                    case "/tasks/throttle":
                        return Response(200, self._tasks.throttle(request))
                    case "/tasks/stop":
                        report = self._tasks.stop(request)
                    case _:
                        return Response(404, {"error": "no such page"})
            except StaleCommandError as error:
                return Response(409, {"error": str(error)})
        self._save_checkpoint(report)
        return Response(200, report)

    def _save_checkpoint(self, report: JsonObject) -> None:
        if self._platform_url is None or report["checkpoint"] is None:
            return
        url = f"{self._platform_url}/objects/{report['checkpoint']}"
        self._http.request("PUT", url, body=json.dumps(report).encode())

    def _administer(self, path: str, body: bytes) -> Response:
        if path == "/admin/counts":
            with self._lock:
                counts = {
                    "executions": dict(self._executions),
                    "most_in_use": self._most_in_use,
                    "overruns": self._overruns,
                    "completions": dict(self._tasks.completions),
                    "running_tasks": self._tasks.running(),
                }
            return Response(200, counts)
        request = json.loads(body)
        self._extra_seconds = request.get("extra_seconds", self._extra_seconds)
        self._slowness = request.get("slowness", self._slowness)
        self._lost_answer_ratio = request.get(
            "lost_answer_ratio", self._lost_answer_ratio
        )
        self._fail_all = request.get("fail_all", self._fail_all)
        return Response(200, {})


def main() -> None:
    """Register with the platform stand-in and serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--rack", default="rack-1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--processors", type=float, default=32)
    parser.add_argument("--memory-gb", type=float, default=125)
    parser.add_argument("--accelerators", type=int, default=0)
    options = parser.parse_args()
    standin = WorkerStandin(options.name, options.slots, options.platform)
    server = make_server(
        options.host, options.port, standin.handle, threads=options.slots + 6
    )
    server.prepare()
    register(options)
    try:
        server.serve()
    except KeyboardInterrupt:
        server.stop()


def register(options: argparse.Namespace) -> None:
    """Add the worker to the platform stand-in's list of VMs."""
    vm = {
        "vm": options.name,
        "address": f"{options.host}:{options.port}",
        "zone": options.zone,
        "rack": options.rack,
        "state": "live",
        "processors": options.processors,
        "memory_gb": options.memory_gb,
        "accelerators": options.accelerators,
        "slots": options.slots,
        "connections": CONNECTION_LIMIT,
    }
    body = json.dumps(vm).encode()
    urllib3.request("POST", f"{options.platform}/admin/vms", body=body)


if __name__ == "__main__":
    main()
