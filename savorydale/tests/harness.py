"""Run several real entries on virtual time against a fake platform and workers."""

import asyncio
import contextlib
import functools
import random
from typing import Any

import async_solipsism

from savorydale.config.loading import parse_config
from savorydale.entry import Entry, EntryDependencies
from savorydale.routing.calls import Call, Finish, Send
from savorydale.tests.fakes import FakePlatform, FakeWorkers, make_vm
from savorydale.utils.wall_clock import WallClock

START_UNIX_SECONDS = 1_790_000_000.0
FIRST_PEER_PORT = 7000


def on_virtual_time(test):
    """Run an async test on a loop whose clock jumps to the next scheduled event."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        loop = async_solipsism.EventLoop()
        try:
            asyncio.set_event_loop(loop)
            return loop.run_until_complete(test(*args, **kwargs))
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    return run


def make_config(name: str, peer_port: int, zone="a", **sections: dict[str, Any]):
    data = {
        "entry": {"name": name, "zone": zone},
        "http": {"port": 80, "lame_duck_seconds": 0},
        "peer": {"port": peer_port},
        "platform": {"url": "http://platform"},
    }
    for section, values in sections.items():
        data.setdefault(section, {}).update(values)
    return parse_config(data, name)


def tree(replicas=4, **job_values):
    """Return the nodes of a small settings tree, by path."""
    nodes = {
        "hq": {"kind": "headquarters"},
        "hq/ga": {"kind": "branch"},
        "hq/ga/counts": {"kind": "team"},
        "hq/ga/counts/desk": {
            "kind": "service",
            "values": {"replicas": replicas, "processors": 1.0, "memory_gb": 1.0},
        },
    }
    if job_values:
        nodes["hq/ga/counts/roll"] = {"kind": "job", "values": job_values}
    return nodes


class Node:
    """One running entry with its links to the platform and the workers."""

    def __init__(self, cluster: "Cluster", number: int, **sections):
        self.cluster = cluster
        self.platform = cluster.platform.link()
        self.workers = cluster.workers.link()
        dependencies = EntryDependencies(self.platform, self.workers, cluster.clock)
        port = FIRST_PEER_PORT + number
        config = make_config(f"e{number}", port, "abc"[number % 3], **sections)
        self.entry = Entry(config, dependencies, cluster.rng)
        self.task = asyncio.create_task(self.entry.run())
        self.calls: set[asyncio.Task] = set()

    async def kill(self):
        """End the entry as ``kill -9`` does: it releases no lease and no slot."""
        for call in list(self.calls):
            call.cancel()
        self.task.cancel()
        await asyncio.wait([self.task, *self.calls])

    def set_partitioned(self, partitioned: bool):
        """Partition the entry from the platform and the workers, or reconnect it."""
        self.platform.partitioned = partitioned
        self.workers.partitioned = partitioned

    async def call(self, identity, seconds=0.01, timeout=2.0, **call_values):
        """Send one request as a caller and return its outcome."""
        entry = self.entry
        loop = asyncio.get_running_loop()
        self.cluster.call_count += 1
        call = Call(
            id=f"call-{self.cluster.call_count}",
            service="desk",
            team="counts",
            deadline=loop.time() + timeout,
            **call_values,
        )
        task = asyncio.create_task(self._route(entry, call, identity, seconds))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        return await task

    async def _route(self, entry, call, identity, seconds):
        step = await entry.router.begin(call)
        while True:
            match step:
                case Finish(outcome):
                    return outcome
                case Send(grant):
                    outcome = await self.workers.send(
                        grant, entry.record.incarnation, identity, seconds
                    )
                    step = await entry.router.handle_outcome(grant, outcome)


class Cluster:
    """The platform, workers and entries of one test."""

    def __init__(self, seed: int, worker_count=4, racks=2, **sections):
        self.rng = random.Random(seed)
        self.clock = WallClock(START_UNIX_SECONDS)
        self.platform = FakePlatform(self.rng)
        self.workers = FakeWorkers(self.rng)
        self.sections = sections
        self.nodes: list[Node] = []
        self.call_count = 0
        self._started_count = 0
        for number in range(worker_count):
            vm = make_vm(f"w{number}", f"r{number % racks}", "abc"[number % 3])
            self.platform.set_vm(vm)
            self.workers.add(vm)

    def start(self) -> Node:
        node = Node(self, self._started_count, **self.sections)
        self._started_count += 1
        self.nodes.append(node)
        return node

    def worker(self, name: str):
        return self.workers.worker_by_address[self.platform.vm_by_name[name].address]

    def all_workers(self):
        return list(self.workers.worker_by_address.values())

    def set_vm_state(self, name: str, state: str):
        vm = self.platform.vm_by_name[name]
        self.platform.set_vm(vm._replace(state=state))

    def raise_entry_errors(self):
        """Raise the exception of an entry that stopped without being killed."""
        for node in self.nodes:
            if node.task.done() and not node.task.cancelled():
                node.task.result()

    def row(self, key: str):
        rows = self.platform.table.read([key], {})
        return rows[key][0] if key in rows else None

    def history(self) -> dict[str, Any]:
        rows = self.platform.table.scan("history/")
        return {key.removeprefix("history/"): value for key, (value, _) in rows.items()}


@contextlib.asynccontextmanager
async def open_cluster(seed=1, entries=3, nodes=None, settle_seconds=6.0, **options):
    """Yield a cluster whose entries are ready and have applied the settings."""
    cluster = Cluster(seed, **options)
    for _ in range(entries):
        cluster.start()
    try:
        if nodes is not None:
            await asyncio.sleep(3)
            cluster.raise_entry_errors()
            await cluster.nodes[0].entry.accept_settings(0, nodes)
        await asyncio.sleep(settle_seconds)
        cluster.raise_entry_errors()
        yield cluster
        cluster.raise_entry_errors()
    finally:
        for node in cluster.nodes:
            if not node.task.done():
                await node.kill()
        for task in list(cluster.workers.background_tasks):
            task.cancel()
        if cluster.workers.background_tasks:
            await asyncio.wait(cluster.workers.background_tasks)


async def wait_until(condition, timeout: float) -> float:
    """Return the seconds until ``condition()`` is true; fail after ``timeout``."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not condition():
        assert loop.time() - started_at < timeout, "the condition was not met in time"
        await asyncio.sleep(0.05)
    return loop.time() - started_at
