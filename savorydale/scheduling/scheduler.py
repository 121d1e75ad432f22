"""Runs a scheduler for each rack and each shard that this entry owns."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from savorydale.counters import Counters
from savorydale.messages.peer.ttypes import (
    Inflation,
    InflationReport,
    PeerMessage,
    RackSummary,
    Wake,
)
from savorydale.peers.ownership import Ownership, UnitChange
from savorydale.routing.inflation import WorkerService
from savorydale.scheduling.outbox_reader import OutboxReader
from savorydale.scheduling.owned_row import OwnedRow, OwnedUnit
from savorydale.scheduling.rack_colocation import ColocationModels, RackColocation
from savorydale.scheduling.rack_selection import RackSelector, RackView
from savorydale.scheduling.rack_summary import decode_summary, encode_summary
from savorydale.scheduling.racks import RackScheduler
from savorydale.scheduling.shards import ShardScheduler
from savorydale.scheduling.tasks import RACK_KIND, SHARD_KIND
from savorydale.settings.tree import SettingsTree
from savorydale.storage.group_commit import GroupCommit
from savorydale.storage.table import Table
from savorydale.utils.wall_clock import WallClock
from savorydale.workers.directory import Directory, RackServices
from savorydale.workers.interface import Demand, WorkerClient

PUBLISH_SECONDS = 0.1


class Scheduler:
    """Starts and stops the schedulers of units as ownership changes.

    Parameters
    ----------
    ownership : Ownership
        Units that this entry owns.
    table : Table
        Table from which rows are read.
    group_commit : GroupCommit
        Commits the writes.
    client : WorkerClient
        Sends commands to workers.
    directory : Directory
        VMs, and the services on them.
    get_tree : callable
        Returns the current settings tree.
    send : callable
        Sends a message to an incarnation.
    broadcast : callable
        Sends a message to every peer.
    lease_seconds : float
        Duration of a task's lease.
    clock : WallClock
        Wall clock.
    counters : Counters
        Receives all counts.
    rng : random.Random
        Samples the racks to compare.
    """

    def __init__(
        self,
        ownership: Ownership,
        table: Table,
        group_commit: GroupCommit,
        client: WorkerClient,
        directory: Directory,
        get_tree: Callable[[], SettingsTree],
        send: Callable[[str, PeerMessage], None],
        broadcast: Callable[[PeerMessage], None],
        lease_seconds: float,
        clock: WallClock,
        counters: Counters,
        rng: random.Random,
    ):
        self._ownership = ownership
        self._table = table
        self._group_commit = group_commit
        self._client = client
        self._directory = directory
        self._get_tree = get_tree
        self._send = send
        self._broadcast = broadcast
        self._lease_seconds = lease_seconds
        self._clock = clock
        self._counters = counters
        self._outbox_reader = OutboxReader(table, counters)
        self._rack_selector = RackSelector(rng)
        self._changes: asyncio.Queue[UnitChange] = asyncio.Queue()
        self._task_by_unit: dict[str, asyncio.Task[None]] = {}
        self._models = ColocationModels()
        self._summary_version = 0
        self._unpublished: set[str] = set()
        self._published_by_unit: dict[str, tuple[int, str]] = {}
        self.rack_by_unit: dict[str, RackScheduler] = {}
        self.shard_by_unit: dict[str, ShardScheduler] = {}
        ownership.listeners.append(self._changes.put_nowait)

    async def run(self) -> None:
        """Apply changes of ownership until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._outbox_reader.run())
            tasks.create_task(self._publish_changes())
            while True:
                change = await self._changes.get()
                if change.gained:
                    self._start_unit(change.unit, tasks)
                else:
                    await self._stop_unit(change.unit)

    def _start_unit(self, unit: str, tasks: asyncio.TaskGroup) -> None:
        match unit.partition("/")[0]:
            case "rack":
                rack = self._make_rack(unit)
                self.rack_by_unit[unit] = rack
                self._outbox_reader.deliver_by_unit[unit] = rack.deliver
                self._start_scheduler(unit, rack.run(), tasks)
            case "shard":
                shard = self._make_shard(unit)
                self.shard_by_unit[unit] = shard
                self._outbox_reader.deliver_by_unit[unit] = shard.deliver
                self._start_scheduler(unit, shard.run(), tasks)
            case _:
                return
        self._outbox_reader.wake()

    def _start_scheduler(
        self, unit: str, run: Coroutine[Any, Any, None], tasks: asyncio.TaskGroup
    ) -> None:
        self._task_by_unit[unit] = tasks.create_task(run, name=unit)

    async def _stop_unit(self, unit: str) -> None:
        task = self._task_by_unit.pop(unit, None)
        if task is None:
            return
        self.rack_by_unit.pop(unit, None)
        self.shard_by_unit.pop(unit, None)
        self._outbox_reader.deliver_by_unit.pop(unit, None)
        task.cancel()
        await asyncio.wait([task])

    def _make_row(self, unit: str, key: str) -> OwnedRow:
        owned = OwnedUnit(
            unit,
            lambda: self._ownership.epoch_of(unit),
            self._ownership.condition,
        )
        return OwnedRow(
            owned, key, self._table, self._group_commit, self.wake, self._counters
        )

    def _make_rack(self, unit: str) -> RackScheduler:
        name = unit.removeprefix(f"{RACK_KIND}/")
        return RackScheduler(
            self._make_row(unit, f"racks/{name}"),
            self._client,
            self._directory,
            self._lease_seconds,
            lambda rack: self._unpublished.add(rack.row.owned.unit),
            RackColocation(self._models),
            self._counters,
        )

    def _make_shard(self, unit: str) -> ShardScheduler:
        name = unit.removeprefix(f"{SHARD_KIND}/")
        return ShardScheduler(
            self._make_row(unit, f"shards/{name}"),
            self._rack_selector,
            self._get_tree,
            self._clock,
            self._counters,
        )

    def wake(self, unit: str) -> None:
        """Notify the owner of ``unit`` that there are messages for it."""
        if unit in self._task_by_unit:
            self._outbox_reader.wake()
            return
        owner = self._ownership.owner_of(unit)
        if owner is not None:
            self._send(owner, PeerMessage(wake=Wake(unit)))

    def handle_wake(self) -> None:
        """Scan for messages after a peer's notification."""
        self._outbox_reader.wake()

    def wake_shards(self) -> None:
        """Let all shards apply the current settings."""
        for shard in self.shard_by_unit.values():
            shard.wake()

    def refresh_workers(self) -> None:
        """Let all racks apply the current list of VMs."""
        racks = set(self._directory.racks())
        self._rack_selector.retain(racks)
        for unit, rack in self.rack_by_unit.items():
            self._unpublished.add(unit)
            rack.refresh_vms()
            for vm in rack.vms():
                if not self._directory.accepts_work(vm.vm):
                    rack.wake_worker(vm.vm)

    def report_inflation(self, inflation_by_pair: dict[WorkerService, float]) -> None:
        """Report the latency inflation of workers to the owners of their racks."""
        by_rack: dict[str, list[Inflation]] = {}
        for (worker, service), inflation in inflation_by_pair.items():
            vm = self._directory.vm_by_name.get(worker)
            if vm is not None:
                item = Inflation(worker, service, inflation)
                by_rack.setdefault(vm.rack, []).append(item)
        for rack, inflations in by_rack.items():
            owner = self._ownership.owner_of(f"{RACK_KIND}/{rack}")
            report = InflationReport(rack, inflations)
            if f"{RACK_KIND}/{rack}" in self.rack_by_unit:
                self.handle_inflation_report("", report)
            elif owner is not None:
                self._send(owner, PeerMessage(inflation_report=report))

    def handle_inflation_report(self, entry: str, report: InflationReport) -> None:
        """Record an entry's measurements of workers in a rack that this entry owns.

        ``entry`` is empty for the measurements of this entry itself.
        """
        rack = self.rack_by_unit.get(f"{RACK_KIND}/{report.rack}")
        if rack is None:
            return
        for item in report.inflations:
            rack.tasks.colocation.record_inflation(
                entry, item.worker, item.service_name, item.inflation
            )

    async def _publish_changes(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_SECONDS)
            unpublished, self._unpublished = self._unpublished, set()
            for unit in unpublished:
                self._publish_summary(unit)

    def _publish_summary(self, unit: str) -> None:
        """Apply and broadcast the summary of a rack, unless it is unchanged."""
        summary = self._summarize(unit)
        if summary is None:
            return
        published = (summary.epoch, summary.summary_json)
        if self._published_by_unit.get(unit) == published:
            return
        self._published_by_unit[unit] = published
        self.apply_summary(summary)
        self._broadcast(PeerMessage(rack_summary=summary))

    def _summarize(self, unit: str) -> RackSummary | None:
        rack = self.rack_by_unit.get(unit)
        epoch = self._ownership.epoch_of(unit)
        if rack is None or epoch is None:
            return None
        self._summary_version += 1
        text = encode_summary(rack.summary())
        return RackSummary(rack.rack, epoch, self._summary_version, text)

    def all_summaries(self) -> list[PeerMessage]:
        """Return the summaries of all racks that this entry owns."""
        summaries = (self._summarize(unit) for unit in self.rack_by_unit)
        return [PeerMessage(rack_summary=item) for item in summaries if item]

    def apply_summary(self, message: RackSummary) -> None:
        """Apply the summary that a rack's owner published."""
        summary = decode_summary(message.summary_json)
        services = summary["services"]
        free = tuple(Demand(*item) for item in summary["free"])
        replicas = {service: len(workers) for service, workers in services.items()}
        urgent = tuple(Demand(*item) for item in summary["urgent"])
        view = RackView(message.epoch, message.version, free, replicas, urgent)
        self._rack_selector.update_view(message.rack, view)
        self._directory.update_rack(
            message.rack, RackServices(message.epoch, message.version, services)
        )
