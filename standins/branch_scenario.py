"""Runs the day of one small branch and prints a table of what was seen."""

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
    """One line of the table."""

    what: str
    seen: str


class UnexpectedError(Exception):
    """The demo saw something else than it should."""


class Callers:
    """Callers that keep asking until told to stop, as the balancer would send them.

    Every request has an identity that the workers count, so that a request that ran
    twice, or ran although it was refused as not run, is found.
    """

    def __init__(self, entries: list[Process]):
        self.entries = entries
        self.count_by_code: collections.Counter[str] = collections.Counter()
        self.code_by_request: dict[str, str] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call_all, args=(number,))
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop calling and wait for the last answers."""
        self._stop.set()
        for thread in self._threads:
            if thread.ident is not None:
                thread.join()

    def _call_all(self, number: int) -> None:
        turn = 0
        while not self._stop.is_set():
            turn += 1
            request = f"caller-{number}-{turn}"
            entry = self.entries[(number + turn) % len(self.entries)]
            code = call(entry, request, 5)
            self.count_by_code[code] += 1
            self.code_by_request[request] = code
            time.sleep(0.01)


def call(entry: Process, request: str, work_ms: int) -> str:
    """Send one request that must run at most once and return its result code."""
    headers = {"X-Count-As": request, "X-Work-Ms": str(work_ms)}
    url = f"http://{entry.address}/call/countdesk/count"
    try:
        answer = HTTP.request("POST", url, body=request.encode(), headers=headers)
    except urllib3.exceptions.HTTPError:
        return "no entry"
    code = answer.headers.get(RESULT_HEADER, "none")
    if code == "0" and answer.json()["echo"] != request:
        raise UnexpectedError(f"{request} got the answer {answer.data!r}")
    return code


class BranchScenario:
    """The steps of the demo."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._platform = deployment.start_standin("standins.platform", "platform")
        self._workers = [self._start_worker(number) for number in range(WORKERS)]
        self._entries = [
            deployment.start_entry(f"ga-entry-{number}", zone, self._platform)
            for number, zone in enumerate(ZONES, 1)
        ]
        self._callers = Callers(list(self._entries))
        self._executions_of_lost_workers: collections.Counter[str] = (
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
        """Run the whole day."""
        for entry in self._entries:
            wait_until(f"{entry.name} is ready", lambda entry=entry: is_ready(entry))
        self._see(
            "processes", f"{len(self._entries)} entries, {WORKERS} workers, 1 platform"
        )
        self._accept_settings()
        self._wait_for_service()
        self._callers.start()
        try:
            self._work()
        finally:
            self._callers.stop()
        self._check_requests()

    def _work(self) -> None:
        self._repeat_with_key()
        self._see_bad_input()
        first, second, third = self._entries
        submitted = post(first, "/operator/jobs/venue-report", {"key": "today"})
        post(second, "/operator/jobs/venue-report", {"key": "today"})
        run = submitted["run"]
        wait_until("the report runs", lambda: self._is_placed(third, run))
        self._kill(first)
        self._stop_with_calls_in_flight(second)
        seconds = wait_until(
            "the report is done", lambda: run in get(third, "/operator/jobs")["runs"]
        )
        self._check_run(run, seconds)

    def _see(self, what: str, seen: str) -> None:
        self.rows.append(Row(what, seen))

    def _accept_settings(self) -> None:
        path = ROOT / "examples" / "settings" / "georgia.toml"
        document = tomllib.loads(path.read_text())
        started_at = time.monotonic()
        body = {"version": 0, "wait": True, **document}
        answer = post(self._entries[0], "/operator/settings", body)
        seconds = time.monotonic() - started_at
        if answer["code"] != 0:
            raise UnexpectedError(f"settings were refused: {answer}")
        self._see("settings accepted", f"version 1, in force after {seconds:.2f} s")
        racing = post(self._entries[1], "/operator/settings", body)
        if racing["code"] != 4002:
            raise UnexpectedError(f"a second operator was not refused: {racing}")
        self._see("operator with an old version", "refused with 4002")

    def _wait_for_service(self) -> None:
        def is_served() -> bool:
            return all(call(entry, "warm-up", 1) == "0" for entry in self._entries)

        seconds = wait_until("every entry serves countdesk", is_served)
        self._see("countdesk placed and served", f"after {seconds:.1f} s")

    def _repeat_with_key(self) -> None:
        answers = set()
        for entry in self._entries:
            headers = {"X-Count-As": "with-key", "Idempotency-Key": "bill-17"}
            url = f"http://{entry.address}/call/countdesk/bill"
            answer = HTTP.request("POST", url, body=b"bill", headers=headers)
            answers.add(answer.data)
        executions = self._executions()["with-key"]
        if len(answers) != 1 or executions != 1:
            raise UnexpectedError(f"{executions} executions, answers {answers}")
        self._see("one idempotency key at 3 entries", "1 execution, 1 answer")

    def _see_bad_input(self) -> None:
        entry = self._entries[0]
        big = b"x" * 2_000_000
        base = f"http://{entry.address}"
        unknown = HTTP.request("GET", f"{base}/call/nothing/x")
        too_big = HTTP.request("POST", f"{base}/call/countdesk/x", body=big)
        not_json = HTTP.request("POST", f"{base}/operator/settings", body=b"{")
        no_job = HTTP.request("POST", f"{base}/operator/jobs/nothing", body=b"{}")
        answers = (unknown, too_big, not_json, no_job)
        codes = [answer.headers.get(RESULT_HEADER) for answer in answers]
        if codes != ["1003", "1001", "1002", "1004"]:
            raise UnexpectedError(f"bad input gave the codes {codes}")
        self._see("bad input", "refused with 1003, 1001, 1002, 1004")

    def _is_placed(self, entry: Process, run: str) -> bool:
        tasks = get(entry, "/operator/jobs")["tasks"]
        return any(task["id"] == run and task["worker"] for task in tasks)

    def _kill(self, entry: Process) -> None:
        entry.popen.kill()
        entry.popen.wait()
        self._callers.entries.remove(entry)
        survivor = self._entries[1]

        def is_taken_over() -> bool:
            shares = [
                get(other, "/operator/status")["shares"] for other in self._entries[1:]
            ]
            return sum(shares) == 56

        seconds = wait_until("the dead entry's slots are used again", is_taken_over)
        self._see(f"{entry.name} killed", f"its share taken over after {seconds:.1f} s")
        if call(survivor, "after-kill", 1) != "0":
            raise UnexpectedError("callers are not served after the kill")

    def _stop_with_calls_in_flight(self, entry: Process) -> None:
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
            calls = [
                executor.submit(call, entry, f"in-flight-{number}", IN_FLIGHT_MS)
                for number in range(CALLERS)
            ]
            time.sleep(0.2)
            entry.popen.send_signal(signal.SIGTERM)
            wait_until("the health page is red", lambda: not is_ready(entry))
            self._callers.entries.remove(entry)
            codes = [future.result() for future in calls]
        exit_code = entry.popen.wait(20)
        if set(codes) != {"0"} or exit_code != 0:
            raise UnexpectedError(f"planned stop: codes {codes}, exit {exit_code}")
        seen = f"{len(codes)} of {len(codes)} requests in flight answered, exit 0"
        self._see(f"{entry.name} stopped", seen)

    def _check_run(self, run: str, seconds: float) -> None:
        result = get(self._entries[2], "/operator/jobs")["runs"][run]
        completions = sum(
            get(worker, "/admin/counts")["completions"].get(run, 0)
            for worker in self._workers
        )
        if result["result"] != "done" or completions != 1:
            raise UnexpectedError(f"{run}: {result}, completed {completions} times")
        self._see(run, f"submitted twice, ran once, done after {seconds:.1f} s more")

    def _executions(self) -> collections.Counter[str]:
        total = self._executions_of_lost_workers.copy()
        for worker in self._workers:
            total.update(get(worker, "/admin/counts")["executions"])
        return total

    def _keep_executions(self, worker: Process) -> None:
        """Keep the record of a worker that is about to be lost."""
        counts = get(worker, "/admin/counts")["executions"]
        self._executions_of_lost_workers.update(counts)

    def _check_requests(self) -> None:
        executions = self._executions()
        overruns = sum(
            get(worker, "/admin/counts")["overruns"] for worker in self._workers
        )
        for request, code in self._callers.code_by_request.items():
            ran = executions[request]
            is_not_run = code.startswith("2")
            if ran > 1 or (code == "0" and ran != 1) or (is_not_run and ran != 0):
                raise UnexpectedError(f"{request}: result {code}, ran {ran} times")
        if overruns:
            raise UnexpectedError(f"workers' slots were overrun {overruns} times")
        counts = dict(self._callers.count_by_code)
        if counts.get("0", 0) < 100:
            raise UnexpectedError(f"too few callers were served: {counts}")
        self._see("callers' requests by result", str(counts))
        self._see("ran twice, or ran though refused", "0")
        self._see("requests over a worker's slots", "0")


def run_scenario(
    name: str, make_scenario: Callable[[Deployment], BranchScenario]
) -> int:
    """Run a day, print what it saw, and return the exit code."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            with open_deployment(pathlib.Path(folder)) as deployment:
                print(f"{name}: runs {' '.join(deployment.program)}")
                scenario = make_scenario(deployment)
                scenario.run()
        except Exception as error:  # whatever it was, it was not expected
            print(f"{name}: failed: {error!r}")
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                print(f"-- {log.name}\n{log.read_text(errors='replace')[-2000:]}")
            return 1
    width = max(len(row.what) for row in scenario.rows)
    for row in scenario.rows:
        print(f"{row.what:<{width}}  {row.seen}")
    print(f"{name}: took {time.monotonic() - started_at:.1f} s")
    print(f"{name}: ok")
    return 0


if __name__ == "__main__":
    sys.exit(run_scenario("demo", BranchScenario))
