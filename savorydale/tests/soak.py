"""Randomised soak test of whole entries, with several kinds of faults at once.

Run it as ``python -m savorydale.tests.soak --seed 1 --seconds 600``. The same
seed gives the same run.
"""

import argparse
import asyncio
import collections
import json
import os
import random
import sys
from typing import NamedTuple

from savorydale.exceptions import ConfigurationError, ResultError
from savorydale.results import ResultCode
from savorydale.routing.calls import Answered, NotRun
from savorydale.scheduling.backoff import MAX_BACKOFF_SECONDS
from savorydale.scheduling.shards import make_task
from savorydale.scheduling.tasks import OutboxMessage, outbox_key, shard_of
from savorydale.storage.interface import Condition, Write
from savorydale.tests.harness import Cluster, on_virtual_time, open_cluster, tree
from savorydale.tests.soak_faults import FaultInjector

ENTRIES = 3
WORKERS = 6
RACKS = 3
RUN_SECONDS = 25
JOBS = ("roll", "roll", "roll", "report")
CALLERS = 6
WORK_SECONDS = (0.005, 0.02, 0.1, 1.0)
SHORT_WORK_SECONDS = (0.002, 0.005, 0.02, 0.1)
CHECK_SECONDS = 0.25
PRINTED_EVENTS = 40
SETTLE_SECONDS = MAX_BACKOFF_SECONDS + 120


class SoakReport(NamedTuple):
    """Counts, events and violations of one seed."""

    count_by_fault: dict[str, int]
    count_by_outcome: dict[str, int]
    runs_submitted: int
    runs_finished: int
    settings_accepted: int
    violations: list[str]
    events: list[str]


class Soak(FaultInjector):
    """Callers, job submissions, settings changes and faults on one cluster."""

    def __init__(self, cluster: Cluster, seed: int, callers: int):
        super().__init__(cluster, random.Random(seed))
        self._callers = callers
        self._work_seconds = WORK_SECONDS if callers <= CALLERS else SHORT_WORK_SECONDS
        self.count_by_outcome: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.submitted: set[str] = set()
        self.settings_accepted = 0
        self.accepted_version = 1
        self.keyed_bodies: dict[str, bytes] = {}
        self._stopping = False
        self._last_version_by_incarnation: dict[str, int] = {}

    async def run(self, seconds: float) -> None:
        """Run with faults, then without until all runs and settings have settled."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        tasks = [
            asyncio.create_task(self._send_calls(n, end_at))
            for n in range(self._callers)
        ]
        tasks += [
            asyncio.create_task(task)
            for task in (
                self._submit_runs(end_at),
                self._change_settings(end_at),
                self._inject_faults(end_at),
                self._inject_faults(end_at),
            )
        ]
        checker = asyncio.create_task(self._check_invariants())
        await asyncio.gather(*tasks)
        self._clear_faults()
        await asyncio.sleep(SETTLE_SECONDS)
        self._stopping = True
        await checker
        self._check_final_state()

    def _add_violation(self, text: str) -> None:
        self._record_event(f"VIOLATION {text}")
        self.violations.append(text)

    async def _send_calls(self, number: int, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        call_number = 0
        while loop.time() < end_at:
            await asyncio.sleep(self.rng.expovariate(4))
            nodes = self._live_nodes()
            if not nodes:
                continue
            call_number += 1
            node = self.rng.choice(nodes)
            seconds = self.rng.choice(self._work_seconds)
            kind = self.rng.choice(("idempotent", "once", "keyed"))
            identity = f"{kind}-{number}-{call_number}"
            key = None
            if kind == "keyed":
                identity = f"keyed-{self.rng.randrange(200 + call_number)}"
                key = identity
            try:
                outcome = await node.call(
                    identity,
                    seconds,
                    timeout=self.rng.choice((0.5, 3.0)),
                    idempotent=kind == "idempotent",
                    key=key,
                )
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                self.count_by_outcome["entry stopped"] += 1
                continue
            self._check_outcome(kind, identity, outcome)

    def _count_executions(self, identity: str) -> int:
        workers = self.cluster.all_workers()
        return sum(worker.executions[identity] for worker in workers)

    def _check_outcome(self, kind: str, identity: str, outcome) -> None:
        match outcome:
            case Answered(_, _, body):
                self.count_by_outcome["answered"] += 1
                if body != identity.encode():
                    self._add_violation(f"{identity} got {body!r}")
            case NotRun(code):
                self.count_by_outcome[code.name] += 1
                if kind == "once" and self._count_executions(identity):
                    self._add_violation(f"{identity} ran but was reported as not run")
            case _:
                self.count_by_outcome[outcome.code.name] += 1
        if kind != "idempotent" and self._count_executions(identity) > 1:
            self._add_violation(
                f"{identity} ran {self._count_executions(identity)} times"
            )

    async def _submit_runs(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end_at:
            await asyncio.sleep(self.rng.expovariate(1 / 6))
            nodes = self._live_nodes()
            if not nodes:
                continue
            entry = self.rng.choice(nodes).entry
            name = self.rng.choice(JOBS)
            job = entry.settings.tree.job_by_name.get(name)
            if job is None:
                continue
            number += 1
            run_id = f"{name}@{number}"
            unit = f"shard/{shard_of(job.team)}"
            message = OutboxMessage("submitted", make_task(job, "job", run_id))
            write = Write(outbox_key(unit, run_id, "submitted"), message.to_json())
            try:
                await entry.table.commit([Condition(write.key, 0)], [write])
            except Exception as error:
                self._record_event(f"submission of {run_id} failed: {error!r}")
                continue
            self.submitted.add(run_id)
            entry.scheduler.wake(unit)

    async def _change_settings(self, end_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_at:
            await asyncio.sleep(self.rng.expovariate(1 / 10))
            nodes = self._live_nodes()
            if not nodes:
                continue
            entry = self.rng.choice(nodes).entry
            if not entry.settings.tree.version:
                continue
            path = f"hq/ga/t{self.rng.randrange(30)}"
            exists = path in entry.settings.tree.node_by_path
            changes = {path: None if exists else {"kind": "team"}}
            try:
                version = await entry.accept_settings(
                    entry.settings.tree.version, changes
                )
            except ResultError as error:
                if error.code == ResultCode.STORE_OUTCOME_UNKNOWN:
                    self._record_event("a settings change has an unknown outcome")
                continue
            except ConfigurationError:
                continue
            if version <= self.accepted_version:
                self._add_violation(f"settings version {version} was accepted twice")
            self.accepted_version = max(self.accepted_version, version)
            self.settings_accepted += 1

    async def _check_invariants(self) -> None:
        while not self._stopping:
            await asyncio.sleep(CHECK_SECONDS)
            self.cluster.raise_entry_errors()
            self._check_running_copies()
            self._check_versions()

    def _check_running_copies(self) -> None:
        copies: collections.Counter[str] = collections.Counter()
        for worker in self.cluster.all_workers():
            jobs = [task for task in worker.tasks.running() if "@" in task]
            copies.update(jobs)
            if len(jobs) > worker.vm.processors // 10:
                self._add_violation(
                    f"{worker.vm.vm} runs {jobs}, more than its capacity"
                )
            if worker.overruns:
                self._add_violation(
                    f"{worker.vm.vm} was sent more requests than it has slots"
                )
                worker.overruns = 0
        for run_id, count in copies.items():
            if count > 1:
                self._add_violation(f"{run_id} runs {count} times at once")

    def _check_versions(self) -> None:
        for node in self._live_nodes():
            incarnation = node.entry.record.incarnation
            version = node.entry.settings.tree.version
            if version < self._last_version_by_incarnation.get(incarnation, 0):
                self._add_violation(f"settings version decreased to {version}")
            self._last_version_by_incarnation[incarnation] = version

    def _check_final_state(self) -> None:
        history = self.cluster.history()
        for run_id in sorted(self.submitted):
            done = sum(
                worker.tasks.completions[run_id]
                for worker in self.cluster.all_workers()
            )
            if run_id not in history:
                self._add_violation(
                    f"{run_id} was lost: {self._find_references(run_id)}"
                )
            elif history[run_id]["result"] == "done" and done < 1:
                self._add_violation(
                    f"{run_id} is recorded as done but did not complete"
                )
        versions = {n.entry.settings.tree.version for n in self._live_nodes()}
        if len(versions) != 1 or min(versions) < self.accepted_version:
            self._add_violation(
                f"settings {versions} in force, {self.accepted_version} accepted"
            )

    def _find_references(self, run_id: str) -> list[str]:
        """Return the rows and workers that refer to a run, for debugging."""
        rows = self.cluster.platform.table.scan("")
        found = [
            f"{key}: {json.dumps(value)[:2000]}"
            for key, (value, _) in rows.items()
            if run_id in key or f'"{run_id}"' in json.dumps(value)
        ]
        for worker in self.cluster.all_workers():
            if run_id in worker.tasks.running():
                found.append(f"runs on {worker.vm.vm}")
        return found

    def report(self) -> SoakReport:
        """Return the counts, events and violations so far."""
        return SoakReport(
            dict(self.count_by_fault),
            dict(self.count_by_outcome),
            len(self.submitted),
            len(set(self.cluster.history()) & self.submitted),
            self.settings_accepted,
            self.violations,
            self.events,
        )


@on_virtual_time
async def run_soak(seed: int, seconds: float, callers: int = CALLERS) -> SoakReport:
    """Run one seed with faults for ``seconds`` of virtual time."""
    nodes = tree(replicas=WORKERS, run_seconds=RUN_SECONDS, processors=10.0)
    roll = nodes["hq/ga/counts/roll"]
    roll["values"]["max_attempts"] = 100
    report = {"kind": "job", "values": roll["values"] | {"urgent": True}}
    nodes["hq/ga/counts/report"] = report
    async with open_cluster(
        seed, ENTRIES, nodes, worker_count=WORKERS, racks=RACKS
    ) as cluster:
        soak = Soak(cluster, seed, callers)
        await soak.run(seconds)
        return soak.report()


def main() -> int:
    """Run the requested seeds and print the report of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument(
        "--callers", type=int, default=CALLERS, help="each calls about 4 times a second"
    )
    options = parser.parse_args()
    if "PYTHONHASHSEED" not in os.environ:
        environment = os.environ | {"PYTHONHASHSEED": "0"}
        command = [sys.executable, "-m", "savorydale.tests.soak", *sys.argv[1:]]
        os.execve(sys.executable, command, environment)
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        report = run_soak(seed, options.seconds, options.callers)
        faults = sum(report.count_by_fault.values())
        calls = sum(report.count_by_outcome.values())
        print(
            f"seed {seed}: {options.seconds:g} virtual s, {faults} faults, "
            f"{calls} calls, {report.runs_finished} of {report.runs_submitted} runs, "
            f"{report.settings_accepted} settings changes, "
            f"{len(report.violations)} violations"
        )
        if report.violations:
            failed += 1
            print("\n".join(report.events[-PRINTED_EVENTS:]))
            print(report.count_by_fault)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
