import asyncio
import random

from savorydale.messages.peer.ttypes import Hello, PeerMessage, Wake
from savorydale.peers.framing import LENGTH_PREFIX, encode
from savorydale.tests.harness import on_virtual_time, open_cluster


async def send_bytes(data: bytes) -> bytes:
    """Send ``data`` and return what the entry sends until it closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", 7000)
    writer.write(data)
    received = await asyncio.wait_for(reader.read(), 30)
    writer.close()
    return received


def hello_frame(**changes):
    values = {
        "protocol_version": 1,
        "entry": "x",
        "incarnation": "x",
        "peer_host": "127.0.0.1",
        "peer_port": 1,
    }
    return encode(PeerMessage(hello=Hello(**(values | changes))))


@on_virtual_time
async def test_malformed_messages_close_only_their_connection():
    rng = random.Random(2)
    cases = [
        LENGTH_PREFIX.pack(0xFFFFFFF0) + b"x",
        LENGTH_PREFIX.pack(5) + b"hello",
        LENGTH_PREFIX.pack(0),
        encode(PeerMessage(wake=Wake("no hello"))),
        hello_frame() + LENGTH_PREFIX.pack(3) + b"\x0c\x00\x01",
    ]
    for _ in range(50):
        random_payload = rng.randbytes(20)
        cases.append(
            hello_frame() + LENGTH_PREFIX.pack(len(random_payload)) + random_payload
        )
    async with open_cluster(entries=1) as cluster:
        for case in cases:
            assert await send_bytes(case) == b""
        counters = cluster.nodes[0].entry.counters
        assert counters.count("peers.refused.malformed") == len(cases)
        assert cluster.nodes[0].entry.is_ready()


@on_virtual_time
async def test_a_peer_with_a_wrong_key_or_protocol_version_is_refused():
    security = {"shared_key": "0123456789abcdef"}
    async with open_cluster(entries=1, security=security) as cluster:
        assert await send_bytes(hello_frame(shared_key="wrong")) == b""
        assert await send_bytes(hello_frame(protocol_version=9)) == b""
        counters = cluster.nodes[0].entry.counters
        assert counters.count("peers.refused.unauthenticated") == 1
        assert counters.count("peers.refused.protocol_version") == 1
