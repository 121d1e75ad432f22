"""Serve pages for operators: settings, jobs, status, counters and draining."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

import cherrypy

from savorydale.config.validation import JsonObject
from savorydale.entry import DRAINED_KEY, Entry
from savorydale.exceptions import (
    ConfigurationError,
    OptionError,
    ResultError,
    SavorydaleError,
    StoreError,
    TransactionConflictError,
)
from savorydale.results import INFO_BY_CODE, RESULT_HEADER, ResultCode
from savorydale.scheduling.shards import make_task
from savorydale.scheduling.tasks import (
    HISTORY_PREFIX,
    SHARD_KIND,
    OutboxMessage,
    outbox_key,
    shard_of,
    task_from_json,
)
from savorydale.settings.checks import parse_changes
from savorydale.settings.history import (
    MAX_HISTORY_VERSIONS,
    find_rollback_changes,
    read_history,
)
from savorydale.storage.interface import ABSENT_VERSION, Condition, Row, Write
from savorydale.web.access import KEY_HEADER, Authenticator
from savorydale.web.bridge import LoopBridge

MAX_WAIT_SECONDS = 30.0
WAIT_POLL_SECONDS = 0.05
MAX_COMMIT_ATTEMPTS = 5
READ_BACK_TIMEOUT_SECONDS = 10.0

log = logging.getLogger(__name__)


class OperatorPages:
    """Pages below ``/operator``; requests and responses are JSON.

    Parameters
    ----------
    entry : Entry
        Entry that the pages show and change.
    bridge : LoopBridge
        Runs code on the entry's event loop.
    authenticator : Authenticator
        Checks operators' shared key.
    """

    def __init__(self, entry: Entry, bridge: LoopBridge, authenticator: Authenticator):
        self._entry = entry
        self._bridge = bridge
        self._authenticator = authenticator

    @cherrypy.expose
    def settings(self, path: str | None = None) -> bytes:
        """Show the tree or the effective values of a path; accept changes."""
        if cherrypy.request.method == "GET":
            return self._handle(lambda: self._show_settings(path))
        return self._handle(self._accept_settings)

    @cherrypy.expose
    def history(self, limit: str = "20", back_to: str | None = None) -> bytes:
        """List accepted changes, or show the change that restores a version."""
        return self._handle(lambda: self._show_history(limit, back_to))

    @cherrypy.expose
    def jobs(self, name: str | None = None) -> bytes:
        """List tasks and finished runs; start a run on demand."""
        if cherrypy.request.method == "GET":
            return self._handle(lambda: self._bridge.run(self._list_jobs()))
        return self._handle(lambda: self._submit(name or ""))

    @cherrypy.expose
    def status(self) -> bytes:
        """Show this entry, its peers and the workers."""
        return self._handle(lambda: self._bridge.run(self._status()))

    @cherrypy.expose
    def counters(self) -> bytes:
        """Show counters and latencies of this entry."""
        return self._handle(self._counters)

    @cherrypy.expose
    def drain(self) -> bytes:
        """Drain a worker, or cancel its drain."""
        return self._handle(self._drain)

    def _handle(self, handler: Callable[[], JsonObject]) -> bytes:
        """Authenticate, then return the result of ``handler`` or its error as JSON."""
        try:
            self._authenticate()
            return self._respond(ResultCode.OK, handler())
        except ConfigurationError as error:
            errors = [str(item) for item in error.exceptions]
            body = {"message": error.message, "faults": errors}
            return self._respond(ResultCode.SETTINGS_INVALID, body)
        except SavorydaleError as error:
            self._entry.counters.increment(
                f"operators.refused.{error.code.name.lower()}"
            )
            return self._respond(error.code, {"message": str(error)})

    def _authenticate(self) -> None:
        request = cherrypy.request
        presented = request.headers.get(KEY_HEADER)
        if not self._authenticator.is_allowed(request.remote.ip, presented):
            raise ResultError(ResultCode.UNAUTHENTICATED)

    def _respond(self, code: ResultCode, body: JsonObject) -> bytes:
        response = cherrypy.response
        response.status = INFO_BY_CODE[code].status
        response.headers["Content-Type"] = "application/json"
        response.headers[RESULT_HEADER] = str(int(code))
        return json.dumps({"code": int(code), **body}).encode()

    def _read_body(self) -> JsonObject:
        if cherrypy.request.method != "POST":
            raise ResultError(ResultCode.METHOD_NOT_ALLOWED)
        try:
            body = json.loads(cherrypy.request.body.read() or b"{}")
        except ValueError as error:
            raise ResultError(ResultCode.MALFORMED_BODY, str(error)) from error
        if not isinstance(body, dict):
            raise ResultError(ResultCode.MALFORMED_BODY, "An object is expected.")
        return body

    def _show_settings(self, path: str | None) -> JsonObject:
        tree = self._entry.settings.tree
        if path is None:
            return {"version": tree.version, "nodes": tree.node_by_path}
        if path not in tree.node_by_path:
            raise ResultError(ResultCode.SETTINGS_UNKNOWN_PATH, f"Path {path!r}.")
        effective = {
            name: {"value": item.value, "source": item.source}
            for name, item in tree.effective(path).items()
        }
        return {
            "version": tree.version,
            "node": tree.node_by_path[path],
            "effective": effective,
        }

    def _show_history(self, limit: str, back_to: str | None) -> JsonObject:
        entry = self._entry
        tree = entry.settings.tree
        try:
            if back_to is None:
                count = min(parse_number("limit", limit), MAX_HISTORY_VERSIONS)
                changes = read_history(entry.table, tree.version, count)
                listed = [item._asdict() for item in self._bridge.run(changes)]
                return {"version": tree.version, "changes": listed}
            target = parse_number("back_to", back_to)
            nodes = self._bridge.run(find_rollback_changes(entry.table, tree, target))
        except StoreError as error:
            raise ResultError(error.code, str(error)) from error
        return {"version": tree.version, "nodes": nodes}

    def _accept_settings(self) -> JsonObject:
        body = self._read_body()
        wait = bool(body.pop("wait", False))
        read_version = body.pop("version", None)
        if not isinstance(read_version, int):
            raise OptionError(
                "version", read_version, "is not a number", "Send the version read."
            )
        changes = parse_changes(body)
        version = self._bridge.run(self._entry.accept_settings(read_version, changes))
        if wait:
            self._bridge.run(self._wait_in_force(version))
        return {"version": version, "in_force": self._entry.versions_in_force()}

    async def _wait_in_force(self, version: int) -> None:
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await self._entry.membership.observe()
                while min(self._entry.versions_in_force().values()) < version:
                    await asyncio.sleep(WAIT_POLL_SECONDS)
        except (TimeoutError, StoreError):
            detail = f"Versions by entry: {self._entry.versions_in_force()}."
            raise ResultError(ResultCode.SETTINGS_NOT_IN_FORCE, detail) from None

    async def _list_jobs(self) -> JsonObject:
        table = self._entry.table
        shards = await table.scan("shards/")
        racks = await table.scan("racks/")
        history = await table.scan(HISTORY_PREFIX)
        rack_task_by_id = {
            task_id: task
            for row in racks.values()
            for task_id, task in row.value["tasks"].items()
        }
        tasks = [
            _describe(shard_task, rack, rack_task_by_id.get(task_id))
            for row in shards.values()
            for task_id, (shard_task, rack, _) in row.value["tasks"].items()
        ]
        finished_runs = {
            key.removeprefix(HISTORY_PREFIX): row.value for key, row in history.items()
        }
        return {
            "tasks": sorted(tasks, key=lambda task: task["id"]),
            "runs": finished_runs,
        }

    def _submit(self, name: str) -> JsonObject:
        body = self._read_body()
        job = self._entry.settings.tree.job_by_name.get(name)
        if job is None:
            raise ResultError(ResultCode.UNKNOWN_JOB, f"Job {name!r}.")
        key = str(body.get("key") or self._entry.clock.now().isoformat())
        run_id = f"{name}@{key}"
        unit = f"{SHARD_KIND}/{shard_of(job.team)}"
        message = OutboxMessage("submitted", make_task(job, "job", run_id))
        write = Write(outbox_key(unit, run_id, "submitted"), message.to_json())
        self._bridge.run(self._commit_submission(unit, write))
        return {"run": run_id}

    async def _commit_submission(self, unit: str, write: Write) -> None:
        condition = Condition(write.key, ABSENT_VERSION)
        try:
            await self._entry.table.commit(
                [condition], [write], READ_BACK_TIMEOUT_SECONDS
            )
        except TransactionConflictError:
            return
        except StoreError as error:
            raise ResultError(error.code, str(error)) from error
        self._entry.scheduler.wake(unit)

    async def _status(self) -> JsonObject:
        entry = self._entry
        return {
            "entry": entry.record.name,
            "incarnation": entry.record.incarnation,
            "ready": entry.is_ready(),
            "settings_version": entry.settings.tree.version,
            "versions_in_force": entry.versions_in_force(),
            "store_reachable": entry.table.reachable,
            "racks": sorted(entry.scheduler.rack_by_unit),
            "shares": len(entry.ownership.units("share")),
            "shards": len(entry.ownership.units("shard")),
            "in_flight": entry.router.in_flight,
            "peers": [
                {"entry": state.entry, "draining": state.draining}
                for state in entry.links.state_by_incarnation.values()
            ],
            "workers": [
                {
                    "worker": vm.vm,
                    "zone": vm.zone,
                    "rack": vm.rack,
                    "state": vm.state,
                    "open": entry.directory.accepts_work(vm.vm),
                    "services": entry.directory.services_on(vm.vm),
                }
                for vm in entry.directory.vm_by_name.values()
            ],
        }

    def _counters(self) -> JsonObject:
        snapshot = self._entry.counters.snapshot()
        return {
            "counts": snapshot.count_by_name,
            "latencies": snapshot.latency_by_name,
        }

    def _drain(self) -> JsonObject:
        body = self._read_body()
        worker = body.get("worker")
        if worker not in self._entry.directory.vm_by_name:
            raise OptionError("worker", worker, "is not a known worker", "See status.")
        drained = self._bridge.run(
            self._commit_drained(worker, bool(body.get("undo", False)))
        )
        return {"drained": drained}

    async def _commit_drained(self, worker: str, undo: bool) -> list[str]:
        """Commit the change and return the names of all drained workers."""
        table = self._entry.table
        for _ in range(MAX_COMMIT_ATTEMPTS):
            rows = await table.read([DRAINED_KEY])
            row = rows.get(DRAINED_KEY, Row({"workers": []}, ABSENT_VERSION))
            workers = set(row.value["workers"]) - {worker}
            if not undo:
                workers.add(worker)
            write = Write(DRAINED_KEY, {"workers": sorted(workers)})
            try:
                await table.commit([Condition(DRAINED_KEY, row.version)], [write])
            except TransactionConflictError:
                continue
            self._entry.directory.set_drained(workers)
            return sorted(workers)
        raise ResultError(ResultCode.SETTINGS_CONFLICT, "Others drain at this moment.")


def parse_number(name: str, text: str) -> int:
    """Return a version or a limit from a query parameter.

    Raises
    ------
    OptionError
        If it is not a number.
    """
    if not text.isascii() or not text.isdigit():
        raise OptionError(name, text, "is not a number", "Use a number from 0 on.")
    return int(text)


def _describe(
    shard_task: JsonObject, rack: str | None, rack_task: dict[str, Any] | None
) -> JsonObject:
    state = "waiting"
    if rack is not None:
        state = "sent" if rack_task is None else "placed"
    task = task_from_json(rack_task or shard_task)
    return {
        "id": task.id,
        "kind": task.kind,
        "state": state,
        "rack": rack,
        "worker": task.worker,
        "attempt": task.attempt,
        "failures": task.failures,
        "progress": task.progress,
        "latency_evictions": task.latency_evictions,
    }
