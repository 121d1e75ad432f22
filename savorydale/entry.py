"""The components of one entry, connected on one event loop."""

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import StoreError
from savorydale.messages.entry_types import EntryConfig
from savorydale.messages.peer.constants import PROTOCOL_VERSION
from savorydale.messages.peer.ttypes import (
    Heartbeat,
    Hello,
    PeerMessage,
    SettingsChange,
    SettingsSnapshot,
)
from savorydale.peers.links import Address, PeerLinks
from savorydale.peers.membership import EntryLease, Membership
from savorydale.peers.ownership import Ownership
from savorydale.peers.records import EntryRecord
from savorydale.routing.idempotency import IdempotencyKeys
from savorydale.routing.router import Router
from savorydale.routing.shares import ShareManager
from savorydale.routing.slot_reconciliation import SlotReconciler
from savorydale.routing.slots import SlotPool, share_units
from savorydale.scheduling.scheduler import Scheduler
from savorydale.scheduling.tasks import RACK_KIND, shard_units
from savorydale.settings.follower import Changes, SettingsFollower
from savorydale.settings.tree import SettingsTree
from savorydale.storage.group_commit import GroupCommit
from savorydale.storage.interface import Platform, VmStatus
from savorydale.storage.table import Table
from savorydale.utils.wall_clock import WallClock
from savorydale.workers.directory import Directory
from savorydale.workers.interface import WorkerClient

VM_POLL_SECONDS = 1.0
PEER_UPDATE_SECONDS = 0.5
KEY_FLUSH_SECONDS = 1.0
INFLATION_REPORT_SECONDS = 2.0
KEY_COMMIT_WINDOW_SECONDS = 0.004
ROW_COMMIT_WINDOW_SECONDS = 0.05
DRAIN_POLL_SECONDS = 0.05
DRAINED_KEY = "drained"
MAX_CACHED_CHANGES = 256
INCARNATION_BITS = 64

log = logging.getLogger(__name__)


class EntryDependencies(NamedTuple):
    """External interfaces of an entry; tests replace them by fakes."""

    platform: Platform
    worker_client: WorkerClient
    clock: WallClock


class Entry:
    """Front-end and scheduler of one entry process.

    Parameters
    ----------
    config : EntryConfig
        Complete settings of the entry.
    dependencies : EntryDependencies
        Platform, workers and time of day.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self, config: EntryConfig, dependencies: EntryDependencies, rng: random.Random
    ):
        self.config = config
        self.counters = Counters()
        self.clock = dependencies.clock
        self.table = Table(dependencies.platform, self.counters)
        self.directory = Directory()
        self.settings = SettingsFollower(self.table, self.clock, self.counters)
        self._platform = dependencies.platform
        self._rows = GroupCommit(self.table, ROW_COMMIT_WINDOW_SECONDS, self.counters)
        self._key_rows = GroupCommit(
            self.table, KEY_COMMIT_WINDOW_SECONDS, self.counters
        )
        self._change_by_version: dict[int, Changes] = {}
        self._vms_known = asyncio.Event()
        self._drained_version = 0
        self._last_vms: tuple[list[VmStatus], int] | None = None
        self.stopping = False
        self._has_known_all_racks = False
        self.record = _make_record(config, rng)
        self._add_peers(config)
        self._add_routing(config, dependencies, rng)
        self._add_scheduling(config, dependencies, rng)
        self.settings.listeners.append(self._handle_new_settings)

    def _add_peers(self, config: EntryConfig) -> None:
        lease_lengths = (
            config["lease"]["entry_seconds"],
            config["lease"]["grace_seconds"],
        )
        self.lease = EntryLease(self.record, self.table, *lease_lengths, self.counters)
        self.membership = Membership(
            self.record, self.table, *lease_lengths, self.counters
        )
        self.ownership = Ownership(
            self.lease, self.membership, self.table, self._list_units, self.counters
        )
        hello = Hello(
            PROTOCOL_VERSION,
            config["entry"]["name"],
            self.record.incarnation,
            config["security"].get("shared_key"),
            *self.record.peer_address,
        )
        self.links = PeerLinks(
            hello,
            config["peer"]["heartbeat_seconds"],
            self._make_heartbeat,
            self._make_initial_messages,
            self._handle_message,
            self.counters,
        )

    def _add_routing(
        self, config: EntryConfig, dependencies: EntryDependencies, rng: random.Random
    ) -> None:
        self.pool = SlotPool()
        self.keys = IdempotencyKeys(self.table, self._key_rows, self.counters)
        self.router = Router(
            self.directory,
            self.pool,
            self.keys,
            config["entry"]["zone"],
            config["routing"]["queue_limit"],
            config["routing"]["retry_ratio"],
            self.lease.is_held,
            self.counters,
            rng,
        )
        self._shares = ShareManager(self.ownership, self.pool, self.router)
        self._slot_reconciler = SlotReconciler(
            self.pool,
            self.directory,
            dependencies.worker_client,
            self.router,
            self.counters,
        )

    def _add_scheduling(
        self, config: EntryConfig, dependencies: EntryDependencies, rng: random.Random
    ) -> None:
        self.scheduler = Scheduler(
            self.ownership,
            self.table,
            self._rows,
            dependencies.worker_client,
            self.directory,
            lambda: self.settings.tree,
            self.links.send,
            self.links.broadcast,
            config["lease"]["task_seconds"],
            dependencies.clock,
            self.counters,
            rng,
        )

    def _list_units(self) -> list[str]:
        racks = [f"{RACK_KIND}/{rack}" for rack in sorted(self.directory.racks())]
        return racks + share_units() + shard_units()

    async def run(self) -> None:
        """Serve peers, route calls and schedule tasks until cancelled.

        Raises
        ------
        ExceptionGroup
            With the exceptions of the entry's asyncio tasks.
        """
        peer = self.config["peer"]
        async with asyncio.TaskGroup() as tasks:

            def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                tasks.create_task(self.links.serve(reader, writer))

            server = await asyncio.start_server(serve, peer["host"], peer["port"])
            tasks.create_task(self._keep_server_open(server))
            tasks.create_task(self._key_rows.run())
            tasks.create_task(self._rows.run())
            tasks.create_task(self.settings.follow())
            tasks.create_task(self._follow_vms())
            tasks.create_task(self._update_peer_links(tasks))
            tasks.create_task(self._shares.run())
            tasks.create_task(self._slot_reconciler.run())
            tasks.create_task(self.scheduler.run())
            tasks.create_task(self._flush_keys())
            tasks.create_task(self._report_inflation())
            tasks.create_task(self.lease.watch_for_pauses())
            await self._vms_known.wait()
            await self.lease.renew()
            tasks.create_task(self.lease.renew_periodically())
            tasks.create_task(self.ownership.run())

    async def _keep_server_open(self, server: asyncio.Server) -> None:
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            server.close()

    async def drain(self, timeout: float) -> None:
        """Withdraw readiness, finish the calls in flight, and release all units.

        Parameters
        ----------
        timeout : float
            Seconds after which unfinished calls are no longer waited for.
        """
        self.stopping = True
        await asyncio.sleep(self.config["http"]["lame_duck_seconds"])
        self.router.draining = True
        deadline_at = asyncio.get_running_loop().time() + timeout
        log.info("draining: %d unfinished calls", self.router.unfinished)
        await self._wait_until(lambda: not self.router.unfinished, deadline_at)
        self.ownership.draining = True
        self._shares.reconcile()
        await self._wait_until(lambda: not self.pool.is_over_allowance(), deadline_at)
        self._shares.reconcile()
        await self.ownership.release_all()
        log.info("drained: %d unfinished calls", self.router.unfinished)

    async def _wait_until(
        self, condition: Callable[[], bool], deadline_at: float
    ) -> None:
        while not condition() and asyncio.get_running_loop().time() < deadline_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers to this entry.

        An entry becomes ready once it knows the services of every rack; a rack that
        appears later does not make it unready again.
        """
        if self._vms_known.is_set() and self.directory.is_complete():
            self._has_known_all_racks = True
        return (
            self.settings.loaded
            and self.lease.is_held()
            and self._has_known_all_racks
            and not self.stopping
        )

    async def _flush_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_FLUSH_SECONDS)
            await self.keys.flush_backlog()

    async def _report_inflation(self) -> None:
        while True:
            await asyncio.sleep(INFLATION_REPORT_SECONDS)
            self.scheduler.report_inflation(self.router.inflation.collect_changes())

    async def _follow_vms(self) -> None:
        while True:
            try:
                vms = await self._platform.list_vms()
                await self._read_drained()
            except StoreError:
                self.counters.increment("vms.poll_failures")
            else:
                self._update_vms(vms)
            await asyncio.sleep(VM_POLL_SECONDS)

    def _update_vms(self, vms: list[VmStatus]) -> None:
        """Apply the platform's list of VMs if it or the drained workers changed."""
        current = (vms, self._drained_version)
        if current == self._last_vms:
            return
        self._last_vms = current
        self.directory.set_vms(vms)
        self.pool.set_workers({vm.vm: vm.slots for vm in vms if vm.state != "gone"})
        self._vms_known.set()
        self.router.inflation.retain_workers(set(self.directory.vm_by_name))
        self.scheduler.refresh_workers()
        self.router.wake_all()

    async def _read_drained(self) -> None:
        newer_than = {DRAINED_KEY: self._drained_version}
        rows = await self.table.read([DRAINED_KEY], newer_than)
        row = rows.get(DRAINED_KEY)
        if row is not None:
            self._drained_version = row.version
            self.directory.set_drained(row.value["workers"])

    async def _update_peer_links(self, tasks: asyncio.TaskGroup) -> None:
        while True:
            address_by_incarnation: dict[str, Address] = {
                peer.incarnation: peer.peer_address
                for peer in self.membership.live_peers()
            }
            address_by_incarnation |= self.links.recently_active()
            for seed in self.config["peer"]["seeds"]:
                host, _, port = seed.rpartition(":")
                address = (host, int(port))
                if address not in address_by_incarnation.values():
                    address_by_incarnation[f"seed {seed}"] = address
            self.links.set_peers(address_by_incarnation, tasks)
            await asyncio.sleep(PEER_UPDATE_SECONDS)

    def _make_heartbeat(self, sequence: int) -> Heartbeat:
        return Heartbeat(
            sequence,
            self.settings.tree.version,
            self.table.reachable,
            self.router.draining,
        )

    def _make_initial_messages(self) -> list[PeerMessage]:
        return self.scheduler.all_summaries()

    def _handle_message(self, sender: str, message: PeerMessage) -> None:
        if message.heartbeat is not None:
            self._send_missing_settings(sender, message.heartbeat.settings_version)
        elif message.settings_change is not None:
            change = message.settings_change
            self.settings.apply_change(change.version, json.loads(change.change_json))
        elif message.settings_snapshot is not None:
            snapshot = message.settings_snapshot
            nodes = json.loads(snapshot.nodes_json)
            self.settings.apply_snapshot(snapshot.version, nodes)
        elif message.rack_summary is not None:
            self.scheduler.apply_summary(message.rack_summary)
        elif message.wake is not None:
            self.scheduler.handle_wake()
        elif message.inflation_report is not None:
            self.scheduler.handle_inflation_report(sender, message.inflation_report)

    def _send_missing_settings(self, sender: str, known_version: int) -> None:
        """Send the peer the changes it lacks, or a snapshot if some are not cached."""
        tree = self.settings.tree
        if known_version >= tree.version:
            return
        missing = range(known_version + 1, tree.version + 1)
        if all(version in self._change_by_version for version in missing):
            for version in missing:
                change = self._make_change_message(
                    version, self._change_by_version[version]
                )
                self.links.send(sender, change)
            return
        text = json.dumps(tree.node_by_path)
        snapshot = SettingsSnapshot(tree.version, text)
        self.links.send(sender, PeerMessage(settings_snapshot=snapshot))

    def _make_change_message(self, version: int, changes: Changes) -> PeerMessage:
        change = SettingsChange(version, json.dumps(changes))
        return PeerMessage(settings_change=change)

    def _handle_new_settings(self, tree: SettingsTree, changes: Changes) -> None:
        if changes:
            self._change_by_version[tree.version] = changes
            self._change_by_version.pop(tree.version - MAX_CACHED_CHANGES, None)
        self.scheduler.wake_shards()

    async def accept_settings(self, read_version: int, changes: Changes) -> int:
        """Accept settings changes and broadcast them to all peers."""
        version = await self.settings.accept(read_version, changes)
        self.links.broadcast(self._make_change_message(version, changes))
        return version

    def versions_in_force(self) -> dict[str, int]:
        """Return the settings version at this entry and at each peer, by name."""
        versions = {peer.name: 0 for peer in self.membership.live_peers()}
        for state in self.links.state_by_incarnation.values():
            versions[state.entry] = state.settings_version
        versions[self.record.name] = self.settings.tree.version
        return versions


def _make_record(config: EntryConfig, rng: random.Random) -> EntryRecord:
    http = config["http"]
    return EntryRecord(
        incarnation=f"{rng.getrandbits(INCARNATION_BITS):016x}",
        name=config["entry"]["name"],
        zone=config["entry"]["zone"],
        http_address=f"{http['host']}:{http['port']}",
        peer_host=config["peer"]["host"],
        peer_port=config["peer"]["port"],
    )
