"""Stand-in for the platform: ``python -m standins.platform --port N``."""

import argparse
import json
import random
import threading
import time
from typing import Any

from standins.table import ConflictError, MemoryTable
from standins.web import DropResponseError, Response, make_server

JsonObject = dict[str, Any]


class PlatformStandin:
    """Serves the table, objects and VM list; faults can be injected."""

    def __init__(self, status_lag_seconds: float):
        self._lock = threading.Lock()
        self._table = MemoryTable(time.monotonic)
        self._object_by_name: dict[str, bytes] = {}
        self._vm_by_name: dict[str, JsonObject] = {}
        self._reported_vms: list[JsonObject] = []
        self._reported_at = 0.0
        self._status_lag_seconds = status_lag_seconds
        self._random = random.Random(1)
        self._is_down = False
        self._delay_seconds = 0.0
        self._lost_answer_ratio = 0.0

    def handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response:
        """Handle one request."""
        if path == "/admin/faults":
            return self._set_faults(json.loads(body))
        if path == "/admin/vms":
            return self._set_vm(json.loads(body))
        if path == "/admin/counts":
            counts = {
                "transactions": self._table.transactions,
                "reads": self._table.reads,
            }
            return Response(200, counts)
        if self._is_down:
            return Response(503, {"error": "out of service"})
        if self._delay_seconds:
            time.sleep(self._delay_seconds)
        response = self._serve(method, path, body)
        if self._random.random() < self._lost_answer_ratio:
            raise DropResponseError
        return response

    def _serve(self, method: str, path: str, body: bytes) -> Response:
        if path.startswith("/objects/"):
            return self._serve_object(method, path.removeprefix("/objects/"), body)
        if path == "/vms":
            return Response(200, {"vms": self._list_vms()})
        request = json.loads(body)
        with self._lock:
            if path == "/table/transact":
                return self._transact(request)
            if path == "/table/read":
                rows = self._table.read(request["keys"], request["newer_than"])
                return Response(200, {"rows": _rows_to_json(rows)})
            if path == "/table/scan":
                rows = self._table.scan(request["prefix"])
                return Response(200, {"rows": _rows_to_json(rows)})
        return Response(404, {"error": "no such page"})

    def _transact(self, request: JsonObject) -> Response:
        conditions = [(item["key"], item["version"]) for item in request["conditions"]]
        writes = [
            (item["key"], item["value"], item["ttl_seconds"])
            for item in request["writes"]
        ]
        try:
            return Response(200, {"version": self._table.transact(conditions, writes)})
        except ConflictError as error:
            return Response(409, {"keys": error.keys})

    def _serve_object(self, method: str, name: str, body: bytes) -> Response:
        if method == "PUT":
            self._object_by_name[name] = body
            return Response(200, {})
        if name not in self._object_by_name:
            return Response(404, {"error": "no such object"})
        return Response(200, {"text": self._object_by_name[name].decode()})

    def _list_vms(self) -> list[JsonObject]:
        now = time.monotonic()
        if (
            not self._reported_vms
            or now - self._reported_at >= self._status_lag_seconds
        ):
            self._reported_vms = [dict(vm) for vm in self._vm_by_name.values()]
            self._reported_at = now
        return self._reported_vms

    def _set_faults(self, request: JsonObject) -> Response:
        self._is_down = request.get("down", self._is_down)
        self._delay_seconds = request.get("delay_seconds", self._delay_seconds)
        self._lost_answer_ratio = request.get(
            "lost_answer_ratio", self._lost_answer_ratio
        )
        return Response(200, {})

    def _set_vm(self, request: JsonObject) -> Response:
        existing = self._vm_by_name.get(request["vm"], {})
        self._vm_by_name[request["vm"]] = {**existing, **request}
        return Response(200, {})


def _rows_to_json(rows: dict[str, tuple[JsonObject, int]]) -> JsonObject:
    return {
        key: {"value": value, "version": version}
        for key, (value, version) in rows.items()
    }


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--status-lag", type=float, default=1.0)
    options = parser.parse_args()
    standin = PlatformStandin(options.status_lag)
    server = make_server(options.host, options.port, standin.handle, threads=32)
    try:
        server.start()
    except KeyboardInterrupt:
        server.stop()


if __name__ == "__main__":
    main()
