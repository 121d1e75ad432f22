"""Connections between entries: a link to each peer, and a server for their links."""

import asyncio
import contextlib
import hmac
import logging
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from savorydale.counters import Counters
from savorydale.exceptions import PeerProtocolError
from savorydale.messages.peer.constants import PROTOCOL_VERSION
from savorydale.messages.peer.ttypes import Heartbeat, Hello, PeerMessage
from savorydale.peers.framing import encode, read_message

SEND_QUEUE_FRAMES = 1024
RECONNECT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 2.0
MAX_HEARTBEAT_AGE_SECONDS = 10.0

log = logging.getLogger(__name__)

Address = tuple[str, int]
MessageHandler = Callable[[str, PeerMessage], None]


class PeerState(NamedTuple):
    """Last heartbeat of a peer, and its arrival in loop time."""

    entry: str
    address: Address
    last_heartbeat_at: float
    settings_version: int
    store_reachable: bool
    draining: bool


class PeerLinks:
    """Sends messages to every peer over a separate link and receives theirs.

    Parameters
    ----------
    hello : Hello
        First message of every link, which identifies this entry.
    heartbeat_seconds : float
        Time between heartbeats.
    make_heartbeat : callable
        Returns the heartbeat with a given sequence number.
    make_initial_messages : callable
        Returns the messages that follow hello on every new link.
    handle : callable
        Called with the sender's incarnation and each message except hello.
    counters : Counters
        Receives counts of messages, bytes and refusals.
    """

    def __init__(
        self,
        hello: Hello,
        heartbeat_seconds: float,
        make_heartbeat: Callable[[int], Heartbeat],
        make_initial_messages: Callable[[], list[PeerMessage]],
        handle: MessageHandler,
        counters: Counters,
    ):
        self._hello = hello
        self._heartbeat_seconds = heartbeat_seconds
        self._make_heartbeat = make_heartbeat
        self._make_initial_messages = make_initial_messages
        self._handle = handle
        self._counters = counters
        self._task_by_address: dict[Address, asyncio.Task[None]] = {}
        self._queue_by_address: dict[Address, asyncio.Queue[bytes]] = {}
        self._address_by_incarnation: dict[str, Address] = {}
        self.state_by_incarnation: dict[str, PeerState] = {}

    def set_peers(
        self, address_by_incarnation: dict[str, Address], tasks: asyncio.TaskGroup
    ) -> None:
        """Start a link to each new peer and end the links to removed peers."""
        self._address_by_incarnation = address_by_incarnation
        wanted_addresses = set(address_by_incarnation.values())
        for address in set(self._task_by_address) - wanted_addresses:
            self._task_by_address.pop(address).cancel()
            self._queue_by_address.pop(address)
        for address in wanted_addresses - set(self._task_by_address):
            self._queue_by_address[address] = asyncio.Queue(SEND_QUEUE_FRAMES)
            self._task_by_address[address] = tasks.create_task(
                self._maintain_link(address)
            )
        for incarnation in set(self.state_by_incarnation) - set(address_by_incarnation):
            del self.state_by_incarnation[incarnation]

    def recently_active(self) -> dict[str, Address]:
        """Return the addresses of peers with a recent heartbeat, by incarnation.

        Heartbeats are the only way to discover an entry that starts while the table
        service is unreachable.
        """
        earliest = asyncio.get_running_loop().time() - MAX_HEARTBEAT_AGE_SECONDS
        return {
            incarnation: state.address
            for incarnation, state in self.state_by_incarnation.items()
            if state.last_heartbeat_at >= earliest
        }

    def broadcast(self, message: PeerMessage) -> None:
        """Queue ``message`` for every peer."""
        frame = encode(message)
        for address in self._queue_by_address:
            self._enqueue(address, frame)

    def send(self, incarnation: str, message: PeerMessage) -> None:
        """Queue ``message`` for one peer, if there is a link to it."""
        address = self._address_by_incarnation.get(incarnation)
        if address in self._queue_by_address:
            self._enqueue(address, encode(message))

    def _enqueue(self, address: Address, frame: bytes) -> None:
        try:
            self._queue_by_address[address].put_nowait(frame)
        except asyncio.QueueFull:
            self._counters.increment("peers.dropped.queue_full")

    async def _maintain_link(self, address: Address) -> None:
        """Keep one outgoing connection open and reconnect after failures."""
        while True:
            try:
                async with _connect(address) as writer:
                    await self._send_all(address, writer)
            except (OSError, TimeoutError):
                self._counters.increment("peers.connect_failures")
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _send_all(self, address: Address, writer: asyncio.StreamWriter) -> None:
        queue = self._queue_by_address[address]
        writer.write(encode(PeerMessage(hello=self._hello)))
        for message in self._make_initial_messages():
            self._write(writer, encode(message))
        sequence = 0
        while True:
            sequence += 1
            heartbeat = self._make_heartbeat(sequence)
            self._write(writer, encode(PeerMessage(heartbeat=heartbeat)))
            await self._send_queued(queue, writer)

    async def _send_queued(
        self, queue: asyncio.Queue[bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Send queued frames until the next heartbeat is due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._heartbeat_seconds):
                while True:
                    await writer.drain()
                    self._write(writer, await queue.get())
        await writer.drain()

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        writer.write(frame)
        self._counters.increment("peers.messages_sent")
        self._counters.increment("peers.bytes_sent", len(frame))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Receive from one peer until it closes or violates the protocol."""
        try:
            await self._receive_all(reader)
        except PeerProtocolError as error:
            self._counters.increment("peers.refused.malformed")
            log.warning("peer connection closed: %s", error)
        finally:
            writer.close()

    async def _receive_all(self, reader: asyncio.StreamReader) -> None:
        received = await read_message(reader)
        if received is None:
            return
        hello = received[0].hello
        if hello is None:
            raise PeerProtocolError("the first message is not Hello")
        if not self._accepts(hello):
            return
        while (received := await read_message(reader)) is not None:
            message, size = received
            self._counters.increment("peers.messages_received")
            self._counters.increment("peers.bytes_received", size)
            if message.heartbeat is not None:
                self._record_heartbeat(hello, message.heartbeat)
            self._handle(hello.incarnation, message)

    def _accepts(self, hello: Hello) -> bool:
        if hello.protocol_version != PROTOCOL_VERSION:
            self._counters.increment("peers.refused.protocol_version")
            return False
        expected = self._hello.shared_key or ""
        if not hmac.compare_digest(
            (hello.shared_key or "").encode(), expected.encode()
        ):
            self._counters.increment("peers.refused.unauthenticated")
            return False
        return True

    def _record_heartbeat(self, hello: Hello, heartbeat: Heartbeat) -> None:
        self.state_by_incarnation[hello.incarnation] = PeerState(
            hello.entry,
            (hello.peer_host, hello.peer_port),
            asyncio.get_running_loop().time(),
            heartbeat.settings_version,
            heartbeat.store_reachable,
            heartbeat.draining,
        )


@contextlib.asynccontextmanager
async def _connect(address: Address) -> AsyncIterator[asyncio.StreamWriter]:
    async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
        _, writer = await asyncio.open_connection(*address)
    try:
        yield writer
    finally:
        writer.close()
