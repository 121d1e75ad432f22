"""Injects faults into real processes under load and checks the execution counts."""

import signal
import sys
import time
from collections.abc import Callable

from standins.branch_scenario import BranchScenario, UnexpectedError, run_scenario
from standins.processes import Process, get, is_ready, post, wait_until

RUNS = 4
RECOVERY_SECONDS = 60.0


class FaultScenario(BranchScenario):
    """Kills, pauses and platform outages while requests and jobs run.

    The workers' own counts show what ran; the result codes of the requests show what
    the entries guaranteed.
    """

    def _run_steps(self) -> None:
        runs = self._submit_runs()
        entry, worker = self._entries[1], self._workers[0]
        self._run_fault("entry paused for 6 s", lambda: self._pause(entry, 6))
        self._run_fault("worker paused for 4 s", lambda: self._pause(worker, 4))
        self._run_fault(
            "platform down for 8 s", lambda: self._inject_platform_faults(8, down=True)
        )
        self._run_fault(
            "platform answers after 1.5 s, for 8 s",
            lambda: self._inject_platform_faults(8, delay_seconds=1.5),
        )
        self._run_fault(
            "platform loses a third of its responses for 8 s",
            lambda: self._inject_platform_faults(8, lost_answer_ratio=0.33),
        )
        self._run_fault("entry killed and replaced", self._replace_entry)
        self._run_fault("worker killed, VM terminated", self._kill_worker)
        self._check_runs(runs)

    def _submit_runs(self) -> list[str]:
        responses = [
            post(self._entries[0], "/operator/jobs/venue-report", {"key": str(number)})
            for number in range(RUNS)
        ]
        return [response["run"] for response in responses]

    def _run_fault(self, label: str, inject: Callable[[], None]) -> None:
        before = self._callers.count_by_code.copy()
        started_at = time.monotonic()
        inject()
        seconds = wait_until("every entry is ready", self._all_ready, RECOVERY_SECONDS)
        counts = dict(self._callers.count_by_code - before)
        total_seconds = time.monotonic() - started_at
        result = (
            f"ready after {seconds:.1f} s, total {total_seconds:.0f} s, codes {counts}"
        )
        self._record(label, result)

    def _all_ready(self) -> bool:
        return all(is_ready(entry) for entry in self._callers.entries)

    def _pause(self, process: Process, seconds: float) -> None:
        process.popen.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.popen.send_signal(signal.SIGCONT)

    def _inject_platform_faults(self, seconds: float, **faults: float) -> None:
        post(self._platform, "/admin/faults", faults)
        time.sleep(seconds)
        cleared = {name: False if name == "down" else 0.0 for name in faults}
        post(self._platform, "/admin/faults", cleared)

    def _replace_entry(self) -> None:
        killed = self._entries[0]
        self._callers.entries.remove(killed)
        killed.popen.kill()
        killed.popen.wait()
        replacement = self._deployment.start_entry(
            "ga-entry-4", "ga-north-a", self._platform
        )
        wait_until("the new entry is ready", lambda: is_ready(replacement))
        self._callers.entries.append(replacement)

    def _kill_worker(self) -> None:
        worker = self._workers.pop()
        self._save_executions(worker)
        worker.popen.kill()
        worker.popen.wait()
        vm = {"vm": worker.name, "state": "gone"}
        post(self._platform, "/admin/vms", vm)

    def _check_runs(self, runs: list[str]) -> None:
        entry = self._callers.entries[0]

        def are_done() -> bool:
            finished = get(entry, "/operator/jobs").get("runs", {})
            return all(run in finished for run in runs)

        seconds = wait_until("all runs are done", are_done, RECOVERY_SECONDS)
        for run in runs:
            completions = sum(
                get(worker, "/admin/counts")["completions"].get(run, 0)
                for worker in self._workers
            )
            if completions > 1:
                raise UnexpectedError(f"{run} completed {completions} times")
        self._record(
            f"{RUNS} runs", f"each done once, {seconds:.1f} s after the last fault"
        )


if __name__ == "__main__":
    sys.exit(run_scenario("faults", FaultScenario))
