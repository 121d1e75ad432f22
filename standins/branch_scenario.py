"""Runs a scenario of one small branch and prints a table of the results."""

import collections
import concurrent.futures
import pathlib
import signal
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from standins.processes import (
    HTTP,
    ROOT,
    Deployment,
    Process,
    get,
    is_ready,
    open_deployment,
    post,
    wait_until,
)

ZONES = ("ga-north-a", "ga-north-b", "ga-north-c")
WORKERS = 4
CALLERS = 6
RESULT_HEADER = "Savorydale-Result"
IN_FLIGHT_MS = 700


class Row(NamedTuple):
    """One row of the result table."""

    label: str
    result: str


class UnexpectedError(Exception):
    """The scenario got an unexpected result."""


class Callers:
    """Threads that send requests to the entries in turn, as a load balancer does.

    Workers count executions by request id. This reveals requests that ran twice, and
    requests that ran although the entry reported them as not run.
    """

    def __init__(self, entries: list[Process]):
        self.entries = entries
        self.count_by_code: collections.Counter[str] = collections.Counter()
        self.code_by_request: dict[str, str] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(number,))
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for the outstanding responses."""
        self._stop.set()
        for thread in self._threads:
            if thread.ident is not None:
                thread.join()

    def _send_requests(self, number: int) -> None:
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            request = f"caller-{number}-{sequence}"
            entry = self.entries[(number + sequence) % len(self.entries)]
            code = call(entry, request, 5)
            self.count_by_code[code] += 1
            self.code_by_request[request] = code
            time.sleep(0.01)


def call(entry: Process, request: str, work_ms: int) -> str:
    """Send one request, which must run at most once, and return its result code."""
    headers = {"X-Count-As": request, "X-Work-Ms": str(work_ms)}
    url = f"http://{entry.address}/call/countdesk/count"
    try:
        response = HTTP.request("POST", url, body=request.encode(), headers=headers)
    except urllib3.exceptions.HTTPError:
        return "no entry"
    code = response.headers.get(RESULT_HEADER, "none")
    if code == "0" and response.json()["echo"] != request:
        raise UnexpectedError(f"{request} got the response {response.data!r}")
    return code


class BranchScenario:
    """The steps of the demo, from the first settings to a planned stop."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._platform = deployment.start_standin("standins.platform", "platform")
        self._workers = [self._start_worker(number) for number in range(WORKERS)]
        self._entries = [
            deployment.start_entry(f"ga-entry-{number}", zone, self._platform)
            for number, zone in enumerate(ZONES, 1)
        ]
        self._callers = Callers(list(self._entries))
        self._executions_of_killed_workers: collections.Counter[str] = (
            collections.Counter()
        )
        self.rows: list[Row] = []

    def _start_worker(self, number: int) -> Process:
        name = f"ga-w{number}"
        return self._deployment.start_standin(
            "standins.worker",
            name,
            "--name",
            name,
            "--platform",
            f"http://{self._platform.address}",
            "--rack",
            f"ga-r{number // 2}",
            "--zone",
            ZONES[number % len(ZONES)],
        )

    def run(self) -> None:
        """Run all steps."""
        for entry in self._entries:
            wait_until(f"{entry.name} is ready", lambda entry=entry: is_ready(entry))
        self._record(
            "processes", f"{len(self._entries)} entries, {WORKERS} workers, 1 platform"
        )
        self._submit_settings()
        self._wait_for_service()
        self._callers.start()
        try:
            self._run_steps()
        finally:
            self._callers.stop()
        self._check_requests()

    def _run_steps(self) -> None:
        self._check_idempotency_key()
        self._check_bad_input()
        first, second, third = self._entries
        submitted = post(first, "/operator/jobs/venue-report", {"key": "today"})
        post(second, "/operator/jobs/venue-report", {"key": "today"})
        run = submitted["run"]
        wait_until("the report runs", lambda: self._is_placed(third, run))
        self._kill_entry(first)
        self._stop_with_calls_in_flight(second)
        seconds = wait_until(
            "the report is done", lambda: run in get(third, "/operator/jobs")["runs"]
        )
        self._check_run(run, seconds)

    def _record(self, label: str, result: str) -> None:
        self.rows.append(Row(label, result))

    def _submit_settings(self) -> None:
        path = ROOT / "examples" / "settings" / "georgia.toml"
        document = tomllib.loads(path.read_text())
        started_at = time.monotonic()
        body = {"version": 0, "wait": True, **document}
        response = post(self._entries[0], "/operator/settings", body)
        seconds = time.monotonic() - started_at
        if response["code"] != 0:
            raise UnexpectedError(f"settings were refused: {response}")
        self._record("settings accepted", f"version 1, in force after {seconds:.2f} s")
        racing = post(self._entries[1], "/operator/settings", body)
        if racing["code"] != 4002:
            raise UnexpectedError(f"a second operator was not refused: {racing}")
        self._record("operator with an old version", "refused with 4002")

    def _wait_for_service(self) -> None:
        def is_served() -> bool:
            return all(call(entry, "warm-up", 1) == "0" for entry in self._entries)

        seconds = wait_until("every entry serves countdesk", is_served)
        self._record("countdesk placed and served", f"after {seconds:.1f} s")

    def _check_idempotency_key(self) -> None:
        responses = set()
        for entry in self._entries:
            headers = {"X-Count-As": "with-key", "Idempotency-Key": "bill-17"}
            url = f"http://{entry.address}/call/countdesk/bill"
            response = HTTP.request("POST", url, body=b"bill", headers=headers)
            responses.add(response.data)
        executions = self._executions()["with-key"]
        if len(responses) != 1 or executions != 1:
            raise UnexpectedError(f"{executions} executions, responses {responses}")
        self._record("one idempotency key at 3 entries", "1 execution, 1 response")

    def _check_bad_input(self) -> None:
        entry = self._entries[0]
        big = b"x" * 2_000_000
        base = f"http://{entry.address}"
        unknown = HTTP.request("GET", f"{base}/call/nothing/x")
        too_big = HTTP.request("POST", f"{base}/call/countdesk/x", body=big)
        not_json = HTTP.request("POST", f"{base}/operator/settings", body=b"{")
        no_job = HTTP.request("POST", f"{base}/operator/jobs/nothing", body=b"{}")
        responses = (unknown, too_big, not_json, no_job)
        codes = [response.headers.get(RESULT_HEADER) for response in responses]
        if codes != ["1003", "1001", "1002", "1004"]:
            raise UnexpectedError(f"bad input gave the codes {codes}")
        self._record("bad input", "refused with 1003, 1001, 1002, 1004")

    def _is_placed(self, entry: Process, run: str) -> bool:
        tasks = get(entry, "/operator/jobs")["tasks"]
        return any(task["id"] == run and task["worker"] for task in tasks)

    def _kill_entry(self, entry: Process) -> None:
        entry.popen.kill()
        entry.popen.wait()
        self._callers.entries.remove(entry)
        survivor = self._entries[1]

        def is_taken_over() -> bool:
            shares = [
                get(other, "/operator/status")["shares"] for other in self._entries[1:]
            ]
            return sum(shares) == 56

        seconds = wait_until(
            "the other entries have taken over its share", is_taken_over
        )
        self._record(
            f"{entry.name} killed", f"its share taken over after {seconds:.1f} s"
        )
        if call(survivor, "after-kill", 1) != "0":
            raise UnexpectedError("requests fail after the kill of an entry")

    def _stop_with_calls_in_flight(self, entry: Process) -> None:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
            calls = [
                executor.submit(call, entry, f"in-flight-{number}", IN_FLIGHT_MS)
                for number in range(CALLERS)
            ]
            time.sleep(0.2)
            entry.popen.send_signal(signal.SIGTERM)
            wait_until("the health check fails", lambda: not is_ready(entry))
            self._callers.entries.remove(entry)
            codes = [future.result() for future in calls]
        exit_code = entry.popen.wait(20)
        if set(codes) != {"0"} or exit_code != 0:
            raise UnexpectedError(f"planned stop: codes {codes}, exit {exit_code}")
        result = f"{len(codes)} of {len(codes)} requests in flight answered, exit 0"
        self._record(f"{entry.name} stopped", result)

    def _check_run(self, run: str, seconds: float) -> None:
        result = get(self._entries[2], "/operator/jobs")["runs"][run]
        completions = sum(
            get(worker, "/admin/counts")["completions"].get(run, 0)
            for worker in self._workers
        )
        if result["result"] != "done" or completions != 1:
            raise UnexpectedError(f"{run}: {result}, completed {completions} times")
        self._record(run, f"submitted twice, ran once, done after {seconds:.1f} s more")

    def _executions(self) -> collections.Counter[str]:
        total = self._executions_of_killed_workers.copy()
        for worker in self._workers:
            total.update(get(worker, "/admin/counts")["executions"])
        return total

    def _save_executions(self, worker: Process) -> None:
        """Save the execution counts of a worker that is about to be killed."""
        counts = get(worker, "/admin/counts")["executions"]
        self._executions_of_killed_workers.update(counts)

    def _check_requests(self) -> None:
        executions = self._executions()
        overruns = sum(
            get(worker, "/admin/counts")["overruns"] for worker in self._workers
        )
        for request, code in self._callers.code_by_request.items():
            run_count = executions[request]
            is_not_run = code.startswith("2")
            if (
                run_count > 1
                or (code == "0" and run_count != 1)
                or (is_not_run and run_count != 0)
            ):
                raise UnexpectedError(
                    f"{request}: result {code}, ran {run_count} times"
                )
        if overruns:
            raise UnexpectedError(f"requests over the workers' slots: {overruns}")
        counts = dict(self._callers.count_by_code)
        if counts.get("0", 0) < 100:
            raise UnexpectedError(f"too few requests succeeded: {counts}")
        self._record("callers' requests by result", str(counts))
        self._record("requests run twice, or run though refused", "0")
        self._record("requests over a worker's slots", "0")


def run_scenario(
    name: str, make_scenario: Callable[[Deployment], BranchScenario]
) -> int:
    """Run a scenario, print its results, and return the exit code."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            with open_deployment(pathlib.Path(folder)) as deployment:
                print(f"{name}: runs {' '.join(deployment.program)}")
                scenario = make_scenario(deployment)
                scenario.run()
        except Exception as error:  # any exception fails the scenario
            print(f"{name}: failed: {error!r}")
            for path in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"-- {path.name}\n{path.read_text(errors='replace')[-2000:]}")
            return 1
    width = max(len(row.label) for row in scenario.rows)
    for row in scenario.rows:
        print(f"{row.label:<{width}}  {row.result}")
    print(f"{name}: took {time.monotonic() - started_at:.1f} s")
    print(f"{name}: ok")
    return 0


if __name__ == "__main__":
    sys.exit(run_scenario("demo", BranchScenario))
