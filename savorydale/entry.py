"""One entry: everything that decides, wired together on one event loop."""

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
PEER_REVIEW_SECONDS = 0.5
KEY_FLUSH_SECONDS = 1.0
INFLATION_SECONDS = 2.0
KEY_WINDOW_SECONDS = 0.004
ROW_WINDOW_SECONDS = 0.05
DRAIN_POLL_SECONDS = 0.05
DRAINED_KEY = "drained"
RECENT_CHANGES = 256
INCARNATION_BITS = 64

log = logging.getLogger(__name__)


class EntryOutside(NamedTuple):
    """What an entry meets the world with; tests put fakes here."""

    platform: Platform
    worker_client: WorkerClient
    clock: WallClock


class Entry:
    """All state and all decisions of one entry process.

    Parameters
    ----------
    config : EntryConfig
        Complete settings of the entry.
    outside : EntryOutside
        Platform, workers and time of day.
    rng : random.Random
        Breaks ties.
    """

    def __init__(self, config: EntryConfig, outside: EntryOutside, rng: random.Random):
        self.config = config
        self.counters = Counters()
        self.clock = outside.clock
        self.table = Table(outside.platform, self.counters)
        self.directory = Directory()
        self.settings = SettingsFollower(self.table, self.clock, self.counters)
        self._platform = outside.platform
        self._rows = GroupCommit(self.table, ROW_WINDOW_SECONDS, self.counters)
        self._key_rows = GroupCommit(self.table, KEY_WINDOW_SECONDS, self.counters)
        self._change_by_version: dict[int, Changes] = {}
        self._vms_known = asyncio.Event()
        self._drained_version = 0
        self._seen_vms: tuple[list[VmStatus], int] | None = None
        self.stopping = False
        self._knew_all_racks = False
        self.record = _make_record(config, rng)
        self._add_peers(config)
        self._add_routing(config, outside, rng)
        self._add_scheduling(config, outside, rng)
        self.settings.listeners.append(self._take_new_settings)

    def _add_peers(self, config: EntryConfig) -> None:
        lengths = (config["lease"]["entry_seconds"], config["lease"]["grace_seconds"])
        self.lease = EntryLease(self.record, self.table, *lengths, self.counters)
        self.membership = Membership(self.record, self.table, *lengths, self.counters)
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
            self._make_greeting,
            self._take_message,
            self.counters,
        )

    def _add_routing(
        self, config: EntryConfig, outside: EntryOutside, rng: random.Random
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
        self._settler = SlotReconciler(
            self.pool, self.directory, outside.worker_client, self.router, self.counters
        )

    def _add_scheduling(
        self, config: EntryConfig, outside: EntryOutside, rng: random.Random
    ) -> None:
        self.scheduler = Scheduler(
            self.ownership,
            self.table,
            self._rows,
            outside.worker_client,
            self.directory,
            lambda: self.settings.tree,
            self.links.send,
            self.links.broadcast,
            config["lease"]["task_seconds"],
            outside.clock,
            self.counters,
            rng,
        )

    def _list_units(self) -> list[str]:
        racks = [f"{RACK_KIND}/{rack}" for rack in sorted(self.directory.racks())]
        return racks + share_units() + shard_units()

    async def run(self) -> None:
        """Serve peers and decide until cancelled.

        Raises
        ------
        ExceptionGroup
            With what went wrong in any of the entry's tasks.
        """
        peer = self.config["peer"]
        async with asyncio.TaskGroup() as tasks:

            def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                tasks.create_task(self.links.serve(reader, writer))

            server = await asyncio.start_server(serve, peer["host"], peer["port"])
            tasks.create_task(self._keep_open(server))
            tasks.create_task(self._key_rows.run())
            tasks.create_task(self._rows.run())
            tasks.create_task(self.settings.follow())
            tasks.create_task(self._follow_vms())
            tasks.create_task(self._review_peers(tasks))
            tasks.create_task(self._shares.run())
            tasks.create_task(self._settler.run())
            tasks.create_task(self.scheduler.run())
            tasks.create_task(self._flush_keys())
            tasks.create_task(self._tell_inflation())
            tasks.create_task(self.lease.watch_for_pauses())
            await self._vms_known.wait()
            await self.lease.renew()
            tasks.create_task(self.lease.renew_periodically())
            tasks.create_task(self.ownership.run())

    async def _keep_open(self, server: asyncio.Server) -> None:
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            server.close()

    async def drain(self, timeout: float) -> None:
        """Leave the balancer, finish what is in flight, and release what is owned.

        Parameters
        ----------
        timeout : float
            Seconds to wait for calls in flight.
        """
        self.stopping = True
        await asyncio.sleep(self.config["http"]["lame_duck_seconds"])
        self.router.draining = True
        give_up_at = asyncio.get_running_loop().time() + timeout
        log.info("draining with %d calls", self.router.unfinished)
        await self._wait_until(lambda: not self.router.unfinished, give_up_at)
        self.ownership.draining = True
        self._shares.reconcile()
        await self._wait_until(lambda: not self.pool.is_over_allowance(), give_up_at)
        self._shares.reconcile()
        await self.ownership.release_all()
        log.info("drained with %d calls", self.router.unfinished)

    async def _wait_until(self, holds: Callable[[], bool], give_up_at: float) -> None:
        while not holds() and asyncio.get_running_loop().time() < give_up_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here.

        A fresh entry waits until it has heard of the services of every rack; a rack
        that appears later does not turn it red again.
        """
        if self._vms_known.is_set() and self.directory.is_complete():
            self._knew_all_racks = True
        return (
            self.settings.loaded
            and self.lease.is_held()
            and self._knew_all_racks
            and not self.stopping
        )

    async def _flush_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_FLUSH_SECONDS)
            await self.keys.flush_backlog()

    async def _tell_inflation(self) -> None:
        while True:
            await asyncio.sleep(INFLATION_SECONDS)
            self.scheduler.report_inflation(self.router.inflation.collect_changes())

    async def _follow_vms(self) -> None:
        while True:
            try:
                vms = await self._platform.list_vms()
                await self._read_drained()
            except StoreError:
                self.counters.increment("vms.poll_failures")
            else:
                self._take_vms(vms)
            await asyncio.sleep(VM_POLL_SECONDS)

    def _take_vms(self, vms: list[VmStatus]) -> None:
        """Take the platform's list of VMs, if it says anything new."""
        seen = (vms, self._drained_version)
        if seen == self._seen_vms:
            return
        self._seen_vms = seen
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

    async def _review_peers(self, tasks: asyncio.TaskGroup) -> None:
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
            await asyncio.sleep(PEER_REVIEW_SECONDS)

    def _make_heartbeat(self, sequence: int) -> Heartbeat:
        return Heartbeat(
            sequence,
            self.settings.tree.version,
            self.table.reachable,
            self.router.draining,
        )

    def _make_greeting(self) -> list[PeerMessage]:
        return self.scheduler.all_summaries()

    def _take_message(self, sender: str, message: PeerMessage) -> None:
        if message.heartbeat is not None:
            self._tell_settings(sender, message.heartbeat.settings_version)
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

    def _tell_settings(self, sender: str, known_version: int) -> None:
        """Send a peer that is behind what it lacks."""
        tree = self.settings.tree
        if known_version >= tree.version:
            return
        missing = range(known_version + 1, tree.version + 1)
        if all(version in self._change_by_version for version in missing):
            for version in missing:
                change = self._change_message(version, self._change_by_version[version])
                self.links.send(sender, change)
            return
        text = json.dumps(tree.node_by_path)
        snapshot = SettingsSnapshot(tree.version, text)
        self.links.send(sender, PeerMessage(settings_snapshot=snapshot))

    def _change_message(self, version: int, changes: Changes) -> PeerMessage:
        change = SettingsChange(version, json.dumps(changes))
        return PeerMessage(settings_change=change)

    def _take_new_settings(self, tree: SettingsTree, changes: Changes) -> None:
        if changes:
            self._change_by_version[tree.version] = changes
            self._change_by_version.pop(tree.version - RECENT_CHANGES, None)
        self.scheduler.wake_shards()

    async def accept_settings(self, read_version: int, changes: Changes) -> int:
        """Accept settings changes and tell all peers at once."""
        version = await self.settings.accept(read_version, changes)
        self.links.broadcast(self._change_message(version, changes))
        return version

    def versions_in_force(self) -> dict[str, int]:
        """Return the settings version of this entry and of each peer, by name."""
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
